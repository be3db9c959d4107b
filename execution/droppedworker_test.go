package execution

import (
	"testing"
	"time"

	"bronzehook/store/memory"
	"bronzehook/workers"
)

// Guards against a term that ends for no reason: a worker that was dropped and is registered again gets a lower fencing token
// than before, and its refusal is taken for word of another leader.
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
