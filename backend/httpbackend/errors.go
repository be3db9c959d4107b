package httpbackend

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"bronzehook/fault"
)

// CallError reports a call to the platform or a worker that failed or whose response was incomplete.
type CallError struct {
	FailureCode fault.Code
	// Op is the name of the call, for example "table commit".
	Op string
	// Status is the HTTP status of the response, or 0 if there was none.
	Status int
	Detail string
	// Cause is the underlying error, if any, such as one of the HTTP transport.
	Cause error
}

// Error returns the name of the call, the failure code, the detail, the status and the cause.
func (e *CallError) Error() string {
	text := fmt.Sprintf("%s: %s: %s", e.Op, e.FailureCode, e.Detail)
	if e.Status != 0 {
		text += fmt.Sprintf(" (status %d)", e.Status)
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Code implements fault.Coded.
func (e *CallError) Code() fault.Code { return e.FailureCode }

// Unwrap returns the underlying error.
func (e *CallError) Unwrap() error { return e.Cause }

func callError(code fault.Code, op, detail string, cause error) error {
	return errors.WithStackDepth(&CallError{FailureCode: code, Op: op, Detail: detail, Cause: cause}, 1)
}

func withStack(e *CallError) error { return errors.WithStackDepth(e, 1) }
