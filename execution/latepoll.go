package execution

import (
	"time"

	"github.com/cockroachdb/errors"

	"bronzehook/logging"
	"bronzehook/workers"
)

// A link that is full delays responses by seconds. If a poll were given up when its response is overdue, the terminations in that
// response would be dropped, and the next polls would wait behind the same data on a new connection. Work that is done would be
// started again once its lease has expired. So the response to the first overdue poll of a worker is awaited on its connection
// beside the polls that follow, and counts if it arrives before one of theirs. That takes one more connection for each unresponsive
// worker.

// pollResponseTime is the time beyond its wait and margin after which a poll is overdue. It is the time-out that clients give to
// commands.
const pollResponseTime = 800 * time.Millisecond

// awaitLateResponse lets the client of a poll wait for the response until the attempt leases expire that the poll grants. After
// that the attempts are placed again.
func (t *Term) awaitLateResponse(w *worker, request *workers.PollRequest, now time.Duration) {
	overdueAt := now + request.Wait + request.TimeoutMargin + pollResponseTime
	margin := min(w.leasesExpireAt, now+t.opts.AttemptLeaseDuration) - overdueAt
	if len(w.attempts) == 0 || margin <= 0 {
		return
	}
	w.overdueAt = overdueAt
	request.TimeoutMargin += margin
}

// noteOverduePoll treats the current poll round of a worker as failed, and keeps waiting for its response.
func (t *Term) noteOverduePoll(w *worker, now time.Duration) {
	w.lateRound = w.pollRound
	w.pollRound++
	w.polling, w.hedged, w.pendingPolls, w.hedgeAt, w.overdueAt = false, false, 0, 0, 0
	t.handlePollFailure(w, t.target(w), now, errors.WithStack(&workers.UnreachableError{Worker: w.id(), Detail: "response overdue"}))
}

// handleLatePoll handles the overdue response to a poll that was sent at sentAt. It shows nothing if the token was raised for
// another reason than the overdue response, as then the worker may have to accept the new one first.
func (t *Term) handleLatePoll(w *worker, request workers.PollRequest, sentAt time.Duration, inventory workers.Inventory) {
	w.lateRound = 0
	if !w.fenced || t.target(w).FencingToken != request.FencingToken+1 || t.target(w).Via != request.Via {
		return
	}
	t.opts.Metrics.answeredLate()
	t.log.Info().Str(logging.KeyWorker, string(w.id())).Dur("took", t.opts.Clock()-sentAt).Int("running", len(inventory.Running)).
		Int("listed", len(inventory.Terminations)).Msg("poll answered late")
	w.pendingPolls = 0
	t.handlePoll(w, request, sentAt, inventory, nil)
}
