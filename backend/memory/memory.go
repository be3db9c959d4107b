// Package memory is an in-memory implementation of the platform's table without faults. The fakes of the table build on
// it.
package memory

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"bronzehook/backend"
	"bronzehook/fault"
)

// maxStoredResults bounds the number of operations whose results are stored for repetitions. It covers more than five
// minutes at the several hundred writes per second of the platform. A later repetition is evaluated as a new operation.
const maxStoredResults = 200_000

// Table is an in-memory table. The version of a row is the number of the commit that wrote it, so that a row that is
// deleted and written again never repeats a version. It has to be created with New and is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	commits uint64
	rows    map[string]backend.Row
	results map[string]backend.CommitResult
	// operations holds the keys of results, ordered from oldest to newest.
	operations []string
}

// New returns an empty table.
func New() *Table {
	return &Table{rows: map[string]backend.Row{}, results: map[string]backend.CommitResult{}}
}

// Get returns a row, or an error with fault.CodeNotFound.
func (t *Table) Get(key string) (backend.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[key]
	if !ok {
		return backend.Row{Key: key}, fault.New(fault.CodeNotFound, "table get", "no row %q", key)
	}
	return row, nil
}

// List returns the rows whose keys start with prefix, ordered by key.
func (t *Table) List(prefix string) []backend.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := []backend.Row{}
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b backend.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}

// Commit executes a transaction. If its operation has been executed before, Commit returns the first result and sets
// repeated.
func (t *Table) Commit(txn backend.Txn) (result backend.CommitResult, repeated bool, err error) {
	if txn.OpID == "" {
		return backend.CommitResult{}, false, fault.New(fault.CodeInvalid, "table commit", "the operation id is missing")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if first, ok := t.results[txn.OpID]; ok {
		return copyResult(first), true, nil
	}
	for _, condition := range txn.Conditions {
		if version := t.rows[condition.Key].Version; version != condition.Version {
			return backend.CommitResult{}, false, fault.New(fault.CodeConflict, "table commit",
				"row %q has version %d, the condition requires %d", condition.Key, version, condition.Version)
		}
	}
	result = t.write(txn)
	t.storeResult(txn.OpID, result)
	return copyResult(result), false, nil
}

// DiscardResults discards the results of earlier operations, so that their repetition is not recognised. Rows stay.
func (t *Table) DiscardResults() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.results)
	t.operations = nil
}

func (t *Table) write(txn backend.Txn) backend.CommitResult {
	t.commits++
	result := backend.CommitResult{Versions: map[string]uint64{}}
	for _, write := range txn.Writes {
		if write.Delete {
			delete(t.rows, write.Key)
			result.Versions[write.Key] = 0
			continue
		}
		value := slices.Clone(write.Value)
		t.rows[write.Key] = backend.Row{Key: write.Key, Value: value, Version: t.commits, OpID: txn.OpID}
		result.Versions[write.Key] = t.commits
	}
	return result
}

func (t *Table) storeResult(operation string, result backend.CommitResult) {
	t.results[operation] = result
	t.operations = append(t.operations, operation)
	if len(t.operations) > maxStoredResults {
		delete(t.results, t.operations[0])
		t.operations = t.operations[1:]
	}
}

func copyResult(r backend.CommitResult) backend.CommitResult {
	return backend.CommitResult{Versions: maps.Clone(r.Versions)}
}
