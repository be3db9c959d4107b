// Package jobs holds the model of a job of steps: what callers submit, the record of its progress that outlives a
// process, and the rules by which the ends of attempts change it. Nothing here does I/O.
package jobs

import (
	"fmt"
	"time"

	"bronzehook/fault"
)

// ID identifies a job; the caller chooses it.
type ID string

// State is what a caller is told about a job.
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

// Resources is an amount of a worker's processors, memory and accelerators.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU      int `cbor:"1,keyasint,omitempty"`
	MemoryMB int `cbor:"2,keyasint,omitempty"`
	GPU      int `cbor:"3,keyasint,omitempty"`
}

// Add returns the sum of both amounts.
func (r Resources) Add(other Resources) Resources {
	return Resources{CPU: r.CPU + other.CPU, MemoryMB: r.MemoryMB + other.MemoryMB, GPU: r.GPU + other.GPU}
}

// Sub returns r less other.
func (r Resources) Sub(other Resources) Resources {
	return Resources{CPU: r.CPU - other.CPU, MemoryMB: r.MemoryMB - other.MemoryMB, GPU: r.GPU - other.GPU}
}

// Fits reports whether r is at most room in every dimension.
func (r Resources) Fits(room Resources) bool {
	return r.CPU <= room.CPU && r.MemoryMB <= room.MemoryMB && r.GPU <= room.GPU
}

// Step is a part of a job: Count equal tasks that may run once the steps in After are done.
type Step struct {
	Count     int       `cbor:"1,keyasint"`
	Resources Resources `cbor:"2,keyasint"`
	// Estimate is the caller's rough estimate of a task's duration.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// After lists indices of steps of the same job.
	After         []int `cbor:"4,keyasint,omitempty"`
	Checkpointing bool  `cbor:"5,keyasint,omitempty"`
	// Gang tasks work only while all of them run under the same attempt.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// RackSensitive tasks are slower when they run on more than one rack.
	RackSensitive bool `cbor:"7,keyasint,omitempty"`
	// Requires is a label that the worker must have; empty allows all.
	Requires string `cbor:"8,keyasint,omitempty"`
	// Affinity is the label of the rack that holds the data; empty means none.
	Affinity string `cbor:"9,keyasint,omitempty"`
	// AntiAffinity bounds the tasks of the step on one worker; 0 means no bound.
	AntiAffinity int `cbor:"10,keyasint,omitempty"`
	// Speculative tasks may run in several copies; the first to finish counts.
	Speculative bool `cbor:"11,keyasint,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `cbor:"12,keyasint,omitempty"`
	// Image names what the tasks run; tasks of one image behave alike.
	Image string `cbor:"13,keyasint,omitempty"`
	// LatencyTarget is the bound of the response times that a long-running task serves; 0 means none.
	LatencyTarget time.Duration `cbor:"14,keyasint,omitempty"`
	// BestEffort tasks take processor time that other tasks leave unused and do not count against a worker's processors.
	BestEffort bool `cbor:"15,keyasint,omitempty"`
	// MaxUnavailable bounds the tasks of a long-running step that the system itself may keep away at one time; 0 means no bound.
	MaxUnavailable int `cbor:"16,keyasint,omitempty"`
}

// LatencyCritical reports whether the step's tasks answer users of their own under a latency target.
func (s *Step) LatencyCritical() bool { return s.LatencyTarget > 0 }

// Reserved is what a task of the step takes from a worker's capacity.
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
	// Repeat is the number of occurrences of a scheduled job; 0 means one at once.
	Repeat int `cbor:"5,keyasint,omitempty"`
	// FirstRun is the due time of occurrence 0 of a scheduled job, in Unix milliseconds.
	FirstRun int64         `cbor:"6,keyasint,omitempty"`
	Interval time.Duration `cbor:"7,keyasint,omitempty"`
	// Submitted is when an instance accepted the job, in Unix milliseconds.
	Submitted int64 `cbor:"8,keyasint,omitempty"`
	// QueuePolicy is the queue as it was when the job was accepted. It holds if the queue is dropped later.
	QueuePolicy QueuePolicy `cbor:"9,keyasint"`
}

// QueuePolicy is what a job needs to know of its queue.
type QueuePolicy struct {
	Service     string  `cbor:"1,keyasint"`
	Priority    int     `cbor:"2,keyasint,omitempty"`
	MaxAttempts int     `cbor:"3,keyasint,omitempty"`
	Stretch     float64 `cbor:"4,keyasint,omitempty"`
	// LatencyTarget is added to the stretched chain of work.
	LatencyTarget time.Duration `cbor:"5,keyasint,omitempty"`
}

// Occurrences is the number of times that the steps run.
func (s *Spec) Occurrences() int { return max(1, s.Repeat) }

// Scheduled reports whether the job has due times.
func (s *Spec) Scheduled() bool { return s.Repeat > 0 }

// Due returns when an occurrence may start, in Unix milliseconds; 0 means at once.
func (s *Spec) Due(occurrence int) int64 {
	if !s.Scheduled() {
		return 0
	}
	return s.FirstRun + int64(occurrence)*s.Interval.Milliseconds()
}

// Limits of a submission. They bound the memory that one job can take.
const (
	maxSteps       = 200
	maxTasks       = 10_000
	maxOccurrences = 1_000
	maxSpecBytes   = 4_000
)

// InvalidSpecError reports a submission that can't be run as stated.
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

// Validate checks the shape of a submission. Steps may only wait for earlier ones, so that no cycle can exist.
func (s *Spec) Validate() error {
	switch {
	case len(s.Text) > maxSpecBytes:
		return &InvalidSpecError{"spec", fmt.Sprintf("at most %d bytes", maxSpecBytes)}
	case len(s.Steps) == 0 || len(s.Steps) > maxSteps:
		return &InvalidSpecError{"steps", fmt.Sprintf("1 to %d", maxSteps)}
	case s.Repeat < 0 || s.Repeat > maxOccurrences:
		return &InvalidSpecError{"repeat count", fmt.Sprintf("0 to %d", maxOccurrences)}
	}
	tasks := 0
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return err
		}
		tasks += s.Steps[i].Count
	}
	if tasks > maxTasks {
		return &InvalidSpecError{"steps", fmt.Sprintf("at most %d tasks in all", maxTasks)}
	}
	return nil
}

func (s *Step) validate(index int) error {
	field := fmt.Sprintf("steps[%d]", index)
	if s.Count < 1 {
		return &InvalidSpecError{field + " count", "at least 1"}
	}
	if r := s.Resources; r.CPU < 0 || r.MemoryMB < 0 || r.GPU < 0 {
		return &InvalidSpecError{field + " resources", "at least 0"}
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= index {
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

// String returns the form that logs use.
func (t Task) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}
