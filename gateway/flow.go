package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"bronzehook/admission"
	"bronzehook/api"
	"bronzehook/dedup"
	"bronzehook/dispatch"
	"bronzehook/fault"
	"bronzehook/routing"
)

// maxSaturationDelay bounds the delay before an endpoint is chosen again for a request that found all at their limits.
const maxSaturationDelay = 2 * time.Millisecond

const (
	// initialHandoverDelay is the delay before the first retry during a handover of a shard. It doubles with each retry.
	initialHandoverDelay = 5 * time.Millisecond
	// maxHandoverDelay bounds the delay before one retry.
	maxHandoverDelay = 80 * time.Millisecond
	// handoverTimeout bounds the time of all retries. All live instances learn of a handover within 0.4 s.
	handoverTimeout = time.Second
)

// handle admits a parsed request and executes it. ctx carries the caller's deadline.
func (g *Gateway) handle(ctx context.Context, request dispatch.Request) (_ dispatch.Response, err error) {
	grant, err := g.Admission.Admit(ctx, admission.Request{Urgency: request.Urgency, Service: request.Service})
	if err != nil {
		return dispatch.Response{}, unknownIfRetry(request, err)
	}
	defer func() { grant.Done(fault.OutcomeOf(err) != api.NotRun) }()
	return g.execute(ctx, request)
}

// execute sends an idempotent request with retries, and executes a non-idempotent one with an idempotency key at most
// once. A non-idempotent request without a key is sent once; it needs no deduplication, as no other request can refer to
// it.
func (g *Gateway) execute(ctx context.Context, request dispatch.Request) (dispatch.Response, error) {
	switch {
	case request.Idempotent:
		return g.executeIdempotent(ctx, request)
	case request.Key == "":
		response, _, err := g.send(ctx, request, nil)
		return response, err
	}
	return g.executeKeyed(ctx, request)
}

// executeKeyed executes a request with an idempotency key at the owner of its shard. During a handover, the former owner
// refuses the request without having recorded it, and the request is retried until the new owner is known.
func (g *Gateway) executeKeyed(ctx context.Context, request dispatch.Request) (dispatch.Response, error) {
	started := g.Clock.Now()
	for delay := initialHandoverDelay; ; delay = min(2*delay, maxHandoverDelay) {
		response, err := g.executeAtOwner(ctx, request)
		if !isMisrouted(err) || g.Clock.Since(started) >= handoverTimeout || !g.sleep(ctx, delay) {
			return response, err
		}
	}
}

// executeAtOwner executes a request with an idempotency key at the owner of its shard in this instance's local view.
func (g *Gateway) executeAtOwner(ctx context.Context, request dispatch.Request) (dispatch.Response, error) {
	owner, err := g.Deduplicator.Owner(request.Key)
	if err != nil {
		return dispatch.Response{}, unknownIfRetry(request, &ownerUnavailableError{cause: fault.NotRun(err)})
	}
	if owner == g.Self.ID {
		return g.executeDeduplicated(ctx, request)
	}
	return g.forwardKeyed(ctx, owner, request)
}

// ownerUnavailableError reports that no request can be sent to the owner of a shard: either the shard has none until the
// instance lease of the last owner has expired, or there is no transport to the owner. A retry does not help then.
type ownerUnavailableError struct{ cause error }

// Error returns the description of the cause.
func (e *ownerUnavailableError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *ownerUnavailableError) Unwrap() error { return e.cause }

// isMisrouted reports whether an instance refused a request because it does not own the shard of the idempotency key.
func isMisrouted(err error) bool {
	var unavailable *ownerUnavailableError
	return fault.Is(err, fault.CodeNotOwner) && !errors.As(err, &unavailable)
}

// sleep waits for delay and reports false if ctx ended first.
func (g *Gateway) sleep(ctx context.Context, delay time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-g.Clock.After(delay):
		return true
	}
}

func (g *Gateway) executeDeduplicated(ctx context.Context, request dispatch.Request) (dispatch.Response, error) {
	execute := func(ctx context.Context) (dedup.Response, error) {
		response, _, err := g.send(ctx, request, nil)
		return dedup.Response(response), err
	}
	response, err := g.Deduplicator.Do(ctx, dedup.Call{Key: request.Key, Attempt: request.Attempt}, execute)
	return dispatch.Response(response), err
}

func (g *Gateway) forwardKeyed(ctx context.Context, owner api.InstanceID, request dispatch.Request) (dispatch.Response, error) {
	if g.Peers == nil {
		err := notRun(fault.CodeNotOwner, "forward", "no transport to the owner of the key's shard")
		return dispatch.Response{}, unknownIfRetry(request, &ownerUnavailableError{cause: err})
	}
	g.Metrics.countHop(hopShard)
	message := dispatch.KeyedRequest{Request: request, Budget: g.timeLeft(ctx)}
	reply, err := g.Peers.ForwardKeyed(ctx, owner, message)
	if err != nil {
		return dispatch.Response{}, unknownIfRetry(request, &fault.RequestError{
			Outcome: fault.OutcomeOf(err),
			Cause:   &dispatch.ForwardError{Owner: owner, Cause: err},
		})
	}
	return reply.Result()
}

// unknownIfRetry changes the outcome of a refused request from not-run to unknown if it is a caller's retry that was not
// looked up in the deduplication table. This attempt did not run, but an earlier one with the same key may have, and
// not-run is a statement about all attempts.
func unknownIfRetry(request dispatch.Request, err error) error {
	if request.Key == "" || request.Attempt == 1 || fault.OutcomeOf(err) != api.NotRun {
		return err
	}
	return fault.Unknown(err)
}

func (g *Gateway) timeLeft(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	return deadline.Sub(g.Clock.Now())
}

// executeIdempotent sends a request until it is answered, within the retry budget, the deadline and the maximum number
// of send attempts.
func (g *Gateway) executeIdempotent(ctx context.Context, request dispatch.Request) (dispatch.Response, error) {
	g.Retries.Deposit()
	var failedTasks []api.TaskID
	var unknownErr error
	for sendAttempts := 1; ; sendAttempts++ {
		response, task, err := g.send(ctx, request, failedTasks)
		if err == nil {
			return response, nil
		}
		if fault.OutcomeOf(err) == api.Unknown {
			unknownErr = err
		}
		if task == "" || sendAttempts >= g.config.MaxSendAttempts || !g.mayRetry(ctx, err) {
			return dispatch.Response{}, preferUnknown(unknownErr, err)
		}
		failedTasks = append(failedTasks, task)
		g.Metrics.retries.Inc()
	}
}

// preferUnknown returns the failure of an earlier send attempt that may have run, if any, otherwise that of the last.
func preferUnknown(unknownErr, lastErr error) error {
	if unknownErr != nil {
		return unknownErr
	}
	return lastErr
}

// mayRetry reports whether a retry at another endpoint may succeed and the retry budget allows it.
func (g *Gateway) mayRetry(ctx context.Context, err error) bool {
	switch fault.CodeOf(err) {
	case fault.CodeInvalid, fault.CodeTooLarge, fault.CodeInternal:
		return false
	}
	return ctx.Err() == nil && g.Retries.TryWithdraw(g.Clock.Now())
}

// send chooses an endpoint and sends the request once. The task is empty if no endpoint was chosen.
func (g *Gateway) send(ctx context.Context, request dispatch.Request, exclude []api.TaskID) (dispatch.Response, api.TaskID, error) {
	choice, err := g.choose(ctx, request, exclude)
	if err != nil {
		return dispatch.Response{}, "", fault.NotRun(err)
	}
	if !choice.Local {
		g.Metrics.countHop(hopOf(choice))
	}
	request.ID = g.ids.next()
	started := g.Clock.Now()
	response, err := g.Dispatcher.Send(ctx, request, choice.Endpoint)
	finished := g.Clock.Now()
	choice.Tracker.End(finished, finished.Sub(started), dispatch.HealthOf(err))
	return response, choice.Endpoint.Task, err
}

func hopOf(choice routing.Choice) hopKind {
	if choice.CrossRegion {
		return hopRegion
	}
	return hopRack
}

// choose returns an endpoint whose tracker has counted the request. While all endpoints are at their limits, it waits
// until ctx ends.
func (g *Gateway) choose(ctx context.Context, request dispatch.Request, exclude []api.TaskID) (routing.Choice, error) {
	source := g.randomSources.Get().(routing.Source)
	defer g.randomSources.Put(source)
	query := routing.Query{Service: request.Service, Bytes: len(request.Body), Exclude: exclude}
	for {
		query.Now = g.Clock.Now()
		choice, err := g.view.Load().Snapshot.Choose(query, source)
		if err == nil && choice.Tracker.Begin(query.Now) {
			return choice, nil
		}
		if err != nil && !isSaturated(err) {
			return choice, err
		}
		if !g.waitBeforeRetry(ctx, err) {
			return choice, notRun(fault.CodeNoCapacity, "choose endpoint", "no endpoint accepted the request in time")
		}
	}
}

func isSaturated(err error) bool {
	var noEndpoint *routing.NoEndpointError
	return errors.As(err, &noEndpoint) && noEndpoint.Saturated
}

// waitBeforeRetry waits before the next choice of an endpoint and reports false if ctx ended. It does not wait if err is
// nil: another request has then become the probe of the chosen endpoint.
func (g *Gateway) waitBeforeRetry(ctx context.Context, err error) bool {
	if err == nil {
		return ctx.Err() == nil
	}
	return g.sleep(ctx, min(maxSaturationDelay, max(fault.Describe(err).RetryAfter, time.Millisecond/2)))
}

// ServeForward serves a request that another instance forwarded because this instance owns the endpoint's rack.
func (g *Gateway) ServeForward(ctx context.Context, message dispatch.ForwardRequest) dispatch.Reply {
	g.drain.beginForwarded()
	defer g.drain.end()
	ctx, cancel := context.WithTimeout(ctx, message.Budget)
	defer cancel()
	tracker := g.Trackers.Lookup(routing.KeyOf(message.Endpoint))
	started := g.Clock.Now()
	if tracker != nil && !tracker.Begin(started) {
		return dispatch.ReplyOf(dispatch.Response{}, notRun(fault.CodeNoEndpoint, "serve forwarded request", "the endpoint is ejected"))
	}
	response, err := g.Dispatcher.SendLocal(ctx, message.Request, message.Endpoint)
	if tracker != nil {
		finished := g.Clock.Now()
		tracker.End(finished, finished.Sub(started), dispatch.HealthOf(err))
	}
	return dispatch.ReplyOf(response, err)
}

// ServeKeyed serves a request with an idempotency key that another instance forwarded to this one as the shard's owner.
func (g *Gateway) ServeKeyed(ctx context.Context, message dispatch.KeyedRequest) dispatch.Reply {
	g.drain.beginForwarded()
	defer g.drain.end()
	ctx, cancel := context.WithTimeout(ctx, message.Budget)
	defer cancel()
	owner, err := g.Deduplicator.Owner(message.Request.Key)
	if err == nil && owner != g.Self.ID {
		err = &fault.Failure{FailureCode: fault.CodeNotOwner, Op: "serve forwarded request with idempotency key", Detail: "the shard is owned by " + string(owner)}
	}
	if err != nil {
		return dispatch.ReplyOf(dispatch.Response{}, unknownIfRetry(message.Request, fault.NotRun(err)))
	}
	return dispatch.ReplyOf(g.executeDeduplicated(ctx, message.Request))
}
