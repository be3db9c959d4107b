package execution

import (
	"testing"
	"time"

	"bronzehook/jobs"
	"bronzehook/store/memory"
	"bronzehook/workers"
)

// Guards against a lasting task that waits for as long as short tasks come, because each of them takes the room that the
// last one left. On a full grown site lasting tasks waited for 26 s.
func TestRoomIsHeldForLastingTasksThatWait(t *testing.T) {
	r := newRig(t, memory.New())
	w := r.addWorker("w", 1000)
	r.submit("short", oneStep(40, 250))
	r.pass()
	if len(w.runs) != 4 {
		t.Fatalf("%d short tasks run", len(w.runs))
	}
	step := oneStep(1, 900)
	step.LongRunning = true
	lasting := r.submit("lasting", step)
	r.advance(holdPatience + time.Millisecond)
	number := int64(1)
	for range 4 {
		r.pass()
		for key, running := range w.runs {
			if running.task.step.LongRunning {
				return
			}
			// One short task ends at a time.
			r.end(w, workers.End{Number: number, Task: key.task, Attempt: key.attempt, Cause: workers.CauseDone})
			number++
			break
		}
	}
	r.pass()
	if lasting.live != 1 {
		t.Errorf("the lasting task waits beside %d others; held: %+v", len(w.runs), w.node.Held)
	}
}

// Guards against room that stays held after its task was cancelled, or on a worker that leaves.
func TestHeldRoomIsGivenUp(t *testing.T) {
	for name, undo := range map[string]func(r *rig, w *worker, j *job){
		"cancelled": func(r *rig, _ *worker, j *job) { r.cancel(j) },
		"leaving":   func(r *rig, w *worker, _ *job) { w.node.Entry.Draining = true; r.refreshNodes(r.clock) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, memory.New())
			w := r.addWorker("w", 1000)
			r.submit("short", oneStep(1, 250))
			r.pass()
			step := oneStep(1, 900)
			step.LongRunning = true
			j := r.submit("lasting", step)
			r.advance(holdPatience + time.Millisecond)
			r.pass()
			if w.node.Held.CPU != 900 {
				t.Fatalf("held: %+v", w.node.Held)
			}
			undo(r, w, j)
			r.pass()
			if w.node.Held != (jobs.Resources{}) || len(r.holds) != 0 {
				t.Errorf("held: %+v", w.node.Held)
			}
		})
	}
}
