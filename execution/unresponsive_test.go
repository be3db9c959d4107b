package execution

import (
	"testing"
	"time"

	"bronzehook/jobs"
	"bronzehook/store/memory"
	"bronzehook/workers"
)

// Guards against a second attempt of a task while its worker is unresponsive but may still be running the first.
func TestUnresponsiveWorkerKeepsTasksUntilAttemptLeaseExpires(t *testing.T) {
	r := newRig(t, memory.New())
	w := r.addWorker("w", 1000)
	r.submit("a", oneStep(1, 100))
	r.scheduleAndCommit()
	granted := r.clock
	r.client.err = &workers.UnreachableError{Worker: w.id(), Detail: "no answer"}
	r.handlePollFailure(w, r.target(w), r.clock, r.client.err)
	for r.clock < granted+testAttemptLease {
		r.pollWorker(w, r.clock)
		r.handleEvents()
		r.expireAttempts(r.clock)
		if len(w.attempts) != 1 {
			t.Fatalf("lost %v after the attempt lease was granted", r.clock-granted)
		}
		r.advanceClock(500 * time.Millisecond)
	}
	r.advanceClock(time.Second)
	r.expireAttempts(r.clock)
	if len(w.attempts) != 0 {
		t.Error("not lost after every attempt lease has expired")
	}
	r.client.mu.Lock()
	defer r.client.mu.Unlock()
	for _, request := range r.client.polls {
		if request.LeaseExpiry != 0 {
			t.Error("an unresponsive worker was granted a further attempt lease")
		}
	}
}

// Guards against a poll for an earlier incarnation of a worker that reaches a later one under the same name: it would
// acknowledge terminations of the later incarnation that the leader has not received.
func TestCommandsForEarlierIncarnationHaveNoEffect(t *testing.T) {
	r := newRig(t, memory.New())
	w := r.addWorker("w", 1000)
	r.submit("a", oneStep(2, 100))
	r.scheduleAndCommit()
	ended := workers.Termination{Number: 7, Task: jobs.Task{Job: "a"}, Attempt: 1, Cause: workers.CauseDone}
	r.reportTerminations(w, ended)
	r.scheduleAndCommit()
	before := r.target(w)
	r.handlePollFailure(w, before, r.clock, &workers.UnreachableError{Worker: w.id()})
	w.nextPoll = 0
	r.poll(r.clock)
	r.handleEvents()
	r.client.mu.Lock()
	defer r.client.mu.Unlock()
	last := r.client.polls[len(r.client.polls)-1]
	if last.FencingToken <= before.FencingToken {
		t.Errorf("the token %d does not exceed that of earlier commands, %d", last.FencingToken, before.FencingToken)
	}
	if last.AckUpTo != 0 {
		t.Errorf("the first poll after a failure acknowledges terminations up to %d", last.AckUpTo)
	}
}

// Guards against a task that is done again although its worker reports it as done, and against a failure that is not
// counted: the attempt was marked as lost when the attempt lease on its unresponsive worker expired, and its
// termination was reported afterwards. The soak test found this with the seed 3001.
func TestTerminationOfLostAttemptCounts(t *testing.T) {
	for name, c := range map[string]struct {
		cause          workers.Cause
		done, failures int
	}{
		"done":   {workers.CauseDone, 1, 0},
		"failed": {workers.CauseFailed, 0, 1},
		"lapsed": {workers.CauseLeaseExpired, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, memory.New())
			w := r.addWorker("w", 1000)
			j := r.submit("a", oneStep(2, 100))
			r.scheduleAndCommit()
			r.handlePollFailure(w, r.target(w), r.clock, &workers.UnreachableError{Worker: w.id()})
			r.advanceClock(2 * testAttemptLease)
			r.expireAttempts(r.clock)
			if len(w.attempts) != 0 {
				t.Fatalf("%d attempts are not marked as lost", len(w.attempts))
			}
			reported := workers.Termination{Number: 1, Task: jobs.Task{Job: "a"}, Attempt: 1, Cause: c.cause}
			for range 2 {
				// The termination is reported until it is acknowledged, and counts once.
				inventory := workers.Inventory{Clock: 20_000, StartTime: 1, Terminations: []workers.Termination{reported}}
				w.appliedUpTo = 0
				r.handlePoll(w, workers.PollRequest{Target: r.target(w)}, r.clock, inventory, nil)
			}
			task := j.occurrences[0].steps[0][0]
			if task.done != (c.done == 1) || task.failures != c.failures {
				t.Errorf("done %v, %d failures", task.done, task.failures)
			}
			r.refreshNodes(r.clock)
			r.scheduleAndCommit()
			if want := 4 - c.done; r.client.startCount() != want {
				t.Errorf("%d starts, want %d", r.client.startCount(), want)
			}
		})
	}
}

// Guards against a done task that runs again because its attempt was lost in an earlier term.
func TestDoneOfAttemptLostInEarlierTermCounts(t *testing.T) {
	for name, c := range map[string]struct {
		cause workers.Cause
		done  bool
	}{
		"done":   {workers.CauseDone, true},
		"failed": {workers.CauseFailed, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, memory.New())
			w := r.addWorker("w", 1000)
			j := r.submit("a", oneStep(1, 100))
			r.restoreTask(j, &jobs.TaskRecord{Attempt: 1, Ended: 1})
			r.reportTerminations(w, workers.Termination{Number: 1, Task: jobs.Task{Job: "a"}, Attempt: 1, Cause: c.cause})
			if task := j.occurrences[0].steps[0][0]; task.done != c.done || task.failures != 0 {
				t.Errorf("done %v, %d failures", task.done, task.failures)
			}
		})
	}
}

// Guards against a worker that is never polled again: it was unresponsive until its last attempt lease had expired, so
// that it had no attempts left to poll for, and its capacity stayed unused for the rest of the term.
func TestUnresponsiveWorkerIsPolledAfterAttemptLeasesExpire(t *testing.T) {
	r := newRig(t, memory.New())
	w := r.addWorker("w", 1000)
	r.submit("a", oneStep(1, 100))
	r.scheduleAndCommit()
	r.handlePollFailure(w, r.target(w), r.clock, &workers.UnreachableError{Worker: w.id()})
	r.advanceClock(2 * testAttemptLease)
	r.expireAttempts(r.clock)
	if len(w.attempts) != 0 {
		t.Fatalf("%d attempts are not marked as lost", len(w.attempts))
	}
	r.commitAll()
	r.poll(r.clock)
	r.handleEvents()
	r.refreshNodes(r.clock)
	if !w.node.Usable {
		t.Fatal("the worker answers and is not usable")
	}
	r.scheduleAndCommit()
	if n := r.client.startCount(); n != 2 {
		t.Errorf("%d starts", n)
	}
}

// Guards against attempts that are stopped as stalled, and workers that are penalised for it, because the leader could
// not poll while its term was paused.
func TestAttemptIsNotStalledWithoutPoll(t *testing.T) {
	for name, c := range map[string]struct {
		percent int
		polled  bool
		want    bool
	}{
		"no poll since":              {percent: 40, polled: false, want: false},
		"a poll that shows progress": {percent: 80, polled: true, want: false},
		"a poll that shows none":     {percent: 40, polled: true, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, memory.New())
			w := r.addWorker("w", 1000)
			r.submit("a", oneStep(1, 100))
			r.scheduleAndCommit()
			poll := func(percent int) {
				running := []workers.Running{{Task: jobs.Task{Job: "a"}, Attempt: 1, Percent: percent}}
				r.handlePoll(w, workers.PollRequest{Target: r.target(w)}, r.clock, workers.Inventory{StartTime: 1, Running: running}, nil)
			}
			poll(40)
			r.advanceClock(minStallTime + time.Second)
			if c.polled {
				poll(c.percent)
			}
			r.supervise(r.clock)
			if got := r.onlyAttempt(w).stopping; got != c.want {
				t.Errorf("stopped %v", got)
			}
		})
	}
}

// Guards against an attempt that is taken for lost, and runs again, because its worker has more terminations than one
// inventory lists; and against one that is waited for although the worker has listed all of them.
func TestAttemptIsNotLostWhileTerminationsAreUnlisted(t *testing.T) {
	for name, c := range map[string]struct {
		listed, unknown int
		inherited       bool
		wantLost        bool
	}{
		"all listed":                          {listed: workers.MaxTerminations - 1, wantLost: true},
		"more may follow":                     {listed: workers.MaxTerminations},
		"more may follow, some undecodable":   {listed: workers.MaxTerminations - 2, unknown: 2},
		"all listed, of an earlier term":      {inherited: true, wantLost: true},
		"more may follow, of an earlier term": {listed: workers.MaxTerminations, inherited: true},
	} {
		r := newRig(t, memory.New())
		w := r.addWorker("w", 1000)
		r.submit("a", oneStep(1, 100))
		r.scheduleAndCommit()
		a := r.onlyAttempt(w)
		if c.inherited {
			a.phase = phaseInherited
		}
		inventory := workers.Inventory{StartTime: 1, Unknown: c.unknown}
		for n := range c.listed {
			inventory.Terminations = append(inventory.Terminations, workers.Termination{
				Number: int64(n + 1), Task: jobs.Task{Job: "other", Index: n}, Attempt: 1, Cause: workers.CauseDone,
			})
		}
		r.advanceClock(time.Second)
		r.handlePoll(w, workers.PollRequest{Target: r.target(w)}, r.clock, inventory, nil)
		if lost := len(w.attempts) == 0; lost != c.wantLost {
			t.Errorf("%s: lost: %v", name, lost)
		}
	}
}
