package main

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"bronzehook/fault"
	"bronzehook/replay"
)

// Guards against a table that differs between two runs with one seed, or that lacks a measure.
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
		t.Errorf("tables of one seed differ (-first +second):\n%s", diff)
	}
	var measures []string
	for _, row := range first.Rows {
		measures = append(measures, row[2])
	}
	want := []string{"service p99 (ms)", "batch work (task h)", "runs late", "evictions"}
	if diff := cmp.Diff(want, measures); diff != "" {
		t.Errorf("measures (-want +got):\n%s", diff)
	}
}

// Guards against a replay that goes on after an interrupt.
func TestInterruptEndsMeasure(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := traceMeasurer{traces: replay.Traces()}.Measure(ctx, "", 1)
	if !errors.Is(err, context.Canceled) {
		t.Errorf("failure %v, want context canceled", err)
	}
}

// Guards against an unknown site that yields an empty table.
func TestUnknownSiteIsRefused(t *testing.T) {
	_, err := traceMeasurer{traces: replay.Traces()}.Measure(t.Context(), "none", 1)
	if !fault.Is(err, fault.CodeNotFound) {
		t.Errorf("failure %v, want not-found", err)
	}
}
