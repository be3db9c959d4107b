package coordinator

import (
	"time"

	"bronzehook/api"
	"bronzehook/runner"
)

// reconcile updates the tasks to match the configuration: it creates new tasks, updates pending ones and cancels those
// that are no longer configured.
func (c *Coordinator) reconcile(t *term, workloads *api.WorkSet) {
	configured := map[api.TaskID]bool{}
	t.specHashes = make(map[string]uint64, len(workloads.Specs))
	for _, spec := range workloads.Specs {
		if spec.Kind != api.KindJob {
			t.specHashes[spec.Name] = spec.SpecHash()
		}
		for index := range spec.Replicas {
			id := api.NewTaskID(spec.Name, index)
			configured[id] = true
			c.reconcileTask(t, id, spec)
		}
	}
	for id, task := range t.tasks {
		if !configured[id] {
			c.cancel(t, task)
		}
	}
}

func (c *Coordinator) reconcileTask(t *term, id api.TaskID, spec api.Spec) {
	now := c.options.Clock.Now()
	task := t.tasks[id]
	if task == nil {
		row := api.Task{
			ID: id, Work: spec.Name, Wanted: api.WantedPending, Resources: spec.Resources, Recorded: now.UTC(),
			Due: dueTime(now, spec.Deadline),
		}
		t.tasks[id] = &taskState{row: api.Task{ID: id, Work: spec.Name}, nextRow: &row, reportWaitSince: now, throttle: 1}
		return
	}
	task.deleting = false
	row := task.latest()
	changed := row
	changed.Due = dueTime(row.Recorded, spec.Deadline)
	if row.Wanted == api.WantedPending {
		changed.Resources = spec.Resources
	}
	if changed != row {
		task.write(changed)
	}
}

func dueTime(recorded time.Time, deadline time.Duration) time.Time {
	if deadline == 0 {
		return time.Time{}
	}
	return recorded.Add(deadline).UTC()
}

// cancel removes a task that is no longer configured. A running attempt is stopped first; the record is deleted once
// the attempt has terminated.
func (c *Coordinator) cancel(t *term, task *taskState) {
	task.deleting = true
	if task.running() {
		c.stop(t, task, "the work was removed")
	}
}

// latest returns the row as it will be after the pending write.
func (s *taskState) latest() api.Task {
	if s.nextRow != nil {
		return *s.nextRow
	}
	return s.row
}

// write schedules the row to be written. A write that is in flight finishes first.
func (s *taskState) write(row api.Task) { s.nextRow = &row }

// running reports whether an attempt is persisted as assigned, so that it may run.
func (s *taskState) running() bool { return s.row.Wanted == api.WantedAssigned }

// idle reports whether no write is pending or in flight.
func (s *taskState) idle() bool { return s.nextRow == nil && !s.inFlight && !s.deleting }

// stop queues a command for the rack owner to stop the current attempt.
func (c *Coordinator) stop(t *term, task *taskState, reason string) {
	c.queueAction(t, task, runner.ActionStop, 0, reason, true)
}

func (c *Coordinator) queueAction(
	t *term, task *taskState, action runner.Action, share float64, reason string, notEviction bool,
) {
	unitOwner, ok := c.options.Cluster.UnitOwner(task.row.Unit)
	if !ok {
		return
	}
	commands := t.commandsFor(unitOwner.Owner, c.options.Self)
	commands.Actions = append(commands.Actions, runner.TaskAction{
		Ref:    runner.Ref{Task: task.row.ID, Attempt: task.row.Attempt},
		Worker: task.row.Worker, Unit: task.row.Unit, Action: action, Share: share, Reason: reason,
	})
	if action == runner.ActionEvict || action == runner.ActionStop {
		task.stopping = true
		task.stopAt = c.options.Clock.Now()
		task.notEviction = notEviction
	}
}
