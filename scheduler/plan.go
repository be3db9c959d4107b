package scheduler

import (
	"time"

	"bronzehook/api"
	"bronzehook/scheduler/eviction"
	"bronzehook/scheduler/placement"
	"bronzehook/scheduler/queue"
)

// Planner makes the scheduling decisions.
type Planner interface {
	// Cycle runs one scheduling cycle: it schedules the pending tasks in order and chooses running tasks to preempt,
	// throttle or evict.
	Cycle(s *Snapshot, pending []queue.Item, now time.Time) Plan
}

// Plan is the result of a scheduling cycle.
type Plan struct {
	Assignments []Assignment
	Actions     []TaskAction
	Refusals    []Refusal
	Failures    []Failure
}

// Assignment starts the next attempt of a task.
type Assignment struct {
	Task      api.TaskID
	Attempt   uint64
	Worker    api.WorkerID
	Resources api.Resources
	// Checkpoint is the checkpoint that the attempt resumes from; empty means from the start.
	Checkpoint string
	// Probe is set if the worker is quarantined and the attempt tests whether it has recovered.
	Probe bool
}

// TaskAction is a step against a running task: setting or lifting a throttle, a checkpoint, or a stop.
type TaskAction struct {
	Task    api.TaskID
	Attempt uint64
	Worker  api.WorkerID
	Step    eviction.Step
	// Share is the fraction of its CPU that the task keeps, for setting or lifting a throttle.
	Share float64
	// Preemptor is the task that needs the resources; empty if the step relieves pressure on the worker.
	Preemptor api.TaskID
	// Reason is shown to operators.
	Reason string
}

// Refusal says why a task was not placed.
type Refusal struct {
	Task  api.TaskID
	Cause queue.Cause
	// Reason is shown to operators.
	Reason string
	// Workers counts the workers by the cause for which each was rejected.
	Workers placement.Counts
}

// Failure marks a task as failed for good: it is not started again.
type Failure struct {
	Task   api.TaskID
	Reason string
}
