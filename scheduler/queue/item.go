// Package queue orders pending tasks: by urgency class, then by slack to the deadline for batch work and by arrival for
// the rest. Tasks that cannot be placed are backed off together with all tasks of the same shape and are woken by the
// events that can help them. Every operation costs O(log n) of the tasks that it names.
package queue

import (
	"time"

	"bronzehook/api"
)

// Item is one pending task with what the order needs to know about it.
type Item struct {
	Task api.Task
	Spec *api.Spec
	// Size is the amount to reserve for the next attempt.
	Size api.Resources
	// RunTime is the predicted remaining run time; 0 if unknown.
	RunTime time.Duration
	// Avoid lists workers that refused the task or on which it failed.
	Avoid []api.WorkerID
}

// Cause says why a task could not be placed, as far as the queue needs to know.
type Cause uint8

// The causes.
const (
	// CauseCapacity means that no worker has room now.
	CauseCapacity Cause = iota
	// CauseQuota means that the team is at its quota.
	CauseQuota
	// CauseInfeasible means that no worker of the fleet can ever run the task.
	CauseInfeasible
	// CauseRunning means that an attempt of the task has not ended. It holds up this task alone.
	CauseRunning
)

// Options switches the parts of the order; each can be off alone.
type Options struct {
	// ByUrgency orders by urgency class.
	ByUrgency bool
	// BySlack orders batch work by slack to the deadline instead of by arrival, and moves work that can no longer meet
	// its deadline behind work that can.
	BySlack bool
	// BackOff holds shapes that could not be placed.
	BackOff bool
	// MinBackOff is the first delay of a shape that could not be placed; it doubles with each failed try.
	MinBackOff time.Duration
	// MaxBackOff bounds the delay of work below high urgency.
	MaxBackOff time.Duration
	// MaxUrgentBackOff bounds the delay of high and critical work.
	MaxUrgentBackOff time.Duration
	// AvoidFor is how long a worker that refused a task is not tried again for it.
	AvoidFor time.Duration
	// NoDeadlineHorizon stands in for the deadline of batch work without one, so that such work is not starved.
	NoDeadlineHorizon time.Duration
	// HopelessShare is the part of the predicted run time that must still fit before the deadline. Work with less time
	// left counts as late. It is below 1 because predictions carry a margin.
	HopelessShare float64
}

// DefaultOptions returns the options of a production site. MaxUrgentBackOff leaves several tries within the 8.7 s in
// which urgent work has to start.
func DefaultOptions() Options {
	return Options{
		ByUrgency: true, BySlack: true, BackOff: true,
		MinBackOff: 250 * time.Millisecond, MaxBackOff: 30 * time.Second, MaxUrgentBackOff: time.Second,
		AvoidFor: 30 * time.Second, NoDeadlineHorizon: 24 * time.Hour, HopelessShare: 0.9,
	}
}

// EventKind says what has changed for pending work.
type EventKind uint8

// The kinds of events.
const (
	// EventFreed means that a worker has more room than before.
	EventFreed EventKind = iota
	// EventTeam means that a team uses less than before or has a larger quota.
	EventTeam
	// EventFleet means that workers joined or that the configuration changed.
	EventFleet
)

// Event tells the queue of a change that may help tasks that could not be placed.
type Event struct {
	Kind EventKind
	// Region and Free describe the worker of an EventFreed: where it is and all that is free on it now.
	Region string
	Free   api.Resources
	// Team is the team of an EventTeam.
	Team string
}

// shapeKey identifies tasks that are interchangeable for placement.
type shapeKey struct {
	work  string
	size  api.Resources
	class int
}

type place uint8

const (
	placeOnTime place = iota
	placeLate
	placeDelayed
	placeOut
)

// entry is a queued item.
type entry struct {
	item  Item
	shape *shape
	class int
	// rank orders entries of one class: the latest start for batch, the arrival otherwise, in nanoseconds.
	rank int64
	// hopelessAt is the time in nanoseconds from which the entry counts as late.
	hopelessAt int64
	seq        uint64
	where      place
	pos        int
	readyAt    time.Time
	avoidUntil []time.Time
	rejections int
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
	// refs counts the entries of the shape, with those that Ready has given out.
	refs int
	// pos is the position in the active heap or the parked heap.
	pos      int
	parked   bool
	cause    Cause
	parkedAt time.Time
	until    time.Time
	delay    time.Duration
}

func (s *shape) empty() bool { return len(s.onTime.entries) == 0 && len(s.late.entries) == 0 }

func (s *shape) head() *entry {
	if len(s.onTime.entries) > 0 {
		return s.onTime.entries[0]
	}
	return s.late.entries[0]
}

// before orders shapes by their heads; late work of a class follows all work of the class that is on time.
func (s *shape) before(o *shape) bool {
	if s.class != o.class {
		return s.class < o.class
	}
	sLate, oLate := len(s.onTime.entries) == 0, len(o.onTime.entries) == 0
	if sLate != oLate {
		return oLate
	}
	return s.head().before(o.head())
}
