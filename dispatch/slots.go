package dispatch

import (
	"container/list"
	"context"
	"sync"

	"bronzehook/api"
	"bronzehook/fault"
)

// Slots bounds the requests that are open towards each worker. Only the owner of a worker's rack gives out its slots.
type Slots interface {
	// Acquire waits until the worker has a free slot and connection, at most until ctx ends. The failure is not-run.
	// The returned function frees both; further calls have no effect.
	Acquire(ctx context.Context, worker api.WorkerID) (release func(), err error)
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

// SetWorkers names the workers of the racks that this instance owns. Others get nothing new. A worker that has requests
// open keeps its count when it is dropped, so that its return does not hand out its slots twice.
func (t *SlotTable) SetWorkers(workers []api.Worker) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[api.WorkerID]bool, len(workers))
	for _, w := range workers {
		listed[w.ID] = true
		if t.workers[w.ID] == nil {
			t.workers[w.ID] = &workerSlots{waiting: list.New()}
		}
		t.workers[w.ID].setCapacity(min(w.Slots, w.Connections))
	}
	for id, w := range t.workers {
		if !listed[id] && w.drop() {
			delete(t.workers, id)
		}
	}
}

// Acquire implements Slots.
func (t *SlotTable) Acquire(ctx context.Context, worker api.WorkerID) (func(), error) {
	t.mu.RLock()
	w := t.workers[worker]
	t.mu.RUnlock()
	if w == nil {
		return nil, notOwner(worker)
	}
	return w.acquire(ctx, worker)
}

// InUse returns the number of slots of a worker that are taken.
func (t *SlotTable) InUse(worker api.WorkerID) int {
	t.mu.RLock()
	w := t.workers[worker]
	t.mu.RUnlock()
	if w == nil {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.inUse
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
}

func (w *workerSlots) setCapacity(capacity int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropped = false
	w.capacity = capacity
	w.wake()
}

// drop refuses all waiters and reports whether nothing is open.
func (w *workerSlots) drop() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropped = true
	for front := w.waiting.Front(); front != nil; front = w.waiting.Front() {
		w.waiting.Remove(front).(chan bool) <- false
	}
	return w.inUse == 0
}

func (w *workerSlots) acquire(ctx context.Context, worker api.WorkerID) (func(), error) {
	w.mu.Lock()
	if w.dropped {
		w.mu.Unlock()
		return nil, notOwner(worker)
	}
	if w.inUse < w.capacity {
		w.inUse++
		w.mu.Unlock()
		return w.releaseOnce(), nil
	}
	granted := make(chan bool, 1)
	place := w.waiting.PushBack(granted)
	w.mu.Unlock()
	return w.wait(ctx, worker, granted, place)
}

func (w *workerSlots) wait(ctx context.Context, worker api.WorkerID, granted chan bool, place *list.Element) (func(), error) {
	select {
	case ok := <-granted:
		return w.grantedOrDropped(ok, worker)
	case <-ctx.Done():
	}
	w.mu.Lock()
	select {
	case ok := <-granted:
		w.mu.Unlock()
		return w.grantedOrDropped(ok, worker)
	default:
	}
	w.waiting.Remove(place)
	w.mu.Unlock()
	return nil, notRun(fault.CodeNoCapacity, "acquire slot", "no slot of worker "+string(worker)+" became free in time")
}

func (w *workerSlots) grantedOrDropped(ok bool, worker api.WorkerID) (func(), error) {
	if !ok {
		return nil, notOwner(worker)
	}
	return w.releaseOnce(), nil
}

func (w *workerSlots) releaseOnce() func() {
	released := false
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if released {
			return
		}
		released = true
		w.inUse--
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
