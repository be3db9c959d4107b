package gateway

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"bronzehook/api"
	"bronzehook/bodylimit"
	"bronzehook/dispatch"
	"bronzehook/fault"
	"bronzehook/logging"
	"bronzehook/response"
)

// reasonNone is the reason that is reported for an answered request.
const reasonNone = "none"

// serve handles one request of a caller.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	arrived := g.Clock.Now()
	if !g.drain.begin() {
		// The connection is closed, so that the caller's next request goes to another instance.
		w.Header().Set("Connection", "close")
		g.Refuse(w, r, notRun(fault.CodeStopping, "serve", "the instance is stopping"))
		return
	}
	defer g.drain.end()
	p, err := g.parse(r, arrived)
	if err != nil {
		bodylimit.Leave(w, r)
		g.writeFailure(w, p, err, arrived)
		return
	}
	response, err := g.serveParsed(w, r, &p, arrived)
	if err != nil {
		g.writeFailure(w, p, err, arrived)
		return
	}
	g.writeResponse(w, r, p, response, arrived)
}

func (g *Gateway) serveParsed(w http.ResponseWriter, r *http.Request, p *parsedRequest, arrived time.Time) (dispatch.Response, error) {
	if err := g.Quotas.Allow(p.request.Team, arrived); err != nil {
		bodylimit.Leave(w, r)
		return dispatch.Response{}, unknownIfRetry(p.request, err)
	}
	ctx, cancel := context.WithDeadline(r.Context(), p.deadline)
	defer cancel()
	release, err := g.readBody(ctx, w, r, p)
	defer release()
	if err != nil {
		return dispatch.Response{}, unknownIfRetry(p.request, err)
	}
	return g.handle(ctx, p.request)
}

// Refuse responds to a request for which nothing was done because of err.
func (g *Gateway) Refuse(w http.ResponseWriter, r *http.Request, err error) {
	bodylimit.Leave(w, r)
	attempt, parseErr := parseAttempt(r.Header.Get(api.HeaderAttempt))
	if parseErr != nil {
		attempt = 0
	}
	request := dispatch.Request{Key: r.Header.Get(api.HeaderKey), Attempt: attempt}
	g.writeFailure(w, parsedRequest{}, unknownIfRetry(request, fault.NotRun(err)), g.Clock.Now())
}

func (g *Gateway) serveNotFound(w http.ResponseWriter, r *http.Request) {
	bodylimit.Leave(w, r)
	g.writeFailure(w, parsedRequest{}, notRun(fault.CodeNotFound, "serve", "the path names no service"), g.Clock.Now())
}

// writeResponse writes the complete response of an endpoint.
func (g *Gateway) writeResponse(w http.ResponseWriter, r *http.Request, p parsedRequest, response dispatch.Response, arrived time.Time) {
	header := w.Header()
	for name, values := range endToEndHeaders(response.Header) {
		header[name] = values
	}
	header[api.HeaderOutcome] = []string{string(api.Answered)}
	header[api.HeaderReason] = []string{reasonNone}
	if length := response.Header.Get("Content-Length"); r.Method == http.MethodHead && length != "" {
		header["Content-Length"] = []string{length}
	} else if bodyAllowed(response.Status) {
		header["Content-Length"] = []string{strconv.Itoa(len(response.Body))}
	}
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
	g.Metrics.observe(p.request, api.Answered, reasonNone, g.Clock.Since(arrived))
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// failureBody is the body of the response to a request that was not answered.
type failureBody struct {
	Outcome api.Outcome `json:"outcome"`
	Reason  fault.Code  `json:"reason"`
	Detail  string      `json:"detail,omitempty"`
}

// detailOf returns the description of a failure for the caller. Addresses of endpoints and instances are only logged.
func detailOf(err error) string {
	var failure *fault.Failure
	if errors.As(err, &failure) {
		return failure.Detail
	}
	return ""
}

// retryAfter returns the delay that a response tells the caller to wait before a retry, or 0 if it names none.
func retryAfter(d fault.Description, outcome api.Outcome) time.Duration {
	if d.RetryAfter > 0 || outcome != api.NotRun {
		return d.RetryAfter
	}
	switch d.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadGateway:
		return response.DefaultRetryAfter
	}
	return 0
}

// writeFailure writes a response with the outcome and the reason of a failure.
func (g *Gateway) writeFailure(w http.ResponseWriter, p parsedRequest, err error, arrived time.Time) {
	d := fault.Describe(err)
	outcome := fault.OutcomeOf(err)
	header := w.Header()
	header.Set(api.HeaderOutcome, string(outcome))
	header.Set(api.HeaderReason, string(d.Code))
	header.Set("Content-Type", "application/json")
	if retry := retryAfter(d, outcome); retry > 0 {
		response.SetRetryAfter(header, retry)
	}
	w.WriteHeader(d.Status)
	_ = json.NewEncoder(w).Encode(failureBody{Outcome: outcome, Reason: d.Code, Detail: detailOf(err)})
	g.Metrics.observe(p.request, outcome, string(d.Code), g.Clock.Since(arrived))
	if outcome == api.Unknown {
		g.Log.Warn().Err(err).Str(logging.KeyReason, string(d.Code)).Str("service", p.request.Service).Msg("request outcome unknown")
	}
}

// idSource generates IDs of send attempts that are unique across instances and restarts.
type idSource struct {
	prefix string
	count  *atomic.Uint64
}

func newIDSource(self api.InstanceID) idSource {
	var random [6]byte
	_, _ = rand.Read(random[:])
	return idSource{prefix: string(self) + "-" + hex.EncodeToString(random[:]) + "-", count: &atomic.Uint64{}}
}

func (s idSource) next() string { return s.prefix + strconv.FormatUint(s.count.Add(1), 36) }
