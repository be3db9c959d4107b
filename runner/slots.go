package runner

import (
	"context"
	"sync"
	"time"

	"bronzehook/api"
	"bronzehook/fault"
)

// Slots counts the requests in flight towards each owned worker, so that none is given more than its slots and
// connections. It is safe for concurrent use; traffic goroutines call it without waiting for the control goroutine.
type Slots struct {
	mu      sync.RWMutex
	workers map[api.WorkerID]*workerSlots
}

type workerSlots struct {
	mu          sync.Mutex
	epoch       api.Epoch
	slots       int
	connections int
	// older counts requests that an earlier owner sent and that are still open.
	older int
	inUse int
	tasks map[api.TaskID]int
}

// NewSlots returns a Slots that knows no workers.
func NewSlots() *Slots { return &Slots{workers: map[api.WorkerID]*workerSlots{}} }

// Set states what a worker offers under an epoch, and how many requests of earlier owners are still open there.
func (s *Slots) Set(id api.WorkerID, epoch api.Epoch, slots, connections, older int) {
	w := s.find(id)
	if w == nil {
		w = s.add(id)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.epoch = epoch
	w.slots = slots
	w.connections = connections
	w.older = older
}

// Remove ends giving out a worker. Requests in flight still release what they hold.
func (s *Slots) Remove(id api.WorkerID) {
	if w := s.find(id); w != nil {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.slots = 0
	}
}

// Acquire takes one slot and one connection of the endpoint's worker. It fails with CodeStaleEpoch if the worker is
// owned under another epoch and with CodeNoCapacity if nothing is free. The release function may be called repeatedly.
func (s *Slots) Acquire(endpoint api.Endpoint) (func(), error) {
	w := s.find(endpoint.Worker)
	if w == nil {
		return nil, &fault.Failure{FailureCode: fault.CodeNotOwner, Op: "acquire slot", Detail: string(endpoint.Worker)}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.epoch != endpoint.Epoch {
		return nil, &fault.Failure{FailureCode: fault.CodeStaleEpoch, Op: "acquire slot", Detail: string(endpoint.Worker)}
	}
	if w.inUse+w.older >= min(w.slots, w.connections) {
		return nil, &fault.Failure{FailureCode: fault.CodeNoCapacity, Op: "acquire slot", Detail: string(endpoint.Worker)}
	}
	w.inUse++
	w.tasks[endpoint.Task]++
	var once sync.Once
	return func() { once.Do(func() { w.release(endpoint.Task) }) }, nil
}

// InUse returns the number of requests in flight towards a worker.
func (s *Slots) InUse(id api.WorkerID) int {
	w := s.find(id)
	if w == nil {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.inUse
}

// WaitIdle waits until no request is in flight towards a task, at most for limit.
func (s *Slots) WaitIdle(ctx context.Context, task api.TaskID, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for s.inFlight(task) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// idleCheckInterval is the time between two looks at whether a task is idle.
const idleCheckInterval = 20 * time.Millisecond

func (s *Slots) inFlight(task api.TaskID) int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	count := 0
	for _, w := range s.workers {
		w.mu.Lock()
		count += w.tasks[task]
		w.mu.Unlock()
	}
	return count
}

func (s *Slots) find(id api.WorkerID) *workerSlots {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.workers[id]
}

func (s *Slots) add(id api.WorkerID) *workerSlots {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.workers[id]; w != nil {
		return w
	}
	w := &workerSlots{tasks: map[api.TaskID]int{}}
	s.workers[id] = w
	return w
}

func (w *workerSlots) release(task api.TaskID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inUse--
	w.tasks[task]--
	if w.tasks[task] == 0 {
		delete(w.tasks, task)
	}
}
