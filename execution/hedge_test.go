package execution

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"bronzehook/jobs"
	"bronzehook/overdue"
	"bronzehook/store/memory"
	"bronzehook/workers"
)

// delayedWorkers delays the responses to calls until the test releases them.
type delayedWorkers struct {
	*fakeWorkers
	mu       sync.Mutex
	delayed  []chan error
	delaying bool
	running  []workers.Running
}

func (d *delayedWorkers) wait() error {
	d.mu.Lock()
	if !d.delaying {
		d.mu.Unlock()
		return nil
	}
	response := make(chan error, 1)
	d.delayed = append(d.delayed, response)
	d.mu.Unlock()
	return <-response
}

func (d *delayedWorkers) Start(ctx context.Context, start workers.Start) (int64, error) {
	clock, err := d.fakeWorkers.Start(ctx, start)
	if delayErr := d.wait(); delayErr != nil {
		return 0, delayErr
	}
	return clock, err
}

func (d *delayedWorkers) Poll(ctx context.Context, request workers.PollRequest) (workers.Inventory, error) {
	inventory, err := d.fakeWorkers.Poll(ctx, request)
	if delayErr := d.wait(); delayErr != nil {
		return workers.Inventory{}, delayErr
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	inventory.Running = d.running
	return inventory, err
}

func (d *delayedWorkers) setDelaying(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delaying = on
}

// respondWith ends the delay and makes later polls report the given attempts as running.
func (d *delayedWorkers) respondWith(running ...workers.Running) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delaying, d.running = false, running
}

// respond completes the oldest delayed call.
func (d *delayedWorkers) respond() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delayed[0] <- nil
	d.delayed = d.delayed[1:]
}

// fail makes the oldest delayed call time out.
func (d *delayedWorkers) fail() { d.end(&workers.UnreachableError{Worker: "w", Detail: "timeout"}) }

// refuse refuses the oldest delayed call.
func (d *delayedWorkers) refuse(reason workers.Reason) {
	d.end(&workers.RefusedError{Worker: "w", Reason: reason})
}

// end ends the oldest delayed call with an error.
func (d *delayedWorkers) end(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delayed[0] <- errors.WithStack(err)
	d.delayed = d.delayed[1:]
}

func newDelayedRig(t *testing.T) (*rig, *delayedWorkers, *worker) {
	r := newRig(t, memory.New())
	client := &delayedWorkers{fakeWorkers: r.client}
	r.opts.Workers = client
	t.Cleanup(func() {
		client.mu.Lock()
		defer client.mu.Unlock()
		for _, response := range client.delayed {
			close(response)
		}
	})
	return r, client, r.addWorker("w", 1000)
}

// openStart submits a job of one task whose start command gets no response yet.
func (r *rig) openStart(client *delayedWorkers) {
	r.submit("a", oneStep(1, 100))
	client.setDelaying(true)
	r.scheduleAndCommit()
	client.setDelaying(false)
}

// hedgeOverdue lets the open start commands become overdue, so that they are sent a second time.
func (r *rig) hedgeOverdue() {
	r.advanceClock(hedgeAfter)
	r.retryCommands(r.clock)
	r.handleEvents()
}

// Guards against a task that waits for the time-out of a start command although the command or its response was lost.
func TestOverdueStartIsHedged(t *testing.T) {
	r, client, w := newDelayedRig(t)
	r.submit("a", oneStep(1, 100))
	client.setDelaying(true)
	r.scheduleAndCommit()
	client.setDelaying(false)
	r.advanceClock(150 * time.Millisecond)
	r.retryCommands(r.clock)
	r.handleEvents()
	if n := r.client.startCount(); n != 1 {
		t.Fatalf("%d start commands before the response is overdue", n)
	}
	r.advanceClock(100 * time.Millisecond)
	r.retryCommands(r.clock)
	r.handleEvents()
	if n := r.client.startCount(); n != 2 {
		t.Fatalf("%d start commands once the response is overdue", n)
	}
	if got := r.onlyAttempt(w).phase; got != phaseRunning {
		t.Errorf("phase %d after the response to the hedged start command", got)
	}
	client.fail()
	r.handleEvents()
	if attempt := r.onlyAttempt(w); attempt.phase != phaseRunning || attempt.stopping {
		t.Error("the failure of the first start command stops a running attempt")
	}
}

// Guards against a termination that is handled seconds late because the response that reported it was lost, and
// against a worker that counts as unresponsive although it answers.
func TestOverduePollIsHedged(t *testing.T) {
	r, client, w := newDelayedRig(t)
	r.submit("a", oneStep(1, 100))
	r.scheduleAndCommit()
	incarnation := w.incarnation
	client.setDelaying(true)
	r.poll(r.clock)
	r.handleEvents()
	client.respondWith(workers.Running{Task: jobs.Task{Job: "a"}, Attempt: 1, Percent: 40})
	r.advanceClock(pollWait + 250*time.Millisecond)
	if _, err := r.leader.Commit(r.ctx, emptyRenewal); err != nil {
		t.Fatal(err)
	}
	r.poll(r.clock)
	r.refreshNodes(r.clock)
	if w.node.Usable {
		t.Error("a worker with an overdue response gets work")
	}
	r.handleEvents()
	r.refreshNodes(r.clock)
	if got := r.onlyAttempt(w).progress; got != 40 || !w.node.Usable {
		t.Fatalf("percent %d, usable %v after the hedged poll", got, w.node.Usable)
	}
	client.fail()
	r.handleEvents()
	if w.pollFailures != 0 || w.incarnation != incarnation {
		t.Error("the worker counts as unresponsive although it has answered since")
	}
}

// Guards against a worker that is polled twice as often from then on, because both responses of a hedged poll lead to
// a next poll.
func TestHedgedPollLeadsToOneNextPoll(t *testing.T) {
	r, client, w := newDelayedRig(t)
	r.submit("a", oneStep(1, 100))
	r.scheduleAndCommit()
	client.setDelaying(true)
	r.poll(r.clock)
	r.handleEvents()
	r.advanceClock(pollWait + 250*time.Millisecond)
	if _, err := r.leader.Commit(r.ctx, emptyRenewal); err != nil {
		t.Fatal(err)
	}
	r.poll(r.clock)
	r.handleEvents()
	client.respond()
	r.handleEvents()
	r.poll(r.clock)
	r.handleEvents()
	client.respond()
	r.handleEvents()
	if !w.polling {
		t.Error("the second response of a hedged poll ends the poll that followed the first response")
	}
}

// Guards against short poll waits on all workers for as long as two of them are unresponsive.
func TestLongUnresponsiveWorkersDoNotShortenPollWaits(t *testing.T) {
	r := newRig(t, memory.New())
	unresponsive := []*worker{r.addWorker("x", 1000), r.addWorker("y", 1000)}
	failure := &workers.UnreachableError{Worker: "x", Detail: "timeout"}
	for _, w := range unresponsive {
		r.handlePollFailure(w, r.target(w), r.clock, failure)
	}
	r.advanceClock(lostResponseWindow + time.Second)
	for _, w := range unresponsive {
		r.handlePollFailure(w, r.target(w), r.clock, failure)
	}
	if r.lostResponses.widespread(r.clock) {
		t.Error("workers that have been unresponsive for long count as lost responses")
	}
}

// Guards against an attempt that is marked as lost because a response to a poll from before its start arrives late.
func TestOutdatedInventoryIsIgnored(t *testing.T) {
	r := newRig(t, memory.New())
	w := r.addWorker("w", 1000)
	earlier := r.clock
	r.advanceClock(time.Second)
	r.submit("a", oneStep(1, 100))
	r.scheduleAndCommit()
	r.onlyAttempt(w).phase, r.onlyAttempt(w).confirmedAt = phaseInherited, 0
	running := []workers.Running{{Task: jobs.Task{Job: "a"}, Attempt: 1, Percent: 40}}
	r.handlePoll(w, workers.PollRequest{Target: r.target(w)}, r.clock, workers.Inventory{StartTime: 1, Running: running}, nil)
	r.onlyAttempt(w).phase = phaseInherited
	r.handlePoll(w, workers.PollRequest{Target: r.target(w)}, earlier, workers.Inventory{StartTime: 1}, nil)
	if len(w.attempts) != 1 {
		t.Error("the attempt was marked as lost because of an inventory that is older than it")
	}
}

// Guards against terminations that are handled late while responses of several workers are lost, and against short poll
// waits while none or those of one worker are.
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
			t.Errorf("lost %v: poll wait %v, want %v", c.lost, got, c.want)
		}
	}
	r.advanceClock(lostResponseWindow + time.Millisecond)
	if got := r.pollWaitFor(w, r.clock); got != pollWait {
		t.Errorf("poll wait %v long after the losses", got)
	}
}

// Guards against a slow leader that doubles its calls because all responses seem overdue to it.
func TestHedgedCallsAreRateLimited(t *testing.T) {
	var b overdue.Budget
	taken := 0
	for range 1000 {
		if b.Take(time.Hour) {
			taken++
		}
	}
	if taken != overdue.BudgetPerSecond || !b.Take(time.Hour+time.Second) {
		t.Errorf("%d of 1000 calls hedged in one second", taken)
	}
}
