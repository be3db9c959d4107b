package execution

import (
	"time"

	"bronzehook/jobs"
	"bronzehook/logging"
	"bronzehook/workers"
)

// attach counts an attempt against its worker.
func (t *Term) attach(r *taskAttempt) {
	r.worker.attempts[attemptKey{r.task.id, r.number}] = r
	r.worker.node.Reserve(r.task.step)
	r.task.current = r
	r.task.job.liveAttempts++
	r.movedAt = t.opts.Clock()
	r.cpuPercent = fullCPUPercent
}

// detach releases what an attempt took; it is certain that it does not run any more.
func (t *Term) detach(r *taskAttempt) {
	key := attemptKey{r.task.id, r.number}
	if r.worker.attempts[key] != r {
		return
	}
	delete(r.worker.attempts, key)
	r.worker.node.Release(r.task.step)
	r.task.job.liveAttempts--
	if r.task.current == r {
		r.task.current = nil
	}
	r.task.readyAt = t.opts.Clock()
	t.scheduleDue = true
}

// stop asks for the end of an attempt.
func (t *Term) stop(r *taskAttempt, cause string) {
	if r.stopping {
		return
	}
	if r.phase == phaseRecording {
		t.discard(r)
		return
	}
	r.stopping = true
	t.unconfirmed[r] = struct{}{}
	r.stopAt = t.opts.Clock()
	t.log.Info().Stringer(logging.KeyTask, r.task.id).Int(logging.KeyAttempt, r.number).
		Str(logging.KeyWorker, string(r.worker.id())).Str(logging.KeyReason, cause).Int("percent", r.progress).
		Msg("attempt to be stopped")
}

// discard gives up an attempt that was never ordered. Its record is void once the next change is stored.
func (t *Term) discard(r *taskAttempt) {
	r.task.lastEnded = max(r.task.lastEnded, r.number)
	t.detach(r)
	t.touch(r.task.job)
}

// stopAll asks for the end of all attempts of a job.
func (t *Term) stopAll(j *job, cause string) {
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		for _, step := range o.steps {
			for _, task := range step {
				if task.current != nil {
					t.stop(task.current, cause)
				}
			}
		}
	}
}

// markLost handles an attempt that no longer runs and has no listed end.
func (t *Term) markLost(r *taskAttempt, why string) {
	t.log.Warn().Stringer(logging.KeyTask, r.task.id).Int(logging.KeyAttempt, r.number).
		Str(logging.KeyWorker, string(r.worker.id())).Str(logging.KeyReason, why).Msg("attempt lost")
	r.task.lastEnded = max(r.task.lastEnded, r.number)
	r.task.lostAttempt = r.number
	t.detach(r)
	t.breakGang(r.task, r.number)
	t.touch(r.task.job)
}

// handleTermination takes up the handleTermination of an attempt that a worker lists.
func (t *Term) handleTermination(w *worker, e workers.Termination) {
	j := t.jobs[e.Task.Job]
	task := t.findTask(e.Task)
	if j == nil || task == nil {
		t.addAck(w, pendingAck{number: e.Number})
		delete(w.orphans, attemptKey{e.Task, e.Attempt})
		return
	}
	key := attemptKey{e.Task, e.Attempt}
	delete(w.orphans, key)
	var ran time.Duration
	if r := w.attempts[key]; r != nil {
		if r.startedAt > 0 {
			ran = t.opts.Clock() - r.startedAt
		}
		t.detach(r)
	}
	// With the record of an earlier term the end may have been counted already. That of an attempt which was given up
	// counts still: the work may be done, and a failure is one whether it was seen in time or not.
	if (e.Attempt > task.lastEnded || e.Attempt == task.lostAttempt) && !task.done {
		task.lastEnded = max(task.lastEnded, e.Attempt)
		task.lostAttempt = 0
		t.countTermination(w, task, e, ran)
		t.touch(j)
	}
	t.addAck(w, pendingAck{number: e.Number, job: j, sequence: j.sequence})
}

func (t *Term) addAck(w *worker, a pendingAck) {
	w.pendingAcks = append(w.pendingAcks, a)
	t.workersWithAcks[w] = struct{}{}
}

// countTermination changes a task by the end of its attempt, which has run for a time; 0 if that isn't known.
func (t *Term) countTermination(w *worker, task *task, e workers.Termination, ran time.Duration) {
	t.log.Info().Stringer(logging.KeyTask, e.Task).Int(logging.KeyAttempt, e.Attempt).
		Str(logging.KeyWorker, string(w.id())).Str("cause", string(e.Cause)).Int("failures", task.failures).
		Dur("ran", ran).Msg("attempt ended")
	t.opts.Metrics.ended(e.Cause)
	if e.Checkpoint != "" && task.current == nil {
		task.checkpoint = e.Checkpoint
	}
	switch e.Cause {
	case workers.CauseDone:
		w.breaker.succeed()
		if !task.step.LongRunning {
			t.finish(task)
			return
		}
	case workers.CauseFailed:
		t.countFailure(w, task)
	}
	if e.Cause != workers.CauseDone {
		t.breakGang(task, e.Attempt)
	}
	t.updateJobState(task.job)
}

func (t *Term) countFailure(w *worker, task *task) {
	task.avoid = w.id()
	if !task.step.LongRunning {
		task.failures++
	}
	if task.job.countsAgainst(w.id()) && w.breaker.fail(t.opts.Clock()) {
		t.logPenalty(w, "fails what it starts", w.breaker.coolDown)
	}
}

// finish marks a task as done. One end of a gang stands for all of its members.
func (t *Term) finish(done *task) {
	for _, member := range t.gangOf(done) {
		if member.done {
			continue
		}
		member.done = true
		member.checkpoint = ""
		member.lastEnded = max(member.lastEnded, done.lastEnded)
		done.job.occurrences[done.id.Occurrence].left[done.id.Step]--
		if member.current != nil && member != done {
			t.stop(member.current, "the gang is done")
		}
	}
	if done.current != nil {
		t.stop(done.current, "a copy is done")
	}
	t.updateJobState(done.job)
}

// gangOf returns all tasks that end together with one.
func (t *Term) gangOf(one *task) []*task {
	if !one.step.Gang {
		return []*task{one}
	}
	return one.job.occurrences[one.id.Occurrence].steps[one.id.Step]
}

// breakGang stops the other members of a gang, which has to start again as a whole.
func (t *Term) breakGang(one *task, attempt int) {
	if !one.step.Gang || one.done {
		return
	}
	for _, member := range t.gangOf(one) {
		member.checkpoint = one.checkpoint
		if member.current != nil && member.current.number <= attempt {
			t.stop(member.current, "the gang is broken")
		}
	}
}

// updateJobState moves a job to succeeded or failed if its tasks say so.
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
			if o.left[s] > 0 {
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

// exhausted reports whether a task, or a gang as a whole, has failed as often as the queue allows.
func (t *Term) exhausted(j *job, step []*task) bool {
	if !j.known || j.queue.MaxAttempts <= 0 {
		return false
	}
	failures := 0
	for _, task := range step {
		if task.done {
			continue
		}
		if !task.step.Gang && task.failures >= j.queue.MaxAttempts {
			return true
		}
		failures += task.failures
	}
	return len(step) > 0 && step[0].step.Gang && failures >= j.queue.MaxAttempts
}

func (t *Term) endJob(j *job, state jobs.State) {
	j.state = state
	t.stopAll(j, "the job has ended")
	t.log.Info().Str(logging.KeyRequest, string(j.spec.ID)).Str("queue", j.spec.Queue).Str("state", string(state)).
		Int64("age_ms", t.opts.Now().UnixMilli()-j.spec.Submitted).
		Int64("objective_ms", j.deadline.UnixMilli()-j.spec.Submitted).Msg("job ended")
	t.opts.Metrics.jobEnded(state, t.opts.Now().Sub(time.UnixMilli(j.spec.Submitted)))
	t.touch(j)
}

func (t *Term) findTask(id jobs.Task) *task {
	j := t.jobs[id.Job]
	if j == nil || id.Occurrence < 0 || id.Occurrence >= len(j.occurrences) {
		return nil
	}
	o := j.occurrences[id.Occurrence]
	if o == nil || id.Step < 0 || id.Step >= len(o.steps) || id.Index < 0 || id.Index >= len(o.steps[id.Step]) {
		return nil
	}
	return o.steps[id.Step][id.Index]
}
