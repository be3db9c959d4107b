package execution

import (
	"context"
	"testing"
	"time"

	"bronzehook/jobs"
	"bronzehook/manifest"
	"bronzehook/store/memory"
	"bronzehook/workers"
)

// delayedAdvisor is fakeAdvisor, but responds only when release is closed.
type delayedAdvisor struct {
	fakeAdvisor
	release chan struct{}
}

func (d *delayedAdvisor) Advise(ctx context.Context, step jobs.Task, ids []workers.ID) (workers.Advice, error) {
	<-d.release
	return d.fakeAdvisor.Advise(ctx, step, ids)
}

// newAdviceRig returns a rig with a queue that needs advice and one worker, which the advisor allows.
func newAdviceRig(t *testing.T, advisor workers.Advisor) (*rig, *worker) {
	t.Helper()
	r := newRig(t, memory.New())
	r.opts.Manifest.Update((&manifest.Manifest{Version: 2, Queues: []manifest.Queue{
		{Name: testQueue, Service: "s", MaxAttempts: 2, Stretch: 2, LatencyTarget: time.Second, Advice: &manifest.Advice{}},
	}}).Index())
	r.opts.Advisor = advisor
	return r, r.addWorker("w", 1000)
}

// Guards against a start with the ticket of an earlier incarnation: the worker started again while the advice was under way.
func TestTicketOfEarlierIncarnationIsNotUsed(t *testing.T) {
	advisor := &delayedAdvisor{fakeAdvisor: fakeAdvisor{allowed: "w"}, release: make(chan struct{})}
	r, w := newAdviceRig(t, advisor)
	r.submit("a", oneStep(1, 100))
	r.scheduleAndCommit()
	for range 2 {
		// The second poll has the raised fencing token.
		r.pollAs(w, laterStartTime, 10)
	}
	r.refreshNodes(r.clock)
	close(advisor.release)
	r.handleEvents()
	r.scheduleAndCommit()
	if n := r.client.startCount(); n != 0 {
		t.Fatalf("%d starts with the ticket of the earlier incarnation", n)
	}
	r.advanceClock(adviceRetryInterval)
	r.scheduleAndCommit()
	r.scheduleAndCommit()
	if n := r.client.startCount(); n != 1 {
		t.Errorf("%d starts after advice for the present incarnation", n)
	}
}

// Guards against a worker that refuses one start after the other for the same ticket.
func TestRefusedTicketIsNotUsedAgain(t *testing.T) {
	r, w := newAdviceRig(t, &fakeAdvisor{allowed: "w"})
	r.submit("a", oneStep(1, 100))
	r.scheduleAndCommit()
	r.client.setErr(&workers.RefusedError{Worker: w.id(), Reason: workers.ReasonTicket})
	for range 3 {
		r.advanceClock(adviceRetryInterval / 5)
		r.scheduleAndCommit()
	}
	if n := r.client.startCount(); n != 1 {
		t.Fatalf("%d starts with a refused ticket", n)
	}
	r.advanceClock(adviceRetryInterval)
	r.client.setErr(nil)
	r.scheduleAndCommit()
	r.scheduleAndCommit()
	if n := r.client.startCount(); n != 2 {
		t.Errorf("%d starts after new advice", n)
	}
}
