package execution

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"bronzehook/duty"
	"bronzehook/jobs"
	"bronzehook/logging"
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
	Manifest *manifest.Holder
	// WorkersTable has one row for each worker; ParseEntry reads it.
	WorkersTable string
	ParseEntry   func(store.Row) (workers.Entry, bool)
	Clock        duty.Clock
	// Now reads the time of day.
	Now    func() time.Time
	Logger zerolog.Logger
	// LeaseLength is how long a worker runs attempts on without hearing from the holder.
	LeaseLength time.Duration
	// FarFactor is how many times as long a task takes far from its data; 0 if that isn't known.
	FarFactor float64
	// Retention is how long the state of an ended job can be read at the least.
	Retention time.Duration
	Metrics   *Metrics
}

// Timing of a term.
const (
	tickEvery = 100 * time.Millisecond
	// lookWait is how long a worker holds its answer while nothing ends.
	lookWait = 2 * time.Second
	// uncommittedLook is the pause between looks at a worker whose ends are not stored yet.
	uncommittedLook = time.Second
	commitGap       = 15 * time.Millisecond
	// scheduleGap is the least time between two passes of placement; a pass that took long is followed by a pause of
	// scheduleShare times its duration, so that other work of the duty is not held up.
	scheduleGap   = 10 * time.Millisecond
	scheduleShare = 4
	intakeWait    = time.Second
	intakeGap     = 20 * time.Millisecond
	workersWait   = time.Second
	workersGap    = 250 * time.Millisecond
	watchRetry    = 200 * time.Millisecond
	eventBacklog  = 1024
)

// Term is one term of office.
type Term struct {
	opts   Options
	holder *duty.Holder
	ctx    context.Context
	events chan func()
	log    zerolog.Logger

	jobs  map[jobs.ID]*job
	order []*job
	// unsettled holds the attempts for which an order may have to be repeated.
	unsettled map[*run]struct{}
	workers   map[workers.ID]*worker
	nodes     nodeList
	// early holds cancellations of jobs that are not known yet.
	early map[jobs.ID]bool

	disturbance *placement.Disturbance
	failures    placement.Failures
	// refusals counts, since the last line about the fleet, why tasks could not be placed.
	refusals map[placement.Reason]int
	// holds names the worker on which room is held for a task.
	holds map[*task]*placement.Node
	// urgent and short are the demand for short work of the first priority and for all short work.
	urgent, short demand
	// usable counts the usable workers, capacity their processors.
	usable, capacity int
	// free is the room of the usable workers that short work can use, in thousandths of a core.
	free int

	sizes sizes

	// asking is set while a question to the advice service is under way.
	asking bool

	// obsolete holds the records of ended jobs that are to be removed.
	obsolete []store.Key

	// records and, by group of jobs, states are what has to be stored.
	records lane
	states  [store.Groups]lane
	renewAt time.Duration
	// countsAt is when the counts of pending jobs are due.
	countsAt time.Duration
	// unplaced is set when something happened that may let a task be placed.
	unplaced     bool
	nextSchedule time.Duration
	scheduledAt  time.Duration
	offset       int
	failure      error
	// paused is set, since pausedAt, while the duty has lapsed and no other instance has taken it.
	paused      bool
	pausedAt    time.Duration
	began       time.Duration
	superviseAt time.Duration
	stockAt     time.Duration
}

// NewTerm returns a term of office for a holder.
func NewTerm(opts Options, holder *duty.Holder) *Term {
	return &Term{
		opts: opts, holder: holder, events: make(chan func(), eventBacklog),
		log:  opts.Logger.With().Uint64(logging.KeyEpoch, holder.Epoch()).Logger(),
		jobs: make(map[jobs.ID]*job), workers: make(map[workers.ID]*worker), early: make(map[jobs.ID]bool),
		unsettled: make(map[*run]struct{}), sizes: make(sizes),
		unplaced: true, disturbance: placement.NewDisturbance(),
		refusals: make(map[placement.Reason]int), holds: make(map[*task]*placement.Node),
	}
}

// Run serves until the context ends or another instance has taken the duty; the error says which.
func (t *Term) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer t.holder.Abandon()
	t.ctx = ctx
	t.began = t.opts.Clock()
	start, err := t.load()
	if err != nil {
		return err
	}
	go t.watchIntake(start.intake)
	go t.watchWorkers(start.workers)
	go t.trim()
	t.log.Info().Int("jobs", len(t.jobs)).Int("workers", len(t.workers)).
		Dur("took", t.opts.Clock()-t.began).Msg("duty taken")
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
		case <-ticker.C:
		case <-soon.C:
		}
		if err := t.advance(); err != nil {
			return err
		}
	}
}

// untilDue returns the time until a pass of placement or a commit that was put off is due; 0 if none was.
func (t *Term) untilDue() time.Duration {
	now := t.opts.Clock()
	var wait time.Duration
	if t.unplaced {
		wait = max(t.nextSchedule-now, time.Millisecond)
	}
	sooner := func(l *lane) {
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

func (t *Term) advance() error {
	if t.failure != nil {
		return t.failure
	}
	now := t.opts.Clock()
	if t.pauseUnlessValid(now) {
		return nil
	}
	t.refreshNodes(now)
	t.expire(now)
	t.supervise(now)
	t.logStock(now)
	if t.unplaced && now >= t.nextSchedule {
		t.unplaced = false
		t.schedule(now)
		t.nextSchedule = now + max(scheduleGap, scheduleShare*(t.opts.Clock()-now))
	}
	t.commit(now)
	t.look(now)
	t.resend(now)
	return nil
}

// renewPause is the pause between attempts to renew a duty that has lapsed.
const renewPause = 150 * time.Millisecond

// pauseUnlessValid gives no orders while the duty has not been renewed in time, and only tries to renew it. Nothing needs to
// be read again if that succeeds: no other instance has held the duty in between. If one has, the renewal says so.
func (t *Term) pauseUnlessValid(now time.Duration) bool {
	if t.holder.Valid() {
		if t.paused {
			t.log.Info().Dur("paused", now-t.pausedAt).Msg("duty resumed")
			t.paused, t.unplaced = false, true
		}
		return false
	}
	if !t.paused {
		t.paused, t.pausedAt = true, now
		t.log.Warn().Dur("duty_age", t.holder.Age()).Msg("duty paused, not renewed in time")
	}
	if t.records.ready(now) {
		t.renewAt = 0
		t.commitRecords(now)
		t.records.next = now + renewPause
	}
	return true
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
	if j.stateDue() {
		t.markState(j)
	}
	t.unplaced = true
}
