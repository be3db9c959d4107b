package execution

import (
	"time"

	"github.com/cockroachdb/errors"

	"bronzehook/leadership"
	"bronzehook/logging"
	"bronzehook/overdue"
	"bronzehook/startgate"
	"bronzehook/workers"
)

// Retries of commands without a response. Commands are idempotent: each names its attempt.
const (
	startRetryDelay = 150 * time.Millisecond
	// maxStartCommands bounds the start commands for one attempt. If none of them is answered, the attempt is stopped
	// and its task is placed again.
	maxStartCommands = 2
	// stopRetryInterval is the time between two stop commands while none has been answered.
	stopRetryInterval = 400 * time.Millisecond
	// maxStopCommands is the number of unanswered stop commands after which the fencing token for the worker is raised to
	// rule out an attempt of which no start command was answered.
	maxStopCommands = 2
	// stopResendInterval is the time after which an answered stop command is sent again if the attempt is still
	// reported.
	stopResendInterval = 2 * time.Second
)

// sendStart sends the start command of a recorded attempt.
func (t *Term) sendStart(a *taskAttempt) {
	now := t.opts.Clock()
	w := a.worker
	if a.task.job.terminal() || a.task.done {
		// An earlier start command may have taken effect, so the attempt has to be stopped.
		t.stop(a, "no longer needed")
		return
	}
	if a.workerStartTime != w.startTime {
		// The task was placed by the capacity, labels and ticket of the earlier incarnation.
		t.markLost(a, lostRestarted)
		return
	}
	decision := t.decideStart(a, now)
	switch decision.Verdict {
	case startgate.Reject:
		t.cancelStart(a, decision.Reason)
		return
	case startgate.Hold:
		t.holdStart(a, decision.Reason, now)
		return
	}
	a.phase, a.held = phaseSent, false
	a.startsSent++
	a.startsPending++
	a.retryAt, a.hedgeAt = now, 0
	if a.startsSent < maxStartCommands {
		a.hedgeAt = now + hedgeAfter
		t.unconfirmed[a] = struct{}{}
	}
	t.scheduleFence(a, now)
	w.noteLeaseGrant(now, t.opts.AttemptLeaseDuration)
	w.startsSincePoll = append(w.startsSincePoll, now)
	command := t.startCommand(a, decision.LeaveBy, now)
	a.token = command.FencingToken
	if command.Via != "" {
		t.opts.Carriers.StartVia(command, func(clock int64, err error) { t.handleStart(a, command.Target, now, clock, err) })
		return
	}
	t.spawn("start command", func() {
		clock, err := int64(0), command.MayLeave()
		if err != nil {
			err = errors.WithStack(&workers.NotSentError{Worker: command.ID, Detail: err.Error(), Withheld: startgate.ReasonOf(err)})
		} else {
			clock, err = t.opts.Workers.Start(t.ctx, command)
		}
		t.post(func() { t.handleStart(a, command.Target, now, clock, err) })
	})
}

// cancelStart cancels the start of an attempt on a worker that has begun to drain, lost its registration, or is in a data centre
// of which the evacuation was requested, since the attempt was placed there; or that of a member of a gang with such an attempt.
func (t *Term) cancelStart(a *taskAttempt, reason startgate.Reason) {
	t.opts.Metrics.startWithheld(withheldRejected, reason)
	t.detailLog.Info().Stringer(logging.KeyTask, a.task.id).Int(logging.KeyAttempt, a.number).
		Str(logging.KeyWorker, string(a.worker.id())).Int("orders", a.startsSent).Bool("listed", a.worker.registered).Str(logging.KeyReason, string(reason)).Msg("order given up, worker leaves")
	if a.startsSent > 0 {
		t.abandonStart(a, "its start is rejected: "+string(reason))
		return
	}
	t.discard(a)
	t.breakGang(a.task, a.number)
}

// handleStart handles the response to a start command that was sent at sentAt, or its failure.
func (t *Term) handleStart(a *taskAttempt, sentTo workers.Target, sentAt time.Duration, clock int64, err error) {
	now := t.opts.Clock()
	w := a.worker
	a.startsPending--
	t.logForeignClock(a, sentAt, now, clock)
	if w.attempts[attemptKey{a.task.id, a.number}] != a || a.phase != phaseSent {
		return
	}
	a.hedgeAt = 0
	if a.startsPending == 0 {
		a.fenceAt = 0
	}
	if err == nil {
		w.hedged = false
		if a.startsPending > 0 {
			t.lostResponses.note(w.id(), now)
		}
		if !w.mayPredate(sentTo, sentAt) {
			w.noteClock(clock, now)
		}
		a.phase, a.confirmedAt, a.progressAt = phaseRunning, now, now
		t.opts.Metrics.started(now - a.task.readyAt)
		a.startedAt = now
		t.logStarted(a, now)
		t.markStarted(a.task.job)
		return
	}
	var refused *workers.RefusedError
	if !errors.As(err, &refused) {
		t.handleStartWithoutResponse(a, now, err)
		return
	}
	t.handleRefusedStart(a, sentTo, sentAt, refused.Reason)
}

// handleRefusedStart handles the refusal of a start command that was sent at sentAt.
func (t *Term) handleRefusedStart(a *taskAttempt, sentTo workers.Target, sentAt time.Duration, reason workers.Reason) {
	now := t.opts.Clock()
	w := a.worker
	t.log.Warn().Stringer(logging.KeyTask, a.task.id).Int(logging.KeyAttempt, a.number).
		Str(logging.KeyWorker, string(w.id())).Str(logging.KeyReason, string(reason)).Msg("attempt refused")
	switch {
	case t.refusedOlderToken(w, sentTo, reason) && a.startsPending > 0 && sentTo.FencingToken < a.token:
		// The start command with the newer token may still be answered.
		return
	case t.refusedOlderToken(w, sentTo, reason) && a.overdue && a.startsSent-a.startsUnsent > 1:
		// The poll that was sent with the newer token shows whether another start command had taken effect.
		return
	case t.refusedOlderToken(w, sentTo, reason) && t.repeatsFencedStart(a):
		t.sendStart(a)
		return
	case t.refusedOlderToken(w, sentTo, reason):
	case reason == workers.ReasonStaleToken:
		t.fail(errors.WithStack(&leadership.LostError{Leader: "an instance known to worker " + string(w.id())}))
		return
	case reason == workers.ReasonIncarnation && !w.mayPredate(sentTo, sentAt):
		t.handleNewIncarnation(w)
		return
	case reason == workers.ReasonRestarted:
		if w.fenced && !w.mayPredate(sentTo, sentAt) {
			t.raiseToken(w)
		}
		// The incarnation is gone that all start commands of the attempt are for.
		t.markLost(a, lostRefused+string(reason))
		return
	case reason == workers.ReasonUnhealthy:
		w.breaker.trip(now)
		t.logPenalty(w, "refuses: "+string(reason), w.breaker.coolDown)
	case reason == workers.ReasonNoCapacity || reason == workers.ReasonInvalid:
		t.penalise(w, "refuses: "+string(reason))
	case reason == workers.ReasonTicket:
		t.dropTicket(a)
	}
	if a.startsSent-a.startsUnsent > 1 {
		// Another start command had no response and may have taken effect, or may still do so.
		if refusesAllStarts(a, sentTo, reason) {
			a.confirmedAt = now
			t.pollAgain(w)
		}
		t.abandonStart(a, "refused after a start command without a response")
		return
	}
	t.markLost(a, lostRefused+string(reason))
}

// refusesAllStarts reports whether a worker that has refused one start command of an attempt will refuse all others, too. A
// refusal for want of health or capacity says nothing about a command that is carried out later.
func refusesAllStarts(a *taskAttempt, sentTo workers.Target, reason workers.Reason) bool {
	switch reason {
	case workers.ReasonAlreadyEnded:
		return true
	case workers.ReasonStaleToken:
		return sentTo.FencingToken >= a.token
	}
	return false
}

// handleStartWithoutResponse sends a start command again that had no response, or abandons the start after
// maxStartCommands.
func (t *Term) handleStartWithoutResponse(a *taskAttempt, now time.Duration, err error) {
	var notSent *workers.NotSentError
	if errors.As(err, &notSent) {
		a.startsUnsent++
		if notSent.Withheld != "" && t.dropWithheldStart(a, notSent.Withheld) {
			return
		}
	}
	t.log.Warn().Stringer(logging.KeyTask, a.task.id).Int(logging.KeyAttempt, a.number).
		Str(logging.KeyWorker, string(a.worker.id())).AnErr("error", err).Int("open", a.startsPending).
		Msg("order to start without an answer")
	t.lostResponses.note(a.worker.id(), now)
	if a.startsPending > 0 {
		// Another start command for the attempt may still be answered.
		return
	}
	if t.awaitsOverduePoll(a) {
		return
	}
	if a.startsSent < maxStartCommands && !a.stopping && !a.overdue {
		a.retryAt, a.retryDue = now+startRetryDelay, true
		t.unconfirmed[a] = struct{}{}
		return
	}
	if a.startsUnsent == a.startsSent {
		a.task.avoidWorker = a.worker.id()
		t.markLost(a, lostNotSent)
		return
	}
	a.startsSent = maxStartCommands
	t.abandonStart(a, "order to start without an answer")
}

// abandonStart stops an attempt that may or may not have started. The other members of a gang are stopped as well,
// since they would wait for it in vain until they time out.
func (t *Term) abandonStart(a *taskAttempt, reason string) {
	t.stop(a, reason)
	t.breakGang(a.task, a.number)
}

// retryCommands sends the stop commands that are due and repeats start commands whose retry or hedging is due.
func (t *Term) retryCommands(now time.Duration) {
	t.overdueAt = 0
	for a := range t.unconfirmed {
		switch {
		case a.worker.attempts[attemptKey{a.task.id, a.number}] != a || (!a.stopping && !a.retryDue && a.hedgeAt == 0 && a.fenceAt == 0):
			delete(t.unconfirmed, a)
		case a.stopping && now >= a.stopAt:
			a.stopAt = now + stopRetryInterval
			t.ruleOutLateStart(a)
			t.sendStop(a)
		case a.stopping:
		case a.retryDue && now >= a.retryAt:
			a.retryDue = false
			t.sendStart(a)
		case a.phase != phaseSent:
			a.hedgeAt, a.fenceAt = 0, 0
		case a.fenceAt > 0 && now >= a.fenceAt && t.fenceOverdueStart(a, now):
		case a.hedgeAt > 0 && now >= a.hedgeAt && (a.held || t.hedges.Take(now)):
			t.hedgeStart(a, now)
		}
		t.noteNextOverdue(a, now)
	}
}

// hedgeStart sends a second start command for an attempt. One that is held back has been counted, and has taken its part of the
// budget of hedged calls, when it was first checked.
func (t *Term) hedgeStart(a *taskAttempt, now time.Duration) {
	if !a.held {
		t.noteOverdueStart(a, overdue.ActionRepeat, now)
	}
	t.sendStart(a)
	if a.startsPending > 1 {
		a.worker.hedged = true
	}
}

// ruleOutLateStart raises the fencing token for a worker that answers polls but no stop command for an attempt. Otherwise
// it would not be known whether the worker still starts the attempt, and its task would not be placed again.
func (t *Term) ruleOutLateStart(a *taskAttempt) {
	w := a.worker
	if a.phase != phaseSent || a.stopConfirmed || a.stopsSent < maxStopCommands || t.target(w).FencingToken > a.token {
		return
	}
	t.log.Warn().Stringer(logging.KeyTask, a.task.id).Int(logging.KeyAttempt, a.number).Str(logging.KeyWorker, string(w.id())).
		Int("stops", a.stopsSent).Msg("orders to stop without an answer, fencing token raised")
	t.raiseToken(w)
}

// sendStop sends a stop command for an attempt. After an answered one it waits for stopResendInterval.
func (t *Term) sendStop(a *taskAttempt) {
	if a.stopConfirmed && t.opts.Clock()-a.confirmedAt < stopResendInterval {
		return
	}
	a.stopsSent++
	target := t.target(a.worker)
	if target.Addr == "" {
		return
	}
	task, attempt, now := a.task.id, a.number, t.opts.Clock()
	if target.Via != "" {
		t.opts.Carriers.StopVia(target, task, attempt, func(err error) { t.handleStop(a, target, now, err) })
		return
	}
	t.spawn("stop command", func() {
		if !t.leader.Valid() {
			return
		}
		err := t.opts.Workers.Stop(t.ctx, target, task, attempt)
		t.post(func() { t.handleStop(a, target, now, err) })
	})
}

// handleStop handles the response to a stop command that was sent at sentAt. A worker that has answered it does not start
// the attempt any more, so the next poll shows conclusively whether the attempt is running. A response that may be of an
// earlier incarnation shows nothing; the command is sent again.
func (t *Term) handleStop(a *taskAttempt, sentTo workers.Target, sentAt time.Duration, err error) {
	if a.worker.mayPredate(sentTo, sentAt) {
		return
	}
	if err != nil {
		var refused *workers.RefusedError
		if errors.As(err, &refused) && refused.Reason == workers.ReasonIncarnation {
			t.handleNewIncarnation(a.worker)
		}
		if t.refusedOwnOlderToken(a.worker, sentTo, err) {
			a.stopAt = t.opts.Clock()
		}
		return
	}
	if a.stopConfirmed {
		return
	}
	a.stopConfirmed = true
	a.confirmedAt = t.opts.Clock()
	a.worker.nextPoll = 0
	if a.deniedStart() {
		// No termination will end a long poll in flight.
		t.pollAgain(a.worker)
	}
}
