package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bronzehook/api"
	"bronzehook/scheduler/queue"
)

// fleetSnapshot returns a fleet with the task density of the design: per 810 workers 9,300 running tasks, 3,500 of them
// latency-critical, and 1,000 accelerators, in 3 regions and 11 data centres.
func fleetSnapshot(workers int) *Snapshot {
	rng := rand.New(rand.NewPCG(1, 2))
	s := &Snapshot{Revision: 1, Specs: map[string]api.Spec{}, Teams: map[string]api.Team{}}
	for i := range 54 {
		name := fmt.Sprintf("team%02d", i)
		s.Teams[name] = api.Team{Name: name}
	}
	var services, jobs []string
	for i := range 120 {
		spec := api.Spec{
			Name: fmt.Sprintf("work%03d", i), Team: fmt.Sprintf("team%02d", i%54), Urgency: api.Urgency(i % 4),
			Resources: api.Resources{MilliCPU: 500 + rng.Int64N(3000), MemoryMB: 1000 + rng.Int64N(8000)},
		}
		if i%3 == 0 {
			spec.Kind = api.KindService
			services = append(services, spec.Name)
		} else {
			spec.Kind, spec.RunTime = api.KindJob, 20*time.Minute
			jobs = append(jobs, spec.Name)
		}
		s.Specs[spec.Name] = spec
	}
	for i := range workers {
		w := Worker{Worker: api.Worker{
			ID: api.WorkerID(fmt.Sprintf("w%04d", i)),
			Location: api.Location{
				Region: fmt.Sprintf("r%d", i%3), DataCentre: fmt.Sprintf("dc%02d", i%11), Rack: fmt.Sprintf("k%d", i/88),
			},
			Capacity: api.Resources{MilliCPU: 64000, MemoryMB: 250000},
		}}
		if i%3 == 0 {
			w.Capacity.Accelerators = 4
		}
		s.Workers = append(s.Workers, w)
	}
	for i := range workers * 9300 / 810 {
		name := jobs[rng.IntN(len(jobs))]
		if i%8 < 3 {
			name = services[rng.IntN(len(services))]
		}
		spec := s.Specs[name]
		s.Tasks = append(s.Tasks, Task{
			Task: api.Task{
				ID: api.NewTaskID(name, i), Work: name, Attempt: 1, Wanted: api.WantedAssigned,
				Worker: s.Workers[i%workers].ID, Resources: spec.Resources,
			},
			Seen: api.SeenRunning, Started: start, Measured: true, Used: spec.Resources,
		})
	}
	return s
}

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// trainedEngine returns an engine that has observed several reports of every worker.
func trainedEngine(s *Snapshot) *Engine {
	e := New(DefaultOptions(), 7)
	byWorker := map[api.WorkerID][]TaskReport{}
	for i := range s.Tasks {
		spec := s.Specs[s.Tasks[i].Work]
		byWorker[s.Tasks[i].Worker] = append(byWorker[s.Tasks[i].Worker], TaskReport{
			Spec: &spec, Used: spec.Resources, Slowdown: 1 + float64(i%5)/20,
		})
	}
	for range 8 {
		for i := range s.Workers {
			w := &s.Workers[i]
			e.ObserveReport(&Report{
				Worker: w.ID, Capacity: w.Capacity, Used: api.Resources{MilliCPU: 30000}, Tasks: byWorker[w.ID],
			}, start)
		}
	}
	return e
}

func pendingItems(e *Engine, s *Snapshot, n int) []queue.Item {
	items := make([]queue.Item, n)
	for i := range items {
		spec := s.Specs[fmt.Sprintf("work%03d", i%120)]
		task := api.Task{ID: api.NewTaskID(spec.Name, 100000+i), Work: spec.Name, Recorded: start}
		items[i] = e.NewItem(task, &spec, 0, api.Resources{})
	}
	return items
}

// BenchmarkPlacement measures one placement within a cycle, without the construction of the cycle. The target is at
// most 50 µs at 810 workers, with less than linear growth from 50 workers.
func BenchmarkPlacement(b *testing.B) {
	for _, workers := range []int{50, 200, 810} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			s := fleetSnapshot(workers)
			e := trainedEngine(s)
			const perCycle = 60
			items := pendingItems(e, s, perCycle)
			placed := 0
			b.ResetTimer()
			for done := 0; done < b.N; done += perCycle {
				b.StopTimer()
				c := e.newCycle(s, items, start)
				b.StartTimer()
				for i := range items {
					c.schedule(&items[i])
				}
				placed += len(c.plan.Assignments)
			}
			b.ReportMetric(float64(placed)/float64((b.N+perCycle-1)/perCycle*perCycle), "placed/op")
		})
	}
}

// BenchmarkCycle measures a whole cycle with 75 pending tasks: half a second of starts at the design's peak of 150 per
// second.
func BenchmarkCycle(b *testing.B) {
	for _, workers := range []int{50, 200, 810} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			s := fleetSnapshot(workers)
			e := trainedEngine(s)
			items := pendingItems(e, s, 75)
			for b.Loop() {
				e.Cycle(s, items, start)
			}
		})
	}
}
