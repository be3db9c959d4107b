package coordinator

import (
	"context"

	"bronzehook/api"
	"bronzehook/backend"
	"bronzehook/fault"
	"bronzehook/logging"
	"bronzehook/runner"
)

// batch is a transaction in flight and the tasks that it writes.
type batch struct {
	txn     backend.Txn
	tasks   []*taskState
	rows    []*api.Task
	deletes []bool
}

// commit writes the tasks that have changed. Only one transaction is in flight at a time, because the conditions of the
// next one depend on the row versions that it returns.
func (c *Coordinator) commit(t *term) {
	if t.committing {
		return
	}
	b := c.buildBatch(t)
	if len(b.tasks) == 0 {
		return
	}
	t.committing = true
	c.tryCommit(t, b)
}

// buildBatch builds a transaction from up to maxTasksPerTxn tasks.
func (c *Coordinator) buildBatch(t *term) *batch {
	b := &batch{txn: backend.Txn{
		OpID:       c.options.NewOpID(),
		Conditions: []backend.Condition{{Key: api.Coordinator.Key(), Version: t.unitVersion}},
	}}
	for id, task := range t.tasks {
		if len(b.tasks) == maxTasksPerTxn {
			break
		}
		remove := task.deleting && !task.running()
		if remove && task.version == 0 {
			t.removeTask(id, task)
			continue
		}
		if !remove && task.nextRow == nil {
			continue
		}
		b.add(c, id, task, remove)
	}
	return b
}

func (b *batch) add(c *Coordinator, id api.TaskID, task *taskState, remove bool) {
	write := backend.Write{Key: taskKey(id), Delete: remove}
	if !remove {
		value, err := encodeTask(*task.nextRow)
		if err != nil {
			c.log.Error().Str(logging.KeyTask, string(id)).Err(err).Msg("task record not encoded")
			return
		}
		write.Value = value
	}
	task.inFlight = true
	b.txn.Conditions = append(b.txn.Conditions, backend.Condition{Key: taskKey(id), Version: task.version})
	b.txn.Writes = append(b.txn.Writes, write)
	b.tasks = append(b.tasks, task)
	b.rows = append(b.rows, task.nextRow)
	b.deletes = append(b.deletes, remove)
	task.nextRow = nil
}

// tryCommit sends the transaction and retries it with the same operation ID until its result is known. The same ID is
// needed because a reply may be lost after the transaction has taken effect.
func (c *Coordinator) tryCommit(t *term, b *batch) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
		defer cancel()
		result, err := c.options.Table.Commit(ctx, b.txn)
		if err != nil && !fault.Is(err, fault.CodeConflict) {
			c.sleepBeforeRetry()
		}
		c.options.Loop.Post(func() {
			if c.term != t {
				return
			}
			switch {
			case err == nil:
				c.applyCommit(t, b, result)
				c.scheduleNextCommit(t, b)
			case fault.Is(err, fault.CodeConflict):
				c.log.Warn().Err(err).Uint64(logging.KeyEpoch, uint64(t.epoch)).
					Msg("task transaction conflicted, reloading the task records")
				c.Acquired(t.epoch)
			default:
				c.log.Debug().Err(err).Msg("task transaction failed with an unknown result, retrying")
				c.tryCommit(t, b)
			}
		})
	}()
}

// applyCommit applies the rows written by b and queues new assignments for the owners of their racks.
func (c *Coordinator) applyCommit(t *term, b *batch, result backend.CommitResult) {
	t.changed = true
	now := c.options.Clock.Now()
	for i, task := range b.tasks {
		task.inFlight = false
		id := task.row.ID
		if b.deletes[i] {
			if task.deleting {
				t.removeTask(id, task)
				continue
			}
			// The workload was configured again while the record was being deleted, so the task starts over.
			task.version = 0
			row := task.latest()
			row.Wanted = api.WantedPending
			task.write(row)
			continue
		}
		before := task.row
		t.setRow(task, *b.rows[i])
		task.version = result.Versions[taskKey(id)]
		if task.row.Wanted == api.WantedAssigned && task.row.Attempt != before.Attempt {
			task.lastReport = runner.AttemptReport{}
			task.reportWaitSince = now
			task.assignedAt = now
			c.queueAssignment(t, task)
		}
		if task.deleting && task.running() && !task.stopping {
			c.stop(t, task, "the work was removed")
		}
	}
}

// queueAssignment queues a persisted assignment for the owner of its rack.
func (c *Coordinator) queueAssignment(t *term, task *taskState) {
	unitOwner, ok := c.options.Cluster.UnitOwner(task.row.Unit)
	if !ok {
		return
	}
	workloads := c.options.Cluster.Workloads()
	spec, ok := workloads.Specs[task.row.Work]
	if !ok {
		return
	}
	c.recordEvent("task-assigned", task.row, "")
	commands := t.commandsFor(unitOwner.Owner, c.options.Self)
	commands.Assignments = append(commands.Assignments, runner.Assignment{
		Ref:  runner.Ref{Task: task.row.ID, Attempt: task.row.Attempt},
		Work: spec.Name, Kind: spec.Kind, Worker: task.row.Worker, Unit: task.row.Unit, Epoch: task.row.Epoch,
		Resources: task.row.Resources, Command: spec.Command, Checkpoint: task.row.Checkpoint,
	})
}

// scheduleNextCommit allows the next transaction. After a full one it commits again after commitSpacing instead of in
// the next cycle. The delay limits the coordinator to a few hundred rows per second, since the table serves all
// clients.
func (c *Coordinator) scheduleNextCommit(t *term, last *batch) {
	if len(last.tasks) < maxTasksPerTxn {
		t.committing = false
		return
	}
	go func() {
		c.sleep(commitSpacing)
		c.options.Loop.Post(func() {
			t.committing = false
			if _, err := c.options.Cluster.Check(api.Coordinator); err == nil && c.term == t {
				c.commit(t)
			}
		})
	}()
}
