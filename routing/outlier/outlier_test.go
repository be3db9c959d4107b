package outlier

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// Guards against an endpoint that refuses connections getting further requests.
func TestConnectionFailureEjects(t *testing.T) {
	d := New(DefaultConfig())
	d.Record(start, ConnectionFailed)
	if w := d.Weight(start); w != 0 {
		t.Errorf("weight after a connection failure = %v, want 0", w)
	}
}

// Guards against an endpoint that accepts connections but fails most requests staying in use.
func TestFailureRateEjects(t *testing.T) {
	d := New(DefaultConfig())
	for i := range 19 {
		d.Record(start, []Result{Failed, Success}[i%2])
	}
	if w := d.Weight(start); w != 1 {
		t.Fatalf("weight before enough requests = %v, want 1", w)
	}
	d.Record(start, Failed)
	if w := d.Weight(start); w != 0 {
		t.Errorf("weight at half failures = %v, want 0", w)
	}
}

// Guards against a herd on a returning endpoint: one probe first, then a share that grows with time.
func TestSlowReturn(t *testing.T) {
	config := DefaultConfig()
	d := New(config)
	d.Record(start, ConnectionFailed)
	back := start.Add(config.BaseEjection)
	if !d.Claim(back) {
		t.Fatal("the probe after the ejection was refused")
	}
	if d.Claim(back) || d.Weight(back) != 0 {
		t.Error("a second request was admitted while the probe runs")
	}
	d.Record(back, Success)
	previous := 0.0
	for part := range 5 {
		now := back.Add(config.Ramp * time.Duration(part) / 4)
		weight := d.Weight(now)
		if weight <= previous {
			t.Errorf("weight %v after %v did not grow from %v", weight, now.Sub(back), previous)
		}
		previous = weight
	}
	if previous != 1 {
		t.Errorf("weight after the ramp = %v, want 1", previous)
	}
}

// Guards against probing a dead endpoint at a constant rate, and against a lost probe blocking the return for ever.
func TestFailedProbeDoublesEjection(t *testing.T) {
	config := DefaultConfig()
	d := New(config)
	d.Record(start, ConnectionFailed)
	now := start.Add(config.BaseEjection)
	d.Claim(now)
	d.Record(now, Failed)
	if d.Claim(now.Add(config.BaseEjection)) {
		t.Error("the second ejection was no longer than the first")
	}
	now = now.Add(2 * config.BaseEjection)
	if !d.Claim(now) {
		t.Fatal("no probe after the second ejection")
	}
	if !d.Claim(now.Add(config.ProbeTimeout)) {
		t.Error("a probe without a result blocks the return")
	}
}
