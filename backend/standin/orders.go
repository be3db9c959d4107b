package standin

import (
	"context"
	"time"

	"bronzehook/api"
	"bronzehook/backend"
	"bronzehook/fault"
)

// Fence implements backend.Worker.
func (w *Worker) Fence(_ context.Context, epoch api.Epoch) (backend.Inventory, error) {
	w.lock()
	defer w.unlock()
	if epoch < w.epoch && !w.faults.ignoresEpochs() {
		return backend.Inventory{}, staleEpoch("worker fence", epoch, w.epoch)
	}
	w.epoch = max(w.epoch, epoch)
	return w.inventory(), nil
}

// Inventory implements backend.Worker.
func (w *Worker) Inventory(context.Context) (backend.Inventory, error) {
	w.lock()
	defer w.unlock()
	return w.inventory(), nil
}

// Start implements backend.Worker. A refused attempt number counts as seen, so that a copy of the order that arrives
// later cannot start an attempt that was given up.
func (w *Worker) Start(_ context.Context, order backend.StartOrder) error {
	w.lock()
	defer w.unlock()
	if err := w.checkEpoch("worker start", order.Epoch); err != nil {
		return err
	}
	if last := w.lastAttempt[order.Task]; order.Attempt <= last {
		return fault.New(fault.CodeStaleAttempt, "worker start", "task %s: attempt %d is not above %d",
			order.Task, order.Attempt, last)
	}
	w.lastAttempt[order.Task] = order.Attempt
	if err := w.checkStart(order); err != nil {
		return err
	}
	w.begin(order)
	return nil
}

func (w *Worker) checkStart(order backend.StartOrder) error {
	const op = "worker start"
	now := w.reading()
	need := order.Resources
	switch {
	case order.Task == "" || !validKind(order.Kind):
		return fault.New(fault.CodeInvalid, op, "task %q of kind %q", order.Task, order.Kind)
	case need.MilliCPU < 0 || need.MemoryMB < 0 || need.Accelerators < 0:
		return fault.New(fault.CodeInvalid, op, "task %s: negative need %s", order.Task, need)
	case now > order.NotAfter:
		return fault.New(fault.CodeExpired, op, "the clock reads %s, the order ends at %s", now, order.NotAfter)
	case now >= order.LeaseEnd:
		return fault.New(fault.CodeExpired, op, "the clock reads %s, the lease ends at %s", now, order.LeaseEnd)
	case w.leaving || w.isClosed():
		return fault.New(fault.CodeStopping, op, "worker %s is leaving", w.config.Worker.ID)
	case !w.reserved.Add(need).Fits(w.config.Worker.Capacity):
		return fault.New(fault.CodeNoCapacity, op, "need %s, reserved %s, capacity %s",
			need, w.reserved, w.config.Worker.Capacity)
	}
	return nil
}

// Renew implements backend.Worker.
func (w *Worker) Renew(_ context.Context, epoch api.Epoch, tasks []backend.TaskRef, leaseEnd time.Duration) error {
	w.lock()
	defer w.unlock()
	if err := w.checkEpoch("worker renew", epoch); err != nil {
		return err
	}
	for _, ref := range tasks {
		a := w.attempts[attemptKey{ref.Task, ref.Attempt}]
		if a != nil && !a.state.Ended() {
			a.leaseEnd = max(a.leaseEnd, leaseEnd)
		}
	}
	return nil
}

// Throttle implements backend.Worker.
func (w *Worker) Throttle(_ context.Context, ref backend.TaskRef, share float64) error {
	w.lock()
	defer w.unlock()
	a, err := w.find("worker throttle", ref)
	if err != nil {
		return err
	}
	if !(share > 0 && share <= 1) {
		return fault.New(fault.CodeInvalid, "worker throttle", "share %v is not above 0 and at most 1", share)
	}
	a.share = share
	if a.running() {
		a.showRunning()
	}
	return nil
}

// Stop implements backend.Worker. An attempt that was never seen is noted as seen, so that a start order that arrives
// later is refused.
func (w *Worker) Stop(_ context.Context, ref backend.TaskRef) error {
	w.lock()
	defer w.unlock()
	if err := w.checkEpoch("worker stop", ref.Epoch); err != nil {
		return err
	}
	w.lastAttempt[ref.Task] = max(w.lastAttempt[ref.Task], ref.Attempt)
	if a := w.attempts[attemptKey{ref.Task, ref.Attempt}]; a != nil {
		w.end(a, api.SeenStopped, "stopped by order", w.clock.Now())
	}
	return nil
}

// Ack implements backend.Worker. An attempt that is not known counts as forgotten.
func (w *Worker) Ack(_ context.Context, ref backend.TaskRef) error {
	w.lock()
	defer w.unlock()
	if err := w.checkEpoch("worker ack", ref.Epoch); err != nil {
		return err
	}
	key := attemptKey{ref.Task, ref.Attempt}
	if a := w.attempts[key]; a != nil && !a.state.Ended() {
		return fault.New(fault.CodeConflict, "worker ack", "task %s attempt %d has not ended", ref.Task, ref.Attempt)
	}
	delete(w.attempts, key)
	return nil
}

// checkEpoch refuses an epoch other than the one that the worker was fenced with. A higher one is refused too, because
// a worker that was started again knows no epoch, and an order from before its start states times of another clock.
func (w *Worker) checkEpoch(op string, epoch api.Epoch) error {
	switch {
	case w.faults.ignoresEpochs() || epoch == w.epoch:
		return nil
	case epoch < w.epoch:
		return staleEpoch(op, epoch, w.epoch)
	default:
		return fault.New(fault.CodeNotReady, op, "epoch %d: the worker is fenced with %d", epoch, w.epoch)
	}
}

func staleEpoch(op string, stated, seen api.Epoch) error {
	return fault.New(fault.CodeStaleEpoch, op, "epoch %d is below %d", stated, seen)
}

// find returns the attempt of an order if it has not ended.
func (w *Worker) find(op string, ref backend.TaskRef) (*attempt, error) {
	if err := w.checkEpoch(op, ref.Epoch); err != nil {
		return nil, err
	}
	a := w.attempts[attemptKey{ref.Task, ref.Attempt}]
	if a == nil || a.state.Ended() {
		return nil, fault.New(fault.CodeNotFound, op, "task %s attempt %d does not run", ref.Task, ref.Attempt)
	}
	return a, nil
}

func (w *Worker) isClosed() bool {
	select {
	case <-w.closed:
		return true
	default:
		return false
	}
}

func validKind(kind api.Kind) bool {
	return kind == api.KindService || kind == api.KindJob || kind == api.KindWatcher
}
