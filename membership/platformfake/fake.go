// Package platformfake holds small fakes of the platform interfaces for tests.
package platformfake

import (
	"context"
	"slices"
	"strings"
	"sync"

	"bronzehook/backend"
	"bronzehook/fault"
)

// Table is an in-memory backend.Table with injected faults. Its exported fields may be changed only between calls.
type Table struct {
	mu      sync.Mutex
	rows    map[string]backend.Row
	results map[string]backend.CommitResult
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
func NewTable() *Table {
	return &Table{rows: map[string]backend.Row{}, results: map[string]backend.CommitResult{}}
}

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
	row, ok := f.rows[key]
	if !ok {
		return row, fault.New(fault.CodeNotFound, "fake table", "%s", key)
	}
	return row, nil
}

// List implements backend.Table.
func (f *Table) List(_ context.Context, prefix string) ([]backend.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Reads++
	if f.Down {
		return nil, f.unavailable()
	}
	var rows []backend.Row
	for key, row := range f.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b backend.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows, nil
}

// Commit implements backend.Table.
func (f *Table) Commit(_ context.Context, txn backend.Txn) (backend.CommitResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Commits++
	if f.Down {
		return backend.CommitResult{}, f.unavailable()
	}
	if result, ok := f.results[txn.OpID]; ok {
		f.Replayed++
		return result, nil
	}
	for _, c := range txn.Conditions {
		if f.rows[c.Key].Version != c.Version {
			return backend.CommitResult{}, fault.New(fault.CodeConflict, "fake table", "%s", c.Key)
		}
	}
	result := backend.CommitResult{Versions: map[string]uint64{}}
	for _, w := range txn.Writes {
		version := f.rows[w.Key].Version + 1
		f.rows[w.Key] = backend.Row{Key: w.Key, Value: w.Value, Version: version, OpID: txn.OpID}
		result.Versions[w.Key] = version
		if f.OnWrite != nil {
			f.OnWrite(f.rows[w.Key])
		}
		if w.Delete {
			delete(f.rows, w.Key)
			result.Versions[w.Key] = 0
		}
	}
	f.results[txn.OpID] = result
	if f.LoseReplies > 0 {
		f.LoseReplies--
		return backend.CommitResult{}, f.unavailable()
	}
	return result, nil
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
