package execution

import (
	"time"

	"bronzehook/logging"
	"bronzehook/placement"
)

// Bounds of the slowness of a worker: from slowThreshold on it is slow, below recoveredThreshold it no longer is.
// Best-effort tasks whose effect is not known yet lengthen tail latencies up to some 15 times; on a worker that is
// slowed down as a whole, tail latencies are 20 to 2,000 times as long as predicted.
const (
	slowThreshold      = 20.0
	recoveredThreshold = 2.5
)

// moveCost is the time that a batch task loses by moving elsewhere, beside the work that it has done since its
// checkpoint.
const moveCost = 600 * time.Millisecond

// classifySpeed classifies a worker as slow or not from the tail latencies of its latency-critical tasks: if the
// worker as a whole is slow, all of them are far longer than predicted.
func (t *Term) classifySpeed(w *worker, samples []placement.Sample) {
	slowness := 0.0
	for i, sample := range samples {
		ratio := t.interference.Slowness(sample)
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

// moveOffSlow moves a batch task off a slow worker if it would end sooner elsewhere.
func (t *Term) moveOffSlow(w *worker, r *taskAttempt, now time.Duration) {
	if r.task.step.BestEffort || r.startedAt == 0 {
		// Best-effort tasks are suspended on a slow worker, and move once they have been suspended for a while.
		return
	}
	elapsed := now - r.startedAt
	remaining := elapsed * time.Duration(wholePercent-r.progress) / time.Duration(max(1, r.progress))
	if remaining > r.task.step.Estimate+moveCost {
		r.task.avoid = w.id()
		t.stop(r, "its worker is slow")
	}
}
