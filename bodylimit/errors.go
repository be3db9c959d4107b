package bodylimit

import (
	"net/http"

	"bronzehook/fault"
)

// Reason says why a body was refused. It is a label of a metric.
type Reason string

// The reasons.
const (
	// ReasonTooLarge means that the body is longer than the limit.
	ReasonTooLarge Reason = "too-large"
	// ReasonNoMemory means that the bodies in memory leave no room for it.
	ReasonNoMemory Reason = "no-memory"
	// ReasonStalled means that the body made no progress, or less than the minimum rate.
	ReasonStalled Reason = "stalled"
	// ReasonIncomplete means that the body ended early or is malformed.
	ReasonIncomplete Reason = "incomplete"
)

// RefusedError reports a body that was not read completely. Nothing of its request has been carried out.
type RefusedError struct{ Reason Reason }

// Error implements error.
func (e *RefusedError) Error() string { return "request body refused: " + string(e.Reason) }

// Code implements fault.Coded.
func (e *RefusedError) Code() fault.Code {
	switch e.Reason {
	case ReasonTooLarge:
		return fault.CodeTooLarge
	case ReasonNoMemory:
		return fault.CodeOverloaded
	}
	return fault.CodeInvalid
}

// Status returns the HTTP status of the refusal.
func (e *RefusedError) Status() int {
	switch e.Reason {
	case ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case ReasonNoMemory:
		return http.StatusServiceUnavailable
	case ReasonStalled:
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}
