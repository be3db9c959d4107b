package execution

import (
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"bronzehook/jobs"
	"bronzehook/leadership"
	"bronzehook/store"
	"bronzehook/store/memory"
	"bronzehook/workers"
)

// touchesStates reports whether a transaction touches rows that callers can write as well.
func touchesStates(txn store.Txn) bool {
	return slices.ContainsFunc(txn.Conditions, func(c store.Condition) bool { return store.Partitioned(c.Key.Table) }) ||
		slices.ContainsFunc(txn.Puts, func(p store.Put) bool { return store.Partitioned(p.Key.Table) }) ||
		slices.ContainsFunc(txn.Deletes, func(k store.Key) bool { return store.Partitioned(k.Table) })
}

// Guards against running work that stalls because callers overload their parts of a slow store. On a larger site the
// leadership lease expired for that reason, and the attempt leases of long-running tasks with it.
func TestWorkContinuesWhileStateCommitsFail(t *testing.T) {
	r := newRig(t, memory.New())
	w := r.addWorker("w", 1000)
	first := oneStep(1, 100)
	second := oneStep(1, 100)
	second.After = []int{0}
	j := r.submit("a", first, second)
	r.markVerified(store.Row{Key: store.JobKey("a"), Version: j.stateVersion})
	r.table.SetReject(touchesStates)
	r.scheduleAndCommit()
	if n := r.client.startCount(); n != 1 {
		t.Fatalf("%d starts", n)
	}
	done := workers.Termination{Number: 1, Task: jobs.Task{Job: "a"}, Attempt: 1, Cause: workers.CauseDone}
	r.reportTerminations(w, done)
	r.scheduleAndCommit()
	if n := r.client.startCount(); n != 2 {
		t.Errorf("%d starts after the first step", n)
	}
	if w.storedUpTo != 1 {
		t.Error("termination is not acknowledged although its record is stored")
	}
	r.table.SetReject(nil)
	r.scheduleAndCommit()
	state, err := jobs.Decode[jobs.PublicState]("state", r.table.Value(store.StateKey("a")))
	if err != nil || state.State != jobs.StateRunning {
		t.Errorf("state %v, %v", state, err)
	}
}

// Guards against a late commit of public states that overwrites a newer progress record, against transactions that span
// several groups, which take longer, and against progress records that are left over after their jobs have ended.
func TestStatesAndRecordsAreStoredApart(t *testing.T) {
	r := newRig(t, memory.New())
	w := r.addWorker("w", 1000)
	r.table.SetReject(func(txn store.Txn) bool {
		groups := make(map[int]bool)
		for _, c := range txn.Conditions {
			groups[c.Key.Group()] = true
		}
		for _, p := range txn.Puts {
			groups[p.Key.Group()] = true
		}
		for _, k := range txn.Deletes {
			groups[k.Group()] = true
		}
		if len(groups) > 1 {
			t.Errorf("transaction spans the groups %v", groups)
		}
		return false
	})
	ids := []string{"a", "b", "c", "d"}
	for _, id := range ids {
		r.submit(id, oneStep(1, 100))
	}
	r.scheduleAndCommit()
	var terminations []workers.Termination
	for i, id := range ids {
		terminations = append(terminations, workers.Termination{Number: int64(i + 1), Task: jobs.Task{Job: jobs.ID(id)}, Attempt: 1, Cause: workers.CauseDone})
	}
	r.reportTerminations(w, terminations...)
	r.scheduleAndCommit()
	for _, id := range ids {
		state, err := jobs.Decode[jobs.PublicState]("state", r.table.Value(store.StateKey(id)))
		if err != nil || state.State != jobs.StateSucceeded {
			t.Errorf("%s: state %v, %v", id, state, err)
		}
		if r.table.Value(store.ProgressKey(id)) != nil || r.table.Value(store.JobKey(id)) != nil {
			t.Errorf("%s: rows were not deleted", id)
		}
	}
	if w.storedUpTo != int64(len(ids)) {
		t.Errorf("terminations acknowledged up to %d", w.storedUpTo)
	}
}

// Guards against progress records that are never deleted because the term that ended their jobs crashed before it did
// so.
func TestRecordsWithoutAJobAreRemoved(t *testing.T) {
	table := memory.New()
	record := jobs.Record{Tasks: []jobs.TaskRecord{{Attempt: 1, Worker: "w"}}}
	if _, err := table.Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: store.ProgressKey("a"), Value: jobs.Encode(&record)}}}); err != nil {
		t.Fatal(err)
	}
	r := newRig(t, table)
	if _, err := r.load(); err != nil {
		t.Fatal(err)
	}
	r.scheduleAndCommit()
	if table.Value(store.ProgressKey("a")) != nil {
		t.Error("the record was not deleted")
	}
}

// Guards against a job that stays queued in its public state, or is stored twice in one transaction, because it ended
// while its state was deferred to share a commit with other jobs.
func TestStartedJobsShareACommit(t *testing.T) {
	r := newRig(t, memory.New())
	w := r.addWorker("w", 1000)
	j := r.submit("a", oneStep(1, 100))
	r.markVerified(store.Row{Key: store.JobKey("a"), Version: j.stateVersion})
	r.Term.schedule(r.clock)
	for range maxCommitsPerChange {
		r.records.nextCommit = 0
		r.Term.commit(r.clock)
		r.handleEvents()
	}
	if j.state != jobs.StateRunning || j.storedState != jobs.StateQueued {
		t.Fatalf("state %s, stored %s: a commit for a single started job", j.state, j.storedState)
	}
	r.table.SetReject(func(txn store.Txn) bool {
		seen := make(map[store.Key]bool)
		for _, p := range txn.Puts {
			if seen[p.Key] {
				t.Errorf("%v is stored twice in a transaction", p.Key)
			}
			seen[p.Key] = true
		}
		return false
	})
	done := workers.Termination{Number: 1, Task: jobs.Task{Job: "a"}, Attempt: 1, Cause: workers.CauseDone}
	r.reportTerminations(w, done)
	r.scheduleAndCommit()
	state, err := jobs.Decode[jobs.PublicState]("state", r.table.Value(store.StateKey("a")))
	if err != nil || state.State != jobs.StateSucceeded {
		t.Errorf("state %v, %v", state, err)
	}
	second := r.submit("b", oneStep(1, 100))
	r.scheduleAndCommit()
	if second.storedState != jobs.StateRunning {
		t.Errorf("state %s is stored after the maximum delay", second.storedState)
	}
	r.advanceClock(countsInterval)
	r.scheduleAndCommit()
	counts, err := jobs.Decode[jobs.Counts]("counts", r.table.Value(store.CountsKey))
	if err != nil || len(counts.Pending) != 0 {
		t.Errorf("counts %+v, %v", counts, err)
	}
}

// Guards against a leader that has not read recently accepted jobs and stores a low count of pending jobs with a
// current date. A benchmark day with an overloaded variant of a site broke the rule MIXED for that reason.
func TestCountsAreDatedByLastIntakeRead(t *testing.T) {
	for _, c := range []struct{ lag, age time.Duration }{{intakeWatchWait, 0}, {10 * time.Second, 10*time.Second - maxIntakeReadInterval}} {
		r := newRig(t, memory.New())
		r.intakeReadAt = r.clock
		r.advanceClock(c.lag)
		r.scheduleAndCommit()
		counts, err := jobs.Decode[jobs.Counts]("counts", r.table.Value(store.CountsKey))
		if err != nil {
			t.Fatal(err)
		}
		if got := r.wallClock.Sub(time.UnixMilli(counts.Written)); got != c.age {
			t.Errorf("intake read %v ago: counts are %v old, want %v", c.lag, got, c.age)
		}
	}
}

// Guards against a term that reads everything again after a store outage during which no other instance acquired
// leadership, and against commands while the leadership lease has expired.
func TestTermPausesWhileLeadershipIsExpired(t *testing.T) {
	r := newRig(t, memory.New())
	r.addWorker("w", 1000)
	r.submit("a", oneStep(1, 100))
	r.table.SetMode(memory.ModeBusy)
	r.advanceClock(leadership.MaxLeaseDuration + time.Millisecond)
	step := func() {
		r.records.nextCommit = 0
		if err := r.Term.advance(); err != nil {
			t.Fatal(err)
		}
		r.handleEvents()
	}
	for range maxCommitsPerChange {
		step()
	}
	if n := r.client.startCount() + len(r.client.polls); n != 0 {
		t.Fatalf("%d calls to workers while the leadership lease has expired", n)
	}
	r.table.SetMode(memory.ModeNormal)
	for range 3 * maxCommitsPerChange {
		r.renewAt, r.nextSchedule = 0, 0
		step()
	}
	if n := r.client.startCount(); n != 1 {
		t.Errorf("%d starts after the leadership lease was renewed", n)
	}
}

// Guards against a paused term that wakes up every millisecond while the store is unavailable.
func TestPausedTermDoesNotSpin(t *testing.T) {
	r := newRig(t, memory.New())
	r.addWorker("w", 1000)
	r.submit("a", oneStep(1, 100))
	r.table.SetMode(memory.ModeBusy)
	r.advanceClock(leadership.MaxLeaseDuration + time.Millisecond)
	r.passDue = true
	if err := r.Term.advance(); err != nil {
		t.Fatal(err)
	}
	if wait := r.untilDue(); wait != 0 {
		t.Errorf("due again after %v", wait)
	}
}

// Guards against a paused term that resumes although another instance has led in the meantime.
func TestPausedTermEndsOnTakeover(t *testing.T) {
	table := memory.New()
	r := newRig(t, table)
	r.advanceClock(leadership.MaxLeaseDuration + time.Millisecond)
	newRig(t, table)
	var err error
	for range maxCommitsPerChange {
		r.records.nextCommit = 0
		if err = r.Term.advance(); err != nil {
			break
		}
		r.handleEvents()
	}
	var lost *leadership.LostError
	if !errors.As(err, &lost) {
		t.Errorf("the term ended with %v, want a lost leadership", err)
	}
}

// Guards against commit queues that retry without delay while the store rejects every commit, and against a long delay
// that remains after the store has recovered.
func TestCommitRetryDelayGrows(t *testing.T) {
	var q commitQueue
	delays := make([]time.Duration, 0, 40)
	for range cap(delays) {
		q.backOff(time.Hour)
		delays = append(delays, q.nextCommit-time.Hour)
	}
	if delays[0] != minCommitRetryDelay || delays[1] != 2*minCommitRetryDelay || delays[len(delays)-1] != maxCommitRetryDelay {
		t.Errorf("delays %v", delays)
	}
	if maxCommitRetryDelay > leadership.MaxLeaseDuration/4 {
		t.Errorf("a delay of %s leaves too few tries before the leadership lease expires", maxCommitRetryDelay)
	}

	r := newRig(t, memory.New())
	r.records.failures, r.states[0].failures = 5, 5
	r.recordsCommitted(nil, nil, nil)
	r.statesCommitted(&r.states[0], nil, 1, nil)
	if r.records.failures != 0 || r.states[0].failures != 0 {
		t.Error("a success does not reset the delay")
	}
}
