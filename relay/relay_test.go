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

// headerDeadline keeps the time that is left in a header.
type headerDeadline struct{}

func (headerDeadline) Left(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get(headerLeft))
	if err != nil {
		return 3 * time.Second
	}
	return time.Duration(ms) * time.Millisecond
}

func (headerDeadline) SetLeft(r *http.Request, left time.Duration) {
	r.Header.Set(headerLeft, strconv.FormatInt(left.Milliseconds(), 10))
}

// status returns a handler that answers with a status.
func status(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if code == http.StatusServiceUnavailable {
			w.Header().Set(headerRetryAfter, "1")
		}
		w.WriteHeader(code)
	}
}

func breakOff(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// serve returns the address of a handler.
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

// Guards against callers being refused, or told that nothing ran, by an instance that alone is cut off from the store, and
// against "nothing ran" being told once that isn't certain.
func TestWhatCallersAreTold(t *testing.T) {
	for name, c := range map[string]struct {
		local int
		peers []http.HandlerFunc
		want  int
	}{
		"served here":                          {200, []http.HandlerFunc{status(410)}, 200},
		"unknown here":                         {410, []http.HandlerFunc{status(200)}, 410},
		"refused here, served there":           {503, []http.HandlerFunc{status(200)}, 200},
		"open here, served there":              {504, []http.HandlerFunc{status(200)}, 200},
		"refused by all":                       {503, []http.HandlerFunc{status(503), status(503)}, 503},
		"open here, refused there":             {504, []http.HandlerFunc{status(503), status(503)}, 504},
		"refused here, open there":             {503, []http.HandlerFunc{status(504)}, 504},
		"refused here, broken off there":       {503, []http.HandlerFunc{breakOff}, 504},
		"broken off there, refused by another": {503, []http.HandlerFunc{breakOff, status(503)}, 504},
		"refused here, one does not listen":    {503, []http.HandlerFunc{nil, status(200)}, 200},
		"refused here, nobody listens":         {503, []http.HandlerFunc{nil, nil}, 503},
		"refused here, alone":                  {503, nil, 503},
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
			t.Errorf("%s: status %d, come back after %q", name, got.Code, after)
		}
	}
}

// Guards against a request that changes on its way, and against one that is passed on for ever.
func TestWhatPeersGet(t *testing.T) {
	type received struct{ Method, Host, Target, Body, Relayed string }
	var got received
	var left time.Duration
	addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		got = received{r.Method, r.Host, r.URL.RequestURI(), string(body), r.Header.Get(HeaderRelayed)}
		left = headerDeadline{}.Left(r)
		_, _ = io.WriteString(w, "whole")
	})
	r := newRelay(addr)
	refuse := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	if answer := post(r, refuse, headerLeft, "2000"); answer.Body.String() != "whole" {
		t.Errorf("answer %q", answer.Body)
	}
	want := received{"POST", "h.example", "/q/5c0e7a21d94b36f8?x=1", "body", "self"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if left > 2*time.Second-reserve || left < time.Second {
		t.Errorf("%v left", left)
	}
	if answer := post(r, refuse, HeaderRelayed, "other"); answer.Code != http.StatusServiceUnavailable {
		t.Errorf("a request that was passed on is answered %d", answer.Code)
	}
}

// Guards against requests that are held up, and instances that flood each other, while the store is away for all, and against a
// silent instance that is asked again and again.
func TestOutagesAndSilentPeersAreRemembered(t *testing.T) {
	var asked atomic.Int32
	addr := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		asked.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	r := newRelay(addr)
	for range 20 {
		post(r, status(503))
	}
	if n := asked.Load(); n != 1 {
		t.Errorf("asked %d times within %v", n, outageTime)
	}
	silent := newRelay(serve(t, breakOff), serve(t, status(200)))
	slow := 0
	for range 20 {
		silent.good = ""
		if post(silent, status(503)).Code != http.StatusOK {
			slow++
		}
	}
	if slow != 0 || len(silent.resting) > 1 {
		t.Errorf("%d requests not served, %d peers rest", slow, len(silent.resting))
	}
}
