package execution

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"bronzehook/invalid"
	"bronzehook/jobs"
	"bronzehook/leadership"
	"bronzehook/placement"
	"bronzehook/store"
	"bronzehook/workers"
)

// watchVersions holds the versions from which the watches continue.
type watchVersions struct{ intake, workers uint64 }

// load reads everything that earlier terms stored.
func (t *Term) load() (watchVersions, error) {
	ctx, stop := t.keepLeadership()
	t.loading = true
	t.intakeReadAt = t.opts.Clock()
	t.freshness.intakeAsOf, t.freshness.registrationsAsOf = t.intakeReadAt, t.intakeReadAt
	at, err := t.readTables(ctx)
	t.loading = false
	if lost := stop(); lost != nil {
		return at, lost
	}
	return at, err
}

// readTables reads the tables and applies their rows. Jobs are applied before their progress records.
func (t *Term) readTables(ctx context.Context) (watchVersions, error) {
	var at watchVersions
	intake, err := t.list(ctx, store.TableIntake)
	if err != nil {
		return at, err
	}
	progress, err := t.list(ctx, store.TableProgress)
	if err != nil {
		return at, err
	}
	registrations, err := t.list(ctx, t.opts.WorkersTable)
	if err != nil {
		return at, err
	}
	at.intake, at.workers = intake.Version, registrations.Version
	for _, row := range registrations.Rows {
		t.guardRow(invalid.SourceRegistration, row, t.applyRegistration)
	}
	for _, row := range intake.Rows {
		t.guardRow(invalid.SourceJob, row, t.applyIntake)
	}
	for _, row := range progress.Rows {
		t.guardRow(invalid.SourceProgress, row, t.applyRecord)
	}
	t.restoreInterference()
	return at, nil
}

// restoreInterference restores the interference model state that earlier terms saved. The term continues without it if
// it cannot be read.
func (t *Term) restoreInterference() {
	rows, err := store.ReadRow(t.ctx, t.opts.Table, store.InterferenceKey)
	if err != nil {
		t.log.Warn().AnErr("error", err).Msg("experience not read")
		return
	}
	for _, row := range rows.Rows {
		state, err := jobs.Decode[jobs.InterferenceState]("experience", row.Value)
		if err != nil {
			t.log.Error().AnErr("error", err).Msg("experience unreadable")
			return
		}
		t.interference.Restore(state)
		t.log.Info().Int("images", len(state.Lowest)).Int("pairs", len(state.Effects)).Msg("experience recalled")
	}
}

// loadRenewInterval is the interval between renewals of the leadership lease while tables are read, which may take
// long.
const loadRenewInterval = 300 * time.Millisecond

// keepLeadership renews the leadership lease until the returned function is called, which returns an error if
// leadership was lost. The returned context is cancelled by that call or by the loss. Nothing else may be committed
// meanwhile.
func (t *Term) keepLeadership() (context.Context, func() error) {
	ctx, cancel := context.WithCancel(t.ctx)
	result := make(chan error, 1)
	t.spawn("leadership renewal", func() {
		defer close(result)
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
	})
	return ctx, func() error {
		cancel()
		return <-result
	}
}

// list reads a table. It retries until ctx is done, or the rows are at least as new as the acquisition of leadership.
func (t *Term) list(ctx context.Context, table string) (store.Changes, error) {
	for {
		rows, err := store.List(ctx, t.opts.Table, table, "", "")
		if err == nil && rows.Version >= t.leader.AcquiredVersion() {
			return rows, nil
		}
		if err == nil {
			t.log.Warn().Str("table", table).Uint64("version", rows.Version).Uint64("taken", t.leader.AcquiredVersion()).
				Msg("excerpt older than the term, read again")
		} else {
			t.log.Warn().Str("table", table).AnErr("error", err).Dur("duty_age", t.leader.Age()).Msg("table not read, read again")
		}
		if ctx.Err() != nil {
			return store.Changes{}, errors.WithStack(ctx.Err())
		}
		leadership.Sleep(ctx, watchRetryDelay/4)
	}
}

// applyRecord restores the progress of a job from its record.
func (t *Term) applyRecord(row store.Row) {
	j := t.jobs[jobs.ID(row.Name)]
	if _, aside := t.setAside[jobs.ID(row.Name)]; aside && j == nil {
		return
	}
	if j == nil {
		// The job has ended, and the term that ended it was over before it deleted the record.
		t.obsoleteRecords = append(t.obsoleteRecords, row.Key)
		return
	}
	record, err := jobs.Decode[jobs.Record]("progress", row.Value)
	if err == nil {
		err = record.Validate(j.spec)
	}
	if err != nil {
		// Without its progress the job must not run: tasks that are done would run again.
		t.opts.Invalid.Report(invalid.SourceProgress, row.Name, row.Version, err)
		t.setJobAside(j, "progress record is invalid")
		return
	}
	j.recorded = true
	for i := range record.Tasks {
		t.restoreTask(j, &record.Tasks[i])
	}
	j.restoreGangFailures()
	t.updateJobState(j)
}

// restoreTask restores the progress of a task from a valid record. If an attempt may be running, the task has it as an inherited one.
func (t *Term) restoreTask(j *job, record *jobs.TaskRecord) {
	o := t.openOccurrence(j, record.Occurrence)
	task := o.steps[record.Step][record.Index]
	task.failures, task.attempt, task.lastEnded, task.checkpoint = record.Failures, record.Attempt, record.Ended, record.Checkpoint
	// An attempt is recorded before its start command is sent, so that a recorded attempt alone shows no start.
	j.started = j.started || record.Done || record.Failures > 0 || record.Checkpoint != ""
	if record.Done {
		task.done = true
		o.remaining[record.Step]--
		return
	}
	if record.Worker == "" || record.Attempt <= record.Ended {
		return
	}
	w := t.workerOf(workers.ID(record.Worker))
	t.activate(w)
	inherited := &taskAttempt{task: task, number: record.Attempt, worker: w, workerStartTime: record.Born, phase: phaseInherited, progress: -1}
	t.attach(inherited)
	w.leasesExpireAt = max(w.leasesExpireAt, t.inheritedLeaseExpiry())
}

// inheritedLeaseExpiry returns when all attempt leases of earlier terms have expired: they were granted before this
// term began.
func (t *Term) inheritedLeaseExpiry() time.Duration {
	return t.startedAt + time.Duration(float64(t.opts.AttemptLeaseDuration)*maxClockDriftFactor) + 4*leaseExpiryMargin
}

// workerOf returns the worker with an ID, which it adds if it is unknown. A worker is not usable until it is registered.
func (t *Term) workerOf(id workers.ID) *worker {
	w := t.workers[id]
	if w == nil {
		w = &worker{
			incarnation: t.firstIncarnation,
			attempts:    make(map[attemptKey]*taskAttempt), orphans: make(map[attemptKey]time.Duration),
			node: placement.Node{Registration: workers.Registration{ID: id}, Colocations: t.colocations},
		}
		w.leasesExpireAt = t.inheritedLeaseExpiry()
		t.workers[id] = w
	}
	return w
}

// openOccurrence returns an occurrence of a job and creates its tasks if need be.
func (t *Term) openOccurrence(j *job, number int) *occurrence {
	if o := j.occurrences[number]; o != nil {
		return o
	}
	o := &occurrence{
		steps: make([][]*task, len(j.spec.Steps)), remaining: make([]int, len(j.spec.Steps)), ready: make([]bool, len(j.spec.Steps)),
	}
	now := t.opts.Clock()
	for s := range j.spec.Steps {
		step := &j.spec.Steps[s]
		o.remaining[s], o.ready[s] = step.Count, len(step.After) == 0
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
