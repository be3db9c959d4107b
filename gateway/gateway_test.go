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

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"

	"bronzehook/admission"
	"bronzehook/api"
	"bronzehook/dispatch"
	"bronzehook/fault"
	"bronzehook/routing/outlier"
)

type told struct {
	status  int
	outcome api.Outcome
	reason  string
	retry   string
	body    string
}

func call(t *testing.T, method, url, body string, headers ...string) told {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Errorf("call %s: %v", url, err)
		return told{}
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Errorf("read %s: %v", url, err)
	}
	h := answer.Header
	return told{answer.StatusCode, api.Outcome(h.Get(api.HeaderOutcome)), h.Get(api.HeaderReason), h.Get("Retry-After"), string(content)}
}

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// truncate states a longer answer than it gives.
func truncate(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "50")
	_, _ = w.Write([]byte("hello"))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func refuseConnection(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func TestWhatCallersAreTold(t *testing.T) {
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
		{"an answer names its outcome", hello, "GET", "/s/x", "", nil, 200, api.Answered, reasonNone},
		{"a failure of the endpoint's own is an answer", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, "GET", "/s/x", "", nil, 500, api.Answered, reasonNone},
		{"a truncated answer must not become a short success", truncate, "POST", "/s/x", "b", nil, 502, api.Unknown, fault.CodeTruncated},
		{"a broken connection after sending is unknown", abort, "POST", "/s/x", "b", nil, 502, api.Unknown, fault.CodeOutcomeUnknown},
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
			addr := refuseConnection(t)
			if tc.handler != nil {
				addr = endpoint(t, tc.handler)
			}
			i := newInstance(t, 8, addr)
			got := call(t, tc.method, i.url+tc.path, tc.body, tc.headers...)
			if got.status != tc.status || got.outcome != tc.outcome || got.reason != string(tc.reason) {
				t.Errorf("told %+v, want status %d, outcome %s, reason %s", got, tc.status, tc.outcome, tc.reason)
			}
			if again := tc.outcome == api.NotRun && tc.status > 500; again != (got.retry != "") {
				t.Errorf("told %+v: Retry-After belongs to requests that did not run and may be sent again", got)
			}
		})
	}
}

// Guards against a retry of a request that may have run, and against an idempotent one failing while an endpoint is
// healthy.
func TestOnlyIdempotentRequestsAreRetried(t *testing.T) {
	var failed atomic.Int32
	bad := endpoint(t, func(w http.ResponseWriter, r *http.Request) { failed.Add(1); abort(w, r) })
	i := newInstance(t, 8, bad, endpoint(t, hello))
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
		t.Errorf("%d requests sent to the failing endpoint, %d callers were told unknown", sent, unknown)
	}
}

// Guards against retries multiplying the load while all endpoints fail.
func TestRetryBudgetHoldsWhenAllFail(t *testing.T) {
	var sent atomic.Int32
	fail := func(w http.ResponseWriter, r *http.Request) { sent.Add(1); abort(w, r) }
	// Without ejection, which would hide a missing budget: ejected endpoints get nothing at all.
	health := outlier.DefaultConfig()
	health.MinRequests = 1 << 30
	i := newInstanceWith(t, health, 8, endpoint(t, fail), endpoint(t, fail), endpoint(t, fail), endpoint(t, fail))
	const requests = 400
	begun := time.Now()
	for range requests {
		call(t, "GET", i.url+"/s/x", "", api.HeaderTimeout, "200")
	}
	config := admission.DefaultRetryConfig()
	limit := requests*(1+config.Ratio) + config.Burst + config.PerSecond*time.Since(begun).Seconds() + 1
	if float64(sent.Load()) > limit || sent.Load() < requests {
		t.Errorf("%d sendings for %d requests, the budget allows %.0f", sent.Load(), requests, limit)
	}
}

// Guards against more requests at a worker than its slots, whatever arrives at the instance.
func TestSlotsHoldUnderFlood(t *testing.T) {
	var open, most atomic.Int32
	addr := endpoint(t, func(w http.ResponseWriter, r *http.Request) {
		n := open.Add(1)
		defer open.Add(-1)
		for seen := most.Load(); n > seen && !most.CompareAndSwap(seen, n); seen = most.Load() {
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
				t.Errorf("told %+v", got)
			}
		})
	}
	wait.Wait()
	if most.Load() > 8 || answered.Load() == 0 {
		t.Errorf("%d requests at once at a worker with 8 slots, %d answered", most.Load(), answered.Load())
	}
}

// Guards against a planned stop cutting off requests in flight or accepting new ones.
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

// Guards against a stop that waits for ever for a request that hangs.
func TestStopIsBounded(t *testing.T) {
	i := newInstance(t, 8, endpoint(t, hello))
	i.gateway.drain.begin()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if err := i.gateway.Stop(ctx); !fault.Is(err, fault.CodeTimeout) {
		t.Errorf("failure %v, want a timeout", err)
	}
}

// wire carries messages between two instances in the encoding of the transport.
type wire struct {
	t       *testing.T
	gateway *Gateway
}

func (w wire) Forward(ctx context.Context, _ api.InstanceID, m dispatch.ForwardRequest) (dispatch.Reply, error) {
	return recode(w.t, w.gateway.ServeForward(ctx, recode(w.t, m))), nil
}

func (w wire) ForwardKeyed(ctx context.Context, _ api.InstanceID, m dispatch.KeyedRequest) (dispatch.Reply, error) {
	return recode(w.t, w.gateway.ServeKeyed(ctx, recode(w.t, m))), nil
}

func recode[T any](t *testing.T, in T) (out T) {
	encoded, err := cbor.Marshal(in)
	if err != nil {
		t.Error(err)
	}
	if err := cbor.Unmarshal(encoded, &out); err != nil {
		t.Error(err)
	}
	return out
}

// otherOwner says that another instance owns every shard.
type otherOwner struct{ Ledger }

func (otherOwner) Owner(string) (api.InstanceID, error) { return "i1", nil }

// Guards against a key running twice when the caller retries through another instance, and against the answer or the
// failure of a forwarded request changing on its way.
func TestRetryThroughAnotherInstanceRunsOnce(t *testing.T) {
	var runs atomic.Int32
	addr := endpoint(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "run %d of %s", runs.Add(1), body)
	})
	owner := newInstance(t, 8, addr)
	other := newInstance(t, 8, addr)
	other.gateway.Self.ID = "i2"
	other.gateway.Ledger = otherOwner{other.gateway.Ledger}
	other.gateway.Peers = wire{t, owner.gateway}
	other.gateway.Dispatcher = dispatch.New("i2", nil, nil, nil, wire{t, owner.gateway})
	for attempt, url := range []string{other.url, owner.url, other.url} {
		got := call(t, "POST", url+"/s/x", "order", api.HeaderKey, "r:1", api.HeaderAttempt, fmt.Sprint(attempt+1))
		if got.outcome != api.Answered || got.body != "run 1 of order" {
			t.Errorf("attempt %d: %+v", attempt+1, got)
		}
	}
	if got := call(t, "GET", other.url+"/s/x", ""); got.outcome != api.Answered || got.body != "run 2 of " {
		t.Errorf("request forwarded to the owner of the rack: %+v", got)
	}
	for _, id := range owner.slots.Workers() {
		owner.slots.Withdraw(id)
	}
	if got := call(t, "POST", other.url+"/s/x", ""); got.outcome != api.NotRun || got.reason != string(fault.CodeNotOwner) {
		t.Errorf("failure of a forwarded request: %+v", got)
	}
}

// formerOwner says that i3 owns every shard until it was asked some times, and then that i1 does.
type formerOwner struct {
	Ledger
	asked *atomic.Int32
	until int32
}

func (o formerOwner) Owner(string) (api.InstanceID, error) {
	if o.asked.Add(1) <= o.until {
		return "i3", nil
	}
	return "i1", nil
}

// byOwner carries messages to the instance that they are addressed to.
type byOwner struct {
	t     *testing.T
	peers map[api.InstanceID]*Gateway
}

func (b byOwner) ForwardKeyed(ctx context.Context, owner api.InstanceID, m dispatch.KeyedRequest) (dispatch.Reply, error) {
	return wire{b.t, b.peers[owner]}.ForwardKeyed(ctx, owner, m)
}

// Guards against callers being told "unknown" during a planned stop, because the instance that took the request still
// forwards it to the shard's former owner.
func TestHandoverOfAShardIsNotSeenByCallers(t *testing.T) {
	addr := endpoint(t, hello)
	owner, former := newInstance(t, 8, addr), newInstance(t, 8)
	former.gateway.Self.ID = "i3"
	former.gateway.Ledger = otherOwner{former.gateway.Ledger}
	for attempt := 1; attempt <= 2; attempt++ {
		taker := newInstance(t, 8, addr)
		taker.gateway.Self.ID = "i2"
		taker.gateway.Ledger = formerOwner{taker.gateway.Ledger, &atomic.Int32{}, 3}
		taker.gateway.Peers = byOwner{t, map[api.InstanceID]*Gateway{"i1": owner.gateway, "i3": former.gateway}}
		key := fmt.Sprint("r:", attempt)
		got := call(t, "POST", taker.url+"/s/x", "order", api.HeaderKey, key, api.HeaderAttempt, fmt.Sprint(attempt))
		if got.outcome != api.Answered {
			t.Errorf("attempt %d: %+v", attempt, got)
		}
	}
}

// Guards against a caller that is not known being served, and against its token reaching an endpoint.
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

// Guards against callers making up teams, or workers making up reasons, until the metrics fill the memory.
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

// Guards against telling a caller's retry "not-run" without asking the ledger: the first attempt may have run.
func TestRefusedRetryIsUnknown(t *testing.T) {
	f := newInstance(t, 1)
	refusal := &fault.Failure{FailureCode: fault.CodeNotReady, Op: "test", Detail: "not ready"}
	url := "http://" + serve(t, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.gateway.Refuse(w, r, refusal)
	})})
	for attempt, want := range map[string]api.Outcome{"": api.NotRun, "1": api.NotRun, "2": api.Unknown} {
		if got := call(t, "POST", url+"/s/x", "order", api.HeaderKey, "r:1", api.HeaderAttempt, attempt); got.outcome != want {
			t.Errorf("attempt %q: outcome %s, want %s", attempt, got.outcome, want)
		}
	}
}
