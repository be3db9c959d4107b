package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzehook/api"
	"bronzehook/fault"
	"bronzehook/scheduler/eviction"
	"bronzehook/scheduler/queue"
)

func smallSnapshot(workers int, specs ...api.Spec) *Snapshot {
	s := &Snapshot{Revision: 1, Specs: map[string]api.Spec{}, Teams: map[string]api.Team{
		"red":  {Name: "red", Quota: api.Resources{MilliCPU: 2000}},
		"blue": {Name: "blue"},
	}}
	for i := range workers {
		s.Workers = append(s.Workers, Worker{Worker: api.Worker{
			ID:       api.WorkerID(fmt.Sprint("w", i)),
			Location: api.Location{Region: "r", DataCentre: "d", Rack: fmt.Sprint(i)},
			Capacity: api.Resources{MilliCPU: 4000, MemoryMB: 4000},
		}})
	}
	for _, spec := range specs {
		s.Specs[spec.Name] = spec
	}
	return s
}

func spec(name string, kind api.Kind, team string, urgency api.Urgency, cpu int64) api.Spec {
	return api.Spec{
		Name: name, Kind: kind, Team: team, Urgency: urgency, Resources: api.Resources{MilliCPU: cpu, MemoryMB: 100},
		RunTime: 10 * time.Minute,
	}
}

func (b *Backlog) addTask(e *Engine, s *Snapshot, work string, index int) api.TaskID {
	sp := s.Specs[work]
	task := api.Task{ID: api.NewTaskID(work, index), Work: work, Recorded: start}
	b.Add(e.NewItem(task, &sp, 0, api.Resources{}))
	return task.ID
}

// TestRefusalsReportReason checks the cause and reason of each kind of refusal, and that refused tasks do not delay a
// less urgent task that fits.
func TestRefusalsReportReason(t *testing.T) {
	s := smallSnapshot(2,
		spec("huge", api.KindJob, "blue", api.Normal, 5000),
		spec("over", api.KindJob, "red", api.Normal, 1500),
		spec("fits", api.KindJob, "blue", api.Low, 1000),
		spec("wide", api.KindJob, "blue", api.Low, 4000),
	)
	e, b := New(DefaultOptions(), 1), NewBacklog(DefaultOptions().Queue)
	huge := b.addTask(e, s, "huge", 0)
	b.addTask(e, s, "over", 0)
	over := b.addTask(e, s, "over", 1)
	fits := b.addTask(e, s, "fits", 0)
	b.addTask(e, s, "wide", 0)
	wide := b.addTask(e, s, "wide", 1)
	b.Run(e, s, start, 100)
	for _, tc := range []struct {
		name  string
		task  api.TaskID
		cause queue.Cause
		text  string
	}{
		{"task larger than any worker is infeasible", huge, queue.CauseInfeasible, "no worker in any region offers that"},
		{"task of a team at its quota reports the quota", over, queue.CauseQuota, "team red"},
		{"task without a worker reports why the workers rejected it", wide, queue.CauseCapacity, "2 too few processors"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r, ok := b.Reason(tc.task)
			if !ok || r.Cause != tc.cause || !strings.Contains(r.Reason, tc.text) {
				t.Errorf("reason %+v (%t), want cause %d with %q", r, ok, tc.cause, tc.text)
			}
		})
	}
	if b.Has(fits) {
		t.Error("refused tasks delayed a less urgent task that fits")
	}
}

// TestAssignmentsOfOneCycleCountAgainstCapacity guards against assignments that ignore earlier ones of the same cycle
// and overcommit a worker.
func TestAssignmentsOfOneCycleCountAgainstCapacity(t *testing.T) {
	s := smallSnapshot(3, spec("s", api.KindService, "blue", api.High, 3000))
	e, b := New(DefaultOptions(), 1), NewBacklog(DefaultOptions().Queue)
	for i := range 4 {
		b.addTask(e, s, "s", i)
	}
	used := map[api.WorkerID]int{}
	for _, a := range b.Run(e, s, start, 10).Assignments {
		used[a.Worker]++
	}
	if diff := cmp.Diff(map[api.WorkerID]int{"w0": 1, "w1": 1, "w2": 1}, used); diff != "" {
		t.Errorf("tasks per worker (-want +got):\n%s", diff)
	}
}

// TestCycleIsDeterministic guards against a plan that depends on anything but its inputs.
func TestCycleIsDeterministic(t *testing.T) {
	s := fleetSnapshot(50)
	e := trainedEngine(s)
	items := pendingItems(e, s, 60)
	first := e.Cycle(s, items, start)
	if diff := cmp.Diff(first, e.Cycle(s, items, start)); diff != "" {
		t.Errorf("second cycle on the same snapshot (-first +second):\n%s", diff)
	}
}

// TestUrgentServicePreemptsInTime checks that an urgent service starts within 8.7 s on a fleet that is full of batch
// tasks, with a checkpoint before the eviction and no more victims than needed.
func TestUrgentServicePreemptsInTime(t *testing.T) {
	const startBound = 8700 * time.Millisecond
	s := smallSnapshot(4,
		spec("batch", api.KindJob, "blue", api.Normal, 2000), spec("urgent", api.KindService, "blue", api.Critical, 1500))
	for i := range 8 {
		s.Tasks = append(s.Tasks, Task{
			Task: api.Task{
				ID: api.NewTaskID("batch", i), Work: "batch", Attempt: 1, Worker: s.Workers[i/2].ID,
				Resources: s.Specs["batch"].Resources,
			},
			Started: start.Add(-time.Duration(i+1) * time.Minute),
		})
	}
	e, b := New(DefaultOptions(), 1), NewBacklog(DefaultOptions().Queue)
	b.addTask(e, s, "urgent", 0)
	var steps []eviction.Step
	for now := start; now.Before(start.Add(startBound)); now = now.Add(250 * time.Millisecond) {
		s.Revision++
		plan := b.Run(e, s, now, 10)
		if len(plan.Assignments) > 0 {
			if diff := cmp.Diff([]eviction.Step{eviction.StepCheckpoint, eviction.StepEvict}, steps); diff != "" {
				t.Errorf("steps (-want +got):\n%s", diff)
			}
			return
		}
		for _, ev := range plan.Actions {
			steps = append(steps, ev.Step)
			s.apply(ev, now)
		}
		s.stopEvicted(now, time.Second)
	}
	t.Errorf("not started within %s; steps %v", startBound, steps)
}

// apply records a step of the plan in the snapshot.
func (s *Snapshot) apply(ev TaskAction, now time.Time) {
	for i := range s.Tasks {
		if s.Tasks[i].ID == ev.Task {
			s.Tasks[i].Step, s.Tasks[i].StepAt = ev.Step, now
		}
	}
}

// stopEvicted removes the tasks whose eviction was ordered at least stopTime ago.
func (s *Snapshot) stopEvicted(now time.Time, stopTime time.Duration) {
	var kept []Task
	for _, t := range s.Tasks {
		if t.Step != eviction.StepEvict || now.Sub(t.StepAt) < stopTime {
			kept = append(kept, t)
		}
	}
	s.Tasks = kept
}

// TestRestoreKeepsModelState guards against a new coordinator that loses the model state saved in the object store: a
// restored engine must make the same predictions and plans.
func TestRestoreKeepsModelState(t *testing.T) {
	s := fleetSnapshot(50)
	exported := trainedEngine(s)
	data, err := exported.Export()
	if err != nil {
		t.Fatal(err)
	}
	restored := New(DefaultOptions(), 7)
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	items := pendingItems(exported, s, 60)
	if diff := cmp.Diff(items, pendingItems(restored, s, 60)); diff != "" {
		t.Errorf("sizes and run times (-exported +restored):\n%s", diff)
	}
	if diff := cmp.Diff(exported.Cycle(s, items, start), restored.Cycle(s, items, start)); diff != "" {
		t.Errorf("plan (-exported +restored):\n%s", diff)
	}
	if err := restored.Restore([]byte("no CBOR")); !fault.Is(err, fault.CodeInvalid) {
		t.Errorf("restore of invalid bytes: %v, want code %s", err, fault.CodeInvalid)
	}
}
