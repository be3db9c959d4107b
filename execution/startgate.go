package execution

import (
	"time"

	"bronzehook/logging"
	"bronzehook/startgate"
	"bronzehook/workers"
)

// heldStartInterval is the interval at which a start that is held back is checked again.
const heldStartInterval = 20 * time.Millisecond

// freshness says how old the knowledge is that start commands depend on. That of evacuations is in their registry.
type freshness struct {
	// intakeAsOf and registrationsAsOf are when the reads were sent that last confirmed the intake and the registrations.
	intakeAsOf, registrationsAsOf time.Duration
	// reportedEvacuations holds when a carrier has withheld a start because a data centre is being evacuated.
	reportedEvacuations map[string]time.Duration
	// refreshingEvacuations is set while the evacuations are read because their knowledge has become old.
	refreshingEvacuations bool
}

// knowledgeOf returns what the term knows about the start of an attempt.
func (t *Term) knowledgeOf(a *taskAttempt) startgate.Knowledge {
	w := a.worker
	return startgate.Knowledge{
		Cancelled: a.task.job.terminal(), Evacuated: t.opts.Evacuations.Contains(w.node.Registration.Zone) || t.evacuatedElsewhere(w),
		Draining: w.node.Registration.Draining, Unregistered: !w.registered,
		OperatorTableAt: t.opts.Evacuations.ConfirmedAt(), RegistrationsAt: t.freshness.registrationsAsOf, IntakeAt: t.freshness.intakeAsOf,
	}
}

// decideStart decides whether the start command of an attempt may leave. The members of a gang whose start commands have not
// been sent yet start together or not at all.
func (t *Term) decideStart(a *taskAttempt, now time.Duration) startgate.Decision {
	decision := startgate.Decide(t.knowledgeOf(a), t.opts.StartBounds, now)
	if !a.task.step.Gang || a.phase != phaseRecording {
		return decision
	}
	for _, member := range t.gangOf(a.task) {
		if other := member.current; other != nil && other != a && other.phase == phaseRecording && other.number == a.number {
			decision = startgate.Combine(decision, startgate.Decide(t.knowledgeOf(other), t.opts.StartBounds, now))
		}
	}
	return decision
}

// mayLeave returns the check of a start that is made immediately before the command is written, on any goroutine.
func (t *Term) mayLeave(a *taskAttempt, leaveBy time.Duration) func() error {
	dataCentre, leaving, withdrawn := a.worker.node.Registration.Zone, &a.worker.leaving, &a.withdrawn
	return func() error {
		return startgate.Permit{LeaveBy: leaveBy}.Check(startgate.Latest{
			Now: t.opts.Clock(), Evacuated: t.opts.Evacuations.Contains(dataCentre), Draining: leaving.Load(),
			Withdrawn: withdrawn.Load(), NotLeading: !t.leader.Valid(),
		})
	}
}

// holdStart holds a start back until the knowledge is fresh. The first check is repeated at once, after the events that are
// queued: newer knowledge may be among them.
func (t *Term) holdStart(a *taskAttempt, reason startgate.Reason, now time.Duration) {
	again := now + heldStartInterval
	if !a.held {
		again = now
		a.held = true
		t.opts.Metrics.startWithheld(withheldHeld, reason)
		t.detailLog.Info().Stringer(logging.KeyTask, a.task.id).Int(logging.KeyAttempt, a.number).
			Str(logging.KeyWorker, string(a.worker.id())).Str(logging.KeyReason, string(reason)).Msg("start held back")
	}
	if a.startsPending > 0 {
		a.hedgeAt = again
		return
	}
	a.retryAt, a.retryDue = again, true
	t.unconfirmed[a] = struct{}{}
}

// dropWithheldStart handles a start command that was not sent because the last check before the write forbade it. It reports
// whether the attempt has ended, which it has unless another start command for it may have been sent.
func (t *Term) dropWithheldStart(a *taskAttempt, reason startgate.Reason) bool {
	w := a.worker
	t.opts.Metrics.startWithheld(withheldNotSent, reason)
	t.detailLog.Warn().Stringer(logging.KeyTask, a.task.id).Int(logging.KeyAttempt, a.number).
		Str(logging.KeyWorker, string(w.id())).Str(logging.KeyReason, string(reason)).Msg("start not sent")
	if reason == startgate.ReasonEvacuated {
		t.freshness.reportedEvacuations[w.node.Registration.Zone] = t.opts.Clock()
	}
	if a.startsPending > 0 || a.startsUnsent < a.startsSent {
		return false
	}
	if reason == startgate.ReasonTooLate {
		a.task.avoidWorker = w.id()
	}
	t.markLost(a, lostNotSent)
	return true
}

// evacuatedElsewhere reports whether a carrier has withheld a start because of the evacuation of the worker's data centre, and
// this instance has not read the operator's table since.
func (t *Term) evacuatedElsewhere(w *worker) bool {
	reportedAt, reported := t.freshness.reportedEvacuations[w.node.Registration.Zone]
	return reported && t.opts.Evacuations.ConfirmedAt() <= reportedAt
}

// refreshAgeShare is the share of the maximum age from which on the leader reads the evacuations itself. The watch of the
// operator's table can be late without a fault of the store: a large manifest takes seconds over a slow link, and with a small
// bound the wait of that watch (1 s) exceeds the maximum age.
const refreshAgeShare = 0.75

// refreshOldEvacuations reads the evacuations if their knowledge has become old, before starts are held back for that.
func (t *Term) refreshOldEvacuations(now time.Duration) {
	bound := t.opts.StartBounds.Evacuate
	age := now - t.opts.Evacuations.ConfirmedAt()
	if t.opts.RefreshEvacuations == nil || bound <= 0 || t.freshness.refreshingEvacuations || float64(age) < refreshAgeShare*float64(startgate.MaxAge(bound)) {
		return
	}
	t.freshness.refreshingEvacuations = true
	t.spawn("evacuations refresh", func() {
		if err := t.opts.RefreshEvacuations(t.ctx); err != nil {
			t.log.Warn().AnErr("error", err).Dur("age", age).Msg("evacuations not read")
			t.sleep(watchRetryDelay)
		}
		t.post(func() { t.freshness.refreshingEvacuations = false })
	})
}

// startCommand returns the start command of an attempt, which may leave until leaveBy.
func (t *Term) startCommand(a *taskAttempt, leaveBy, now time.Duration) workers.Start {
	return workers.Start{
		Target: t.target(a.worker), Task: a.task.id, Attempt: a.number, Text: a.task.job.spec.Text,
		Checkpoint: a.task.checkpoint, Ticket: t.ticketOf(a, now), StartTime: a.workerStartTime, LeaseExpiry: t.leaseExpiry(a.worker, now),
		DataCentre: a.worker.node.Registration.Zone, LeaveBy: leaveBy, MayLeave: t.mayLeave(a, leaveBy),
	}
}
