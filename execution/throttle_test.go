package execution

import (
	"context"
	"testing"

	"bronzehook/jobs"
	"bronzehook/store/memory"
	"bronzehook/workers"
)

// slowThrottles is fakeWorkers, but carries out throttle commands only when they are released.
type slowThrottles struct {
	*fakeWorkers
	sent, release chan int
}

func (s *slowThrottles) Throttle(_ context.Context, _ workers.Target, _ jobs.Task, _, percent int) error {
	s.sent <- percent
	<-s.release
	return nil
}

// newThrottleRig returns a rig with one best-effort attempt.
func newThrottleRig(t *testing.T) (*rig, *slowThrottles, *taskAttempt) {
	t.Helper()
	r := newRig(t, memory.New())
	client := &slowThrottles{fakeWorkers: r.client, sent: make(chan int, 10), release: make(chan int, 10)}
	r.opts.Workers = client
	w := r.addWorker("w", 1000)
	step := oneStep(1, 100)
	step.BestEffort, step.Image = true, "f"
	r.submit("a", step)
	r.scheduleAndCommit()
	return r, client, r.onlyAttempt(w)
}

// Guards against a suspended task that runs on because an earlier throttle command was executed after the latest one.
func TestThrottlesOfAnAttemptKeepTheirOrder(t *testing.T) {
	r, client, a := newThrottleRig(t)
	for _, percent := range []int{60, 40, 0} {
		r.setThrottle(a, percent, "s", 1, r.clock)
	}
	r.handleEvents()
	if n := len(client.sent); n != 1 {
		t.Fatalf("%d throttle commands at once", n)
	}
	client.release <- 0
	client.release <- 0
	r.handleEvents()
	if first, last := <-client.sent, <-client.sent; first != 60 || last != 0 || len(client.sent) != 0 {
		t.Errorf("throttled to %d, then to %d, %d more", first, last, len(client.sent))
	}
}

// Guards against an attempt that counts as throttled although its throttle command was never sent.
func TestUnsentThrottleIsNoThrottle(t *testing.T) {
	r, client, a := newThrottleRig(t)
	r.leader.Invalidate()
	r.setThrottle(a, 50, "s", 1, r.clock)
	r.handleEvents()
	if len(client.sent) != 0 || !a.stopping {
		t.Errorf("%d throttle commands, stopping %v", len(client.sent), a.stopping)
	}
}
