package execution

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"bronzehook/invalid"
	"bronzehook/jobs"
	"bronzehook/leadership"
	"bronzehook/manifest"
	"bronzehook/recovery"
	"bronzehook/store"
	"bronzehook/store/memory"
	"bronzehook/workers"
)

// testStartTime is the start time of the incarnation that answers for fakeWorkers.
const testStartTime = 1

// fakeWorkers is a workers.Client that records the calls and returns preset responses.
type fakeWorkers struct {
	mu        sync.Mutex
	starts    []workers.Start
	polls     []workers.PollRequest
	throttles map[jobs.Task]int
	err       error
	clock     int64
}

func (f *fakeWorkers) Start(_ context.Context, command workers.Start) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts = append(f.starts, command)
	return f.clock, f.err
}

func (f *fakeWorkers) Stop(context.Context, workers.Target, jobs.Task, int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}

// setErr sets the response to later calls; calls may be in flight.
func (f *fakeWorkers) setErr(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.err = err
}

func (f *fakeWorkers) Poll(_ context.Context, request workers.PollRequest) (workers.Inventory, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.polls = append(f.polls, request)
	inventory := workers.Inventory{Clock: f.clock, StartTime: testStartTime}
	if request.StartTime == testStartTime {
		inventory.AckedUpTo = request.AckUpTo
	}
	return inventory, f.err
}

func (f *fakeWorkers) Throttle(_ context.Context, _ workers.Target, task jobs.Task, _, percent int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.throttles[task] = percent
	return f.err
}

func (f *fakeWorkers) startCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.starts)
}

// rig is a term under test; the test itself takes the place of the control goroutine.
type rig struct {
	*Term
	t      *testing.T
	table  *memory.Table
	client *fakeWorkers
	// mu guards clock, which the test writes and goroutines that call workers read.
	mu        sync.Mutex
	clock     time.Duration
	wallClock time.Time
}

const (
	testAttemptLease = 5 * time.Second
	testQueue        = "q"
)

func newRig(t *testing.T, table *memory.Table) *rig {
	t.Helper()
	return newRigBehind(t, table, table)
}

// newRigBehind returns a rig whose term reaches a table through another one.
func newRigBehind(t *testing.T, table *memory.Table, front store.Table) *rig {
	t.Helper()
	r := &rig{
		t: t, table: table, client: &fakeWorkers{throttles: make(map[jobs.Task]int), clock: 1000},
		clock: time.Hour, wallClock: time.UnixMilli(1_700_000_000_000),
	}
	provider := &manifest.Provider{}
	provider.Update((&manifest.Manifest{Version: 1, Queues: []manifest.Queue{
		{Name: testQueue, Service: "s", MaxAttempts: 2, Stretch: 2, LatencyTarget: time.Second},
	}}).Index())
	clock := func() time.Duration {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.clock
	}
	candidate := leadership.NewCandidate(front, clock, "n", time.Now().UnixNano())
	observation, err := candidate.Observe(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	leader, err := candidate.Acquire(context.Background(), observation)
	if err != nil {
		t.Fatal(err)
	}
	r.Term = NewTerm(Options{
		Table: front, Workers: r.client, Manifest: provider, WorkersTable: "servers",
		ParseRegistration: func(store.Row) (workers.Registration, error) {
			return workers.Registration{}, invalid.New(invalid.KindMissing, "everything")
		},
		Invalid: invalid.NewReporter(prometheus.NewRegistry(), zerolog.Nop()),
		Guard:   recovery.NewGuard(prometheus.NewRegistry(), zerolog.Nop()),
		Clock:   clock, Now: func() time.Time { return r.wallClock }, Logger: zerolog.Nop(), AttemptLeaseDuration: testAttemptLease,
		Metrics: NewMetrics(prometheus.NewRegistry()),
	}, leader)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	r.ctx, r.startedAt = ctx, r.clock
	return r
}

func (r *rig) advanceClock(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock += d
}

// addWorker adds an active worker that has accepted this term's fencing token.
func (r *rig) addWorker(id string, cpu int) *worker {
	w := r.workerOf(workers.ID(id))
	w.node.Registration = workers.Registration{
		ID: workers.ID(id), Addr: id + ":1", Service: "s", Capacity: jobs.Resources{CPU: cpu, MemoryMB: 100_000},
	}
	w.registered, w.fenced, w.startTime = true, true, testStartTime
	r.activate(w)
	w.noteClock(1000, r.clock)
	r.refreshNodes(r.clock)
	return w
}

func (r *rig) submit(id string, steps ...jobs.Step) *job {
	r.t.Helper()
	spec := &jobs.Spec{ID: jobs.ID(id), Queue: testQueue, Steps: steps, Submitted: r.wallClock.UnixMilli()}
	state := jobs.PublicState{State: jobs.StateQueued, Queue: testQueue}
	version, err := r.table.Commit(r.ctx, store.Txn{Puts: []store.Put{
		{Key: store.StateKey(id), Value: jobs.Encode(&state)}, {Key: store.JobKey(id), Value: jobs.Encode(spec)},
	}})
	if err != nil {
		r.t.Fatal(err)
	}
	r.applyIntake(store.Row{Key: store.JobKey(id), Value: jobs.Encode(spec), Version: version})
	return r.jobs[jobs.ID(id)]
}

// handleEvents handles the events that goroutines have posted, until none has arrived for a while.
func (r *rig) handleEvents() {
	for {
		select {
		case event := <-r.Term.events:
			event()
		case <-time.After(30 * time.Millisecond):
			return
		}
	}
}

func (r *rig) scheduleAndCommit() {
	r.Term.schedule(r.clock)
	r.commitAll()
}

// maxCommitsPerChange is how many successive commits a change may need: one that compares the public state, one of the
// record, and one of the resulting public state.
const maxCommitsPerChange = 3

func (r *rig) commitAll() {
	for range maxCommitsPerChange {
		r.records.nextCommit, r.renewAt = 0, 0
		for group := range r.states {
			r.states[group].nextCommit, r.states[group].deferredUntil = 0, 0
		}
		r.Term.commit(r.clock)
		r.handleEvents()
	}
}

// reportTerminations lets a worker answer a poll with terminations and no running attempts.
func (r *rig) reportTerminations(w *worker, terminations ...workers.Termination) {
	r.handlePoll(w, workers.PollRequest{Target: r.target(w)}, r.clock, workers.Inventory{StartTime: 1, Terminations: terminations}, nil)
}

func oneStep(count, cpu int) jobs.Step {
	return jobs.Step{Count: count, Resources: jobs.Resources{CPU: cpu, MemoryMB: 10}, Estimate: time.Second}
}

func (r *rig) onlyAttempt(w *worker) *taskAttempt {
	r.t.Helper()
	if len(w.attempts) != 1 {
		r.t.Fatalf("%d attempts on %s", len(w.attempts), w.id())
	}
	for _, attempt := range w.attempts {
		return attempt
	}
	return nil
}
