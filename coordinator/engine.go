package coordinator

import (
	"time"

	"bronzehook/api"
	"bronzehook/runner"
	"bronzehook/scheduler"
	"bronzehook/scheduler/eviction"
	"bronzehook/scheduler/queue"
)

// placementsPerCycle bounds the tasks that one cycle tries. The peak is 150 starts a second, 30 a cycle; the rest is
// room to catch up after a take-over of the duty.
const placementsPerCycle = 200

// EngineDecider makes the decisions of a cycle with the scheduler's policies.
type EngineDecider struct {
	engine  *scheduler.Engine
	backlog *scheduler.Backlog
	// revision numbers the snapshots.
	revision uint64
	work     *api.WorkSet
	workers  map[api.WorkerID]api.Worker
	// fleet is the number of usable workers of the last cycle; a larger one wakes waiting tasks.
	fleet int
	usage map[api.TaskID]usage
	steps map[api.TaskID]step
	// last is the snapshot of the last cycle, whose memory the next one uses again.
	last scheduler.Snapshot
}

// usage is the last measured use of an attempt.
type usage struct {
	attempt  uint64
	used     api.Resources
	slowdown float64
}

// step is the last step that was ordered about an attempt.
type step struct {
	attempt      uint64
	step         eviction.Step
	at           time.Time
	checkpointAt time.Time
}

// NewEngineDecider returns a decider that has learned nothing.
func NewEngineDecider(options scheduler.Options, seed uint64) *EngineDecider {
	return &EngineDecider{
		engine: scheduler.New(options, seed), backlog: scheduler.NewBacklog(options.Queue),
		workers: map[api.WorkerID]api.Worker{}, usage: map[api.TaskID]usage{}, steps: map[api.TaskID]step{},
	}
}

// Decide implements Decider.
func (d *EngineDecider) Decide(view View) Decision {
	d.work = view.Work
	d.revision++
	snapshot := d.snapshot(view)
	d.wake(snapshot)
	d.enqueue(view)
	plan := d.backlog.Run(d.engine, snapshot, view.Now, placementsPerCycle)
	return d.decision(view, plan)
}

func (d *EngineDecider) snapshot(view View) *scheduler.Snapshot {
	s := &d.last
	s.Revision, s.Specs, s.Teams = d.revision, view.Work.Specs, view.Work.Teams
	s.Workers, s.Tasks = s.Workers[:0], s.Tasks[:0]
	for _, w := range view.Workers {
		d.workers[w.ID] = w.Worker
		s.Workers = append(s.Workers, scheduler.Worker{
			Worker: w.Worker, Drained: w.Drained, Unreachable: !w.Usable,
			Quarantine: d.engine.Quarantine.Of(w.ID, view.Now), Pressure: d.engine.Pressure.Of(w.ID),
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
	task := scheduler.Task{Task: t.Task, Seen: t.Seen, Started: t.Started, Progress: t.Progress}
	if u, ok := d.usage[t.ID]; ok && u.attempt == t.Attempt {
		task.Measured = true
		task.Used = u.used
		task.Slowdown = u.slowdown
	}
	if s, ok := d.steps[t.ID]; ok && s.attempt == t.Attempt {
		task.Step = s.step
		task.StepAt = s.at
		task.CheckpointAt = s.checkpointAt
	}
	return task
}

// wake tells the backlog that the fleet has grown, so that tasks that found no room are tried again.
func (d *EngineDecider) wake(s *scheduler.Snapshot) {
	usable := 0
	for i := range s.Workers {
		if !s.Workers[i].Unreachable {
			usable++
		}
	}
	if usable > d.fleet {
		d.backlog.Notify(queue.Event{Kind: queue.EventFleet})
	}
	d.fleet = usable
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
		spec, ok := view.Work.Specs[t.Work]
		if ok && !d.backlog.Has(t.ID) {
			d.backlog.Add(d.engine.NewItem(t.Task, &spec, t.Progress, api.Resources{}))
		}
	}
}

func (d *EngineDecider) decision(view View, plan scheduler.Plan) Decision {
	decision := Decision{Impossible: map[api.TaskID]string{}}
	decision.More = len(plan.Assignments)+len(plan.Refusals)+len(plan.Failures) >= placementsPerCycle
	for _, a := range plan.Assignments {
		if a.Probe {
			d.engine.Quarantine.ProbeStarted(a.Worker, view.Now)
		}
		decision.Placements = append(decision.Placements, Placement{Task: a.Task, Worker: a.Worker, Resources: a.Resources})
	}
	for _, e := range plan.Evictions {
		d.recordStep(view.Now, e)
		decision.Reclaims = append(decision.Reclaims, reclaimOf(e))
	}
	for _, f := range plan.Failures {
		decision.Impossible[f.Task] = f.Reason
	}
	return decision
}

func (d *EngineDecider) recordStep(now time.Time, e scheduler.Eviction) {
	s := d.steps[e.Task]
	if s.attempt != e.Attempt {
		s = step{attempt: e.Attempt}
	}
	s.step = e.Step
	s.at = now
	if e.Step == eviction.StepCheckpoint {
		s.checkpointAt = now
	}
	d.steps[e.Task] = s
}

func reclaimOf(e scheduler.Eviction) Reclaim {
	r := Reclaim{Task: e.Task, Share: e.Share, Reason: e.Reason}
	switch e.Step {
	case eviction.StepLift:
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
	if d.work == nil {
		return
	}
	byWorker := map[api.WorkerID]*scheduler.Report{}
	for _, u := range reports {
		spec, ok := d.specOf(u.Task)
		if !ok {
			continue
		}
		d.usage[u.Task] = usage{attempt: u.Attempt, used: u.Used, slowdown: u.Slowdown}
		report := byWorker[u.Worker]
		if report == nil {
			report = &scheduler.Report{Worker: u.Worker, Capacity: d.workers[u.Worker].Capacity}
			byWorker[u.Worker] = report
		}
		report.Used = report.Used.Add(u.Used)
		report.Tasks = append(report.Tasks, scheduler.TaskReport{
			Spec: &spec, Used: u.Used, Slowdown: u.Slowdown, Throttled: d.steps[u.Task].step == eviction.StepThrottle,
		})
	}
	for _, report := range byWorker {
		d.engine.ObserveReport(report, now)
	}
}

func (d *EngineDecider) specOf(task api.TaskID) (api.Spec, bool) {
	spec, ok := d.work.Specs[task.Work()]
	return spec, ok
}

// Ended implements Decider.
func (d *EngineDecider) Ended(now time.Time, task api.Task, report runner.AttemptReport, ran time.Duration) {
	delete(d.usage, task.ID)
	delete(d.steps, task.ID)
	d.backlog.Notify(queue.Event{Kind: queue.EventFreed, Region: d.workers[task.Worker].Location.Region, Free: task.Resources})
	if d.work == nil {
		return
	}
	spec, ok := d.specOf(task.ID)
	if !ok {
		return
	}
	switch {
	case report.NotStarted:
		d.backlog.Rejected(d.engine.NewItem(task, &spec, report.Progress, api.Resources{}), task.Worker, now)
	case report.State == api.SeenFailed:
		d.engine.Quarantine.Failure(task.Worker, task.Work, now)
		d.backlog.Rejected(d.engine.NewItem(task, &spec, 0, api.Resources{}), task.Worker, now)
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
