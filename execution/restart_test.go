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
