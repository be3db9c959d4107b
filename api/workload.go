package api

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind is the kind of a workload.
type Kind string

// The kinds of workloads.
const (
	KindService Kind = "service"
	KindJob     Kind = "job"
	KindWatcher Kind = "watcher"
)

// Spec is a workload as operators declare it, after merging of the configuration files.
type Spec struct {
	Name    string  `json:"name" cbor:"1,keyasint"`
	Kind    Kind    `json:"kind" cbor:"2,keyasint"`
	Team    string  `json:"team" cbor:"3,keyasint"`
	Urgency Urgency `json:"urgency" cbor:"4,keyasint"`
	// Replicas is the number of tasks of a service or watcher, or the number of tasks of a job.
	Replicas int `json:"replicas" cbor:"5,keyasint"`
	// Resources are the declared requirements of one task.
	Resources Resources `json:"resources" cbor:"6,keyasint"`
	// RunTime is the declared run time of one task of a job; 0 if none was declared.
	RunTime time.Duration `json:"runTime,omitempty" cbor:"7,keyasint,omitempty"`
	// Deadline is the time within which a job has to finish after it was first recorded; 0 means none.
	Deadline time.Duration `json:"deadline,omitempty" cbor:"8,keyasint,omitempty"`
	// Regions limits placement to these regions; empty means any.
	Regions []string `json:"regions,omitempty" cbor:"9,keyasint,omitempty"`
	// Command is passed to the worker unchanged.
	Command []string `json:"command,omitempty" cbor:"10,keyasint,omitempty"`
	// File is the name of the configuration file that declares the workload.
	File string `json:"file" cbor:"11,keyasint"`
}

// SpecHash returns the spec hash: a digest of the fields that a running attempt depends on, which are the declared
// resources, the regions and the command. A service or watcher whose spec hash changes is restarted.
func (s *Spec) SpecHash() uint64 {
	digest := xxhash.New()
	for _, field := range []string{s.Resources.String(), strings.Join(s.Regions, "\x00"), strings.Join(s.Command, "\x00")} {
		// Writing to a hash never fails.
		_, _ = digest.WriteString(field)
		_, _ = digest.WriteString("\x01")
	}
	return digest.Sum64()
}

// Team owns workloads and has a quota.
type Team struct {
	Name string `json:"name" cbor:"1,keyasint"`
	// Quota limits the total resources of the team's tasks; a zero component means no limit.
	Quota Resources `json:"quota" cbor:"2,keyasint"`
	// RequestsPerSecond limits the team's request rate summed over all instances; 0 means no limit.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty" cbor:"3,keyasint,omitempty"`
}

// Floors holds the guaranteed share of request capacity of each urgency, in percent. An urgency keeps its share while
// others are overloaded. The sum is at most 100.
type Floors [UrgencyCount]float64

// WorkSet is the workload set: all configured workloads and teams at one revision.
type WorkSet struct {
	Revision uint64          `json:"revision" cbor:"1,keyasint"`
	Specs    map[string]Spec `json:"specs" cbor:"2,keyasint"`
	Teams    map[string]Team `json:"teams" cbor:"3,keyasint"`
	Floors   Floors          `json:"floors" cbor:"4,keyasint"`
}

// TaskID identifies one task by the name of its workload and the index of the replica.
type TaskID string

// NewTaskID returns the ID of the replica with the given index of a workload.
func NewTaskID(work string, index int) TaskID {
	return TaskID(work + "." + strconv.Itoa(index))
}

// Work returns the name of the workload that the task belongs to.
func (id TaskID) Work() string {
	text := string(id)
	if dot := strings.LastIndexByte(text, '.'); dot >= 0 {
		return text[:dot]
	}
	return text
}

// WantedState is the desired state of a task, set by the coordinator.
type WantedState string

// The desired states.
const (
	WantedPending  WantedState = "pending"
	WantedAssigned WantedState = "assigned"
	WantedDone     WantedState = "done"
	WantedFailed   WantedState = "failed"
	WantedCanceled WantedState = "canceled"
)

// ObservedState is the observed state of a task, reported by its worker.
type ObservedState string

// The observed states.
const (
	SeenStarting  ObservedState = "starting"
	SeenRunning   ObservedState = "running"
	SeenThrottled ObservedState = "throttled"
	// SeenStopped means that the attempt terminated without a result and has released its resources. It may have a
	// checkpoint.
	SeenStopped   ObservedState = "stopped"
	SeenSucceeded ObservedState = "succeeded"
	SeenFailed    ObservedState = "failed"
)

// Terminal reports whether the state is terminal, so that the attempt no longer runs.
func (s ObservedState) Terminal() bool {
	return s == SeenStopped || s == SeenSucceeded || s == SeenFailed
}

// Task is the persisted state of a task. Only the coordinator writes it.
type Task struct {
	ID        TaskID      `json:"id" cbor:"1,keyasint"`
	Work      string      `json:"work" cbor:"2,keyasint"`
	Wanted    WantedState `json:"wanted" cbor:"3,keyasint"`
	Attempt   uint64      `json:"attempt" cbor:"4,keyasint"`
	Worker    WorkerID    `json:"worker,omitempty" cbor:"5,keyasint,omitempty"`
	Epoch     Epoch       `json:"epoch,omitempty" cbor:"6,keyasint,omitempty"`
	Resources Resources   `json:"resources" cbor:"7,keyasint"`
	// Checkpoint names the object that the next attempt resumes from; if it is empty, the attempt starts afresh.
	Checkpoint string `json:"checkpoint,omitempty" cbor:"8,keyasint,omitempty"`
	Evictions  int    `json:"evictions,omitempty" cbor:"9,keyasint,omitempty"`
	Failures   int    `json:"failures,omitempty" cbor:"10,keyasint,omitempty"`
	// Recorded is the wall-clock time at which the coordinator first recorded the task. Due is the wall-clock time by
	// which its job has to finish; a zero Due means no deadline.
	Recorded time.Time `json:"recorded" cbor:"11,keyasint"`
	Due      time.Time `json:"due,omitzero" cbor:"12,keyasint,omitzero"`
	// Reason explains why the task waits, failed or was canceled.
	Reason string `json:"reason,omitempty" cbor:"13,keyasint,omitempty"`
	// Unit is the ownership unit of the rack of Worker. It is stored because the directory may no longer list the worker.
	Unit Unit `json:"unit,omitzero" cbor:"14,keyasint,omitzero"`
	// SpecHash is the spec hash of the workload that the attempt was placed with; see Spec.SpecHash.
	SpecHash uint64 `json:"statement,omitempty" cbor:"15,keyasint,omitempty"`
}

// Endpoint is a running task of a service that serves requests.
type Endpoint struct {
	Service  string     `json:"service" cbor:"1,keyasint"`
	Task     TaskID     `json:"task" cbor:"2,keyasint"`
	Attempt  uint64     `json:"attempt" cbor:"3,keyasint"`
	Worker   WorkerID   `json:"worker" cbor:"4,keyasint"`
	Addr     string     `json:"addr" cbor:"5,keyasint"`
	Location Location   `json:"location" cbor:"6,keyasint"`
	Owner    InstanceID `json:"owner" cbor:"7,keyasint"`
	Epoch    Epoch      `json:"epoch" cbor:"8,keyasint"`
	// Leaving is set if the endpoint is being stopped, or its worker is drained or shutting down. It gets no new requests.
	Leaving bool `json:"leaving,omitempty" cbor:"9,keyasint,omitempty"`
}
