package dispatch

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bronzehook/api"
	"bronzehook/fault"
	"bronzehook/routing/outlier"
)

type permitAll struct{ denied error }

func (p permitAll) Permit(api.Endpoint, time.Time) (Permit, error) {
	return Permit{Epoch: 7, NotAfter: time.Hour}, p.denied
}

// script is an endpoint that answers each request on a connection with the next step; %s stands for the request's
// identity. A step "reset" closes the connection with a reset.
type script struct {
	listener    net.Listener
	connections atomic.Int32
	requests    atomic.Int32
}

func newScript(t *testing.T, delay time.Duration, steps ...string) *script {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &script{listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go s.play(conn, delay, steps)
		}
	}()
	return s
}

func (s *script) play(conn net.Conn, delay time.Duration, steps []string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		step := steps[min(int(s.requests.Add(1)), len(steps))-1]
		time.Sleep(delay)
		if step == "reset" {
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
		_, _ = fmt.Fprintf(conn, step, request.Header.Get(api.HeaderRequest))
		if step[len(step)-1] != '.' {
			return
		}
	}
}

// Answers; one that ends with a point leaves the connection open.
const (
	whole      = "HTTP/1.1 200 OK\r\nBronzehook-Request: %s\r\nContent-Length: 5\r\n\r\nhell."
	chunked    = "HTTP/1.1 200 OK\r\nBronzehook-Request: %s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhell.\r\n0\r\n\r\n"
	short      = "HTTP/1.1 200 OK\r\nBronzehook-Request: %s\r\nContent-Length: 50\r\n\r\nhell"
	shortChunk = "HTTP/1.1 200 OK\r\nBronzehook-Request: %s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
	unbounded  = "HTTP/1.1 200 OK\r\nBronzehook-Request: %s\r\n\r\nhell"
	foreign    = "HTTP/1.1 200 OK\r\nBronzehook-Request: other-%s\r\nContent-Length: 5\r\n\r\nhell."
	refused    = "HTTP/1.1 503 Busy\r\nBronzehook-Request: %s\r\nBronzehook-Refused: stale-epoch\r\nContent-Length: 1\r\n\r\n."
	foreignNo  = "HTTP/1.1 503 Busy\r\nBronzehook-Request: other-%s\r\nBronzehook-Refused: stale-epoch\r\nContent-Length: 1\r\n\r\n."
	duplicate  = "HTTP/1.1 200 OK\r\nBronzehook-Request: %[1]s\r\nContent-Length: 5\r\n\r\nhell.HTTP/1.1 200 OK\r\nBronzehook-Request: %[1]s\r\nContent-Length: 5\r\n\r\nhell."
	interim    = "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nBronzehook-Request: %s\r\nContent-Length: 5\r\n\r\nhell."
)

type sender struct {
	dispatcher *Dispatcher
	slots      *SlotTable
	endpoint   api.Endpoint
}

func newSender(t *testing.T, addr string, racks Racks) sender {
	config := DefaultClientConfig()
	config.Linger = 300 * time.Millisecond
	client := NewClient(config)
	t.Cleanup(client.Close)
	slots := NewSlotTable()
	slots.Offer("w", 8, 64, 0)
	return sender{
		dispatcher: New("i1", slots, racks, client, nil), slots: slots,
		endpoint: api.Endpoint{Worker: "w", Addr: addr, Owner: "i1", Task: "s.0", Attempt: 1},
	}
}

func (s sender) send(t *testing.T, method, id string, timeout time.Duration) (Response, error) {
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	return s.dispatcher.Send(ctx, Request{ID: id, Method: method, Target: "/", Header: http.Header{}}, s.endpoint)
}

func TestOutcomeOfExchange(t *testing.T) {
	cases := []struct {
		name    string
		step    string
		delay   time.Duration
		outcome api.Outcome
		code    fault.Code
		health  outlier.Result
	}{
		{"a whole answer is delivered", whole, 0, api.Answered, "", outlier.Success},
		{"a whole chunked answer is delivered", chunked, 0, api.Answered, "", outlier.Success},
		{"an interim answer must not be taken for the answer", interim, 0, api.Answered, "", outlier.Success},
		{"an answer shorter than its length must not become a success", short, 0, api.Unknown, fault.CodeTruncated, outlier.Failed},
		{"chunks without their end must not become a success", shortChunk, 0, api.Unknown, fault.CodeTruncated, outlier.Failed},
		{"an answer without a length could be truncated unnoticed", unbounded, 0, api.Unknown, fault.CodeTruncated, outlier.Failed},
		{"another request's answer must not be delivered", foreign, 0, api.Unknown, fault.CodeOutcomeUnknown, outlier.Failed},
		{"another request's refusal proves nothing", foreignNo, 0, api.Unknown, fault.CodeOutcomeUnknown, outlier.Failed},
		{"a worker's refusal proves that the request did not run", refused, 0, api.NotRun, fault.CodeStaleEpoch, outlier.Neutral},
		{"a reset after the request was written proves nothing", "reset", 0, api.Unknown, fault.CodeOutcomeUnknown, outlier.Failed},
		{"a late answer must not hold the caller", whole, 150 * time.Millisecond, api.Unknown, fault.CodeTimeout, outlier.Failed},
	}
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		for _, tc := range cases {
			t.Run(method+" "+tc.name, func(t *testing.T) {
				endpoint := newScript(t, tc.delay, tc.step)
				s := newSender(t, endpoint.listener.Addr().String(), permitAll{})
				response, err := s.send(t, method, "id-1", 100*time.Millisecond)
				if got := fault.OutcomeOf(err); got != tc.outcome {
					t.Fatalf("outcome %s (%v), want %s", got, err, tc.outcome)
				}
				if err != nil && fault.CodeOf(err) != tc.code {
					t.Errorf("code %s (%v), want %s", fault.CodeOf(err), err, tc.code)
				}
				if err == nil && string(response.Body) != "hell." {
					t.Errorf("body %q", response.Body)
				}
				if got := HealthOf(err); got != tc.health {
					t.Errorf("health %d, want %d", got, tc.health)
				}
				if n := endpoint.requests.Load(); n != 1 {
					t.Errorf("the endpoint got %d requests, want 1", n)
				}
				waitForSlots(t, s.slots)
			})
		}
	}
}

func waitForSlots(t *testing.T, slots *SlotTable) {
	t.Helper()
	for deadline := time.Now().Add(2 * time.Second); slots.InUse("w") > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("a slot was not freed")
		}
	}
}

// Guards against the duplicate of an answer being read as the answer to the next request on the connection.
func TestDuplicateAnswerIsNotReused(t *testing.T) {
	endpoint := newScript(t, 0, duplicate, whole)
	s := newSender(t, endpoint.listener.Addr().String(), permitAll{})
	for i := range 5 {
		if _, err := s.send(t, http.MethodPost, fmt.Sprint("id-", i), time.Second); err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
	}
	if n := endpoint.connections.Load(); n != 2 {
		t.Errorf("%d connections, want the one with the duplicate and a fresh one", n)
	}
}

// Guards against an idle connection that the endpoint closed turning the next request into an unknown outcome, and
// against the client sending a request twice on its own.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	closing := "HTTP/1.1 200 OK\r\nBronzehook-Request: %s\r\nContent-Length: 5\r\n\r\nhello"
	endpoint := newScript(t, 0, closing)
	s := newSender(t, endpoint.listener.Addr().String(), permitAll{})
	for i := range 3 {
		if _, err := s.send(t, http.MethodPost, fmt.Sprint("id-", i), time.Second); err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if n := endpoint.requests.Load(); n != 3 {
		t.Errorf("the endpoint got %d requests, want 3", n)
	}
}

func TestNothingIsSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := listener.Addr().String()
	_ = listener.Close()
	open := newScript(t, 0, whole)
	addr := open.listener.Addr().String()
	denied := &fault.Failure{FailureCode: fault.CodeNoAuthority}
	cases := []struct {
		name   string
		sender sender
		code   fault.Code
		health outlier.Result
	}{
		{"a refused connection is not-run", newSender(t, closed, permitAll{}), fault.CodeUnreachable, outlier.ConnectionFailed},
		{"a lost authority is seen before the first byte", newSender(t, addr, permitAll{denied}), fault.CodeNoAuthority, outlier.Neutral},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, err := tc.sender.send(t, http.MethodPost, "id", time.Second)
			if fault.OutcomeOf(err) != api.NotRun || fault.CodeOf(err) != tc.code || HealthOf(err) != tc.health {
				t.Errorf("failure %v, want not-run with code %s", err, tc.code)
			}
			waitForSlots(t, tc.sender.slots)
		})
	}
	if n := open.requests.Load(); n != 0 {
		t.Errorf("%d requests reached the endpoint", n)
	}
}

// brokenConn refuses every write.
type brokenConn struct{ net.Conn }

func (brokenConn) Write([]byte) (int, error) { return 0, net.ErrClosed }

// Guards against a connection that broke before the first byte being reported as unknown.
func TestResetBeforeFirstByteIsNotRun(t *testing.T) {
	here, there := net.Pipe()
	defer there.Close()
	c := NewClient(DefaultClientConfig())
	defer c.Close()
	x := exchange{request: Request{ID: "id", Method: http.MethodPost, Target: "/"}, deadline: time.Now().Add(time.Second)}
	out, err := newOutgoing(x, Permit{})
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := c.roundTrip(newEndpointConn(brokenConn{here}), out, x); fault.OutcomeOf(err) != api.NotRun {
		t.Errorf("failure %v, want not-run", err)
	}
}

// Guards against a late answer freeing the slot before the endpoint is done with the request.
func TestLateAnswerKeepsSlot(t *testing.T) {
	endpoint := newScript(t, 150*time.Millisecond, whole)
	s := newSender(t, endpoint.listener.Addr().String(), permitAll{})
	if _, err := s.send(t, http.MethodPost, "id", 50*time.Millisecond); fault.OutcomeOf(err) != api.Unknown {
		t.Fatalf("failure %v, want unknown", err)
	}
	if n := s.slots.InUse("w"); n != 1 {
		t.Errorf("%d slots in use while the endpoint still works, want 1", n)
	}
	waitForSlots(t, s.slots)
}

// Guards against more requests at a worker than it has slots or connections, with callers that give up, a changing
// list of workers, and 1000 requests at once.
func TestSlotsAreNeverExceeded(t *testing.T) {
	table := NewSlotTable()
	workers := []api.Worker{{ID: "a", Slots: 8, Connections: 64}, {ID: "b", Slots: 8, Connections: 5}}
	bounds := map[api.WorkerID]int32{"a": 8, "b": 5}
	offer := func(w api.Worker) { table.Offer(w.ID, w.Slots, w.Connections, 0) }
	offer(workers[0])
	offer(workers[1])
	open := map[api.WorkerID]*atomic.Int32{"a": {}, "b": {}}
	var wait sync.WaitGroup
	for i := range 1000 {
		worker := workers[i%2].ID
		wait.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(1+i%200)*time.Millisecond)
			defer cancel()
			release, err := table.Acquire(ctx, api.Endpoint{Worker: worker})
			if err != nil {
				if fault.OutcomeOf(err) != api.NotRun {
					t.Errorf("failure %v is not not-run", err)
				}
				return
			}
			if n := open[worker].Add(1); n > bounds[worker] {
				t.Errorf("%d requests at worker %s", n, worker)
			}
			time.Sleep(200 * time.Microsecond)
			open[worker].Add(-1)
			release()
			release()
		})
	}
	for range 20 {
		table.Withdraw("b")
		time.Sleep(time.Millisecond)
		offer(workers[1])
	}
	wait.Wait()
	if a, b := table.InUse("a"), table.InUse("b"); a+b != 0 {
		t.Errorf("slots leaked: %d and %d", a, b)
	}
}
