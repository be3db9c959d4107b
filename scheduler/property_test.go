package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bronzehook/api"
	"bronzehook/scheduler/eviction"
	"bronzehook/scheduler/feasibility"
	"bronzehook/scheduler/quarantine"
)

// simulation applies plans as the rest of the system does, and checks that they respect the limits.
type simulation struct {
	t        *rapid.T
	engine   *Engine
	backlog  *Backlog
	snapshot Snapshot
	tasks    map[api.TaskID]api.Task
	now      time.Time
}

func drawSimulation(t *rapid.T) *simulation {
	opts := drawOptions(t)
	sim := &simulation{t: t, engine: New(opts, 3), tasks: map[api.TaskID]api.Task{}, now: start}
	sim.backlog = NewBacklog(opts.Queue)
	sim.snapshot.Specs, sim.snapshot.Teams = map[string]api.Spec{}, map[string]api.Team{}
	for i := range rapid.IntRange(1, 6).Draw(t, "workers") {
		sim.snapshot.Workers = append(sim.snapshot.Workers, Worker{
			Worker: api.Worker{
				ID:       api.WorkerID(fmt.Sprint("w", i)),
				Location: api.Location{Region: fmt.Sprint("r", i%2), DataCentre: fmt.Sprint("d", i%3), Rack: fmt.Sprint(i)},
				Capacity: drawResources(t, 8000, 8000, 2),
				Leaving:  rapid.IntRange(0, 9).Draw(t, "leaving") == 0,
			},
			Drained: rapid.IntRange(0, 9).Draw(t, "drained") == 0,
		})
	}
	for i := range 2 {
		name := fmt.Sprint("team", i)
		sim.snapshot.Teams[name] = api.Team{Name: name, Quota: drawResources(t, 12000, 12000, 2)}
	}
	kinds := []api.Kind{api.KindService, api.KindJob, api.KindJob, api.KindWatcher}
	for i := range rapid.IntRange(1, 8).Draw(t, "works") {
		spec := api.Spec{
			Name: fmt.Sprint("work", i), Team: fmt.Sprint("team", i%2), Kind: rapid.SampledFrom(kinds).Draw(t, "kind"),
			Urgency: api.Urgency(rapid.IntRange(0, 3).Draw(t, "urgency")), Replicas: rapid.IntRange(1, 6).Draw(t, "replicas"),
			Resources: drawResources(t, 4000, 4000, 1),
			RunTime:   time.Duration(rapid.IntRange(1, 60).Draw(t, "minutes")) * time.Minute,
		}
		sim.snapshot.Specs[spec.Name] = spec
		for r := range spec.Replicas {
			task := api.Task{ID: api.NewTaskID(spec.Name, r), Work: spec.Name, Recorded: start}
			sim.tasks[task.ID] = task
			sim.backlog.Add(sim.engine.NewItem(task, &spec, 0, api.Resources{}))
		}
	}
	return sim
}

// drawOptions disables a random set of policies, because the limits must hold without any of them.
func drawOptions(t *rapid.T) Options {
	o := DefaultOptions()
	switches := []*bool{
		&o.Queue.ByUrgency, &o.Queue.BySlack, &o.Queue.BackOff, &o.Feasibility.Enabled, &o.Placement.Score,
		&o.Placement.Spread, &o.Placement.Interference, &o.Placement.Pack, &o.Placement.ReserveForAccelerators,
		&o.Placement.PredictedLoad, &o.Interference.Enabled, &o.Sizing.CorrectSizes, &o.Sizing.CorrectRunTimes, &o.Eviction.Preemption,
		&o.Eviction.PressureRelief, &o.Eviction.Throttle, &o.Eviction.Checkpoint, &o.Eviction.Hysteresis,
		&o.Quarantine.QuarantineWorkers, &o.Quarantine.AttributeToWorkloads,
	}
	for _, on := range switches {
		*on = rapid.IntRange(0, 7).Draw(t, "off") != 0
	}
	return o
}

func drawResources(t *rapid.T, cpu, memory, accelerators int64) api.Resources {
	return api.Resources{
		MilliCPU:     rapid.Int64Range(100, cpu).Draw(t, "cpu"),
		MemoryMB:     rapid.Int64Range(100, memory).Draw(t, "memory"),
		Accelerators: rapid.Int64Range(0, accelerators).Draw(t, "accelerators"),
	}
}

// runCycle ends some attempts, runs one scheduling cycle and applies its plan.
func (sim *simulation) runCycle() {
	sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(sim.t, "seconds")) * time.Second)
	sim.snapshot.Revision++
	sim.endAttempts()
	sim.reportUse()
	plan := sim.backlog.Run(sim.engine, &sim.snapshot, sim.now, 100)
	for _, a := range plan.Assignments {
		sim.assign(a)
	}
	sim.checkLimits()
	for _, ev := range plan.Actions {
		sim.evict(ev)
	}
}

// reportUse draws a pressure and a quarantine state for every worker and a measured use for every task.
func (sim *simulation) reportUse() {
	for i := range sim.snapshot.Workers {
		sim.snapshot.Workers[i].Pressure = eviction.Pressure{
			Active: rapid.IntRange(0, 2).Draw(sim.t, "pressure") == 0, MayLiftThrottles: rapid.IntRange(0, 2).Draw(sim.t, "calm") == 0,
		}
		sim.snapshot.Workers[i].Quarantine = quarantine.State{
			Quarantined: rapid.IntRange(0, 9).Draw(sim.t, "quarantined") == 0, Probe: rapid.Bool().Draw(sim.t, "probe"),
		}
	}
	byWorker := map[api.WorkerID]*Report{}
	for i := range sim.snapshot.Tasks {
		t := &sim.snapshot.Tasks[i]
		spec := sim.snapshot.Specs[t.Work]
		t.Measured, t.Used = true, drawResources(sim.t, 6000, 6000, 1)
		if byWorker[t.Worker] == nil {
			byWorker[t.Worker] = &Report{Worker: t.Worker, Capacity: api.Resources{MilliCPU: 8000, MemoryMB: 8000}}
		}
		slowdown := rapid.Float64Range(0, 5).Draw(sim.t, "slowdown")
		r := byWorker[t.Worker]
		r.Used = r.Used.Add(t.Used)
		r.Tasks = append(r.Tasks, TaskReport{Spec: &spec, Used: t.Used, Slowdown: slowdown})
	}
	for _, worker := range sim.snapshot.Workers {
		if r := byWorker[worker.ID]; r != nil {
			sim.engine.ObserveReport(r, sim.now)
		}
	}
}

func (sim *simulation) assign(a Assignment) {
	for i := range sim.snapshot.Tasks {
		if sim.snapshot.Tasks[i].ID == a.Task {
			sim.t.Fatalf("%s was placed on %s while it was running on %s", a.Task, a.Worker, sim.snapshot.Tasks[i].Worker)
		}
	}
	task := sim.tasks[a.Task]
	task.Attempt, task.Worker, task.Resources = a.Attempt, a.Worker, a.Resources
	sim.tasks[a.Task] = task
	sim.snapshot.Tasks = append(sim.snapshot.Tasks, Task{Task: task, Seen: api.SeenRunning, Started: sim.now})
}

// endAttempts ends the attempts that were evicted, and rejects some others as the owner of the rack would.
func (sim *simulation) endAttempts() {
	var kept []Task
	for _, t := range sim.snapshot.Tasks {
		spec := sim.snapshot.Specs[t.Work]
		item := sim.engine.NewItem(sim.tasks[t.ID], &spec, 0, api.Resources{})
		switch {
		case t.Step == eviction.StepEvict:
			sim.backlog.Add(item)
		case rapid.IntRange(0, 7).Draw(sim.t, "refuse") == 0:
			sim.backlog.RequeueRejected(item, t.Worker, sim.now)
		default:
			kept = append(kept, t)
		}
	}
	sim.snapshot.Tasks = kept
}

func (sim *simulation) evict(ev TaskAction) {
	for i := range sim.snapshot.Tasks {
		t := &sim.snapshot.Tasks[i]
		if t.ID != ev.Task {
			continue
		}
		t.Step, t.StepAt = ev.Step, sim.now
		if ev.Step != eviction.StepEvict {
			return
		}
		task := sim.tasks[t.ID]
		task.Evictions++
		sim.tasks[t.ID] = task
		t.Evictions = task.Evictions
		if task.Evictions > eviction.MaxEvictions {
			sim.t.Fatalf("%s was evicted %d times", t.ID, task.Evictions)
		}
		if sim.snapshot.Specs[t.Work].Kind == api.KindService {
			sim.t.Fatalf("the service task %s was evicted", t.ID)
		}
		return
	}
	sim.t.Fatalf("the plan has a step for %s, which is not running", ev.Task)
}

func (sim *simulation) checkLimits() {
	workers := map[api.WorkerID]api.Resources{}
	teams := map[string]api.Resources{}
	for _, t := range sim.snapshot.Tasks {
		workers[t.Worker] = workers[t.Worker].Add(t.Resources)
		team := sim.snapshot.Specs[t.Work].Team
		teams[team] = teams[team].Add(t.Resources)
	}
	for _, worker := range sim.snapshot.Workers {
		if !workers[worker.ID].Fits(worker.Capacity) {
			sim.t.Fatalf("worker %s has the capacity %s and was assigned %s", worker.ID, worker.Capacity, workers[worker.ID])
		}
		if workers[worker.ID] != (api.Resources{}) && (worker.Leaving || worker.Drained) {
			sim.t.Fatalf("worker %s is leaving or drained and was assigned %s", worker.ID, workers[worker.ID])
		}
	}
	for name, team := range sim.snapshot.Teams {
		if feasibility.ExceedsQuota(teams[name], team.Quota) {
			sim.t.Fatalf("team %s has the quota %s and was assigned %s", name, team.Quota, teams[name])
		}
	}
}

// TestPlansRespectLimits guards against a plan that exceeds a worker's capacity or a team's quota, uses a drained or
// leaving worker, evicts a service or evicts a task more than MaxEvictions times, or places a running task again. The
// owners of the racks reject some assignments.
func TestPlansRespectLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := drawSimulation(t)
		for range rapid.IntRange(1, 25).Draw(t, "cycles") {
			sim.runCycle()
		}
	})
}
