// Package operator serves the operators' HTTP interface: validating, comparing and recording work files, the state of
// the fleet, explanations of waiting work, drains, the audit trail, metrics and readiness.
package operator

import (
	"context"
	"time"

	"bronzehook/api"
	"bronzehook/audit"
	"bronzehook/config"
	"bronzehook/config/rollout"
)

// Rollout records changes and knows what is in force. *rollout.Service implements it.
type Rollout interface {
	Record(ctx context.Context, change rollout.Change) (uint64, error)
	Preview(edits []rollout.Edit) (*config.Set, error)
	Snapshot() *rollout.Snapshot
	Latest(ctx context.Context) (*rollout.Snapshot, error)
	Accepted(revision uint64) (bool, []rollout.InstanceStatus)
	Statuses() []rollout.InstanceStatus
}

// InstanceState is one instance in a Status.
type InstanceState struct {
	ID         api.InstanceID `json:"id"`
	Region     string         `json:"region"`
	DataCentre string         `json:"dataCentre"`
	Revision   uint64         `json:"revision"`
	// State is live, suspect, lapsed or leaving.
	State string `json:"state"`
}

// WorkerState is one worker in a Status.
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

// UnitState is the ownership of one unit.
type UnitState struct {
	Unit   api.Unit       `json:"unit"`
	Owner  api.InstanceID `json:"owner"`
	Epoch  api.Epoch      `json:"epoch"`
	Deputy api.InstanceID `json:"deputy,omitempty"`
}

// FloodState is a flood of one urgency that admission refuses in part.
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
	// LastAnswer is the time of the last answer.
	LastAnswer time.Time `json:"lastAnswer,omitzero"`
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

// StatusSource supplies the state of the fleet.
type StatusSource interface {
	Status(ctx context.Context) (Status, error)
}

// TaskExplanation tells why one task is in its state.
type TaskExplanation struct {
	Task   api.TaskID      `json:"task"`
	Wanted api.WantedState `json:"wanted"`
	Seen   api.SeenState   `json:"seen,omitempty"`
	Worker api.WorkerID    `json:"worker,omitempty"`
	Reason string          `json:"reason,omitempty"`
}

// Refusal is a place where a task was not started.
type Refusal struct {
	// Where names a worker, a rack or a data centre.
	Where  string `json:"where"`
	Reason string `json:"reason"`
	// Count is the number of workers that were refused for the reason.
	Count int `json:"count"`
}

// Explanation tells why work waits.
type Explanation struct {
	Work string `json:"work"`
	// Waits says in one sentence what the work waits for; it is empty if nothing waits.
	Waits    string            `json:"waits,omitempty"`
	Tasks    []TaskExplanation `json:"tasks"`
	Refusals []Refusal         `json:"refusals,omitempty"`
	// ExpectedStart is the zero time if no start is expected.
	ExpectedStart time.Time `json:"expectedStart,omitzero"`
}

// Explainer supplies explanations. It fails with fault.CodeNotFound for unknown work.
type Explainer interface {
	Explain(ctx context.Context, work string) (Explanation, error)
}

// Drain keeps new tasks off a worker until its expiry.
type Drain struct {
	Worker  api.WorkerID `json:"worker"`
	Expires time.Time    `json:"expires"`
	Author  string       `json:"author"`
	Reason  string       `json:"reason,omitempty"`
}

// Drains records drains. It fails with fault.CodeNotFound for an unknown worker and fault.CodeStoreUnavailable while
// the table is down.
type Drains interface {
	Drain(ctx context.Context, drain Drain) error
	Undrain(ctx context.Context, worker api.WorkerID) error
}

// Trail lists the audit trail. *audit.Trail implements it.
type Trail interface {
	List(ctx context.Context, query audit.Query) ([]audit.Event, error)
}
