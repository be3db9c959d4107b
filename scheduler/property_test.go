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

// world applies plans as the rest of the system would, and checks them.
type world struct {
	t       *rapid.T
	e       *Engine
	backlog *Backlog
	s       Snapshot
	records map[api.TaskID]api.Task
	now     time.Time
}

func drawWorld(t *rapid.T) *world {
	opts := drawOptions(t)
	w := &world{t: t, e: New(opts, 3), records: map[api.TaskID]api.Task{}, now: start}
	w.backlog = NewBacklog(opts.Queue)
	w.s.Specs, w.s.Teams = map[string]api.Spec{}, map[string]api.Team{}
	for i := range rapid.IntRange(1, 6).Draw(t, "workers") {
		w.s.Workers = append(w.s.Workers, Worker{
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
		w.s.Teams[name] = api.Team{Name: name, Quota: drawResources(t, 12000, 12000, 2)}
	}
	kinds := []api.Kind{api.KindService, api.KindJob, api.KindJob, api.KindWatcher}
	for i := range rapid.IntRange(1, 8).Draw(t, "works") {
		spec := api.Spec{
			Name: fmt.Sprint("work", i), Team: fmt.Sprint("team", i%2), Kind: rapid.SampledFrom(kinds).Draw(t, "kind"),
			Urgency: api.Urgency(rapid.IntRange(0, 3).Draw(t, "urgency")), Replicas: rapid.IntRange(1, 6).Draw(t, "replicas"),
			Resources: drawResources(t, 4000, 4000, 1),
			RunTime:   time.Duration(rapid.IntRange(1, 60).Draw(t, "minutes")) * time.Minute,
		}
		w.s.Specs[spec.Name] = spec
		for r := range spec.Replicas {
			task := api.Task{ID: api.NewTaskID(spec.Name, r), Work: spec.Name, Recorded: start}
			w.records[task.ID] = task
			w.backlog.Add(w.e.NewItem(task, &spec, 0, api.Resources{}))
		}
	}
	return w
}

// drawOptions switches policies off, each by itself, since the bounds may not depend on any of them.
func drawOptions(t *rapid.T) Options {
	o := DefaultOptions()
	switches := []*bool{
		&o.Queue.ByUrgency, &o.Queue.BySlack, &o.Queue.BackOff, &o.Feasibility.Enabled, &o.Placement.Score,
		&o.Placement.Spread, &o.Placement.Interference, &o.Placement.Pack, &o.Placement.KeepAccelerators,
		&o.Placement.PredictedLoad, &o.Interference.Enabled, &o.Sizing.Sizes, &o.Sizing.RunTimes, &o.Eviction.ForRoom,
		&o.Eviction.ForPressure, &o.Eviction.Throttle, &o.Eviction.Checkpoint, &o.Eviction.Hysteresis,
		&o.Quarantine.Workers, &o.Quarantine.Works,
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

// step runs one cycle and applies its plan; some assignments are refused by the owner of the rack.
func (w *world) step() {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(w.t, "seconds")) * time.Second)
	w.s.Revision++
	w.endSome()
	w.report()
	plan := w.backlog.Run(w.e, &w.s, w.now, 100)
	for _, a := range plan.Assignments {
		w.assign(a)
	}
	w.checkBounds()
	for _, ev := range plan.Evictions {
		w.evict(ev)
	}
}

// report gives every worker some pressure and every task some measured use.
func (w *world) report() {
	for i := range w.s.Workers {
		w.s.Workers[i].Pressure = eviction.Pressure{
			Active: rapid.IntRange(0, 2).Draw(w.t, "pressure") == 0, Calm: rapid.IntRange(0, 2).Draw(w.t, "calm") == 0,
		}
		w.s.Workers[i].Quarantine = quarantine.State{
			Quarantined: rapid.IntRange(0, 9).Draw(w.t, "quarantined") == 0, Probe: rapid.Bool().Draw(w.t, "probe"),
		}
	}
	byWorker := map[api.WorkerID]*Report{}
	for i := range w.s.Tasks {
		t := &w.s.Tasks[i]
		spec := w.s.Specs[t.Work]
		t.Measured, t.Used = true, drawResources(w.t, 6000, 6000, 1)
		if byWorker[t.Worker] == nil {
			byWorker[t.Worker] = &Report{Worker: t.Worker, Capacity: api.Resources{MilliCPU: 8000, MemoryMB: 8000}}
		}
		slowdown := rapid.Float64Range(0, 5).Draw(w.t, "slowdown")
		r := byWorker[t.Worker]
		r.Used = r.Used.Add(t.Used)
		r.Tasks = append(r.Tasks, TaskReport{Spec: &spec, Used: t.Used, Slowdown: slowdown})
	}
	for _, worker := range w.s.Workers {
		if r := byWorker[worker.ID]; r != nil {
			w.e.ObserveReport(r, w.now)
		}
	}
}

func (w *world) assign(a Assignment) {
	for i := range w.s.Tasks {
		if w.s.Tasks[i].ID == a.Task {
			w.t.Fatalf("%s was placed on %s while it runs on %s", a.Task, a.Worker, w.s.Tasks[i].Worker)
		}
	}
	task := w.records[a.Task]
	task.Attempt, task.Worker, task.Resources = a.Attempt, a.Worker, a.Resources
	w.records[a.Task] = task
	w.s.Tasks = append(w.s.Tasks, Task{Task: task, Seen: api.SeenRunning, Started: w.now})
}

// endSome ends attempts that were ordered to stop, and some others as refused by the owner of the rack.
func (w *world) endSome() {
	var kept []Task
	for _, t := range w.s.Tasks {
		spec := w.s.Specs[t.Work]
		item := w.e.NewItem(w.records[t.ID], &spec, 0, api.Resources{})
		switch {
		case t.Step == eviction.StepEvict:
			w.backlog.Add(item)
		case rapid.IntRange(0, 7).Draw(w.t, "refuse") == 0:
			w.backlog.Rejected(item, t.Worker, w.now)
		default:
			kept = append(kept, t)
		}
	}
	w.s.Tasks = kept
}

func (w *world) evict(ev Eviction) {
	for i := range w.s.Tasks {
		t := &w.s.Tasks[i]
		if t.ID != ev.Task {
			continue
		}
		t.Step, t.StepAt = ev.Step, w.now
		if ev.Step != eviction.StepEvict {
			return
		}
		record := w.records[t.ID]
		record.Evictions++
		w.records[t.ID] = record
		t.Evictions = record.Evictions
		if record.Evictions > eviction.MaxEvictions {
			w.t.Fatalf("%s was evicted %d times", t.ID, record.Evictions)
		}
		if w.s.Specs[t.Work].Kind == api.KindService {
			w.t.Fatalf("the service task %s was evicted", t.ID)
		}
		return
	}
	w.t.Fatalf("the plan names %s, which does not run", ev.Task)
}

func (w *world) checkBounds() {
	workers := map[api.WorkerID]api.Resources{}
	teams := map[string]api.Resources{}
	for _, t := range w.s.Tasks {
		workers[t.Worker] = workers[t.Worker].Add(t.Resources)
		team := w.s.Specs[t.Work].Team
		teams[team] = teams[team].Add(t.Resources)
	}
	for _, worker := range w.s.Workers {
		if !workers[worker.ID].Fits(worker.Capacity) {
			w.t.Fatalf("%s has %s and is given %s", worker.ID, worker.Capacity, workers[worker.ID])
		}
		if workers[worker.ID] != (api.Resources{}) && (worker.Leaving || worker.Drained) {
			w.t.Fatalf("%s takes no tasks and is given %s", worker.ID, workers[worker.ID])
		}
	}
	for name, team := range w.s.Teams {
		if feasibility.ExceedsQuota(teams[name], team.Quota) {
			w.t.Fatalf("%s has the quota %s and is given %s", name, team.Quota, teams[name])
		}
	}
}

// Guards against a plan that exceeds a worker's capacity or a team's quota, evicts a task more than three times, evicts
// a service, or places a task twice, with refusals by racks' owners mixed in.
func TestPlansKeepTheBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawWorld(t)
		for range rapid.IntRange(1, 25).Draw(t, "cycles") {
			w.step()
		}
	})
}
