package session

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bronzehook/api"
	"bronzehook/fault"
	"bronzehook/ownership"
	"bronzehook/peer"
	"bronzehook/platform/standin"
)

// runs returns the attempts in the journals that match, in the order of their starts.
func (f *fleet) runs(match func(standin.Run) bool) []standin.Run {
	var found []standin.Run
	for _, w := range f.site.Workers() {
		for _, r := range w.Journal().Runs() {
			if match(r) {
				found = append(found, r)
			}
		}
	}
	slices.SortFunc(found, func(a, b standin.Run) int { return a.Start.Compare(b.Start) })
	return found
}

// running returns the attempts of a piece of work that run now.
func (f *fleet) running(work string) []standin.Run {
	return f.runs(func(r standin.Run) bool { return r.Work == work && r.End.IsZero() })
}

// executions returns all requests that began to run, by key.
func (f *fleet) executions() map[string][]standin.Execution {
	found := map[string][]standin.Execution{}
	for _, w := range f.site.Workers() {
		for _, e := range w.Journal().Executions() {
			if e.Key != "" {
				found[e.Key] = append(found[e.Key], e)
			}
		}
	}
	return found
}

// checkWorkers fails the test if a worker was given more than it has, or if a journal is incomplete.
func (f *fleet) checkWorkers(t *testing.T) {
	t.Helper()
	for _, w := range f.site.Workers() {
		d, j := w.Description(), w.Journal()
		p := j.Peaks()
		if j.Dropped() != 0 {
			t.Errorf("%s: the journal lacks %d entries", d.ID, j.Dropped())
		}
		if p.Executing > d.Slots || p.Open > d.Connections || !p.Reserved.Fits(d.Capacity) {
			t.Errorf("%s was given more than it has: %+v", d.ID, p)
		}
		for _, r := range j.Refusals() {
			if r.Code == fault.CodeOverloaded {
				t.Errorf("%s was sent more requests than its connections: %+v", d.ID, r)
			}
		}
	}
}

// checkRuns fails the test if two attempts of one task overlap, or if a later one has no larger number.
func (f *fleet) checkRuns(t *testing.T) {
	t.Helper()
	last := map[api.TaskID]standin.Run{}
	for _, r := range f.runs(func(standin.Run) bool { return true }) {
		before, known := last[r.Task]
		if known && (before.End.IsZero() || r.Start.Before(before.End)) {
			t.Errorf("%s ran in two places: %+v and %+v", r.Task, before, r)
		}
		if known && r.Attempt <= before.Attempt {
			t.Errorf("%s: attempt %d began after attempt %d", r.Task, r.Attempt, before.Attempt)
		}
		last[r.Task] = r
	}
}

// checkKeys fails the test if a key ran twice, ran though all of its attempts were not-run, or was answered without
// having run.
func (f *fleet) checkKeys(t *testing.T, l *load) {
	t.Helper()
	executed := f.executions()
	for key, times := range executed {
		if len(times) > 1 {
			t.Errorf("key %s ran %d times: %+v", key, len(times), times)
		}
	}
	answered, possible := map[string]bool{}, map[string]bool{}
	for _, s := range l.all() {
		answered[s.key] = answered[s.key] || s.outcome == api.Answered
		possible[s.key] = possible[s.key] || s.outcome != api.NotRun
		if s.outcome != api.Answered && s.outcome != api.NotRun && s.outcome != api.Unknown {
			t.Errorf("key %s has a fourth outcome %q", s.key, s.outcome)
		}
	}
	for key, maybe := range possible {
		if !maybe && len(executed[key]) > 0 {
			t.Errorf("key %s ran though every attempt was not-run: %+v", key, executed[key])
		}
		if answered[key] && len(executed[key]) == 0 {
			t.Errorf("key %s was answered and never ran", key)
		}
	}
}

// checkAll makes all checks that hold in every session.
func (f *fleet) checkAll(t *testing.T, l *load) {
	t.Helper()
	f.checkWorkers(t)
	f.checkRuns(t)
	if l != nil {
		f.checkKeys(t, l)
		t.Logf("load: %s", summary(l.all()))
	}
}

// checkJobDone fails the test unless each task of a job succeeded once and its row says done.
func (f *fleet) checkJobDone(t *testing.T, work string, tasks int, limit time.Duration) {
	t.Helper()
	f.eventually(limit, work+" done", func() bool {
		done := 0
		for _, task := range f.tasks() {
			if task.Work == work && task.Wanted == api.WantedDone {
				done++
			}
		}
		return done == tasks
	})
	succeeded := map[api.TaskID]int{}
	for _, r := range f.runs(func(r standin.Run) bool { return r.Work == work && r.State == api.SeenSucceeded }) {
		succeeded[r.Task]++
	}
	for task, times := range succeeded {
		if times != 1 {
			t.Errorf("%s was done %d times", task, times)
		}
	}
	if len(succeeded) != tasks {
		t.Errorf("%d tasks of %s succeeded, want %d", len(succeeded), work, tasks)
	}
}

// tasks returns the task rows of the table; nothing while the table is down.
func (f *fleet) tasks() map[api.TaskID]api.Task {
	rows, err := f.site.Platform.Table().List(context.Background(), "task/")
	if err != nil {
		return nil
	}
	tasks := map[api.TaskID]api.Task{}
	for _, row := range rows {
		var task api.Task
		if err := cbor.Unmarshal(row.Value, &task); err != nil {
			f.t.Fatalf("row %s: %v", row.Key, err)
		}
		tasks[task.ID] = task
	}
	return tasks
}

// owner returns the instance that a unit's row names.
func (f *fleet) owner(unit api.Unit) *process {
	f.t.Helper()
	row, err := f.site.Platform.Table().Get(context.Background(), unit.Key())
	if err != nil {
		f.t.Fatal(err)
	}
	var value ownership.Row
	if err := peer.Decode(row.Value, &value); err != nil {
		f.t.Fatal(err)
	}
	return f.named(value.Owner)
}

// configRows returns the rows of the configuration as text, to see that nothing changed.
func (f *fleet) configRows() string {
	f.t.Helper()
	rows, err := f.site.Platform.Table().List(context.Background(), "config/")
	if err != nil {
		f.t.Fatal(err)
	}
	var text strings.Builder
	for _, row := range rows {
		text.WriteString(row.Key + "=" + string(row.Value) + "\n")
	}
	return text.String()
}
