package dedup

import (
	"container/list"
	"net/http"
	"time"

	"bronzehook/api"
	"bronzehook/fault"
)

// State is how far the run of a key has come.
type State uint8

// The states. A later state of the same run replaces an earlier one when copies are joined.
const (
	// StateRecorded means that the owner alone knows the key.
	StateRecorded State = iota
	// StateReplicated means that the deputy knows the key too.
	StateReplicated
	// StateSent means that the request may have reached an endpoint.
	StateSent
	// StateUnknown means that the request may have run and its answer is not known.
	StateUnknown
	// StateNotRun means that the run provably did not start; a further attempt may run the key.
	StateNotRun
	// StateAnswered means that the endpoint has answered.
	StateAnswered
)

// resolved reports whether nothing more is expected of the run.
func (s State) resolved() bool { return s >= StateUnknown }

// RunID identifies one run of a key. The epoch keeps runs of successive owners apart, so that a late message of a
// former owner is never taken for one about a run of its successor.
type RunID struct {
	Epoch  api.Epoch `cbor:"1,keyasint"`
	Number uint32    `cbor:"2,keyasint"`
}

func (r RunID) before(o RunID) bool {
	if r.Epoch != o.Epoch {
		return r.Epoch < o.Epoch
	}
	return r.Number < o.Number
}

// Answer is the stored answer of an endpoint.
type Answer struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint"`
	Body   []byte      `cbor:"3,keyasint,omitempty"`
}

func (a *Answer) size() int {
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

// Record is what the ledger knows of a key, as it travels between owner and deputy.
type Record struct {
	Key   string `cbor:"1,keyasint"`
	Run   RunID  `cbor:"2,keyasint"`
	State State  `cbor:"3,keyasint"`
	// Answer is nil if the run was not answered or the answer was too large to keep.
	Answer *Answer `cbor:"4,keyasint,omitempty"`
	// Age is the time since the last change; instances share no clock.
	Age time.Duration `cbor:"5,keyasint"`
}

// Limits bounds a ledger.
type Limits struct {
	// Retention is the time for which a key is kept after its last change.
	Retention time.Duration
	// MaxKeys is the number of keys, MaxBytes the size of all keys and answers, MaxAnswer the size of one answer.
	MaxKeys   int
	MaxBytes  int
	MaxAnswer int
}

// DefaultLimits returns the limits of one shard in production.
func DefaultLimits() Limits {
	return Limits{Retention: 10 * time.Minute, MaxKeys: 50_000, MaxBytes: 16 << 20, MaxAnswer: 64 << 10}
}

// keyOverhead is the estimated memory of a key's entry in bytes beside the key's text and its answer.
const keyOverhead = 256

type entry struct {
	record  Record
	changed time.Time
	// extended is set if the retention of a run without an end was extended once.
	extended bool
	place    *list.Element
}

// Ledger is the pure state of one shard. The owner and the deputy hold one each.
type Ledger struct {
	limits  Limits
	entries map[string]*entry
	// byAge lists the entries by their last change, oldest first.
	byAge *list.List
	bytes int
	// incompleteUntil is the end of the time in which keys of a lost ledger may still be retried.
	incompleteUntil time.Time
}

// NewLedger returns an empty ledger that is complete.
func NewLedger(limits Limits) *Ledger {
	return &Ledger{limits: limits, entries: map[string]*entry{}, byAge: list.New()}
}

// NewIncompleteLedger returns an empty ledger whose predecessor was lost: for the retention period, a key that it does
// not know may have run unless this is the caller's first attempt.
func NewIncompleteLedger(limits Limits, now time.Time) *Ledger {
	l := NewLedger(limits)
	l.incompleteUntil = now.Add(limits.Retention)
	return l
}

// Decision says what to do with an attempt.
type Decision uint8

// The decisions.
const (
	// DecideRun means that the key was recorded for a new run.
	DecideRun Decision = iota
	// DecideWait means that a run of the key is under way.
	DecideWait
	// DecideAnswer means that the stored answer is given.
	DecideAnswer
	// DecideUnknown means that the key may have run.
	DecideUnknown
)

// Begin decides on an attempt at a key and records a new run where one is allowed. The failure is an overload.
func (l *Ledger) Begin(now time.Time, epoch api.Epoch, call Call) (Decision, Record, error) {
	l.expire(now)
	known := l.entries[call.Key]
	if known == nil {
		return l.beginNew(now, epoch, call)
	}
	switch {
	case known.record.State == StateAnswered && known.record.Answer != nil:
		return DecideAnswer, known.record, nil
	case known.record.State == StateAnswered || known.record.State == StateUnknown:
		return DecideUnknown, known.record, nil
	case known.record.State == StateNotRun:
		record := Record{Key: call.Key, Run: RunID{Epoch: epoch, Number: known.record.Run.Number + 1}}
		l.replace(now, known, record)
		return DecideRun, record, nil
	default:
		return DecideWait, known.record, nil
	}
}

func (l *Ledger) beginNew(now time.Time, epoch api.Epoch, call Call) (Decision, Record, error) {
	record := Record{Key: call.Key, Run: RunID{Epoch: epoch, Number: 1}}
	decision := DecideRun
	if call.Attempt != 1 && now.Before(l.incompleteUntil) {
		record.Run, record.State = RunID{}, StateUnknown
		decision = DecideUnknown
	}
	if err := l.insert(now, record); err != nil {
		return decision, record, err
	}
	return decision, record, nil
}

// Advance moves a run to a state that is not its last. It reports false if the ledger no longer holds that run.
func (l *Ledger) Advance(key string, run RunID, state State) bool {
	known := l.entries[key]
	if known == nil || known.record.Run != run || known.record.State >= state {
		return false
	}
	known.record.State = state
	return true
}

// Finish records how a run ended and returns the record. An answer that is too large is not kept.
func (l *Ledger) Finish(now time.Time, key string, run RunID, state State, answer *Answer) (Record, bool) {
	known := l.entries[key]
	if known == nil || known.record.Run != run || known.record.State.resolved() {
		return Record{}, false
	}
	record := Record{Key: key, Run: run, State: state, Answer: l.keepable(answer)}
	l.replace(now, known, record)
	return record, true
}

func (l *Ledger) keepable(answer *Answer) *Answer {
	size := answer.size()
	if size > l.limits.MaxAnswer || l.bytes+size > l.limits.MaxBytes {
		return nil
	}
	return answer
}

// Apply takes over a record of the owner. The failure is an overload.
func (l *Ledger) Apply(now time.Time, record Record) error {
	l.expire(now)
	known := l.entries[record.Key]
	if known == nil {
		record.Answer = l.keepable(record.Answer)
		return l.insert(now.Add(-record.Age), record)
	}
	if record.Run.before(known.record.Run) {
		return nil
	}
	if record.Run == known.record.Run && record.State <= known.record.State {
		return nil
	}
	record.Answer = l.keepable(record.Answer)
	l.replace(now.Add(-record.Age), known, record)
	return nil
}

// ApplyLate takes over the end of a run that a former owner began and this ledger holds as unknown.
func (l *Ledger) ApplyLate(now time.Time, record Record) bool {
	known := l.entries[record.Key]
	if known == nil || known.record.Run != record.Run || known.record.State != StateUnknown {
		return false
	}
	record.Answer = l.keepable(record.Answer)
	l.replace(now, known, record)
	return true
}

// Promote turns a deputy's copy into the owner's ledger: runs without an end may have been sent.
func (l *Ledger) Promote() {
	for _, known := range l.entries {
		if !known.record.State.resolved() {
			known.record.State = StateUnknown
		}
	}
}

// Export returns all records, oldest change first, and the time for which the ledger remains incomplete.
func (l *Ledger) Export(now time.Time) (records []Record, incompleteFor time.Duration) {
	l.expire(now)
	for place := l.byAge.Front(); place != nil; place = place.Next() {
		known := place.Value.(*entry)
		record := known.record
		record.Age = now.Sub(known.changed)
		records = append(records, record)
	}
	return records, max(0, l.incompleteUntil.Sub(now))
}

// SetIncomplete marks the ledger as incomplete for a time.
func (l *Ledger) SetIncomplete(until time.Time) { l.incompleteUntil = until }

// Len returns the number of keys.
func (l *Ledger) Len() int { return len(l.entries) }

func (l *Ledger) insert(now time.Time, record Record) error {
	size := recordSize(record)
	if len(l.entries) >= l.limits.MaxKeys || l.bytes+size > l.limits.MaxBytes {
		return &OverloadError{Keys: len(l.entries), Bytes: l.bytes, Retry: l.nextExpiry(now)}
	}
	known := &entry{record: record, changed: now}
	known.place = l.byAge.PushBack(known)
	l.entries[record.Key] = known
	l.bytes += size
	return nil
}

func (l *Ledger) replace(now time.Time, known *entry, record Record) {
	l.bytes += recordSize(record) - recordSize(known.record)
	known.record = record
	known.changed = now
	known.extended = false
	l.byAge.MoveToBack(known.place)
}

func recordSize(r Record) int { return keyOverhead + len(r.Key) + r.Answer.size() }

// expire forgets keys whose retention is over. A run without an end is kept for a second retention period, far longer
// than any request takes; a deputy that missed the end must forget it some time.
func (l *Ledger) expire(now time.Time) {
	for place := l.byAge.Front(); place != nil; place = l.byAge.Front() {
		known := place.Value.(*entry)
		if now.Sub(known.changed) < l.limits.Retention {
			return
		}
		if !known.record.State.resolved() && !known.extended {
			known.extended = true
			known.changed = now
			l.byAge.MoveToBack(place)
			continue
		}
		l.byAge.Remove(place)
		delete(l.entries, known.record.Key)
		l.bytes -= recordSize(known.record)
	}
}

func (l *Ledger) nextExpiry(now time.Time) time.Duration {
	front := l.byAge.Front()
	if front == nil {
		return time.Second
	}
	left := l.limits.Retention - now.Sub(front.Value.(*entry).changed)
	return max(time.Second, left)
}

// OverloadError reports a ledger that has no room for a further key. No live key is dropped to make room.
type OverloadError struct {
	Keys  int
	Bytes int
	// Retry is the time until the oldest key may be forgotten.
	Retry time.Duration
}

// Error says that the ledger is full.
func (e *OverloadError) Error() string { return "the ledger of non-idempotent requests is full" }

// Code implements fault.Coded.
func (e *OverloadError) Code() fault.Code { return fault.CodeOverloaded }

// RetryDelay returns the time until the oldest key may be forgotten.
func (e *OverloadError) RetryDelay() time.Duration { return e.Retry }
