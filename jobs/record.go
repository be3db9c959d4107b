package jobs

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"bronzehook/fault"
)

// TaskRecord is the progress of one task that has been placed at least once. It is stored before any effect of it can
// be seen outside: an attempt is recorded before it is ordered, an end before the worker may forget it.
type TaskRecord struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	Index      int
	Done       bool
	Failures   int
	// Attempt is the highest attempt number ever recorded for the task.
	Attempt int
	// Ended is the highest attempt number whose end has been counted.
	Ended int
	// Worker and Born name the life of the worker that may be running Attempt; empty if no worker may.
	Worker string
	Born   int64
	// Checkpoint is the newest known checkpoint; empty means none.
	Checkpoint string
}

// Record is the stored progress of a live job.
type Record struct {
	_     struct{} `cbor:",toarray"`
	Tasks []TaskRecord
}

// PublicState is the stored answer to a caller's question about a job.
type PublicState struct {
	_     struct{} `cbor:",toarray"`
	State State
	Queue string
	// Changed is when the state was written, in Unix milliseconds.
	Changed int64
}

// Counts sums up the jobs of all queues.
type Counts struct {
	_ struct{} `cbor:",toarray"`
	// Written is the time of day, in Unix milliseconds.
	Written int64
	// Pending counts, by queue, the jobs without due times of which no task has started. Queues without any are left out.
	Pending map[string]int
}

// InterferenceState is what a term has learned about images, for the next one.
type InterferenceState struct {
	_ struct{} `cbor:",toarray"`
	// Lowest holds the lowest tail that each serving image has shown, in nanoseconds.
	Lowest  map[string]int64
	Effects []Effect
}

// Effect is the load that fillers of an image add to a serving image's if they use a whole worker.
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
func Encode[T Spec | Record | PublicState | Counts | InterferenceState](value *T) []byte {
	encoded, err := cbor.Marshal(value)
	if err != nil {
		// The types hold only numbers, texts, slices and maps, which always encode.
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encoding a %T", value))
	}
	return encoded
}

// Decode reads what Encode returned.
func Decode[T Spec | Record | PublicState | Counts | InterferenceState](kind string, encoded []byte) (*T, error) {
	var value T
	if err := cbor.Unmarshal(encoded, &value); err != nil {
		return nil, errors.WithStack(&CorruptRecordError{Kind: kind, Cause: err})
	}
	return &value, nil
}
