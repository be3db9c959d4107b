package execution

import (
	"testing"
	"time"

	"bronzehook/store/memory"
	"bronzehook/workers"
)

const laterStartTime = testStartTime + 5000

// pollAs lets a worker answer a poll that is sent now as the incarnation with a start time, and list nothing.
func (r *rig) pollAs(w *worker, startTime, clock int64) {
	r.advanceClock(time.Millisecond)
	request := r.pollRequest(w, r.clock)
	r.handlePoll(w, request, r.clock, workers.Inventory{Clock: clock, StartTime: startTime}, nil)
}

// Guards against terminations that count as acknowledged although the poll did not carry the acknowledgement, or reached
// another incarnation.
func TestAcknowledgementCountsIfItWasSent(t *testing.T) {
	for name, c := range map[string]struct {
		startTime, acked, want int64
	}{
		"sent":                             {testStartTime, 3, 3},
		"left out":                         {testStartTime, 0, 0},
		"answered by another incarnation":  {laterStartTime, 0, 0},
		"for an incarnation that was left": {laterStartTime, 3, 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, memory.New())
			w := r.addWorker("w", 1000)
			w.storedUpTo, w.appliedUpTo = 3, 3
			request := r.pollRequest(w, r.clock)
			if request.AckUpTo != 3 || request.StartTime != testStartTime {
				t.Fatalf("acknowledges up to %d of the incarnation %d", request.AckUpTo, request.StartTime)
			}
			r.handlePoll(w, request, r.clock, workers.Inventory{StartTime: c.startTime, AckedUpTo: c.acked}, nil)
			if w.ackedUpTo != c.want {
				t.Errorf("acknowledged up to %d, want %d", w.ackedUpTo, c.want)
			}
		})
	}
}

// Guards against a task that runs twice: one of its start commands was still open when the worker started again under its
// ID, and the later incarnation carried it out after it had listed nothing.
func TestOpenStartMayReachLaterIncarnation(t *testing.T) {
	r, client, w := newDelayedRig(t)
	r.openStart(client)
	r.hedgeOverdue()
	if a := r.onlyAttempt(w); a.phase != phaseRunning || a.startsPending != 1 {
		t.Fatalf("phase %d, %d start commands open", a.phase, a.startsPending)
	}
	r.pollAs(w, laterStartTime, 10)
	if len(w.attempts) != 1 {
		t.Fatal("lost while a start command is open")
	}
	client.fail()
	r.handleEvents()
	r.pollAs(w, laterStartTime, 20)
	if len(w.attempts) != 0 {
		t.Error("not lost although no start command is open")
	}
}

// Guards against lease expiries by the clock of an earlier incarnation, which the present one takes for a far longer lease:
// the response to a start from before the restart arrived after that to a poll.
func TestClockOfEarlierIncarnationIsIgnored(t *testing.T) {
	r, client, w := newDelayedRig(t)
	client.fakeWorkers.clock = 500_000
	r.openStart(client)
	r.pollAs(w, laterStartTime, 10)
	client.respond()
	r.handleEvents()
	if w.clock != 10 {
		t.Errorf("clock %d, the present incarnation reported 10", w.clock)
	}
}

// Guards against a second attempt while the first one runs: a start by the clock of an earlier incarnation gave the worker a
// lease up to its own limit, and it became unresponsive.
func TestLeaseByForeignClockIsWaitedOut(t *testing.T) {
	const limit = 2 * testAttemptLease
	r := newRig(t, memory.New())
	r.opts.WorkerLeaseLimit = limit
	w := r.addWorker("w", 1000)
	r.submit("a", oneStep(1, 100))
	r.scheduleAndCommit()
	a := r.onlyAttempt(w)
	r.advanceClock(time.Millisecond)
	inventory := workers.Inventory{Clock: 10, StartTime: laterStartTime, Running: []workers.Running{{Task: a.task.id, Attempt: a.number}}}
	r.handlePoll(w, r.pollRequest(w, r.clock), r.clock, inventory, nil)
	answered := r.clock
	r.handlePollFailure(w, r.target(w), r.clock, &workers.UnreachableError{Worker: w.id()})
	r.advanceClock(limit - time.Millisecond)
	r.expireAttempts(r.clock)
	if len(w.attempts) != 1 {
		t.Fatalf("lost %v after the worker has answered", r.clock-answered)
	}
	r.advanceClock(limit)
	r.expireAttempts(r.clock)
	if len(w.attempts) != 0 {
		t.Error("not lost after every lease has expired")
	}
}

// Guards against attempts that are taken for lost because another process answers at an address that their worker had.
func TestRefusalAtFormerAddressLosesNothing(t *testing.T) {
	for _, command := range []string{"start", "stop"} {
		t.Run(command, func(t *testing.T) {
			r := newRig(t, memory.New())
			w := r.addWorker("w", 1000)
			r.submit("a", oneStep(2, 100))
			r.scheduleAndCommit()
			former := r.target(w)
			former.Addr = "former:1"
			refused := &workers.RefusedError{Worker: w.id(), Reason: workers.ReasonIncarnation}
			for _, a := range w.attempts {
				if command == "stop" {
					r.handleStop(a, former, r.clock, refused)
					break
				}
				a.phase, a.startsSent, a.startsPending = phaseSent, 2, 1
				r.handleStart(a, former, r.clock, 0, refused)
				break
			}
			if len(w.attempts) != 2 || !w.registered {
				t.Errorf("%d attempts, registered %v", len(w.attempts), w.registered)
			}
		})
	}
}

// Guards against a start by the clock of one incarnation that says nothing on which incarnation it is for.
func TestStartNamesItsIncarnation(t *testing.T) {
	r := newRig(t, memory.New())
	w := r.addWorker("w", 1000)
	r.pollAs(w, laterStartTime, 10)
	r.pollAs(w, laterStartTime, 11)
	r.refreshNodes(r.clock)
	r.submit("a", oneStep(1, 100))
	r.scheduleAndCommit()
	if n := r.client.startCount(); n != 1 || r.client.starts[0].StartTime != laterStartTime {
		t.Errorf("%d starts, %+v", n, r.client.starts)
	}
}

// Guards against a task that waits, and a worker that gets more starts, after a start found its incarnation gone.
func TestStartForIncarnationThatIsGoneIsPlacedAgain(t *testing.T) {
	r := newRig(t, memory.New())
	w := r.addWorker("w", 1000)
	r.client.err = &workers.RefusedError{Worker: w.id(), Reason: workers.ReasonRestarted}
	r.submit("a", oneStep(1, 100))
	r.scheduleAndCommit()
	if len(w.attempts) != 0 || w.fenced || w.polling || w.nextPoll != r.clock {
		t.Fatalf("%d attempts, fenced %v, next poll in %v", len(w.attempts), w.fenced, w.nextPoll-r.clock)
	}
	r.client.err = nil
	other := r.addWorker("other", 1000)
	r.scheduleAndCommit()
	if a := r.onlyAttempt(other); a.phase != phaseRunning || a.number != 2 {
		t.Errorf("attempt %d in phase %d", a.number, a.phase)
	}
}

// Guards against a task that waits for the response to a start command that went to an incarnation that is gone.
func TestOpenStartForIncarnationThatIsGoneDelaysNothing(t *testing.T) {
	r, client, w := newDelayedRig(t)
	r.openStart(client)
	r.client.err = &workers.RefusedError{Worker: w.id(), Reason: workers.ReasonRestarted}
	r.hedgeOverdue()
	if len(w.attempts) != 0 {
		t.Error("not lost although the hedged start has shown that the incarnation is gone")
	}
}

// Guards against a start on a later incarnation, with other capacity or labels, than the one the task was placed on.
func TestAttemptStartsOnTheIncarnationItWasPlacedOn(t *testing.T) {
	for name, hedged := range map[string]bool{"first start": false, "hedged start": true} {
		t.Run(name, func(t *testing.T) {
			r, client, w := newDelayedRig(t)
			r.submit("a", oneStep(1, 100))
			starts := 0
			if hedged {
				client.setDelaying(true)
				r.scheduleAndCommit()
				client.setDelaying(false)
				starts = r.client.startCount()
			} else {
				r.Term.schedule(r.clock)
			}
			r.pollAs(w, laterStartTime, 10)
			r.advanceClock(hedgeAfter)
			r.retryCommands(r.clock)
			r.commitAll()
			if n := r.client.startCount() - starts; n != 0 {
				t.Errorf("%d starts on the later incarnation", n)
			}
			if len(w.attempts) != 0 {
				t.Error("not lost")
			}
		})
	}
}

// Guards against a start that arrives after its lease expired because the idle worker's clock was read long ago.
func TestClockOfIdleWorkerIsReadAgain(t *testing.T) {
	r := newRig(t, memory.New())
	w := r.addWorker("w", 1000)
	r.Term.poll(r.clock)
	r.handleEvents()
	if n := len(r.client.polls); n != 0 {
		t.Fatalf("%d polls of an idle worker", n)
	}
	r.advanceClock(clockReadInterval + time.Millisecond)
	r.commitAll()
	r.Term.poll(r.clock)
	r.handleEvents()
	if n := len(r.client.polls); n != 1 || w.clockAt != r.clock {
		t.Errorf("%d polls, clock read %v ago", n, r.clock-w.clockAt)
	}
}

// Guards against a worker that counts as hedged, and gets no tasks, after a hedged start that was not sent.
func TestHedgeThatIsNotSentLeavesWorkerUsable(t *testing.T) {
	r, client, w := newDelayedRig(t)
	r.openStart(client)
	for range 2 {
		// The second poll has the raised fencing token.
		r.pollAs(w, laterStartTime, 10)
	}
	r.hedgeOverdue()
	r.refreshNodes(r.clock)
	if len(w.attempts) != 0 || !w.node.Usable {
		t.Errorf("%d attempts, usable %v", len(w.attempts), w.node.Usable)
	}
}
