package execution

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"bronzehook/jobs"
	"bronzehook/leadership"
	"bronzehook/maintenance"
	"bronzehook/store"
	"bronzehook/store/memory"
	"bronzehook/workers"
)

// fakeMachines carries orders out as told and counts how many machines are down at a time.
type fakeMachines struct {
	mu       sync.Mutex
	states   map[string]maintenance.State
	begun    map[string]int
	requests []maintenance.Order
	maxDown  int
	// err is the answer to orders; with lost set they are carried out all the same.
	err          error
	responseLost bool
}

func newFakeMachines(names ...string) *fakeMachines {
	f := &fakeMachines{states: make(map[string]maintenance.State), begun: make(map[string]int)}
	for _, name := range names {
		f.states[name] = maintenance.StateUp
	}
	return f
}

func (f *fakeMachines) List(context.Context) ([]maintenance.Machine, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []maintenance.Machine
	for name, state := range f.states {
		all = append(all, maintenance.Machine{Name: name, State: state})
	}
	return all, nil
}

func (f *fakeMachines) Begin(_ context.Context, order maintenance.Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests = append(f.requests, order)
	if f.err != nil && !f.responseLost {
		return f.err
	}
	if f.begun[order.Machine] == 0 {
		f.begun[order.Machine]++
		f.states[order.Machine] = maintenance.StateMaintenance
	}
	low := 0
	for _, state := range f.states {
		if state == maintenance.StateMaintenance {
			low++
		}
	}
	f.maxDown = max(f.maxDown, low)
	return f.err
}

func (f *fakeMachines) setErr(err error, lost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.err, f.responseLost = err, lost
}

func (f *fakeMachines) markUp(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.states[name] = maintenance.StateUp
}

func (f *fakeMachines) requestedMachines() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for _, order := range f.requests {
		names = append(names, order.Machine)
	}
	return names
}

const testWave = 7

func waveStatus(_ int, finished bool) store.Put {
	value := "running"
	if finished {
		value = "succeeded"
	}
	return store.Put{Key: store.Key{Table: "status", Name: "wave"}, Value: []byte(value)}
}

// addMaintenance adds machines and a wave over all of them to a rig.
func addMaintenance(r *rig, lowest int, duration time.Duration, names ...string) *fakeMachines {
	machines := newFakeMachines(names...)
	r.opts.Machines, r.opts.Waves, r.opts.WaveStatus = machines, &maintenance.Registry{}, waveStatus
	r.opts.MachineTurn = 3 * time.Second
	r.opts.Waves.Offer(maintenance.Wave{Number: testWave, Machines: names, Duration: duration, Cap: lowest}, r.clock)
	r.advanceClock(r.opts.MachineTurn + handoverMargin)
	return machines
}

func (r *rig) addWorkerOn(id, machine string, cpu int) *worker {
	w := r.addWorker(id, cpu)
	w.node.Entry.Machine = machine
	return w
}

// maintainFor carries the waves on, with the answers to all calls, for as long as a wave may need.
func (r *rig) maintainFor(d time.Duration) {
	const step = 300 * time.Millisecond
	for end := r.clock + d; r.clock < end; r.advanceClock(step) {
		if _, err := r.leader.Commit(r.ctx, store.Txn{}); err != nil {
			r.t.Fatal(err)
		}
		r.maintain(r.clock)
		r.handleEvents()
		r.refreshNodes(r.clock)
	}
}

func (r *rig) status() string { return string(r.table.Value(waveStatus(testWave, false).Key)) }

// Guards against maintenance that ends work, against more machines down than allowed, and against a wave that is said to have
// succeeded before the last maintenance has begun.
func TestMaintenanceWaitsForRunningTasks(t *testing.T) {
	r := newRig(t, memory.New())
	w := r.addWorkerOn("w", "a", 1000)
	r.submit("j", oneStep(1, 100))
	r.scheduleAndCommit()
	machines := addMaintenance(r, 1, time.Minute, "a", "b")
	r.maintainFor(2 * time.Second)
	if got := machines.requestedMachines(); len(got) != 1 || got[0] != "b" {
		t.Fatalf("ordered %v before the task on a has ended", got)
	}
	if got := r.status(); got != "running" {
		t.Errorf("the wave is said to be %q", got)
	}
	machines.markUp("b")
	r.maintainFor(2 * time.Second)
	if w.node.Usable {
		t.Error("a worker gets work whose machine is to go down")
	}
	r.reportTerminations(w, workers.Termination{Number: 1, Task: jobs.Task{Job: "j"}, Attempt: 1, Cause: workers.CauseDone})
	r.commitAll()
	r.maintainFor(2 * time.Second)
	if got := machines.requestedMachines(); len(got) != 2 || got[1] != "a" {
		t.Fatalf("ordered %v", got)
	}
	if got := r.status(); got != "succeeded" {
		t.Errorf("the wave is said to be %q", got)
	}
	if machines.maxDown > 1 {
		t.Errorf("%d machines down", machines.maxDown)
	}
	if w.node.Usable {
		t.Error("the worker that has ended gets work")
	}
}

// Guards against a worker that never gets work again: its next life was listed before the order's answer came, or its maintenance
// was over before this term ordered it again (soak seeds 6018 and 6022).
func TestWorkersAreUncordonedAfterMaintenance(t *testing.T) {
	r := newRig(t, memory.New())
	w := r.addWorkerOn("w", "a", 1000)
	machines := addMaintenance(r, 1, time.Minute, "a")
	r.maintainFor(2 * time.Second)
	if got := machines.requestedMachines(); len(got) == 0 || w.node.Usable {
		t.Fatalf("ordered %v, usable %v", got, w.node.Usable)
	}
	r.reportTerminations(w)
	r.refreshNodes(r.clock)
	if !w.node.Usable {
		t.Error("the worker answers and gets no work")
	}
}

// Guards against tasks of a step that are taken away together although its job can miss only one.
func TestMaintenanceRespectsMaxUnavailable(t *testing.T) {
	r := newRig(t, memory.New())
	w := r.addWorkerOn("w", "a", 1000)
	step := oneStep(2, 100)
	step.LongRunning, step.MaxUnavailable = true, 1
	j := r.submit("j", step)
	r.scheduleAndCommit()
	for _, task := range j.occurrences[0].steps[0] {
		task.current.phase, task.current.progress = phaseRunning, 100
	}
	addMaintenance(r, 1, time.Minute, "a")
	r.maintainFor(2 * time.Second)
	stopping := 0
	for _, run := range w.attempts {
		if run.stopping {
			stopping++
		}
	}
	if stopping != 1 {
		t.Errorf("%d of 2 tasks are stopped, may miss 1", stopping)
	}
}

// Guards against a wave that waits for long work beyond its time.
func TestMaintenanceStopsTasksAfterGracePeriod(t *testing.T) {
	r := newRig(t, memory.New())
	w := r.addWorkerOn("w", "a", 1000)
	r.submit("j", oneStep(1, 100))
	r.scheduleAndCommit()
	r.onlyAttempt(w).phase = phaseRunning
	addMaintenance(r, 1, 3*time.Second, "a")
	r.maintainFor(2 * time.Second)
	if !r.onlyAttempt(w).stopping {
		t.Error("the task goes on although the wave is late")
	}
}

// Guards against a second machine that goes down while an order without an answer may yet be carried out, and against a wave that
// is stuck after one.
func TestMaintenanceRequestWithoutResponseCountsAsDown(t *testing.T) {
	r := newRig(t, memory.New())
	machines := addMaintenance(r, 1, time.Minute, "a", "b")
	machines.setErr(errors.WithStack(&maintenance.UnreachableError{Detail: "silent"}), false)
	r.maintainFor(4 * time.Second)
	got := machines.requestedMachines()
	if len(got) < 2 {
		t.Fatalf("ordered %v, want the order repeated", got)
	}
	for _, name := range got {
		if name != got[0] {
			t.Errorf("ordered %v while the first order was open", got)
		}
	}
	machines.setErr(nil, false)
	r.maintainFor(2 * time.Second)
	machines.markUp(got[0])
	r.maintainFor(4 * time.Second)
	if got := r.status(); got != "succeeded" {
		t.Errorf("the wave is said to be %q", got)
	}
}

// Guards against two holders of the duty that take turns at a machine, and against one that goes on after the other was seen.
func TestMaintenanceAfterLeaderChange(t *testing.T) {
	r := newRig(t, memory.New())
	machines := addMaintenance(r, 1, time.Minute, "a")
	r.startedAt = r.clock
	r.maintainFor(2 * time.Second)
	if got := machines.requestedMachines(); len(got) != 0 {
		t.Fatalf("ordered %v right after the duty was taken", got)
	}
	machines.setErr(errors.WithStack(&maintenance.RefusedError{Machine: "a", Reason: maintenance.ReasonEpoch}), false)
	r.maintainFor(3 * time.Second)
	var lost *leadership.LostError
	if !errors.As(r.failure, &lost) {
		t.Errorf("the term goes on: %v", r.failure)
	}
}

// Guards against a wave that never ends because a machine is gone, and against one that waits for a machine that is down.
func TestMaintenanceContinuesWithoutMissingMachines(t *testing.T) {
	r := newRig(t, memory.New())
	machines := addMaintenance(r, 1, time.Minute, "a", "b")
	machines.mu.Lock()
	machines.states["a"] = maintenance.StateDown
	machines.mu.Unlock()
	r.maintainFor(2 * time.Second)
	if got := machines.requestedMachines(); len(got) != 1 || got[0] != "b" {
		t.Fatalf("ordered %v", got)
	}
	machines.markUp("b")
	machines.mu.Lock()
	delete(machines.states, "a")
	machines.mu.Unlock()
	machines.setErr(errors.WithStack(&maintenance.RefusedError{Machine: "a", Reason: maintenance.ReasonUnknown}), false)
	r.maintainFor(4 * time.Second)
	if got := r.status(); got != "succeeded" {
		t.Errorf("the wave is said to be %q", got)
	}
}

// Guards against workers that stay closed, and against a wave that starts again, once the operator has withdrawn it.
func TestWithdrawnMaintenance(t *testing.T) {
	r := newRig(t, memory.New())
	w := r.addWorkerOn("w", "a", 1000)
	r.submit("j", oneStep(1, 100))
	r.scheduleAndCommit()
	machines := addMaintenance(r, 1, time.Minute, "a")
	r.maintainFor(time.Second)
	if w.node.Usable {
		t.Fatal("the worker is not closed")
	}
	r.opts.Waves.Withdraw(testWave)
	r.maintainFor(time.Second)
	if !w.node.Usable || len(machines.requestedMachines()) > 0 {
		t.Errorf("usable %v, ordered %v", w.node.Usable, machines.requestedMachines())
	}
}

// Guards against a successor that tells of a wave that has succeeded as if it had not.
func TestNewLeaderIgnoresFinishedWave(t *testing.T) {
	r := newRig(t, memory.New())
	if _, err := r.table.Commit(r.ctx, store.Txn{Puts: []store.Put{waveStatus(testWave, true)}}); err != nil {
		t.Fatal(err)
	}
	machines := addMaintenance(r, 1, time.Minute, "a")
	r.maintainFor(2 * time.Second)
	if got := machines.requestedMachines(); len(got) != 0 || r.status() != "succeeded" {
		t.Errorf("ordered %v, the wave is said to be %q", got, r.status())
	}
}
