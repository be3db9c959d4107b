// Package eviction chooses what gives way: for an urgent task that finds no room, and on a worker whose latency-critical
// tasks suffer. The steps are throttle, then checkpoint, then evict. Victims are those that lose least work and have
// most slack; latency-critical tasks are never victims, and watchers are the last ones.
package eviction

import (
	"cmp"
	"slices"
	"time"

	"bronzehook/api"
)

// Step is an order about a running task.
type Step uint8

// The steps, in the order in which they are taken.
const (
	StepNone Step = iota
	// StepLift ends a throttle.
	StepLift
	StepThrottle
	StepCheckpoint
	StepEvict
)

var stepNames = [...]string{"none", "lift", "throttle", "checkpoint", "evict"}

// String returns the name used in logs and metrics.
func (s Step) String() string { return stepNames[s] }

// MaxEvictions is the number of evictions after which a task is exempt.
const MaxEvictions = 3

// Options tunes the steps; each can be off alone.
type Options struct {
	// ForRoom lets urgent tasks displace less urgent batch work and watchers.
	ForRoom bool
	// ForPressure relieves workers whose latency-critical tasks suffer.
	ForPressure bool
	// Throttle and Checkpoint are the steps before an eviction; without both, victims are evicted at once.
	Throttle, Checkpoint bool
	// Hysteresis waits for pressure to last; without it every report above the limit counts.
	Hysteresis bool
	// ThrottleShare is the share of its processors that a throttled task keeps.
	ThrottleShare float64
	// HighSlowdown and LowSlowdown are the slowdowns of latency-critical tasks at which pressure begins and ends.
	HighSlowdown, LowSlowdown float64
	// CulpritShare leaves those victims out whose predicted relief is below this share of the largest; 0 leaves out none.
	CulpritShare float64
	// HoldFor is how long a worker must be above or below a limit before the state of pressure changes.
	HoldFor time.Duration
	// StepInterval is the time between two steps on one worker. It is longer than the lag of the reports and HoldFor taken
	// together, since the pressure cannot end sooner even if the first step was enough.
	StepInterval time.Duration
	// CheckpointWait is how long a checkpoint may take before the task is evicted without it.
	CheckpointWait time.Duration
	// FreshCheckpoint is the age of a checkpoint below which a task is evicted without another one.
	FreshCheckpoint time.Duration
	// MaxPerCycle bounds the evictions of one cycle that relieve pressure.
	MaxPerCycle int
}

// DefaultOptions returns the options of a production site. CheckpointWait leaves more than half of the 8.7 s in which
// urgent work has to start for the start itself.
func DefaultOptions() Options {
	return Options{
		ForRoom: true, ForPressure: true, Throttle: true, Checkpoint: true, Hysteresis: true,
		ThrottleShare: 0.4, HighSlowdown: 1.8, LowSlowdown: 1.4, CulpritShare: 0.5,
		HoldFor: 15 * time.Second, StepInterval: 40 * time.Second, CheckpointWait: 3 * time.Second,
		FreshCheckpoint: 15 * time.Second, MaxPerCycle: 4,
	}
}

// Candidate is a running task that may have to give way.
type Candidate struct {
	// Index is the caller's handle of the task.
	Index     int
	Kind      api.Kind
	Urgency   api.Urgency
	Size      api.Resources
	Evictions int
	// Lost is the work that is lost if the task is stopped now.
	Lost time.Duration
	// Slack is the time that the task can lose before it misses its deadline.
	Slack     time.Duration
	Throttled bool
	// Relief is how much the task is predicted to slow down the latency-critical tasks of its worker, taken together.
	Relief float64
	// LastStep is the last step that was ordered, SinceStep ago.
	LastStep  Step
	SinceStep time.Duration
	// CheckpointAge is the age of the last checkpoint; negative if there is none.
	CheckpointAge time.Duration
}

// Action is a step about one candidate.
type Action struct {
	Index int
	Step  Step
	// Share is the share of processors of a StepThrottle.
	Share float64
}

// mayYield reports whether the candidate may be stopped for work of the given kind and urgency.
func mayYield(c *Candidate, kind api.Kind, urgency api.Urgency) bool {
	if c.Evictions >= MaxEvictions || c.Kind == api.KindService {
		return false
	}
	if c.Kind == api.KindWatcher {
		return kind == api.KindService && urgency > c.Urgency
	}
	return urgency > c.Urgency || kind != api.KindJob
}

// order sorts victims: watchers last, less urgent first, tasks that would miss their deadline late, then least lost work
// and most slack.
func order(a, b Candidate) int {
	const lostGrain = 30 * time.Second
	return cmp.Or(
		compareBool(a.Kind == api.KindWatcher, b.Kind == api.KindWatcher),
		cmp.Compare(a.Urgency, b.Urgency),
		compareBool(tight(&a), tight(&b)),
		cmp.Compare(a.Lost/lostGrain, b.Lost/lostGrain),
		cmp.Compare(b.Slack, a.Slack),
		cmp.Compare(a.Index, b.Index),
	)
}

// tight reports whether stopping the task would probably make it miss its deadline.
func tight(c *Candidate) bool {
	const restartCost = time.Minute
	return c.Slack < 2*c.Lost+restartCost
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// VictimSet is what has to be given up on one worker for a task.
type VictimSet struct {
	Actions []Action
	// Lost is the work that the victims lose.
	Lost time.Duration
	// Victims is the number of tasks that give way.
	Victims int
}

// SelectVictims returns the steps that free the missing resources on one worker for work of the given kind and urgency. ok is
// false if the candidates that may yield are not enough. Victims that have no fresh checkpoint are asked for one first;
// the next cycle then finds them cheapest and evicts them.
func (o *Options) SelectVictims(missing api.Resources, kind api.Kind, urgency api.Urgency, all []Candidate) (room VictimSet, ok bool) {
	if !o.ForRoom {
		return VictimSet{}, false
	}
	victims := o.enough(missing, kind, urgency, all)
	if victims == nil {
		return VictimSet{}, false
	}
	for i := range victims {
		room.Lost += victims[i].Lost
		room.Actions = append(room.Actions, o.stop(&victims[i]))
	}
	room.Victims = len(victims)
	return room, true
}

// enough returns the first victims in order that free what is missing, without those that turn out to be unnecessary.
func (o *Options) enough(missing api.Resources, kind api.Kind, urgency api.Urgency, all []Candidate) []Candidate {
	var yielding []Candidate
	for i := range all {
		if mayYield(&all[i], kind, urgency) {
			yielding = append(yielding, all[i])
		}
	}
	slices.SortFunc(yielding, order)
	var freed api.Resources
	var victims []Candidate
	for i := 0; i < len(yielding) && !missing.Fits(freed); i++ {
		freed = freed.Add(yielding[i].Size)
		victims = append(victims, yielding[i])
	}
	if !missing.Fits(freed) {
		return nil
	}
	for i := len(victims) - 1; i >= 0; i-- {
		if without := freed.Sub(victims[i].Size); missing.Fits(without) {
			freed = without
			victims = slices.Delete(victims, i, i+1)
		}
	}
	return victims
}

// stop returns the next step towards stopping a task: a checkpoint unless there is a fresh one or one was asked for long
// enough ago.
func (o *Options) stop(c *Candidate) Action {
	fresh := c.CheckpointAge >= 0 && c.CheckpointAge <= o.FreshCheckpoint
	asked := c.LastStep == StepCheckpoint
	switch {
	case !o.Checkpoint || fresh || c.Lost == 0:
		return Action{Index: c.Index, Step: StepEvict}
	case asked && c.SinceStep >= o.CheckpointWait:
		return Action{Index: c.Index, Step: StepEvict}
	case asked:
		return Action{Index: c.Index, Step: StepNone}
	}
	return Action{Index: c.Index, Step: StepCheckpoint}
}
