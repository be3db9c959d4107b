package execution

import (
	"time"

	"github.com/cockroachdb/errors"

	"bronzehook/duty"
	"bronzehook/jobs"
	"bronzehook/logging"
	"bronzehook/store"
)

// change is what one commit stores of a job.
type change struct {
	job      *job
	sequence uint64
	state    jobs.State
	// conditional says that the public state was compared; wroteState, endedPending and final which rows were written.
	conditional  bool
	wroteState   bool
	endedPending bool
	final        bool
}

// entriesPerJob bounds the entries that one job adds to a transaction.
const entriesPerJob = 7

// commit stores the changed jobs, or renews the duty if nothing has changed for a while. One commit runs at a time.
func (t *Term) commit(now time.Duration) {
	if t.committing || now < t.nextCommit {
		return
	}
	if len(t.dirty) == 0 && now < t.renewAt {
		return
	}
	txn, batch := t.buildCommit()
	if len(batch) == 0 {
		t.addTrim(&txn)
	}
	t.committing = true
	go func() {
		started := time.Now()
		version, err := t.holder.Commit(t.ctx, txn)
		t.opts.Metrics.committed(time.Since(started), err)
		t.post(func() { t.committedBatch(batch, version, err) })
	}()
}

func (t *Term) buildCommit() (store.Txn, []change) {
	var txn store.Txn
	var batch []change
	size := 0
	for len(t.dirty) > 0 && txn.Len()+entriesPerJob < store.MaxEntries-2 && size < store.MaxBytes/2 {
		j := t.dirty[0]
		t.dirty = t.dirty[1:]
		j.dirty = false
		if j.ended {
			continue
		}
		c := t.buildChange(&txn, j)
		if n := len(txn.Puts); n > 0 {
			size += len(txn.Puts[n-1].Value)
		}
		batch = append(batch, c)
	}
	return txn, batch
}

func (t *Term) buildChange(txn *store.Txn, j *job) change {
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
	if j.pending && (j.begun || j.terminal()) {
		txn.Deletes = append(txn.Deletes, store.PendingKey(j.spec.Queue, id))
		c.endedPending = true
	}
	if j.terminal() && j.live == 0 {
		c.final = true
		txn.Deletes = append(txn.Deletes, store.JobKey(id))
		if j.recorded {
			txn.Deletes = append(txn.Deletes, store.ProgressKey(id))
		}
		if j.cancelled {
			txn.Deletes = append(txn.Deletes, store.CancelKey(id))
		}
		return c
	}
	record := t.record(j)
	if len(record.Tasks) > 0 {
		txn.Puts = append(txn.Puts, store.Put{Key: store.ProgressKey(id), Value: jobs.Encode(record)})
		j.recorded = true
	}
	return c
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
					Failures: task.failures, Attempt: task.attempt, Ended: task.ended, Checkpoint: task.checkpoint,
				}
				if task.run != nil {
					entry.Worker = string(task.run.worker.id())
					entry.Born = task.run.worker.born
				}
				record.Tasks = append(record.Tasks, entry)
			}
		}
	}
	return record
}

// committedBatch takes up the result of a commit.
func (t *Term) committedBatch(batch []change, version uint64, err error) {
	now := t.opts.Clock()
	t.committing = false
	t.nextCommit = now + commitGap
	if err != nil {
		t.commitFailed(batch, err)
		return
	}
	t.renewAt = now + duty.RenewEvery
	for _, c := range batch {
		t.committedChange(c, version)
	}
	t.releaseAcks()
}

func (t *Term) committedChange(c change, version uint64) {
	j := c.job
	j.committed = c.sequence
	j.verified = j.verified || c.conditional
	if c.wroteState {
		j.stored, j.stateVersion = c.state, version
	}
	if c.endedPending {
		j.pending = false
	}
	if c.final {
		j.ended = true
		delete(t.jobs, j.spec.ID)
	}
	kept := j.waiting[:0]
	for _, r := range j.waiting {
		switch {
		case r.recordedBy > j.committed:
			kept = append(kept, r)
		case r.task.run == r && r.phase == phaseRecording:
			t.orderStart(r)
		}
	}
	j.waiting = kept
	if !c.final && j.terminal() && j.live == 0 {
		t.touch(j)
	}
}

// commitFailed queues the jobs again. A conflict that is not about the duty comes from a caller who cancelled.
func (t *Term) commitFailed(batch []change, err error) {
	var lost *duty.LostError
	if errors.As(err, &lost) {
		t.fail(err)
		return
	}
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		t.resolveStates(batch, conflict)
	} else {
		t.log.Warn().AnErr("error", err).Int("jobs", len(batch)).Msg("commit failed")
		t.nextCommit = t.opts.Clock() + 3*commitGap
	}
	for _, c := range batch {
		if !c.job.dirty && !c.job.ended {
			c.job.dirty = true
			t.dirty = append(t.dirty, c.job)
		}
	}
}

// resolveStates learns the public states that differ from what was known: a caller has cancelled the job, an earlier
// commit without an answer took effect, or the job had ended before this term read it.
func (t *Term) resolveStates(batch []change, conflict *store.ConflictError) {
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
		t.takeState(j, state.State)
	}
}

// takeState takes up a public state that this term has not written, as far as it knows.
func (t *Term) takeState(j *job, state jobs.State) {
	j.stored = state
	switch {
	case state == jobs.StateCancelled:
		t.cancel(j)
	case state.Terminal():
		t.log.Warn().Str(logging.KeyRequest, string(j.spec.ID)).Str("state", string(state)).Msg("job had ended before")
		j.state = state
		t.stopAll(j, "the job has ended")
		t.touch(j)
	}
}

// releaseAcks lets workers forget ends whose meaning is stored, and looks at these workers at once.
func (t *Term) releaseAcks() {
	for _, w := range t.workers {
		released := 0
		for _, a := range w.acks {
			if a.job != nil && a.job.committed < a.sequence {
				break
			}
			w.seenUpTo = a.number
			released++
		}
		if released > 0 {
			w.acks = w.acks[released:]
			w.nextLook = 0
		}
	}
}
