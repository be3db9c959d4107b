package execution

import (
	"testing"
	"time"

	"bronzehook/store/memory"
)

// Guards against jobs that are set back for their size without a bound: the largest tenth of plans was served less than
// half as often as all plans.
func TestVeryLargeJobsAreSetBackNoFurtherThanLargeOnes(t *testing.T) {
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

// Guards against a mean that never follows a change of what callers send.
func TestMeanWorkFollowsAChange(t *testing.T) {
	r := newRig(t, memory.New())
	j := r.submit("a", oneStep(1, 1000))
	for range 10 * sizeMemory {
		r.sizes.note(j.spec)
	}
	large := r.submit("b", oneStep(100, 1000))
	for range 3 * sizeMemory {
		r.sizes.note(large.spec)
	}
	if got := r.sizes.mean(testQueue); got < 90*time.Second.Seconds() {
		t.Errorf("mean %.1f core-seconds", got)
	}
}

// Guards against tasks that run far from their data although a worker near it comes free soon, and against tasks that wait
// for one for ever.
func TestTasksWaitForAWorkerNearTheirData(t *testing.T) {
	r := newRig(t, memory.New())
	r.opts.FarFactor = 3
	near, far := r.addWorker("near", 100), r.addWorker("far", 1000)
	near.node.Entry.Labels = []string{"a", "rack-1"}
	far.node.Entry.Labels = []string{"a", "rack-2"}
	step := oneStep(2, 100)
	step.Affinity = "rack-1"
	r.submit("a", step)
	r.pass()
	if len(near.runs) != 1 || len(far.runs) != 0 {
		t.Fatalf("%d near, %d far", len(near.runs), len(far.runs))
	}
	r.advance(r.nearPatience(&step) + time.Millisecond)
	r.pass()
	if len(far.runs) != 1 {
		t.Error("a task waits for a worker near its data for ever")
	}
}
