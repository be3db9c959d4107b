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
	lookRetryMin = 150 * time.Millisecond
	lookRetryMax = time.Second
)

// look sends a look to each worker that is due for one.
func (t *Term) look(now time.Duration) {
	for _, w := range t.engaged {
		if w.looking && w.hedgeAt > 0 && now >= w.hedgeAt && t.hedges.take(now) {
			t.hedgeLook(w, now)
			continue
		}
		if w.looking || now < w.nextLook || w.node.Entry.Addr == "" || !w.expectsAnswers() {
			continue
		}
		if !w.listed && !w.fenced && w.lookFailures > 0 && len(w.runs) == 0 {
			continue
		}
		t.lookAt(w, now)
	}
}

// lifeBits is the part of the fencing token that counts lives of a worker within a term.
const lifeBits = 12

func (t *Term) target(w *worker) workers.Target {
	token := t.holder.Epoch()<<lifeBits + min(w.life, 1<<lifeBits-1)
	return workers.Target{ID: w.id(), Addr: w.node.Entry.Addr, FencingToken: token}
}

// replaced reports whether a refusal for a stale token comes from this term itself, which has used a higher one since.
func (t *Term) replaced(w *worker, sent workers.Target, reason workers.Reason) bool {
	return reason == workers.ReasonStaleToken && sent.FencingToken < t.target(w).FencingToken
}

func (t *Term) lookAt(w *worker, now time.Duration) {
	order := t.lookOrder(w, now)
	if w.fenced && len(w.runs) > 0 && len(w.acks) == 0 && len(w.foreign) == 0 {
		order.Wait = t.lookWait(w, now)
	}
	w.round++
	w.unanswered, w.hedgeAt = 0, 0
	if w.lookFailures == 0 && w.fenced {
		w.hedgeAt = now + order.Wait + hedgeAfter
	}
	t.sendLook(w, order, now)
}

// lookWait is how long a worker may hold its answer while nothing ends there.
func (t *Term) lookWait(w *worker, now time.Duration) time.Duration {
	switch {
	case t.losses.many(now) && w.shortRuns() > 0:
		return lossyLookWait
	case w.mixed():
		return mixedLookWait
	}
	return lookWait
}

// lookOrder returns a look at a worker that is answered at once.
func (t *Term) lookOrder(w *worker, now time.Duration) workers.PollRequest {
	order := workers.PollRequest{Target: t.target(w), TimeoutMargin: t.lag.slack()}
	// Another life may answer after a failure. Numbers of ends start anew with a life, so that nothing may be forgotten
	// before the life is known.
	if w.fenced && w.lookFailures == 0 {
		order.AckUpTo = w.seenUpTo
	}
	// A worker that does not answer gets no further lease, so that the end of its last one is known.
	if w.clockAt > 0 && len(w.runs) > 0 && w.lookFailures == 0 {
		w.grant(now, t.opts.AttemptLeaseDuration)
		order.LeaseEnd = w.clockNow(now) + t.opts.AttemptLeaseDuration.Milliseconds()
	}
	return order
}

func (t *Term) sendLook(w *worker, order workers.PollRequest, now time.Duration) {
	w.looking = true
	w.unanswered++
	round := w.round
	go func() {
		if !t.holder.Valid() {
			t.post(func() { w.looking = false })
			return
		}
		inventory, err := t.opts.Workers.Poll(t.ctx, order)
		t.post(func() {
			// The other look of a round that was answered says nothing new.
			if round == w.round {
				t.looked(w, order, now, inventory, err)
			}
		})
	}()
}

// looked takes up the answer to a look that was sent at a time.
func (t *Term) looked(w *worker, order workers.PollRequest, sent time.Duration, inventory workers.Inventory, err error) {
	now := t.opts.Clock()
	if sent < w.lookedAt {
		// A look that was sent later has been answered.
		return
	}
	w.unanswered = max(0, w.unanswered-1)
	if err != nil && w.unanswered > 0 && fault.CodeOf(err) == fault.CodeUnreachable {
		// The repeated look may yet be answered.
		return
	}
	w.round++
	w.looking, w.overdue = false, false
	if order.Addr != w.node.Entry.Addr {
		w.nextLook = now
		return
	}
	w.noteClock(inventory.Clock, now)
	if err != nil {
		t.lookFailed(w, order.Target, now, err)
		return
	}
	if w.unanswered > 0 {
		t.losses.note(w.id(), now)
	}
	w.lookedAt = sent
	if w.lookFailures > 0 {
		t.log.Info().Str(logging.KeyWorker, string(w.id())).Int("failures", w.lookFailures).Msg("worker answers again")
		t.unplaced = true
	}
	w.lookFailures = 0
	if !w.fenced {
		w.fenced = true
		t.unplaced = true
	}
	t.takeLife(w, inventory.Born)
	w.ackedUpTo = max(w.ackedUpTo, order.AckUpTo)
	for _, e := range inventory.Terminations {
		if e.Number > w.listedUpTo {
			w.listedUpTo = e.Number
			t.end(w, e)
		}
	}
	t.reconcile(w, sent, now, inventory)
	t.measure(w)
	t.relieve(w, now)
	t.releaseAcksOf(w)
	w.nextLook = now
	if len(w.acks) > 0 {
		w.nextLook = now + uncommittedLook
	}
}

// takeLife notes which life of the worker answered. Numbers of ends start anew with a life.
func (t *Term) takeLife(w *worker, born int64) {
	if born == 0 || born == w.born {
		return
	}
	if w.born != 0 {
		t.log.Warn().Str(logging.KeyWorker, string(w.id())).Int64("born", born).Msg("worker started again")
	}
	if w.born != 0 {
		w.life++
		w.fenced = false
	}
	w.born = born
	w.breaker, w.slow = breaker{}, false
	w.listedUpTo, w.seenUpTo, w.ackedUpTo, w.acks = 0, 0, 0, nil
}

// reconcile compares what a worker runs with what it was believed to run when the look was sent.
func (t *Term) reconcile(w *worker, sent, now time.Duration, inventory workers.Inventory) {
	listed := make(map[runKey]bool, len(inventory.Running))
	for i := range inventory.Running {
		running := &inventory.Running[i]
		key := runKey{running.Task, running.Attempt}
		listed[key] = true
		if r := w.runs[key]; r != nil {
			t.seen(r, running, now)
			continue
		}
		t.seenForeign(w, key, now)
	}
	for key := range w.foreign {
		if !listed[key] {
			delete(w.foreign, key)
			t.unplaced = true
		}
	}
	for key, r := range w.runs {
		if listed[key] || r.phase == phaseRecording {
			continue
		}
		settled := r.phase == phaseInherited || (r.confirmed > 0 && r.confirmed < sent)
		if settled {
			t.gone(r, "not listed by its worker")
		}
	}
}

// seen takes up the progress of an attempt.
func (t *Term) seen(r *run, running *workers.Running, now time.Duration) {
	if r.phase != phaseRunning {
		if r.phase == phaseInherited && (r.task.done || r.task.job.terminal()) {
			r.phase = phaseRunning
			t.stop(r, "not wanted any more")
		}
		r.phase = phaseRunning
		r.confirmed = now
		t.begun(r.task.job)
	}
	if running.Checkpoint != "" {
		r.task.checkpoint = running.Checkpoint
	}
	if running.Percent != r.percent {
		r.percent, r.movedAt = running.Percent, now
	}
	r.usage = running.Usage
}

// seenForeign stops an attempt that no live job accounts for.
func (t *Term) seenForeign(w *worker, key runKey, now time.Duration) {
	if next, known := w.foreign[key]; known && now < next {
		return
	}
	w.foreign[key] = now + stopRetry
	t.log.Warn().Stringer(logging.KeyTask, key.task).Int(logging.KeyAttempt, key.attempt).
		Str(logging.KeyWorker, string(w.id())).Msg("unexpected attempt, stopping it")
	target := t.target(w)
	go func() {
		if t.holder.Valid() {
			_ = t.opts.Workers.Stop(t.ctx, target, key.task, key.attempt)
		}
	}()
}

func (t *Term) lookFailed(w *worker, sent workers.Target, now time.Duration, err error) {
	var refused *workers.RefusedError
	if errors.As(err, &refused) {
		switch {
		case t.replaced(w, sent, refused.Reason):
			w.nextLook = now
			return
		case refused.Reason == workers.ReasonStaleToken:
			t.fail(errors.WithStack(&leadership.LostError{Holder: "seen by " + string(w.id())}))
			return
		case refused.Reason == workers.ReasonIncarnation:
			t.lifeOver(w)
			return
		}
	}
	if w.lookFailures == 0 {
		t.losses.note(w.id(), now)
		w.life++
		t.log.Warn().Str(logging.KeyWorker, string(w.id())).Int("running", len(w.runs)).AnErr("error", err).
			Dur("lease_left", w.deadBy-now).Msg("worker does not answer")
	}
	w.lookFailures++
	w.nextLook = now + min(lookRetryMax, lookRetryMin*time.Duration(w.lookFailures))
}

// lifeOver handles a worker of which another life answers: nothing of the former one runs.
func (t *Term) lifeOver(w *worker) {
	for _, r := range w.runs {
		if r.phase != phaseRecording {
			t.gone(r, "its worker has ended")
		}
	}
	clear(w.foreign)
	w.life++
	w.fenced = false
	w.listed = false
	w.acks = nil
	w.lookFailures++
	w.nextLook = t.opts.Clock() + lookRetryMax
}

// expire gives up attempts on workers that have not answered for longer than any lease.
func (t *Term) expire(now time.Duration) {
	var dropped []*worker
	for _, w := range t.engaged {
		if w.lookFailures == 0 && (w.fenced || w.node.Entry.Addr != "") {
			continue
		}
		if now < w.deadBy {
			continue
		}
		for _, r := range w.runs {
			if r.phase != phaseRecording {
				t.gone(r, "its lease has run out")
			}
		}
		if !w.listed && len(w.runs) == 0 && now > w.deadBy+lookRetryMax {
			dropped = append(dropped, w)
		}
	}
	for _, w := range dropped {
		t.dropWorker(w)
	}
}

func (t *Term) dropWorker(w *worker) {
	delete(t.workers, w.id())
	delete(t.acking, w)
	w.node.Usable = false
	t.engaged = slices.DeleteFunc(t.engaged, func(other *worker) bool { return other == w })
	t.nodes.remove(&w.node)
}

// begun notes that a task of a job has started.
func (t *Term) begun(j *job) {
	if j.begun && j.state != jobs.StateQueued {
		return
	}
	j.begun = true
	if j.state == jobs.StateQueued {
		j.state = jobs.StateRunning
	}
	t.touch(j)
}
