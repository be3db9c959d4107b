package execution

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"bronzehook/jobs"
	"bronzehook/leadership"
	"bronzehook/logging"
	"bronzehook/maintenance"
	"bronzehook/manifest"
	"bronzehook/placement"
	"bronzehook/store"
	"bronzehook/workers"
)

// Options configures terms of office.
type Options struct {
	Table   store.Table
	Workers workers.Client
	// Advisor is nil where no queue has advice.
	Advisor  workers.Advisor
	Manifest *manifest.Provider
	// WorkersTable has one row for each worker; ParseEntry reads it.
	WorkersTable string
	ParseEntry   func(store.Row) (workers.Registration, bool)
	Clock        leadership.Clock
	// Now reads the time of day.
	Now    func() time.Time
	Logger zerolog.Logger
	// AttemptLeaseDuration is how long a worker runs attempts on without hearing from the holder.
	AttemptLeaseDuration time.Duration
	// FarFactor is how many times as long a task takes far from its data; 0 if that isn't known.
	FarFactor float64
	// Retention is how long the state of an ended job can be read at the least.
	Retention time.Duration
	Metrics   *Metrics
	// Machines is nil where nobody looks after the machines. The operator's waves of maintenance are on the board Waves;
	// WaveStatus returns the row that tells how far a wave is.
	Machines   maintenance.Client
	Waves      *maintenance.Registry
	WaveStatus func(wave int, finished bool) store.Put
	// MachineTurn has to pass between orders of two holders of the duty for one machine.
	MachineTurn time.Duration
	// RunDelay returns the mean time that goroutines have waited for a processor since it was called last. Overloaded is told, twice
	// a second, while that is long; it must not block. Both are nil where nobody wants to know.
	RunDelay   func() time.Duration
	Overloaded func(delay time.Duration)
}

// Timing of a term.
const (
	tickEvery = 100 * time.Millisecond
	// pollWait is how long a worker holds its answer while nothing ends.
	pollWait = 2 * time.Second
	// uncommittedPollInterval is the pause between looks at a worker whose ends are not stored yet.
	uncommittedPollInterval = time.Second
	commitGap               = 15 * time.Millisecond
	// scheduleGap is the least time between two passes of placement; a pass that took long is followed by a pause of
	// scheduleShare times its duration, so that other work of the duty is not held up.
	scheduleGap           = 10 * time.Millisecond
	scheduleBackoffFactor = 4
	// minPassInterval is the least time between two rounds over the workers.
	minPassInterval = 4 * time.Millisecond
	intakeWait      = time.Second
	intakeGap       = 20 * time.Millisecond
	workersWait     = time.Second
	workersGap      = 250 * time.Millisecond
	watchRetry      = 200 * time.Millisecond
	eventBacklog    = 1024
)

// Term is one term of office.
type Term struct {
	opts   Options
	leader *leadership.Leader
	ctx    context.Context
	events chan func()
	log    zerolog.Logger

	jobs  map[jobs.ID]*job
	order []*job
	// unconfirmed holds the attempts for which an order may have to be repeated.
	unconfirmed map[*taskAttempt]struct{}
	workers     map[workers.ID]*worker
	// active holds the workers that the term deals with, in no order; nodes are their accounts. pools is by service.
	active []*worker
	nodes  nodeList
	pools  map[string]*pool
	// workersWithAcks holds the workers with ends that they may forget once these are stored.
	workersWithAcks map[*worker]struct{}
	// early holds cancellations of jobs that are not known yet.
	early map[jobs.ID]bool

	interference *placement.InterferenceModel
	failures     placement.Failures
	// refusals counts, since the last line about the fleet, why tasks could not be placed.
	refusals map[placement.Reason]int
	// holds names the worker on which room is held for a task.
	holds map[*task]*placement.Node
	// topPriorityDemand and batchDemand are the demand for batchDemand work of the first priority and for all batchDemand work.
	topPriorityDemand, batchDemand demand
	// twice remembers for one pass of placement whether there is room twice over for a task of a step.
	twice map[*jobs.Step]bool
	// usable counts the usable workers, capacity their processors.
	usable, capacity int
	hedges           hedgeBudget
	lag              lag
	overload         overload
	lostResponses    lostResponses
	// degraded counts the workers that are closed to short tasks.
	degraded int
	// free is the room of the usable workers that short work can use, in thousandths of a core.
	free int

	sizes sizes

	// waves holds the waves of maintenance by number; closing names the wave for which a machine is being emptied.
	waves    map[int]*wave
	cordoned map[string]int

	// adviceInFlight is set while a question to the advice service is under way.
	adviceInFlight bool

	// obsolete holds the records of ended jobs that are to be removed.
	obsolete []store.Key

	// records and, by group of jobs, states are what has to be stored.
	records commitQueue
	states  [store.Groups]commitQueue
	renewAt time.Duration
	// intakeAt is when the changes of accepted jobs were read that were taken up last.
	intakeAt time.Duration
	// countsAt is when the counts of pending jobs are due.
	countsAt time.Duration
	// interferenceSaveAt is when what was learned about images is due.
	interferenceSaveAt time.Duration
	// scheduleDue is set when something happened that may let a task be placed.
	scheduleDue  bool
	nextSchedule time.Duration
	// nextPass is when the next round over the workers may begin; stale is set when something has happened since the last.
	nextPass    time.Duration
	passDue     bool
	scheduledAt time.Duration
	offset      int
	failure     error
	// loading is set while the tables are read at the beginning.
	loading bool
	// paused is set, since pausedAt, while the duty has lapsed and no other instance has taken it.
	paused      bool
	pausedAt    time.Duration
	startedAt   time.Duration
	superviseAt time.Duration
	fleetLogAt  time.Duration
}

// NewTerm returns a term of office for a holder.
func NewTerm(opts Options, holder *leadership.Leader) *Term {
	return &Term{
		opts: opts, leader: holder, events: make(chan func(), eventBacklog),
		log:  opts.Logger.With().Uint64(logging.KeyEpoch, holder.Epoch()).Logger(),
		jobs: make(map[jobs.ID]*job), workers: make(map[workers.ID]*worker), early: make(map[jobs.ID]bool),
		pools: make(map[string]*pool), workersWithAcks: make(map[*worker]struct{}),
		unconfirmed: make(map[*taskAttempt]struct{}), sizes: make(sizes), waves: make(map[int]*wave), cordoned: make(map[string]int),
		lostResponses: make(lostResponses),
		scheduleDue:   true, interference: placement.NewInterferenceModel(),
		refusals: make(map[placement.Reason]int), twice: make(map[*jobs.Step]bool), holds: make(map[*task]*placement.Node),
	}
}

// Run serves until the context ends or another instance has taken the duty; the error says which.
func (t *Term) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer t.leader.Invalidate()
	t.ctx = ctx
	t.startedAt = t.opts.Clock()
	start, err := t.load()
	if err != nil {
		return err
	}
	go t.watchIntake(start.intake)
	go t.watchWorkers(start.workers)
	go t.collectExpiredStates()
	took := t.opts.Clock() - t.startedAt
	t.opts.Metrics.tookOver(took)
	t.log.Info().Int("jobs", len(t.jobs)).Int("workers", len(t.workers)).Int("engaged", len(t.active)).Dur("took", took).Msg("duty taken")
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	soon := time.NewTimer(0)
	defer soon.Stop()
	for {
		if wait := t.untilDue(); wait > 0 {
			soon.Reset(wait)
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
		case <-soon.C:
		}
		if err := t.advance(); err != nil {
			return err
		}
	}
}

// noteTick takes up how late the term is, and how short of processor time.
func (t *Term) noteTick() {
	now := t.opts.Clock()
	t.lag.note(now)
	t.watchOverload(now)
}

// untilDue returns the time until a round, a pass of placement or a commit that was put off is due; 0 if none was. While the duty has
// lapsed the ticker suffices.
func (t *Term) untilDue() time.Duration {
	if t.paused {
		return 0
	}
	now := t.opts.Clock()
	var wait time.Duration
	if t.scheduleDue {
		wait = max(t.nextSchedule-now, time.Millisecond)
	}
	if round := max(t.nextPass-now, time.Millisecond); t.passDue && (wait == 0 || round < wait) {
		wait = round
	}
	sooner := func(l *commitQueue) {
		if due := l.wait(now); due > 0 && (wait == 0 || due < wait) {
			wait = due
		}
	}
	sooner(&t.records)
	for group := range t.states {
		sooner(&t.states[group])
	}
	return wait
}

// drainEvents handles events that have queued up, so that they share one decision and one commit.
func (t *Term) drainEvents() {
	for range eventBacklog {
		select {
		case event := <-t.events:
			event()
		default:
			return
		}
	}
}

// post hands a result to the control goroutine.
func (t *Term) post(event func()) {
	select {
	case t.events <- event:
	case <-t.ctx.Done():
	}
}

// advance takes the steps that are due: a round over the workers, a pass of placement, commits and repeated orders. While the duty
// has lapsed it takes none.
func (t *Term) advance() error {
	if t.failure != nil {
		return t.failure
	}
	now := t.opts.Clock()
	if t.pauseUnlessLeading(now) {
		return nil
	}
	round := now >= t.nextPass
	if round {
		t.nextPass, t.passDue = now+minPassInterval, false
		t.refreshNodes(now)
		t.activateMore(now)
		t.expire(now)
		t.supervise(now)
		t.logFleet(now)
	}
	if t.scheduleDue && now >= t.nextSchedule {
		t.scheduleDue = false
		if !round {
			t.refreshNodes(now)
		}
		t.schedule(now)
		t.nextSchedule = now + max(scheduleGap, scheduleBackoffFactor*(t.opts.Clock()-now))
	}
	t.commit(now)
	if round {
		t.poll(now)
	}
	t.retryCommands(now)
	return nil
}

// fail ends the term after the current event.
func (t *Term) fail(err error) {
	if t.failure == nil {
		t.failure = err
	}
}

// touch marks a job as changed.
func (t *Term) touch(j *job) {
	j.sequence++
	t.markRecord(j)
	if j.stateOutdated() {
		t.markState(j)
	}
	t.scheduleDue = true
}
