package limit

import (
	"testing"
	"time"
)

// queueingLatency models an endpoint that serves `slots` requests at a time; the latency of more requests grows in
// proportion.
func queueingLatency(base time.Duration, slots, inFlight int) time.Duration {
	return base * time.Duration(max(slots, inFlight)) / time.Duration(slots)
}

func TestLimitFollowsLatency(t *testing.T) {
	const base = 10 * time.Millisecond
	cases := []struct {
		name      string
		realSlots int
		bounds    Bounds
		low, high float64
	}{
		{"the limit of a healthy endpoint must not fall", 8, BoundsOf(8, 64), 8, 8},
		{"the limit must fall if fewer slots are usable than declared", 3, BoundsOf(8, 64), 1, 7},
		{"the limit must not exceed the connections", 8, BoundsOf(8, 4), 4, 4},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := NewState(tc.bounds)
			for range windowSamples {
				s = s.Next(Sample{Latency: base, InFlight: 1})
			}
			for range 200 {
				inFlight := int(s.Limit + 0.5)
				s = s.Next(Sample{Latency: queueingLatency(base, tc.realSlots, inFlight), InFlight: inFlight})
			}
			if s.Limit < tc.low || s.Limit > tc.high {
				t.Errorf("limit = %.2f, want between %.0f and %.0f", s.Limit, tc.low, tc.high)
			}
		})
	}
}

// Guards against a limit that stays at its minimum after an overload has ended.
func TestLimitRecoversAfterDrops(t *testing.T) {
	l := New(BoundsOf(8, 64))
	for range 20 {
		l.Observe(Sample{Dropped: true})
	}
	if got := l.Limit(); got != 1 {
		t.Fatalf("limit after drops = %d, want 1", got)
	}
	for range 100 * windowSamples {
		l.Observe(Sample{Latency: time.Millisecond, InFlight: l.Limit()})
	}
	if got := l.Limit(); got != 8 {
		t.Errorf("limit after recovery = %d, want 8", got)
	}
}
