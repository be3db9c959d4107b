// Package operator implements the HTTP API for operators: it validates, compares and records configuration files,
// reports the state of the fleet, explains why workloads wait, manages drains, and serves the audit log, metrics and
// readiness.
package operator

import (
	"context"
	"time"

	"bronzehook/api"
	"bronzehook/audit"
	"bronzehook/config"
	"bronzehook/config/rollout"
)

// Rollout records configuration changes and provides the active configuration. *rollout.Service implements it.
type Rollout interface {
	Record(ctx context.Context, change rollout.Change) (uint64, error)
	Preview(edits []rollout.Edit) (*config.Set, error)
	Snapshot() *rollout.Snapshot
	Latest(ctx context.Context) (*rollout.Snapshot, error)
	Accepted(revision uint64) (bool, []rollout.InstanceStatus)
	Statuses() []rollout.InstanceStatus
}

// InstanceState is the state of one scheduler instance in a Status.
type InstanceState struct {
	ID         api.InstanceID `json:"id"`
	Region     string         `json:"region"`
	DataCentre string         `json:"dataCentre"`
	Revision   uint64         `json:"revision"`
	// State is live, suspect (heartbeats are missing), lapsed (the instance lease has expired) or leaving (the instance
	// is shutting down).
	State string `json:"state"`
}

// WorkerState is the state of one worker in a Status.
type WorkerState struct {
	ID       api.WorkerID  `json:"id"`
	Location api.Location  `json:"location"`
	Capacity api.Resources `json:"capacity"`
	Used     api.Resources `json:"used"`
	Tasks    int           `json:"tasks"`
	// State is live, leaving, drained, quarantined or unreachable.
	State  string `json:"state"`
	Reason string `json:"reason,omitempty"`
}

// UnitState is the ownership of one ownership unit.
type UnitState struct {
	Unit   api.Unit       `json:"unit"`
	Owner  api.InstanceID `json:"owner"`
	Epoch  api.Epoch      `json:"epoch"`
	Deputy api.InstanceID `json:"deputy,omitempty"`
}

// FloodState describes an overload by requests of one urgency, of which admission rejects a part.
type FloodState struct {
	Urgency  api.Urgency `json:"urgency"`
	Offered  float64     `json:"offeredPerSecond"`
	Admitted float64     `json:"admittedPerSecond"`
	Refused  float64     `json:"refusedPerSecond"`
}

// StoreState is the health of the platform's table as this instance sees it.
type StoreState struct {
	Healthy bool   `json:"healthy"`
	Reason  string `json:"reason,omitempty"`
	// LastResponse is the time of the table's last response.
	LastResponse time.Time `json:"lastAnswer,omitzero"`
}

// Status is the state of the fleet as one instance sees it.
type Status struct {
	Instance  api.InstanceID  `json:"instance"`
	Revision  uint64          `json:"revision"`
	Instances []InstanceState `json:"instances"`
	Workers   []WorkerState   `json:"workers"`
	Ownership []UnitState     `json:"ownership"`
	Floods    []FloodState    `json:"floods"`
	Store     StoreState      `json:"store"`
	Drains    []Drain         `json:"drains"`
}

// StatusSource provides the state of the fleet.
type StatusSource interface {
	Status(ctx context.Context) (Status, error)
}

// TaskExplanation explains why a task is in its current state.
type TaskExplanation struct {
	Task   api.TaskID        `json:"task"`
	Wanted api.WantedState   `json:"wanted"`
	Seen   api.ObservedState `json:"seen,omitempty"`
	Worker api.WorkerID      `json:"worker,omitempty"`
	Reason string            `json:"reason,omitempty"`
}

// Refusal is a location in which a task was not placed, with the reason.
type Refusal struct {
	// Where is the name of a worker, a rack or a data centre.
	Where  string `json:"where"`
	Reason string `json:"reason"`
	// Count is the number of workers that were rejected for this reason.
	Count int `json:"count"`
}

// Explanation explains why a workload waits.
type Explanation struct {
	Work string `json:"work"`
	// Waits is one sentence that says what the workload waits for; it is empty if the workload does not wait.
	Waits    string            `json:"waits,omitempty"`
	Tasks    []TaskExplanation `json:"tasks"`
	Refusals []Refusal         `json:"refusals,omitempty"`
	// ExpectedStart is the zero time if no start time can be predicted.
	ExpectedStart time.Time `json:"expectedStart,omitzero"`
}

// Explainer explains the state of workloads. It fails with fault.CodeNotFound for an unknown workload.
type Explainer interface {
	Explain(ctx context.Context, work string) (Explanation, error)
}

// Drain prevents new tasks from being placed on a worker until it expires.
type Drain struct {
	Worker  api.WorkerID `json:"worker"`
	Expires time.Time    `json:"expires"`
	Author  string       `json:"author"`
	Reason  string       `json:"reason,omitempty"`
}

// Drains adds and removes drains. It fails with fault.CodeNotFound for an unknown worker and with
// fault.CodeStoreUnavailable while the table is unavailable.
type Drains interface {
	Drain(ctx context.Context, drain Drain) error
	Undrain(ctx context.Context, worker api.WorkerID) error
}

// Trail reads the audit log. *audit.Trail implements it.
type Trail interface {
	List(ctx context.Context, query audit.Query) ([]audit.Event, error)
}
