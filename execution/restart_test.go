package execution

import (
	"testing"
	"time"

	"bronzehook/maintenance"
	"bronzehook/store"
	"bronzehook/store/memory"
	"bronzehook/workers"
)

// pollInFlight sends a poll of a worker, which is answered before anything else happens; its response waits in the events.
func (r *rig) pollInFlight(w *worker) {
	r.t.Helper()
	answered := len(r.Term.events)
	r.pollWorker(w, r.clock)
	for deadline := time.Now().Add(5 * time.Second); len(r.Term.events) == answered; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			r.t.Fatal("no response")
		}
	}
}

// registerAs applies a registration of the incarnation of a worker with a start time.
func (r *rig) registerAs(w *worker, startTime int64) {
	r.opts.ParseRegistration = func(store.Row) (workers.Registration, error) {
		registration := w.node.Registration
		registration.StartTime = startTime
		return registration, nil
	}
	r.applyRegistration(store.Row{Key: store.Key{Table: "servers", Name: string(w.id())}})
}

// Guards against tasks that are placed on a new incarnation because the earlier one has answered a poll before it ended.
func TestResponseFromBeforeRestartDoesNotFence(t *testing.T) {
	for name, restart := range map[string]func(r *rig, w *worker){
		"registered again": func(r *rig, w *worker) {
			r.registerAs(w, laterStartTime)
		},
		"maintenance begun": func(r *rig, w *worker) {
			r.finishMachine(&wave{Progress: maintenance.NewProgress(maintenance.SeenWave{})}, w.node.Registration.Machine)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, memory.New())
			w := r.addWorkerOn("w", "m", 1000)
			r.pollInFlight(w)
			restart(r, w)
			r.handleEvents()
			r.refreshNodes(r.clock)
			if w.node.Usable || w.nextPoll > r.clock {
				t.Errorf("usable %v, next poll in %v", w.node.Usable, w.nextPoll-r.clock)
			}
		})
	}
}

// Guards against a task placed by the capacity and labels of a worker's earlier incarnation.
func TestRegistrationOfEarlierIncarnationIsNotUsed(t *testing.T) {
	r := newRig(t, memory.New())
	r.registerWorkers(8, 1000)
	w := r.workers["w0000"]
	r.activate(w)
	usable := func() bool {
		r.refreshNodes(r.clock)
		return w.node.Usable
	}
	r.pollAs(w, testStartTime, 1000)
	if !usable() {
		t.Fatal("not usable by its own registration")
	}
	for range 2 {
		// The second poll has the raised fencing token.
		r.pollAs(w, laterStartTime, 10)
	}
	if usable() {
		t.Error("usable by the registration of the earlier incarnation")
	}
	r.registerAs(w, laterStartTime)
	if !usable() {
		t.Error("not usable after its registration was read")
	}
}

// Guards against a worker that gets no work any more after the wall clock of its machine was set back and it started again.
func TestRegistrationWithEarlierStartTimeIsTaken(t *testing.T) {
	r := newRig(t, memory.New())
	w := r.addWorker("w", 1000)
	r.pollAs(w, laterStartTime, 1000)
	r.registerAs(w, laterStartTime)
	r.pollAs(w, laterStartTime, 1001)
	const startTime = testStartTime + 1
	r.registerAs(w, startTime)
	for range 2 {
		// The second poll has the raised fencing token.
		r.pollAs(w, startTime, 10)
	}
	r.refreshNodes(r.clock)
	if !w.node.Usable {
		t.Errorf("not usable, registration of %d", w.node.Registration.StartTime)
	}
}
