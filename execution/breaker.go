package execution

import (
	"time"

	"bronzehook/logging"
	"bronzehook/workers"
)

// Parameters of the circuit breaker of a worker.
const (
	// failureThreshold is the number of consecutive failures, of tasks of one job or of several, after which the breaker
	// opens and the worker gets only long-running tasks until the cool-down is over. One failure is not enough, since
	// one in 20 tasks fails on whichever worker it runs.
	failureThreshold = 2
	minCoolDown      = 1500 * time.Millisecond
	maxCoolDown      = 4 * time.Second
	// penaltyDuration is how long a worker that stalled or refused a task is the last choice for placement.
	penaltyDuration = 6 * time.Second
	// maxDegradedShare bounds the share of the active workers that are marked as degraded, and so get only long-running
	// tasks, at one time. If more would be, the cause is in the tasks, not in the workers.
	maxDegradedShare = 0.34
)

// breaker is a circuit breaker that keeps batch and best-effort tasks away from a worker on which they fail. After the
// cool-down it is half-open: it admits one task at a time until one has succeeded.
type breaker struct {
	// consecutiveFailures counts the failures since the last success.
	consecutiveFailures int
	// coolDown is the length of the last cool-down, openUntil its end. halfOpen is set when the breaker opens and
	// cleared when a task succeeds.
	coolDown, openUntil time.Duration
	halfOpen            bool
	// penalisedUntil is when the placement penalty of the worker ends.
	penalisedUntil time.Duration
}

// recordFailure counts a failed attempt and reports whether the breaker opens because of it.
func (b *breaker) recordFailure(now time.Duration) bool {
	if now < b.openUntil {
		// The attempt was started before the breaker opened.
		return false
	}
	b.consecutiveFailures++
	if b.consecutiveFailures < failureThreshold && !b.halfOpen {
		return false
	}
	b.trip(now)
	return true
}

// trip opens the breaker. The cool-down doubles each time, up to maxCoolDown, until a task succeeds.
func (b *breaker) trip(now time.Duration) {
	b.coolDown = max(minCoolDown, min(maxCoolDown, 2*b.coolDown))
	b.openUntil = now + b.coolDown
	b.halfOpen = true
}

// recordSuccess resets the failure count and the cool-down and ends the half-open state.
func (b *breaker) recordSuccess() { b.consecutiveFailures, b.coolDown, b.halfOpen = 0, 0, false }

// open reports whether the cool-down is running.
func (b *breaker) open(now time.Duration) bool { return now < b.openUntil }

// finiteAttempts counts the attempts on a worker that run to completion, as batch and best-effort tasks do.
func (w *worker) finiteAttempts() int {
	count := 0
	for _, a := range w.attempts {
		if !a.task.step.LongRunning {
			count++
		}
	}
	return count
}

// updateHealth updates a worker's placement penalty and whether it counts as degraded. It runs for every active worker
// in each pass, so it iterates over the attempts of a worker only while its breaker is half-open.
func (t *Term) updateHealth(w *worker, now time.Duration) {
	w.node.Penalty = 0
	if now < w.breaker.penalisedUntil || w.breaker.halfOpen {
		w.node.Penalty = 1
	}
	degraded := w.slow || w.breaker.open(now) || (w.breaker.halfOpen && w.finiteAttempts() > 0)
	if w.node.Degraded && !degraded {
		t.scheduleDue = true
	}
	w.node.Degraded = degraded && t.degradedCount < int(maxDegradedShare*float64(len(t.active)))
	if w.node.Degraded {
		t.degradedCount++
	}
}

// penalise makes a worker the last choice for placement for penaltyDuration.
func (t *Term) penalise(w *worker, reason string) {
	now := t.opts.Clock()
	if now >= w.breaker.penalisedUntil {
		t.logPenalty(w, reason, penaltyDuration)
	}
	w.breaker.penalisedUntil = now + penaltyDuration
}

// logPenalty logs that a worker gets only long-running tasks, or is the last choice for placement, for some time.
func (t *Term) logPenalty(w *worker, reason string, duration time.Duration) {
	t.log.Warn().Str(logging.KeyWorker, string(w.id())).Str(logging.KeyReason, reason).Dur("rest", duration).
		Int("streak", w.breaker.consecutiveFailures).Msg("worker suspected")
}

// countsAgainst reports whether a failure of a job counts against a worker. Only the first worker on which the job fails
// is held responsible: a job that fails on several workers may be faulty itself.
func (j *job) countsAgainst(id workers.ID) bool {
	if j.failedOn == "" {
		j.failedOn = id
	}
	return j.failedOn == id
}
