// Package invalid describes values from other processes that the scheduler does not accept, and reports them to operators.
// An invalid value is left out by itself: the values beside it stay in use.
package invalid

import (
	"fmt"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"bronzehook/fault"
)

// Kind tells why a value is not accepted.
type Kind string

// The kinds of invalid values.
const (
	// KindUndecodable means that the encoding is broken, or that a field has another type.
	KindUndecodable Kind = "undecodable"
	// KindMissing means that a required field is absent or empty.
	KindMissing Kind = "missing"
	// KindOutOfRange means that a number or a length is beyond its limit.
	KindOutOfRange Kind = "out-of-range"
	// KindUnknownValue means that a word or an address has none of the accepted forms.
	KindUnknownValue Kind = "unknown-value"
	// KindInconsistent means that parts of the value contradict each other.
	KindInconsistent Kind = "inconsistent"
)

// Error reports an invalid value.
type Error struct {
	Kind  Kind
	Field string
	// Cause is the codec's error; nil if there is none.
	Cause error
}

// Error names the field and the kind.
func (e *Error) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s: %s: %v", e.Field, e.Kind, e.Cause)
	}
	return fmt.Sprintf("%s: %s", e.Field, e.Kind)
}

// Unwrap returns the codec's error.
func (e *Error) Unwrap() error { return e.Cause }

// Code implements fault.Coded.
func (*Error) Code() fault.Code { return fault.CodeInvalid }

// New returns an error about a field.
func New(kind Kind, field string) error { return errors.WithStack(&Error{Kind: kind, Field: field}) }

// Undecodable returns an error about a value that its codec rejects.
func Undecodable(field string, cause error) error {
	return errors.WithStack(&Error{Kind: KindUndecodable, Field: field, Cause: cause})
}

// KindOf returns the kind of an error; an error of another type counts as KindUndecodable.
func KindOf(err error) Kind {
	var invalid *Error
	if errors.As(err, &invalid) {
		return invalid.Kind
	}
	return KindUndecodable
}

// Source names where invalid values come from.
type Source string

// The sources of invalid values.
const (
	SourceRegistration Source = "registration"
	SourceJob          Source = "job"
	SourceProgress     Source = "progress"
	SourceManifest     Source = "manifest"
	SourceWave         Source = "wave"
	SourceEvacuation   Source = "evacuation"
	SourceMachines     Source = "machines"
	SourceWorker       Source = "worker"
	SourceDirectory    Source = "directory"
)

// maxLogged bounds the memory of what has been logged. When it is full it is emptied, so that lines may repeat.
const maxLogged = 4096

type loggedKey struct {
	source Source
	key    string
}

// Reporter counts invalid values and logs each once for each version of it. It may be used by several goroutines.
type Reporter struct {
	total  *prometheus.CounterVec
	logger zerolog.Logger

	mu sync.Mutex
	// logged holds the newest version that was logged.
	logged map[loggedKey]uint64
}

// NewReporter returns a reporter and registers its metric.
func NewReporter(registry prometheus.Registerer, logger zerolog.Logger) *Reporter {
	r := &Reporter{
		total: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "bronzehook", Name: "invalid_values_total", Help: "Values from other processes that were left out, by source and kind.",
		}, []string{"source", "kind"}),
		logger: logger, logged: make(map[loggedKey]uint64),
	}
	registry.MustRegister(r.total)
	return r
}

// Report counts an invalid value and logs it, unless this version of it has been reported before.
func (r *Reporter) Report(source Source, key string, version uint64, err error) {
	if !r.isNew(loggedKey{source, key}, version) {
		return
	}
	kind := KindOf(err)
	r.total.WithLabelValues(string(source), string(kind)).Inc()
	r.logger.Warn().Str("source", string(source)).Str("key", key).Uint64("row_version", version).Str("kind", string(kind)).
		AnErr("error", err).Msg("invalid value left out")
}

func (r *Reporter) isNew(key loggedKey, version uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reported, known := r.logged[key]; known && reported == version {
		return false
	}
	if len(r.logged) >= maxLogged {
		clear(r.logged)
	}
	r.logged[key] = version
	return true
}
