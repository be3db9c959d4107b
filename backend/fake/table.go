package fake

import (
	"context"

	"bronzehook/backend"
	"bronzehook/backend/memory"
)

// faultyTable is the table with injected faults.
type faultyTable struct {
	rows   *memory.Table
	faults *faultInjector
}

// Get implements backend.Table.
func (t *faultyTable) Get(ctx context.Context, key string) (backend.Row, error) {
	if err := t.faults.beforeCall(ctx, "table get"); err != nil {
		return backend.Row{Key: key}, err
	}
	return t.rows.Get(key)
}

// List implements backend.Table.
func (t *faultyTable) List(ctx context.Context, prefix string) ([]backend.Row, error) {
	if err := t.faults.beforeCall(ctx, "table list"); err != nil {
		return nil, err
	}
	return t.rows.List(prefix), nil
}

// Commit implements backend.Table.
func (t *faultyTable) Commit(ctx context.Context, txn backend.Txn) (backend.CommitResult, error) {
	if err := t.faults.beforeCall(ctx, "table commit"); err != nil {
		return backend.CommitResult{}, err
	}
	result, _, err := t.rows.Commit(txn)
	if err != nil {
		return backend.CommitResult{}, err
	}
	return result, t.faults.afterWrite("table commit")
}
