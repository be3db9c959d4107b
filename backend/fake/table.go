package fake

import (
	"context"
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

// rowTable is the in-memory table without faults. The version of a row is the number of the commit that wrote it, so
// that a row that is deleted and written again never repeats a version.
type rowTable struct {
	mu      sync.Mutex
	commits uint64
	rows    map[string]backend.Row
	results map[string]backend.CommitResult
	// operations holds the keys of results, ordered from oldest to newest.
	operations []string
}

func newRowTable() *rowTable {
	return &rowTable{rows: map[string]backend.Row{}, results: map[string]backend.CommitResult{}}
}

func (t *rowTable) get(key string) (backend.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[key]
	if !ok {
		return backend.Row{Key: key}, fault.New(fault.CodeNotFound, "table get", "no row %q", key)
	}
	return row, nil
}

func (t *rowTable) list(prefix string) []backend.Row {
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

func (t *rowTable) commit(txn backend.Txn) (backend.CommitResult, error) {
	if txn.OpID == "" {
		return backend.CommitResult{}, fault.New(fault.CodeInvalid, "table commit", "the operation id is missing")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if first, ok := t.results[txn.OpID]; ok {
		return copyResult(first), nil
	}
	for _, condition := range txn.Conditions {
		if version := t.rows[condition.Key].Version; version != condition.Version {
			return backend.CommitResult{}, fault.New(fault.CodeConflict, "table commit",
				"row %q has version %d, the condition requires %d", condition.Key, version, condition.Version)
		}
	}
	result := t.write(txn)
	t.storeResult(txn.OpID, result)
	return copyResult(result), nil
}

func (t *rowTable) write(txn backend.Txn) backend.CommitResult {
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

func (t *rowTable) storeResult(operation string, result backend.CommitResult) {
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

// faultyTable is the table with injected faults.
type faultyTable struct {
	rows   *rowTable
	faults *faultInjector
}

// Get implements backend.Table.
func (t *faultyTable) Get(ctx context.Context, key string) (backend.Row, error) {
	if err := t.faults.beforeCall(ctx, "table get"); err != nil {
		return backend.Row{Key: key}, err
	}
	return t.rows.get(key)
}

// List implements backend.Table.
func (t *faultyTable) List(ctx context.Context, prefix string) ([]backend.Row, error) {
	if err := t.faults.beforeCall(ctx, "table list"); err != nil {
		return nil, err
	}
	return t.rows.list(prefix), nil
}

// Commit implements backend.Table.
func (t *faultyTable) Commit(ctx context.Context, txn backend.Txn) (backend.CommitResult, error) {
	if err := t.faults.beforeCall(ctx, "table commit"); err != nil {
		return backend.CommitResult{}, err
	}
	result, err := t.rows.commit(txn)
	if err != nil {
		return backend.CommitResult{}, err
	}
	return result, t.faults.afterWrite("table commit")
}
