package execution

import (
	"time"

	"github.com/cockroachdb/errors"

	"bronzehook/logging"
	"bronzehook/overdue"
	"bronzehook/workers"
)

// scheduleFence schedules the decision on a start command that is about to be sent, for when its response is overdue.
func (t *Term) scheduleFence(a *taskAttempt, now time.Duration) {
	a.fenceAt, a.overdue = 0, false
	if !t.opts.FenceOverdueStarts || a.task.step.LongRunning {
		return
	}
	a.fenceAt = now + overdue.FenceAfter(a.task.step.Gang, a.startsSent)
	t.unconfirmed[a] = struct{}{}
}

// noteNextOverdue makes the control goroutine wake up when the start of an attempt is overdue.
func (t *Term) noteNextOverdue(a *taskAttempt, now time.Duration) {
	if a.fenceAt > now && (t.overdueAt == 0 || a.fenceAt < t.overdueAt) {
		t.overdueAt = a.fenceAt
	}
}

// fenceOverdueStart makes sure that the worker of an attempt whose start is overdue refuses the start from its next poll on, and
// polls it at once. It reports whether the start is not to be repeated instead.
func (t *Term) fenceOverdueStart(a *taskAttempt, now time.Duration) bool {
	w := a.worker
	state := overdue.Worker{
		Reachable:   w.pollFailures == 0 && w.node.Registration.Addr != "",
		TokenRaised: t.target(w).FencingToken > a.token, Raises: w.incarnation, RaisedAt: w.raisedAt,
	}
	action := overdue.Decide(state, t.lag.present(now), now, &t.raises)
	switch action {
	case overdue.ActionRepeat:
		return false
	case overdue.ActionWait:
		a.fenceAt = w.raisedAt + overdue.MinRaiseInterval
		if a.hedgeAt > 0 {
			a.hedgeAt = a.fenceAt
		}
		return true
	}
	a.hedgeAt, a.fenceAt, a.overdue = 0, 0, true
	a.task.avoidWorker = w.id()
	w.overdueStarts.Note(now)
	t.lostResponses.note(w.id(), now)
	t.noteOverdueStart(a, action, now)
	switch {
	case action == overdue.ActionRaise:
		w.raisedAt = now
		t.raiseToken(w)
	case w.polling && !w.fenced:
		// The poll in flight has the present token.
		return true
	default:
		t.pollAgain(w)
	}
	t.pollWorker(w, now)
	return true
}

// noteOverdueStart counts and logs what is done about an overdue start.
func (t *Term) noteOverdueStart(a *taskAttempt, action overdue.Action, now time.Duration) {
	t.opts.Metrics.startOverdue(action)
	if !t.opts.FenceOverdueStarts {
		return
	}
	t.log.Warn().Stringer(logging.KeyTask, a.task.id).Int(logging.KeyAttempt, a.number).Str(logging.KeyWorker, string(a.worker.id())).
		Stringer("action", action).Int("starts", a.startsSent).Dur("lag", t.lag.present(now)).Msg("order to start is overdue")
}

// hasOverdueStart reports whether the next poll may rule out an attempt whose start is overdue.
func (w *worker) hasOverdueStart() bool {
	for _, a := range w.attempts {
		if a.overdue && a.phase == phaseSent && (a.startsPending == 0 || a.workerStartTime == w.startTime) {
			return true
		}
	}
	return false
}

// awaitsOverduePoll reports whether a poll decides on an attempt of which no start command was answered, so that none is sent
// again. The other members of a gang are not left waiting for that.
func (t *Term) awaitsOverduePoll(a *taskAttempt) bool {
	if !a.overdue || a.startsUnsent == a.startsSent || a.task.step.Gang {
		return false
	}
	if a.worker.fenced {
		// A long poll in flight may have begun while the start command was open.
		t.pollAgain(a.worker)
	}
	return true
}

// repeatsFencedStart reports whether the start of a gang's member that the worker has refused, only because the token was raised
// for another start, is sent again with the present token. Otherwise the gang would have to restart.
func (t *Term) repeatsFencedStart(a *taskAttempt) bool {
	return t.opts.FenceOverdueStarts && a.task.step.Gang && a.startsSent == 1 && !a.overdue && !a.stopping
}

// reasonNotListed returns the reason for which an attempt is lost that its worker does not list.
func (a *taskAttempt) reasonNotListed() string {
	if a.overdue && a.phase == phaseSent {
		return lostOverdue
	}
	return lostNotListed
}

// refusedOwnOlderToken reports whether a command failed only because this term has raised the token since it was sent.
func (t *Term) refusedOwnOlderToken(w *worker, sentTo workers.Target, err error) bool {
	var refused *workers.RefusedError
	return errors.As(err, &refused) && t.refusedOlderToken(w, sentTo, refused.Reason)
}
