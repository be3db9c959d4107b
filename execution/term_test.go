package execution

import (
	"testing"
	"time"

	"bronzehook/jobs"
	"bronzehook/store"
	"bronzehook/store/memory"
	"bronzehook/workers"
)

// Guards against an order that a later term knows nothing of.
func TestAttemptIsRecordedBeforeStartCommand(t *testing.T) {
	r := newRig(t, memory.New())
	r.addWorker("w", 1000)
	r.submit("a", oneStep(1, 100))
	r.table.SetMode(memory.ModeBusy)
	r.scheduleAndCommit()
	if n := r.client.startCount(); n != 0 {
		t.Fatalf("%d orders without a record", n)
	}
	r.table.SetMode(memory.ModeNone)
	r.scheduleAndCommit()
	if n := r.client.startCount(); n != 1 {
		t.Fatalf("%d orders after the record", n)
	}
}

// Guards against an end that is forgotten everywhere: the worker keeps it until its meaning is stored.
func TestTerminationIsStoredBeforeItIsAcknowledged(t *testing.T) {
	r := newRig(t, memory.New())
	w := r.addWorker("w", 1000)
	r.submit("a", oneStep(2, 100))
	r.scheduleAndCommit()
	r.table.SetMode(memory.ModeBusy)
	task := jobs.Task{Job: "a"}
	r.handlePoll(w, workers.PollRequest{Target: r.target(w)}, r.clock, workers.Inventory{
		Clock: 2000, Born: 1, Terminations: []workers.Termination{{Number: 1, Task: task, Attempt: 1, Cause: workers.CauseDone}},
	}, nil)
	r.scheduleAndCommit()
	if w.storedUpTo != 0 {
		t.Fatal("the worker may forget an end that is not stored")
	}
	r.table.SetMode(memory.ModeNone)
	r.scheduleAndCommit()
	if w.storedUpTo != 1 {
		t.Fatal("the end is stored and the worker keeps it")
	}
}

// Guards against a successor that starts what its predecessor's workers still run, or forgets it.
func TestNewLeaderReconciles(t *testing.T) {
	for name, c := range map[string]struct {
		running bool
		attempt int
	}{
		"the worker runs it":         {true, 1},
		"the worker does not run it": {false, 2},
	} {
		t.Run(name, func(t *testing.T) {
			table := memory.New()
			first := newRig(t, table)
			first.addWorker("w", 1000)
			first.submit("a", oneStep(1, 100))
			first.scheduleAndCommit()

			second := newRig(t, table)
			if _, err := second.load(); err != nil {
				t.Fatal(err)
			}
			w := second.addWorker("w", 1000)
			second.scheduleAndCommit()
			if second.client.startCount() != 0 {
				t.Fatal("started before the worker was asked")
			}
			inventory := workers.Inventory{Clock: 1000, Born: 1}
			if c.running {
				inventory.Running = []workers.Running{{Task: jobs.Task{Job: "a"}, Attempt: 1, Percent: 10}}
			}
			second.handlePoll(w, workers.PollRequest{Target: second.target(w)}, second.clock, inventory, nil)
			second.scheduleAndCommit()
			if got := second.onlyAttempt(w).number; got != c.attempt {
				t.Errorf("attempt %d, want %d", got, c.attempt)
			}
		})
	}
}

// Guards against a count of failures that starts anew with a term.
func TestFailuresOutliveATerm(t *testing.T) {
	table := memory.New()
	first := newRig(t, table)
	w := first.addWorker("w", 1000)
	first.submit("a", oneStep(1, 100))
	first.scheduleAndCommit()
	failed := workers.Termination{Number: 1, Task: jobs.Task{Job: "a"}, Attempt: 1, Cause: workers.CauseFailed}
	first.reportTerminations(w, failed)
	first.scheduleAndCommit()

	second := newRig(t, table)
	if _, err := second.load(); err != nil {
		t.Fatal(err)
	}
	// The end is listed again, since the first term did not let the worker forget it.
	w = second.addWorker("w", 1000)
	second.reportTerminations(w, failed)
	if got := second.findTask(failed.Task).failures; got != 1 {
		t.Errorf("%d failures counted", got)
	}
}

// Guards against a cancelled job that is shown as running again.
func TestCancelWinsOverProgress(t *testing.T) {
	r := newRig(t, memory.New())
	r.addWorker("w", 1000)
	j := r.submit("a", oneStep(1, 100))
	cancelled := jobs.PublicState{State: jobs.StateCancelled, Queue: testQueue}
	if _, err := r.table.Commit(r.ctx, store.Txn{Puts: []store.Put{
		{Key: store.StateKey("a"), Value: jobs.Encode(&cancelled)},
	}}); err != nil {
		t.Fatal(err)
	}
	r.scheduleAndCommit()
	r.scheduleAndCommit()
	if !j.cancelled {
		t.Error("the duty holder does not know of the cancelling")
	}
	state, err := jobs.Decode[jobs.PublicState]("state", r.table.Value(store.StateKey("a")))
	if err != nil || state.State != jobs.StateCancelled {
		t.Errorf("state %v, %v", state, err)
	}
}

// Guards against a job that runs again because it was read from an excerpt older than its end. That happened when the
// store lost its history while jobs ended.
func TestEndedJobFromOldSnapshotDoesNotRunAgain(t *testing.T) {
	r := newRig(t, memory.New())
	w := r.addWorker("w", 1000)
	j := r.submit("a", oneStep(1, 100))
	excerpt := store.Row{Key: store.JobKey("a"), Value: jobs.Encode(j.spec), Version: j.stateVersion}
	r.scheduleAndCommit()
	ended := workers.Termination{Number: 1, Task: jobs.Task{Job: "a"}, Attempt: 1, Cause: workers.CauseDone}
	r.reportTerminations(w, ended)
	r.scheduleAndCommit()
	if r.jobs["a"] != nil {
		t.Fatal("the job has not ended")
	}
	r.applyIntake(excerpt)
	r.scheduleAndCommit()
	r.scheduleAndCommit()
	if n := r.client.startCount(); n != 1 {
		t.Errorf("%d starts", n)
	}
	if len(w.attempts) != 0 || r.jobs["a"] != nil {
		t.Errorf("%d attempts, job %v", len(w.attempts), r.jobs["a"])
	}
}

// Guards against states that are kept for ever, and against states that are removed while callers may ask for them.
func TestExpiredStatesAreCollected(t *testing.T) {
	r := newRig(t, memory.New())
	r.opts.Retention = 2 * time.Minute
	for name, c := range map[string]struct {
		state jobs.State
		age   time.Duration
		old   bool
	}{
		"ended long ago":   {jobs.StateSucceeded, time.Hour, true},
		"ended lately":     {jobs.StateSucceeded, 2 * time.Minute, false},
		"running for long": {jobs.StateRunning, time.Hour, false},
	} {
		state := jobs.PublicState{State: c.state, Changed: r.today.Add(-c.age).UnixMilli()}
		row := store.Row{Key: store.StateKey("a"), Value: jobs.Encode(&state), Version: 1}
		if got := len(r.expiredStates([]store.Row{row})) == 1; got != c.old {
			t.Errorf("%s: %v", name, got)
		}
	}
	r.queueDeletes([]store.Key{store.StateKey("a")})
	state := jobs.PublicState{State: jobs.StateSucceeded}
	if _, err := r.table.Commit(r.ctx, store.Txn{Puts: []store.Put{{Key: store.StateKey("a"), Value: jobs.Encode(&state)}}}); err != nil {
		t.Fatal(err)
	}
	r.renewAt = 0
	r.scheduleAndCommit()
	if r.table.Value(store.StateKey("a")) != nil {
		t.Error("the state is still there")
	}
}
