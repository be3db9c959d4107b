package main

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"bronzehook/fault"
	"bronzehook/replay"
)

// Guards against a table that differs between two replays with the same seed, or that lacks a metric.
func TestSameSeedGivesSameTable(t *testing.T) {
	measurer := traceMeasurer{traces: []string{replay.TraceCalm}}
	first, err := measurer.Measure(t.Context(), replay.Tentpole().Name, 1)
	if err != nil {
		t.Fatal(err)
	}
	second, err := measurer.Measure(t.Context(), replay.Tentpole().Name, 1)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(first, second); diff != "" {
		t.Errorf("tables of the same seed differ (-first +second):\n%s", diff)
	}
	var metrics []string
	for _, row := range first.Rows {
		metrics = append(metrics, row[2])
	}
	want := []string{"service p99 (ms)", "batch work (task h)", "runs late", "evictions"}
	if diff := cmp.Diff(want, metrics); diff != "" {
		t.Errorf("metrics (-want +got):\n%s", diff)
	}
}

// Guards against a replay that continues after an interrupt.
func TestInterruptEndsMeasure(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := traceMeasurer{traces: replay.Traces()}.Measure(ctx, "", 1)
	if !errors.Is(err, context.Canceled) {
		t.Errorf("failure %v, want context canceled", err)
	}
}

// Guards against an empty table for an unknown site.
func TestUnknownSiteIsRejected(t *testing.T) {
	_, err := traceMeasurer{traces: replay.Traces()}.Measure(t.Context(), "none", 1)
	if !fault.Is(err, fault.CodeNotFound) {
		t.Errorf("failure %v, want not-found", err)
	}
}
