// Package dispatch sends a request to an endpoint, or forwards it to the instance that owns the endpoint's rack. A
// failed request is reported as not-run if no byte was sent or the worker refused it, and as unknown otherwise.
package dispatch

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"bronzehook/api"
	"bronzehook/fault"
)

// Request is a caller's request after parsing. It is immutable, because it may be sent more than once.
type Request struct {
	// ID identifies one send attempt of the request. The endpoint returns it in its response.
	ID      string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Method  string `cbor:"3,keyasint"`
	// Target is the path and the query, without the name of the service.
	Target string `cbor:"4,keyasint"`
	// Header holds the caller's headers without hop-by-hop and reserved headers.
	Header     http.Header `cbor:"5,keyasint"`
	Body       []byte      `cbor:"6,keyasint,omitempty"`
	Urgency    api.Urgency `cbor:"7,keyasint"`
	Team       string      `cbor:"8,keyasint"`
	Idempotent bool        `cbor:"9,keyasint"`
	// Key is the idempotency key of a non-idempotent request, Attempt the number of the caller's attempt with that key.
	Key     string `cbor:"10,keyasint,omitempty"`
	Attempt int    `cbor:"11,keyasint,omitempty"`
}

// Response is the complete response of an endpoint.
type Response struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint"`
	Body   []byte      `cbor:"3,keyasint,omitempty"`
}

// ForwardRequest forwards a request to the owner of the endpoint's rack.
type ForwardRequest struct {
	Request  Request      `cbor:"1,keyasint"`
	Endpoint api.Endpoint `cbor:"2,keyasint"`
	// Budget is the time left until the caller's deadline. It is a duration, because instances share no clock.
	Budget time.Duration `cbor:"3,keyasint"`
}

// KeyedRequest forwards a non-idempotent request with an idempotency key to the owner of its shard.
type KeyedRequest struct {
	Request Request       `cbor:"1,keyasint"`
	Budget  time.Duration `cbor:"2,keyasint"`
}

// Reply is the result of a forwarded request. Exactly one of the fields is set.
type Reply struct {
	Response *Response    `cbor:"1,keyasint,omitempty"`
	Failure  *WireFailure `cbor:"2,keyasint,omitempty"`
}

// WireFailure is a failure as encoded in messages between instances.
type WireFailure struct {
	Outcome    api.Outcome   `cbor:"1,keyasint"`
	Code       fault.Code    `cbor:"2,keyasint"`
	Detail     string        `cbor:"3,keyasint"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	// Unreachable is set if no connection to the endpoint could be opened.
	Unreachable bool `cbor:"5,keyasint,omitempty"`
}

// ReplyOf converts the result of a request into a reply.
func ReplyOf(response Response, err error) Reply {
	if err == nil {
		return Reply{Response: &response}
	}
	d := fault.Describe(err)
	var dial *DialError
	return Reply{Failure: &WireFailure{
		Outcome:     fault.OutcomeOf(err),
		Code:        d.Code,
		Detail:      err.Error(),
		RetryAfter:  d.RetryAfter,
		Unreachable: errors.As(err, &dial),
	}}
}

// Result returns the response or the failure of a reply. An empty reply proves nothing, so its outcome is unknown.
func (r Reply) Result() (Response, error) {
	if r.Failure != nil {
		return Response{}, &fault.RequestError{Outcome: r.Failure.outcome(), Cause: &RemoteError{Failure: *r.Failure}}
	}
	if r.Response == nil {
		return Response{}, unknown(fault.CodeOutcomeUnknown, "read reply", "the reply is empty")
	}
	return *r.Response, nil
}

func (f *WireFailure) outcome() api.Outcome {
	if f.Outcome == api.NotRun {
		return api.NotRun
	}
	return api.Unknown
}

// RemoteError is a failure that another instance reported.
type RemoteError struct{ Failure WireFailure }

// Error returns the description that the other instance sent.
func (e *RemoteError) Error() string { return "reported by the owner: " + e.Failure.Detail }

// Code implements fault.Coded.
func (e *RemoteError) Code() fault.Code { return e.Failure.Code }

// RetryDelay returns the time after which a retry may succeed.
func (e *RemoteError) RetryDelay() time.Duration { return e.Failure.RetryAfter }

// notRun returns a failure with outcome not-run. Like unknown, it records no stack trace, which would dominate the cost
// of refusing a request.
func notRun(code fault.Code, op, detail string) error {
	return fault.NotRun(&fault.Failure{FailureCode: code, Op: op, Detail: detail})
}

// unknown returns a failure with outcome unknown.
func unknown(code fault.Code, op, detail string) error {
	return fault.Unknown(&fault.Failure{FailureCode: code, Op: op, Detail: detail})
}
