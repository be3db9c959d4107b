package execution

import (
	"time"

	"github.com/cockroachdb/errors"

	"bronzehook/fault"
	"bronzehook/invalid"
	"bronzehook/leadership"
	"bronzehook/logging"
	"bronzehook/workers"
)

// Delays before the next poll of a worker that did not respond.
const (
	minPollRetryDelay = 150 * time.Millisecond
	maxPollRetryDelay = time.Second
)

// poll sends a poll to each worker that is due for one.
func (t *Term) poll(now time.Duration) {
	for _, w := range t.active {
		if w.polling && w.overdueAt > 0 && now >= w.overdueAt {
			t.noteOverduePoll(w, now)
			continue
		}
		if w.pollsTooLong() {
			t.pollAgain(w)
		}
		if w.polling && w.hedgeAt > 0 && now >= w.hedgeAt && t.hedges.Take(now) {
			t.hedgePoll(w, now)
			continue
		}
		if w.polling || now < w.nextPoll || w.node.Registration.Addr == "" || !w.needsPolling(now) {
			continue
		}
		if !w.registered && !w.fenced && w.pollFailures > 0 && len(w.attempts) == 0 {
			continue
		}
		t.pollWorker(w, now)
	}
}

// incarnationBits is the number of low bits of the fencing token that count the incarnations of a worker within a term.
// The bits above them are the epoch.
const incarnationBits = 12

// target returns the address of a worker and the fencing token for calls to it. The token grows with the epoch and,
// within a term, with worker.incarnation; a worker that has accepted a token refuses lower ones.
func (t *Term) target(w *worker) workers.Target {
	token := t.leader.Epoch()<<incarnationBits + min(w.incarnation, 1<<incarnationBits-1)
	return workers.Target{ID: w.id(), Addr: w.node.Registration.Addr, FencingToken: token, Via: w.carrier}
}

// raiseToken makes a worker refuse all calls that were sent to it before, once it has answered the next poll, which is due
// at once.
func (t *Term) raiseToken(w *worker) {
	w.incarnation++
	w.fenced = false
	t.pollAgain(w)
}

// pollAgain makes the next poll of a worker due at once. A poll in flight may take as long as its wait, and shows nothing
// that happened after it was sent. Its response is ignored: what it reports is not acknowledged, and the next poll
// reports it, too.
func (t *Term) pollAgain(w *worker) {
	w.pollRound++
	w.polling, w.pendingPolls, w.hedgeAt, w.overdueAt, w.lateRound = false, 0, 0, 0, 0
	w.nextPoll = t.opts.Clock()
}

// refusedOlderToken reports whether a worker refused a token as stale because this term itself has used a higher one
// since.
func (t *Term) refusedOlderToken(w *worker, sentTo workers.Target, reason workers.Reason) bool {
	return reason == workers.ReasonStaleToken && sentTo.FencingToken < t.target(w).FencingToken
}

// pollWorker starts a poll round. It sends a long poll unless a termination is still to be stored or an orphan to be
// stopped, or the worker has no attempts or has not accepted the fencing token yet, or its response will rule an attempt
// out.
func (t *Term) pollWorker(w *worker, now time.Duration) {
	request := t.pollRequest(w, now)
	if w.fenced && len(w.attempts) > 0 && len(w.pendingAcks) == 0 && len(w.orphans) == 0 && !w.hasDeniedStart() && !w.hasOverdueStart() {
		request.Wait = t.pollWaitFor(w, now)
	}
	w.pollRound++
	w.pollWait, w.pendingPolls, w.hedgeAt, w.overdueAt = request.Wait, 0, 0, 0
	if w.pollFailures == 0 && (w.fenced || w.hasOverdueStart()) {
		w.hedgeAt = now + request.Wait + hedgeAfter
		t.awaitLateResponse(w, &request, now)
	}
	t.sendPoll(w, request, now)
}

// pollWaitFor returns how long a worker may delay its response to a long poll while no attempt terminates there.
func (t *Term) pollWaitFor(w *worker, now time.Duration) time.Duration {
	switch {
	case t.lostResponses.widespread(now) && w.finiteAttempts() > 0:
		return lossyPollWait
	case w.colocated():
		return colocatedPollWait
	}
	return pollWait
}

// pollRequest returns a poll of a worker without a poll wait: it is answered at once.
func (t *Term) pollRequest(w *worker, now time.Duration) workers.PollRequest {
	request := workers.PollRequest{Target: t.target(w), StartTime: w.startTime, TimeoutMargin: t.lag.timeoutMargin()}
	// After a failure another incarnation of the worker is likely to answer. Termination sequence numbers restart with each
	// incarnation, so nothing is acknowledged until one has answered.
	if w.fenced && w.pollFailures == 0 {
		request.AckUpTo = w.storedUpTo
	}
	// An unresponsive worker is granted no further attempt lease, so that the last one granted expires.
	if w.clockAt > 0 && len(w.attempts) > 0 && w.pollFailures == 0 {
		w.noteLeaseGrant(now, t.opts.AttemptLeaseDuration)
		request.LeaseExpiry = t.leaseExpiry(w, now)
	}
	return request
}

// sendPoll sends a poll as part of the current poll round of a worker.
func (t *Term) sendPoll(w *worker, request workers.PollRequest, now time.Duration) {
	w.polling = true
	w.pendingPolls++
	round := w.pollRound
	handle := func(inventory workers.Inventory, err error) {
		// Once a poll of the round was answered, responses to the other one are ignored.
		switch {
		case round == w.pollRound:
			t.handlePoll(w, request, now, inventory, err)
		case round == w.lateRound && err == nil:
			t.handleLatePoll(w, request, now, inventory)
		}
	}
	if request.Via != "" {
		t.opts.Carriers.PollVia(request, handle)
		return
	}
	t.spawn("poll", func() {
		if !t.leader.Valid() {
			t.post(func() { w.polling = false })
			return
		}
		inventory, err := t.opts.Workers.Poll(t.ctx, request)
		t.post(func() { handle(inventory, err) })
	})
}

// handlePoll handles the response to a poll that was sent at sentAt.
func (t *Term) handlePoll(w *worker, request workers.PollRequest, sentAt time.Duration, inventory workers.Inventory, err error) {
	now := t.opts.Clock()
	if sentAt < w.polledAt {
		// A later poll has been answered already.
		return
	}
	w.pendingPolls = max(0, w.pendingPolls-1)
	if err != nil && w.pendingPolls > 0 && fault.CodeOf(err) == fault.CodeUnreachable {
		// The other poll of the round may still be answered.
		return
	}
	w.pollRound++
	w.polling, w.hedged, w.overdueAt, w.lateRound = false, false, 0, 0
	if request.Addr != w.node.Registration.Addr {
		w.nextPoll = now
		return
	}
	w.noteClock(inventory.Clock, now)
	if err != nil {
		t.handlePollFailure(w, request.Target, now, err)
		return
	}
	if w.pendingPolls > 0 {
		t.lostResponses.note(w.id(), now)
	}
	if w.isNewIncarnation(inventory.StartTime) && len(w.startsSincePoll) > 0 {
		w.noteForeignLeases(now, t.workerLeaseLimit())
	}
	w.polledAt = sentAt
	if w.pollFailures > 0 {
		t.log.Info().Str(logging.KeyWorker, string(w.id())).Int("failures", w.pollFailures).Msg("worker answers again")
		t.scheduleDue = true
	}
	w.pollFailures = 0
	if !w.fenced {
		w.fenced = true
		t.scheduleDue = true
	}
	if inventory.Unknown > 0 {
		t.opts.Invalid.Report(invalid.SourceWorker, string(w.id()), uint64(inventory.Unknown), invalid.New(invalid.KindUndecodable, "list of attempts"))
	}
	t.applyIncarnation(w, inventory.StartTime)
	w.forgetStartsBefore(sentAt)
	if inventory.StartTime == request.StartTime {
		w.ackedUpTo = max(w.ackedUpTo, inventory.AckedUpTo)
	}
	for _, termination := range inventory.Terminations {
		if termination.Number > w.appliedUpTo {
			w.appliedUpTo = termination.Number
			t.handleTermination(w, termination)
		}
	}
	t.reconcile(w, request, sentAt, now, inventory)
	t.recordLatencies(w)
	t.mitigateInterference(w, now)
	t.releaseAcksOf(w)
	w.nextPoll = now
	if len(w.pendingAcks) > 0 {
		w.nextPoll = now + uncommittedPollInterval
	}
}

// isNewIncarnation reports whether a start time shows that another incarnation of the worker answers than before.
func (w *worker) isNewIncarnation(startTime int64) bool {
	return startTime != 0 && w.startTime != 0 && startTime != w.startTime
}

// workerLeaseLimit returns the longest attempt lease that a worker grants.
func (t *Term) workerLeaseLimit() time.Duration {
	return max(t.opts.WorkerLeaseLimit, t.opts.AttemptLeaseDuration)
}

// applyIncarnation notes which incarnation of the worker answered. Termination sequence numbers restart with each
// incarnation.
func (t *Term) applyIncarnation(w *worker, startTime int64) {
	if startTime == 0 || startTime == w.startTime {
		return
	}
	if w.isNewIncarnation(startTime) {
		t.logIncarnation(w, startTime)
		t.opts.Metrics.startedAgain()
		w.incarnation++
		w.fenced = false
	}
	w.startTime, w.answeredFrom = startTime, t.opts.Clock()
	w.breaker, w.slow = breaker{}, false
	w.appliedUpTo, w.storedUpTo, w.ackedUpTo = 0, 0, 0
	t.forgetAcks(w)
}

// reconcile compares the attempts that a worker reports with those that it is expected to run. The poll was sent at
// polledAt. An attempt that the worker does not report is lost if the response rules it out, unless its termination may be
// among those that the worker has not listed yet.
func (t *Term) reconcile(w *worker, request workers.PollRequest, polledAt, now time.Duration, inventory workers.Inventory) {
	reported := make(map[attemptKey]bool, len(inventory.Running))
	for i := range inventory.Running {
		running := &inventory.Running[i]
		key := attemptKey{running.Task, running.Attempt}
		reported[key] = true
		if a := w.attempts[key]; a != nil {
			t.confirmRunning(a, running, now)
			continue
		}
		t.stopOrphan(w, key, now)
	}
	for key := range w.orphans {
		if !reported[key] {
			delete(w.orphans, key)
			t.scheduleDue = true
		}
	}
	if t.noteUnlisted(w, inventory) {
		return
	}
	for key, a := range w.attempts {
		if !reported[key] && a.ruledOutBy(request, polledAt, inventory.StartTime) {
			t.markLost(a, a.reasonNotListed())
		}
	}
}

// noteUnlisted reports whether a worker may have terminations that it has not listed, and logs when that begins and ends.
func (t *Term) noteUnlisted(w *worker, inventory workers.Inventory) bool {
	unlisted := !inventory.ListsAllTerminations()
	if unlisted != w.unlisted {
		w.unlisted = unlisted
		t.log.Info().Str(logging.KeyWorker, string(w.id())).Bool("unlisted", unlisted).
			Int("listed", len(inventory.Terminations)).Int("attempts", len(w.attempts)).Msg("terminations listed in parts")
	}
	return unlisted
}

// confirmRunning applies what a worker reports of an expected attempt.
func (t *Term) confirmRunning(a *taskAttempt, running *workers.Running, now time.Duration) {
	if a.phase != phaseRunning {
		t.noteResolved(a, resolvedListed, now)
		if a.phase == phaseInherited && (a.task.done || a.task.job.terminal()) {
			a.phase = phaseRunning
			t.stop(a, "no longer needed")
		}
		a.phase = phaseRunning
		a.confirmedAt = now
		t.markStarted(a.task.job)
	}
	if running.Checkpoint != "" {
		a.task.checkpoint = running.Checkpoint
	}
	if running.Percent != a.progress {
		a.progress, a.progressAt = running.Percent, now
	}
	a.usage = running.Usage
}

// stopOrphan stops an orphan: an attempt that a worker reports and that belongs to no live job.
func (t *Term) stopOrphan(w *worker, key attemptKey, now time.Duration) {
	if next, known := w.orphans[key]; known && now < next {
		return
	}
	w.orphans[key] = now + stopRetryInterval
	t.log.Warn().Stringer(logging.KeyTask, key.task).Int(logging.KeyAttempt, key.attempt).
		Str(logging.KeyWorker, string(w.id())).Msg("orphaned attempt, stopping it")
	target := t.target(w)
	if target.Via != "" {
		t.opts.Carriers.StopVia(target, key.task, key.attempt, func(error) {})
		return
	}
	t.spawn("orphan stop", func() {
		if t.leader.Valid() {
			_ = t.opts.Workers.Stop(t.ctx, target, key.task, key.attempt)
		}
	})
}

// handlePollFailure handles a poll that was refused or had no response. The term ends if the worker has accepted a
// higher fencing token, from another leader.
func (t *Term) handlePollFailure(w *worker, sentTo workers.Target, now time.Duration, err error) {
	var refused *workers.RefusedError
	if errors.As(err, &refused) {
		switch {
		case t.refusedOlderToken(w, sentTo, refused.Reason):
			w.nextPoll = now
			return
		case refused.Reason == workers.ReasonStaleToken:
			t.fail(errors.WithStack(&leadership.LostError{Leader: "an instance known to worker " + string(w.id())}))
			return
		case refused.Reason == workers.ReasonIncarnation:
			t.handleNewIncarnation(w)
			return
		}
	}
	if w.pollFailures == 0 {
		t.lostResponses.note(w.id(), now)
		w.incarnation++
		t.log.Warn().Str(logging.KeyWorker, string(w.id())).Int("running", len(w.attempts)).AnErr("error", err).
			Dur("lease_left", w.leasesExpireAt-now).Msg("worker does not answer")
	}
	w.pollFailures++
	w.nextPoll = now + min(maxPollRetryDelay, minPollRetryDelay*time.Duration(w.pollFailures))
}

// handleNewIncarnation handles a worker of which a new incarnation answered: no attempt of the previous one is running.
func (t *Term) handleNewIncarnation(w *worker) {
	for _, a := range w.attempts {
		if a.phase != phaseRecording {
			t.markLost(a, lostRestarted)
		}
	}
	clear(w.orphans)
	w.incarnation++
	w.fenced = false
	w.lateRound = 0
	w.registered = false
	t.forgetAcks(w)
	w.pollFailures++
	w.nextPoll = t.opts.Clock() + maxPollRetryDelay
}

// expireAttempts marks the attempts as lost on workers that have been unresponsive until every attempt lease granted to
// them had expired. Of these workers it drops, maxPollRetryDelay later, those without attempts that are not registered
// any more.
func (t *Term) expireAttempts(now time.Duration) {
	var dropped []*worker
	for _, w := range t.active {
		if w.pollFailures == 0 && (w.fenced || w.node.Registration.Addr != "") {
			continue
		}
		if now < w.leasesExpireAt {
			continue
		}
		for _, a := range w.attempts {
			if a.phase != phaseRecording {
				t.markLost(a, lostLeaseExpired)
			}
		}
		if !w.registered && len(w.attempts) == 0 && now > w.leasesExpireAt+maxPollRetryDelay {
			dropped = append(dropped, w)
		}
	}
	for _, w := range dropped {
		t.dropWorker(w)
	}
}
