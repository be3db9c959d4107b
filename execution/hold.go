package execution

import (
	"time"

	"bronzehook/logging"
	"bronzehook/placement"
)

// maxHolds bounds the waiting tasks for which capacity is held at one time.
const maxHolds = 64

// holdAfter is how long a long-running task waits before capacity is held for it. A long-running task has to run again
// within a limited time wherever there is free capacity; holdAfter is shorter than that limit by the time that batch
// tasks need to end.
const holdAfter = 3 * time.Second

// Batch tasks take capacity as soon as it is released, in pieces that are too small for a long-running task. So capacity
// is held for a long-running task that has waited for holdAfter: on one worker, batch and best-effort tasks get none
// of it until the task is placed.

// mayHold reports whether capacity may be held for a task. The task has to wait longer for that while top-priority
// batch work is waiting for capacity.
func (t *Term) mayHold(task *task, now time.Duration) bool {
	minWait := holdAfter
	if t.topPriorityDemand.waiting > 0 {
		minWait = maxScarceHeadroomWait
	}
	return task.step.LongRunning && !task.step.Gang && now-task.readyAt > minWait && len(t.holds) < maxHolds
}

// holdCapacity chooses the worker on which capacity for a task is held: the one with the most free capacity among
// those that would have enough without the tasks that run to completion.
func (t *Term) holdCapacity(j *job, task *task, siblings []*task, now time.Duration) {
	if t.holds[task] != nil || !t.mayHold(task, now) || !t.adviceMayCome(task) {
		return
	}
	request := t.request(j, task, siblings)
	node := placement.ChooseHold(t.nodes.all, request)
	if node == nil {
		return
	}
	node.Hold(task.step)
	t.holds[task] = node
	free := node.Free()
	t.log.Info().Stringer(logging.KeyTask, task.id).Str(logging.KeyWorker, string(node.Registration.ID)).
		Dur("waited", now-task.readyAt).Int("cpu", task.step.Resources.CPU).Int("free_cpu", free.CPU).
		Int("memory_mb", task.step.Resources.MemoryMB).Int("free_memory_mb", free.MemoryMB).Msg("room held")
}

// refreshHolds releases the holds of tasks that no longer need one, and those on workers that cannot satisfy them.
func (t *Term) refreshHolds() {
	for task, node := range t.holds {
		needed := task.current == nil && !task.done && !task.job.terminal() && !task.job.excluded()
		grantable := t.adviceMayCome(task) && !t.adviceRefuses(task, node)
		if !needed || !grantable || !node.Usable || !task.step.Reserved().Fits(node.FreeWithoutBatch()) {
			t.releaseHold(task)
		}
	}
}

// releaseHold releases the hold of a task, if there is one.
func (t *Term) releaseHold(task *task) {
	if node := t.holds[task]; node != nil {
		node.Unhold(task.step)
		delete(t.holds, task)
	}
}

// hasOverdueLongRunning reports whether a long-running task of a job has waited so long that the job comes before
// other jobs of its priority.
func hasOverdueLongRunning(j *job, now time.Duration) bool {
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		for s, tasks := range o.steps {
			if !j.spec.Steps[s].LongRunning {
				continue
			}
			for _, task := range tasks {
				if task.current == nil && !task.done && now-task.readyAt > holdAfter {
					return true
				}
			}
		}
	}
	return false
}
