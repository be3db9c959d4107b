package execution

import (
	"testing"
	"time"

	"bronzehook/store/memory"
)

// Guards against a leader that keeps leadership while its processor is too slow for it, and against one that resigns
// because of a short burst. On benchmark days with a slow leader, whose ticks were 25 ms late and whose goroutines
// waited for 110 ms, the score of the workload "rosters" was 0.27 to 0.37.
func TestSustainedOverloadIsReported(t *testing.T) {
	const slow, normal = 110 * time.Millisecond, 3 * time.Millisecond
	cases := []struct {
		name   string
		delays []time.Duration
		want   bool
	}{
		{name: "enough processor time", delays: []time.Duration{normal, normal, normal, normal}, want: false},
		{name: "one burst", delays: []time.Duration{normal, slow, normal, slow, normal}, want: false},
		{name: "slow for a second", delays: []time.Duration{normal, slow, slow}, want: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, memory.New())
			reported := false
			var next time.Duration
			r.opts.RunDelay = func() time.Duration { return next }
			r.opts.Overloaded = func(time.Duration) { reported = true }
			for _, next = range c.delays {
				r.advanceClock(overloadCheckInterval)
				r.noteTick()
			}
			if reported != c.want {
				t.Errorf("overload reported: %v, want %v", reported, c.want)
			}
		})
	}
}
