package measure

import (
	"math"
	"runtime/metrics"
	"time"
)

// schedLatencyMetric is the runtime metric with the distribution of the times that goroutines spent runnable before
// they ran.
const schedLatencyMetric = "/sched/latencies:seconds"

// RunDelay measures how long goroutines of this process wait for a processor. It is not safe for concurrent use.
type RunDelay struct {
	sample   []metrics.Sample
	previous []uint64
}

// NewRunDelay returns a RunDelay whose first measurement begins now.
func NewRunDelay() *RunDelay {
	d := &RunDelay{sample: []metrics.Sample{{Name: schedLatencyMetric}}}
	d.Mean()
	return d
}

// Mean returns the mean delay since the previous call, or 0 if no goroutine has waited since then.
func (d *RunDelay) Mean() time.Duration {
	metrics.Read(d.sample)
	if d.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	histogram := d.sample[0].Value.Float64Histogram()
	mean := meanSince(histogram.Counts, d.previous, histogram.Buckets)
	d.previous = append(d.previous[:0], histogram.Counts...)
	return time.Duration(mean * float64(time.Second))
}

// meanSince returns the mean of the values added to a histogram since an earlier reading, which is empty for the first
// one. A value counts as the middle of its bucket, or as the finite bound of a bucket that is open at one end.
func meanSince(counts, previous []uint64, buckets []float64) float64 {
	sum, total := 0.0, 0.0
	for i, count := range counts {
		if i < len(previous) {
			count -= previous[i]
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
