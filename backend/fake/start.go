package fake

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"bronzehook/api"
	"bronzehook/backend"
	"bronzehook/fault"
)

// checkpointRetryDelay is the time between attempts to load a checkpoint while the object store is unavailable.
const checkpointRetryDelay = 200 * time.Millisecond

// checkpointData is the content of a checkpoint object.
type checkpointData struct {
	Task     api.TaskID `json:"task"`
	Work     string     `json:"work"`
	Attempt  uint64     `json:"attempt"`
	Progress float64    `json:"progress"`
}

// startAttempt starts an attempt whose start command has passed all checks.
func (w *Worker) startAttempt(request backend.StartRequest) {
	now := w.clock.Now()
	a := &attempt{
		spec:        request,
		state:       api.SeenStarting,
		leaseExpiry: request.LeaseExpiry,
		share:       1,
		progressAt:  now,
		checkpoint:  request.Checkpoint,
		executions:  map[int]api.Epoch{},
		terminated:  make(chan struct{}),
	}
	w.attempts[attemptKey{request.Task, request.Attempt}] = a
	w.reserved = w.reserved.Add(request.Resources)
	a.logNumber = w.eventLog.startAttempt(AttemptRecord{
		Worker: w.config.Worker.ID, Work: request.Work, Kind: request.Kind, Task: request.Task, Attempt: request.Attempt,
		Epoch: request.Epoch, Resources: request.Resources, Start: now, ResumedFrom: request.Checkpoint,
	}, w.reserved)
	parsed, err := w.config.parseCommand(request)
	a.behaviour = parsed
	switch {
	case w.faults.failsStarts():
		w.terminate(a, api.SeenFailed, "injected fault: the worker fails every attempt", now)
	case err != nil:
		w.terminate(a, api.SeenFailed, err.Error(), now)
	case request.Checkpoint != "":
		go w.resumeFromCheckpoint(a)
	default:
		a.markRunning()
	}
}

// markRunning sets the state of a running attempt: throttled if its CPU share is below 1.
func (a *attempt) markRunning() {
	a.state = api.SeenRunning
	if a.share < 1 {
		a.state = api.SeenThrottled
	}
}

// resumeFromCheckpoint loads the checkpoint of an attempt, with retries while the object store is unavailable, and then
// lets the attempt run.
func (w *Worker) resumeFromCheckpoint(a *attempt) {
	for {
		progress, err := w.loadCheckpoint(a)
		if err == nil || !fault.Is(err, fault.CodeStoreUnavailable) {
			w.finishResume(a, progress, err)
			return
		}
		select {
		case <-w.clock.After(checkpointRetryDelay):
		case <-a.terminated:
			return
		}
	}
}

func (w *Worker) loadCheckpoint(a *attempt) (float64, error) {
	const op = "checkpoint load"
	if w.config.Objects == nil {
		return 0, fault.New(fault.CodeStoreUnavailable, op, "the worker has no object store")
	}
	data, err := w.config.Objects.Get(context.Background(), a.spec.Checkpoint)
	if err != nil {
		return 0, err
	}
	var loaded checkpointData
	if err := json.Unmarshal(data, &loaded); err != nil {
		return 0, fault.New(fault.CodeInvalid, op, "%s is not a checkpoint: %v", a.spec.Checkpoint, err)
	}
	if loaded.Task != a.spec.Task {
		return 0, fault.New(fault.CodeInvalid, op, "%s belongs to task %s", a.spec.Checkpoint, loaded.Task)
	}
	return loaded.Progress, nil
}

// finishResume sets the attempt running with the progress of its checkpoint, or fails it if err is not nil.
func (w *Worker) finishResume(a *attempt, progress float64, err error) {
	w.lock()
	defer w.unlock()
	if a.state.Terminal() {
		return
	}
	if err != nil {
		w.terminate(a, api.SeenFailed, err.Error(), w.clock.Now())
		return
	}
	a.progress = progress
	a.progressAt = w.clock.Now()
	w.eventLog.updateAttempt(a.logNumber, func(r *AttemptRecord) { r.From = progress })
	a.markRunning()
}

// Checkpoint implements backend.Worker.
func (w *Worker) Checkpoint(ctx context.Context, ref backend.TaskRef) (string, error) {
	const op = "worker checkpoint"
	a, number, data, err := w.checkpointState(op, ref)
	if err != nil {
		return "", err
	}
	if w.config.Objects == nil {
		return "", fault.New(fault.CodeStoreUnavailable, op, "the worker has no object store")
	}
	body, err := json.Marshal(data)
	if err != nil {
		return "", fault.New(fault.CodeInternal, op, "cannot encode the checkpoint: %v", err)
	}
	name := fmt.Sprintf("checkpoint/%s/%d-%d", ref.Task, ref.Attempt, number)
	if err := w.config.Objects.Put(ctx, name, body); err != nil {
		return "", err
	}
	w.recordCheckpoint(a, number, name)
	return name, nil
}

// checkpointState returns the attempt, the number and the content of a new checkpoint. It releases the lock before it
// returns, so that the object store is written without the lock.
func (w *Worker) checkpointState(op string, ref backend.TaskRef) (*attempt, int, checkpointData, error) {
	w.lock()
	defer w.unlock()
	a, err := w.findActive(op, ref)
	if err != nil {
		return nil, 0, checkpointData{}, err
	}
	if a.spec.Kind == api.KindService || !a.running() {
		return nil, 0, checkpointData{}, fault.New(fault.CodeConflict, op, "a %s in state %s has no state to checkpoint",
			a.spec.Kind, a.state)
	}
	a.checkpoints++
	data := checkpointData{Task: ref.Task, Work: a.spec.Work, Attempt: ref.Attempt, Progress: a.progress}
	return a, a.checkpoints, data, nil
}

// recordCheckpoint records a stored checkpoint unless a later one was recorded before.
func (w *Worker) recordCheckpoint(a *attempt, number int, name string) {
	w.lock()
	defer w.unlock()
	if number > a.checkpointNumber {
		a.checkpoint = name
		a.checkpointNumber = number
	}
}
