package execution

import (
	"fmt"
	"testing"
	"time"

	"bronzehook/invalid"
	"bronzehook/jobs"
	"bronzehook/store"
	"bronzehook/store/memory"
	"bronzehook/workers"
)

// registerWorkers registers workers of one service, eight to a rack.
func (r *rig) registerWorkers(count, cpu int) {
	r.opts.ParseRegistration = func(row store.Row) (workers.Registration, error) {
		var n int
		if _, err := fmt.Sscanf(row.Name, "w%d", &n); err != nil {
			return workers.Registration{}, invalid.Undecodable("name", err)
		}
		rack := fmt.Sprint("rack-", n%(count/8))
		return workers.Registration{
			ID: workers.ID(row.Name), Addr: row.Name + ":1", Service: "s", Rack: rack, Labels: []string{"kind", rack}, StartTime: 1,
			Capacity: jobs.Resources{CPU: cpu, MemoryMB: 100_000},
		}, nil
	}
	for n := range count {
		r.applyRegistration(store.Row{Key: store.Key{Table: "servers", Name: fmt.Sprintf("w%04d", n)}, Version: 1})
	}
}

// runFor runs passes of the control loop until the rig's clock has advanced by span; calls are answered at once.
func (r *rig) runFor(span time.Duration) {
	r.t.Helper()
	const step = 50 * time.Millisecond
	for end := r.clock + span; r.clock < end; r.advanceClock(step) {
		r.records.nextCommit, r.renewAt = 0, 0
		if err := r.Term.advance(); err != nil {
			r.t.Fatal(err)
		}
		r.handleEvents()
	}
}

// polledWorkers counts the workers that were polled.
func (r *rig) polledWorkers() int {
	r.client.mu.Lock()
	defer r.client.mu.Unlock()
	ids := make(map[workers.ID]bool)
	for _, poll := range r.client.polls {
		ids[poll.ID] = true
	}
	return len(ids)
}

// Guards against a new leader that spends seconds connecting to thousands of idle workers, more than it has file
// descriptors for, while work waits. This happened in a run with 300 instances.
func TestIdleWorkersOfLargeFleetsStayInactive(t *testing.T) {
	r := newRig(t, memory.New())
	r.registerWorkers(3000, 32_000)
	r.submit("a", oneStep(20, 2000))
	r.runFor(400 * time.Millisecond)
	if n := r.polledWorkers(); n < minActive || n > 2*minActive {
		t.Errorf("%d workers polled, want about %d", n, minActive)
	}
	if n := r.client.startCount(); n < 20 {
		t.Errorf("%d of 20 tasks started", n)
	}
}

// Guards against work that waits although inactive workers have capacity for it.
func TestWorkersAreActivatedOnDemand(t *testing.T) {
	r := newRig(t, memory.New())
	r.registerWorkers(2000, 32_000)
	r.submit("a", oneStep(1400, 32_000))
	r.runFor(time.Second)
	started := make(map[workers.ID]bool)
	for _, start := range r.client.starts {
		started[start.ID] = true
	}
	if len(started) < 1400 {
		t.Errorf("tasks started on %d workers, want 1400", len(started))
	}
}

// Guards against a task that waits for a label that only inactive workers have.
func TestWorkersAreActivatedForTheirLabels(t *testing.T) {
	for name, constrain := range map[string]func(*jobs.Step){
		"required": func(s *jobs.Step) { s.Requires = "rack-150" },
		"data":     func(s *jobs.Step) { s.Affinity, s.Estimate = "rack-150", 5*time.Second },
	} {
		r := newRig(t, memory.New())
		r.opts.RemoteDataFactor = 3
		r.registerWorkers(2000, 32_000)
		r.runFor(100 * time.Millisecond)
		step := oneStep(1, 1000)
		constrain(&step)
		r.submit("a", step)
		r.runFor(300 * time.Millisecond)
		if r.client.startCount() == 0 {
			t.Fatalf("%s: not started", name)
		}
		if w := r.workers[r.client.starts[0].ID]; !w.node.Registration.HasLabel("rack-150") {
			t.Errorf("%s: started on %s of %s", name, w.id(), w.node.Registration.Rack)
		}
	}
}

// Guards against a start on a worker that began to drain, or was deregistered, between the placement and the start
// command. A run with 300 instances broke the rule DRAIN for that reason.
func TestNoStartOnLeavingWorker(t *testing.T) {
	for name, startLeaving := range map[string]func(*rig, *worker){
		"draining": func(_ *rig, w *worker) { w.node.Registration.Draining = true },
		"gone":     func(r *rig, w *worker) { r.deregister(w) },
	} {
		r := newRig(t, memory.New())
		leaving := r.addWorker("w1", 1000)
		j := r.submit("a", oneStep(1, 1000))
		r.markVerified(store.Row{Key: store.JobKey("a"), Version: j.stateVersion})
		r.schedule(r.clock)
		if len(leaving.attempts) != 1 {
			t.Fatal("not placed")
		}
		startLeaving(r, leaving)
		r.commitAll()
		if n := r.client.startCount(); n != 0 || len(leaving.attempts) != 0 {
			t.Errorf("%s: %d starts, %d attempts", name, n, len(leaving.attempts))
		}
	}
}
