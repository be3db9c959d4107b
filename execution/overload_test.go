package execution

import (
	"testing"
	"time"

	"bronzehook/store/memory"
)

// Guards against a holder that keeps the duty while its processor is too slow for it (rosters 0.27 to 0.37 on days with a slow
// holder, whose ticks were 25 ms late and whose goroutines waited for 110 ms), and against one that gives it up for a short burst.
func TestSustainedOverloadIsReported(t *testing.T) {
	const slow, well = 110 * time.Millisecond, 3 * time.Millisecond
	cases := []struct {
		name   string
		delays []time.Duration
		want   bool
	}{
		{name: "enough processor time", delays: []time.Duration{well, well, well, well}, want: false},
		{name: "one burst", delays: []time.Duration{well, slow, well, slow, well}, want: false},
		{name: "slow for a second", delays: []time.Duration{well, slow, slow}, want: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, memory.New())
			told := false
			var next time.Duration
			r.opts.RunDelay = func() time.Duration { return next }
			r.opts.Overloaded = func(time.Duration) { told = true }
			for _, next = range c.delays {
				r.advanceClock(overloadCheckInterval)
				r.noteTick()
			}
			if told != c.want {
				t.Errorf("told: %v, want %v", told, c.want)
			}
		})
	}
}
