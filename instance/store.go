package instance

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"bronzehook/backend"
	"bronzehook/fault"
)

// storeBuckets are the upper bounds of the table's latency histogram in seconds.
var storeBuckets = []float64{0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5}

// storeMonitor is a backend.Table that measures the calls to another one and knows whether it answers.
type storeMonitor struct {
	table   backend.Table
	clock   clockwork.Clock
	latency *prometheus.HistogramVec
	// lastAnswer is the wall-clock time of the last answer in nanoseconds; 0 if there was none.
	lastAnswer atomic.Int64
	failure    atomic.Pointer[string]
}

func newStoreMonitor(table backend.Table, clock clockwork.Clock, registry prometheus.Registerer) *storeMonitor {
	m := &storeMonitor{table: table, clock: clock, latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "bronzehook_store_seconds", Help: "Time of calls to the platform's table.", Buckets: storeBuckets,
	}, []string{"op", "result"})}
	registry.MustRegister(m.latency)
	return m
}

// Get implements backend.Table.
func (m *storeMonitor) Get(ctx context.Context, key string) (backend.Row, error) {
	begun := m.clock.Now()
	row, err := m.table.Get(ctx, key)
	m.observe("get", begun, err)
	return row, err
}

// List implements backend.Table.
func (m *storeMonitor) List(ctx context.Context, prefix string) ([]backend.Row, error) {
	begun := m.clock.Now()
	rows, err := m.table.List(ctx, prefix)
	m.observe("list", begun, err)
	return rows, err
}

// Commit implements backend.Table.
func (m *storeMonitor) Commit(ctx context.Context, txn backend.Txn) (backend.CommitResult, error) {
	begun := m.clock.Now()
	result, err := m.table.Commit(ctx, txn)
	m.observe("commit", begun, err)
	return result, err
}

func (m *storeMonitor) observe(op string, begun time.Time, err error) {
	result := "ok"
	if err != nil {
		result = string(fault.CodeOf(err))
	}
	m.latency.WithLabelValues(op, result).Observe(m.clock.Since(begun).Seconds())
	if fault.Is(err, fault.CodeStoreUnavailable) {
		reason := err.Error()
		m.failure.Store(&reason)
		return
	}
	m.failure.Store(nil)
	m.lastAnswer.Store(m.clock.Now().UnixNano())
}

// health returns why the table does not answer, empty if it does, and the time of its last answer.
func (m *storeMonitor) health() (reason string, lastAnswer time.Time) {
	if at := m.lastAnswer.Load(); at != 0 {
		lastAnswer = time.Unix(0, at)
	}
	if failure := m.failure.Load(); failure != nil {
		reason = *failure
	}
	return reason, lastAnswer
}
