// Package store declares the transactional table that keeps everything that has to outlive a process, and the layout
// of the product's own rows in it.
//
// Failures carry codes of package fault: CodeConflict if a condition did not hold, CodeStoreUnavailable if nothing was
// done, CodeOutcomeUnknown if a write may take effect now or later, CodeExpired if the wanted history is gone.
package store

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"bronzehook/fault"
)

// Key names a row.
type Key struct {
	Table string
	Name  string
}

// Row is one row. Version grows with every transaction that touches the row; 0 means that the row is absent.
type Row struct {
	Key
	Value   []byte
	Version uint64
	// Deleted is set in changes only.
	Deleted bool
}

// Condition requires a row to have a version. Version 0 requires that the row is absent.
type Condition struct {
	Key     Key
	Version uint64
}

// Put sets a row.
type Put struct {
	Key   Key
	Value []byte
}

// Txn is applied as a whole, if all conditions hold, or not at all.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []Key
}

// Len is the number of entries, which a store bounds by MaxEntries.
func (t *Txn) Len() int { return len(t.Conditions) + len(t.Puts) + len(t.Deletes) }

// MaxEntries and MaxBytes bound one transaction.
const (
	MaxEntries = 100
	MaxBytes   = 900_000
)

// Changes is a consistent excerpt of a table or of its history up to Version.
type Changes struct {
	Rows    []Row
	Version uint64
	// More says that rows behind the last one were left out.
	More bool
	// Clock is the store's steady clock as the excerpt was made; 0 if it isn't told.
	Clock time.Duration
}

// Table is the store.
type Table interface {
	// Commit returns the version of the transaction. On a conflict the error is a *ConflictError.
	Commit(ctx context.Context, txn Txn) (uint64, error)
	// Range returns rows of a table with from <= name < to in ascending order; an empty to means no upper end. From a
	// table that is spread it may return more rows than the limit.
	Range(ctx context.Context, table, from, to string, limit int) (Changes, error)
	// Watch waits for changes of a table after a version, at most for wait.
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) (Changes, error)
}

// ConflictError reports that a condition did not hold; nothing was applied.
type ConflictError struct {
	// Current holds the rows named in the conditions as they are.
	Current []Row
}

// Error says how many rows were compared.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("a condition on one of %d rows did not hold", len(e.Current))
}

// Code implements fault.Coded.
func (e *ConflictError) Code() fault.Code { return fault.CodeConflict }

// Find returns the current row of a key, or an absent row.
func (e *ConflictError) Find(key Key) Row {
	for _, row := range e.Current {
		if row.Key == key {
			return row
		}
	}
	return Row{Key: key}
}

// CallError reports a call that failed for a reason other than a condition.
type CallError struct {
	Call   string
	Kind   fault.Code
	Detail string
}

// Error names the call and what went wrong.
func (e *CallError) Error() string { return e.Call + ": " + string(e.Kind) + ": " + e.Detail }

// Code implements fault.Coded.
func (e *CallError) Code() fault.Code { return e.Kind }

// Tables of the product.
const (
	// TableIntake holds accepted jobs that have not ended and requests to cancel; it is the duty holder's inbox.
	TableIntake = "intake"
	// TableStates holds what callers are told, one row a job.
	TableStates = "states"
	// TableProgress holds the records of live jobs.
	TableProgress = "progress"
	// TablePending holds one empty row for each accepted job of which no task has started.
	TablePending = "pending"
	// TableCounts holds one row with the number of jobs of each queue of which no task has started.
	TableCounts = "counts"
	// TableInterference holds one row with what the duty holder has learned about images.
	TableInterference = "experience"
	// TableLeadership holds the row of the duty.
	TableLeadership = "duty"
	// TableMembers holds a row for each instance that may take the duty.
	TableMembers = "members"
)

// Prefixes of the names in TableIntake.
const (
	prefixJob    = "j/"
	prefixCancel = "c/"
)

// JobKey names the row with the specification of a job.
func JobKey(id string) Key { return Key{TableIntake, prefixJob + id} }

// CancelKey names the row that asks to cancel a job.
func CancelKey(id string) Key { return Key{TableIntake, prefixCancel + id} }

// Present is the value of rows of which only the existence matters. Stores refuse empty values.
var Present = []byte{1}

// ParseIntake splits a name of TableIntake into the job and whether the row asks to cancel it.
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

// StateKey names the row with the public state of a job.
func StateKey(id string) Key { return Key{TableStates, id} }

// ProgressKey names the row with the record of a job.
func ProgressKey(id string) Key { return Key{TableProgress, id} }

// PendingKey names the row of a job that has not begun.
func PendingKey(queue, id string) Key { return Key{TablePending, queue + "/" + id} }

// CountsKey names the row of TableCounts.
var CountsKey = Key{TableCounts, "pending"}

// InterferenceKey names the row of TableExperience.
var InterferenceKey = Key{TableInterference, "images"}

// PendingRange returns the bounds of the names in TablePending of a queue.
func PendingRange(queue string) (from, to string) { return queue + "/", queue + "0" }

// Groups is the number of groups over which the rows of jobs are spread, so that no part of a store carries all of them. A part
// carries out its transactions one after the other; the more parts, the more a slow store gets done, and the more readings a new
// duty holder needs. All versions of the program that run side by side need the same number.
const Groups = 24

// NoGroup is the group of rows that are not spread: those that the duty holder changes with every decision.
const NoGroup = -1

// Group returns the group of a row. A store carries out transactions within one group, or without any, the fastest; it
// may take them up apart from those of other groups. All rows of one job that callers read and write are in one group.
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
func GroupOf(id string) int { return int(xxhash.Sum64String(id) % Groups) }

// Spread reports whether the rows of a table are in different groups.
func Spread(table string) bool {
	return Key{Table: table}.Group() != NoGroup
}

// PageSize is the number of rows that List asks for at once.
const PageSize = 500

// ReadRow reads one row. The result has no rows if it is absent.
func ReadRow(ctx context.Context, table Table, key Key) (Changes, error) {
	return table.Range(ctx, key.Table, key.Name, key.Name+"\x00", 1)
}

// leastPageSize is the number of rows that List asks for at the least.
const leastPageSize = 30

// List reads all rows of a table. Version is that of the first page, so that a Watch from there misses nothing. A page that could
// not be read is asked for again with half as many rows: over a slow link a large one does not arrive in time.
func List(ctx context.Context, table Table, name, from, to string) (Changes, error) {
	var all Changes
	size := PageSize
	for {
		page, err := table.Range(ctx, name, from, to, size)
		if err != nil && size > leastPageSize && ctx.Err() == nil {
			size /= 2
			continue
		}
		if err != nil {
			return Changes{}, err
		}
		if all.Version == 0 {
			all.Version = page.Version
		}
		all.Rows = append(all.Rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			return all, nil
		}
		from = page.Rows[len(page.Rows)-1].Name + "\x00"
	}
}
