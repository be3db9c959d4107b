package execution

import "time"

// Parameters of the headroom for urgent work.
const (
	// demandDecay is how fast the remembered peak of urgent work is forgotten, per second.
	demandDecay = 0.04
	// headroomFactor times the remembered peak is kept free.
	headroomFactor = 1.25
	// maxHeadroomShare bounds the headroom, as a share of the capacity.
	maxHeadroomShare = 0.25
	// lastingPatience is how long headroom may keep a task that lasts waiting. Such a task has to run again within a few
	// seconds if there is any room for it.
	lastingPatience = 2 * time.Second
	// minPiece is the least room on a worker, in thousandths of a core, that counts as room for short work.
	minPiece = 6000
)

// demand remembers the processors that a kind of work needs at its peak, in thousandths of a core.
type demand struct {
	peak  float64
	inUse int
	at    time.Duration
}

// observe takes up what runs and what waits.
func (d *demand) observe(inUse, waiting int, now time.Duration) {
	if d.at > 0 {
		d.peak *= 1 - demandDecay*(now-d.at).Seconds()
	}
	d.at, d.inUse = now, inUse
	d.peak = max(d.peak, float64(inUse+waiting))
}

// missing is what has to be kept free for the work to reach its peak.
func (d *demand) missing() float64 { return max(0, headroomFactor*d.peak-float64(d.inUse)) }

// observeDemand sums up short work that counts against the capacity: that of the first priority, and all.
func (t *Term) observeDemand(now time.Duration) {
	var urgentUse, urgentWait, shortUse, shortWait int
	for _, j := range t.order {
		if j.ended || j.terminal() {
			continue
		}
		for _, o := range j.occurrences {
			if o == nil {
				continue
			}
			use, wait := shortDemand(t, j, o)
			shortUse += use
			shortWait += wait
			if j.queue.Priority == 0 {
				urgentUse += use
				urgentWait += wait
			}
		}
	}
	t.urgent.observe(urgentUse, urgentWait, now)
	t.short.observe(shortUse, shortWait, now)
}

func shortDemand(t *Term, j *job, o *occurrence) (use, wait int) {
	for s := range o.steps {
		step := &j.spec.Steps[s]
		if step.LongRunning || step.Filler || o.left[s] == 0 || !t.stepReady(j, o, s) {
			continue
		}
		for _, task := range o.steps[s] {
			switch {
			case task.run != nil:
				use += step.Resources.CPU
			case !task.done:
				wait += step.Resources.CPU
			}
		}
	}
	return use, wait
}

// observeFree sums up the room in pieces that short work can use.
func (t *Term) observeFree() {
	t.free = 0
	for _, node := range t.nodes.all {
		if free := node.Free().CPU; node.Usable && free >= minPiece {
			t.free += free
		}
	}
}

// headroom is what a task has to leave free on each worker. Tasks that last leave room for all short work, short work
// of a lower priority for that of the first. Fillers need not: they give way by themselves.
func (t *Term) headroom(one *task, now time.Duration) int {
	switch {
	case t.usable == 0:
		return 0
	case one.step.LongRunning && now-one.readyAt > lastingPatience:
		return 0
	case one.step.LongRunning && t.free-one.step.Resources.CPU >= int(t.short.missing()):
		// Short work finds its room elsewhere, so that this task may fill a gap.
		return 0
	case one.step.LongRunning:
		// A worker with room for a lasting task twice over has to take it, whatever else may come.
		return min(t.spread(t.short.missing()), max(0, one.step.Resources.CPU-1))
	case one.job.queue.Priority > 0:
		return t.spread(t.urgent.missing())
	}
	return 0
}

// spread divides headroom over the usable workers.
func (t *Term) spread(missing float64) int {
	return int(min(missing, maxHeadroomShare*float64(t.capacity))) / t.usable
}
