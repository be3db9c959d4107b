package standin

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

// attempt is one start of a task. Its fields are guarded by the worker's lock.
type attempt struct {
	order    backend.StartOrder
	plan     plan
	state    api.SeenState
	leaseEnd time.Duration
	share    float64
	// progress was reached at progressAt, and grows by speed a second.
	progress   float64
	progressAt time.Time
	speed      float64
	// finishAt is zero unless the attempt is a job that runs.
	finishAt time.Time
	// checkpoint is the last one, and checkpoints the number of those that were begun.
	checkpoint       string
	checkpointNumber int
	checkpoints      int
	reason           string
	// executions holds the journal numbers of the requests that the attempt executes.
	executions map[int]api.Epoch
	run        int
	// ended is closed when the attempt ends.
	ended chan struct{}
}

func (a *attempt) running() bool {
	return a.state == api.SeenRunning || a.state == api.SeenThrottled
}

func (a *attempt) load() Load {
	return Load{
		Work: a.order.Work, Kind: a.order.Kind, Declared: a.order.Resources, Share: a.share,
		Executing: len(a.executions),
	}
}

// settle ends the attempts whose work is done or whose lease has run out, whichever came first.
func (w *Worker) settle() {
	now := w.clock.Now()
	for _, a := range w.attempts {
		if a.state.Ended() {
			continue
		}
		leaseEnd := w.started.Add(a.leaseEnd)
		switch {
		case !a.finishAt.IsZero() && !a.finishAt.After(now) && !a.finishAt.After(leaseEnd):
			w.finish(a)
		case !leaseEnd.After(now):
			a.advance(leaseEnd)
			w.end(a, api.SeenStopped, "the lease ran out", leaseEnd)
		default:
			a.advance(now)
		}
	}
}

func (a *attempt) advance(to time.Time) {
	if to.After(a.progressAt) {
		a.progress = min(1, a.progress+a.speed*to.Sub(a.progressAt).Seconds())
		a.progressAt = to
	}
}

func (w *Worker) finish(a *attempt) {
	a.progress = 1
	if a.plan.fails {
		w.end(a, api.SeenFailed, "the command failed", a.finishAt)
		return
	}
	w.end(a, api.SeenSucceeded, "", a.finishAt)
}

// end ends an attempt: it releases the reservation and aborts the requests that execute.
func (w *Worker) end(a *attempt, state api.SeenState, reason string, at time.Time) {
	if a.state.Ended() {
		return
	}
	a.state = state
	a.reason = reason
	a.speed = 0
	a.finishAt = time.Time{}
	w.reserved = w.reserved.Sub(a.order.Resources)
	for number := range a.executions {
		w.journal.endExecution(number, a.order.Task, at, true)
	}
	clear(a.executions)
	w.journal.updateRun(a.run, func(r *Run) {
		r.End, r.State, r.To, r.Reason = at, state, a.progress, reason
	})
	close(a.ended)
}

// schedule recomputes the speed of the jobs, which depends on their neighbours, and sets the alarm to the next event.
func (w *Worker) schedule() {
	next := time.Duration(-1)
	now := w.clock.Now()
	for _, a := range w.attempts {
		if a.state.Ended() {
			continue
		}
		w.setSpeed(a, now)
		next = earlier(next, w.started.Add(a.leaseEnd).Sub(now))
		if !a.finishAt.IsZero() {
			next = earlier(next, a.finishAt.Sub(now))
		}
	}
	if w.alarm != nil {
		w.alarm.Stop()
	}
	if next >= 0 {
		w.alarm = w.clock.AfterFunc(next, w.wake)
	}
}

func (w *Worker) wake() {
	w.lock()
	w.unlock()
}

func (w *Worker) setSpeed(a *attempt, now time.Time) {
	a.speed = 0
	a.finishAt = time.Time{}
	if a.order.Kind != api.KindJob || !a.running() {
		return
	}
	slowdown := w.slowdown(a) / a.share
	needed := time.Duration(float64(a.plan.duration) * slowdown)
	if needed <= 0 {
		a.finishAt = now
		return
	}
	a.speed = 1 / needed.Seconds()
	a.finishAt = a.progressAt.Add(time.Duration((1 - a.progress) * float64(needed)))
}

// slowdown returns the factor by which the neighbours slow an attempt.
func (w *Worker) slowdown(subject *attempt) float64 {
	var neighbours []Load
	for _, a := range w.attempts {
		if a != subject && a.running() {
			neighbours = append(neighbours, a.load())
		}
	}
	return max(1, w.config.Interference(subject.load(), neighbours))
}

// earlier returns the smaller of two delays, where a negative first one stands for none.
func earlier(first, second time.Duration) time.Duration {
	second = max(0, second)
	if first < 0 {
		return second
	}
	return min(first, second)
}

// sortedAttempts returns the attempts in the order of tasks and attempt numbers.
func (w *Worker) sortedAttempts() []*attempt {
	sorted := make([]*attempt, 0, len(w.attempts))
	for _, a := range w.attempts {
		sorted = append(sorted, a)
	}
	slices.SortFunc(sorted, func(a, b *attempt) int {
		if a.order.Task != b.order.Task {
			return cmp.Compare(a.order.Task, b.order.Task)
		}
		return cmp.Compare(a.order.Attempt, b.order.Attempt)
	})
	return sorted
}
