package execution

import (
	"time"

	"github.com/cockroachdb/errors"

	"bronzehook/leadership"
	"bronzehook/logging"
	"bronzehook/workers"
)

// Retries of orders without an answer. Orders name their attempt, so that repeating them is harmless.
const (
	startRetryDelay = 150 * time.Millisecond
	// startTries bounds the orders to start one attempt; after them it is stopped and the task goes elsewhere.
	startTries        = 2
	stopRetryInterval = 400 * time.Millisecond
	// stopResendInterval is when an answered stop is ordered again because the attempt is still listed.
	stopResendInterval = 2 * time.Second
)

// sendStart orders the start of a recorded attempt.
func (t *Term) sendStart(r *taskAttempt) {
	now := t.opts.Clock()
	w := r.worker
	if r.task.job.terminal() || r.task.done {
		// An attempt that was ordered before may be running.
		t.stop(r, "not wanted any more")
		return
	}
	if w.node.Entry.Draining || !w.registered {
		t.cancelStart(r)
		return
	}
	r.phase = phaseSent
	r.startsSent++
	r.startsPending++
	r.retryAt, r.hedgeAt = now, 0
	if r.startsSent < startTries {
		r.hedgeAt = now + hedgeAfter
		t.unconfirmed[r] = struct{}{}
	}
	w.grant(now, t.opts.AttemptLeaseDuration)
	order := workers.Start{
		Target: t.target(w), Task: r.task.id, Attempt: r.number, Text: r.task.job.spec.Text,
		Checkpoint: r.task.checkpoint, Ticket: t.ticketOf(r, now), LeaseEnd: w.clockNow(now) + t.opts.AttemptLeaseDuration.Milliseconds(),
	}
	go func() {
		if !t.leader.Valid() {
			t.post(func() {
				t.handleStart(r, order.Target, 0, errors.WithStack(&workers.UnreachableError{Worker: order.ID, Detail: "duty lapsed"}))
			})
			return
		}
		clock, err := t.opts.Workers.Start(t.ctx, order)
		t.post(func() { t.handleStart(r, order.Target, clock, err) })
	}()
}

// cancelStart gives up an attempt on a worker that has begun to leave since it was chosen.
func (t *Term) cancelStart(r *taskAttempt) {
	t.log.Info().Stringer(logging.KeyTask, r.task.id).Int(logging.KeyAttempt, r.number).
		Str(logging.KeyWorker, string(r.worker.id())).Int("orders", r.startsSent).Bool("listed", r.worker.registered).Msg("order given up, worker leaves")
	if r.startsSent > 0 {
		t.abandonStart(r, "its worker leaves")
		return
	}
	t.discard(r)
	t.breakGang(r.task, r.number)
}

// handleStart takes up the answer to an order to start.
func (t *Term) handleStart(r *taskAttempt, sent workers.Target, clock int64, err error) {
	now := t.opts.Clock()
	w := r.worker
	r.startsPending--
	if w.attempts[attemptKey{r.task.id, r.number}] != r || r.phase != phaseSent {
		return
	}
	r.hedgeAt = 0
	if err == nil {
		w.hedged = false
		if r.startsPending > 0 {
			t.lostResponses.note(w.id(), now)
		}
		w.noteClock(clock, now)
		r.phase, r.confirmed, r.movedAt = phaseRunning, now, now
		t.opts.Metrics.started(now - r.task.readyAt)
		r.startedAt = now
		t.log.Info().Stringer(logging.KeyTask, r.task.id).Int(logging.KeyAttempt, r.number).
			Str(logging.KeyWorker, string(w.id())).Dur("waited", now-r.task.readyAt).Msg("attempt started")
		t.markStarted(r.task.job)
		return
	}
	var refused *workers.RefusedError
	if !errors.As(err, &refused) {
		t.startUnanswered(r, now, err)
		return
	}
	t.log.Warn().Stringer(logging.KeyTask, r.task.id).Int(logging.KeyAttempt, r.number).
		Str(logging.KeyWorker, string(w.id())).Str(logging.KeyReason, string(refused.Reason)).Msg("attempt refused")
	switch reason := refused.Reason; {
	case t.refusedOlderToken(w, sent, reason):
	case reason == workers.ReasonStaleToken:
		t.fail(errors.WithStack(&leadership.LostError{Holder: "seen by " + string(w.id())}))
		return
	case reason == workers.ReasonIncarnation:
		t.handleNewIncarnation(w)
		return
	case reason == workers.ReasonUnhealthy:
		w.breaker.trip(now)
		t.logPenalty(w, "refuses: "+string(reason), w.breaker.coolDown)
	case reason == workers.ReasonRoom || reason == workers.ReasonInvalid:
		t.penalise(w, "refuses: "+string(reason))
	}
	if r.startsSent > 1 {
		// An earlier order had no answer: a look has to tell whether it was carried out.
		r.confirmed = now
		t.abandonStart(r, "refused after an order without an answer")
		return
	}
	t.markLost(r, "refused: "+string(refused.Reason))
}

func (t *Term) startUnanswered(r *taskAttempt, now time.Duration, err error) {
	t.log.Warn().Stringer(logging.KeyTask, r.task.id).Int(logging.KeyAttempt, r.number).
		Str(logging.KeyWorker, string(r.worker.id())).AnErr("error", err).Int("open", r.startsPending).
		Msg("order to start without an answer")
	t.lostResponses.note(r.worker.id(), now)
	if r.startsPending > 0 {
		// The repeated order may yet be answered.
		return
	}
	if r.startsSent < startTries && !r.stopping {
		r.retryAt, r.retryDue = now+startRetryDelay, true
		t.unconfirmed[r] = struct{}{}
		return
	}
	r.startsSent = startTries
	t.abandonStart(r, "order to start without an answer")
}

// abandonStart ends an attempt that may have begun or not. The other members of a gang would wait for it in vain, so that they
// are stopped before their time is up.
func (t *Term) abandonStart(r *taskAttempt, cause string) {
	t.stop(r, cause)
	t.breakGang(r.task, r.number)
}

// retryCommands repeats orders that are due.
func (t *Term) retryCommands(now time.Duration) {
	for r := range t.unconfirmed {
		switch {
		case r.worker.attempts[attemptKey{r.task.id, r.number}] != r || (!r.stopping && !r.retryDue && r.hedgeAt == 0):
			delete(t.unconfirmed, r)
		case r.stopping && now >= r.stopAt:
			r.stopAt = now + stopRetryInterval
			t.sendStop(r)
		case r.stopping:
		case r.retryDue && now >= r.retryAt:
			r.retryDue = false
			t.sendStart(r)
		case r.hedgeAt > 0 && r.phase != phaseSent:
			r.hedgeAt = 0
		case r.hedgeAt > 0 && now >= r.hedgeAt && t.hedges.take(now):
			r.worker.hedged = true
			t.sendStart(r)
		}
	}
}

func (t *Term) sendStop(r *taskAttempt) {
	if r.stopSent && t.opts.Clock()-r.confirmed < stopResendInterval {
		return
	}
	target := t.target(r.worker)
	if target.Addr == "" {
		return
	}
	task, attempt := r.task.id, r.number
	go func() {
		if !t.leader.Valid() {
			return
		}
		err := t.opts.Workers.Stop(t.ctx, target, task, attempt)
		t.post(func() { t.handleStop(r, err) })
	}()
}

// handleStop notes that from now on a look tells whether the attempt runs: a stopped attempt can't start later.
func (t *Term) handleStop(r *taskAttempt, err error) {
	if err != nil {
		var refused *workers.RefusedError
		if errors.As(err, &refused) && refused.Reason == workers.ReasonIncarnation {
			t.handleNewIncarnation(r.worker)
		}
		return
	}
	if !r.stopSent {
		r.stopSent = true
		r.confirmed = t.opts.Clock()
		r.worker.nextPoll = 0
	}
}
