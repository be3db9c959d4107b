package queue

import (
	"container/heap"
	"slices"
	"time"

	"bronzehook/api"
)

// freeTries is the number of times that a task refused by a worker is tried elsewhere at once; later tries back off.
const freeTries = 3

// eventShare divides the back-off of a shape into the shortest time between two tries caused by events, so that a
// stream of events cannot make one shape take a search in every cycle.
const eventShare = 8

// Queue holds the pending tasks. It is owned by one goroutine.
type Queue struct {
	opts    Options
	entries map[api.TaskID]*entry
	shapes  map[shapeKey]*shape
	active  shapeHeap
	parked  shapeHeap
	delayed delayHeap
	seq     uint64
	events  merged
	// memory keeps what workers refused after a task has left the queue, since a refusal may come back after Placed.
	memory map[api.TaskID]rejections
	expiry []expiry
}

// rejections is what is remembered of the workers that refused one task.
type rejections struct {
	avoid []api.WorkerID
	until []time.Time
	count int
	// forgetAt is when the rejections are forgotten.
	forgetAt time.Time
}

type expiry struct {
	task api.TaskID
	at   time.Time
}

// merged is what the events since the last Ready add up to.
type merged struct {
	free  map[string]api.Resources
	teams map[string]bool
	fleet bool
}

// New returns an empty queue.
func New(opts Options) *Queue {
	return &Queue{
		opts:    opts,
		entries: map[api.TaskID]*entry{},
		shapes:  map[shapeKey]*shape{},
		parked:  shapeHeap{byTime: true},
		memory:  map[api.TaskID]rejections{},
		events:  merged{free: map[string]api.Resources{}, teams: map[string]bool{}},
	}
}

// Len returns the number of tasks that the queue knows, with those that Ready has given out.
func (q *Queue) Len() int { return len(q.entries) }

// Has reports whether the task is known.
func (q *Queue) Has(task api.TaskID) bool { return q.entries[task] != nil }

// Add queues a task, or replaces what is known about it. The workers to avoid are kept.
func (q *Queue) Add(item Item) {
	id := item.Task.ID
	e := &entry{item: item, seq: q.seq, where: placeOut}
	q.seq++
	if past, ok := q.memory[id]; ok {
		e.item.Avoid, e.avoidUntil, e.rejections = past.avoid, past.until, past.count
	}
	if old := q.entries[id]; old != nil {
		e.seq, e.avoidUntil, e.rejections = old.seq, old.avoidUntil, old.rejections
		e.item.Avoid = old.item.Avoid
		q.forget(old)
	}
	e.class = q.classOf(&item)
	e.rank, e.hopelessAt = q.rankOf(&item, e.seq)
	e.shape = q.shapeOf(&item, e.class)
	q.entries[id] = e
	q.link(e)
}

// Cancel forgets a task at the cost of that task alone and reports whether it was known.
func (q *Queue) Cancel(task api.TaskID) bool {
	e := q.entries[task]
	if e == nil {
		return false
	}
	q.forget(e)
	delete(q.entries, task)
	return true
}

// Placed forgets a task that was placed and lets the rest of its shape be tried without delay.
func (q *Queue) Placed(task api.TaskID) {
	if e := q.entries[task]; e != nil {
		e.shape.delay = 0
		q.Cancel(task)
	}
}

// Refused takes back a task that no worker could take and backs off its shape.
func (q *Queue) Refused(task api.TaskID, cause Cause, now time.Time) {
	e := q.entries[task]
	if e == nil || e.where != placeOut {
		return
	}
	if cause == CauseRunning {
		q.delay(e, now.Add(q.opts.MinBackOff))
		return
	}
	if len(e.item.Avoid) > 0 {
		e.rejections++
		q.delay(e, now.Add(q.retryDelay(e)))
		return
	}
	if q.opts.BackOff {
		q.park(e.shape, cause, now)
	}
	q.link(e)
}

// Return takes back a task that was given out but not tried.
func (q *Queue) Return(task api.TaskID) {
	if e := q.entries[task]; e != nil && e.where == placeOut {
		q.link(e)
	}
}

// Rejected takes back a task whose placement the owner of the worker's rack refused, or which failed there. The worker
// is avoided for this task; the first tries elsewhere are made at once, later ones back off.
func (q *Queue) Rejected(item Item, worker api.WorkerID, now time.Time) {
	if !q.Has(item.Task.ID) {
		q.Add(item)
	}
	e := q.entries[item.Task.ID]
	q.unlink(e)
	e.item.Avoid = append(slices.Clone(e.item.Avoid), worker)
	e.avoidUntil = append(slices.Clone(e.avoidUntil), now.Add(q.opts.AvoidFor))
	e.rejections++
	q.remember(e, now)
	if e.rejections <= freeTries {
		q.link(e)
		return
	}
	q.delay(e, now.Add(q.retryDelay(e)))
}

// remember keeps the rejections of a task for several times AvoidFor, so that a task which every worker refuses backs off
// instead of going round.
func (q *Queue) remember(e *entry, now time.Time) {
	const periods = 4
	at := now.Add(periods * q.opts.AvoidFor)
	q.memory[e.item.Task.ID] = rejections{avoid: e.item.Avoid, until: e.avoidUntil, count: e.rejections, forgetAt: at}
	q.expiry = append(q.expiry, expiry{task: e.item.Task.ID, at: at})
}

func (q *Queue) forgetRejections(now time.Time) {
	for len(q.expiry) > 0 && !q.expiry[0].at.After(now) {
		id := q.expiry[0].task
		if past, ok := q.memory[id]; ok && !past.forgetAt.After(now) {
			delete(q.memory, id)
		}
		q.expiry = q.expiry[1:]
	}
}

// retryDelay returns the delay of a single task that workers refuse; it doubles with each try.
func (q *Queue) retryDelay(e *entry) time.Duration {
	const maxDoublings = 10
	doublings := min(max(e.rejections-freeTries, 0), maxDoublings)
	return q.nextDelay(e.class, q.opts.MinBackOff<<doublings)
}

// Notify tells the queue of a change. It costs O(1); the change is applied by the next Ready.
func (q *Queue) Notify(event Event) {
	switch event.Kind {
	case EventFreed:
		known := q.events.free[event.Region]
		q.events.free[event.Region] = api.Resources{
			MilliCPU:     max(known.MilliCPU, event.Free.MilliCPU),
			MemoryMB:     max(known.MemoryMB, event.Free.MemoryMB),
			Accelerators: max(known.Accelerators, event.Free.Accelerators),
		}
	case EventTeam:
		q.events.teams[event.Team] = true
	case EventFleet:
		q.events.fleet = true
	}
}

// Ready gives out at most limit tasks in the order in which they are to be placed. Each has to come back by Placed,
// Refused, Rejected, Return or Cancel.
func (q *Queue) Ready(now time.Time, limit int) []Item {
	q.forgetRejections(now)
	q.applyEvents(now)
	q.wakeDue(now)
	var items []Item
	for len(items) < limit && len(q.active.shapes) > 0 {
		s := q.active.shapes[0]
		e := s.head()
		if e.where == placeOnTime && e.hopelessAt < now.UnixNano() {
			q.unlink(e)
			e.where = placeLate
			q.insert(e)
			continue
		}
		q.unlink(e)
		q.expireAvoided(e, now)
		items = append(items, e.item)
	}
	return items
}

func (q *Queue) classOf(item *Item) int {
	if !q.opts.ByUrgency {
		return 0
	}
	class := (api.UrgencyCount - 1 - int(item.Spec.Urgency)) * 2
	if item.Spec.Kind == api.KindJob {
		class++
	}
	return class
}

// rankOf returns the rank in the class and the time from which the item counts as late, both in nanoseconds.
func (q *Queue) rankOf(item *Item, seq uint64) (rank, hopelessAt int64) {
	const never = int64(1) << 62
	if !q.opts.BySlack || item.Spec.Kind != api.KindJob {
		return int64(seq), never
	}
	if item.Task.Due.IsZero() {
		return item.Task.Recorded.Add(q.opts.NoDeadlineHorizon - item.RunTime).UnixNano(), never
	}
	needed := time.Duration(float64(item.RunTime) * q.opts.HopelessShare)
	return item.Task.Due.Add(-item.RunTime).UnixNano(), item.Task.Due.Add(-needed).UnixNano()
}

func (q *Queue) expireAvoided(e *entry, now time.Time) {
	keep := 0
	for keep < len(e.avoidUntil) && !e.avoidUntil[keep].After(now) {
		keep++
	}
	if keep > 0 {
		e.avoidUntil = e.avoidUntil[keep:]
		e.item.Avoid = e.item.Avoid[keep:]
	}
}

func (q *Queue) delay(e *entry, until time.Time) {
	e.where = placeDelayed
	e.readyAt = until
	heap.Push(&q.delayed, e)
}
