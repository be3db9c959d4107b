// Package memory is a store.Table in memory for tests, with the ways in which a store's answers get lost.
package memory

import (
	"context"
	"sort"
	"sync"
	"time"

	"bronzehook/fault"
	"bronzehook/store"
)

// Mode says what becomes of a commit.
type Mode int

// The modes.
const (
	// ModeNone answers.
	ModeNone Mode = iota
	// ModeLost carries the commit out and gives no answer.
	ModeLost
	// ModeDropped does nothing and gives no answer.
	ModeDropped
	// ModeLate gives no answer and carries the commit out at DeliverLate, if its conditions still hold.
	ModeLate
	// ModeBusy refuses.
	ModeBusy
)

// Table is the store.
type Table struct {
	mu      sync.Mutex
	rows    map[store.Key]store.Row
	changes []store.Row
	version uint64
	mode    Mode
	late    []store.Txn
	commits int
	// refuse turns transactions away that it returns true for; nil refuses none.
	refuse func(store.Txn) bool
	// clock is the store's steady clock; nil tells none.
	clock func() time.Duration
}

// New returns an empty table.
func New() *Table { return &Table{rows: make(map[store.Key]store.Row)} }

// SetMode sets what becomes of commits.
func (t *Table) SetMode(mode Mode) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mode = mode
}

// SetRefuse turns away the transactions for which refuse returns true, as a store does whose parts are unequally loaded.
func (t *Table) SetRefuse(refuse func(store.Txn) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refuse = refuse
}

// SetClock gives the store a steady clock.
func (t *Table) SetClock(clock func() time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clock = clock
}

// Commits counts the commits that were asked for.
func (t *Table) Commits() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.commits
}

// Value returns the value of a row, or nil.
func (t *Table) Value(key store.Key) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rows[key].Value
}

// DeliverLate carries out what ModeLate held back.
func (t *Table) DeliverLate() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, txn := range t.late {
		_, _ = t.apply(txn)
	}
	t.late = nil
}

// Commit implements store.Table.
func (t *Table) Commit(_ context.Context, txn store.Txn) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.commits++
	if t.refuse != nil && t.refuse(txn) {
		return 0, &store.CallError{Call: "commit", Kind: fault.CodeOverloaded, Detail: "refused"}
	}
	unknown := &store.CallError{Call: "commit", Kind: fault.CodeOutcomeUnknown, Detail: "no answer"}
	switch t.mode {
	case ModeBusy:
		return 0, &store.CallError{Call: "commit", Kind: fault.CodeStoreUnavailable, Detail: "busy"}
	case ModeDropped:
		return 0, unknown
	case ModeLate:
		t.late = append(t.late, txn)
		return 0, unknown
	case ModeLost:
		_, _ = t.apply(txn)
		return 0, unknown
	}
	return t.apply(txn)
}

func (t *Table) apply(txn store.Txn) (uint64, error) {
	conflict := &store.ConflictError{}
	failed := false
	for _, c := range txn.Conditions {
		row := t.rows[c.Key]
		failed = failed || row.Version != c.Version
		if row.Version != 0 {
			conflict.Current = append(conflict.Current, row)
		}
	}
	if failed {
		return 0, conflict
	}
	t.version++
	for _, p := range txn.Puts {
		row := store.Row{Key: p.Key, Value: p.Value, Version: t.version}
		t.rows[p.Key] = row
		t.changes = append(t.changes, row)
	}
	for _, key := range txn.Deletes {
		delete(t.rows, key)
		t.changes = append(t.changes, store.Row{Key: key, Version: t.version, Deleted: true})
	}
	return t.version, nil
}

// Range implements store.Table.
func (t *Table) Range(_ context.Context, table, from, to string, limit int) (store.Changes, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := store.Changes{Version: t.version}
	if t.clock != nil {
		found.Clock = t.clock()
	}
	for key, row := range t.rows {
		if key.Table == table && key.Name >= from && (to == "" || key.Name < to) {
			found.Rows = append(found.Rows, row)
		}
	}
	sort.Slice(found.Rows, func(i, j int) bool { return found.Rows[i].Name < found.Rows[j].Name })
	if len(found.Rows) > limit {
		found.Rows, found.More = found.Rows[:limit], true
	}
	return found, nil
}

// Watch implements store.Table. It does not wait.
func (t *Table) Watch(_ context.Context, table string, after uint64, _ time.Duration) (store.Changes, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := store.Changes{Version: t.version}
	for _, row := range t.changes {
		if row.Table == table && row.Version > after {
			found.Rows = append(found.Rows, row)
		}
	}
	return found, nil
}
