// Package hedge sends a call to the store again if its reply is overdue (a hedged request), on another connection and
// long before the call times out.
//
// A transaction may safely be sent twice if its conditions no longer hold once it has taken effect, or if it writes the
// same values again. A copy may fail with a conflict because an earlier copy has taken effect, so callers compare the
// current rows with what they wrote.
package hedge

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bronzehook/fault"
	"bronzehook/recovery"
	"bronzehook/store"
)

// When a call is sent again.
const (
	// maxCopies bounds how often a call is sent, including the first time.
	maxCopies = 5
	// A reply is overdue after overdueFactor times the recent duration of calls plus overdueMargin.
	overdueFactor = 3
	overdueMargin = 60 * time.Millisecond
	// An overdue reply counts as lost if a call that was sent later has been answered. Without that evidence the store
	// may just be slow, and copies would add to its queue: then a copy is sent only after slowStoreFactor times the
	// overdue time.
	slowStoreFactor = 4
	// durationDecay bounds the decay of the recent duration: each faster call leaves at least this share of it.
	durationDecay = 0.8
	// copyBurst and copiesPerSecond bound the copies that are themselves not answered in time: they only add load
	// to a store that is slow or unavailable.
	copyBurst       = 10
	copiesPerSecond = 4
)

// Table sends overdue calls to a table again.
type Table struct {
	store.Table
	commits, reads recentDuration
	// lastAnswered is the latest send time among the calls that have been answered, in ns since the Unix epoch.
	lastAnswered atomic.Int64
	budget       budget
	repeated     prometheus.Counter
	guard        *recovery.Guard
}

// New returns a table that hedges the calls to another one and registers its metric.
func New(inner store.Table, registry prometheus.Registerer, guard *recovery.Guard) *Table {
	t := &Table{
		Table: inner, guard: guard, budget: budget{available: copyBurst, updatedAt: time.Now()},
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

// Watch implements store.Table. A watch that is overdue, beyond the time for which the store may delay its reply, is sent once
// more without that delay. Otherwise a connection that has become silent would hide the changes until the call times out.
func (t *Table) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (store.Changes, error) {
	replies := make(chan reply[store.Changes], 2)
	overdueAfter := t.reads.overdueAfter()
	send := func(wait time.Duration, isCopy bool) {
		sent := time.Now()
		var value store.Changes
		var err error
		if panicked := t.guard.Do("store call", func() { value, err = t.Table.Watch(ctx, table, after, wait) }); panicked != nil {
			err = panicked
		}
		result := reply[store.Changes]{value, err}
		if isCopy && result.conclusive() {
			t.reads.observe(time.Since(sent))
			if time.Since(sent) < overdueAfter {
				t.budget.refund()
			}
		}
		replies <- result
	}
	overdue := time.NewTimer(wait + overdueAfter)
	defer overdue.Stop()
	go send(wait, false)
	for pending := 1; ; {
		select {
		case result := <-replies:
			pending--
			if pending == 0 || result.conclusive() {
				return result.value, result.err
			}
		case <-overdue.C:
			if t.budget.take(time.Now()) {
				pending++
				t.repeated.Inc()
				go send(0, true)
			}
		}
	}
}

// reply is the result of one copy of a call.
type reply[T any] struct {
	value T
	err   error
}

// conclusive reports whether the reply decides the call, whatever other copies return: the call succeeded, or failed
// because of its content and not because of the state of the store or the network.
func (r *reply[T]) conclusive() bool {
	switch fault.CodeOf(r.err) {
	case fault.CodeOutcomeUnknown, fault.CodeStoreUnavailable, fault.CodeOverloaded:
		return r.err == nil
	}
	return true
}

// hedged makes a call and sends copies of it while its reply is overdue. If no copy gets a conclusive reply, the
// outcome is unknown if it is unknown for one of them.
func hedged[T any](t *Table, recent *recentDuration, call func() (T, error)) (T, error) {
	replies := make(chan reply[T], maxCopies)
	wait := recent.overdueAfter()
	send := func(isCopy bool) {
		sent := time.Now()
		var value T
		var err error
		if panicked := t.guard.Do("store call", func() { value, err = call() }); panicked != nil {
			err = panicked
		}
		result := reply[T]{value, err}
		if result.conclusive() {
			recent.observe(time.Since(sent))
			t.recordAnswered(sent)
			if isCopy && time.Since(sent) < wait {
				t.budget.refund()
			}
		}
		replies <- result
	}
	go send(false)
	lastSent := time.Now()
	overdue := time.NewTicker(wait)
	defer overdue.Stop()
	var failure reply[T]
	for sentCopies, pending := 1, 1; ; {
		select {
		case result := <-replies:
			pending--
			if result.conclusive() {
				return result.value, result.err
			}
			if failure.err == nil || fault.CodeOf(result.err) == fault.CodeOutcomeUnknown {
				failure = result
			}
			if pending == 0 {
				return failure.value, failure.err
			}
		case <-overdue.C:
			due := t.laterCallAnswered(lastSent) || time.Since(lastSent) >= slowStoreFactor*wait
			if due && sentCopies < maxCopies && t.budget.take(time.Now()) {
				sentCopies++
				pending++
				lastSent = time.Now()
				t.repeated.Inc()
				go send(true)
			}
		}
	}
}

// recordAnswered records that a call has been answered that was sent at the given time.
func (t *Table) recordAnswered(sent time.Time) {
	at := sent.UnixNano()
	for before := t.lastAnswered.Load(); at > before && !t.lastAnswered.CompareAndSwap(before, at); before = t.lastAnswered.Load() {
	}
}

// laterCallAnswered reports whether a call has been answered that was sent after the given time.
func (t *Table) laterCallAnswered(sent time.Time) bool {
	return t.lastAnswered.Load() > sent.UnixNano()
}

// recentDuration tracks how long the calls that were answered recently took, weighted towards the slow ones.
type recentDuration struct {
	mu   sync.Mutex
	took time.Duration
}

// observe records the duration of a call that was answered.
func (d *recentDuration) observe(took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.took = max(took, time.Duration(durationDecay*float64(d.took)))
}

// overdueAfter returns how long after its sending a call counts as overdue.
func (d *recentDuration) overdueAfter() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return overdueFactor*d.took + overdueMargin
}

// budget is a token bucket that bounds the copies that are not answered in time.
type budget struct {
	mu        sync.Mutex
	available float64
	updatedAt time.Time
}

// take reports whether a copy may be sent and deducts it from the budget.
func (b *budget) take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(copyBurst, b.available+copiesPerSecond*now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}

// refund returns what a copy took from the budget, because it was answered in time.
func (b *budget) refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(copyBurst, b.available+1)
}
