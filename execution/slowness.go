package execution

import (
	"time"

	"bronzehook/logging"
	"bronzehook/placement"
)

// Bounds of the slowness of a worker, the ratio of measured to predicted tail latencies: from slowThreshold on it is
// slow, below recoveredThreshold it no longer is. Best-effort tasks whose interference is not known yet raise tail
// latencies to at most some 15 times the prediction; on a worker that is slow as a whole they are 20 to 2,000 times the
// prediction.
const (
	slowThreshold      = 20.0
	recoveredThreshold = 2.5
)

// moveCost is the time that a batch task loses by moving to another worker, in addition to the work done since its last
// checkpoint.
const moveCost = 600 * time.Millisecond

// classifySpeed classifies a worker as slow or not by the tail latencies of its latency-critical tasks. On a worker
// that is slow as a whole all of them are far longer than predicted, so the smallest ratio counts.
func (t *Term) classifySpeed(w *worker, samples []placement.Sample) {
	slowness := 0.0
	for i, sample := range samples {
		ratio := t.interference.SlowdownRatio(sample)
		if i == 0 || ratio < slowness {
			slowness = ratio
		}
	}
	switch {
	case slowness >= slowThreshold:
		t.setSlow(w, true, slowness)
	case slowness < recoveredThreshold:
		t.setSlow(w, false, slowness)
	}
}

// setSlow records whether a worker is slow, and logs a change.
func (t *Term) setSlow(w *worker, slow bool, slowness float64) {
	if w.slow == slow {
		return
	}
	w.slow = slow
	t.scheduleDue = true
	event := t.log.Info()
	if slow {
		event = t.log.Warn()
	}
	event.Str(logging.KeyWorker, string(w.id())).Bool("slow", slow).Float64("slowness", slowness).Int("running", len(w.attempts)).
		Msg("worker judged by its speed")
}

// moveOffSlow stops a batch task on a slow worker if it would end sooner on another one, where it is then placed.
func (t *Term) moveOffSlow(w *worker, a *taskAttempt, now time.Duration) {
	if a.task.step.BestEffort || a.startedAt == 0 {
		// Best-effort tasks are suspended on a slow worker, and move once they have been suspended for a while.
		return
	}
	elapsed := now - a.startedAt
	remaining := elapsed * time.Duration(fullProgress-a.progress) / time.Duration(max(1, a.progress))
	if remaining > a.task.step.Estimate+moveCost {
		a.task.avoidWorker = w.id()
		t.stop(a, "its worker is slow")
	}
}
