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

// storeLatencyBuckets are the upper bounds of the table's latency histogram in seconds.
var storeLatencyBuckets = []float64{0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5}

// tableMonitor is a backend.Table that forwards calls to another one, measures them and records whether it is
// available.
type tableMonitor struct {
	table   backend.Table
	clock   clockwork.Clock
	latency *prometheus.HistogramVec
	// lastResponse is the wall-clock time of the last response in Unix nanoseconds; 0 if there was none.
	lastResponse atomic.Int64
	// outage is why the table was unavailable in the last call; nil if it responded.
	outage atomic.Pointer[string]
}

func newTableMonitor(table backend.Table, clock clockwork.Clock, registry prometheus.Registerer) *tableMonitor {
	m := &tableMonitor{table: table, clock: clock, latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "bronzehook_store_seconds", Help: "Time of calls to the platform's table.", Buckets: storeLatencyBuckets,
	}, []string{"op", "result"})}
	registry.MustRegister(m.latency)
	return m
}

// Get implements backend.Table.
func (m *tableMonitor) Get(ctx context.Context, key string) (backend.Row, error) {
	start := m.clock.Now()
	row, err := m.table.Get(ctx, key)
	m.observe("get", start, err)
	return row, err
}

// List implements backend.Table.
func (m *tableMonitor) List(ctx context.Context, prefix string) ([]backend.Row, error) {
	start := m.clock.Now()
	rows, err := m.table.List(ctx, prefix)
	m.observe("list", start, err)
	return rows, err
}

// Commit implements backend.Table.
func (m *tableMonitor) Commit(ctx context.Context, txn backend.Txn) (backend.CommitResult, error) {
	start := m.clock.Now()
	result, err := m.table.Commit(ctx, txn)
	m.observe("commit", start, err)
	return result, err
}

func (m *tableMonitor) observe(op string, start time.Time, err error) {
	result := "ok"
	if err != nil {
		result = string(fault.CodeOf(err))
	}
	m.latency.WithLabelValues(op, result).Observe(m.clock.Since(start).Seconds())
	if fault.Is(err, fault.CodeStoreUnavailable) {
		reason := err.Error()
		m.outage.Store(&reason)
		return
	}
	m.outage.Store(nil)
	m.lastResponse.Store(m.clock.Now().UnixNano())
}

// health returns why the table is unavailable, empty if it is available, and the time of its last response.
func (m *tableMonitor) health() (reason string, lastResponse time.Time) {
	if at := m.lastResponse.Load(); at != 0 {
		lastResponse = time.Unix(0, at)
	}
	if outage := m.outage.Load(); outage != nil {
		reason = *outage
	}
	return reason, lastResponse
}
