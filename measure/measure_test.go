package measure_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"

	"bronzehook/fault"
	"bronzehook/jobs"
	"bronzehook/maintenance"
	"bronzehook/measure"
	"bronzehook/store"
	"bronzehook/store/memory"
	"bronzehook/workers"
)

// callCounts returns the number of recorded calls by metric, call and outcome.
func callCounts(t *testing.T, registry *prometheus.Registry) map[string]uint64 {
	t.Helper()
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	found := make(map[string]uint64)
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			key := family.GetName()
			for _, label := range metric.GetLabel() {
				key += " " + label.GetValue()
			}
			found[key] = metric.GetHistogram().GetSampleCount()
		}
	}
	return found
}

// Guards against calls that are not counted or counted under another name, and against results that are lost in the
// wrappers.
func TestCallsAreCountedByKindAndOutcome(t *testing.T) {
	ctx := context.Background()
	registry := prometheus.NewRegistry()
	table := measure.Table(memory.New(), registry)
	key := store.Key{Table: "t", Name: "a"}
	put := store.Txn{Conditions: []store.Condition{{Key: key}}, Puts: []store.Put{{Key: key, Value: store.PresenceValue}}}
	version, err := table.Commit(ctx, put)
	if err != nil || version == 0 {
		t.Fatalf("version %d, %v", version, err)
	}
	if _, err := table.Commit(ctx, put); !fault.Is(err, fault.CodeConflict) {
		t.Errorf("%v is not a conflict", err)
	}
	if rows, err := table.Range(ctx, "t", "", "", 1); err != nil || len(rows.Rows) != 1 {
		t.Errorf("rows %v, %v", rows, err)
	}
	if _, err := table.Watch(ctx, "t", version, time.Millisecond); err != nil {
		t.Error(err)
	}

	client := measure.Workers(startOnlyWorker{}, registry)
	if clock, _ := client.Start(ctx, workers.Start{}); clock != workerClock {
		t.Errorf("clock %d", clock)
	}
	_ = client.Stop(ctx, workers.Target{}, jobs.Task{}, 1)
	_, _ = client.Poll(ctx, workers.PollRequest{})
	_ = client.Throttle(ctx, workers.Target{}, jobs.Task{}, 1, 50)

	machines := measure.Machines(fakeMachines{}, registry)
	if listed, _ := machines.List(ctx); len(listed) != 1 {
		t.Errorf("%d machines", len(listed))
	}
	_ = machines.Begin(ctx, maintenance.Order{})

	want := map[string]uint64{
		"bronzehook_machine_call_seconds list good":               1,
		"bronzehook_machine_call_seconds maintenance unreachable": 1,
		"bronzehook_store_call_seconds commit good":               1,
		"bronzehook_store_call_seconds commit conflict":           1,
		"bronzehook_store_call_seconds range good":                1,
		"bronzehook_store_call_seconds watch good":                1,
		"bronzehook_worker_call_seconds start good":               1,
		"bronzehook_worker_call_seconds stop unreachable":         1,
		"bronzehook_worker_call_seconds look unreachable":         1,
		"bronzehook_worker_call_seconds pace unreachable":         1,
	}
	if diff := cmp.Diff(want, callCounts(t, registry)); diff != "" {
		t.Error(diff)
	}
}

// fakeMachines is a machine service that lists one machine and answers no other call.
type fakeMachines struct{}

func (fakeMachines) List(context.Context) ([]maintenance.Machine, error) {
	return make([]maintenance.Machine, 1), nil
}

func (fakeMachines) Begin(context.Context, maintenance.Order) error {
	return &maintenance.UnreachableError{}
}

const workerClock = 7

// startOnlyWorker is a worker that accepts starts and answers no other call.
type startOnlyWorker struct{}

func (startOnlyWorker) Start(context.Context, workers.Start) (int64, error) { return workerClock, nil }

func (startOnlyWorker) Stop(context.Context, workers.Target, jobs.Task, int) error {
	return &workers.UnreachableError{}
}

func (startOnlyWorker) Poll(context.Context, workers.PollRequest) (workers.Inventory, error) {
	return workers.Inventory{}, &workers.UnreachableError{}
}

func (startOnlyWorker) Throttle(context.Context, workers.Target, jobs.Task, int, int) error {
	return &workers.UnreachableError{}
}
