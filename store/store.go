// Package store declares the interface to the transactional store, which keeps all state that has to survive a restart
// of a process, and the layout of this program's rows in it.
//
// Errors carry codes of package fault: CodeConflict if a condition did not hold, CodeStoreUnavailable if nothing was
// done, CodeOutcomeUnknown if a write may have taken effect or may still do so, CodeExpired if the requested history is
// no longer available.
package store

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"bronzehook/fault"
)

// Key identifies a row.
type Key struct {
	Table string
	Name  string
}

// Row is one row. Version increases with every transaction that writes the row; 0 means that the row does not exist.
type Row struct {
	Key
	Value   []byte
	Version uint64
	// Deleted is only set in the results of Watch.
	Deleted bool
}

// Condition requires a row to have the given version. Version 0 requires that the row does not exist.
type Condition struct {
	Key     Key
	Version uint64
}

// Put sets the value of a row.
type Put struct {
	Key   Key
	Value []byte
}

// Txn is a transaction. It is applied as a whole if all conditions hold, else not at all.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []Key
}

// Len is the number of conditions, puts and deletes. A store rejects transactions with more than MaxEntries.
func (t *Txn) Len() int { return len(t.Conditions) + len(t.Puts) + len(t.Deletes) }

// MaxEntries and MaxBytes limit the size of one transaction.
const (
	MaxEntries = 100
	MaxBytes   = 900_000
)

// Changes is a consistent snapshot of rows of a table, or the changes to a table, up to Version.
type Changes struct {
	Rows    []Row
	Version uint64
	// More is set if rows after the last one were left out.
	More bool
	// Clock is the store's monotonic clock at the time of the snapshot; 0 if the store does not report it.
	Clock time.Duration
}

// ResumeAfter returns the version after which the next watch reports what this response to a watch after a version has left out.
// The version of a truncated response may be that of the store, and the rows that were left out have lower ones.
func (c *Changes) ResumeAfter(after uint64) uint64 {
	if !c.More {
		return max(after, c.Version)
	}
	for _, row := range c.Rows {
		after = max(after, row.Version)
	}
	return after
}

// Table is the transactional store.
type Table interface {
	// Commit applies a transaction and returns its version. If a condition does not hold, the error is a
	// *ConflictError.
	Commit(ctx context.Context, txn Txn) (uint64, error)
	// Range returns rows of a table with from <= name < to in ascending order of names; an empty to means no upper
	// bound. For a partitioned table it may return more rows than limit.
	Range(ctx context.Context, table, from, to string, limit int) (Changes, error)
	// Watch returns the changes to a table after a version. It waits for the first one, at most for wait.
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) (Changes, error)
}

// ConflictError reports that a condition of a transaction did not hold and that nothing was applied.
type ConflictError struct {
	// Current holds the current state of the existing rows that the conditions name.
	Current []Row
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("transaction not applied: a condition on one of %d rows did not hold", len(e.Current))
}

// Code implements fault.Coded.
func (e *ConflictError) Code() fault.Code { return fault.CodeConflict }

// Find returns the current row with a key, or a row of version 0 if it does not exist.
func (e *ConflictError) Find(key Key) Row {
	for _, row := range e.Current {
		if row.Key == key {
			return row
		}
	}
	return Row{Key: key}
}

// CallError reports a call to the store that failed for a reason other than a conflict.
type CallError struct {
	Call   string
	Kind   fault.Code
	Detail string
}

// Error implements error.
func (e *CallError) Error() string { return e.Call + ": " + string(e.Kind) + ": " + e.Detail }

// Code implements fault.Coded.
func (e *CallError) Code() fault.Code { return e.Kind }

// Tables of this program.
const (
	// TableIntake holds the accepted jobs that have not ended and the cancellation requests. The leader takes its work
	// from it.
	TableIntake = "intake"
	// TableStates holds the states of jobs that callers read, one row for each job.
	TableStates = "states"
	// TableProgress holds the progress records of live jobs.
	TableProgress = "progress"
	// TablePending holds one row without content for each accepted job of which no task has started.
	TablePending = "pending"
	// TableCounts holds one row with the number of jobs in each queue of which no task has started.
	TableCounts = "counts"
	// TableInterference holds one row with the saved state of the leader's interference model.
	TableInterference = "experience"
	// TableLeadership holds one row, the leadership lease.
	TableLeadership = "duty"
	// TableMaintenance holds one row for each maintenance wave, with the commands that leaders have sent for it.
	TableMaintenance = "maintenance"
	// TableMembers holds one row for each instance that may become the leader.
	TableMembers = "members"
)

// Prefixes of row names in TableIntake.
const (
	prefixJob    = "j/"
	prefixCancel = "c/"
)

// JobKey returns the key of the row with the specification of a job.
func JobKey(id string) Key { return Key{TableIntake, prefixJob + id} }

// CancelKey returns the key of the row that requests the cancellation of a job.
func CancelKey(id string) Key { return Key{TableIntake, prefixCancel + id} }

// PresenceValue is the value of rows of which only the existence matters, because stores reject empty values.
var PresenceValue = []byte{1}

// ParseIntake returns the job ID in a row name of TableIntake and whether the row requests the cancellation of the job.
func ParseIntake(name string) (id string, cancel, ok bool) {
	if len(name) <= len(prefixJob) {
		return "", false, false
	}
	switch name[:len(prefixJob)] {
	case prefixJob:
		return name[len(prefixJob):], false, true
	case prefixCancel:
		return name[len(prefixCancel):], true, true
	}
	return "", false, false
}

// StateKey returns the key of the row with the public state of a job.
func StateKey(id string) Key { return Key{TableStates, id} }

// ProgressKey returns the key of the row with the progress record of a job.
func ProgressKey(id string) Key { return Key{TableProgress, id} }

// PendingKey returns the key of the row in TablePending of a job that has not started.
func PendingKey(queue, id string) Key { return Key{TablePending, queue + "/" + id} }

// MaintenanceKey returns the key of the row with the commands of a maintenance wave.
func MaintenanceKey(wave int) Key { return Key{TableMaintenance, strconv.Itoa(wave)} }

// CountsKey is the key of the row in TableCounts.
var CountsKey = Key{TableCounts, "pending"}

// InterferenceKey is the key of the row in TableInterference.
var InterferenceKey = Key{TableInterference, "images"}

// PendingRange returns the range of row names of a queue in TablePending.
func PendingRange(queue string) (from, to string) { return queue + "/", queue + "0" }

// GroupCount is the number of groups into which the rows of jobs are partitioned, so that no partition of a store carries
// the load of all jobs. A partition executes its transactions one after the other: more groups raise the throughput of a
// slow store, but a new leader then needs more reads. All versions of the program that run at the same time must use the
// same number.
const GroupCount = 24

// NoGroup is the group of rows that are not partitioned: those that the leader changes with every decision.
const NoGroup = -1

// Group returns the group of a row. A store is fastest for transactions whose rows are all in one group or all in none;
// it may execute them independently of those of other groups. All rows of one job that callers read and write are in
// one group.
func (k Key) Group() int {
	switch k.Table {
	case TableStates:
		return GroupOf(k.Name)
	case TableIntake, TablePending:
		return GroupOf(k.Name[strings.LastIndexByte(k.Name, '/')+1:])
	}
	return NoGroup
}

// GroupOf returns the group of a job.
func GroupOf(id string) int { return int(xxhash.Sum64String(id) % GroupCount) }

// Partitioned reports whether the rows of a table are partitioned by group.
func Partitioned(table string) bool {
	return Key{Table: table}.Group() != NoGroup
}

// PageSize is the number of rows that List requests at once.
const PageSize = 500

// ReadRow reads one row. The result has no rows if the row does not exist.
func ReadRow(ctx context.Context, table Table, key Key) (Changes, error) {
	return table.Range(ctx, key.Table, key.Name, key.Name+"\x00", 1)
}

// minPageSize is the page size at or below which List no longer retries a page that failed.
const minPageSize = 30

// List reads all rows of a table with from <= name < to, page by page. The result has the lowest version of all pages, so
// that a Watch from there misses no change, even if a later page is of an older snapshot than the first one. A page that could not be read is requested again with half as many rows:
// over a slow link a large page does not arrive in time.
func List(ctx context.Context, table Table, name, from, to string) (Changes, error) {
	var all Changes
	size := PageSize
	for {
		page, err := table.Range(ctx, name, from, to, size)
		if err != nil && size > minPageSize && ctx.Err() == nil {
			size /= 2
			continue
		}
		if err != nil {
			return Changes{}, err
		}
		if all.Version == 0 || page.Version < all.Version {
			all.Version = page.Version
		}
		all.Rows = append(all.Rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			return all, nil
		}
		from = page.Rows[len(page.Rows)-1].Name + "\x00"
	}
}
