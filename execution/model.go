// Package execution runs the scheduling duty for one term of office: it reads what is stored, takes stock of the
// workers, places tasks, gives orders and records what comes of them. One goroutine owns the state; others carry calls
// and hand their results to it.
//
// Three rules keep work from being lost or done twice. An attempt is recorded before it is ordered. An end is recorded
// before the worker may forget it. A task gets its next attempt only after the worker has listed the last one as ended
// or absent, or after every lease that was ever granted for it has run out.
package execution

import (
	"time"

	"bronzehook/jobs"
	"bronzehook/manifest"
	"bronzehook/placement"
	"bronzehook/workers"
)

// phase is how far an attempt has got, as this term knows it.
type phase uint8

const (
	// phaseRecording waits for the attempt's record to be committed; nothing has been ordered.
	phaseRecording phase = iota
	// phaseSent has been ordered and not yet confirmed.
	phaseSent
	// phaseRunning was confirmed by the worker.
	phaseRunning
	// phaseInherited was recorded by an earlier term; whether it runs is not known.
	phaseInherited
)

// taskAttempt is an attempt that may be running on a worker. It counts against the worker's room until it is known to be gone.
type taskAttempt struct {
	task   *task
	number int
	worker *worker
	phase  phase
	// recordedBy is the job's sequence number whose commit allows the order.
	recordedBy uint64
	// confirmed is when the worker was last known to have it, or known to refuse it from then on.
	confirmed time.Duration
	retryAt   time.Duration
	// startedAt is when this term learnt that the worker has it; 0 for an attempt of an earlier term.
	startedAt time.Duration
	// startsSent counts the startsSent to start it, startsPending those without an answer yet. hedgeAt is when an order whose answer is
	// overdue is repeated; 0 if none is to be.
	startsSent, startsPending int
	hedgeAt                   time.Duration
	// retryDue is set while an order without an answer is to be repeated at orderedAt.
	retryDue bool
	// stopping is set once the attempt is to end; stopAt is when the next stop order is due.
	stopping bool
	stopSent bool
	stopAt   time.Duration

	// cpuPercent is the percentage of its share that a filler may use, pacedAt when it was last changed.
	cpuPercent  int
	throttledAt time.Duration

	progress int
	usage    int
	movedAt  time.Duration
}

// wholePercent is the progress of a task that lasts and is at work, and of others at their end.
const wholePercent = 100

// task is one task of a live job.
type task struct {
	job       *job
	id        jobs.Task
	step      *jobs.Step
	done      bool
	failures  int
	attempt   int
	lastEnded int
	// lostAttempt is the newest attempt that was given up without a listed end; 0 if there is none. Its end may yet be listed.
	lostAttempt int
	checkpoint  string
	current     *taskAttempt
	avoid       workers.ID
	// readyAt is when the task's turn came, or came again after an attempt.
	readyAt time.Duration
	// explainedAt is when the log last told why the task waits.
	explainedAt time.Duration
}

// occurrence is one run through the steps of a job.
type occurrence struct {
	// ready notes the steps whose turn has come.
	ready []bool
	steps [][]*task
	// left counts the tasks of each step that are not done.
	left []int
	// advice holds the advice on steps; nil where none was asked for.
	advice map[int]*stepAdvice
}

// job is a live job.
type job struct {
	spec  *jobs.Spec
	queue manifest.Queue
	// known is false while no manifest has named the queue.
	known bool

	occurrences []*occurrence
	state       jobs.State
	stored      jobs.State
	// stateVersion is the version of the public state as last read or written.
	stateVersion uint64
	// verified is set once a commit has shown that the public state is as known. A job may have been read from an excerpt
	// that is older than its end.
	verified  bool
	recorded  bool
	pending   bool
	started   bool
	cancelled bool

	// sequence counts changes; committed is the newest change that is stored.
	sequence  uint64
	committed uint64
	// inRecords and inStates are set while the job waits in a lane.
	inRecords, inStates bool
	liveAttempts        int
	unsent              []*taskAttempt

	deadline     time.Time
	lateDeadline time.Time
	rank         rank
	removed      bool
	// failedOn is the worker on which a task of the job failed first.
	failedOn workers.ID
}

func (j *job) terminal() bool { return j.state.Terminal() }

// pendingAck is an end that the worker may forget once the job's change is stored.
type pendingAck struct {
	number   int64
	job      *job
	sequence uint64
}

type attemptKey struct {
	task    jobs.Task
	attempt int
}

// worker is one worker as this term knows it.
type worker struct {
	node placement.Node
	// registered is false if the store has no entry of the worker.
	registered bool
	// active is set while the term deals with the worker, queued while it waits for that in its pool.
	active, queued bool
	// drainingSince is when the worker was first seen to drain.
	drainingSince time.Duration
	leavesAt      time.Duration

	startTime int64
	// incarnation counts the lives of the worker that this term may have dealt with. It is a part of the fencing token, so that
	// orders meant for an earlier incarnation have no effect on a later one under the same name.
	incarnation uint64
	clock       int64
	clockAt     time.Duration
	// fenced is set once the worker has seen this term's epoch.
	fenced bool

	attempts map[attemptKey]*taskAttempt
	// orphans holds attempts that the worker lists and no live job accounts for.
	orphans map[attemptKey]time.Duration

	// appliedUpTo is the newest end that was taken up, seenUpTo the newest whose meaning is stored, and ackedUpTo the
	// newest that the worker was told to forget.
	appliedUpTo int64
	storedUpTo  int64
	ackedUpTo   int64
	pendingAcks []pendingAck

	// polling is set while a look is under way. A look and its repetition make a round, of which the first answer counts:
	// round numbers them, unanswered counts the looks of the present one without an answer.
	polling      bool
	pollRound    uint64
	pendingPolls int
	// polledAt is when the newest look that was answered was sent, hedgeAt when the present one is repeated; 0 if it isn't.
	polledAt time.Duration
	hedgeAt  time.Duration
	// hedged is set while a call to the worker has been repeated and none has been answered since.
	hedged       bool
	nextPoll     time.Duration
	pollFailures int
	// leasesExpireAt is when every lease granted to anything on the worker has certainly run out.
	leasesExpireAt time.Duration

	// throttledAt is when a pace was last changed; overSince is since when a serving task is over its target, 0 if none is.
	throttledAt     time.Duration
	overTargetSince time.Duration

	breaker breaker
	// slow is set while the tails of its serving tasks say that everything there takes many times as long as elsewhere.
	slow bool
}

func (w *worker) id() workers.ID { return w.node.Entry.ID }

// clockNow estimates the worker's clock, never ahead of it by more than its drift.
func (w *worker) clockNow(now time.Duration) int64 {
	return w.clock + (now - w.clockAt).Milliseconds()
}

func (w *worker) noteClock(clock int64, now time.Duration) {
	if clock == 0 {
		return
	}
	w.clock, w.clockAt = clock, now
}

// leaseDrift bounds how much slower a worker's clock may run, with a margin.
const leaseDrift = 1.025

// leaseMargin is added to every lease that is waited out.
const leaseMargin = 60 * time.Millisecond

// grant notes that a lease up to leaseLength from now is about to be ordered.
func (w *worker) grant(now, leaseLength time.Duration) {
	age := now - w.clockAt
	end := w.clockAt + time.Duration(float64(age+leaseLength)*leaseDrift) + leaseMargin
	w.leasesExpireAt = max(w.leasesExpireAt, end)
}

// needsPolling reports whether the worker has to be looked at.
func (w *worker) needsPolling() bool {
	return !w.fenced || w.pollFailures > 0 || len(w.attempts) > 0 || len(w.orphans) > 0 || w.ackedUpTo < w.appliedUpTo
}
