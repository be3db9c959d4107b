package runner

import (
	"context"

	"bronzehook/api"
	"bronzehook/backend"
	"bronzehook/fault"
	"bronzehook/logging"
)

// Apply carries out orders of the coordinator and returns reports on assignments that are refused and on attempts that
// were asked about. Accepted assignments show up in later reports.
// Orders of a coordinator that was replaced have no effect.
func (r *Runner) Apply(orders Orders) []AttemptReport {
	if orders.Epoch < r.coordinatorEpoch {
		return nil
	}
	r.coordinatorEpoch = orders.Epoch
	var reports []AttemptReport
	for _, assignment := range orders.Assignments {
		if err := r.assign(assignment); err != nil {
			r.log.Warn().Str(logging.KeyTask, string(assignment.Task)).Uint64(logging.KeyAttempt, assignment.Attempt).
				Str(logging.KeyWorker, string(assignment.Worker)).Err(err).Msg("assignment refused")
			reports = append(reports, refusal(assignment, err))
		}
	}
	for _, intervention := range orders.Interventions {
		r.intervene(intervention)
	}
	for _, query := range orders.Queries {
		if report, ok := r.answer(query); ok {
			reports = append(reports, report)
		}
	}
	return reports
}

func refusal(a Assignment, err error) AttemptReport {
	return AttemptReport{
		Ref: a.Ref, Worker: a.Worker, State: api.SeenStopped, NotStarted: true, Reason: string(fault.CodeOf(err)),
	}
}

// assign is the second check: it compares an assignment with what the owner knows now. An assignment that is already
// known is accepted again without effect.
func (r *Runner) assign(assignment Assignment) error {
	owned := r.racks[assignment.Unit]
	if owned == nil {
		return fault.New(fault.CodeNotOwner, "assign", "rack %s is not owned here", assignment.Unit.Key())
	}
	if owned.epoch != assignment.Epoch {
		return fault.New(fault.CodeStaleEpoch, "assign", "epoch %d, the rack has %d", assignment.Epoch, owned.epoch)
	}
	w := owned.workers[assignment.Worker]
	if w == nil || !w.fenced || !w.unreachableSince.IsZero() {
		return fault.New(fault.CodeUnreachable, "assign", "worker %s does not answer", assignment.Worker)
	}
	known := w.attempts[assignment.Task]
	if known != nil && known.status.Attempt == assignment.Attempt {
		return nil
	}
	if known != nil && known.status.Attempt > assignment.Attempt || owned.refused[assignment.Task] >= assignment.Attempt {
		return fault.New(fault.CodeStaleAttempt, "assign", "attempt %d has ended", assignment.Attempt)
	}
	if known != nil && !known.status.State.Ended() {
		return fault.New(fault.CodeConflict, "assign", "attempt %d still runs", known.status.Attempt)
	}
	if w.info.Leaving || r.drained[w.info.ID] {
		return fault.New(fault.CodeNoCapacity, "assign", "worker %s is leaving or drained", w.info.ID)
	}
	if total := w.reserved().Add(assignment.Resources); !total.Fits(w.info.Capacity) {
		return fault.New(fault.CodeNoCapacity, "assign", "needs %v in all, the worker has %v", total, w.info.Capacity)
	}
	r.start(owned, w, assignment)
	return nil
}

func (r *Runner) start(owned *rack, w *worker, assignment Assignment) {
	clock := w.estimate(r.options.Clock.Now())
	order := backend.StartOrder{
		Task: assignment.Task, Work: assignment.Work, Kind: assignment.Kind, Attempt: assignment.Attempt,
		Epoch: owned.epoch, Resources: assignment.Resources, Command: assignment.Command,
		Checkpoint: assignment.Checkpoint, LeaseEnd: clock + r.options.Lease, NotAfter: clock + OrderValidity,
	}
	started := &attempt{
		status: backend.TaskStatus{
			Task: order.Task, Work: order.Work, Kind: order.Kind, Attempt: order.Attempt,
			State: api.SeenStarting, Resources: order.Resources, Checkpoint: order.Checkpoint,
		},
		notAfter: order.NotAfter, leaseEnd: order.LeaseEnd, changed: true,
	}
	w.attempts[order.Task] = started
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		_, err := r.options.Ownership.Check(owned.unit)
		if err == nil {
			err = w.client.Start(ctx, order)
		}
		r.options.Loop.Post(func() {
			if r.holds(owned) {
				r.startResult(owned, w, started, err)
			}
		})
	}()
}

// startResult handles the reply to a start order. Only refusals that prove that the attempt does not run end it; after
// any other failure the next inventory tells.
func (r *Runner) startResult(owned *rack, w *worker, started *attempt, err error) {
	switch fault.CodeOf(err) {
	case fault.CodeNoCapacity, fault.CodeExpired, fault.CodeStaleEpoch, fault.CodeNoAuthority, fault.CodeNotOwner,
		fault.CodeStopping, fault.CodeNotReady:
		if err == nil || started.seen {
			break
		}
		started.notStarted = true
		started.end(string(fault.CodeOf(err)))
	}
	if err != nil {
		r.log.Warn().Str(logging.KeyTask, string(started.status.Task)).Uint64(logging.KeyAttempt, started.status.Attempt).
			Str(logging.KeyWorker, string(w.info.ID)).Err(err).Msg("start failed")
	}
	r.poll(owned, w)
}

// answer reports on an attempt that the coordinator asks about. It stays silent while it cannot know.
func (r *Runner) answer(query Query) (AttemptReport, bool) {
	owned := r.racks[query.Unit]
	if owned == nil {
		return AttemptReport{}, false
	}
	w := owned.workers[query.Worker]
	if w == nil {
		w = &worker{info: api.Worker{ID: query.Worker}}
	}
	if known := w.attempts[query.Task]; known != nil && known.status.Attempt >= query.Attempt {
		if known.status.Attempt == query.Attempt {
			return known.report(w.info.ID), true
		}
		return AttemptReport{}, false
	}
	fresh := w.fenced && w.unreachableSince.IsZero()
	if !fresh && !r.leasesOver(owned, w) {
		return AttemptReport{}, false
	}
	// The worker follows this epoch and does not list the attempt, or every lease on it has run out. From here on a
	// late assignment of the attempt must not start it.
	owned.refused[query.Task] = max(owned.refused[query.Task], query.Attempt)
	return AttemptReport{
		Ref: query.Ref, Worker: query.Worker, State: api.SeenStopped, Reason: "the worker does not run the attempt",
	}, true
}

func (r *Runner) intervene(intervention Intervention) {
	owned := r.racks[intervention.Unit]
	if owned == nil {
		return
	}
	w := owned.workers[intervention.Worker]
	if w == nil || !w.fenced {
		return
	}
	a := w.attempts[intervention.Task]
	if a == nil || a.status.Attempt != intervention.Attempt || a.status.State.Ended() || a.stopping {
		return
	}
	ref := backend.TaskRef{Task: intervention.Task, Attempt: intervention.Attempt, Epoch: owned.epoch}
	ends := intervention.Action == ActionEvict || intervention.Action == ActionStop
	if ends {
		a.stopping = true
		r.refreshEndpoints(owned, w)
	}
	go func() {
		checkpoint, err := r.carryOut(owned, w, ref, intervention, a.status.Kind)
		r.options.Loop.Post(func() {
			a.stopping = false
			if r.holds(owned) {
				r.interventionResult(owned, w, a, intervention, checkpoint, err)
			}
		})
	}()
}

// carryOut makes the calls of an intervention, outside the control goroutine.
func (r *Runner) carryOut(owned *rack, w *worker, ref backend.TaskRef, in Intervention, kind api.Kind) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), DrainTime+2*callTimeout)
	defer cancel()
	if _, err := r.options.Ownership.Check(owned.unit); err != nil {
		return "", err
	}
	switch in.Action {
	case ActionThrottle:
		return "", w.client.Throttle(ctx, ref, in.Share)
	case ActionCheckpoint:
		return w.client.Checkpoint(ctx, ref)
	case ActionEvict:
		checkpoint, err := w.client.Checkpoint(ctx, ref)
		if err != nil {
			return "", err
		}
		return checkpoint, r.stopDrained(ctx, owned, w, ref, kind)
	default:
		return "", r.stopDrained(ctx, owned, w, ref, kind)
	}
}

// stopDrained stops an attempt. An endpoint's requests in flight are given time to finish first.
func (r *Runner) stopDrained(ctx context.Context, owned *rack, w *worker, ref backend.TaskRef, kind api.Kind) error {
	if kind == api.KindService {
		r.options.Slots.WaitIdle(ctx, w.info.ID, ref.Task, DrainTime)
	}
	if _, err := r.options.Ownership.Check(owned.unit); err != nil {
		return err
	}
	return w.client.Stop(ctx, ref)
}

func (r *Runner) interventionResult(
	owned *rack, w *worker, a *attempt, in Intervention, checkpoint string, err error,
) {
	defer r.refreshEndpoints(owned, w)
	if checkpoint != "" && !a.status.State.Ended() {
		a.status.Checkpoint = checkpoint
	}
	if err != nil {
		r.log.Warn().Str(logging.KeyTask, string(in.Task)).Uint64(logging.KeyAttempt, in.Attempt).
			Str(logging.KeyWorker, string(w.info.ID)).Str("action", string(in.Action)).Err(err).Msg("intervention failed")
		return
	}
	r.log.Info().Str(logging.KeyTask, string(in.Task)).Uint64(logging.KeyAttempt, in.Attempt).
		Str(logging.KeyWorker, string(w.info.ID)).Str("action", string(in.Action)).Str(logging.KeyReason, in.Reason).
		Msg("intervention done")
	if in.Action != ActionEvict && in.Action != ActionStop {
		return
	}
	a.evicted = true
	if !a.status.State.Ended() {
		a.end(in.Reason)
	}
}
