// Package eviction selects victims: tasks to preempt for an urgent task that does not fit on any worker, and tasks to
// throttle or stop on a worker whose latency-critical tasks are slowed down. Under such pressure a task is throttled
// first, then checkpointed, then evicted; for an urgent task it is checkpointed and evicted. Tasks that lose the least
// work and have the most slack are selected first and watchers last. Latency-critical tasks are never victims.
package eviction

import (
	"cmp"
	"slices"
	"time"

	"bronzehook/api"
)

// Step is a command for a running task.
type Step uint8

// The steps, in the order in which they are taken.
const (
	StepNone Step = iota
	// StepUnthrottle removes the throttle of a task.
	StepUnthrottle
	StepThrottle
	StepCheckpoint
	StepEvict
)

var stepNames = [...]string{"none", "lift", "throttle", "checkpoint", "evict"}

// String returns the name of the step in logs and metrics.
func (s Step) String() string { return stepNames[s] }

// MaxEvictions is the number of evictions after which a task is no longer evicted.
const MaxEvictions = 3

// Options configures the selection of victims and steps; each part can be disabled independently.
type Options struct {
	// Preemption allows urgent tasks to preempt less urgent batch tasks and watchers.
	Preemption bool
	// PressureRelief allows steps on workers whose latency-critical tasks are slowed down.
	PressureRelief bool
	// Throttle and Checkpoint enable the steps before an eviction; with both disabled, victims are evicted at once.
	Throttle, Checkpoint bool
	// Hysteresis changes the state of pressure only after StabilizationPeriod; without it a single report changes the state.
	Hysteresis bool
	// ThrottleShare is the share of its processors that a throttled task may use.
	ThrottleShare float64
	// HighSlowdown and LowSlowdown are the slowdowns of latency-critical tasks from which pressure begins and ends.
	HighSlowdown, LowSlowdown float64
	// MinAggressorShare is the minimum CausedSlowdown of a victim, as a share of the largest CausedSlowdown of a job on
	// the worker; 0 excludes no job.
	MinAggressorShare float64
	// StabilizationPeriod is how long the slowdown must stay above or below a limit before the state of pressure changes.
	StabilizationPeriod time.Duration
	// StepInterval is the time between two steps on one worker. It exceeds the delay of usage reports plus StabilizationPeriod,
	// because pressure cannot end sooner even if the first step was sufficient.
	StepInterval time.Duration
	// CheckpointWait is the time after which a task is evicted even if its requested checkpoint is not complete.
	CheckpointWait time.Duration
	// FreshCheckpoint is the age of a checkpoint up to which a task is evicted without another checkpoint.
	FreshCheckpoint time.Duration
	// MaxEvictionsPerCycle bounds the evictions that relieve pressure in one scheduling cycle.
	MaxEvictionsPerCycle int
}

// DefaultOptions returns the options for production. Urgent work must start within 8.7 s; CheckpointWait leaves more
// than half of that time for starting the task.
func DefaultOptions() Options {
	return Options{
		Preemption: true, PressureRelief: true, Throttle: true, Checkpoint: true, Hysteresis: true,
		ThrottleShare: 0.4, HighSlowdown: 1.8, LowSlowdown: 1.4, MinAggressorShare: 0.5,
		StabilizationPeriod: 15 * time.Second, StepInterval: 40 * time.Second, CheckpointWait: 3 * time.Second,
		FreshCheckpoint: 15 * time.Second, MaxEvictionsPerCycle: 4,
	}
}

// Candidate is a running task that may be selected as a victim.
type Candidate struct {
	// Index identifies the task to the caller.
	Index     int
	Kind      api.Kind
	Urgency   api.Urgency
	Size      api.Resources
	Evictions int
	// LostWork is the run time that is lost if the task is stopped now.
	LostWork time.Duration
	// Slack is the delay after which the task misses its deadline.
	Slack     time.Duration
	Throttled bool
	// CausedSlowdown is the predicted slowdown that the task causes, summed over the latency-critical tasks on its worker.
	CausedSlowdown float64
	// LastStep is the last step that was issued for the task, SinceStep ago.
	LastStep  Step
	SinceStep time.Duration
	// CheckpointAge is the age of the last checkpoint, or negative if there is none.
	CheckpointAge time.Duration
}

// Action is a step for one candidate.
type Action struct {
	Index int
	Step  Step
	// Share is the share of its processors that the task may use after StepThrottle or StepUnthrottle.
	Share float64
}

// isPreemptibleBy reports whether the candidate may be stopped for a task of the given kind and urgency. Services and
// watchers may preempt jobs of any urgency; a watcher may be preempted only by a more urgent service.
func isPreemptibleBy(c *Candidate, kind api.Kind, urgency api.Urgency) bool {
	if c.Evictions >= MaxEvictions || c.Kind == api.KindService {
		return false
	}
	if c.Kind == api.KindWatcher {
		return kind == api.KindService && urgency > c.Urgency
	}
	return urgency > c.Urgency || kind != api.KindJob
}

// compareVictims orders victims: jobs before watchers, then by urgency, then tasks that would meet their deadline
// before tasks that would miss it, then by least lost work and most slack. Lost work is compared in units of
// lostWorkResolution, so that slack decides between similar losses.
func compareVictims(a, b Candidate) int {
	const lostWorkResolution = 30 * time.Second
	return cmp.Or(
		compareBool(a.Kind == api.KindWatcher, b.Kind == api.KindWatcher),
		cmp.Compare(a.Urgency, b.Urgency),
		compareBool(wouldMissDeadline(&a), wouldMissDeadline(&b)),
		cmp.Compare(a.LostWork/lostWorkResolution, b.LostWork/lostWorkResolution),
		cmp.Compare(b.Slack, a.Slack),
		cmp.Compare(a.Index, b.Index),
	)
}

// wouldMissDeadline reports whether the task would probably miss its deadline if it were stopped now.
func wouldMissDeadline(c *Candidate) bool {
	const restartCost = time.Minute
	return c.Slack < 2*c.LostWork+restartCost
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

// VictimSet is a set of victims on one worker whose capacity a task needs.
type VictimSet struct {
	Actions []Action
	// LostWork is the run time that the victims lose together.
	LostWork time.Duration
	// Count is the number of victims.
	Count int
}

// SelectVictims returns the steps that free the missing resources on one worker for a task of the given kind and
// urgency. ok is false if stopping all preemptible candidates would not free enough. A victim without a fresh
// checkpoint is asked for one first; after the checkpoint it loses the least work, so that the next scheduling cycle
// selects and evicts it.
func (o *Options) SelectVictims(
	missing api.Resources, kind api.Kind, urgency api.Urgency, candidates []Candidate,
) (set VictimSet, ok bool) {
	if !o.Preemption {
		return VictimSet{}, false
	}
	victims := o.minimalVictims(missing, kind, urgency, candidates)
	if victims == nil {
		return VictimSet{}, false
	}
	for i := range victims {
		set.LostWork += victims[i].LostWork
		set.Actions = append(set.Actions, o.nextStopStep(&victims[i]))
	}
	set.Count = len(victims)
	return set, true
}

// minimalVictims returns the first preemptible candidates in the order of compareVictims that free the missing
// resources, without those that are unnecessary given the others; nil if all of them do not free enough.
func (o *Options) minimalVictims(
	missing api.Resources, kind api.Kind, urgency api.Urgency, candidates []Candidate,
) []Candidate {
	var preemptible []Candidate
	for i := range candidates {
		if isPreemptibleBy(&candidates[i], kind, urgency) {
			preemptible = append(preemptible, candidates[i])
		}
	}
	slices.SortFunc(preemptible, compareVictims)
	var freed api.Resources
	var victims []Candidate
	for i := 0; i < len(preemptible) && !missing.Fits(freed); i++ {
		freed = freed.Add(preemptible[i].Size)
		victims = append(victims, preemptible[i])
	}
	if !missing.Fits(freed) {
		return nil
	}
	for i := len(victims) - 1; i >= 0; i-- {
		if remaining := freed.Sub(victims[i].Size); missing.Fits(remaining) {
			freed = remaining
			victims = slices.Delete(victims, i, i+1)
		}
	}
	return victims
}

// nextStopStep returns the next step to stop a task: an eviction if no checkpoint is needed or one was requested at
// least CheckpointWait ago, StepNone while a requested checkpoint is pending, and a checkpoint otherwise. No checkpoint
// is needed if checkpoints are disabled, a fresh one exists or the task would lose no work.
func (o *Options) nextStopStep(c *Candidate) Action {
	checkpointFresh := c.CheckpointAge >= 0 && c.CheckpointAge <= o.FreshCheckpoint
	checkpointRequested := c.LastStep == StepCheckpoint
	switch {
	case !o.Checkpoint || checkpointFresh || c.LostWork == 0:
		return Action{Index: c.Index, Step: StepEvict}
	case checkpointRequested && c.SinceStep >= o.CheckpointWait:
		return Action{Index: c.Index, Step: StepEvict}
	case checkpointRequested:
		return Action{Index: c.Index, Step: StepNone}
	}
	return Action{Index: c.Index, Step: StepCheckpoint}
}
