package httpbackend

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"bronzehook/fault"
)

// CallError is a call to the platform that failed or whose answer did not arrive whole.
type CallError struct {
	FailureCode fault.Code
	// Op names the call, for example "table commit".
	Op string
	// Status is the HTTP status of the answer, or 0 if none arrived.
	Status int
	Detail string
	// Cause is the failure of the transport, if there was one.
	Cause error
}

// Error names the call, the code and what was wrong.
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

// Unwrap returns the failure of the transport.
func (e *CallError) Unwrap() error { return e.Cause }

func callError(code fault.Code, op, detail string, cause error) error {
	return errors.WithStackDepth(&CallError{FailureCode: code, Op: op, Detail: detail, Cause: cause}, 1)
}

func withStack(e *CallError) error { return errors.WithStackDepth(e, 1) }
