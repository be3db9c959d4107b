// Package measure wraps the clients of the store, the workers and the machine service to record the duration of their
// calls as metrics. It also measures the run delay of goroutines and the computing speed of this process.
package measure

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bronzehook/fault"
	"bronzehook/jobs"
	"bronzehook/maintenance"
	"bronzehook/store"
	"bronzehook/workers"
)

const namespace = "bronzehook"

// buckets are the histogram buckets in seconds, for calls that return at once as well as long polls.
var buckets = []float64{.002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5}

// outcomeSuccess is the outcome label of successful calls; the others are codes of package fault.
const outcomeSuccess = "good"

// callMetrics is a histogram of call durations by call and outcome.
type callMetrics struct{ seconds *prometheus.HistogramVec }

func newCallMetrics(registry prometheus.Registerer, name, help string) callMetrics {
	c := callMetrics{prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help, Buckets: buckets,
	}, []string{"call", "outcome"})}
	registry.MustRegister(c.seconds)
	return c
}

func (c callMetrics) observe(call string, started time.Time, err error) {
	outcome := outcomeSuccess
	if err != nil {
		outcome = string(fault.CodeOf(err))
	}
	c.seconds.WithLabelValues(call, outcome).Observe(time.Since(started).Seconds())
}

// timed makes a call that returns a result and records its duration.
func timed[T any](c callMetrics, call string, makeCall func() (T, error)) (T, error) {
	started := time.Now()
	result, err := makeCall()
	c.observe(call, started, err)
	return result, err
}

// timedNoResult makes a call that returns no result and records its duration.
func timedNoResult(c callMetrics, call string, makeCall func() error) error {
	started := time.Now()
	err := makeCall()
	c.observe(call, started, err)
	return err
}

type table struct {
	inner store.Table
	calls callMetrics
}

// Table wraps a table and records the duration of its calls.
func Table(inner store.Table, registry prometheus.Registerer) store.Table {
	return &table{inner, newCallMetrics(registry, "store_call_seconds", "Duration of calls to the store; a watch waits for a change.")}
}

// Commit implements store.Table.
func (t *table) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	return timed(t.calls, "commit", func() (uint64, error) { return t.inner.Commit(ctx, txn) })
}

// Range implements store.Table.
func (t *table) Range(ctx context.Context, name, from, to string, limit int) (store.Changes, error) {
	return timed(t.calls, "range", func() (store.Changes, error) { return t.inner.Range(ctx, name, from, to, limit) })
}

// Watch implements store.Table.
func (t *table) Watch(ctx context.Context, name string, after uint64, wait time.Duration) (store.Changes, error) {
	return timed(t.calls, "watch", func() (store.Changes, error) { return t.inner.Watch(ctx, name, after, wait) })
}

type client struct {
	inner workers.Client
	calls callMetrics
}

// Workers wraps a client of workers and records the duration of its calls.
func Workers(inner workers.Client, registry prometheus.Registerer) workers.Client {
	return &client{inner, newCallMetrics(registry, "worker_call_seconds", "Duration of calls to workers; a look may wait for an end.")}
}

// Start implements workers.Client.
func (c *client) Start(ctx context.Context, command workers.Start) (int64, error) {
	return timed(c.calls, "start", func() (int64, error) { return c.inner.Start(ctx, command) })
}

// Stop implements workers.Client.
func (c *client) Stop(ctx context.Context, target workers.Target, task jobs.Task, attempt int) error {
	return timedNoResult(c.calls, "stop", func() error { return c.inner.Stop(ctx, target, task, attempt) })
}

// Poll implements workers.Client.
func (c *client) Poll(ctx context.Context, request workers.PollRequest) (workers.Inventory, error) {
	return timed(c.calls, "look", func() (workers.Inventory, error) { return c.inner.Poll(ctx, request) })
}

// Throttle implements workers.Client.
func (c *client) Throttle(ctx context.Context, target workers.Target, task jobs.Task, attempt, percent int) error {
	return timedNoResult(c.calls, "pace", func() error { return c.inner.Throttle(ctx, target, task, attempt, percent) })
}

type machines struct {
	inner maintenance.Client
	calls callMetrics
}

// Machines wraps a client of the machine service and records the duration of its calls.
func Machines(inner maintenance.Client, registry prometheus.Registerer) maintenance.Client {
	return &machines{inner, newCallMetrics(registry, "machine_call_seconds", "Duration of calls to the service that looks after machines.")}
}

// List implements maintenance.Client.
func (m *machines) List(ctx context.Context) ([]maintenance.Machine, error) {
	return timed(m.calls, "list", func() ([]maintenance.Machine, error) { return m.inner.List(ctx) })
}

// Begin implements maintenance.Client.
func (m *machines) Begin(ctx context.Context, command maintenance.Order) error {
	return timedNoResult(m.calls, "maintenance", func() error { return m.inner.Begin(ctx, command) })
}
