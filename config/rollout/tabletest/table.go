// Package tabletest provides an in-memory backend.Table for tests. It injects the faults of the platform's table: outages,
// delays and replies that are lost after the write took effect.
package tabletest

import (
	"context"
	"slices"
	"sync"
	"time"

	"bronzehook/backend"
	"bronzehook/backend/memory"
	"bronzehook/fault"
)

// Table is an in-memory table. It has to be created with New.
type Table struct {
	rows *memory.Table

	mu      sync.Mutex
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
func New() *Table { return &Table{rows: memory.New()} }

// SetFaults replaces the faults.
func (t *Table) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// DiscardResults discards the results of earlier operations, so that their repetition is not recognised. Rows stay.
func (t *Table) DiscardResults() { t.rows.DiscardResults() }

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
	return t.rows.Get(key)
}

// List implements backend.Table.
func (t *Table) List(ctx context.Context, prefix string) ([]backend.Row, error) {
	if err := t.beginCall(ctx, &t.reads); err != nil {
		return nil, err
	}
	defer t.mu.Unlock()
	return t.rows.List(prefix), nil
}

// Commit implements backend.Table.
func (t *Table) Commit(ctx context.Context, txn backend.Txn) (backend.CommitResult, error) {
	if err := t.beginCall(ctx, &t.commits); err != nil {
		return backend.CommitResult{}, err
	}
	defer t.mu.Unlock()
	result, repeated, err := t.rows.Commit(txn)
	if err != nil || repeated {
		return result, err
	}
	t.log = append(t.log, txn)
	if t.faults.LostReplies > 0 {
		t.faults.LostReplies--
		return backend.CommitResult{}, fault.New(fault.CodeStoreUnavailable, "table commit", "reply lost")
	}
	return result, nil
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
