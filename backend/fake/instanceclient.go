package fake

import (
	"context"
	"sync/atomic"
	"time"

	"bronzehook/api"
	"bronzehook/backend"
	"bronzehook/fault"
)

// InstanceTable is the table client of one instance. Its faults affect this instance only.
type InstanceTable struct {
	table backend.Table
	// Down makes all calls fail.
	Down atomic.Bool
	// Delay is how long each call waits before it takes effect, in nanoseconds.
	Delay atomic.Int64
	// LoseReplies makes writes take effect and then fail, as if the reply was lost.
	LoseReplies atomic.Bool
	// Reads and Writes count the calls, including failed ones.
	Reads  atomic.Int64
	Writes atomic.Int64
}

// NewInstanceTable returns a client of the table without faults.
func NewInstanceTable(table backend.Table) *InstanceTable { return &InstanceTable{table: table} }

// beforeCall applies the faults that prevent a call from taking effect.
func (s *InstanceTable) beforeCall(ctx context.Context, op string) error {
	if delay := time.Duration(s.Delay.Load()); delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return fault.New(fault.CodeStoreUnavailable, op, "the call timed out")
		}
	}
	if s.Down.Load() {
		return fault.New(fault.CodeStoreUnavailable, op, "the store is unavailable for this instance")
	}
	return nil
}

// Get implements backend.Table.
func (s *InstanceTable) Get(ctx context.Context, key string) (backend.Row, error) {
	s.Reads.Add(1)
	if err := s.beforeCall(ctx, "get"); err != nil {
		return backend.Row{Key: key}, err
	}
	return s.table.Get(ctx, key)
}

// List implements backend.Table.
func (s *InstanceTable) List(ctx context.Context, prefix string) ([]backend.Row, error) {
	s.Reads.Add(1)
	if err := s.beforeCall(ctx, "list"); err != nil {
		return nil, err
	}
	return s.table.List(ctx, prefix)
}

// Commit implements backend.Table.
func (s *InstanceTable) Commit(ctx context.Context, txn backend.Txn) (backend.CommitResult, error) {
	s.Writes.Add(1)
	if err := s.beforeCall(ctx, "commit"); err != nil {
		return backend.CommitResult{}, err
	}
	result, err := s.table.Commit(ctx, txn)
	if err == nil && s.LoseReplies.Load() {
		return backend.CommitResult{}, fault.New(fault.CodeStoreUnavailable, "commit", "the reply was lost")
	}
	return result, err
}

// InstanceDirectory is the directory client of one instance. It can report a worker as leaving before other instances see
// that.
type InstanceDirectory struct {
	directory backend.Directory
	leaving   atomic.Pointer[api.WorkerID]
}

// NewInstanceDirectory returns a client that lists the directory unchanged.
func NewInstanceDirectory(directory backend.Directory) *InstanceDirectory {
	return &InstanceDirectory{directory: directory}
}

// SetLeaving makes this client report the worker as leaving.
func (s *InstanceDirectory) SetLeaving(id api.WorkerID) { s.leaving.Store(&id) }

// List implements backend.Directory.
func (s *InstanceDirectory) List(ctx context.Context) ([]backend.Entry, error) {
	entries, err := s.directory.List(ctx)
	leaving := s.leaving.Load()
	for index, entry := range entries {
		if leaving != nil && entry.Worker != nil && entry.Worker.ID == *leaving {
			w := *entry.Worker
			w.Leaving = true
			entries[index].Worker = &w
		}
	}
	return entries, err
}
