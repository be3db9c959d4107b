package execution

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"bronzehook/fault"
	"bronzehook/jobs"
	"bronzehook/leadership"
	"bronzehook/store"
	"bronzehook/store/memory"
)

// slowLinkTable is a table behind a slow link, on which large pages do not arrive in time.
type slowLinkTable struct {
	*memory.Table
	maxRows int
	// onRange is called with each page that is requested.
	onRange func()
}

func (l *slowLinkTable) Range(ctx context.Context, table, from, to string, limit int) (store.Changes, error) {
	page, err := l.Table.Range(ctx, table, from, to, limit)
	if l.onRange != nil {
		l.onRange()
	}
	if len(page.Rows) > l.maxRows {
		return store.Changes{}, errors.WithStack(&store.CallError{Call: "range", Kind: fault.CodeStoreUnavailable, Detail: "timeout"})
	}
	return page, err
}

// Guards against a leader with a slow link that never finishes reading its tables, loses leadership over it and
// acquires it again, forever.
func TestTablesAreReadOverSlowLink(t *testing.T) {
	r := newRig(t, memory.New())
	const count = 400
	var txn store.Txn
	for i := range count {
		id := fmt.Sprintf("%016x", i)
		spec := &jobs.Spec{ID: jobs.ID(id), Queue: testQueue, Steps: []jobs.Step{oneStep(1, 100)}}
		txn.Puts = append(txn.Puts, store.Put{Key: store.JobKey(id), Value: jobs.Encode(spec)})
	}
	if _, err := r.table.Commit(r.ctx, txn); err != nil {
		t.Fatal(err)
	}
	r.opts.Table = &slowLinkTable{Table: r.table, maxRows: 60, onRange: func() { r.advanceClock(800 * time.Millisecond) }}
	ctx, cancel := context.WithTimeout(r.ctx, 20*time.Second)
	defer cancel()
	r.ctx = ctx
	if _, err := r.load(); err != nil {
		t.Fatal(err)
	}
	if len(r.jobs) != count {
		t.Errorf("%d of %d jobs", len(r.jobs), count)
	}
}

// Guards against a leader whose leadership lease expires while it reads its tables although the store answers.
func TestLeadershipIsRenewedDuringLoad(t *testing.T) {
	r := newRig(t, memory.New())
	before := r.table.Commits()
	r.opts.Table = &slowLinkTable{Table: r.table, maxRows: 60, onRange: func() { time.Sleep(2 * loadRenewInterval) }}
	if _, err := r.load(); err != nil {
		t.Fatal(err)
	}
	if renewals := r.table.Commits() - before; renewals < 4 {
		t.Errorf("%d renewals while three tables were read for %v each", renewals, 2*loadRenewInterval)
	}
}

// Guards against a leader that goes on reading its tables after another instance has acquired leadership.
func TestLoadEndsOnTakeover(t *testing.T) {
	table := memory.New()
	r := newRig(t, table)
	newRig(t, table)
	r.opts.Table = &slowLinkTable{Table: table, maxRows: -1}
	_, err := r.load()
	var lost *leadership.LostError
	if !errors.As(err, &lost) {
		t.Errorf("error %v", err)
	}
}
