// Package limit implements an adaptive concurrency limit for one endpoint. The limit falls when the latency rises above
// the endpoint's own baseline and grows in small steps while it is in use.
package limit

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// windowSamples is the number of responses averaged before the limit changes, because a single slow response is no
	// sign of overload.
	windowSamples = 16
	// latencyTolerance is the factor by which the average latency may exceed the baseline before the limit falls.
	latencyTolerance = 1.5
	// smoothingFactor is the weight of a new target limit; without smoothing the limit oscillates with the queue that it
	// controls.
	smoothingFactor = 0.3
	// baselineDrift is the relative growth of the baseline per window, so that a lasting rise of the latency becomes the
	// new baseline.
	baselineDrift = 0.01
	// targetGrowth is added to the target limit after a window in which at least half of the limit was in use.
	targetGrowth = 1.0
	// decreaseFactor multiplies the limit after a failure that signals overload.
	decreaseFactor = 0.7
)

// Bounds is the range of a limit. Max is the smaller of the worker's slots and connections.
type Bounds struct {
	Min int
	Max int
}

// BoundsOf returns the bounds for a worker with the given slots and connections.
func BoundsOf(slots, connections int) Bounds {
	return Bounds{Min: 1, Max: max(1, min(slots, connections))}
}

// Sample is the measurement of one finished request.
type Sample struct {
	Latency time.Duration
	// InFlight is the number of requests in flight when this one ended, including it.
	InFlight int
	// Dropped is set if the request was sent and got no complete response, which signals overload whatever the latency.
	Dropped bool
}

// State is the state of a limit without locking. Next returns a new State and does not change the old one.
type State struct {
	Bounds   Bounds
	Limit    float64
	Baseline time.Duration

	latencySum  time.Duration
	samples     int
	maxInFlight int
}

// NewState returns a state whose limit is the upper bound, because the slots of an idle worker are known to be free.
func NewState(bounds Bounds) State {
	return State{Bounds: bounds, Limit: float64(bounds.Max)}
}

// Next returns the state after a sample. The limit changes after a full window, or at once if the request was dropped.
func (s State) Next(sample Sample) State {
	if sample.Dropped {
		s.Limit = s.clamp(s.Limit * decreaseFactor)
		return s
	}
	s.latencySum += sample.Latency
	s.samples++
	s.maxInFlight = max(s.maxInFlight, sample.InFlight)
	if s.samples < windowSamples {
		return s
	}
	return s.endWindow()
}

// endWindow computes the limit from the samples of a full window and starts the next window.
func (s State) endWindow() State {
	average := s.latencySum / time.Duration(s.samples)
	maxInFlight := s.maxInFlight
	s.latencySum, s.samples, s.maxInFlight = 0, 0, 0
	s.Baseline = nextBaseline(s.Baseline, average)
	gradient := min(1, max(0.5, latencyTolerance*float64(s.Baseline)/float64(max(average, 1))))
	target := s.Limit * gradient
	if float64(maxInFlight) >= s.Limit/2 {
		target += targetGrowth
	}
	s.Limit = s.clamp(s.Limit + smoothingFactor*(target-s.Limit))
	return s
}

func nextBaseline(baseline, average time.Duration) time.Duration {
	if baseline == 0 || average < baseline {
		return average
	}
	return baseline + time.Duration(float64(baseline)*baselineDrift)
}

func (s State) clamp(limit float64) float64 {
	return min(float64(s.Bounds.Max), max(float64(s.Bounds.Min), limit))
}

// Limiter is a State that is safe for concurrent use.
type Limiter struct {
	mu    sync.Mutex
	state State
	limit atomic.Int64
}

// New returns a limiter that starts at the upper bound.
func New(bounds Bounds) *Limiter {
	l := &Limiter{state: NewState(bounds)}
	l.publish()
	return l
}

// Observe updates the limit with a finished request.
func (l *Limiter) Observe(sample Sample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = l.state.Next(sample)
	l.publish()
}

// SetBounds changes the bounds, for example after a change of the worker's slots or connections.
func (l *Limiter) SetBounds(bounds Bounds) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Bounds = bounds
	l.state.Limit = l.state.clamp(l.state.Limit)
	l.publish()
}

// Limit returns the number of requests that may be in flight.
func (l *Limiter) Limit() int { return int(l.limit.Load()) }

func (l *Limiter) publish() { l.limit.Store(int64(math.Round(l.state.Limit))) }
