package execution

import (
	"time"

	"bronzehook/logging"
	"bronzehook/workers"
)

// Bounds of the circuit breaker of a worker.
const (
	// tripAfter is the number of failures in a row, of tasks of different jobs or of one, after which a worker gets no short tasks
	// for a rest. One in 20 tasks fails by its own fault anywhere.
	tripAfter   = 2
	minCoolDown = 1500 * time.Millisecond
	maxCoolDown = 4 * time.Second
	// penaltyDuration is how long a worker is the last choice that stalled or refused.
	penaltyDuration = 6 * time.Second
	// maxDegradedShare bounds the workers that are closed to short tasks at one time: if more are in trouble, the tasks are.
	maxDegradedShare = 0.34
)

// breaker keeps short tasks from a worker that fails what it starts. After a rest, one task at a time tries the worker, until one
// has succeeded.
type breaker struct {
	// consecutiveFailures counts the failures since the last success.
	consecutiveFailures int
	// coolDown is the length of the last coolDown, openUntil its end; trying is set after it openUntil a task succeeds.
	coolDown, openUntil time.Duration
	halfOpen            bool
	// penalisedUntil is until when the worker is the last choice.
	penalisedUntil time.Duration
}

// fail counts a failure and reports whether the worker gets a rest for it.
func (b *breaker) fail(now time.Duration) bool {
	if now < b.openUntil {
		// Of an attempt that was under way before.
		return false
	}
	b.consecutiveFailures++
	if b.consecutiveFailures < tripAfter && !b.halfOpen {
		return false
	}
	b.trip(now)
	return true
}

// trip lets the worker rest, longer each time until a task succeeds.
func (b *breaker) trip(now time.Duration) {
	b.coolDown = max(minCoolDown, min(maxCoolDown, 2*b.coolDown))
	b.openUntil = now + b.coolDown
	b.halfOpen = true
}

func (b *breaker) succeed() { b.consecutiveFailures, b.coolDown, b.halfOpen = 0, 0, false }

// open reports whether the worker rests.
func (b *breaker) open(now time.Duration) bool { return now < b.openUntil }

// batchAttempts counts the attempts on a worker that end by themselves.
func (w *worker) batchAttempts() int {
	count := 0
	for _, r := range w.attempts {
		if !r.task.step.LongRunning {
			count++
		}
	}
	return count
}

// updateHealth brings a worker's account up to date with what is believed of it. It runs for every worker with every event, so that it
// looks at the attempts of a worker only where these matter.
func (t *Term) updateHealth(w *worker, now time.Duration) {
	w.node.Suspect = 0
	if now < w.breaker.penalisedUntil || w.breaker.halfOpen {
		w.node.Suspect = 1
	}
	troubled := w.slow || w.breaker.open(now) || (w.breaker.halfOpen && w.batchAttempts() > 0)
	if w.node.Degraded && !troubled {
		t.scheduleDue = true
	}
	w.node.Degraded = troubled && t.degraded < int(maxDegradedShare*float64(len(t.active)))
	if w.node.Degraded {
		t.degraded++
	}
}

// penalise makes a worker the last choice for a while.
func (t *Term) penalise(w *worker, why string) {
	now := t.opts.Clock()
	if now >= w.breaker.penalisedUntil {
		t.logPenalty(w, why, penaltyDuration)
	}
	w.breaker.penalisedUntil = now + penaltyDuration
}

func (t *Term) logPenalty(w *worker, why string, rest time.Duration) {
	t.log.Warn().Str(logging.KeyWorker, string(w.id())).Str(logging.KeyReason, why).Dur("rest", rest).
		Int("streak", w.breaker.consecutiveFailures).Msg("worker suspected")
}

// countsAgainst reports whether a failure of a job says something of the worker. A job that has failed on another one may fail by its
// own fault everywhere.
func (j *job) countsAgainst(id workers.ID) bool {
	if j.failedOn == "" {
		j.failedOn = id
	}
	return j.failedOn == id
}
