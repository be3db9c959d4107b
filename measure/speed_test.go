package measure

import (
	"math"
	"testing"
	"time"
)

// Guards against a comparison with the newest measurement instead of the best one, and against the influence of single
// samples that were interrupted or took no time, or of a clock that stands still for a whole measurement.
func TestSpeedIsComparedWithTheBest(t *testing.T) {
	now := time.Unix(0, 0)
	var clockSteps []time.Duration
	clock := func() time.Time {
		now = now.Add(clockSteps[0])
		clockSteps = clockSteps[1:]
		return now
	}
	// Each sample reads the clock twice.
	addSamples := func(samples ...time.Duration) {
		for _, d := range samples {
			clockSteps = append(clockSteps, 0, d)
		}
	}
	const us = time.Microsecond
	addSamples(50*us, 40*us, 40*us, 40*us, 41*us)
	s := newSpeed(clock)
	cases := []struct {
		name    string
		samples []time.Duration
		want    float64
	}{
		{name: "as before", samples: []time.Duration{40 * us, 90 * time.Millisecond, 40 * us, 40 * us, 60 * us}, want: 1},
		{name: "two samples without time", samples: []time.Duration{0, 40 * us, 41 * us, 0, 40 * us}, want: 1},
		{name: "slow", samples: []time.Duration{200 * us, 210 * us, 200 * us, 190 * us, 200 * us}, want: 0.2},
		{name: "still slow", samples: []time.Duration{160 * us, 210 * us, 160 * us, 160 * us, 220 * us}, want: 0.25},
		{name: "no time in any sample", samples: []time.Duration{0, 0, 0, 0, 0}, want: 1},
		{name: "a clock that stands still", samples: []time.Duration{2, 2, 2, 2, 2}, want: 1},
		{name: "as before after the clock stood still", samples: []time.Duration{40 * us, 40 * us, 40 * us, 40 * us, 40 * us}, want: 1},
		{name: "much faster", samples: []time.Duration{20 * us, 20 * us, 20 * us, 20 * us, 20 * us}, want: 1},
		{name: "much faster for the second time", samples: []time.Duration{20 * us, 20 * us, 21 * us, 20 * us, 20 * us}, want: 1},
		{name: "much faster for the third time", samples: []time.Duration{20 * us, 20 * us, 20 * us, 19 * us, 20 * us}, want: 1},
		{name: "half as fast", samples: []time.Duration{40 * us, 40 * us, 40 * us, 40 * us, 40 * us}, want: 0.5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			addSamples(c.samples...)
			if got := s.Relative(); math.Abs(got-c.want) > 1e-9 {
				t.Errorf("share %v, want %v", got, c.want)
			}
		})
	}
}
