// Package outlier ejects failing endpoints and reintroduces them gradually. After an ejection one request is admitted as
// a probe; if it succeeds, the weight of the endpoint rises linearly to 1 over the ramp time.
package outlier

import (
	"sync"
	"time"
)

// Config holds the thresholds of a Detector.
type Config struct {
	// ConsecutiveConnectionFailures is the number of consecutive connection failures that ejects the endpoint.
	ConsecutiveConnectionFailures int
	// FailureRate is the fraction of failed requests that ejects the endpoint if at least MinRequests ended within Window.
	FailureRate float64
	MinRequests int
	Window      time.Duration
	// BaseEjection is the first ejection time; it doubles with each further ejection up to MaxEjection.
	BaseEjection time.Duration
	MaxEjection  time.Duration
	// ProbeTimeout is the time after which another probe is admitted if the result of a probe was not recorded.
	ProbeTimeout time.Duration
	// Ramp is the time from a successful probe to full weight.
	Ramp time.Duration
	// RampStart is the weight right after a successful probe.
	RampStart float64
}

// DefaultConfig returns the thresholds used in production. A single connection failure ejects the endpoint, because a
// crashed worker refuses every connection and each further attempt would cost a caller a retry.
func DefaultConfig() Config {
	return Config{
		ConsecutiveConnectionFailures: 1,
		FailureRate:                   0.5,
		MinRequests:                   20,
		Window:                        10 * time.Second,
		BaseEjection:                  time.Second,
		MaxEjection:                   30 * time.Second,
		ProbeTimeout:                  60 * time.Second,
		Ramp:                          10 * time.Second,
		RampStart:                     0.1,
	}
}

// Result is the result of a request as a signal of the endpoint's health.
type Result uint8

// The results.
const (
	// Success is a complete response.
	Success Result = iota
	// Failed is a request that was sent and got no complete response.
	Failed
	// ConnectionFailed is a connection that could not be opened, or an owner that could not be reached or did not reply.
	ConnectionFailed
	// Neutral says nothing about the endpoint's health; it only ends a probe.
	Neutral
)

type state uint8

const (
	healthy state = iota
	ejected
	ramping
)

// Detector tracks the health of one endpoint. It is safe for concurrent use.
type Detector struct {
	config Config

	mu                 sync.Mutex
	state              state
	rampStartedAt      time.Time
	ejectedUntil       time.Time
	probePending       bool
	probeExpiry        time.Time
	connectionFailures int // consecutive
	ejections          int
	windowStart        time.Time
	requests           int // since windowStart
	failures           int // since windowStart
}

// New returns the detector of a healthy endpoint.
func New(config Config) *Detector { return &Detector{config: config} }

// Weight returns the endpoint's share of requests, from 0 (none) to 1 (full share). It is 0 during the ejection time, then
// RampStart until a probe is admitted, and 0 again while the probe is in flight.
func (d *Detector) Weight(now time.Time) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch d.state {
	case ejected:
		if now.Before(d.ejectedUntil) || d.probeInFlight(now) {
			return 0
		}
		return d.config.RampStart
	case ramping:
		return d.rampWeight(now)
	default:
		return 1
	}
}

func (d *Detector) rampWeight(now time.Time) float64 {
	progress := float64(now.Sub(d.rampStartedAt)) / float64(d.config.Ramp)
	if progress >= 1 {
		return 1
	}
	return d.config.RampStart + (1-d.config.RampStart)*max(0, progress)
}

func (d *Detector) probeInFlight(now time.Time) bool {
	return d.probePending && now.Before(d.probeExpiry)
}

// TryAdmit reports whether a request may be sent to the endpoint now. After the ejection time it admits one request as a
// probe and no other while the probe is in flight.
func (d *Detector) TryAdmit(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.state != ejected {
		return true
	}
	if now.Before(d.ejectedUntil) || d.probeInFlight(now) {
		return false
	}
	d.probePending = true
	d.probeExpiry = now.Add(d.config.ProbeTimeout)
	return true
}

// Record updates the health with the result of a request.
func (d *Detector) Record(now time.Time, result Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.state == ejected {
		d.recordProbe(now, result)
		return
	}
	if d.state == ramping && now.Sub(d.rampStartedAt) >= d.config.Ramp {
		d.state, d.ejections = healthy, 0
	}
	d.countResult(now, result)
	if d.shouldEject(result) {
		d.eject(now)
	}
}

// recordProbe handles a result during an ejection. If no probe is pending, the request was sent before the ejection and
// its result is ignored.
func (d *Detector) recordProbe(now time.Time, result Result) {
	if !d.probePending {
		return
	}
	d.probePending = false
	switch result {
	case Success:
		d.state, d.rampStartedAt = ramping, now
		d.connectionFailures, d.requests, d.failures, d.windowStart = 0, 0, 0, now
	case Failed, ConnectionFailed:
		d.eject(now)
	}
}

func (d *Detector) countResult(now time.Time, result Result) {
	if now.Sub(d.windowStart) >= d.config.Window {
		d.windowStart, d.requests, d.failures = now, 0, 0
	}
	switch result {
	case Success:
		d.requests++
		d.connectionFailures = 0
	case Failed:
		d.requests++
		d.failures++
	case ConnectionFailed:
		d.requests++
		d.failures++
		d.connectionFailures++
	}
}

func (d *Detector) shouldEject(result Result) bool {
	if result == Success || result == Neutral {
		return false
	}
	if d.connectionFailures >= d.config.ConsecutiveConnectionFailures {
		return true
	}
	return d.requests >= d.config.MinRequests && float64(d.failures) >= d.config.FailureRate*float64(d.requests)
}

func (d *Detector) eject(now time.Time) {
	d.state = ejected
	d.probePending = false
	d.ejectedUntil = now.Add(d.ejectionDuration())
	d.ejections++
	d.connectionFailures, d.requests, d.failures = 0, 0, 0
}

func (d *Detector) ejectionDuration() time.Duration {
	duration := d.config.BaseEjection
	for range d.ejections {
		duration = min(2*duration, d.config.MaxEjection)
	}
	return duration
}
