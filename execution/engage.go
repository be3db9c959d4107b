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
	// firstEngaged is the number of workers of a service that are engaged whatever the work.
	firstEngaged = 512
	// spareShare is the share of the engaged workers' processors that is to be free.
	spareShare = 0.5
	// engageAtOnce bounds the engaged workers of a service whose first look was not answered yet.
	engageAtOnce = 96
	// engageEvery is the pause between two workers that are engaged without need, so that ends of earlier terms' attempts
	// are taken note of everywhere.
	engageEvery = 50 * time.Millisecond
	// engageForLabel bounds the workers that are engaged for their label in one pass.
	engageForLabel = 16
)

// pool is what a term knows of the workers of a service.
type pool struct {
	// waiting holds workers that are not engaged, in the order in which they were listed.
	waiting []*worker
	// rack is that of the worker that was engaged last.
	rack string
	// engaged counts the engaged workers, opening those among them that have not answered yet. capacity and free sum up the
	// processors of these and of the usable ones, in thousandths of a core.
	engaged, opening, capacity, free int
	// crowded is set when a task found no worker.
	crowded bool
	// engageAt is when the next worker is engaged without need.
	engageAt time.Duration
}

func (t *Term) poolOf(service string) *pool {
	p := t.pools[service]
	if p == nil {
		p = &pool{}
		t.pools[service] = p
	}
	return p
}

// offer queues a listed worker that is not engaged.
func (t *Term) offer(w *worker) {
	if w.engaged || w.offered {
		return
	}
	w.offered = true
	p := t.poolOf(w.node.Entry.Service)
	p.waiting = append(p.waiting, w)
}

// engage makes the term look at a worker and place tasks on it.
func (t *Term) engage(w *worker) {
	if w.engaged {
		return
	}
	w.engaged = true
	t.engaged = append(t.engaged, w)
	t.nodes.add(&w.node, w)
}

// engageMore engages workers as the work needs them.
func (t *Term) engageMore(now time.Duration) {
	for _, p := range t.pools {
		for len(p.waiting) > 0 && p.opening < engageAtOnce && p.needsMore(now) {
			w := p.next()
			if !w.engageable() {
				continue
			}
			t.engage(w)
			p.count(w)
			p.engageAt = now + engageEvery
		}
		p.crowded = false
	}
}

// needsMore reports whether a further worker is to be engaged.
func (p *pool) needsMore(now time.Duration) bool {
	switch {
	case p.engaged < firstEngaged, now >= p.engageAt:
		return true
	case p.crowded && p.opening < engageAtOnce/2:
		// The workers that are about to answer may be enough otherwise.
		return true
	}
	return float64(p.free) < spareShare*float64(p.capacity)
}

// next takes a waiting worker, of the rack of the one before if there is any: tasks that are better off on one rack then find
// room there.
func (p *pool) next() *worker {
	chosen := 0
	for i, w := range p.waiting {
		if w.node.Entry.Rack == p.rack {
			chosen = i
			break
		}
	}
	return p.take(chosen)
}

func (p *pool) take(i int) *worker {
	w := p.waiting[i]
	p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
	w.offered = false
	p.rack = w.node.Entry.Rack
	return w
}

// engageable reports whether a worker may be of use.
func (w *worker) engageable() bool { return w.listed && !w.engaged && !w.node.Entry.Draining }

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
		t.engageWith(p, step.Affinity)
	case placement.ReasonNoLabel:
		t.engageWith(p, step.Requires)
	default:
		p.crowded = true
	}
}

// engageWith engages waiting workers with a label.
func (t *Term) engageWith(p *pool, label string) {
	engaged := 0
	for i := 0; i < len(p.waiting) && engaged < engageForLabel; {
		if !p.waiting[i].node.Entry.HasLabel(label) {
			i++
			continue
		}
		if w := p.take(i); w.engageable() {
			t.engage(w)
			engaged++
		}
	}
}

// countPools sums up the engaged workers of each service.
func (t *Term) countPools() {
	for _, p := range t.pools {
		p.engaged, p.opening, p.capacity, p.free = 0, 0, 0, 0
	}
	for _, w := range t.engaged {
		t.poolOf(w.node.Entry.Service).count(w)
	}
}

// count adds an engaged worker to the sums of its pool.
func (p *pool) count(w *worker) {
	p.engaged++
	opening := !w.fenced && w.lookFailures == 0
	if opening {
		p.opening++
	}
	if opening || w.node.Usable {
		p.capacity += w.node.Entry.Capacity.CPU
		p.free += max(0, w.node.Free().CPU)
	}
}
