// Package outlier ejects failing endpoints and lets them return slowly: after the ejection one probe is admitted, and a
// success raises the endpoint's weight from a small share to its full share over the ramp time.
package outlier

import (
	"sync"
	"time"
)

// Config holds the thresholds of a Detector.
type Config struct {
	// ConnectionFailures in a row eject the endpoint.
	ConnectionFailures int
	// FailureRate ejects the endpoint if at least MinRequests ended within Window.
	FailureRate float64
	MinRequests int
	Window      time.Duration
	// BaseEjection is the first ejection time; it doubles with each further ejection up to MaxEjection.
	BaseEjection time.Duration
	MaxEjection  time.Duration
	// ProbeTimeout frees the probe if its result was never recorded.
	ProbeTimeout time.Duration
	// Ramp is the time from the successful probe to the full weight.
	Ramp time.Duration
	// RampStart is the weight right after the successful probe.
	RampStart float64
}

// DefaultConfig returns the thresholds used in production. One connection failure ejects, because a worker that died
// refuses every connection and each further one would cost a caller a retry.
func DefaultConfig() Config {
	return Config{
		ConnectionFailures: 1,
		FailureRate:        0.5,
		MinRequests:        20,
		Window:             10 * time.Second,
		BaseEjection:       time.Second,
		MaxEjection:        30 * time.Second,
		ProbeTimeout:       60 * time.Second,
		Ramp:               10 * time.Second,
		RampStart:          0.1,
	}
}

// Result is how a request to an endpoint ended, as far as the endpoint's health is concerned.
type Result uint8

// The results.
const (
	// Success is a whole answer.
	Success Result = iota
	// Failed is a request that was sent and got no whole answer.
	Failed
	// ConnectionFailed is a connection that could not be opened.
	ConnectionFailed
	// Neutral says nothing about the endpoint; it only ends a probe.
	Neutral
)

type phase uint8

const (
	healthy phase = iota
	ejected
	ramping
)

// Detector holds the health of one endpoint.
type Detector struct {
	config Config

	mu          sync.Mutex
	phase       phase
	since       time.Time
	until       time.Time
	probing     bool
	probeEnd    time.Time
	inRow       int
	ejections   int
	windowStart time.Time
	total       int
	failed      int
}

// New returns the detector of a healthy endpoint.
func New(config Config) *Detector { return &Detector{config: config} }

// Weight returns the endpoint's share from 0 (gets nothing) to 1 (full share). An endpoint whose ejection is over has
// weight RampStart until its probe has been claimed, and 0 while the probe runs.
func (d *Detector) Weight(now time.Time) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch d.phase {
	case ejected:
		if now.Before(d.until) || d.probeRuns(now) {
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
	part := float64(now.Sub(d.since)) / float64(d.config.Ramp)
	if part >= 1 {
		return 1
	}
	return d.config.RampStart + (1-d.config.RampStart)*max(0, part)
}

func (d *Detector) probeRuns(now time.Time) bool { return d.probing && now.Before(d.probeEnd) }

// Claim reports whether a request may go to the endpoint now. After an ejection it admits exactly one probe.
func (d *Detector) Claim(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.phase != ejected {
		return true
	}
	if now.Before(d.until) || d.probeRuns(now) {
		return false
	}
	d.probing = true
	d.probeEnd = now.Add(d.config.ProbeTimeout)
	return true
}

// Record takes the result of a request into account.
func (d *Detector) Record(now time.Time, result Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.phase == ejected {
		d.recordWhileEjected(now, result)
		return
	}
	if d.phase == ramping && now.Sub(d.since) >= d.config.Ramp {
		d.phase, d.ejections = healthy, 0
	}
	d.count(now, result)
	if d.mustEject(result) {
		d.eject(now)
	}
}

// recordWhileEjected ignores answers to requests that were sent before the ejection.
func (d *Detector) recordWhileEjected(now time.Time, result Result) {
	if !d.probing {
		return
	}
	d.probing = false
	switch result {
	case Success:
		d.phase, d.since = ramping, now
		d.inRow, d.total, d.failed, d.windowStart = 0, 0, 0, now
	case Failed, ConnectionFailed:
		d.eject(now)
	}
}

func (d *Detector) count(now time.Time, result Result) {
	if now.Sub(d.windowStart) >= d.config.Window {
		d.windowStart, d.total, d.failed = now, 0, 0
	}
	switch result {
	case Success:
		d.total++
		d.inRow = 0
	case Failed:
		d.total++
		d.failed++
	case ConnectionFailed:
		d.total++
		d.failed++
		d.inRow++
	}
}

func (d *Detector) mustEject(result Result) bool {
	if result == Success || result == Neutral {
		return false
	}
	if d.inRow >= d.config.ConnectionFailures {
		return true
	}
	return d.total >= d.config.MinRequests && float64(d.failed) >= d.config.FailureRate*float64(d.total)
}

func (d *Detector) eject(now time.Time) {
	d.phase = ejected
	d.probing = false
	d.until = now.Add(d.ejectionTime())
	d.ejections++
	d.inRow, d.total, d.failed = 0, 0, 0
}

func (d *Detector) ejectionTime() time.Duration {
	length := d.config.BaseEjection
	for range d.ejections {
		length = min(2*length, d.config.MaxEjection)
	}
	return length
}
