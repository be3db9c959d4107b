package execution

import (
	"testing"
	"time"

	"bronzehook/store/memory"
)

// slowestClockRate is the speed of the slowest clock that a worker may have, relative to that of the leader.
const slowestClockRate = 0.98

// startAfterIdle starts a task on a worker that has been idle since its clock was last read, and returns the lease that the
// worker grants at most, in the time of the leader, by the first start command and the polls until then.
func startAfterIdle(t *testing.T, idle time.Duration, clockRate float64) (r *rig, lease time.Duration) {
	t.Helper()
	r = newRig(t, memory.New())
	r.opts.WorkerLeaseLimit = 2 * testAttemptLease
	w := r.addWorker("w", 1000)
	r.advanceClock(idle)
	clock := w.clock + int64(float64(idle.Milliseconds())*clockRate)
	r.client.clock = clock
	r.submit("a", oneStep(1, 100))
	for range 3 {
		r.refreshNodes(r.clock)
		r.scheduleAndCommit()
		r.poll(r.clock)
		r.handleEvents()
		if r.client.startCount() > 0 {
			break
		}
	}
	r.client.mu.Lock()
	defer r.client.mu.Unlock()
	if len(r.client.starts) == 0 {
		t.Fatal("no start command")
	}
	expiry := r.client.starts[0].LeaseExpiry
	for _, poll := range r.client.polls {
		expiry = max(expiry, poll.LeaseExpiry)
	}
	granted := min(expiry-clock, r.opts.WorkerLeaseLimit.Milliseconds())
	return r, time.Duration(float64(granted)/clockRate) * time.Millisecond
}

var idleTimes = []time.Duration{0, 20 * time.Second, time.Minute, 10 * time.Minute, 6 * time.Hour}

// Guards against two running attempts: a lease by an old reading of a slow clock outlasts what the next leader assumes.
func TestLeaseBySlowClockEndsBeforeInheritedLeaseExpiry(t *testing.T) {
	for _, idle := range idleTimes {
		t.Run(idle.String(), func(t *testing.T) {
			r, lease := startAfterIdle(t, idle, slowestClockRate)
			r.startedAt = r.clock
			if assumed := r.inheritedLeaseExpiry() - r.clock; lease > assumed {
				t.Errorf("the lease lasts for %v, the next leader assumes %v", lease, assumed)
			}
		})
	}
}

// Guards against starts that a worker refuses as late because its clock was last read long before them.
func TestStartAfterIdleTimeGrantsUsefulLease(t *testing.T) {
	for _, idle := range idleTimes {
		for _, clockRate := range []float64{1, slowestClockRate} {
			t.Run(idle.String(), func(t *testing.T) {
				if _, lease := startAfterIdle(t, idle, clockRate); lease < testAttemptLease/2 {
					t.Errorf("a lease of %v by a clock of speed %v", lease, clockRate)
				}
			})
		}
	}
}
