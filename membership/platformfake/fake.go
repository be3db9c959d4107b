// Package platformfake holds small fakes of the platform interfaces for tests.
package platformfake

import (
	"context"
	"slices"
	"sync"

	"bronzehook/backend"
	"bronzehook/backend/memory"
	"bronzehook/fault"
)

// Table is an in-memory backend.Table with injected faults. Its exported fields may be changed only between calls.
type Table struct {
	mu   sync.Mutex
	rows *memory.Table
	// Down makes all calls fail.
	Down bool
	// LoseReplies is the number of next commits that take effect but fail, as if their response was lost.
	LoseReplies int
	// Reads counts the calls of Get and List, Commits those of Commit.
	Reads   int
	Commits int
	// Replayed counts the commits that returned the result of an earlier commit with the same operation ID.
	Replayed int
	// OnWrite is called for each row that is written, in order. It may be nil.
	OnWrite func(row backend.Row)
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{rows: memory.New()} }

func (f *Table) unavailable() error {
	return fault.New(fault.CodeStoreUnavailable, "fake table", "store down or response lost")
}

// Get implements backend.Table.
func (f *Table) Get(_ context.Context, key string) (backend.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Reads++
	if f.Down {
		return backend.Row{}, f.unavailable()
	}
	return f.rows.Get(key)
}

// List implements backend.Table.
func (f *Table) List(_ context.Context, prefix string) ([]backend.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Reads++
	if f.Down {
		return nil, f.unavailable()
	}
	return f.rows.List(prefix), nil
}

// Commit implements backend.Table.
func (f *Table) Commit(_ context.Context, txn backend.Txn) (backend.CommitResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Commits++
	if f.Down {
		return backend.CommitResult{}, f.unavailable()
	}
	result, repeated, err := f.rows.Commit(txn)
	if err != nil {
		return result, err
	}
	if repeated {
		f.Replayed++
		return result, nil
	}
	f.notify(txn, result)
	if f.LoseReplies > 0 {
		f.LoseReplies--
		return backend.CommitResult{}, f.unavailable()
	}
	return result, nil
}

// notify passes the rows that a transaction has written to OnWrite. A deleted row has version 0.
func (f *Table) notify(txn backend.Txn, result backend.CommitResult) {
	if f.OnWrite == nil {
		return
	}
	for _, w := range txn.Writes {
		f.OnWrite(backend.Row{Key: w.Key, Value: w.Value, Version: result.Versions[w.Key], OpID: txn.OpID})
	}
}

// Directory is a backend.Directory that lists Entries.
type Directory struct {
	mu      sync.Mutex
	Entries []backend.Entry
}

// List implements backend.Directory.
func (f *Directory) List(context.Context) ([]backend.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.Entries), nil
}
