package execution

import (
	"time"

	"bronzehook/logging"
)

// pendingAck is a termination that is acknowledged to its worker once the change of the job with the given sequence
// number is stored.
type pendingAck struct {
	// number is the termination sequence number.
	number int64
	// job is nil if the task is unknown, so that there is nothing to store.
	job      *job
	sequence uint64
	// since is when the termination was handled.
	since time.Duration
}

// stored reports whether the change that the acknowledgement waits for is stored. Of a removed job nothing has to be.
func (a *pendingAck) stored() bool {
	return a.job == nil || a.job.removed || a.job.committedSequence >= a.sequence
}

// addAck queues the acknowledgement of a termination until the change of its job is stored.
func (t *Term) addAck(w *worker, a pendingAck) {
	a.since = t.opts.Clock()
	w.pendingAcks = append(w.pendingAcks, a)
	t.workersWithAcks[w] = struct{}{}
}

// forgetAcks drops the acknowledgements for an incarnation of a worker that is gone.
func (t *Term) forgetAcks(w *worker) {
	w.pendingAcks = nil
	delete(t.workersWithAcks, w)
}

// releaseAcks lets the next polls acknowledge the terminations whose effect on their job is stored, and makes these
// polls due at once.
func (t *Term) releaseAcks() {
	for w := range t.workersWithAcks {
		t.releaseAcksOf(w)
	}
}

// releaseAcksOf lets the next poll of a worker acknowledge the terminations whose effect on their job is stored, in the
// order of their sequence numbers and up to the first one that is not stored yet.
func (t *Term) releaseAcksOf(w *worker) {
	released := 0
	for i := range w.pendingAcks {
		if !w.pendingAcks[i].stored() {
			break
		}
		w.storedUpTo = w.pendingAcks[i].number
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

// The log names the acknowledgement that has waited longest once that is ackWaitLogAfter, and then once per ackWaitLogInterval.
const (
	ackWaitLogAfter    = 3 * time.Second
	ackWaitLogInterval = 3 * time.Second
)

// watchAcks reports how long the oldest acknowledgement has waited for its change to be stored. A worker lists no newer
// terminations once too many are not acknowledged.
func (t *Term) watchAcks(now time.Duration) {
	var waitsOn *worker
	oldest := now
	for w := range t.workersWithAcks {
		if since := w.pendingAcks[0].since; since < oldest {
			waitsOn, oldest = w, since
		}
	}
	t.opts.Metrics.ackWait.Set((now - oldest).Seconds())
	if now-oldest < ackWaitLogAfter || now < t.ackLogAt {
		return
	}
	t.ackLogAt = now + ackWaitLogInterval
	t.logAckWait(waitsOn, now-oldest)
}

// logAckWait logs what the oldest acknowledgement of a worker waits for.
func (t *Term) logAckWait(w *worker, waited time.Duration) {
	first := &w.pendingAcks[0]
	event := t.log.Warn().Str(logging.KeyWorker, string(w.id())).Dur("waited", waited).Int("waiting", len(w.pendingAcks)).Int64("number", first.number)
	if j := first.job; j != nil {
		event = event.Str(logging.KeyRequest, string(j.spec.ID)).Str("state", string(j.state)).Str("stored_state", string(j.storedState)).
			Uint64("sequence", first.sequence).Uint64("stored_sequence", j.committedSequence).Int("running", j.liveAttempts).
			Bool("verified", j.verified).Bool("removed", j.removed).Bool("record_queued", j.inRecords).Bool("state_queued", j.inStates)
	}
	event.Msg("acknowledgement waits for a commit")
}
