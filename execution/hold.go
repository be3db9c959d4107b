package execution

import (
	"time"

	"bronzehook/logging"
	"bronzehook/placement"
	"bronzehook/workers"
)

// maxHolds bounds the waiting tasks for which room is held at one time.
const maxHolds = 64

// holdAfter is how long a lasting task waits before room is held for it. It is shorter than the time after which such a
// task has to run again wherever there is room, by the time that short tasks need to end.
const holdAfter = 3 * time.Second

// Short tasks take room as soon as it comes free, in pieces that are too small for a task that lasts. So room is held for
// a lasting task that has waited for holdPatience: on one worker short tasks and fillers get nothing more until the
// task fits there.

// mayHold reports whether room may be held for a task. While urgent short work waits for room, this takes longer.
func (t *Term) mayHold(one *task, now time.Duration) bool {
	patience := holdAfter
	if t.topPriorityDemand.waiting > 0 {
		patience = maxScarceHeadroomWait
	}
	return one.step.LongRunning && !one.step.Gang && now-one.readyAt > patience && len(t.holds) < maxHolds
}

// holdCapacity picks the worker on which room for a task is held: the one with the most room now among those that would have
// enough without the work that ends by itself.
func (t *Term) holdCapacity(j *job, one *task, siblings []*task, allowed func(workers.ID) bool, now time.Duration) {
	if t.holds[one] != nil || !t.mayHold(one, now) {
		return
	}
	request := t.request(j, one, siblings)
	request.Allowed = allowed
	node := placement.ChooseHold(t.nodes.all, request)
	if node == nil {
		return
	}
	node.Hold(one.step)
	t.holds[one] = node
	free := node.Free()
	t.log.Info().Stringer(logging.KeyTask, one.id).Str(logging.KeyWorker, string(node.Entry.ID)).
		Dur("waited", now-one.readyAt).Int("cpu", one.step.Resources.CPU).Int("free_cpu", free.CPU).
		Int("memory_mb", one.step.Resources.MemoryMB).Int("free_memory_mb", free.MemoryMB).Msg("room held")
}

// refreshHolds gives up room for tasks that need none any more and on workers that can't take theirs.
func (t *Term) refreshHolds() {
	for one, node := range t.holds {
		needed := one.current == nil && !one.done && !one.job.terminal() && !one.job.removed
		if !needed || !node.Usable || !one.step.Reserved().Fits(node.Transient()) {
			t.releaseHold(one)
		}
	}
}

func (t *Term) releaseHold(one *task) {
	if node := t.holds[one]; node != nil {
		node.Unhold(one.step)
		delete(t.holds, one)
	}
}

// hasOverdueLongRunning reports whether a task of a job that lasts has waited for so long that it comes before short work.
func hasOverdueLongRunning(j *job, now time.Duration) bool {
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		for s, step := range o.steps {
			if !j.spec.Steps[s].LongRunning {
				continue
			}
			for _, one := range step {
				if one.current == nil && !one.done && now-one.readyAt > holdAfter {
					return true
				}
			}
		}
	}
	return false
}
