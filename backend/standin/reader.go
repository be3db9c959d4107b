package standin

import (
	"context"
	"sync/atomic"
	"time"

	"bronzehook/api"
	"bronzehook/backend"
	"bronzehook/fault"
)

// ReaderTable is one instance's way to the table, with faults that concern this instance only.
type ReaderTable struct {
	table backend.Table
	// Down refuses all calls.
	Down atomic.Bool
	// Delay in nanoseconds passes before each call takes effect.
	Delay atomic.Int64
	// Lost makes writes take effect and withholds their replies.
	Lost atomic.Bool
	// Reads and Writes count the calls.
	Reads  atomic.Int64
	Writes atomic.Int64
}

// NewReaderTable returns a way to a table without faults.
func NewReaderTable(table backend.Table) *ReaderTable { return &ReaderTable{table: table} }

func (s *ReaderTable) enter(ctx context.Context, op string) error {
	if delay := time.Duration(s.Delay.Load()); delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return fault.New(fault.CodeStoreUnavailable, op, "too slow")
		}
	}
	if s.Down.Load() {
		return fault.New(fault.CodeStoreUnavailable, op, "the store is down for this instance")
	}
	return nil
}

// Get implements backend.Table.
func (s *ReaderTable) Get(ctx context.Context, key string) (backend.Row, error) {
	s.Reads.Add(1)
	if err := s.enter(ctx, "get"); err != nil {
		return backend.Row{Key: key}, err
	}
	return s.table.Get(ctx, key)
}

// List implements backend.Table.
func (s *ReaderTable) List(ctx context.Context, prefix string) ([]backend.Row, error) {
	s.Reads.Add(1)
	if err := s.enter(ctx, "list"); err != nil {
		return nil, err
	}
	return s.table.List(ctx, prefix)
}

// Commit implements backend.Table.
func (s *ReaderTable) Commit(ctx context.Context, txn backend.Txn) (backend.CommitResult, error) {
	s.Writes.Add(1)
	if err := s.enter(ctx, "commit"); err != nil {
		return backend.CommitResult{}, err
	}
	result, err := s.table.Commit(ctx, txn)
	if err == nil && s.Lost.Load() {
		return backend.CommitResult{}, fault.New(fault.CodeStoreUnavailable, "commit", "the reply was lost")
	}
	return result, err
}

// ReaderDirectory is one instance's way to the directory, which may know earlier than others that a worker leaves.
type ReaderDirectory struct {
	directory backend.Directory
	leaving   atomic.Pointer[api.WorkerID]
}

// NewReaderDirectory returns a way to a directory that shows what the directory shows.
func NewReaderDirectory(directory backend.Directory) *ReaderDirectory {
	return &ReaderDirectory{directory: directory}
}

// SetLeaving lets this reader see a worker as leaving.
func (s *ReaderDirectory) SetLeaving(id api.WorkerID) { s.leaving.Store(&id) }

// List implements backend.Directory.
func (s *ReaderDirectory) List(ctx context.Context) ([]backend.Entry, error) {
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
