package execution

import (
	"time"

	"bronzehook/workers"
)

// Hedged calls: a call to a worker whose answer is overdue is repeated on another connection, long before it times out. Orders
// name their attempt and looks change nothing twice, so that both may be carried out. The answer that comes first counts.
const (
	// hedgeAfter is how much later than usual an answer is overdue. Workers in another region answer within 30 ms.
	hedgeAfter = 200 * time.Millisecond
	// hedgesPerSecond bounds the repeated calls: a holder that is slow itself finds all answers overdue.
	hedgesPerSecond = 24
	// lossyPollWait holds while several workers have lost answers of late: ends that an answer told of are then learnt from the
	// next one.
	lossyPollWait = 400 * time.Millisecond
	// lossMemory is how long a lost answer is remembered, manyLosses the number of workers from which on answers get lost in
	// general.
	lossMemory = 2 * time.Second
	manyLosses = 2
)

// hedgeBudget bounds the repeated calls of a second.
type hedgeBudget struct {
	second time.Duration
	taken  int
}

func (b *hedgeBudget) take(now time.Duration) bool {
	if second := now.Truncate(time.Second); second != b.second {
		b.second, b.taken = second, 0
	}
	b.taken++
	return b.taken <= hedgesPerSecond
}

// lostResponses remembers which workers have left a call without an answer of late.
type lostResponses map[workers.ID]time.Duration

func (l lostResponses) note(id workers.ID, now time.Duration) { l[id] = now }

// many reports whether answers of several workers have got lost of late.
func (l lostResponses) many(now time.Duration) bool {
	count := 0
	for id, at := range l {
		if now-at > lossMemory {
			delete(l, id)
			continue
		}
		count++
	}
	return count >= manyLosses
}

// hedgePoll repeats a look whose answer is overdue. It is answered at once.
func (t *Term) hedgePoll(w *worker, now time.Duration) {
	w.hedgeAt = 0
	w.hedged = true
	t.sendPoll(w, t.pollRequest(w, now), now)
}
