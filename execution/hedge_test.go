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

// heldWorkers holds back the answers to calls until they are released.
type heldWorkers struct {
	*fakeWorkers
	mu       sync.Mutex
	held     []chan error
	holding  bool
	listings []workers.Running
}

func (h *heldWorkers) wait() error {
	h.mu.Lock()
	if !h.holding {
		h.mu.Unlock()
		return nil
	}
	answer := make(chan error, 1)
	h.held = append(h.held, answer)
	h.mu.Unlock()
	return <-answer
}

func (h *heldWorkers) Start(ctx context.Context, order workers.Start) (int64, error) {
	clock, err := h.fakeWorkers.Start(ctx, order)
	if held := h.wait(); held != nil {
		return 0, held
	}
	return clock, err
}

func (h *heldWorkers) Poll(ctx context.Context, look workers.PollRequest) (workers.Inventory, error) {
	inventory, err := h.fakeWorkers.Poll(ctx, look)
	if held := h.wait(); held != nil {
		return workers.Inventory{}, held
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	inventory.Running = h.listings
	return inventory, err
}

func (h *heldWorkers) hold(on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holding = on
}

// answerWith lets looks be answered from now on.
func (h *heldWorkers) answerWith(running ...workers.Running) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holding, h.listings = false, running
}

// answer answers the oldest call that is held back.
func (h *heldWorkers) answer() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held[0] <- nil
	h.held = h.held[1:]
}

// fail answers the oldest call that is held back with a failure.
func (h *heldWorkers) fail() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held[0] <- errors.WithStack(&workers.UnreachableError{Worker: "w", Detail: "timeout"})
	h.held = h.held[1:]
}

func newHeldRig(t *testing.T) (*rig, *heldWorkers, *worker) {
	r := newRig(t, memory.New())
	held := &heldWorkers{fakeWorkers: r.client}
	r.opts.Workers = held
	t.Cleanup(func() {
		held.mu.Lock()
		defer held.mu.Unlock()
		for _, answer := range held.held {
			close(answer)
		}
	})
	return r, held, r.addWorker("w", 1000)
}

// Guards against a task that waits for the time-out of an order whose answer, or which itself, got lost.
func TestOverdueOrderIsRepeated(t *testing.T) {
	r, held, w := newHeldRig(t)
	r.submit("a", oneStep(1, 100))
	held.hold(true)
	r.pass()
	held.hold(false)
	r.advance(150 * time.Millisecond)
	r.resend(r.clock)
	r.handleEvents()
	if n := r.client.startCount(); n != 1 {
		t.Fatalf("%d orders before the answer is overdue", n)
	}
	r.advance(100 * time.Millisecond)
	r.resend(r.clock)
	r.handleEvents()
	if n := r.client.startCount(); n != 2 {
		t.Fatalf("%d orders once the answer is overdue", n)
	}
	if got := r.onlyRun(w).phase; got != phaseRunning {
		t.Errorf("phase %d after the repeated order was answered", got)
	}
	held.fail()
	r.handleEvents()
	if run := r.onlyRun(w); run.phase != phaseRunning || run.stopping {
		t.Error("the failure of the first order ends an attempt that runs")
	}
}

// Guards against an end that is learnt seconds late because the answer that told of it got lost, and against a worker that is
// taken for silent although it answers.
func TestOverdueLookIsRepeated(t *testing.T) {
	r, held, w := newHeldRig(t)
	r.submit("a", oneStep(1, 100))
	r.pass()
	life := w.life
	held.hold(true)
	r.look(r.clock)
	r.handleEvents()
	held.answerWith(workers.Running{Task: jobs.Task{Job: "a"}, Attempt: 1, Percent: 40})
	r.advance(lookWait + 250*time.Millisecond)
	if _, err := r.holder.Commit(r.ctx, memoryRenewal); err != nil {
		t.Fatal(err)
	}
	r.look(r.clock)
	r.refreshNodes(r.clock)
	if w.node.Usable {
		t.Error("a worker whose answer is overdue gets work")
	}
	r.handleEvents()
	r.refreshNodes(r.clock)
	if got := r.onlyRun(w).percent; got != 40 || !w.node.Usable {
		t.Fatalf("percent %d, usable %v after the repeated look", got, w.node.Usable)
	}
	held.fail()
	r.handleEvents()
	if w.lookFailures != 0 || w.life != life {
		t.Error("the worker is taken for silent although it has answered since")
	}
}

// Guards against a worker that is looked at twice as often from then on, because both answers of a repeated look lead to a new one.
func TestRepeatedLookLeadsToOneNewLook(t *testing.T) {
	r, held, w := newHeldRig(t)
	r.submit("a", oneStep(1, 100))
	r.pass()
	held.hold(true)
	r.look(r.clock)
	r.handleEvents()
	r.advance(lookWait + 250*time.Millisecond)
	if _, err := r.holder.Commit(r.ctx, memoryRenewal); err != nil {
		t.Fatal(err)
	}
	r.look(r.clock)
	r.handleEvents()
	held.answer()
	r.handleEvents()
	r.look(r.clock)
	r.handleEvents()
	held.answer()
	r.handleEvents()
	if !w.looking {
		t.Error("the second answer of a repeated look ends the look that followed the first")
	}
}

// Guards against short looks at all workers for as long as two of them are gone.
func TestWorkersThatAreGoneAreNoLostAnswers(t *testing.T) {
	r := newRig(t, memory.New())
	gone := []*worker{r.addWorker("x", 1000), r.addWorker("y", 1000)}
	failure := &workers.UnreachableError{Worker: "x", Detail: "timeout"}
	for _, w := range gone {
		r.lookFailed(w, r.target(w), r.clock, failure)
	}
	r.advance(lossMemory + time.Second)
	for _, w := range gone {
		r.lookFailed(w, r.target(w), r.clock, failure)
	}
	if r.losses.many(r.clock) {
		t.Error("workers that have not answered for long count as answers that get lost")
	}
}

// Guards against an old answer that arrives late and says that a newer attempt is not there.
func TestOlderInventoryIsLeftOut(t *testing.T) {
	r := newRig(t, memory.New())
	w := r.addWorker("w", 1000)
	old := r.clock
	r.advance(time.Second)
	r.submit("a", oneStep(1, 100))
	r.pass()
	r.onlyRun(w).phase, r.onlyRun(w).confirmed = phaseInherited, 0
	running := []workers.Running{{Task: jobs.Task{Job: "a"}, Attempt: 1, Percent: 40}}
	r.looked(w, workers.PollRequest{Target: r.target(w)}, r.clock, workers.Inventory{Born: 1, Running: running}, nil)
	r.onlyRun(w).phase = phaseInherited
	r.looked(w, workers.PollRequest{Target: r.target(w)}, old, workers.Inventory{Born: 1}, nil)
	if len(w.runs) != 1 {
		t.Error("the attempt was given up for an inventory from before it")
	}
}

// Guards against ends that are learnt late while answers get lost in general, and against many short looks without need.
func TestLooksAreShortWhileAnswersGetLost(t *testing.T) {
	r := newRig(t, memory.New())
	w := r.addWorker("w", 1000)
	r.submit("a", oneStep(1, 100))
	r.pass()
	for _, c := range []struct {
		lost []workers.ID
		want time.Duration
	}{
		{nil, lookWait}, {[]workers.ID{"x"}, lookWait}, {[]workers.ID{"x", "x"}, lookWait}, {[]workers.ID{"x", "y"}, lossyLookWait},
	} {
		clear(r.losses)
		for _, id := range c.lost {
			r.losses.note(id, r.clock)
		}
		if got := r.lookWait(w, r.clock); got != c.want {
			t.Errorf("lost %v: looks wait %v, want %v", c.lost, got, c.want)
		}
	}
	r.advance(lossMemory + time.Millisecond)
	if got := r.lookWait(w, r.clock); got != lookWait {
		t.Errorf("looks wait %v long after", got)
	}
}

// Guards against a holder that is slow itself and doubles its calls for that reason.
func TestRepeatedCallsAreBounded(t *testing.T) {
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
