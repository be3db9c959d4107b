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
	"bronzehook/backend/fake"
	"bronzehook/config/rollout"
	"bronzehook/coordinator"
	"bronzehook/routing"
	"bronzehook/routing/outlier"
	"bronzehook/runner"
	"bronzehook/scheduler"
)

// fleetSizes are fleets with the design's number of tasks per worker. The largest is the design size: 9,300 tasks on
// 810 workers, 3,500 of them endpoints.
var fleetSizes = []struct{ workers, tasks, endpoints int }{{50, 600, 216}, {200, 2_300, 864}, {810, 9_300, 3_500}}

const selfID = api.InstanceID("i00")

// manualLoop replaces the event loop. The benchmark itself executes the posted functions and the periodic cycle.
type manualLoop struct {
	posted chan func()
	cycle  func()
}

func (l *manualLoop) Post(f func())                   { l.posted <- f }
func (l *manualLoop) Every(_ time.Duration, f func()) { l.cycle = f }

// singleInstance is a cluster with one instance, which owns all units.
type singleInstance struct {
	workloads *api.WorkSet
	workers   []api.Worker
}

func (c *singleInstance) UnitOwner(api.Unit) (coordinator.UnitOwner, bool) {
	return coordinator.UnitOwner{Owner: selfID, Epoch: 1}, true
}
func (c *singleInstance) ReportExpected(api.Unit) bool { return true }

func (c *singleInstance) Check(api.Unit) (api.Epoch, error) { return 1, nil }
func (c *singleInstance) Workloads() *api.WorkSet           { return c.workloads }
func (c *singleInstance) Workers() ([]api.Worker, map[api.WorkerID]bool) {
	return c.workers, nil
}
func (c *singleInstance) UnitVersion(context.Context, api.Unit, api.Epoch) (uint64, error) {
	return 1, nil
}

func (c *singleInstance) SendCommands(context.Context, api.InstanceID, runner.Orders) ([]runner.AttemptReport, error) {
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

func fleetWorkloads(tasks int) *api.WorkSet {
	workloads := &api.WorkSet{Revision: 1, Specs: map[string]api.Spec{}, Teams: map[string]api.Team{}}
	for i := range 54 {
		name := fmt.Sprintf("team%02d", i)
		workloads.Teams[name] = api.Team{Name: name}
	}
	for i := 0; i*replicasPerWorkload < tasks; i++ {
		spec := api.Spec{
			Name: fmt.Sprintf("work%03d", i), Kind: api.KindJob, Team: fmt.Sprintf("team%02d", i%54),
			Replicas: min(replicasPerWorkload, tasks-i*replicasPerWorkload), Resources: api.Resources{MilliCPU: 500, MemoryMB: 1024},
		}
		if i%8 < 3 {
			spec.Kind = api.KindService
		}
		workloads.Specs[spec.Name] = spec
	}
	return workloads
}

func fleetTasks(workloads *api.WorkSet, workers []api.Worker) []api.Task {
	var tasks []api.Task
	for _, spec := range workloads.Specs {
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

// coordinatorBench is an active coordinator with the tasks that its table holds.
type coordinatorBench struct {
	*coordinator.Coordinator
	loop    *manualLoop
	tasks   []api.Task
	cluster *singleInstance
	// throttled tells whether reportChange last reported the first task as throttled.
	throttled bool
}

func newCoordinatorBench(tb testing.TB, workers, tasks int) *coordinatorBench {
	cluster := &singleInstance{workers: fleetWorkers(workers), workloads: fleetWorkloads(tasks)}
	b := &coordinatorBench{
		cluster: cluster, loop: &manualLoop{posted: make(chan func(), 16)}, tasks: fleetTasks(cluster.workloads, cluster.workers),
	}
	clock := clockwork.NewRealClock()
	table := fake.NewPlatform(clock).Table()
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
		Self: selfID, Clock: clock, Loop: b.loop, Table: table, Cluster: cluster, Sender: cluster, Logger: zerolog.Nop(),
		Objects: fake.NewPlatform(clock).Objects(), AttemptLease: attemptLease, NewOpID: rollout.NewOpID, Audit: func(coordinator.Event) {},
		Decider: coordinator.NewEngineDecider(scheduler.DefaultOptions(), benchSeed),
	})
	if err := b.Start(context.Background()); err != nil {
		tb.Fatal(err)
	}
	return b
}

// loadRows acquires the coordinator role and reads all task rows.
func (b *coordinatorBench) loadRows() {
	b.Acquired(1)
	(<-b.loop.posted)()
}

// deliverFullReports delivers a full report of every rack, with usage, in which all attempts are running.
func (b *coordinatorBench) deliverFullReports() {
	reports := map[api.Unit]*runner.Report{}
	for _, w := range b.cluster.workers {
		unit := api.RackUnit(w.Location.DataCentre, w.Location.Rack)
		if reports[unit] == nil {
			reports[unit] = &runner.Report{From: selfID, Unit: unit, Epoch: 1, Full: true}
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

// eachLoadedCoordinator runs a benchmark for each of fleetSizes, with a coordinator that has read its tasks.
func eachLoadedCoordinator(b *testing.B, run func(b *testing.B, c *coordinatorBench)) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("workers=%d/tasks=%d", size.workers, size.tasks), func(b *testing.B) {
			c := newCoordinatorBench(b, size.workers, size.tasks)
			c.loadRows()
			run(b, c)
		})
	}
}

// BenchmarkCoordinatorCycle measures a cycle that finds a change but nothing to place. %core assumes the maximum rate
// of five cycles per second. B/op and allocs/op are the garbage of a cycle.
func BenchmarkCoordinatorCycle(b *testing.B) {
	eachLoadedCoordinator(b, func(b *testing.B, c *coordinatorBench) {
		c.deliverFullReports()
		c.loop.cycle()
		b.ReportAllocs()
		start := cpuTime(b)
		for b.Loop() {
			c.reportChange()
			c.loop.cycle()
		}
		perCycle := (cpuTime(b) - start).Seconds() / float64(b.N)
		cyclesPerSecond := float64(time.Second / coordinator.CycleInterval)
		b.ReportMetric(100*perCycle*cyclesPerSecond, "%core")
	})
}

// reportChange reports one task in a different state than the last report did.
func (b *coordinatorBench) reportChange() {
	task := b.tasks[0]
	state := api.SeenRunning
	if b.throttled = !b.throttled; b.throttled {
		state = api.SeenThrottled
	}
	b.HandleReport(runner.Report{From: selfID, Unit: task.Unit, Epoch: 1, Attempts: []runner.AttemptReport{{
		Ref: runner.Ref{Task: task.ID, Attempt: task.Attempt}, Worker: task.Worker, State: state,
	}}})
}

// BenchmarkCoordinatorIdle measures a cycle of a coordinator without reported changes. Every fifth such cycle makes
// scheduling decisions.
func BenchmarkCoordinatorIdle(b *testing.B) {
	eachLoadedCoordinator(b, func(b *testing.B, c *coordinatorBench) {
		c.deliverFullReports()
		c.loop.cycle()
		for b.Loop() {
			c.loop.cycle()
		}
	})
}

// BenchmarkCoordinatorReports measures the handling of a full report of every rack with usage. In operation, full
// reports arrive every 30 s and usage every 5 s.
func BenchmarkCoordinatorReports(b *testing.B) {
	eachLoadedCoordinator(b, func(b *testing.B, c *coordinatorBench) {
		c.loop.cycle()
		b.ReportAllocs()
		for b.Loop() {
			c.deliverFullReports()
		}
	})
}

// BenchmarkCoordinatorStart measures how long a new coordinator takes to read all task rows from a table in the same
// process, and the heap that they use.
func BenchmarkCoordinatorStart(b *testing.B) {
	for _, tasks := range []int{1_000, 5_000, 9_300} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			c := newCoordinatorBench(b, max(1, tasks*810/9_300), tasks)
			before := liveHeap()
			c.loadRows()
			c.loop.cycle()
			c.deliverFullReports()
			c.loop.cycle()
			heap := liveHeap() - before
			for b.Loop() {
				c.loadRows()
			}
			b.ReportMetric(heap/float64(tasks), "heap-B/task")
		})
	}
}

// BenchmarkRoutingView measures the rebuild of the routing snapshot, which every instance does when an endpoint
// changes, and the heap of the snapshot.
func BenchmarkRoutingView(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("workers=%d/endpoints=%d", size.workers, size.endpoints), func(b *testing.B) {
			workers := fleetWorkers(size.workers)
			before := liveHeap()
			input := routing.Input{
				Self: api.Instance{ID: selfID, Location: workers[0].Location}, Workers: map[api.WorkerID]api.Worker{},
				Endpoints: fleetEndpoints(size.endpoints, workers), Costs: routing.DefaultCosts(),
			}
			for _, w := range workers {
				input.Workers[w.ID] = w
			}
			trackers := routing.NewTrackers(outlier.DefaultConfig())
			snapshot := routing.NewSnapshot(input, trackers)
			heap := liveHeap() - before
			b.ReportAllocs()
			for b.Loop() {
				snapshot = routing.NewSnapshot(input, trackers)
			}
			b.ReportMetric(heap/float64(size.endpoints), "heap-B/endpoint")
			if !snapshot.Has("work000") {
				b.Fatal("the routing snapshot has no endpoint")
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
			Location: w.Location, Owner: selfID, Epoch: 1,
		}
	}
	return endpoints
}
