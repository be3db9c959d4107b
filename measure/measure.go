// Package measure wraps the interfaces to the store, to workers and to the machines' service and counts how long each kind of call takes.
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

// buckets covers calls that answer at once and those that wait for a change, in seconds.
var buckets = []float64{.002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5}

// outcomeGood is the outcome of a call that did as asked; others are codes of package fault.
const outcomeGood = "good"

type calls struct{ seconds *prometheus.HistogramVec }

func newCalls(registry prometheus.Registerer, name, help string) calls {
	c := calls{prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help, Buckets: buckets,
	}, []string{"call", "outcome"})}
	registry.MustRegister(c.seconds)
	return c
}

func (c calls) note(call string, started time.Time, err error) {
	outcome := outcomeGood
	if err != nil {
		outcome = string(fault.CodeOf(err))
	}
	c.seconds.WithLabelValues(call, outcome).Observe(time.Since(started).Seconds())
}

// timed makes a call with a result and notes it.
func timed[T any](c calls, call string, do func() (T, error)) (T, error) {
	started := time.Now()
	result, err := do()
	c.note(call, started, err)
	return result, err
}

// timedOnly makes a call without a result and notes it.
func timedOnly(c calls, call string, do func() error) error {
	started := time.Now()
	err := do()
	c.note(call, started, err)
	return err
}

type table struct {
	inner store.Table
	calls calls
}

// Table returns a table whose calls are measured.
func Table(inner store.Table, registry prometheus.Registerer) store.Table {
	return &table{inner, newCalls(registry, "store_call_seconds", "Duration of calls to the store; a watch waits for a change.")}
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
	calls calls
}

// Workers returns a client of workers whose calls are measured.
func Workers(inner workers.Client, registry prometheus.Registerer) workers.Client {
	return &client{inner, newCalls(registry, "worker_call_seconds", "Duration of calls to workers; a look may wait for an end.")}
}

// Start implements workers.Client.
func (c *client) Start(ctx context.Context, order workers.Start) (int64, error) {
	return timed(c.calls, "start", func() (int64, error) { return c.inner.Start(ctx, order) })
}

// Stop implements workers.Client.
func (c *client) Stop(ctx context.Context, target workers.Target, task jobs.Task, attempt int) error {
	return timedOnly(c.calls, "stop", func() error { return c.inner.Stop(ctx, target, task, attempt) })
}

// Poll implements workers.Client.
func (c *client) Poll(ctx context.Context, look workers.PollRequest) (workers.Inventory, error) {
	return timed(c.calls, "look", func() (workers.Inventory, error) { return c.inner.Poll(ctx, look) })
}

// Throttle implements workers.Client.
func (c *client) Throttle(ctx context.Context, target workers.Target, task jobs.Task, attempt, percent int) error {
	return timedOnly(c.calls, "pace", func() error { return c.inner.Throttle(ctx, target, task, attempt, percent) })
}

type machines struct {
	inner maintenance.Client
	calls calls
}

// Machines returns a client of the machines' service whose calls are measured.
func Machines(inner maintenance.Client, registry prometheus.Registerer) maintenance.Client {
	return &machines{inner, newCalls(registry, "machine_call_seconds", "Duration of calls to the service that looks after machines.")}
}

// List implements maintenance.Client.
func (m *machines) List(ctx context.Context) ([]maintenance.Machine, error) {
	return timed(m.calls, "list", func() ([]maintenance.Machine, error) { return m.inner.List(ctx) })
}

// Begin implements maintenance.Client.
func (m *machines) Begin(ctx context.Context, order maintenance.Order) error {
	return timedOnly(m.calls, "maintenance", func() error { return m.inner.Begin(ctx, order) })
}
