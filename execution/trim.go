package execution

import (
	"time"

	"bronzehook/jobs"
	"bronzehook/store"
)

// Timing of the trimming of old states.
const (
	trimEvery = 15 * time.Second
	// trimMargin is added to the retention, because the times of day of instances differ.
	trimMargin = time.Minute
	trimBatch  = 80
)

// trim removes the public states of jobs that ended longer ago than they have to be readable. It reads one page of the
// table at a time and goes on from there.
func (t *Term) trim() {
	from := ""
	for t.ctx.Err() == nil {
		t.pause(trimEvery)
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
			t.post(func() { t.forget(old) })
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

// forget queues rows for removal.
func (t *Term) forget(keys []store.Key) {
	for _, key := range keys {
		l := &t.states[key.Group()]
		l.forgotten = append(l.forgotten, key)
	}
}

// addForgotten adds rows to remove to a transaction that stores nothing else. Ended states do not change, so that a row can
// only be gone already, which does no harm.
func (l *lane) addForgotten(txn *store.Txn) {
	n := min(len(l.forgotten), trimBatch)
	txn.Deletes = append(txn.Deletes, l.forgotten[:n]...)
	l.forgotten = l.forgotten[n:]
}
