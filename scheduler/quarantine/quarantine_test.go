package quarantine

import (
	"fmt"
	"testing"
	"time"

	"bronzehook/api"
)

var start = time.Unix(0, 0)

func TestQuarantine(t *testing.T) {
	const ok = "ok"
	for _, tc := range []struct {
		name    string
		results []string
		want    bool
	}{
		{"five failures of three jobs quarantine", []string{"a", "b", "c", "a", "b"}, true},
		{"four failures do not", []string{"a", "b", "c", "d"}, false},
		{"five failures of two jobs do not", []string{"a", "b", "a", "b", "a"}, false},
		{"a success between them begins anew", []string{"a", "b", "c", ok, "d", "e"}, false},
		{"any number of failures of one job does not", []string{"a", "a", "a", "a", "a", "a", "a", "a"}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := NewTracker(DefaultOptions())
			for _, result := range tc.results {
				if result == ok {
					b.Success("w", "other")
				} else {
					b.Failure("w", result, start)
				}
			}
			if got := b.Of("w", start).Quarantined; got != tc.want {
				t.Errorf("quarantined = %t, want %t", got, tc.want)
			}
		})
	}
}

// Guards against probes that come too often, and against a worker that is never tried again.
func TestProbesDoubleUpToHalfAnHour(t *testing.T) {
	b := NewTracker(DefaultOptions())
	now := start
	for _, job := range []string{"a", "b", "c", "a", "b"} {
		b.Failure("w", job, now)
	}
	for _, minutes := range []int{1, 2, 4, 8, 16, 30, 30} {
		due := now.Add(time.Duration(minutes) * time.Minute)
		if b.Of("w", due.Add(-time.Second)).Probe || !b.Of("w", due).Probe {
			t.Fatalf("probe is not due exactly %d min after the last failure", minutes)
		}
		now = due
		b.ProbeStarted("w", now)
		if b.Of("w", now).Probe {
			t.Fatalf("a second probe is due while the first runs")
		}
		b.Failure("w", "a", now)
	}
	b.Success("w", "a")
	if b.Of("w", now).Quarantined {
		t.Error("a successful probe did not end the quarantine")
	}
}

// Guards against work that fails everywhere taking workers out of use, whichever number of them it was tried on.
func TestWorkThatFailsEverywhereQuarantinesNobody(t *testing.T) {
	b := NewTracker(DefaultOptions())
	for round := range 6 {
		for _, job := range []string{"bad1", "bad2", "bad3"} {
			for w := range 4 {
				b.Failure(api.WorkerID(fmt.Sprint("w", w)), job, start.Add(time.Duration(round)*time.Second))
			}
		}
	}
	for w := range 4 {
		if b.Of(api.WorkerID(fmt.Sprint("w", w)), start).Quarantined {
			t.Errorf("w%d was quarantined", w)
		}
	}
	reason, giveUp := b.GiveUp(&api.Task{Work: "bad1", Failures: DefaultOptions().MaxTries})
	if !giveUp || reason == "" {
		t.Errorf("give up = %t with reason %q, want an end with a reason", giveUp, reason)
	}
}
