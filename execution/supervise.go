package execution

import "time"

// Timing of the supervision of running attempts.
const (
	superviseEvery = 300 * time.Millisecond
	// stallMin is the least time without progress after which an attempt counts as stalled. Progress is known every
	// lookWait at the least.
	stallMin    = 3500 * time.Millisecond
	stallFactor = 2
	// drainReserve is kept for the stop of an attempt before its worker leaves.
	drainReserve = 1200 * time.Millisecond
)

// supervise stops attempts that do not get on and moves work off leaving workers. It also wakes scheduled jobs.
func (t *Term) supervise(now time.Duration) {
	if now < t.superviseAt {
		return
	}
	t.superviseAt = now + superviseEvery
	t.scheduleDue = true
	t.observeDemand(now)
	t.maintain(now)
	for _, w := range t.active {
		t.mitigateInterference(w, now)
		for _, r := range w.attempts {
			if r.stopping || r.phase != phaseRunning {
				continue
			}
			switch {
			case w.node.Entry.Draining:
				t.superviseDrain(w, r, now)
			case w.slow && !r.task.step.LongRunning:
				t.moveOffSlow(w, r, now)
			case w.pollFailures == 0:
				t.superviseProgress(w, r, now)
			}
		}
	}
}

// superviseDrain moves tasks that last at once, and others if they would not end before the worker leaves.
func (t *Term) superviseDrain(w *worker, r *taskAttempt, now time.Duration) {
	if r.task.step.LongRunning {
		t.stop(r, "its worker is draining")
		return
	}
	if w.leavesAt > w.drainingSince && now > w.leavesAt-drainReserve {
		t.stop(r, "its worker leaves")
	}
}

func (t *Term) superviseProgress(w *worker, r *taskAttempt, now time.Duration) {
	limit := max(stallMin, stallFactor*r.task.step.Estimate/10)
	if r.task.step.LongRunning && r.progress >= wholePercent {
		return
	}
	if r.cpuPercent < fullCPUPercent || now-r.throttledAt < stallMin {
		// Slowed on purpose.
		return
	}
	// What counts is what looks have told: without any, as while the duty was paused, nothing is known of the attempt.
	if w.polledAt-r.movedAt > limit {
		t.penalise(w, "an attempt stands still")
		r.task.avoid = w.id()
		t.stop(r, "no progress")
	}
}
