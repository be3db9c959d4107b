package execution

import (
	"testing"
	"time"

	"bronzehook/jobs"
	"bronzehook/store"
	"bronzehook/store/memory"
	"bronzehook/workers"
)

// Guards against a start command that a later term does not know of because the attempt was not recorded before.
func TestAttemptIsRecordedBeforeStartCommand(t *testing.T) {
	r := newRig(t, memory.New())
	r.addWorker("w", 1000)
	r.submit("a", oneStep(1, 100))
	r.table.SetMode(memory.ModeBusy)
	r.scheduleAndCommit()
	if n := r.client.startCount(); n != 0 {
		t.Fatalf("%d start commands without a record", n)
	}
	r.table.SetMode(memory.ModeNormal)
	r.scheduleAndCommit()
	if n := r.client.startCount(); n != 1 {
		t.Fatalf("%d start commands after the record was stored", n)
	}
}

// Guards against a termination that is lost: the worker has to keep it until its effect on the job is stored.
func TestTerminationIsStoredBeforeItIsAcknowledged(t *testing.T) {
	r := newRig(t, memory.New())
	w := r.addWorker("w", 1000)
	r.submit("a", oneStep(2, 100))
	r.scheduleAndCommit()
	r.table.SetMode(memory.ModeBusy)
	task := jobs.Task{Job: "a"}
	r.handlePoll(w, workers.PollRequest{Target: r.target(w)}, r.clock, workers.Inventory{
		Clock: 2000, StartTime: 1, Terminations: []workers.Termination{{Number: 1, Task: task, Attempt: 1, Cause: workers.CauseDone}},
	}, nil)
	r.scheduleAndCommit()
	if w.storedUpTo != 0 {
		t.Fatal("a termination is acknowledged before it is stored")
	}
	r.table.SetMode(memory.ModeNormal)
	r.scheduleAndCommit()
	if w.storedUpTo != 1 {
		t.Fatal("the termination is stored and not acknowledged")
	}
}

// Guards against a new leader that starts attempts again which workers are still running for the previous leader, or
// that never starts those again which are not running.
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
				t.Fatal("started before the worker was polled")
			}
			inventory := workers.Inventory{Clock: 1000, StartTime: 1}
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

// Guards against a failure count that is reset by a new term.
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
	// The worker reports the termination again, since the first term did not acknowledge it.
	w = second.addWorker("w", 1000)
	second.reportTerminations(w, failed)
	if got := second.findTask(failed.Task).failures; got != 1 {
		t.Errorf("%d failures counted", got)
	}
}

// Guards against a cancelled job whose public state becomes running again.
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
		t.Error("the leader does not know of the cancellation")
	}
	state, err := jobs.Decode[jobs.PublicState]("state", r.table.Value(store.StateKey("a")))
	if err != nil || state.State != jobs.StateCancelled {
		t.Errorf("state %v, %v", state, err)
	}
}

// Guards against a job that runs again because it was read from a snapshot older than its end. That happened when the
// store discarded its history while jobs ended.
func TestEndedJobFromOldSnapshotDoesNotRunAgain(t *testing.T) {
	r := newRig(t, memory.New())
	w := r.addWorker("w", 1000)
	j := r.submit("a", oneStep(1, 100))
	snapshot := store.Row{Key: store.JobKey("a"), Value: jobs.Encode(j.spec), Version: j.stateVersion}
	r.scheduleAndCommit()
	ended := workers.Termination{Number: 1, Task: jobs.Task{Job: "a"}, Attempt: 1, Cause: workers.CauseDone}
	r.reportTerminations(w, ended)
	r.scheduleAndCommit()
	if r.jobs["a"] != nil {
		t.Fatal("the job has not ended")
	}
	r.applyIntake(snapshot)
	r.scheduleAndCommit()
	r.scheduleAndCommit()
	if n := r.client.startCount(); n != 1 {
		t.Errorf("%d starts", n)
	}
	if len(w.attempts) != 0 || r.jobs["a"] != nil {
		t.Errorf("%d attempts, job %v", len(w.attempts), r.jobs["a"])
	}
}

// Guards against public states that are never deleted, and against states that are deleted while callers may still read
// them.
func TestExpiredStatesAreCollected(t *testing.T) {
	r := newRig(t, memory.New())
	r.opts.Retention = 2 * time.Minute
	for name, c := range map[string]struct {
		state jobs.State
		age   time.Duration
		old   bool
	}{
		"ended long ago":   {jobs.StateSucceeded, time.Hour, true},
		"ended recently":   {jobs.StateSucceeded, 2 * time.Minute, false},
		"running for long": {jobs.StateRunning, time.Hour, false},
	} {
		state := jobs.PublicState{State: c.state, Changed: r.wallClock.Add(-c.age).UnixMilli()}
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
		t.Error("the state was not deleted")
	}
}

// Guards against work that is done once more, as a lost attempt is reported as done only after a later attempt has ended.
func TestLostAttemptIsDoneHoweverLate(t *testing.T) {
	r := newRig(t, memory.New())
	w1, w2 := r.addWorker("w1", 100), r.addWorker("w2", 100)
	j := r.submit("a", oneStep(1, 100))
	r.scheduleAndCommit()
	task := j.occurrences[0].steps[0][0]
	if task.current.worker != w1 {
		w1, w2 = w2, w1
	}
	r.markLost(task.current, lostLeaseExpired)
	w1.node.Usable = false
	r.scheduleAndCommit()
	r.report(w2, 1, 0, 2, workers.CauseStopped)
	r.report(w1, 1, 0, 1, workers.CauseDone)
	r.scheduleAndCommit()
	if j.state != jobs.StateSucceeded || task.attempt != 2 {
		t.Errorf("job %s, %d attempts", j.state, task.attempt)
	}
}
