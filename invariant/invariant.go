// Package invariant checks what must always hold, from the journals of the stand-in workers and the rows of the table
// alone. It knows nothing of the instances, so that it cannot share a fault with them.
package invariant

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"bronzehook/api"
	"bronzehook/backend"
	"bronzehook/backend/standin"
	"bronzehook/fault"
	"bronzehook/ownership"
	"bronzehook/peer"
)

// Rule names an invariant.
type Rule string

// The rules.
const (
	RuleCapacity   Rule = "worker capacity"
	RuleKeyOnce    Rule = "key runs once"
	RuleOnePlace   Rule = "task in one place"
	RuleAttempts   Rule = "attempts grow"
	RuleDoneOnce   Rule = "task done once"
	RuleEpochs     Rule = "epochs grow and are recorded"
	RuleRecorded   Rule = "attempts are recorded"
	RuleCompletion Rule = "journal is complete"
)

// Violation is one broken invariant.
type Violation struct {
	Rule   Rule
	Detail string
}

// String names the rule and what broke it.
func (v Violation) String() string { return string(v.Rule) + ": " + v.Detail }

// Check returns every broken invariant of a site. It fails if the table cannot be read.
func Check(ctx context.Context, site *standin.Site) ([]Violation, error) {
	tasks, err := Tasks(ctx, site.Platform.Table())
	if err != nil {
		return nil, err
	}
	c := &checker{now: time.Now(), keys: map[string]standin.Execution{}}
	for _, w := range site.Workers() {
		c.worker(w.Description(), w.Journal())
		if err := c.epochs(ctx, site.Platform.Table(), w.Description(), w.Journal().Runs()); err != nil {
			return nil, err
		}
	}
	c.runs(Runs(site, func(standin.Run) bool { return true }), tasks)
	return c.violations, nil
}

// Runs returns the attempts in the journals that match, in the order of their starts.
func Runs(site *standin.Site, match func(standin.Run) bool) []standin.Run {
	var found []standin.Run
	for _, w := range site.Workers() {
		for _, r := range w.Journal().Runs() {
			if match(r) {
				found = append(found, r)
			}
		}
	}
	slices.SortFunc(found, func(a, b standin.Run) int { return a.Start.Compare(b.Start) })
	return found
}

// Tasks returns the task rows of a table.
func Tasks(ctx context.Context, table backend.Table) (map[api.TaskID]api.Task, error) {
	rows, err := table.List(ctx, "task/")
	if err != nil {
		return nil, errors.Wrap(err, "list tasks")
	}
	tasks := make(map[api.TaskID]api.Task, len(rows))
	for _, row := range rows {
		var task api.Task
		if err := cbor.Unmarshal(row.Value, &task); err != nil {
			return nil, errors.Wrapf(err, "row %s", row.Key)
		}
		tasks[task.ID] = task
	}
	return tasks, nil
}

// Owner returns the row of a unit.
func Owner(ctx context.Context, table backend.Table, unit api.Unit) (ownership.Row, error) {
	var value ownership.Row
	row, err := table.Get(ctx, unit.Key())
	if err != nil {
		return value, errors.Wrapf(err, "read %s", unit.Key())
	}
	return value, peer.Decode(row.Value, &value)
}

type checker struct {
	now        time.Time
	keys       map[string]standin.Execution
	violations []Violation
}

func (c *checker) add(rule Rule, format string, args ...any) {
	c.violations = append(c.violations, Violation{Rule: rule, Detail: fmt.Sprintf(format, args...)})
}

// worker checks that a worker was not given more than it has, and that no key ran twice anywhere.
func (c *checker) worker(w api.Worker, journal *standin.Journal) {
	if dropped := journal.Dropped(); dropped != 0 {
		c.add(RuleCompletion, "%s dropped %d entries", w.ID, dropped)
	}
	peaks := journal.Peaks()
	if peaks.Executing > w.Slots || peaks.Open > w.Connections || !peaks.Reserved.Fits(w.Capacity) {
		c.add(RuleCapacity, "%s with %d slots, %d connections and %v had %+v", w.ID, w.Slots, w.Connections, w.Capacity, peaks)
	}
	for _, r := range journal.Refusals() {
		if r.Code == fault.CodeOverloaded {
			c.add(RuleCapacity, "%s was sent more requests than its connections: %+v", w.ID, r)
		}
	}
	for _, e := range journal.Executions() {
		if e.Key == "" {
			continue
		}
		if first, twice := c.keys[e.Key]; twice {
			c.add(RuleKeyOnce, "%s ran on %s at %s (epoch %d) and on %s at %s (epoch %d)", e.Key, first.Worker,
				first.Start.Format(time.StampMilli), first.Epoch, e.Worker, e.Start.Format(time.StampMilli), e.Epoch)
		}
		c.keys[e.Key] = e
	}
}

// epochs checks that no attempt was started by an owner that had been fenced, and that each epoch was recorded.
func (c *checker) epochs(ctx context.Context, table backend.Table, w api.Worker, runs []standin.Run) error {
	if len(runs) == 0 {
		return nil
	}
	owner, err := Owner(ctx, table, w.RackUnit())
	if err != nil {
		return err
	}
	last := api.Epoch(0)
	for _, r := range runs {
		if r.Epoch < last || r.Epoch > owner.Epoch {
			c.add(RuleEpochs, "%s: %s attempt %d began under epoch %d after %d; the row has %d", w.ID, r.Task, r.Attempt,
				r.Epoch, last, owner.Epoch)
		}
		last = r.Epoch
	}
	return nil
}

// runs checks that the attempts of each task follow each other without overlap, as they are recorded, and that none
// succeeded twice.
func (c *checker) runs(runs []standin.Run, tasks map[api.TaskID]api.Task) {
	last := map[api.TaskID]standin.Run{}
	succeeded := map[api.TaskID]bool{}
	for _, r := range runs {
		if before, known := last[r.Task]; known {
			c.follows(before, r)
		}
		last[r.Task] = r
		if r.State == api.SeenSucceeded && succeeded[r.Task] {
			c.add(RuleDoneOnce, "%s succeeded again as attempt %d", r.Task, r.Attempt)
		}
		succeeded[r.Task] = succeeded[r.Task] || r.State == api.SeenSucceeded
		if task, ok := tasks[r.Task]; ok && r.Attempt > task.Attempt {
			c.add(RuleRecorded, "%s: attempt %d ran, the row has %d", r.Task, r.Attempt, task.Attempt)
		}
	}
}

func (c *checker) follows(before, r standin.Run) {
	end := before.End
	if end.IsZero() {
		end = c.now
	}
	if r.Start.Before(end) {
		c.add(RuleOnePlace, "%s: attempt %d on %s began %s before the end of attempt %d on %s", r.Task, r.Attempt, r.Worker,
			end.Sub(r.Start), before.Attempt, before.Worker)
	}
	if r.Attempt <= before.Attempt {
		c.add(RuleAttempts, "%s: attempt %d began after attempt %d", r.Task, r.Attempt, before.Attempt)
	}
}
