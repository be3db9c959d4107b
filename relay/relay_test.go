package relay

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

const headerLeft = "X-Left-Ms"

// headerDeadline is a Deadline that keeps the remaining time in a header.
type headerDeadline struct{}

func (headerDeadline) Remaining(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get(headerLeft))
	if err != nil {
		return 3 * time.Second
	}
	return time.Duration(ms) * time.Millisecond
}

func (headerDeadline) SetRemaining(r *http.Request, left time.Duration) {
	r.Header.Set(headerLeft, strconv.FormatInt(left.Milliseconds(), 10))
}

// status returns a handler that responds with a status.
func status(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if code == http.StatusServiceUnavailable {
			w.Header().Set(headerRetryAfter, "1")
		}
		w.WriteHeader(code)
	}
}

// abortConnection closes the connection without a response.
func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// serve starts a server and returns its address.
func serve(t *testing.T, handler http.HandlerFunc) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// closedAddr returns an address that refuses connections.
func closedAddr() string {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	return strings.TrimPrefix(server.URL, "http://")
}

// newRelay returns a relay with peers at the addresses, and with two entries that SetPeers has to omit.
func newRelay(addrs ...string) *Relay {
	r := New("self", headerDeadline{}, zerolog.Nop(), prometheus.NewRegistry())
	var peers []Peer
	for i, addr := range addrs {
		peers = append(peers, Peer{Name: "p" + strconv.Itoa(i), Addr: addr})
	}
	r.SetPeers(append(peers, Peer{Name: "self", Addr: "127.0.0.1:1"}, Peer{Name: "without"}))
	return r
}

func post(r *Relay, local http.HandlerFunc, header ...string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, "http://h.example/q/5c0e7a21d94b36f8?x=1", strings.NewReader("body"))
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	got := httptest.NewRecorder()
	r.Handler(local).ServeHTTP(got, request)
	return got
}

// Guards against a refusal (503) by an instance that is the only one without access to the store, and against a 503,
// which claims that the request had no effect, once a peer may have served it.
func TestRelayedResponseStatus(t *testing.T) {
	for name, c := range map[string]struct {
		local int
		peers []http.HandlerFunc
		want  int
	}{
		"served locally":                                   {200, []http.HandlerFunc{status(410)}, 200},
		"job unknown locally":                              {410, []http.HandlerFunc{status(200)}, 410},
		"refused locally, served by a peer":                {503, []http.HandlerFunc{status(200)}, 200},
		"outcome unknown locally, served by a peer":        {504, []http.HandlerFunc{status(200)}, 200},
		"refused by all":                                   {503, []http.HandlerFunc{status(503), status(503)}, 503},
		"outcome unknown locally, refused by peers":        {504, []http.HandlerFunc{status(503), status(503)}, 504},
		"refused locally, outcome unknown at a peer":       {503, []http.HandlerFunc{status(504)}, 504},
		"refused locally, connection to a peer aborted":    {503, []http.HandlerFunc{abortConnection}, 504},
		"connection to a peer aborted, refused by another": {503, []http.HandlerFunc{abortConnection, status(503)}, 504},
		"refused locally, one peer does not listen":        {503, []http.HandlerFunc{nil, status(200)}, 200},
		"refused locally, no peer listens":                 {503, []http.HandlerFunc{nil, nil}, 503},
		"refused locally, no peers":                        {503, nil, 503},
	} {
		var addrs []string
		for _, handler := range c.peers {
			if handler == nil {
				addrs = append(addrs, closedAddr())
				continue
			}
			addrs = append(addrs, serve(t, handler))
		}
		got := post(newRelay(addrs...), status(c.local))
		if got.Code != c.want {
			t.Errorf("%s: status %d, want %d", name, got.Code, c.want)
		}
		if after := got.Header().Get(headerRetryAfter); (after != "") != (c.want == 503) {
			t.Errorf("%s: status %d, Retry-After %q", name, got.Code, after)
		}
	}
}

// Guards against a request that is altered when it is relayed, and against one that is relayed again and again.
func TestRelayedRequestIsUnchangedAndRelayedOnce(t *testing.T) {
	type received struct{ Method, Host, Target, Body, Relayed string }
	var got received
	var left time.Duration
	addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		got = received{r.Method, r.Host, r.URL.RequestURI(), string(body), r.Header.Get(HeaderRelayed)}
		left = headerDeadline{}.Remaining(r)
		_, _ = io.WriteString(w, "whole")
	})
	r := newRelay(addr)
	refuse := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	if resp := post(r, refuse, headerLeft, "2000"); resp.Body.String() != "whole" {
		t.Errorf("response body %q", resp.Body)
	}
	want := received{"POST", "h.example", "/q/5c0e7a21d94b36f8?x=1", "body", "self"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if left > 2*time.Second-latencyAllowance || left < time.Second {
		t.Errorf("%v left", left)
	}
	if resp := post(r, refuse, HeaderRelayed, "other"); resp.Code != http.StatusServiceUnavailable {
		t.Errorf("relayed request: status %d, want 503", resp.Code)
	}
}

// Guards against delayed requests and instances that flood each other while the store is unavailable to all, and
// against requests that are relayed repeatedly to an unresponsive instance.
func TestOutageBackoffAndPeerCooldown(t *testing.T) {
	var received atomic.Int32
	addr := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		received.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	r := newRelay(addr)
	for range 20 {
		post(r, status(503))
	}
	if n := received.Load(); n != 1 {
		t.Errorf("%d requests relayed within %v", n, outageBackoff)
	}
	unresponsive := newRelay(serve(t, abortConnection), serve(t, status(200)))
	notServed := 0
	for range 20 {
		unresponsive.lastGood = ""
		if post(unresponsive, status(503)).Code != http.StatusOK {
			notServed++
		}
	}
	if notServed != 0 || len(unresponsive.cooldownUntil) > 1 {
		t.Errorf("%d requests not served, %d peers cooling down", notServed, len(unresponsive.cooldownUntil))
	}
}
