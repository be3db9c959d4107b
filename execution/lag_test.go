package execution

import (
	"testing"
	"time"

	"bronzehook/store/memory"
)

// Guards against a leader that is short of processor time and takes workers for unresponsive because it handles their
// responses too late: the terminations that these report are dropped, and the work is done twice. A benchmark day with
// instances of 0.04 cores, seed 691368243925, broke the rule TWICE for that reason.
func TestTimeoutsGrowWhileLeaderIsSlow(t *testing.T) {
	r := newRig(t, memory.New())
	w := r.addWorker("w", 1000)
	ticks := func(count int, every time.Duration) time.Duration {
		for range count {
			r.advanceClock(every)
			r.lag.note(r.clock)
		}
		return r.pollRequest(w, r.clock).TimeoutMargin
	}
	if got := ticks(20, tickInterval+10*time.Millisecond); got != 0 {
		t.Errorf("timeout margin %v with ticks in time", got)
	}
	if got := ticks(1, 4*tickInterval); got < 2*time.Second || got > maxTimeoutMargin {
		t.Errorf("timeout margin %v after a late tick", got)
	}
	if got := ticks(200, tickInterval); got != 0 {
		t.Errorf("timeout margin %v long after a late tick", got)
	}
}
