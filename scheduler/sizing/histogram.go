package sizing

import "math"

// Buckets of a histogram grow by a tenth from 1/50 to 50 times the declared amount, so a quantile is known to a tenth.
const (
	bucketCount  = 84
	bucketGrowth = 1.1
	smallest     = 0.02
)

// histogram holds weighted ratios in exponential buckets.
type histogram struct {
	weights [bucketCount]float64
	total   float64
	count   int
}

func (h *histogram) add(ratio, weight float64) {
	h.weights[bucketOf(ratio)] += weight
	h.total += weight
	h.count++
}

func (h *histogram) scale(by float64) {
	for i := range h.weights {
		h.weights[i] *= by
	}
	h.total *= by
}

// quantile returns the upper bound of the bucket that holds the quantile.
func (h *histogram) quantile(q float64) float64 {
	wanted := q * h.total
	sum := 0.0
	for i, weight := range h.weights {
		sum += weight
		if weight > 0 && sum >= wanted {
			return upperBound(i)
		}
	}
	return upperBound(bucketCount - 1)
}

func bucketOf(ratio float64) int {
	if ratio <= smallest {
		return 0
	}
	bucket := int(math.Ceil(math.Log(ratio/smallest) / math.Log(bucketGrowth)))
	return min(max(bucket, 0), bucketCount-1)
}

func upperBound(bucket int) float64 { return smallest * math.Pow(bucketGrowth, float64(bucket)) }
