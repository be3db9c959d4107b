package execution

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"bronzehook/jobs"
	"bronzehook/store/memory"
	"bronzehook/workers"
)

// delayedWorkers holds back the answers to calls until they are released.
type delayedWorkers struct {
	*fakeWorkers
	mu       sync.Mutex
	delayed  []chan error
	delaying bool
	running  []workers.Running
}

func (h *delayedWorkers) wait() error {
	h.mu.Lock()
	if !h.delaying {
		h.mu.Unlock()
		return nil
	}
	answer := make(chan error, 1)
	h.delayed = append(h.delayed, answer)
	h.mu.Unlock()
	return <-answer
}

func (h *delayedWorkers) Start(ctx context.Context, order workers.Start) (int64, error) {
	clock, err := h.fakeWorkers.Start(ctx, order)
	if held := h.wait(); held != nil {
		return 0, held
	}
	return clock, err
}

func (h *delayedWorkers) Poll(ctx context.Context, look workers.PollRequest) (workers.Inventory, error) {
	inventory, err := h.fakeWorkers.Poll(ctx, look)
	if held := h.wait(); held != nil {
		return workers.Inventory{}, held
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	inventory.Running = h.running
	return inventory, err
}

func (h *delayedWorkers) setDelaying(on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.delaying = on
}

// respondWith lets looks be answered from now on.
func (h *delayedWorkers) respondWith(running ...workers.Running) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.delaying, h.running = false, running
}

// answer answers the oldest call that is held back.
func (h *delayedWorkers) answer() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.delayed[0] <- nil
	h.delayed = h.delayed[1:]
}

// fail answers the oldest call that is held back with a failure.
func (h *delayedWorkers) fail() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.delayed[0] <- errors.WithStack(&workers.UnreachableError{Worker: "w", Detail: "timeout"})
	h.delayed = h.delayed[1:]
}

func newDelayedRig(t *testing.T) (*rig, *delayedWorkers, *worker) {
	r := newRig(t, memory.New())
	held := &delayedWorkers{fakeWorkers: r.client}
	r.opts.Workers = held
	t.Cleanup(func() {
		held.mu.Lock()
		defer held.mu.Unlock()
		for _, answer := range held.delayed {
			close(answer)
		}
	})
	return r, held, r.addWorker("w", 1000)
}

// Guards against a task that waits for the time-out of an order whose answer, or which itself, got lost.
func TestOverdueStartIsHedged(t *testing.T) {
	r, held, w := newDelayedRig(t)
	r.submit("a", oneStep(1, 100))
	held.setDelaying(true)
	r.scheduleAndCommit()
	held.setDelaying(false)
	r.advanceClock(150 * time.Millisecond)
	r.retryCommands(r.clock)
	r.handleEvents()
	if n := r.client.startCount(); n != 1 {
		t.Fatalf("%d orders before the answer is overdue", n)
	}
	r.advanceClock(100 * time.Millisecond)
	r.retryCommands(r.clock)
	r.handleEvents()
	if n := r.client.startCount(); n != 2 {
		t.Fatalf("%d orders once the answer is overdue", n)
	}
	if got := r.onlyAttempt(w).phase; got != phaseRunning {
		t.Errorf("phase %d after the repeated order was answered", got)
	}
	held.fail()
	r.handleEvents()
	if run := r.onlyAttempt(w); run.phase != phaseRunning || run.stopping {
		t.Error("the failure of the first order ends an attempt that runs")
	}
}

// Guards against an end that is learnt seconds late because the answer that told of it got lost, and against a worker that is
// taken for silent although it answers.
func TestOverduePollIsHedged(t *testing.T) {
	r, held, w := newDelayedRig(t)
	r.submit("a", oneStep(1, 100))
	r.scheduleAndCommit()
	life := w.incarnation
	held.setDelaying(true)
	r.poll(r.clock)
	r.handleEvents()
	held.respondWith(workers.Running{Task: jobs.Task{Job: "a"}, Attempt: 1, Percent: 40})
	r.advanceClock(pollWait + 250*time.Millisecond)
	if _, err := r.leader.Commit(r.ctx, emptyRenewal); err != nil {
		t.Fatal(err)
	}
	r.poll(r.clock)
	r.refreshNodes(r.clock)
	if w.node.Usable {
		t.Error("a worker whose answer is overdue gets work")
	}
	r.handleEvents()
	r.refreshNodes(r.clock)
	if got := r.onlyAttempt(w).progress; got != 40 || !w.node.Usable {
		t.Fatalf("percent %d, usable %v after the repeated look", got, w.node.Usable)
	}
	held.fail()
	r.handleEvents()
	if w.pollFailures != 0 || w.incarnation != life {
		t.Error("the worker is taken for silent although it has answered since")
	}
}

// Guards against a worker that is looked at twice as often from then on, because both answers of a repeated look lead to a new one.
func TestHedgedPollLeadsToOneNextPoll(t *testing.T) {
	r, held, w := newDelayedRig(t)
	r.submit("a", oneStep(1, 100))
	r.scheduleAndCommit()
	held.setDelaying(true)
	r.poll(r.clock)
	r.handleEvents()
	r.advanceClock(pollWait + 250*time.Millisecond)
	if _, err := r.leader.Commit(r.ctx, emptyRenewal); err != nil {
		t.Fatal(err)
	}
	r.poll(r.clock)
	r.handleEvents()
	held.answer()
	r.handleEvents()
	r.poll(r.clock)
	r.handleEvents()
	held.answer()
	r.handleEvents()
	if !w.polling {
		t.Error("the second answer of a repeated look ends the look that followed the first")
	}
}

// Guards against short looks at all workers for as long as two of them are gone.
func TestLongUnresponsiveWorkersAreNotLostResponses(t *testing.T) {
	r := newRig(t, memory.New())
	gone := []*worker{r.addWorker("x", 1000), r.addWorker("y", 1000)}
	failure := &workers.UnreachableError{Worker: "x", Detail: "timeout"}
	for _, w := range gone {
		r.handlePollFailure(w, r.target(w), r.clock, failure)
	}
	r.advanceClock(lostResponseWindow + time.Second)
	for _, w := range gone {
		r.handlePollFailure(w, r.target(w), r.clock, failure)
	}
	if r.lostResponses.many(r.clock) {
		t.Error("workers that have not answered for long count as answers that get lost")
	}
}

// Guards against an old answer that arrives late and says that a newer attempt is not there.
func TestOutdatedInventoryIsIgnored(t *testing.T) {
	r := newRig(t, memory.New())
	w := r.addWorker("w", 1000)
	old := r.clock
	r.advanceClock(time.Second)
	r.submit("a", oneStep(1, 100))
	r.scheduleAndCommit()
	r.onlyAttempt(w).phase, r.onlyAttempt(w).confirmed = phaseInherited, 0
	running := []workers.Running{{Task: jobs.Task{Job: "a"}, Attempt: 1, Percent: 40}}
	r.handlePoll(w, workers.PollRequest{Target: r.target(w)}, r.clock, workers.Inventory{Born: 1, Running: running}, nil)
	r.onlyAttempt(w).phase = phaseInherited
	r.handlePoll(w, workers.PollRequest{Target: r.target(w)}, old, workers.Inventory{Born: 1}, nil)
	if len(w.attempts) != 1 {
		t.Error("the attempt was given up for an inventory from before it")
	}
}

// Guards against ends that are learnt late while answers get lost in general, and against many short looks without need.
func TestPollWaitIsShortWhileResponsesAreLost(t *testing.T) {
	r := newRig(t, memory.New())
	w := r.addWorker("w", 1000)
	r.submit("a", oneStep(1, 100))
	r.scheduleAndCommit()
	for _, c := range []struct {
		lost []workers.ID
		want time.Duration
	}{
		{nil, pollWait}, {[]workers.ID{"x"}, pollWait}, {[]workers.ID{"x", "x"}, pollWait}, {[]workers.ID{"x", "y"}, lossyPollWait},
	} {
		clear(r.lostResponses)
		for _, id := range c.lost {
			r.lostResponses.note(id, r.clock)
		}
		if got := r.pollWaitFor(w, r.clock); got != c.want {
			t.Errorf("lost %v: looks wait %v, want %v", c.lost, got, c.want)
		}
	}
	r.advanceClock(lostResponseWindow + time.Millisecond)
	if got := r.pollWaitFor(w, r.clock); got != pollWait {
		t.Errorf("looks wait %v long after", got)
	}
}

// Guards against a holder that is slow itself and doubles its calls for that reason.
func TestHedgedCallsAreRateLimited(t *testing.T) {
	var b hedgeBudget
	taken := 0
	for range 1000 {
		if b.take(time.Hour) {
			taken++
		}
	}
	if taken != hedgesPerSecond || !b.take(time.Hour+time.Second) {
		t.Errorf("%d of 1000 calls repeated in a second", taken)
	}
}
