package execution

import (
	"time"

	"github.com/cockroachdb/errors"

	"bronzehook/jobs"
	"bronzehook/leadership"
	"bronzehook/logging"
	"bronzehook/store"
)

// change is what one commit stores of a job.
type change struct {
	job      *job
	sequence uint64
	state    jobs.State
	// conditional says that the public state was compared; wroteState, endedPending and final which rows were written.
	conditional    bool
	wroteState     bool
	deletedPending bool
	final          bool
}

// maxEntriesPerJob bounds the entries that one job adds to a transaction.
const maxEntriesPerJob = 7

// commit stores what has changed, and renews the duty if no record has changed for a while.
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

func (t *Term) commitStates(l *commitQueue, now time.Duration) {
	if !l.due(now) {
		return
	}
	l.dirty, l.deferred = append(l.dirty, l.deferred...), nil
	txn, batch := t.buildStates(l)
	if len(batch) == 0 {
		l.addPendingDeletes(&txn)
	}
	if txn.Len() == 0 {
		return
	}
	l.committing = true
	go func() {
		started := time.Now()
		version, err := t.opts.Table.Commit(t.ctx, txn)
		t.opts.Metrics.committed(time.Since(started), err)
		t.post(func() { t.statesCommitted(l, batch, version, err) })
	}()
}

// removable reports whether a job has ended and nothing of it may run: its rows can be removed.
func (j *job) removable() bool { return j.terminal() && j.liveAttempts == 0 }

// stateOutdated reports whether the rows of a job that callers see have to be written or compared.
func (j *job) stateOutdated() bool {
	return j.state != j.stored || !j.verified || (j.pending && (j.started || j.terminal())) || j.removable()
}

// buildRecords takes jobs whose progress has changed. A job whose public state was not compared yet waits for that: it may
// have ended before this term read it.
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

// buildStates takes jobs whose rows that callers see are out of date.
func (t *Term) buildStates(l *commitQueue) (store.Txn, []change) {
	var txn store.Txn
	var batch []change
	for len(l.dirty) > 0 && txn.Len() < store.MaxEntries-maxEntriesPerJob {
		j := l.dirty[0]
		l.dirty = l.dirty[1:]
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

// countsInterval is the time between two writings of the counts of pending jobs.
const countsInterval = 500 * time.Millisecond

// maxIntakeReadInterval is the time between two readings of the changes of accepted jobs while there are none.
const maxIntakeReadInterval = intakeWait + 200*time.Millisecond

// addCounts adds the row with the counts of pending jobs, if it is due.
func (t *Term) addCounts(txn *store.Txn, now time.Duration) {
	if now < t.countsAt {
		return
	}
	t.countsAt = now + countsInterval
	// The counts are as old as what is known of accepted jobs.
	known := t.opts.Now().Add(min(0, t.intakeAt+maxIntakeReadInterval-now))
	counts := jobs.Counts{Written: known.UnixMilli(), Pending: make(map[string]int)}
	for _, j := range t.jobs {
		if !j.started && !j.terminal() && !j.spec.Scheduled() {
			counts.Pending[j.spec.Queue]++
		}
	}
	txn.Puts = append(txn.Puts, store.Put{Key: store.CountsKey, Value: jobs.Encode(&counts)})
}

// interferenceSaveInterval is the time between two writings of what was learned about images.
const interferenceSaveInterval = 5 * time.Second

// addInterferenceState adds the row with what was learned about images, if it is due and there is any.
func (t *Term) addInterferenceState(txn *store.Txn, now time.Duration) {
	if now < t.interferenceSaveAt {
		return
	}
	t.interferenceSaveAt = now + interferenceSaveInterval
	experience := t.interference.Export()
	if len(experience.Lowest) > 0 {
		txn.Puts = append(txn.Puts, store.Put{Key: store.InterferenceKey, Value: jobs.Encode(experience)})
	}
}

// maxObsoletePerCommit bounds the records of ended jobs that one commit removes.
const maxObsoletePerCommit = 40

// addObsolete adds the removal of records of ended jobs to a transaction, as far as it has room.
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

// record is what a later term needs to know of a job.
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
				entry := jobs.TaskRecord{
					Occurrence: task.id.Occurrence, Step: task.id.Step, Index: task.id.Index, Done: task.done,
					Failures: task.failures, Attempt: task.attempt, Ended: task.lastEnded, Checkpoint: task.checkpoint,
				}
				if task.current != nil {
					entry.Worker = string(task.current.worker.id())
					entry.Born = task.current.worker.startTime
				}
				record.Tasks = append(record.Tasks, entry)
			}
		}
	}
	return record
}

// recordsCommitted takes up the result of a commit of records.
func (t *Term) recordsCommitted(batch []change, removed []store.Key, err error) {
	now := t.opts.Clock()
	t.records.committing = false
	t.records.next = now + commitGap
	if err != nil {
		t.obsolete = append(t.obsolete, removed...)
		t.commitFailed(&t.records, batch, err, t.markRecord)
		return
	}
	t.records.failures = 0
	t.renewAt = now + leadership.RenewEvery
	for _, c := range batch {
		c.job.committed = c.sequence
		t.sendRecordedStarts(c.job)
	}
	t.releaseAcks()
}

// statesCommitted takes up the result of a commit of public states.
func (t *Term) statesCommitted(l *commitQueue, batch []change, version uint64, err error) {
	l.committing = false
	l.next = t.opts.Clock() + commitGap
	if err != nil {
		t.commitFailed(l, batch, err, t.markState)
		return
	}
	l.failures = 0
	final := false
	for _, c := range batch {
		t.stateCommitted(c, version)
		final = final || c.final
	}
	// Only the removal of a job's rows stores an end; other states wait for the record.
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

// sendRecordedStarts orders the attempts of a job whose record is stored.
func (t *Term) sendRecordedStarts(j *job) {
	kept := j.unsent[:0]
	for _, r := range j.unsent {
		switch {
		case r.recordedBy > j.committed:
			kept = append(kept, r)
		case r.task.current == r && r.phase == phaseRecording:
			t.sendStart(r)
		}
	}
	j.unsent = kept
}

// commitFailed queues the jobs again. A conflict that is not about the duty comes from a caller who cancelled.
func (t *Term) commitFailed(l *commitQueue, batch []change, err error, mark func(*job)) {
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
		l.backOff(t.opts.Clock())
	}
	for _, c := range batch {
		if !c.job.removed {
			mark(c.job)
		}
	}
}

// resolveConflict learns the public states that differ from what was known: a caller has cancelled the job, an earlier
// commit without an answer took effect, or the job had ended before this term read it.
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
				t.log.Error().Str(logging.KeyRequest, string(j.spec.ID)).AnErr("error", err).Msg("state unreadable")
				continue
			}
		}
		t.applyState(j, state.State)
	}
}

// applyState takes up a public state that this term has not written, as far as it knows.
func (t *Term) applyState(j *job, state jobs.State) {
	j.stored = state
	switch {
	case state == jobs.StateCancelled:
		t.cancel(j)
	case state == jobs.StateRunning && j.state == jobs.StateQueued:
		j.state = state
	case state.Terminal():
		t.log.Warn().Str(logging.KeyRequest, string(j.spec.ID)).Str("state", string(state)).Msg("job had ended before")
		j.state = state
		t.stopAll(j, "the job has ended")
		t.touch(j)
	}
}

// releaseAcks lets workers forget ends whose meaning is stored, and looks at these workers at once.
func (t *Term) releaseAcks() {
	for w := range t.workersWithAcks {
		t.releaseAcksOf(w)
	}
}

func (t *Term) releaseAcksOf(w *worker) {
	released := 0
	for _, a := range w.pendingAcks {
		if a.job != nil && a.job.committed < a.sequence {
			break
		}
		w.storedUpTo = a.number
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
