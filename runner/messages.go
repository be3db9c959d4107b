package runner

import (
	"time"

	"bronzehook/api"
)

// Ref identifies one attempt of a task.
type Ref struct {
	Task    api.TaskID `cbor:"1,keyasint"`
	Attempt uint64     `cbor:"2,keyasint"`
}

// Assignment is the command to the owner of a rack to start an attempt that the coordinator has persisted.
type Assignment struct {
	Ref
	Work       string        `cbor:"3,keyasint"`
	Kind       api.Kind      `cbor:"4,keyasint"`
	Worker     api.WorkerID  `cbor:"5,keyasint"`
	Unit       api.Unit      `cbor:"6,keyasint"`
	Epoch      api.Epoch     `cbor:"7,keyasint"`
	Resources  api.Resources `cbor:"8,keyasint"`
	Command    []string      `cbor:"9,keyasint,omitempty"`
	Checkpoint string        `cbor:"10,keyasint,omitempty"`
}

// Action is the kind of a TaskAction.
type Action string

// The actions, from the mildest to the most severe.
const (
	ActionThrottle   Action = "throttle"
	ActionCheckpoint Action = "checkpoint"
	// ActionEvict takes a checkpoint and then stops the attempt; if the checkpoint fails, the attempt keeps running.
	ActionEvict Action = "evict"
	// ActionStop stops the attempt without a checkpoint. For a service it first waits until the attempt's requests in
	// flight have finished, for at most DrainTime.
	ActionStop Action = "stop"
)

// TaskAction is the command to the owner of a rack to throttle, checkpoint, evict or stop a running attempt.
type TaskAction struct {
	Ref
	Worker api.WorkerID `cbor:"3,keyasint"`
	Unit   api.Unit     `cbor:"4,keyasint"`
	Action Action       `cbor:"5,keyasint"`
	// Share is the share of its CPU that a throttled attempt keeps; 1 lifts the throttle.
	Share  float64 `cbor:"6,keyasint,omitempty"`
	Reason string  `cbor:"7,keyasint,omitempty"`
}

// Orders holds the commands that the coordinator sends to an owner of racks in one message.
type Orders struct {
	Coordinator api.InstanceID `cbor:"1,keyasint"`
	Epoch       api.Epoch      `cbor:"2,keyasint"`
	Assignments []Assignment   `cbor:"3,keyasint,omitempty"`
	Actions     []TaskAction   `cbor:"4,keyasint,omitempty"`
	// Queries ask for the state of attempts that the coordinator expects on the named workers.
	Queries []Query `cbor:"5,keyasint,omitempty"`
}

// Query asks for the state of one attempt.
type Query struct {
	Ref
	Worker api.WorkerID `cbor:"3,keyasint"`
	Unit   api.Unit     `cbor:"4,keyasint"`
}

// AttemptReport is the state of one attempt as known to the owner of its rack.
type AttemptReport struct {
	Ref
	Worker     api.WorkerID      `cbor:"3,keyasint"`
	State      api.ObservedState `cbor:"4,keyasint"`
	Checkpoint string            `cbor:"5,keyasint,omitempty"`
	Progress   float64           `cbor:"6,keyasint,omitempty"`
	Reason     string            `cbor:"7,keyasint,omitempty"`
	// NotStarted is set if the attempt certainly never ran; it then counts neither as a failure nor as an eviction.
	NotStarted bool `cbor:"8,keyasint,omitempty"`
	// Evicted is set if the attempt was stopped by a command of the coordinator.
	Evicted bool `cbor:"9,keyasint,omitempty"`
}

// UsageReport is the measured resource usage of one attempt.
type UsageReport struct {
	Ref
	Worker   api.WorkerID  `cbor:"3,keyasint"`
	Used     api.Resources `cbor:"4,keyasint"`
	Slowdown float64       `cbor:"5,keyasint,omitempty"`
	Age      time.Duration `cbor:"6,keyasint"`
}

// WorkerReport is the state of one worker as known to the owner of its rack.
type WorkerReport struct {
	Worker    api.WorkerID `cbor:"1,keyasint"`
	Reachable bool         `cbor:"2,keyasint"`
	Leaving   bool         `cbor:"3,keyasint,omitempty"`
}

// Report is sent from the owner of a rack to the coordinator. Delivery is at least once: a terminated attempt is
// reported again until the reply acknowledges it as persisted.
type Report struct {
	From     api.InstanceID  `cbor:"1,keyasint"`
	Unit     api.Unit        `cbor:"2,keyasint"`
	Epoch    api.Epoch       `cbor:"3,keyasint"`
	Attempts []AttemptReport `cbor:"4,keyasint,omitempty"`
	Workers  []WorkerReport  `cbor:"5,keyasint,omitempty"`
	Usage    []UsageReport   `cbor:"6,keyasint,omitempty"`
	// Full is set if Attempts holds every attempt of the rack, and Workers every worker.
	Full bool `cbor:"7,keyasint,omitempty"`
}

// ReportReply acknowledges the terminated attempts that are persisted; the worker may discard them.
type ReportReply struct {
	Persisted []Ref `cbor:"1,keyasint,omitempty"`
}
