package runner

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"bronzehook/api"
	"bronzehook/backend"
	"bronzehook/control"
	"bronzehook/dispatch"
	"bronzehook/fault"
)

// fakeWorker is a worker in memory. Tests run it inside a synctest bubble, so its clock is the bubble's.
type fakeWorker struct {
	mu          sync.Mutex
	info        api.Worker
	booted      time.Time
	epoch       api.Epoch
	tasks       map[api.TaskID]backend.TaskStatus
	lastAttempt map[api.TaskID]uint64
	leaseEnds   map[api.TaskID]time.Duration
	starts      []backend.StartOrder
	renewals    int
	older       int
	unreachable bool
	boot        string
	loseStart   bool
}

func newFakeWorker(id string) *fakeWorker {
	return &fakeWorker{
		info: api.Worker{
			ID: api.WorkerID(id), Location: api.Location{Region: "cornwall", DataCentre: "montego", Rack: "r1"},
			Capacity: api.Resources{MilliCPU: 4000, MemoryMB: 4096}, Slots: 8, Connections: 64,
		},
		boot: "1", booted: time.Now(), tasks: map[api.TaskID]backend.TaskStatus{}, lastAttempt: map[api.TaskID]uint64{},
		leaseEnds: map[api.TaskID]time.Duration{},
	}
}

var errUnreachable = fault.New(fault.CodeUnreachable, "fake worker", "no answer")

func (w *fakeWorker) enter(epoch api.Epoch) error {
	if w.unreachable {
		return errUnreachable
	}
	if epoch < w.epoch {
		return fault.New(fault.CodeStaleEpoch, "fake worker", "epoch %d below %d", epoch, w.epoch)
	}
	w.epoch = epoch
	return nil
}

func (w *fakeWorker) clock() time.Duration { return time.Since(w.booted) }

func (w *fakeWorker) inventory() backend.Inventory {
	inventory := backend.Inventory{Worker: w.info, Epoch: w.epoch, Clock: w.clock(), Boot: w.boot, Leaving: w.info.Leaving,
		OlderRequests: w.older,
	}
	for id, status := range w.tasks {
		if !status.State.Ended() && w.clock() > w.leaseEnds[id] {
			status.State = api.SeenStopped
			status.Reason = "lease ran out"
			w.tasks[id] = status
		}
		inventory.Tasks = append(inventory.Tasks, status)
	}
	return inventory
}

func (w *fakeWorker) Fence(_ context.Context, epoch api.Epoch) (backend.Inventory, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.enter(epoch); err != nil {
		return backend.Inventory{}, err
	}
	return w.inventory(), nil
}

func (w *fakeWorker) Inventory(context.Context) (backend.Inventory, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unreachable {
		return backend.Inventory{}, errUnreachable
	}
	return w.inventory(), nil
}

func (w *fakeWorker) Start(_ context.Context, order backend.StartOrder) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.enter(order.Epoch); err != nil {
		return err
	}
	if w.lastAttempt[order.Task] >= order.Attempt {
		return fault.New(fault.CodeStaleAttempt, "fake worker", "attempt %d", order.Attempt)
	}
	w.lastAttempt[order.Task] = order.Attempt
	w.starts = append(w.starts, order)
	w.leaseEnds[order.Task] = order.LeaseEnd
	w.tasks[order.Task] = backend.TaskStatus{
		Task: order.Task, Work: order.Work, Kind: order.Kind, Attempt: order.Attempt, State: api.SeenRunning,
		Resources: order.Resources, Addr: "127.0.0.1:1",
	}
	if w.loseStart {
		return errUnreachable
	}
	return nil
}

func (w *fakeWorker) Renew(_ context.Context, epoch api.Epoch, refs []backend.TaskRef, end time.Duration) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.enter(epoch); err != nil {
		return err
	}
	w.renewals++
	for _, ref := range refs {
		w.leaseEnds[ref.Task] = max(w.leaseEnds[ref.Task], end)
	}
	return nil
}

func (w *fakeWorker) Throttle(context.Context, backend.TaskRef, float64) error { return nil }

func (w *fakeWorker) Checkpoint(_ context.Context, ref backend.TaskRef) (string, error) {
	return "checkpoint/" + string(ref.Task), nil
}

func (w *fakeWorker) Stop(_ context.Context, ref backend.TaskRef) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.enter(ref.Epoch); err != nil {
		return err
	}
	status := w.tasks[ref.Task]
	status.State = api.SeenStopped
	w.tasks[ref.Task] = status
	return nil
}

func (w *fakeWorker) Ack(_ context.Context, ref backend.TaskRef) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.tasks, ref.Task)
	return nil
}

func (w *fakeWorker) Usage(context.Context) (backend.Usage, error) { return backend.Usage{}, nil }

// state returns the state of a task on the worker; listed is false if the worker has forgotten it.
func (w *fakeWorker) state(task api.TaskID) (state api.SeenState, listed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	status, listed := w.tasks[task]
	return status.State, listed
}

func (w *fakeWorker) counts() (starts, renewals int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.starts), w.renewals
}

func (w *fakeWorker) change(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// harness runs a Runner over one fake worker.
type harness struct {
	*Runner
	loop   *control.Loop
	worker *fakeWorker
	slots  *dispatch.SlotTable

	mu        sync.Mutex
	authority bool
	recorded  []Ref
	reports   []AttemptReport
	workers   []WorkerReport
	endpoints []api.Endpoint
}

var testRack = api.RackUnit("montego", "r1")

const (
	testEpoch = api.Epoch(3)
	testLease = 30 * time.Second
)

func newHarness(t *testing.T) *harness {
	clock := clockwork.NewRealClock()
	h := &harness{loop: control.NewLoop(clock), worker: newFakeWorker("w1"), authority: true, slots: dispatch.NewSlotTable()}
	if err := h.loop.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	h.Runner = New(Options{
		Self: "i1", Clock: clock, Loop: h.loop, Workers: h, Ownership: h, Reporter: h, Logger: zerolog.Nop(),
		Slots: h.slots, Hold: 5 * time.Second,
		Lease: testLease, EndpointsChanged: func(endpoints []api.Endpoint) { h.endpoints = endpoints },
	})
	if err := h.Runner.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := h.loop.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
	return h
}

func (h *harness) Worker(api.Worker) backend.Worker { return h.worker }

func (h *harness) Check(api.Unit) (api.Epoch, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.authority {
		return 0, fault.New(fault.CodeNoAuthority, "check", "authority has lapsed")
	}
	return testEpoch, nil
}

func (h *harness) Report(_ context.Context, report Report) (ReportReply, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reports = append(h.reports, report.Attempts...)
	h.workers = append(h.workers, report.Workers...)
	return ReportReply{Recorded: h.recorded}, nil
}

func (h *harness) setAuthority(holds bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.authority = holds
}

// do runs f on the control goroutine.
func (h *harness) do(t *testing.T, f func()) {
	t.Helper()
	if err := h.loop.Do(t.Context(), f); err != nil {
		t.Fatal(err)
	}
}

// claim hands the rack to the runner and waits for the fence.
func (h *harness) claim(t *testing.T) {
	t.Helper()
	h.do(t, func() {
		h.SetWorkers([]api.Worker{h.worker.info}, nil)
		h.Claimed(testRack, testEpoch)
	})
	time.Sleep(100 * time.Millisecond)
}

func (h *harness) apply(t *testing.T, orders Orders) []AttemptReport {
	t.Helper()
	var reports []AttemptReport
	h.do(t, func() { reports = h.Apply(orders) })
	time.Sleep(100 * time.Millisecond)
	return reports
}

// lastState returns the last reported state of a task; empty if there was no report.
func (h *harness) lastState(task api.TaskID) api.SeenState {
	h.mu.Lock()
	defer h.mu.Unlock()
	state := api.SeenState("")
	for _, report := range h.reports {
		if report.Task == task {
			state = report.State
		}
	}
	return state
}

func assignment(task string, attempt uint64, cpu int64) Assignment {
	return Assignment{
		Ref: Ref{Task: api.TaskID(task), Attempt: attempt}, Work: "planner", Kind: api.KindJob, Worker: "w1",
		Unit: testRack, Epoch: testEpoch, Resources: api.Resources{MilliCPU: cpu, MemoryMB: 256},
	}
}
