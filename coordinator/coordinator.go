// Package coordinator holds the duty of the instance that owns the coordinator unit: it keeps the durable record of
// every task, decides which attempt runs where, and hands orders to the owners of the racks.
//
// Every act of the coordinator is a table transaction that requires its unit row to be unchanged, so a coordinator that
// was replaced while it was paused or cut off cannot change anything. All state is owned by the control goroutine.
package coordinator

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"bronzehook/api"
	"bronzehook/backend"
	"bronzehook/logging"
	"bronzehook/runner"
)

// Intervals and bounds.
const (
	// CycleInterval is the time between two scheduling cycles. At the design size, 150 starts a second are 30 a cycle.
	CycleInterval = 200 * time.Millisecond
	// idleInterval is the longest time between two decisions while no task has changed. It bounds how late a change that
	// is not reported to the coordinator takes effect: a drain, an owner that lapsed, a wait that is over.
	idleInterval = time.Second
	// maxBatch is the number of tasks in one transaction.
	maxBatch = 50
	// commitSpacing is the wait after a full transaction. A start writes three rows (pending, assigned, done), so the peak
	// of 150 starts a second needs 450 rows a second; one transaction of 50 in each cycle wrote 250.
	commitSpacing = 90 * time.Millisecond
	// seenTimeout is how long a recorded assignment may go without a report before its owner is asked about it.
	seenTimeout = 4 * time.Second
	// stopRetry is how long an attempt that was told to stop may go on before it is told again. The message may have been
	// lost, or the checkpoint failed; the owner of the rack ignores repetitions while it is at it.
	stopRetry = 5 * time.Second
	// orderTimeout bounds one message to the owner of racks.
	orderTimeout = 2 * time.Second
	// commitTimeout bounds one try of a transaction.
	commitTimeout = 3 * time.Second
	// retryDelay is the wait before a transaction with an unknown result is tried again under the same operation id.
	retryDelay = 500 * time.Millisecond
	// stableRun is how long an attempt of a service or watcher must have run for its earlier failures to be forgotten.
	stableRun = time.Minute
)

// Claim is what the coordinator needs to know of a unit's owner.
type Claim struct {
	Owner api.InstanceID
	Epoch api.Epoch
}

// Cluster tells the coordinator about units and configuration.
type Cluster interface {
	// Claim returns the owner of a unit; ok is false if nobody owns it.
	Claim(unit api.Unit) (claim Claim, ok bool)
	// ReportExpected reports whether the unit's owner is heard, or the unit is still to be claimed.
	ReportExpected(unit api.Unit) bool
	// Check returns the epoch of a unit that this instance owns and may act for.
	Check(unit api.Unit) (api.Epoch, error)
	// Work returns the configuration in force; nil before the first one.
	Work() *api.WorkSet
	// Workers returns the workers that the directory lists, and those that operators drain.
	Workers() (workers []api.Worker, drained map[api.WorkerID]bool)
	// UnitVersion reads the unit's row and returns its version. It fails with CodeNotOwner if the row does not name this
	// instance under the epoch.
	UnitVersion(ctx context.Context, unit api.Unit, epoch api.Epoch) (uint64, error)
}

// Sender delivers orders to the owner of racks.
type Sender interface {
	SendOrders(ctx context.Context, to api.InstanceID, orders runner.Orders) ([]runner.AttemptReport, error)
}

// Event is a change that the audit trail and the metrics learn of.
type Event struct {
	Action  string       `cbor:"1,keyasint"`
	Task    api.TaskID   `cbor:"2,keyasint"`
	Attempt uint64       `cbor:"3,keyasint"`
	Worker  api.WorkerID `cbor:"4,keyasint"`
	Reason  string       `cbor:"5,keyasint"`
}

// Options configures a Coordinator.
type Options struct {
	Self    api.InstanceID
	Clock   clockwork.Clock
	Loop    runner.Loop
	Table   backend.Table
	Objects backend.Objects
	Cluster Cluster
	Sender  Sender
	Logger  zerolog.Logger
	// Lease is how long an attempt may run without a renewal.
	Lease time.Duration
	// NewOpID returns a fresh operation id.
	NewOpID func() string
	// Audit is called on the control goroutine for every change; it must not block.
	Audit func(Event)
	// Decider makes the decisions of a cycle.
	Decider Decider
}

// Coordinator holds the coordinator duty while this instance owns the unit.
type Coordinator struct {
	options Options
	log     zerolog.Logger
	// stopped is closed by Stop; it ends waits between tries.
	stopped chan struct{}
	// term is nil while the duty is not held.
	term *term
}

// term is the state of one period of holding the duty. Results of calls made in an earlier term are dropped.
type term struct {
	epoch api.Epoch
	// unitVersion is the version of the unit row that every transaction requires.
	unitVersion uint64
	loaded      bool
	// loadedAt is when the task records were loaded, and settled is set once placement may begin.
	loadedAt   time.Time
	settled    bool
	committing bool
	tasks      map[api.TaskID]*task
	// byUnit holds the tasks by the rack that their row names.
	byUnit map[api.Unit]map[api.TaskID]*task
	// revision is the configuration revision that the tasks were last reconciled with.
	revision uint64
	// statements holds the statement of each service and watcher at that revision.
	statements map[string]uint64
	workers    map[api.WorkerID]runner.WorkerReport
	// outbox holds orders that wait for the next send, by instance.
	outbox  map[api.InstanceID]*runner.Orders
	sending map[api.InstanceID]bool
	// changed is set once a task or a worker has changed since the last decision, made at decidedAt.
	changed   bool
	decidedAt time.Time
	// workerViews and taskViews are the memory of the last View. Allocating it anew took 10 MB a cycle at 9,300 tasks.
	workerViews []WorkerView
	taskViews   []TaskView
}

// task is the coordinator's state of one task.
type task struct {
	row     api.Task
	version uint64
	// next is the row that is to be written; nil if there is nothing to write.
	next *api.Task
	// deleting is set if the row is to be deleted.
	deleting bool
	// inFlight is set while a transaction that contains the task is under way.
	inFlight bool
	// seen is the last report about the current attempt; its Attempt is 0 if there was none.
	seen       runner.AttemptReport
	seenAt     time.Time
	assignedAt time.Time
	startedAt  time.Time
	// orphanedSince is when the rack of the attempt was first found without an owner; zero while it has one.
	orphanedSince time.Time
	// stopping is set once the attempt was told to stop, at stopAt.
	stopping bool
	stopAt   time.Time
	// forced is set if the attempt was told to stop for a reason that does not count as an eviction.
	forced   bool
	throttle float64
}

// New returns a coordinator without the duty.
func New(options Options) *Coordinator {
	return &Coordinator{
		options: options, log: options.Logger.With().Str("service", "coordinator").Logger(), stopped: make(chan struct{}),
	}
}

// Name implements kernel.Service.
func (c *Coordinator) Name() string { return "coordinator" }

// Requires implements kernel.Service.
func (c *Coordinator) Requires() []string { return []string{"control"} }

// Start begins the scheduling cycles; they do nothing while the duty is not held.
func (c *Coordinator) Start(context.Context) error {
	c.options.Loop.Every(CycleInterval, c.cycle)
	c.options.Loop.Every(learnedInterval, c.saveLearned)
	return nil
}

// Stop ends waits between tries; the cycles end with the control goroutine.
func (c *Coordinator) Stop(context.Context) error {
	close(c.stopped)
	return nil
}

// pause waits before another try of a failed call.
func (c *Coordinator) pause() { c.wait(retryDelay) }

// wait waits for a time or for the stop.
func (c *Coordinator) wait(limit time.Duration) {
	select {
	case <-c.stopped:
	case <-c.options.Clock.After(limit):
	}
}

// Claimed begins a term. It is called on the control goroutine.
func (c *Coordinator) Claimed(epoch api.Epoch) {
	t := &term{
		epoch: epoch, tasks: map[api.TaskID]*task{}, byUnit: map[api.Unit]map[api.TaskID]*task{},
		workers: map[api.WorkerID]runner.WorkerReport{},
		outbox:  map[api.InstanceID]*runner.Orders{}, sending: map[api.InstanceID]bool{},
	}
	c.term = t
	c.log.Info().Uint64(logging.KeyEpoch, uint64(epoch)).Msg("coordinator duty claimed")
	c.load(t)
	c.restoreLearned(t)
}

// Lost ends the term. It is called on the control goroutine.
func (c *Coordinator) Lost() {
	if c.term != nil {
		c.log.Info().Uint64(logging.KeyEpoch, uint64(c.term.epoch)).Msg("coordinator duty lost")
	}
	c.term = nil
}

// Active reports whether the duty is held and its state is loaded.
func (c *Coordinator) Active() bool { return c.term != nil && c.term.loaded }

// load reads the unit row and all tasks, and tries again until it has both or the term has ended. A coordinator that was
// replaced without knowing it finds another owner in the row and never gets past here.
func (c *Coordinator) load(t *term) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
		defer cancel()
		version, err := c.options.Cluster.UnitVersion(ctx, api.Coordinator, t.epoch)
		var rows []backend.Row
		if err == nil {
			rows, err = c.options.Table.List(ctx, taskPrefix)
		}
		if err != nil {
			c.log.Warn().Err(err).Msg("task records not loaded, trying again")
			c.pause()
		}
		c.options.Loop.Post(func() {
			if c.term != t {
				return
			}
			if err != nil {
				c.load(t)
				return
			}
			c.loadRows(t, version, rows)
		})
	}()
}

func (c *Coordinator) loadRows(t *term, unitVersion uint64, rows []backend.Row) {
	now := c.options.Clock.Now()
	for _, row := range rows {
		record, err := decodeTask(row.Value)
		if err != nil {
			c.log.Error().Str("key", row.Key).Err(err).Msg("task record not readable")
			continue
		}
		known := &task{version: row.Version, assignedAt: now, seenAt: now, throttle: 1}
		t.tasks[record.ID] = known
		t.setRow(known, record)
	}
	t.unitVersion = unitVersion
	t.loaded = true
	t.loadedAt = now
	c.log.Info().Int("tasks", len(t.tasks)).Uint64(logging.KeyEpoch, uint64(t.epoch)).Msg("task records loaded")
}

// cycle brings tasks in line with the configuration, watches running attempts, decides, writes and sends.
func (c *Coordinator) cycle() {
	t := c.term
	if t == nil || !t.loaded {
		return
	}
	if _, err := c.options.Cluster.Check(api.Coordinator); err != nil {
		return
	}
	work := c.options.Cluster.Work()
	if work == nil {
		return
	}
	if work.Revision != t.revision {
		c.reconcile(t, work)
		t.revision = work.Revision
		t.changed = true
	}
	c.watchAttempts(t)
	if c.settle(t) && t.due(c.options.Clock.Now()) {
		c.decide(t, work)
	}
	c.commit(t)
	c.send(t)
}

// due reports whether a decision has to be made, and if so counts it as made.
func (t *term) due(now time.Time) bool {
	if !t.changed && now.Sub(t.decidedAt) < idleInterval {
		return false
	}
	t.changed = false
	t.decidedAt = now
	return true
}

// setRow takes over the row of a task as the table holds it.
func (t *term) setRow(known *task, row api.Task) {
	if known.row.Unit != row.Unit {
		t.leaveUnit(row.ID, known)
	}
	known.row = row
	if row.Unit == (api.Unit{}) {
		return
	}
	if t.byUnit[row.Unit] == nil {
		t.byUnit[row.Unit] = map[api.TaskID]*task{}
	}
	t.byUnit[row.Unit][row.ID] = known
}

// drop forgets a task.
func (t *term) drop(id api.TaskID, known *task) {
	t.leaveUnit(id, known)
	delete(t.tasks, id)
}

// leaveUnit takes a task out of byUnit. A rack without tasks is dropped, because racks come and go.
func (t *term) leaveUnit(id api.TaskID, known *task) {
	unit := known.row.Unit
	delete(t.byUnit[unit], id)
	if len(t.byUnit[unit]) == 0 {
		delete(t.byUnit, unit)
	}
}
