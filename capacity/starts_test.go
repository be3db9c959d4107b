package capacity

import (
	"fmt"
	"testing"
	"time"

	"bronzehook/operator"
)

// BenchmarkStarts measures how many tasks per second the coordinator persists as pending and assigns when one
// configuration change adds all of them. The design's peak is 150 starts per second.
func BenchmarkStarts(b *testing.B) {
	for _, tasks := range []int{500, 1_000, 2_000} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			f := startFleet(b, 1, 100)
			time.Sleep(5 * time.Second)
			team := operator.FileEdit{File: "team.yaml", Content: "kind: team\nname: web\n"}
			job := operator.FileEdit{File: "job.yaml", Content: fmt.Sprintf(
				"kind: job\nname: wave\nteam: web\nurgency: high\nreplicas: %d\ncpu: 500m\nmemory: 1GiB\nrunTime: 1h\ncommand: [\"run\", \"1h\"]\n", tasks)}
			before := f.takeSample(b)
			f.nodes[0].apply(b, []operator.FileEdit{team, job})
			f.await(b, "all tasks are assigned", func() bool { return f.assignedTasks(b) >= tasks })
			after := f.takeSample(b)
			elapsed := after.at.Sub(before.at).Seconds()
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(tasks)/elapsed, "starts/s")
			b.ReportMetric((after.writes-before.writes)/elapsed, "transactions/s")
		})
	}
}
