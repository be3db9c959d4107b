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

// lane holds the jobs with something to store; one commit of a lane is under way at a time.
type lane struct {
	dirty      []*job
	committing bool
	next       time.Duration
	// failures counts the commits without success since the last one that had it.
	failures int
	// later holds jobs whose rows may wait until laterDue for others to share their commit.
	later    []*job
	laterDue time.Duration
	// forgotten holds rows to be removed when there is nothing else to store.
	forgotten []store.Key
}

// begunLag is how long it may take until a job is shown as running.
const begunLag = time.Second

// due reports whether a lane of states has something to store.
func (l *lane) due(now time.Duration) bool {
	return len(l.dirty) > 0 || len(l.forgotten) > 0 || (len(l.later) > 0 && now >= l.laterDue)
}

// ready reports whether the lane may commit now.
func (l *lane) ready(now time.Duration) bool { return !l.committing && now >= l.next }

// wait returns the time until the lane may commit; 0 if it has nothing to do.
func (l *lane) wait(now time.Duration) time.Duration {
	if len(l.dirty) == 0 || l.committing {
		return 0
	}
	return max(l.next-now, time.Millisecond)
}

// Pauses after a commit that failed. They grow while commits go on to fail: a store that turns everything away at once is not
// asked by each lane 20 times a second.
const (
	firstRetry = 3 * commitGap
	maxRetry   = 8 * firstRetry
)

// putOff lets a lane wait after a failure.
func (l *lane) putOff(now time.Duration) {
	l.next = now + min(maxRetry, firstRetry<<min(l.failures, maxRetryShift))
	l.failures++
}

// maxRetryShift keeps the shift of firstRetry small; the pause has reached maxRetry by then.
const maxRetryShift = 8

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
		if i := slices.Index(l.later, j); urgent && i >= 0 {
			l.later = slices.Delete(l.later, i, i+1)
			l.dirty = append(l.dirty, j)
		}
		return
	}
	j.inStates = true
	if urgent {
		l.dirty = append(l.dirty, j)
		return
	}
	if len(l.later) == 0 {
		l.laterDue = t.opts.Clock() + begunLag
	}
	l.later = append(l.later, j)
}
