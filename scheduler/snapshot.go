// Package scheduler joins the policies about tasks in one cycle: which pending tasks start where, which running tasks
// give way, and why the rest has to wait. A cycle is a pure function of a snapshot, the pending tasks, the time and what
// the models have learned; the plan is checked again by the owner of each worker's rack.
package scheduler

import (
	"time"

	"bronzehook/api"
	"bronzehook/scheduler/eviction"
	"bronzehook/scheduler/quarantine"
)

// Snapshot is the state that a cycle decides on. It is not changed after it was handed over.
type Snapshot struct {
	// Revision grows with every snapshot; together with the seed it fixes the random choices of a cycle.
	Revision uint64
	Workers  []Worker
	// Tasks holds every task that is assigned to a worker and has not ended, whether or not it has started yet.
	Tasks []Task
	Specs map[string]api.Spec
	Teams map[string]api.Team
}

// Worker is a worker as the coordinator knows it.
type Worker struct {
	api.Worker
	// Reserved is what the owner of the rack reports as reserved. A cycle counts the larger of this and the sum over Tasks.
	Reserved api.Resources
	// Drained is set while operators keep tasks away.
	Drained bool
	// Unreachable is set while the owner of the rack cannot reach the worker.
	Unreachable bool
	Quarantine  quarantine.State
	Pressure    eviction.Pressure
}

// Task is an assigned task: what is wanted, what was seen, and which step was ordered last.
type Task struct {
	api.Task
	Seen api.SeenState
	// Started is when the attempt was assigned.
	Started time.Time
	// Progress is the part of the work that is done.
	Progress float64
	// Measured is set if Used comes from a report about this attempt; otherwise its use is estimated.
	Measured bool
	Used     api.Resources
	// Slowdown is the last reported one; 0 if unknown.
	Slowdown float64
	// CheckpointAt is when the last checkpoint was made; zero if there is none.
	CheckpointAt time.Time
	// Step is the last step that was ordered, at StepAt.
	Step   eviction.Step
	StepAt time.Time
}

// throttled reports whether the task runs with a limit.
func (t *Task) throttled() bool {
	return t.Seen == api.SeenThrottled || t.Step == eviction.StepThrottle
}

// larger returns the larger of each component.
func larger(a, b api.Resources) api.Resources {
	return api.Resources{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryMB:     max(a.MemoryMB, b.MemoryMB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
