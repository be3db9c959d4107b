package fake_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"bronzehook/api"
	"bronzehook/backend"
	"bronzehook/backend/fake"
	"bronzehook/fault"
)

// reply is the response to a request as its client receives it.
type reply struct {
	status  int
	id      string
	refused fault.Code
	body    string
	err     error
}

func send(request *http.Request) reply {
	return sendWith(http.DefaultClient, request)
}

func sendWith(client *http.Client, request *http.Request) reply {
	response, err := client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return reply{
		status: response.StatusCode, id: response.Header.Get(api.HeaderRequest),
		refused: fault.Code(response.Header.Get(api.HeaderRefused)), body: string(body), err: err,
	}
}

func (r *harness) startService(command ...string) (backend.StartRequest, string) {
	r.t.Helper()
	service := newStartRequest("web", api.KindService, 1, command...)
	r.start(service)
	return service, r.awaitState(service, api.SeenRunning).Addr
}

func setNumber(header string, value uint64) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set(header, strconv.FormatUint(value, 10)) }
}

// Guards against the execution of a request from an earlier owner, after its expiry, or for another task or attempt, and
// against a refusal of a request that was executed.
func TestRequestsAreRefused(t *testing.T) {
	const clockReading = 10 * time.Second
	drop := func(header string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Del(header) }
	}
	setTask := func(task string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Set(api.HeaderTask, task) }
	}
	cases := map[string]struct {
		change func(*http.Request)
		want   fault.Code
	}{
		"accepted":          {func(*http.Request) {}, ""},
		"at its not-after":  {setNumber(api.HeaderNotAfter, uint64(clockReading.Milliseconds())), ""},
		"past not-after":    {setNumber(api.HeaderNotAfter, uint64(clockReading.Milliseconds())-1), fault.CodeExpired},
		"old epoch":         {setNumber(api.HeaderEpoch, uint64(testEpoch)-1), fault.CodeStaleEpoch},
		"epoch not fenced":  {setNumber(api.HeaderEpoch, uint64(testEpoch)+1), fault.CodeNotReady},
		"old attempt":       {setNumber(api.HeaderTaskAttempt, 0), fault.CodeStaleAttempt},
		"other task":        {setTask("absent"), fault.CodeNotFound},
		"task of a watcher": {setTask("watch"), fault.CodeNotFound},
		"no epoch":          {drop(api.HeaderEpoch), fault.CodeInvalid},
		"no not-after":      {drop(api.HeaderNotAfter), fault.CodeInvalid},
		"no id":             {drop(api.HeaderRequest), fault.CodeInvalid},
		"no task":           {drop(api.HeaderTask), fault.CodeInvalid},
		"no attempt":        {drop(api.HeaderTaskAttempt), fault.CodeInvalid},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			clock := clockwork.NewFakeClock()
			r := newHarness(t, clock, nil)
			service, addr := r.startService("serve", "0s")
			r.start(newStartRequest("watch", api.KindWatcher, 1))
			clock.Advance(clockReading)
			request := r.request(service, addr, "a")
			c.change(request)
			got := send(request)
			ran := len(r.worker.EventLog().Executions())
			if got.err != nil || got.refused != c.want {
				t.Errorf("reply = %+v, want refusal %q", got, c.want)
			}
			if c.want == "" && (got.status != http.StatusOK || got.id != "a" || ran != 1) {
				t.Errorf("reply = %+v with %d executions", got, ran)
			}
			if c.want != "" && (got.status != http.StatusServiceUnavailable || ran != 0) {
				t.Errorf("refusal with status %d after %d executions", got.status, ran)
			}
		})
	}
}

// Guards against more executions than slots, more open requests than connections, and a refusal of a request that was
// executed.
func TestSlotsAndConnectionsAreLimits(t *testing.T) {
	const sent = 30
	r := newHarness(t, clockwork.NewRealClock(), func(c *fake.WorkerConfig) {
		c.Worker.Slots = 2
		c.Worker.Connections = 10
	})
	service, addr := r.startService("serve", "50ms", "--fixed")
	replies := r.sendAll(service, addr, sent)
	refused := 0
	for _, got := range replies {
		if got.refused == fault.CodeOverloaded && got.status == http.StatusServiceUnavailable {
			refused++
			continue
		}
		if got.err != nil || got.status != http.StatusOK {
			t.Errorf("reply = %+v", got)
		}
	}
	eventLog := r.worker.EventLog()
	if ran := len(eventLog.Executions()); ran+refused != sent || refused == 0 || ran < 10 {
		t.Errorf("%d were executed and %d refused, of %d", ran, refused, sent)
	}
	peaks := eventLog.Peaks()
	if peaks.Executing != 2 || peaks.ExecutingByTask["web"] != 2 || peaks.Open != 10 {
		t.Errorf("peaks = %+v, want 2 executing and 10 open", peaks)
	}
	if overlap := maxConcurrent(eventLog.Executions()); overlap != 2 {
		t.Errorf("the event log has %d executions at the same time, want 2", overlap)
	}
}

func (r *harness) sendAll(service backend.StartRequest, addr string, count int) []reply {
	replies := make([]reply, count)
	var group sync.WaitGroup
	for i := range replies {
		request := r.request(service, addr, strconv.Itoa(i))
		group.Go(func() { replies[i] = send(request) })
	}
	group.Wait()
	return replies
}

// Guards against refusing a client that stays within the connection limit: the connection of a request must be free by
// the time its client receives the response.
func TestClientsWithinTheLimitAreNotRefused(t *testing.T) {
	const connections, rounds = 4, 100
	r := newHarness(t, clockwork.NewRealClock(), func(c *fake.WorkerConfig) {
		c.Worker.Slots = 2
		c.Worker.Connections = connections
		// The response exceeds the buffers of the server, so that the client may receive it before the handler returns.
		c.ResponseBytes = 64 << 10
	})
	service, addr := r.startService("serve", "0s")
	for range rounds {
		for _, got := range r.sendAll(service, addr, connections) {
			if got.err != nil || got.refused != "" {
				t.Fatalf("reply = %+v", got)
			}
		}
	}
}

func maxConcurrent(executions []fake.Execution) int {
	most := 0
	for _, x := range executions {
		now := 0
		for _, other := range executions {
			if !other.Start.After(x.Start) && other.End.After(x.Start) {
				now++
			}
		}
		most = max(most, now)
	}
	return most
}

// Guards against executing a request that became invalid while it waited for a slot: its owner was fenced off, its
// not-after time passed, or its attempt was stopped.
func TestWaitingRequestsAreCheckedAgain(t *testing.T) {
	cases := map[string]struct {
		notAfter time.Duration
		// freeSlot aborts or completes the first request, so that the second is checked again.
		freeSlot func(*harness, backend.StartRequest, *clockwork.FakeClock) error
		want     fault.Code
	}{
		"fenced": {longLease, func(r *harness, _ backend.StartRequest, clock *clockwork.FakeClock) error {
			_, err := r.control.Fence(r.ctx, testEpoch+1)
			clock.Advance(5 * time.Second)
			return err
		}, fault.CodeStaleEpoch},
		"expired": {2 * time.Second, func(_ *harness, _ backend.StartRequest, clock *clockwork.FakeClock) error {
			clock.Advance(5 * time.Second)
			return nil
		}, fault.CodeExpired},
		"stopped": {longLease, func(r *harness, o backend.StartRequest, _ *clockwork.FakeClock) error {
			return r.control.Stop(r.ctx, taskRef(o))
		}, fault.CodeNotFound},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			r := newHarness(t, clock, func(c *fake.WorkerConfig) { c.Worker.Slots = 1 })
			service, addr := r.startService("serve", "5s", "--fixed")
			first, second := make(chan reply, 1), make(chan reply, 1)
			go func() { first <- send(r.request(service, addr, "first")) }()
			eventLog := r.worker.EventLog()
			eventually(t, func() bool { return eventLog.Peaks().Executing == 1 }, "first executes")
			// The three timers are those of the usage samples, of the attempt lease and of the first request.
			if err := clock.BlockUntilContext(r.ctx, 3); err != nil {
				t.Fatal(err)
			}
			waiting := r.request(service, addr, "second")
			setNumber(api.HeaderNotAfter, uint64(c.notAfter.Milliseconds()))(waiting)
			go func() { second <- send(waiting) }()
			eventually(t, func() bool { return eventLog.Peaks().Open == 2 }, "second waits")
			// The second request has been counted as open, but starts to wait for the slot slightly later.
			time.Sleep(20 * time.Millisecond)
			if err := c.freeSlot(r, service, clock); err != nil {
				t.Fatal(err)
			}
			got := <-second
			if got.refused != c.want {
				t.Errorf("reply = %+v, want refusal %s", got, c.want)
			}
			if name == "stopped" == ((<-first).err == nil) {
				t.Errorf("a response from a stopped attempt, or none from a running one")
			}
			if ran := eventLog.Executions(); len(ran) != 1 || ran[0].Request != "first" || ran[0].Key != "key-first" {
				t.Errorf("executions = %+v, want the first only", ran)
			}
		})
	}
}

// Guards against an execution that continues after its attempt was stopped or its attempt lease expired.
func TestTerminationOfAttemptAbortsExecutions(t *testing.T) {
	r := newHarness(t, clockwork.NewRealClock(), nil)
	service, addr := r.startService("serve", "1h", "--fixed")
	replies := make(chan reply, 1)
	go func() { replies <- send(r.request(service, addr, "a")) }()
	eventLog := r.worker.EventLog()
	eventually(t, func() bool { return len(eventLog.Executions()) == 1 }, "the request executes")
	if err := r.control.Stop(r.ctx, taskRef(service)); err != nil {
		t.Fatal(err)
	}
	x := eventLog.Executions()[0]
	if !x.Aborted || x.End.IsZero() {
		t.Errorf("after Stop returned, the execution is %+v", x)
	}
	if got := <-replies; got.err == nil {
		t.Errorf("reply = %+v, want an aborted connection", got)
	}
}

// Guards against service times that do not depend on the seed, the interference and the throttling.
func TestServiceTimesDependOnInterference(t *testing.T) {
	planned := func(seed uint64, neighbour bool, share float64) time.Duration {
		r := newHarness(t, clockwork.NewFakeClock(), func(c *fake.WorkerConfig) {
			c.Seed = seed
			c.FixedServiceTime = false
			c.Interference = fake.PairInterference(map[[2]string]float64{{"web", "noisy"}: 1})
		})
		service, addr := r.startService("serve", "100ms")
		if neighbour {
			r.start(newStartRequest("noisy", api.KindWatcher, 1))
		}
		if err := r.control.Throttle(r.ctx, taskRef(service), share); err != nil {
			t.Fatal(err)
		}
		go send(r.request(service, addr, "a"))
		eventLog := r.worker.EventLog()
		eventually(t, func() bool { return len(eventLog.Executions()) == 1 }, "the request executes")
		return eventLog.Executions()[0].Planned
	}
	alone := planned(1, false, 1)
	if repeated := planned(1, false, 1); alone != repeated {
		t.Errorf("the same seed gave %s and %s", alone, repeated)
	}
	if other := planned(2, false, 1); alone == other {
		t.Errorf("two seeds gave %s", alone)
	}
	// The neighbour slows it by a factor of 2 and so does half the CPU, 4 in all; the tolerance covers rounding to
	// nanoseconds.
	if slowed := planned(1, true, 0.5); (slowed - 4*alone).Abs() > 4 {
		t.Errorf("alone %s, slowed fourfold %s", alone, slowed)
	}
}

// Guards against a response that belongs to another request or does not describe the received request.
func TestResponsesDescribeTheRequest(t *testing.T) {
	r := newHarness(t, clockwork.NewRealClock(), nil)
	service, addr := r.startService()
	request := r.request(service, addr, "a")
	request.Body = io.NopCloser(strings.NewReader("content"))
	var got fake.ServiceResponse
	if err := json.Unmarshal([]byte(send(request).body), &got); err != nil {
		t.Fatal(err)
	}
	want := fake.ServiceResponse{
		Request: "a", Key: "key-a", Worker: "w", Task: "web", Attempt: 1, Method: http.MethodPost, Path: "/path",
		BodyBytes: len("content"), BodyHash: xxhash.Sum64String("content"),
		Payload: strings.Repeat("x", fake.DefaultResponseBytes),
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("response (-want +got):\n%s", diff)
	}
}
