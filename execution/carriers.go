package execution

import (
	"time"

	"bronzehook/carrier"
	"bronzehook/jobs"
	"bronzehook/workers"
)

// Carriers assigns instances that make the leader's calls to workers for it, and makes calls through them. done is called
// on the control goroutine with what the method of workers.Client would return.
type Carriers interface {
	// Begin starts a term.
	Begin(session carrier.Session)
	// End ends the term.
	End()
	// Assign returns the carrier of one more worker of a fleet; empty if the leader is to call it itself.
	Assign(fleet int) string
	// Connecting reports whether carriers are needed and none is connected yet.
	Connecting() bool
	// Release notes that a worker has no longer a carrier that it was assigned.
	Release(name string)

	StartVia(command workers.Start, done func(clock int64, err error))
	StopVia(target workers.Target, task jobs.Task, attempt int, done func(error))
	PollVia(request workers.PollRequest, done func(workers.Inventory, error))
	ThrottleVia(target workers.Target, task jobs.Task, attempt, percent int, done func(error))
}

const (
	// rebalanceInterval is the time between two passes that assign carriers to workers without one.
	rebalanceInterval = 100 * time.Millisecond
	// maxRebalanced bounds the workers of one pass that are in use: each of them gets no new task until it has answered a
	// poll. It does not apply to workers that have not answered one in this term, as after a change of leader.
	maxRebalanced = 32
	// maxCarrierWait bounds how long a new leader waits for carriers before it polls the workers itself. Polls of a whole
	// fleet at once keep a leader busy for longer.
	maxCarrierWait = 400 * time.Millisecond
)

// carried reports whether carriers make most of the calls to workers.
func (t *Term) carried() bool { return 2*t.carriedWorkers > len(t.active) }

// awaitsCarriers reports whether polls wait for the first carrier of the term.
func (t *Term) awaitsCarriers(now time.Duration) bool {
	return t.opts.Carriers != nil && now < t.loadedAt+maxCarrierWait && t.opts.Carriers.Connecting()
}

// assignCarrier returns the carrier for one more worker.
func (t *Term) assignCarrier() string {
	if t.opts.Carriers == nil {
		return ""
	}
	name := t.opts.Carriers.Assign(len(t.workers))
	if name != "" {
		t.carriedWorkers++
	}
	return name
}

// releaseCarrier ends the assignment of a worker's carrier.
func (t *Term) releaseCarrier(w *worker) {
	if w.carrier != "" {
		t.opts.Carriers.Release(w.carrier)
		t.carriedWorkers--
	}
	w.carrier = ""
}

// changeCarrier lets another instance make the calls to a worker. The fencing token for the worker grows, so that it
// refuses calls that the former carrier still makes.
func (t *Term) changeCarrier(w *worker, carrier string) {
	t.releaseCarrier(w)
	w.carrier = carrier
	t.raiseToken(w)
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
		if w.carrier != "" || w.pollFailures > 0 || (w.fenced && moved == maxRebalanced) {
			continue
		}
		carrier := t.assignCarrier()
		if carrier == "" {
			return
		}
		if w.fenced {
			moved++
		}
		t.changeCarrier(w, carrier)
	}
}
