package scheduler

import (
	"time"

	"bronzehook/api"
	"bronzehook/scheduler/eviction"
	"bronzehook/scheduler/placement"
	"bronzehook/scheduler/queue"
)

// Planner decides about tasks.
type Planner interface {
	// Cycle decides about the pending tasks, in their order, and about running tasks that have to give way.
	Cycle(s *Snapshot, pending []queue.Item, now time.Time) Plan
}

// Plan is the result of a cycle.
type Plan struct {
	Assignments []Assignment
	Evictions   []Eviction
	Refusals    []Refusal
	Failures    []Failure
}

// Assignment starts the next attempt of a task.
type Assignment struct {
	Task      api.TaskID
	Attempt   uint64
	Worker    api.WorkerID
	Resources api.Resources
	// Checkpoint is what the attempt resumes from; empty means from the start.
	Checkpoint string
	// Probe is set if the worker is quarantined and the task finds out whether it has recovered.
	Probe bool
}

// Eviction is a step about a running task: a throttle (or its end), a checkpoint or a stop.
type Eviction struct {
	Task    api.TaskID
	Attempt uint64
	Worker  api.WorkerID
	Step    eviction.Step
	// Share is the share of processors that the task keeps, for a throttle or its end.
	Share float64
	// For names the task that needs the room; empty if the step relieves the worker.
	For api.TaskID
	// Reason is for the operator.
	Reason string
}

// Refusal says why a task was not placed.
type Refusal struct {
	Task  api.TaskID
	Cause queue.Cause
	// Reason is for the operator.
	Reason string
	// Workers counts the workers by why they did not take the task.
	Workers placement.Counts
}

// Failure ends a task that is not started again.
type Failure struct {
	Task   api.TaskID
	Reason string
}
