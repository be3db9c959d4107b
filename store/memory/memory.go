// Package memory provides an in-memory store.Table for tests. It simulates lost requests and replies, delays and
// rejections.
package memory

import (
	"context"
	"sort"
	"sync"
	"time"

	"bronzehook/fault"
	"bronzehook/store"
)

// Mode selects how the table handles commits.
type Mode int

// The modes of handling commits.
const (
	// ModeNormal applies commits and replies.
	ModeNormal Mode = iota
	// ModeReplyLost applies commits but loses the replies.
	ModeReplyLost
	// ModeRequestLost loses the requests: commits are not applied and get no reply.
	ModeRequestLost
	// ModeDelayed delays the requests: commits get no reply, and DeliverDelayed applies them if their conditions still hold.
	ModeDelayed
	// ModeBusy rejects commits as unavailable.
	ModeBusy
)

// Table is an in-memory store.
type Table struct {
	mu      sync.Mutex
	rows    map[store.Key]store.Row
	changes []store.Row
	version uint64
	mode    Mode
	delayed []store.Txn
	commits int
	// refuse returns true for transactions to be rejected as overload; nil rejects none.
	refuse func(store.Txn) bool
	// clock is the store's monotonic clock; the store reports none if nil.
	clock func() time.Duration
}

// New returns an empty table.
func New() *Table { return &Table{rows: make(map[store.Key]store.Row)} }

// SetMode sets how commits are handled.
func (t *Table) SetMode(mode Mode) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mode = mode
}

// SetReject makes the table reject the transactions for which refuse returns true, as a store does if only some of its
// partitions are overloaded.
func (t *Table) SetReject(refuse func(store.Txn) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refuse = refuse
}

// SetClock sets the monotonic clock that Range reports.
func (t *Table) SetClock(clock func() time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clock = clock
}

// Commits returns the number of calls of Commit.
func (t *Table) Commits() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.commits
}

// Value returns the value of a row, or nil if the row does not exist.
func (t *Table) Value(key store.Key) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rows[key].Value
}

// DeliverDelayed applies the commits that ModeDelayed has delayed.
func (t *Table) DeliverDelayed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, txn := range t.delayed {
		_, _ = t.apply(txn)
	}
	t.delayed = nil
}

// Commit implements store.Table.
func (t *Table) Commit(_ context.Context, txn store.Txn) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.commits++
	if t.refuse != nil && t.refuse(txn) {
		return 0, &store.CallError{Call: "commit", Kind: fault.CodeOverloaded, Detail: "refused"}
	}
	unknown := &store.CallError{Call: "commit", Kind: fault.CodeOutcomeUnknown, Detail: "no reply"}
	switch t.mode {
	case ModeBusy:
		return 0, &store.CallError{Call: "commit", Kind: fault.CodeStoreUnavailable, Detail: "busy"}
	case ModeRequestLost:
		return 0, unknown
	case ModeDelayed:
		t.delayed = append(t.delayed, txn)
		return 0, unknown
	case ModeReplyLost:
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

// Watch implements store.Table. It returns at once.
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
