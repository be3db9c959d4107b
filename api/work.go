package api

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says what a piece of work is.
type Kind string

// The kinds of work.
const (
	KindService Kind = "service"
	KindJob     Kind = "job"
	KindWatcher Kind = "watcher"
)

// Spec is one piece of work as operators state it, after merging.
type Spec struct {
	Name    string  `json:"name" cbor:"1,keyasint"`
	Kind    Kind    `json:"kind" cbor:"2,keyasint"`
	Team    string  `json:"team" cbor:"3,keyasint"`
	Urgency Urgency `json:"urgency" cbor:"4,keyasint"`
	// Replicas is the number of tasks of a service or watcher, or the number of parts of a job.
	Replicas int `json:"replicas" cbor:"5,keyasint"`
	// Resources is the declared need of one task.
	Resources Resources `json:"resources" cbor:"6,keyasint"`
	// RunTime is the declared run time of one task of a job; 0 if none was declared.
	RunTime time.Duration `json:"runTime,omitempty" cbor:"7,keyasint,omitempty"`
	// Deadline is the time that a job may take from its first recording until it has finished; 0 means none.
	Deadline time.Duration `json:"deadline,omitempty" cbor:"8,keyasint,omitempty"`
	// Regions limits placement to these regions; empty means any.
	Regions []string `json:"regions,omitempty" cbor:"9,keyasint,omitempty"`
	// Command is handed to the worker unchanged.
	Command []string `json:"command,omitempty" cbor:"10,keyasint,omitempty"`
	// File is the operators' file that stated the work.
	File string `json:"file" cbor:"11,keyasint"`
}

// Statement returns a digest of what a running attempt depends on: the declared resources, the regions and the command.
// A service or watcher whose statement changes is started anew.
func (s *Spec) Statement() uint64 {
	digest := xxhash.New()
	for _, part := range []string{s.Resources.String(), strings.Join(s.Regions, "\x00"), strings.Join(s.Command, "\x00")} {
		// Writing to a hash never fails.
		_, _ = digest.WriteString(part)
		_, _ = digest.WriteString("\x01")
	}
	return digest.Sum64()
}

// Team is an owner of work with its quota.
type Team struct {
	Name string `json:"name" cbor:"1,keyasint"`
	// Quota bounds the resources of the team's tasks taken together; a zero component means no bound.
	Quota Resources `json:"quota" cbor:"2,keyasint"`
	// RequestsPerSecond bounds the team's requests over all instances; 0 means no bound.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty" cbor:"3,keyasint,omitempty"`
}

// Floors names the share of request capacity that each urgency keeps during a flood of others, in percent. The sum is
// at most 100.
type Floors [UrgencyCount]float64

// WorkSet is the whole configuration at one revision.
type WorkSet struct {
	Revision uint64          `json:"revision" cbor:"1,keyasint"`
	Specs    map[string]Spec `json:"specs" cbor:"2,keyasint"`
	Teams    map[string]Team `json:"teams" cbor:"3,keyasint"`
	Floors   Floors          `json:"floors" cbor:"4,keyasint"`
}

// TaskID names one task: the work's name and the index of the replica.
type TaskID string

// NewTaskID returns the identifier of replica index of the named work.
func NewTaskID(work string, index int) TaskID {
	return TaskID(work + "." + strconv.Itoa(index))
}

// Work returns the name of the work that the task belongs to.
func (id TaskID) Work() string {
	text := string(id)
	if dot := strings.LastIndexByte(text, '.'); dot >= 0 {
		return text[:dot]
	}
	return text
}

// WantedState is what the coordinator wants of a task.
type WantedState string

// The wanted states.
const (
	WantedPending  WantedState = "pending"
	WantedAssigned WantedState = "assigned"
	WantedDone     WantedState = "done"
	WantedFailed   WantedState = "failed"
	WantedCanceled WantedState = "canceled"
)

// SeenState is what a worker says of a task.
type SeenState string

// The seen states.
const (
	SeenStarting  SeenState = "starting"
	SeenRunning   SeenState = "running"
	SeenThrottled SeenState = "throttled"
	// SeenStopped means that the attempt ended without a result and has released its resources; it may name a checkpoint.
	SeenStopped   SeenState = "stopped"
	SeenSucceeded SeenState = "succeeded"
	SeenFailed    SeenState = "failed"
)

// Ended reports whether an attempt in this state no longer runs.
func (s SeenState) Ended() bool {
	return s == SeenStopped || s == SeenSucceeded || s == SeenFailed
}

// Task is the durable record of a task. Only the owner of the coordinator unit writes it.
type Task struct {
	ID        TaskID      `json:"id" cbor:"1,keyasint"`
	Work      string      `json:"work" cbor:"2,keyasint"`
	Wanted    WantedState `json:"wanted" cbor:"3,keyasint"`
	Attempt   uint64      `json:"attempt" cbor:"4,keyasint"`
	Worker    WorkerID    `json:"worker,omitempty" cbor:"5,keyasint,omitempty"`
	Epoch     Epoch       `json:"epoch,omitempty" cbor:"6,keyasint,omitempty"`
	Resources Resources   `json:"resources" cbor:"7,keyasint"`
	// Checkpoint names the object that the next attempt resumes from; empty means from the start.
	Checkpoint string `json:"checkpoint,omitempty" cbor:"8,keyasint,omitempty"`
	Evictions  int    `json:"evictions,omitempty" cbor:"9,keyasint,omitempty"`
	Failures   int    `json:"failures,omitempty" cbor:"10,keyasint,omitempty"`
	// Recorded and Due are wall-clock times of the job; a zero Due means no deadline.
	Recorded time.Time `json:"recorded" cbor:"11,keyasint"`
	Due      time.Time `json:"due,omitzero" cbor:"12,keyasint,omitzero"`
	// Reason says why the task waits, failed or was canceled.
	Reason string `json:"reason,omitempty" cbor:"13,keyasint,omitempty"`
	// Unit is the rack of Worker. It is kept because the directory may no longer list the worker.
	Unit Unit `json:"unit,omitzero" cbor:"14,keyasint,omitzero"`
	// Statement is the digest of what the attempt was started from; see Spec.Statement.
	Statement uint64 `json:"statement,omitempty" cbor:"15,keyasint,omitempty"`
}

// Endpoint is one running task of a service that answers requests.
type Endpoint struct {
	Service  string     `json:"service" cbor:"1,keyasint"`
	Task     TaskID     `json:"task" cbor:"2,keyasint"`
	Attempt  uint64     `json:"attempt" cbor:"3,keyasint"`
	Worker   WorkerID   `json:"worker" cbor:"4,keyasint"`
	Addr     string     `json:"addr" cbor:"5,keyasint"`
	Location Location   `json:"location" cbor:"6,keyasint"`
	Owner    InstanceID `json:"owner" cbor:"7,keyasint"`
	Epoch    Epoch      `json:"epoch" cbor:"8,keyasint"`
	// Leaving endpoints get no new requests.
	Leaving bool `json:"leaving,omitempty" cbor:"9,keyasint,omitempty"`
}
