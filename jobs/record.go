package jobs

import (
	"encoding/binary"
	"fmt"
	"math"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"bronzehook/fault"
)

// TaskRecord is the progress of one task that has been placed at least once. It is stored before its effects become
// visible: an attempt is recorded before its start command is sent, a termination before it is acknowledged to the
// worker.
type TaskRecord struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	Index      int
	Done       bool
	// Failures counts the failed attempts. Those of a gang are all in the entry of one member: one that has ended in the latest
	// attempt if that one is among them, else one that has not.
	Failures int
	// Attempt is the highest attempt number recorded for the task.
	Attempt int
	// Ended is the highest attempt number whose termination has been applied.
	Ended int
	// Worker and Born identify the incarnation of the worker that may be running Attempt; empty if no worker may.
	Worker string
	Born   int64
	// Checkpoint is the latest known checkpoint; empty means none.
	Checkpoint string
}

// Record is the stored progress of a live job.
type Record struct {
	_     struct{} `cbor:",toarray"`
	Tasks []TaskRecord
}

// InvalidRecordError reports a progress record that does not belong to its job's specification.
type InvalidRecordError struct {
	// Entry is the index of the task's entry.
	Entry  int
	Detail string
}

// Error names the entry.
func (e *InvalidRecordError) Error() string {
	return fmt.Sprintf("progress record, entry %d: %s", e.Entry, e.Detail)
}

// Code implements fault.Coded.
func (*InvalidRecordError) Code() fault.Code { return fault.CodeInvalid }

// Validate checks that a record names only tasks of a specification, each at most once, and that its numbers are possible.
func (r *Record) Validate(spec *Spec) error {
	type taskKey struct{ occurrence, step, index int }
	seen := make(map[taskKey]bool, len(r.Tasks))
	for i := range r.Tasks {
		task := &r.Tasks[i]
		key := taskKey{task.Occurrence, task.Step, task.Index}
		switch {
		case task.Occurrence < 0 || task.Occurrence >= spec.Occurrences(), task.Step < 0 || task.Step >= len(spec.Steps):
			return &InvalidRecordError{i, "no such step"}
		case task.Index < 0 || task.Index >= spec.Steps[task.Step].Count:
			return &InvalidRecordError{i, "no such task"}
		case seen[key]:
			return &InvalidRecordError{i, "second entry of a task"}
		case task.Failures < 0 || task.Attempt < 0 || task.Ended < 0 || task.Attempt > MaxAttempt || task.Ended > MaxAttempt:
			return &InvalidRecordError{i, "number out of range"}
		}
		seen[key] = true
	}
	return nil
}

// MaxAttempt bounds attempt numbers, so that a stored number of another writer cannot make the next one overflow.
const MaxAttempt = 1 << 40

// PublicState is the stored state of a job that is returned to callers.
type PublicState struct {
	_     struct{} `cbor:",toarray"`
	State State
	Queue string
	// Changed is the time at which the state was written, in Unix milliseconds.
	Changed int64
}

// Counts holds the number of pending jobs of each queue.
type Counts struct {
	_ struct{} `cbor:",toarray"`
	// Written is the wall-clock time of the counts, in Unix milliseconds.
	Written int64
	// Pending is, by queue, the number of jobs without due times of which no task has started. Queues without such jobs are
	// left out.
	Pending map[string]int
	// Forecasts holds a forecast for each queue whose backlog cannot be served in time; nil if there is none. Rows of earlier
	// builds lack it and cannot be decoded, which counts as no row.
	Forecasts map[string]QueueForecast
}

// QueueForecast is what the leader expects of the backlog of a queue. Work is in core-seconds, rates are in core-seconds per second.
type QueueForecast struct {
	_ struct{} `cbor:",toarray"`
	// InTime is the waiting work of the jobs that are to end in time, Deferred that of the jobs that wait behind them and
	// can still earn a part of their value. Work of jobs that can earn nothing is left out.
	InTime, Deferred float64
	// Rate is the rate at which the queue's work ends, LateRate the part of it that deferred jobs get.
	Rate, LateRate float64
	// Capacity is the CPU that the queue uses, in cores.
	Capacity float64
}

// MaintenanceCommands is what is stored of the commands of a maintenance wave, so that the next leader knows which machines may
// go down because of them.
type MaintenanceCommands struct {
	_ struct{} `cbor:",toarray"`
	// Sent holds the machines for which a command may have been sent and has not been confirmed. It is stored before the
	// command is sent.
	Sent []string
	// Begun holds the machines whose maintenance has begun.
	Begun []string
}

// InterferenceState is the part of the interference model that is saved for the next leadership term.
type InterferenceState struct {
	_ struct{} `cbor:",toarray"`
	// Lowest holds the lowest tail latency measured for each latency-critical image, in nanoseconds.
	Lowest  map[string]int64
	Effects []Effect
}

// Effect is the estimated interference load on the latency-critical image Serving from best-effort tasks of the image
// Filler that use a whole worker.
type Effect struct {
	_               struct{} `cbor:",toarray"`
	Serving, Filler string
	Mean, Variance  float64
}

// CorruptRecordError reports a stored value that cannot be decoded.
type CorruptRecordError struct {
	Kind  string
	Cause error
}

// Error names the kind of value.
func (e *CorruptRecordError) Error() string { return "stored " + e.Kind + ": " + e.Cause.Error() }

// Unwrap returns the codec's error.
func (e *CorruptRecordError) Unwrap() error { return e.Cause }

// Code implements fault.Coded.
func (e *CorruptRecordError) Code() fault.Code { return fault.CodeInternal }

// Encode returns the stored form of a value.
func Encode[T Spec | Record | PublicState | Counts | InterferenceState | MaintenanceCommands](value *T) []byte {
	return marshal(value)
}

func marshal(value any) []byte {
	encoded, err := cbor.Marshal(value)
	if err != nil {
		// The types hold only numbers, strings, booleans, slices and maps, which always encode.
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encoding a %T", value))
	}
	return encoded
}

// RecordEncoder encodes the progress record of a job whose tasks change one by one. It keeps the encoding of each task until the
// task's entry changes, so that a job of many tasks costs little more than the tasks that have changed.
type RecordEncoder struct {
	tasks []encodedTask
}

// encodedTask is an entry of a record with its encoding.
type encodedTask struct {
	entry   TaskRecord
	encoded []byte
}

// Encode returns what Encode returns for a record with these entries.
func (e *RecordEncoder) Encode(entries []TaskRecord) []byte {
	size := 0
	for i := range entries {
		if i == len(e.tasks) {
			e.tasks = append(e.tasks, encodedTask{})
		}
		cached := &e.tasks[i]
		if cached.encoded == nil || cached.entry != entries[i] {
			cached.entry, cached.encoded = entries[i], marshal(&entries[i])
		}
		size += len(cached.encoded)
	}
	// A record is an array whose only element is the array of its entries.
	record := append(make([]byte, 0, size+maxArrayHeader+1), arrayHeader(1)...)
	record = append(record, arrayHeader(len(entries))...)
	for i := range entries {
		record = append(record, e.tasks[i].encoded...)
	}
	return record
}

// maxArrayHeader is the length in bytes of the longest header that arrayHeader returns.
const maxArrayHeader = 5

// arrayHeader returns the header of a CBOR array of a length: its major type, and the length in as few bytes as possible.
func arrayHeader(length int) []byte {
	const major = 0x80
	switch {
	case length < 24:
		return []byte{major | byte(length)}
	case length <= math.MaxUint8:
		return []byte{major | 24, byte(length)}
	case length <= math.MaxUint16:
		return binary.BigEndian.AppendUint16([]byte{major | 25}, uint16(length))
	}
	return binary.BigEndian.AppendUint32([]byte{major | 26}, uint32(length))
}

// Decode reads what Encode returned.
func Decode[T Spec | Record | PublicState | Counts | InterferenceState | MaintenanceCommands](kind string, encoded []byte) (*T, error) {
	var value T
	if err := cbor.Unmarshal(encoded, &value); err != nil {
		return nil, errors.WithStack(&CorruptRecordError{Kind: kind, Cause: err})
	}
	return &value, nil
}
