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
		// An attempt that was ordered before may be running.
		t.stop(r, "not wanted any more")
		return
	}
	if w.node.Entry.Draining || !w.listed {
		t.giveUpOrder(r)
		return
	}
	r.phase = phaseOrdered
	r.orders++
	r.unanswered++
	r.orderedAt, r.hedgeAt = now, 0
	if r.orders < startTries {
		r.hedgeAt = now + hedgeAfter
		t.unsettled[r] = struct{}{}
	}
	w.grant(now, t.opts.AttemptLeaseDuration)
	order := workers.Start{
		Target: t.target(w), Task: r.task.id, Attempt: r.attempt, Text: r.task.job.spec.Text,
		Checkpoint: r.task.checkpoint, Ticket: t.ticketOf(r, now), LeaseEnd: w.clockNow(now) + t.opts.AttemptLeaseDuration.Milliseconds(),
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

// giveUpOrder gives up an attempt on a worker that has begun to leave since it was chosen.
func (t *Term) giveUpOrder(r *run) {
	t.log.Info().Stringer(logging.KeyTask, r.task.id).Int(logging.KeyAttempt, r.attempt).
		Str(logging.KeyWorker, string(r.worker.id())).Int("orders", r.orders).Bool("listed", r.worker.listed).Msg("order given up, worker leaves")
	if r.orders > 0 {
		t.giveUpStart(r, "its worker leaves")
		return
	}
	t.withdraw(r)
	t.breakGang(r.task, r.attempt)
}

// started takes up the answer to an order to start.
func (t *Term) started(r *run, sent workers.Target, clock int64, err error) {
	now := t.opts.Clock()
	w := r.worker
	r.unanswered--
	if w.runs[runKey{r.task.id, r.attempt}] != r || r.phase != phaseOrdered {
		return
	}
	r.hedgeAt = 0
	if err == nil {
		w.overdue = false
		if r.unanswered > 0 {
			t.losses.note(w.id(), now)
		}
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
	case reason == workers.ReasonStaleToken:
		t.fail(errors.WithStack(&leadership.LostError{Holder: "seen by " + string(w.id())}))
		return
	case reason == workers.ReasonIncarnation:
		t.lifeOver(w)
		return
	case reason == workers.ReasonUnhealthy:
		w.breaker.trip(now)
		t.logSuspicion(w, "refuses: "+string(reason), w.breaker.rest)
	case reason == workers.ReasonRoom || reason == workers.ReasonInvalid:
		t.suspect(w, "refuses: "+string(reason))
	}
	if r.orders > 1 {
		// An earlier order had no answer: a look has to tell whether it was carried out.
		r.confirmed = now
		t.giveUpStart(r, "refused after an order without an answer")
		return
	}
	t.gone(r, "refused: "+string(refused.Reason))
}

func (t *Term) startUnanswered(r *run, now time.Duration, err error) {
	t.log.Warn().Stringer(logging.KeyTask, r.task.id).Int(logging.KeyAttempt, r.attempt).
		Str(logging.KeyWorker, string(r.worker.id())).AnErr("error", err).Int("open", r.unanswered).
		Msg("order to start without an answer")
	t.losses.note(r.worker.id(), now)
	if r.unanswered > 0 {
		// The repeated order may yet be answered.
		return
	}
	if r.orders < startTries && !r.stopping {
		r.orderedAt, r.retryDue = now+startRetry, true
		t.unsettled[r] = struct{}{}
		return
	}
	r.orders = startTries
	t.giveUpStart(r, "order to start without an answer")
}

// giveUpStart ends an attempt that may have begun or not. The other members of a gang would wait for it in vain, so that they
// are stopped before their time is up.
func (t *Term) giveUpStart(r *run, cause string) {
	t.stop(r, cause)
	t.breakGang(r.task, r.attempt)
}

// resend repeats orders that are due.
func (t *Term) resend(now time.Duration) {
	for r := range t.unsettled {
		switch {
		case r.worker.runs[runKey{r.task.id, r.attempt}] != r || (!r.stopping && !r.retryDue && r.hedgeAt == 0):
			delete(t.unsettled, r)
		case r.stopping && now >= r.stopAt:
			r.stopAt = now + stopRetry
			t.orderStop(r)
		case r.stopping:
		case r.retryDue && now >= r.orderedAt:
			r.retryDue = false
			t.orderStart(r)
		case r.hedgeAt > 0 && r.phase != phaseOrdered:
			r.hedgeAt = 0
		case r.hedgeAt > 0 && now >= r.hedgeAt && t.hedges.take(now):
			r.worker.overdue = true
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
		if errors.As(err, &refused) && refused.Reason == workers.ReasonIncarnation {
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
