package standin

import (
	"bronzehook/api"
	"bronzehook/backend"
)

func (w *Worker) inventory() backend.Inventory {
	inventory := backend.Inventory{
		Worker:  w.describe(),
		Epoch:   w.epoch,
		Tasks:   make([]backend.TaskStatus, 0, len(w.attempts)),
		Leaving: w.leaving,
		Clock:   w.reading(),
		Boot:    w.boot,
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
		Task:       a.order.Task,
		Work:       a.order.Work,
		Kind:       a.order.Kind,
		Attempt:    a.order.Attempt,
		State:      a.state,
		Resources:  a.order.Resources,
		Checkpoint: a.checkpoint,
		Progress:   a.progress,
		Reason:     a.reason,
	}
	if a.state.Ended() {
		return status
	}
	status.LeaseLeft = a.leaseEnd - w.reading()
	if a.order.Kind == api.KindService {
		status.Addr = w.endpoints.addr
	}
	return status
}
