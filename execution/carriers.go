package execution

import (
	"time"
)

// Carriers assigns instances that make the leader's calls to workers for it. The client in Options.Workers makes a call
// through the instance named in its target.
type Carriers interface {
	// Begin starts a term. lost is called on another goroutine when a carrier is no longer to be used.
	Begin(lost func(name string))
	// End ends the term.
	End()
	// Assign returns the carrier of one more worker of a fleet; empty if the leader is to call it itself.
	Assign(fleet int) string
	// Release notes that a worker has no longer a carrier that it was assigned.
	Release(name string)
}

const (
	// rebalanceInterval is the time between two passes that assign carriers to workers without one.
	rebalanceInterval = 500 * time.Millisecond
	// maxRebalanced bounds the workers of one pass: each of them gets no new task until it has answered a poll.
	maxRebalanced = 64
)

// assignCarrier returns the carrier for one more worker.
func (t *Term) assignCarrier() string {
	if t.opts.Carriers == nil {
		return ""
	}
	return t.opts.Carriers.Assign(len(t.workers))
}

// releaseCarrier ends the assignment of a worker's carrier.
func (t *Term) releaseCarrier(w *worker) {
	if t.opts.Carriers != nil && w.carrier != "" {
		t.opts.Carriers.Release(w.carrier)
	}
	w.carrier = ""
}

// changeCarrier lets another instance make the calls to a worker. The fencing token for the worker grows, so that it
// refuses calls that the former carrier still makes.
func (t *Term) changeCarrier(w *worker, carrier string) {
	t.releaseCarrier(w)
	w.carrier = carrier
	w.incarnation++
	w.fenced = false
	// The poll in flight may take as long as its wait. Its response is ignored: what it reports is not acknowledged, and
	// the next poll reports it, too.
	w.pollRound++
	w.polling, w.pendingPolls, w.hedgeAt = false, 0, 0
	w.nextPoll = t.opts.Clock()
}

// reassignCarrier replaces a carrier that is no longer to be used.
func (t *Term) reassignCarrier(lost string) {
	moved := 0
	for _, w := range t.active {
		if w.carrier == lost {
			t.changeCarrier(w, t.assignCarrier())
			moved++
		}
	}
	t.log.Warn().Str("peer", lost).Int("workers", moved).Msg("workers get another carrier")
}

// rebalanceCarriers assigns carriers to workers that the leader calls itself, once there are any.
func (t *Term) rebalanceCarriers(now time.Duration) {
	if t.opts.Carriers == nil || now < t.nextRebalance {
		return
	}
	t.nextRebalance = now + rebalanceInterval
	moved := 0
	for _, w := range t.active {
		if w.carrier != "" || !w.fenced || w.pollFailures > 0 {
			continue
		}
		carrier := t.assignCarrier()
		if carrier == "" {
			return
		}
		t.changeCarrier(w, carrier)
		if moved++; moved == maxRebalanced {
			return
		}
	}
}
