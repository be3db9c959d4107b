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

// saturationPoll is the longest pause before a request that found all endpoints at their limits tries again.
const saturationPoll = 2 * time.Millisecond

const (
	// handoverPause is the first pause before a keyed request looks for the new owner of its shard. Pauses double.
	handoverPause = 5 * time.Millisecond
	// handoverPauseMax bounds one pause.
	handoverPauseMax = 80 * time.Millisecond
	// handoverLimit bounds the search for the new owner; a handover is known to all live instances within 0.4 s.
	handoverLimit = time.Second
)

// handle admits a parsed request and runs it. ctx carries the caller's deadline.
func (g *Gateway) handle(ctx context.Context, request dispatch.Request) (_ dispatch.Response, err error) {
	grant, err := g.Admission.Admit(ctx, admission.Request{Urgency: request.Urgency, Service: request.Service})
	if err != nil {
		return dispatch.Response{}, doubt(request, err)
	}
	defer func() { grant.Done(fault.OutcomeOf(err) != api.NotRun) }()
	return g.runAdmitted(ctx, request)
}

// runAdmitted runs an idempotent request with retries, and a non-idempotent one through the ledger. A non-idempotent
// request without a key needs no ledger: nothing else can name it, and it is sent once.
func (g *Gateway) runAdmitted(ctx context.Context, request dispatch.Request) (dispatch.Response, error) {
	switch {
	case request.Idempotent:
		return g.runIdempotent(ctx, request)
	case request.Key == "":
		response, _, err := g.send(ctx, request, nil)
		return response, err
	}
	return g.runByOwner(ctx, request)
}

// runByOwner runs a keyed request at the owner of its shard. While the shard changes hands, its former owner refuses the
// request without having recorded it, and the new one is looked for.
func (g *Gateway) runByOwner(ctx context.Context, request dispatch.Request) (dispatch.Response, error) {
	begun := g.Clock.Now()
	for pause := handoverPause; ; pause = min(2*pause, handoverPauseMax) {
		response, err := g.runAtOwner(ctx, request)
		if !isMisrouted(err) || g.Clock.Since(begun) >= handoverLimit || !g.sleep(ctx, pause) {
			return response, err
		}
	}
}

// runAtOwner runs a keyed request at the instance that owns its shard as far as this instance knows.
func (g *Gateway) runAtOwner(ctx context.Context, request dispatch.Request) (dispatch.Response, error) {
	owner, err := g.Ledger.Owner(request.Key)
	if err != nil {
		return dispatch.Response{}, doubt(request, &noOwnerError{cause: fault.NotRun(err)})
	}
	if owner == g.Self.ID {
		return g.runKeyed(ctx, request)
	}
	return g.forwardKeyed(ctx, owner, request)
}

// noOwnerError marks a shard whose owner cannot be asked: it has none until the last one has lapsed, or there is no
// transport to it. Nothing is gained by a wait.
type noOwnerError struct{ cause error }

// Error returns the description of the cause.
func (e *noOwnerError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *noOwnerError) Unwrap() error { return e.cause }

// isMisrouted reports whether an instance refused a keyed request because it does not own the key's shard.
func isMisrouted(err error) bool {
	var none *noOwnerError
	return fault.Is(err, fault.CodeNotOwner) && !errors.As(err, &none)
}

// sleep waits and reports false if ctx ended.
func (g *Gateway) sleep(ctx context.Context, pause time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-g.Clock.After(pause):
		return true
	}
}

func (g *Gateway) runKeyed(ctx context.Context, request dispatch.Request) (dispatch.Response, error) {
	run := func(ctx context.Context) (dedup.Answer, error) {
		response, _, err := g.send(ctx, request, nil)
		return dedup.Answer(response), err
	}
	answer, err := g.Ledger.Do(ctx, dedup.Call{Key: request.Key, Attempt: request.Attempt}, run)
	return dispatch.Response(answer), err
}

func (g *Gateway) forwardKeyed(ctx context.Context, owner api.InstanceID, request dispatch.Request) (dispatch.Response, error) {
	if g.Peers == nil {
		err := refuse(fault.CodeNotOwner, "forward", "no transport to the owner of the key's shard")
		return dispatch.Response{}, doubt(request, &noOwnerError{cause: err})
	}
	g.Metrics.hop(hopShard)
	message := dispatch.KeyedRequest{Request: request, Budget: g.budgetOf(ctx)}
	reply, err := g.Peers.ForwardKeyed(ctx, owner, message)
	if err != nil {
		return dispatch.Response{}, doubt(request, &fault.RequestError{
			Outcome: fault.OutcomeOf(err),
			Cause:   &dispatch.ForwardError{Owner: owner, Cause: err},
		})
	}
	return reply.Result()
}

// doubt turns the refusal of a caller's retry into unknown where the ledger was not asked: this attempt did not run, but
// an earlier one at the same key may have, and "not-run" speaks of the work.
func doubt(request dispatch.Request, err error) error {
	if request.Key == "" || request.Attempt == 1 || fault.OutcomeOf(err) != api.NotRun {
		return err
	}
	return fault.Unknown(err)
}

func (g *Gateway) budgetOf(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	return deadline.Sub(g.Clock.Now())
}

// runIdempotent sends a request until it is answered, within the retry budget, the deadline and the number of sendings.
func (g *Gateway) runIdempotent(ctx context.Context, request dispatch.Request) (dispatch.Response, error) {
	g.Retries.Earn()
	var failed []api.TaskID
	var mayHaveRun error
	for sends := 1; ; sends++ {
		response, task, err := g.send(ctx, request, failed)
		if err == nil {
			return response, nil
		}
		if fault.OutcomeOf(err) == api.Unknown {
			mayHaveRun = err
		}
		if task == "" || sends >= g.config.MaxSends || !g.mayRetry(ctx, err) {
			return dispatch.Response{}, firstOf(mayHaveRun, err)
		}
		failed = append(failed, task)
		g.Metrics.retries.Inc()
	}
}

// firstOf reports an earlier sending that may have run rather than a later one that did not.
func firstOf(mayHaveRun, last error) error {
	if mayHaveRun != nil {
		return mayHaveRun
	}
	return last
}

// mayRetry reports whether another endpoint may do better and the budget allows it.
func (g *Gateway) mayRetry(ctx context.Context, err error) bool {
	switch fault.CodeOf(err) {
	case fault.CodeInvalid, fault.CodeTooLarge, fault.CodeInternal:
		return false
	}
	return ctx.Err() == nil && g.Retries.Take(g.Clock.Now())
}

// send chooses an endpoint and sends the request once. The task is empty if no endpoint was chosen.
func (g *Gateway) send(ctx context.Context, request dispatch.Request, exclude []api.TaskID) (dispatch.Response, api.TaskID, error) {
	choice, err := g.choose(ctx, request, exclude)
	if err != nil {
		return dispatch.Response{}, "", fault.NotRun(err)
	}
	if !choice.Own {
		g.Metrics.hop(hopOf(choice))
	}
	request.ID = g.ids.next()
	begun := g.Clock.Now()
	response, err := g.Dispatcher.Send(ctx, request, choice.Endpoint)
	ended := g.Clock.Now()
	choice.Tracker.End(ended, ended.Sub(begun), dispatch.HealthOf(err))
	return response, choice.Endpoint.Task, err
}

func hopOf(choice routing.Choice) hopKind {
	if choice.CrossRegion {
		return hopRegion
	}
	return hopRack
}

// choose returns an endpoint that has counted the request. While all endpoints are at their limits it waits, until
// ctx ends.
func (g *Gateway) choose(ctx context.Context, request dispatch.Request, exclude []api.TaskID) (routing.Choice, error) {
	random := g.randoms.Get().(routing.Source)
	defer g.randoms.Put(random)
	query := routing.Query{Service: request.Service, Bytes: len(request.Body), Exclude: exclude}
	for {
		query.Now = g.Clock.Now()
		choice, err := g.view.Load().Snapshot.Choose(query, random)
		if err == nil && choice.Tracker.Begin(query.Now) {
			return choice, nil
		}
		if err != nil && !isSaturated(err) {
			return choice, err
		}
		if !g.pause(ctx, err) {
			return choice, refuse(fault.CodeNoCapacity, "choose endpoint", "no endpoint took the request in time")
		}
	}
}

func isSaturated(err error) bool {
	var none *routing.NoEndpointError
	return errors.As(err, &none) && none.Saturated
}

// pause waits before the next choice and reports false if ctx ended. A lost race for a probe needs no wait.
func (g *Gateway) pause(ctx context.Context, err error) bool {
	if err == nil {
		return ctx.Err() == nil
	}
	return g.sleep(ctx, min(saturationPoll, max(fault.Describe(err).RetryAfter, time.Millisecond/2)))
}

// ServeForward serves a request that another instance forwarded because this instance owns the endpoint's rack.
func (g *Gateway) ServeForward(ctx context.Context, message dispatch.ForwardRequest) dispatch.Reply {
	g.drain.enterForwarded()
	defer g.drain.leave()
	ctx, cancel := context.WithTimeout(ctx, message.Budget)
	defer cancel()
	tracker := g.Trackers.Lookup(routing.KeyOf(message.Endpoint))
	begun := g.Clock.Now()
	if tracker != nil && !tracker.Begin(begun) {
		return dispatch.ReplyOf(dispatch.Response{}, refuse(fault.CodeNoEndpoint, "serve forwarded", "the endpoint is ejected"))
	}
	response, err := g.Dispatcher.SendOwn(ctx, message.Request, message.Endpoint)
	if tracker != nil {
		ended := g.Clock.Now()
		tracker.End(ended, ended.Sub(begun), dispatch.HealthOf(err))
	}
	return dispatch.ReplyOf(response, err)
}

// ServeKeyed serves a non-idempotent request that another instance forwarded because this instance owns its shard.
func (g *Gateway) ServeKeyed(ctx context.Context, message dispatch.KeyedRequest) dispatch.Reply {
	g.drain.enterForwarded()
	defer g.drain.leave()
	ctx, cancel := context.WithTimeout(ctx, message.Budget)
	defer cancel()
	owner, err := g.Ledger.Owner(message.Request.Key)
	if err == nil && owner != g.Self.ID {
		err = &fault.Failure{FailureCode: fault.CodeNotOwner, Op: "serve keyed", Detail: "the shard is owned by " + string(owner)}
	}
	if err != nil {
		return dispatch.ReplyOf(dispatch.Response{}, doubt(message.Request, fault.NotRun(err)))
	}
	return dispatch.ReplyOf(g.runKeyed(ctx, message.Request))
}
