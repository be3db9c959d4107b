package runner

import (
	"context"

	"bronzehook/api"
	"bronzehook/backend"
	"bronzehook/fault"
	"bronzehook/logging"
)

// Apply executes commands of the coordinator and returns reports on refused assignments and on queried attempts.
// Accepted assignments appear in later reports. Commands of a coordinator that has been replaced have no effect.
func (r *Runner) Apply(commands Orders) []AttemptReport {
	if commands.Epoch < r.coordinatorEpoch {
		return nil
	}
	r.coordinatorEpoch = commands.Epoch
	var reports []AttemptReport
	for _, assignment := range commands.Assignments {
		if err := r.assign(assignment); err != nil {
			r.log.Warn().Str(logging.KeyTask, string(assignment.Task)).Uint64(logging.KeyAttempt, assignment.Attempt).
				Str(logging.KeyWorker, string(assignment.Worker)).Err(err).Msg("assignment refused")
			reports = append(reports, refusalReport(assignment, err))
		}
	}
	for _, action := range commands.Actions {
		r.startAction(action)
	}
	for _, query := range commands.Queries {
		if report, ok := r.answerQuery(query); ok {
			reports = append(reports, report)
		}
	}
	return reports
}

func refusalReport(a Assignment, err error) AttemptReport {
	return AttemptReport{
		Ref: a.Ref, Worker: a.Worker, State: api.SeenStopped, NotStarted: true, Reason: string(fault.CodeOf(err)),
	}
}

// assign starts an attempt. The coordinator decided on a snapshot that may be out of date, so the assignment is checked
// again against the current state of the worker. A repeated assignment is accepted without effect.
func (r *Runner) assign(assignment Assignment) error {
	rack := r.racks[assignment.Unit]
	if rack == nil {
		return fault.New(fault.CodeNotOwner, "assign", "rack %s is not owned here", assignment.Unit.Key())
	}
	if rack.epoch != assignment.Epoch {
		return fault.New(fault.CodeStaleEpoch, "assign", "ownership epoch %d, the rack has %d", assignment.Epoch, rack.epoch)
	}
	w := rack.workers[assignment.Worker]
	if w == nil || !w.fenced || !w.unreachableSince.IsZero() {
		return fault.New(fault.CodeUnreachable, "assign", "worker %s is unreachable or not fenced", assignment.Worker)
	}
	current := w.attempts[assignment.Task]
	if current != nil && current.status.Attempt == assignment.Attempt {
		return nil
	}
	if current != nil && current.status.Attempt > assignment.Attempt ||
		rack.terminated[assignment.Task] >= assignment.Attempt {
		return fault.New(fault.CodeStaleAttempt, "assign", "attempt %d has already terminated", assignment.Attempt)
	}
	if current != nil && !current.status.State.Terminal() {
		return fault.New(fault.CodeConflict, "assign", "attempt %d is still running", current.status.Attempt)
	}
	if w.info.Leaving || r.drained[w.info.ID] {
		return fault.New(fault.CodeNoCapacity, "assign", "worker %s is leaving or drained", w.info.ID)
	}
	if total := w.reserved().Add(assignment.Resources); !total.Fits(w.info.Capacity) {
		return fault.New(fault.CodeNoCapacity, "assign", "needs %v in total, the worker has %v", total, w.info.Capacity)
	}
	r.sendStart(rack, w, assignment)
	return nil
}

func (r *Runner) sendStart(rack *ownedRack, w *worker, assignment Assignment) {
	clock := w.estimateClock(r.options.Clock.Now())
	request := backend.StartRequest{
		Task: assignment.Task, Work: assignment.Work, Kind: assignment.Kind, Attempt: assignment.Attempt,
		Epoch: rack.epoch, Resources: assignment.Resources, Command: assignment.Command,
		Checkpoint: assignment.Checkpoint, LeaseExpiry: clock + r.options.AttemptLease, NotAfter: clock + StartValidity,
	}
	a := &attempt{
		status: backend.TaskStatus{
			Task: request.Task, Work: request.Work, Kind: request.Kind, Attempt: request.Attempt,
			State: api.SeenStarting, Resources: request.Resources, Checkpoint: request.Checkpoint,
		},
		notAfter: request.NotAfter, leaseExpiry: request.LeaseExpiry, unreported: true,
	}
	w.attempts[request.Task] = a
	client := w.client
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		_, err := r.options.Ownership.Check(rack.unit)
		if err == nil {
			err = client.Start(ctx, request)
		}
		r.options.Loop.Post(func() {
			if r.isCurrent(rack) {
				r.handleStartResult(rack, w, a, err)
			}
		})
	}()
}

// handleStartResult handles the reply to a start request. Only a refusal that proves that the attempt does not run
// terminates it; after any other failure the next inventory shows whether it runs.
func (r *Runner) handleStartResult(rack *ownedRack, w *worker, a *attempt, err error) {
	switch fault.CodeOf(err) {
	case fault.CodeNoCapacity, fault.CodeExpired, fault.CodeStaleEpoch, fault.CodeNoAuthority, fault.CodeNotOwner,
		fault.CodeStopping, fault.CodeNotReady:
		if err == nil || a.confirmed {
			break
		}
		a.notStarted = true
		a.markStopped(string(fault.CodeOf(err)))
	}
	if err != nil {
		r.log.Warn().Str(logging.KeyTask, string(a.status.Task)).Uint64(logging.KeyAttempt, a.status.Attempt).
			Str(logging.KeyWorker, string(w.info.ID)).Err(err).Msg("start failed")
	}
	r.poll(rack, w)
}

// answerQuery reports on an attempt that the coordinator queried. It returns false if the state of the attempt is
// unknown.
func (r *Runner) answerQuery(query Query) (AttemptReport, bool) {
	rack := r.racks[query.Unit]
	if rack == nil {
		return AttemptReport{}, false
	}
	w := rack.workers[query.Worker]
	if w == nil {
		w = &worker{info: api.Worker{ID: query.Worker}}
	}
	if current := w.attempts[query.Task]; current != nil && current.status.Attempt >= query.Attempt {
		if current.status.Attempt == query.Attempt {
			return current.report(w.info.ID), true
		}
		return AttemptReport{}, false
	}
	fresh := w.fenced && w.unreachableSince.IsZero()
	if !fresh && !r.earlierLeasesExpired(rack, w) {
		return AttemptReport{}, false
	}
	// Either the worker is fenced with this ownership epoch and does not report the attempt, or every attempt lease on
	// the worker has expired. From now on a delayed assignment of the attempt must not start it.
	rack.terminated[query.Task] = max(rack.terminated[query.Task], query.Attempt)
	return AttemptReport{
		Ref: query.Ref, Worker: query.Worker, State: api.SeenStopped, Reason: "the worker does not run the attempt",
	}, true
}

func (r *Runner) startAction(action TaskAction) {
	rack := r.racks[action.Unit]
	if rack == nil {
		return
	}
	w := rack.workers[action.Worker]
	if w == nil || !w.fenced {
		return
	}
	a := w.attempts[action.Task]
	if a == nil || a.status.Attempt != action.Attempt || a.status.State.Terminal() || a.stopping {
		return
	}
	ref := backend.TaskRef{Task: action.Task, Attempt: action.Attempt, Epoch: rack.epoch}
	terminates := action.Action == ActionEvict || action.Action == ActionStop
	if terminates {
		a.stopping = true
		r.refreshEndpoints(rack, w)
	}
	client, kind := w.client, a.status.Kind
	go func() {
		checkpoint, err := r.executeAction(rack, client, ref, action, kind)
		r.options.Loop.Post(func() {
			a.stopping = false
			if r.isCurrent(rack) {
				r.handleActionResult(rack, w, a, action, checkpoint, err)
			}
		})
	}()
}

// executeAction makes the worker calls of an action. It runs outside the event loop.
func (r *Runner) executeAction(rack *ownedRack, client backend.Worker, ref backend.TaskRef, action TaskAction,
	kind api.Kind) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), DrainTime+2*callTimeout)
	defer cancel()
	if _, err := r.options.Ownership.Check(rack.unit); err != nil {
		return "", err
	}
	switch action.Action {
	case ActionThrottle:
		return "", client.Throttle(ctx, ref, action.Share)
	case ActionCheckpoint:
		return client.Checkpoint(ctx, ref)
	case ActionEvict:
		checkpoint, err := client.Checkpoint(ctx, ref)
		if err != nil {
			return "", err
		}
		return checkpoint, r.drainAndStop(ctx, rack, client, ref, action.Worker, kind)
	default:
		return "", r.drainAndStop(ctx, rack, client, ref, action.Worker, kind)
	}
}

// drainAndStop stops an attempt. For a service it first waits until the requests in flight to its endpoint have
// finished, for at most DrainTime.
func (r *Runner) drainAndStop(
	ctx context.Context, rack *ownedRack, client backend.Worker, ref backend.TaskRef, on api.WorkerID, kind api.Kind,
) error {
	if kind == api.KindService {
		r.options.Slots.WaitIdle(ctx, on, ref.Task, DrainTime)
	}
	if _, err := r.options.Ownership.Check(rack.unit); err != nil {
		return err
	}
	return client.Stop(ctx, ref)
}

func (r *Runner) handleActionResult(
	rack *ownedRack, w *worker, a *attempt, action TaskAction, checkpoint string, err error,
) {
	defer r.refreshEndpoints(rack, w)
	if checkpoint != "" && !a.status.State.Terminal() {
		a.status.Checkpoint = checkpoint
	}
	if err != nil {
		r.log.Warn().Str(logging.KeyTask, string(action.Task)).Uint64(logging.KeyAttempt, action.Attempt).
			Str(logging.KeyWorker, string(w.info.ID)).Str("action", string(action.Action)).Err(err).Msg("task action failed")
		return
	}
	r.log.Info().Str(logging.KeyTask, string(action.Task)).Uint64(logging.KeyAttempt, action.Attempt).
		Str(logging.KeyWorker, string(w.info.ID)).Str("action", string(action.Action)).Str(logging.KeyReason, action.Reason).
		Msg("task action done")
	if action.Action != ActionEvict && action.Action != ActionStop {
		return
	}
	a.evicted = true
	if !a.status.State.Terminal() {
		a.markStopped(action.Reason)
	}
}
