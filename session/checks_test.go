package session

import (
	"context"
	"strings"
	"testing"
	"time"

	"bronzehook/api"
	"bronzehook/backend/fake"
	"bronzehook/invariant"
)

// attempts returns the matching attempts in the event logs of the workers, in the order of their starts.
func (f *fleet) attempts(match func(fake.AttemptRecord) bool) []fake.AttemptRecord {
	return invariant.Attempts(f.cluster, match)
}

// runningAttempts returns the attempts of a workload that are running.
func (f *fleet) runningAttempts(work string) []fake.AttemptRecord {
	return f.attempts(func(r fake.AttemptRecord) bool { return r.Work == work && r.End.IsZero() })
}

// executions returns all executions of requests with an idempotency key, by that key.
func (f *fleet) executions() map[string][]fake.Execution {
	found := map[string][]fake.Execution{}
	for _, w := range f.cluster.Workers() {
		for _, e := range w.EventLog().Executions() {
			if e.Key != "" {
				found[e.Key] = append(found[e.Key], e)
			}
		}
	}
	return found
}

// checkKeys fails the test if a request was executed although all attempts at its key had the outcome not-run, or if one was
// answered without having been executed.
func (f *fleet) checkKeys(t *testing.T, l *load) {
	t.Helper()
	executed := f.executions()
	answered, mayHaveRun := map[string]bool{}, map[string]bool{}
	for _, s := range l.recorded() {
		answered[s.key] = answered[s.key] || s.outcome == api.Answered
		mayHaveRun[s.key] = mayHaveRun[s.key] || s.outcome != api.NotRun
		if s.outcome != api.Answered && s.outcome != api.NotRun && s.outcome != api.Unknown {
			t.Errorf("key %s has an undefined outcome %q", s.key, s.outcome)
		}
	}
	for key, possible := range mayHaveRun {
		if !possible && len(executed[key]) > 0 {
			t.Errorf("key %s was executed although every attempt was not-run: %+v", key, executed[key])
		}
		if answered[key] && len(executed[key]) == 0 {
			t.Errorf("key %s was answered but never executed", key)
		}
	}
}

// checkAll checks all invariants that hold in every test; the load may be nil.
func (f *fleet) checkAll(t *testing.T, l *load) {
	t.Helper()
	violations, err := invariant.Check(context.Background(), f.cluster)
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range violations {
		t.Error(v)
	}
	if l != nil {
		f.checkKeys(t, l)
		t.Logf("load: %s", summary(l.recorded()))
	}
}

// checkJobDone fails the test unless the row of each task of a job says done in time and each task succeeded exactly once.
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
	for _, r := range f.attempts(func(r fake.AttemptRecord) bool { return r.Work == work && r.State == api.SeenSucceeded }) {
		succeeded[r.Task]++
	}
	for task, times := range succeeded {
		if times != 1 {
			t.Errorf("%s succeeded %d times", task, times)
		}
	}
	if len(succeeded) != tasks {
		t.Errorf("%d tasks of %s succeeded, want %d", len(succeeded), work, tasks)
	}
}

// tasks returns the task rows of the table, or nil while the table cannot be read.
func (f *fleet) tasks() map[api.TaskID]api.Task {
	tasks, err := invariant.Tasks(context.Background(), f.cluster.Platform.Table())
	if err != nil {
		return nil
	}
	return tasks
}

// owner returns the instance that owns a unit according to its row.
func (f *fleet) owner(unit api.Unit) *process {
	f.t.Helper()
	row, err := invariant.ReadOwnership(context.Background(), f.cluster.Platform.Table(), unit)
	if err != nil {
		f.t.Fatal(err)
	}
	return f.instanceByID(row.Owner)
}

// configRows returns the rows of the configuration as text, so that two states can be compared.
func (f *fleet) configRows() string {
	f.t.Helper()
	rows, err := f.cluster.Platform.Table().List(context.Background(), "config/")
	if err != nil {
		f.t.Fatal(err)
	}
	var text strings.Builder
	for _, row := range rows {
		text.WriteString(row.Key + "=" + string(row.Value) + "\n")
	}
	return text.String()
}
