package invariant

import (
	"testing"
	"time"

	"bronzehook/api"
	"bronzehook/backend/fake"
)

// Guards against a checker that misses violations of the invariants of attempts.
func TestAttemptViolationsAreDetected(t *testing.T) {
	at := func(seconds int) time.Time { return time.Unix(int64(1000+seconds), 0) }
	attempt := func(number uint64, start, end int) fake.AttemptRecord {
		return fake.AttemptRecord{Task: "a.0", Worker: "w1", Attempt: number, Start: at(start), End: at(end)}
	}
	succeeded := func(r fake.AttemptRecord) fake.AttemptRecord {
		r.State = api.SeenSucceeded
		return r
	}
	running := attempt(1, 0, 0)
	running.End = time.Time{}
	cases := []struct {
		name     string
		attempts []fake.AttemptRecord
		want     Rule
	}{
		{"consecutive attempts are valid", []fake.AttemptRecord{attempt(1, 0, 5), attempt(2, 5, 9)}, ""},
		{"overlapping attempts", []fake.AttemptRecord{attempt(1, 0, 5), attempt(2, 4, 9)}, RuleNoOverlap},
		{"overlap with an attempt that is still running", []fake.AttemptRecord{running, attempt(2, 4, 9)}, RuleNoOverlap},
		{"an attempt number used twice", []fake.AttemptRecord{attempt(2, 0, 5), attempt(2, 6, 9)}, RuleAttemptOrder},
		{"a second success", []fake.AttemptRecord{succeeded(attempt(1, 0, 5)), succeeded(attempt(2, 6, 9))}, RuleSucceededOnce},
		{"an attempt that was not persisted", []fake.AttemptRecord{attempt(4, 0, 5)}, RulePersisted},
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
