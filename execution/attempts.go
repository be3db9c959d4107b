package execution

import (
	"time"

	"bronzehook/jobs"
	"bronzehook/logging"
	"bronzehook/mitigation"
	"bronzehook/workers"
)

// attach reserves the resources of an attempt on its worker and makes it the current attempt of its task.
func (t *Term) attach(a *taskAttempt) {
	a.worker.attempts[attemptKey{a.task.id, a.number}] = a
	a.worker.releasesAt = 0
	a.worker.node.Reserve(a.task.step)
	a.task.current = a
	a.task.job.liveAttempts++
	a.progressAt = t.opts.Clock()
	a.cpuPercent = mitigation.FullCPUPercent
}

// detach releases the resources of an attempt that is certainly not running any more.
func (t *Term) detach(a *taskAttempt) {
	key := attemptKey{a.task.id, a.number}
	if a.worker.attempts[key] != a {
		return
	}
	delete(a.worker.attempts, key)
	a.worker.releasesAt = 0
	a.worker.node.Release(a.task.step)
	a.task.job.liveAttempts--
	if a.task.current == a {
		a.task.current = nil
	}
	if a.task.job.removable() {
		// The state of the job may be stored already, so that no other commit would remove it.
		t.queueState(a.task.job)
	}
	a.task.readyAt = t.opts.Clock()
	t.scheduleDue = true
}

// stop queues a stop command for an attempt, or discards the attempt if no start command for it was sent.
func (t *Term) stop(a *taskAttempt, reason string) {
	if a.stopping {
		return
	}
	if a.phase == phaseRecording || a.startedNowhere() {
		t.discard(a)
		return
	}
	a.stopping = true
	a.withdrawn.Store(true)
	a.worker.releasesAt = 0
	t.unconfirmed[a] = struct{}{}
	a.stopAt = t.opts.Clock()
	t.log.Info().Stringer(logging.KeyTask, a.task.id).Int(logging.KeyAttempt, a.number).
		Str(logging.KeyWorker, string(a.worker.id())).Str(logging.KeyReason, reason).Int("percent", a.progress).
		Msg("attempt to be stopped")
}

// startedNowhere reports whether start commands for an attempt were due, and all of them turned out not to have been sent.
func (a *taskAttempt) startedNowhere() bool {
	return a.phase == phaseSent && a.startsPending == 0 && a.startsUnsent == a.startsSent
}

// discard drops an attempt for which no start command was sent. The next progress record of the job replaces the one that
// contains it.
func (t *Term) discard(a *taskAttempt) {
	a.task.lastEnded = max(a.task.lastEnded, a.number)
	t.detach(a)
	t.markChanged(a.task.job)
}

// stopAll stops all attempts of a job.
func (t *Term) stopAll(j *job, reason string) {
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		for _, step := range o.steps {
			for _, task := range step {
				if task.current != nil {
					t.stop(task.current, reason)
				}
			}
		}
	}
}

// Reasons for which an attempt is lost. The reason of the worker follows lostRefused.
const (
	lostNotListed    = "not listed by its worker"
	lostRestarted    = "its worker has restarted"
	lostLeaseExpired = "its lease has run out"
	lostNotSent      = "its start could not be sent"
	lostOverdue      = "its start was overdue and is refused by now"
	lostRefused      = "refused: "
)

// markLost drops an attempt that is not running any more although its worker has not reported a termination.
func (t *Term) markLost(a *taskAttempt, reason string) {
	t.logLost(a, reason)
	t.opts.Metrics.lost(reason)
	t.noteResolved(a, resolvedLost, t.opts.Clock())
	a.task.lastEnded = max(a.task.lastEnded, a.number)
	a.task.lostAttempt = a.number
	t.detach(a)
	t.breakGang(a.task, a.number)
	t.markChanged(a.task.job)
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
	t.markChanged(j)
}

// noteResolved records how long the state of an inherited attempt was unknown, now that it is known.
func (t *Term) noteResolved(a *taskAttempt, outcome string, now time.Duration) {
	if a.phase == phaseInherited {
		t.opts.Metrics.inheritedResolved(outcome, now-t.startedAt)
	}
}

// handleTermination handles the termination of an attempt that a worker reports.
func (t *Term) handleTermination(w *worker, termination workers.Termination) {
	key := attemptKey{termination.Task, termination.Attempt}
	delete(w.orphans, key)
	if j := t.setAside[termination.Task.Job]; j != nil {
		t.noteAsideTermination(w, j, termination)
		return
	}
	j := t.jobs[termination.Task.Job]
	task := t.findTask(termination.Task)
	if j == nil || task == nil {
		t.addAck(w, pendingAck{number: termination.Number})
		return
	}
	if !j.started {
		t.markStarted(j)
	}
	var ran time.Duration
	if a := w.attempts[key]; a != nil {
		if a.startedAt > 0 {
			ran = t.opts.Clock() - a.startedAt
		}
		t.noteResolved(a, resolvedEnded, t.opts.Clock())
		t.detach(a)
	}
	if task.counts(termination) {
		task.lastEnded = max(task.lastEnded, termination.Attempt)
		task.lostAttempt = 0
		t.countTermination(w, task, termination, ran)
		t.markChanged(j)
	}
	t.addAck(w, pendingAck{number: termination.Number, job: j, sequence: j.sequence})
}

// counts reports whether a termination changes a task. An earlier term may have counted it already, which task.lastEnded
// shows, as the progress record restores it. The termination of a lost attempt still counts: a failure if no later attempt
// has ended since, and that it was done whenever it is reported.
func (t *task) counts(termination workers.Termination) bool {
	switch {
	case t.done:
		return false
	case termination.Attempt > t.lastEnded, termination.Attempt == t.lostAttempt:
		return true
	}
	return termination.Cause == workers.CauseDone && !t.step.LongRunning
}

// countTermination updates a task after the termination of an attempt. ran is the run time of the attempt, 0 if unknown.
func (t *Term) countTermination(w *worker, task *task, termination workers.Termination, ran time.Duration) {
	t.detailLog.Info().Stringer(logging.KeyTask, termination.Task).Int(logging.KeyAttempt, termination.Attempt).
		Str(logging.KeyWorker, string(w.id())).Str("cause", string(termination.Cause)).Int("failures", task.failureCount()).
		Dur("ran", ran).Msg("attempt ended")
	t.opts.Metrics.ended(termination.Cause)
	t.noteRunTime(task, termination.Cause, ran)
	if termination.Checkpoint != "" && task.current == nil {
		task.checkpoint = termination.Checkpoint
	}
	switch termination.Cause {
	case workers.CauseDone:
		w.breaker.recordSuccess()
		if !task.step.LongRunning {
			t.finish(task)
			return
		}
	case workers.CauseFailed:
		t.countFailure(w, task, termination.Attempt)
	}
	if termination.Cause != workers.CauseDone {
		t.breakGang(task, termination.Attempt)
	}
	t.updateJobState(task.job)
}

// countFailure counts a failed attempt against its task, or its gang, and, for the circuit breaker, against its worker.
func (t *Term) countFailure(w *worker, task *task, attempt int) {
	task.avoidWorker = w.id()
	task.noteFailure(attempt)
	if task.job.countsAgainst(w.id()) && w.breaker.recordFailure(t.opts.Clock()) {
		t.logPenalty(w, "fails what it starts", w.breaker.coolDown)
	}
}

// noteFailure counts a failed attempt against a task, or its gang.
func (t *task) noteFailure(attempt int) {
	switch {
	case t.step.LongRunning:
	case t.step.Gang:
		t.occurrence().gangFailuresOf(t.id.Step).note(attempt)
	default:
		t.failures++
	}
}

// finish marks a task as done, and with it all members of its gang.
func (t *Term) finish(finished *task) {
	for _, member := range t.gangOf(finished) {
		if member.done {
			continue
		}
		member.done = true
		t.noteDone(member)
		member.checkpoint = ""
		member.lastEnded = max(member.lastEnded, finished.lastEnded)
		finished.job.occurrences[finished.id.Occurrence].remaining[finished.id.Step]--
		if member.current != nil && member != finished {
			t.stop(member.current, "another member of the gang is done")
		}
	}
	if finished.current != nil {
		t.stop(finished.current, "another attempt of the task is done")
	}
	t.updateJobState(finished.job)
}

// updateJobState ends a job as succeeded once all its tasks are done, and as failed once a task has used up its
// attempts.
func (t *Term) updateJobState(j *job) {
	if j.terminal() {
		return
	}
	all := true
	for _, o := range j.occurrences {
		if o == nil {
			all = false
			continue
		}
		for s, step := range o.steps {
			if o.remaining[s] > 0 {
				all = false
			}
			if t.exhausted(j, step) {
				t.endJob(j, jobs.StateFailed)
				return
			}
		}
	}
	if all {
		t.endJob(j, jobs.StateSucceeded)
	}
}

// exhausted reports whether a task of a step, or its gang as a whole, has failed as often as the queue allows.
func (t *Term) exhausted(j *job, step []*task) bool {
	if !j.queueKnown || j.queue.MaxAttempts <= 0 {
		return false
	}
	for _, task := range step {
		if !task.done && task.failureCount() >= j.queue.MaxAttempts {
			return true
		}
		if task.step.Gang {
			break
		}
	}
	return false
}

// endJob ends a job in a final state and stops its attempts.
func (t *Term) endJob(j *job, state jobs.State) {
	j.state = state
	t.stopAll(j, "the job has ended")
	t.log.Info().Str(logging.KeyRequest, string(j.spec.ID)).Str("queue", j.spec.Queue).Str("state", string(state)).
		Int64("age_ms", t.opts.Now().UnixMilli()-j.spec.Submitted).
		Int64("objective_ms", j.deadline.UnixMilli()-j.spec.Submitted).Msg("job ended")
	t.learnRunTimes(j)
	t.noteOutcome(j, state == jobs.StateSucceeded && !t.opts.Now().After(j.deadline))
	t.opts.Metrics.jobEnded(state, t.opts.Now().Sub(time.UnixMilli(j.spec.Submitted)))
	t.markChanged(j)
}

// findTask returns the task with an ID; nil if its job is not live or has no such task.
func (t *Term) findTask(id jobs.Task) *task {
	j := t.jobs[id.Job]
	if j == nil {
		return nil
	}
	return j.find(id)
}

// find returns the task with an ID of this job; nil if it has no such task.
func (j *job) find(id jobs.Task) *task {
	if id.Occurrence < 0 || id.Occurrence >= len(j.occurrences) {
		return nil
	}
	o := j.occurrences[id.Occurrence]
	if o == nil || id.Step < 0 || id.Step >= len(o.steps) || id.Index < 0 || id.Index >= len(o.steps[id.Step]) {
		return nil
	}
	return o.steps[id.Step][id.Index]
}
