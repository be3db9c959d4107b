package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"bronzehook/api"
	"bronzehook/fault"
	"bronzehook/routing/outlier"
)

// Permit allows one request to be sent to a worker.
type Permit struct {
	// Epoch is the ownership epoch of the worker's rack.
	Epoch api.Epoch
	// NotAfter is the time on the worker's clock after which the worker does not start the request.
	NotAfter time.Duration
}

// Permitter decides whether this instance may send a request to an endpoint.
type Permitter interface {
	// Permit is called immediately before a request is sent. It fails if this instance does not own the endpoint's rack
	// or holds no valid instance lease, or if the endpoint is shutting down or was replaced.
	Permit(endpoint api.Endpoint, deadline time.Time) (Permit, error)
}

// Forwarder forwards requests to other instances.
type Forwarder interface {
	// Forward sends a request to the owner of the endpoint's rack and returns its complete reply. A failure that does
	// not prove that the owner received nothing is treated as unknown.
	Forward(ctx context.Context, owner api.InstanceID, request ForwardRequest) (Reply, error)
}

// Dispatcher sends requests to local endpoints, whose racks this instance owns, and forwards all others to the owners.
type Dispatcher struct {
	self      api.InstanceID
	slots     Slots
	permitter Permitter
	client    *Client
	forwarder Forwarder
}

// New returns a dispatcher. forwarder may be nil if there is only one instance.
func New(self api.InstanceID, slots Slots, permitter Permitter, client *Client, forwarder Forwarder) *Dispatcher {
	return &Dispatcher{self: self, slots: slots, permitter: permitter, client: client, forwarder: forwarder}
}

// Send sends the request to the endpoint, directly or through the owner of its rack. ctx must have a deadline.
func (d *Dispatcher) Send(ctx context.Context, request Request, endpoint api.Endpoint) (Response, error) {
	if endpoint.Owner == d.self {
		return d.SendLocal(ctx, request, endpoint)
	}
	return d.forward(ctx, request, endpoint)
}

// SendLocal sends the request to a local endpoint, whose rack this instance owns. ctx must have a deadline.
func (d *Dispatcher) SendLocal(ctx context.Context, request Request, endpoint api.Endpoint) (Response, error) {
	deadline, err := deadlineOf(ctx)
	if err != nil {
		return Response{}, err
	}
	release, err := d.slots.Acquire(ctx, endpoint)
	if err != nil {
		return Response{}, err
	}
	permit := func() (Permit, error) { return d.permitter.Permit(endpoint, deadline) }
	return d.client.do(exchange{request: request, endpoint: endpoint, deadline: deadline, permit: permit, release: release})
}

func (d *Dispatcher) forward(ctx context.Context, request Request, endpoint api.Endpoint) (Response, error) {
	deadline, err := deadlineOf(ctx)
	if err != nil {
		return Response{}, err
	}
	if d.forwarder == nil {
		return Response{}, notRun(fault.CodeNotOwner, "forward", "no transport to instance "+string(endpoint.Owner))
	}
	message := ForwardRequest{Request: request, Endpoint: endpoint, Budget: time.Until(deadline)}
	reply, err := d.forwarder.Forward(ctx, endpoint.Owner, message)
	if err != nil {
		return Response{}, &fault.RequestError{Outcome: fault.OutcomeOf(err), Cause: &ForwardError{Owner: endpoint.Owner, Cause: err}}
	}
	return reply.Result()
}

func deadlineOf(ctx context.Context) (time.Time, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return deadline, notRun(fault.CodeInternal, "dispatch", "the request has no deadline")
	}
	if time.Until(deadline) <= 0 {
		return deadline, notRun(fault.CodeExpired, "dispatch", "the deadline has passed")
	}
	return deadline, nil
}

// ForwardError reports that the owner of a rack or shard could not be reached or did not reply.
type ForwardError struct {
	Owner api.InstanceID
	Cause error
}

// Error returns a description with the owner and the cause.
func (e *ForwardError) Error() string {
	return "forward to " + string(e.Owner) + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ForwardError) Unwrap() error { return e.Cause }

// HealthOf converts the result of a request into a result for the outlier detection of its endpoint.
func HealthOf(err error) outlier.Result {
	if err == nil {
		return outlier.Success
	}
	if unreachable(err) {
		return outlier.ConnectionFailed
	}
	if fault.OutcomeOf(err) == api.NotRun {
		return outlier.Neutral
	}
	return outlier.Failed
}

func unreachable(err error) bool {
	var dial *DialError
	var forward *ForwardError
	var remote *RemoteError
	if errors.As(err, &remote) {
		return remote.Failure.Unreachable
	}
	return errors.As(err, &dial) || errors.As(err, &forward)
}
