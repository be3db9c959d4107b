package runner

import (
	"time"

	"bronzehook/api"
)

// Ref names one attempt of a task.
type Ref struct {
	Task    api.TaskID `cbor:"1,keyasint"`
	Attempt uint64     `cbor:"2,keyasint"`
}

// Assignment tells the owner of a rack to start an attempt that the coordinator has recorded.
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

// Action is what an Intervention does to a running attempt.
type Action string

// The actions, from the mildest to the most severe.
const (
	ActionThrottle   Action = "throttle"
	ActionCheckpoint Action = "checkpoint"
	// ActionEvict checkpoints and then stops; if the checkpoint fails the attempt goes on.
	ActionEvict Action = "evict"
	// ActionStop stops without a checkpoint, after the attempt's requests in flight have finished or the drain time is over.
	ActionStop Action = "stop"
)

// Intervention tells the owner of a rack to act on a running attempt.
type Intervention struct {
	Ref
	Worker api.WorkerID `cbor:"3,keyasint"`
	Unit   api.Unit     `cbor:"4,keyasint"`
	Action Action       `cbor:"5,keyasint"`
	// Share is the part of its processors that a throttled attempt keeps; 1 lifts the throttle.
	Share  float64 `cbor:"6,keyasint,omitempty"`
	Reason string  `cbor:"7,keyasint,omitempty"`
}

// Orders is what the coordinator sends to the owner of racks in one message.
type Orders struct {
	Coordinator   api.InstanceID `cbor:"1,keyasint"`
	Epoch         api.Epoch      `cbor:"2,keyasint"`
	Assignments   []Assignment   `cbor:"3,keyasint,omitempty"`
	Interventions []Intervention `cbor:"4,keyasint,omitempty"`
	// Queries asks for the state of attempts that the coordinator believes to be on the named workers.
	Queries []Query `cbor:"5,keyasint,omitempty"`
}

// Query asks for the state of one attempt.
type Query struct {
	Ref
	Worker api.WorkerID `cbor:"3,keyasint"`
	Unit   api.Unit     `cbor:"4,keyasint"`
}

// AttemptReport is what the owner of a rack knows of one attempt.
type AttemptReport struct {
	Ref
	Worker     api.WorkerID  `cbor:"3,keyasint"`
	State      api.SeenState `cbor:"4,keyasint"`
	Checkpoint string        `cbor:"5,keyasint,omitempty"`
	Progress   float64       `cbor:"6,keyasint,omitempty"`
	Reason     string        `cbor:"7,keyasint,omitempty"`
	// NotStarted is set if the attempt provably never ran; it then counts neither as a failure nor as an eviction.
	NotStarted bool `cbor:"8,keyasint,omitempty"`
	// Evicted is set if the attempt was stopped by an intervention of the coordinator.
	Evicted bool `cbor:"9,keyasint,omitempty"`
}

// UsageReport is the measured use of one attempt.
type UsageReport struct {
	Ref
	Worker   api.WorkerID  `cbor:"3,keyasint"`
	Used     api.Resources `cbor:"4,keyasint"`
	Slowdown float64       `cbor:"5,keyasint,omitempty"`
	Age      time.Duration `cbor:"6,keyasint"`
}

// WorkerReport is what the owner of a rack knows of one worker.
type WorkerReport struct {
	Worker    api.WorkerID `cbor:"1,keyasint"`
	Reachable bool         `cbor:"2,keyasint"`
	Leaving   bool         `cbor:"3,keyasint,omitempty"`
}

// Report is sent from the owner of a rack to the coordinator. Reports are sent at least once; ended attempts are
// repeated until the reply names them as recorded.
type Report struct {
	From     api.InstanceID  `cbor:"1,keyasint"`
	Unit     api.Unit        `cbor:"2,keyasint"`
	Epoch    api.Epoch       `cbor:"3,keyasint"`
	Attempts []AttemptReport `cbor:"4,keyasint,omitempty"`
	Workers  []WorkerReport  `cbor:"5,keyasint,omitempty"`
	Usage    []UsageReport   `cbor:"6,keyasint,omitempty"`
	// Full is set if Attempts holds every attempt of the rack.
	Full bool `cbor:"7,keyasint,omitempty"`
}

// ReportReply names the ended attempts that are recorded durably; the worker may forget them.
type ReportReply struct {
	Recorded []Ref `cbor:"1,keyasint,omitempty"`
}
