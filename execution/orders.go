package execution

import (
	"time"

	"github.com/cockroachdb/errors"

	"bronzehook/duty"
	"bronzehook/logging"
	"bronzehook/workers"
)

// Retries of orders without an answer. Orders name their attempt, so that repeating them is harmless.
const (
	startRetry = 150 * time.Millisecond
	// startTries bounds the orders to start one attempt; after them it is stopped and the task goes elsewhere.
	startTries = 2
	stopRetry  = 400 * time.Millisecond
	// stopRepeat is when an answered stop is ordered again because the attempt is still listed.
	stopRepeat = 2 * time.Second
)

// orderStart orders the start of a recorded attempt.
func (t *Term) orderStart(r *run) {
	now := t.opts.Clock()
	w := r.worker
	if r.task.job.terminal() || r.task.done {
		t.withdraw(r)
		return
	}
	r.phase = phaseOrdered
	r.orders++
	r.orderedAt = now
	w.grant(now, t.opts.LeaseLength)
	order := workers.Start{
		Target: t.target(w), Task: r.task.id, Attempt: r.attempt, Text: r.task.job.spec.Text,
		Checkpoint: r.task.checkpoint, Ticket: t.ticketOf(r, now), LeaseEnd: w.clockNow(now) + t.opts.LeaseLength.Milliseconds(),
	}
	go func() {
		if !t.holder.Valid() {
			t.post(func() {
				t.started(r, order.Target, 0, errors.WithStack(&workers.UnreachableError{Worker: order.ID, Detail: "duty lapsed"}))
			})
			return
		}
		clock, err := t.opts.Workers.Start(t.ctx, order)
		t.post(func() { t.started(r, order.Target, clock, err) })
	}()
}

// started takes up the answer to an order to start.
func (t *Term) started(r *run, sent workers.Target, clock int64, err error) {
	now := t.opts.Clock()
	w := r.worker
	if w.runs[runKey{r.task.id, r.attempt}] != r || r.phase != phaseOrdered {
		return
	}
	if err == nil {
		w.noteClock(clock, now)
		r.phase, r.confirmed, r.movedAt = phaseRunning, now, now
		t.opts.Metrics.started(now - r.task.readyAt)
		r.startedAt = now
		t.log.Info().Stringer(logging.KeyTask, r.task.id).Int(logging.KeyAttempt, r.attempt).
			Str(logging.KeyWorker, string(w.id())).Dur("waited", now-r.task.readyAt).Msg("attempt started")
		t.begun(r.task.job)
		return
	}
	var refused *workers.RefusedError
	if !errors.As(err, &refused) {
		t.startUnanswered(r, now, err)
		return
	}
	t.log.Warn().Stringer(logging.KeyTask, r.task.id).Int(logging.KeyAttempt, r.attempt).
		Str(logging.KeyWorker, string(w.id())).Str(logging.KeyReason, string(refused.Reason)).Msg("attempt refused")
	switch reason := refused.Reason; {
	case t.replaced(w, sent, reason):
	case reason == workers.ReasonEpoch:
		t.fail(errors.WithStack(&duty.LostError{Holder: "seen by " + string(w.id())}))
		return
	case reason == workers.ReasonLife:
		t.lifeOver(w)
		return
	case reason == workers.ReasonRoom || reason == workers.ReasonUnhealthy || reason == workers.ReasonInvalid:
		t.suspect(w, "refuses: "+string(reason))
	}
	if r.orders > 1 {
		// An earlier order had no answer: a look has to tell whether it was carried out.
		r.confirmed = now
		t.stop(r, "refused after an order without an answer")
		return
	}
	t.gone(r, "refused: "+string(refused.Reason))
}

func (t *Term) startUnanswered(r *run, now time.Duration, err error) {
	t.log.Warn().Stringer(logging.KeyTask, r.task.id).Int(logging.KeyAttempt, r.attempt).
		Str(logging.KeyWorker, string(r.worker.id())).AnErr("error", err).Msg("order to start without an answer")
	if r.orders < startTries && !r.stopping {
		r.orderedAt, r.retryDue = now+startRetry, true
		t.unsettled[r] = struct{}{}
		return
	}
	r.orders = startTries
	t.stop(r, "order to start without an answer")
}

// resend repeats orders that are due.
func (t *Term) resend(now time.Duration) {
	for r := range t.unsettled {
		switch {
		case r.worker.runs[runKey{r.task.id, r.attempt}] != r || (!r.stopping && !r.retryDue):
			delete(t.unsettled, r)
		case r.stopping && now >= r.stopAt:
			r.stopAt = now + stopRetry
			t.orderStop(r)
		case r.retryDue && !r.stopping && now >= r.orderedAt:
			r.retryDue = false
			t.orderStart(r)
		}
	}
}

func (t *Term) orderStop(r *run) {
	if r.stopSent && t.opts.Clock()-r.confirmed < stopRepeat {
		return
	}
	target := t.target(r.worker)
	if target.Addr == "" {
		return
	}
	task, attempt := r.task.id, r.attempt
	go func() {
		if !t.holder.Valid() {
			return
		}
		err := t.opts.Workers.Stop(t.ctx, target, task, attempt)
		t.post(func() { t.stopAnswered(r, err) })
	}()
}

// stopAnswered notes that from now on a look tells whether the attempt runs: a stopped attempt can't start later.
func (t *Term) stopAnswered(r *run, err error) {
	if err != nil {
		var refused *workers.RefusedError
		if errors.As(err, &refused) && refused.Reason == workers.ReasonLife {
			t.lifeOver(r.worker)
		}
		return
	}
	if !r.stopSent {
		r.stopSent = true
		r.confirmed = t.opts.Clock()
		r.worker.nextLook = 0
	}
}
