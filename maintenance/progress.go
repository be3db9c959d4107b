package maintenance

import (
	"slices"
	"time"
)

// Time limits and estimates for a wave.
const (
	// maxDrainTime bounds how long tasks may take to end by themselves on a machine that is being drained. It is less
	// if the wave is short of time.
	maxDrainTime = 8 * time.Second
	// expectedDowntime is the assumed time for which a machine is down.
	expectedDowntime = 3 * time.Second
	// expectedDrainTime is the assumed average time that draining a machine takes, to tell whether the wave is on
	// schedule.
	expectedDrainTime = 4 * time.Second
)

// Progress is what the leader knows about the state of a wave.
type Progress struct {
	SeenWave
	// Begun holds the machines that need no further command: their maintenance has begun, or they no longer exist or
	// are no longer in the wave.
	Begun map[string]bool
	// Draining holds the machines that are being drained, with the time since when they get no new work.
	Draining map[string]time.Duration
	// SentAt holds the time at which the newest command for a machine was sent.
	SentAt map[string]time.Duration
	// Unconfirmed holds the machines whose newest command is unconfirmed: it may still be carried out at any time.
	Unconfirmed map[string]bool
	// States holds the newest reported states, which were requested at StatesRequestedAt. StatesKnown is set once there
	// are any.
	States            map[string]State
	StatesRequestedAt time.Duration
	StatesKnown       bool
}

// NewProgress returns the progress of a wave of which nothing is known yet.
func NewProgress(wave SeenWave) *Progress {
	return &Progress{
		SeenWave: wave, Begun: make(map[string]bool), Draining: make(map[string]time.Duration), SentAt: make(map[string]time.Duration),
		Unconfirmed: make(map[string]bool),
	}
}

// Remaining returns the machines that still need maintenance.
func (p *Progress) Remaining() []string {
	var left []string
	for _, name := range p.Machines {
		if !p.Begun[name] {
			left = append(left, name)
		}
	}
	return left
}

// mayBeDown reports whether a machine may be down for this wave: it is reported as down for maintenance, its newest
// command is unconfirmed, or a command was sent after the newest states were requested.
func (p *Progress) mayBeDown(name string) bool {
	sentAt, wasSent := p.SentAt[name]
	return p.States[name] == StateMaintenance || p.Unconfirmed[name] || (wasSent && sentAt >= p.StatesRequestedAt)
}

// Down counts the machines that may be down for this wave.
func (p *Progress) Down() int {
	down := 0
	for _, name := range p.Machines {
		if p.mayBeDown(name) {
			down++
		}
	}
	return down
}

// MayBegin reports whether the maintenance of a machine may begin now without exceeding MaxDown. A machine whose
// command is unconfirmed already counts as down, so its command may be repeated.
func (p *Progress) MayBegin(name string) bool {
	if !p.StatesKnown || p.Begun[name] {
		return false
	}
	down := p.Down()
	if p.mayBeDown(name) {
		down--
	}
	return down < p.MaxDown
}

// remainingBatches is the number of batches of at most MaxDown machines that the remaining maintenance needs.
func (p *Progress) remainingBatches() int {
	return (len(p.Remaining()) + max(1, p.MaxDown) - 1) / max(1, p.MaxDown)
}

// timeLeft is the time until the maintenance of the last machine has to begin.
func (p *Progress) timeLeft(now time.Duration) time.Duration { return p.Since + p.Duration - now }

// onSchedule reports whether the wave finishes in time if draining a machine waits until another one is back up.
func (p *Progress) onSchedule(now time.Duration) bool {
	return time.Duration(p.remainingBatches())*(expectedDrainTime+expectedDowntime) <= p.timeLeft(now)
}

// Next returns the machines to start draining now, those with the least work first. While the wave is on schedule, at
// most MaxDown machines are draining or down, so that as few workers as possible are missing.
func (p *Progress) Next(now time.Duration, work func(machine string) int) []string {
	slots := p.MaxDown - len(p.Draining)
	if p.onSchedule(now) {
		slots -= p.Down()
	}
	var candidates []string
	for _, name := range p.Remaining() {
		if _, draining := p.Draining[name]; !draining && p.Reachable(name) {
			candidates = append(candidates, name)
		}
	}
	slices.SortStableFunc(candidates, func(a, b string) int { return work(a) - work(b) })
	return candidates[:min(max(0, slots), len(candidates))]
}

// Reachable reports whether a command for a machine can have an effect: the machine is up, its state was not reported,
// or an earlier command may still take effect.
func (p *Progress) Reachable(name string) bool {
	state := p.States[name]
	return state == "" || state == StateUp || p.mayBeDown(name)
}

// GracePeriod returns the grace period: how long tasks may keep running on a machine that is being
// drained before they are stopped.
func (p *Progress) GracePeriod(now time.Duration) time.Duration {
	timePerBatch := p.timeLeft(now) / time.Duration(max(1, p.remainingBatches()))
	return max(0, min(maxDrainTime, timePerBatch-expectedDowntime))
}
