// Package jobadmission decides at submission whether a job can still earn anything. The leader publishes a forecast for each
// queue with its counts of pending jobs; every instance decides by its copy of it. Nothing here does I/O.
package jobadmission

import (
	"fmt"
	"math"
	"time"

	"bronzehook/fault"
	"bronzehook/jobs"
	"bronzehook/placement"
)

const (
	// MaxForecastAge is the age from which on a forecast is not used. The leader writes one every 0.5 s.
	MaxForecastAge = 2500 * time.Millisecond
	// errorMargin is the factor by which the expected wait has to exceed the time that a job has. Callers' estimates and the
	// measured rates are wrong by about a third, and a job that is refused wrongly earns nothing.
	errorMargin = 1.4
	// minRetryAfter and maxRetryAfter bound the mean delay after which a refused job may be submitted again. A forecast of
	// minutes assumes that callers do not change their rates, so that it is not passed on.
	minRetryAfter = 2 * time.Second
	maxRetryAfter = 20 * time.Second
	// retrySpread is the range of the random factor of Retry-After, as a share of its mean, to either side.
	retrySpread = 0.5
)

// Forecast holds what the leader expects of each queue with a backlog that it cannot serve in time.
type Forecast struct {
	// Written is the wall-clock time of the forecast.
	Written time.Time
	Queues  map[string]jobs.QueueForecast
}

// Fresh reports whether the forecast is recent enough for decisions. The wall clocks of instances may differ.
func (f *Forecast) Fresh(now time.Time) bool {
	return f != nil && now.Sub(f.Written).Abs() < MaxForecastAge
}

// Reason is why a job is accepted or refused.
type Reason string

// Reasons of decisions.
const (
	// ReasonExempt means that the job has due times or long-running tasks, or no estimates.
	ReasonExempt Reason = "exempt"
	// ReasonNoForecast means that there is no fresh forecast, ReasonNoBacklog that the queue has no backlog in it.
	ReasonNoForecast Reason = "no-forecast"
	ReasonNoBacklog  Reason = "no-backlog"
	// ReasonInTime and ReasonLate mean that the job is expected to end within its objective, or later but not worthless.
	ReasonInTime Reason = "in-time"
	ReasonLate   Reason = "late"
	// ReasonWorthless means that the job is expected to end after its late deadline.
	ReasonWorthless Reason = "worthless"
)

// Job is what a decision depends on.
type Job struct {
	Queue string
	// Exempt is set for jobs that are not refused.
	Exempt bool
	// Path is the estimated duration of the job's critical path.
	Path time.Duration
	// Objective is the time from submission within which the job earns in full.
	Objective time.Duration
}

// NewJob returns what decisions on a submission depend on. The objective follows from the queue policy in it.
func NewJob(spec *jobs.Spec) Job {
	policy := &spec.QueuePolicy
	job := Job{
		Queue: spec.Queue, Path: placement.CriticalPath(spec, func(int) bool { return true }),
		Objective: placement.Objective(spec, policy.Stretch, policy.LatencyTarget),
	}
	job.Exempt = spec.Scheduled() || spec.HasLongRunning() || job.Path <= 0 || job.Objective <= 0
	return job
}

// Decision is the decision on a job.
type Decision struct {
	Admit  bool
	Reason Reason
	// Wait is the expected time until the job gets its last capacity.
	Wait time.Duration
	// RetryAfter is the mean delay after which a refused job may be submitted again; see Spread.
	RetryAfter time.Duration
}

// Decide decides on a job that is submitted now. It refuses only those that would earn nothing, by a forecast that is fresh.
func Decide(job Job, forecast *Forecast, now time.Time) Decision {
	switch {
	case job.Exempt:
		return Decision{Admit: true, Reason: ReasonExempt}
	case !forecast.Fresh(now):
		return Decision{Admit: true, Reason: ReasonNoForecast}
	}
	q, ok := forecast.Queues[job.Queue]
	if !ok || q.Rate <= 0 || q.LateRate <= 0 {
		return Decision{Admit: true, Reason: ReasonNoBacklog}
	}
	// A job that fits behind the work that is to end in time is served with it. Any other one waits for the capacity that
	// this work leaves, together with the jobs that have been deferred.
	wait := seconds(q.InTime / q.Rate)
	if wait+job.Path <= job.Objective {
		return Decision{Admit: true, Reason: ReasonInTime, Wait: wait}
	}
	wait += seconds(q.Deferred / q.LateRate)
	available := time.Duration(placement.LateFactor*float64(job.Objective)) - job.Path
	if float64(wait) <= errorMargin*float64(max(0, available)) {
		return Decision{Admit: true, Reason: ReasonLate, Wait: wait}
	}
	return Decision{Reason: ReasonWorthless, Wait: wait, RetryAfter: min(max(wait-available, minRetryAfter), maxRetryAfter)}
}

// maxForecastWait bounds expected waits, so that they fit into a time.Duration.
const maxForecastWait = time.Hour

// seconds returns a duration of at most maxForecastWait.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxForecastWait.Seconds()) * float64(time.Second))
}

// Spread returns a delay in whole seconds around a mean. The parameter random is in [0, 1). Callers that were refused at the same
// time would otherwise return at the same time.
func Spread(mean time.Duration, random float64) time.Duration {
	factor := 1 - retrySpread + 2*retrySpread*random
	return time.Duration(math.Ceil(mean.Seconds()*factor)) * time.Second
}

// RefusedError reports a job that was refused because it would earn nothing. The job is not stored.
type RefusedError struct {
	Queue string
	// Wait is the expected wait, RetryAfter the delay after which the job may be submitted again.
	Wait       time.Duration
	RetryAfter time.Duration
}

// Error names the queue and the expected wait.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("queue %s: the job would end after its late deadline, expected wait %s", e.Queue, e.Wait.Round(time.Millisecond))
}

// Code implements fault.Coded.
func (*RefusedError) Code() fault.Code { return fault.CodeInfeasible }

// RetryDelay returns the delay after which the job may be submitted again.
func (e *RefusedError) RetryDelay() time.Duration { return e.RetryAfter }
