package execution

import (
	"time"

	"bronzehook/logging"
	"bronzehook/placement"
)

// Bounds of the slowness of a worker. Fillers whose effect is not known yet lengthen tails up to some 15 times; on a worker that is
// slowed down as a whole they are 20 to 2,000 times as long as foreseen.
const (
	slowFrom  = 20.0
	slowUntil = 2.5
)

// moveCost is what a short task loses by going elsewhere, beside the work that it has done since its checkpoint.
const moveCost = 600 * time.Millisecond

// classifySpeed notes from the tails of its serving tasks whether a worker as a whole is slow: then all of them are far longer than
// foreseen.
func (t *Term) classifySpeed(w *worker, samples []placement.Sample) {
	slowness := 0.0
	for i, sample := range samples {
		one := t.interference.Slowness(sample)
		if i == 0 || one < slowness {
			slowness = one
		}
	}
	switch {
	case slowness >= slowFrom:
		t.setSlow(w, true, slowness)
	case slowness < slowUntil:
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

// moveOffSlow moves a short task off a slow worker if it would end sooner elsewhere.
func (t *Term) moveOffSlow(w *worker, r *taskAttempt, now time.Duration) {
	if r.task.step.BestEffort || r.startedAt == 0 {
		// Fillers are held there, and move once they have been held for a while.
		return
	}
	elapsed := now - r.startedAt
	left := elapsed * time.Duration(wholePercent-r.progress) / time.Duration(max(1, r.progress))
	if left > r.task.step.Estimate+moveCost {
		r.task.avoid = w.id()
		t.stop(r, "its worker is slow")
	}
}
