package queue

import (
	"container/heap"
	"slices"
	"time"

	"bronzehook/api"
)

// immediateRetries is how often a task that workers refuse is tried on another worker without delay. Later tries are
// delayed.
const immediateRetries = 3

// eventDelayDivisor bounds how far events can shorten the back-off of a shape: to retryDelay / eventDelayDivisor.
// Otherwise a stream of events would cause a search for the same shape in every cycle.
const eventDelayDivisor = 8

// Queue holds the pending tasks. It is not safe for concurrent use.
type Queue struct {
	opts    Options
	entries map[api.TaskID]*entry
	shapes  map[shapeKey]*shape
	// active holds the shapes that can be tried now.
	active shapeHeap
	// backedOff holds the shapes that wait for their retry time.
	backedOff shapeHeap
	// delayed holds single entries that wait for their own retry time.
	delayed delayHeap
	seq     uint64
	events  mergedEvents
	// rejections outlives the queue entries, because a worker may refuse a task after Placed has removed it.
	rejections        map[api.TaskID]rejectionRecord
	rejectionExpiries []rejectionExpiry
}

// rejectionRecord holds the workers that refused a task.
type rejectionRecord struct {
	avoid []api.WorkerID
	// until holds the time until which each worker in avoid is avoided.
	until []time.Time
	count int
	// expiresAt is when the record is discarded.
	expiresAt time.Time
}

// rejectionExpiry is the time at which the record of a task may be discarded.
type rejectionExpiry struct {
	task api.TaskID
	at   time.Time
}

// mergedEvents combines the events since the last call of Ready.
type mergedEvents struct {
	// free is the largest free capacity per region, for each component separately.
	free  map[string]api.Resources
	teams map[string]bool
	fleet bool
}

// New returns an empty queue.
func New(opts Options) *Queue {
	return &Queue{
		opts:       opts,
		entries:    map[api.TaskID]*entry{},
		shapes:     map[shapeKey]*shape{},
		backedOff:  shapeHeap{byRetryTime: true},
		rejections: map[api.TaskID]rejectionRecord{},
		events:     mergedEvents{free: map[string]api.Resources{}, teams: map[string]bool{}},
	}
}

// Len returns the number of queued tasks, including those that Ready has returned.
func (q *Queue) Len() int { return len(q.entries) }

// Has reports whether the task is queued or has been returned by Ready.
func (q *Queue) Has(task api.TaskID) bool { return q.entries[task] != nil }

// Add queues a task, or replaces its item if it is queued already. The workers to avoid are kept.
func (q *Queue) Add(item Item) {
	id := item.Task.ID
	e := &entry{item: item, seq: q.seq, state: stateDetached}
	q.seq++
	if record, ok := q.rejections[id]; ok {
		e.item.Avoid, e.avoidUntil, e.rejectionCount = record.avoid, record.until, record.count
	}
	if old := q.entries[id]; old != nil {
		e.seq, e.avoidUntil, e.rejectionCount = old.seq, old.avoidUntil, old.rejectionCount
		e.item.Avoid = old.item.Avoid
		q.remove(old)
	}
	e.class = q.classOf(&item)
	e.rank, e.lateFrom = q.rankOf(&item, e.seq)
	e.shape = q.shapeOf(&item, e.class)
	q.entries[id] = e
	q.enqueue(e)
}

// Cancel removes a task in O(log n) and reports whether it was queued.
func (q *Queue) Cancel(task api.TaskID) bool {
	e := q.entries[task]
	if e == nil {
		return false
	}
	q.remove(e)
	delete(q.entries, task)
	return true
}

// Placed removes a task that was placed and resets the back-off delay of its shape.
func (q *Queue) Placed(task api.TaskID) {
	if e := q.entries[task]; e != nil {
		e.shape.retryDelay = 0
		q.Cancel(task)
	}
}

// RequeueUnplaced queues a task again that no worker could take. It backs off the task's shape, or only the task if its last
// attempt has not ended or if it avoids workers.
func (q *Queue) RequeueUnplaced(task api.TaskID, cause Cause, now time.Time) {
	e := q.entries[task]
	if e == nil || e.state != stateDetached {
		return
	}
	if cause == CauseRunning {
		q.delayEntry(e, now.Add(q.opts.MinBackOff))
		return
	}
	if len(e.item.Avoid) > 0 {
		e.rejectionCount++
		q.delayEntry(e, now.Add(q.rejectionDelay(e)))
		return
	}
	if q.opts.BackOff {
		q.backOff(e.shape, cause, now)
	}
	q.enqueue(e)
}

// Requeue queues a task again that Ready has returned and that was not tried.
func (q *Queue) Requeue(task api.TaskID) {
	if e := q.entries[task]; e != nil && e.state == stateDetached {
		q.enqueue(e)
	}
}

// RequeueRejected queues a task again whose placement was refused by the owner of the worker's rack, or which failed on the
// worker. The task avoids the worker for AvoidFor. The first tries on other workers are immediate, later ones are
// delayed.
func (q *Queue) RequeueRejected(item Item, worker api.WorkerID, now time.Time) {
	if !q.Has(item.Task.ID) {
		q.Add(item)
	}
	e := q.entries[item.Task.ID]
	q.detach(e)
	e.item.Avoid = append(slices.Clone(e.item.Avoid), worker)
	e.avoidUntil = append(slices.Clone(e.avoidUntil), now.Add(q.opts.AvoidFor))
	e.rejectionCount++
	q.recordRejections(e, now)
	if e.rejectionCount <= immediateRetries {
		q.enqueue(e)
		return
	}
	q.delayEntry(e, now.Add(q.rejectionDelay(e)))
}

// recordRejections keeps the rejections of a task for several times AvoidFor, so that a task that every worker refuses
// backs off instead of cycling through the workers.
func (q *Queue) recordRejections(e *entry, now time.Time) {
	const recordPeriods = 4
	expiresAt := now.Add(recordPeriods * q.opts.AvoidFor)
	q.rejections[e.item.Task.ID] = rejectionRecord{
		avoid: e.item.Avoid, until: e.avoidUntil, count: e.rejectionCount, expiresAt: expiresAt,
	}
	q.rejectionExpiries = append(q.rejectionExpiries, rejectionExpiry{task: e.item.Task.ID, at: expiresAt})
}

func (q *Queue) expireRejections(now time.Time) {
	for len(q.rejectionExpiries) > 0 && !q.rejectionExpiries[0].at.After(now) {
		id := q.rejectionExpiries[0].task
		if record, ok := q.rejections[id]; ok && !record.expiresAt.After(now) {
			delete(q.rejections, id)
		}
		q.rejectionExpiries = q.rejectionExpiries[1:]
	}
}

// rejectionDelay returns the delay of a task that was rejected by workers; it doubles with each rejection.
func (q *Queue) rejectionDelay(e *entry) time.Duration {
	const maxDoublings = 10
	doublings := min(max(e.rejectionCount-immediateRetries, 0), maxDoublings)
	return q.capDelay(e.class, q.opts.MinBackOff<<doublings)
}

// Notify records an event in O(1). The next Ready applies it.
func (q *Queue) Notify(event Event) {
	switch event.Kind {
	case EventCapacityFreed:
		free := q.events.free[event.Region]
		q.events.free[event.Region] = api.Resources{
			MilliCPU:     max(free.MilliCPU, event.Free.MilliCPU),
			MemoryMB:     max(free.MemoryMB, event.Free.MemoryMB),
			Accelerators: max(free.Accelerators, event.Free.Accelerators),
		}
	case EventTeamQuota:
		q.events.teams[event.Team] = true
	case EventFleetChanged:
		q.events.fleet = true
	}
}

// Ready returns at most limit tasks in the order in which they are to be placed. The caller must pass each of them to
// Placed, RequeueUnplaced, RequeueRejected, Requeue or Cancel.
func (q *Queue) Ready(now time.Time, limit int) []Item {
	q.expireRejections(now)
	q.applyEvents(now)
	q.activateDue(now)
	var items []Item
	for len(items) < limit && len(q.active.items) > 0 {
		s := q.active.items[0]
		e := s.head()
		if e.state == stateOnTime && e.lateFrom < now.UnixNano() {
			q.detach(e)
			e.state = stateLate
			q.push(e)
			continue
		}
		q.detach(e)
		q.expireAvoided(e, now)
		items = append(items, e.item)
	}
	return items
}

// classOf returns the class: urgency, most urgent first, and within an urgency jobs after other tasks.
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

// rankOf returns the rank within the class and the time in nanoseconds after which the item counts as late.
func (q *Queue) rankOf(item *Item, seq uint64) (rank, lateFrom int64) {
	const never = int64(1) << 62
	if !q.opts.BySlack || item.Spec.Kind != api.KindJob {
		return int64(seq), never
	}
	if item.Task.Due.IsZero() {
		return item.Task.Recorded.Add(q.opts.NoDeadlineHorizon - item.RunTime).UnixNano(), never
	}
	needed := time.Duration(float64(item.RunTime) * q.opts.MinRunTimeShare)
	return item.Task.Due.Add(-item.RunTime).UnixNano(), item.Task.Due.Add(-needed).UnixNano()
}

// expireAvoided removes the workers from item.Avoid whose AvoidFor has passed.
func (q *Queue) expireAvoided(e *entry, now time.Time) {
	expired := 0
	for expired < len(e.avoidUntil) && !e.avoidUntil[expired].After(now) {
		expired++
	}
	if expired > 0 {
		e.avoidUntil = e.avoidUntil[expired:]
		e.item.Avoid = e.item.Avoid[expired:]
	}
}

// delayEntry makes a single entry wait until the given time.
func (q *Queue) delayEntry(e *entry, until time.Time) {
	e.state = stateDelayed
	e.retryAt = until
	heap.Push(&q.delayed, e)
}
