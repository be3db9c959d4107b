package execution

import (
	"context"
	"testing"
	"time"

	"bronzehook/store"
	"bronzehook/store/memory"
	"bronzehook/workers"
)

// fencingWorkers is fakeWorkers, but refuses polls with a lower fencing token than the worker has accepted.
type fencingWorkers struct {
	*fakeWorkers
	highestToken uint64
}

func (f *fencingWorkers) Poll(ctx context.Context, request workers.PollRequest) (workers.Inventory, error) {
	if request.FencingToken < f.highestToken {
		return workers.Inventory{}, &workers.RefusedError{Worker: request.ID, Reason: workers.ReasonStaleToken}
	}
	f.highestToken = request.FencingToken
	return f.fakeWorkers.Poll(ctx, request)
}

// Guards against a term that ends because a dropped worker registers again and gets a lower fencing token.
func TestDroppedWorkerIsFencedAgain(t *testing.T) {
	r := newRig(t, memory.New())
	client := &fencingWorkers{fakeWorkers: r.client}
	r.opts.Workers = client
	r.registerWorkers(8, 1000)
	row := store.Row{Key: store.Key{Table: "servers", Name: "w0000"}}
	unreachable := &workers.UnreachableError{Worker: "w0000"}
	pollAgain := func() *worker {
		w := r.workers["w0000"]
		r.activate(w)
		r.pollWorker(w, r.clock)
		r.handleEvents()
		return w
	}
	w := r.workers["w0000"]
	r.handlePollFailure(w, r.target(w), r.clock, unreachable)
	if w = pollAgain(); !w.fenced {
		t.Fatal("not fenced")
	}
	r.handlePollFailure(w, r.target(w), r.clock, unreachable)
	row.Deleted = true
	r.applyRegistration(row)
	r.advanceClock(3 * testAttemptLease)
	r.commitAll()
	r.expireAttempts(r.clock)
	if r.workers["w0000"] != nil {
		t.Fatal("not dropped")
	}
	row.Deleted = false
	r.applyRegistration(row)
	if w = pollAgain(); r.failure != nil || !w.fenced {
		t.Errorf("fenced %v, the term ends: %v", w.fenced, r.failure)
	}
}

// Guards against a term that ends because a poll from before a worker was dropped is refused as stale.
func TestPollOfDroppedWorkerIsIgnored(t *testing.T) {
	r, client, w := newDelayedRig(t)
	r.handlePollFailure(w, r.target(w), r.clock, &workers.UnreachableError{Worker: w.id()})
	client.setDelaying(true)
	r.pollWorker(w, r.clock)
	r.handleEvents()
	r.deregister(w)
	r.advanceClock(3 * testAttemptLease)
	r.commitAll()
	r.expireAttempts(r.clock)
	if r.workers[w.id()] != nil {
		t.Fatal("not dropped")
	}
	client.refuse(workers.ReasonStaleToken)
	r.handleEvents()
	if r.failure != nil {
		t.Errorf("the term ends: %v", r.failure)
	}
}

// Guards against a fencing token that falls when a dropped worker registers again.
func TestFencingTokenDoesNotFallAfterWorkerIsDropped(t *testing.T) {
	r := newRig(t, memory.New())
	w := r.addWorker("w", 1000)
	for range 2 {
		r.handlePollFailure(w, r.target(w), r.clock, &workers.UnreachableError{Worker: w.id()})
	}
	before := r.target(w).FencingToken
	r.deregister(w)
	r.advanceClock(w.leasesExpireAt - r.clock + 2*maxPollRetryDelay)
	r.expireAttempts(r.clock)
	if r.workers[w.id()] != nil {
		t.Fatal("the worker was not dropped")
	}
	r.advanceClock(time.Second)
	if after := r.target(r.addWorker("w", 1000)).FencingToken; after < before {
		t.Errorf("fencing token %d after %d", after, before)
	}
}
