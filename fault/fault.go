// Package fault holds the failure types of the system and the one place that maps a failure to an HTTP status, an exit
// code and a request outcome. Other packages may declare further failure types; each names its Code.
package fault

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"bronzehook/api"
)

// Code classifies a failure for programs. Codes appear in headers, JSON, metrics and logs.
type Code string

// The codes.
const (
	CodeInternal         Code = "internal"
	CodeInvalid          Code = "invalid"
	CodeNotFound         Code = "not-found"
	CodeConflict         Code = "conflict"
	CodeUnauthenticated  Code = "unauthenticated"
	CodeForbidden        Code = "forbidden"
	CodeTooLarge         Code = "too-large"
	CodeStoreUnavailable Code = "store-unavailable"
	CodeStaleEpoch       Code = "stale-epoch"
	CodeStaleAttempt     Code = "stale-attempt"
	CodeNotOwner         Code = "not-owner"
	CodeNoAuthority      Code = "no-authority"
	CodeNotReady         Code = "not-ready"
	CodeStopping         Code = "stopping"
	CodeExpired          Code = "expired"
	CodeOverloaded       Code = "overloaded"
	CodeInfeasible       Code = "infeasible"
	CodeQuota            Code = "quota"
	CodeNoEndpoint       Code = "no-endpoint"
	CodeNoCapacity       Code = "no-capacity"
	CodeUnreachable      Code = "unreachable"
	CodeTruncated        Code = "truncated"
	CodeOutcomeUnknown   Code = "outcome-unknown"
	CodeTimeout          Code = "timeout"
)

// Exit codes of the command line.
const (
	ExitOK          = 0
	ExitFailure     = 1
	ExitUsage       = 2
	ExitConflict    = 3
	ExitNotFound    = 4
	ExitUnavailable = 5
	ExitTimeout     = 6
)

// Coded is a failure that names its code.
type Coded interface {
	error
	Code() Code
}

// Description is how a failure is presented outside the process.
type Description struct {
	Code   Code
	Status int
	Exit   int
	// RetryAfter is 0 if no time to come back is known.
	RetryAfter time.Duration
}

type presentation struct {
	status int
	exit   int
}

var presentations = map[Code]presentation{
	CodeInternal:         {http.StatusInternalServerError, ExitFailure},
	CodeInvalid:          {http.StatusBadRequest, ExitUsage},
	CodeNotFound:         {http.StatusNotFound, ExitNotFound},
	CodeConflict:         {http.StatusConflict, ExitConflict},
	CodeUnauthenticated:  {http.StatusUnauthorized, ExitFailure},
	CodeForbidden:        {http.StatusForbidden, ExitFailure},
	CodeTooLarge:         {http.StatusRequestEntityTooLarge, ExitUsage},
	CodeStoreUnavailable: {http.StatusServiceUnavailable, ExitUnavailable},
	CodeStaleEpoch:       {http.StatusConflict, ExitConflict},
	CodeStaleAttempt:     {http.StatusConflict, ExitConflict},
	CodeNotOwner:         {http.StatusMisdirectedRequest, ExitUnavailable},
	CodeNoAuthority:      {http.StatusServiceUnavailable, ExitUnavailable},
	CodeNotReady:         {http.StatusServiceUnavailable, ExitUnavailable},
	CodeStopping:         {http.StatusServiceUnavailable, ExitUnavailable},
	CodeExpired:          {http.StatusServiceUnavailable, ExitUnavailable},
	CodeOverloaded:       {http.StatusTooManyRequests, ExitUnavailable},
	CodeInfeasible:       {http.StatusServiceUnavailable, ExitUnavailable},
	CodeQuota:            {http.StatusTooManyRequests, ExitUnavailable},
	CodeNoEndpoint:       {http.StatusServiceUnavailable, ExitUnavailable},
	CodeNoCapacity:       {http.StatusServiceUnavailable, ExitUnavailable},
	CodeUnreachable:      {http.StatusBadGateway, ExitUnavailable},
	CodeTruncated:        {http.StatusBadGateway, ExitFailure},
	CodeOutcomeUnknown:   {http.StatusBadGateway, ExitFailure},
	CodeTimeout:          {http.StatusGatewayTimeout, ExitTimeout},
}

// Codes returns every code, in no order. Tests use it to check that each one is mapped.
func Codes() []Code {
	codes := make([]Code, 0, len(presentations))
	for code := range presentations {
		codes = append(codes, code)
	}
	return codes
}

// CodeOf returns the code of the outermost coded failure in err's chain, or CodeInternal.
func CodeOf(err error) Code {
	var coded Coded
	if errors.As(err, &coded) {
		return coded.Code()
	}
	return CodeInternal
}

// Is reports whether err carries the code.
func Is(err error, code Code) bool { return err != nil && CodeOf(err) == code }

// Describe returns how err is presented. A nil err is ExitOK with status 200.
func Describe(err error) Description {
	if err == nil {
		return Description{Status: http.StatusOK, Exit: ExitOK}
	}
	code := CodeOf(err)
	p, ok := presentations[code]
	if !ok {
		p = presentations[CodeInternal]
	}
	d := Description{Code: code, Status: p.status, Exit: p.exit}
	var later interface{ RetryDelay() time.Duration }
	if errors.As(err, &later) {
		d.RetryAfter = later.RetryDelay()
	}
	return d
}

// Failure is the general failure type: a code, the operation that failed and what was wrong.
type Failure struct {
	FailureCode Code
	// Op names the failed operation, for example "table commit".
	Op string
	// Detail says what was wrong, for people.
	Detail string
	// RetryAfter is 0 if no time to come back is known.
	RetryAfter time.Duration
}

// New returns a Failure with a stack trace.
func New(code Code, op, format string, args ...any) error {
	return errors.WithStackDepth(&Failure{FailureCode: code, Op: op, Detail: fmt.Sprintf(format, args...)}, 1)
}

// Error names the operation, the code and the detail.
func (f *Failure) Error() string { return fmt.Sprintf("%s: %s: %s", f.Op, f.FailureCode, f.Detail) }

// Code implements Coded.
func (f *Failure) Code() Code { return f.FailureCode }

// RetryDelay returns the time after which a retry may succeed.
func (f *Failure) RetryDelay() time.Duration { return f.RetryAfter }

// RequestError is a failure of a request together with what may be told to its caller.
type RequestError struct {
	Outcome api.Outcome
	Cause   error
}

// NotRun marks err as a failure before any byte could have reached an endpoint.
func NotRun(err error) error { return &RequestError{Outcome: api.NotRun, Cause: err} }

// Unknown marks err as a failure after which the request may have run.
func Unknown(err error) error { return &RequestError{Outcome: api.Unknown, Cause: err} }

// Error names the outcome and the cause.
func (e *RequestError) Error() string { return string(e.Outcome) + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error { return e.Cause }

// OutcomeOf returns what a caller may be told about a request that ended with err. A failure that says nothing about
// its outcome is Unknown, because "not-run" must be proven.
func OutcomeOf(err error) api.Outcome {
	if err == nil {
		return api.Answered
	}
	var re *RequestError
	if errors.As(err, &re) {
		return re.Outcome
	}
	return api.Unknown
}
