// Package queue orders pending tasks by urgency and kind; within such a class, jobs are ordered by latest start time
// and other tasks by arrival. A task that cannot be placed is backed off together with all tasks of its shape; an event
// that may make room for them brings the next try forward. Every operation takes O(log n) per task that it adds,
// removes or returns.
package queue

import (
	"time"

	"bronzehook/api"
)

// Item is a pending task with the data that determines its position in the queue.
type Item struct {
	Task api.Task
	Spec *api.Spec
	// Size is what the next attempt reserves.
	Size api.Resources
	// RunTime is the predicted remaining run time; 0 if unknown.
	RunTime time.Duration
	// Avoid lists the workers that refused the task or on which it failed recently.
	Avoid []api.WorkerID
}

// Cause is the reason why a task could not be placed. It determines which events bring its next try forward.
type Cause uint8

// The causes.
const (
	// CauseCapacity means that no worker has enough free capacity at present.
	CauseCapacity Cause = iota
	// CauseQuota means that the task would exceed its team's quota.
	CauseQuota
	// CauseInfeasible means that no worker of the fleet can ever run the task, or that it is larger than its team's quota.
	CauseInfeasible
	// CauseRunning means that the task's last attempt has not ended. It delays only this task, not its shape.
	CauseRunning
)

// Options configures the order and the back-off. Each feature can be disabled separately.
type Options struct {
	// ByUrgency orders tasks by urgency, and within an urgency places services and watchers before jobs.
	ByUrgency bool
	// BySlack orders jobs by slack to the deadline instead of by arrival, and puts jobs that can no longer meet their
	// deadline behind those that can.
	BySlack bool
	// BackOff delays the next try of a shape that could not be placed.
	BackOff bool
	// MinBackOff is the first delay of a shape that could not be placed; the delay doubles with each failed try.
	MinBackOff time.Duration
	// MaxBackOff bounds the delay of tasks below high urgency.
	MaxBackOff time.Duration
	// MaxUrgentBackOff bounds the delay of tasks of high and critical urgency.
	MaxUrgentBackOff time.Duration
	// AvoidFor is the time for which a worker that refused a task is not tried again for it.
	AvoidFor time.Duration
	// NoDeadlineHorizon is the deadline assumed for jobs without one, so that they are not starved.
	NoDeadlineHorizon time.Duration
	// MinRunTimeShare is the fraction of the predicted run time that must be left until the deadline. A job with less time
	// left counts as late. The fraction is below 1 because predictions include a margin.
	MinRunTimeShare float64
}

// DefaultOptions returns the production defaults. MaxUrgentBackOff allows several tries within the 8.7 s in which an
// urgent task has to start.
func DefaultOptions() Options {
	return Options{
		ByUrgency: true, BySlack: true, BackOff: true,
		MinBackOff: 250 * time.Millisecond, MaxBackOff: 30 * time.Second, MaxUrgentBackOff: time.Second,
		AvoidFor: 30 * time.Second, NoDeadlineHorizon: 24 * time.Hour, MinRunTimeShare: 0.9,
	}
}

// EventKind is the kind of change that may allow a pending task to be placed.
type EventKind uint8

// The kinds of events.
const (
	// EventCapacityFreed means that resources were freed on a worker.
	EventCapacityFreed EventKind = iota
	// EventTeamQuota means that a team's use has decreased or its quota has increased.
	EventTeamQuota
	// EventFleetChanged means that workers have joined or that the configuration has changed.
	EventFleetChanged
)

// Event reports a change that may allow backed-off tasks to be placed.
type Event struct {
	Kind EventKind
	// Region and Free describe the worker of an EventCapacityFreed: its region and its total free capacity.
	Region string
	Free   api.Resources
	// Team is the name of the team of an EventTeamQuota.
	Team string
}

// shapeKey identifies tasks that are interchangeable for placement: same workload, size and class.
type shapeKey struct {
	workload string
	size     api.Resources
	class    int
}

// entryState says which heap holds an entry.
type entryState uint8

const (
	// stateOnTime is the state of an entry in its shape's onTime heap.
	stateOnTime entryState = iota
	// stateLate is the state of an entry in its shape's late heap.
	stateLate
	// stateDelayed is the state of an entry in the queue's delayed heap.
	stateDelayed
	// stateDetached is the state of an entry in no heap, such as one that Ready has returned.
	stateDetached
)

// entry is a queued item with its position in the queue.
type entry struct {
	item  Item
	shape *shape
	// class is the urgency and kind as a number; lower classes are placed first.
	class int
	// rank orders the entries of a class: by latest start time in nanoseconds for jobs with BySlack set, by
	// arrival otherwise.
	rank int64
	// lateFrom is the time in nanoseconds after which the entry counts as late.
	lateFrom int64
	// seq is the order of arrival.
	seq       uint64
	state     entryState
	heapIndex int
	// retryAt is when a delayed entry is tried again.
	retryAt time.Time
	// avoidUntil holds the time until which each worker in item.Avoid is avoided.
	avoidUntil     []time.Time
	rejectionCount int
}

func (e *entry) before(o *entry) bool {
	if e.rank != o.rank {
		return e.rank < o.rank
	}
	return e.seq < o.seq
}

// shape holds the queued entries that are interchangeable for placement.
type shape struct {
	key    shapeKey
	class  int
	onTime entryHeap
	late   entryHeap
	// refs counts the entries of the shape, including detached and delayed ones.
	refs int
	// heapIndex is the position in the queue's active or backedOff heap; -1 if the shape is in neither.
	heapIndex   int
	backedOff   bool
	cause       Cause
	backedOffAt time.Time
	// retryAt is when a backed-off shape is tried again.
	retryAt time.Time
	// retryDelay is the current back-off; it is reset to 0 when a task of the shape is placed.
	retryDelay time.Duration
}

func (s *shape) empty() bool { return len(s.onTime.items) == 0 && len(s.late.items) == 0 }

func (s *shape) head() *entry {
	if len(s.onTime.items) > 0 {
		return s.onTime.items[0]
	}
	return s.late.items[0]
}

// before orders shapes by class and then by their heads. Within a class, shapes with only late entries come last.
func (s *shape) before(o *shape) bool {
	if s.class != o.class {
		return s.class < o.class
	}
	sLate, oLate := len(s.onTime.items) == 0, len(o.onTime.items) == 0
	if sLate != oLate {
		return oLate
	}
	return s.head().before(o.head())
}
