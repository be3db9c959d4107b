// Package runner drives the workers of the racks that this instance owns: it fences them, takes inventory, starts,
// renews, throttles, checkpoints and stops attempts, and checks each order again against what it knows of the worker.
//
// All methods of Runner are called on the control goroutine; input and output run on goroutines of their own and post
// their results back.
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

// Loop is the control goroutine.
type Loop interface {
	Post(f func())
	Every(interval time.Duration, f func())
}

// Ownership tells whether this instance may act for a unit. Check is called right before an order leaves.
type Ownership interface {
	Check(unit api.Unit) (api.Epoch, error)
}

// Reporter delivers a report to the coordinator.
type Reporter interface {
	Report(ctx context.Context, report Report) (ReportReply, error)
}

// Slots bounds the requests in flight towards each worker. It is safe for concurrent use.
type Slots interface {
	// Offer states what a worker of an own rack offers, and how many requests of earlier owners are still open there.
	Offer(worker api.WorkerID, slots, connections, older int)
	Withdraw(worker api.WorkerID)
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
	// Lease is how long an attempt may run without a renewal. It is the same on all instances, because a new owner
	// waits this long before it treats the attempts of an unreachable worker as ended.
	Lease time.Duration
	// Hold is the time that authority lasts after its last confirmation.
	Hold time.Duration
	// EndpointsChanged is called on the control goroutine whenever the endpoints of owned racks have changed.
	EndpointsChanged func(endpoints []api.Endpoint)
}

// Intervals and bounds.
const (
	// PollInterval is the time between two inventories of a worker.
	PollInterval = time.Second
	// UsageInterval is the time between two usage reports of a worker.
	UsageInterval = 5 * time.Second
	// FullReportInterval is the time between two full reports of a rack.
	FullReportInterval = 30 * time.Second
	// OrderValidity is how long a start order stays valid after it was decided.
	OrderValidity = 3 * time.Second
	// LeaseMargin is added to the end of a lease before an attempt on an unreachable worker counts as ended. It covers
	// clocks that run at slightly different rates: 1 s in 30 s is far above the drift of any real clock.
	LeaseMargin = time.Second
	// DrainTime bounds the wait for an endpoint's requests in flight before its task is stopped.
	DrainTime = 30 * time.Second
	// callTimeout bounds one call to a worker.
	callTimeout = 2 * time.Second
	// renewalsPerLease is the number of renewals within one lease, so that a few may be lost.
	renewalsPerLease = 6
)

// Runner drives the workers of owned racks.
type Runner struct {
	options Options
	log     zerolog.Logger
	workers map[api.WorkerID]api.Worker
	drained map[api.WorkerID]bool
	racks   map[api.Unit]*rack
	permits *Permits
	// coordinatorEpoch is the highest epoch of a coordinator that sent orders.
	coordinatorEpoch api.Epoch
	// reachable counts workers that answered their last inventory, for metrics.
	reachable atomic.Int64
}

// rack is an owned rack.
type rack struct {
	unit      api.Unit
	epoch     api.Epoch
	claimedAt time.Time
	workers   map[api.WorkerID]*worker
	// refused holds the highest attempt of a task that was reported as ended without having been seen here, so that a
	// late assignment of it is refused.
	refused    map[api.TaskID]uint64
	reporting  bool
	fullReport time.Time
	pendingUse []UsageReport
}

// New returns a runner that owns no racks yet.
func New(options Options) *Runner {
	return &Runner{
		options: options,
		log:     options.Logger.With().Str("service", "runner").Logger(),
		workers: map[api.WorkerID]api.Worker{},
		drained: map[api.WorkerID]bool{},
		racks:   map[api.Unit]*rack{},
		permits: &Permits{now: options.Clock.Now, ownership: options.Ownership, hold: options.Hold},
	}
}

// Name implements kernel.Service.
func (r *Runner) Name() string { return "runner" }

// Requires implements kernel.Service.
func (r *Runner) Requires() []string { return []string{"control"} }

// Start begins the periodic inventories, renewals and reports.
func (r *Runner) Start(context.Context) error {
	loop := r.options.Loop
	loop.Every(PollInterval, r.pollAll)
	loop.Every(r.options.Lease/renewalsPerLease, r.renewAll)
	loop.Every(UsageInterval, r.usageAll)
	loop.Every(PollInterval, r.reportAll)
	return nil
}

// Stop implements kernel.Service; the loops end with the control goroutine.
func (r *Runner) Stop(context.Context) error { return nil }

// Permits returns the permission to send to endpoints. It is safe for use by traffic goroutines.
func (r *Runner) Permits() *Permits { return r.permits }

// Reachable returns the number of owned workers that answered their last inventory.
func (r *Runner) Reachable() int64 { return r.reachable.Load() }

// SetWorkers hands in the directory's workers and those that operators drain. Workers that the directory no longer lists
// stay with their rack while they answer.
func (r *Runner) SetWorkers(workers []api.Worker, drained map[api.WorkerID]bool) {
	r.drained = drained
	for _, w := range workers {
		r.workers[w.ID] = w
		rack := r.racks[w.RackUnit()]
		if rack == nil {
			continue
		}
		if known := rack.workers[w.ID]; known != nil {
			known.info.Leaving = w.Leaving
			known.info.Addr = w.Addr
			r.refreshEndpoints(rack, known)
			continue
		}
		r.addWorker(rack, w)
	}
}

// Claimed begins to drive a rack under the epoch. Its workers are fenced before anything is given out.
func (r *Runner) Claimed(unit api.Unit, epoch api.Epoch) {
	owned := &rack{
		unit: unit, epoch: epoch, claimedAt: r.options.Clock.Now(),
		workers: map[api.WorkerID]*worker{}, refused: map[api.TaskID]uint64{},
	}
	r.racks[unit] = owned
	for _, w := range r.workers {
		if w.RackUnit() == unit {
			r.addWorker(owned, w)
		}
	}
	r.log.Info().Str(logging.KeyUnit, unit.Key()).Uint64(logging.KeyEpoch, uint64(epoch)).Int("workers", len(owned.workers)).
		Msg("rack claimed")
}

// Lost ends to drive a rack.
func (r *Runner) Lost(unit api.Unit) {
	owned := r.racks[unit]
	if owned == nil {
		return
	}
	delete(r.racks, unit)
	for id := range owned.workers {
		r.options.Slots.Withdraw(id)
		r.permits.remove(id)
	}
	r.publishEndpoints()
	r.log.Info().Str(logging.KeyUnit, unit.Key()).Uint64(logging.KeyEpoch, uint64(owned.epoch)).Msg("rack lost")
}

func (r *Runner) addWorker(owned *rack, info api.Worker) {
	w := &worker{
		info: info, client: r.options.Workers.Worker(info),
		attempts: map[api.TaskID]*attempt{}, unreachableSince: owned.claimedAt,
	}
	owned.workers[info.ID] = w
	r.poll(owned, w)
}

// holds reports whether owned is still the current state of its unit. Results of calls that were under way when the
// rack was lost or claimed anew are dropped.
func (r *Runner) holds(owned *rack) bool { return r.racks[owned.unit] == owned }
