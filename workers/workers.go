// Package workers declares the interface to workers: their registrations, the commands sent to them and their replies.
package workers

import (
	"context"
	"fmt"
	"time"

	"bronzehook/fault"
	"bronzehook/jobs"
	"bronzehook/startgate"
)

// ID identifies a worker.
type ID string

// Registration is what a worker registered about itself.
type Registration struct {
	ID      ID
	Service string
	Addr    string
	Zone    string
	// Machine names the machine. It stays the same over the incarnations of a worker; empty if unknown.
	Machine  string
	Draining bool
	// Remaining is the minimum time until a draining worker shuts down; 0 if unknown.
	Remaining time.Duration
	// StartTime is the start time of this incarnation in Unix milliseconds.
	StartTime int64
	Capacity  jobs.Resources
	// Labels holds the worker's kind and rack.
	Labels []string
	// Rack is the label of the rack; empty if unknown.
	Rack string
	// EnforcesCapacity is set if the worker enforces its capacity: it refuses attempts that do not fit.
	EnforcesCapacity bool
}

// HasLabel reports whether the worker has a label.
func (r *Registration) HasLabel(label string) bool {
	for _, l := range r.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Target identifies the incarnation of a worker that a command is for. FencingToken lets the worker reject commands of
// earlier leaders.
type Target struct {
	ID           ID
	Addr         string
	FencingToken uint64
	// Via is the instance that makes the call for the leader; empty if the leader makes it itself.
	Via string
}

// Running is an attempt that a worker reports as running.
type Running struct {
	Task       jobs.Task
	Attempt    int
	Checkpoint string
	// Percent is the progress. For a long-running task, 100 means that it is up and working.
	Percent int
	// Usage is the tail latency in ms for a latency-critical task, else the CPU in use in thousandths of a core.
	Usage int
}

// Cause is the cause of a termination.
type Cause string

// The causes of a termination.
const (
	CauseDone         Cause = "done"
	CauseFailed       Cause = "failed"
	CauseStopped      Cause = "stopped"
	CauseLeaseExpired Cause = "lapsed"
	CauseBroken       Cause = "broken"
	CauseAlone        Cause = "alone"
)

// Termination reports that an attempt has ended. Number is a sequence number that rises by one and restarts with each
// incarnation of the worker.
type Termination struct {
	Number     int64
	Task       jobs.Task
	Attempt    int
	Cause      Cause
	Checkpoint string
}

// MaxTerminations is how many terminations a worker lists in one inventory, the oldest ones. It lists the next ones after
// these have been acknowledged.
const MaxTerminations = 500

// Inventory is a worker's reply to a poll: its running attempts and the first MaxTerminations terminations not yet
// acknowledged.
type Inventory struct {
	// Clock is the worker's own clock in ms.
	Clock        int64
	StartTime    int64
	Running      []Running
	Terminations []Termination
	// Unknown is the number of entries that could not be parsed.
	Unknown int
	// AckedUpTo is the acknowledgement that the poll carried: that of the request, or 0.
	AckedUpTo int64
}

// ListsAllTerminations reports whether the inventory certainly contains all terminations that are not acknowledged. If it
// does not, an attempt that it does not contain may have ended in any way.
func (i *Inventory) ListsAllTerminations() bool {
	return len(i.Terminations)+i.Unknown < MaxTerminations
}

// Start is the command to start an attempt.
type Start struct {
	Target
	Task       jobs.Task
	Attempt    int
	Text       string
	Checkpoint string
	// StartTime is the start time of the incarnation that LeaseExpiry is for. No other one carries the command out.
	StartTime int64
	// LeaseExpiry is the expiry of the attempt lease on the worker's clock, in ms.
	LeaseExpiry int64
	// Ticket is the ticket from the advice that allows the start on this worker; empty if none is needed.
	Ticket string
	// DataCentre is the data centre of the worker. LeaveBy is the time until which the command may leave, by the clock of the
	// leader that includes suspended time; 0 if it is not bounded. A carrier checks both.
	DataCentre string
	LeaveBy    time.Duration
	// MayLeave is called immediately before the command is written. If it returns an error, the command is not sent. It may be nil.
	MayLeave func() error
}

// PollRequest requests an inventory and renews the attempt leases.
type PollRequest struct {
	Target
	// StartTime is the start time of the incarnation that LeaseExpiry and AckUpTo are for; 0 if unknown.
	StartTime int64
	// LeaseExpiry is the new expiry of the attempt leases on the worker's clock, in ms; 0 renews none.
	LeaseExpiry int64
	// AckUpTo acknowledges the terminations up to this sequence number, so that the worker can discard them.
	AckUpTo int64
	// Wait makes the request a long poll: it is the time for which the worker may delay its reply until an attempt ends.
	Wait time.Duration
	// TimeoutMargin is added to the timeout of the call, because a slow caller also handles the reply late.
	TimeoutMargin time.Duration
}

// Client sends commands to workers. Errors are *RefusedError or *NotSentError if the command had no effect, else errors with
// CodeUnreachable, after which the command may have been executed or may still be.
type Client interface {
	// Start returns the worker's clock. It sends the command only to the incarnation with command.StartTime: the error is a
	// *RefusedError with ReasonRestarted if another one answers, and a *NotSentError if it is unknown which one would, or if
	// command.MayLeave forbids it.
	Start(ctx context.Context, command Start) (int64, error)
	Stop(ctx context.Context, target Target, task jobs.Task, attempt int) error
	// Poll leaves out LeaseExpiry and AckUpTo wherever the call may reach another incarnation than that of the request,
	// which may have the same ID and address. Inventory.AckedUpTo says which acknowledgement was sent.
	Poll(ctx context.Context, request PollRequest) (Inventory, error)
	// Throttle limits a best-effort task to a percentage of its CPU share.
	Throttle(ctx context.Context, target Target, task jobs.Task, attempt, percent int) error
}

// Advice lists the workers that may run a step, each with the ticket that a start command must contain.
type Advice struct {
	Tickets map[ID]string
	Valid   time.Duration
}

// Advisor decides which workers may run a step.
type Advisor interface {
	Advise(ctx context.Context, step jobs.Task, ids []ID) (Advice, error)
}

// Reason is the reason for which a worker refused a command.
type Reason string

// The reasons of a refusal.
const (
	// ReasonStaleToken means that the worker has accepted a higher fencing token.
	ReasonStaleToken Reason = "epoch"
	// ReasonAlreadyEnded means that this attempt or a later one of the task has already ended on the worker.
	ReasonAlreadyEnded Reason = "old"
	// ReasonLeaseExpired means that the command arrived after the expiry of its attempt lease.
	ReasonLeaseExpired Reason = "late"
	// ReasonNoCapacity means that the attempt does not fit into the free capacity.
	ReasonNoCapacity Reason = "room"
	// ReasonTicket means that the advice ticket is missing or too old.
	ReasonTicket Reason = "ticket"
	// ReasonIncarnation means that a process with another ID replied.
	ReasonIncarnation Reason = "life"
	// ReasonRestarted means that the worker has started again since, so that the incarnation that a start command is for is
	// gone. The command was not sent.
	ReasonRestarted Reason = "restarted"
	// ReasonUnhealthy means that the worker currently accepts no commands.
	ReasonUnhealthy Reason = "unhealthy"
	ReasonInvalid   Reason = "invalid"
)

// RefusedError reports that a worker refused a command and did not execute it.
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

// UnreachableError reports a command without a reply. It may have been executed.
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

// NotSentError reports a start command that was not sent, so that it is certainly not executed: there was no connection, or
// no answer which incarnation a new one reaches, or it was withheld.
type NotSentError struct {
	Worker ID
	Detail string
	// Withheld is the reason for which the last check before the write forbade the start; empty if it did not.
	Withheld startgate.Reason
}

// Error names the worker.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("start not sent to worker %s: %s", e.Worker, e.Detail)
}

// Code implements fault.Coded.
func (e *NotSentError) Code() fault.Code { return fault.CodeUnreachable }
