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
	// callerTimeout is the deadline that callers state; they give up a second later.
	callerTimeout = 3 * time.Second
	// answerAgain is the bound after a fault until requests are answered again.
	answerAgain = 15 * time.Second
)

// answer is what a caller got. A broken connection has outcome unknown and broken set.
type answer struct {
	status  int
	outcome api.Outcome
	reason  string
	broken  bool
	body    []byte
}

// callers share one client without reuse of connections, so that a dead instance costs one request only.
var callers = &http.Client{Timeout: callerTimeout + time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// send sends one non-idempotent request through an instance.
func send(p *process, service, key string, attempt int) answer {
	request, err := http.NewRequest(http.MethodPost, "http://"+p.callerAddr+"/"+service+"/order", bytes.NewReader([]byte("order")))
	if err != nil {
		return answer{outcome: api.NotRun, broken: true}
	}
	request.Header.Set(api.HeaderTeam, "web")
	request.Header.Set(api.HeaderTimeout, strconv.FormatInt(callerTimeout.Milliseconds(), 10))
	request.Header.Set(api.HeaderAttempt, strconv.Itoa(attempt))
	if key != "" {
		request.Header.Set(api.HeaderKey, key)
	}
	response, err := callers.Do(request)
	if err != nil {
		return answer{outcome: api.Unknown, broken: true, reason: err.Error()}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{outcome: api.Unknown, broken: true, reason: err.Error()}
	}
	return answer{status: response.StatusCode, outcome: api.Outcome(response.Header.Get(api.HeaderOutcome)),
		reason: response.Header.Get(api.HeaderReason), body: body}
}
