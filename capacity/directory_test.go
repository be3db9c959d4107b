package capacity

import (
	"fmt"
	"testing"

	"bronzehook/backend/httpbackend"
)

// BenchmarkDirectory measures one reading of the directory, which every instance makes every 2 s whatever it owns.
func BenchmarkDirectory(b *testing.B) {
	const readingsPerSecond = 0.5
	for _, workers := range []int{50, 200, 810} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			var bytes meter
			directory := httpbackend.New(startSite(b, workers), bytes.client(), 0).Directory()
			b.ReportAllocs()
			start := processorTime(b)
			for b.Loop() {
				if _, err := directory.List(b.Context()); err != nil {
					b.Fatal(err)
				}
			}
			each := (processorTime(b) - start).Seconds() / float64(b.N)
			b.ReportMetric(100*each*readingsPerSecond, "%core")
			b.ReportMetric(float64(bytes.bytes.Load())/float64(b.N)*readingsPerSecond, "B/s")
		})
	}
}
