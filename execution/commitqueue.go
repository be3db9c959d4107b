package execution

import (
	"slices"
	"time"

	"bronzehook/store"
)

// What a term stores goes by lanes, so that a store whose parts are unequally loaded holds up only what it has to. Records
// of progress lie with the duty's row: they are what an order waits for, and each commit renews the duty. Public states
// lie with what callers write, and each group of jobs has a lane of its own. A commit of states is not conditional on the
// duty and may be carried out late: it states what workers have listed, conditional on the state that it replaces.

// commitQueue holds the jobs with something to store; one commit of a commitQueue is under way at a time.
type commitQueue struct {
	dirty      []*job
	committing bool
	next       time.Duration
	// failures counts the commits without success since the last one that had it.
	failures int
	// deferred holds jobs whose rows may wait until laterDue for others to share their commit.
	deferred      []*job
	deferredUntil time.Duration
	// pendingDeletes holds rows to be removed when there is nothing else to store.
	pendingDeletes []store.Key
}

// maxStateDelay is how long it may take until a job is shown as running.
const maxStateDelay = time.Second

// due reports whether a lane of states has something to store.
func (l *commitQueue) due(now time.Duration) bool {
	return len(l.dirty) > 0 || len(l.pendingDeletes) > 0 || (len(l.deferred) > 0 && now >= l.deferredUntil)
}

// ready reports whether the lane may commit now.
func (l *commitQueue) ready(now time.Duration) bool { return !l.committing && now >= l.next }

// wait returns the time until the lane may commit; 0 if it has nothing to do.
func (l *commitQueue) wait(now time.Duration) time.Duration {
	if len(l.dirty) == 0 || l.committing {
		return 0
	}
	return max(l.next-now, time.Millisecond)
}

// Pauses after a commit that failed. They grow while commits go on to fail: a store that turns everything away at once is not
// asked by each lane 20 times a second.
const (
	minCommitRetryDelay = 3 * commitGap
	maxCommitRetryDelay = 8 * minCommitRetryDelay
)

// backOff lets a lane wait after a failure.
func (l *commitQueue) backOff(now time.Duration) {
	l.next = now + min(maxCommitRetryDelay, minCommitRetryDelay<<min(l.failures, maxCommitRetryShift))
	l.failures++
}

// maxCommitRetryShift keeps the shift of firstRetry small; the pause has reached maxRetry by then.
const maxCommitRetryShift = 8

// markRecord and markState queue a job for a lane.
func (t *Term) markRecord(j *job) {
	if !j.inRecords {
		j.inRecords = true
		t.records.dirty = append(t.records.dirty, j)
	}
}

func (t *Term) markState(j *job) {
	l := &t.states[store.GroupOf(string(j.spec.ID))]
	urgent := !j.verified || j.terminal()
	if j.inStates {
		if i := slices.Index(l.deferred, j); urgent && i >= 0 {
			l.deferred = slices.Delete(l.deferred, i, i+1)
			l.dirty = append(l.dirty, j)
		}
		return
	}
	j.inStates = true
	if urgent {
		l.dirty = append(l.dirty, j)
		return
	}
	if len(l.deferred) == 0 {
		l.deferredUntil = t.opts.Clock() + maxStateDelay
	}
	l.deferred = append(l.deferred, j)
}
