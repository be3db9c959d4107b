package invariant

import (
	"testing"
	"time"

	"bronzehook/api"
	"bronzehook/backend/standin"
)

// Guards against a checker that misses violations of the invariants of attempts.
func TestAttemptViolationsAreDetected(t *testing.T) {
	at := func(seconds int) time.Time { return time.Unix(int64(1000+seconds), 0) }
	attempt := func(number uint64, start, end int) standin.Run {
		return standin.Run{Task: "a.0", Worker: "w1", Attempt: number, Start: at(start), End: at(end)}
	}
	succeeded := func(r standin.Run) standin.Run {
		r.State = api.SeenSucceeded
		return r
	}
	running := attempt(1, 0, 0)
	running.End = time.Time{}
	cases := []struct {
		name     string
		attempts []standin.Run
		want     Rule
	}{
		{"consecutive attempts are valid", []standin.Run{attempt(1, 0, 5), attempt(2, 5, 9)}, ""},
		{"overlapping attempts", []standin.Run{attempt(1, 0, 5), attempt(2, 4, 9)}, RuleOnePlace},
		{"overlap with an attempt that is still running", []standin.Run{running, attempt(2, 4, 9)}, RuleOnePlace},
		{"an attempt number used twice", []standin.Run{attempt(2, 0, 5), attempt(2, 6, 9)}, RuleAttempts},
		{"a second success", []standin.Run{succeeded(attempt(1, 0, 5)), succeeded(attempt(2, 6, 9))}, RuleDoneOnce},
		{"an attempt that was not persisted", []standin.Run{attempt(4, 0, 5)}, RuleRecorded},
	}
	for _, tc := range cases {
		c := &checker{now: at(100)}
		c.checkAttempts(tc.attempts, map[api.TaskID]api.Task{"a.0": {ID: "a.0", Attempt: 3}})
		got := Rule("")
		if len(c.violations) > 0 {
			got = c.violations[0].Rule
		}
		if got != tc.want {
			t.Errorf("%s: found %q, want %q", tc.name, got, tc.want)
		}
	}
}
