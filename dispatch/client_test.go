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

// scriptedEndpoint is an endpoint that responds to its requests with one step after the other; %s stands for the request
// ID. The step "reset" resets the connection. The last step is repeated.
type scriptedEndpoint struct {
	listener    net.Listener
	connections atomic.Int32
	requests    atomic.Int32
}

func newScriptedEndpoint(t *testing.T, delay time.Duration, steps ...string) *scriptedEndpoint {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &scriptedEndpoint{listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go s.serve(conn, delay, steps)
		}
	}()
	return s
}

func (s *scriptedEndpoint) serve(conn net.Conn, delay time.Duration, steps []string) {
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

// Steps of a scripted endpoint. The connection stays open after a response that ends with a full stop.
const (
	complete            = "HTTP/1.1 200 OK\r\nBronzehook-Request: %s\r\nContent-Length: 5\r\n\r\nhell."
	chunked             = "HTTP/1.1 200 OK\r\nBronzehook-Request: %s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhell.\r\n0\r\n\r\n"
	truncated           = "HTTP/1.1 200 OK\r\nBronzehook-Request: %s\r\nContent-Length: 50\r\n\r\nhell"
	truncatedChunks     = "HTTP/1.1 200 OK\r\nBronzehook-Request: %s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
	closeDelimited      = "HTTP/1.1 200 OK\r\nBronzehook-Request: %s\r\n\r\nhell"
	otherRequest        = "HTTP/1.1 200 OK\r\nBronzehook-Request: other-%s\r\nContent-Length: 5\r\n\r\nhell."
	refused             = "HTTP/1.1 503 Busy\r\nBronzehook-Request: %s\r\nBronzehook-Refused: stale-epoch\r\nContent-Length: 1\r\n\r\n."
	otherRequestRefused = "HTTP/1.1 503 Busy\r\nBronzehook-Request: other-%s\r\nBronzehook-Refused: stale-epoch\r\nContent-Length: 1\r\n\r\n."
	duplicate           = "HTTP/1.1 200 OK\r\nBronzehook-Request: %[1]s\r\nContent-Length: 5\r\n\r\nhell.HTTP/1.1 200 OK\r\nBronzehook-Request: %[1]s\r\nContent-Length: 5\r\n\r\nhell."
	interim             = "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nBronzehook-Request: %s\r\nContent-Length: 5\r\n\r\nhell."
)

type sender struct {
	dispatcher *Dispatcher
	slots      *SlotTable
	endpoint   api.Endpoint
}

func newSender(t *testing.T, addr string, permitter Permitter) sender {
	config := DefaultClientConfig()
	config.LateResponseTimeout = 300 * time.Millisecond
	client := NewClient(config)
	t.Cleanup(client.Close)
	slots := NewSlotTable()
	slots.SetCapacity("w", 8, 64, 0)
	return sender{
		dispatcher: New("i1", slots, permitter, client, nil), slots: slots,
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
		{"a complete response is delivered", complete, 0, api.Answered, "", outlier.Success},
		{"a complete chunked response is delivered", chunked, 0, api.Answered, "", outlier.Success},
		{"an interim response must not be taken for the final one", interim, 0, api.Answered, "", outlier.Success},
		{"a response shorter than its length must not become a success", truncated, 0, api.Unknown, fault.CodeTruncated, outlier.Failed},
		{"chunks without the last chunk must not become a success", truncatedChunks, 0, api.Unknown, fault.CodeTruncated, outlier.Failed},
		{"a response without a length could be truncated unnoticed", closeDelimited, 0, api.Unknown, fault.CodeTruncated, outlier.Failed},
		{"another request's response must not be delivered", otherRequest, 0, api.Unknown, fault.CodeOutcomeUnknown, outlier.Failed},
		{"another request's refusal proves nothing", otherRequestRefused, 0, api.Unknown, fault.CodeOutcomeUnknown, outlier.Failed},
		{"a worker's refusal proves that the request did not run", refused, 0, api.NotRun, fault.CodeStaleEpoch, outlier.Neutral},
		{"a reset after the request was written proves nothing", "reset", 0, api.Unknown, fault.CodeOutcomeUnknown, outlier.Failed},
		{"a late response must not delay the caller", complete, 150 * time.Millisecond, api.Unknown, fault.CodeTimeout, outlier.Failed},
	}
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		for _, tc := range cases {
			t.Run(method+" "+tc.name, func(t *testing.T) {
				endpoint := newScriptedEndpoint(t, tc.delay, tc.step)
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
				waitUntilNoSlotInUse(t, s.slots)
			})
		}
	}
}

func waitUntilNoSlotInUse(t *testing.T, slots *SlotTable) {
	t.Helper()
	for deadline := time.Now().Add(2 * time.Second); slots.InUse("w") > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("a slot was not released")
		}
	}
}

// Guards against a duplicate of a response being read as the response to the next request on the connection.
func TestConnectionWithDuplicateResponseIsNotReused(t *testing.T) {
	endpoint := newScriptedEndpoint(t, 0, duplicate, complete)
	s := newSender(t, endpoint.listener.Addr().String(), permitAll{})
	for i := range 5 {
		if _, err := s.send(t, http.MethodPost, fmt.Sprint("id-", i), time.Second); err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
	}
	if n := endpoint.connections.Load(); n != 2 {
		t.Errorf("%d connections, want the one with the duplicate and a new one", n)
	}
}

// Guards against a request on an idle connection that the endpoint has closed, whose outcome would be unknown, and
// against the client sending a request twice on its own.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	closing := "HTTP/1.1 200 OK\r\nBronzehook-Request: %s\r\nContent-Length: 5\r\n\r\nhello"
	endpoint := newScriptedEndpoint(t, 0, closing)
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

func TestNoRequestIsSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unreachableAddr := listener.Addr().String()
	_ = listener.Close()
	reachable := newScriptedEndpoint(t, 0, complete)
	addr := reachable.listener.Addr().String()
	denied := &fault.Failure{FailureCode: fault.CodeNoAuthority}
	cases := []struct {
		name   string
		sender sender
		code   fault.Code
		health outlier.Result
	}{
		{"a refused connection is not-run", newSender(t, unreachableAddr, permitAll{}), fault.CodeUnreachable, outlier.ConnectionFailed},
		{"a denied permit stops the request before the first byte", newSender(t, addr, permitAll{denied}), fault.CodeNoAuthority, outlier.Neutral},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, err := tc.sender.send(t, http.MethodPost, "id", time.Second)
			if fault.OutcomeOf(err) != api.NotRun || fault.CodeOf(err) != tc.code || HealthOf(err) != tc.health {
				t.Errorf("failure %v, want not-run with code %s", err, tc.code)
			}
			waitUntilNoSlotInUse(t, tc.sender.slots)
		})
	}
	if n := reachable.requests.Load(); n != 0 {
		t.Errorf("%d requests reached the endpoint", n)
	}
}

// failingConn fails every write.
type failingConn struct{ net.Conn }

func (failingConn) Write([]byte) (int, error) { return 0, net.ErrClosed }

// Guards against a failure before the first byte was written being reported as unknown.
func TestFailureBeforeFirstByteIsNotRun(t *testing.T) {
	local, remote := net.Pipe()
	defer remote.Close()
	c := NewClient(DefaultClientConfig())
	defer c.Close()
	x := exchange{request: Request{ID: "id", Method: http.MethodPost, Target: "/"}, deadline: time.Now().Add(time.Second)}
	outgoing, err := newOutgoingRequest(x, Permit{})
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := c.roundTrip(newEndpointConn(failingConn{local}), outgoing, x); fault.OutcomeOf(err) != api.NotRun {
		t.Errorf("failure %v, want not-run", err)
	}
}

// Guards against the slot of a request without a response being released at the caller's deadline, while the endpoint is
// still executing the request.
func TestLateResponseKeepsSlot(t *testing.T) {
	endpoint := newScriptedEndpoint(t, 150*time.Millisecond, complete)
	s := newSender(t, endpoint.listener.Addr().String(), permitAll{})
	if _, err := s.send(t, http.MethodPost, "id", 50*time.Millisecond); fault.OutcomeOf(err) != api.Unknown {
		t.Fatalf("failure %v, want unknown", err)
	}
	if n := s.slots.InUse("w"); n != 1 {
		t.Errorf("%d slots in use while the endpoint executes the request, want 1", n)
	}
	waitUntilNoSlotInUse(t, s.slots)
}

// Guards against more requests in flight to a worker than it has slots or connections: 1000 requests at once, callers
// that time out, and a worker that is removed and added again.
func TestSlotsAreNeverExceeded(t *testing.T) {
	table := NewSlotTable()
	workers := []api.Worker{{ID: "a", Slots: 8, Connections: 64}, {ID: "b", Slots: 8, Connections: 5}}
	bounds := map[api.WorkerID]int32{"a": 8, "b": 5}
	setCapacity := func(w api.Worker) { table.SetCapacity(w.ID, w.Slots, w.Connections, 0) }
	setCapacity(workers[0])
	setCapacity(workers[1])
	inFlight := map[api.WorkerID]*atomic.Int32{"a": {}, "b": {}}
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
			if n := inFlight[worker].Add(1); n > bounds[worker] {
				t.Errorf("%d requests at worker %s", n, worker)
			}
			time.Sleep(200 * time.Microsecond)
			inFlight[worker].Add(-1)
			release()
			release()
		})
	}
	for range 20 {
		table.Remove("b")
		time.Sleep(time.Millisecond)
		setCapacity(workers[1])
	}
	wait.Wait()
	if a, b := table.InUse("a"), table.InUse("b"); a+b != 0 {
		t.Errorf("slots leaked: %d and %d", a, b)
	}
}
