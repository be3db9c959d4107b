// Package limit holds an adaptive concurrency limit for one endpoint. The limit falls when the latency rises above the
// endpoint's own baseline and grows by a small allowance while it is in use.
package limit

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// windowSamples is the number of answers averaged before the limit changes; a single slow answer is no signal.
	windowSamples = 16
	// tolerance is the factor by which the latency may exceed the baseline before the limit falls.
	tolerance = 1.5
	// smoothing is the weight of a new estimate; without it the limit oscillates with the queue that it controls.
	smoothing = 0.3
	// baselineDrift is the growth of the baseline per window, so that lasting slower service becomes the new baseline.
	baselineDrift = 0.01
	// allowance is the number of requests by which the limit may grow in one window.
	allowance = 1.0
	// dropFactor is the multiplicative decrease after a failure that signals overload.
	dropFactor = 0.7
)

// Bounds limits the limit. Max is the smaller of the worker's slots and connections.
type Bounds struct {
	Min int
	Max int
}

// BoundsOf returns the bounds for a worker with the given slots and connections.
func BoundsOf(slots, connections int) Bounds {
	return Bounds{Min: 1, Max: max(1, min(slots, connections))}
}

// Sample is one finished request.
type Sample struct {
	Latency time.Duration
	// InFlight is the number of requests that were open when this one began.
	InFlight int
	// Dropped is set if the endpoint refused or timed out, which signals overload whatever the latency.
	Dropped bool
}

// State is the pure state of a limit.
type State struct {
	Bounds   Bounds
	Limit    float64
	Baseline time.Duration

	sum     time.Duration
	count   int
	maxOpen int
}

// NewState returns a state that starts at the upper bound, because an idle worker's slots are known to be free.
func NewState(bounds Bounds) State {
	return State{Bounds: bounds, Limit: float64(bounds.Max)}
}

// Next returns the state after a sample.
func (s State) Next(sample Sample) State {
	if sample.Dropped {
		s.Limit = s.clamp(s.Limit * dropFactor)
		return s
	}
	s.sum += sample.Latency
	s.count++
	s.maxOpen = max(s.maxOpen, sample.InFlight)
	if s.count < windowSamples {
		return s
	}
	return s.closeWindow()
}

func (s State) closeWindow() State {
	average := s.sum / time.Duration(s.count)
	open := s.maxOpen
	s.sum, s.count, s.maxOpen = 0, 0, 0
	s.Baseline = nextBaseline(s.Baseline, average)
	gradient := min(1, max(0.5, tolerance*float64(s.Baseline)/float64(max(average, 1))))
	target := s.Limit * gradient
	if float64(open) >= s.Limit/2 {
		target += allowance
	}
	s.Limit = s.clamp(s.Limit + smoothing*(target-s.Limit))
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

// New returns a limiter within the bounds.
func New(bounds Bounds) *Limiter {
	l := &Limiter{state: NewState(bounds)}
	l.publish()
	return l
}

// Observe takes a finished request into account.
func (l *Limiter) Observe(sample Sample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = l.state.Next(sample)
	l.publish()
}

// SetBounds applies changed slots or connections of the worker.
func (l *Limiter) SetBounds(bounds Bounds) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Bounds = bounds
	l.state.Limit = l.state.clamp(l.state.Limit)
	l.publish()
}

// Limit returns the number of requests that may be open.
func (l *Limiter) Limit() int { return int(l.limit.Load()) }

func (l *Limiter) publish() { l.limit.Store(int64(math.Round(l.state.Limit))) }
