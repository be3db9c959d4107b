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

// Guards against tasks that are placed on a new incarnation because the earlier one has answered a poll before it ended.
func TestResponseFromBeforeRestartDoesNotFence(t *testing.T) {
	for name, restart := range map[string]func(r *rig, w *worker){
		"registered again": func(r *rig, w *worker) {
			r.opts.ParseRegistration = func(store.Row) (workers.Registration, error) {
				registration := w.node.Registration
				registration.StartTime = laterStartTime
				return registration, nil
			}
			r.applyRegistration(store.Row{Key: store.Key{Table: "servers", Name: string(w.id())}})
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

// Guards against a task on a worker that lacks its label or capacity: the worker has started again, maybe as another kind, and
// its registration is still that of the earlier incarnation.
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
	r.opts.ParseRegistration = func(store.Row) (workers.Registration, error) {
		registration := w.node.Registration
		registration.StartTime = laterStartTime
		return registration, nil
	}
	r.applyRegistration(store.Row{Key: store.Key{Table: "servers", Name: string(w.id())}})
	if !usable() {
		t.Error("not usable after its registration was read")
	}
}
