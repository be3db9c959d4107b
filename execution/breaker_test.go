package execution

import (
	"fmt"
	"testing"
	"time"

	"bronzehook/jobs"
	"bronzehook/store/memory"
)

// Guards against a cost per event that grows with the attempts of the whole fleet: the leader of a large fleet then
// uses up its processor time.
func TestRefreshCostIsIndependentOfAttempts(t *testing.T) {
	const count, attemptsPerWorker, passes = 300, 60, 200
	refresh := func(perWorker int) time.Duration {
		r := newRig(t, memory.New())
		step := oneStep(1, 1)
		for i := range count {
			w := r.addWorker(fmt.Sprintf("w%d", i), 1000)
			for n := range perWorker {
				attempt := &taskAttempt{task: &task{step: &step, id: jobs.Task{Job: "j", Index: n}}, worker: w}
				w.attempts[attemptKey{attempt.task.id, n}] = attempt
			}
		}
		startedAt := time.Now()
		for range passes {
			r.refreshNodes(r.clock)
		}
		return time.Since(startedAt)
	}
	const most = 3.0
	ratio := 0.0
	// The lowest of several ratios counts, since other load on the machine may slow down a run.
	for try := range 5 {
		empty, full := refresh(0), refresh(attemptsPerWorker)
		if current := full.Seconds() / empty.Seconds(); try == 0 || current < ratio {
			ratio = current
		}
		if ratio <= most {
			return
		}
	}
	t.Errorf("with %d attempts per worker a refresh takes %.1f times as long as with none", attemptsPerWorker, ratio)
}
