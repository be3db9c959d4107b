package fake

import (
	"cmp"
	"slices"
	"time"

	"bronzehook/api"
	"bronzehook/backend"
)

type attemptKey struct {
	task    api.TaskID
	attempt uint64
}

// attempt is one execution attempt of a task. Its fields are guarded by the worker's lock.
type attempt struct {
	// spec is the start request that created the attempt.
	spec        backend.StartRequest
	behaviour   behaviour
	state       api.ObservedState
	leaseExpiry time.Duration
	share       float64
	// progress is the completed part of the work at progressAt; it grows by speed per second.
	progress   float64
	progressAt time.Time
	speed      float64
	// finishAt is when a running job completes; zero for all other attempts.
	finishAt time.Time
	// checkpoint names the latest stored checkpoint and checkpointNumber is its number; checkpoints counts those started.
	checkpoint       string
	checkpointNumber int
	checkpoints      int
	reason           string
	// executions maps the event log number of each request that the attempt executes to the ownership epoch of the
	// request.
	executions map[int]api.Epoch
	logNumber  int
	// terminated is closed when the attempt terminates.
	terminated chan struct{}
}

func (a *attempt) running() bool {
	return a.state == api.SeenRunning || a.state == api.SeenThrottled
}

func (a *attempt) load() Load {
	return Load{
		Work: a.spec.Work, Kind: a.spec.Kind, Declared: a.spec.Resources, Share: a.share,
		Executing: len(a.executions),
	}
}

// updateAttempts terminates the attempts that have completed or whose attempt lease has expired, whichever came first,
// and updates the progress of the others.
func (w *Worker) updateAttempts() {
	now := w.clock.Now()
	for _, a := range w.attempts {
		if a.state.Terminal() {
			continue
		}
		leaseExpiry := w.startTime.Add(a.leaseExpiry)
		switch {
		case !a.finishAt.IsZero() && !a.finishAt.After(now) && !a.finishAt.After(leaseExpiry):
			w.complete(a)
		case !leaseExpiry.After(now):
			a.advanceProgress(leaseExpiry)
			w.terminate(a, api.SeenStopped, "the attempt lease expired", leaseExpiry)
		default:
			a.advanceProgress(now)
		}
	}
}

func (a *attempt) advanceProgress(to time.Time) {
	if to.After(a.progressAt) {
		a.progress = min(1, a.progress+a.speed*to.Sub(a.progressAt).Seconds())
		a.progressAt = to
	}
}

func (w *Worker) complete(a *attempt) {
	a.progress = 1
	if a.behaviour.failsAtEnd {
		w.terminate(a, api.SeenFailed, "the command failed", a.finishAt)
		return
	}
	w.terminate(a, api.SeenSucceeded, "", a.finishAt)
}

// terminate ends an attempt, releases its reserved resources and aborts the requests that it executes.
func (w *Worker) terminate(a *attempt, state api.ObservedState, reason string, at time.Time) {
	if a.state.Terminal() {
		return
	}
	a.state = state
	a.reason = reason
	a.speed = 0
	a.finishAt = time.Time{}
	w.reserved = w.reserved.Sub(a.spec.Resources)
	for number := range a.executions {
		w.eventLog.finishExecution(number, a.spec.Task, at, true)
	}
	clear(a.executions)
	w.eventLog.updateAttempt(a.logNumber, func(r *AttemptRecord) {
		r.End, r.State, r.To, r.Reason = at, state, a.progress, reason
	})
	close(a.terminated)
}

// scheduleNextEvent recomputes the speed of the jobs, which depends on colocated attempts, and sets the timer to the
// next completion or attempt lease expiry.
func (w *Worker) scheduleNextEvent() {
	next := time.Duration(-1)
	now := w.clock.Now()
	for _, a := range w.attempts {
		if a.state.Terminal() {
			continue
		}
		w.setSpeed(a, now)
		next = minDelay(next, w.startTime.Add(a.leaseExpiry).Sub(now))
		if !a.finishAt.IsZero() {
			next = minDelay(next, a.finishAt.Sub(now))
		}
	}
	if w.timer != nil {
		w.timer.Stop()
	}
	if next >= 0 {
		w.timer = w.clock.AfterFunc(next, w.handleTimer)
	}
}

// handleTimer updates all attempts, which lock and unlock do.
func (w *Worker) handleTimer() {
	w.lock()
	w.unlock()
}

func (w *Worker) setSpeed(a *attempt, now time.Time) {
	a.speed = 0
	a.finishAt = time.Time{}
	if a.spec.Kind != api.KindJob || !a.running() {
		return
	}
	slowdown := w.slowdown(a) / a.share
	needed := time.Duration(float64(a.behaviour.duration) * slowdown)
	if needed <= 0 {
		a.finishAt = now
		return
	}
	a.speed = 1 / needed.Seconds()
	a.finishAt = a.progressAt.Add(time.Duration((1 - a.progress) * float64(needed)))
}

// slowdown returns the interference factor, at least 1, by which the other running attempts of the worker slow subject.
func (w *Worker) slowdown(subject *attempt) float64 {
	var neighbours []Load
	for _, a := range w.attempts {
		if a != subject && a.running() {
			neighbours = append(neighbours, a.load())
		}
	}
	return max(1, w.config.Interference(subject.load(), neighbours))
}

// minDelay returns the smaller of two delays. A negative first delay means none, and a negative second one counts as 0.
func minDelay(first, second time.Duration) time.Duration {
	second = max(0, second)
	if first < 0 {
		return second
	}
	return min(first, second)
}

// sortedAttempts returns the attempts ordered by task id and attempt number.
func (w *Worker) sortedAttempts() []*attempt {
	sorted := make([]*attempt, 0, len(w.attempts))
	for _, a := range w.attempts {
		sorted = append(sorted, a)
	}
	slices.SortFunc(sorted, func(a, b *attempt) int {
		if a.spec.Task != b.spec.Task {
			return cmp.Compare(a.spec.Task, b.spec.Task)
		}
		return cmp.Compare(a.spec.Attempt, b.spec.Attempt)
	})
	return sorted
}
