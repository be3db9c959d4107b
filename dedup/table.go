package dedup

import (
	"container/list"
	"net/http"
	"time"

	"bronzehook/api"
	"bronzehook/fault"
)

// State is the progress of one execution of an idempotency key.
type State uint8

// The states of an execution. Where the owner and the backup differ on one execution, the higher state applies.
const (
	// StateRecorded means that only the owner has the key.
	StateRecorded State = iota
	// StateReplicated means that the backup has the key too.
	StateReplicated
	// StateSent means that the request may have reached an endpoint.
	StateSent
	// StateUnknown means that the request may have been executed and its response is not known.
	StateUnknown
	// StateNotRun means that the request was certainly not executed; a further attempt may execute it.
	StateNotRun
	// StateAnswered means that the endpoint has responded.
	StateAnswered
)

// terminal reports whether the execution has ended, with a known outcome or not.
func (s State) terminal() bool { return s >= StateUnknown }

// ExecutionID identifies one execution of a key. The ownership epoch distinguishes executions under successive owners, so
// that a delayed message of a former owner is never applied to an execution of its successor.
type ExecutionID struct {
	Epoch  api.Epoch `cbor:"1,keyasint"`
	Number uint32    `cbor:"2,keyasint"`
}

func (r ExecutionID) before(o ExecutionID) bool {
	if r.Epoch != o.Epoch {
		return r.Epoch < o.Epoch
	}
	return r.Number < o.Number
}

// Response is the stored response of an endpoint.
type Response struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint"`
	Body   []byte      `cbor:"3,keyasint,omitempty"`
}

func (a *Response) size() int {
	if a == nil {
		return 0
	}
	size := len(a.Body)
	for name, values := range a.Header {
		size += len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	return size
}

// Record is the entry of one key in the deduplication table, in the form that is sent between instances.
type Record struct {
	Key       string      `cbor:"1,keyasint"`
	Execution ExecutionID `cbor:"2,keyasint"`
	State     State       `cbor:"3,keyasint"`
	// Response is nil if the endpoint did not respond or the response was too large to keep.
	Response *Response `cbor:"4,keyasint,omitempty"`
	// Age is the time since the last change of the entry; an age is sent because the clocks of instances differ.
	Age time.Duration `cbor:"5,keyasint"`
}

// Limits bounds the deduplication table of one shard.
type Limits struct {
	// Retention is how long a key is kept after its last change.
	Retention time.Duration
	// MaxKeys bounds the number of keys, MaxBytes the size of all entries, and MaxResponseBytes the size of one response.
	MaxKeys          int
	MaxBytes         int
	MaxResponseBytes int
}

// DefaultLimits returns the limits used in production.
func DefaultLimits() Limits {
	return Limits{Retention: 10 * time.Minute, MaxKeys: 50_000, MaxBytes: 16 << 20, MaxResponseBytes: 64 << 10}
}

// keyOverhead is the estimated memory per entry in bytes, without the text of the key and the response.
const keyOverhead = 256

type keyEntry struct {
	record    Record
	changedAt time.Time
	// retentionExtended is set once the retention of an execution without a terminal state was extended.
	retentionExtended bool
	element           *list.Element
}

// Table is the in-memory deduplication table of one shard. The owner and the backup have one each. It does no I/O and
// reads no clock.
type Table struct {
	limits  Limits
	entries map[string]*keyEntry
	// byAge lists the entries in the order of their last change, oldest first.
	byAge *list.List
	bytes int
	// incompleteUntil is the end of the period in which callers may still retry keys of a table that was lost.
	incompleteUntil time.Time
}

// NewTable returns an empty table that is complete: a key that it does not contain was never executed.
func NewTable(limits Limits) *Table {
	return &Table{limits: limits, entries: map[string]*keyEntry{}, byAge: list.New()}
}

// NewIncompleteTable returns an empty table that replaces a lost one. For the retention period, a key that is not in
// it may have been executed, unless this is the caller's first attempt.
func NewIncompleteTable(limits Limits, now time.Time) *Table {
	t := NewTable(limits)
	t.incompleteUntil = now.Add(limits.Retention)
	return t
}

// Decision says how to proceed with a caller's attempt at a key.
type Decision uint8

// The decisions.
const (
	// DecideExecute means that a new execution was recorded and the request is to be executed.
	DecideExecute Decision = iota
	// DecideWait means that an earlier attempt at the key is still being executed.
	DecideWait
	// DecideRespond means that the stored response is to be returned.
	DecideRespond
	// DecideUnknown means that the request may have been executed and there is no response to return.
	DecideUnknown
)

// Begin decides how to proceed with an attempt at a key and records a new execution where one is allowed. The error is
// an *OverloadError.
func (t *Table) Begin(now time.Time, epoch api.Epoch, call Call) (Decision, Record, error) {
	t.expire(now)
	entry := t.entries[call.Key]
	if entry == nil {
		return t.beginNewKey(now, epoch, call)
	}
	switch {
	case entry.record.State == StateAnswered && entry.record.Response != nil:
		return DecideRespond, entry.record, nil
	case entry.record.State == StateAnswered || entry.record.State == StateUnknown:
		return DecideUnknown, entry.record, nil
	case entry.record.State == StateNotRun:
		record := Record{Key: call.Key, Execution: ExecutionID{Epoch: epoch, Number: entry.record.Execution.Number + 1}}
		t.replace(now, entry, record)
		return DecideExecute, record, nil
	default:
		return DecideWait, entry.record, nil
	}
}

func (t *Table) beginNewKey(now time.Time, epoch api.Epoch, call Call) (Decision, Record, error) {
	record := Record{Key: call.Key, Execution: ExecutionID{Epoch: epoch, Number: 1}}
	decision := DecideExecute
	if call.Attempt != 1 && now.Before(t.incompleteUntil) {
		record.Execution, record.State = ExecutionID{}, StateUnknown
		decision = DecideUnknown
	}
	if err := t.insert(now, record); err != nil {
		return decision, record, err
	}
	return decision, record, nil
}

// Advance moves an execution to a later, non-terminal state. It returns false if the table no longer has that execution
// or the execution has already reached that state or a later one.
func (t *Table) Advance(key string, execution ExecutionID, state State) bool {
	entry := t.entries[key]
	if entry == nil || entry.record.Execution != execution || entry.record.State >= state {
		return false
	}
	entry.record.State = state
	return true
}

// Finish records the terminal state of an execution and returns the record. A response that is too large is not kept.
func (t *Table) Finish(now time.Time, key string, execution ExecutionID, state State, response *Response) (Record, bool) {
	entry := t.entries[key]
	if entry == nil || entry.record.Execution != execution || entry.record.State.terminal() {
		return Record{}, false
	}
	record := Record{Key: key, Execution: execution, State: state, Response: t.responseWithinLimits(response)}
	t.replace(now, entry, record)
	return record, true
}

// responseWithinLimits returns the response, or nil if storing it would exceed a limit.
func (t *Table) responseWithinLimits(response *Response) *Response {
	size := response.size()
	if size > t.limits.MaxResponseBytes || t.bytes+size > t.limits.MaxBytes {
		return nil
	}
	return response
}

// Apply stores a record that the owner sent, unless the table has a newer one. The error is an *OverloadError.
func (t *Table) Apply(now time.Time, record Record) error {
	t.expire(now)
	entry := t.entries[record.Key]
	if entry == nil {
		record.Response = t.responseWithinLimits(record.Response)
		return t.insert(now.Add(-record.Age), record)
	}
	if record.Execution.before(entry.record.Execution) {
		return nil
	}
	if record.Execution == entry.record.Execution && record.State <= entry.record.State {
		return nil
	}
	record.Response = t.responseWithinLimits(record.Response)
	t.replace(now.Add(-record.Age), entry, record)
	return nil
}

// ApplyOutcome stores the terminal state of an execution that a former owner began and that this table has as unknown.
func (t *Table) ApplyOutcome(now time.Time, record Record) bool {
	entry := t.entries[record.Key]
	if entry == nil || entry.record.Execution != record.Execution || entry.record.State != StateUnknown {
		return false
	}
	record.Response = t.responseWithinLimits(record.Response)
	t.replace(now, entry, record)
	return true
}

// Promote turns the copy of the backup into the table of the owner. Executions without a terminal state become unknown,
// because the former owner may have sent the requests.
func (t *Table) Promote() {
	for _, entry := range t.entries {
		if !entry.record.State.terminal() {
			entry.record.State = StateUnknown
		}
	}
}

// Export returns all records, oldest change first, and how long the table remains incomplete.
func (t *Table) Export(now time.Time) (records []Record, incompleteFor time.Duration) {
	t.expire(now)
	for element := t.byAge.Front(); element != nil; element = element.Next() {
		entry := element.Value.(*keyEntry)
		record := entry.record
		record.Age = now.Sub(entry.changedAt)
		records = append(records, record)
	}
	return records, max(0, t.incompleteUntil.Sub(now))
}

// SetIncomplete marks the table as incomplete until the given time.
func (t *Table) SetIncomplete(until time.Time) { t.incompleteUntil = until }

// Len returns the number of keys.
func (t *Table) Len() int { return len(t.entries) }

func (t *Table) insert(now time.Time, record Record) error {
	size := recordSize(record)
	if len(t.entries) >= t.limits.MaxKeys || t.bytes+size > t.limits.MaxBytes {
		return &OverloadError{Keys: len(t.entries), Bytes: t.bytes, RetryAfter: t.nextExpiry(now)}
	}
	entry := &keyEntry{record: record, changedAt: now}
	entry.element = t.byAge.PushBack(entry)
	t.entries[record.Key] = entry
	t.bytes += size
	return nil
}

func (t *Table) replace(now time.Time, entry *keyEntry, record Record) {
	t.bytes += recordSize(record) - recordSize(entry.record)
	entry.record = record
	entry.changedAt = now
	entry.retentionExtended = false
	t.byAge.MoveToBack(entry.element)
}

func recordSize(r Record) int { return keyOverhead + len(r.Key) + r.Response.size() }

// expire removes keys at the end of their retention. An execution without a terminal state is kept for a second
// retention period, far longer than any request takes, and then removed too, because a backup may have missed the
// terminal state.
func (t *Table) expire(now time.Time) {
	for element := t.byAge.Front(); element != nil; element = t.byAge.Front() {
		entry := element.Value.(*keyEntry)
		if now.Sub(entry.changedAt) < t.limits.Retention {
			return
		}
		if !entry.record.State.terminal() && !entry.retentionExtended {
			entry.retentionExtended = true
			entry.changedAt = now
			t.byAge.MoveToBack(element)
			continue
		}
		t.byAge.Remove(element)
		delete(t.entries, entry.record.Key)
		t.bytes -= recordSize(entry.record)
	}
}

func (t *Table) nextExpiry(now time.Time) time.Duration {
	front := t.byAge.Front()
	if front == nil {
		return time.Second
	}
	remaining := t.limits.Retention - now.Sub(front.Value.(*keyEntry).changedAt)
	return max(time.Second, remaining)
}

// OverloadError reports that the table cannot store another key. Keys within their retention are never evicted.
type OverloadError struct {
	Keys  int
	Bytes int
	// RetryAfter is the time until the oldest key expires.
	RetryAfter time.Duration
}

// Error implements the error interface.
func (e *OverloadError) Error() string { return "the deduplication table of the shard is full" }

// Code implements fault.Coded.
func (e *OverloadError) Code() fault.Code { return fault.CodeOverloaded }

// RetryDelay returns the time until the oldest key expires.
func (e *OverloadError) RetryDelay() time.Duration { return e.RetryAfter }
