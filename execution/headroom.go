package execution

import (
	"time"

	"bronzehook/jobs"
)

// Parameters of the headroom for batch work.
const (
	// demandDecay is the share by which the recorded peak demand decreases per second.
	demandDecay = 0.04
	// headroomFactor times the recorded peak demand is the CPU that is kept for batch work, in use or free.
	headroomFactor = 1.25
	// maxHeadroomShare bounds the headroom, as a share of the CPU capacity of the usable workers.
	maxHeadroomShare = 0.25
	// maxHeadroomWait is how long headroom may keep a long-running task waiting while there is free capacity for two
	// such tasks, since the task has to run again within a few seconds then. maxScarceHeadroomWait is the limit while
	// there is less free capacity: top-priority batch work accrues several times as much value per core-second as a
	// long-running task.
	maxHeadroomWait       = 2 * time.Second
	maxScarceHeadroomWait = 12 * time.Second
	// minUsableFreeCPU is the least free CPU on a worker, in thousandths of a core, that counts as free capacity for
	// batch work.
	minUsableFreeCPU = 6000
)

// demand tracks the current and the peak CPU demand of a class of work, in thousandths of a core.
type demand struct {
	peak           float64
	inUse, waiting int
	observedAt     time.Duration
}

// observe records the CPU that running tasks use and that waiting tasks need.
func (d *demand) observe(inUse, waiting int, now time.Duration) {
	if d.observedAt > 0 {
		d.peak *= 1 - demandDecay*(now-d.observedAt).Seconds()
	}
	d.observedAt, d.inUse, d.waiting = now, inUse, waiting
	d.peak = max(d.peak, float64(inUse+waiting))
}

// missing returns the CPU that has to be kept free for the work to reach its peak.
func (d *demand) missing() float64 { return max(0, headroomFactor*d.peak-float64(d.inUse)) }

// observeDemand updates the demand of the top-priority batch work and that of all batch work.
func (t *Term) observeDemand(now time.Duration) {
	var topUse, topWait, batchUse, batchWait int
	for _, j := range t.order {
		if j.excluded() || j.terminal() {
			continue
		}
		for _, o := range j.occurrences {
			if o == nil {
				continue
			}
			use, wait := batchDemandOf(t, j, o)
			batchUse += use
			batchWait += wait
			if j.queue.Priority == 0 {
				topUse += use
				topWait += wait
			}
		}
	}
	t.observeSlotSize()
	t.topPriorityDemand.observe(topUse, topWait, now)
	t.batchDemand.observe(batchUse, batchWait, now)
}

// batchDemandOf returns the CPU that the batch tasks of an occurrence use, and that which its waiting ones need.
func batchDemandOf(t *Term, j *job, o *occurrence) (use, wait int) {
	for s := range o.steps {
		step := &j.spec.Steps[s]
		if step.LongRunning || step.BestEffort || o.remaining[s] == 0 || !t.stepReady(j, o, s) {
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

// observeFree sums up the free CPU of the workers that have enough of it for batch work.
func (t *Term) observeFree() {
	t.freeCPU, t.freeSlots = 0, 0
	for _, node := range t.nodes.all {
		if free := node.Free().CPU; node.Usable && free >= minUsableFreeCPU {
			t.freeCPU += free
		}
		if node.Usable {
			t.freeSlots += node.Slots(t.slotCPU)
		}
	}
}

// headroom returns the CPU that a task has to leave free on its worker. Long-running tasks leave headroom for all batch
// work, batch tasks below the top priority leave it for top-priority batch work. For best-effort tasks it is ignored,
// since they use only CPU that other tasks leave unused.
func (t *Term) headroom(task *task, now time.Duration) int {
	switch {
	case t.usableCount == 0:
		return 0
	case task.step.LongRunning && (t.slotCPU > 0 || t.headroomWaitOver(task, now)):
		// Slots are kept instead, see maxLostSlots.
		return 0
	case task.step.LongRunning && t.freeCPU-task.step.Resources.CPU >= int(t.batchDemand.missing()):
		// Batch work finds enough free capacity elsewhere, so this task may fill a gap.
		return 0
	case task.step.LongRunning:
		// The bound lets a worker with free capacity for two such tasks always accept one.
		return min(t.perWorker(t.batchDemand.missing()), max(0, task.step.Resources.CPU-1))
	case task.job.queue.Priority > 0 && t.starved(task, now):
		return 0
	case task.job.queue.Priority > 0:
		return t.perWorker(t.topPriorityDemand.missing())
	}
	return 0
}

// perWorker divides headroom, bounded by maxHeadroomShare, evenly over the usable workers.
func (t *Term) perWorker(missing float64) int {
	return int(min(missing, maxHeadroomShare*float64(t.usableCPU))) / t.usableCount
}

// headroomWaitOver reports whether a long-running task has waited so long that it may use the headroom.
func (t *Term) headroomWaitOver(task *task, now time.Duration) bool {
	waited := now - task.readyAt
	return waited > maxScarceHeadroomWait || (waited > maxHeadroomWait && t.canPlaceTwo(task.step))
}

// canPlaceTwo reports whether the usable workers have free capacity for two tasks of a step.
func (t *Term) canPlaceTwo(step *jobs.Step) bool {
	if fits, known := t.canPlaceTwoByStep[step]; known {
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
	t.canPlaceTwoByStep[step] = found >= 2
	return found >= 2
}

// starved reports whether a batch task gets what is free even if that is headroom, held, or far from its data: its job has nothing
// running and has waited for maxHeadroomWait although the service is mostly unused and has free capacity for two such
// tasks. Headroom for work that may come and a worker near the data are preferences, which must not keep a task for ever
// from the capacity that is there. It applies to one task of a job at a time.
func (t *Term) starved(task *task, now time.Duration) bool {
	return task.job.liveAttempts == 0 && now-task.readyAt > maxHeadroomWait &&
		!t.yieldsToKept(task.job) && t.mostlyUnreserved(task.job) && t.canPlaceTwo(task.step)
}

// mostlyUnreserved reports whether less than idleReservedShare of the CPU capacity of a job's service is reserved.
func (t *Term) mostlyUnreserved(j *job) bool {
	p := t.pools[j.queue.Service]
	return p != nil && p.capacity > 0 && float64(p.capacity-p.free) < idleReservedShare*float64(p.capacity)
}

// A job of best-effort tasks that has nothing running gets one task (or one gang) after bestEffortStarvedAfter, while
// less than idleReservedShare of its service's CPU is reserved. Best-effort tasks use the CPU that other tasks leave
// unused, so without this rule the job would have to wait for best-effort tasks of other jobs to end.
const (
	bestEffortStarvedAfter = 2200 * time.Millisecond
	idleReservedShare      = 0.55
)

// bestEffortStarved reports whether a best-effort task is to be started even on a worker without unused CPU and despite
// possible interference.
func (t *Term) bestEffortStarved(j *job, task *task) bool {
	if !task.step.BestEffort || j.liveAttempts > 0 || t.scheduledAt-task.readyAt < bestEffortStarvedAfter {
		return false
	}
	return !t.yieldsToKept(j) && t.mostlyUnreserved(j)
}
