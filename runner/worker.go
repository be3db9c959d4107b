package runner

import (
	"context"
	"time"

	"bronzehook/api"
	"bronzehook/backend"
	"bronzehook/fault"
	"bronzehook/logging"
)

// worker is what the owner of a rack knows of one of its workers.
type worker struct {
	info   api.Worker
	client backend.Worker
	// fenced is set once the worker has answered a fence of the current epoch. Before, its capacity counts as 0.
	fenced  bool
	polling bool
	boot    string
	// clock is the worker's last clock reading, and clockAt the local time at which it arrived.
	clock   time.Duration
	clockAt time.Time
	// unreachableSince is zero while the worker answers.
	unreachableSince time.Time
	attempts         map[api.TaskID]*attempt
	// reported is what the coordinator was last told of this worker.
	reported WorkerReport
	// endpoints is what was last published of this worker.
	endpoints []api.Endpoint
}

// attempt is what the owner of a rack knows of one attempt.
type attempt struct {
	status backend.TaskStatus
	// seen is set once an inventory has listed the attempt.
	seen bool
	// notAfter is the reading of the worker's clock after which the start order can no longer take effect.
	notAfter time.Duration
	// leaseEnd is the latest reading of the worker's clock to which the lease may have been extended.
	leaseEnd time.Duration
	// changed is set while the state has not been reported yet.
	changed    bool
	notStarted bool
	evicted    bool
	// stopping is set while an intervention ends the attempt; its endpoint then counts as leaving.
	stopping bool
}

// estimate returns a reading that the worker's clock has reached by now. It is never ahead of the worker's clock.
func (w *worker) estimate(now time.Time) time.Duration { return w.clock + now.Sub(w.clockAt) }

// reserved sums what the attempts that may run take.
func (w *worker) reserved() api.Resources {
	var sum api.Resources
	for _, a := range w.attempts {
		if !a.status.State.Ended() {
			sum = sum.Add(a.status.Resources)
		}
	}
	return sum
}

func (r *Runner) pollAll() {
	reachable := int64(0)
	for _, owned := range r.racks {
		for _, w := range owned.workers {
			if w.unreachableSince.IsZero() {
				reachable++
			}
			r.poll(owned, w)
		}
	}
	r.reachable.Store(reachable)
	r.expireUnreachable()
}

// poll takes inventory, by way of a fence until the worker has answered one.
func (r *Runner) poll(owned *rack, w *worker) {
	if w.polling {
		return
	}
	if _, err := r.options.Ownership.Check(owned.unit); err != nil {
		return
	}
	w.polling = true
	fence := !w.fenced
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		var inventory backend.Inventory
		var err error
		if fence {
			inventory, err = w.client.Fence(ctx, owned.epoch)
		} else {
			inventory, err = w.client.Inventory(ctx)
		}
		at := r.options.Clock.Now()
		r.options.Loop.Post(func() {
			w.polling = false
			if r.holds(owned) {
				r.applyInventory(owned, w, inventory, err, at)
			}
		})
	}()
}

func (r *Runner) applyInventory(owned *rack, w *worker, inventory backend.Inventory, err error, at time.Time) {
	if err != nil || inventory.Epoch != owned.epoch {
		// A worker that was restarted knows no epoch; it has to be fenced again before it takes orders.
		w.fenced = w.fenced && (err != nil || inventory.Epoch > owned.epoch)
		r.markUnreachable(owned, w, err)
		return
	}
	if !w.unreachableSince.IsZero() {
		r.log.Info().Str(logging.KeyWorker, string(w.info.ID)).Msg("worker reachable")
	}
	rebooted := w.boot != "" && w.boot != inventory.Boot
	w.fenced = true
	w.unreachableSince = time.Time{}
	w.boot = inventory.Boot
	w.clock = inventory.Clock
	w.clockAt = at
	w.info.Leaving = w.info.Leaving || inventory.Leaving
	w.info.Capacity = inventory.Worker.Capacity
	w.info.Slots = inventory.Worker.Slots
	w.info.Connections = inventory.Worker.Connections
	for _, ref := range w.merge(inventory, rebooted) {
		r.ackOnWorker(owned, w, ref, func() {})
	}
	r.options.Slots.Offer(w.info.ID, w.info.Slots, w.info.Connections, inventory.OlderRequests)
	r.refreshEndpoints(owned, w)
}

// merge brings the known attempts in line with an inventory. It returns ended attempts that a later attempt of the same
// task has replaced; the record has moved past them.
func (w *worker) merge(inventory backend.Inventory, rebooted bool) (replaced []Ref) {
	listed := map[api.TaskID]bool{}
	for _, status := range inventory.Tasks {
		listed[status.Task] = true
		known := w.attempts[status.Task]
		if known != nil && status.Attempt < known.status.Attempt {
			replaced = append(replaced, Ref{Task: status.Task, Attempt: status.Attempt})
			continue
		}
		if known == nil || known.status.Attempt < status.Attempt {
			known = &attempt{leaseEnd: inventory.Clock + status.LeaseLeft}
			w.attempts[status.Task] = known
		}
		if known.status.Attempt == status.Attempt && known.status.State.Ended() {
			continue
		}
		known.changed = known.changed || !known.seen || known.status.State != status.State
		known.seen = true
		known.status = status
	}
	for task, known := range w.attempts {
		if listed[task] || known.status.State.Ended() {
			continue
		}
		startExpired := rebooted || inventory.Clock > known.notAfter
		if !known.seen && !startExpired {
			continue
		}
		known.end("the worker no longer lists the attempt")
		known.notStarted = !known.seen && !rebooted
	}
	return replaced
}

// end marks the attempt as stopped without a result.
func (a *attempt) end(reason string) {
	a.status.State = api.SeenStopped
	a.status.Reason = reason
	a.changed = true
}

func (r *Runner) markUnreachable(owned *rack, w *worker, err error) {
	if fault.Is(err, fault.CodeStaleEpoch) {
		r.log.Warn().Str(logging.KeyWorker, string(w.info.ID)).Uint64(logging.KeyEpoch, uint64(owned.epoch)).
			Msg("worker follows a newer owner")
	}
	if !w.unreachableSince.IsZero() {
		return
	}
	w.unreachableSince = r.options.Clock.Now()
	r.log.Warn().Str(logging.KeyWorker, string(w.info.ID)).AnErr(logging.KeyReason, err).Msg("worker unreachable")
	r.refreshEndpoints(owned, w)
}

// expireUnreachable ends the attempts on unreachable workers whose leases have surely run out.
func (r *Runner) expireUnreachable() {
	now := r.options.Clock.Now()
	for _, owned := range r.racks {
		for _, w := range owned.workers {
			if w.unreachableSince.IsZero() || !w.fenced {
				continue
			}
			for _, a := range w.attempts {
				if !a.status.State.Ended() && w.estimate(now) > max(a.leaseEnd, a.notAfter)+LeaseMargin {
					a.end("the worker is unreachable and the lease has run out")
				}
			}
		}
	}
}

// leasesOver reports whether every lease that any earlier owner gave out on w has surely run out.
func (r *Runner) leasesOver(owned *rack, w *worker) bool {
	if w.fenced {
		return false
	}
	return r.options.Clock.Since(owned.claimedAt) > r.options.Lease+OrderValidity+LeaseMargin
}

func (r *Runner) renewAll() {
	for _, owned := range r.racks {
		for _, w := range owned.workers {
			r.renew(owned, w)
		}
	}
}

// renew extends the leases of a worker's attempts. An instance without authority renews nothing, so that the leases run
// out before another owner gives the tasks out again. Neither does one that cannot reach the worker: a renewal whose
// reply is missing may have extended the lease, so the attempts of an unreachable worker would never end.
func (r *Runner) renew(owned *rack, w *worker) {
	if !w.fenced || !w.unreachableSince.IsZero() {
		return
	}
	var refs []backend.TaskRef
	leaseEnd := w.estimate(r.options.Clock.Now()) + r.options.Lease
	for task, a := range w.attempts {
		if a.status.State.Ended() {
			continue
		}
		refs = append(refs, backend.TaskRef{Task: task, Attempt: a.status.Attempt, Epoch: owned.epoch})
	}
	if len(refs) == 0 {
		return
	}
	if _, err := r.options.Ownership.Check(owned.unit); err != nil {
		return
	}
	for _, ref := range refs {
		a := w.attempts[ref.Task]
		a.leaseEnd = max(a.leaseEnd, leaseEnd)
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		if err := w.client.Renew(ctx, owned.epoch, refs, leaseEnd); err != nil {
			r.log.Debug().Str(logging.KeyWorker, string(w.info.ID)).Err(err).Msg("lease renewal failed")
		}
	}()
}
