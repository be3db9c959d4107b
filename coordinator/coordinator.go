// Package coordinator implements the coordinator role, which the instance that owns the coordinator unit performs: it
// keeps the durable record of every task, decides which attempt runs where, and sends commands to the owners of racks.
//
// Every write of the coordinator is a table transaction that requires its unit row to be unchanged, so a coordinator
// that was replaced while it was paused or partitioned cannot change anything. All state is owned by the event loop.
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
	// CycleInterval is the time between two scheduling cycles. The design peak of 150 starts a second is 30 per cycle.
	CycleInterval = 200 * time.Millisecond
	// maxDecisionInterval is the longest time between two decisions while no task has changed. It bounds how late a
	// change that is not reported to the coordinator takes effect: a drain, an owner whose instance lease expired, the
	// end of a wait.
	maxDecisionInterval = time.Second
	// maxTasksPerTxn bounds the number of tasks in one transaction.
	maxTasksPerTxn = 50
	// commitSpacing is the delay after a full transaction. A start writes three rows (pending, assigned, done), so the
	// peak of 150 starts a second needs 450 rows a second; one transaction of 50 tasks per cycle writes only 250.
	commitSpacing = 90 * time.Millisecond
	// reportTimeout is how long a persisted assignment may go without a report before the owner of its rack is queried.
	reportTimeout = 4 * time.Second
	// stopRetryInterval is how long a stop command may go without effect before it is sent again. The message may have
	// been lost, or the checkpoint may have failed; the owner of the rack ignores repetitions while a stop is in
	// progress.
	stopRetryInterval = 5 * time.Second
	// sendTimeout bounds one message to a rack owner.
	sendTimeout = 2 * time.Second
	// commitTimeout bounds one try of a transaction, or one load of the task records.
	commitTimeout = 3 * time.Second
	// retryDelay is the wait before a failed load, or a transaction with an unknown result, is tried again.
	retryDelay = 500 * time.Millisecond
	// minStableRunTime is how long an attempt of a service or watcher must have run for its failure count to be reset.
	minStableRunTime = time.Minute
)

// UnitOwner is the owner of a unit and the ownership epoch under which it owns the unit.
type UnitOwner struct {
	Owner api.InstanceID
	Epoch api.Epoch
}

// Cluster gives the coordinator access to units, workers and configuration.
type Cluster interface {
	// UnitOwner returns the owner of a unit; ok is false if it has none, or if the owner's instance lease has expired.
	UnitOwner(unit api.Unit) (claim UnitOwner, ok bool)
	// ReportExpected reports whether heartbeats of the unit's owner are received, or the unit has yet to be acquired.
	ReportExpected(unit api.Unit) bool
	// Check returns the ownership epoch of a unit that this instance owns and may act for.
	Check(unit api.Unit) (api.Epoch, error)
	// Workloads returns the active workload set; nil before the first one.
	Workloads() *api.WorkSet
	// Workers returns the workers that the directory lists, and those that operators are draining.
	Workers() (workers []api.Worker, drained map[api.WorkerID]bool)
	// UnitVersion reads the unit's row and returns its version. It fails with CodeNotOwner if the row does not name
	// this instance as the owner with the given ownership epoch.
	UnitVersion(ctx context.Context, unit api.Unit, epoch api.Epoch) (uint64, error)
}

// Sender delivers commands to rack owners.
type Sender interface {
	SendCommands(ctx context.Context, to api.InstanceID, commands runner.Orders) ([]runner.AttemptReport, error)
}

// Event is a change of a task, for the audit log and the metrics.
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
	// AttemptLease is the attempt lease: how long an attempt may run without a renewal.
	AttemptLease time.Duration
	// NewOpID returns a fresh operation ID.
	NewOpID func() string
	// Audit is called on the event loop for every change; it must not block.
	Audit func(Event)
	// Decider makes the scheduling decisions of a cycle.
	Decider Decider
}

// Coordinator performs the coordinator role while this instance owns the coordinator unit.
type Coordinator struct {
	options Options
	log     zerolog.Logger
	// stopped is closed by Stop; it interrupts waits.
	stopped chan struct{}
	// term is nil while this instance is not the coordinator.
	term *term
}

// term is the state of one coordinator term, an uninterrupted ownership of the coordinator unit by this instance.
// Results of calls made in an earlier coordinator term are dropped.
type term struct {
	epoch api.Epoch
	// unitVersion is the version of the coordinator's unit row that every transaction requires.
	unitVersion uint64
	loaded      bool
	// loadedAt is when the task records were loaded, and placementReady is set once placement may begin.
	loadedAt       time.Time
	placementReady bool
	committing     bool
	tasks          map[api.TaskID]*taskState
	// byUnit indexes the tasks by the rack that their row names.
	byUnit map[api.Unit]map[api.TaskID]*taskState
	// revision is the revision of the workload set that the tasks were last reconciled with.
	revision uint64
	// specHashes holds the spec hash of each service and watcher at that revision.
	specHashes map[string]uint64
	workers    map[api.WorkerID]runner.WorkerReport
	// outbox holds the commands that wait for the next send, and sending the instances with a message in flight.
	outbox  map[api.InstanceID]*runner.Orders
	sending map[api.InstanceID]bool
	// changed is set once a task or a worker has changed since the last decision, made at decidedAt.
	changed   bool
	decidedAt time.Time
	// workerViews and taskViews are the buffers of the last View, which are reused. Allocating them for each cycle took
	// 10 MB a cycle at 9,300 tasks.
	workerViews []WorkerView
	taskViews   []TaskView
}

// taskState is the coordinator's state of one task.
type taskState struct {
	row     api.Task
	version uint64
	// nextRow is the row that is to be written; nil if there is nothing to write.
	nextRow *api.Task
	// deleting is set if the row is to be deleted.
	deleting bool
	// inFlight is set while a transaction that contains the task is in flight.
	inFlight bool
	// lastReport is the last report on the current attempt; its Attempt is 0 if there was none.
	lastReport runner.AttemptReport
	// reportWaitSince is when the wait for a report began; each report and each query to the rack owner restarts the
	// wait.
	reportWaitSince time.Time
	assignedAt      time.Time
	startedAt       time.Time
	// unownedSince is when the rack of the attempt was first found without an owner; zero while it has one.
	unownedSince time.Time
	// stopping is set once a command to stop the attempt was queued, at stopAt.
	stopping bool
	stopAt   time.Time
	// notEviction is set if the attempt is being stopped for a reason that does not count as an eviction.
	notEviction bool
	throttle    float64
}

// New returns a coordinator that is not active; Claimed activates it.
func New(options Options) *Coordinator {
	return &Coordinator{
		options: options, log: options.Logger.With().Str("service", "coordinator").Logger(), stopped: make(chan struct{}),
	}
}

// Name implements kernel.Service.
func (c *Coordinator) Name() string { return "coordinator" }

// Requires implements kernel.Service.
func (c *Coordinator) Requires() []string { return []string{"control"} }

// Start begins the scheduling cycles; they do nothing while this instance is not the coordinator.
func (c *Coordinator) Start(context.Context) error {
	c.options.Loop.Every(CycleInterval, c.cycle)
	c.options.Loop.Every(modelSaveInterval, c.saveModelState)
	return nil
}

// Stop interrupts waits between tries; the cycles end with the event loop.
func (c *Coordinator) Stop(context.Context) error {
	close(c.stopped)
	return nil
}

// sleepBeforeRetry waits before a failed call is tried again.
func (c *Coordinator) sleepBeforeRetry() { c.sleep(retryDelay) }

// sleep waits for limit, or until the coordinator is stopped.
func (c *Coordinator) sleep(limit time.Duration) {
	select {
	case <-c.stopped:
	case <-c.options.Clock.After(limit):
	}
}

// Acquired starts a coordinator term after the coordinator unit was acquired. It is called on the event loop.
func (c *Coordinator) Acquired(epoch api.Epoch) {
	t := &term{
		epoch: epoch, tasks: map[api.TaskID]*taskState{}, byUnit: map[api.Unit]map[api.TaskID]*taskState{},
		workers: map[api.WorkerID]runner.WorkerReport{},
		outbox:  map[api.InstanceID]*runner.Orders{}, sending: map[api.InstanceID]bool{},
	}
	c.term = t
	c.log.Info().Uint64(logging.KeyEpoch, uint64(epoch)).Msg("coordinator role acquired")
	c.load(t)
	c.restoreModelState(t)
}

// Lost ends the coordinator term. It is called on the event loop.
func (c *Coordinator) Lost() {
	if c.term != nil {
		c.log.Info().Uint64(logging.KeyEpoch, uint64(c.term.epoch)).Msg("coordinator role lost")
	}
	c.term = nil
}

// Active reports whether this instance is the coordinator and has loaded the task records.
func (c *Coordinator) Active() bool { return c.term != nil && c.term.loaded }

// load reads the unit row and all task records, and retries until it has both or the coordinator term has ended. A
// coordinator that was replaced without noticing finds another owner in the row and never gets past this step.
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
			c.log.Warn().Err(err).Msg("task records not loaded, retrying")
			c.sleepBeforeRetry()
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
			c.log.Error().Str("key", row.Key).Err(err).Msg("task record not decoded, skipping it")
			continue
		}
		task := &taskState{version: row.Version, assignedAt: now, reportWaitSince: now, throttle: 1}
		t.tasks[record.ID] = task
		t.setRow(task, record)
	}
	t.unitVersion = unitVersion
	t.loaded = true
	t.loadedAt = now
	c.log.Info().Int("tasks", len(t.tasks)).Uint64(logging.KeyEpoch, uint64(t.epoch)).Msg("task records loaded")
}

// cycle runs one scheduling cycle: it reconciles tasks with the configuration, checks running attempts, makes
// decisions, commits changed rows and sends commands.
func (c *Coordinator) cycle() {
	t := c.term
	if t == nil || !t.loaded {
		return
	}
	if _, err := c.options.Cluster.Check(api.Coordinator); err != nil {
		return
	}
	workloads := c.options.Cluster.Workloads()
	if workloads == nil {
		return
	}
	if workloads.Revision != t.revision {
		c.reconcile(t, workloads)
		t.revision = workloads.Revision
		t.changed = true
	}
	c.checkAttempts(t)
	if c.checkPlacementReady(t) && t.decisionDue(c.options.Clock.Now()) {
		c.decide(t, workloads)
	}
	c.commit(t)
	c.sendCommands(t)
}

// decisionDue reports whether a decision has to be made, and if so records it as made at now.
func (t *term) decisionDue(now time.Time) bool {
	if !t.changed && now.Sub(t.decidedAt) < maxDecisionInterval {
		return false
	}
	t.changed = false
	t.decidedAt = now
	return true
}

// setRow applies the row of a task as stored in the table and updates the index by rack.
func (t *term) setRow(task *taskState, row api.Task) {
	if task.row.Unit != row.Unit {
		t.removeFromUnit(row.ID, task)
	}
	task.row = row
	if row.Unit == (api.Unit{}) {
		return
	}
	if t.byUnit[row.Unit] == nil {
		t.byUnit[row.Unit] = map[api.TaskID]*taskState{}
	}
	t.byUnit[row.Unit][row.ID] = task
}

// removeTask removes a task from the in-memory state.
func (t *term) removeTask(id api.TaskID, task *taskState) {
	t.removeFromUnit(id, task)
	delete(t.tasks, id)
}

// removeFromUnit removes a task from byUnit. A rack without tasks is removed as well, because racks come and go.
func (t *term) removeFromUnit(id api.TaskID, task *taskState) {
	unit := task.row.Unit
	delete(t.byUnit[unit], id)
	if len(t.byUnit[unit]) == 0 {
		delete(t.byUnit, unit)
	}
}
