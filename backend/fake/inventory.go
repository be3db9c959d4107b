package fake

import (
	"bronzehook/api"
	"bronzehook/backend"
)

// inventory returns the inventory; the caller holds the lock.
func (w *Worker) inventory() backend.Inventory {
	inventory := backend.Inventory{
		Worker:  w.description(),
		Epoch:   w.epoch,
		Tasks:   make([]backend.TaskStatus, 0, len(w.attempts)),
		Leaving: w.leaving,
		Clock:   w.clockReading(),
		Boot:    w.incarnation,
	}
	for _, a := range w.sortedAttempts() {
		for _, epoch := range a.executions {
			if epoch < w.epoch {
				inventory.OlderRequests++
			}
		}
		inventory.Tasks = append(inventory.Tasks, w.status(a))
	}
	return inventory
}

func (w *Worker) status(a *attempt) backend.TaskStatus {
	status := backend.TaskStatus{
		Task:       a.spec.Task,
		Work:       a.spec.Work,
		Kind:       a.spec.Kind,
		Attempt:    a.spec.Attempt,
		State:      a.state,
		Resources:  a.spec.Resources,
		Checkpoint: a.checkpoint,
		Progress:   a.progress,
		Reason:     a.reason,
	}
	if a.state.Terminal() {
		return status
	}
	status.LeaseLeft = a.leaseExpiry - w.clockReading()
	if a.spec.Kind == api.KindService {
		status.Addr = w.endpoints.addr
	}
	return status
}
