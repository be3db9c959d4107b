package coordinator

import (
	"time"

	"bronzehook/api"
	"bronzehook/runner"
	"bronzehook/scheduler"
	"bronzehook/scheduler/eviction"
	"bronzehook/scheduler/queue"
)

// maxTasksPerCycle bounds the tasks that one cycle tries to place. The peak of 150 starts a second is 30 per cycle; the
// rest allows a new coordinator to catch up after a takeover.
const maxTasksPerCycle = 200

// EngineDecider makes the decisions of a cycle with the scheduler's policies.
type EngineDecider struct {
	engine  *scheduler.Engine
	backlog *scheduler.Backlog
	// revision is the number of the last snapshot.
	revision  uint64
	workloads *api.WorkSet
	workers   map[api.WorkerID]api.Worker
	// usableWorkers is the number of usable workers in the last cycle; when it grows, waiting tasks are tried again.
	usableWorkers int
	usage         map[api.TaskID]attemptUsage
	lastSteps     map[api.TaskID]lastStep
	// lastSnapshot is the snapshot of the last cycle, whose memory the next one reuses.
	lastSnapshot scheduler.Snapshot
}

// attemptUsage is the last measured resource usage of an attempt.
type attemptUsage struct {
	attempt  uint64
	used     api.Resources
	slowdown float64
}

// lastStep is the last eviction step that was decided for an attempt.
type lastStep struct {
	attempt      uint64
	step         eviction.Step
	at           time.Time
	checkpointAt time.Time
}

// NewEngineDecider returns a decider without any model state.
func NewEngineDecider(options scheduler.Options, seed uint64) *EngineDecider {
	return &EngineDecider{
		engine: scheduler.New(options, seed), backlog: scheduler.NewBacklog(options.Queue),
		workers: map[api.WorkerID]api.Worker{}, usage: map[api.TaskID]attemptUsage{},
		lastSteps: map[api.TaskID]lastStep{},
	}
}

// Decide implements Decider.
func (d *EngineDecider) Decide(view View) Decision {
	d.workloads = view.Workloads
	d.revision++
	snapshot := d.snapshot(view)
	d.notifyFleetGrowth(snapshot)
	d.enqueue(view)
	plan := d.backlog.Run(d.engine, snapshot, view.Now, maxTasksPerCycle)
	return d.decision(view, plan)
}

func (d *EngineDecider) snapshot(view View) *scheduler.Snapshot {
	s := &d.lastSnapshot
	s.Revision, s.Specs, s.Teams = d.revision, view.Workloads.Specs, view.Workloads.Teams
	s.Workers, s.Tasks = s.Workers[:0], s.Tasks[:0]
	for _, w := range view.Workers {
		d.workers[w.ID] = w.Worker
		s.Workers = append(s.Workers, scheduler.Worker{
			Worker: w.Worker, Drained: w.Drained, Unreachable: !w.Usable,
			Quarantine: d.engine.Quarantine.State(w.ID, view.Now), Pressure: d.engine.Pressure.Pressure(w.ID),
		})
	}
	for i := range view.Tasks {
		if t := &view.Tasks[i]; t.Wanted == api.WantedAssigned {
			s.Tasks = append(s.Tasks, d.schedulerTask(t))
		}
	}
	return s
}

func (d *EngineDecider) schedulerTask(t *TaskView) scheduler.Task {
	task := scheduler.Task{Task: t.Task, Seen: t.Observed, Started: t.Started, Progress: t.Progress}
	if u, ok := d.usage[t.ID]; ok && u.attempt == t.Attempt {
		task.Measured = true
		task.Used = u.used
		task.Slowdown = u.slowdown
	}
	if s, ok := d.lastSteps[t.ID]; ok && s.attempt == t.Attempt {
		task.Step = s.step
		task.StepAt = s.at
		task.CheckpointAt = s.checkpointAt
	}
	return task
}

// notifyFleetGrowth tells the backlog when the fleet has grown, so that tasks that found no free capacity are tried
// again.
func (d *EngineDecider) notifyFleetGrowth(s *scheduler.Snapshot) {
	usable := 0
	for i := range s.Workers {
		if !s.Workers[i].Unreachable {
			usable++
		}
	}
	if usable > d.usableWorkers {
		d.backlog.Notify(queue.Event{Kind: queue.EventFleetChanged})
	}
	d.usableWorkers = usable
}

func (d *EngineDecider) enqueue(view View) {
	for i := range view.Tasks {
		t := &view.Tasks[i]
		waiting := t.Wanted == api.WantedPending && !t.Busy
		if !waiting {
			if t.Wanted != api.WantedPending {
				d.backlog.Cancel(t.ID)
			}
			continue
		}
		spec, ok := view.Workloads.Specs[t.Work]
		if ok && !d.backlog.Has(t.ID) {
			d.backlog.Add(d.engine.NewItem(t.Task, &spec, t.Progress, api.Resources{}))
		}
	}
}

func (d *EngineDecider) decision(view View, plan scheduler.Plan) Decision {
	decision := Decision{Infeasible: map[api.TaskID]string{}}
	decision.More = len(plan.Assignments)+len(plan.Refusals)+len(plan.Failures) >= maxTasksPerCycle
	for _, a := range plan.Assignments {
		if a.Probe {
			d.engine.Quarantine.ProbeStarted(a.Worker, view.Now)
		}
		decision.Placements = append(decision.Placements, Placement{Task: a.Task, Worker: a.Worker, Resources: a.Resources})
	}
	for _, e := range plan.Actions {
		d.recordStep(view.Now, e)
		decision.Actions = append(decision.Actions, taskActionOf(e))
	}
	for _, f := range plan.Failures {
		decision.Infeasible[f.Task] = f.Reason
	}
	return decision
}

func (d *EngineDecider) recordStep(now time.Time, e scheduler.TaskAction) {
	s := d.lastSteps[e.Task]
	if s.attempt != e.Attempt {
		s = lastStep{attempt: e.Attempt}
	}
	s.step = e.Step
	s.at = now
	if e.Step == eviction.StepCheckpoint {
		s.checkpointAt = now
	}
	d.lastSteps[e.Task] = s
}

func taskActionOf(e scheduler.TaskAction) TaskAction {
	r := TaskAction{Task: e.Task, Share: e.Share, Reason: e.Reason}
	switch e.Step {
	case eviction.StepUnthrottle:
		r.Action = runner.ActionThrottle
		r.Share = 1
	case eviction.StepThrottle:
		r.Action = runner.ActionThrottle
	case eviction.StepCheckpoint:
		r.Action = runner.ActionCheckpoint
	default:
		r.Action = runner.ActionEvict
	}
	return r
}

// Reason implements Decider.
func (d *EngineDecider) Reason(task api.TaskID) string {
	refusal, _ := d.backlog.Reason(task)
	return refusal.Reason
}

// Observe implements Decider.
func (d *EngineDecider) Observe(now time.Time, reports []runner.UsageReport) {
	if d.workloads == nil {
		return
	}
	byWorker := map[api.WorkerID]*scheduler.Report{}
	for _, u := range reports {
		spec, ok := d.specOf(u.Task)
		if !ok {
			continue
		}
		d.usage[u.Task] = attemptUsage{attempt: u.Attempt, used: u.Used, slowdown: u.Slowdown}
		report := byWorker[u.Worker]
		if report == nil {
			report = &scheduler.Report{Worker: u.Worker, Capacity: d.workers[u.Worker].Capacity}
			byWorker[u.Worker] = report
		}
		report.Used = report.Used.Add(u.Used)
		report.Tasks = append(report.Tasks, scheduler.TaskReport{
			Spec: &spec, Used: u.Used, Slowdown: u.Slowdown, Throttled: d.lastSteps[u.Task].step == eviction.StepThrottle,
		})
	}
	for _, report := range byWorker {
		d.engine.ObserveReport(report, now)
	}
}

func (d *EngineDecider) specOf(task api.TaskID) (api.Spec, bool) {
	spec, ok := d.workloads.Specs[task.Work()]
	return spec, ok
}

// HandleTermination implements Decider.
func (d *EngineDecider) HandleTermination(now time.Time, task api.Task, report runner.AttemptReport, ran time.Duration) {
	delete(d.usage, task.ID)
	delete(d.lastSteps, task.ID)
	d.backlog.Notify(queue.Event{Kind: queue.EventCapacityFreed, Region: d.workers[task.Worker].Location.Region, Free: task.Resources})
	if d.workloads == nil {
		return
	}
	spec, ok := d.specOf(task.ID)
	if !ok {
		return
	}
	switch {
	case report.NotStarted:
		d.backlog.RequeueRejected(d.engine.NewItem(task, &spec, report.Progress, api.Resources{}), task.Worker, now)
	case report.State == api.SeenFailed:
		d.engine.Quarantine.Failure(task.Worker, task.Work, now)
		d.backlog.RequeueRejected(d.engine.NewItem(task, &spec, 0, api.Resources{}), task.Worker, now)
	case report.State == api.SeenSucceeded:
		d.engine.Quarantine.Success(task.Worker, task.Work)
		if ran > 0 && task.Checkpoint == "" {
			d.engine.Sizing.ObserveRun(&spec, ran, now)
		}
	}
}

// Export implements Decider.
func (d *EngineDecider) Export() ([]byte, error) { return d.engine.Export() }

// Restore implements Decider.
func (d *EngineDecider) Restore(data []byte) error { return d.engine.Restore(data) }
