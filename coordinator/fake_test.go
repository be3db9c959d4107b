package coordinator

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"bronzehook/api"
	"bronzehook/backend"
	"bronzehook/config/rollout/tabletest"
	"bronzehook/control"
	"bronzehook/fault"
	"bronzehook/runner"
)

// record returns the record of a task, also while the table is down; ok is false if there is none.
func (h *harness) record(t *testing.T, id api.TaskID) (record api.Task, ok bool) {
	t.Helper()
	for _, txn := range h.table.Log() {
		for _, write := range txn.Writes {
			if write.Key != taskKey(id) {
				continue
			}
			ok = !write.Delete
			if !ok {
				continue
			}
			var err error
			if record, err = decodeTask(write.Value); err != nil {
				t.Fatal(err)
			}
		}
	}
	return record, ok
}

// records counts the tasks that have a record.
func (h *harness) records(t *testing.T) int {
	t.Helper()
	rows, err := h.table.List(t.Context(), taskPrefix)
	if err != nil {
		t.Fatal(err)
	}
	return len(rows)
}

// setUnit writes the row of the coordinator unit; a row with a value names another owner.
func (h *harness) setUnit(t *testing.T, version uint64, value string) {
	t.Helper()
	key := api.Coordinator.Key()
	txn := backend.Txn{
		OpID: key + value, Conditions: []backend.Condition{{Key: key, Version: version}},
		Writes: []backend.Write{{Key: key, Value: []byte(value)}},
	}
	if _, err := h.table.Commit(t.Context(), txn); err != nil {
		t.Fatal(err)
	}
}

// harness runs a Coordinator with a fake table. It also acts as the Cluster and, as the Sender, as the owner of the
// rack.
type harness struct {
	*Coordinator
	loop  *control.Loop
	table *tabletest.Table

	mu              sync.Mutex
	workloads       *api.WorkSet
	owned           bool
	sentAssignments []runner.Assignment
	sentActions     []runner.TaskAction
	sentQueries     []runner.Query
	opCount         int
	// unreportedWorkers holds further workers in the directory, besides testWorker, that were not reported by their
	// rack owner yet.
	unreportedWorkers []api.Worker
	// onAssignment is called for each assignment, before the reply.
	onAssignment func(runner.Assignment)
}

var (
	testWorker = api.Worker{ID: "w1", Location: api.Location{Region: "cornwall", DataCentre: "montego", Rack: "r1"}}
	testRack   = api.RackUnit("montego", "r1")
)

const testLease = 30 * time.Second

func newHarness(t *testing.T) *harness {
	clock := clockwork.NewRealClock()
	h := &harness{loop: control.NewLoop(clock, nil), table: tabletest.New(), owned: true}
	h.setUnit(t, 0, "")
	h.setReplicas(1)
	if err := h.loop.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	h.Coordinator = New(Options{
		Self: "i1", Clock: clock, Loop: h.loop, Table: h.table, Objects: noObjects{}, Cluster: h, Sender: h, Logger: zerolog.Nop(),
		AttemptLease: testLease, NewOpID: h.newOpID, Audit: func(Event) {}, Decider: placeAll{},
	})
	if err := h.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := h.Stop(context.Background()); err != nil {
			t.Error(err)
		}
		if err := h.loop.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
	h.startTerm(t)
	return h
}

// startTerm starts a coordinator term and reports the worker as reachable.
func (h *harness) startTerm(t *testing.T) {
	t.Helper()
	h.do(t, func() { h.Acquired(1) })
	time.Sleep(100 * time.Millisecond)
	h.report(t, true)
	time.Sleep(time.Second)
}

func (h *harness) newOpID() string {
	h.opCount++
	return fmt.Sprintf("op-%p-%d", h, h.opCount)
}

func (h *harness) setReplicas(count int) {
	h.setWork(api.Spec{Name: "plan", Kind: api.KindJob, Replicas: count})
}

// setWork activates a configuration with one workload, or with none if spec has no replicas.
func (h *harness) setWork(spec api.Spec) {
	h.mu.Lock()
	defer h.mu.Unlock()
	revision := uint64(1)
	if h.workloads != nil {
		revision = h.workloads.Revision + 1
	}
	h.workloads = &api.WorkSet{Revision: revision, Specs: map[string]api.Spec{}}
	if spec.Replicas > 0 {
		h.workloads.Specs[spec.Name] = spec
	}
}

func (h *harness) setOwned(owned bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.owned = owned
}

func (h *harness) UnitOwner(api.Unit) (UnitOwner, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return UnitOwner{Owner: "i2", Epoch: 5}, h.owned
}

func (h *harness) ReportExpected(api.Unit) bool { return true }

func (h *harness) Check(api.Unit) (api.Epoch, error) { return 1, nil }

func (h *harness) Workloads() *api.WorkSet {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.workloads
}

func (h *harness) Workers() ([]api.Worker, map[api.WorkerID]bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]api.Worker{testWorker}, h.unreportedWorkers...), nil
}

// UnitVersion treats a row with a value as one that names another owner.
func (h *harness) UnitVersion(ctx context.Context, unit api.Unit, _ api.Epoch) (uint64, error) {
	row, err := h.table.Get(ctx, unit.Key())
	if err == nil && len(row.Value) > 0 {
		err = fault.New(fault.CodeNotOwner, "fake cluster", "%s", unit.Key())
	}
	return row.Version, err
}

func (h *harness) SendCommands(_ context.Context, _ api.InstanceID, commands runner.Orders) ([]runner.AttemptReport, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, assignment := range commands.Assignments {
		if h.onAssignment != nil {
			h.onAssignment(assignment)
		}
	}
	h.sentAssignments = append(h.sentAssignments, commands.Assignments...)
	h.sentQueries = append(h.sentQueries, commands.Queries...)
	h.sentActions = append(h.sentActions, commands.Actions...)
	return nil, nil
}

func (h *harness) assignments() []runner.Ref {
	h.mu.Lock()
	defer h.mu.Unlock()
	var refs []runner.Ref
	for _, assignment := range h.sentAssignments {
		refs = append(refs, assignment.Ref)
	}
	return refs
}

func (h *harness) do(t *testing.T, f func()) {
	t.Helper()
	if err := h.loop.Do(t.Context(), f); err != nil {
		t.Fatal(err)
	}
}

// report delivers a report of the rack owner and returns the reply.
func (h *harness) report(t *testing.T, full bool, attempts ...runner.AttemptReport) runner.ReportReply {
	t.Helper()
	report := runner.Report{
		From: "i2", Unit: testRack, Epoch: 5, Full: full, Attempts: attempts,
		Workers: []runner.WorkerReport{{Worker: "w1", Reachable: true}},
	}
	var reply runner.ReportReply
	h.do(t, func() { reply, _ = h.HandleReport(report) })
	return reply
}

// noObjects is an empty object store.
type noObjects struct{}

func (noObjects) Put(context.Context, string, []byte) error { return nil }
func (noObjects) Get(context.Context, string) ([]byte, error) {
	return nil, fault.New(fault.CodeNotFound, "fake objects", "empty")
}
func (noObjects) Delete(context.Context, string) error { return nil }

// placeAll places every pending task on the first usable worker.
type placeAll struct{}

func (placeAll) Decide(view View) Decision {
	decision := Decision{}
	for _, task := range view.Tasks {
		if task.Wanted != api.WantedPending || task.Busy {
			continue
		}
		for _, worker := range view.Workers {
			if worker.Usable {
				decision.Placements = append(decision.Placements, Placement{Task: task.ID, Worker: worker.ID})
				break
			}
		}
	}
	return decision
}

func (placeAll) Used(api.TaskID) api.Resources                                              { return api.Resources{MilliCPU: 100} }
func (placeAll) Quarantined(api.WorkerID, time.Time) bool                                   { return false }
func (placeAll) Export() ([]byte, error)                                                    { return nil, nil }
func (placeAll) Restore([]byte) error                                                       { return nil }
func (placeAll) Reason(api.TaskID) string                                                   { return "" }
func (placeAll) Observe(time.Time, []runner.UsageReport)                                    {}
func (placeAll) HandleTermination(time.Time, api.Task, runner.AttemptReport, time.Duration) {}
