package queue

import (
	"container/heap"
	"slices"
	"time"

	"bronzehook/api"
)

// infeasibleRetryInterval is the time after which an infeasible task is tried again without a change of the fleet, in
// case the event was lost.
const infeasibleRetryInterval = 10 * time.Minute

// shapeOf returns the shape of an item, creating it if needed, and counts a reference to it.
func (q *Queue) shapeOf(item *Item, class int) *shape {
	key := shapeKey{workload: item.Task.Work, size: item.Size, class: class}
	s := q.shapes[key]
	if s == nil {
		s = &shape{key: key, class: class, heapIndex: -1}
		q.shapes[key] = s
	}
	s.refs++
	return s
}

// remove detaches an entry and releases its reference to the shape. A shape without references is deleted.
func (q *Queue) remove(e *entry) {
	q.detach(e)
	e.shape.refs--
	if e.shape.refs == 0 {
		delete(q.shapes, e.shape.key)
	}
}

// enqueue adds a detached entry to its shape as on time.
func (q *Queue) enqueue(e *entry) {
	e.state = stateOnTime
	q.push(e)
}

// push adds an entry to the heap of its shape that e.state names.
func (q *Queue) push(e *entry) {
	s := e.shape
	if e.state == stateLate {
		heap.Push(&s.late, e)
	} else {
		heap.Push(&s.onTime, e)
	}
	q.fixShape(s)
}

// detach removes an entry from its heap. The entry stays in q.entries.
func (q *Queue) detach(e *entry) {
	switch e.state {
	case stateOnTime:
		heap.Remove(&e.shape.onTime, e.heapIndex)
	case stateLate:
		heap.Remove(&e.shape.late, e.heapIndex)
	case stateDelayed:
		heap.Remove(&q.delayed, e.heapIndex)
	}
	inShape := e.state == stateOnTime || e.state == stateLate
	e.state = stateDetached
	if inShape {
		q.fixShape(e.shape)
	}
}

// fixShape restores the heap position of a shape after its entries have changed. An empty shape is removed from its
// heap.
func (q *Queue) fixShape(s *shape) {
	h := &q.active
	if s.backedOff {
		h = &q.backedOff
	}
	switch {
	case s.empty() && s.heapIndex >= 0:
		q.removeShape(h, s)
		s.backedOff = false
	case s.empty():
	case s.heapIndex < 0:
		heap.Push(h, s)
	default:
		heap.Fix(h, s.heapIndex)
	}
}

// removeShape removes a shape from its heap without comparing it, because an empty shape has no head to compare.
func (q *Queue) removeShape(h *shapeHeap, s *shape) {
	last := len(h.items) - 1
	i := s.heapIndex
	if i != last {
		h.Swap(i, last)
	}
	h.Pop()
	if i != last {
		heap.Fix(h, i)
	}
	s.heapIndex = -1
}

// backOff delays the next try of a shape. Further refusals before that try do not increase the delay.
func (q *Queue) backOff(s *shape, cause Cause, now time.Time) {
	if s.backedOff {
		return
	}
	if s.heapIndex >= 0 {
		q.removeShape(&q.active, s)
	}
	s.retryDelay = q.capDelay(s.class, max(2*s.retryDelay, q.opts.MinBackOff))
	s.backedOff, s.cause, s.backedOffAt = true, cause, now
	s.retryAt = now.Add(s.retryDelay)
	if cause == CauseInfeasible {
		s.retryAt = now.Add(infeasibleRetryInterval)
	}
	if !s.empty() {
		heap.Push(&q.backedOff, s)
	}
}

// capDelay bounds a delay by the maximum back-off of the class.
func (q *Queue) capDelay(class int, delay time.Duration) time.Duration {
	const lastUrgentClass = 2*(api.UrgencyCount-1-int(api.High)) + 1
	if q.opts.ByUrgency && class <= lastUrgentClass {
		return min(delay, q.opts.MaxUrgentBackOff)
	}
	return min(delay, q.opts.MaxBackOff)
}

// activateDue makes the shapes and entries available whose retry time has come.
func (q *Queue) activateDue(now time.Time) {
	for len(q.backedOff.items) > 0 && !q.backedOff.items[0].retryAt.After(now) {
		q.activate(q.backedOff.items[0])
	}
	for len(q.delayed.items) > 0 && !q.delayed.items[0].retryAt.After(now) {
		e := q.delayed.items[0]
		q.detach(e)
		q.enqueue(e)
	}
}

// activate moves a backed-off shape to the active heap.
func (q *Queue) activate(s *shape) {
	q.removeShape(&q.backedOff, s)
	s.backedOff = false
	heap.Push(&q.active, s)
}

// applyEvents brings forward the next try of the backed-off shapes that the events since the last call may allow to be
// placed. Its cost depends on the number of backed-off shapes, not on the number of tasks in them.
func (q *Queue) applyEvents(now time.Time) {
	if len(q.events.free) == 0 && len(q.events.teams) == 0 && !q.events.fleet {
		return
	}
	var affected []*shape
	for _, s := range q.backedOff.items {
		if q.eventsHelp(s) {
			affected = append(affected, s)
		}
	}
	for _, s := range affected {
		earliest := s.backedOffAt.Add(s.retryDelay / eventDelayDivisor)
		if earliest.Before(s.retryAt) {
			s.retryAt = earliest
			heap.Fix(&q.backedOff, s.heapIndex)
		}
	}
	clear(q.events.free)
	clear(q.events.teams)
	q.events.fleet = false
}

// eventsHelp reports whether the recorded events may allow a task of the backed-off shape to be placed.
func (q *Queue) eventsHelp(s *shape) bool {
	if q.events.fleet {
		return true
	}
	spec := s.head().item.Spec
	switch s.cause {
	case CauseQuota:
		return q.events.teams[spec.Team]
	case CauseCapacity:
		for region, free := range q.events.free {
			inRegion := len(spec.Regions) == 0 || slices.Contains(spec.Regions, region)
			if inRegion && s.key.size.Fits(free) {
				return true
			}
		}
	}
	return false
}
