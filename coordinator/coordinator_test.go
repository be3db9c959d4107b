package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzehook/api"
	"bronzehook/config/rollout/tabletest"
	"bronzehook/runner"
)

const testTask = api.TaskID("plan.0")

func stopped(attempt uint64, evicted bool, checkpoint string) runner.AttemptReport {
	return runner.AttemptReport{
		Ref: runner.Ref{Task: testTask, Attempt: attempt}, Worker: "w1", State: api.SeenStopped, Evicted: evicted,
		Checkpoint: checkpoint,
	}
}

func succeeded(attempt uint64) runner.AttemptReport {
	return runner.AttemptReport{Ref: runner.Ref{Task: testTask, Attempt: attempt}, Worker: "w1", State: api.SeenSucceeded}
}

// Guards against an assignment that is sent before its record is stored: if the coordinator failed in between, its
// successor would not know of the attempt and start the task twice.
func TestAttemptIsPersistedBeforeItIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.mu.Lock()
		h.onAssignment = func(a runner.Assignment) {
			record, _ := h.record(t, a.Task)
			if record.Attempt != a.Attempt || record.Wanted != api.WantedAssigned {
				t.Errorf("attempt %d was sent, the record is %+v", a.Attempt, record)
			}
		}
		h.mu.Unlock()
		h.report(t, false, stopped(1, true, "c1"))
		time.Sleep(time.Second)
		want := []runner.Ref{{Task: testTask, Attempt: 1}, {Task: testTask, Attempt: 2}}
		if diff := cmp.Diff(want, h.assignments()); diff != "" {
			t.Errorf("assignments (-want +got):\n%s", diff)
		}
	})
}

// Guards against a lost reply of the table that is treated as a failed write, so that a task is assigned twice.
func TestLostCommitReplyDoesNotStartTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.table.SetFaults(tabletest.Faults{LostReplies: 2})
		h.report(t, false, stopped(1, true, "c1"))
		time.Sleep(5 * time.Second)
		want := []runner.Ref{{Task: testTask, Attempt: 1}, {Task: testTask, Attempt: 2}}
		if diff := cmp.Diff(want, h.assignments()); diff != "" {
			t.Errorf("assignments (-want +got):\n%s", diff)
		}
	})
}

// Guards against a paused coordinator that assigns tasks after another instance has taken over the coordinator role.
func TestReplacedCoordinatorSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		before, _ := h.record(t, testTask)
		h.setUnit(t, 1, "another owner")
		h.report(t, false, stopped(1, true, "c1"))
		time.Sleep(10 * time.Second)
		if got := len(h.assignments()); got != 1 {
			t.Errorf("%d assignments, want only the one before the role was lost", got)
		}
		after, _ := h.record(t, testTask)
		if diff := cmp.Diff(before, after); diff != "" {
			t.Errorf("record changed after the role was lost (-want +got):\n%s", diff)
		}
	})
}

// Guards against an evicted task that is lost, or that is resumed twice because its report was repeated or delayed.
func TestEvictedTaskResumesOnceFromItsCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		for range 3 {
			h.report(t, false, stopped(1, true, "c1"))
		}
		time.Sleep(time.Second)
		h.report(t, false, stopped(1, true, "c1"))
		time.Sleep(time.Second)
		record, _ := h.record(t, testTask)
		if record.Attempt != 2 || record.Evictions != 1 || record.Checkpoint != "c1" || record.Wanted != api.WantedAssigned {
			t.Errorf("record = %+v, want attempt 2 from c1 after one eviction", record)
		}
		want := []runner.Ref{{Task: testTask, Attempt: 1}, {Task: testTask, Attempt: 2}}
		if diff := cmp.Diff(want, h.assignments()); diff != "" {
			t.Errorf("assignments (-want +got):\n%s", diff)
		}
	})
}

// Guards against the acknowledgement of a result that is not persisted yet: the worker would discard it.
func TestResultIsAcknowledgedOnlyOncePersisted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.table.SetFaults(tabletest.Faults{Down: true})
		for range 5 {
			if reply := h.report(t, false, succeeded(1)); len(reply.Persisted) != 0 {
				t.Fatalf("acknowledged %v while the store is down", reply.Persisted)
			}
			time.Sleep(time.Second)
		}
		h.table.SetFaults(tabletest.Faults{})
		time.Sleep(5 * time.Second)
		if reply := h.report(t, false, succeeded(1)); len(reply.Persisted) != 1 {
			t.Error("not acknowledged after the store recovered")
		}
		if record, _ := h.record(t, testTask); record.Wanted != api.WantedDone {
			t.Errorf("record = %+v, want done", record)
		}
		if got := len(h.assignments()); got != 1 {
			t.Errorf("%d assignments of a finished task", got)
		}
	})
}

// Guards against a task that is assigned again while a worker of its unowned rack may still run it, and against a task
// that is never assigned again.
func TestAttemptOnUnownedRackWaitsForLeaseExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.setOwned(false)
		time.Sleep(testLease)
		h.setOwned(true)
		time.Sleep(time.Second)
		if got := len(h.assignments()); got != 1 {
			t.Fatalf("%d assignments before the lease has expired, want 1", got)
		}
		h.setOwned(false)
		time.Sleep(testLease + runner.StartValidity + 3*runner.ClockDriftMargin)
		h.setOwned(true)
		time.Sleep(time.Second)
		if got := len(h.assignments()); got != 2 {
			t.Errorf("%d assignments after the lease has expired, want 2", got)
		}
	})
}

// Guards against an assignment whose message was lost and that is never queried.
func TestUnreportedAttemptIsQueried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		time.Sleep(2 * reportTimeout)
		h.mu.Lock()
		defer h.mu.Unlock()
		if len(h.sentQueries) == 0 {
			t.Error("no query about an attempt that was not reported")
		}
	})
}

// Guards against a cancellation that stops other tasks or leaves records behind.
func TestRemovedWorkloadIsCanceledAndDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.setReplicas(0)
		time.Sleep(time.Second)
		if _, ok := h.record(t, testTask); !ok {
			t.Fatal("the record was deleted while the attempt may run")
		}
		h.report(t, false, stopped(1, true, ""))
		time.Sleep(2 * time.Second)
		if record, ok := h.record(t, testTask); ok {
			t.Errorf("record %+v is left after the workload was removed", record)
		}
		if got := len(h.assignments()); got != 1 {
			t.Errorf("%d assignments, want 1", got)
		}
	})
}

func running(index int, attempt uint64) runner.AttemptReport {
	ref := runner.Ref{Task: api.NewTaskID("plan", index), Attempt: attempt}
	return runner.AttemptReport{Ref: ref, Worker: "w1", State: api.SeenRunning}
}

// Guards against a watcher that is not restarted after it has exited, and a service that is not restarted after
// failures.
func TestServicesAndWatchersAreStartedAgain(t *testing.T) {
	for _, kind := range []api.Kind{api.KindService, api.KindWatcher} {
		for _, state := range []api.ObservedState{api.SeenSucceeded, api.SeenFailed} {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				h.setWork(api.Spec{Name: "plan", Kind: kind, Replicas: 1})
				time.Sleep(time.Second)
				const terminations = 12
				for attempt := range uint64(terminations) {
					report := succeeded(attempt + 1)
					report.State = state
					h.report(t, false, report)
					time.Sleep(time.Second)
				}
				if got := len(h.assignments()); got != terminations+1 {
					t.Errorf("%s that %s: %d assignments, want %d", kind, state, got, terminations+1)
				}
			})
		}
	}
}

// Guards against a changed spec of a running service that never takes effect, or that stops all of its tasks at once.
func TestChangedServiceRestartsOneTaskAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.setWork(api.Spec{Name: "plan", Kind: api.KindService, Replicas: 3, Command: []string{"v1"}})
		time.Sleep(time.Second)
		h.report(t, false, stopped(1, false, ""))
		time.Sleep(time.Second)
		h.report(t, false, running(0, 2), running(1, 1), running(2, 1))
		time.Sleep(time.Second)
		h.mu.Lock()
		before := len(h.sentActions)
		h.mu.Unlock()
		h.setWork(api.Spec{Name: "plan", Kind: api.KindService, Replicas: 3, Command: []string{"v2"}})
		time.Sleep(5 * time.Second)
		h.mu.Lock()
		stops := h.sentActions[before:]
		h.mu.Unlock()
		if len(stops) != 1 || stops[0].Action != runner.ActionStop {
			t.Fatalf("actions = %+v, want one stop", stops)
		}
		stopReport := running(0, 0)
		stopReport.Ref, stopReport.State, stopReport.Evicted = stops[0].Ref, api.SeenStopped, true
		h.report(t, false, stopReport)
		time.Sleep(time.Second)
		record, _ := h.record(t, stops[0].Task)
		if record.Attempt != stops[0].Attempt+1 || record.Evictions != 0 {
			t.Errorf("record = %+v, want the next attempt without an eviction", record)
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		if last := h.sentAssignments[len(h.sentAssignments)-1]; !cmp.Equal(last.Command, []string{"v2"}) {
			t.Errorf("command = %v, want the changed one", last.Command)
		}
	})
}

// Guards against a task that keeps running after its removal because the stop command was lost.
func TestStopIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.report(t, false, running(0, 1))
		h.setReplicas(0)
		time.Sleep(3 * stopRetryInterval)
		h.mu.Lock()
		defer h.mu.Unlock()
		if len(h.sentActions) < 2 {
			t.Errorf("%d stop commands in %s, want at least 2", len(h.sentActions), 3*stopRetryInterval)
		}
	})
}

// Guards against a status that shows an unreachable worker as reachable, or leaves out its tasks.
func TestWorkerStates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.report(t, false, running(0, 1))
		var states map[api.WorkerID]WorkerState
		h.do(t, func() { states, _ = h.WorkerStates() })
		want := map[api.WorkerID]WorkerState{"w1": {ID: "w1", Reachable: true, Tasks: 1, Used: api.Resources{MilliCPU: 100}}}
		if diff := cmp.Diff(want, states); diff != "" {
			t.Errorf("states (-want +got):\n%s", diff)
		}
	})
}
