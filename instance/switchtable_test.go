package instance

import (
	"context"
	"sync/atomic"
	"time"

	"bronzehook/api"
	"bronzehook/fault"
	"bronzehook/platform"
)

// switchTable is one instance's way to the table, with faults that concern this instance only.
type switchTable struct {
	table platform.Table
	down  atomic.Bool
	// delay in nanoseconds passes before each call takes effect.
	delay atomic.Int64
	// lost makes writes take effect and withholds their replies.
	lost   atomic.Bool
	reads  atomic.Int64
	writes atomic.Int64
}

func newSwitchTable(table platform.Table) *switchTable { return &switchTable{table: table} }

func (s *switchTable) enter(ctx context.Context, op string) error {
	if delay := time.Duration(s.delay.Load()); delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return fault.New(fault.CodeStoreUnavailable, op, "too slow")
		}
	}
	if s.down.Load() {
		return fault.New(fault.CodeStoreUnavailable, op, "the store is down for this instance")
	}
	return nil
}

// Get implements platform.Table.
func (s *switchTable) Get(ctx context.Context, key string) (platform.Row, error) {
	s.reads.Add(1)
	if err := s.enter(ctx, "get"); err != nil {
		return platform.Row{Key: key}, err
	}
	return s.table.Get(ctx, key)
}

// List implements platform.Table.
func (s *switchTable) List(ctx context.Context, prefix string) ([]platform.Row, error) {
	s.reads.Add(1)
	if err := s.enter(ctx, "list"); err != nil {
		return nil, err
	}
	return s.table.List(ctx, prefix)
}

// Commit implements platform.Table.
func (s *switchTable) Commit(ctx context.Context, txn platform.Txn) (platform.CommitResult, error) {
	s.writes.Add(1)
	if err := s.enter(ctx, "commit"); err != nil {
		return platform.CommitResult{}, err
	}
	result, err := s.table.Commit(ctx, txn)
	if err == nil && s.lost.Load() {
		return platform.CommitResult{}, fault.New(fault.CodeStoreUnavailable, "commit", "the reply was lost")
	}
	return result, err
}

// switchDirectory is one instance's way to the directory, which may know earlier than others that a worker leaves.
type switchDirectory struct {
	directory platform.Directory
	// leaving holds the ID of the worker, or "".
	leaving atomic.Value
}

// List implements platform.Directory.
func (s *switchDirectory) List(ctx context.Context) ([]platform.Entry, error) {
	entries, err := s.directory.List(ctx)
	for index, entry := range entries {
		if entry.Worker != nil && entry.Worker.ID == api.WorkerID(s.leaving.Load().(string)) {
			w := *entry.Worker
			w.Leaving = true
			entries[index].Worker = &w
		}
	}
	return entries, err
}
