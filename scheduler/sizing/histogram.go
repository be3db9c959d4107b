package sizing

import "math"

// The buckets of a histogram cover ratios of 1/50 to 50 to the declared amount. Each is a tenth larger than the
// previous one, so a quantile is accurate to a tenth.
const (
	bucketCount   = 84
	bucketGrowth  = 1.1
	smallestRatio = 0.02
)

// histogram is a histogram of weighted ratios with exponentially growing buckets.
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

func (h *histogram) scale(factor float64) {
	for i := range h.weights {
		h.weights[i] *= factor
	}
	h.total *= factor
}

// quantile returns the upper bound of the bucket that contains the quantile.
func (h *histogram) quantile(q float64) float64 {
	target := q * h.total
	sum := 0.0
	for i, weight := range h.weights {
		sum += weight
		if weight > 0 && sum >= target {
			return upperBound(i)
		}
	}
	return upperBound(bucketCount - 1)
}

func bucketOf(ratio float64) int {
	if ratio <= smallestRatio {
		return 0
	}
	bucket := int(math.Ceil(math.Log(ratio/smallestRatio) / math.Log(bucketGrowth)))
	return min(max(bucket, 0), bucketCount-1)
}

func upperBound(bucket int) float64 { return smallestRatio * math.Pow(bucketGrowth, float64(bucket)) }
