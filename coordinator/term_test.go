package coordinator

import (
	"testing"
	"time"

	"bronzehook/api"
	"bronzehook/runner"
	"bronzehook/scheduler"
)

// TestDecisionIsDue guards against a coordinator that misses a change, or that makes a decision in every cycle although
// nothing has changed.
func TestDecisionIsDue(t *testing.T) {
	now := time.Unix(1_000, 0)
	cases := []struct {
		name    string
		changed bool
		since   time.Duration
		want    bool
	}{
		{"no change since the last decision", false, CycleInterval, false},
		{"a change right after a decision", true, CycleInterval, true},
		{"an unreported drain or the end of a wait", false, maxDecisionInterval, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			term := &term{changed: c.changed, decidedAt: now.Add(-c.since)}
			if got := term.decisionDue(now); got != c.want {
				t.Errorf("decision due: %v", got)
			}
			if term.decisionDue(now) && c.want {
				t.Error("a decision that was made is due again")
			}
		})
	}
}

// TestReportMarksChange guards against a change of an attempt or a worker that takes effect only after
// maxDecisionInterval.
func TestReportMarksChange(t *testing.T) {
	h := newHarness(t)
	running := runner.AttemptReport{Ref: runner.Ref{Task: "a.0", Attempt: 1}, State: api.SeenRunning}
	ended := running
	ended.State = api.SeenStopped
	reachable := runner.WorkerReport{Worker: testWorker.ID, Reachable: true}
	cases := []struct {
		name   string
		report runner.Report
		want   bool
	}{
		{"first report of an attempt", runner.Report{Attempts: []runner.AttemptReport{running}}, true},
		{"the same state again", runner.Report{Attempts: []runner.AttemptReport{running}}, false},
		{"first report of a worker", runner.Report{Workers: []runner.WorkerReport{reachable}}, true},
		{"the same worker again", runner.Report{Workers: []runner.WorkerReport{reachable}}, false},
		{"a worker that is unreachable", runner.Report{Workers: []runner.WorkerReport{{Worker: testWorker.ID}}}, true},
		{"the termination of an attempt", runner.Report{Attempts: []runner.AttemptReport{ended}}, true},
	}
	term := &term{
		loaded: true, workers: map[api.WorkerID]runner.WorkerReport{},
		tasks: map[api.TaskID]*taskState{"a.0": {row: api.Task{ID: "a.0", Work: "a", Wanted: api.WantedAssigned, Attempt: 1}}},
	}
	for _, c := range cases {
		term.changed = false
		h.do(t, func() {
			current := h.term
			h.term = term
			h.HandleReport(c.report)
			h.term = current
		})
		if term.changed != c.want {
			t.Errorf("%s: changed is %v", c.name, term.changed)
		}
	}
}

// TestMoreThanOneCycleOfTasks guards against tasks beyond the bound of a cycle that have to wait for
// maxDecisionInterval.
func TestMoreThanOneCycleOfTasks(t *testing.T) {
	work := &api.WorkSet{Specs: map[string]api.Spec{"a": {Name: "a", Kind: api.KindJob}}}
	view := View{Now: time.Unix(1_000, 0), Workloads: work}
	for index := range maxTasksPerCycle + 1 {
		view.Tasks = append(view.Tasks, TaskView{Task: api.Task{ID: api.NewTaskID("a", index), Work: "a", Wanted: api.WantedPending}})
	}
	if !NewEngineDecider(scheduler.DefaultOptions(), 1).Decide(view).More {
		t.Error("the decision does not report that tasks are left over")
	}
}

// TestTaskIndexByUnit guards against an index that keeps a task under a rack that it has left, or under the zero unit.
func TestTaskIndexByUnit(t *testing.T) {
	term := &term{tasks: map[api.TaskID]*taskState{}, byUnit: map[api.Unit]map[api.TaskID]*taskState{}}
	task := &taskState{}
	term.tasks["a.0"] = task
	other := api.RackUnit("savanna", "r2")
	for _, unit := range []api.Unit{testRack, testRack, other, {}, other} {
		term.setRow(task, api.Task{ID: "a.0", Unit: unit})
		want := 1
		if unit == (api.Unit{}) {
			want = 0
		}
		if len(term.byUnit) != want || len(term.byUnit[unit]) != want {
			t.Errorf("after a move to %q the index holds %d racks", unit.Key(), len(term.byUnit))
		}
	}
	term.removeTask("a.0", task)
	if len(term.byUnit)+len(term.tasks) != 0 {
		t.Error("a task that was removed is still indexed")
	}
}

// TestFullTransactionIsFollowedSoon guards against a burst of tasks that is written at one transaction per cycle, which
// is below the peak of 150 starts a second.
func TestFullTransactionIsFollowedSoon(t *testing.T) {
	const tasks = 10 * maxTasksPerTxn
	h := newHarness(t)
	// Without a rack owner nothing is placed, so only the pending rows are written.
	h.setOwned(false)
	start := time.Now()
	h.setReplicas(tasks)
	recorded := func() int { return h.records(t) }
	for recorded() < tasks {
		if time.Since(start) > tasks/maxTasksPerTxn*CycleInterval*3/4 {
			t.Fatalf("%d of %d tasks are recorded", recorded(), tasks)
		}
		time.Sleep(CycleInterval / 20)
	}
}
