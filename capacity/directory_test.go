package capacity

import (
	"fmt"
	"testing"

	"bronzehook/backend/httpbackend"
)

// BenchmarkDirectory measures one read of the directory. Every instance reads it every 2 s, whatever it owns.
func BenchmarkDirectory(b *testing.B) {
	const readsPerSecond = 0.5
	for _, workers := range []int{50, 200, 810} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			var traffic meter
			directory := httpbackend.New(startFakeCluster(b, workers), traffic.client(), 0).Directory()
			b.ReportAllocs()
			start := cpuTime(b)
			for b.Loop() {
				if _, err := directory.List(b.Context()); err != nil {
					b.Fatal(err)
				}
			}
			secondsPerRead := (cpuTime(b) - start).Seconds() / float64(b.N)
			b.ReportMetric(100*secondsPerRead*readsPerSecond, "%core")
			b.ReportMetric(float64(traffic.bytes.Load())/float64(b.N)*readsPerSecond, "B/s")
		})
	}
}
