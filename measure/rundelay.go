package measure

import (
	"math"
	"runtime/metrics"
	"time"
)

// runDelayMetric is the distribution of the time that goroutines have waited for a processor after they became runnable.
const runDelayMetric = "/sched/latencies:seconds"

// RunDelay reads how long goroutines of this process wait for a processor. It is used from one goroutine.
type RunDelay struct {
	sample []metrics.Sample
	before []uint64
}

// NewRunDelay returns a reading that begins now.
func NewRunDelay() *RunDelay {
	d := &RunDelay{sample: []metrics.Sample{{Name: runDelayMetric}}}
	d.Mean()
	return d
}

// Mean returns the mean delay since the last call; 0 if no goroutine has waited.
func (d *RunDelay) Mean() time.Duration {
	metrics.Read(d.sample)
	if d.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	histogram := d.sample[0].Value.Float64Histogram()
	mean := meanOf(histogram.Counts, d.before, histogram.Buckets)
	d.before = append(d.before[:0], histogram.Counts...)
	return time.Duration(mean * float64(time.Second))
}

// meanOf returns the mean of what a histogram has gained, each value taken as the middle of its bucket.
func meanOf(counts, before []uint64, buckets []float64) float64 {
	sum, total := 0.0, 0.0
	for i, count := range counts {
		if i < len(before) {
			count -= before[i]
		}
		low, high := max(0, buckets[i]), buckets[i+1]
		if math.IsInf(high, 1) {
			high = low
		}
		sum += float64(count) * (low + high) / 2
		total += float64(count)
	}
	if total == 0 {
		return 0
	}
	return sum / total
}
