package measure

import (
	"math"
	"testing"
	"time"
)

// Guards against a comparison with the newest measurement instead of the best, and against one try that was interrupted.
func TestSpeedIsComparedWithTheBest(t *testing.T) {
	now := time.Unix(0, 0)
	var steps []time.Duration
	clock := func() time.Time {
		now = now.Add(steps[0])
		steps = steps[1:]
		return now
	}
	// Each try reads the clock twice.
	takes := func(tries ...time.Duration) {
		for _, d := range tries {
			steps = append(steps, 0, d)
		}
	}
	takes(40*time.Microsecond, 50*time.Microsecond, 60*time.Microsecond)
	s := newSpeed(clock)
	cases := []struct {
		name  string
		tries []time.Duration
		want  float64
	}{
		{name: "as before", tries: []time.Duration{40 * time.Microsecond, 90 * time.Millisecond, 41 * time.Microsecond}, want: 1},
		{name: "slow", tries: []time.Duration{200 * time.Microsecond, 210 * time.Microsecond, 220 * time.Microsecond}, want: 0.2},
		{name: "still slow", tries: []time.Duration{160 * time.Microsecond, 210 * time.Microsecond, 220 * time.Microsecond}, want: 0.25},
		{name: "faster than ever", tries: []time.Duration{20 * time.Microsecond, 20 * time.Microsecond, 20 * time.Microsecond}, want: 1},
		{name: "half as fast", tries: []time.Duration{40 * time.Microsecond, 40 * time.Microsecond, 40 * time.Microsecond}, want: 0.5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			takes(c.tries...)
			if got := s.Share(); math.Abs(got-c.want) > 1e-9 {
				t.Errorf("share %v, want %v", got, c.want)
			}
		})
	}
}
