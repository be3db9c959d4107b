package quarantine

import (
	"fmt"
	"testing"
	"time"

	"bronzehook/api"
)

var start = time.Unix(0, 0)

// TestConsecutiveFailuresQuarantineWorker checks which sequences of results quarantine a worker.
func TestConsecutiveFailuresQuarantineWorker(t *testing.T) {
	const ok = "ok"
	for _, tc := range []struct {
		name    string
		results []string
		want    bool
	}{
		{"five failures of three jobs quarantine the worker", []string{"a", "b", "c", "a", "b"}, true},
		{"four failures do not", []string{"a", "b", "c", "d"}, false},
		{"five failures of two jobs do not", []string{"a", "b", "a", "b", "a"}, false},
		{"a success restarts the count", []string{"a", "b", "c", ok, "d", "e"}, false},
		{"any number of failures of one job do not", []string{"a", "a", "a", "a", "a", "a", "a", "a"}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tracker := NewTracker(DefaultOptions())
			for _, result := range tc.results {
				if result == ok {
					tracker.Success("w", "other")
				} else {
					tracker.Failure("w", result, start)
				}
			}
			if got := tracker.State("w", start).Quarantined; got != tc.want {
				t.Errorf("quarantined = %t, want %t", got, tc.want)
			}
		})
	}
}

// TestProbeDelayDoublesUpToMax guards against probes that are too frequent, and against a worker that is never probed
// again.
func TestProbeDelayDoublesUpToMax(t *testing.T) {
	tracker := NewTracker(DefaultOptions())
	now := start
	for _, job := range []string{"a", "b", "c", "a", "b"} {
		tracker.Failure("w", job, now)
	}
	for _, minutes := range []int{1, 2, 4, 8, 16, 30, 30} {
		due := now.Add(time.Duration(minutes) * time.Minute)
		if tracker.State("w", due.Add(-time.Second)).Probe || !tracker.State("w", due).Probe {
			t.Fatalf("probe is not due exactly %d min after the last failure", minutes)
		}
		now = due
		tracker.ProbeStarted("w", now)
		if tracker.State("w", now).Probe {
			t.Fatalf("a second probe is due while the first is running")
		}
		tracker.Failure("w", "a", now)
	}
	tracker.Success("w", "a")
	if tracker.State("w", now).Quarantined {
		t.Error("a successful probe did not end the quarantine")
	}
}

// TestWorkloadThatFailsEverywhereQuarantinesNoWorker guards against workloads that fail on every worker quarantining
// healthy workers.
func TestWorkloadThatFailsEverywhereQuarantinesNoWorker(t *testing.T) {
	tracker := NewTracker(DefaultOptions())
	for round := range 6 {
		for _, job := range []string{"bad1", "bad2", "bad3"} {
			for w := range 4 {
				tracker.Failure(api.WorkerID(fmt.Sprint("w", w)), job, start.Add(time.Duration(round)*time.Second))
			}
		}
	}
	for w := range 4 {
		if tracker.State(api.WorkerID(fmt.Sprint("w", w)), start).Quarantined {
			t.Errorf("w%d was quarantined", w)
		}
	}
	reason, giveUp := tracker.GiveUp(&api.Task{Work: "bad1", Failures: DefaultOptions().MaxFailures})
	if !giveUp || reason == "" {
		t.Errorf("give up = %t with reason %q, want true with a reason", giveUp, reason)
	}
}
