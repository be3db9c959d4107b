package execution

import (
	"time"

	"bronzehook/jobs"
	"bronzehook/store"
)

// Parameters of the garbage collection of public states.
const (
	stateGCInterval = 15 * time.Second
	// retentionMargin is added to the retention because the instances' wall clocks differ.
	retentionMargin     = time.Minute
	maxDeletesPerCommit = 80
)

// collectExpiredStates deletes the public states of jobs that ended longer ago than the retention. It reads one page of
// the table per interval and continues with the next page.
func (t *Term) collectExpiredStates() {
	from := ""
	for t.ctx.Err() == nil {
		t.sleep(stateGCInterval)
		page, err := t.opts.Table.Range(t.ctx, store.TableStates, from, "", store.PageSize)
		if err != nil {
			continue
		}
		from = ""
		if page.More && len(page.Rows) > 0 {
			from = page.Rows[len(page.Rows)-1].Name + "\x00"
		}
		expired := t.expiredStates(page.Rows)
		if len(expired) > 0 {
			t.post(func() { t.queueDeletes(expired) })
		}
	}
}

// expiredStates returns the keys of the rows whose job ended longer ago than the retention.
func (t *Term) expiredStates(rows []store.Row) []store.Key {
	before := t.opts.Now().Add(-t.opts.Retention - retentionMargin).UnixMilli()
	var expired []store.Key
	for _, row := range rows {
		state, err := jobs.Decode[jobs.PublicState]("state", row.Value)
		if err == nil && state.State.Terminal() && state.Changed < before {
			expired = append(expired, row.Key)
		}
	}
	return expired
}

// queueDeletes queues rows for deletion in the commit queues of their groups.
func (t *Term) queueDeletes(keys []store.Key) {
	for _, key := range keys {
		q := &t.states[key.Group()]
		q.expiredStateKeys = append(q.expiredStateKeys, key)
	}
}

// addExpiredStateDeletes adds deletes of expired rows to a transaction that stores nothing else. They need no
// condition: the state of an ended job does not change any more, and deleting a row that is already gone is harmless.
func (q *commitQueue) addExpiredStateDeletes(txn *store.Txn) {
	n := min(len(q.expiredStateKeys), maxDeletesPerCommit)
	txn.Deletes = append(txn.Deletes, q.expiredStateKeys[:n]...)
	q.expiredStateKeys = q.expiredStateKeys[n:]
}
