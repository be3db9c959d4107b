package eviction

import (
	"slices"
	"time"

	"bronzehook/api"
)

// Pressure is the state of one worker: whether its latency-critical tasks suffer, held against noise.
type Pressure struct {
	// Active is set while the worker has to be relieved.
	Active bool
	// Calm is set while throttles may be lifted.
	Calm bool
	// crossing is when the reports began to contradict the state; zero if they agree.
	crossing time.Time
	// calmSince is when the reports were last above a lower limit.
	calmSince time.Time
}

// Tracker keeps the pressure of each worker. It is owned by one goroutine.
type Tracker struct {
	opts    Options
	workers map[api.WorkerID]Pressure
}

// NewTracker returns a tracker that has seen no reports.
func NewTracker(opts Options) *Tracker {
	return &Tracker{opts: opts, workers: map[api.WorkerID]Pressure{}}
}

// Observe takes the worst slowdown of the latency-critical tasks in a report of a worker, 0 if it runs none. The load
// counts only through the slowdown: a worker that is full of batch work without harm stays as it is.
func (t *Tracker) Observe(worker api.WorkerID, slowdown float64, now time.Time) {
	p := t.workers[worker]
	high := slowdown >= t.opts.HighSlowdown
	low := slowdown <= t.opts.LowSlowdown
	contradicts := (p.Active && low) || (!p.Active && high)
	switch {
	case !contradicts:
		p.crossing = time.Time{}
	case p.crossing.IsZero():
		p.crossing = now
	}
	if contradicts && (!t.opts.Hysteresis || now.Sub(p.crossing) >= t.opts.HoldFor) {
		p.Active = !p.Active
		p.crossing = time.Time{}
	}
	if !low || p.calmSince.IsZero() {
		p.calmSince = now
	}
	p.Calm = low && now.Sub(p.calmSince) >= t.opts.HoldFor
	t.workers[worker] = p
}

// Of returns the pressure of a worker.
func (t *Tracker) Of(worker api.WorkerID) Pressure { return t.workers[worker] }

// Forget drops a worker that has left.
func (t *Tracker) Forget(worker api.WorkerID) { delete(t.workers, worker) }

// Relieve returns the next step on a worker: one victim at a time, with StepInterval between two steps, so that a report
// can show whether the first was enough. A worker that is calm again gets one throttle lifted at a time.
func (o *Options) Relieve(p Pressure, all []Candidate) []Action {
	if !o.ForPressure {
		return nil
	}
	if p.Calm {
		return o.lift(all)
	}
	if !p.Active || o.recent(all) {
		return nil
	}
	victims := o.culprits(all)
	slices.SortFunc(victims, order)
	if o.Throttle {
		for i := range victims {
			if !victims[i].Throttled {
				return []Action{{Index: victims[i].Index, Step: StepThrottle, Share: o.ThrottleShare}}
			}
		}
	}
	for i := range victims {
		if victims[i].Evictions < MaxEvictions {
			return []Action{o.stop(&victims[i])}
		}
	}
	return nil
}

// culprits returns the jobs that are predicted to cause most of the pressure. Stopping the others would cost work and
// help nobody.
func (o *Options) culprits(all []Candidate) []Candidate {
	largest := 0.0
	for i := range all {
		if all[i].Kind == api.KindJob {
			largest = max(largest, all[i].Relief)
		}
	}
	return slices.DeleteFunc(slices.Clone(all), func(c Candidate) bool {
		return c.Kind != api.KindJob || c.Relief < o.CulpritShare*largest
	})
}

// recent reports whether a step was taken on the worker less than StepInterval ago. A checkpoint that was asked for is
// followed by the eviction without that wait.
func (o *Options) recent(all []Candidate) bool {
	for i := range all {
		c := &all[i]
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

func (o *Options) lift(all []Candidate) []Action {
	if o.recent(all) {
		return nil
	}
	for i := range all {
		if all[i].Throttled {
			return []Action{{Index: all[i].Index, Step: StepLift, Share: 1}}
		}
	}
	return nil
}
