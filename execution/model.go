// Package execution does the work of the scheduler leader for one leadership term: it reads the stored state,
// reconciles it with what the workers report, places tasks, sends commands to workers and records the outcome. A single
// control goroutine owns the state; other goroutines make the calls and post their results to it as events.
//
// Four rules prevent work from being lost or done twice. An attempt is recorded before its start command is sent. A
// termination is recorded before it is acknowledged, that is, before the worker may discard it. A task gets its next
// attempt only after the worker has reported the last one as terminated, or has answered a poll that rules it out (see
// taskAttempt.ruledOutBy), or after every attempt lease granted for it has expired. A start command, whose lease expiry is by
// the clock of one incarnation of a worker, is sent to that incarnation only, so that a later term knows when it expires.
package execution

import (
	"sync/atomic"
	"time"

	"bronzehook/backlog"
	"bronzehook/jobs"
	"bronzehook/locality"
	"bronzehook/manifest"
	"bronzehook/mitigation"
	"bronzehook/overdue"
	"bronzehook/placement"
	"bronzehook/workers"
)

// phase is the phase of an attempt in this term's local view.
type phase uint8

const (
	// phaseRecording means that the commit of the attempt's record is pending; no command has been sent.
	phaseRecording phase = iota
	// phaseSent means that a start command has been sent and not confirmed yet.
	phaseSent
	// phaseRunning means that the worker has confirmed the attempt.
	phaseRunning
	// phaseInherited means that an earlier term recorded the attempt; whether it is running is unknown.
	phaseInherited
)

// taskAttempt is an attempt that may be running on a worker. It counts against the worker's capacity until it is known
// not to be running any more.
type taskAttempt struct {
	task   *task
	number int
	worker *worker
	// workerStartTime is the start time of the incarnation of the worker that the attempt was placed on. All start commands are
	// for that one.
	workerStartTime int64
	phase           phase
	// recordSequence is the change sequence number of the job with which the attempt was created. The start command is
	// sent once that change is stored.
	recordSequence uint64
	// token is the highest fencing token of the start commands; 0 for an attempt of an earlier term, whose tokens were
	// lower than those of this one.
	token uint64
	// confirmedAt is when the worker last confirmed that it has the attempt, or that it will not start it any more.
	confirmedAt time.Duration
	// retryAt is when the start command is to be sent again; it has no meaning unless retryDue is set.
	retryAt time.Duration
	// startedAt is when the worker confirmed the start to this term; 0 for an attempt of an earlier term.
	startedAt time.Duration
	// startsSent counts the start commands sent, startsPending those without a response yet. hedgeAt is when a start
	// command whose response is overdue is sent a second time; 0 if it is not.
	startsSent, startsPending int
	hedgeAt                   time.Duration
	// startsUnsent counts those of the start commands that turned out not to have been sent.
	startsUnsent int
	// fenceAt is when the fencing token may be raised for a start command whose response is overdue; 0 if it is not. overdue is
	// set once a poll with a higher token than all start commands is to show whether the attempt runs.
	fenceAt time.Duration
	overdue bool
	// retryDue is set while a start command without a response is to be sent again at retryAt, or one that is held back is to be
	// checked again. held is set once a start command was held back, until it is sent.
	retryDue bool
	held     bool
	// withdrawn mirrors stopping for the last check of a start command, on other goroutines.
	withdrawn atomic.Bool
	// stopping is set once the attempt is to be stopped, stopConfirmed once a stop command was answered. stopsSent counts
	// the stop commands; stopAt is when the next one is due.
	stopping      bool
	stopConfirmed bool
	stopsSent     int
	stopAt        time.Duration

	// cpuPercent is the CPU limit of a best-effort task in percent of its share; throttledAt is when it was last
	// changed. throttling is set while a throttle command is in flight.
	cpuPercent  int
	throttledAt time.Duration
	throttling  bool

	// progress is the last reported progress in percent, -1 before the first report; progressAt is when it last
	// changed. usage is the last reported tail latency in milliseconds for a latency-critical task, else the CPU in use
	// in thousandths of a core.
	progress   int
	usage      int
	progressAt time.Duration
}

// ruledOutBy reports whether the response to a poll that does not list the attempt proves that it is not running and will
// not start. That it is not listed does not prove it: a start command without a response may be carried out after newer
// calls. The worker refuses it from then on if the poll had a higher fencing token than the command, or if the worker
// had confirmed the attempt, or a stop command for it, before the poll was sent.
//
// While a start command is open, only a higher token rules the attempt out, and only if the incarnation that the command is for
// has answered: that one refuses the command whenever it arrives, and no other one gets it, as it is sent only on a connection
// on which that incarnation has answered (see workers.Client). Without an open command the incarnation does not matter.
func (a *taskAttempt) ruledOutBy(request workers.PollRequest, polledAt time.Duration, answeredBy int64) bool {
	if a.phase == phaseRecording {
		return false
	}
	if a.startsPending > 0 {
		return a.overdue && request.FencingToken > a.token && answeredBy != 0 && answeredBy == a.workerStartTime
	}
	return request.FencingToken > a.token || (a.confirmedAt > 0 && a.confirmedAt < polledAt)
}

// deniedStart reports whether the worker has said that it will not start the attempt, and has not confirmed that it had
// started it before.
func (a *taskAttempt) deniedStart() bool { return a.phase == phaseSent && a.confirmedAt > 0 }

// hasDeniedStart reports whether the next poll may rule out an attempt whose start the worker has denied.
func (w *worker) hasDeniedStart() bool {
	for _, a := range w.attempts {
		if a.deniedStart() {
			return true
		}
	}
	return false
}

// fullProgress is the progress of a long-running task that is available, and of other tasks when they are done.
const fullProgress = 100

// task is one task of a live job.
type task struct {
	job  *job
	id   jobs.Task
	step *jobs.Step
	done bool
	// failures counts the failed attempts; those of a gang are in occurrence.gangFailures.
	failures int
	// attempt is the number of the latest attempt, lastEnded that of the latest one that has ended.
	attempt   int
	lastEnded int
	// lostAttempt is the number of the latest attempt that was marked as lost; 0 if there is none. Its termination may
	// still be reported.
	lostAttempt int
	// checkpoint is the last reported checkpoint, from which the next attempt continues.
	checkpoint string
	// current is the attempt that may be running; nil if there is none.
	current *taskAttempt
	// avoidWorker is the worker that an attempt of the task last failed on or was moved off.
	avoidWorker workers.ID
	// readyAt is when the task became ready to be placed, first or again after an attempt.
	readyAt time.Duration
	// nearOutcome is the latest decision on whether the task waits for a near place; OutcomeNone if there was none.
	nearOutcome locality.Outcome
	// explainedAt is when the log last explained why the task waits.
	explainedAt time.Duration
	// placedDeferred is set if the latest attempt was placed while the job was deferred or late.
	placedDeferred bool
}

// occurrence is one execution of the steps of a job.
type occurrence struct {
	// ready marks the steps whose dependencies are done.
	ready []bool
	steps [][]*task
	// remaining counts the tasks of each step that are not done.
	remaining []int
	// advice holds the advice received for each step, by the number of the step; nil if none was requested.
	advice map[int]*stepAdvice
	// gangFailures holds the failures of the steps that are gangs, by the number of the step.
	gangFailures map[int]*gangFailures
}

// job is a live job.
type job struct {
	spec  *jobs.Spec
	queue manifest.Queue
	// queueKnown is set once the queue was found in a manifest or taken from the queue policy stored with the job.
	queueKnown bool

	occurrences []*occurrence
	// state is the state of the job, storedState that in its stored public state.
	state       jobs.State
	storedState jobs.State
	// stateVersion is the version of the public state as last read or written.
	stateVersion uint64
	// verified is set once the stored public state is known to be as expected. Until then the job may have ended
	// already, if it was read from a snapshot that is older than its end.
	verified bool
	// recorded is set once a progress record may be stored, pending while the job may have a row among the pending jobs.
	recorded  bool
	pending   bool
	started   bool
	cancelled bool

	// sequence is the sequence number of the latest change of the job, committedSequence that of the latest stored
	// change.
	sequence          uint64
	committedSequence uint64
	// encoder encodes the progress record.
	encoder jobs.RecordEncoder
	// inRecords and inStates are set while the job waits in a commit queue of records or states. liveAttempts counts
	// the attempts that may be running, and unsent holds those whose start command waits for the record.
	inRecords, inStates bool
	liveAttempts        int
	unsent              []*taskAttempt

	// deadline is the end of the objective of the job; until lateDeadline it still accrues a part of its value.
	deadline     time.Time
	lateDeadline time.Time
	rank         rank
	// lasting is set if the job has long-running tasks. Such jobs are not deferred.
	lasting bool
	// sizeClass is the class of the job by its size; outcomeNoted is set once its outcome counts for that class.
	sizeClass    backlog.SizeClass
	outcomeNoted bool
	// load, standing and slack are those of the latest observation of the backlog; slack is that of backlog.Weigh.
	load     jobLoad
	standing standing
	slack    time.Duration
	// runTimes holds the run times of the steps; nil before they are first needed.
	runTimes []stepRunTimes
	// removed is set once the rows of the job are deleted, aside once it is set aside. unread is set if that was before its progress
	// was known.
	removed, aside, unread bool
	// failedOn is the worker on which a task of the job failed first.
	failedOn workers.ID
}

// terminal reports whether the job has ended.
func (j *job) terminal() bool { return j.state.Terminal() }

// excluded reports whether nothing of a job is placed any more, nor any change of its state stored.
func (j *job) excluded() bool { return j.removed || j.aside }

// attemptKey identifies an attempt of a task.
type attemptKey struct {
	task    jobs.Task
	attempt int
}

// worker is this term's local view of a worker.
type worker struct {
	node placement.Node
	// registered is set while the store has a registration of the worker.
	registered bool
	// leaving is set while the worker is draining or has no registration, for the last check of start commands on other
	// goroutines.
	leaving atomic.Bool
	// active is set while the term polls the worker and places tasks on it, queued while it waits in its pool for
	// activation.
	active, queued bool
	// drainingSince is when the worker was first seen draining, leavesAt when it is expected to shut down.
	drainingSince time.Duration
	leavesAt      time.Duration

	// startTime is the start time of the incarnation that answered last, 0 if unknown; since answeredFrom the leader knows
	// of it.
	startTime    int64
	answeredFrom time.Duration
	// incarnation grows whenever a new incarnation of the worker may have started. It is part of the fencing token, so
	// that commands for an earlier incarnation have no effect on a later one under the same name.
	incarnation uint64
	// carrier is the instance that makes the calls to the worker; empty if the leader makes them itself.
	carrier string
	// clock is the clock of the worker, in milliseconds, as read at clockAt.
	clock   int64
	clockAt time.Duration
	// startsSincePoll holds the send times of the start commands since the latest answered poll.
	startsSincePoll []time.Duration
	// fenced is set once the worker has accepted this term's fencing token and so refuses commands of earlier terms.
	fenced bool

	attempts map[attemptKey]*taskAttempt
	// orphans holds the attempts that the worker reports and that belong to no live job, with the time of the next stop
	// command.
	orphans map[attemptKey]time.Duration

	// Termination sequence numbers: appliedUpTo is that of the latest termination handled, storedUpTo that of the
	// latest whose effect on its job is stored, and ackedUpTo that of the latest acknowledged to the worker.
	appliedUpTo int64
	storedUpTo  int64
	ackedUpTo   int64
	pendingAcks []pendingAck
	// unlisted is set while the worker may have terminations that it has not listed yet.
	unlisted bool

	// polling is set while a poll is in flight. A poll and its hedged repetition form a poll round, of which the first
	// response counts: pollRound is the number of the current round, pendingPolls counts its polls without a response.
	polling bool
	// pollWait is how long the worker may delay its response to the poll in flight.
	pollWait     time.Duration
	pollRound    uint64
	pendingPolls int
	// polledAt is when the latest answered poll was sent; hedgeAt is when the current one is to be hedged, 0 if it is
	// not.
	polledAt time.Duration
	hedgeAt  time.Duration
	// overdueAt is when the worker counts as unresponsive although the current round may still be answered; 0 if its polls time out
	// first. lateRound is the round of which an overdue response still counts; 0 if there is none.
	overdueAt time.Duration
	lateRound uint64
	// hedged is set while a call to the worker has been hedged and none has been answered since.
	hedged bool
	// raisedAt is when the fencing token was last raised for an overdue start; overdueStarts counts these starts.
	raisedAt      time.Duration
	overdueStarts overdue.Score
	nextPoll      time.Duration
	pollFailures  int
	// leasesExpireAt is when every attempt lease granted on the worker has certainly expired.
	leasesExpireAt time.Duration

	mitigation mitigation.State

	// releases holds what the attempts on the worker are expected to release, in the order of time, as of releasesAt; that is 0
	// after a change.
	releases   []locality.Release
	releasesAt time.Duration

	breaker breaker
	// slow is set while the tail latencies of its latency-critical tasks show that the worker as a whole is many times
	// slower than others.
	slow bool
}

func (w *worker) id() workers.ID { return w.node.Registration.ID }

// leastClock returns the least value that the worker's clock can have now.
func (w *worker) leastClock(now time.Duration) int64 {
	return w.clock + time.Duration(float64(now-w.clockAt)/maxClockDriftFactor).Milliseconds()
}

// noteClock records the clock that a worker has reported; 0 means that it has reported none.
func (w *worker) noteClock(clock int64, now time.Duration) {
	if clock == 0 {
		return
	}
	w.clock, w.clockAt = clock, now
}

// mayPredate reports whether the response to a command that was sent at sentAt may be of an earlier incarnation of the worker
// than the one that answered last, or of another process at an address that the worker had.
func (w *worker) mayPredate(sentTo workers.Target, sentAt time.Duration) bool {
	return sentAt < w.answeredFrom || sentTo.Addr != w.node.Registration.Addr
}

// maxClockDriftFactor bounds by which factor a worker's clock may run slower than that of the leader, with a margin.
const maxClockDriftFactor = 1.025

// leaseExpiryMargin is added to the time at which an attempt lease is taken to have expired.
const leaseExpiryMargin = 60 * time.Millisecond

// leaseExpiry returns when an attempt lease that is granted to a worker now is to expire, on the worker's clock. It is computed
// from the least value of that clock: however long ago that was read, the lease ends within its duration and the drift of the
// clock, which is what the next term assumes (see Term.inheritedLeaseExpiry).
func (t *Term) leaseExpiry(w *worker, now time.Duration) int64 {
	return w.leastClock(now) + t.opts.AttemptLeaseDuration.Milliseconds()
}

// noteLeaseGrant notes that an attempt lease of a duration, with the expiry of Term.leaseExpiry, is about to be granted on the
// worker.
func (w *worker) noteLeaseGrant(now, duration time.Duration) {
	expiry := now + time.Duration(float64(duration)*maxClockDriftFactor) + leaseExpiryMargin
	w.leasesExpireAt = max(w.leasesExpireAt, expiry)
}

// openCommandTime bounds how long a start may be under way: the wait for a connection, the dial, the poll that identifies the
// incarnation, and the start itself take up to 3 s, and it may have been as long as carrier.maxCallAge on its way to a carrier.
const openCommandTime = 3600 * time.Millisecond

// noteForeignLeases notes that start commands with lease expiries by the clock of an earlier incarnation may have reached the
// present one, whose clock is another: it may have granted leases up to the limit of workers. Clients do not send such commands
// (see workers.Client), so that this is redundant protection.
func (w *worker) noteForeignLeases(now, limit time.Duration) {
	expiry := now + openCommandTime + time.Duration(float64(limit)*maxClockDriftFactor) + leaseExpiryMargin
	w.leasesExpireAt = max(w.leasesExpireAt, expiry)
}

// The lease of a start is shortened by the drift since the worker's clock was read, and has to last until the next poll renews it.
// So the clock of an idle worker is read every clockReadInterval, and no task is placed on a worker whose clock is older than
// maxClockAge.
const (
	clockReadInterval = time.Minute
	maxClockAge       = 90 * time.Second
)

// needsPolling reports whether the worker has to be polled.
func (w *worker) needsPolling(now time.Duration) bool {
	return !w.fenced || w.pollFailures > 0 || len(w.attempts) > 0 || len(w.orphans) > 0 || w.ackedUpTo < w.appliedUpTo ||
		(w.clockAt > 0 && now-w.clockAt > clockReadInterval)
}
