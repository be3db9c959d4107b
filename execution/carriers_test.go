package execution

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"

	"bronzehook/carrier"
	"bronzehook/jobs"
	"bronzehook/store/memory"
	"bronzehook/workers"
)

// fakeCarriers assigns one carrier after the other.
type fakeCarriers struct {
	names    []string
	assigned map[string]int
	// connecting is whether carriers are needed and not there yet.
	connecting bool
	starts     []workers.Start
	polls      []workers.PollRequest
	// answer handles the response to the last poll.
	answer func(workers.Inventory, error)
}

func (f *fakeCarriers) Begin(carrier.Session) {}
func (f *fakeCarriers) End()                  {}

func (f *fakeCarriers) StartVia(command workers.Start, _ func(int64, error)) {
	f.starts = append(f.starts, command)
}
func (f *fakeCarriers) StopVia(workers.Target, jobs.Task, int, func(error)) {}

func (f *fakeCarriers) PollVia(request workers.PollRequest, done func(workers.Inventory, error)) {
	f.polls = append(f.polls, request)
	f.answer = done
}
func (f *fakeCarriers) ThrottleVia(workers.Target, jobs.Task, int, int, func(error)) {}

func (f *fakeCarriers) Assign(int) string {
	if len(f.names) == 0 {
		return ""
	}
	f.assigned[f.names[0]]++
	return f.names[0]
}

func (f *fakeCarriers) Release(name string) { f.assigned[name]-- }
func (f *fakeCarriers) Connecting() bool    { return f.connecting }

// Guards against orders that a former carrier still sends after the worker was given to another one: the worker refuses
// them only if the fencing token has grown.
func TestFencingTokenGrowsWithTheCarrier(t *testing.T) {
	r := newRig(t, memory.New())
	carriers := &fakeCarriers{names: []string{"a"}, assigned: make(map[string]int)}
	r.opts.Carriers = carriers
	w := r.addWorker("w", 32_000)
	r.submit("j", oneStep(1, 100))
	r.scheduleAndCommit()
	before := r.target(w)
	if before.Via != "a" || len(carriers.starts) != 1 || carriers.starts[0].Via != "a" || r.client.startCount() != 0 {
		t.Fatalf("via %q, starts %+v, %d direct starts", before.Via, carriers.starts, r.client.startCount())
	}
	r.pollWorker(w, r.clock)
	carriers.names = []string{"b"}
	r.reassignCarrier("a")
	after := r.target(w)
	if after.Via != "b" || after.FencingToken <= before.FencingToken {
		t.Errorf("target before %+v, after %+v", before, after)
	}
	if w.fenced || w.polling || carriers.assigned["a"] != 0 || carriers.assigned["b"] != 1 {
		t.Errorf("fenced %v, polling %v, assigned %v", w.fenced, w.polling, carriers.assigned)
	}
	if len(w.attempts) != 1 {
		t.Errorf("%d attempts; what runs has to go on", len(w.attempts))
	}
	// A refusal of the former token by the worker is the expected effect, not the sign of another leader.
	stale := errors.WithStack(&workers.RefusedError{Worker: "w", Reason: workers.ReasonStaleToken})
	r.handlePollFailure(w, before, r.clock, stale)
	if r.failure != nil {
		t.Errorf("the term ended: %v", r.failure)
	}
}

// Guards against the response to a poll through a former carrier that counts after the change, and against a carrier that
// never gets workers which were in use before it was there.
func TestWorkersMoveToCarriers(t *testing.T) {
	r := newRig(t, memory.New())
	carriers := &fakeCarriers{assigned: make(map[string]int)}
	r.opts.Carriers = carriers
	w := r.addWorker("w", 32_000)
	j := r.submit("j", oneStep(1, 100))
	r.scheduleAndCommit()
	if w.carrier != "" {
		t.Fatalf("carrier %q", w.carrier)
	}
	r.pollWorker(w, r.clock)
	round := w.pollRound
	carriers.names = []string{"a"}
	r.advanceClock(rebalanceInterval)
	r.rebalanceCarriers(r.clock)
	if w.carrier != "a" || w.pollRound == round {
		t.Errorf("carrier %q, poll round %d, was %d", w.carrier, w.pollRound, round)
	}
	r.pollWorker(w, r.clock)
	if len(carriers.polls) != 1 || carriers.polls[0].Via != "a" {
		t.Fatalf("polls through carriers: %+v", carriers.polls)
	}
	carriers.answer(workers.Inventory{StartTime: 1, Terminations: []workers.Termination{
		{Number: 1, Task: jobs.Task{Job: "j"}, Attempt: 1, Cause: workers.CauseDone},
	}}, nil)
	if !j.terminal() {
		t.Error("the end reported through the carrier does not count")
	}
}

// Guards against a leader of a large fleet that waits between scheduling cycles although carriers make the calls that the
// pause is for; and against one without carriers that schedules all the time.
func TestPausesOfSchedulingFollowTheCarriers(t *testing.T) {
	r := newRig(t, memory.New())
	carriers := &fakeCarriers{names: []string{"a"}, assigned: make(map[string]int)}
	r.opts.Carriers = carriers
	for _, id := range []string{"v", "w", "x"} {
		r.addWorker(id, 32_000)
	}
	if got := r.scheduleBackoff(); got != carriedBackoffFactor {
		t.Errorf("factor %d with carriers", got)
	}
	carriers.names = nil
	r.reassignCarrier("a")
	if got := r.scheduleBackoff(); got != scheduleBackoffFactor || r.carriedWorkers != 0 {
		t.Errorf("factor %d, %d carried workers without carriers", got, r.carriedWorkers)
	}
}

// Guards against a new leader that calls all workers of a large fleet itself for seconds, although carriers are there: the
// workers that have not answered in its term can change at once, those in use a few at a time.
func TestNewLeaderUsesCarriersAtOnce(t *testing.T) {
	r := newRig(t, memory.New())
	carriers := &fakeCarriers{assigned: make(map[string]int)}
	r.opts.Carriers = carriers
	const fleet = 3 * maxRebalanced
	for n := range 2 * fleet {
		w := r.addWorker(fmt.Sprint("w", n), 32_000)
		w.fenced = n < fleet
	}
	carriers.names = []string{"a"}
	r.advanceClock(rebalanceInterval)
	r.rebalanceCarriers(r.clock)
	inUse, others := 0, 0
	for n, w := range r.active {
		switch {
		case w.carrier != "a":
		case n < fleet:
			inUse++
		default:
			others++
		}
	}
	if inUse != maxRebalanced || others != fleet {
		t.Errorf("%d workers in use and %d others got a carrier", inUse, others)
	}
}

// Guards against a new leader that polls a whole fleet itself in the moment before its carriers are connected, and against
// one that waits for carriers that never come.
func TestNewLeaderWaitsForCarriersForAMoment(t *testing.T) {
	r := newRig(t, memory.New())
	r.opts.Carriers = &fakeCarriers{assigned: make(map[string]int), connecting: true}
	r.addWorker("w", 32_000).fenced = false
	r.loadedAt = r.clock
	r.runFor(maxCarrierWait / 2)
	if n := r.polledWorkers(); n != 0 {
		t.Errorf("%d workers polled before there are carriers", n)
	}
	r.runFor(maxCarrierWait)
	if n := r.polledWorkers(); n != 1 {
		t.Errorf("%d workers polled without carriers", n)
	}
}
