package session

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"bronzehook/api"
)

const (
	// callerTimeout is the deadline that callers send with a request; their client times out a second later.
	callerTimeout = 3 * time.Second
	// recoveryLimit bounds the time after a fault until requests are answered again.
	recoveryLimit = 15 * time.Second
)

// callResult is the response to a request. If the connection broke, broken is set and the outcome is unknown.
type callResult struct {
	status  int
	outcome api.Outcome
	reason  string
	broken  bool
	body    []byte
}

// callers is the client that all callers share. It does not reuse connections, so that a dead instance costs one request only.
var callers = &http.Client{Timeout: callerTimeout + time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// send sends one non-idempotent request through an instance; key is its idempotency key, if any.
func send(p *process, service, key string, attempt int) callResult {
	request, err := http.NewRequest(http.MethodPost, "http://"+p.callerAddr+"/"+service+"/order", bytes.NewReader([]byte("order")))
	if err != nil {
		return callResult{outcome: api.NotRun, broken: true}
	}
	request.Header.Set(api.HeaderTeam, "web")
	request.Header.Set(api.HeaderTimeout, strconv.FormatInt(callerTimeout.Milliseconds(), 10))
	request.Header.Set(api.HeaderAttempt, strconv.Itoa(attempt))
	if key != "" {
		request.Header.Set(api.HeaderKey, key)
	}
	response, err := callers.Do(request)
	if err != nil {
		return callResult{outcome: api.Unknown, broken: true, reason: err.Error()}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return callResult{outcome: api.Unknown, broken: true, reason: err.Error()}
	}
	return callResult{status: response.StatusCode, outcome: api.Outcome(response.Header.Get(api.HeaderOutcome)),
		reason: response.Header.Get(api.HeaderReason), body: body}
}
