// Package workers declares how the system sees workers: what they say of themselves and the orders they take.
package workers

import (
	"context"
	"fmt"
	"time"

	"bronzehook/fault"
	"bronzehook/jobs"
)

// ID identifies a worker.
type ID string

// Registration is what a worker says of itself.
type Registration struct {
	ID      ID
	Service string
	Addr    string
	Zone    string
	// Machine stays the same over the lives of workers on it; empty if it isn't known.
	Machine  string
	Draining bool
	// Remaining is the least time until a draining worker leaves; 0 if it isn't known.
	Remaining time.Duration
	// Born is the start of this life in Unix milliseconds.
	Born     int64
	Capacity jobs.Resources
	// Labels holds the worker's kind and rack.
	Labels []string
	// Rack is the label of the rack; empty if it isn't known.
	Rack string
	// Guards says that the worker itself refuses what does not fit.
	Guards bool
}

// HasLabel reports whether the worker has a label.
func (e *Registration) HasLabel(label string) bool {
	for _, l := range e.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Target names one life of a worker for an order.
type Target struct {
	ID           ID
	Addr         string
	FencingToken uint64
}

// Running is one attempt that a worker runs.
type Running struct {
	Task       jobs.Task
	Attempt    int
	Checkpoint string
	// Percent is the progress; 100 for a long-running task means that it is at work.
	Percent int
	// Usage is the tail of the response times in ms of a serving task, else the thousandths of a core in use.
	Usage int
}

// Cause says how an attempt ended.
type Cause string

// The causes of an end.
const (
	CauseDone         Cause = "done"
	CauseFailed       Cause = "failed"
	CauseStopped      Cause = "stopped"
	CauseLeaseExpired Cause = "lapsed"
	CauseBroken       Cause = "broken"
	CauseAlone        Cause = "alone"
)

// Termination is the end of an attempt. Numbers rise by one within a worker's life.
type Termination struct {
	Number     int64
	Task       jobs.Task
	Attempt    int
	Cause      Cause
	Checkpoint string
}

// Inventory is a worker's answer to a look.
type Inventory struct {
	// Clock is the worker's own clock in ms.
	Clock        int64
	Born         int64
	Running      []Running
	Terminations []Termination
	// Unknown counts entries that could not be read.
	Unknown int
}

// Start orders an attempt.
type Start struct {
	Target
	Task       jobs.Task
	Attempt    int
	Text       string
	Checkpoint string
	// LeaseEnd is on the worker's clock, in ms.
	LeaseEnd int64
	Ticket   string
}

// PollRequest asks for an inventory and renews leases.
type PollRequest struct {
	Target
	// LeaseEnd is on the worker's clock, in ms; 0 renews nothing.
	LeaseEnd int64
	// AckUpTo lets the worker forget ends up to this number.
	AckUpTo int64
	// Wait lets the worker hold its answer until an attempt ends.
	Wait time.Duration
	// TimeoutMargin is added to the time-out of the call by a caller that is slow itself.
	TimeoutMargin time.Duration
}

// Client gives orders to workers. Failures are *RefusedError if the worker answered and did nothing, else CallErrors
// with CodeUnreachable, after which the order may have been or may yet be carried out.
type Client interface {
	// Start returns the worker's clock.
	Start(ctx context.Context, order Start) (int64, error)
	Stop(ctx context.Context, target Target, task jobs.Task, attempt int) error
	Poll(ctx context.Context, look PollRequest) (Inventory, error)
	// Throttle lets a filler task use only a percentage of its share.
	Throttle(ctx context.Context, target Target, task jobs.Task, attempt, percent int) error
}

// Advice names the workers that may run a step, each with the ticket that a start has to carry.
type Advice struct {
	Tickets map[ID]string
	Valid   time.Duration
}

// Advisor answers which workers may run a step.
type Advisor interface {
	Advise(ctx context.Context, step jobs.Task, ids []ID) (Advice, error)
}

// Reason says why a worker refused an order.
type Reason string

// The reasons of a refusal.
const (
	// ReasonStaleToken means that a higher epoch was seen.
	ReasonStaleToken Reason = "epoch"
	// ReasonOld means that this or a later attempt has already ended there.
	ReasonOld Reason = "old"
	// ReasonLate means that the order arrived after its lease end.
	ReasonLate Reason = "late"
	ReasonRoom Reason = "room"
	// ReasonTicket means that the advice ticket is missing or too old.
	ReasonTicket Reason = "ticket"
	// ReasonIncarnation means that another life of the worker answered.
	ReasonIncarnation Reason = "life"
	// ReasonUnhealthy means that the worker takes nothing at present.
	ReasonUnhealthy Reason = "unhealthy"
	ReasonInvalid   Reason = "invalid"
)

// RefusedError reports an order that a worker answered without carrying it out.
type RefusedError struct {
	Worker ID
	Reason Reason
}

// Error names the worker and the reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("worker %s refused: %s", e.Worker, e.Reason)
}

// Code implements fault.Coded.
func (e *RefusedError) Code() fault.Code {
	if e.Reason == ReasonStaleToken {
		return fault.CodeStaleEpoch
	}
	return fault.CodeNoCapacity
}

// UnreachableError reports an order without an answer. It may have been carried out.
type UnreachableError struct {
	Worker ID
	Detail string
}

// Error names the worker.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no answer from worker %s: %s", e.Worker, e.Detail)
}

// Code implements fault.Coded.
func (e *UnreachableError) Code() fault.Code { return fault.CodeUnreachable }
