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
		{"a start that exceeds the capacity left by earlier starts must be refused", assignment("b.0", 1, 2000), fault.CodeNoCapacity},
		{"an assignment with the ownership epoch of an earlier owner must be refused", func() Assignment {
			a := assignment("b.0", 1, 100)
			a.Epoch = testEpoch - 1
			return a
		}(), fault.CodeStaleEpoch},
		{"an attempt lower than a known one must be refused", assignment("a.0", 1, 100), fault.CodeStaleAttempt},
		{"a second attempt must not start while the first is running", assignment("a.0", 3, 100), fault.CodeConflict},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				h.acquireRack(t)
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

// Guards against a paused or partitioned owner that keeps an attempt running although a new owner has restarted its
// task.
func TestNothingIsSentWithoutInstanceLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.acquireRack(t)
		h.apply(t, Orders{Assignments: []Assignment{assignment("a.0", 1, 100)}})
		h.setLeaseValid(false)
		_, renewals := h.worker.counts()
		h.apply(t, Orders{Assignments: []Assignment{assignment("b.0", 1, 100)}})
		time.Sleep(2 * testLease)
		starts, after := h.worker.counts()
		if after != renewals {
			t.Errorf("%d renewals without a valid instance lease", after-renewals)
		}
		if starts != 1 {
			t.Errorf("%d starts, want only the one with a valid instance lease", starts)
		}
	})
}

// Guards against an attempt that is started by a delayed assignment after it was reported as terminated.
func TestDelayedAssignmentAfterQueryIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.acquireRack(t)
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
			t.Errorf("the delayed assignment was started")
		}
	})
}

// Guards against a task that runs twice because its worker is unreachable while its attempt lease is still valid.
func TestUnreachableWorkerKeepsItsAttemptsUntilTheLeaseIsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.acquireRack(t)
		h.apply(t, Orders{Assignments: []Assignment{assignment("a.0", 1, 100)}})
		time.Sleep(7 * time.Second)
		h.worker.update(func() { h.worker.unreachable = true })
		var leaseExpiry time.Duration
		h.worker.update(func() { leaseExpiry = h.worker.leaseExpiries["a.0"] })
		for h.worker.clock() <= leaseExpiry {
			if h.lastState("a.0").Terminal() {
				t.Fatalf("reported as terminated at %v, the lease expires at %v", h.worker.clock(), leaseExpiry)
			}
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(testLease/renewalsPerLease + ClockDriftMargin + 3*PollInterval)
		if !h.lastState("a.0").Terminal() {
			t.Errorf("not reported as terminated %v after the lease has expired", h.worker.clock()-leaseExpiry)
		}
	})
}

// Guards against a new owner that reports attempts on a worker it never reached as terminated while they may still run.
func TestNewOwnerWaitsForLeasesOfAWorkerItNeverReached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.worker.unreachable = true
		h.acquireRack(t)
		query := Query{Ref: Ref{Task: "a.0", Attempt: 1}, Worker: "w1", Unit: testRack}
		time.Sleep(testLease)
		if reports := h.apply(t, Orders{Queries: []Query{query}}); len(reports) != 0 {
			t.Errorf("reports = %+v before the lease has expired, want none", reports)
		}
		time.Sleep(StartValidity + 2*ClockDriftMargin)
		if reports := h.apply(t, Orders{Queries: []Query{query}}); len(reports) != 1 || !reports[0].State.Terminal() {
			t.Errorf("reports = %+v after the lease has expired, want the attempt as terminated", reports)
		}
	})
}

// Guards against a lost reply to a start request that is treated as a refusal.
func TestLostStartReplyIsResolvedByInventory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.acquireRack(t)
		h.worker.update(func() { h.worker.loseStartReply = true })
		h.apply(t, Orders{Assignments: []Assignment{assignment("a.0", 1, 100)}})
		time.Sleep(3 * PollInterval)
		if got := h.lastState("a.0"); got != api.SeenRunning {
			t.Errorf("state = %q, want %q", got, api.SeenRunning)
		}
	})
}

// Guards against a result that is discarded before it is persisted, and against one that is never discarded.
func TestResultIsKeptUntilPersisted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.acquireRack(t)
		h.apply(t, Orders{Assignments: []Assignment{assignment("a.0", 1, 100)}})
		h.worker.update(func() {
			status := h.worker.tasks["a.0"]
			status.State = api.SeenSucceeded
			h.worker.tasks["a.0"] = status
		})
		time.Sleep(5 * PollInterval)
		if _, kept := h.worker.state("a.0"); !kept {
			t.Fatal("the worker was told to discard a result that is not persisted")
		}
		h.mu.Lock()
		h.persisted = []Ref{{Task: "a.0", Attempt: 1}}
		h.mu.Unlock()
		time.Sleep(5 * PollInterval)
		if _, kept := h.worker.state("a.0"); kept {
			t.Error("the worker still keeps a persisted result")
		}
	})
}

// Guards against requests that are sent to the endpoint of a task that is about to be stopped.
func TestEndpointIsLeavingBeforeItsTaskStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.acquireRack(t)
		service := assignment("s.0", 1, 100)
		service.Kind = api.KindService
		h.apply(t, Orders{Assignments: []Assignment{service}})
		time.Sleep(2 * PollInterval)
		release, err := h.slots.Acquire(t.Context(), api.Endpoint{Worker: "w1", Task: "s.0"})
		if err != nil {
			t.Fatal(err)
		}
		stop := TaskAction{Ref: service.Ref, Worker: "w1", Unit: testRack, Action: ActionStop}
		h.apply(t, Orders{Actions: []TaskAction{stop}})
		time.Sleep(time.Second)
		h.do(t, func() {
			if len(h.endpoints) != 1 || !h.endpoints[0].Leaving {
				t.Errorf("endpoints = %+v, want one that is leaving", h.endpoints)
			}
		})
		if state, _ := h.worker.state("s.0"); state.Terminal() {
			t.Error("the task was stopped with a request in flight")
		}
		release()
		time.Sleep(time.Second)
		if state, _ := h.worker.state("s.0"); !state.Terminal() {
			t.Error("the task was not stopped after its last request had finished")
		}
	})
}

// Guards against a restarted worker that is never fenced again and therefore stays unused.
func TestRestartedWorkerIsFencedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.acquireRack(t)
		h.apply(t, Orders{Assignments: []Assignment{assignment("a.0", 1, 100)}})
		time.Sleep(2 * PollInterval)
		h.worker.update(func() {
			h.worker.epoch = 0
			h.worker.incarnation = "2"
			h.worker.startTime = time.Now()
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

// Guards against a worker that gets no tasks for 30 s because the first report of its rack was sent before the worker
// was fenced and later reports did not mention that it is reachable; and against a worker that still gets tasks after
// it has become unreachable or leaving.
func TestChangedWorkerIsReportedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.worker.unreachable = true
		h.acquireRack(t)
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
			h.worker.update(c.change)
			time.Sleep(3 * PollInterval)
			h.mu.Lock()
			got := h.workerReports[len(h.workerReports)-1]
			h.mu.Unlock()
			if got != c.want {
				t.Errorf("last report of the worker = %+v, want %+v", got, c.want)
			}
		}
	})
}
