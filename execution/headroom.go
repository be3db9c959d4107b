package execution

import (
	"time"

	"bronzehook/jobs"
)

// Parameters of the headroom for urgent work.
const (
	// demandDecay is how fast the remembered peak of urgent work is forgotten, per second.
	demandDecay = 0.04
	// headroomFactor times the remembered peak is kept free.
	headroomFactor = 1.25
	// maxHeadroomShare bounds the headroom, as a share of the capacity.
	maxHeadroomShare = 0.25
	// maxHeadroomWait is how long headroom may keep a task that lasts waiting while there is room for it twice over: it
	// then has to run again within a few seconds. scarcePatience is how long it may while there is less room. A
	// core-second is worth several times as much to urgent short work as to a task that lasts.
	maxHeadroomWait       = 2 * time.Second
	maxScarceHeadroomWait = 12 * time.Second
	// minPiece is the least room on a worker, in thousandths of a core, that counts as room for short work.
	minPiece = 6000
)

// demand remembers the processors that a kind of work needs at its peak, in thousandths of a core.
type demand struct {
	peak           float64
	inUse, waiting int
	at             time.Duration
}

// observe takes up what runs and what waits.
func (d *demand) observe(inUse, waiting int, now time.Duration) {
	if d.at > 0 {
		d.peak *= 1 - demandDecay*(now-d.at).Seconds()
	}
	d.at, d.inUse, d.waiting = now, inUse, waiting
	d.peak = max(d.peak, float64(inUse+waiting))
}

// missing is what has to be kept free for the work to reach its peak.
func (d *demand) missing() float64 { return max(0, headroomFactor*d.peak-float64(d.inUse)) }

// observeDemand sums up short work that counts against the capacity: that of the first priority, and all.
func (t *Term) observeDemand(now time.Duration) {
	var urgentUse, urgentWait, shortUse, shortWait int
	for _, j := range t.order {
		if j.removed || j.terminal() {
			continue
		}
		for _, o := range j.occurrences {
			if o == nil {
				continue
			}
			use, wait := batchDemandOf(t, j, o)
			shortUse += use
			shortWait += wait
			if j.queue.Priority == 0 {
				urgentUse += use
				urgentWait += wait
			}
		}
	}
	t.topPriorityDemand.observe(urgentUse, urgentWait, now)
	t.batchDemand.observe(shortUse, shortWait, now)
}

func batchDemandOf(t *Term, j *job, o *occurrence) (use, wait int) {
	for s := range o.steps {
		step := &j.spec.Steps[s]
		if step.LongRunning || step.BestEffort || o.left[s] == 0 || !t.stepReady(j, o, s) {
			continue
		}
		for _, task := range o.steps[s] {
			switch {
			case task.current != nil:
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
	case one.step.LongRunning && t.headroomWaitOver(one, now):
		return 0
	case one.step.LongRunning && t.free-one.step.Resources.CPU >= int(t.batchDemand.missing()):
		// Short work finds its room elsewhere, so that this task may fill a gap.
		return 0
	case one.step.LongRunning:
		// A worker with room for a lasting task twice over has to take it, whatever else may come.
		return min(t.perWorker(t.batchDemand.missing()), max(0, one.step.Resources.CPU-1))
	case one.job.queue.Priority > 0:
		return t.perWorker(t.topPriorityDemand.missing())
	}
	return 0
}

// perWorker divides headroom over the usable workers.
func (t *Term) perWorker(missing float64) int {
	return int(min(missing, maxHeadroomShare*float64(t.capacity))) / t.usable
}

// headroomWaitOver reports whether a task that lasts has waited for so long that headroom is not kept from it any more.
func (t *Term) headroomWaitOver(one *task, now time.Duration) bool {
	waited := now - one.readyAt
	return waited > maxScarceHeadroomWait || (waited > maxHeadroomWait && t.canPlaceTwo(one.step))
}

// canPlaceTwo reports whether the usable workers have room for a task of a step twice over.
func (t *Term) canPlaceTwo(step *jobs.Step) bool {
	if fits, known := t.twice[step]; known {
		return fits
	}
	need, found := step.Reserved(), 0
	for _, node := range t.nodes.all {
		if !node.Usable {
			continue
		}
		for free := node.Free(); need.Fits(free) && found < 2; free = free.Sub(need) {
			found++
		}
	}
	t.twice[step] = found >= 2
	return found >= 2
}

// A job of fillers that has nothing running gets one task after bestEffortStarvedAfter, while less than idleShare of its service's
// processors is reserved: fillers ask for what others leave, so that a job must not wait for other fillers to end.
const (
	bestEffortStarvedAfter = 2200 * time.Millisecond
	idleShare              = 0.55
)

// bestEffortStarved reports whether a filler has to start although it will share processors with many others.
func (t *Term) bestEffortStarved(j *job, one *task) bool {
	if !one.step.BestEffort || j.liveAttempts > 0 || t.scheduledAt-one.readyAt < bestEffortStarvedAfter {
		return false
	}
	p := t.pools[j.queue.Service]
	return p != nil && p.capacity > 0 && float64(p.capacity-p.free) < idleShare*float64(p.capacity)
}
