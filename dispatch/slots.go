package dispatch

import (
	"container/list"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"bronzehook/api"
	"bronzehook/fault"
)

// Slots limits the requests in flight to each worker. Only the owner of a worker's rack allocates its slots.
type Slots interface {
	// Acquire waits until the endpoint's worker has a free slot and connection, at most until ctx ends. The failure is
	// not-run. The returned function releases both; further calls have no effect.
	Acquire(ctx context.Context, endpoint api.Endpoint) (release func(), err error)
}

// SlotTable implements Slots in memory. A request occupies one slot and one connection from before its first byte until
// the endpoint has responded or the exchange is abandoned. Requests wait here rather than in the worker's queue.
type SlotTable struct {
	mu      sync.RWMutex
	workers map[api.WorkerID]*workerSlots
}

// NewSlotTable returns a table without workers.
func NewSlotTable() *SlotTable {
	return &SlotTable{workers: map[api.WorkerID]*workerSlots{}}
}

// SetCapacity sets the capacity of a worker in an owned rack. inherited is the number of requests from an earlier owner
// that are still in flight there; as many slots are not allocated.
func (t *SlotTable) SetCapacity(worker api.WorkerID, slots, connections, inherited int) {
	w := t.find(worker)
	if w == nil {
		w = t.add(worker)
	}
	w.setCapacity(min(slots, connections) - inherited)
}

// Remove stops the allocation of a worker's slots and refuses the requests that wait for one. Requests in flight stay
// counted, so that their slots are not allocated twice after another call of SetCapacity.
func (t *SlotTable) Remove(worker api.WorkerID) {
	if w := t.find(worker); w != nil {
		w.remove()
	}
}

// Acquire implements Slots.
func (t *SlotTable) Acquire(ctx context.Context, endpoint api.Endpoint) (func(), error) {
	w := t.find(endpoint.Worker)
	if w == nil {
		return nil, notOwner(endpoint.Worker)
	}
	return w.acquire(ctx, endpoint)
}

// InUse returns the number of acquired slots of a worker.
func (t *SlotTable) InUse(worker api.WorkerID) int {
	w := t.find(worker)
	if w == nil {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.inUse
}

// Workers returns all workers that were added, including removed ones.
func (t *SlotTable) Workers() []api.WorkerID {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return slices.Sorted(maps.Keys(t.workers))
}

// idleCheckInterval is the interval at which WaitIdle checks whether an endpoint is idle.
const idleCheckInterval = 20 * time.Millisecond

// WaitIdle waits until no request is in flight to an endpoint, at most for limit.
func (t *SlotTable) WaitIdle(ctx context.Context, worker api.WorkerID, task api.TaskID, limit time.Duration) {
	w := t.find(worker)
	if w == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for w.inFlight(task) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (t *SlotTable) find(worker api.WorkerID) *workerSlots {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.workers[worker]
}

func (t *SlotTable) add(worker api.WorkerID) *workerSlots {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.workers[worker]
	if w == nil {
		w = &workerSlots{waiting: list.New(), inFlightByTask: map[api.TaskID]int{}}
		t.workers[worker] = w
	}
	return w
}

func notOwner(worker api.WorkerID) error {
	return notRun(fault.CodeNotOwner, "acquire slot", "this instance does not own the rack of worker "+string(worker))
}

// workerSlots counts the slots of one worker. A waiter's channel receives true if the waiter was granted a slot, or
// false if the worker was removed.
type workerSlots struct {
	mu       sync.Mutex
	capacity int
	inUse    int
	waiting  *list.List
	removed  bool
	// inFlightByTask counts the requests in flight to each endpoint.
	inFlightByTask map[api.TaskID]int
}

func (w *workerSlots) setCapacity(capacity int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.removed = false
	w.capacity = capacity
	w.grantFreeSlots()
}

// remove stops the allocation of slots and refuses all waiters.
func (w *workerSlots) remove() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.removed = true
	for front := w.waiting.Front(); front != nil; front = w.waiting.Front() {
		w.waiting.Remove(front).(chan bool) <- false
	}
}

func (w *workerSlots) acquire(ctx context.Context, endpoint api.Endpoint) (func(), error) {
	w.mu.Lock()
	if w.removed {
		w.mu.Unlock()
		return nil, notOwner(endpoint.Worker)
	}
	if w.inUse < w.capacity {
		w.inUse++
		w.inFlightByTask[endpoint.Task]++
		w.mu.Unlock()
		return w.releaseOnce(endpoint.Task), nil
	}
	granted := make(chan bool, 1)
	waiter := w.waiting.PushBack(granted)
	w.mu.Unlock()
	return w.wait(ctx, endpoint, granted, waiter)
}

func (w *workerSlots) wait(
	ctx context.Context, endpoint api.Endpoint, granted chan bool, waiter *list.Element,
) (func(), error) {
	select {
	case ok := <-granted:
		return w.finishAcquire(ok, endpoint)
	case <-ctx.Done():
	}
	w.mu.Lock()
	select {
	case ok := <-granted:
		w.mu.Unlock()
		return w.finishAcquire(ok, endpoint)
	default:
	}
	w.waiting.Remove(waiter)
	w.mu.Unlock()
	detail := "no slot of worker " + string(endpoint.Worker) + " became free in time"
	return nil, notRun(fault.CodeNoCapacity, "acquire slot", detail)
}

func (w *workerSlots) finishAcquire(ok bool, endpoint api.Endpoint) (func(), error) {
	if !ok {
		return nil, notOwner(endpoint.Worker)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlightByTask[endpoint.Task]++
	return w.releaseOnce(endpoint.Task), nil
}

func (w *workerSlots) inFlight(task api.TaskID) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.inFlightByTask[task]
}

func (w *workerSlots) releaseOnce(task api.TaskID) func() {
	released := false
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if released {
			return
		}
		released = true
		w.inUse--
		w.inFlightByTask[task]--
		if w.inFlightByTask[task] == 0 {
			delete(w.inFlightByTask, task)
		}
		w.grantFreeSlots()
	}
}

// grantFreeSlots grants free slots to waiters in the order of their arrival. The caller holds the lock.
func (w *workerSlots) grantFreeSlots() {
	for w.inUse < w.capacity && !w.removed && w.waiting.Len() > 0 {
		w.inUse++
		w.waiting.Remove(w.waiting.Front()).(chan bool) <- true
	}
}
