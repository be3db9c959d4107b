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
	// phaseOrdered has been ordered and not yet confirmed.
	phaseOrdered
	// phaseRunning was confirmed by the worker.
	phaseRunning
	// phaseInherited was recorded by an earlier term; whether it runs is not known.
	phaseInherited
)

// run is an attempt that may be running on a worker. It counts against the worker's room until it is known to be gone.
type run struct {
	task    *task
	attempt int
	worker  *worker
	phase   phase
	// recordedBy is the job's sequence number whose commit allows the order.
	recordedBy uint64
	// confirmed is when the worker was last known to have it, or known to refuse it from then on.
	confirmed time.Duration
	orderedAt time.Duration
	// startedAt is when this term learnt that the worker has it; 0 for an attempt of an earlier term.
	startedAt time.Duration
	// orders counts the orders to start it, unanswered those without an answer yet. hedgeAt is when an order whose answer is
	// overdue is repeated; 0 if none is to be.
	orders, unanswered int
	hedgeAt            time.Duration
	// retryDue is set while an order without an answer is to be repeated at orderedAt.
	retryDue bool
	// stopping is set once the attempt is to end; stopAt is when the next stop order is due.
	stopping bool
	stopSent bool
	stopAt   time.Duration

	// pace is the percentage of its share that a filler may use, pacedAt when it was last changed.
	pace    int
	pacedAt time.Duration

	percent int
	usage   int
	movedAt time.Duration
}

// wholePercent is the progress of a task that lasts and is at work, and of others at their end.
const wholePercent = 100

// task is one task of a live job.
type task struct {
	job      *job
	id       jobs.Task
	step     *jobs.Step
	done     bool
	failures int
	attempt  int
	ended    int
	// lost is the newest attempt that was given up without a listed end; 0 if there is none. Its end may yet be listed.
	lost       int
	checkpoint string
	run        *run
	avoid      workers.ID
	// readyAt is when the task's turn came, or came again after an attempt.
	readyAt time.Duration
	// explainedAt is when the log last told why the task waits.
	explainedAt time.Duration
}

// occurrence is one run through the steps of a job.
type occurrence struct {
	// reached notes the steps whose turn has come.
	reached []bool
	steps   [][]*task
	// left counts the tasks of each step that are not done.
	left []int
	// advised holds the advice on steps; nil where none was asked for.
	advised map[int]*advised
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
	begun     bool
	cancelled bool

	// sequence counts changes; committed is the newest change that is stored.
	sequence  uint64
	committed uint64
	// inRecords and inStates are set while the job waits in a lane.
	inRecords, inStates bool
	live                int
	waiting             []*run

	deadline time.Time
	late     time.Time
	rank     rank
	ended    bool
	// failedOn is the worker on which a task of the job failed first.
	failedOn workers.ID
}

func (j *job) terminal() bool { return j.state.Terminal() }

// ack is an end that the worker may forget once the job's change is stored.
type ack struct {
	number   int64
	job      *job
	sequence uint64
}

type runKey struct {
	task    jobs.Task
	attempt int
}

// worker is one worker as this term knows it.
type worker struct {
	node placement.Node
	// listed is false if the store has no entry of the worker.
	listed bool
	// engaged is set while the term deals with the worker, offered while it waits for that in its pool.
	engaged, offered bool
	// drainingSince is when the worker was first seen to drain.
	drainingSince time.Duration
	leavesAt      time.Duration

	born int64
	// life counts the lives of the worker that this term may have dealt with. It is a part of the fencing token, so that
	// orders meant for an earlier life have no effect on a later one under the same name.
	life    uint64
	clock   int64
	clockAt time.Duration
	// fenced is set once the worker has seen this term's epoch.
	fenced bool

	runs map[runKey]*run
	// foreign holds attempts that the worker lists and no live job accounts for.
	foreign map[runKey]time.Duration

	// listedUpTo is the newest end that was taken up, seenUpTo the newest whose meaning is stored, and ackedUpTo the
	// newest that the worker was told to forget.
	listedUpTo int64
	seenUpTo   int64
	ackedUpTo  int64
	acks       []ack

	// looking is set while a look is under way. A look and its repetition make a round, of which the first answer counts:
	// round numbers them, unanswered counts the looks of the present one without an answer.
	looking    bool
	round      uint64
	unanswered int
	// lookedAt is when the newest look that was answered was sent, hedgeAt when the present one is repeated; 0 if it isn't.
	lookedAt time.Duration
	hedgeAt  time.Duration
	// overdue is set while a call to the worker has been repeated and none has been answered since.
	overdue      bool
	nextLook     time.Duration
	lookFailures int
	// deadBy is when every lease granted to anything on the worker has certainly run out.
	deadBy time.Duration

	// relievedAt is when a pace was last changed; overSince is since when a serving task is over its target, 0 if none is.
	relievedAt time.Duration
	overSince  time.Duration

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
	w.deadBy = max(w.deadBy, end)
}

// expectsAnswers reports whether the worker has to be looked at.
func (w *worker) expectsAnswers() bool {
	return !w.fenced || w.lookFailures > 0 || len(w.runs) > 0 || len(w.foreign) > 0 || w.ackedUpTo < w.listedUpTo
}
