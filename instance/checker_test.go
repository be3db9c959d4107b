package instance

import (
	"cmp"
	"context"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bronzehook/api"
	"bronzehook/ownership"
	"bronzehook/platform"
	"bronzehook/platform/standin"
)

// check verifies the invariants from the workers' journals and the committed rows of the table alone. It fails the test
// on a key that ran twice, a task that ran in two places, an exceeded worker, and a run that no committed row ordered.
func (f *fleet) check() {
	f.t.Helper()
	c := checker{t: f.t, now: time.Now(), table: f.site.Platform.Table(), keys: map[string]standin.Execution{}}
	runs := map[api.TaskID][]standin.Run{}
	for _, w := range f.site.Workers() {
		c.worker(w.Description(), w.Journal())
		for _, r := range w.Journal().Runs() {
			runs[r.Task] = append(runs[r.Task], r)
		}
	}
	tasks := c.tasks()
	for id, of := range runs {
		c.taskRuns(id, of, tasks)
	}
}

type checker struct {
	t     *testing.T
	now   time.Time
	table platform.Table
	keys  map[string]standin.Execution
}

func (c *checker) worker(w api.Worker, journal *standin.Journal) {
	c.t.Helper()
	if dropped := journal.Dropped(); dropped != 0 {
		c.t.Errorf("journal of %s dropped %d entries", w.ID, dropped)
	}
	peaks := journal.Peaks()
	if peaks.Executing > w.Slots || peaks.Open > w.Connections {
		c.t.Errorf("%s: %d executing of %d slots, %d open of %d connections", w.ID, peaks.Executing, w.Slots, peaks.Open, w.Connections)
	}
	r := peaks.Reserved
	if r.MilliCPU > w.Capacity.MilliCPU || r.MemoryMB > w.Capacity.MemoryMB || r.Accelerators > w.Capacity.Accelerators {
		c.t.Errorf("%s: reserved %+v of %+v", w.ID, r, w.Capacity)
	}
	for _, e := range journal.Executions() {
		c.execution(e)
	}
	c.runEpochs(w, journal.Runs())
}

func (c *checker) execution(e standin.Execution) {
	c.t.Helper()
	if e.Key == "" {
		return
	}
	if first, twice := c.keys[e.Key]; twice {
		c.t.Errorf("key %s ran twice: on %s at %s (epoch %d) and on %s at %s (epoch %d)", e.Key,
			first.Worker, first.Start.Format(time.StampMilli), first.Epoch, e.Worker, e.Start.Format(time.StampMilli), e.Epoch)
	}
	c.keys[e.Key] = e
}

// runEpochs verifies that no attempt was started by an owner that had been fenced, and that each epoch was committed.
func (c *checker) runEpochs(w api.Worker, runs []standin.Run) {
	c.t.Helper()
	row, err := c.table.Get(context.Background(), api.RackUnit(w.Location.DataCentre, w.Location.Rack).Key())
	var unit ownership.Row
	if err == nil {
		err = cbor.Unmarshal(row.Value, &unit)
	}
	if err != nil && len(runs) > 0 {
		c.t.Errorf("rack of %s has runs and no row: %v", w.ID, err)
		return
	}
	last := api.Epoch(0)
	for _, r := range runs {
		if r.Epoch < last || r.Epoch > unit.Epoch {
			c.t.Errorf("%s: %s attempt %d started under epoch %d after %d; the row has %d", w.ID, r.Task, r.Attempt, r.Epoch, last, unit.Epoch)
		}
		last = r.Epoch
	}
}

// taskRuns verifies that the attempts of a task follow each other without overlap.
func (c *checker) taskRuns(id api.TaskID, runs []standin.Run, tasks map[api.TaskID]api.Task) {
	c.t.Helper()
	slices.SortFunc(runs, func(a, b standin.Run) int { return a.Start.Compare(b.Start) })
	succeeded := 0
	for i, r := range runs {
		if r.State == api.SeenSucceeded {
			succeeded++
		}
		if i == 0 {
			continue
		}
		before := runs[i-1]
		end := before.End
		if end.IsZero() {
			end = c.now
		}
		if r.Attempt <= before.Attempt || r.Start.Before(end) {
			c.t.Errorf("%s: attempt %d on %s began %v before the end of attempt %d on %s", id, r.Attempt, r.Worker,
				end.Sub(r.Start), before.Attempt, before.Worker)
		}
	}
	if succeeded > 1 {
		c.t.Errorf("%s succeeded %d times", id, succeeded)
	}
	last := slices.MaxFunc(runs, func(a, b standin.Run) int { return cmp.Compare(a.Attempt, b.Attempt) })
	if task, ok := tasks[id]; ok && last.Attempt > task.Attempt {
		c.t.Errorf("%s: attempt %d ran, the row has %d", id, last.Attempt, task.Attempt)
	}
}

func (c *checker) tasks() map[api.TaskID]api.Task {
	c.t.Helper()
	rows, err := c.table.List(context.Background(), "task/")
	if err != nil {
		c.t.Fatalf("list tasks: %v", err)
	}
	tasks := map[api.TaskID]api.Task{}
	for _, row := range rows {
		var task api.Task
		if err := cbor.Unmarshal(row.Value, &task); err != nil {
			c.t.Fatalf("row %s: %v", row.Key, err)
		}
		tasks[task.ID] = task
	}
	return tasks
}
