package fake

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
		return backend.Inventory{}, staleEpochError("worker fence", epoch, w.epoch)
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

// Start implements backend.Worker. It also records the attempt number of a refused start command, so that a delayed
// duplicate of the command cannot start an abandoned attempt.
func (w *Worker) Start(_ context.Context, request backend.StartRequest) error {
	w.lock()
	defer w.unlock()
	if err := w.checkEpoch("worker start", request.Epoch); err != nil {
		return err
	}
	if last := w.lastAttempt[request.Task]; request.Attempt <= last {
		return fault.New(fault.CodeStaleAttempt, "worker start", "task %s: attempt %d is not above %d",
			request.Task, request.Attempt, last)
	}
	w.lastAttempt[request.Task] = request.Attempt
	if err := w.checkStart(request); err != nil {
		return err
	}
	w.startAttempt(request)
	return nil
}

// checkStart returns why a start command is refused, or nil.
func (w *Worker) checkStart(request backend.StartRequest) error {
	const op = "worker start"
	now := w.clockReading()
	requested := request.Resources
	switch {
	case request.Task == "" || !validKind(request.Kind):
		return fault.New(fault.CodeInvalid, op, "task id %q is missing or kind %q is unknown", request.Task, request.Kind)
	case requested.MilliCPU < 0 || requested.MemoryMB < 0 || requested.Accelerators < 0:
		return fault.New(fault.CodeInvalid, op, "task %s: negative resource request %s", request.Task, requested)
	case now > request.NotAfter:
		return fault.New(fault.CodeExpired, op, "the worker clock reads %s, the start command expired at %s",
			now, request.NotAfter)
	case now >= request.LeaseExpiry:
		return fault.New(fault.CodeExpired, op, "the worker clock reads %s, the attempt lease expired at %s",
			now, request.LeaseExpiry)
	case w.leaving || w.isClosed():
		return fault.New(fault.CodeStopping, op, "worker %s is leaving", w.config.Worker.ID)
	case !w.reserved.Add(requested).Fits(w.config.Worker.Capacity):
		return fault.New(fault.CodeNoCapacity, op, "insufficient capacity: requested %s, reserved %s, capacity %s",
			requested, w.reserved, w.config.Worker.Capacity)
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
		if a != nil && !a.state.Terminal() {
			a.leaseExpiry = max(a.leaseExpiry, leaseEnd)
		}
	}
	return nil
}

// Throttle implements backend.Worker.
func (w *Worker) Throttle(_ context.Context, ref backend.TaskRef, share float64) error {
	w.lock()
	defer w.unlock()
	a, err := w.findActive("worker throttle", ref)
	if err != nil {
		return err
	}
	if !(share > 0 && share <= 1) {
		return fault.New(fault.CodeInvalid, "worker throttle", "CPU share %v is not above 0 and at most 1", share)
	}
	a.share = share
	if a.running() {
		a.markRunning()
	}
	return nil
}

// Stop implements backend.Worker. It also records the number of an attempt that was never started, so that a start
// command that arrives later is refused.
func (w *Worker) Stop(_ context.Context, ref backend.TaskRef) error {
	w.lock()
	defer w.unlock()
	if err := w.checkEpoch("worker stop", ref.Epoch); err != nil {
		return err
	}
	w.lastAttempt[ref.Task] = max(w.lastAttempt[ref.Task], ref.Attempt)
	if a := w.attempts[attemptKey{ref.Task, ref.Attempt}]; a != nil {
		w.terminate(a, api.SeenStopped, "stopped by command", w.clock.Now())
	}
	return nil
}

// Ack implements backend.Worker. Acknowledging an unknown attempt succeeds: it counts as already discarded.
func (w *Worker) Ack(_ context.Context, ref backend.TaskRef) error {
	w.lock()
	defer w.unlock()
	if err := w.checkEpoch("worker ack", ref.Epoch); err != nil {
		return err
	}
	key := attemptKey{ref.Task, ref.Attempt}
	if a := w.attempts[key]; a != nil && !a.state.Terminal() {
		return fault.New(fault.CodeConflict, "worker ack", "task %s attempt %d has not terminated", ref.Task, ref.Attempt)
	}
	delete(w.attempts, key)
	return nil
}

// checkEpoch refuses an ownership epoch other than the one that the worker was fenced with. A higher one is refused too:
// a restarted worker has not been fenced yet, and a command from before the restart holds times of the clock of the
// previous incarnation.
func (w *Worker) checkEpoch(op string, epoch api.Epoch) error {
	switch {
	case w.faults.ignoresEpochs() || epoch == w.epoch:
		return nil
	case epoch < w.epoch:
		return staleEpochError(op, epoch, w.epoch)
	default:
		return fault.New(fault.CodeNotReady, op, "ownership epoch %d, but the worker is fenced with %d", epoch, w.epoch)
	}
}

func staleEpochError(op string, received, fenced api.Epoch) error {
	return fault.New(fault.CodeStaleEpoch, op, "ownership epoch %d is below %d", received, fenced)
}

// findActive returns the attempt that a command refers to if it has not terminated.
func (w *Worker) findActive(op string, ref backend.TaskRef) (*attempt, error) {
	if err := w.checkEpoch(op, ref.Epoch); err != nil {
		return nil, err
	}
	a := w.attempts[attemptKey{ref.Task, ref.Attempt}]
	if a == nil || a.state.Terminal() {
		return nil, fault.New(fault.CodeNotFound, op, "task %s attempt %d is not running", ref.Task, ref.Attempt)
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
