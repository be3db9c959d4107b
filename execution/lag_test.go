package execution

import (
	"testing"
	"time"

	"bronzehook/store/memory"
)

// Guards against a holder without processor time that takes workers for silent whose answers it reads too late: their ends count as
// listed, and the work is done twice (TWICE on instances with 0.04 cores, seed 691368243925).
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
	if got := ticks(20, tickEvery+10*time.Millisecond); got != 0 {
		t.Errorf("%v more with ticks in time", got)
	}
	if got := ticks(1, 4*tickEvery); got < 2*time.Second || got > maxTimeoutMargin {
		t.Errorf("%v more after a late tick", got)
	}
	if got := ticks(200, tickEvery); got != 0 {
		t.Errorf("%v more long after a late tick", got)
	}
}
