package fake_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"bronzehook/api"
	"bronzehook/backend"
	"bronzehook/backend/fake"
	"bronzehook/backend/httpbackend"
	"bronzehook/fault"
)

func (r *harness) setFaults(f fake.WorkerFaults) {
	r.t.Helper()
	sendJSON(r.t, http.MethodPut, "http://"+r.worker.Description().Addr+fake.PathWorkerFaults, f)
}

// shortTimeoutControl returns a client of the control interface with a short timeout.
func (r *harness) shortTimeoutControl() backend.Worker {
	return httpbackend.NewWorkers(nil, shortTimeout).Worker(r.worker.Description())
}

// Guards against a frozen worker that responds or refuses connections, and against lost commands: a command that arrived
// during the freeze takes effect afterwards unless it has expired.
func TestFrozenWorker(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := newHarness(t, clock, nil)
	service, addr := r.startService("serve", "0s")
	r.setFaults(fake.WorkerFaults{Frozen: true})
	valid, late := newStartRequest("lasting", api.KindWatcher, 1), newStartRequest("late", api.KindWatcher, 1)
	late.NotAfter = time.Second
	for _, o := range []backend.StartRequest{valid, late} {
		wantCode(t, r.shortTimeoutControl().Start(r.ctx, o), fault.CodeUnreachable)
	}
	client := &http.Client{Timeout: shortTimeout}
	if got := sendWith(client, r.request(service, addr, "a")); got.err == nil {
		t.Errorf("a frozen worker replied %+v", got)
	}
	clock.Advance(time.Minute)
	r.setFaults(fake.WorkerFaults{})
	r.awaitState(valid, api.SeenRunning)
	if got := r.status(late); got.State != "" {
		t.Errorf("an expired command took effect after the freeze: %+v", got)
	}
}

// Guards against a worker that runs an attempt although FailStarts is set.
func TestFailStarts(t *testing.T) {
	r := newHarness(t, clockwork.NewRealClock(), nil)
	r.setFaults(fake.WorkerFaults{FailStarts: true})
	for _, kind := range []api.Kind{api.KindService, api.KindJob, api.KindWatcher} {
		o := newStartRequest(api.TaskID(kind), kind, 1)
		r.start(o)
		if got := r.status(o); got.State != api.SeenFailed || got.Reason == "" {
			t.Errorf("%s: %+v", kind, got)
		}
	}
}

// Guards against a leaving worker that is not reported as leaving in its inventory and the directory, and against a
// crashed worker that still responds or loses its event log in the restart.
func TestLeavingAndCrashedWorker(t *testing.T) {
	site, err := fake.NewCluster(fake.ClusterConfig{
		DataCentres: []api.Location{{Region: "r", DataCentre: "d"}}, WorkersPerDataCentre: 1, Capacity: oneCore,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	w := site.Worker("d-w0")
	control := httpbackend.NewWorkers(nil, callTimeout).Worker(w.Description())
	r := &harness{t: t, ctx: context.Background(), platform: site.Platform, worker: w, control: control}
	before, err := control.Fence(r.ctx, testEpoch)
	wantCode(t, err, "")
	r.start(newStartRequest("watch", api.KindWatcher, 1))
	base := "http://" + w.Description().Addr
	sendJSON(t, http.MethodPut, base+fake.PathWorkerLeaving, true)
	inventory, err := control.Inventory(r.ctx)
	entries, _ := site.Platform.Directory().List(r.ctx)
	if err != nil || !inventory.Leaving || listing(entries) != "d-w0-leaving" {
		t.Errorf("inventory %+v, directory %s: %v", inventory, listing(entries), err)
	}
	crash, err := http.NewRequest(http.MethodPut, base+fake.PathWorkerCrash, http.NoBody)
	wantCode(t, err, "")
	// The worker closes the connection before it can respond.
	if got := send(crash); got.err == nil {
		t.Errorf("reply = %+v from a crashed worker", got)
	}
	_, err = control.Inventory(r.ctx)
	wantCode(t, err, fault.CodeUnreachable)
	restarted, err := site.Restart("d-w0")
	wantCode(t, err, "")
	after, err := restarted.Inventory(r.ctx)
	if err != nil || after.Boot == before.Boot || after.Epoch != 0 || len(after.Tasks) != 0 {
		t.Errorf("after the restart: %+v, %v", after, err)
	}
	attempts := restarted.EventLog().Attempts()
	if len(attempts) != 1 || attempts[0].State != api.SeenStopped || attempts[0].End.IsZero() {
		t.Errorf("attempts = %+v, want one that was stopped", attempts)
	}
}

// Guards against response faults without the effect that they simulate: a truncated response must fail at the client, a
// delayed one must arrive after the delay, and a duplicate must be received in place of the next response.
func TestResponseFaults(t *testing.T) {
	r := newHarness(t, clockwork.NewRealClock(), nil)
	service, addr := r.startService("serve", "0s")
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	request := func(id string) reply { return sendWith(client, r.request(service, addr, id)) }

	r.setFaults(fake.WorkerFaults{Endpoints: fake.ResponseFaults{Truncate: 1}})
	if got := request("cut"); got.err == nil {
		t.Errorf("truncated response = %+v", got)
	}
	r.setFaults(fake.WorkerFaults{Endpoints: fake.ResponseFaults{Delay: shortTimeout}})
	started := time.Now()
	if got := request("late"); got.id != "late" || time.Since(started) < shortTimeout {
		t.Errorf("delayed response = %+v after %s", got, time.Since(started))
	}
	r.setFaults(fake.WorkerFaults{Endpoints: fake.ResponseFaults{Duplicate: 1}})
	if got := request("first"); got.id != "first" {
		t.Errorf("first of two responses = %+v", got)
	}
	if got := request("second"); got.id != "first" {
		t.Errorf("response to the next request = %+v, want the duplicate", got)
	}
	for _, x := range r.worker.EventLog().Executions() {
		if x.Request == "second" {
			t.Error("the request that received the duplicate was executed")
		}
	}
	// The connection is closed after the duplicate. A request sent on it before the client notices gets no response.
	client.CloseIdleConnections()
	if got := request("third"); got.id != "third" {
		t.Errorf("response after the faults = %+v", got)
	}
}

// Guards against a truncated response, or the response to another call, that is accepted as an inventory.
func TestControlResponseFaults(t *testing.T) {
	r := newHarness(t, clockwork.NewRealClock(), nil)
	r.setFaults(fake.WorkerFaults{Control: fake.ResponseFaults{Truncate: 1}})
	_, err := r.control.Inventory(r.ctx)
	wantCode(t, err, fault.CodeTruncated)
	r.setFaults(fake.WorkerFaults{Control: fake.ResponseFaults{Duplicate: 1}})
	_, err = r.control.Inventory(r.ctx)
	wantCode(t, err, "")
	_, err = r.control.Inventory(r.ctx)
	wantCode(t, err, fault.CodeUnreachable)
	r.setFaults(fake.WorkerFaults{Control: fake.ResponseFaults{Delay: 2 * shortTimeout}})
	_, err = r.shortTimeoutControl().Inventory(r.ctx)
	wantCode(t, err, fault.CodeUnreachable)
	r.setFaults(fake.WorkerFaults{})
	_, err = r.control.Inventory(r.ctx)
	wantCode(t, err, "")
}

// Guards against an evicted job that restarts without its checkpoint, and against a resume that does not wait until the
// object store is available.
func TestJobResumesFromCheckpoint(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := newHarness(t, clock, nil)
	first := newStartRequest("job", api.KindJob, 1, "run", "10s")
	r.start(first)
	clock.Advance(4 * time.Second)
	name, err := r.control.Checkpoint(r.ctx, taskRef(first))
	wantCode(t, err, "")
	wantCode(t, r.control.Throttle(r.ctx, taskRef(first), 0.5), "")
	clock.Advance(2 * time.Second)
	if got := r.status(first); got.State != api.SeenThrottled || fmt.Sprintf("%.2f", got.Progress) != "0.50" {
		t.Errorf("throttled = %+v, want progress 0.5", got)
	}
	wantCode(t, r.control.Stop(r.ctx, taskRef(first)), "")
	if got := r.status(first); got.State != api.SeenStopped || got.Checkpoint != name {
		t.Errorf("stopped = %+v, want checkpoint %s", got, name)
	}
	r.platform.SetObjectFaults(fake.StoreFaults{Down: true})
	second := newStartRequest("job", api.KindJob, 2, "run", "10s")
	second.Checkpoint = name
	r.start(second)
	if got := r.status(second); got.State != api.SeenStarting {
		t.Errorf("without the store the attempt is %s", got.State)
	}
	r.platform.SetObjectFaults(fake.StoreFaults{})
	eventually(t, func() bool {
		clock.Advance(10 * time.Millisecond)
		return r.status(second).State == api.SeenRunning
	}, "the attempt resumes")
	clock.Advance(6 * time.Second)
	if got := r.status(second); got.State != api.SeenSucceeded {
		t.Errorf("6s after it resumed at 0.4 the attempt is %+v", got)
	}
	entry := r.worker.EventLog().Attempts()[1]
	if entry.ResumedFrom != name || fmt.Sprintf("%.2f", entry.From) != "0.40" || entry.To != 1 {
		t.Errorf("second attempt = %+v", entry)
	}
	lost := newStartRequest("lost", api.KindJob, 1)
	lost.Checkpoint = "absent"
	r.start(lost)
	r.awaitState(lost, api.SeenFailed)
}

// Guards against reported usage that is newer than the configured lag, or that does not include the interference.
func TestUsageIsReportedWithLag(t *testing.T) {
	const lag = 3 * time.Second
	clock := clockwork.NewFakeClock()
	var sampled atomic.Int64
	r := newHarness(t, clock, func(c *fake.WorkerConfig) {
		c.UsageLag = lag
		c.Use = func(l fake.Load) api.Resources {
			sampled.Add(1)
			return l.Declared
		}
		c.Interference = func(_ fake.Load, neighbours []fake.Load) float64 { return 1 + float64(len(neighbours)) }
	})
	_, err := r.control.Usage(r.ctx)
	wantCode(t, err, fault.CodeNotReady)
	r.start(newStartRequest("a", api.KindWatcher, 1))
	r.start(newStartRequest("b", api.KindWatcher, 1))
	// Another goroutine takes the samples, each of two attempts.
	for second := range int64(3) {
		clock.Advance(time.Second)
		eventually(t, func() bool { return sampled.Load() == 2*(second+1) }, "sample %d", second+1)
	}
	usage, err := r.control.Usage(r.ctx)
	if err != nil || usage.Age < lag || len(usage.Tasks) != 0 {
		t.Errorf("usage before the lag has passed = %+v, %v", usage, err)
	}
	clock.Advance(time.Second)
	usage, err = r.control.Usage(r.ctx)
	if err != nil || usage.Used != oneCore.Add(oneCore) || len(usage.Tasks) != 2 || usage.Tasks[0].Slowdown != 2 {
		t.Errorf("usage after the lag = %+v, %v", usage, err)
	}
}
