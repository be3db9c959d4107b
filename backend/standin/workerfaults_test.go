package standin_test

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
	"bronzehook/backend/httpbackend"
	"bronzehook/backend/standin"
	"bronzehook/fault"
)

func (r *harness) setFaults(f standin.WorkerFaults) {
	r.t.Helper()
	sendJSON(r.t, http.MethodPut, "http://"+r.worker.Description().Addr+standin.PathWorkerFaults, f)
}

// shortTimeoutControl returns the control interface with a short timeout.
func (r *harness) shortTimeoutControl() backend.Worker {
	return httpbackend.NewWorkers(nil, shortTimeout).Worker(r.worker.Description())
}

// Guards against a frozen worker that answers or refuses connections, and against orders that it forgets: what had
// arrived takes effect after the freeze, unless it has expired by then.
func TestFrozenWorker(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := newHarness(t, clock, nil)
	service, addr := r.startService("serve", "0s")
	r.setFaults(standin.WorkerFaults{Frozen: true})
	lasting, late := newStartRequest("lasting", api.KindWatcher, 1), newStartRequest("late", api.KindWatcher, 1)
	late.NotAfter = time.Second
	for _, o := range []backend.StartOrder{lasting, late} {
		wantCode(t, r.shortTimeoutControl().Start(r.ctx, o), fault.CodeUnreachable)
	}
	client := &http.Client{Timeout: shortTimeout}
	if got := sendWith(client, r.request(service, addr, "a")); got.err == nil {
		t.Errorf("a frozen worker replied %+v", got)
	}
	clock.Advance(time.Minute)
	r.setFaults(standin.WorkerFaults{})
	r.awaitState(lasting, api.SeenRunning)
	if got := r.status(late); got.State != "" {
		t.Errorf("an expired order took effect after the freeze: %+v", got)
	}
}

// Guards against a worker that is told to fail everything and still runs something.
func TestFailingWorker(t *testing.T) {
	r := newHarness(t, clockwork.NewRealClock(), nil)
	r.setFaults(standin.WorkerFaults{FailStarts: true})
	for _, kind := range []api.Kind{api.KindService, api.KindJob, api.KindWatcher} {
		o := newStartRequest(api.TaskID(kind), kind, 1)
		r.start(o)
		if got := r.status(o); got.State != api.SeenFailed || got.Reason == "" {
			t.Errorf("%s: %+v", kind, got)
		}
	}
}

// Guards against a leaving worker that does not say so in its inventory and to the directory, and against one that went
// away and still answers or loses its journal when it comes back.
func TestLeavingAndGoneWorker(t *testing.T) {
	site, err := standin.NewSite(standin.SiteConfig{
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
	sendJSON(t, http.MethodPut, base+standin.PathWorkerLeaving, true)
	inventory, err := control.Inventory(r.ctx)
	entries, _ := site.Platform.Directory().List(r.ctx)
	if err != nil || !inventory.Leaving || listing(entries) != "d-w0-leaving" {
		t.Errorf("inventory %+v, directory %s: %v", inventory, listing(entries), err)
	}
	gone, err := http.NewRequest(http.MethodPut, base+standin.PathWorkerGone, http.NoBody)
	wantCode(t, err, "")
	// The worker goes away before it can answer.
	if got := send(gone); got.err == nil {
		t.Errorf("reply = %+v of a worker that went away", got)
	}
	_, err = control.Inventory(r.ctx)
	wantCode(t, err, fault.CodeUnreachable)
	restarted, err := site.Restart("d-w0")
	wantCode(t, err, "")
	after, err := restarted.Inventory(r.ctx)
	if err != nil || after.Boot == before.Boot || after.Epoch != 0 || len(after.Tasks) != 0 {
		t.Errorf("after the restart: %+v, %v", after, err)
	}
	runs := restarted.Journal().Runs()
	if len(runs) != 1 || runs[0].State != api.SeenStopped || runs[0].End.IsZero() {
		t.Errorf("runs = %+v, want one that was stopped", runs)
	}
}

// Guards against faults of answers that do not reach the sender: a cut answer must not look whole, a late one must come
// after its delay, and a copy must take the place of the next answer.
func TestAnswerFaults(t *testing.T) {
	r := newHarness(t, clockwork.NewRealClock(), nil)
	service, addr := r.startService("serve", "0s")
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	request := func(id string) reply { return sendWith(client, r.request(service, addr, id)) }

	r.setFaults(standin.WorkerFaults{Endpoints: standin.AnswerFaults{Truncate: 1}})
	if got := request("cut"); got.err == nil {
		t.Errorf("cut answer = %+v", got)
	}
	r.setFaults(standin.WorkerFaults{Endpoints: standin.AnswerFaults{Delay: shortTimeout}})
	begun := time.Now()
	if got := request("late"); got.id != "late" || time.Since(begun) < shortTimeout {
		t.Errorf("late answer = %+v after %s", got, time.Since(begun))
	}
	r.setFaults(standin.WorkerFaults{Endpoints: standin.AnswerFaults{Duplicate: 1}})
	if got := request("first"); got.id != "first" {
		t.Errorf("first of two answers = %+v", got)
	}
	if got := request("second"); got.id != "first" {
		t.Errorf("answer to the next request = %+v, want the copy", got)
	}
	for _, x := range r.worker.Journal().Executions() {
		if x.Request == "second" {
			t.Error("the request that got the copy ran")
		}
	}
	// The connection ends with the copy; a request that is sent on it before that is noticed has no answer.
	client.CloseIdleConnections()
	if got := request("third"); got.id != "third" {
		t.Errorf("answer after the faults = %+v", got)
	}
}

// Guards against control answers that are cut or belong to another call and pass for an inventory.
func TestControlAnswerFaults(t *testing.T) {
	r := newHarness(t, clockwork.NewRealClock(), nil)
	r.setFaults(standin.WorkerFaults{Control: standin.AnswerFaults{Truncate: 1}})
	_, err := r.control.Inventory(r.ctx)
	wantCode(t, err, fault.CodeTruncated)
	r.setFaults(standin.WorkerFaults{Control: standin.AnswerFaults{Duplicate: 1}})
	_, err = r.control.Inventory(r.ctx)
	wantCode(t, err, "")
	_, err = r.control.Inventory(r.ctx)
	wantCode(t, err, fault.CodeUnreachable)
	r.setFaults(standin.WorkerFaults{Control: standin.AnswerFaults{Delay: 2 * shortTimeout}})
	_, err = r.shortTimeoutControl().Inventory(r.ctx)
	wantCode(t, err, fault.CodeUnreachable)
	r.setFaults(standin.WorkerFaults{})
	_, err = r.control.Inventory(r.ctx)
	wantCode(t, err, "")
}

// Guards against evicted work that starts again from the beginning, and a resume that does not wait for the store.
func TestJobResumesFromCheckpoint(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := newHarness(t, clock, nil)
	first := newStartRequest("job", api.KindJob, 1, "run", "10s")
	r.start(first)
	clock.Advance(4 * time.Second)
	name, err := r.control.Checkpoint(r.ctx, ref(first))
	wantCode(t, err, "")
	wantCode(t, r.control.Throttle(r.ctx, ref(first), 0.5), "")
	clock.Advance(2 * time.Second)
	if got := r.status(first); got.State != api.SeenThrottled || fmt.Sprintf("%.2f", got.Progress) != "0.50" {
		t.Errorf("throttled = %+v, want progress 0.5", got)
	}
	wantCode(t, r.control.Stop(r.ctx, ref(first)), "")
	if got := r.status(first); got.State != api.SeenStopped || got.Checkpoint != name {
		t.Errorf("stopped = %+v, want checkpoint %s", got, name)
	}
	r.platform.SetObjectFaults(standin.StoreFaults{Down: true})
	second := newStartRequest("job", api.KindJob, 2, "run", "10s")
	second.Checkpoint = name
	r.start(second)
	if got := r.status(second); got.State != api.SeenStarting {
		t.Errorf("without the store the attempt is %s", got.State)
	}
	r.platform.SetObjectFaults(standin.StoreFaults{})
	eventually(t, func() bool {
		clock.Advance(10 * time.Millisecond)
		return r.status(second).State == api.SeenRunning
	}, "the attempt resumes")
	clock.Advance(6 * time.Second)
	if got := r.status(second); got.State != api.SeenSucceeded {
		t.Errorf("6s after it resumed at 0.4 the attempt is %+v", got)
	}
	run := r.worker.Journal().Runs()[1]
	if run.ResumedFrom != name || fmt.Sprintf("%.2f", run.From) != "0.40" || run.To != 1 {
		t.Errorf("second run = %+v", run)
	}
	lost := newStartRequest("lost", api.KindJob, 1)
	lost.Checkpoint = "absent"
	r.start(lost)
	r.awaitState(lost, api.SeenFailed)
}

// Guards against usage that shows the present instead of the past, or that misses the interference.
func TestUsageLags(t *testing.T) {
	const lag = 3 * time.Second
	clock := clockwork.NewFakeClock()
	var measured atomic.Int64
	r := newHarness(t, clock, func(c *standin.WorkerConfig) {
		c.UsageLag = lag
		c.Use = func(l standin.Load) api.Resources {
			measured.Add(1)
			return l.Declared
		}
		c.Interference = func(_ standin.Load, neighbours []standin.Load) float64 { return 1 + float64(len(neighbours)) }
	})
	_, err := r.control.Usage(r.ctx)
	wantCode(t, err, fault.CodeNotReady)
	r.start(newStartRequest("a", api.KindWatcher, 1))
	r.start(newStartRequest("b", api.KindWatcher, 1))
	// Another goroutine takes the measurements, each of two attempts.
	for second := range int64(3) {
		clock.Advance(time.Second)
		eventually(t, func() bool { return measured.Load() == 2*(second+1) }, "measurement %d", second+1)
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
