package execution

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"bronzehook/carrier"
	"bronzehook/jobs"
	"bronzehook/leadership"
	"bronzehook/logging"
	"bronzehook/overdue"
	"bronzehook/placement"
	"bronzehook/runtimes"
	"bronzehook/store"
	"bronzehook/workers"
)

// Timing of a term.
const (
	// tickInterval is the interval of the ticker, which bounds how long due work waits if no event arrives.
	tickInterval = 100 * time.Millisecond
	// pollWait is how long a worker may delay its response to a long poll while no attempt terminates.
	pollWait = 2 * time.Second
	// uncommittedPollInterval is the interval between polls of a worker with terminations that are not stored yet.
	uncommittedPollInterval = time.Second
	// minCommitInterval is the minimum time between two commits of one commit queue.
	minCommitInterval = 15 * time.Millisecond
	// minScheduleInterval is the minimum time between two scheduling cycles. After a long cycle the next one waits for
	// scheduleBackoffFactor times its duration, so that scheduling does not delay the other work of the leader. With
	// carriers, which make the calls, there is less other work, and carriedBackoffFactor applies: a third of the time is
	// for scheduling, the rest for handling results and storing records.
	minScheduleInterval   = 10 * time.Millisecond
	scheduleBackoffFactor = 4
	carriedBackoffFactor  = 2
	// minPassInterval is the minimum time between two passes over the workers. After a long pass the next one waits for
	// passBackoffFactor times its duration.
	minPassInterval   = 4 * time.Millisecond
	passBackoffFactor = 8
	maxPassInterval   = 50 * time.Millisecond
	// intakeWatchWait and workersWatchWait bound how long the store delays its response to a watch of a table without
	// changes. minIntakeReadInterval and minWorkersReadInterval are the delays after changes, so that further ones are
	// read together.
	intakeWatchWait        = time.Second
	minIntakeReadInterval  = 20 * time.Millisecond
	workersWatchWait       = time.Second
	minWorkersReadInterval = 250 * time.Millisecond
	// watchRetryDelay is the delay before a failed watch is repeated.
	watchRetryDelay = 200 * time.Millisecond
	// maxQueuedEvents is the capacity of the event queue of the control goroutine.
	maxQueuedEvents = 1024
)

// Term is one leadership term: the period in which this instance leads under one epoch.
type Term struct {
	opts   Options
	leader *leadership.Leader
	ctx    context.Context
	// events is the queue of events for the control goroutine.
	events chan func()
	log    zerolog.Logger
	// detailLog writes the lines on single attempts.
	detailLog zerolog.Logger

	// jobs holds the live jobs; order holds them in the order in which they are scheduled.
	jobs  map[jobs.ID]*job
	order []*job
	// unconfirmed holds the attempts for which a command may have to be sent again.
	unconfirmed map[*taskAttempt]struct{}
	workers     map[workers.ID]*worker
	// firstIncarnation is worker.incarnation of workers that are added. It exceeds that of all dropped ones, since a dropped
	// worker that registers again may have accepted fencing tokens of this term.
	firstIncarnation uint64
	// active holds the workers that the term polls and places tasks on, in no order; nodes holds their capacity
	// accounting. pools is keyed by service.
	active []*worker
	nodes  nodeList
	pools  map[string]*pool
	// workersWithAcks holds the workers with terminations to be acknowledged once these are stored.
	workersWithAcks map[*worker]struct{}
	// nextRebalance is when carriers are assigned next to workers without one.
	nextRebalance time.Duration
	// loadedAt is when the tables had been read.
	loadedAt time.Duration
	// carriedWorkers counts the active workers with a carrier.
	carriedWorkers int
	// earlyCancels holds the jobs whose cancellation was read before the job itself.
	earlyCancels map[jobs.ID]bool
	// setAside holds the jobs that this term does not schedule because of their rows or after a panic; nil for one whose row
	// cannot be read.
	setAside map[jobs.ID]*job

	interference *placement.InterferenceModel
	// interferenceReportAt is when the next report of it is due.
	interferenceReportAt time.Duration
	// colocations counts the pairs of images on the workers.
	colocations *placement.Colocations
	// placementFailures holds the requests refused in this scheduling cycle, so that requests of the same kind that
	// need as much are not tried again.
	placementFailures placement.Failures
	// refusals counts, since the last fleet summary in the log, the reasons why tasks could not be placed.
	refusals map[placement.Reason]int
	// holds maps a waiting task to the node on which capacity is held for it.
	holds map[*task]*placement.Node
	// topPriorityDemand and batchDemand are the demand of top-priority batch work and of all batch work.
	topPriorityDemand, batchDemand demand
	// canPlaceTwoByStep caches, within one scheduling cycle, whether two tasks of a step could be placed.
	canPlaceTwoByStep map[*jobs.Step]bool
	// usableCount counts the usable workers; usableCPU is the sum of their CPU capacity, in thousandths of a core.
	usableCount, usableCPU int
	hedges                 overdue.Budget
	// raises limits the fencing tokens that are raised for overdue starts; overdueAt is when the next start is overdue, 0 if
	// none is open.
	raises        overdue.Budget
	overdueAt     time.Duration
	lag           lag
	overload      overload
	lostResponses lostResponses
	// degradedCount counts the degraded workers, which get only long-running tasks.
	degradedCount int
	// freeCPU is the free CPU of the usable workers that batch work can use, in thousandths of a core.
	freeCPU int
	// slotCPU is the CPU that a typical batch task reserves, in thousandths of a core; 0 if none was seen. freeSlots is how many
	// such tasks fit into the free CPU of the usable workers.
	slotCPU, freeSlots int

	// near holds the near places that waiting tasks name.
	near nearPlaces

	// queueWork is used to rank jobs by their size.
	queueWork queueWorkMeans
	// backlogs holds the backlog of each queue; the other fields say when they were last observed and when they are next due to
	// be observed and logged.
	backlogs                                      map[string]*queueBacklog
	backlogObservedAt, backlogDueAt, backlogLogAt time.Duration
	// largestWorkers holds the largest capacity of the workers of each service, as of that observation.
	largestWorkers map[string]jobs.Resources
	// runTimeModel estimates run times from callers' estimates and measured run times.
	runTimeModel *runtimes.Model

	// waves holds the maintenance waves by number; cordoned maps a machine to the wave for which it is being drained.
	waves    map[int]*wave
	cordoned map[string]int

	// evacuated holds the evacuations by data centre, as of the latest pass over the workers. fillShares holds, for each
	// data centre that is being filled again, the share of each worker's CPU that may be reserved.
	evacuated  map[string]*evacuationProgress
	fillShares map[string]float64
	// openLabels holds the labels of the workers outside evacuated data centres, while there are evacuations.
	openLabels map[string]bool
	// placeable holds the steps that were found in this supervise pass not to depend on one evacuated data centre.
	placeable map[*jobs.Step]bool
	// moves holds the moves out of evacuated data centres. moveIndex, moveFailures and moveSearches belong to one pass over
	// their candidates.
	moves        map[*task]*move
	moveIndex    placement.Index
	moveFailures placement.Failures
	moveSearches int

	// adviceInFlight is set while a request to the advice service, sent at adviceSentAt, is in flight; adviceFailed is set if the
	// one before failed. adviceWanted holds the tasks that cannot be placed without further advice, at most one of a step, since the
	// last scheduling cycle ended.
	adviceInFlight, adviceFailed bool
	adviceSentAt                 time.Duration
	adviceWanted                 []*task

	// obsoleteRecords holds the keys of progress records of ended jobs, which are to be deleted.
	obsoleteRecords []store.Key

	// records is the commit queue of progress records; states holds one commit queue of public states per group of jobs.
	// renewAt is when the leadership lease is due for renewal.
	records commitQueue
	states  [store.GroupCount]commitQueue
	renewAt time.Duration
	// intakeReadAt is when the most recently applied changes of the intake table were read.
	intakeReadAt time.Duration
	// freshness says how old the knowledge is that start commands depend on.
	freshness freshness
	// countsDueAt is when the counts of pending jobs are next due to be stored.
	countsDueAt time.Duration
	// interferenceSaveAt is when the interference model state is next due to be stored.
	interferenceSaveAt time.Duration
	// scheduleDue is set after an event that may allow a task to be placed.
	scheduleDue  bool
	nextSchedule time.Duration
	// nextPass is when the next pass over the workers may start; passDue is set if an event was handled since the last
	// one.
	nextPass time.Duration
	passDue  bool
	// scheduledAt is when the last scheduling cycle started; placementOffset rotates the order in which placements
	// examine the nodes.
	scheduledAt     time.Duration
	placementOffset int
	// nodeIndex is the index of the nodes for one scheduling cycle.
	nodeIndex placement.Index
	// recordEntries is the buffer for the entries of one progress record.
	recordEntries []jobs.TaskRecord
	// failure is the error with which the term ends; nil while it goes on.
	failure error
	// loading is set while the tables are read at the start of the term.
	loading bool
	// paused is set, since pausedAt, while the leadership lease has expired and no other instance has acquired
	// leadership.
	paused    bool
	pausedAt  time.Duration
	startedAt time.Duration
	// superviseAt is when attempts are next due to be supervised, fleetLogAt when the next fleet summary is due.
	superviseAt time.Duration
	fleetLogAt  time.Duration
	// ackLogAt is when the log may next name an acknowledgement that waits.
	ackLogAt time.Duration
}

// NewTerm returns a term for a leader.
func NewTerm(opts Options, leader *leadership.Leader) *Term {
	log := opts.Logger.With().Uint64(logging.KeyEpoch, leader.Epoch()).Logger()
	return &Term{
		opts: opts, leader: leader, events: make(chan func(), maxQueuedEvents),
		log: log, detailLog: log.Sample(opts.DetailSampler),
		jobs: make(map[jobs.ID]*job), workers: make(map[workers.ID]*worker), earlyCancels: make(map[jobs.ID]bool), setAside: make(map[jobs.ID]*job),
		pools: make(map[string]*pool), workersWithAcks: make(map[*worker]struct{}),
		unconfirmed: make(map[*taskAttempt]struct{}), queueWork: make(queueWorkMeans), backlogs: make(map[string]*queueBacklog), runTimeModel: runtimes.NewModel(),
		largestWorkers: make(map[string]jobs.Resources),
		waves:          make(map[int]*wave), cordoned: make(map[string]int),
		lostResponses: make(lostResponses), freshness: freshness{reportedEvacuations: make(map[string]time.Duration)},
		evacuated: make(map[string]*evacuationProgress), fillShares: make(map[string]float64),
		openLabels: make(map[string]bool), placeable: make(map[*jobs.Step]bool), moves: make(map[*task]*move),
		near:        newNearPlaces(),
		scheduleDue: true, interference: placement.NewInterferenceModel(), colocations: placement.NewColocations(opts.Clock),
		refusals: make(map[placement.Reason]int), canPlaceTwoByStep: make(map[*jobs.Step]bool), holds: make(map[*task]*placement.Node),
	}
}

// Run runs the term until the context is done or leadership is lost; the error says which.
func (t *Term) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer t.leader.Invalidate()
	defer t.endEvacuationReports()
	defer t.endInterferenceReports()
	defer t.opts.Metrics.ackWait.Set(0)
	t.ctx = ctx
	if t.opts.Carriers != nil {
		t.opts.Carriers.Begin(carrier.Session{Valid: t.leader.Valid, Post: t.post, Lost: t.reassignCarrier})
		defer t.opts.Carriers.End()
	}
	var ended error
	// After a panic the state of the term cannot be relied on. The next term reads it from the store.
	if panicked := t.opts.Guard.Do("term", func() { ended = t.control() }); panicked != nil {
		return panicked
	}
	return ended
}

// control is the control goroutine: it reads what earlier terms stored and then handles events until the term ends.
func (t *Term) control() error {
	ctx := t.ctx
	t.startedAt = t.opts.Clock()
	t.spawn("evacuations read", t.confirmEvacuations)
	from, err := t.load()
	if err != nil {
		return err
	}
	t.spawn("intake watch", func() { t.watchIntake(from.intake) })
	t.spawn("worker watch", func() { t.watchWorkers(from.workers) })
	t.spawn("state collection", t.collectExpiredStates)
	t.loadedAt = t.opts.Clock()
	took := t.loadedAt - t.startedAt
	t.opts.Metrics.tookOver(took)
	t.logTakenOver(took)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	dueTimer := time.NewTimer(0)
	defer dueTimer.Stop()
	for {
		if wait := t.untilDue(); wait > 0 {
			dueTimer.Reset(wait)
		}
		select {
		case <-ctx.Done():
			return errors.WithStack(ctx.Err())
		case event := <-t.events:
			event()
			t.drainEvents()
			t.passDue = true
		case <-ticker.C:
			t.noteTick()
		case <-dueTimer.C:
		}
		if err := t.advance(); err != nil {
			return err
		}
	}
}

// noteTick records how late the control goroutine handles a tick and checks the process for CPU overload.
func (t *Term) noteTick() {
	now := t.opts.Clock()
	t.lag.note(now)
	t.watchOverload(now)
}

// untilDue returns the time until a delayed pass over the workers, scheduling cycle or commit is due; 0 if none is
// pending. While the term is paused it returns 0, as the ticker suffices then.
func (t *Term) untilDue() time.Duration {
	if t.paused {
		return 0
	}
	now := t.opts.Clock()
	var wait time.Duration
	if t.scheduleDue {
		wait = max(t.nextSchedule-now, time.Millisecond)
	}
	if pass := max(t.nextPass-now, time.Millisecond); t.passDue && (wait == 0 || pass < wait) {
		wait = pass
	}
	if overdue := max(t.overdueAt-now, time.Millisecond); t.overdueAt > 0 && (wait == 0 || overdue < wait) {
		wait = overdue
	}
	consider := func(q *commitQueue) {
		if due := q.wait(now); due > 0 && (wait == 0 || due < wait) {
			wait = due
		}
	}
	consider(&t.records)
	for group := range t.states {
		consider(&t.states[group])
	}
	return wait
}

// drainEvents handles the queued events, so that they share one scheduling cycle and one commit.
func (t *Term) drainEvents() {
	for range maxQueuedEvents {
		select {
		case event := <-t.events:
			event()
		default:
			return
		}
	}
}

// spawn runs f in a goroutine. The term ends if f panics: what waits for its result would wait for ever.
func (t *Term) spawn(place string, f func()) {
	go func() {
		if err := t.opts.Guard.Do(place, f); err != nil {
			t.post(func() { t.fail(err) })
		}
	}()
}

// post queues an event for the control goroutine.
func (t *Term) post(event func()) {
	select {
	case t.events <- event:
	case <-t.ctx.Done():
	}
}

// advance does the work that is due: a pass over the workers, a scheduling cycle, commits and retried commands. While
// the leadership lease has expired it only tries to renew it.
func (t *Term) advance() error {
	if t.failure != nil {
		return t.failure
	}
	now := t.opts.Clock()
	if t.pauseUnlessLeading(now) {
		return nil
	}
	pass := now >= t.nextPass
	if pass {
		t.nextPass, t.passDue = now+minPassInterval, false
		t.refreshOldEvacuations(now)
		t.refreshNodes(now)
		t.activateMore(now)
		t.rebalanceCarriers(now)
		t.expireAttempts(now)
		t.supervise(now)
		t.logFleet(now)
		t.nextPass = max(t.nextPass, now+min(maxPassInterval, passBackoffFactor*(t.opts.Clock()-now)))
	}
	if t.scheduleDue && now >= t.nextSchedule {
		t.scheduleDue = false
		if !pass {
			t.refreshNodes(now)
		}
		t.schedule(now)
		t.nextSchedule = now + max(minScheduleInterval, t.scheduleBackoff()*(t.opts.Clock()-now))
	}
	t.commit(now)
	if pass && !t.awaitsCarriers(now) {
		t.poll(now)
	}
	t.retryCommands(now)
	return nil
}

// scheduleBackoff returns how many times its duration the next scheduling cycle waits after one.
func (t *Term) scheduleBackoff() time.Duration {
	if t.carried() {
		return carriedBackoffFactor
	}
	return scheduleBackoffFactor
}

// fail makes the term end with an error after the current event.
func (t *Term) fail(err error) {
	if t.failure == nil {
		t.failure = err
	}
}

// markChanged notes a change of a job: it queues the rows to be stored and makes a scheduling cycle due.
func (t *Term) markChanged(j *job) {
	j.sequence++
	t.queueRecord(j)
	if j.stateOutdated() {
		t.queueState(j)
	}
	t.scheduleDue = true
}
