// Package backend declares the interfaces through which the system accesses the platform: a transactional table, an
// object store, an eventually consistent directory of instances and workers, and the workers themselves. If a protocol
// of the platform changes, only the adapter that implements its interface has to change.
//
// Errors carry the codes of package fault: CodeStoreUnavailable if a store is down or too slow or if its response was
// lost (a write may then have taken effect), CodeConflict if a condition did not hold, CodeNotFound, CodeStaleEpoch,
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
	// Version increases with each write of the row; 0 means that the row is absent.
	Version uint64 `json:"version"`
	// OpID identifies the operation that last wrote the row.
	OpID string `json:"opId"`
}

// Condition requires that a row has a given version. Version 0 requires that the row is absent.
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
	// OpID identifies the operation. Repeating an OpID that took effect returns its first result.
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
	// List returns the rows whose keys start with prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]Row, error)
	Commit(ctx context.Context, txn Txn) (CommitResult, error)
}

// Objects is the platform's object store.
type Objects interface {
	Put(ctx context.Context, name string, data []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
	Delete(ctx context.Context, name string) error
}

// EntryKind identifies what a directory entry describes.
type EntryKind string

// Kinds of directory entries.
const (
	EntryInstance EntryKind = "instance"
	EntryWorker   EntryKind = "worker"
)

// Entry is an entry of the directory. Exactly one of Instance and Worker is set, according to Kind. Its Leaving field
// is set if the instance or worker is shutting down.
type Entry struct {
	Kind     EntryKind     `json:"kind"`
	Instance *api.Instance `json:"instance,omitempty"`
	Worker   *api.Worker   `json:"worker,omitempty"`
}

// Directory is the platform's list of live and leaving instances and workers. It is eventually consistent.
type Directory interface {
	List(ctx context.Context) ([]Entry, error)
}

// StartRequest is the request to a worker to start an attempt of a task.
type StartRequest struct {
	Task       api.TaskID    `json:"task"`
	Work       string        `json:"work"`
	Kind       api.Kind      `json:"kind"`
	Attempt    uint64        `json:"attempt"`
	Epoch      api.Epoch     `json:"epoch"`
	Resources  api.Resources `json:"resources"`
	Command    []string      `json:"command,omitempty"`
	Checkpoint string        `json:"checkpoint,omitempty"`
	// LeaseExpiry is the reading of the worker's clock at which the attempt lease expires: the worker then stops the attempt
	// unless the lease was renewed.
	LeaseExpiry time.Duration `json:"leaseEnd"`
	// NotAfter is the reading of the worker's clock after which the worker rejects the request with CodeExpired.
	NotAfter time.Duration `json:"notAfter"`
}

// TaskRef identifies an attempt in a request to a worker.
type TaskRef struct {
	Task    api.TaskID `json:"task"`
	Attempt uint64     `json:"attempt"`
	Epoch   api.Epoch  `json:"epoch"`
}

// TaskStatus is the state of one attempt as reported by its worker.
type TaskStatus struct {
	Task      api.TaskID        `json:"task"`
	Work      string            `json:"work"`
	Kind      api.Kind          `json:"kind"`
	Attempt   uint64            `json:"attempt"`
	State     api.ObservedState `json:"state"`
	Resources api.Resources     `json:"resources"`
	// Addr is the address at which a task of a service serves requests.
	Addr string `json:"addr,omitempty"`
	// Checkpoint is the name of the latest checkpoint in the object store.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Progress is the completed fraction of the task, from 0 to 1.
	Progress float64 `json:"progress,omitempty"`
	Reason   string  `json:"reason,omitempty"`
	// LeaseLeft is the remaining time of the attempt lease.
	LeaseLeft time.Duration `json:"leaseLeft,omitempty"`
}

// Inventory is a worker's report of its attempts, including terminated ones that have not been acknowledged.
type Inventory struct {
	Worker  api.Worker   `json:"worker"`
	Epoch   api.Epoch    `json:"epoch"`
	Tasks   []TaskStatus `json:"tasks"`
	Leaving bool         `json:"leaving,omitempty"`
	// OlderRequests is the number of requests in flight that were sent under an ownership epoch below Epoch. A new owner
	// hands out that many slots fewer.
	OlderRequests int `json:"olderRequests,omitempty"`
	// Clock is the reading of the worker's monotonic clock, which starts with the worker.
	Clock time.Duration `json:"clock"`
	// Boot identifies the incarnation of the worker. Readings of Clock are comparable within one incarnation only.
	Boot string `json:"boot"`
}

// TaskUsage is the measured resource usage of one attempt, averaged over the reporting period.
type TaskUsage struct {
	Task    api.TaskID    `json:"task"`
	Attempt uint64        `json:"attempt"`
	Used    api.Resources `json:"used"`
	// Slowdown is the measured run time divided by the run time without other tasks on the worker; 0 if unknown.
	Slowdown float64 `json:"slowdown,omitempty"`
}

// Usage is a worker's report of its resource usage. It describes the state Age ago.
type Usage struct {
	Worker api.WorkerID  `json:"worker"`
	Age    time.Duration `json:"age"`
	Used   api.Resources `json:"used"`
	Tasks  []TaskUsage   `json:"tasks"`
}

// Worker is the platform's control interface of one worker. A worker responds with CodeStaleEpoch to an ownership epoch
// below the highest that it has seen, and with CodeStaleAttempt to a start of an attempt whose number is not above the
// last that it has seen of the task.
type Worker interface {
	// Fence raises the ownership epoch of the worker, so that it rejects lower ones, and returns its inventory.
	Fence(ctx context.Context, epoch api.Epoch) (Inventory, error)
	Inventory(ctx context.Context) (Inventory, error)
	Start(ctx context.Context, request StartRequest) error
	// Renew extends the attempt leases of the given attempts to a reading of the worker's clock. It never shortens a
	// lease and ignores attempts that are not running.
	Renew(ctx context.Context, epoch api.Epoch, tasks []TaskRef, leaseEnd time.Duration) error
	// Throttle limits an attempt to a share of its CPUs, greater than 0 and at most 1; 1 removes the limit.
	Throttle(ctx context.Context, ref TaskRef, share float64) error
	// Checkpoint stores the state of the attempt and returns the name of the object. The attempt keeps running.
	Checkpoint(ctx context.Context, ref TaskRef) (string, error)
	// Stop terminates an attempt. It returns once the attempt no longer runs.
	Stop(ctx context.Context, ref TaskRef) error
	// Ack acknowledges a terminated attempt, so that the worker discards it.
	Ack(ctx context.Context, ref TaskRef) error
	Usage(ctx context.Context) (Usage, error)
}

// Workers returns the control interfaces of workers.
type Workers interface {
	Worker(w api.Worker) Worker
}
