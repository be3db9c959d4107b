package execution

import (
	"time"

	"bronzehook/overdue"
	"bronzehook/workers"
)

// Hedged calls: a call to a worker whose response is overdue is repeated on another connection, long before it times
// out. Commands name their attempt and a repeated poll changes nothing, so the worker may carry out both calls. The
// first response counts.
const (
	// hedgeAfter is how long a response may take, beyond the poll wait of a long poll, before it is overdue. Workers in
	// another region respond within 30 ms.
	hedgeAfter = overdue.After
	// lossyPollWait is the poll wait while responses of several workers were lost recently: a termination whose report
	// was lost is reported again in the response to the next poll.
	lossyPollWait = 400 * time.Millisecond
	// lostResponseWindow is how long a lost response counts as recent. minLossyWorkers is the number of workers with
	// recent losses from which on responses are assumed to get lost in general.
	lostResponseWindow = 2 * time.Second
	minLossyWorkers    = 2
)

// lostResponses holds for each worker when a call to it last got no response.
type lostResponses map[workers.ID]time.Duration

func (l lostResponses) note(id workers.ID, now time.Duration) { l[id] = now }

// widespread reports whether responses of at least minLossyWorkers were lost recently.
func (l lostResponses) widespread(now time.Duration) bool {
	count := 0
	for id, at := range l {
		if now-at > lostResponseWindow {
			delete(l, id)
			continue
		}
		count++
	}
	return count >= minLossyWorkers
}

// hedgePoll repeats a poll whose response is overdue. The worker answers the repeated poll at once.
func (t *Term) hedgePoll(w *worker, now time.Duration) {
	w.hedgeAt = 0
	w.hedged = true
	t.sendPoll(w, t.pollRequest(w, now), now)
}
