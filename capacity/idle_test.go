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

// replicasPerWork is the number of tasks of each piece of work in the measured folders.
const replicasPerWork = 20

// reading is the state of all counters at one moment, summed over the instances.
type reading struct {
	at                              time.Time
	processor                       time.Duration
	sent, table, directory, workers float64
	reads, writes                   float64
}

func (f *fleet) read(tb testing.TB) reading {
	r := reading{at: time.Now(), processor: processorTime(tb)}
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

// measureIdle reports what one instance costs a second while nothing changes.
func (f *fleet) measureIdle(b *testing.B) {
	heap := heapInUse()
	before := f.read(b)
	time.Sleep(idlePeriod)
	after := f.read(b)
	each := after.at.Sub(before.at).Seconds() * float64(len(f.nodes))
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(100*(after.processor-before.processor).Seconds()/each, "%core")
	b.ReportMetric(heap/float64(len(f.nodes))/1e6, "heap-MB")
	b.ReportMetric(resident()/float64(len(f.nodes))/1e6, "resident-MB")
	b.ReportMetric((after.sent-before.sent)/each, "peer-sent-B/s")
	b.ReportMetric((after.table-before.table)/each, "table-B/s")
	b.ReportMetric((after.directory-before.directory)/each, "directory-B/s")
	b.ReportMetric((after.workers-before.workers)/each, "workers-B/s")
	b.ReportMetric((after.reads-before.reads)/each, "reads/s")
	b.ReportMetric((after.writes-before.writes)/each, "writes/s")
}

// folder states watchers with the given number of tasks, small enough that all of them find room.
func folder(tasks int) []operator.FileEdit {
	team := "kind: team\nname: web\n"
	edits := []operator.FileEdit{{File: "team.yaml", Content: team}}
	for i := 0; i*replicasPerWork < tasks; i++ {
		edits = append(edits, operator.FileEdit{File: fmt.Sprintf("w%03d.yaml", i), Content: work(i, replicasPerWork)})
	}
	return edits
}

func work(index, replicas int) string {
	kind, command := "watcher", "watch"
	if index%8 < 3 {
		kind, command = "service", "serve"
	}
	return fmt.Sprintf("kind: %s\nname: work%03d\nteam: web\nurgency: normal\nreplicas: %d\ncpu: 500m\nmemory: 1GiB\ncommand: [%q, \"5ms\"]\n",
		kind, index, replicas, command)
}

// run applies a folder with the given number of tasks and waits until all of them are assigned.
func (f *fleet) run(tb testing.TB, tasks int) {
	if tasks == 0 {
		return
	}
	f.nodes[0].apply(tb, folder(tasks))
	f.await(tb, fmt.Sprintf("%d tasks run", tasks), func() bool { return f.running(tb) >= tasks })
	// The next full reports and renewals belong to the steady state; the starts do not.
	time.Sleep(5 * time.Second)
}

// BenchmarkInstances measures a steady instance against the number of instances, with 24 workers and no tasks.
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

// BenchmarkTasks measures one instance that owns 50 workers and holds the coordinator duty.
func BenchmarkTasks(b *testing.B) {
	for _, tasks := range []int{100, 300, 600} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			f := startFleet(b, 1, 50)
			f.run(b, tasks)
			f.measureIdle(b)
		})
	}
}

// BenchmarkShare measures one instance that owns the share of one of 44, 22 and 9 instances of the design size, and
// coordinates the tasks of that share.
func BenchmarkShare(b *testing.B) {
	for _, share := range []struct{ workers, tasks int }{{18, 211}, {37, 423}, {90, 1_033}} {
		b.Run(fmt.Sprintf("workers=%d/tasks=%d", share.workers, share.tasks), func(b *testing.B) {
			f := startFleet(b, 1, share.workers)
			f.run(b, share.tasks)
			f.measureIdle(b)
		})
	}
}

// running counts the tasks that the table records as assigned.
func (f *fleet) running(tb testing.TB) int {
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
