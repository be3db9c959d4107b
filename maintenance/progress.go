package maintenance

import (
	"slices"
	"time"
)

// Timing of a wave.
const (
	// emptyTime is how long work may take to end by itself on a machine that is being emptied, if the wave has time.
	emptyTime = 8 * time.Second
	// downTime is how long a machine is taken to be down.
	downTime = 3 * time.Second
	// usualEmptying is how long machines take to be empty on average, for the question whether the wave is in time.
	usualEmptying = 4 * time.Second
)

// Progress is what a holder of the duty knows of a wave.
type Progress struct {
	Due
	// Begun holds the machines that need nothing more: their maintenance has begun, or they are gone.
	Begun map[string]bool
	// Emptying holds since when machines get no new work.
	Emptying map[string]time.Duration
	// Ordered holds when the newest order for a machine was sent.
	Ordered map[string]time.Duration
	// Open holds machines whose newest order had no answer: it may be carried out at any time.
	Open map[string]bool
	// States holds the newest listing, which was asked for at ListedAt.
	States   map[string]State
	ListedAt time.Duration
	Listed   bool
}

// NewProgress returns the progress of a wave of which nothing is known.
func NewProgress(due Due) *Progress {
	return &Progress{
		Due: due, Begun: make(map[string]bool), Emptying: make(map[string]time.Duration), Ordered: make(map[string]time.Duration),
		Open: make(map[string]bool),
	}
}

// Left returns the machines that still need maintenance.
func (p *Progress) Left() []string {
	var left []string
	for _, name := range p.Machines {
		if !p.Begun[name] {
			left = append(left, name)
		}
	}
	return left
}

// mayBeDown reports whether a machine may be down for this wave: it is listed so, an order had no answer, or one was sent
// after the newest listing was asked for.
func (p *Progress) mayBeDown(name string) bool {
	sent, ordered := p.Ordered[name]
	return p.States[name] == StateMaintenance || p.Open[name] || (ordered && sent >= p.ListedAt)
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

// MayOrder reports whether the maintenance of a machine may begin now. A machine whose order had no answer counts as down
// already, so that it may be ordered again.
func (p *Progress) MayOrder(name string) bool {
	if !p.Listed || p.Begun[name] {
		return false
	}
	down := p.Down()
	if p.mayBeDown(name) {
		down--
	}
	return down < p.Cap
}

// rounds is the number of times that as many machines as may be down are still to go down.
func (p *Progress) rounds() int {
	return (len(p.Left()) + max(1, p.Cap) - 1) / max(1, p.Cap)
}

// timeLeft is the time until the last maintenance has to begin.
func (p *Progress) timeLeft(now time.Duration) time.Duration { return p.Since + p.Duration - now }

// inTime reports whether the wave ends in time if no machine is emptied before another is back.
func (p *Progress) inTime(now time.Duration) bool {
	return time.Duration(p.rounds())*(usualEmptying+downTime) <= p.timeLeft(now)
}

// Next returns the machines to empty from now on, those with the least work first. While the wave is in time, machines that
// are emptied or down are no more than may be down, so that as few workers as possible are missing.
func (p *Progress) Next(now time.Duration, work func(machine string) int) []string {
	room := p.Cap - len(p.Emptying)
	if p.inTime(now) {
		room -= p.Down()
	}
	var candidates []string
	for _, name := range p.Left() {
		if _, emptying := p.Emptying[name]; !emptying && p.Reachable(name) {
			candidates = append(candidates, name)
		}
	}
	slices.SortStableFunc(candidates, func(a, b string) int { return work(a) - work(b) })
	return candidates[:min(max(0, room), len(candidates))]
}

// Reachable reports whether an order for a machine can have an effect: it is up, or the listing does not have it, or an order
// may be on its way.
func (p *Progress) Reachable(name string) bool {
	state := p.States[name]
	return state == "" || state == StateUp || p.mayBeDown(name)
}

// Patience is how long work may go on at a machine that is being emptied before it is stopped.
func (p *Progress) Patience(now time.Duration) time.Duration {
	share := p.timeLeft(now) / time.Duration(max(1, p.rounds()))
	return max(0, min(emptyTime, share-downTime))
}
