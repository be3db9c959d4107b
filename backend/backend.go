// Package backend declares the narrow interfaces through which the system sees the platform: a transactional table,
// an object store, a lagging directory of instances and workers, and the workers themselves. A change of the
// platform's dialect changes an adapter and no decision.
//
// Failures carry the codes of package fault: CodeStoreUnavailable when a store is down, too slow or its reply was lost
// (a write may have taken effect), CodeConflict when a condition did not hold, CodeNotFound, CodeStaleEpoch,
// CodeStaleAttempt, CodeExpired, CodeNoCapacity, CodeUnreachable.
package backend

import (
	"context"
	"time"

	"bronzehook/api"
)

// Row is one row of the table.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version grows with every write of the row; 0 means that the row is absent.
	Version uint64 `json:"version"`
	// OpID is the operation that wrote the row last.
	OpID string `json:"opId"`
}

// Condition requires a row to have a version. Version 0 requires that the row is absent.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write sets or deletes one row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is a transaction: all writes take effect if all conditions hold, otherwise none does.
type Txn struct {
	// OpID identifies the operation. A repeated OpID that took effect answers with its first result.
	OpID       string      `json:"opId"`
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes"`
}

// CommitResult holds the new version of each written row; a deleted row has version 0.
type CommitResult struct {
	Versions map[string]uint64 `json:"versions"`
}

// Table is the platform's transactional table service.
type Table interface {
	Get(ctx context.Context, key string) (Row, error)
	// List returns the rows whose keys begin with prefix, in the order of their keys.
	List(ctx context.Context, prefix string) ([]Row, error)
	Commit(ctx context.Context, txn Txn) (CommitResult, error)
}

// Objects is the platform's object store.
type Objects interface {
	Put(ctx context.Context, name string, data []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
	Delete(ctx context.Context, name string) error
}

// EntryKind says what a directory entry describes.
type EntryKind string

// The kinds of entries.
const (
	EntryInstance EntryKind = "instance"
	EntryWorker   EntryKind = "worker"
)

// Entry is one line of the directory. Exactly one of Instance and Worker is set, according to Kind; their Leaving
// field tells a leaving one from a live one.
type Entry struct {
	Kind     EntryKind     `json:"kind"`
	Instance *api.Instance `json:"instance,omitempty"`
	Worker   *api.Worker   `json:"worker,omitempty"`
}

// Directory is the platform's lagging list of live and leaving instances and workers.
type Directory interface {
	List(ctx context.Context) ([]Entry, error)
}

// StartOrder tells a worker to start an attempt of a task.
type StartOrder struct {
	Task       api.TaskID    `json:"task"`
	Work       string        `json:"work"`
	Kind       api.Kind      `json:"kind"`
	Attempt    uint64        `json:"attempt"`
	Epoch      api.Epoch     `json:"epoch"`
	Resources  api.Resources `json:"resources"`
	Command    []string      `json:"command,omitempty"`
	Checkpoint string        `json:"checkpoint,omitempty"`
	// LeaseEnd is the reading of the worker's clock at which the attempt stops unless it was renewed.
	LeaseEnd time.Duration `json:"leaseEnd"`
	// NotAfter is the reading of the worker's clock after which the worker refuses the order with CodeExpired.
	NotAfter time.Duration `json:"notAfter"`
}

// TaskRef names an attempt for an order to a worker.
type TaskRef struct {
	Task    api.TaskID `json:"task"`
	Attempt uint64     `json:"attempt"`
	Epoch   api.Epoch  `json:"epoch"`
}

// TaskStatus is what a worker says of one attempt.
type TaskStatus struct {
	Task      api.TaskID    `json:"task"`
	Work      string        `json:"work"`
	Kind      api.Kind      `json:"kind"`
	Attempt   uint64        `json:"attempt"`
	State     api.SeenState `json:"state"`
	Resources api.Resources `json:"resources"`
	// Addr is where a service's task answers requests.
	Addr string `json:"addr,omitempty"`
	// Checkpoint names the last checkpoint in the object store.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Progress is the part of the work that is done, from 0 to 1.
	Progress float64 `json:"progress,omitempty"`
	Reason   string  `json:"reason,omitempty"`
	// LeaseLeft is the remaining time of the lease.
	LeaseLeft time.Duration `json:"leaseLeft,omitempty"`
}

// Inventory is everything that a worker knows about its attempts, with ended ones that were not acknowledged.
type Inventory struct {
	Worker  api.Worker   `json:"worker"`
	Epoch   api.Epoch    `json:"epoch"`
	Tasks   []TaskStatus `json:"tasks"`
	Leaving bool         `json:"leaving,omitempty"`
	// OlderRequests counts the requests still open that came under an epoch below Epoch. A new owner gives out that
	// many slots less.
	OlderRequests int `json:"olderRequests,omitempty"`
	// Clock is the reading of the worker's monotonic clock, counted from the worker's start.
	Clock time.Duration `json:"clock"`
	// Boot changes with every start of the worker; a reading of Clock is valid within one Boot.
	Boot string `json:"boot"`
}

// TaskUsage is the measured use of one attempt, averaged over the reporting period.
type TaskUsage struct {
	Task    api.TaskID    `json:"task"`
	Attempt uint64        `json:"attempt"`
	Used    api.Resources `json:"used"`
	// Slowdown is the measured run time over the run time without neighbours; 0 if unknown.
	Slowdown float64 `json:"slowdown,omitempty"`
}

// Usage is a worker's report of use. It describes a moment Age ago.
type Usage struct {
	Worker api.WorkerID  `json:"worker"`
	Age    time.Duration `json:"age"`
	Used   api.Resources `json:"used"`
	Tasks  []TaskUsage   `json:"tasks"`
}

// Worker is the platform's control interface of one worker. A worker that has seen an epoch refuses lower ones with
// CodeStaleEpoch, and refuses an attempt not above the last that it saw of the task with CodeStaleAttempt.
type Worker interface {
	// Fence raises the worker's epoch and returns its inventory.
	Fence(ctx context.Context, epoch api.Epoch) (Inventory, error)
	Inventory(ctx context.Context) (Inventory, error)
	Start(ctx context.Context, order StartOrder) error
	// Renew extends the leases of the named attempts to a reading of the worker's clock; it never shortens one, and
	// ignores attempts that do not run.
	Renew(ctx context.Context, epoch api.Epoch, tasks []TaskRef, leaseEnd time.Duration) error
	// Throttle limits an attempt to a share of its processors, from 0 exclusive to 1; 1 lifts the limit.
	Throttle(ctx context.Context, ref TaskRef, share float64) error
	// Checkpoint stores the attempt's state and returns the object's name. The attempt goes on.
	Checkpoint(ctx context.Context, ref TaskRef) (string, error)
	// Stop ends an attempt. It returns once the attempt no longer runs.
	Stop(ctx context.Context, ref TaskRef) error
	// Ack lets the worker forget an ended attempt.
	Ack(ctx context.Context, ref TaskRef) error
	Usage(ctx context.Context) (Usage, error)
}

// Workers finds the control interface of a worker.
type Workers interface {
	Worker(w api.Worker) Worker
}
