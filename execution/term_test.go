package execution

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"bronzehook/duty"
	"bronzehook/jobs"
	"bronzehook/manifest"
	"bronzehook/store"
	"bronzehook/store/memory"
	"bronzehook/workers"
)

// fakeWorkers notes orders and answers as told.
type fakeWorkers struct {
	mu     sync.Mutex
	starts []workers.Start
	looks  []workers.Look
	paces  map[jobs.Task]int
	err    error
	clock  int64
}

func (f *fakeWorkers) Start(_ context.Context, order workers.Start) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts = append(f.starts, order)
	return f.clock, f.err
}

func (f *fakeWorkers) Stop(context.Context, workers.Target, jobs.Task, int) error { return f.err }

func (f *fakeWorkers) Look(_ context.Context, look workers.Look) (workers.Inventory, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.looks = append(f.looks, look)
	return workers.Inventory{Clock: f.clock, Born: 1}, f.err
}

func (f *fakeWorkers) Pace(_ context.Context, _ workers.Target, task jobs.Task, _, percent int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.paces[task] = percent
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
	testLease = 5 * time.Second
	testQueue = "q"
)

func newRig(t *testing.T, table *memory.Table) *rig {
	t.Helper()
	r := &rig{
		t: t, table: table, client: &fakeWorkers{paces: make(map[jobs.Task]int), clock: 1000},
		clock: time.Hour, today: time.UnixMilli(1_700_000_000_000),
	}
	holder := &manifest.Holder{}
	holder.Offer((&manifest.Manifest{Version: 1, Queues: []manifest.Queue{
		{Name: testQueue, Service: "s", MaxAttempts: 2, Stretch: 2, LatencyTarget: time.Second},
	}}).Index())
	clock := func() time.Duration {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.clock
	}
	candidate := duty.NewCandidate(table, clock, "n", time.Now().UnixNano())
	seen, err := candidate.Observe(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	held, err := candidate.Take(context.Background(), seen)
	if err != nil {
		t.Fatal(err)
	}
	r.Term = NewTerm(Options{
		Table: table, Workers: r.client, Manifest: holder, WorkersTable: "servers",
		ParseEntry: func(store.Row) (workers.Entry, bool) { return workers.Entry{}, false },
		Clock:      clock, Now: func() time.Time { return r.today }, Logger: zerolog.Nop(), LeaseLength: testLease,
		Metrics: NewMetrics(prometheus.NewRegistry()),
	}, held)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	r.ctx, r.began = ctx, r.clock
	return r
}

func (r *rig) advance(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock += d
}

// addWorker adds a worker that has seen the epoch.
func (r *rig) addWorker(id string, cpu int) *worker {
	w := r.workerOf(workers.ID(id))
	w.node.Entry = workers.Entry{
		ID: workers.ID(id), Addr: id + ":1", Service: "s", Capacity: jobs.Resources{CPU: cpu, MemoryMB: 100_000},
	}
	w.listed, w.fenced, w.born = true, true, 1
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

func (r *rig) pass() {
	r.Term.schedule(r.clock)
	r.store()
}

// storeRounds is how many commits after one another a change may need: comparing the public state, the record, the state
// that follows from it.
const storeRounds = 3

func (r *rig) store() {
	for range storeRounds {
		r.records.next, r.renewAt = 0, 0
		for group := range r.states {
			r.states[group].next, r.states[group].laterDue = 0, 0
		}
		r.Term.commit(r.clock)
		r.handleEvents()
	}
}

// lists lets a worker answer a look with ends and nothing that runs.
func (r *rig) lists(w *worker, ends ...workers.End) {
	r.looked(w, workers.Look{Target: r.target(w)}, r.clock, workers.Inventory{Born: 1, Ended: ends}, nil)
}

func oneStep(count, cpu int) jobs.Step {
	return jobs.Step{Count: count, Resources: jobs.Resources{CPU: cpu, MemoryMB: 10}, Estimate: time.Second}
}

func (r *rig) onlyRun(w *worker) *run {
	r.t.Helper()
	if len(w.runs) != 1 {
		r.t.Fatalf("%d attempts on %s", len(w.runs), w.id())
	}
	for _, found := range w.runs {
		return found
	}
	return nil
}

// Guards against an order that a later term knows nothing of.
func TestAttemptIsRecordedBeforeItIsOrdered(t *testing.T) {
	r := newRig(t, memory.New())
	r.addWorker("w", 1000)
	r.submit("a", oneStep(1, 100))
	r.table.SetMode(memory.ModeBusy)
	r.pass()
	if n := r.client.startCount(); n != 0 {
		t.Fatalf("%d orders without a record", n)
	}
	r.table.SetMode(memory.ModeNone)
	r.pass()
	if n := r.client.startCount(); n != 1 {
		t.Fatalf("%d orders after the record", n)
	}
}

// Guards against an end that is forgotten everywhere: the worker keeps it until its meaning is stored.
func TestEndIsStoredBeforeTheWorkerForgetsIt(t *testing.T) {
	r := newRig(t, memory.New())
	w := r.addWorker("w", 1000)
	r.submit("a", oneStep(2, 100))
	r.pass()
	r.table.SetMode(memory.ModeBusy)
	task := jobs.Task{Job: "a"}
	r.looked(w, workers.Look{Target: r.target(w)}, r.clock, workers.Inventory{
		Clock: 2000, Born: 1, Ended: []workers.End{{Number: 1, Task: task, Attempt: 1, Cause: workers.CauseDone}},
	}, nil)
	r.pass()
	if w.seenUpTo != 0 {
		t.Fatal("the worker may forget an end that is not stored")
	}
	r.table.SetMode(memory.ModeNone)
	r.pass()
	if w.seenUpTo != 1 {
		t.Fatal("the end is stored and the worker keeps it")
	}
}

// Guards against a second run of a task whose worker is silent but may still run it.
func TestSilentWorkerKeepsItsTasksUntilTheLeaseHasRunOut(t *testing.T) {
	r := newRig(t, memory.New())
	w := r.addWorker("w", 1000)
	r.submit("a", oneStep(1, 100))
	r.pass()
	granted := r.clock
	r.client.err = &workers.UnreachableError{Worker: w.id(), Detail: "no answer"}
	r.lookFailed(w, r.target(w), r.clock, r.client.err)
	for r.clock < granted+testLease {
		r.lookAt(w, r.clock)
		r.handleEvents()
		r.expire(r.clock)
		if len(w.runs) != 1 {
			t.Fatalf("given up %v after the lease was granted", r.clock-granted)
		}
		r.advance(500 * time.Millisecond)
	}
	r.advance(time.Second)
	r.expire(r.clock)
	if len(w.runs) != 0 {
		t.Error("still waited for after every lease has run out")
	}
	r.client.mu.Lock()
	defer r.client.mu.Unlock()
	for _, look := range r.client.looks {
		if look.LeaseEnd != 0 {
			t.Error("a worker that does not answer was granted a further lease")
		}
	}
}

// Guards against a successor that starts what its predecessor's workers still run, or forgets it.
func TestSuccessorTakesStock(t *testing.T) {
	for name, c := range map[string]struct {
		running bool
		attempt int
	}{
		"the worker runs it":         {true, 1},
		"the worker does not run it": {false, 2},
	} {
		t.Run(name, func(t *testing.T) {
			table := memory.New()
			first := newRig(t, table)
			first.addWorker("w", 1000)
			first.submit("a", oneStep(1, 100))
			first.pass()

			second := newRig(t, table)
			if _, err := second.load(); err != nil {
				t.Fatal(err)
			}
			w := second.addWorker("w", 1000)
			second.pass()
			if second.client.startCount() != 0 {
				t.Fatal("started before the worker was asked")
			}
			inventory := workers.Inventory{Clock: 1000, Born: 1}
			if c.running {
				inventory.Running = []workers.Running{{Task: jobs.Task{Job: "a"}, Attempt: 1, Percent: 10}}
			}
			second.looked(w, workers.Look{Target: second.target(w)}, second.clock, inventory, nil)
			second.pass()
			if got := second.onlyRun(w).attempt; got != c.attempt {
				t.Errorf("attempt %d, want %d", got, c.attempt)
			}
		})
	}
}

// Guards against a count of failures that starts anew with a term.
func TestFailuresOutliveATerm(t *testing.T) {
	table := memory.New()
	first := newRig(t, table)
	w := first.addWorker("w", 1000)
	first.submit("a", oneStep(1, 100))
	first.pass()
	failed := workers.End{Number: 1, Task: jobs.Task{Job: "a"}, Attempt: 1, Cause: workers.CauseFailed}
	first.lists(w, failed)
	first.pass()

	second := newRig(t, table)
	if _, err := second.load(); err != nil {
		t.Fatal(err)
	}
	// The end is listed again, since the first term did not let the worker forget it.
	w = second.addWorker("w", 1000)
	second.lists(w, failed)
	if got := second.findTask(failed.Task).failures; got != 1 {
		t.Errorf("%d failures counted", got)
	}
}

// Guards against a cancelled job that is shown as running again.
func TestCancelWinsOverProgress(t *testing.T) {
	r := newRig(t, memory.New())
	r.addWorker("w", 1000)
	j := r.submit("a", oneStep(1, 100))
	cancelled := jobs.PublicState{State: jobs.StateCancelled, Queue: testQueue}
	if _, err := r.table.Commit(r.ctx, store.Txn{Puts: []store.Put{
		{Key: store.StateKey("a"), Value: jobs.Encode(&cancelled)},
	}}); err != nil {
		t.Fatal(err)
	}
	r.pass()
	r.pass()
	if !j.cancelled {
		t.Error("the duty holder does not know of the cancelling")
	}
	state, err := jobs.Decode[jobs.PublicState]("state", r.table.Value(store.StateKey("a")))
	if err != nil || state.State != jobs.StateCancelled {
		t.Errorf("state %v, %v", state, err)
	}
}

// Guards against a lasting task that waits although there is room, because room is kept for short work.
func TestLastingTaskTakesHeadroomAfterAWhile(t *testing.T) {
	r := newRig(t, memory.New())
	r.addWorker("w", 1000)
	r.urgent.observe(0, 800, r.clock)
	r.short.observe(0, 800, r.clock)
	step := oneStep(1, 900)
	step.LongRunning = true
	j := r.submit("a", step)
	r.pass()
	if j.live != 0 {
		t.Fatal("headroom was not kept")
	}
	r.advance(lastingPatience + time.Millisecond)
	r.pass()
	if j.live != 1 {
		t.Error("a lasting task waits beside room")
	}
}

// Guards against fillers that go on while a serving task stays over its target.
func TestFillersAreHeldWhileATaskIsOverItsTarget(t *testing.T) {
	r := newRig(t, memory.New())
	w := r.addWorker("w", 10_000)
	serving := oneStep(1, 1000)
	serving.LongRunning, serving.LatencyTarget, serving.Image = true, 18*time.Millisecond, "s"
	filler := oneStep(3, 300)
	filler.Filler, filler.Image = true, "f"
	r.submit("a", serving)
	r.submit("b", filler)
	r.pass()
	if len(w.runs) != 4 {
		t.Fatalf("%d attempts", len(w.runs))
	}
	for range 4 {
		inventory := workers.Inventory{Born: 1}
		for key, running := range w.runs {
			usage, percent := 270, 10
			if running.task.step.Serves() {
				usage, percent = 40, 100
			}
			inventory.Running = append(inventory.Running, workers.Running{Task: key.task, Attempt: 1, Percent: percent, Usage: usage})
		}
		r.looked(w, workers.Look{Target: r.target(w)}, r.clock, inventory, nil)
		r.relieve(w, r.clock)
		r.handleEvents()
		r.advance(settleTime)
	}
	held := 0
	r.client.mu.Lock()
	defer r.client.mu.Unlock()
	for _, pace := range r.client.paces {
		if pace == 0 {
			held++
		}
	}
	if held != 3 {
		t.Errorf("%d of 3 fillers are held", held)
	}
}

// Guards against an order for an earlier life of a worker that reaches a later one under the same name: it would let the
// later life forget ends that nobody has seen.
func TestOrdersForAnEarlierLifeAreVoid(t *testing.T) {
	r := newRig(t, memory.New())
	w := r.addWorker("w", 1000)
	r.submit("a", oneStep(2, 100))
	r.pass()
	ended := workers.End{Number: 7, Task: jobs.Task{Job: "a"}, Attempt: 1, Cause: workers.CauseDone}
	r.lists(w, ended)
	r.pass()
	before := r.target(w)
	r.lookFailed(w, before, r.clock, &workers.UnreachableError{Worker: w.id()})
	w.nextLook = 0
	r.look(r.clock)
	r.handleEvents()
	r.client.mu.Lock()
	defer r.client.mu.Unlock()
	last := r.client.looks[len(r.client.looks)-1]
	if last.Epoch <= before.Epoch {
		t.Errorf("the token %d does not exceed that of earlier orders, %d", last.Epoch, before.Epoch)
	}
	if last.SeenUpTo != 0 {
		t.Errorf("the first look after a failure lets the worker forget ends up to %d", last.SeenUpTo)
	}
}

// fakeAdvisor allows one worker.
type fakeAdvisor struct{ allowed workers.ID }

func (f *fakeAdvisor) Advise(context.Context, jobs.Task, []workers.ID) (workers.Advice, error) {
	return workers.Advice{Tickets: map[workers.ID]string{f.allowed: "ticket"}, Valid: 3 * time.Second}, nil
}

// Guards against a start on a worker that the advice does not allow, or without the ticket.
func TestAdviceIsFollowed(t *testing.T) {
	r := newRig(t, memory.New())
	r.opts.Manifest.Offer((&manifest.Manifest{Version: 2, Queues: []manifest.Queue{
		{Name: testQueue, Service: "s", MaxAttempts: 2, Stretch: 2, LatencyTarget: time.Second, Advice: &manifest.Advice{}},
	}}).Index())
	r.opts.Advisor = &fakeAdvisor{allowed: "good"}
	for _, id := range []string{"bad-1", "good", "bad-2"} {
		r.addWorker(id, 1000)
	}
	r.submit("a", oneStep(3, 100))
	r.pass()
	if n := r.client.startCount(); n != 0 {
		t.Fatalf("%d starts before the advice", n)
	}
	r.pass()
	r.client.mu.Lock()
	defer r.client.mu.Unlock()
	if len(r.client.starts) != 3 {
		t.Fatalf("%d starts", len(r.client.starts))
	}
	for _, start := range r.client.starts {
		if start.ID != "good" || start.Ticket != "ticket" {
			t.Errorf("started on %s with ticket %q", start.ID, start.Ticket)
		}
	}
}

// Guards against a job that runs again because it was read from an excerpt older than its end. That happened when the
// store lost its history while jobs ended.
func TestEndedJobFromAnOldExcerptDoesNotRunAgain(t *testing.T) {
	r := newRig(t, memory.New())
	w := r.addWorker("w", 1000)
	j := r.submit("a", oneStep(1, 100))
	excerpt := store.Row{Key: store.JobKey("a"), Value: jobs.Encode(j.spec), Version: j.stateVersion}
	r.pass()
	ended := workers.End{Number: 1, Task: jobs.Task{Job: "a"}, Attempt: 1, Cause: workers.CauseDone}
	r.lists(w, ended)
	r.pass()
	if r.jobs["a"] != nil {
		t.Fatal("the job has not ended")
	}
	r.applyIntake(excerpt)
	r.pass()
	r.pass()
	if n := r.client.startCount(); n != 1 {
		t.Errorf("%d starts", n)
	}
	if len(w.runs) != 0 || r.jobs["a"] != nil {
		t.Errorf("%d attempts, job %v", len(w.runs), r.jobs["a"])
	}
}

// Guards against a lasting task that waits because another of its step, which has not waited as long, was refused.
func TestLastingTasksOfAStepWaitOnTheirOwn(t *testing.T) {
	r := newRig(t, memory.New())
	r.addWorker("w", 1000)
	r.urgent.observe(0, 800, r.clock)
	r.short.observe(0, 800, r.clock)
	step := oneStep(2, 900)
	step.LongRunning = true
	j := r.submit("a", step)
	r.advance(lastingPatience + time.Millisecond)
	j.occurrences[0].steps[0][0].readyAt = r.clock
	r.pass()
	if j.live != 1 {
		t.Error("a lasting task that has waited long enough was not tried")
	}
}

// Guards against a job that never runs because its queue was dropped before a new term read it.
func TestJobOfADroppedQueueStillRuns(t *testing.T) {
	table := memory.New()
	r := newRig(t, table)
	spec := &jobs.Spec{
		ID: "a", Queue: "dropped", Steps: []jobs.Step{oneStep(1, 100)}, Submitted: r.today.UnixMilli(),
		Terms: jobs.Terms{Service: "s", MaxAttempts: 2, Stretch: 2},
	}
	state := jobs.PublicState{State: jobs.StateQueued, Queue: "dropped"}
	version, err := table.Commit(r.ctx, store.Txn{Puts: []store.Put{{Key: store.StateKey("a"), Value: jobs.Encode(&state)}}})
	if err != nil {
		t.Fatal(err)
	}
	r.addWorker("w", 1000)
	r.applyIntake(store.Row{Key: store.JobKey("a"), Value: jobs.Encode(spec), Version: version})
	r.pass()
	if n := r.client.startCount(); n != 1 {
		t.Errorf("%d starts", n)
	}
}

// Guards against states that are kept for ever, and against states that are removed while callers may ask for them.
func TestOldStatesAreTrimmed(t *testing.T) {
	r := newRig(t, memory.New())
	r.opts.Retention = 2 * time.Minute
	for name, c := range map[string]struct {
		state jobs.State
		age   time.Duration
		old   bool
	}{
		"ended long ago":   {jobs.StateSucceeded, time.Hour, true},
		"ended lately":     {jobs.StateSucceeded, 2 * time.Minute, false},
		"running for long": {jobs.StateRunning, time.Hour, false},
	} {
		state := jobs.PublicState{State: c.state, Changed: r.today.Add(-c.age).UnixMilli()}
		row := store.Row{Key: store.StateKey("a"), Value: jobs.Encode(&state), Version: 1}
		if got := len(r.oldStates([]store.Row{row})) == 1; got != c.old {
			t.Errorf("%s: %v", name, got)
		}
	}
	r.forget([]store.Key{store.StateKey("a")})
	state := jobs.PublicState{State: jobs.StateSucceeded}
	if _, err := r.table.Commit(r.ctx, store.Txn{Puts: []store.Put{{Key: store.StateKey("a"), Value: jobs.Encode(&state)}}}); err != nil {
		t.Fatal(err)
	}
	r.renewAt = 0
	r.pass()
	if r.table.Value(store.StateKey("a")) != nil {
		t.Error("the state is still there")
	}
}

// Guards against work that is done again although its worker lists it as done, and against a failure that does not count,
// because the attempt had been given up when the lease of its silent worker ran out. Seed 3001 of the soak.
func TestEndOfAnAttemptThatWasGivenUpCounts(t *testing.T) {
	for name, c := range map[string]struct {
		cause          workers.Cause
		done, failures int
	}{
		"done":   {workers.CauseDone, 1, 0},
		"failed": {workers.CauseFailed, 0, 1},
		"lapsed": {workers.CauseLapsed, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, memory.New())
			w := r.addWorker("w", 1000)
			j := r.submit("a", oneStep(2, 100))
			r.pass()
			r.lookFailed(w, r.target(w), r.clock, &workers.UnreachableError{Worker: w.id()})
			r.advance(2 * testLease)
			r.expire(r.clock)
			if len(w.runs) != 0 {
				t.Fatalf("%d attempts are still waited for", len(w.runs))
			}
			listed := workers.End{Number: 1, Task: jobs.Task{Job: "a"}, Attempt: 1, Cause: c.cause}
			for range 2 {
				// The end is listed until it is confirmed, and counts once.
				inventory := workers.Inventory{Clock: 20_000, Born: 1, Ended: []workers.End{listed}}
				w.listedUpTo = 0
				r.looked(w, workers.Look{Target: r.target(w)}, r.clock, inventory, nil)
			}
			task := j.occurrences[0].steps[0][0]
			if task.done != (c.done == 1) || task.failures != c.failures {
				t.Errorf("done %v, %d failures", task.done, task.failures)
			}
			r.refreshNodes(r.clock)
			r.pass()
			if want := 4 - c.done; r.client.startCount() != want {
				t.Errorf("%d starts, want %d", r.client.startCount(), want)
			}
		})
	}
}

// Guards against a worker that is never asked again: it was silent until its last lease had run out, so that nothing was
// expected of it any more, and its room stayed unused for the rest of the term.
func TestSilentWorkerIsAskedAgainAfterItsLeasesHaveRunOut(t *testing.T) {
	r := newRig(t, memory.New())
	w := r.addWorker("w", 1000)
	r.submit("a", oneStep(1, 100))
	r.pass()
	r.lookFailed(w, r.target(w), r.clock, &workers.UnreachableError{Worker: w.id()})
	r.advance(2 * testLease)
	r.expire(r.clock)
	if len(w.runs) != 0 {
		t.Fatalf("%d attempts are still waited for", len(w.runs))
	}
	r.store()
	r.look(r.clock)
	r.handleEvents()
	r.refreshNodes(r.clock)
	if !w.node.Usable {
		t.Fatal("the worker answers and is not used")
	}
	r.pass()
	if n := r.client.startCount(); n != 2 {
		t.Errorf("%d starts", n)
	}
}
