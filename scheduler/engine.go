package scheduler

import (
	"time"

	"bronzehook/api"
	"bronzehook/scheduler/eviction"
	"bronzehook/scheduler/feasibility"
	"bronzehook/scheduler/interference"
	"bronzehook/scheduler/placement"
	"bronzehook/scheduler/quarantine"
	"bronzehook/scheduler/queue"
	"bronzehook/scheduler/sizing"
)

// Options are the options of all policies. Each policy can be switched off alone.
type Options struct {
	Queue        queue.Options
	Feasibility  feasibility.Options
	Placement    placement.Options
	Interference interference.Options
	Sizing       sizing.Options
	Eviction     eviction.Options
	Quarantine   quarantine.Options
}

// DefaultOptions returns the options of a production site.
func DefaultOptions() Options {
	return Options{
		Queue:        queue.DefaultOptions(),
		Feasibility:  feasibility.DefaultOptions(),
		Placement:    placement.DefaultOptions(),
		Interference: interference.DefaultOptions(),
		Sizing:       sizing.DefaultOptions(),
		Eviction:     eviction.DefaultOptions(),
		Quarantine:   quarantine.DefaultOptions(),
	}
}

// Engine is the Planner of the system. Cycle only reads the models; the Observe methods change them. Both are called by
// the goroutine that owns the control state.
type Engine struct {
	Interference *interference.Model
	Sizing       *sizing.Model
	Quarantine   *quarantine.Tracker
	Pressure     *eviction.Tracker
	opts         Options
	seed         uint64
}

var _ Planner = (*Engine)(nil)

// New returns an engine that has learned nothing.
func New(opts Options, seed uint64) *Engine {
	return &Engine{
		Interference: interference.New(opts.Interference),
		Sizing:       sizing.New(opts.Sizing),
		Quarantine:   quarantine.NewTracker(opts.Quarantine),
		Pressure:     eviction.NewTracker(opts.Eviction),
		opts:         opts,
		seed:         seed,
	}
}

// Options returns the options of the engine.
func (e *Engine) Options() Options { return e.opts }

// NewItem returns the queue's item of a pending task. Progress is the part of the work that its checkpoint holds; floor
// is the largest use of the work's running tasks.
func (e *Engine) NewItem(task api.Task, spec *api.Spec, progress float64, floor api.Resources) queue.Item {
	remaining := float64(e.Sizing.RunTime(spec)) * (1 - progress)
	return queue.Item{
		Task: task, Spec: spec,
		Size:    e.Sizing.Size(spec, floor),
		RunTime: time.Duration(remaining),
	}
}

// Report is a usage report of one worker with what the coordinator knew to run there at the moment it describes.
type Report struct {
	Worker   api.WorkerID
	Capacity api.Resources
	Used     api.Resources
	Tasks    []TaskReport
}

// TaskReport is the measured use of one task.
type TaskReport struct {
	Spec     *api.Spec
	Used     api.Resources
	Slowdown float64
	// Throttled tasks teach nothing, because their slowdown and use come from the limit.
	Throttled bool
}

// ObserveReport learns sizes, interference and pressure from a report.
func (e *Engine) ObserveReport(r *Report, now time.Time) {
	load := 0.0
	if r.Capacity.MilliCPU > 0 {
		load = float64(r.Used.MilliCPU) / float64(r.Capacity.MilliCPU)
	}
	counts := map[string]int{}
	var names []string
	worst := 0.0
	for i := range r.Tasks {
		t := &r.Tasks[i]
		if counts[t.Spec.Name] == 0 {
			names = append(names, t.Spec.Name)
		}
		counts[t.Spec.Name]++
		if t.Spec.Kind == api.KindService {
			worst = max(worst, t.Slowdown)
		}
	}
	for i := range r.Tasks {
		t := &r.Tasks[i]
		if t.Throttled {
			continue
		}
		e.Sizing.ObserveUse(t.Spec, t.Used, now)
		e.Interference.Observe(t.Spec.Name, t.Slowdown, neighboursOf(t.Spec.Name, names, counts), load)
	}
	e.Pressure.Observe(r.Worker, worst, now)
}

// neighboursOf lists the other tasks on the worker by workload, in the order of the report.
func neighboursOf(name string, names []string, counts map[string]int) []interference.Neighbour {
	neighbours := make([]interference.Neighbour, 0, len(names))
	for _, other := range names {
		count := counts[other]
		if other == name {
			count--
		}
		if count > 0 {
			neighbours = append(neighbours, interference.Neighbour{Work: other, Count: count})
		}
	}
	return neighbours
}
