package execution

import (
	"math"
	"time"
)

const (
	// slotSizeFactor times the mean CPU that batch tasks reserve is the size of a slot: most tasks fit into one of these.
	slotSizeFactor = 1.25
	// slotSizeWeight is the weight of the present batch tasks in the size of a slot, so that it does not jump with each job.
	slotSizeWeight = 0.1
)

// observeSlotSize updates the size of a slot from the batch tasks of the live jobs. Best-effort tasks reserve no CPU.
func (t *Term) observeSlotSize() {
	total, count := 0, 0
	for _, j := range t.order {
		if j.excluded() || j.terminal() {
			continue
		}
		for i := range j.spec.Steps {
			step := &j.spec.Steps[i]
			if !step.LongRunning && !step.BestEffort {
				count += step.Count
				total += step.Count * step.Resources.CPU
			}
		}
	}
	if count == 0 {
		return
	}
	size := slotSizeFactor * float64(total) / float64(count)
	if t.slotCPU == 0 {
		t.slotCPU = int(size)
	}
	t.slotCPU += int(slotSizeWeight * (size - float64(t.slotCPU)))
}

// maxLostSlots returns how many slots for batch tasks a task may take on its worker: as many as batch work does not need to reach
// its recorded peak. A task that has waited for too long may take any.
func (t *Term) maxLostSlots(task *task, now time.Duration) int {
	if t.slotCPU == 0 || t.headroomWaitOver(task, now) {
		return math.MaxInt
	}
	needed := int(math.Ceil(t.batchDemand.missing() / float64(t.slotCPU)))
	return max(0, t.freeSlots-needed)
}
