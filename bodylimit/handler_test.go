package bodylimit

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// testServer echoes the length of bodies of up to 1000 bytes.
func testServer(t *testing.T, limits Limits, maxConns int) string {
	t.Helper()
	return observedServer(t, limits, maxConns, nil)
}

// observedServer is a testServer that calls connState after it has noted the state of a connection.
func observedServer(t *testing.T, limits Limits, maxConns int, connState func(net.Conn, http.ConnState)) string {
	t.Helper()
	m := NewMetrics(prometheus.NewRegistry())
	b := NewBudget("test", limits, m, zerolog.Nop())
	options := func(r *http.Request) Options {
		if r.Method != http.MethodPost {
			return Options{}
		}
		return Options{Limit: 1000}
	}
	echo := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		content, err := Content(r.Body, 1000)
		if err != nil {
			Refuse(w, err)
			return
		}
		_, _ = fmt.Fprint(w, len(content))
	})
	server := &http.Server{Handler: b.Handler(options, echo), ConnState: connState}
	return serveLimited(t, server, maxConns, m, time.Now).Addr().String()
}

// serveLimited serves on a listener that accepts up to maxConns connections at a time.
func serveLimited(t *testing.T, server *http.Server, maxConns int, m *Metrics, now func() time.Time) *Listener {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := Limit(inner, server, "test", maxConns, m, zerolog.Nop())
	listener.now = now
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener
}

// getRequest is a request without a body.
const getRequest = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

func testLimits() Limits {
	return Limits{Total: 1 << 20, SmallBytes: smallBytes, StallTimeout: 300 * time.Millisecond, ClaimWait: claimWait}
}

// exchange sends raw bytes and returns the connection and the response.
func exchange(t *testing.T, addr, raw string) (net.Conn, *http.Response) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, raw); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	t.Cleanup(func() { _ = response.Body.Close() })
	return conn, response
}

func TestResponsesToBodies(t *testing.T) {
	const post = "POST / HTTP/1.1\r\nHost: x\r\n"
	tight := testLimits()
	tight.Total = 100
	for _, tc := range []struct {
		name   string
		limits Limits
		raw    string
		status int
		closed bool
	}{
		{"a body of the greatest length is served", testLimits(), post + "Content-Length: 1000\r\n\r\n" + strings.Repeat("x", 1000), 200, false},
		{"a chunked body is served", testLimits(), post + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 200, false},
		{"an announced length over the limit must not be read", testLimits(), post + "Content-Length: 1001\r\n\r\n", 413, true},
		{"a client that waits for permission must not be told to send too much", testLimits(),
			post + "Expect: 100-continue\r\nContent-Length: 1001\r\n\r\n", 413, true},
		{"a chunked body over the limit is refused before its end", testLimits(),
			post + "Transfer-Encoding: chunked\r\n\r\n7d0\r\n" + strings.Repeat("x", 2000) + "\r\n", 413, true},
		{"a body without progress is ended", testLimits(), post + "Content-Length: 10\r\n\r\nabc", 408, true},
		{"a body without room is refused", tight, post + "Content-Length: 1000\r\n\r\n" + strings.Repeat("x", 1000), 503, true},
		{"a body that the method does not take must not be waited for", testLimits(), "GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc", 200, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			conn, response := exchange(t, testServer(t, tc.limits, 100), tc.raw)
			if response.StatusCode != tc.status || response.Close != tc.closed {
				t.Errorf("status %d, closed %v, want %d, %v", response.StatusCode, response.Close, tc.status, tc.closed)
			}
			if (tc.status == 503) != (response.Header.Get("Retry-After") != "") {
				t.Errorf("Retry-After %q with status %d", response.Header.Get("Retry-After"), tc.status)
			}
			if tc.closed {
				if _, err := io.Copy(io.Discard, conn); err != nil {
					t.Errorf("the connection stays open: %v", err)
				}
			}
		})
	}
}

// Guards against a bound on slow bodies that refuses a sender at an ordinary pace.
func TestSlowBodyWithProgressIsServed(t *testing.T) {
	limits := testLimits()
	limits.MinRate = defaultMinRate
	conn, err := net.Dial("tcp", testServer(t, limits, 100))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n")
	for range 10 {
		time.Sleep(limits.StallTimeout / 6)
		_, _ = io.WriteString(conn, "x")
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("response %v: %v", response, err)
	}
	_ = response.Body.Close()
}

// Guards against a rate bound that never ends a body of which single bytes keep arriving.
func TestDeadlineFollowsTheLeastRate(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, tc := range []struct {
		name    string
		after   time.Duration
		arrived int
		want    time.Duration
	}{
		{"the stall timeout applies to a body at full pace", 0, 0, 10 * time.Second},
		{"a trickle is ended after the grace", 9 * time.Second, 1024, 10*time.Second + 500*time.Millisecond},
		{"a phone with 4 KB/s is not ended", 60 * time.Second, 240 << 10, 70 * time.Second},
	} {
		limits := Limits{StallTimeout: defaultStallTimeout, MinRate: defaultMinRate}
		in := &incoming{budget: newBudget(limits, &fakeCollector{}, time.Now), startedAt: start, content: make([]byte, tc.arrived)}
		if got := in.nextDeadline(start.Add(tc.after)).Sub(start); got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}

// Guards against idle connections that keep new callers out.
func TestOldestIdleConnectionIsClosedForANewOne(t *testing.T) {
	idle := make(chan struct{}, 3)
	addr := observedServer(t, testLimits(), 2, func(_ net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			idle <- struct{}{}
		}
	})
	oldest, _ := exchange(t, addr, getRequest)
	// A caller may have its response before the server counts the connection as idle.
	<-idle
	newer, _ := exchange(t, addr, getRequest)
	<-idle
	exchange(t, addr, getRequest)
	if _, err := io.Copy(io.Discard, oldest); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error("the oldest idle connection stays open")
	}
	_ = newer.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	if _, err := io.Copy(io.Discard, newer); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a newer idle connection was closed as well: %v", err)
	}
}

// Guards against a caller that loses its connection right after a long request, while another one has been idle since before.
func TestConnectionIdleForLongestIsClosed(t *testing.T) {
	now := time.Unix(1000, 0)
	server := &http.Server{}
	l := Limit(nil, server, "test", 2, NewMetrics(prometheus.NewRegistry()), zerolog.Nop())
	l.now = func() time.Time { return now }
	connect := func() *Conn {
		inner, peer := net.Pipe()
		t.Cleanup(func() { _ = peer.Close() })
		c := &Conn{Conn: inner, listener: l}
		c.noteProgress()
		l.add(c)
		server.ConnState(c, http.StateActive)
		return c
	}
	longRequest := connect()
	now = now.Add(time.Second)
	shortRequest := connect()
	server.ConnState(shortRequest, http.StateIdle)
	now = now.Add(time.Second)
	server.ConnState(longRequest, http.StateIdle)
	if !l.closeIdle() {
		t.Fatal("no connection was closed")
	}
	if _, open := l.conns[shortRequest]; open {
		t.Error("the connection that has been idle for longest stays open")
	}
}

// deadlineWriter is a response writer with a read deadline, which calls cleared when the deadline is removed.
type deadlineWriter struct {
	http.ResponseWriter
	deadline time.Time
	cleared  func()
}

func (w *deadlineWriter) SetReadDeadline(at time.Time) error {
	w.deadline = at
	if at.IsZero() {
		w.cleared()
	}
	return nil
}

// Guards against a request whose connection is ended for lack of memory although its body has arrived: net/http cancels the
// context of a request that is being handled when a read on its connection fails.
func TestCompleteBodyIsNotEvicted(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newBudget(testLimits(), &fakeCollector{}, func() time.Time { return now })
	w := &deadlineWriter{ResponseWriter: httptest.NewRecorder(), cleared: func() {
		now = now.Add(pressureStallTimeout)
		b.relieve()
	}}
	body, err := b.Read(w, httptest.NewRequest(http.MethodPost, "/", strings.NewReader("content")), Options{Limit: 1000})
	if err != nil {
		t.Fatal(err)
	}
	defer body.Release()
	if !w.deadline.IsZero() {
		t.Errorf("the connection has the read deadline %s", w.deadline)
	}
}

// Guards against limits for a few large bodies in which a single one of the greatest length finds no room.
func TestGreatestBodyFindsRoom(t *testing.T) {
	b := newBudget(FixedLimits(0, 1<<20), &fakeCollector{}, time.Now)
	readGreatest(t, b, 1<<20)
}

func readGreatest(t *testing.T, b *Budget, size int) {
	t.Helper()
	w := &deadlineWriter{ResponseWriter: httptest.NewRecorder(), cleared: func() {}}
	r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat(" ", size)))
	body, err := b.Read(w, r, Options{Limit: int64(size)})
	if err != nil {
		t.Fatal(err)
	}
	body.Release()
}

// Guards against a sender of large bodies that is refused although it sends one at a time: the memory of the body before
// counts until the next garbage collection, which comes up to collectInterval later.
func TestGreatestBodiesOneAfterAnotherFindRoom(t *testing.T) {
	b := newBudget(FixedLimits(0, 1<<20), &fakeCollector{}, time.Now)
	for range 2 {
		readGreatest(t, b, 1<<20)
	}
}
