package coordinator

import (
	"testing"
	"time"

	"bronzehook/api"
	"bronzehook/runner"
	"bronzehook/scheduler"
)

// TestDecisionIsDue guards against a coordinator that overlooks a change, or that decides in every cycle although nothing
// has changed.
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
		{"an unreported drain or a wait that is over", false, idleInterval, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			term := &term{changed: c.changed, decidedAt: now.Add(-c.since)}
			if got := term.due(now); got != c.want {
				t.Errorf("due is %v", got)
			}
			if term.due(now) && c.want {
				t.Error("a decision that was made is due again")
			}
		})
	}
}

// TestReportMarksChange guards against a change of an attempt or a worker that waits for the idle interval.
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
		{"first sight of an attempt", runner.Report{Attempts: []runner.AttemptReport{running}}, true},
		{"the same state again", runner.Report{Attempts: []runner.AttemptReport{running}}, false},
		{"first sight of a worker", runner.Report{Workers: []runner.WorkerReport{reachable}}, true},
		{"the same worker again", runner.Report{Workers: []runner.WorkerReport{reachable}}, false},
		{"a worker that is lost", runner.Report{Workers: []runner.WorkerReport{{Worker: testWorker.ID}}}, true},
		{"the end of an attempt", runner.Report{Attempts: []runner.AttemptReport{ended}}, true},
	}
	term := &term{
		loaded: true, workers: map[api.WorkerID]runner.WorkerReport{},
		tasks: map[api.TaskID]*task{"a.0": {row: api.Task{ID: "a.0", Work: "a", Wanted: api.WantedAssigned, Attempt: 1}}},
	}
	for _, c := range cases {
		term.changed = false
		h.do(t, func() {
			held := h.term
			h.term = term
			h.HandleReport(c.report)
			h.term = held
		})
		if term.changed != c.want {
			t.Errorf("%s: changed is %v", c.name, term.changed)
		}
	}
}

// TestMoreThanOneCycleOfTasks guards against tasks beyond the bound of a cycle that wait for the idle interval.
func TestMoreThanOneCycleOfTasks(t *testing.T) {
	work := &api.WorkSet{Specs: map[string]api.Spec{"a": {Name: "a", Kind: api.KindJob}}}
	view := View{Now: time.Unix(1_000, 0), Work: work}
	for index := range placementsPerCycle + 1 {
		view.Tasks = append(view.Tasks, TaskView{Task: api.Task{ID: api.NewTaskID("a", index), Work: "a", Wanted: api.WantedPending}})
	}
	if !NewEngineDecider(scheduler.DefaultOptions(), 1).Decide(view).More {
		t.Error("the decision does not tell that tasks were left")
	}
}

// TestTasksOfUnit guards against an index that keeps a task under a rack that it has left, or under none.
func TestTasksOfUnit(t *testing.T) {
	term := &term{tasks: map[api.TaskID]*task{}, byUnit: map[api.Unit]map[api.TaskID]*task{}}
	known := &task{}
	term.tasks["a.0"] = known
	other := api.RackUnit("savanna", "r2")
	for _, unit := range []api.Unit{testRack, testRack, other, {}, other} {
		term.setRow(known, api.Task{ID: "a.0", Unit: unit})
		want := 1
		if unit == (api.Unit{}) {
			want = 0
		}
		if len(term.byUnit) != want || len(term.byUnit[unit]) != want {
			t.Errorf("after a move to %q the index holds %d racks", unit.Key(), len(term.byUnit))
		}
	}
	term.drop("a.0", known)
	if len(term.byUnit)+len(term.tasks) != 0 {
		t.Error("a task that was dropped is still held")
	}
}

// TestFullTransactionIsFollowedSoon guards against a wave of tasks that is written at one transaction a cycle, which is
// below the peak of 150 starts a second.
func TestFullTransactionIsFollowedSoon(t *testing.T) {
	const tasks = 10 * maxBatch
	h := newHarness(t)
	// Without an owner nothing is placed, so that only the pending rows are written.
	h.setOwned(false)
	start := time.Now()
	h.setReplicas(tasks)
	recorded := func() int { return h.records(t) }
	for recorded() < tasks {
		if time.Since(start) > tasks/maxBatch*CycleInterval*3/4 {
			t.Fatalf("%d of %d tasks are recorded", recorded(), tasks)
		}
		time.Sleep(CycleInterval / 20)
	}
}
