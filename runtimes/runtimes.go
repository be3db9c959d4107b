// Package runtimes estimates how long the tasks of a step run, from what the caller declared and from the tasks of the step
// that have ended or are under way. Callers' estimates may be far off, and a scheduler that believes them gives capacity to
// jobs that cannot end in time. How much an estimate counts against measurements follows from how far off the earlier
// estimates of the same queue were. The package does no I/O.
package runtimes

import (
	"math"
	"time"
)

const (
	// taskVariance is the variance of the logarithm of the run times of the tasks of one step: they differ by about a fifth.
	taskVariance = 0.04
	// initialVariance is that of callers' estimates while none of a queue has been compared: off by about a third.
	initialVariance = 0.1
	// minVariance keeps measurements from being ignored altogether.
	minVariance = 0.005
	// maxSamples bounds the weight of earlier steps, so that a queue's figures follow callers that change.
	maxSamples = 100
	// initialSamples is the weight of the initial variance, in steps.
	initialSamples = 4
)

// Observations sums up the run times of the tasks of one step. The zero value has none.
type Observations struct {
	count     float64
	logarithm float64
}

// Add adds the run time of a task that has ended, or the one that its progress implies.
func (o *Observations) Add(runTime time.Duration) {
	if runTime <= 0 {
		return
	}
	o.count++
	o.logarithm += math.Log(runTime.Seconds())
}

// Merge adds the run times of other observations.
func (o *Observations) Merge(other Observations) {
	o.count += other.count
	o.logarithm += other.logarithm
}

// Empty reports whether there are no run times.
func (o *Observations) Empty() bool { return o.count == 0 }

// mean returns the mean of the logarithms of the run times.
func (o *Observations) mean() float64 { return o.logarithm / o.count }

// Model holds how reliable the callers' estimates of each queue are. It is not safe for concurrent use.
type Model struct{ queues map[string]*reliability }

// NewModel returns a model without observations.
func NewModel() *Model { return &Model{queues: make(map[string]*reliability)} }

// reliability holds, of the logarithm of the ratio of measured to declared run times of a queue, the mean and the variance
// between steps. The mean contains what measuring adds to all run times.
type reliability struct {
	samples        float64
	mean, variance float64
}

func (m *Model) reliabilityOf(queue string) *reliability {
	r := m.queues[queue]
	if r == nil {
		r = &reliability{variance: initialVariance}
		m.queues[queue] = r
	}
	return r
}

// Learn compares the declared run time of a step that is done with the run times of its tasks.
func (m *Model) Learn(queue string, declared time.Duration, measured Observations) {
	if declared <= 0 || measured.Empty() {
		return
	}
	r := m.reliabilityOf(queue)
	difference := measured.mean() - math.Log(declared.Seconds())
	r.samples = min(r.samples+1, maxSamples)
	deviation := difference - r.mean
	r.mean += deviation / r.samples
	// The mean of few tasks deviates by itself; that part says nothing about the estimate.
	sample := max(0, deviation*deviation-taskVariance/measured.count)
	r.variance = max(minVariance, r.variance+(sample-r.variance)/(r.samples+initialSamples))
}

// Estimate returns the run time of the tasks of a step. It lies between the declared one and the measured ones, weighted by their
// reliability.
func (m *Model) Estimate(queue string, declared time.Duration, measured Observations) time.Duration {
	if declared <= 0 || measured.Empty() {
		return declared
	}
	r := m.reliabilityOf(queue)
	weight := r.variance / (r.variance + taskVariance/measured.count)
	difference := measured.mean() - math.Log(declared.Seconds())
	return time.Duration(float64(declared) * math.Exp(weight*difference))
}
