package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bronzehook/admission"
	"bronzehook/api"
	"bronzehook/dispatch"
	"bronzehook/fault"
	"bronzehook/routing/outlier"
)

type callResult struct {
	status  int
	outcome api.Outcome
	reason  string
	retry   string
	body    string
}

func call(t *testing.T, method, url, body string, headers ...string) callResult {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Errorf("call %s: %v", url, err)
		return callResult{}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		t.Errorf("read %s: %v", url, err)
	}
	h := response.Header
	return callResult{response.StatusCode, api.Outcome(h.Get(api.HeaderOutcome)), h.Get(api.HeaderReason), h.Get("Retry-After"), string(content)}
}

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// truncate declares a longer response than it sends.
func truncate(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "50")
	_, _ = w.Write([]byte("hello"))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func unreachableAddr(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func TestOutcomeReportedToCallers(t *testing.T) {
	big := strings.Repeat("x", 4<<20+1)
	cases := []struct {
		name    string
		handler http.HandlerFunc
		method  string
		path    string
		body    string
		headers []string
		status  int
		outcome api.Outcome
		reason  fault.Code
	}{
		{"a response states its outcome", hello, "GET", "/s/x", "", nil, 200, api.Answered, reasonNone},
		{"an error response of the endpoint is an answer", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, "GET", "/s/x", "", nil, 500, api.Answered, reasonNone},
		{"a truncated response must not become a short success", truncate, "POST", "/s/x", "b", nil, 502, api.Unknown, fault.CodeTruncated},
		{"a connection closed after the request was sent is unknown", abort, "POST", "/s/x", "b", nil, 502, api.Unknown, fault.CodeOutcomeUnknown},
		{"a service that does not exist", hello, "GET", "/nope/x", "", nil, 404, api.NotRun, fault.CodeNotFound},
		{"a path without a service", hello, "GET", "/", "", nil, 404, api.NotRun, fault.CodeNotFound},
		{"a malformed header", hello, "GET", "/s/x", "", []string{api.HeaderTimeout, "soon"}, 400, api.NotRun, fault.CodeInvalid},
		{"a body over the limit", hello, "POST", "/s/x", big, nil, 413, api.NotRun, fault.CodeTooLarge},
		{"no endpoint accepts connections", nil, "POST", "/s/x", "b", nil, 502, api.NotRun, fault.CodeUnreachable},
		{"an endpoint that is too slow", func(http.ResponseWriter, *http.Request) { time.Sleep(200 * time.Millisecond) },
			"POST", "/s/x", "b", []string{api.HeaderTimeout, "50"}, 504, api.Unknown, fault.CodeTimeout},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			addr := unreachableAddr(t)
			if tc.handler != nil {
				addr = endpoint(t, tc.handler)
			}
			i := newInstance(t, 8, addr)
			got := call(t, tc.method, i.url+tc.path, tc.body, tc.headers...)
			if got.status != tc.status || got.outcome != tc.outcome || got.reason != string(tc.reason) {
				t.Errorf("got %+v, want status %d, outcome %s, reason %s", got, tc.status, tc.outcome, tc.reason)
			}
			if wantRetryAfter := tc.outcome == api.NotRun && tc.status > 500; wantRetryAfter != (got.retry != "") {
				t.Errorf("got %+v: Retry-After must be sent if and only if the request did not run and may be sent again", got)
			}
		})
	}
}

// Guards against a retry of a non-idempotent request that may have run, and against an idempotent request failing while
// an endpoint is healthy.
func TestOnlyIdempotentRequestsAreRetried(t *testing.T) {
	var failed atomic.Int32
	failing := endpoint(t, func(w http.ResponseWriter, r *http.Request) { failed.Add(1); abort(w, r) })
	i := newInstance(t, 8, failing, endpoint(t, hello))
	for range 20 {
		if got := call(t, "GET", i.url+"/s/x", ""); got.outcome != api.Answered {
			t.Fatalf("idempotent request: %+v", got)
		}
	}
	before := failed.Load()
	unknown := int32(0)
	for range 20 {
		if call(t, "POST", i.url+"/s/x", "b").outcome == api.Unknown {
			unknown++
		}
	}
	if sent := failed.Load() - before; before == 0 || sent != unknown {
		t.Errorf("%d requests sent to the failing endpoint, %d reported to callers as unknown", sent, unknown)
	}
}

// Guards against retries multiplying the load while all endpoints fail.
func TestRetryBudgetLimitsRetriesWhenAllEndpointsFail(t *testing.T) {
	var sent atomic.Int32
	fail := func(w http.ResponseWriter, r *http.Request) { sent.Add(1); abort(w, r) }
	// Ejection is disabled: ejected endpoints receive no requests, which would hide a missing budget.
	health := outlier.DefaultConfig()
	health.MinRequests = 1 << 30
	i := newInstanceWith(t, health, 8, endpoint(t, fail), endpoint(t, fail), endpoint(t, fail), endpoint(t, fail))
	const requests = 400
	started := time.Now()
	for range requests {
		call(t, "GET", i.url+"/s/x", "", api.HeaderTimeout, "200")
	}
	config := admission.DefaultRetryConfig()
	limit := requests*(1+config.Ratio) + config.Burst + config.PerSecond*time.Since(started).Seconds() + 1
	if float64(sent.Load()) > limit || sent.Load() < requests {
		t.Errorf("%d send attempts for %d requests, the budget allows %.0f", sent.Load(), requests, limit)
	}
}

// Guards against more requests in flight to a worker than it has slots while an instance receives too many requests.
func TestSlotsAreNotExceededUnderOverload(t *testing.T) {
	var inFlight, peak atomic.Int32
	addr := endpoint(t, func(w http.ResponseWriter, r *http.Request) {
		n := inFlight.Add(1)
		defer inFlight.Add(-1)
		for seen := peak.Load(); n > seen && !peak.CompareAndSwap(seen, n); seen = peak.Load() {
		}
		time.Sleep(time.Millisecond)
		hello(w, r)
	})
	i := newInstance(t, 8, addr)
	var wait sync.WaitGroup
	var answered atomic.Int32
	for n := range 1000 {
		wait.Go(func() {
			got := call(t, []string{"GET", "POST"}[n%2], i.url+"/s/x", "")
			switch got.outcome {
			case api.Answered:
				answered.Add(1)
			case api.NotRun:
				if got.retry == "" {
					t.Errorf("refusal %+v without Retry-After", got)
				}
			default:
				t.Errorf("got %+v", got)
			}
		})
	}
	wait.Wait()
	if peak.Load() > 8 || answered.Load() == 0 {
		t.Errorf("%d requests at once at a worker with 8 slots, %d answered", peak.Load(), answered.Load())
	}
}

// Guards against a planned stop that aborts requests in flight or accepts new ones.
func TestStopFinishesRequestsInFlight(t *testing.T) {
	arrived := make(chan struct{}, 8)
	proceed := make(chan struct{})
	addr := endpoint(t, func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-proceed
		hello(w, r)
	})
	i := newInstance(t, 8, addr)
	var wait sync.WaitGroup
	for range 8 {
		wait.Go(func() {
			if got := call(t, "POST", i.url+"/s/x", "b"); got.outcome != api.Answered || got.body != "hello" {
				t.Errorf("request in flight: %+v", got)
			}
		})
	}
	for range 8 {
		<-arrived
	}
	stopped := make(chan error, 1)
	go func() { stopped <- i.gateway.Stop(t.Context()) }()
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		got := call(t, "POST", i.url+"/s/x", "b", api.HeaderTimeout, "20")
		if got.reason == string(fault.CodeStopping) && got.outcome == api.NotRun {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("a new request during the stop: %+v", got)
		}
	}
	select {
	case err := <-stopped:
		t.Errorf("the stop ended with requests in flight: %v", err)
	default:
	}
	close(proceed)
	wait.Wait()
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// Guards against a stop that waits without a limit for a request that does not finish.
func TestStopIsBounded(t *testing.T) {
	i := newInstance(t, 8, endpoint(t, hello))
	i.gateway.drain.begin()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if err := i.gateway.Stop(ctx); !fault.Is(err, fault.CodeTimeout) {
		t.Errorf("failure %v, want a timeout", err)
	}
}

// Guards against unknown callers being served, and against a caller's token reaching an endpoint.
func TestBearerToken(t *testing.T) {
	addr := endpoint(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.Header.Get("Authorization")) })
	i := newInstance(t, 8, addr)
	i.gateway.Authenticator = NewBearerAuthenticator(map[string]Caller{"secret": {Name: "c", Team: "t"}})
	if got := call(t, "GET", i.url+"/s/x", "", "Authorization", "Bearer wrong"); got.status != 401 || got.outcome != api.NotRun {
		t.Errorf("wrong token: %+v", got)
	}
	if got := call(t, "GET", i.url+"/s/x", "", "Authorization", "Bearer secret"); got.status != 200 || got.body != "" {
		t.Errorf("right token: %+v", got)
	}
}

// Guards against metrics that grow without a bound and exhaust the memory when callers send arbitrary teams or workers
// send arbitrary reasons.
func TestMetricsAreBounded(t *testing.T) {
	registry := prometheus.NewRegistry()
	m := NewMetrics(registry, newInstance(t, 1).gateway.Admission)
	teams := map[string]api.Team{}
	for i := range 100 {
		teams[fmt.Sprint("team", i)] = api.Team{}
	}
	m.setTeams(teams)
	for i := range 1000 {
		m.observe(dispatch.Request{Team: fmt.Sprint("made-up-", i)}, api.Unknown, fmt.Sprint("reason-", i), time.Second)
	}
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		if n := len(family.GetMetric()); n > maxTeamLabels+1 {
			t.Errorf("metric %s has %d series", family.GetName(), n)
		}
	}
}

// Guards against a retry reported as not-run although it was not looked up in the deduplication table: the first attempt
// may have run.
func TestRefusedRetryIsUnknown(t *testing.T) {
	i := newInstance(t, 1)
	refusal := &fault.Failure{FailureCode: fault.CodeNotReady, Op: "test", Detail: "not ready"}
	url := "http://" + serve(t, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		i.gateway.Refuse(w, r, refusal)
	})})
	for attempt, want := range map[string]api.Outcome{"": api.NotRun, "1": api.NotRun, "2": api.Unknown} {
		if got := call(t, "POST", url+"/s/x", "order", api.HeaderKey, "r:1", api.HeaderAttempt, attempt); got.outcome != want {
			t.Errorf("attempt %q: outcome %s, want %s", attempt, got.outcome, want)
		}
	}
}
