package coordinator

import (
	"context"
	"time"

	"bronzehook/api"
	"bronzehook/logging"
	"bronzehook/runner"
)

// HandleReport takes a report of a rack's owner and names the ended attempts that are already recorded. It is called on
// the control goroutine; ok is false if the duty is not held here.
func (c *Coordinator) HandleReport(report runner.Report) (reply runner.ReportReply, ok bool) {
	t := c.term
	if t == nil || !t.loaded {
		return runner.ReportReply{}, false
	}
	for _, w := range report.Workers {
		t.changed = t.changed || t.workers[w.Worker] != w
		t.workers[w.Worker] = w
	}
	for _, attempt := range report.Attempts {
		if c.handleAttempt(t, attempt) {
			reply.Recorded = append(reply.Recorded, attempt.Ref)
		}
	}
	if report.Full {
		t.markUnlisted(report)
	}
	c.options.Decider.Observe(c.options.Clock.Now(), report.Usage)
	return reply, true
}

// markUnlisted forgets what was seen of attempts that a full report of their rack does not list, so that the owner is
// asked about them.
func (t *term) markUnlisted(report runner.Report) {
	listed := map[runner.Ref]bool{}
	for _, attempt := range report.Attempts {
		listed[attempt.Ref] = true
	}
	for id, known := range t.byUnit[report.Unit] {
		if known.running() && !listed[runner.Ref{Task: id, Attempt: known.row.Attempt}] {
			known.seen = runner.AttemptReport{}
		}
	}
}

// handleAttempt takes what is reported of an attempt. It returns true if the attempt has ended and that is recorded, or
// if the record has moved past it, so that the worker may forget it.
func (c *Coordinator) handleAttempt(t *term, report runner.AttemptReport) bool {
	known := t.tasks[report.Task]
	if known == nil {
		return report.State.Ended()
	}
	if known.row.Attempt != report.Attempt || !known.running() {
		return report.State.Ended() && known.row.Attempt >= report.Attempt && !known.inFlight
	}
	t.changed = t.changed || known.seen.State != report.State || known.seen.Attempt != report.Attempt
	now := c.options.Clock.Now()
	started := known.seen.State != api.SeenRunning && report.State == api.SeenRunning
	known.seen = report
	known.seenAt = now
	if started {
		known.startedAt = now
	}
	if !report.State.Ended() || known.next != nil {
		return false
	}
	c.attemptEnded(known, report)
	return false
}

// attemptEnded decides what follows from the end of an attempt and asks for the record to be written.
func (c *Coordinator) attemptEnded(known *task, report runner.AttemptReport) {
	now := c.options.Clock.Now()
	ran := time.Duration(0)
	if !known.startedAt.IsZero() {
		ran = now.Sub(known.startedAt)
	}
	known.startedAt = time.Time{}
	isJob := c.isJob(known.row.Work)
	row := known.row
	row.Reason = report.Reason
	if report.Checkpoint != "" {
		row.Checkpoint = report.Checkpoint
	}
	row.Worker = ""
	row.Unit = api.Unit{}
	row.Wanted = api.WantedPending
	action := "attempt-stopped"
	switch {
	case known.deleting:
		row.Wanted = api.WantedCanceled
	case report.State == api.SeenSucceeded && isJob:
		row.Wanted = api.WantedDone
		action = "task-done"
	case report.State == api.SeenFailed:
		if !isJob && ran >= stableRun {
			row.Failures = 0
		}
		row.Failures++
		action = "attempt-failed"
	case report.Evicted && !known.forced:
		row.Evictions++
		action = "task-evicted"
	}
	known.stopping = false
	known.forced = false
	known.write(row)
	c.options.Decider.Ended(now, known.row, report, ran)
	c.note(action, known.row, report.Reason)
}

// isJob reports whether the work ends by itself. Services and watchers are started again whenever an attempt ends.
func (c *Coordinator) isJob(work string) bool {
	set := c.options.Cluster.Work()
	return set != nil && set.Specs[work].Kind == api.KindJob
}

func (c *Coordinator) note(action string, row api.Task, reason string) {
	c.log.Info().Str("action", action).Str(logging.KeyTask, string(row.ID)).Uint64(logging.KeyAttempt, row.Attempt).
		Str(logging.KeyWorker, string(row.Worker)).Str(logging.KeyReason, reason).Msg("task changed")
	c.options.Audit(Event{Action: action, Task: row.ID, Attempt: row.Attempt, Worker: row.Worker, Reason: reason})
}

// watchAttempts repeats stops that had no effect, and asks the owners of racks about assigned attempts that no report has
// named for a while. Reports and orders may be lost, and a worker may have vanished from every list.
func (c *Coordinator) watchAttempts(t *term) {
	now := c.options.Clock.Now()
	for id, known := range t.tasks {
		if !known.running() || known.next != nil || known.inFlight {
			continue
		}
		if known.stopping && now.Sub(known.stopAt) >= stopRetry {
			known.stopping = false
		}
		if known.deleting && !known.stopping {
			c.stop(t, known, "the work was removed")
		}
		claim, ok := c.options.Cluster.Claim(known.row.Unit)
		if !ok {
			c.watchOrphan(known, now)
			continue
		}
		known.orphanedSince = time.Time{}
		seen := known.seen.Attempt == known.row.Attempt
		if seen || now.Sub(known.seenAt) < seenTimeout || now.Sub(known.assignedAt) < seenTimeout {
			continue
		}
		known.seenAt = now
		orders := t.ordersFor(claim.Owner, c.options.Self)
		orders.Queries = append(orders.Queries, runner.Query{
			Ref: runner.Ref{Task: id, Attempt: known.row.Attempt}, Worker: known.row.Worker, Unit: known.row.Unit,
		})
	}
}

// watchOrphan ends an attempt on a rack that has had no owner with authority for longer than any lease lasts.
func (c *Coordinator) watchOrphan(known *task, now time.Time) {
	if known.orphanedSince.IsZero() {
		known.orphanedSince = now
		return
	}
	if now.Sub(known.orphanedSince) <= c.options.Lease+runner.OrderValidity+runner.LeaseMargin {
		return
	}
	known.orphanedSince = time.Time{}
	c.attemptEnded(known, runner.AttemptReport{
		Ref: runner.Ref{Task: known.row.ID, Attempt: known.row.Attempt}, Worker: known.row.Worker,
		State: api.SeenStopped, Reason: "the rack has no owner and the lease has run out",
	})
}

// ordersFor returns the orders that wait for an instance.
func (t *term) ordersFor(to, self api.InstanceID) *runner.Orders {
	orders := t.outbox[to]
	if orders == nil {
		orders = &runner.Orders{Coordinator: self, Epoch: t.epoch}
		t.outbox[to] = orders
	}
	return orders
}

// send delivers the waiting orders, one message at a time for each instance. A message that is lost is made up for by
// the questions about silent attempts.
func (c *Coordinator) send(t *term) {
	for to, orders := range t.outbox {
		if t.sending[to] {
			continue
		}
		delete(t.outbox, to)
		t.sending[to] = true
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
			defer cancel()
			replies, err := c.options.Sender.SendOrders(ctx, to, *orders)
			c.options.Loop.Post(func() {
				t.sending[to] = false
				if c.term != t {
					return
				}
				if err != nil {
					c.log.Debug().Str("to", string(to)).Err(err).Msg("orders not delivered")
					return
				}
				for _, reply := range replies {
					c.handleAttempt(t, reply)
				}
			})
		}()
	}
}
