package execution

import (
	"slices"
	"time"

	"bronzehook/store"
)

// A term stores its changes through several commit queues, so that an overloaded part of the store delays only the rows
// in that part. Progress records are in the same part as the leadership lease: start commands wait for them, and each
// of their commits renews the lease. Public states are in the parts that callers write to, with one commit queue per
// group of jobs. A commit of states is not conditional on leadership and may take effect late: it stores what workers
// have reported, on condition that the state it replaces is unchanged.

// commitQueue holds the jobs with rows to store. It has at most one commit in flight.
type commitQueue struct {
	// dirty holds the jobs whose rows are to be stored by the next commit, which may start at nextCommit.
	dirty      []*job
	committing bool
	nextCommit time.Duration
	// failures counts the consecutive failed commits.
	failures int
	// deferred holds jobs whose rows wait until deferredUntil, so that several jobs share a commit.
	deferred      []*job
	deferredUntil time.Duration
	// expiredStateKeys holds the keys of expired rows, which are deleted when there is nothing else to store.
	expiredStateKeys []store.Key
}

// maxStateDelay bounds how long the stored public state of a started job may be out of date so that jobs share a commit.
const maxStateDelay = time.Second

// maxUrgentRecords bounds the records that are stored out of turn by one commit, so that others are stored as well.
const maxUrgentRecords = store.MaxEntries / 2

// promoteUrgent moves the jobs of top priority to the front of the dirty ones, up to maxUrgentRecords. Start commands wait
// for their records, and on a busy fleet more jobs change than one commit can store.
func (q *commitQueue) promoteUrgent() {
	if len(q.dirty) <= maxUrgentRecords {
		return
	}
	urgent := make([]*job, 0, maxUrgentRecords)
	others := make([]*job, 0, len(q.dirty))
	for _, j := range q.dirty {
		if len(urgent) < maxUrgentRecords && j.queueKnown && j.queue.Priority == 0 {
			urgent = append(urgent, j)
			continue
		}
		others = append(others, j)
	}
	q.dirty = append(urgent, others...)
}

// due reports whether a commit queue of public states has something to store.
func (q *commitQueue) due(now time.Duration) bool {
	return len(q.dirty) > 0 || len(q.expiredStateKeys) > 0 || (len(q.deferred) > 0 && now >= q.deferredUntil)
}

// ready reports whether the queue may commit now.
func (q *commitQueue) ready(now time.Duration) bool { return !q.committing && now >= q.nextCommit }

// wait returns the time until the queue may commit its dirty jobs; 0 if it has none or a commit is in flight.
func (q *commitQueue) wait(now time.Duration) time.Duration {
	if len(q.dirty) == 0 || q.committing {
		return 0
	}
	return max(q.nextCommit-now, time.Millisecond)
}

// Delays before the next commit after a failed one. They double with each consecutive failure: without that, each commit
// queue would send 20 commits a second to a store that rejects all of them at once.
const (
	minCommitRetryDelay = 3 * minCommitInterval
	maxCommitRetryDelay = 8 * minCommitRetryDelay
)

// backOff delays the next commit after a failure.
func (q *commitQueue) backOff(now time.Duration) {
	q.nextCommit = now + min(maxCommitRetryDelay, minCommitRetryDelay<<min(q.failures, maxCommitRetryShift))
	q.failures++
}

// maxCommitRetryShift keeps the shift of minCommitRetryDelay from overflowing; the delay reaches maxCommitRetryDelay
// before.
const maxCommitRetryShift = 8

// queueRecord queues a job to have its progress record stored.
func (t *Term) queueRecord(j *job) {
	if !j.inRecords {
		j.inRecords = true
		t.records.dirty = append(t.records.dirty, j)
	}
}

// queueState queues a job to have its public state stored or compared, at once if the job has ended or is not verified
// yet.
func (t *Term) queueState(j *job) {
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
