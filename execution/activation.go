package execution

import (
	"time"

	"bronzehook/jobs"
	"bronzehook/placement"
)

// A term activates only as many workers of each service as its work needs, plus a reserve. Of inactive workers it keeps
// only the registrations: they cost no polls, no connections and no time in placement decisions. Nothing runs on an
// inactive worker, since every attempt that may be running has a progress record, and a worker named in a progress
// record is activated when the record is read.
const (
	// minActive is the number of workers of a service that are activated regardless of the work.
	minActive = 512
	// minFreeShare is the share of the active workers' CPU capacity that is to be free; while less is, further workers
	// are activated.
	minFreeShare = 0.5
	// maxConnecting bounds the active workers of a service that have not answered their first poll yet.
	maxConnecting = 96
	// activateInterval is the time between two activations that happen regardless of the work. They ensure that every
	// worker is polled eventually, so that terminations of attempts of earlier terms are handled.
	activateInterval = 50 * time.Millisecond
	// maxActivatedPerLabel bounds the workers that are activated for a label after one refused placement.
	maxActivatedPerLabel = 16
)

// pool tracks which workers of a service are active, and how much CPU these have.
type pool struct {
	// inactive holds the workers that are not active, in the order of their registration.
	inactive []*worker
	// rack is the rack of the worker that was activated last.
	rack string
	// active counts the active workers, connecting those among them that have not answered yet. capacity and free sum
	// up the CPU of the connecting and of the usable workers, in thousandths of a core.
	active, connecting, capacity, free int
	// capacityShort is set when a task could not be placed and further workers may have capacity for it.
	capacityShort bool
	// activateAt is when the next worker is activated regardless of the work.
	activateAt time.Duration
}

func (t *Term) poolOf(service string) *pool {
	p := t.pools[service]
	if p == nil {
		p = &pool{}
		t.pools[service] = p
	}
	return p
}

// enqueueInactive queues a registered worker that is not active for activation.
func (t *Term) enqueueInactive(w *worker) {
	if w.active || w.queued {
		return
	}
	w.queued = true
	p := t.poolOf(w.node.Registration.Service)
	p.inactive = append(p.inactive, w)
}

// activate adds a worker to those that the term polls and places tasks on.
func (t *Term) activate(w *worker) {
	if w.active {
		return
	}
	w.active = true
	w.carrier = t.assignCarrier()
	t.active = append(t.active, w)
	t.nodes.add(&w.node, w)
}

// activateMore activates workers as the work needs them.
func (t *Term) activateMore(now time.Duration) {
	for _, p := range t.pools {
		for len(p.inactive) > 0 && p.connecting < maxConnecting && p.needsMore(now) {
			w := p.next()
			if !w.activatable() {
				continue
			}
			t.activate(w)
			p.count(w)
			p.activateAt = now + activateInterval
		}
		p.capacityShort = false
	}
}

// needsMore reports whether another worker is to be activated.
func (p *pool) needsMore(now time.Duration) bool {
	switch {
	case p.active < minActive, now >= p.activateAt:
		return true
	case p.capacityShort && p.connecting < maxConnecting/2:
		// If more workers are connecting already, they may be enough.
		return true
	}
	return float64(p.free) < minFreeShare*float64(p.capacity)
}

// next dequeues a worker for activation, preferably from the rack of the one before: tasks that run better on one
// rack then find capacity there.
func (p *pool) next() *worker {
	chosen := 0
	for i, w := range p.inactive {
		if w.node.Registration.Rack == p.rack {
			chosen = i
			break
		}
	}
	return p.dequeue(chosen)
}

// dequeue removes the worker at an index from the inactive ones.
func (p *pool) dequeue(i int) *worker {
	w := p.inactive[i]
	p.inactive = append(p.inactive[:i], p.inactive[i+1:]...)
	w.queued = false
	p.rack = w.node.Registration.Rack
	return w
}

// activatable reports whether a worker can be activated.
func (w *worker) activatable() bool {
	return w.registered && !w.active && !w.node.Registration.Draining
}

// noteRefusal requests further workers for a service after a task of a step could not be placed.
func (t *Term) noteRefusal(service string, step *jobs.Step, reason placement.Reason) {
	p := t.pools[service]
	if p == nil {
		return
	}
	switch reason {
	case placement.ReasonNoTicket, placement.ReasonTooLarge:
		// Further workers do not help: there are some to request advice on, or they are no larger.
	case placement.ReasonNotAllowed:
		if step.Requires != "" {
			t.activateWithLabel(p, step.Requires)
			return
		}
		p.capacityShort = true
	case placement.ReasonNonLocal:
		t.activateWithLabel(p, step.Affinity)
		// Without affinity, the tasks of the step are kept on one rack.
		p.capacityShort = p.capacityShort || step.Affinity == ""
	case placement.ReasonNoLabel:
		t.activateWithLabel(p, step.Requires)
	default:
		p.capacityShort = true
	}
}

// activateWithLabel activates queued workers with a label.
func (t *Term) activateWithLabel(p *pool, label string) {
	activated := 0
	for i := 0; i < len(p.inactive) && activated < maxActivatedPerLabel; {
		if !p.inactive[i].node.Registration.HasLabel(label) {
			i++
			continue
		}
		if w := p.dequeue(i); w.activatable() {
			t.activate(w)
			activated++
		}
	}
}

// countPools recomputes the totals over the active workers of each service.
func (t *Term) countPools() {
	for _, p := range t.pools {
		p.active, p.connecting, p.capacity, p.free = 0, 0, 0, 0
	}
	for _, w := range t.active {
		t.poolOf(w.node.Registration.Service).count(w)
	}
}

// count adds an active worker to the totals of its pool.
func (p *pool) count(w *worker) {
	p.active++
	connecting := !w.fenced && w.pollFailures == 0
	if connecting {
		p.connecting++
	}
	if connecting || w.node.Usable {
		p.capacity += w.node.Registration.Capacity.CPU
		p.free += max(0, w.node.Free().CPU)
	}
}
