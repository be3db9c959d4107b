// Package runner manages the workers of the racks that this instance owns: it fences them, polls their inventories,
// starts, renews, throttles, checkpoints and stops attempts, and checks each command against the current state of the
// worker.
//
// All methods of Runner are called on the event loop, except Permits and Reachable; calls to workers and to the
// coordinator run on goroutines of their own, which post their results to the event loop.
package runner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"bronzehook/api"
	"bronzehook/backend"
	"bronzehook/logging"
)

// Loop is the event loop: a single goroutine that owns all control state.
type Loop interface {
	Post(f func())
	Every(interval time.Duration, f func())
}

// Ownership reports whether this instance may act for a unit. Check is called right before a request is sent to a
// worker.
type Ownership interface {
	Check(unit api.Unit) (api.Epoch, error)
}

// Reporter delivers a report to the coordinator.
type Reporter interface {
	Report(ctx context.Context, report Report) (ReportReply, error)
}

// Slots bounds the requests in flight towards each worker. It is safe for concurrent use.
type Slots interface {
	// SetCapacity sets the slots and connections of a worker in an owned rack, and how many requests of earlier owners are
	// still in flight there.
	SetCapacity(worker api.WorkerID, slots, connections, inherited int)
	Remove(worker api.WorkerID)
	// WaitIdle waits until no request is in flight towards an endpoint, at most for limit.
	WaitIdle(ctx context.Context, worker api.WorkerID, task api.TaskID, limit time.Duration)
}

// Options configures a Runner.
type Options struct {
	Self      api.InstanceID
	Clock     clockwork.Clock
	Loop      Loop
	Workers   backend.Workers
	Ownership Ownership
	Reporter  Reporter
	Slots     Slots
	Logger    zerolog.Logger
	// AttemptLease is the attempt lease: how long an attempt may run without a renewal. It is the same on all instances,
	// because a new owner waits this long before it treats the attempts of an unreachable worker as terminated.
	AttemptLease time.Duration
	// InstanceLease is the instance lease duration: how long the instance lease stays valid after its last confirmation.
	InstanceLease time.Duration
	// EndpointsChanged is called on the event loop whenever the endpoints of owned racks have changed.
	EndpointsChanged func(endpoints []api.Endpoint)
}

// Intervals and bounds.
const (
	// PollInterval is the time between two inventory polls of a worker, and between two reports of a rack.
	PollInterval = time.Second
	// UsageInterval is the time between two reads of a worker's resource usage.
	UsageInterval = 5 * time.Second
	// FullReportInterval is the time between two full reports of a rack.
	FullReportInterval = 30 * time.Second
	// StartValidity is how long a start request stays valid after it was created.
	StartValidity = 3 * time.Second
	// ClockDriftMargin is the clock drift margin: the wait after the expiry of an attempt lease before an attempt on an
	// unreachable worker is treated as terminated. It covers clocks that run at slightly different rates; 1 s in 30 s
	// is far above the drift of any real clock.
	ClockDriftMargin = time.Second
	// DrainTime bounds the wait for the requests in flight to an endpoint before its task is stopped.
	DrainTime = 30 * time.Second
	// callTimeout bounds one call to a worker, or one report to the coordinator.
	callTimeout = 2 * time.Second
	// renewalsPerLease is the number of renewals within one attempt lease; it allows for a few lost ones.
	renewalsPerLease = 6
)

// Runner manages the workers of owned racks.
type Runner struct {
	options Options
	log     zerolog.Logger
	workers map[api.WorkerID]api.Worker
	drained map[api.WorkerID]bool
	racks   map[api.Unit]*ownedRack
	permits *Permits
	// coordinatorEpoch is the highest ownership epoch of a coordinator that sent commands.
	coordinatorEpoch api.Epoch
	// reachable is the number of workers that answered their last poll, for metrics.
	reachable atomic.Int64
}

// ownedRack is the state of a rack that this instance owns.
type ownedRack struct {
	unit       api.Unit
	epoch      api.Epoch
	acquiredAt time.Time
	workers    map[api.WorkerID]*worker
	// terminated holds, by task, the highest attempt that is known to have terminated and is not in the attempts of any
	// worker, so that a delayed assignment of it is refused.
	terminated     map[api.TaskID]uint64
	reportInFlight bool
	lastFullReport time.Time
	pendingUsage   []UsageReport
}

// New returns a runner that owns no racks yet.
func New(options Options) *Runner {
	return &Runner{
		options: options,
		log:     options.Logger.With().Str("service", "runner").Logger(),
		workers: map[api.WorkerID]api.Worker{},
		drained: map[api.WorkerID]bool{},
		racks:   map[api.Unit]*ownedRack{},
		permits: &Permits{now: options.Clock.Now, ownership: options.Ownership, instanceLease: options.InstanceLease},
	}
}

// Name implements kernel.Service.
func (r *Runner) Name() string { return "runner" }

// Requires implements kernel.Service.
func (r *Runner) Requires() []string { return []string{"control"} }

// Start begins the periodic inventory polls, renewals, usage reads and reports.
func (r *Runner) Start(context.Context) error {
	loop := r.options.Loop
	loop.Every(PollInterval, r.pollAll)
	loop.Every(r.options.AttemptLease/renewalsPerLease, r.renewAll)
	loop.Every(UsageInterval, r.readAllUsage)
	loop.Every(PollInterval, r.reportAll)
	return nil
}

// Stop implements kernel.Service; the periodic calls end with the event loop.
func (r *Runner) Stop(context.Context) error { return nil }

// Permits returns the permits to send requests to endpoints. It is safe for concurrent use.
func (r *Runner) Permits() *Permits { return r.permits }

// Reachable returns the number of workers in owned racks that answered their last poll. It is safe for concurrent use.
func (r *Runner) Reachable() int64 { return r.reachable.Load() }

// SetWorkers sets the workers that the directory lists and those that operators are draining. A worker that is missing
// from the directory stays in its rack.
func (r *Runner) SetWorkers(workers []api.Worker, drained map[api.WorkerID]bool) {
	r.drained = drained
	for _, w := range workers {
		r.workers[w.ID] = w
		rack := r.racks[w.RackUnit()]
		if rack == nil {
			continue
		}
		if current := rack.workers[w.ID]; current != nil {
			current.info.Leaving = w.Leaving
			r.setAddr(rack, current, w.Addr)
			r.refreshEndpoints(rack, current)
			continue
		}
		r.addWorker(rack, w)
	}
}

// Acquired begins to manage a rack after it was acquired with the ownership epoch. Workers are fenced before they get
// attempts.
func (r *Runner) Acquired(unit api.Unit, epoch api.Epoch) {
	rack := &ownedRack{
		unit: unit, epoch: epoch, acquiredAt: r.options.Clock.Now(),
		workers: map[api.WorkerID]*worker{}, terminated: map[api.TaskID]uint64{},
	}
	r.racks[unit] = rack
	for _, w := range r.workers {
		if w.RackUnit() == unit {
			r.addWorker(rack, w)
		}
	}
	r.log.Info().Str(logging.KeyUnit, unit.Key()).Uint64(logging.KeyEpoch, uint64(epoch)).Int("workers", len(rack.workers)).
		Msg("rack acquired")
}

// Lost stops managing a rack after its ownership was lost.
func (r *Runner) Lost(unit api.Unit) {
	rack := r.racks[unit]
	if rack == nil {
		return
	}
	delete(r.racks, unit)
	for id := range rack.workers {
		r.options.Slots.Remove(id)
		r.permits.remove(id)
	}
	r.publishEndpoints()
	r.log.Info().Str(logging.KeyUnit, unit.Key()).Uint64(logging.KeyEpoch, uint64(rack.epoch)).Msg("rack lost")
}

func (r *Runner) addWorker(rack *ownedRack, info api.Worker) {
	w := &worker{
		info: info, client: r.options.Workers.Worker(info),
		attempts: map[api.TaskID]*attempt{}, unreachableSince: rack.acquiredAt,
	}
	rack.workers[info.ID] = w
	r.poll(rack, w)
}

// isCurrent reports whether rack is still the current state of its unit. Results of calls that were in flight when the
// rack was lost or acquired again are dropped.
func (r *Runner) isCurrent(rack *ownedRack) bool { return r.racks[rack.unit] == rack }
