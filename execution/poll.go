package execution

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"bronzehook/fault"
	"bronzehook/jobs"
	"bronzehook/leadership"
	"bronzehook/logging"
	"bronzehook/workers"
)

// Pauses after a look that had no answer.
const (
	minPollRetryDelay = 150 * time.Millisecond
	maxPollRetryDelay = time.Second
)

// poll sends a poll to each worker that is due for one.
func (t *Term) poll(now time.Duration) {
	for _, w := range t.active {
		if w.polling && w.hedgeAt > 0 && now >= w.hedgeAt && t.hedges.take(now) {
			t.hedgePoll(w, now)
			continue
		}
		if w.polling || now < w.nextPoll || w.node.Entry.Addr == "" || !w.needsPolling() {
			continue
		}
		if !w.registered && !w.fenced && w.pollFailures > 0 && len(w.attempts) == 0 {
			continue
		}
		t.pollWorker(w, now)
	}
}

// incarnationBits is the part of the fencing token that counts lives of a worker within a term.
const incarnationBits = 12

func (t *Term) target(w *worker) workers.Target {
	token := t.leader.Epoch()<<incarnationBits + min(w.incarnation, 1<<incarnationBits-1)
	return workers.Target{ID: w.id(), Addr: w.node.Entry.Addr, FencingToken: token}
}

// refusedOlderToken reports whether a refusal for a stale token comes from this term itself, which has used a higher one since.
func (t *Term) refusedOlderToken(w *worker, sent workers.Target, reason workers.Reason) bool {
	return reason == workers.ReasonStaleToken && sent.FencingToken < t.target(w).FencingToken
}

func (t *Term) pollWorker(w *worker, now time.Duration) {
	order := t.pollRequest(w, now)
	if w.fenced && len(w.attempts) > 0 && len(w.pendingAcks) == 0 && len(w.orphans) == 0 {
		order.Wait = t.pollWaitFor(w, now)
	}
	w.pollRound++
	w.pendingPolls, w.hedgeAt = 0, 0
	if w.pollFailures == 0 && w.fenced {
		w.hedgeAt = now + order.Wait + hedgeAfter
	}
	t.sendPoll(w, order, now)
}

// pollWaitFor is how long a worker may hold its answer while nothing ends there.
func (t *Term) pollWaitFor(w *worker, now time.Duration) time.Duration {
	switch {
	case t.lostResponses.many(now) && w.batchAttempts() > 0:
		return lossyPollWait
	case w.colocated():
		return colocatedPollWait
	}
	return pollWait
}

// pollRequest returns a look at a worker that is answered at once.
func (t *Term) pollRequest(w *worker, now time.Duration) workers.PollRequest {
	order := workers.PollRequest{Target: t.target(w), TimeoutMargin: t.lag.timeoutMargin()}
	// Another life may answer after a failure. Numbers of ends start anew with a life, so that nothing may be forgotten
	// before the life is known.
	if w.fenced && w.pollFailures == 0 {
		order.AckUpTo = w.storedUpTo
	}
	// A worker that does not answer gets no further lease, so that the end of its last one is known.
	if w.clockAt > 0 && len(w.attempts) > 0 && w.pollFailures == 0 {
		w.grant(now, t.opts.AttemptLeaseDuration)
		order.LeaseEnd = w.clockNow(now) + t.opts.AttemptLeaseDuration.Milliseconds()
	}
	return order
}

func (t *Term) sendPoll(w *worker, order workers.PollRequest, now time.Duration) {
	w.polling = true
	w.pendingPolls++
	round := w.pollRound
	go func() {
		if !t.leader.Valid() {
			t.post(func() { w.polling = false })
			return
		}
		inventory, err := t.opts.Workers.Poll(t.ctx, order)
		t.post(func() {
			// The other look of a round that was answered says nothing new.
			if round == w.pollRound {
				t.handlePoll(w, order, now, inventory, err)
			}
		})
	}()
}

// handlePoll takes up the answer to a look that was sent at a time.
func (t *Term) handlePoll(w *worker, order workers.PollRequest, sent time.Duration, inventory workers.Inventory, err error) {
	now := t.opts.Clock()
	if sent < w.polledAt {
		// A look that was sent later has been answered.
		return
	}
	w.pendingPolls = max(0, w.pendingPolls-1)
	if err != nil && w.pendingPolls > 0 && fault.CodeOf(err) == fault.CodeUnreachable {
		// The repeated look may yet be answered.
		return
	}
	w.pollRound++
	w.polling, w.hedged = false, false
	if order.Addr != w.node.Entry.Addr {
		w.nextPoll = now
		return
	}
	w.noteClock(inventory.Clock, now)
	if err != nil {
		t.handlePollFailure(w, order.Target, now, err)
		return
	}
	if w.pendingPolls > 0 {
		t.lostResponses.note(w.id(), now)
	}
	w.polledAt = sent
	if w.pollFailures > 0 {
		t.log.Info().Str(logging.KeyWorker, string(w.id())).Int("failures", w.pollFailures).Msg("worker answers again")
		t.scheduleDue = true
	}
	w.pollFailures = 0
	if !w.fenced {
		w.fenced = true
		t.scheduleDue = true
	}
	t.applyIncarnation(w, inventory.Born)
	w.ackedUpTo = max(w.ackedUpTo, order.AckUpTo)
	for _, e := range inventory.Terminations {
		if e.Number > w.appliedUpTo {
			w.appliedUpTo = e.Number
			t.handleTermination(w, e)
		}
	}
	t.reconcile(w, sent, now, inventory)
	t.recordLatencies(w)
	t.mitigateInterference(w, now)
	t.releaseAcksOf(w)
	w.nextPoll = now
	if len(w.pendingAcks) > 0 {
		w.nextPoll = now + uncommittedPollInterval
	}
}

// applyIncarnation notes which life of the worker answered. Numbers of ends start anew with a life.
func (t *Term) applyIncarnation(w *worker, born int64) {
	if born == 0 || born == w.startTime {
		return
	}
	if w.startTime != 0 {
		t.log.Warn().Str(logging.KeyWorker, string(w.id())).Int64("born", born).Msg("worker started again")
	}
	if w.startTime != 0 {
		w.incarnation++
		w.fenced = false
	}
	w.startTime = born
	w.breaker, w.slow = breaker{}, false
	w.appliedUpTo, w.storedUpTo, w.ackedUpTo, w.pendingAcks = 0, 0, 0, nil
}

// reconcile compares what a worker runs with what it was believed to run when the look was sent.
func (t *Term) reconcile(w *worker, sent, now time.Duration, inventory workers.Inventory) {
	listed := make(map[attemptKey]bool, len(inventory.Running))
	for i := range inventory.Running {
		running := &inventory.Running[i]
		key := attemptKey{running.Task, running.Attempt}
		listed[key] = true
		if r := w.attempts[key]; r != nil {
			t.confirmRunning(r, running, now)
			continue
		}
		t.stopOrphan(w, key, now)
	}
	for key := range w.orphans {
		if !listed[key] {
			delete(w.orphans, key)
			t.scheduleDue = true
		}
	}
	for key, r := range w.attempts {
		if listed[key] || r.phase == phaseRecording {
			continue
		}
		settled := r.phase == phaseInherited || (r.confirmed > 0 && r.confirmed < sent)
		if settled {
			t.markLost(r, "not listed by its worker")
		}
	}
}

// confirmRunning takes up the progress of an attempt.
func (t *Term) confirmRunning(r *taskAttempt, running *workers.Running, now time.Duration) {
	if r.phase != phaseRunning {
		if r.phase == phaseInherited && (r.task.done || r.task.job.terminal()) {
			r.phase = phaseRunning
			t.stop(r, "not wanted any more")
		}
		r.phase = phaseRunning
		r.confirmed = now
		t.markStarted(r.task.job)
	}
	if running.Checkpoint != "" {
		r.task.checkpoint = running.Checkpoint
	}
	if running.Percent != r.progress {
		r.progress, r.movedAt = running.Percent, now
	}
	r.usage = running.Usage
}

// stopOrphan stops an attempt that no live job accounts for.
func (t *Term) stopOrphan(w *worker, key attemptKey, now time.Duration) {
	if next, known := w.orphans[key]; known && now < next {
		return
	}
	w.orphans[key] = now + stopRetryInterval
	t.log.Warn().Stringer(logging.KeyTask, key.task).Int(logging.KeyAttempt, key.attempt).
		Str(logging.KeyWorker, string(w.id())).Msg("unexpected attempt, stopping it")
	target := t.target(w)
	go func() {
		if t.leader.Valid() {
			_ = t.opts.Workers.Stop(t.ctx, target, key.task, key.attempt)
		}
	}()
}

func (t *Term) handlePollFailure(w *worker, sent workers.Target, now time.Duration, err error) {
	var refused *workers.RefusedError
	if errors.As(err, &refused) {
		switch {
		case t.refusedOlderToken(w, sent, refused.Reason):
			w.nextPoll = now
			return
		case refused.Reason == workers.ReasonStaleToken:
			t.fail(errors.WithStack(&leadership.LostError{Holder: "seen by " + string(w.id())}))
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

// handleNewIncarnation handles a worker of which another life answers: nothing of the former one runs.
func (t *Term) handleNewIncarnation(w *worker) {
	for _, r := range w.attempts {
		if r.phase != phaseRecording {
			t.markLost(r, "its worker has ended")
		}
	}
	clear(w.orphans)
	w.incarnation++
	w.fenced = false
	w.registered = false
	w.pendingAcks = nil
	w.pollFailures++
	w.nextPoll = t.opts.Clock() + maxPollRetryDelay
}

// expire gives up attempts on workers that have not answered for longer than any lease.
func (t *Term) expire(now time.Duration) {
	var dropped []*worker
	for _, w := range t.active {
		if w.pollFailures == 0 && (w.fenced || w.node.Entry.Addr != "") {
			continue
		}
		if now < w.leasesExpireAt {
			continue
		}
		for _, r := range w.attempts {
			if r.phase != phaseRecording {
				t.markLost(r, "its lease has run out")
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

func (t *Term) dropWorker(w *worker) {
	delete(t.workers, w.id())
	delete(t.workersWithAcks, w)
	w.node.Usable = false
	t.active = slices.DeleteFunc(t.active, func(other *worker) bool { return other == w })
	t.nodes.remove(&w.node)
}

// markStarted notes that a task of a job has started.
func (t *Term) markStarted(j *job) {
	if j.started && j.state != jobs.StateQueued {
		return
	}
	j.started = true
	if j.state == jobs.StateQueued {
		j.state = jobs.StateRunning
	}
	t.touch(j)
}
