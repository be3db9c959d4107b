// Package jobs defines jobs, which consist of steps: the specification that callers submit, and the progress record that
// is stored and so outlives a process. Nothing here does I/O.
package jobs

import (
	"fmt"
	"slices"
	"time"

	"bronzehook/fault"
)

// ID identifies a job; the caller chooses it.
type ID string

// State is the state of a job as reported to callers.
type State string

// The states of a job.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateSucceeded State = "succeeded"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Terminal reports whether a job in this state never changes again.
func (s State) Terminal() bool {
	return s == StateSucceeded || s == StateFailed || s == StateCancelled
}

// Resources is an amount of CPU, memory and accelerators.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU      int `cbor:"1,keyasint,omitempty"`
	MemoryMB int `cbor:"2,keyasint,omitempty"`
	GPU      int `cbor:"3,keyasint,omitempty"`
}

// Add returns r plus other.
func (r Resources) Add(other Resources) Resources {
	return Resources{CPU: r.CPU + other.CPU, MemoryMB: r.MemoryMB + other.MemoryMB, GPU: r.GPU + other.GPU}
}

// Sub returns r minus other.
func (r Resources) Sub(other Resources) Resources {
	return Resources{CPU: r.CPU - other.CPU, MemoryMB: r.MemoryMB - other.MemoryMB, GPU: r.GPU - other.GPU}
}

// Fits reports whether r is at most available in every dimension.
func (r Resources) Fits(available Resources) bool {
	return r.CPU <= available.CPU && r.MemoryMB <= available.MemoryMB && r.GPU <= available.GPU
}

// Step is a part of a job: Count identical tasks that may run once the steps in After are done.
type Step struct {
	Count     int       `cbor:"1,keyasint"`
	Resources Resources `cbor:"2,keyasint"`
	// Estimate is the caller's rough estimate of a task's duration.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// After lists the indices of the steps of the same job on which this step depends.
	After         []int `cbor:"4,keyasint,omitempty"`
	Checkpointing bool  `cbor:"5,keyasint,omitempty"`
	// Gang tasks make progress only while all of them run with the same attempt number.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// RackSensitive tasks are slower if they run on more than one rack.
	RackSensitive bool `cbor:"7,keyasint,omitempty"`
	// Requires is a label that the worker must have; empty allows all workers.
	Requires string `cbor:"8,keyasint,omitempty"`
	// Affinity is the label of the rack that holds the data of the tasks; empty means none.
	Affinity string `cbor:"9,keyasint,omitempty"`
	// AntiAffinity is the maximum number of tasks of the step on one worker; 0 means no limit.
	AntiAffinity int `cbor:"10,keyasint,omitempty"`
	// Speculative tasks may run in several copies at a time; the first copy to finish counts.
	Speculative bool `cbor:"11,keyasint,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `cbor:"12,keyasint,omitempty"`
	// Image names the program that the tasks run; tasks of one image behave alike.
	Image string `cbor:"13,keyasint,omitempty"`
	// LatencyTarget is the target for the tail latency of a long-running task that serves requests; 0 means none.
	LatencyTarget time.Duration `cbor:"14,keyasint,omitempty"`
	// BestEffort tasks use CPU that other tasks leave unused and reserve none of a worker's CPU capacity.
	BestEffort bool `cbor:"15,keyasint,omitempty"`
	// MaxUnavailable is the maximum number of tasks of a long-running step that the scheduler itself may keep unavailable at
	// one time; 0 means no limit.
	MaxUnavailable int `cbor:"16,keyasint,omitempty"`
}

// LatencyCritical reports whether the step's tasks serve requests under a latency target.
func (s *Step) LatencyCritical() bool { return s.LatencyTarget > 0 }

// Reserved returns what a task of the step reserves of a worker's capacity.
func (s *Step) Reserved() Resources {
	if !s.BestEffort {
		return s.Resources
	}
	return Resources{MemoryMB: s.Resources.MemoryMB, GPU: s.Resources.GPU}
}

// Spec is a job as submitted.
type Spec struct {
	ID    ID     `cbor:"1,keyasint"`
	Queue string `cbor:"2,keyasint"`
	// Text is passed to every task unchanged.
	Text  string `cbor:"3,keyasint"`
	Steps []Step `cbor:"4,keyasint"`
	// Repeat is the number of occurrences of a scheduled job; 0 means a single one that starts at once.
	Repeat int `cbor:"5,keyasint,omitempty"`
	// FirstRun is the due time of occurrence 0 of a scheduled job, in Unix milliseconds.
	FirstRun int64         `cbor:"6,keyasint,omitempty"`
	Interval time.Duration `cbor:"7,keyasint,omitempty"`
	// Submitted is the time at which an instance accepted the job, in Unix milliseconds.
	Submitted int64 `cbor:"8,keyasint,omitempty"`
	// QueuePolicy is the policy of the queue when the job was accepted. It applies if the queue is removed later.
	QueuePolicy QueuePolicy `cbor:"9,keyasint"`
}

// QueuePolicy is the part of a queue's configuration that is stored with a job.
type QueuePolicy struct {
	Service     string  `cbor:"1,keyasint"`
	Priority    int     `cbor:"2,keyasint,omitempty"`
	MaxAttempts int     `cbor:"3,keyasint,omitempty"`
	Stretch     float64 `cbor:"4,keyasint,omitempty"`
	// LatencyTarget is added to Stretch times the critical path to give the objective for the duration of a job.
	LatencyTarget time.Duration `cbor:"5,keyasint,omitempty"`
	// Advice is nil if every worker may run the steps of the queue's jobs.
	Advice *AdvicePolicy `cbor:"6,keyasint,omitempty"`
}

// AdvicePolicy is the part of the configuration of a queue with advice that is stored with a job.
type AdvicePolicy struct {
	Valid time.Duration `cbor:"1,keyasint"`
}

// Occurrences returns the number of times that the steps run.
func (s *Spec) Occurrences() int { return max(1, s.Repeat) }

// Scheduled reports whether the job has due times.
func (s *Spec) Scheduled() bool { return s.Repeat > 0 }

// HasLongRunning reports whether a step of the job has long-running tasks.
func (s *Spec) HasLongRunning() bool {
	return slices.ContainsFunc(s.Steps, func(step Step) bool { return step.LongRunning })
}

// Due returns the time from which an occurrence may start, in Unix milliseconds; 0 means at once.
func (s *Spec) Due(occurrence int) int64 {
	if !s.Scheduled() {
		return 0
	}
	return s.FirstRun + int64(occurrence)*s.Interval.Milliseconds()
}

// Limits of a submission. They bound the memory that one job can use, and keep sums over its tasks from overflowing.
const (
	maxSteps        = 200
	maxTasks        = 10_000
	maxOccurrences  = 1_000
	maxAllTasks     = 1_000_000
	maxSpecBytes    = 4_000
	maxDependencies = 10 * maxSteps
	maxNameBytes    = 256
	// maxTaskAmount bounds each resource of a task, far above any worker's capacity.
	maxTaskAmount = 1_000_000_000
	maxDuration   = 366 * 24 * time.Hour
	// maxDue is the year 2200 in Unix milliseconds.
	maxDue = 7_258_118_400_000
)

// InvalidSpecError reports a submission with a field that is not accepted.
type InvalidSpecError struct {
	Field    string
	Accepted string
}

// Error names the field and what would be accepted.
func (e *InvalidSpecError) Error() string {
	return fmt.Sprintf("%s is not accepted; accepted: %s", e.Field, e.Accepted)
}

// Code implements fault.Coded.
func (e *InvalidSpecError) Code() fault.Code { return fault.CodeInvalid }

// Validate checks a submission. Steps may depend only on earlier steps, so that the dependencies have no cycle.
func (s *Spec) Validate() error {
	switch {
	case len(s.Text) > maxSpecBytes:
		return &InvalidSpecError{"spec", fmt.Sprintf("at most %d bytes", maxSpecBytes)}
	case len(s.Steps) == 0 || len(s.Steps) > maxSteps:
		return &InvalidSpecError{"steps", fmt.Sprintf("1 to %d", maxSteps)}
	case s.Repeat < 0 || s.Repeat > maxOccurrences:
		return &InvalidSpecError{"repeat count", fmt.Sprintf("0 to %d", maxOccurrences)}
	case s.FirstRun < 0 || s.FirstRun > maxDue:
		return &InvalidSpecError{"first run", "Unix milliseconds up to the year 2200"}
	case s.Interval < 0 || s.Interval > maxDuration:
		return &InvalidSpecError{"interval", "0 to 366 days"}
	}
	tasks, dependencies := 0, 0
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return err
		}
		// Each count is at most maxTasks, so that the sum cannot overflow.
		tasks += s.Steps[i].Count
		dependencies += len(s.Steps[i].After)
	}
	switch {
	case tasks > maxTasks:
		return &InvalidSpecError{"steps", fmt.Sprintf("at most %d tasks in all", maxTasks)}
	case tasks*s.Occurrences() > maxAllTasks:
		return &InvalidSpecError{"repeat count", fmt.Sprintf("at most %d tasks in all occurrences", maxAllTasks)}
	case dependencies > maxDependencies:
		return &InvalidSpecError{"after", fmt.Sprintf("at most %d dependencies in all", maxDependencies)}
	}
	return nil
}

func (s *Step) validate(index int) error {
	field := fmt.Sprintf("steps[%d]", index)
	amounts := []int{s.Resources.CPU, s.Resources.MemoryMB, s.Resources.GPU, s.AntiAffinity, s.MaxUnavailable}
	switch {
	case s.Count < 1 || s.Count > maxTasks:
		return &InvalidSpecError{field + " count", fmt.Sprintf("1 to %d", maxTasks)}
	case slices.Min(amounts) < 0 || slices.Max(amounts) > maxTaskAmount:
		return &InvalidSpecError{field + " resources and limits", fmt.Sprintf("0 to %d", maxTaskAmount)}
	case s.Estimate < 0 || s.Estimate > maxDuration || s.LatencyTarget < 0 || s.LatencyTarget > maxDuration:
		return &InvalidSpecError{field + " durations", "0 to 366 days"}
	case len(s.Requires) > maxNameBytes || len(s.Affinity) > maxNameBytes || len(s.Image) > maxNameBytes:
		return &InvalidSpecError{field + " names", fmt.Sprintf("at most %d bytes", maxNameBytes)}
	}
	for _, dependency := range s.After {
		if dependency < 0 || dependency >= index {
			return &InvalidSpecError{field + " after", "indices of earlier steps"}
		}
	}
	return nil
}

// Task identifies a task of a job.
type Task struct {
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// String returns the form used in logs.
func (t Task) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}
