package httpbackend

import (
	"context"
	"net/http"
	"time"

	"bronzehook/api"
	"bronzehook/backend"
)

// Workers reaches the control interfaces of workers over shared connections.
type Workers struct {
	caller caller
}

// NewWorkers returns the way to the workers. A nil client stands for one with a transport of its own, and a timeout of
// 0 for DefaultTimeout.
func NewWorkers(client *http.Client, timeout time.Duration) *Workers {
	return &Workers{caller: newCaller(client, timeout, workerParty)}
}

// Worker implements backend.Workers.
func (w *Workers) Worker(described api.Worker) backend.Worker {
	return &worker{base: withScheme(described.Addr), caller: &w.caller}
}

type worker struct {
	base   string
	caller *caller
}

func (w *worker) get(ctx context.Context, op, path string, out any) error {
	return w.caller.exchange(ctx, call{op: op, method: http.MethodGet, url: w.base + path}, nil, out)
}

func (w *worker) order(ctx context.Context, op, path string, in, out any) error {
	return w.caller.exchange(ctx, call{op: op, method: http.MethodPost, url: w.base + path}, in, out)
}

// Fence implements backend.Worker.
func (w *worker) Fence(ctx context.Context, epoch api.Epoch) (backend.Inventory, error) {
	var inventory backend.Inventory
	err := w.order(ctx, "worker fence", PathFence, FenceOrder{Epoch: epoch}, &inventory)
	return inventory, err
}

// Inventory implements backend.Worker.
func (w *worker) Inventory(ctx context.Context) (backend.Inventory, error) {
	var inventory backend.Inventory
	err := w.get(ctx, "worker inventory", PathInventory, &inventory)
	return inventory, err
}

// Start implements backend.Worker.
func (w *worker) Start(ctx context.Context, order backend.StartOrder) error {
	return w.order(ctx, "worker start", PathStart, order, nil)
}

// Renew implements backend.Worker.
func (w *worker) Renew(
	ctx context.Context, epoch api.Epoch, tasks []backend.TaskRef, leaseEnd time.Duration,
) error {
	order := RenewOrder{Epoch: epoch, Tasks: tasks, LeaseEnd: leaseEnd}
	return w.order(ctx, "worker renew", PathRenew, order, nil)
}

// Throttle implements backend.Worker.
func (w *worker) Throttle(ctx context.Context, ref backend.TaskRef, share float64) error {
	return w.order(ctx, "worker throttle", PathThrottle, ThrottleOrder{Ref: ref, Share: share}, nil)
}

// Checkpoint implements backend.Worker.
func (w *worker) Checkpoint(ctx context.Context, ref backend.TaskRef) (string, error) {
	var answer CheckpointAnswer
	err := w.order(ctx, "worker checkpoint", PathCheckpoint, ref, &answer)
	return answer.Name, err
}

// Stop implements backend.Worker.
func (w *worker) Stop(ctx context.Context, ref backend.TaskRef) error {
	return w.order(ctx, "worker stop", PathStop, ref, nil)
}

// Ack implements backend.Worker.
func (w *worker) Ack(ctx context.Context, ref backend.TaskRef) error {
	return w.order(ctx, "worker ack", PathAck, ref, nil)
}

// Usage implements backend.Worker.
func (w *worker) Usage(ctx context.Context) (backend.Usage, error) {
	var usage backend.Usage
	err := w.get(ctx, "worker usage", PathUsage, &usage)
	return usage, err
}
