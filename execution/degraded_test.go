package execution

import (
	"fmt"
	"testing"
	"time"

	"bronzehook/store"
	"bronzehook/store/memory"
	"bronzehook/workers"
)

// emptyRenewal renews the duty and stores nothing else.
var emptyRenewal = store.Txn{}

// reportFailure lets a worker list the only attempt of a job there as failed.
func (r *rig) reportFailure(w *worker, j *job, number int64) {
	r.t.Helper()
	for key := range w.attempts {
		if key.task.Job == j.spec.ID {
			r.reportTerminations(w, workers.Termination{Number: number, Task: key.task, Attempt: key.attempt, Cause: workers.CauseFailed})
			return
		}
	}
	r.t.Fatalf("nothing of %s on %s", j.spec.ID, w.id())
}

// addSmallWorkers adds workers that take no task of these tests, so that one worker in trouble is one of a few.
func (r *rig) addSmallWorkers() {
	for i := range 3 {
		r.addWorker(fmt.Sprintf("small%d", i), 1).node.Entry.Capacity.MemoryMB = 1
	}
}

// failTwoTasks lets both tasks of a job fail on a worker.
func (r *rig) failTwoTasks(w *worker) {
	r.t.Helper()
	r.submit("failing", oneStep(2, 100))
	r.scheduleAndCommit()
	var ends []workers.Termination
	for key := range w.attempts {
		ends = append(ends, workers.Termination{Number: int64(len(ends) + 1), Task: key.task, Attempt: key.attempt, Cause: workers.CauseFailed})
	}
	r.reportTerminations(w, ends...)
}

// Guards against a worker that fails all that it starts, is empty for that reason, and so attracts every task until the attempts
// of their jobs are used up.
func TestFailingWorkerGetsNoBatchTasks(t *testing.T) {
	r := newRig(t, memory.New())
	r.addSmallWorkers()
	bad := r.addWorker("bad", 1000)
	r.failTwoTasks(bad)
	r.refreshNodes(r.clock)
	r.scheduleAndCommit()
	if n := len(bad.attempts); n != 0 {
		t.Fatalf("%d short tasks on a worker that failed twice in a row", n)
	}
	lasting := oneStep(1, 100)
	lasting.LongRunning = true
	r.submit("lasting", lasting)
	r.scheduleAndCommit()
	if n := len(bad.attempts); n != 1 {
		t.Errorf("%d attempts; a task that lasts has to run wherever there is room", n)
	}
}

// Guards against a worker that is never tried again, and against one that all waiting tasks try at the same time.
func TestHalfOpenBreakerAdmitsOneTask(t *testing.T) {
	r := newRig(t, memory.New())
	r.addSmallWorkers()
	bad := r.addWorker("bad", 1000)
	r.failTwoTasks(bad)
	r.submit("j2", oneStep(3, 100))
	r.advanceClock(1600 * time.Millisecond)
	if _, err := r.leader.Commit(r.ctx, emptyRenewal); err != nil {
		t.Fatal(err)
	}
	r.refreshNodes(r.clock)
	r.scheduleAndCommit()
	if n := len(bad.attempts); n != 1 {
		t.Fatalf("%d tasks try the worker after its rest", n)
	}
	tried := r.onlyAttempt(bad)
	r.reportTerminations(bad, workers.Termination{Number: 3, Task: tried.task.id, Attempt: tried.number, Cause: workers.CauseDone})
	r.refreshNodes(r.clock)
	r.scheduleAndCommit()
	if n := len(bad.attempts); n < 2 {
		t.Errorf("%d tasks after one has succeeded", n)
	}
}

// Guards against sound workers that are closed by a job that fails everywhere.
func TestJobThatFailsEverywhereTripsNoBreaker(t *testing.T) {
	r := newRig(t, memory.New())
	const count = 6
	var all []*worker
	for i := range count {
		all = append(all, r.addWorker(fmt.Sprintf("w%d", i), 1000))
	}
	for round := range 2 {
		j := r.submit(fmt.Sprintf("poison%d", round), oneStep(count, 900))
		r.scheduleAndCommit()
		for _, w := range all {
			r.reportFailure(w, j, int64(round+1))
		}
		r.cancel(j)
		r.commitAll()
	}
	r.refreshNodes(r.clock)
	r.submit("good", oneStep(count, 900))
	r.scheduleAndCommit()
	for _, w := range all {
		if len(w.attempts) != 1 && w != all[0] {
			t.Errorf("%s has %d tasks: a job that fails everywhere has closed a sound worker", w.id(), len(w.attempts))
		}
	}
}

// newLatencyCriticalRig is a worker with serving tasks whose usual tails are known.
func newLatencyCriticalRig(t *testing.T) (*rig, *worker, func(tail int)) {
	r := newRig(t, memory.New())
	r.addSmallWorkers()
	w := r.addWorker("w", 32_000)
	step := oneStep(2, 3000)
	step.LongRunning, step.LatencyTarget, step.Image = true, 18*time.Millisecond, "serve"
	j := r.submit("serving", step)
	r.scheduleAndCommit()
	look := func(tail int) {
		t.Helper()
		inventory := workers.Inventory{Clock: 2000, Born: 1}
		for _, run := range w.attempts {
			usage, percent := run.task.step.Resources.CPU, 10
			if run.task.job == j {
				usage, percent = tail, 100
			}
			inventory.Running = append(inventory.Running, workers.Running{
				Task: run.task.id, Attempt: run.number, Percent: percent, Usage: usage,
			})
		}
		r.handlePoll(w, workers.PollRequest{Target: r.target(w)}, r.clock, inventory, nil)
		if _, err := r.leader.Commit(r.ctx, emptyRenewal); err != nil {
			t.Fatal(err)
		}
		r.refreshNodes(r.clock)
	}
	for range 20 {
		look(7)
		r.advanceClock(600 * time.Millisecond)
	}
	return r, w, look
}

// Guards against tasks that stay on, or go to, a worker on which everything takes many times as long as elsewhere.
func TestBatchTasksMoveOffSlowWorker(t *testing.T) {
	r, w, look := newLatencyCriticalRig(t)
	j := r.submit("short", oneStep(1, 100))
	r.scheduleAndCommit()
	look(7)
	run := j.occurrences[0].steps[0][0].current
	r.advanceClock(900 * time.Millisecond)
	look(900)
	r.superviseAt = 0
	r.supervise(r.clock)
	if !run.stopping {
		t.Error("a tenth is done after 0.9 s of an estimated 1 s, and the task stays")
	}
	before := len(w.attempts)
	r.submit("next", oneStep(1, 100))
	r.scheduleAndCommit()
	if len(w.attempts) != before {
		t.Error("a short task was placed on a slow worker")
	}
	r.advanceClock(600 * time.Millisecond)
	look(7)
	r.scheduleAndCommit()
	if len(w.attempts) == before {
		t.Error("the worker is as fast as before and gets no task")
	}
}

// Guards against tails of a slow worker that are put down to the fillers beside them, so that their images are kept apart for long.
func TestSlowWorkerDoesNotUpdateInterference(t *testing.T) {
	r, _, look := newLatencyCriticalRig(t)
	filler := oneStep(1, 3000)
	filler.BestEffort, filler.Image = true, "fill"
	r.submit("filler", filler)
	r.scheduleAndCommit()
	for range 10 {
		look(8)
		r.advanceClock(600 * time.Millisecond)
	}
	learned := r.interference.Effect("serve", "fill")
	for range 5 {
		look(900)
		r.advanceClock(600 * time.Millisecond)
	}
	if got := r.interference.Effect("serve", "fill"); got != learned {
		t.Errorf("effect %.2f, before the worker was slow %.2f", got, learned)
	}
}

// Guards against serving tasks that stay over their target until the next round of supervision although a look has told of it.
func TestBestEffortIsThrottledAtOnce(t *testing.T) {
	r, _, look := newLatencyCriticalRig(t)
	filler := oneStep(1, 3000)
	filler.BestEffort, filler.Image = true, "fill"
	j := r.submit("filler", filler)
	r.scheduleAndCommit()
	look(8)
	r.advanceClock(2 * time.Second)
	// The order is given only under a valid duty, which look renews after it has handled the answer.
	r.commitAll()
	look(25)
	r.handleEvents()
	task := j.occurrences[0].steps[0][0]
	r.client.mu.Lock()
	defer r.client.mu.Unlock()
	if pace, ok := r.client.throttles[task.id]; !ok || pace >= fullCPUPercent {
		t.Errorf("pace %d (%v) although the tail is over its target", pace, ok)
	}
}
