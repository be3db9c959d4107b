package execution

import (
	"time"

	"github.com/cockroachdb/errors"

	"bronzehook/jobs"
	"bronzehook/leadership"
	"bronzehook/logging"
	"bronzehook/store"
)

// change describes what one commit stores for a job.
type change struct {
	job      *job
	sequence uint64
	state    jobs.State
	// conditional is set if the commit compares the public state, wroteState if it writes it, deletedPending if it deletes the
	// pending row, and final if it deletes the rows of a finished job.
	conditional    bool
	wroteState     bool
	deletedPending bool
	final          bool
}

// maxEntriesPerJob bounds the entries that one job adds to a transaction.
const maxEntriesPerJob = 7

// commit stores what has changed, and renews the leadership lease if no record has changed for a while.
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
	go func() {
		started := time.Now()
		_, err := t.leader.Commit(t.ctx, txn)
		t.opts.Metrics.committed(time.Since(started), err)
		t.post(func() { t.recordsCommitted(batch, removed, err) })
	}()
}

func (t *Term) commitStates(q *commitQueue, now time.Duration) {
	if !q.due(now) {
		return
	}
	q.dirty, q.deferred = append(q.dirty, q.deferred...), nil
	txn, batch := t.buildStates(q)
	if len(batch) == 0 {
		q.addPendingDeletes(&txn)
	}
	if txn.Len() == 0 {
		return
	}
	q.committing = true
	go func() {
		started := time.Now()
		version, err := t.opts.Table.Commit(t.ctx, txn)
		t.opts.Metrics.committed(time.Since(started), err)
		t.post(func() { t.statesCommitted(q, batch, version, err) })
	}()
}

// removable reports whether a job has ended and has no live attempts, so that its rows can be deleted.
func (j *job) removable() bool { return j.terminal() && j.liveAttempts == 0 }

// stateOutdated reports whether the rows of a job that callers can read have to be written or compared.
func (j *job) stateOutdated() bool {
	return j.state != j.stored || !j.verified || (j.pending && (j.started || j.terminal())) || j.removable()
}

// buildRecords builds a transaction from jobs whose progress has changed. A job that is not verified yet is left out until its
// public state has been compared: it may have ended before this term read it.
func (t *Term) buildRecords() (store.Txn, []change) {
	var txn store.Txn
	var batch []change
	size := 0
	for len(t.records.dirty) > 0 && txn.Len() < store.MaxEntries-maxEntriesPerJob && size < store.MaxBytes/2 {
		j := t.records.dirty[0]
		t.records.dirty = t.records.dirty[1:]
		j.inRecords = false
		if j.removed || j.removable() || !j.verified || j.sequence == j.committed {
			continue
		}
		record := t.record(j)
		if len(record.Tasks) > 0 {
			put := store.Put{Key: store.ProgressKey(string(j.spec.ID)), Value: jobs.Encode(record)}
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
		if j.removed || !j.stateOutdated() {
			continue
		}
		batch = append(batch, t.buildState(&txn, j))
	}
	return txn, batch
}

func (t *Term) buildState(txn *store.Txn, j *job) change {
	id := string(j.spec.ID)
	c := change{job: j, sequence: j.sequence, state: j.state}
	if j.state != j.stored || !j.verified {
		c.conditional = true
		txn.Conditions = append(txn.Conditions, store.Condition{Key: store.StateKey(id), Version: j.stateVersion})
	}
	if j.state != j.stored {
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
	if now < t.countsAt {
		return
	}
	t.countsAt = now + countsInterval
	// The counts are dated by the last read of the intake table.
	asOf := t.opts.Now().Add(min(0, t.intakeAt+maxIntakeReadInterval-now))
	counts := jobs.Counts{Written: asOf.UnixMilli(), Pending: make(map[string]int)}
	for _, j := range t.jobs {
		if !j.started && !j.terminal() && !j.spec.Scheduled() {
			counts.Pending[j.spec.Queue]++
		}
	}
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
	n := min(len(t.obsolete), maxObsoletePerCommit, store.MaxEntries-maxEntriesPerJob-txn.Len())
	if n <= 0 {
		return nil
	}
	removed := t.obsolete[:n:n]
	t.obsolete = t.obsolete[n:]
	txn.Deletes = append(txn.Deletes, removed...)
	return removed
}

// record returns the progress record from which a later term restores a job.
func (t *Term) record(j *job) *jobs.Record {
	record := &jobs.Record{}
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		for _, step := range o.steps {
			for _, task := range step {
				if task.attempt == 0 {
					continue
				}
				taskRecord := jobs.TaskRecord{
					Occurrence: task.id.Occurrence, Step: task.id.Step, Index: task.id.Index, Done: task.done,
					Failures: task.failures, Attempt: task.attempt, Ended: task.lastEnded, Checkpoint: task.checkpoint,
				}
				if task.current != nil {
					taskRecord.Worker = string(task.current.worker.id())
					taskRecord.Born = task.current.worker.startTime
				}
				record.Tasks = append(record.Tasks, taskRecord)
			}
		}
	}
	return record
}

// recordsCommitted handles the result of a commit of records.
func (t *Term) recordsCommitted(batch []change, removed []store.Key, err error) {
	now := t.opts.Clock()
	t.records.committing = false
	t.records.next = now + minCommitInterval
	if err != nil {
		t.obsolete = append(t.obsolete, removed...)
		t.commitFailed(&t.records, batch, err, t.markRecord)
		return
	}
	t.records.failures = 0
	t.renewAt = now + leadership.RenewInterval
	for _, c := range batch {
		c.job.committed = c.sequence
		t.sendRecordedStarts(c.job)
	}
	t.releaseAcks()
}

// statesCommitted handles the result of a commit of public states.
func (t *Term) statesCommitted(q *commitQueue, batch []change, version uint64, err error) {
	q.committing = false
	q.next = t.opts.Clock() + minCommitInterval
	if err != nil {
		t.commitFailed(q, batch, err, t.markState)
		return
	}
	q.failures = 0
	final := false
	for _, c := range batch {
		t.stateCommitted(c, version)
		final = final || c.final
	}
	// Among commits of states, only the deletion of a job's rows makes its terminations durable; otherwise the record does.
	if final {
		t.releaseAcks()
	}
}

func (t *Term) stateCommitted(c change, version uint64) {
	j := c.job
	if c.wroteState {
		j.stored, j.stateVersion = c.state, version
	}
	if c.deletedPending {
		j.pending = false
	}
	if c.conditional && !j.verified {
		j.verified = true
		t.markRecord(j)
	}
	if c.final {
		j.committed = c.sequence
		j.removed = true
		delete(t.jobs, j.spec.ID)
		if j.recorded {
			t.obsolete = append(t.obsolete, store.ProgressKey(string(j.spec.ID)))
		}
		return
	}
	if j.stateOutdated() {
		t.markState(j)
	}
}

// sendRecordedStarts sends the start commands of attempts that are now in the stored record of their job.
func (t *Term) sendRecordedStarts(j *job) {
	remaining := j.unsent[:0]
	for _, a := range j.unsent {
		switch {
		case a.recordedBy > j.committed:
			remaining = append(remaining, a)
		case a.task.current == a && a.phase == phaseRecording:
			t.sendStart(a)
		}
	}
	j.unsent = remaining
}

// commitFailed handles a failed commit and queues its jobs again. A conflict on anything but the leadership lease is one on a
// public state.
func (t *Term) commitFailed(q *commitQueue, batch []change, err error, mark func(*job)) {
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
			mark(c.job)
		}
	}
}

// resolveConflict applies the public states that differ from the expected ones: a caller has cancelled the job, an earlier
// commit took effect although its response was lost, or the job had ended before this term read it.
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
	j.stored = state
	switch {
	case state == jobs.StateCancelled:
		t.cancel(j)
	case state == jobs.StateRunning && j.state == jobs.StateQueued:
		j.state = state
	case state.Terminal():
		t.log.Warn().Str(logging.KeyRequest, string(j.spec.ID)).Str("state", string(state)).Msg("job has ended already according to its stored state")
		j.state = state
		t.stopAll(j, "the job has ended")
		t.touch(j)
	}
}

// releaseAcks acknowledges terminations whose effect on the job is stored, and makes polls of their workers due at once.
func (t *Term) releaseAcks() {
	for w := range t.workersWithAcks {
		t.releaseAcksOf(w)
	}
}

func (t *Term) releaseAcksOf(w *worker) {
	released := 0
	for _, ack := range w.pendingAcks {
		if ack.job != nil && ack.job.committed < ack.sequence {
			break
		}
		w.storedUpTo = ack.number
		released++
	}
	if released > 0 {
		w.pendingAcks = w.pendingAcks[released:]
		w.nextPoll = 0
		t.passDue = true
	}
	if len(w.pendingAcks) == 0 {
		delete(t.workersWithAcks, w)
	}
}
