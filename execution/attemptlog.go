package execution

import (
	"slices"
	"time"

	"bronzehook/logging"
	"bronzehook/workers"
)

// maxAnswerDelay bounds by how much a worker's clock may be ahead of its estimate: its last answer may have been under way, or
// have waited for the control goroutine, for as long.
const maxAnswerDelay = 5 * time.Second

// String returns the name of the phase in the log.
func (p phase) String() string {
	switch p {
	case phaseRecording:
		return "recording"
	case phaseSent:
		return "ordered"
	case phaseInherited:
		return "inherited"
	}
	return "running"
}

// ofEarlierTerm reports whether an earlier term started the attempt.
func (a *taskAttempt) ofEarlierTerm() bool { return a.token == 0 && a.phase != phaseRecording }

// logTakenOver logs that the tables were read, and what earlier terms have left behind.
func (t *Term) logTakenOver(took time.Duration) {
	inherited := 0
	for _, w := range t.active {
		inherited += len(w.attempts)
	}
	t.log.Info().Int("jobs", len(t.jobs)).Int("workers", len(t.workers)).Int("engaged", len(t.active)).Int("inherited", inherited).
		Dur("lease_left", t.inheritedLeaseExpiry()-t.opts.Clock()).Dur("took", took).Msg("duty taken")
}

// logStarted logs that a worker has confirmed the start of an attempt.
func (t *Term) logStarted(a *taskAttempt, now time.Duration) {
	t.detailLog.Info().Stringer(logging.KeyTask, a.task.id).Int(logging.KeyAttempt, a.number).
		Str(logging.KeyWorker, string(a.worker.id())).Int64("born", a.worker.startTime).Dur("waited", now-a.task.readyAt).
		Msg("attempt started")
}

// logLost logs that an attempt is taken to have ended, and what is known of it.
func (t *Term) logLost(a *taskAttempt, reason string) {
	w := a.worker
	t.log.Warn().Stringer(logging.KeyTask, a.task.id).Int(logging.KeyAttempt, a.number).Str(logging.KeyWorker, string(w.id())).
		Str(logging.KeyReason, reason).Int64("born", w.startTime).Stringer("phase", a.phase).Bool("inherited", a.ofEarlierTerm()).
		Int("starts", a.startsSent).Int("open", a.startsPending).Dur("lease_left", w.leasesExpireAt-t.opts.Clock()).Msg("attempt lost")
}

// logIncarnation logs that another incarnation of a worker has answered than the one before.
func (t *Term) logIncarnation(w *worker, startTime int64) {
	t.log.Warn().Str(logging.KeyWorker, string(w.id())).Int64("born", startTime).Int("attempts", len(w.attempts)).
		Int64("acknowledged", w.ackedUpTo).Int("starts", len(w.startsSincePoll)).Dur("lease_left", w.leasesExpireAt-t.opts.Clock()).
		Msg("worker started again")
}

// logAnnouncedIncarnation logs a registration that announces a later incarnation of a worker than the one that answered last.
func (t *Term) logAnnouncedIncarnation(w *worker, registration workers.Registration) {
	t.log.Info().Str(logging.KeyWorker, string(w.id())).Int64("born", registration.StartTime).Int64("answered_born", w.startTime).
		Int("attempts", len(w.attempts)).Int("starts", len(w.startsSincePoll)).Msg("worker listed with a later start")
}

// logForeignClock logs a response to a start command with a clock that the incarnation that answered last can't have: another
// one has responded. The command was sent at sentAt.
func (t *Term) logForeignClock(a *taskAttempt, sentAt, now time.Duration, clock int64) {
	w := a.worker
	if clock == 0 || w.clockAt == 0 || w.clockFits(clock, sentAt, now) {
		return
	}
	t.log.Warn().Stringer(logging.KeyTask, a.task.id).Int(logging.KeyAttempt, a.number).Str(logging.KeyWorker, string(w.id())).
		Int64("born", w.startTime).Int64("clock", clock).Int64("estimated_clock", w.clockNow(now)).Msg("start answered by another clock")
}

// clockNow estimates the worker's clock. The estimate is ahead of that clock by at most the clock drift since clockAt.
func (w *worker) clockNow(now time.Duration) int64 {
	return w.clock + (now - w.clockAt).Milliseconds()
}

// clockFits reports whether the incarnation of the worker that answered last can have had a clock between sentAt and now.
func (w *worker) clockFits(clock int64, sentAt, now time.Duration) bool {
	drift := func(at time.Duration) time.Duration {
		return time.Duration(float64((at-w.clockAt).Abs())*(maxClockDriftFactor-1)) + leaseExpiryMargin
	}
	least := w.clockNow(sentAt) - drift(sentAt).Milliseconds()
	most := w.clockNow(now) + (drift(now) + maxAnswerDelay).Milliseconds()
	return clock >= least && clock <= most
}

// forgetStartsBefore drops the times of the start commands that were sent before an answered poll.
func (w *worker) forgetStartsBefore(polledAt time.Duration) {
	w.startsSincePoll = slices.DeleteFunc(w.startsSincePoll, func(sentAt time.Duration) bool { return sentAt < polledAt })
}
