package session

import (
	"context"
	"strings"
	"testing"
	"time"

	"bronzehook/api"
	"bronzehook/backend/standin"
	"bronzehook/invariant"
)

// runs returns the attempts in the journals that match, in the order of their starts.
func (f *fleet) runs(match func(standin.Run) bool) []standin.Run {
	return invariant.Runs(f.site, match)
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

// checkKeys fails the test if a key ran though all of its attempts were not-run, or was answered without having run.
func (f *fleet) checkKeys(t *testing.T, l *load) {
	t.Helper()
	executed := f.executions()
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
	violations, err := invariant.Check(context.Background(), f.site)
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range violations {
		t.Error(v)
	}
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
	tasks, err := invariant.Tasks(context.Background(), f.site.Platform.Table())
	if err != nil {
		return nil
	}
	return tasks
}

// owner returns the instance that a unit's row names.
func (f *fleet) owner(unit api.Unit) *process {
	f.t.Helper()
	row, err := invariant.Owner(context.Background(), f.site.Platform.Table(), unit)
	if err != nil {
		f.t.Fatal(err)
	}
	return f.named(row.Owner)
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
