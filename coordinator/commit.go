package coordinator

import (
	"context"

	"bronzehook/api"
	"bronzehook/backend"
	"bronzehook/fault"
	"bronzehook/logging"
	"bronzehook/runner"
)

// batch is a transaction under way and the tasks that it writes.
type batch struct {
	txn     backend.Txn
	tasks   []*task
	rows    []*api.Task
	deletes []bool
}

// commit writes the tasks that have changed. One transaction is under way at a time, so that the conditions of the next
// one are known.
func (c *Coordinator) commit(t *term) {
	if t.committing {
		return
	}
	b := c.collect(t)
	if len(b.tasks) == 0 {
		return
	}
	t.committing = true
	c.tryCommit(t, b)
}

// collect builds a transaction from up to maxBatch tasks.
func (c *Coordinator) collect(t *term) *batch {
	b := &batch{txn: backend.Txn{
		OpID:       c.options.NewOpID(),
		Conditions: []backend.Condition{{Key: api.Coordinator.Key(), Version: t.unitVersion}},
	}}
	for id, known := range t.tasks {
		if len(b.tasks) == maxBatch {
			break
		}
		remove := known.deleting && !known.running()
		if remove && known.version == 0 {
			t.drop(id, known)
			continue
		}
		if !remove && known.next == nil {
			continue
		}
		b.add(c, id, known, remove)
	}
	return b
}

func (b *batch) add(c *Coordinator, id api.TaskID, known *task, remove bool) {
	write := backend.Write{Key: taskKey(id), Delete: remove}
	if !remove {
		value, err := encodeTask(*known.next)
		if err != nil {
			c.log.Error().Str(logging.KeyTask, string(id)).Err(err).Msg("task record not encoded")
			return
		}
		write.Value = value
	}
	known.inFlight = true
	b.txn.Conditions = append(b.txn.Conditions, backend.Condition{Key: taskKey(id), Version: known.version})
	b.txn.Writes = append(b.txn.Writes, write)
	b.tasks = append(b.tasks, known)
	b.rows = append(b.rows, known.next)
	b.deletes = append(b.deletes, remove)
	known.next = nil
}

// tryCommit sends the transaction, and again under the same operation id until its result is known. A reply may be lost
// after the transaction took effect.
func (c *Coordinator) tryCommit(t *term, b *batch) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
		defer cancel()
		result, err := c.options.Table.Commit(ctx, b.txn)
		if err != nil && !fault.Is(err, fault.CodeConflict) {
			c.pause()
		}
		c.options.Loop.Post(func() {
			if c.term != t {
				return
			}
			switch {
			case err == nil:
				c.committed(t, b, result)
				c.commitNext(t, b)
			case fault.Is(err, fault.CodeConflict):
				c.log.Warn().Err(err).Uint64(logging.KeyEpoch, uint64(t.epoch)).
					Msg("task transaction refused, reading the records again")
				c.Claimed(t.epoch)
			default:
				c.log.Debug().Err(err).Msg("task transaction has no result yet")
				c.tryCommit(t, b)
			}
		})
	}()
}

// committed takes over the written rows and hands new assignments to the owners of their racks.
func (c *Coordinator) committed(t *term, b *batch, result backend.CommitResult) {
	t.changed = true
	now := c.options.Clock.Now()
	for i, known := range b.tasks {
		known.inFlight = false
		id := known.row.ID
		if b.deletes[i] {
			if known.deleting {
				t.drop(id, known)
				continue
			}
			// The work came back while its record was being deleted: the task begins anew.
			known.version = 0
			row := known.latest()
			row.Wanted = api.WantedPending
			known.write(row)
			continue
		}
		before := known.row
		t.setRow(known, *b.rows[i])
		known.version = result.Versions[taskKey(id)]
		if known.row.Wanted == api.WantedAssigned && known.row.Attempt != before.Attempt {
			known.seen = runner.AttemptReport{}
			known.seenAt = now
			known.assignedAt = now
			c.order(t, known)
		}
		if known.deleting && known.running() && !known.stopping {
			c.stop(t, known, "the work was removed")
		}
	}
}

// order hands a recorded assignment to the owner of its rack.
func (c *Coordinator) order(t *term, known *task) {
	claim, ok := c.options.Cluster.Claim(known.row.Unit)
	if !ok {
		return
	}
	work := c.options.Cluster.Work()
	spec, ok := work.Specs[known.row.Work]
	if !ok {
		return
	}
	c.note("task-assigned", known.row, "")
	orders := t.ordersFor(claim.Owner, c.options.Self)
	orders.Assignments = append(orders.Assignments, runner.Assignment{
		Ref:  runner.Ref{Task: known.row.ID, Attempt: known.row.Attempt},
		Work: spec.Name, Kind: spec.Kind, Worker: known.row.Worker, Unit: known.row.Unit, Epoch: known.row.Epoch,
		Resources: known.row.Resources, Command: spec.Command, Checkpoint: known.row.Checkpoint,
	})
}

// commitNext allows the next transaction. After a full one it goes on without waiting for the next cycle; the wait between
// two keeps the rows written in a second to a few hundred, which is what the table takes for everybody.
func (c *Coordinator) commitNext(t *term, last *batch) {
	if len(last.tasks) < maxBatch {
		t.committing = false
		return
	}
	go func() {
		c.wait(commitSpacing)
		c.options.Loop.Post(func() {
			t.committing = false
			if _, err := c.options.Cluster.Check(api.Coordinator); err == nil && c.term == t {
				c.commit(t)
			}
		})
	}()
}
