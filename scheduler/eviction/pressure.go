package eviction

import (
	"slices"
	"time"

	"bronzehook/api"
)

// Pressure is the state of one worker: whether its latency-critical tasks are slowed down. Short changes of the
// slowdown do not change the state.
type Pressure struct {
	// Active is set while the pressure on the worker has to be relieved.
	Active bool
	// MayLiftThrottles is set while throttles may be lifted.
	MayLiftThrottles bool
	// contradictedSince is the time since which all reports contradict Active; zero if the last report agrees.
	contradictedSince time.Time
	// lowSince is the time of the last report above LowSlowdown, or of the first report if none was above.
	lowSince time.Time
}

// PressureTracker tracks the pressure of each worker. It must be used by one goroutine only.
type PressureTracker struct {
	opts    Options
	workers map[api.WorkerID]Pressure
}

// NewPressureTracker returns a tracker without reports.
func NewPressureTracker(opts Options) *PressureTracker {
	return &PressureTracker{opts: opts, workers: map[api.WorkerID]Pressure{}}
}

// Observe updates the pressure of a worker with the largest slowdown of its latency-critical tasks in a report, 0 if it
// runs none. High load alone is no pressure: batch tasks that slow down no latency-critical task are left alone.
func (t *PressureTracker) Observe(worker api.WorkerID, slowdown float64, now time.Time) {
	p := t.workers[worker]
	high := slowdown >= t.opts.HighSlowdown
	low := slowdown <= t.opts.LowSlowdown
	contradicts := (p.Active && low) || (!p.Active && high)
	switch {
	case !contradicts:
		p.contradictedSince = time.Time{}
	case p.contradictedSince.IsZero():
		p.contradictedSince = now
	}
	if contradicts && (!t.opts.Hysteresis || now.Sub(p.contradictedSince) >= t.opts.StabilizationPeriod) {
		p.Active = !p.Active
		p.contradictedSince = time.Time{}
	}
	if !low || p.lowSince.IsZero() {
		p.lowSince = now
	}
	p.MayLiftThrottles = low && now.Sub(p.lowSince) >= t.opts.StabilizationPeriod
	t.workers[worker] = p
}

// Pressure returns the pressure of a worker.
func (t *PressureTracker) Pressure(worker api.WorkerID) Pressure { return t.workers[worker] }

// Forget removes the state of a worker that has left the cluster.
func (t *PressureTracker) Forget(worker api.WorkerID) { delete(t.workers, worker) }

// Relieve returns the next step on a worker. It acts on one victim at a time, with StepInterval between two steps, so
// that a report can show whether the first step was sufficient. While Pressure.Calm is set, it lifts one throttle at a
// time.
func (o *Options) Relieve(p Pressure, candidates []Candidate) []Action {
	if !o.PressureRelief {
		return nil
	}
	if p.MayLiftThrottles {
		return o.liftThrottle(candidates)
	}
	if !p.Active || o.waitsForEffect(candidates) {
		return nil
	}
	victims := o.mainAggressors(candidates)
	slices.SortFunc(victims, compareVictims)
	if o.Throttle {
		for i := range victims {
			if !victims[i].Throttled {
				return []Action{{Index: victims[i].Index, Step: StepThrottle, Share: o.ThrottleShare}}
			}
		}
	}
	for i := range victims {
		if victims[i].Evictions < MaxEvictions {
			return []Action{o.nextStopStep(&victims[i])}
		}
	}
	return nil
}

// mainAggressors returns the jobs that are predicted to cause most of the pressure. Stopping the other jobs would lose
// work without relieving the pressure.
func (o *Options) mainAggressors(candidates []Candidate) []Candidate {
	largestRelief := 0.0
	for i := range candidates {
		if candidates[i].Kind == api.KindJob {
			largestRelief = max(largestRelief, candidates[i].CausedSlowdown)
		}
	}
	return slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool {
		return c.Kind != api.KindJob || c.CausedSlowdown < o.MinAggressorShare*largestRelief
	})
}

// waitsForEffect reports whether a step was issued on the worker less than StepInterval ago. After a checkpoint request
// the wait is only CheckpointWait, because the eviction follows the checkpoint.
func (o *Options) waitsForEffect(candidates []Candidate) bool {
	for i := range candidates {
		c := &candidates[i]
		wait := o.StepInterval
		if c.LastStep == StepCheckpoint {
			wait = o.CheckpointWait
		}
		if c.LastStep != StepNone && c.SinceStep < wait {
			return true
		}
	}
	return false
}

func (o *Options) liftThrottle(candidates []Candidate) []Action {
	if o.waitsForEffect(candidates) {
		return nil
	}
	for i := range candidates {
		if candidates[i].Throttled {
			return []Action{{Index: candidates[i].Index, Step: StepUnthrottle, Share: 1}}
		}
	}
	return nil
}
