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

// Slots bounds the requests that are open towards each worker. Only the owner of a worker's rack gives out its slots.
type Slots interface {
	// Acquire waits until the endpoint's worker has a free slot and connection, at most until ctx ends. The failure is
	// not-run. The returned function frees both; further calls have no effect.
	Acquire(ctx context.Context, endpoint api.Endpoint) (release func(), err error)
}

// SlotTable implements Slots in memory. A request holds one slot and one connection from before its first byte until
// the endpoint has answered or the exchange is given up; requests wait here rather than in the worker's queue.
type SlotTable struct {
	mu      sync.RWMutex
	workers map[api.WorkerID]*workerSlots
}

// NewSlotTable returns a table without workers.
func NewSlotTable() *SlotTable {
	return &SlotTable{workers: map[api.WorkerID]*workerSlots{}}
}

// Offer states what a worker of an own rack offers, and how many requests are still open there that an earlier owner
// sent: so many slots less are given out.
func (t *SlotTable) Offer(worker api.WorkerID, slots, connections, older int) {
	w := t.find(worker)
	if w == nil {
		w = t.add(worker)
	}
	w.setCapacity(min(slots, connections) - older)
}

// Withdraw ends giving out a worker's slots. Its requests in flight keep their count, so that the worker's return does
// not hand out their slots twice.
func (t *SlotTable) Withdraw(worker api.WorkerID) {
	if w := t.find(worker); w != nil {
		w.drop()
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

// InUse returns the number of slots of a worker that are taken.
func (t *SlotTable) InUse(worker api.WorkerID) int {
	w := t.find(worker)
	if w == nil {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.inUse
}

// Workers returns the workers that are known, whether or not they were withdrawn.
func (t *SlotTable) Workers() []api.WorkerID {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return slices.Sorted(maps.Keys(t.workers))
}

// idleCheckInterval is the time between two looks at whether an endpoint is idle.
const idleCheckInterval = 20 * time.Millisecond

// WaitIdle waits until no request is in flight towards an endpoint, at most for limit.
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
		w = &workerSlots{waiting: list.New(), tasks: map[api.TaskID]int{}}
		t.workers[worker] = w
	}
	return w
}

func notOwner(worker api.WorkerID) error {
	return notRun(fault.CodeNotOwner, "acquire slot", "this instance does not own the rack of worker "+string(worker))
}

// workerSlots counts the slots of one worker. A waiter's channel receives true with a slot, or false if the worker was
// dropped.
type workerSlots struct {
	mu       sync.Mutex
	capacity int
	inUse    int
	waiting  *list.List
	dropped  bool
	// tasks counts the requests in flight by endpoint.
	tasks map[api.TaskID]int
}

func (w *workerSlots) setCapacity(capacity int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropped = false
	w.capacity = capacity
	w.wake()
}

// drop refuses all waiters.
func (w *workerSlots) drop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropped = true
	for front := w.waiting.Front(); front != nil; front = w.waiting.Front() {
		w.waiting.Remove(front).(chan bool) <- false
	}
}

func (w *workerSlots) acquire(ctx context.Context, endpoint api.Endpoint) (func(), error) {
	w.mu.Lock()
	if w.dropped {
		w.mu.Unlock()
		return nil, notOwner(endpoint.Worker)
	}
	if w.inUse < w.capacity {
		w.inUse++
		w.tasks[endpoint.Task]++
		w.mu.Unlock()
		return w.releaseOnce(endpoint.Task), nil
	}
	granted := make(chan bool, 1)
	place := w.waiting.PushBack(granted)
	w.mu.Unlock()
	return w.wait(ctx, endpoint, granted, place)
}

func (w *workerSlots) wait(
	ctx context.Context, endpoint api.Endpoint, granted chan bool, place *list.Element,
) (func(), error) {
	select {
	case ok := <-granted:
		return w.grantedOrDropped(ok, endpoint)
	case <-ctx.Done():
	}
	w.mu.Lock()
	select {
	case ok := <-granted:
		w.mu.Unlock()
		return w.grantedOrDropped(ok, endpoint)
	default:
	}
	w.waiting.Remove(place)
	w.mu.Unlock()
	detail := "no slot of worker " + string(endpoint.Worker) + " became free in time"
	return nil, notRun(fault.CodeNoCapacity, "acquire slot", detail)
}

func (w *workerSlots) grantedOrDropped(ok bool, endpoint api.Endpoint) (func(), error) {
	if !ok {
		return nil, notOwner(endpoint.Worker)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tasks[endpoint.Task]++
	return w.releaseOnce(endpoint.Task), nil
}

func (w *workerSlots) inFlight(task api.TaskID) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tasks[task]
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
		w.tasks[task]--
		if w.tasks[task] == 0 {
			delete(w.tasks, task)
		}
		w.wake()
	}
}

// wake hands free slots to waiters in the order of their arrival. The caller holds the lock.
func (w *workerSlots) wake() {
	for w.inUse < w.capacity && !w.dropped && w.waiting.Len() > 0 {
		w.inUse++
		w.waiting.Remove(w.waiting.Front()).(chan bool) <- true
	}
}
