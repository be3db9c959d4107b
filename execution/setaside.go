package execution

import (
	"github.com/cockroachdb/errors"

	"bronzehook/invalid"
	"bronzehook/jobs"
	"bronzehook/logging"
	"bronzehook/store"
	"bronzehook/workers"
)

// SpecMismatchError reports a stored job whose specification names another job.
type SpecMismatchError struct{ Row, Spec jobs.ID }

// Error names both jobs.
func (e *SpecMismatchError) Error() string {
	return "row of job " + string(e.Row) + " holds the specification of job " + string(e.Spec)
}

// decodeSpec decodes and checks the specification of a job. The row may come from another writer than the instance that
// accepted the job.
func decodeSpec(id jobs.ID, row store.Row) (*jobs.Spec, error) {
	spec, err := jobs.Decode[jobs.Spec]("job", row.Value)
	if err != nil {
		return nil, err
	}
	if spec.ID != id {
		return nil, errors.WithStack(&SpecMismatchError{Row: id, Spec: spec.ID})
	}
	return spec, spec.Validate()
}

// guardRow applies a row. If that panics, the row is left out: the rows after it are still applied.
func (t *Term) guardRow(source invalid.Source, row store.Row, apply func(store.Row)) {
	err := t.opts.Guard.Do("row of "+string(source), func() { apply(row) })
	if err == nil {
		return
	}
	t.opts.Invalid.Report(source, row.Name, row.Version, err)
	if source == invalid.SourceRegistration {
		return
	}
	if j := t.jobs[jobOfRow(row)]; j != nil {
		t.setJobAside(j, "its row caused a panic")
	}
}

// jobOfRow returns the job that a row of the intake or a progress record belongs to.
func jobOfRow(row store.Row) jobs.ID {
	if name, _, ok := store.ParseIntake(row.Name); ok && row.Table == store.TableIntake {
		return jobs.ID(name)
	}
	return jobs.ID(row.Name)
}

// setJobAside stops scheduling a job for the rest of the term and stops its attempts. Its rows stay, so that an operator can
// look at them and its caller can still cancel it; only its progress record goes on to tell what has ended.
func (t *Term) setJobAside(j *job, reason string) {
	t.log.Error().Str(logging.KeyRequest, string(j.spec.ID)).Str(logging.KeyReason, reason).Msg("job set aside")
	t.setAside[j.spec.ID] = nil
	delete(t.jobs, j.spec.ID)
	t.stopAll(j, "the job is set aside")
	j.aside, j.unread = true, t.loading
	if !j.unread {
		t.setAside[j.spec.ID] = j
		t.queueRecord(j)
	}
}

// noteAsideTermination handles a termination of a job that is set aside. All that it does is to record it: the next term would
// start a task again of which the worker has forgotten that it was done.
func (t *Term) noteAsideTermination(w *worker, j *job, termination workers.Termination) {
	if a := w.attempts[attemptKey{termination.Task, termination.Attempt}]; a != nil {
		t.detach(a)
	}
	task := j.find(termination.Task)
	if task == nil {
		t.addAck(w, pendingAck{number: termination.Number})
		return
	}
	if task.counts(termination) {
		task.lastEnded = max(task.lastEnded, termination.Attempt)
		switch {
		case termination.Cause == workers.CauseFailed:
			task.noteFailure(termination.Attempt)
		case termination.Cause == workers.CauseDone && !task.step.LongRunning:
			for _, member := range t.gangOf(task) {
				member.done = true
			}
		}
		t.markChanged(j)
	}
	t.addAck(w, pendingAck{number: termination.Number, job: j, sequence: j.sequence})
}
