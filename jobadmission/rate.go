package jobadmission

import (
	"math"
	"time"
)

const (
	// rateTimeConstant is the time over which rates are averaged. Tasks of some seconds end in groups, and shorter averages
	// follow these.
	rateTimeConstant = 10 * time.Second
	// minSaturated is the time for which a queue has to be saturated before its rates are used, so that a burst that is over
	// after a few seconds changes nothing.
	minSaturated = 6 * time.Second
	// maxUnsaturated is the time without saturation after which the rates are forgotten.
	maxUnsaturated = 3 * time.Second
	// minLateShare is the least share of a queue's rate that deferred jobs are taken to get, so that the expected wait of a
	// few of them stays finite.
	minLateShare = 0.05
)

// Meter measures at which rate the work of a queue ends while the queue is saturated, that is, while some of its work
// waits for capacity. At other times the rate follows from the demand and shows nothing about the capacity. The zero value
// has no measurements.
type Meter struct {
	rate, lateRate         float64
	saturated, unsaturated time.Duration
}

// Observe adds what ended in an interval, in core-seconds: all work, and that of jobs which had been deferred or were late.
func (m *Meter) Observe(ended, late float64, interval time.Duration, saturated bool) {
	if interval <= 0 {
		return
	}
	if !saturated {
		m.unsaturated += interval
		if m.unsaturated >= maxUnsaturated {
			*m = Meter{}
		}
		return
	}
	m.unsaturated = 0
	m.saturated += interval
	// The first measurements are averaged evenly. Deferred jobs are taken to get everything at first, so that the first
	// seconds of a backlog refuse nothing.
	exponential := 1 - math.Exp(-interval.Seconds()/rateTimeConstant.Seconds())
	weight := max(exponential, interval.Seconds()/m.saturated.Seconds())
	m.rate += weight * (ended/interval.Seconds() - m.rate)
	if m.saturated < minSaturated {
		m.lateRate = m.rate
		return
	}
	m.lateRate += exponential * (late/interval.Seconds() - m.lateRate)
}

// Rate returns the measured rate in core-seconds per second; 0 if it is not known.
func (m *Meter) Rate() float64 {
	if m.saturated < minSaturated {
		return 0
	}
	return m.rate
}

// LateRate returns the part of the rate that deferred and late jobs get; 0 if it is not known.
func (m *Meter) LateRate() float64 {
	if m.saturated < minSaturated {
		return 0
	}
	return min(m.rate, max(m.lateRate, minLateShare*m.rate))
}
