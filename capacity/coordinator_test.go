package capacity

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"bronzehook/api"
	"bronzehook/backend"
	"bronzehook/backend/standin"
	"bronzehook/config/rollout"
	"bronzehook/coordinator"
	"bronzehook/routing"
	"bronzehook/routing/outlier"
	"bronzehook/runner"
	"bronzehook/scheduler"
)

// sizes are fleets at the density of the design: 9,300 tasks on 810 workers, 3,500 of them endpoints.
var sizes = []struct{ workers, tasks, endpoints int }{{50, 600, 216}, {200, 2_300, 864}, {810, 9_300, 3_500}}

const self = api.InstanceID("i00")

// stepLoop stands for the control goroutine; the benchmark runs what was posted.
type stepLoop struct {
	posted chan func()
	cycle  func()
}

func (l *stepLoop) Post(f func())                   { l.posted <- f }
func (l *stepLoop) Every(_ time.Duration, f func()) { l.cycle = f }

// soleOwner is a cluster whose only instance owns everything.
type soleOwner struct {
	work    *api.WorkSet
	workers []api.Worker
}

func (s *soleOwner) Claim(api.Unit) (coordinator.Claim, bool) {
	return coordinator.Claim{Owner: self, Epoch: 1}, true
}
func (s *soleOwner) ReportExpected(api.Unit) bool { return true }

func (s *soleOwner) Check(api.Unit) (api.Epoch, error) { return 1, nil }
func (s *soleOwner) Work() *api.WorkSet                { return s.work }
func (s *soleOwner) Workers() ([]api.Worker, map[api.WorkerID]bool) {
	return s.workers, nil
}
func (s *soleOwner) UnitVersion(context.Context, api.Unit, api.Epoch) (uint64, error) { return 1, nil }

func (s *soleOwner) SendOrders(context.Context, api.InstanceID, runner.Orders) ([]runner.AttemptReport, error) {
	return nil, nil
}

func fleetWorkers(count int) []api.Worker {
	workers := make([]api.Worker, count)
	for i := range workers {
		centre := i % 11
		workers[i] = api.Worker{
			ID: api.WorkerID(fmt.Sprintf("w%04d", i)), Addr: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
			Location: api.Location{
				Region: fmt.Sprintf("region%d", centre%3), DataCentre: fmt.Sprintf("dc%02d", centre), Rack: fmt.Sprintf("r%d", i/88),
			},
			Capacity: api.Resources{MilliCPU: 64_000, MemoryMB: 250_000}, Slots: 8, Connections: 64,
		}
	}
	return workers
}

func fleetWork(tasks int) *api.WorkSet {
	work := &api.WorkSet{Revision: 1, Specs: map[string]api.Spec{}, Teams: map[string]api.Team{}}
	for i := range 54 {
		name := fmt.Sprintf("team%02d", i)
		work.Teams[name] = api.Team{Name: name}
	}
	for i := 0; i*replicasPerWork < tasks; i++ {
		spec := api.Spec{
			Name: fmt.Sprintf("work%03d", i), Kind: api.KindJob, Team: fmt.Sprintf("team%02d", i%54),
			Replicas: min(replicasPerWork, tasks-i*replicasPerWork), Resources: api.Resources{MilliCPU: 500, MemoryMB: 1024},
		}
		if i%8 < 3 {
			spec.Kind = api.KindService
		}
		work.Specs[spec.Name] = spec
	}
	return work
}

func fleetTasks(work *api.WorkSet, workers []api.Worker) []api.Task {
	var tasks []api.Task
	for _, spec := range work.Specs {
		for index := range spec.Replicas {
			w := workers[len(tasks)%len(workers)]
			tasks = append(tasks, api.Task{
				ID: api.NewTaskID(spec.Name, index), Work: spec.Name, Wanted: api.WantedAssigned, Attempt: 1, Worker: w.ID, Epoch: 1,
				Resources: spec.Resources, Recorded: time.Now().UTC(), Unit: api.RackUnit(w.Location.DataCentre, w.Location.Rack),
			})
		}
	}
	return tasks
}

// bench is a coordinator that holds the duty.
type bench struct {
	*coordinator.Coordinator
	loop  *stepLoop
	tasks []api.Task
	owner *soleOwner
	// throttled is the state of the first task that change reported last.
	throttled bool
}

func newBench(tb testing.TB, workers, tasks int) *bench {
	owner := &soleOwner{workers: fleetWorkers(workers), work: fleetWork(tasks)}
	b := &bench{owner: owner, loop: &stepLoop{posted: make(chan func(), 16)}, tasks: fleetTasks(owner.work, owner.workers)}
	clock := clockwork.NewRealClock()
	table := standin.NewPlatform(clock).Table()
	for _, task := range b.tasks {
		value, err := cbor.Marshal(task)
		if err != nil {
			tb.Fatal(err)
		}
		key := "task/" + string(task.ID)
		if _, err := table.Commit(context.Background(), backend.Txn{OpID: key, Writes: []backend.Write{{Key: key, Value: value}}}); err != nil {
			tb.Fatal(err)
		}
	}
	b.Coordinator = coordinator.New(coordinator.Options{
		Self: self, Clock: clock, Loop: b.loop, Table: table, Cluster: owner, Sender: owner, Logger: zerolog.Nop(),
		Lease: taskLease, NewOpID: rollout.NewOpID, Audit: func(coordinator.Event) {},
		Decider: coordinator.NewEngineDecider(scheduler.DefaultOptions(), benchSeed),
	})
	if err := b.Start(context.Background()); err != nil {
		tb.Fatal(err)
	}
	return b
}

// load claims the duty and reads all records.
func (b *bench) load() {
	b.Claimed(1)
	(<-b.loop.posted)()
}

// report delivers a full report of every rack, in which all attempts run, with their usage.
func (b *bench) report() {
	reports := map[api.Unit]*runner.Report{}
	for _, w := range b.owner.workers {
		unit := api.RackUnit(w.Location.DataCentre, w.Location.Rack)
		if reports[unit] == nil {
			reports[unit] = &runner.Report{From: self, Unit: unit, Epoch: 1, Full: true}
		}
		reports[unit].Workers = append(reports[unit].Workers, runner.WorkerReport{Worker: w.ID, Reachable: true})
	}
	for _, task := range b.tasks {
		ref := runner.Ref{Task: task.ID, Attempt: task.Attempt}
		r := reports[task.Unit]
		r.Attempts = append(r.Attempts, runner.AttemptReport{Ref: ref, Worker: task.Worker, State: api.SeenRunning})
		r.Usage = append(r.Usage, runner.UsageReport{Ref: ref, Worker: task.Worker, Used: task.Resources, Slowdown: 1})
	}
	for _, r := range reports {
		b.HandleReport(*r)
	}
}

// BenchmarkCoordinatorCycle measures a cycle that finds a change but nothing to place. At most five run in a second,
// which %core assumes; B/op and allocs/op are what a cycle leaves to the garbage collector.
func BenchmarkCoordinatorCycle(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("workers=%d/tasks=%d", size.workers, size.tasks), func(b *testing.B) {
			c := newBench(b, size.workers, size.tasks)
			c.load()
			c.report()
			c.loop.cycle()
			b.ReportAllocs()
			start := processorTime(b)
			for b.Loop() {
				c.change()
				c.loop.cycle()
			}
			perCycle := (processorTime(b) - start).Seconds() / float64(b.N)
			cyclesPerSecond := float64(time.Second / coordinator.CycleInterval)
			b.ReportMetric(100*perCycle*cyclesPerSecond, "%core")
		})
	}
}

// change reports another state of one task than the last report did.
func (b *bench) change() {
	task := b.tasks[0]
	state := api.SeenRunning
	if b.throttled = !b.throttled; b.throttled {
		state = api.SeenThrottled
	}
	b.HandleReport(runner.Report{From: self, Unit: task.Unit, Epoch: 1, Attempts: []runner.AttemptReport{{
		Ref: runner.Ref{Task: task.ID, Attempt: task.Attempt}, Worker: task.Worker, State: state,
	}}})
}

// BenchmarkCoordinatorIdle measures a cycle of a coordinator to which no change is reported. Every fifth one decides.
func BenchmarkCoordinatorIdle(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("workers=%d/tasks=%d", size.workers, size.tasks), func(b *testing.B) {
			c := newBench(b, size.workers, size.tasks)
			c.load()
			c.report()
			c.loop.cycle()
			for b.Loop() {
				c.loop.cycle()
			}
		})
	}
}

// BenchmarkCoordinatorReports measures the taking of a full report of every rack, which comes every 30 s, with usage,
// which comes every 5 s.
func BenchmarkCoordinatorReports(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("workers=%d/tasks=%d", size.workers, size.tasks), func(b *testing.B) {
			c := newBench(b, size.workers, size.tasks)
			c.load()
			c.loop.cycle()
			b.ReportAllocs()
			for b.Loop() {
				c.report()
			}
		})
	}
}

// BenchmarkCoordinatorStart measures how long a new coordinator reads all records, with a table in the same process,
// and the heap that they take.
func BenchmarkCoordinatorStart(b *testing.B) {
	for _, tasks := range []int{1_000, 5_000, 9_300} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			c := newBench(b, max(1, tasks*810/9_300), tasks)
			before := heapInUse()
			c.load()
			c.loop.cycle()
			c.report()
			c.loop.cycle()
			heap := heapInUse() - before
			for b.Loop() {
				c.load()
			}
			b.ReportMetric(heap/float64(tasks), "heap-B/task")
		})
	}
}

// BenchmarkRoutingView measures what every instance does when an endpoint has changed, and the heap of the view.
func BenchmarkRoutingView(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("workers=%d/endpoints=%d", size.workers, size.endpoints), func(b *testing.B) {
			workers := fleetWorkers(size.workers)
			before := heapInUse()
			input := routing.Input{
				Self: api.Instance{ID: self, Location: workers[0].Location}, Workers: map[api.WorkerID]api.Worker{},
				Endpoints: fleetEndpoints(size.endpoints, workers), Costs: routing.DefaultCosts(),
			}
			for _, w := range workers {
				input.Workers[w.ID] = w
			}
			trackers := routing.NewTrackers(outlier.DefaultConfig())
			snapshot := routing.NewSnapshot(input, trackers)
			heap := heapInUse() - before
			b.ReportAllocs()
			for b.Loop() {
				snapshot = routing.NewSnapshot(input, trackers)
			}
			b.ReportMetric(heap/float64(size.endpoints), "heap-B/endpoint")
			if !snapshot.Has("work000") {
				b.Fatal("the view holds no endpoint")
			}
		})
	}
}

func fleetEndpoints(count int, workers []api.Worker) []api.Endpoint {
	endpoints := make([]api.Endpoint, count)
	for i := range endpoints {
		w := workers[i%len(workers)]
		service := fmt.Sprintf("work%03d", i%120)
		endpoints[i] = api.Endpoint{
			Service: service, Task: api.NewTaskID(service, i), Attempt: 1, Worker: w.ID, Addr: fmt.Sprintf("%s%d", w.Addr, i),
			Location: w.Location, Owner: self, Epoch: 1,
		}
	}
	return endpoints
}
