// Package scheduler combines the scheduling policies in a scheduling cycle: which pending tasks start on which worker,
// which running tasks are preempted or throttled, and why the remaining tasks wait. A cycle is a pure function of a
// snapshot, the pending tasks, the time and the state of the models. The owner of each worker's rack validates the plan
// again.
package scheduler

import (
	"time"

	"bronzehook/api"
	"bronzehook/scheduler/eviction"
	"bronzehook/scheduler/quarantine"
)

// Snapshot is the input state of a scheduling cycle. It must not be modified during the cycle.
type Snapshot struct {
	// Revision increases with every snapshot; together with the seed it determines the random choices of a cycle.
	Revision uint64
	Workers  []Worker
	// Tasks holds every task that is assigned to a worker and has not ended, whether or not it has started yet.
	Tasks []Task
	Specs map[string]api.Spec
	Teams map[string]api.Team
}

// Worker is the coordinator's view of a worker.
type Worker struct {
	api.Worker
	// Reserved is the reservation that the owner of the rack reports. A cycle uses the larger of it and the sum over
	// Tasks.
	Reserved api.Resources
	// Drained is set while the worker is drained by operators.
	Drained bool
	// Unreachable is set while the owner of the rack cannot reach the worker.
	Unreachable bool
	Quarantine  quarantine.State
	Pressure    eviction.Pressure
}

// Task is an assigned task: its desired state, its observed state, and the last step that was ordered.
type Task struct {
	api.Task
	Seen api.ObservedState
	// Started is the time at which the attempt was assigned.
	Started time.Time
	// Progress is the completed fraction of the task.
	Progress float64
	// Measured is set if Used comes from a report about this attempt; otherwise the cycle uses the expected use.
	Measured bool
	Used     api.Resources
	// Slowdown is the last reported slowdown; 0 if unknown.
	Slowdown float64
	// CheckpointAt is the time of the last checkpoint; zero if there is none.
	CheckpointAt time.Time
	// Step is the last step that was ordered for the task, at time StepAt.
	Step   eviction.Step
	StepAt time.Time
}

// throttled reports whether the task runs with a CPU limit or a throttle was the last step ordered for it.
func (t *Task) throttled() bool {
	return t.Seen == api.SeenThrottled || t.Step == eviction.StepThrottle
}

// maxResources returns the component-wise maximum.
func maxResources(a, b api.Resources) api.Resources {
	return api.Resources{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryMB:     max(a.MemoryMB, b.MemoryMB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
