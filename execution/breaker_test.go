package execution

import (
	"fmt"
	"testing"
	"time"

	"bronzehook/jobs"
	"bronzehook/store/memory"
)

// Guards against a cost of each event that grows with all attempts of the fleet: the duty holder of a large fleet then uses up its
// processor.
func TestRefreshCostIsIndependentOfAttempts(t *testing.T) {
	const count, attempts, rounds = 300, 60, 200
	refresh := func(perWorker int) time.Duration {
		r := newRig(t, memory.New())
		step := oneStep(1, 1)
		for i := range count {
			w := r.addWorker(fmt.Sprintf("w%d", i), 1000)
			for n := range perWorker {
				one := &taskAttempt{task: &task{step: &step, id: jobs.Task{Job: "j", Index: n}}, worker: w}
				w.attempts[attemptKey{one.task.id, n}] = one
			}
		}
		started := time.Now()
		for range rounds {
			r.refreshNodes(r.clock)
		}
		return time.Since(started)
	}
	const most = 3.0
	ratio := 0.0
	// The least of some ratios, since other work of the machine may come between.
	for try := range 5 {
		empty, full := refresh(0), refresh(attempts)
		if now := full.Seconds() / empty.Seconds(); try == 0 || now < ratio {
			ratio = now
		}
		if ratio <= most {
			return
		}
	}
	t.Errorf("with %d attempts a worker it takes %.1f times as long as with none", attempts, ratio)
}
