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

// advance moves every attempt on by one step.
func (r *replayer) advance() {
	for _, s := range r.services {
		s.running = 0
	}
	for _, w := range r.workers {
		for _, a := range w.attempts {
			if r.now >= a.runsFrom {
				a.work.running++
			}
		}
	}
	for i, w := range r.workers {
		w.settle(r.now)
		for _, a := range slices.Clone(w.attempts) {
			r.move(a)
		}
		r.killOverMemory(w)
		if (r.now+i)%reportSeconds == 0 {
			r.report(w)
		}
	}
}

func (r *replayer) move(a *attempt) {
	switch {
	case a.stopsAt > 0 && r.now >= a.stopsAt:
		r.stopped(a)
		return
	case r.now < a.runsFrom:
		return
	case (a.worker.broken || a.work.truth.FailsEverywhere) && r.now >= a.runsFrom+failSeconds:
		r.failed(a)
		return
	}
	if !a.isJob() {
		if !a.ready && r.now >= a.runsFrom+readySeconds {
			a.ready = true
			r.engine.Quarantine.Success(a.worker.ID, a.Work)
		}
		return
	}
	if a.savesAt > 0 {
		r.save(a)
		return
	}
	gained := a.share / a.slowdown
	a.done += gained
	r.c.batchSeconds += gained
	a.Progress = a.done / a.work.truth.RunSeconds
	if a.done >= a.work.truth.RunSeconds {
		r.succeeded(a)
	}
}

func (r *replayer) save(a *attempt) {
	if r.now < a.savesAt {
		return
	}
	a.savesAt = 0
	a.saved = a.done
	a.CheckpointAt = r.time()
	a.Checkpoint = fmt.Sprintf("checkpoint/%s/%d", a.ID, r.now)
}

// end takes an attempt off its worker and tells the queue of the room.
func (r *replayer) end(a *attempt) {
	a.worker.remove(a)
	delete(r.running, a.ID)
	r.backlog.Notify(queue.Event{
		Kind: queue.EventFreed, Region: a.worker.Location.Region, Free: a.worker.Capacity.Sub(a.worker.booked()),
	})
	r.backlog.Notify(queue.Event{Kind: queue.EventTeam, Team: a.work.spec.Team})
}

// stopped ends an attempt that was ordered to stop; the task goes back to pending with its last checkpoint.
func (r *replayer) stopped(a *attempt) {
	r.c.lostSeconds += a.done - a.saved
	r.c.batchSeconds -= a.done - a.saved
	r.end(a)
	r.await(&pendingTask{task: a.Task.Task, work: a.work, saved: a.saved, since: r.now})
}

func (r *replayer) failed(a *attempt) {
	r.c.failedTries++
	r.c.lostSeconds += a.done - a.saved
	r.c.batchSeconds -= a.done - a.saved
	r.end(a)
	if r.engine.Quarantine.Failure(a.worker.ID, a.Work, r.time()) {
		r.c.quarantines++
	}
	p := &pendingTask{task: a.Task.Task, work: a.work, saved: a.saved, since: r.now}
	p.task.Failures++
	p.task.Wanted = api.WantedPending
	r.pending[p.task.ID] = p
	r.backlog.Rejected(r.item(p), a.worker.ID, r.time())
}

func (r *replayer) succeeded(a *attempt) {
	r.end(a)
	r.engine.Quarantine.Success(a.worker.ID, a.Work)
	r.engine.Sizing.ObserveRun(&a.work.spec, seconds(r.now-a.runsFrom), r.time())
	run := r.runs[a.Reason]
	run.ended++
	run.finishedAt = r.now
}

// killOverMemory ends the youngest jobs of a worker whose tasks use more memory than it has, as a machine does.
func (r *replayer) killOverMemory(w *worker) {
	used := int64(0)
	for _, a := range w.attempts {
		used += a.use(r.now).MemoryMB
	}
	for i := len(w.attempts) - 1; i >= 0 && used > w.Capacity.MemoryMB; i-- {
		a := w.attempts[i]
		if !a.isJob() {
			continue
		}
		used -= a.use(r.now).MemoryMB
		r.c.kills++
		r.stopped(a)
	}
}

// report sends a usage report, with noise, on its way.
func (r *replayer) report(w *worker) {
	rep := report{arrives: r.now + reportLag, used: w.used}
	for _, a := range w.attempts {
		if r.now < a.runsFrom {
			continue
		}
		const noise = 0.08
		measured := 1 + noise*(2*r.rng.Float64()-1)
		use := a.use(r.now)
		use.MilliCPU = int64(float64(use.MilliCPU) * measured)
		rep.tasks = append(rep.tasks, taskReport{
			id: a.ID, attempt: a.Attempt, work: a.work, used: use,
			slowdown: max(1, a.slowdown*(1+noise*(2*r.rng.Float64()-1))), throttled: a.share < 1,
		})
	}
	w.reports = append(w.reports, rep)
}

func (r *replayer) deliverReports() {
	for _, w := range r.workers {
		for len(w.reports) > 0 && w.reports[0].arrives <= r.now {
			r.deliver(w, &w.reports[0])
			w.reports = w.reports[1:]
		}
	}
}

func (r *replayer) deliver(w *worker, rep *report) {
	out := scheduler.Report{Worker: w.ID, Capacity: w.Capacity, Used: rep.used}
	for _, t := range rep.tasks {
		out.Tasks = append(out.Tasks, scheduler.TaskReport{
			Spec: &t.work.spec, Used: t.used, Slowdown: t.slowdown, Throttled: t.throttled,
		})
		if a := r.running[t.id]; a != nil && a.Attempt == t.attempt {
			a.Measured, a.Used, a.Slowdown = true, t.used, t.slowdown
		}
	}
	r.engine.ObserveReport(&out, r.time())
}

// plan runs one cycle and applies it.
func (r *replayer) plan() {
	const perCycle = 400
	plan := r.backlog.Run(r.engine, r.snapshot(), r.time(), perCycle)
	for i := range plan.Assignments {
		r.assign(&plan.Assignments[i])
	}
	for i := range plan.Evictions {
		r.order(&plan.Evictions[i])
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
			r.c.reported[string(refusal.Task)] = true
			if run := r.runs[r.pending[refusal.Task].task.Reason]; run != nil {
				run.infeasible = true
			}
		}
	}
}

// snapshot returns the state for the next cycle. Its slices are used again for the one after that; a plan holds none of
// them.
func (r *replayer) snapshot() *scheduler.Snapshot {
	r.revision++
	s := &r.state
	s.Revision, s.Specs, s.Teams = r.revision, r.specs, r.teams
	s.Workers, s.Tasks = s.Workers[:0], s.Tasks[:0]
	for _, w := range r.workers {
		s.Workers = append(s.Workers, scheduler.Worker{
			Worker: w.Worker, Quarantine: r.engine.Quarantine.Of(w.ID, r.time()), Pressure: r.engine.Pressure.Of(w.ID),
		})
		for _, a := range w.attempts {
			s.Tasks = append(s.Tasks, a.Task)
		}
	}
	return s
}

func (r *replayer) assign(a *scheduler.Assignment) {
	p := r.pending[a.Task]
	delete(r.pending, a.Task)
	w := r.byID[a.Worker]
	p.task.Wanted, p.task.Attempt, p.task.Worker, p.task.Resources = api.WantedAssigned, a.Attempt, a.Worker, a.Resources
	started := &attempt{
		Task: scheduler.Task{Task: p.task, Seen: api.SeenRunning, Started: r.time()},
		work: p.work, worker: w, runsFrom: r.now + startSeconds, done: p.saved, saved: p.saved, share: 1, slowdown: 1,
	}
	if p.saved > 0 {
		started.runsFrom += resumeSeconds
		started.Progress = p.saved / p.work.truth.RunSeconds
	}
	if p.work.spec.Urgency >= api.High && p.work.spec.Kind == api.KindService {
		r.c.urgentWait = max(r.c.urgentWait, started.runsFrom-p.since)
	}
	if a.Probe {
		r.engine.Quarantine.ProbeStarted(w.ID, r.time())
	}
	w.attempts = append(w.attempts, started)
	r.running[a.Task] = started
}

func (r *replayer) order(ev *scheduler.Eviction) {
	a := r.running[ev.Task]
	if a == nil || a.Attempt != ev.Attempt || a.stopsAt > 0 {
		return
	}
	a.Step, a.StepAt = ev.Step, r.time()
	switch ev.Step {
	case eviction.StepThrottle:
		r.c.throttles++
		a.share, a.Seen = ev.Share, api.SeenThrottled
	case eviction.StepLift:
		a.share, a.Seen = 1, api.SeenRunning
	case eviction.StepCheckpoint:
		r.c.checkpoints++
		a.savesAt = r.now + checkpointSeconds
	case eviction.StepEvict:
		r.c.evictions++
		a.Evictions++
		a.stopsAt = r.now + 1
	}
}
