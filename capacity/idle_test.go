package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bronzehook/api"
	"bronzehook/backend/httpbackend"
	"bronzehook/operator"
)

// replicasPerWorkload is the number of tasks of each workload in the applied configuration.
const replicasPerWorkload = 20

// sample holds the values of all counters at one time, summed over the instances.
type sample struct {
	at                              time.Time
	cpuTime                         time.Duration
	sent, table, directory, workers float64
	reads, writes                   float64
}

// takeSample reads the current values of all counters.
func (f *fleet) takeSample(tb testing.TB) sample {
	r := sample{at: time.Now(), cpuTime: cpuTime(tb)}
	for _, n := range f.nodes {
		sent, _ := n.socket.Bytes()
		r.sent += float64(sent)
		r.table += float64(n.table.bytes.Load())
		r.directory += float64(n.directory.bytes.Load())
		r.workers += float64(n.workers.bytes.Load())
		r.reads += float64(n.reads.Load())
		r.writes += float64(n.writes.Load())
	}
	return r
}

// measureIdle reports the resource usage per second and instance while nothing changes.
func (f *fleet) measureIdle(b *testing.B) {
	heap := liveHeap()
	before := f.takeSample(b)
	time.Sleep(idlePeriod)
	after := f.takeSample(b)
	instanceSeconds := after.at.Sub(before.at).Seconds() * float64(len(f.nodes))
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(100*(after.cpuTime-before.cpuTime).Seconds()/instanceSeconds, "%core")
	b.ReportMetric(heap/float64(len(f.nodes))/1e6, "heap-MB")
	b.ReportMetric(residentMemory()/float64(len(f.nodes))/1e6, "resident-MB")
	b.ReportMetric((after.sent-before.sent)/instanceSeconds, "peer-sent-B/s")
	b.ReportMetric((after.table-before.table)/instanceSeconds, "table-B/s")
	b.ReportMetric((after.directory-before.directory)/instanceSeconds, "directory-B/s")
	b.ReportMetric((after.workers-before.workers)/instanceSeconds, "workers-B/s")
	b.ReportMetric((after.reads-before.reads)/instanceSeconds, "reads/s")
	b.ReportMetric((after.writes-before.writes)/instanceSeconds, "writes/s")
}

// configFiles returns the files of a configuration with the given number of service and watcher tasks, which are small
// enough to fit on the workers.
func configFiles(tasks int) []operator.FileEdit {
	team := "kind: team\nname: web\n"
	edits := []operator.FileEdit{{File: "team.yaml", Content: team}}
	for i := 0; i*replicasPerWorkload < tasks; i++ {
		edits = append(edits, operator.FileEdit{File: fmt.Sprintf("w%03d.yaml", i), Content: workloadFile(i, replicasPerWorkload)})
	}
	return edits
}

func workloadFile(index, replicas int) string {
	kind, command := "watcher", "watch"
	if index%8 < 3 {
		kind, command = "service", "serve"
	}
	return fmt.Sprintf("kind: %s\nname: work%03d\nteam: web\nurgency: normal\nreplicas: %d\ncpu: 500m\nmemory: 1GiB\ncommand: [%q, \"5ms\"]\n",
		kind, index, replicas, command)
}

// runTasks applies a configuration with the given number of tasks and waits until all of them are assigned.
func (f *fleet) runTasks(tb testing.TB, tasks int) {
	if tasks == 0 {
		return
	}
	f.nodes[0].apply(tb, configFiles(tasks))
	f.await(tb, fmt.Sprintf("%d tasks are assigned", tasks), func() bool { return f.assignedTasks(tb) >= tasks })
	// Wait until the starts are over, so that only the reports and renewals of the steady state are measured.
	time.Sleep(5 * time.Second)
}

// BenchmarkInstances measures the usage of an idle instance at several numbers of instances, with 24 workers and no
// tasks.
func BenchmarkInstances(b *testing.B) {
	for _, instances := range []int{3, 6, 9, 16, 22} {
		b.Run(fmt.Sprintf("instances=%d", instances), func(b *testing.B) {
			f := startFleet(b, instances, 24)
			time.Sleep(5 * time.Second)
			f.measureIdle(b)
		})
	}
}

// BenchmarkWorkers measures one instance that owns all workers, without tasks.
func BenchmarkWorkers(b *testing.B) {
	for _, workers := range []int{10, 50, 100, 810} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			f := startFleet(b, 1, workers)
			time.Sleep(5 * time.Second)
			f.measureIdle(b)
		})
	}
}

// BenchmarkTasks measures one instance that owns 50 workers and has the coordinator role.
func BenchmarkTasks(b *testing.B) {
	for _, tasks := range []int{100, 300, 600} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			f := startFleet(b, 1, 50)
			f.runTasks(b, tasks)
			f.measureIdle(b)
		})
	}
}

// BenchmarkShare measures one instance that owns and coordinates 1/44, 1/22 or 1/9 of the workers and tasks of the
// design size, as in fleets of 44, 22 and 9 instances.
func BenchmarkShare(b *testing.B) {
	for _, share := range []struct{ workers, tasks int }{{18, 211}, {37, 423}, {90, 1_033}} {
		b.Run(fmt.Sprintf("workers=%d/tasks=%d", share.workers, share.tasks), func(b *testing.B) {
			f := startFleet(b, 1, share.workers)
			f.runTasks(b, share.tasks)
			f.measureIdle(b)
		})
	}
}

// assignedTasks returns the number of tasks that are assigned according to the table.
func (f *fleet) assignedTasks(tb testing.TB) int {
	rows, err := httpbackend.New(f.url, f.observer, 0).Table().List(tb.Context(), "task/")
	if err != nil {
		tb.Fatal(err)
	}
	assigned := 0
	for _, row := range rows {
		var task api.Task
		if err := cbor.Unmarshal(row.Value, &task); err != nil {
			tb.Fatal(err)
		}
		if task.Wanted == api.WantedAssigned {
			assigned++
		}
	}
	return assigned
}
