// Package fault defines the failure types of the system and maps each failure to an HTTP status, an exit code and a
// request outcome. Other packages may declare further failure types that implement Coded.
package fault

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"bronzehook/api"
)

// Code is the machine-readable class of a failure. Codes appear in headers, JSON, metrics and logs.
type Code string

// The failure codes.
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

// Coded is an error with a failure code.
type Coded interface {
	error
	Code() Code
}

// Description is what callers and operators see of a failure.
type Description struct {
	Code Code
	// Status is the HTTP status; Exit is the exit code of the command line.
	Status int
	Exit   int
	// RetryAfter is the delay after which a retry may succeed; 0 if it is unknown.
	RetryAfter time.Duration
}

// codeMapping is the HTTP status and the exit code of a failure code.
type codeMapping struct {
	status int
	exit   int
}

var codeMappings = map[Code]codeMapping{
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

// Codes returns all codes in no particular order. Tests use it to check that each code is mapped.
func Codes() []Code {
	codes := make([]Code, 0, len(codeMappings))
	for code := range codeMappings {
		codes = append(codes, code)
	}
	return codes
}

// CodeOf returns the code of the outermost Coded error in err's chain, or CodeInternal if there is none.
func CodeOf(err error) Code {
	var coded Coded
	if errors.As(err, &coded) {
		return coded.Code()
	}
	return CodeInternal
}

// Is reports whether err has the code.
func Is(err error, code Code) bool { return err != nil && CodeOf(err) == code }

// Describe returns the description of err. A nil err is described as ExitOK with status 200.
func Describe(err error) Description {
	if err == nil {
		return Description{Status: http.StatusOK, Exit: ExitOK}
	}
	code := CodeOf(err)
	mapping, ok := codeMappings[code]
	if !ok {
		mapping = codeMappings[CodeInternal]
	}
	d := Description{Code: code, Status: mapping.status, Exit: mapping.exit}
	var delayed interface{ RetryDelay() time.Duration }
	if errors.As(err, &delayed) {
		d.RetryAfter = delayed.RetryDelay()
	}
	return d
}

// Failure is the general failure type: a code, the operation that failed and what was wrong.
type Failure struct {
	FailureCode Code
	// Op names the failed operation, for example "table commit".
	Op string
	// Detail is a human-readable explanation.
	Detail string
	// RetryAfter is the delay after which a retry may succeed; 0 if it is unknown.
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

// RetryDelay returns the delay after which a retry may succeed; 0 if it is unknown.
func (f *Failure) RetryDelay() time.Duration { return f.RetryAfter }

// RequestError is a failure of a request, together with the outcome that its caller may be told.
type RequestError struct {
	Outcome api.Outcome
	Cause   error
}

// NotRun marks err as a failure that occurred before any byte of the request could have reached an endpoint.
func NotRun(err error) error { return &RequestError{Outcome: api.NotRun, Cause: err} }

// Unknown marks err as a failure after which the request may have been executed.
func Unknown(err error) error { return &RequestError{Outcome: api.Unknown, Cause: err} }

// Error names the outcome and the cause.
func (e *RequestError) Error() string { return string(e.Outcome) + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error { return e.Cause }

// OutcomeOf returns the outcome that a caller may be told about a request that ended with err. It is Unknown unless err
// states an outcome, because "not-run" must be proven.
func OutcomeOf(err error) api.Outcome {
	if err == nil {
		return api.Answered
	}
	var requestErr *RequestError
	if errors.As(err, &requestErr) {
		return requestErr.Outcome
	}
	return api.Unknown
}
