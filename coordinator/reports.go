package coordinator

import (
	"context"
	"time"

	"bronzehook/api"
	"bronzehook/logging"
	"bronzehook/runner"
)

// HandleReport applies a report of a rack owner; the reply names the terminated attempts that are already persisted. It
// is called on the event loop; ok is false if this instance is not the active coordinator.
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
		if c.handleAttemptReport(t, attempt) {
			reply.Persisted = append(reply.Persisted, attempt.Ref)
		}
	}
	if report.Full {
		t.clearMissing(report)
	}
	c.options.Decider.Observe(c.options.Clock.Now(), report.Usage)
	return reply, true
}

// clearMissing clears the last report of attempts that a full report of their rack does not contain, so that the rack
// owner is queried about them.
func (t *term) clearMissing(report runner.Report) {
	reported := map[runner.Ref]bool{}
	for _, attempt := range report.Attempts {
		reported[attempt.Ref] = true
	}
	for id, task := range t.byUnit[report.Unit] {
		if task.running() && !reported[runner.Ref{Task: id, Attempt: task.row.Attempt}] {
			task.lastReport = runner.AttemptReport{}
		}
	}
}

// handleAttemptReport applies the report on an attempt. It returns true if the attempt has terminated and its result is
// persisted, or a later attempt is, so that the worker may discard it.
func (c *Coordinator) handleAttemptReport(t *term, report runner.AttemptReport) bool {
	task := t.tasks[report.Task]
	if task == nil {
		return report.State.Terminal()
	}
	if task.row.Attempt != report.Attempt || !task.running() {
		return report.State.Terminal() && task.row.Attempt >= report.Attempt && !task.inFlight
	}
	t.changed = t.changed || task.lastReport.State != report.State || task.lastReport.Attempt != report.Attempt
	now := c.options.Clock.Now()
	started := task.lastReport.State != api.SeenRunning && report.State == api.SeenRunning
	task.lastReport = report
	task.reportWaitSince = now
	if started {
		task.startedAt = now
	}
	if !report.State.Terminal() || task.nextRow != nil {
		return false
	}
	c.handleTermination(task, report)
	return false
}

// handleTermination updates the task record after an attempt has terminated and schedules it to be written.
func (c *Coordinator) handleTermination(task *taskState, report runner.AttemptReport) {
	now := c.options.Clock.Now()
	ran := time.Duration(0)
	if !task.startedAt.IsZero() {
		ran = now.Sub(task.startedAt)
	}
	task.startedAt = time.Time{}
	isJob := c.isJob(task.row.Work)
	row := task.row
	row.Reason = report.Reason
	if report.Checkpoint != "" {
		row.Checkpoint = report.Checkpoint
	}
	row.Worker = ""
	row.Unit = api.Unit{}
	row.Wanted = api.WantedPending
	action := "attempt-stopped"
	switch {
	case task.deleting:
		row.Wanted = api.WantedCanceled
	case report.State == api.SeenSucceeded && isJob:
		row.Wanted = api.WantedDone
		action = "task-done"
	case report.State == api.SeenFailed:
		if !isJob && ran >= minStableRunTime {
			row.Failures = 0
		}
		row.Failures++
		action = "attempt-failed"
	case report.Evicted && !task.notEviction:
		row.Evictions++
		action = "task-evicted"
	}
	task.stopping = false
	task.notEviction = false
	task.write(row)
	c.options.Decider.HandleTermination(now, task.row, report, ran)
	c.recordEvent(action, task.row, report.Reason)
}

// isJob reports whether the workload runs to completion. Services and watchers are started again whenever an attempt
// terminates.
func (c *Coordinator) isJob(workload string) bool {
	workloads := c.options.Cluster.Workloads()
	return workloads != nil && workloads.Specs[workload].Kind == api.KindJob
}

func (c *Coordinator) recordEvent(action string, row api.Task, reason string) {
	c.log.Info().Str("action", action).Str(logging.KeyTask, string(row.ID)).Uint64(logging.KeyAttempt, row.Attempt).
		Str(logging.KeyWorker, string(row.Worker)).Str(logging.KeyReason, reason).Msg("task changed")
	c.options.Audit(Event{Action: action, Task: row.ID, Attempt: row.Attempt, Worker: row.Worker, Reason: reason})
}

// checkAttempts repeats stop commands that had no effect, and queries the rack owners about assigned attempts that have
// not been reported for reportTimeout. Reports and commands may be lost, and a worker may be missing from all reports.
func (c *Coordinator) checkAttempts(t *term) {
	now := c.options.Clock.Now()
	for id, task := range t.tasks {
		if !task.running() || task.nextRow != nil || task.inFlight {
			continue
		}
		if task.stopping && now.Sub(task.stopAt) >= stopRetryInterval {
			task.stopping = false
		}
		if task.deleting && !task.stopping {
			c.stop(t, task, "the work was removed")
		}
		unitOwner, ok := c.options.Cluster.UnitOwner(task.row.Unit)
		if !ok {
			c.expireUnowned(task, now)
			continue
		}
		task.unownedSince = time.Time{}
		reported := task.lastReport.Attempt == task.row.Attempt
		if reported || now.Sub(task.reportWaitSince) < reportTimeout || now.Sub(task.assignedAt) < reportTimeout {
			continue
		}
		task.reportWaitSince = now
		commands := t.commandsFor(unitOwner.Owner, c.options.Self)
		commands.Queries = append(commands.Queries, runner.Query{
			Ref: runner.Ref{Task: id, Attempt: task.row.Attempt}, Worker: task.row.Worker, Unit: task.row.Unit,
		})
	}
}

// expireUnowned terminates an attempt whose rack has had no owner with a valid instance lease for longer than any
// attempt lease lasts.
func (c *Coordinator) expireUnowned(task *taskState, now time.Time) {
	if task.unownedSince.IsZero() {
		task.unownedSince = now
		return
	}
	if now.Sub(task.unownedSince) <= c.options.AttemptLease+runner.StartValidity+runner.ClockDriftMargin {
		return
	}
	task.unownedSince = time.Time{}
	c.handleTermination(task, runner.AttemptReport{
		Ref: runner.Ref{Task: task.row.ID, Attempt: task.row.Attempt}, Worker: task.row.Worker,
		State: api.SeenStopped, Reason: "the rack has no owner and the lease has run out",
	})
}

// commandsFor returns the commands that wait to be sent to an instance.
func (t *term) commandsFor(to, self api.InstanceID) *runner.Orders {
	commands := t.outbox[to]
	if commands == nil {
		commands = &runner.Orders{Coordinator: self, Epoch: t.epoch}
		t.outbox[to] = commands
	}
	return commands
}

// sendCommands delivers the waiting commands, one message at a time for each instance. A lost message is not sent
// again; checkAttempts makes up for it by queries about unreported attempts.
func (c *Coordinator) sendCommands(t *term) {
	for to, commands := range t.outbox {
		if t.sending[to] {
			continue
		}
		delete(t.outbox, to)
		t.sending[to] = true
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
			defer cancel()
			replies, err := c.options.Sender.SendCommands(ctx, to, *commands)
			c.options.Loop.Post(func() {
				t.sending[to] = false
				if c.term != t {
					return
				}
				if err != nil {
					c.log.Debug().Str("to", string(to)).Err(err).Msg("commands not delivered")
					return
				}
				for _, reply := range replies {
					c.handleAttemptReport(t, reply)
				}
			})
		}()
	}
}
