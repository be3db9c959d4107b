package fake_test

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"bronzehook/api"
	"bronzehook/backend"
	"bronzehook/backend/fake"
	"bronzehook/backend/httpbackend"
	"bronzehook/fault"
)

const (
	// callTimeout is long enough for the race detector on a busy machine.
	callTimeout = 10 * time.Second
	longLease   = time.Hour
	testEpoch   = api.Epoch(3)
)

var oneCore = api.Resources{MilliCPU: 1000, MemoryMB: 100}

// harness is one fake worker and its platform; the worker is called over HTTP.
type harness struct {
	t        *testing.T
	ctx      context.Context
	platform *fake.Platform
	worker   *fake.Worker
	control  backend.Worker
}

// newHarness starts a worker with a capacity of four cores and fences it with testEpoch.
func newHarness(t *testing.T, clock clockwork.Clock, change func(*fake.WorkerConfig)) *harness {
	t.Helper()
	p := fake.NewPlatform(clock)
	config := fake.WorkerConfig{
		Worker:           api.Worker{ID: "w", Capacity: api.Resources{MilliCPU: 4000, MemoryMB: 1000}},
		Clock:            clock,
		Objects:          p.Objects(),
		ServiceTime:      time.Millisecond,
		FixedServiceTime: true,
	}
	if change != nil {
		change(&config)
	}
	w, err := fake.NewWorker(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	control := httpbackend.NewWorkers(nil, callTimeout).Worker(w.Description())
	r := &harness{t: t, ctx: context.Background(), platform: p, worker: w, control: control}
	if _, err := control.Fence(r.ctx, testEpoch); err != nil {
		t.Fatal(err)
	}
	return r
}

func newStartRequest(task api.TaskID, kind api.Kind, attempt uint64, command ...string) backend.StartRequest {
	return backend.StartRequest{
		Task: task, Work: string(task), Kind: kind, Attempt: attempt, Epoch: testEpoch, Resources: oneCore,
		Command: command, LeaseExpiry: longLease, NotAfter: longLease,
	}
}

func taskRef(o backend.StartRequest) backend.TaskRef {
	return backend.TaskRef{Task: o.Task, Attempt: o.Attempt, Epoch: o.Epoch}
}

func (r *harness) start(o backend.StartRequest) {
	r.t.Helper()
	if err := r.control.Start(r.ctx, o); err != nil {
		r.t.Fatal(err)
	}
}

func (r *harness) status(o backend.StartRequest) backend.TaskStatus {
	r.t.Helper()
	inventory, err := r.control.Inventory(r.ctx)
	if err != nil {
		r.t.Fatal(err)
	}
	for _, status := range inventory.Tasks {
		if status.Task == o.Task && status.Attempt == o.Attempt {
			return status
		}
	}
	return backend.TaskStatus{}
}

func (r *harness) awaitState(o backend.StartRequest, want api.ObservedState) backend.TaskStatus {
	r.t.Helper()
	var status backend.TaskStatus
	eventually(r.t, func() bool {
		status = r.status(o)
		return status.State == want
	}, "task %s in state %s", o.Task, want)
	return status
}

// eventually polls until the condition holds, and fails the test after callTimeout.
func eventually(t *testing.T, condition func() bool, format string, args ...any) {
	t.Helper()
	for end := time.Now().Add(callTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("did not happen: "+format, args...)
}

// request returns a request to a task of a service with all headers.
func (r *harness) request(o backend.StartRequest, addr, id string) *http.Request {
	r.t.Helper()
	request, err := http.NewRequestWithContext(r.ctx, http.MethodPost, "http://"+addr+"/path", http.NoBody)
	if err != nil {
		r.t.Fatal(err)
	}
	request.Header.Set(api.HeaderRequest, id)
	request.Header.Set(api.HeaderKey, "key-"+id)
	request.Header.Set(api.HeaderTask, string(o.Task))
	request.Header.Set(api.HeaderTaskAttempt, strconv.FormatUint(o.Attempt, 10))
	request.Header.Set(api.HeaderEpoch, strconv.FormatUint(uint64(o.Epoch), 10))
	request.Header.Set(api.HeaderNotAfter, strconv.FormatInt(longLease.Milliseconds(), 10))
	return request
}

func wantCode(t *testing.T, err error, want fault.Code) {
	t.Helper()
	if want == "" && err != nil {
		t.Errorf("failure: %v", err)
	}
	if want != "" && !fault.Is(err, want) {
		t.Errorf("failure = %v, want code %s", err, want)
	}
}

// Guards against a fake cluster that fails to run one of the three kinds of workload through its HTTP interfaces.
func TestClusterRunsAllKindsOfWorkload(t *testing.T) {
	site, err := fake.NewCluster(fake.ClusterConfig{
		DataCentres:          []api.Location{{Region: "cornwall", DataCentre: "montego"}},
		WorkersPerDataCentre: 9,
		Capacity:             api.Resources{MilliCPU: 4000, MemoryMB: 1000},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	ctx := context.Background()
	entries, err := httpbackend.New(site.URL, nil, callTimeout).Directory().List(ctx)
	if err != nil || len(entries) != 9 {
		t.Fatalf("directory = %v, %v; want 9 workers", entries, err)
	}
	described := site.Worker("montego-w8").Description()
	if described.Location.Rack != "r1" || described.Slots != 8 || described.Connections != 64 {
		t.Errorf("ninth worker = %+v", described)
	}
	control := httpbackend.NewWorkers(nil, callTimeout).Worker(described)
	r := &harness{t: t, ctx: ctx, platform: site.Platform, worker: site.Worker("montego-w8"), control: control}
	if _, err := control.Fence(ctx, testEpoch); err != nil {
		t.Fatal(err)
	}
	service := newStartRequest("web.0", api.KindService, 1, "serve", "1ms", "--fixed")
	job := newStartRequest("batch.0", api.KindJob, 1, "run", "10ms")
	failing := newStartRequest("batch.1", api.KindJob, 1, "run", "10ms", "--fail")
	watcher := newStartRequest("watch.0", api.KindWatcher, 1)
	for _, o := range []backend.StartRequest{service, job, failing, watcher} {
		r.start(o)
	}
	addr := r.awaitState(service, api.SeenRunning).Addr
	response, err := http.DefaultClient.Do(r.request(service, addr, "a"))
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK || response.Header.Get(api.HeaderRequest) != "a" {
		t.Errorf("response = %d %v", response.StatusCode, response.Header)
	}
	r.awaitState(job, api.SeenSucceeded)
	r.awaitState(failing, api.SeenFailed)
	r.awaitState(watcher, api.SeenRunning)
	if err := control.Stop(ctx, taskRef(watcher)); err != nil {
		t.Fatal(err)
	}
	r.awaitState(watcher, api.SeenStopped)
}
