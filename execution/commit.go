package execution

import (
	"time"

	"github.com/cockroachdb/errors"

	"bronzehook/jobs"
	"bronzehook/leadership"
	"bronzehook/logging"
	"bronzehook/store"
)

// change is what one commit stores for a job.
type change struct {
	job      *job
	sequence uint64
	state    jobs.State
	// conditional is set if the commit compares the public state, wroteState if it writes it, deletedPending if it
	// deletes the pending row, and final if it deletes the rows of a finished job.
	conditional    bool
	wroteState     bool
	deletedPending bool
	final          bool
}

// maxEntriesPerJob bounds the conditions, puts and deletes that one job adds to a transaction.
const maxEntriesPerJob = 7

// commit starts the commits that are due. The commits of records also renew the leadership lease, so that one is sent
// although no record has changed when the lease is due for renewal.
func (t *Term) commit(now time.Duration) {
	if t.records.ready(now) {
		t.commitRecords(now)
	}
	for group := range t.states {
		if t.states[group].ready(now) {
			t.commitStates(&t.states[group], now)
		}
	}
}

// commitRecords starts a commit of progress records, which also renews the leadership lease.
func (t *Term) commitRecords(now time.Duration) {
	if len(t.records.dirty) == 0 && now < t.renewAt {
		return
	}
	txn, batch := t.buildRecords()
	if len(batch) == 0 && now < t.renewAt {
		return
	}
	t.addCounts(&txn, now)
	t.addInterferenceState(&txn, now)
	removed := t.addObsolete(&txn)
	t.records.committing = true
	t.spawn("record commit", func() {
		started := time.Now()
		_, err := t.leader.Commit(t.ctx, txn)
		t.opts.Metrics.committed(time.Since(started), err)
		t.post(func() { t.recordsCommitted(batch, removed, err) })
	})
}

// commitStates starts a commit of the public states, or else of the deletes of expired rows, of one group of jobs.
func (t *Term) commitStates(q *commitQueue, now time.Duration) {
	if !q.due(now) {
		return
	}
	q.dirty, q.deferred = append(q.dirty, q.deferred...), nil
	txn, batch := t.buildStates(q)
	if len(batch) == 0 {
		q.addExpiredStateDeletes(&txn)
	}
	if txn.Len() == 0 {
		return
	}
	q.committing = true
	t.spawn("state commit", func() {
		started := time.Now()
		version, err := t.opts.Table.Commit(t.ctx, txn)
		t.opts.Metrics.committed(time.Since(started), err)
		t.post(func() { t.statesCommitted(q, batch, version, err) })
	})
}

// removable reports whether a job has ended and has no live attempts, so that its rows can be deleted.
func (j *job) removable() bool { return j.terminal() && j.liveAttempts == 0 }

// stateOutdated reports whether the public rows of a job (its public state, pending row and accepted job) have to be
// written, compared or deleted.
func (j *job) stateOutdated() bool {
	return j.state != j.storedState || !j.verified || (j.pending && (j.started || j.terminal())) || j.removable()
}

// recordable reports whether the progress record of a job may be stored. One that is not verified yet may have ended before
// this term read it; stateCommitted queues it again. That of a removable job is about to be deleted. A job that is set aside is
// neither verified nor removed by this term; if its progress is not known, its record must not be replaced.
func (j *job) recordable() bool {
	switch {
	case j.removed:
		return false
	case j.aside:
		return !j.unread
	}
	return j.verified && !j.removable()
}

// buildRecords builds a transaction from jobs whose progress has changed.
func (t *Term) buildRecords() (store.Txn, []change) {
	var txn store.Txn
	var batch []change
	size := 0
	t.records.promoteUrgent()
	for len(t.records.dirty) > 0 && txn.Len() < store.MaxEntries-maxEntriesPerJob && size < store.MaxBytes/2 {
		j := t.records.dirty[0]
		t.records.dirty = t.records.dirty[1:]
		j.inRecords = false
		if !j.recordable() || j.sequence == j.committedSequence {
			continue
		}
		t.recordEntries = j.appendRecord(t.recordEntries[:0])
		if len(t.recordEntries) > 0 {
			put := store.Put{Key: store.ProgressKey(string(j.spec.ID)), Value: j.encoder.Encode(t.recordEntries)}
			txn.Puts = append(txn.Puts, put)
			size += len(put.Value)
			j.recorded = true
		}
		batch = append(batch, change{job: j, sequence: j.sequence})
	}
	return txn, batch
}

// buildStates builds a transaction from jobs whose public rows are out of date.
func (t *Term) buildStates(q *commitQueue) (store.Txn, []change) {
	var txn store.Txn
	var batch []change
	for len(q.dirty) > 0 && txn.Len() < store.MaxEntries-maxEntriesPerJob {
		j := q.dirty[0]
		q.dirty = q.dirty[1:]
		j.inStates = false
		if j.excluded() || !j.stateOutdated() {
			continue
		}
		batch = append(batch, t.buildState(&txn, j))
	}
	return txn, batch
}

// buildState adds the public rows of a job that are out of date to a transaction.
func (t *Term) buildState(txn *store.Txn, j *job) change {
	id := string(j.spec.ID)
	c := change{job: j, sequence: j.sequence, state: j.state}
	if j.state != j.storedState || !j.verified {
		c.conditional = true
		txn.Conditions = append(txn.Conditions, store.Condition{Key: store.StateKey(id), Version: j.stateVersion})
	}
	if j.state != j.storedState {
		state := jobs.PublicState{State: j.state, Queue: j.spec.Queue, Changed: t.opts.Now().UnixMilli()}
		txn.Puts = append(txn.Puts, store.Put{Key: store.StateKey(id), Value: jobs.Encode(&state)})
		c.wroteState = true
	}
	if j.pending && (j.started || j.terminal()) {
		txn.Deletes = append(txn.Deletes, store.PendingKey(j.spec.Queue, id))
		c.deletedPending = true
	}
	if j.removable() {
		c.final = true
		txn.Deletes = append(txn.Deletes, store.JobKey(id))
		if j.cancelled {
			txn.Deletes = append(txn.Deletes, store.CancelKey(id))
		}
	}
	return c
}

// countsInterval is the time between two writes of the counts of pending jobs.
const countsInterval = 500 * time.Millisecond

// maxIntakeReadInterval is the time between two reads of the intake table while it does not change.
const maxIntakeReadInterval = intakeWatchWait + 200*time.Millisecond

// addCounts adds the row with the counts of pending jobs to a transaction if it is due.
func (t *Term) addCounts(txn *store.Txn, now time.Duration) {
	if now < t.countsDueAt {
		return
	}
	t.countsDueAt = now + countsInterval
	// Jobs accepted after the last read of the intake table are not counted, so the counts are dated by that read.
	asOf := t.opts.Now().Add(min(0, t.intakeReadAt+maxIntakeReadInterval-now))
	counts := jobs.Counts{Written: asOf.UnixMilli(), Pending: make(map[string]int)}
	for _, j := range t.jobs {
		if !j.started && !j.terminal() && !j.spec.Scheduled() {
			counts.Pending[j.spec.Queue]++
		}
	}
	counts.Forecasts = t.forecasts(now)
	txn.Puts = append(txn.Puts, store.Put{Key: store.CountsKey, Value: jobs.Encode(&counts)})
}

// interferenceSaveInterval is the time between two writes of the interference model state.
const interferenceSaveInterval = 5 * time.Second

// addInterferenceState adds the row with the interference model state to a transaction if it is due and not empty.
func (t *Term) addInterferenceState(txn *store.Txn, now time.Duration) {
	if now < t.interferenceSaveAt {
		return
	}
	t.interferenceSaveAt = now + interferenceSaveInterval
	state := t.interference.Export()
	if len(state.Lowest) > 0 {
		txn.Puts = append(txn.Puts, store.Put{Key: store.InterferenceKey, Value: jobs.Encode(state)})
	}
}

// maxObsoletePerCommit bounds the records of ended jobs that one commit deletes.
const maxObsoletePerCommit = 40

// addObsolete adds deletes of records of ended jobs to a transaction, as many as fit, and returns their keys.
func (t *Term) addObsolete(txn *store.Txn) []store.Key {
	n := min(len(t.obsoleteRecords), maxObsoletePerCommit, store.MaxEntries-maxEntriesPerJob-txn.Len())
	if n <= 0 {
		return nil
	}
	removed := t.obsoleteRecords[:n:n]
	t.obsoleteRecords = t.obsoleteRecords[n:]
	txn.Deletes = append(txn.Deletes, removed...)
	return removed
}

// appendRecord appends the entries of the progress record of a job, from which a later term restores it.
func (j *job) appendRecord(entries []jobs.TaskRecord) []jobs.TaskRecord {
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		for s, step := range o.steps {
			first := len(entries)
			for _, task := range step {
				if task.attempt > 0 {
					entries = append(entries, task.record())
				}
			}
			if f := o.gangFailures[s]; f != nil {
				f.store(entries[first:])
			}
		}
	}
	return entries
}

// record returns the entry of a task in the progress record of its job.
func (t *task) record() jobs.TaskRecord {
	r := jobs.TaskRecord{
		Occurrence: t.id.Occurrence, Step: t.id.Step, Index: t.id.Index, Done: t.done,
		Failures: t.failures, Attempt: t.attempt, Ended: t.lastEnded, Checkpoint: t.checkpoint,
	}
	if t.current != nil {
		r.Worker = string(t.current.worker.id())
		r.Born = t.current.workerStartTime
	}
	return r
}

// recordsCommitted handles the result of a commit of progress records.
func (t *Term) recordsCommitted(batch []change, removed []store.Key, err error) {
	now := t.opts.Clock()
	t.records.committing = false
	t.records.nextCommit = now + minCommitInterval
	if err != nil {
		t.obsoleteRecords = append(t.obsoleteRecords, removed...)
		t.commitFailed(&t.records, batch, err, t.queueRecord)
		return
	}
	t.records.failures = 0
	t.renewAt = now + leadership.RenewInterval
	for _, c := range batch {
		c.job.committedSequence = c.sequence
		t.sendRecordedStarts(c.job)
	}
	t.releaseAcks()
}

// statesCommitted handles the result of a commit of public states.
func (t *Term) statesCommitted(q *commitQueue, batch []change, version uint64, err error) {
	q.committing = false
	q.nextCommit = t.opts.Clock() + minCommitInterval
	if err != nil {
		t.commitFailed(q, batch, err, t.queueState)
		return
	}
	q.failures = 0
	final := false
	for _, c := range batch {
		t.stateCommitted(c, version)
		final = final || c.final
	}
	// Terminations are made durable by the progress record of their job, or by the deletion of the job's rows.
	if final {
		t.releaseAcks()
	}
}

// stateCommitted applies a successful commit of public states to one of its jobs.
func (t *Term) stateCommitted(c change, version uint64) {
	j := c.job
	if c.wroteState {
		j.storedState, j.stateVersion = c.state, version
	}
	if c.deletedPending {
		j.pending = false
	}
	if c.conditional && !j.verified {
		j.verified = true
		t.queueRecord(j)
	}
	if c.final {
		j.removed = true
		delete(t.jobs, j.spec.ID)
		if j.recorded {
			t.obsoleteRecords = append(t.obsoleteRecords, store.ProgressKey(string(j.spec.ID)))
		}
		return
	}
	if j.stateOutdated() {
		t.queueState(j)
	}
}

// sendRecordedStarts sends the start commands of those attempts of a job whose progress record has been stored.
func (t *Term) sendRecordedStarts(j *job) {
	remaining := j.unsent[:0]
	for _, a := range j.unsent {
		switch {
		case a.recordSequence > j.committedSequence:
			remaining = append(remaining, a)
		case a.task.current == a && a.phase == phaseRecording:
			t.sendStart(a)
		}
	}
	j.unsent = remaining
}

// commitFailed handles a failed commit and queues its jobs again by calling requeue. A conflict is one on a public
// state; a conflict on the leadership lease is reported as LostError.
func (t *Term) commitFailed(q *commitQueue, batch []change, err error, requeue func(*job)) {
	var lost *leadership.LostError
	if errors.As(err, &lost) {
		t.fail(err)
		return
	}
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		t.resolveConflict(batch, conflict)
	} else {
		t.log.Warn().AnErr("error", err).Int("jobs", len(batch)).Msg("commit failed")
		q.backOff(t.opts.Clock())
	}
	for _, c := range batch {
		if !c.job.removed {
			requeue(c.job)
		}
	}
}

// resolveConflict applies the public states that differ from the expected ones: a caller has cancelled the job, an
// earlier commit took effect although its response was lost, or the job had ended before this term read it.
func (t *Term) resolveConflict(batch []change, conflict *store.ConflictError) {
	for _, c := range batch {
		j := c.job
		if !c.conditional {
			continue
		}
		current := conflict.Find(store.StateKey(string(j.spec.ID)))
		if current.Version == j.stateVersion {
			continue
		}
		j.stateVersion = current.Version
		state := &jobs.PublicState{State: jobs.StateCancelled}
		if current.Version != 0 {
			var err error
			if state, err = jobs.Decode[jobs.PublicState]("state", current.Value); err != nil {
				t.log.Error().Str(logging.KeyRequest, string(j.spec.ID)).AnErr("error", err).Msg("public state cannot be decoded")
				continue
			}
		}
		t.applyState(j, state.State)
	}
}

// applyState applies a stored public state that this term did not write, or wrote without receiving a response.
func (t *Term) applyState(j *job, state jobs.State) {
	j.storedState = state
	switch {
	case state == jobs.StateCancelled:
		t.cancel(j)
	case state == jobs.StateRunning && j.state == jobs.StateQueued:
		j.state, j.started = state, true
	case state.Terminal():
		t.log.Warn().Str(logging.KeyRequest, string(j.spec.ID)).Str("state", string(state)).Msg("job has ended already according to its stored state")
		j.state = state
		t.stopAll(j, "the job has ended")
		t.markChanged(j)
	}
}
