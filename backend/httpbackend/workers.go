package httpbackend

import (
	"context"
	"net/http"
	"time"

	"bronzehook/api"
	"bronzehook/backend"
	"bronzehook/fault"
)

// Workers accesses the control interfaces of workers over shared connections.
type Workers struct {
	rpc rpcClient
}

// NewWorkers returns a client of the workers. If client is nil, an HTTP client with its own transport is created. A
// timeout of 0 means DefaultTimeout.
func NewWorkers(client *http.Client, timeout time.Duration) *Workers {
	return &Workers{rpc: newRPCClient(client, timeout, workerFailures)}
}

// Worker implements backend.Workers.
func (w *Workers) Worker(described api.Worker) backend.Worker {
	return &worker{base: withScheme(described.Addr), rpc: &w.rpc}
}

type worker struct {
	base string
	rpc  *rpcClient
}

func (w *worker) get(ctx context.Context, op, path string, out any) error {
	return w.rpc.callJSON(ctx, call{op: op, method: http.MethodGet, url: w.base + path}, nil, out)
}

func (w *worker) post(ctx context.Context, op, path string, in, out any) error {
	return w.rpc.callJSON(ctx, call{op: op, method: http.MethodPost, url: w.base + path}, in, out)
}

// Fence implements backend.Worker.
func (w *worker) Fence(ctx context.Context, epoch api.Epoch) (backend.Inventory, error) {
	var inventory backend.Inventory
	if err := w.post(ctx, "worker fence", PathFence, FenceRequest{Epoch: epoch}, &inventory); err != nil {
		return inventory, err
	}
	return checkInventory("worker fence", inventory)
}

// Inventory implements backend.Worker.
func (w *worker) Inventory(ctx context.Context) (backend.Inventory, error) {
	var inventory backend.Inventory
	if err := w.get(ctx, "worker inventory", PathInventory, &inventory); err != nil {
		return inventory, err
	}
	return checkInventory("worker inventory", inventory)
}

// checkInventory refuses an inventory with an impossible capacity. It counts as a call without a response.
func checkInventory(op string, inventory backend.Inventory) (backend.Inventory, error) {
	if err := backend.ValidateCapacity(&inventory.Worker); err != nil {
		return backend.Inventory{}, callError(fault.CodeUnreachable, op, "response has an impossible capacity", err)
	}
	return inventory, nil
}

// Start implements backend.Worker.
func (w *worker) Start(ctx context.Context, request backend.StartRequest) error {
	return w.post(ctx, "worker start", PathStart, request, nil)
}

// Renew implements backend.Worker.
func (w *worker) Renew(
	ctx context.Context, epoch api.Epoch, tasks []backend.TaskRef, leaseEnd time.Duration,
) error {
	request := RenewRequest{Epoch: epoch, Tasks: tasks, LeaseEnd: leaseEnd}
	return w.post(ctx, "worker renew", PathRenew, request, nil)
}

// Throttle implements backend.Worker.
func (w *worker) Throttle(ctx context.Context, ref backend.TaskRef, share float64) error {
	return w.post(ctx, "worker throttle", PathThrottle, ThrottleRequest{Ref: ref, Share: share}, nil)
}

// Checkpoint implements backend.Worker.
func (w *worker) Checkpoint(ctx context.Context, ref backend.TaskRef) (string, error) {
	var response CheckpointResponse
	err := w.post(ctx, "worker checkpoint", PathCheckpoint, ref, &response)
	return response.Name, err
}

// Stop implements backend.Worker.
func (w *worker) Stop(ctx context.Context, ref backend.TaskRef) error {
	return w.post(ctx, "worker stop", PathStop, ref, nil)
}

// Ack implements backend.Worker.
func (w *worker) Ack(ctx context.Context, ref backend.TaskRef) error {
	return w.post(ctx, "worker ack", PathAck, ref, nil)
}

// Usage implements backend.Worker.
func (w *worker) Usage(ctx context.Context) (backend.Usage, error) {
	var usage backend.Usage
	err := w.get(ctx, "worker usage", PathUsage, &usage)
	return usage, err
}
