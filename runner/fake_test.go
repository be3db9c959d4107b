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

// fakeWorker is an in-memory worker. Tests run it inside a synctest bubble, so its clock is that of the bubble.
type fakeWorker struct {
	mu             sync.Mutex
	info           api.Worker
	startTime      time.Time
	epoch          api.Epoch
	tasks          map[api.TaskID]backend.TaskStatus
	lastAttempt    map[api.TaskID]uint64
	leaseExpiries  map[api.TaskID]time.Duration
	starts         []backend.StartRequest
	renewals       int
	olderRequests  int
	unreachable    bool
	incarnation    string
	loseStartReply bool
}

func newFakeWorker(id string) *fakeWorker {
	return &fakeWorker{
		info: api.Worker{
			ID: api.WorkerID(id), Location: api.Location{Region: "cornwall", DataCentre: "montego", Rack: "r1"},
			Capacity: api.Resources{MilliCPU: 4000, MemoryMB: 4096}, Slots: 8, Connections: 64,
		},
		incarnation: "1", startTime: time.Now(), tasks: map[api.TaskID]backend.TaskStatus{},
		lastAttempt:   map[api.TaskID]uint64{},
		leaseExpiries: map[api.TaskID]time.Duration{},
	}
}

var errUnreachable = fault.New(fault.CodeUnreachable, "fake worker", "no answer")

func (w *fakeWorker) checkEpoch(epoch api.Epoch) error {
	if w.unreachable {
		return errUnreachable
	}
	if epoch < w.epoch {
		return fault.New(fault.CodeStaleEpoch, "fake worker", "epoch %d below %d", epoch, w.epoch)
	}
	w.epoch = epoch
	return nil
}

func (w *fakeWorker) clock() time.Duration { return time.Since(w.startTime) }

func (w *fakeWorker) inventory() backend.Inventory {
	inventory := backend.Inventory{Worker: w.info, Epoch: w.epoch, Clock: w.clock(), Boot: w.incarnation,
		Leaving: w.info.Leaving, OlderRequests: w.olderRequests,
	}
	for id, status := range w.tasks {
		if !status.State.Terminal() && w.clock() > w.leaseExpiries[id] {
			status.State = api.SeenStopped
			status.Reason = "lease expired"
			w.tasks[id] = status
		}
		inventory.Tasks = append(inventory.Tasks, status)
	}
	return inventory
}

func (w *fakeWorker) Fence(_ context.Context, epoch api.Epoch) (backend.Inventory, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkEpoch(epoch); err != nil {
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

func (w *fakeWorker) Start(_ context.Context, request backend.StartRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkEpoch(request.Epoch); err != nil {
		return err
	}
	if w.lastAttempt[request.Task] >= request.Attempt {
		return fault.New(fault.CodeStaleAttempt, "fake worker", "attempt %d", request.Attempt)
	}
	w.lastAttempt[request.Task] = request.Attempt
	w.starts = append(w.starts, request)
	w.leaseExpiries[request.Task] = request.LeaseExpiry
	w.tasks[request.Task] = backend.TaskStatus{
		Task: request.Task, Work: request.Work, Kind: request.Kind, Attempt: request.Attempt, State: api.SeenRunning,
		Resources: request.Resources, Addr: "127.0.0.1:1",
	}
	if w.loseStartReply {
		return errUnreachable
	}
	return nil
}

func (w *fakeWorker) Renew(_ context.Context, epoch api.Epoch, refs []backend.TaskRef, expiry time.Duration) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkEpoch(epoch); err != nil {
		return err
	}
	w.renewals++
	for _, ref := range refs {
		w.leaseExpiries[ref.Task] = max(w.leaseExpiries[ref.Task], expiry)
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
	if err := w.checkEpoch(ref.Epoch); err != nil {
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

// state returns the state of a task on the worker; ok is false if the worker has discarded it.
func (w *fakeWorker) state(task api.TaskID) (state api.ObservedState, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	status, ok := w.tasks[task]
	return status.State, ok
}

func (w *fakeWorker) counts() (starts, renewals int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.starts), w.renewals
}

func (w *fakeWorker) update(f func()) {
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

	mu             sync.Mutex
	leaseValid     bool
	persisted      []Ref
	attemptReports []AttemptReport
	workerReports  []WorkerReport
	endpoints      []api.Endpoint
}

var testRack = api.RackUnit("montego", "r1")

const (
	testEpoch = api.Epoch(3)
	testLease = 30 * time.Second
)

func newHarness(t *testing.T) *harness {
	clock := clockwork.NewRealClock()
	h := &harness{loop: control.NewLoop(clock, nil), worker: newFakeWorker("w1"), leaseValid: true, slots: dispatch.NewSlotTable()}
	if err := h.loop.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	h.Runner = New(Options{
		Self: "i1", Clock: clock, Loop: h.loop, Workers: h, Ownership: h, Reporter: h, Logger: zerolog.Nop(),
		Slots: h.slots, InstanceLease: 5 * time.Second,
		AttemptLease: testLease, EndpointsChanged: func(endpoints []api.Endpoint) { h.endpoints = endpoints },
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
	if !h.leaseValid {
		return 0, fault.New(fault.CodeNoAuthority, "check", "instance lease has expired")
	}
	return testEpoch, nil
}

func (h *harness) Report(_ context.Context, report Report) (ReportReply, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attemptReports = append(h.attemptReports, report.Attempts...)
	h.workerReports = append(h.workerReports, report.Workers...)
	return ReportReply{Persisted: h.persisted}, nil
}

func (h *harness) setLeaseValid(valid bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaseValid = valid
}

// do runs f on the event loop.
func (h *harness) do(t *testing.T, f func()) {
	t.Helper()
	if err := h.loop.Do(t.Context(), f); err != nil {
		t.Fatal(err)
	}
}

// acquireRack makes the runner the owner of the rack and waits for the fence.
func (h *harness) acquireRack(t *testing.T) {
	t.Helper()
	h.do(t, func() {
		h.SetWorkers([]api.Worker{h.worker.info}, nil)
		h.Acquired(testRack, testEpoch)
	})
	time.Sleep(100 * time.Millisecond)
}

func (h *harness) apply(t *testing.T, commands Orders) []AttemptReport {
	t.Helper()
	var reports []AttemptReport
	h.do(t, func() { reports = h.Apply(commands) })
	time.Sleep(100 * time.Millisecond)
	return reports
}

// lastState returns the last reported state of a task; empty if there was no report.
func (h *harness) lastState(task api.TaskID) api.ObservedState {
	h.mu.Lock()
	defer h.mu.Unlock()
	state := api.ObservedState("")
	for _, report := range h.attemptReports {
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
