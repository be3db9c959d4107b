package execution

import (
	"time"

	"bronzehook/mitigation"
)

// Timing of the supervision of running attempts.
const (
	superviseInterval = 300 * time.Millisecond
	// minStallTime is the least time without progress after which an attempt counts as stalled; it exceeds pollWait,
	// the longest interval at which progress is reported. For long tasks the limit is stallFactor times a tenth of the
	// estimate.
	minStallTime = 3500 * time.Millisecond
	stallFactor  = 2
	// drainStopMargin is the time allowed for stopping an attempt before its worker shuts down.
	drainStopMargin = 1200 * time.Millisecond
)

// supervise stops attempts that make no progress and moves work off draining and slow workers. It also updates the
// demand, advances the maintenance waves, watches the acknowledgements that wait and requests a scheduling cycle for
// occurrences that have become due.
func (t *Term) supervise(now time.Duration) {
	if now < t.superviseAt {
		return
	}
	t.superviseAt = now + superviseInterval
	t.scheduleDue = true
	t.observeDemand(now)
	t.advanceWaves(now)
	t.advanceEvacuations(now)
	t.reportInterference(now)
	t.watchAcks(now)
	for _, w := range t.active {
		t.mitigateInterference(w, now)
		for _, a := range w.attempts {
			if a.stopping || a.phase != phaseRunning {
				continue
			}
			switch {
			case w.node.Registration.Draining:
				t.superviseDrain(w, a, now)
			case w.slow && !a.task.step.LongRunning:
				t.moveOffSlow(w, a, now)
			case w.pollFailures == 0:
				t.superviseProgress(w, a, now)
			}
		}
	}
}

// superviseDrain moves work off a draining worker: long-running tasks at once, others shortly before the worker shuts
// down.
func (t *Term) superviseDrain(w *worker, a *taskAttempt, now time.Duration) {
	if a.task.step.LongRunning {
		t.stop(a, "its worker is draining")
		return
	}
	if w.leavesAt > w.drainingSince && now > w.leavesAt-drainStopMargin {
		t.stop(a, "its worker leaves")
	}
}

// superviseProgress stops an attempt that has made no progress for too long, and penalises its worker.
func (t *Term) superviseProgress(w *worker, a *taskAttempt, now time.Duration) {
	limit := max(minStallTime, stallFactor*a.task.step.Estimate/10)
	if a.task.step.LongRunning && a.progress >= fullProgress {
		return
	}
	if a.cpuPercent < mitigation.FullCPUPercent || now-a.throttledAt < minStallTime {
		// The attempt is throttled, or was until recently.
		return
	}
	// The limit counts up to the last answered poll: nothing is known of the attempt since, for instance while the term
	// was paused.
	if w.polledAt-a.progressAt > limit {
		t.penalise(w, "an attempt makes no progress")
		a.task.avoidWorker = w.id()
		t.stop(a, "no progress")
	}
}
