package runner

import (
	"testing"
	"testing/synctest"
	"time"

	"bronzehook/api"
	"bronzehook/backend"
)

// workersByAddr holds the workers by their addresses.
type workersByAddr map[string]*fakeWorker

func (w workersByAddr) Worker(described api.Worker) backend.Worker { return w[described.Addr] }

const formerAddr, laterAddr = "10.1.0.1:1", "10.1.0.1:2"

// restartElsewhere makes the worker of a harness unreachable and returns its next incarnation, at laterAddr.
func (h *harness) restartElsewhere() *fakeWorker {
	h.worker.update(func() { h.worker.unreachable = true })
	later := newFakeWorker(string(h.worker.info.ID))
	later.info.Addr, later.incarnation = laterAddr, "2"
	return later
}

// Guards against a worker, and its lost attempts, that stay at its old address after a restart at another one.
func TestRestartedWorkerIsCalledAtItsNewAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.worker.info.Addr = formerAddr
		workers := workersByAddr{formerAddr: h.worker}
		h.do(t, func() { h.options.Workers = workers })
		h.acquireRack(t)
		h.apply(t, Orders{Assignments: []Assignment{assignment("a.0", 1, 100)}})
		later := h.restartElsewhere()
		h.do(t, func() {
			workers[laterAddr] = later
			h.SetWorkers([]api.Worker{later.info}, nil)
		})
		time.Sleep(3 * PollInterval)
		if state := h.lastState("a.0"); state != api.SeenStopped {
			t.Errorf("the attempt of the earlier incarnation is reported as %q", state)
		}
		refused := h.apply(t, Orders{Assignments: []Assignment{assignment("b.0", 1, 100)}})
		if starts, _ := later.counts(); len(refused) != 0 || starts != 1 {
			t.Errorf("%d starts, refused %+v", starts, refused)
		}
	})
}

// Guards against attempts that start on another worker, at an address that their worker had.
func TestAnotherWorkerAtTheAddressGetsNoAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.worker.info.Addr = formerAddr
		other := newFakeWorker("w2")
		other.info.Addr = formerAddr
		h.do(t, func() { h.options.Workers = workersByAddr{formerAddr: other} })
		h.acquireRack(t)
		refused := h.apply(t, Orders{Assignments: []Assignment{assignment("a.0", 1, 100)}})
		if starts, _ := other.counts(); len(refused) != 1 || starts != 0 {
			t.Errorf("%d starts on another worker, refused %+v", starts, refused)
		}
	})
}
