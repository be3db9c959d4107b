package replay

import (
	"fmt"
	"slices"

	"bronzehook/api"
	"bronzehook/scheduler"
	"bronzehook/scheduler/eviction"
	"bronzehook/scheduler/queue"
)

func sortedIDs[V any](m map[api.TaskID]V) []api.TaskID {
	ids := make([]api.TaskID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// advance simulates one time step of every attempt.
func (r *replayer) advance() {
	for _, s := range r.services {
		s.running = 0
	}
	for _, w := range r.workers {
		for _, a := range w.attempts {
			if r.now >= a.runningFrom {
				a.workload.running++
			}
		}
	}
	for i, w := range r.workers {
		w.updateLoad(r.now)
		for _, a := range slices.Clone(w.attempts) {
			r.advanceAttempt(a)
		}
		r.killOutOfMemory(w)
		if (r.now+i)%reportSeconds == 0 {
			r.sendReport(w)
		}
	}
}

func (r *replayer) advanceAttempt(a *attempt) {
	switch {
	case a.stopsAt > 0 && r.now >= a.stopsAt:
		r.handleStopped(a)
		return
	case r.now < a.runningFrom:
		return
	case (a.worker.broken || a.workload.truth.FailsEverywhere) && r.now >= a.runningFrom+failSeconds:
		r.handleFailed(a)
		return
	}
	if !a.isJob() {
		if !a.ready && r.now >= a.runningFrom+readySeconds {
			a.ready = true
			r.engine.Quarantine.Success(a.worker.ID, a.Work)
		}
		return
	}
	if a.checkpointDoneAt > 0 {
		r.completeCheckpoint(a)
		return
	}
	progress := a.cpuShare / a.slowdown
	a.doneSeconds += progress
	r.counters.batchSeconds += progress
	a.Progress = a.doneSeconds / a.workload.truth.RunSeconds
	if a.doneSeconds >= a.workload.truth.RunSeconds {
		r.handleSucceeded(a)
	}
}

func (r *replayer) completeCheckpoint(a *attempt) {
	if r.now < a.checkpointDoneAt {
		return
	}
	a.checkpointDoneAt = 0
	a.savedSeconds = a.doneSeconds
	a.CheckpointAt = r.time()
	a.Checkpoint = fmt.Sprintf("checkpoint/%s/%d", a.ID, r.now)
}

// removeAttempt removes an attempt from its worker and notifies the queue of the freed capacity and quota.
func (r *replayer) removeAttempt(a *attempt) {
	a.worker.remove(a)
	delete(r.running, a.ID)
	r.backlog.Notify(queue.Event{
		Kind: queue.EventCapacityFreed, Region: a.worker.Location.Region, Free: a.worker.Capacity.Sub(a.worker.reserved()),
	})
	r.backlog.Notify(queue.Event{Kind: queue.EventTeamQuota, Team: a.workload.spec.Team})
}

// handleStopped ends an attempt that was stopped or killed. Its task becomes pending again and resumes from its last
// checkpoint.
func (r *replayer) handleStopped(a *attempt) {
	r.counters.lostSeconds += a.doneSeconds - a.savedSeconds
	r.counters.batchSeconds -= a.doneSeconds - a.savedSeconds
	r.removeAttempt(a)
	r.addPending(&pendingTask{task: a.Task.Task, workload: a.workload, savedSeconds: a.savedSeconds, pendingSince: r.now})
}

func (r *replayer) handleFailed(a *attempt) {
	r.counters.failedAttempts++
	r.counters.lostSeconds += a.doneSeconds - a.savedSeconds
	r.counters.batchSeconds -= a.doneSeconds - a.savedSeconds
	r.removeAttempt(a)
	if r.engine.Quarantine.Failure(a.worker.ID, a.Work, r.time()) {
		r.counters.quarantines++
	}
	p := &pendingTask{task: a.Task.Task, workload: a.workload, savedSeconds: a.savedSeconds, pendingSince: r.now}
	p.task.Failures++
	p.task.Wanted = api.WantedPending
	r.pending[p.task.ID] = p
	r.backlog.RequeueRejected(r.queueItem(p), a.worker.ID, r.time())
}

func (r *replayer) handleSucceeded(a *attempt) {
	r.removeAttempt(a)
	r.engine.Quarantine.Success(a.worker.ID, a.Work)
	r.engine.Sizing.ObserveRun(&a.workload.spec, duration(r.now-a.runningFrom), r.time())
	run := r.runs[a.Reason]
	run.succeeded++
	run.finishedAt = r.now
}

// killOutOfMemory kills the most recently started job tasks of a worker until its tasks fit into its memory.
func (r *replayer) killOutOfMemory(w *worker) {
	used := int64(0)
	for _, a := range w.attempts {
		used += a.usage(r.now).MemoryMB
	}
	for i := len(w.attempts) - 1; i >= 0 && used > w.Capacity.MemoryMB; i-- {
		a := w.attempts[i]
		if !a.isJob() {
			continue
		}
		used -= a.usage(r.now).MemoryMB
		r.counters.kills++
		r.handleStopped(a)
	}
}

// sendReport queues a usage report with measurement noise. It is delivered reportLagSeconds later.
func (r *replayer) sendReport(w *worker) {
	report := usageReport{deliverAt: r.now + reportLagSeconds, used: w.used}
	for _, a := range w.attempts {
		if r.now < a.runningFrom {
			continue
		}
		const noise = 0.08
		cpuNoise := 1 + noise*(2*r.rng.Float64()-1)
		use := a.usage(r.now)
		use.MilliCPU = int64(float64(use.MilliCPU) * cpuNoise)
		report.tasks = append(report.tasks, taskUsage{
			id: a.ID, attempt: a.Attempt, workload: a.workload, used: use,
			slowdown: max(1, a.slowdown*(1+noise*(2*r.rng.Float64()-1))), throttled: a.cpuShare < 1,
		})
	}
	w.reports = append(w.reports, report)
}

func (r *replayer) deliverReports() {
	for _, w := range r.workers {
		for len(w.reports) > 0 && w.reports[0].deliverAt <= r.now {
			r.deliverReport(w, &w.reports[0])
			w.reports = w.reports[1:]
		}
	}
}

func (r *replayer) deliverReport(w *worker, report *usageReport) {
	delivered := scheduler.Report{Worker: w.ID, Capacity: w.Capacity, Used: report.used}
	for _, t := range report.tasks {
		delivered.Tasks = append(delivered.Tasks, scheduler.TaskReport{
			Spec: &t.workload.spec, Used: t.used, Slowdown: t.slowdown, Throttled: t.throttled,
		})
		if a := r.running[t.id]; a != nil && a.Attempt == t.attempt {
			a.Measured, a.Used, a.Slowdown = true, t.used, t.slowdown
		}
	}
	r.engine.ObserveReport(&delivered, r.time())
}

// runCycle runs one scheduling cycle and applies its plan.
func (r *replayer) runCycle() {
	const maxTasksPerCycle = 400
	plan := r.backlog.Run(r.engine, r.snapshot(), r.time(), maxTasksPerCycle)
	for i := range plan.Assignments {
		r.applyAssignment(&plan.Assignments[i])
	}
	for i := range plan.Actions {
		r.applyEviction(&plan.Actions[i])
	}
	for _, f := range plan.Failures {
		p := r.pending[f.Task]
		delete(r.pending, f.Task)
		if run := r.runs[p.task.Reason]; run != nil {
			run.failed++
		}
	}
	for i := range plan.Refusals {
		if refusal := &plan.Refusals[i]; refusal.Cause == queue.CauseInfeasible {
			r.counters.reportedInfeasible[string(refusal.Task)] = true
			if run := r.runs[r.pending[refusal.Task].task.Reason]; run != nil {
				run.infeasible = true
			}
		}
	}
}

// snapshot returns the state for the next scheduling cycle. Its slices are reused by the following cycle, which is safe
// because a plan does not refer to them.
func (r *replayer) snapshot() *scheduler.Snapshot {
	r.revision++
	s := &r.state
	s.Revision, s.Specs, s.Teams = r.revision, r.specs, r.teams
	s.Workers, s.Tasks = s.Workers[:0], s.Tasks[:0]
	for _, w := range r.workers {
		s.Workers = append(s.Workers, scheduler.Worker{
			Worker: w.Worker, Quarantine: r.engine.Quarantine.State(w.ID, r.time()), Pressure: r.engine.Pressure.Pressure(w.ID),
		})
		for _, a := range w.attempts {
			s.Tasks = append(s.Tasks, a.Task)
		}
	}
	return s
}

func (r *replayer) applyAssignment(a *scheduler.Assignment) {
	p := r.pending[a.Task]
	delete(r.pending, a.Task)
	w := r.byID[a.Worker]
	p.task.Wanted, p.task.Attempt, p.task.Worker, p.task.Resources = api.WantedAssigned, a.Attempt, a.Worker, a.Resources
	started := &attempt{
		Task:     scheduler.Task{Task: p.task, Seen: api.SeenRunning, Started: r.time()},
		workload: p.workload, worker: w, runningFrom: r.now + startSeconds,
		doneSeconds: p.savedSeconds, savedSeconds: p.savedSeconds, cpuShare: 1, slowdown: 1,
	}
	if p.savedSeconds > 0 {
		started.runningFrom += resumeSeconds
		started.Progress = p.savedSeconds / p.workload.truth.RunSeconds
	}
	if p.workload.spec.Urgency >= api.High && p.workload.spec.Kind == api.KindService {
		r.counters.longestUrgentStart = max(r.counters.longestUrgentStart, started.runningFrom-p.pendingSince)
	}
	if a.Probe {
		r.engine.Quarantine.ProbeStarted(w.ID, r.time())
	}
	w.attempts = append(w.attempts, started)
	r.running[a.Task] = started
}

func (r *replayer) applyEviction(step *scheduler.TaskAction) {
	a := r.running[step.Task]
	if a == nil || a.Attempt != step.Attempt || a.stopsAt > 0 {
		return
	}
	a.Step, a.StepAt = step.Step, r.time()
	switch step.Step {
	case eviction.StepThrottle:
		r.counters.throttles++
		a.cpuShare, a.Seen = step.Share, api.SeenThrottled
	case eviction.StepUnthrottle:
		a.cpuShare, a.Seen = 1, api.SeenRunning
	case eviction.StepCheckpoint:
		r.counters.checkpoints++
		a.checkpointDoneAt = r.now + checkpointSeconds
	case eviction.StepEvict:
		r.counters.evictions++
		a.Evictions++
		a.stopsAt = r.now + 1
	}
}
