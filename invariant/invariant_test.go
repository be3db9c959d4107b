package invariant

import (
	"testing"
	"time"

	"bronzehook/api"
	"bronzehook/backend/standin"
)

// Guards against a checker that overlooks what it is there for.
func TestBrokenRunsAreFound(t *testing.T) {
	at := func(seconds int) time.Time { return time.Unix(int64(1000+seconds), 0) }
	run := func(attempt uint64, start, end int) standin.Run {
		return standin.Run{Task: "a.0", Worker: "w1", Attempt: attempt, Start: at(start), End: at(end)}
	}
	done := func(r standin.Run) standin.Run {
		r.State = api.SeenSucceeded
		return r
	}
	open := run(1, 0, 0)
	open.End = time.Time{}
	cases := []struct {
		name string
		runs []standin.Run
		want Rule
	}{
		{"attempts in a row are fine", []standin.Run{run(1, 0, 5), run(2, 5, 9)}, ""},
		{"an overlap", []standin.Run{run(1, 0, 5), run(2, 4, 9)}, RuleOnePlace},
		{"an attempt that still runs", []standin.Run{open, run(2, 4, 9)}, RuleOnePlace},
		{"the same attempt twice", []standin.Run{run(2, 0, 5), run(2, 6, 9)}, RuleAttempts},
		{"a second success", []standin.Run{done(run(1, 0, 5)), done(run(2, 6, 9))}, RuleDoneOnce},
		{"an attempt without a record", []standin.Run{run(4, 0, 5)}, RuleRecorded},
	}
	for _, tc := range cases {
		c := &checker{now: at(100)}
		c.runs(tc.runs, map[api.TaskID]api.Task{"a.0": {ID: "a.0", Attempt: 3}})
		got := Rule("")
		if len(c.violations) > 0 {
			got = c.violations[0].Rule
		}
		if got != tc.want {
			t.Errorf("%s: found %q, want %q", tc.name, got, tc.want)
		}
	}
}
