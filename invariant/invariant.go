// Package invariant checks the invariants of the system against the event logs of the fake workers and the rows of the
// platform's table. It reads no state of the scheduler instances, so that it cannot share a fault with them.
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
	"bronzehook/backend/fake"
	"bronzehook/fault"
	"bronzehook/ownership"
	"bronzehook/peer"
)

// Rule describes an invariant.
type Rule string

// The invariants.
const (
	RuleCapacity      Rule = "worker capacity is not exceeded"
	RuleExecutedOnce  Rule = "idempotency key is executed at most once"
	RuleNoOverlap     Rule = "attempts of a task do not overlap"
	RuleAttemptOrder  Rule = "attempt numbers of a task increase"
	RuleSucceededOnce Rule = "task succeeds at most once"
	RuleEpochs        Rule = "ownership epochs increase and are persisted"
	RulePersisted     Rule = "attempts are persisted"
	RuleCompletion    Rule = "event log of the worker is complete"
)

// Violation is one detected violation of an invariant.
type Violation struct {
	Rule   Rule
	Detail string
}

// String returns the rule and the details of the violation.
func (v Violation) String() string { return string(v.Rule) + ": " + v.Detail }

// Check returns all violations in a fake cluster. It fails if the table cannot be read.
func Check(ctx context.Context, site *fake.Cluster) ([]Violation, error) {
	tasks, err := Tasks(ctx, site.Platform.Table())
	if err != nil {
		return nil, err
	}
	c := &checker{now: time.Now(), executionByKey: map[string]fake.Execution{}}
	for _, w := range site.Workers() {
		c.checkWorker(w.Description(), w.EventLog())
		if err := c.checkEpochs(ctx, site.Platform.Table(), w.Description(), w.EventLog().Attempts()); err != nil {
			return nil, err
		}
	}
	c.checkAttempts(Attempts(site, func(fake.AttemptRecord) bool { return true }), tasks)
	return c.violations, nil
}

// Attempts returns the matching attempts in the event logs of all workers, sorted by start time.
func Attempts(site *fake.Cluster, match func(fake.AttemptRecord) bool) []fake.AttemptRecord {
	var found []fake.AttemptRecord
	for _, w := range site.Workers() {
		for _, attempt := range w.EventLog().Attempts() {
			if match(attempt) {
				found = append(found, attempt)
			}
		}
	}
	slices.SortFunc(found, func(a, b fake.AttemptRecord) int { return a.Start.Compare(b.Start) })
	return found
}

// Tasks reads all tasks from the table.
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

// ReadOwnership reads the row of an ownership unit from the table.
func ReadOwnership(ctx context.Context, table backend.Table, unit api.Unit) (ownership.Row, error) {
	var value ownership.Row
	row, err := table.Get(ctx, unit.Key())
	if err != nil {
		return value, errors.Wrapf(err, "read %s", unit.Key())
	}
	return value, peer.Decode(row.Value, &value)
}

type checker struct {
	now            time.Time
	executionByKey map[string]fake.Execution
	violations     []Violation
}

func (c *checker) add(rule Rule, format string, args ...any) {
	c.violations = append(c.violations, Violation{Rule: rule, Detail: fmt.Sprintf(format, args...)})
}

// checkWorker checks that the capacity of a worker was not exceeded, and that no idempotency key was executed twice on
// any workers.
func (c *checker) checkWorker(w api.Worker, eventLog *fake.EventLog) {
	if dropped := eventLog.Dropped(); dropped != 0 {
		c.add(RuleCompletion, "%s dropped %d event log entries", w.ID, dropped)
	}
	peaks := eventLog.Peaks()
	if peaks.Executing > w.Slots || peaks.Open > w.Connections || !peaks.Reserved.Fits(w.Capacity) {
		c.add(RuleCapacity, "%s with %d slots, %d connections and capacity %v reached %+v", w.ID, w.Slots, w.Connections,
			w.Capacity, peaks)
	}
	for _, r := range eventLog.Refusals() {
		if r.Code == fault.CodeOverloaded {
			c.add(RuleCapacity, "%s received more requests than its connection limit: %+v", w.ID, r)
		}
	}
	for _, e := range eventLog.Executions() {
		if e.Key == "" {
			continue
		}
		if first, twice := c.executionByKey[e.Key]; twice {
			c.add(RuleExecutedOnce, "%s was executed on %s at %s (epoch %d) and on %s at %s (epoch %d)", e.Key, first.Worker,
				first.Start.Format(time.StampMilli), first.Epoch, e.Worker, e.Start.Format(time.StampMilli), e.Epoch)
		}
		c.executionByKey[e.Key] = e
	}
}

// checkEpochs checks that no attempt was started by an owner that the worker had already fenced, and that every
// ownership epoch was persisted.
func (c *checker) checkEpochs(ctx context.Context, table backend.Table, w api.Worker, attempts []fake.AttemptRecord) error {
	if len(attempts) == 0 {
		return nil
	}
	owner, err := ReadOwnership(ctx, table, w.RackUnit())
	if err != nil {
		return err
	}
	last := api.Epoch(0)
	for _, a := range attempts {
		if a.Epoch < last || a.Epoch > owner.Epoch {
			c.add(RuleEpochs, "%s: %s attempt %d was started under epoch %d after epoch %d; the persisted epoch is %d", w.ID,
				a.Task, a.Attempt, a.Epoch, last, owner.Epoch)
		}
		last = a.Epoch
	}
	return nil
}

// checkAttempts checks that the attempts of each task are persisted and do not overlap, that their numbers increase, and
// that no task succeeded twice.
func (c *checker) checkAttempts(attempts []fake.AttemptRecord, tasks map[api.TaskID]api.Task) {
	last := map[api.TaskID]fake.AttemptRecord{}
	succeeded := map[api.TaskID]bool{}
	for _, a := range attempts {
		if previous, known := last[a.Task]; known {
			c.checkSuccession(previous, a)
		}
		last[a.Task] = a
		if a.State == api.SeenSucceeded && succeeded[a.Task] {
			c.add(RuleSucceededOnce, "%s succeeded a second time in attempt %d", a.Task, a.Attempt)
		}
		succeeded[a.Task] = succeeded[a.Task] || a.State == api.SeenSucceeded
		if task, ok := tasks[a.Task]; ok && a.Attempt > task.Attempt {
			c.add(RulePersisted, "%s: attempt %d ran, but the last persisted attempt is %d", a.Task, a.Attempt, task.Attempt)
		}
	}
}

func (c *checker) checkSuccession(previous, next fake.AttemptRecord) {
	end := previous.End
	if end.IsZero() {
		end = c.now
	}
	if next.Start.Before(end) {
		c.add(RuleNoOverlap, "%s: attempt %d on %s started %s before the termination of attempt %d on %s", next.Task,
			next.Attempt, next.Worker, end.Sub(next.Start), previous.Attempt, previous.Worker)
	}
	if next.Attempt <= previous.Attempt {
		c.add(RuleAttemptOrder, "%s: attempt %d started after attempt %d", next.Task, next.Attempt, previous.Attempt)
	}
}
