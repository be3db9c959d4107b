package execution

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"bronzehook/jobs"
	"bronzehook/leadership"
	"bronzehook/manifest"
	"bronzehook/store"
	"bronzehook/store/memory"
	"bronzehook/workers"
)

// fakeWorkers notes orders and answers as told.
type fakeWorkers struct {
	mu        sync.Mutex
	starts    []workers.Start
	polls     []workers.PollRequest
	throttles map[jobs.Task]int
	err       error
	clock     int64
}

func (f *fakeWorkers) Start(_ context.Context, order workers.Start) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts = append(f.starts, order)
	return f.clock, f.err
}

func (f *fakeWorkers) Stop(context.Context, workers.Target, jobs.Task, int) error { return f.err }

func (f *fakeWorkers) Poll(_ context.Context, look workers.PollRequest) (workers.Inventory, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.polls = append(f.polls, look)
	return workers.Inventory{Clock: f.clock, Born: 1}, f.err
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

// rig is a term whose control goroutine is the test.
type rig struct {
	*Term
	t      *testing.T
	table  *memory.Table
	client *fakeWorkers
	// mu guards writes of clock by the test against reads by goroutines that carry orders.
	mu    sync.Mutex
	clock time.Duration
	today time.Time
}

const (
	testAttemptLease = 5 * time.Second
	testQueue        = "q"
)

func newRig(t *testing.T, table *memory.Table) *rig {
	t.Helper()
	r := &rig{
		t: t, table: table, client: &fakeWorkers{throttles: make(map[jobs.Task]int), clock: 1000},
		clock: time.Hour, today: time.UnixMilli(1_700_000_000_000),
	}
	holder := &manifest.Provider{}
	holder.Offer((&manifest.Manifest{Version: 1, Queues: []manifest.Queue{
		{Name: testQueue, Service: "s", MaxAttempts: 2, Stretch: 2, LatencyTarget: time.Second},
	}}).Index())
	clock := func() time.Duration {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.clock
	}
	candidate := leadership.NewCandidate(table, clock, "n", time.Now().UnixNano())
	seen, err := candidate.Observe(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	held, err := candidate.Acquire(context.Background(), seen)
	if err != nil {
		t.Fatal(err)
	}
	r.Term = NewTerm(Options{
		Table: table, Workers: r.client, Manifest: holder, WorkersTable: "servers",
		ParseEntry: func(store.Row) (workers.Registration, bool) { return workers.Registration{}, false },
		Clock:      clock, Now: func() time.Time { return r.today }, Logger: zerolog.Nop(), AttemptLeaseDuration: testAttemptLease,
		Metrics: NewMetrics(prometheus.NewRegistry()),
	}, held)
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

// addWorker adds a worker that has seen the epoch.
func (r *rig) addWorker(id string, cpu int) *worker {
	w := r.workerOf(workers.ID(id))
	w.node.Entry = workers.Registration{
		ID: workers.ID(id), Addr: id + ":1", Service: "s", Capacity: jobs.Resources{CPU: cpu, MemoryMB: 100_000},
	}
	w.registered, w.fenced, w.startTime = true, true, 1
	r.activate(w)
	w.noteClock(1000, r.clock)
	r.refreshNodes(r.clock)
	return w
}

func (r *rig) submit(id string, steps ...jobs.Step) *job {
	r.t.Helper()
	spec := &jobs.Spec{ID: jobs.ID(id), Queue: testQueue, Steps: steps, Submitted: r.today.UnixMilli()}
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

// events handles what goroutines have posted, for as long as some work is outstanding.
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

// commitRounds is how many commits after one another a change may need: comparing the public state, the record, the state
// that follows from it.
const commitRounds = 3

func (r *rig) commitAll() {
	for range commitRounds {
		r.records.next, r.renewAt = 0, 0
		for group := range r.states {
			r.states[group].next, r.states[group].deferredUntil = 0, 0
		}
		r.Term.commit(r.clock)
		r.handleEvents()
	}
}

// reportTerminations lets a worker answer a look with ends and nothing that runs.
func (r *rig) reportTerminations(w *worker, ends ...workers.Termination) {
	r.handlePoll(w, workers.PollRequest{Target: r.target(w)}, r.clock, workers.Inventory{Born: 1, Terminations: ends}, nil)
}

func oneStep(count, cpu int) jobs.Step {
	return jobs.Step{Count: count, Resources: jobs.Resources{CPU: cpu, MemoryMB: 10}, Estimate: time.Second}
}

func (r *rig) onlyAttempt(w *worker) *taskAttempt {
	r.t.Helper()
	if len(w.attempts) != 1 {
		r.t.Fatalf("%d attempts on %s", len(w.attempts), w.id())
	}
	for _, found := range w.attempts {
		return found
	}
	return nil
}
