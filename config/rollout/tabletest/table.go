// Package tabletest provides an in-memory backend.Table for tests. It injects the faults of the platform's table: outages,
// delays and replies that are lost after the write took effect.
package tabletest

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"bronzehook/backend"
	"bronzehook/fault"
)

// Table is an in-memory table. It has to be created with New.
type Table struct {
	mu      sync.Mutex
	rows    map[string]backend.Row
	results map[string]backend.CommitResult
	log     []backend.Txn
	faults  Faults
	reads   int
	commits int
}

// Faults are the faults that the table injects.
type Faults struct {
	Down bool
	// Delay is added to each call.
	Delay time.Duration
	// LostReplies is the number of commits, counted from the next one, that take effect but return an error.
	LostReplies int
}

// New returns an empty table.
func New() *Table {
	return &Table{rows: map[string]backend.Row{}, results: map[string]backend.CommitResult{}}
}

// SetFaults replaces the faults.
func (t *Table) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// DiscardResults discards the results of earlier operations, so that their repetition is not recognised. Rows stay.
func (t *Table) DiscardResults() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.results = map[string]backend.CommitResult{}
}

// Counts returns the numbers of reads and commits that were requested, including failed ones.
func (t *Table) Counts() (reads, commits int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads, t.commits
}

// Log returns the transactions that took effect, in order.
func (t *Table) Log() []backend.Txn {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.log)
}

// Get implements backend.Table.
func (t *Table) Get(ctx context.Context, key string) (backend.Row, error) {
	if err := t.beginCall(ctx, &t.reads); err != nil {
		return backend.Row{}, err
	}
	defer t.mu.Unlock()
	row, ok := t.rows[key]
	if !ok {
		return backend.Row{}, fault.New(fault.CodeNotFound, "table get", "%s", key)
	}
	return row, nil
}

// List implements backend.Table.
func (t *Table) List(ctx context.Context, prefix string) ([]backend.Row, error) {
	if err := t.beginCall(ctx, &t.reads); err != nil {
		return nil, err
	}
	defer t.mu.Unlock()
	var rows []backend.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b backend.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows, nil
}

// Commit implements backend.Table.
func (t *Table) Commit(ctx context.Context, txn backend.Txn) (backend.CommitResult, error) {
	if err := t.beginCall(ctx, &t.commits); err != nil {
		return backend.CommitResult{}, err
	}
	defer t.mu.Unlock()
	if result, repeated := t.results[txn.OpID]; repeated {
		return result, nil
	}
	for _, c := range txn.Conditions {
		if t.rows[c.Key].Version != c.Version {
			return backend.CommitResult{}, fault.New(fault.CodeConflict, "table commit", "%s has version %d", c.Key, t.rows[c.Key].Version)
		}
	}
	result := t.apply(txn)
	if t.faults.LostReplies > 0 {
		t.faults.LostReplies--
		return backend.CommitResult{}, fault.New(fault.CodeStoreUnavailable, "table commit", "reply lost")
	}
	return result, nil
}

func (t *Table) apply(txn backend.Txn) backend.CommitResult {
	result := backend.CommitResult{Versions: map[string]uint64{}}
	for _, w := range txn.Writes {
		if w.Delete {
			delete(t.rows, w.Key)
			result.Versions[w.Key] = 0
			continue
		}
		version := t.rows[w.Key].Version + 1
		t.rows[w.Key] = backend.Row{Key: w.Key, Value: slices.Clone(w.Value), Version: version, OpID: txn.OpID}
		result.Versions[w.Key] = version
	}
	t.results[txn.OpID] = result
	t.log = append(t.log, txn)
	return result
}

// beginCall counts a call and injects the faults. If it returns no error, the caller holds the lock.
func (t *Table) beginCall(ctx context.Context, counter *int) error {
	t.mu.Lock()
	*counter++
	faults := t.faults
	t.mu.Unlock()
	if faults.Delay > 0 {
		select {
		case <-time.After(faults.Delay):
		case <-ctx.Done():
			return fault.New(fault.CodeStoreUnavailable, "table", "%s", ctx.Err())
		}
	}
	if faults.Down || ctx.Err() != nil {
		return fault.New(fault.CodeStoreUnavailable, "table", "down")
	}
	t.mu.Lock()
	return nil
}
