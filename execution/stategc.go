package execution

import (
	"time"

	"bronzehook/jobs"
	"bronzehook/store"
)

// Timing of the trimming of old states.
const (
	stateGCInterval = 15 * time.Second
	// trimMargin is added to the retention, because the times of day of instances differ.
	trimMargin = time.Minute
	trimBatch  = 80
)

// collectExpiredStates removes the public states of jobs that ended longer ago than they have to be readable. It reads one page of the
// table at a time and goes on from there.
func (t *Term) collectExpiredStates() {
	from := ""
	for t.ctx.Err() == nil {
		t.pause(stateGCInterval)
		page, err := t.opts.Table.Range(t.ctx, store.TableStates, from, "", store.PageSize)
		if err != nil {
			continue
		}
		from = ""
		if page.More && len(page.Rows) > 0 {
			from = page.Rows[len(page.Rows)-1].Name + "\x00"
		}
		old := t.oldStates(page.Rows)
		if len(old) > 0 {
			t.post(func() { t.queueDeletes(old) })
		}
	}
}

// oldStates returns the rows that may be removed.
func (t *Term) oldStates(rows []store.Row) []store.Key {
	before := t.opts.Now().Add(-t.opts.Retention - trimMargin).UnixMilli()
	var old []store.Key
	for _, row := range rows {
		state, err := jobs.Decode[jobs.PublicState]("state", row.Value)
		if err == nil && state.State.Terminal() && state.Changed < before {
			old = append(old, row.Key)
		}
	}
	return old
}

// queueDeletes queues rows for removal.
func (t *Term) queueDeletes(keys []store.Key) {
	for _, key := range keys {
		l := &t.states[key.Group()]
		l.pendingDeletes = append(l.pendingDeletes, key)
	}
}

// addPendingDeletes adds rows to remove to a transaction that stores nothing else. Ended states do not change, so that a row can
// only be gone already, which does no harm.
func (l *commitQueue) addPendingDeletes(txn *store.Txn) {
	n := min(len(l.pendingDeletes), trimBatch)
	txn.Deletes = append(txn.Deletes, l.pendingDeletes[:n]...)
	l.pendingDeletes = l.pendingDeletes[n:]
}
