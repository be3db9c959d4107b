package coordinator

import (
	"time"

	"bronzehook/api"
	"bronzehook/runner"
)

// reconcile brings the tasks in line with the configuration: it records new tasks, updates waiting ones and cancels
// those that are no longer wanted.
func (c *Coordinator) reconcile(t *term, work *api.WorkSet) {
	wanted := map[api.TaskID]bool{}
	t.statements = make(map[string]uint64, len(work.Specs))
	for _, spec := range work.Specs {
		if spec.Kind != api.KindJob {
			t.statements[spec.Name] = spec.Statement()
		}
		for index := range spec.Replicas {
			id := api.NewTaskID(spec.Name, index)
			wanted[id] = true
			c.reconcileTask(t, id, spec)
		}
	}
	for id, known := range t.tasks {
		if !wanted[id] {
			c.cancel(t, known)
		}
	}
}

func (c *Coordinator) reconcileTask(t *term, id api.TaskID, spec api.Spec) {
	now := c.options.Clock.Now()
	known := t.tasks[id]
	if known == nil {
		row := api.Task{
			ID: id, Work: spec.Name, Wanted: api.WantedPending, Resources: spec.Resources, Recorded: now.UTC(),
			Due: dueTime(now, spec.Deadline),
		}
		t.tasks[id] = &task{row: api.Task{ID: id, Work: spec.Name}, next: &row, seenAt: now, throttle: 1}
		return
	}
	known.deleting = false
	row := known.latest()
	changed := row
	changed.Due = dueTime(row.Recorded, spec.Deadline)
	if row.Wanted == api.WantedPending {
		changed.Resources = spec.Resources
	}
	if changed != row {
		known.write(changed)
	}
}

func dueTime(recorded time.Time, deadline time.Duration) time.Time {
	if deadline == 0 {
		return time.Time{}
	}
	return recorded.Add(deadline).UTC()
}

// cancel ends a task that is no longer wanted. A running attempt is stopped first; its record goes once it has ended.
func (c *Coordinator) cancel(t *term, known *task) {
	known.deleting = true
	if known.running() {
		c.stop(t, known, "the work was removed")
	}
}

// latest returns the row as it will be after pending writes.
func (k *task) latest() api.Task {
	if k.next != nil {
		return *k.next
	}
	return k.row
}

// write asks for the row to be written. A write that is under way finishes first.
func (k *task) write(row api.Task) { k.next = &row }

// running reports whether an attempt is recorded as assigned, so that it may run.
func (k *task) running() bool { return k.row.Wanted == api.WantedAssigned }

// idle reports whether no write is wanted or under way.
func (k *task) idle() bool { return k.next == nil && !k.inFlight && !k.deleting }

// stop tells the owner of the rack to stop the current attempt.
func (c *Coordinator) stop(t *term, known *task, reason string) {
	c.interveneOn(t, known, runner.ActionStop, 0, reason, true)
}

func (c *Coordinator) interveneOn(
	t *term, known *task, action runner.Action, share float64, reason string, forced bool,
) {
	claim, ok := c.options.Cluster.Claim(known.row.Unit)
	if !ok {
		return
	}
	orders := t.ordersFor(claim.Owner, c.options.Self)
	orders.Interventions = append(orders.Interventions, runner.Intervention{
		Ref:    runner.Ref{Task: known.row.ID, Attempt: known.row.Attempt},
		Worker: known.row.Worker, Unit: known.row.Unit, Action: action, Share: share, Reason: reason,
	})
	if action == runner.ActionEvict || action == runner.ActionStop {
		known.stopping = true
		known.stopAt = c.options.Clock.Now()
		known.forced = forced
	}
}
