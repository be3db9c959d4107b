package execution

import (
	"time"

	"bronzehook/jobs"
	"bronzehook/placement"
)

// A term deals with as many workers of each service as the work needs and some more. The others are known by their entries
// alone: they cost no looks, no connections and no time in decisions. Nothing runs on them, since every attempt that may be
// running is in a record, and a worker that a record names is engaged at once.
const (
	// minActive is the number of workers of a service that are engaged whatever the work.
	minActive = 512
	// spareShare is the share of the engaged workers' processors that is to be free.
	spareShare = 0.5
	// maxConnecting bounds the engaged workers of a service whose first look was not answered yet.
	maxConnecting = 96
	// activateInterval is the pause between two workers that are engaged without need, so that ends of earlier terms' attempts
	// are taken note of everywhere.
	activateInterval = 50 * time.Millisecond
	// maxActivatedPerLabel bounds the workers that are engaged for their label in one pass.
	maxActivatedPerLabel = 16
)

// pool is what a term knows of the workers of a service.
type pool struct {
	// inactive holds workers that are not engaged, in the order in which they were listed.
	inactive []*worker
	// rack is that of the worker that was engaged last.
	rack string
	// active counts the active workers, connecting those among them that have not answered yet. capacity and free sum up the
	// processors of these and of the usable ones, in thousandths of a core.
	active, connecting, capacity, free int
	// capacityShort is set when a task found no worker.
	capacityShort bool
	// activateAt is when the next worker is engaged without need.
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

// enqueueInactive queues a listed worker that is not engaged.
func (t *Term) enqueueInactive(w *worker) {
	if w.active || w.queued {
		return
	}
	w.queued = true
	p := t.poolOf(w.node.Entry.Service)
	p.inactive = append(p.inactive, w)
}

// activate makes the term look at a worker and place tasks on it.
func (t *Term) activate(w *worker) {
	if w.active {
		return
	}
	w.active = true
	t.active = append(t.active, w)
	t.nodes.add(&w.node, w)
}

// activateMore engages workers as the work needs them.
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

// needsMore reports whether a further worker is to be engaged.
func (p *pool) needsMore(now time.Duration) bool {
	switch {
	case p.active < minActive, now >= p.activateAt:
		return true
	case p.capacityShort && p.connecting < maxConnecting/2:
		// The workers that are about to answer may be enough otherwise.
		return true
	}
	return float64(p.free) < spareShare*float64(p.capacity)
}

// next takes a waiting worker, of the rack of the one before if there is any: tasks that are better off on one rack then find
// room there.
func (p *pool) next() *worker {
	chosen := 0
	for i, w := range p.inactive {
		if w.node.Entry.Rack == p.rack {
			chosen = i
			break
		}
	}
	return p.take(chosen)
}

func (p *pool) take(i int) *worker {
	w := p.inactive[i]
	p.inactive = append(p.inactive[:i], p.inactive[i+1:]...)
	w.queued = false
	p.rack = w.node.Entry.Rack
	return w
}

// activatable reports whether a worker may be of use.
func (w *worker) activatable() bool { return w.registered && !w.active && !w.node.Entry.Draining }

// noteRefusal lets the pool of a service grow after a task of a step was not placed.
func (t *Term) noteRefusal(service string, step *jobs.Step, reason placement.Reason) {
	p := t.pools[service]
	if p == nil {
		return
	}
	switch reason {
	case placement.ReasonNotAllowed, placement.ReasonTooLarge:
		// Other workers have to be asked for, or are no larger.
	case placement.ReasonFar:
		t.activateWithLabel(p, step.Affinity)
	case placement.ReasonNoLabel:
		t.activateWithLabel(p, step.Requires)
	default:
		p.capacityShort = true
	}
}

// activateWithLabel engages waiting workers with a label.
func (t *Term) activateWithLabel(p *pool, label string) {
	engaged := 0
	for i := 0; i < len(p.inactive) && engaged < maxActivatedPerLabel; {
		if !p.inactive[i].node.Entry.HasLabel(label) {
			i++
			continue
		}
		if w := p.take(i); w.activatable() {
			t.activate(w)
			engaged++
		}
	}
}

// countPools sums up the engaged workers of each service.
func (t *Term) countPools() {
	for _, p := range t.pools {
		p.active, p.connecting, p.capacity, p.free = 0, 0, 0, 0
	}
	for _, w := range t.active {
		t.poolOf(w.node.Entry.Service).count(w)
	}
}

// count adds an engaged worker to the sums of its pool.
func (p *pool) count(w *worker) {
	p.active++
	opening := !w.fenced && w.pollFailures == 0
	if opening {
		p.connecting++
	}
	if opening || w.node.Usable {
		p.capacity += w.node.Entry.Capacity.CPU
		p.free += max(0, w.node.Free().CPU)
	}
}
