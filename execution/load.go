package execution

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"bronzehook/jobs"
	"bronzehook/leadership"
	"bronzehook/logging"
	"bronzehook/placement"
	"bronzehook/store"
	"bronzehook/workers"
)

// positions are the versions from which the watches go on.
type positions struct{ intake, workers uint64 }

// load reads everything that earlier terms stored.
func (t *Term) load() (positions, error) {
	ctx, stop := t.keepLeadership()
	t.loading = true
	t.intakeAt = t.opts.Clock()
	at, err := t.readTables(ctx)
	t.loading = false
	if lost := stop(); lost != nil {
		return at, lost
	}
	return at, err
}

func (t *Term) readTables(ctx context.Context) (positions, error) {
	var at positions
	intake, err := t.list(ctx, store.TableIntake)
	if err != nil {
		return at, err
	}
	progress, err := t.list(ctx, store.TableProgress)
	if err != nil {
		return at, err
	}
	entries, err := t.list(ctx, t.opts.WorkersTable)
	if err != nil {
		return at, err
	}
	at.intake, at.workers = intake.Version, entries.Version
	for _, row := range entries.Rows {
		t.applyRegistration(row)
	}
	for _, row := range intake.Rows {
		t.applyIntake(row)
	}
	for _, row := range progress.Rows {
		t.applyRecord(row)
	}
	t.restoreInterference()
	return at, nil
}

// restoreInterference takes up what earlier terms learned about images. A term can do without.
func (t *Term) restoreInterference() {
	rows, err := store.ReadRow(t.ctx, t.opts.Table, store.InterferenceKey)
	if err != nil {
		t.log.Warn().AnErr("error", err).Msg("experience not read")
		return
	}
	for _, row := range rows.Rows {
		experience, err := jobs.Decode[jobs.InterferenceState]("experience", row.Value)
		if err != nil {
			t.log.Error().AnErr("error", err).Msg("experience unreadable")
			return
		}
		t.interference.Restore(experience)
		t.log.Info().Int("images", len(experience.Lowest)).Int("pairs", len(experience.Effects)).Msg("experience recalled")
	}
}

// loadRenewInterval is the pause between renewals of the duty while its rows are read, which may take long.
const loadRenewInterval = 300 * time.Millisecond

// keepLeadership renews the duty until the returned function is called, which returns an error if the duty was lost. The context ends then,
// too. Nothing else may be committed meanwhile.
func (t *Term) keepLeadership() (context.Context, func() error) {
	ctx, cancel := context.WithCancel(t.ctx)
	result := make(chan error, 1)
	go func() {
		defer cancel()
		for ctx.Err() == nil {
			_, err := t.leader.Commit(ctx, store.Txn{})
			var lost *leadership.LostError
			if errors.As(err, &lost) {
				result <- err
				return
			}
			leadership.Sleep(ctx, loadRenewInterval)
		}
		result <- nil
	}()
	return ctx, func() error {
		cancel()
		return <-result
	}
}

// list reads a table. It tries again until the duty is lost.
func (t *Term) list(ctx context.Context, table string) (store.Changes, error) {
	for {
		rows, err := store.List(ctx, t.opts.Table, table, "", "")
		if err == nil && rows.Version >= t.leader.Taken() {
			return rows, nil
		}
		if err == nil {
			t.log.Warn().Str("table", table).Uint64("version", rows.Version).Uint64("taken", t.leader.Taken()).
				Msg("excerpt older than the term, read again")
		} else {
			t.log.Warn().Str("table", table).AnErr("error", err).Dur("duty_age", t.leader.Age()).Msg("table not read, read again")
		}
		if ctx.Err() != nil {
			return store.Changes{}, errors.WithStack(ctx.Err())
		}
		leadership.Sleep(ctx, watchRetry/4)
	}
}

// applyRecord restores the progress of a job.
func (t *Term) applyRecord(row store.Row) {
	j := t.jobs[jobs.ID(row.Name)]
	if j == nil {
		// Its job has ended, and the term that ended it did not get as far as removing the record.
		t.obsolete = append(t.obsolete, row.Key)
		return
	}
	record, err := jobs.Decode[jobs.Record]("progress", row.Value)
	if err != nil {
		t.log.Error().Str(logging.KeyRequest, row.Name).AnErr("error", err).Msg("progress unreadable")
		return
	}
	j.recorded = true
	for i := range record.Tasks {
		t.restoreTask(j, &record.Tasks[i])
	}
	t.updateJobState(j)
}

func (t *Term) restoreTask(j *job, r *jobs.TaskRecord) {
	if r.Occurrence >= len(j.occurrences) || r.Step >= len(j.spec.Steps) || r.Index >= j.spec.Steps[r.Step].Count {
		return
	}
	o := t.openOccurrence(j, r.Occurrence)
	task := o.steps[r.Step][r.Index]
	task.failures, task.attempt, task.lastEnded, task.checkpoint = r.Failures, r.Attempt, r.Ended, r.Checkpoint
	j.started = true
	if r.Done {
		task.done = true
		o.left[r.Step]--
		return
	}
	if r.Worker == "" || r.Attempt <= r.Ended {
		return
	}
	w := t.workerOf(workers.ID(r.Worker))
	t.activate(w)
	inherited := &taskAttempt{task: task, number: r.Attempt, worker: w, phase: phaseInherited, progress: -1}
	t.attach(inherited)
	w.leasesExpireAt = max(w.leasesExpireAt, t.inheritedLeaseEnd())
}

// inheritedLeaseEnd is when leases granted by earlier terms have run out: they were granted before this term began.
func (t *Term) inheritedLeaseEnd() time.Duration {
	return t.startedAt + time.Duration(float64(t.opts.AttemptLeaseDuration)*leaseDrift) + 4*leaseMargin
}

// workerOf returns a worker, which is unusable until it has an entry.
func (t *Term) workerOf(id workers.ID) *worker {
	w := t.workers[id]
	if w == nil {
		w = &worker{
			attempts: make(map[attemptKey]*taskAttempt), orphans: make(map[attemptKey]time.Duration),
			node: placement.Node{Entry: workers.Registration{ID: id}},
		}
		w.leasesExpireAt = t.inheritedLeaseEnd()
		t.workers[id] = w
	}
	return w
}

// openOccurrence returns the tasks of an occurrence and makes them if need be.
func (t *Term) openOccurrence(j *job, number int) *occurrence {
	if o := j.occurrences[number]; o != nil {
		return o
	}
	o := &occurrence{
		steps: make([][]*task, len(j.spec.Steps)), left: make([]int, len(j.spec.Steps)), ready: make([]bool, len(j.spec.Steps)),
	}
	now := t.opts.Clock()
	for s := range j.spec.Steps {
		step := &j.spec.Steps[s]
		o.left[s], o.ready[s] = step.Count, len(step.After) == 0
		block := make([]task, step.Count)
		o.steps[s] = make([]*task, step.Count)
		for i := range block {
			block[i] = task{
				job: j, step: step, readyAt: now,
				id: jobs.Task{Job: j.spec.ID, Occurrence: number, Step: s, Index: i},
			}
			o.steps[s][i] = &block[i]
		}
	}
	j.occurrences[number] = o
	return o
}
