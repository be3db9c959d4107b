package startgate

import (
	"time"

	"github.com/cockroachdb/errors"

	"bronzehook/fault"
)

// Reason is the reason for which a start is held back or rejected.
type Reason string

// The reasons. They are label values of metrics.
const (
	ReasonCancelled          Reason = "cancelled"
	ReasonEvacuated          Reason = "evacuated"
	ReasonDraining           Reason = "draining"
	ReasonUnregistered       Reason = "unregistered"
	ReasonStaleOperatorTable Reason = "stale-operator-table"
	ReasonStaleRegistrations Reason = "stale-registrations"
	ReasonStaleIntake        Reason = "stale-intake"
	// ReasonTooLate means that the time until which the start might leave has passed, ReasonNotLeading that the leader may no
	// longer act.
	ReasonTooLate    Reason = "too-late"
	ReasonNotLeading Reason = "not-leading"
)

// Permit is the permission of an allowed start, which is checked again immediately before the command is written. A permit
// without a time is not bounded.
type Permit struct{ LeaveBy time.Duration }

// Latest is what the process that writes the command knows at that moment. A process that is not the leader knows only some
// of it.
type Latest struct {
	Now time.Duration
	// Withdrawn is set if the leader no longer wants the attempt, NotLeading if it may no longer act.
	Evacuated, Draining, Withdrawn, NotLeading bool
}

// Check returns a *WithheldError if the start must not leave.
func (p Permit) Check(l Latest) error {
	switch {
	case l.NotLeading:
		return withheld(ReasonNotLeading)
	case l.Withdrawn:
		return withheld(ReasonCancelled)
	case l.Evacuated:
		return withheld(ReasonEvacuated)
	case l.Draining:
		return withheld(ReasonDraining)
	case p.LeaveBy > 0 && l.Now >= p.LeaveBy:
		return withheld(ReasonTooLate)
	}
	return nil
}

// WithheldError reports that a start was not sent.
type WithheldError struct{ Reason Reason }

func withheld(reason Reason) error { return errors.WithStack(&WithheldError{Reason: reason}) }

// Error names the reason.
func (e *WithheldError) Error() string { return "start withheld: " + string(e.Reason) }

// Code implements fault.Coded.
func (*WithheldError) Code() fault.Code { return fault.CodeNotReady }

// ReasonOf returns the reason of the WithheldError in the chain of an error; empty if there is none.
func ReasonOf(err error) Reason {
	var e *WithheldError
	if errors.As(err, &e) {
		return e.Reason
	}
	return ""
}
