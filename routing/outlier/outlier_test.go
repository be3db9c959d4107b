package outlier

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// Guards against sending further requests to an endpoint that refuses connections.
func TestConnectionFailureEjects(t *testing.T) {
	d := New(DefaultConfig())
	d.Record(start, ConnectionFailed)
	if w := d.Weight(start); w != 0 {
		t.Errorf("weight after a connection failure = %v, want 0", w)
	}
}

// Guards against continued use of an endpoint that accepts connections but fails at least half of its requests.
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

// Guards against a burst of requests to an endpoint that returns after an ejection: only one probe is admitted at first,
// then the weight grows with time.
func TestGradualReturn(t *testing.T) {
	config := DefaultConfig()
	d := New(config)
	d.Record(start, ConnectionFailed)
	ejectionEnd := start.Add(config.BaseEjection)
	if !d.TryAdmit(ejectionEnd) {
		t.Fatal("the probe after the ejection was refused")
	}
	if d.TryAdmit(ejectionEnd) || d.Weight(ejectionEnd) != 0 {
		t.Error("a second request was admitted while the probe was in flight")
	}
	d.Record(ejectionEnd, Success)
	previous := 0.0
	for step := range 5 {
		now := ejectionEnd.Add(config.Ramp * time.Duration(step) / 4)
		weight := d.Weight(now)
		if weight <= previous {
			t.Errorf("weight %v after %v did not grow from %v", weight, now.Sub(ejectionEnd), previous)
		}
		previous = weight
	}
	if previous != 1 {
		t.Errorf("weight after the ramp = %v, want 1", previous)
	}
}

// Guards against probing a failed endpoint at a constant rate, and against an ejection that never ends because the
// result of a probe was lost.
func TestFailedProbeDoublesEjection(t *testing.T) {
	config := DefaultConfig()
	d := New(config)
	d.Record(start, ConnectionFailed)
	now := start.Add(config.BaseEjection)
	d.TryAdmit(now)
	d.Record(now, Failed)
	if d.TryAdmit(now.Add(config.BaseEjection)) {
		t.Error("the second ejection was not longer than the first")
	}
	now = now.Add(2 * config.BaseEjection)
	if !d.TryAdmit(now) {
		t.Fatal("no probe after the second ejection")
	}
	if !d.TryAdmit(now.Add(config.ProbeTimeout)) {
		t.Error("no second probe although the first one timed out")
	}
}
