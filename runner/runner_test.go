package runner

import (
	"testing"
	"testing/synctest"
	"time"

	"bronzehook/api"
	"bronzehook/fault"
)

func TestAssignmentIsCheckedAgain(t *testing.T) {
	cases := []struct {
		name       string
		assignment Assignment
		want       fault.Code
	}{
		{"a start within the capacity is accepted", assignment("b.0", 1, 1000), ""},
		{"a start above the capacity with earlier starts counted must be refused", assignment("b.0", 1, 2000), fault.CodeNoCapacity},
		{"an assignment made under an earlier owner must be refused", func() Assignment {
			a := assignment("b.0", 1, 100)
			a.Epoch = testEpoch - 1
			return a
		}(), fault.CodeStaleEpoch},
		{"an attempt below one that is known must be refused", assignment("a.0", 1, 100), fault.CodeStaleAttempt},
		{"a second attempt must not start while the first runs", assignment("a.0", 3, 100), fault.CodeConflict},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				h.claim(t)
				if refused := h.apply(t, Orders{Assignments: []Assignment{assignment("a.0", 2, 3000)}}); len(refused) > 0 {
					t.Fatalf("first assignment refused: %v", refused)
				}
				refused := h.apply(t, Orders{Assignments: []Assignment{tc.assignment}})
				got := fault.Code("")
				if len(refused) > 0 {
					got = fault.Code(refused[0].Reason)
				}
				if got != tc.want {
					t.Errorf("refusal = %q, want %q", got, tc.want)
				}
			})
		})
	}
}

// Guards against a paused or cut-off owner that keeps an attempt alive which another owner gives out again.
func TestWithoutAuthorityNothingLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.claim(t)
		h.apply(t, Orders{Assignments: []Assignment{assignment("a.0", 1, 100)}})
		h.setAuthority(false)
		_, renewals := h.worker.counts()
		h.apply(t, Orders{Assignments: []Assignment{assignment("b.0", 1, 100)}})
		time.Sleep(2 * testLease)
		starts, after := h.worker.counts()
		if after != renewals {
			t.Errorf("%d renewals without authority", after-renewals)
		}
		if starts != 1 {
			t.Errorf("%d starts, want only the one with authority", starts)
		}
	})
}

// Guards against an attempt that runs although it was reported as ended, after its assignment was delayed.
func TestLateAssignmentAfterQueryIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.claim(t)
		query := Query{Ref: Ref{Task: "a.0", Attempt: 1}, Worker: "w1", Unit: testRack}
		reports := h.apply(t, Orders{Queries: []Query{query}})
		if len(reports) != 1 || reports[0].State != api.SeenStopped {
			t.Fatalf("reports = %+v, want the attempt as stopped", reports)
		}
		reports = h.apply(t, Orders{Assignments: []Assignment{assignment("a.0", 1, 100)}})
		if len(reports) != 1 || reports[0].Reason != string(fault.CodeStaleAttempt) {
			t.Errorf("reports = %+v, want a refusal with %s", reports, fault.CodeStaleAttempt)
		}
		if starts, _ := h.worker.counts(); starts != 0 {
			t.Errorf("the late assignment started")
		}
	})
}

// Guards against a task that runs in two places: its worker is cut off but still within the lease.
func TestUnreachableWorkerKeepsItsAttemptsUntilTheLeaseIsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.claim(t)
		h.apply(t, Orders{Assignments: []Assignment{assignment("a.0", 1, 100)}})
		time.Sleep(7 * time.Second)
		h.worker.change(func() { h.worker.unreachable = true })
		var leaseEnd time.Duration
		h.worker.change(func() { leaseEnd = h.worker.leaseEnds["a.0"] })
		for h.worker.clock() <= leaseEnd {
			if h.lastState("a.0").Ended() {
				t.Fatalf("reported as ended at %v, the lease ends at %v", h.worker.clock(), leaseEnd)
			}
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(testLease/renewalsPerLease + LeaseMargin + 3*PollInterval)
		if !h.lastState("a.0").Ended() {
			t.Errorf("not reported as ended %v after the lease", h.worker.clock()-leaseEnd)
		}
	})
}

// Guards against a new owner that gives out the tasks of a worker it never reached while they may still run there.
func TestNewOwnerWaitsForLeasesOfAWorkerItNeverReached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.worker.unreachable = true
		h.claim(t)
		query := Query{Ref: Ref{Task: "a.0", Attempt: 1}, Worker: "w1", Unit: testRack}
		time.Sleep(testLease)
		if reports := h.apply(t, Orders{Queries: []Query{query}}); len(reports) != 0 {
			t.Errorf("reports = %+v within the lease, want none", reports)
		}
		time.Sleep(OrderValidity + 2*LeaseMargin)
		if reports := h.apply(t, Orders{Queries: []Query{query}}); len(reports) != 1 || !reports[0].State.Ended() {
			t.Errorf("reports = %+v after the lease, want the attempt as ended", reports)
		}
	})
}

// Guards against a lost reply to a start order being taken for a refusal.
func TestLostStartReplyIsResolvedByInventory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.claim(t)
		h.worker.change(func() { h.worker.loseStart = true })
		h.apply(t, Orders{Assignments: []Assignment{assignment("a.0", 1, 100)}})
		time.Sleep(3 * PollInterval)
		if got := h.lastState("a.0"); got != api.SeenRunning {
			t.Errorf("state = %q, want %q", got, api.SeenRunning)
		}
	})
}

// Guards against a result that is forgotten before it is recorded, and against one that is never forgotten.
func TestResultIsKeptUntilRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.claim(t)
		h.apply(t, Orders{Assignments: []Assignment{assignment("a.0", 1, 100)}})
		h.worker.change(func() {
			status := h.worker.tasks["a.0"]
			status.State = api.SeenSucceeded
			h.worker.tasks["a.0"] = status
		})
		time.Sleep(5 * PollInterval)
		if _, kept := h.worker.state("a.0"); !kept {
			t.Fatal("the worker was told to forget a result that is not recorded")
		}
		h.mu.Lock()
		h.recorded = []Ref{{Task: "a.0", Attempt: 1}}
		h.mu.Unlock()
		time.Sleep(5 * PollInterval)
		if _, kept := h.worker.state("a.0"); kept {
			t.Error("the worker still keeps a recorded result")
		}
	})
}

// Guards against requests that are sent to an endpoint which is about to be stopped.
func TestEndpointLeavesBeforeItsTaskStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.claim(t)
		service := assignment("s.0", 1, 100)
		service.Kind = api.KindService
		h.apply(t, Orders{Assignments: []Assignment{service}})
		time.Sleep(2 * PollInterval)
		release, err := h.slots.Acquire(t.Context(), api.Endpoint{Worker: "w1", Task: "s.0"})
		if err != nil {
			t.Fatal(err)
		}
		stop := Intervention{Ref: service.Ref, Worker: "w1", Unit: testRack, Action: ActionStop}
		h.apply(t, Orders{Interventions: []Intervention{stop}})
		time.Sleep(time.Second)
		h.do(t, func() {
			if len(h.endpoints) != 1 || !h.endpoints[0].Leaving {
				t.Errorf("endpoints = %+v, want one that is leaving", h.endpoints)
			}
		})
		if state, _ := h.worker.state("s.0"); state.Ended() {
			t.Error("the task was stopped with a request in flight")
		}
		release()
		time.Sleep(time.Second)
		if state, _ := h.worker.state("s.0"); !state.Ended() {
			t.Error("the task was not stopped after its last request")
		}
	})
}

// Guards against a restarted worker that is never fenced again and so stays out of use.
func TestRestartedWorkerIsFencedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.claim(t)
		h.apply(t, Orders{Assignments: []Assignment{assignment("a.0", 1, 100)}})
		time.Sleep(2 * PollInterval)
		h.worker.change(func() {
			h.worker.epoch = 0
			h.worker.boot = "2"
			h.worker.booted = time.Now()
			clear(h.worker.tasks)
		})
		time.Sleep(4 * PollInterval)
		if got := h.lastState("a.0"); got != api.SeenStopped {
			t.Errorf("state of the lost attempt = %q, want %q", got, api.SeenStopped)
		}
		if refused := h.apply(t, Orders{Assignments: []Assignment{assignment("a.0", 2, 100)}}); len(refused) > 0 {
			t.Errorf("refused after the restart: %+v", refused)
		}
	})
}

// Guards against a worker that gets no tasks for 30 s, because its rack's first report came before its fence and later
// ones did not say that it answers; and against one that still gets tasks after it is lost or leaves.
func TestChangedWorkerIsReportedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.worker.unreachable = true
		h.claim(t)
		changes := []struct {
			change func()
			want   WorkerReport
		}{
			{func() {}, WorkerReport{Worker: "w1"}},
			{func() { h.worker.unreachable = false }, WorkerReport{Worker: "w1", Reachable: true}},
			{func() { h.worker.info.Leaving = true }, WorkerReport{Worker: "w1", Reachable: true, Leaving: true}},
			{func() { h.worker.unreachable = true }, WorkerReport{Worker: "w1", Leaving: true}},
		}
		for _, c := range changes {
			h.worker.change(c.change)
			time.Sleep(3 * PollInterval)
			h.mu.Lock()
			got := h.workers[len(h.workers)-1]
			h.mu.Unlock()
			if got != c.want {
				t.Errorf("last report of the worker = %+v, want %+v", got, c.want)
			}
		}
	})
}
