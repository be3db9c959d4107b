package queue

import (
	"container/heap"
	"slices"
	"time"

	"bronzehook/api"
)

// infeasibleRecheck is when a task that can never run is looked at again without a change of the fleet, in case the
// event was lost.
const infeasibleRecheck = 10 * time.Minute

func (q *Queue) shapeOf(item *Item, class int) *shape {
	key := shapeKey{work: item.Task.Work, size: item.Size, class: class}
	s := q.shapes[key]
	if s == nil {
		s = &shape{key: key, class: class, pos: -1}
		q.shapes[key] = s
	}
	s.refs++
	return s
}

// forget takes an entry out of the queue for good. A shape lives as long as an entry names it.
func (q *Queue) forget(e *entry) {
	q.unlink(e)
	e.shape.refs--
	if e.shape.refs == 0 {
		delete(q.shapes, e.shape.key)
	}
}

// link puts an entry that is out of the queue into its shape.
func (q *Queue) link(e *entry) {
	e.where = placeOnTime
	q.insert(e)
}

// insert puts an entry into the part of its shape that e.where names.
func (q *Queue) insert(e *entry) {
	s := e.shape
	if e.where == placeLate {
		heap.Push(&s.late, e)
	} else {
		heap.Push(&s.onTime, e)
	}
	q.reorder(s)
}

// unlink takes an entry out of the queue; q.entries still knows it.
func (q *Queue) unlink(e *entry) {
	switch e.where {
	case placeOnTime:
		heap.Remove(&e.shape.onTime, e.pos)
	case placeLate:
		heap.Remove(&e.shape.late, e.pos)
	case placeDelayed:
		heap.Remove(&q.delayed, e.pos)
	}
	inShape := e.where == placeOnTime || e.where == placeLate
	e.where = placeOut
	if inShape {
		q.reorder(e.shape)
	}
}

// reorder restores a shape's position after its entries changed. An empty shape leaves its heap.
func (q *Queue) reorder(s *shape) {
	h := &q.active
	if s.parked {
		h = &q.parked
	}
	switch {
	case s.empty() && s.pos >= 0:
		q.takeOut(h, s)
		s.parked = false
	case s.empty():
	case s.pos < 0:
		heap.Push(h, s)
	default:
		heap.Fix(h, s.pos)
	}
}

func (q *Queue) takeOut(h *shapeHeap, s *shape) {
	// The heap compares heads, which an empty shape lacks; it is therefore removed without comparing it.
	last := len(h.shapes) - 1
	i := s.pos
	if i != last {
		h.Swap(i, last)
	}
	h.Pop()
	if i != last {
		heap.Fix(h, i)
	}
	s.pos = -1
}

// park backs off a shape. Several refusals of one shape before it is tried again count once.
func (q *Queue) park(s *shape, cause Cause, now time.Time) {
	if s.parked {
		return
	}
	if s.pos >= 0 {
		q.takeOut(&q.active, s)
	}
	s.delay = q.nextDelay(s.class, max(2*s.delay, q.opts.MinBackOff))
	s.parked, s.cause, s.parkedAt = true, cause, now
	s.until = now.Add(s.delay)
	if cause == CauseInfeasible {
		s.until = now.Add(infeasibleRecheck)
	}
	if !s.empty() {
		heap.Push(&q.parked, s)
	}
}

func (q *Queue) nextDelay(class int, wanted time.Duration) time.Duration {
	const lastUrgentClass = 2*(api.UrgencyCount-1-int(api.High)) + 1
	if q.opts.ByUrgency && class <= lastUrgentClass {
		return min(wanted, q.opts.MaxUrgentBackOff)
	}
	return min(wanted, q.opts.MaxBackOff)
}

// wakeDue returns shapes and entries whose delay has passed.
func (q *Queue) wakeDue(now time.Time) {
	for len(q.parked.shapes) > 0 && !q.parked.shapes[0].until.After(now) {
		q.wake(q.parked.shapes[0])
	}
	for len(q.delayed.entries) > 0 && !q.delayed.entries[0].readyAt.After(now) {
		e := q.delayed.entries[0]
		q.unlink(e)
		q.link(e)
	}
}

func (q *Queue) wake(s *shape) {
	q.takeOut(&q.parked, s)
	s.parked = false
	heap.Push(&q.active, s)
}

// applyEvents brings forward the next try of the parked shapes that the events since the last call can help. Its cost
// grows with the parked shapes, not with the tasks in them.
func (q *Queue) applyEvents(now time.Time) {
	if len(q.events.free) == 0 && len(q.events.teams) == 0 && !q.events.fleet {
		return
	}
	var helped []*shape
	for _, s := range q.parked.shapes {
		if q.helps(s) {
			helped = append(helped, s)
		}
	}
	for _, s := range helped {
		earliest := s.parkedAt.Add(s.delay / eventShare)
		if earliest.Before(s.until) {
			s.until = earliest
			heap.Fix(&q.parked, s.pos)
		}
	}
	clear(q.events.free)
	clear(q.events.teams)
	q.events.fleet = false
}

func (q *Queue) helps(s *shape) bool {
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
