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
	tripAfter = 2
	firstRest = 1500 * time.Millisecond
	maxRest   = 4 * time.Second
	// suspectFor is how long a worker is the last choice that stalled or refused.
	suspectFor = 6 * time.Second
	// maxTroubledShare bounds the workers that are closed to short tasks at one time: if more are in trouble, the tasks are.
	maxTroubledShare = 0.34
)

// breaker keeps short tasks from a worker that fails what it starts. After a rest, one task at a time tries the worker, until one
// has succeeded.
type breaker struct {
	// streak counts the failures since the last success.
	streak int
	// rest is the length of the last rest, until its end; trying is set after it until a task succeeds.
	rest, until time.Duration
	trying      bool
	// suspectUntil is until when the worker is the last choice.
	suspectUntil time.Duration
}

// fail counts a failure and reports whether the worker gets a rest for it.
func (b *breaker) fail(now time.Duration) bool {
	if now < b.until {
		// Of an attempt that was under way before.
		return false
	}
	b.streak++
	if b.streak < tripAfter && !b.trying {
		return false
	}
	b.trip(now)
	return true
}

// trip lets the worker rest, longer each time until a task succeeds.
func (b *breaker) trip(now time.Duration) {
	b.rest = max(firstRest, min(maxRest, 2*b.rest))
	b.until = now + b.rest
	b.trying = true
}

func (b *breaker) succeed() { b.streak, b.rest, b.trying = 0, 0, false }

// resting reports whether the worker rests.
func (b *breaker) resting(now time.Duration) bool { return now < b.until }

// shortRuns counts the attempts on a worker that end by themselves.
func (w *worker) shortRuns() int {
	count := 0
	for _, r := range w.runs {
		if !r.task.step.LongRunning {
			count++
		}
	}
	return count
}

// judge brings a worker's account up to date with what is believed of it. It runs for every worker with every event, so that it
// looks at the attempts of a worker only where these matter.
func (t *Term) judge(w *worker, now time.Duration) {
	w.node.Suspect = 0
	if now < w.breaker.suspectUntil || w.breaker.trying {
		w.node.Suspect = 1
	}
	troubled := w.slow || w.breaker.resting(now) || (w.breaker.trying && w.shortRuns() > 0)
	if w.node.Degraded && !troubled {
		t.unplaced = true
	}
	w.node.Degraded = troubled && t.troubled < int(maxTroubledShare*float64(len(t.engaged)))
	if w.node.Degraded {
		t.troubled++
	}
}

// suspect makes a worker the last choice for a while.
func (t *Term) suspect(w *worker, why string) {
	now := t.opts.Clock()
	if now >= w.breaker.suspectUntil {
		t.logSuspicion(w, why, suspectFor)
	}
	w.breaker.suspectUntil = now + suspectFor
}

func (t *Term) logSuspicion(w *worker, why string, rest time.Duration) {
	t.log.Warn().Str(logging.KeyWorker, string(w.id())).Str(logging.KeyReason, why).Dur("rest", rest).
		Int("streak", w.breaker.streak).Msg("worker suspected")
}

// blames reports whether a failure of a job says something of the worker. A job that has failed on another one may fail by its
// own fault everywhere.
func (j *job) blames(id workers.ID) bool {
	if j.failedOn == "" {
		j.failedOn = id
	}
	return j.failedOn == id
}
