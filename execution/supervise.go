package execution

import "time"

// Timing of the supervision of running attempts.
const (
	superviseInterval = 300 * time.Millisecond
	// stallMin is the least time without progress after which an attempt counts as stalled. Progress is reported
	// every pollWait at the latest.
	stallMin    = 3500 * time.Millisecond
	stallFactor = 2
	// drainStopMargin is the time kept for stopping an attempt before its worker leaves.
	drainStopMargin = 1200 * time.Millisecond
)

// supervise stops attempts that make no progress and moves work off draining workers. It also requests a scheduling
// cycle, for occurrences that have become due.
func (t *Term) supervise(now time.Duration) {
	if now < t.superviseAt {
		return
	}
	t.superviseAt = now + superviseInterval
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
			case w.node.Registration.Draining:
				t.superviseDrain(w, r, now)
			case w.slow && !r.task.step.LongRunning:
				t.moveOffSlow(w, r, now)
			case w.pollFailures == 0:
				t.superviseProgress(w, r, now)
			}
		}
	}
}

// superviseDrain moves long-running tasks at once, and others if they would not end before the worker leaves.
func (t *Term) superviseDrain(w *worker, r *taskAttempt, now time.Duration) {
	if r.task.step.LongRunning {
		t.stop(r, "its worker is draining")
		return
	}
	if w.leavesAt > w.drainingSince && now > w.leavesAt-drainStopMargin {
		t.stop(r, "its worker leaves")
	}
}

func (t *Term) superviseProgress(w *worker, r *taskAttempt, now time.Duration) {
	limit := max(stallMin, stallFactor*r.task.step.Estimate/10)
	if r.task.step.LongRunning && r.progress >= wholePercent {
		return
	}
	if r.cpuPercent < fullCPUPercent || now-r.throttledAt < stallMin {
		// The attempt is throttled, or was until recently.
		return
	}
	// Only answered polls count: without any, as while the term was paused, nothing is known of the attempt.
	if w.polledAt-r.movedAt > limit {
		t.penalise(w, "an attempt makes no progress")
		r.task.avoid = w.id()
		t.stop(r, "no progress")
	}
}
