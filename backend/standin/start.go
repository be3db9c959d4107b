package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"bronzehook/api"
	"bronzehook/backend"
	"bronzehook/fault"
)

// checkpointRetryDelay is the time between two tries to load a checkpoint while the object store is down.
const checkpointRetryDelay = 200 * time.Millisecond

// checkpointData is the content of a checkpoint.
type checkpointData struct {
	Task     api.TaskID `json:"task"`
	Work     string     `json:"work"`
	Attempt  uint64     `json:"attempt"`
	Progress float64    `json:"progress"`
}

// begin starts an attempt that passed all checks.
func (w *Worker) begin(order backend.StartOrder) {
	now := w.clock.Now()
	a := &attempt{
		order:      order,
		state:      api.SeenStarting,
		leaseEnd:   order.LeaseEnd,
		share:      1,
		progressAt: now,
		checkpoint: order.Checkpoint,
		executions: map[int]api.Epoch{},
		ended:      make(chan struct{}),
	}
	w.attempts[attemptKey{order.Task, order.Attempt}] = a
	w.reserved = w.reserved.Add(order.Resources)
	a.run = w.journal.beginRun(Run{
		Worker: w.config.Worker.ID, Work: order.Work, Kind: order.Kind, Task: order.Task, Attempt: order.Attempt,
		Epoch: order.Epoch, Resources: order.Resources, Start: now, ResumedFrom: order.Checkpoint,
	}, w.reserved)
	p, err := w.config.planOf(order)
	a.plan = p
	switch {
	case w.faults.failsStarts():
		w.end(a, api.SeenFailed, "the worker fails every task", now)
	case err != nil:
		w.end(a, api.SeenFailed, err.Error(), now)
	case order.Checkpoint != "":
		go w.resume(a)
	default:
		a.showRunning()
	}
}

// showRunning sets the state of an attempt that has begun its work.
func (a *attempt) showRunning() {
	a.state = api.SeenRunning
	if a.share < 1 {
		a.state = api.SeenThrottled
	}
}

// resume loads the checkpoint of an attempt and then lets it run.
func (w *Worker) resume(a *attempt) {
	for {
		progress, err := w.loadCheckpoint(a)
		if err == nil || !fault.Is(err, fault.CodeStoreUnavailable) {
			w.continueFrom(a, progress, err)
			return
		}
		select {
		case <-w.clock.After(checkpointRetryDelay):
		case <-a.ended:
			return
		}
	}
}

func (w *Worker) loadCheckpoint(a *attempt) (float64, error) {
	const op = "checkpoint load"
	if w.config.Objects == nil {
		return 0, fault.New(fault.CodeStoreUnavailable, op, "the worker has no object store")
	}
	data, err := w.config.Objects.Get(context.Background(), a.order.Checkpoint)
	if err != nil {
		return 0, err
	}
	var loaded checkpointData
	if err := json.Unmarshal(data, &loaded); err != nil {
		return 0, fault.New(fault.CodeInvalid, op, "%s is not a checkpoint: %v", a.order.Checkpoint, err)
	}
	if loaded.Task != a.order.Task {
		return 0, fault.New(fault.CodeInvalid, op, "%s belongs to task %s", a.order.Checkpoint, loaded.Task)
	}
	return loaded.Progress, nil
}

func (w *Worker) continueFrom(a *attempt, progress float64, err error) {
	w.lock()
	defer w.unlock()
	if a.state.Ended() {
		return
	}
	if err != nil {
		w.end(a, api.SeenFailed, err.Error(), w.clock.Now())
		return
	}
	a.progress = progress
	a.progressAt = w.clock.Now()
	w.journal.updateRun(a.run, func(r *Run) { r.From = progress })
	a.showRunning()
}

// Checkpoint implements backend.Worker.
func (w *Worker) Checkpoint(ctx context.Context, ref backend.TaskRef) (string, error) {
	const op = "worker checkpoint"
	a, number, data, err := w.snapshot(op, ref)
	if err != nil {
		return "", err
	}
	if w.config.Objects == nil {
		return "", fault.New(fault.CodeStoreUnavailable, op, "the worker has no object store")
	}
	body, err := json.Marshal(data)
	if err != nil {
		return "", fault.New(fault.CodeInternal, op, "the checkpoint cannot be encoded: %v", err)
	}
	name := fmt.Sprintf("checkpoint/%s/%d-%d", ref.Task, ref.Attempt, number)
	if err := w.config.Objects.Put(ctx, name, body); err != nil {
		return "", err
	}
	w.keepCheckpoint(a, number, name)
	return name, nil
}

// snapshot returns the state to store. It takes the lock, and the store is written without it.
func (w *Worker) snapshot(op string, ref backend.TaskRef) (*attempt, int, checkpointData, error) {
	w.lock()
	defer w.unlock()
	a, err := w.find(op, ref)
	if err != nil {
		return nil, 0, checkpointData{}, err
	}
	if a.order.Kind == api.KindService || !a.running() {
		return nil, 0, checkpointData{}, fault.New(fault.CodeConflict, op, "a %s that is %s has no state to store",
			a.order.Kind, a.state)
	}
	a.checkpoints++
	data := checkpointData{Task: ref.Task, Work: a.order.Work, Attempt: ref.Attempt, Progress: a.progress}
	return a, a.checkpoints, data, nil
}

func (w *Worker) keepCheckpoint(a *attempt, number int, name string) {
	w.lock()
	defer w.unlock()
	if number > a.checkpointNumber {
		a.checkpoint = name
		a.checkpointNumber = number
	}
}
