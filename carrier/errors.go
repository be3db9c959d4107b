package carrier

import (
	"fmt"
	"time"

	"bronzehook/fault"
)

// RefusedError reports an instance that does not serve as a carrier.
type RefusedError struct{ Status int }

// Error names the HTTP status.
func (e *RefusedError) Error() string { return fmt.Sprintf("carrier refused with status %d", e.Status) }

// Code implements fault.Coded.
func (*RefusedError) Code() fault.Code { return fault.CodeNotReady }

// LostError reports that the connection to a carrier has ended. Calls without a result may have been made.
type LostError struct{ Cause error }

// Error describes the cause.
func (e *LostError) Error() string { return fmt.Sprintf("carrier lost: %v", e.Cause) }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// Code implements fault.Coded.
func (*LostError) Code() fault.Code { return fault.CodeUnreachable }

// ExpiredError reports that the leader may no longer act, so that the calls that were queued are not sent.
type ExpiredError struct{}

// Error implements error.
func (*ExpiredError) Error() string { return "leadership lease expired" }

// Code implements fault.Coded.
func (*ExpiredError) Code() fault.Code { return fault.CodeUnreachable }

// LagError reports a carrier that handles frames too late.
type LagError struct{ Lag time.Duration }

// Error names the lag.
func (e *LagError) Error() string { return fmt.Sprintf("carrier lags by %v", e.Lag) }

// Code implements fault.Coded.
func (*LagError) Code() fault.Code { return fault.CodeTimeout }
