package execution

import (
	"testing"
	"time"

	"bronzehook/jobs"
	"bronzehook/store/memory"
	"bronzehook/workers"
)

// Guards against jobs that are set back for their size without a bound: the largest tenth of plans was served less than
// half as often as all plans.
func TestSizePenaltyIsBounded(t *testing.T) {
	r := newRig(t, memory.New())
	for i := range 8 {
		r.submit(string(rune('a'+i)), oneStep(4, 1000))
	}
	small, mean, huge := r.submit("small", oneStep(1, 100)), r.submit("mean", oneStep(6, 1000)), r.submit("huge", oneStep(60, 1000))
	r.Term.schedule(r.clock)
	if small.rank.score >= mean.rank.score {
		t.Errorf("scores: small %.2f, mean %.2f: small jobs go first", small.rank.score, mean.rank.score)
	}
	if gap := huge.rank.score - mean.rank.score; gap > 2*sizeWeight {
		t.Errorf("a job of ten times the size is set back by %.2f s", gap)
	}
}

// Guards against large jobs that begin, are late in a crowd, and are then put behind all that can end in time: of the largest
// tenth of plans 0.2 to 0.3 were served, of all 0.6.
func TestLateLargeJobsKeepTheirRank(t *testing.T) {
	r := newRig(t, memory.New())
	for i := range 8 {
		r.submit(string(rune('a'+i)), oneStep(4, 1000))
	}
	mean, large := r.submit("mean", oneStep(4, 1000)), r.submit("large", oneStep(40, 1000))
	r.Term.schedule(r.clock)
	if gap := mean.rank.score - large.rank.score; gap <= 0 {
		t.Errorf("a large job is set back by its size %.2f s further than a mean one", -gap)
	}
	r.today = mean.deadline.Add(time.Millisecond)
	r.Term.schedule(r.clock)
	if mean.rank.valueClass != 1 || large.rank.valueClass != 0 {
		t.Errorf("worth when late: mean %d, want 1, large %d, want 0", mean.rank.valueClass, large.rank.valueClass)
	}
	r.today = mean.lateDeadline.Add(time.Millisecond)
	r.Term.schedule(r.clock)
	if large.rank.valueClass != 2 {
		t.Errorf("worth %d of a large job that can earn nothing any more, want 2", large.rank.valueClass)
	}
}

// Guards against a mean that never follows a change of what callers send.
func TestMeanWorkAdaptsToChange(t *testing.T) {
	r := newRig(t, memory.New())
	j := r.submit("a", oneStep(1, 1000))
	for range 10 * maxMeanSamples {
		r.sizes.note(j.spec)
	}
	large := r.submit("b", oneStep(100, 1000))
	for range 3 * maxMeanSamples {
		r.sizes.note(large.spec)
	}
	if got := r.sizes.mean(testQueue); got < 90*time.Second.Seconds() {
		t.Errorf("mean %.1f core-seconds", got)
	}
}

// addLocalAndRemote adds a worker with room for one task near rack-1 and a larger one far from it.
func (r *rig) addLocalAndRemote() (near, far *worker) {
	r.opts.FarFactor = 3
	near, far = r.addWorker("near", 100), r.addWorker("far", 1000)
	near.node.Entry.Labels = []string{"a", "rack-1"}
	far.node.Entry.Labels = []string{"a", "rack-2"}
	return near, far
}

// Guards against tasks that run far from their data although a worker near it comes free soon, and against tasks that wait
// for one for ever.
func TestTasksWaitForLocalWorker(t *testing.T) {
	r := newRig(t, memory.New())
	near, far := r.addLocalAndRemote()
	step := oneStep(2, 100)
	step.Affinity = "rack-1"
	r.submit("a", step)
	r.scheduleAndCommit()
	if len(near.attempts) != 1 || len(far.attempts) != 0 {
		t.Fatalf("%d near, %d far", len(near.attempts), len(far.attempts))
	}
	r.advanceClock(r.localityWait(&step) + time.Millisecond)
	r.scheduleAndCommit()
	if len(far.attempts) != 1 {
		t.Error("a task waits for a worker near its data for ever")
	}
}

// Guards against a wait that counts from the start of the job: tasks of a later step then ran far from their data at once, and
// the log told of waits that were none.
func TestStepWaitStartsWhenReady(t *testing.T) {
	r := newRig(t, memory.New())
	near, far := r.addLocalAndRemote()
	first, second := oneStep(1, 500), oneStep(2, 100)
	second.Affinity, second.After = "rack-1", []int{0}
	r.submit("a", first, second)
	r.scheduleAndCommit()
	r.advanceClock(r.localityWait(&second) + time.Second)
	r.handleTermination(far, workers.Termination{Number: 1, Task: jobs.Task{Job: "a"}, Attempt: 1, Cause: workers.CauseDone})
	r.scheduleAndCommit()
	if len(near.attempts) != 1 || len(far.attempts) != 0 {
		t.Fatalf("%d near, %d far", len(near.attempts), len(far.attempts))
	}
	if waited := r.clock - r.onlyAttempt(near).task.readyAt; waited > time.Second {
		t.Errorf("waited %s for its turn, which has just come", waited)
	}
}
