package execution

import (
	"testing"
	"time"

	"bronzehook/jobs"
	"bronzehook/store/memory"
	"bronzehook/workers"
)

// Guards against a second run of a task whose worker is silent but may still run it.
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
		r.expire(r.clock)
		if len(w.attempts) != 1 {
			t.Fatalf("given up %v after the lease was granted", r.clock-granted)
		}
		r.advanceClock(500 * time.Millisecond)
	}
	r.advanceClock(time.Second)
	r.expire(r.clock)
	if len(w.attempts) != 0 {
		t.Error("still waited for after every lease has run out")
	}
	r.client.mu.Lock()
	defer r.client.mu.Unlock()
	for _, look := range r.client.polls {
		if look.LeaseEnd != 0 {
			t.Error("a worker that does not answer was granted a further lease")
		}
	}
}

// Guards against an order for an earlier life of a worker that reaches a later one under the same name: it would let the
// later life forget ends that nobody has seen.
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
		t.Errorf("the token %d does not exceed that of earlier orders, %d", last.FencingToken, before.FencingToken)
	}
	if last.AckUpTo != 0 {
		t.Errorf("the first look after a failure lets the worker forget ends up to %d", last.AckUpTo)
	}
}

// Guards against work that is done again although its worker lists it as done, and against a failure that does not count,
// because the attempt had been given up when the lease of its silent worker ran out. Seed 3001 of the soak.
func TestTerminationOfAbandonedAttemptCounts(t *testing.T) {
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
			r.expire(r.clock)
			if len(w.attempts) != 0 {
				t.Fatalf("%d attempts are still waited for", len(w.attempts))
			}
			listed := workers.Termination{Number: 1, Task: jobs.Task{Job: "a"}, Attempt: 1, Cause: c.cause}
			for range 2 {
				// The end is listed until it is confirmed, and counts once.
				inventory := workers.Inventory{Clock: 20_000, Born: 1, Terminations: []workers.Termination{listed}}
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

// Guards against a worker that is never asked again: it was silent until its last lease had run out, so that nothing was
// expected of it any more, and its room stayed unused for the rest of the term.
func TestUnresponsiveWorkerIsPolledAfterAttemptLeasesExpire(t *testing.T) {
	r := newRig(t, memory.New())
	w := r.addWorker("w", 1000)
	r.submit("a", oneStep(1, 100))
	r.scheduleAndCommit()
	r.handlePollFailure(w, r.target(w), r.clock, &workers.UnreachableError{Worker: w.id()})
	r.advanceClock(2 * testAttemptLease)
	r.expire(r.clock)
	if len(w.attempts) != 0 {
		t.Fatalf("%d attempts are still waited for", len(w.attempts))
	}
	r.commitAll()
	r.poll(r.clock)
	r.handleEvents()
	r.refreshNodes(r.clock)
	if !w.node.Usable {
		t.Fatal("the worker answers and is not used")
	}
	r.scheduleAndCommit()
	if n := r.client.startCount(); n != 2 {
		t.Errorf("%d starts", n)
	}
}

// Guards against attempts that are stopped as standing still, and workers that are suspected for it, because the holder could not
// look while the duty was paused.
func TestNoStallWithoutPoll(t *testing.T) {
	for name, c := range map[string]struct {
		percent int
		looks   bool
		want    bool
	}{
		"no look since":              {percent: 40, looks: false, want: false},
		"a look that shows progress": {percent: 80, looks: true, want: false},
		"a look that shows none":     {percent: 40, looks: true, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, memory.New())
			w := r.addWorker("w", 1000)
			r.submit("a", oneStep(1, 100))
			r.scheduleAndCommit()
			look := func(percent int) {
				running := []workers.Running{{Task: jobs.Task{Job: "a"}, Attempt: 1, Percent: percent}}
				r.handlePoll(w, workers.PollRequest{Target: r.target(w)}, r.clock, workers.Inventory{Born: 1, Running: running}, nil)
			}
			look(40)
			r.advanceClock(stallMin + time.Second)
			if c.looks {
				look(c.percent)
			}
			r.supervise(r.clock)
			if got := r.onlyAttempt(w).stopping; got != c.want {
				t.Errorf("stopped %v", got)
			}
		})
	}
}
