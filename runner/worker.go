package runner

import (
	"context"
	"time"

	"bronzehook/api"
	"bronzehook/backend"
	"bronzehook/fault"
	"bronzehook/logging"
)

// worker is the local view of one worker in an owned rack.
type worker struct {
	info api.Worker
	// client calls the worker at info.Addr. It is read on the event loop only, and replaced when the address changes.
	client backend.Worker
	// fenced is set once the worker has answered a fence with the current ownership epoch. Until then it gets no
	// attempts.
	fenced      bool
	polling     bool
	incarnation string
	// clock is the last reading of the worker's clock, and clockAt the local time at which it was received.
	clock   time.Duration
	clockAt time.Time
	// unreachableSince is zero while the worker answers.
	unreachableSince time.Time
	attempts         map[api.TaskID]*attempt
	// lastReport is the last report on this worker that was delivered to the coordinator.
	lastReport WorkerReport
	// endpoints holds the last published endpoints of this worker.
	endpoints []api.Endpoint
}

// attempt is the local view of one attempt on a worker.
type attempt struct {
	status backend.TaskStatus
	// confirmed is set once an inventory has reported the attempt.
	confirmed bool
	// notAfter is the reading of the worker's clock after which the start request can no longer take effect.
	notAfter time.Duration
	// leaseExpiry is the latest reading of the worker's clock at which the attempt lease may expire.
	leaseExpiry time.Duration
	// unreported is set while the current state has not been reported to the coordinator.
	unreported bool
	notStarted bool
	evicted    bool
	// stopping is set while an action stops the attempt; its endpoint is then published as leaving.
	stopping bool
}

// estimateClock returns a reading that the worker's clock has reached by now. It is never ahead of the worker's clock.
func (w *worker) estimateClock(now time.Time) time.Duration { return w.clock + now.Sub(w.clockAt) }

// reserved returns the sum of the resources of all attempts that may be running.
func (w *worker) reserved() api.Resources {
	var sum api.Resources
	for _, a := range w.attempts {
		if !a.status.State.Terminal() {
			sum = sum.Add(a.status.Resources)
		}
	}
	return sum
}

func (r *Runner) pollAll() {
	reachable := int64(0)
	for _, rack := range r.racks {
		for _, w := range rack.workers {
			if w.unreachableSince.IsZero() {
				reachable++
			}
			r.poll(rack, w)
		}
	}
	r.reachable.Store(reachable)
	r.expireUnreachableAttempts()
}

// poll requests the inventory of a worker. Until the worker has answered a fence, the request is a fence.
func (r *Runner) poll(rack *ownedRack, w *worker) {
	if w.polling {
		return
	}
	if _, err := r.options.Ownership.Check(rack.unit); err != nil {
		return
	}
	w.polling = true
	fence, client := !w.fenced, w.client
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		var inventory backend.Inventory
		var err error
		if fence {
			inventory, err = client.Fence(ctx, rack.epoch)
		} else {
			inventory, err = client.Inventory(ctx)
		}
		at := r.options.Clock.Now()
		r.options.Loop.Post(func() {
			w.polling = false
			if r.isCurrent(rack) && w.client == client {
				r.applyInventory(rack, w, inventory, err, at)
			}
		})
	}()
}

// setAddr notes the address of a worker, which may change when it starts again. At a new address it is taken for unreachable
// until it answers there.
func (r *Runner) setAddr(rack *ownedRack, w *worker, addr string) {
	if w.info.Addr == addr {
		return
	}
	w.info.Addr = addr
	w.client = r.options.Workers.Worker(w.info)
	r.markUnreachable(rack, w, nil)
	r.poll(rack, w)
}

func (r *Runner) applyInventory(rack *ownedRack, w *worker, inventory backend.Inventory, err error, at time.Time) {
	if err == nil && inventory.Worker.ID != w.info.ID {
		// Another worker has started at an address that this one had.
		err = fault.New(fault.CodeUnreachable, "poll", "worker %s answers at the address of %s", inventory.Worker.ID, w.info.ID)
	}
	if err != nil || inventory.Epoch != rack.epoch {
		// A restarted worker has no ownership epoch; it has to be fenced again before it accepts requests.
		w.fenced = w.fenced && (err != nil || inventory.Epoch > rack.epoch)
		r.markUnreachable(rack, w, err)
		return
	}
	if !w.unreachableSince.IsZero() {
		r.log.Info().Str(logging.KeyWorker, string(w.info.ID)).Msg("worker reachable")
	}
	restarted := w.incarnation != "" && w.incarnation != inventory.Boot
	w.fenced = true
	w.unreachableSince = time.Time{}
	w.incarnation = inventory.Boot
	w.clock = inventory.Clock
	w.clockAt = at
	w.info.Leaving = w.info.Leaving || inventory.Leaving
	w.info.Capacity = inventory.Worker.Capacity
	w.info.Slots = inventory.Worker.Slots
	w.info.Connections = inventory.Worker.Connections
	for _, ref := range w.mergeInventory(inventory, restarted) {
		r.sendAck(rack, w, ref, func() {})
	}
	r.options.Slots.SetCapacity(w.info.ID, w.info.Slots, w.info.Connections, inventory.OlderRequests)
	r.refreshEndpoints(rack, w)
}

// mergeInventory updates the local view of the attempts from an inventory. It returns attempts that were replaced by a
// later attempt of the same task; they can be acknowledged because the task record is past them.
func (w *worker) mergeInventory(inventory backend.Inventory, restarted bool) (replaced []Ref) {
	reported := map[api.TaskID]bool{}
	for _, status := range inventory.Tasks {
		reported[status.Task] = true
		a := w.attempts[status.Task]
		if a != nil && status.Attempt < a.status.Attempt {
			replaced = append(replaced, Ref{Task: status.Task, Attempt: status.Attempt})
			continue
		}
		if a == nil || a.status.Attempt < status.Attempt {
			a = &attempt{leaseExpiry: inventory.Clock + status.LeaseLeft}
			w.attempts[status.Task] = a
		}
		if a.status.Attempt == status.Attempt && a.status.State.Terminal() {
			continue
		}
		a.unreported = a.unreported || !a.confirmed || a.status.State != status.State
		a.confirmed = true
		a.status = status
	}
	for task, a := range w.attempts {
		if reported[task] || a.status.State.Terminal() {
			continue
		}
		startExpired := restarted || inventory.Clock > a.notAfter
		if !a.confirmed && !startExpired {
			continue
		}
		a.markStopped("the worker no longer lists the attempt")
		a.notStarted = !a.confirmed && !restarted
	}
	return replaced
}

// markStopped marks the attempt as stopped without a result.
func (a *attempt) markStopped(reason string) {
	a.status.State = api.SeenStopped
	a.status.Reason = reason
	a.unreported = true
}

func (r *Runner) markUnreachable(rack *ownedRack, w *worker, err error) {
	if fault.Is(err, fault.CodeStaleEpoch) {
		r.log.Warn().Str(logging.KeyWorker, string(w.info.ID)).Uint64(logging.KeyEpoch, uint64(rack.epoch)).
			Msg("worker is fenced by a newer owner")
	}
	if !w.unreachableSince.IsZero() {
		return
	}
	w.unreachableSince = r.options.Clock.Now()
	r.log.Warn().Str(logging.KeyWorker, string(w.info.ID)).AnErr(logging.KeyReason, err).Msg("worker unreachable")
	r.refreshEndpoints(rack, w)
}

// expireUnreachableAttempts terminates the attempts on unreachable workers whose leases have certainly expired.
func (r *Runner) expireUnreachableAttempts() {
	now := r.options.Clock.Now()
	for _, rack := range r.racks {
		for _, w := range rack.workers {
			if w.unreachableSince.IsZero() || !w.fenced {
				continue
			}
			for _, a := range w.attempts {
				if !a.status.State.Terminal() && w.estimateClock(now) > max(a.leaseExpiry, a.notAfter)+ClockDriftMargin {
					a.markStopped("the worker is unreachable and the lease has run out")
				}
			}
		}
	}
}

// earlierLeasesExpired reports whether every attempt lease that an earlier owner granted on w has certainly expired. It
// reports false for a fenced worker, whose attempts are known.
func (r *Runner) earlierLeasesExpired(rack *ownedRack, w *worker) bool {
	if w.fenced {
		return false
	}
	return r.options.Clock.Since(rack.acquiredAt) > r.options.AttemptLease+StartValidity+ClockDriftMargin
}

func (r *Runner) renewAll() {
	for _, rack := range r.racks {
		for _, w := range rack.workers {
			r.renew(rack, w)
		}
	}
}

// renew extends the leases of a worker's attempts. Without a valid instance lease nothing is renewed, so that the
// attempt leases expire before another owner assigns the tasks again. Attempts on an unreachable worker are not renewed
// either: a renewal without a reply may have extended the lease, so these attempts would never expire.
func (r *Runner) renew(rack *ownedRack, w *worker) {
	if !w.fenced || !w.unreachableSince.IsZero() {
		return
	}
	var refs []backend.TaskRef
	leaseExpiry := w.estimateClock(r.options.Clock.Now()) + r.options.AttemptLease
	for task, a := range w.attempts {
		if a.status.State.Terminal() {
			continue
		}
		refs = append(refs, backend.TaskRef{Task: task, Attempt: a.status.Attempt, Epoch: rack.epoch})
	}
	if len(refs) == 0 {
		return
	}
	if _, err := r.options.Ownership.Check(rack.unit); err != nil {
		return
	}
	for _, ref := range refs {
		a := w.attempts[ref.Task]
		a.leaseExpiry = max(a.leaseExpiry, leaseExpiry)
	}
	client := w.client
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		if err := client.Renew(ctx, rack.epoch, refs, leaseExpiry); err != nil {
			r.log.Debug().Str(logging.KeyWorker, string(w.info.ID)).Err(err).Msg("attempt lease renewal failed")
		}
	}()
}
