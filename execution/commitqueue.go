package execution

import (
	"slices"
	"time"

	"bronzehook/store"
)

// A term stores its changes through several commit queues, so that an overloaded part of the store delays only the rows in
// that part. Progress records are stored in the same part as the leadership lease: start commands wait for them, and each of
// their commits renews the lease. Public states are stored in the parts that callers write to, with one commit queue per
// group of jobs. A commit of states is not conditional on leadership and may take effect late: it stores what workers have
// reported, on condition that the state it replaces is unchanged.

// commitQueue holds the jobs with rows to store. It has at most one commit in flight.
type commitQueue struct {
	dirty      []*job
	committing bool
	next       time.Duration
	// failures counts the consecutive failed commits.
	failures int
	// deferred holds jobs whose rows may wait until deferredUntil, so that several jobs share a commit.
	deferred      []*job
	deferredUntil time.Duration
	// pendingDeletes holds the keys of rows to delete when there is nothing else to store.
	pendingDeletes []store.Key
}

// maxStateDelay bounds how long the public state of a started job may lag behind.
const maxStateDelay = time.Second

// due reports whether a commit queue of public states has something to store.
func (q *commitQueue) due(now time.Duration) bool {
	return len(q.dirty) > 0 || len(q.pendingDeletes) > 0 || (len(q.deferred) > 0 && now >= q.deferredUntil)
}

// ready reports whether the queue may commit now.
func (q *commitQueue) ready(now time.Duration) bool { return !q.committing && now >= q.next }

// wait returns the time until the queue may commit its dirty jobs; 0 if it has none or a commit is in flight.
func (q *commitQueue) wait(now time.Duration) time.Duration {
	if len(q.dirty) == 0 || q.committing {
		return 0
	}
	return max(q.next-now, time.Millisecond)
}

// Delays before the next commit after a failed one. They double with each consecutive failure: otherwise each commit queue
// would call a store that rejects everything at once 20 times a second.
const (
	minCommitRetryDelay = 3 * minCommitInterval
	maxCommitRetryDelay = 8 * minCommitRetryDelay
)

// backOff delays the next commit after a failure.
func (q *commitQueue) backOff(now time.Duration) {
	q.next = now + min(maxCommitRetryDelay, minCommitRetryDelay<<min(q.failures, maxCommitRetryShift))
	q.failures++
}

// maxCommitRetryShift keeps the shift of minCommitRetryDelay from overflowing; the delay reaches maxCommitRetryDelay before.
const maxCommitRetryShift = 8

// markRecord queues a job to have its progress record stored.
func (t *Term) markRecord(j *job) {
	if !j.inRecords {
		j.inRecords = true
		t.records.dirty = append(t.records.dirty, j)
	}
}

// markState queues a job to have its public state stored or compared, at once if the job has ended or is not verified yet.
func (t *Term) markState(j *job) {
	q := &t.states[store.GroupOf(string(j.spec.ID))]
	atOnce := !j.verified || j.terminal()
	if j.inStates {
		if i := slices.Index(q.deferred, j); atOnce && i >= 0 {
			q.deferred = slices.Delete(q.deferred, i, i+1)
			q.dirty = append(q.dirty, j)
		}
		return
	}
	j.inStates = true
	if atOnce {
		q.dirty = append(q.dirty, j)
		return
	}
	if len(q.deferred) == 0 {
		q.deferredUntil = t.opts.Clock() + maxStateDelay
	}
	q.deferred = append(q.deferred, j)
}
