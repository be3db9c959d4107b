// Package hedge repeats calls to the table whose answers are overdue, on another connection and long before they time out.
//
// A transaction may be sent twice if its conditions no longer hold once it has taken effect, or if it says the same again. The
// answer to a copy may be a conflict with the effect of an earlier one, so that callers compare what they find with what they
// wrote.
package hedge

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bronzehook/fault"
	"bronzehook/store"
)

// When a call is repeated.
const (
	// maxCopies bounds how often a call is sent, the first time included.
	maxCopies = 5
	// overdueFactor times what calls took of late, and overdueMargin, is when an answer is overdue.
	overdueFactor = 3
	overdueMargin = 60 * time.Millisecond
	// An overdue answer is lost if a call that was sent later has been answered. Without that sign the store may be slow, where
	// copies wait in one line with the calls after them: then a copy is sent after patience times as long.
	patience = 4
	// typicalDecay is what is left of the duration of a slow call with each call that is faster.
	typicalDecay = 0.8
	// repeatsAtOnce and repeatsPerSecond bound the copies that are not answered in time either: a store that is slow or away gains
	// nothing from them.
	repeatsAtOnce    = 10
	repeatsPerSecond = 4
)

// Table repeats overdue calls to a table. Watches are not repeated.
type Table struct {
	store.Table
	commits, reads typical
	// answered is the latest time at which a call was sent that has been answered, in ns since 1970.
	answered atomic.Int64
	budget   budget
	repeated prometheus.Counter
}

// New returns a table on another one.
func New(inner store.Table, registry prometheus.Registerer) *Table {
	t := &Table{
		Table: inner, budget: budget{left: repeatsAtOnce, at: time.Now()},
		repeated: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "bronzehook", Name: "store_calls_repeated_total", Help: "Calls to the store that were sent again because their answer was overdue.",
		}),
	}
	registry.MustRegister(t.repeated)
	return t
}

// Commit implements store.Table.
func (t *Table) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	return hedged(t, &t.commits, func() (uint64, error) { return t.Table.Commit(ctx, txn) })
}

// Range implements store.Table.
func (t *Table) Range(ctx context.Context, table, from, to string, limit int) (store.Changes, error) {
	return hedged(t, &t.reads, func() (store.Changes, error) { return t.Table.Range(ctx, table, from, to, limit) })
}

// answer is what came of one copy of a call.
type answer[T any] struct {
	value T
	err   error
}

// settles reports whether no other copy can say more: the call has succeeded, or failed for a reason in what it asks for.
func (a *answer[T]) settles() bool {
	switch fault.CodeOf(a.err) {
	case fault.CodeOutcomeUnknown, fault.CodeStoreUnavailable, fault.CodeOverloaded:
		return a.err == nil
	}
	return true
}

// hedged makes a call and repeats it while its answer is overdue. Where no copy settles the outcome, it is open if it is open for one
// of them.
func hedged[T any](t *Table, took *typical, do func() (T, error)) (T, error) {
	answers := make(chan answer[T], maxCopies)
	wait := took.overdue()
	send := func(repeated bool) {
		sent := time.Now()
		value, err := do()
		result := answer[T]{value, err}
		if result.settles() {
			took.note(time.Since(sent))
			t.noteAnswered(sent)
			if repeated && time.Since(sent) < wait {
				t.budget.refund()
			}
		}
		answers <- result
	}
	go send(false)
	newest := time.Now()
	overdue := time.NewTicker(wait)
	defer overdue.Stop()
	var worst answer[T]
	for copies, open := 1, 1; ; {
		select {
		case result := <-answers:
			open--
			if result.settles() {
				return result.value, result.err
			}
			if worst.err == nil || fault.CodeOf(result.err) == fault.CodeOutcomeUnknown {
				worst = result
			}
			if open == 0 {
				return worst.value, worst.err
			}
		case <-overdue.C:
			due := t.overtaken(newest) || time.Since(newest) >= patience*wait
			if due && copies < maxCopies && t.budget.take(time.Now()) {
				copies++
				open++
				newest = time.Now()
				t.repeated.Inc()
				go send(true)
			}
		}
	}
}

// noteAnswered notes that a call was answered which was sent at a time.
func (t *Table) noteAnswered(sent time.Time) {
	at := sent.UnixNano()
	for before := t.answered.Load(); at > before && !t.answered.CompareAndSwap(before, at); before = t.answered.Load() {
	}
}

// overtaken reports whether a call has been answered that was sent after a time.
func (t *Table) overtaken(sent time.Time) bool { return t.answered.Load() > sent.UnixNano() }

// typical is how long calls that were answered took of late.
type typical struct {
	mu   sync.Mutex
	took time.Duration
}

func (t *typical) note(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.took = max(took, time.Duration(typicalDecay*float64(t.took)))
}

func (t *typical) overdue() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return overdueFactor*t.took + overdueMargin
}

// budget bounds the copies that are not answered in time.
type budget struct {
	mu   sync.Mutex
	left float64
	at   time.Time
}

// take reports whether a copy may be sent.
func (b *budget) take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(repeatsAtOnce, b.left+repeatsPerSecond*now.Sub(b.at).Seconds())
	b.at = now
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// refund gives back what was taken for a copy that was answered in time.
func (b *budget) refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(repeatsAtOnce, b.left+1)
}
