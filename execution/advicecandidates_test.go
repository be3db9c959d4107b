package execution

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"bronzehook/jobs"
	"bronzehook/manifest"
	"bronzehook/store/memory"
	"bronzehook/workers"
)

// policyAdvisor grants tickets for the workers that its policy allows, and records the requests.
type policyAdvisor struct {
	allows func(workers.ID) bool
	valid  time.Duration

	mu       sync.Mutex
	requests []adviceCall
}

type adviceCall struct {
	step    jobs.Task
	workers []workers.ID
}

func (p *policyAdvisor) Advise(_ context.Context, step jobs.Task, ids []workers.ID) (workers.Advice, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests = append(p.requests, adviceCall{step, ids})
	advice := workers.Advice{Tickets: make(map[workers.ID]string), Valid: p.valid}
	for _, id := range ids {
		if p.allows == nil || p.allows(id) {
			advice.Tickets[id] = "ticket"
		}
	}
	return advice, nil
}

// asked returns how often advice on a worker was requested for a job.
func (p *policyAdvisor) asked(job jobs.ID, id workers.ID) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, call := range p.requests {
		if call.step.Job == job && slices.Contains(call.workers, id) {
			n++
		}
	}
	return n
}

// newPolicyRig returns a rig with a queue that needs advice.
func newPolicyRig(t *testing.T) (*rig, *policyAdvisor) {
	t.Helper()
	r, advisor := newRig(t, memory.New()), &policyAdvisor{valid: 3 * time.Second}
	r.opts.Manifest.Update((&manifest.Manifest{Version: 2, Queues: []manifest.Queue{
		{Name: testQueue, Service: "s", MaxAttempts: 2, Stretch: 2, LatencyTarget: time.Second, Advice: &manifest.Advice{}},
	}}).Index())
	r.opts.Advisor, r.opts.RemoteDataFactor = advisor, 3
	return r, advisor
}

// scheduleFor runs scheduling cycles for a while.
func (r *rig) scheduleFor(span time.Duration) {
	const interval = 100 * time.Millisecond
	for range span / interval {
		r.scheduleAndCommit()
		r.advanceClock(interval)
	}
}

// ordinaryWorkers are more than one request for advice names.
const ordinaryWorkers = maxWorkersPerRequest + 10

// Guards against a step for which advice is requested again and again on the same workers, of no use for it, and never on those
// that would take its tasks.
func TestAdviceIsRequestedOnWorkersThatWouldTakeTheTask(t *testing.T) {
	bestEffort := func(cpu int) *jobs.Step {
		step := oneStep(1, cpu)
		step.BestEffort, step.Image = true, "fill"
		return &step
	}
	for name, c := range map[string]struct {
		// prepare makes the ordinary workers useless for the step, suit makes one suitable.
		prepare func(*worker)
		suit    func(*worker)
		step    func() jobs.Step
		count   int
	}{
		"label": {
			suit: func(w *worker) { w.node.Registration.Labels = []string{"b"} },
			step: func() jobs.Step { s := oneStep(1, 100); s.Requires = "b"; return s },
		},
		"near the data": {
			suit: func(w *worker) { w.node.Registration.Labels = []string{"rack-z"} },
			step: func() jobs.Step {
				s := oneStep(1, 100)
				s.Affinity, s.Estimate = "rack-z", time.Minute
				return s
			},
		},
		"failing workers": {
			prepare: func(w *worker) { w.node.Degraded = true },
			step:    func() jobs.Step { return oneStep(1, 100) },
		},
		"held capacity": {
			prepare: func(w *worker) { held := oneStep(1, 950); w.node.Hold(&held) },
			step:    func() jobs.Step { return oneStep(1, 100) },
		},
		"no unused CPU": {
			prepare: func(w *worker) { w.node.Reserve(bestEffort(990)) },
			step:    func() jobs.Step { return *bestEffort(100) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			r, advisor := newPolicyRig(t)
			var ordinary []*worker
			for i := range ordinaryWorkers {
				ordinary = append(ordinary, r.addWorker(fmt.Sprintf("w%02d", i), 1000))
			}
			suitable := r.addWorker("z", 1000)
			for _, w := range ordinary {
				if c.prepare != nil {
					c.prepare(w)
				}
			}
			if c.suit != nil {
				c.suit(suitable)
				r.nodes.version++
			}
			r.submit("a", c.step())
			r.scheduleFor(400 * time.Millisecond)
			if len(suitable.attempts) != 1 {
				t.Errorf("not started; advice on the suitable worker was requested %d times in %d requests", advisor.asked("a", "z"), len(advisor.requests))
			}
		})
	}
}

// Guards against a step that needs more workers than one request for advice names, and never gets a ticket for the others.
func TestAdviceIsRequestedForAllTasksOfAStep(t *testing.T) {
	spread := func(gang bool) jobs.Step {
		step := oneStep(ordinaryWorkers, 100)
		step.AntiAffinity, step.Gang = 1, gang
		return step
	}
	for name, step := range map[string]jobs.Step{"spread over workers": spread(false), "gang": spread(true)} {
		r, _ := newPolicyRig(t)
		for i := range ordinaryWorkers {
			r.addWorker(fmt.Sprintf("w%02d", i), 1000)
		}
		j := r.submit("a", step)
		r.scheduleFor(time.Second)
		if j.liveAttempts != ordinaryWorkers {
			t.Errorf("%s: %d of %d tasks started", name, j.liveAttempts, ordinaryWorkers)
		}
	}
}

// Guards against a gang that is spread over racks, as advice was requested on workers of many racks and never on all those of the
// one that has capacity for it.
func TestAdviceIsRequestedOnOneRackForAGroup(t *testing.T) {
	const rackSize, groupSize = 4, 8
	r, _ := newPolicyRig(t)
	for i := range ordinaryWorkers {
		r.addWorker(fmt.Sprintf("w%02d", i), 1000).node.Registration.Rack = fmt.Sprintf("rack-%d", i/rackSize)
	}
	for i := range groupSize {
		// The ordinary workers are the emptier ones.
		w, other := r.addWorker(fmt.Sprintf("z%d", i), 1000), oneStep(1, 100)
		w.node.Registration.Rack = "rack-z"
		w.node.Reserve(&other)
	}
	r.nodes.version++
	step := gangStep(groupSize, 100)
	step.RackSensitive, step.AntiAffinity, step.Estimate = true, 1, time.Minute
	j := r.submit("a", step)
	r.scheduleFor(500 * time.Millisecond)
	if rack, one := r.onlyRackOf(j.occurrences[0].steps[0]); rack != "rack-z" || !one {
		t.Errorf("%d of %d started, on rack %q, all there: %v", j.liveAttempts, groupSize, rack, one)
	}
}

// Guards against a step that never gets its turn, as steps that rank higher and cannot be placed request advice again and again.
func TestRequestsForAdviceTakeTurns(t *testing.T) {
	r, advisor := newPolicyRig(t)
	advisor.valid = ticketExpiryMargin + 10*time.Millisecond
	advisor.allows = func(id workers.ID) bool { return strings.HasPrefix(string(id), "w") }
	for i := range 4 {
		r.addWorker(fmt.Sprintf("w%d", i), 1000)
	}
	for i := range 12 {
		// A gang that is too large for the service, of which the tickets expire again and again.
		r.submit(fmt.Sprintf("gang-%02d", i), gangStep(100, 100))
	}
	r.scheduleFor(time.Second)
	long := oneStep(1, 100)
	long.Estimate = time.Hour
	r.submit("last", long)
	r.scheduleFor(2 * maxAdviceTurnWait)
	if advisor.asked("last", "w0") == 0 {
		t.Errorf("advice was not requested, beside %d other requests", len(advisor.requests))
	}
}

// Guards against requests for advice on far workers while a task waits for a near one, which delay the requests for other steps.
func TestNoAdviceOnFarWorkersWhileATaskWaits(t *testing.T) {
	r, advisor := newPolicyRig(t)
	r.addWorker("far", 1000)
	near := r.addWorker("near", 1000)
	near.node.Registration.Labels = []string{"rack-z"}
	r.nodes.version++
	running := oneStep(1, 900)
	running.Requires, running.Estimate = "rack-z", 4*time.Second
	r.submit("running", running)
	r.scheduleFor(300 * time.Millisecond)
	if len(near.attempts) != 1 {
		t.Fatal("the near worker is free")
	}
	waiting := oneStep(1, 900)
	waiting.Affinity, waiting.Estimate = "rack-z", time.Minute
	j := r.submit("waiting", waiting)
	r.scheduleFor(500 * time.Millisecond)
	if task := j.occurrences[0].steps[0][0]; !task.nearOutcome.Waits() || advisor.asked("waiting", "far") != 0 {
		t.Errorf("outcome %v, asked about the far worker %d times", task.nearOutcome, advisor.asked("waiting", "far"))
	}
}

// Guards against a worker that is never asked about again because an earlier incarnation, of another kind, was refused.
func TestRefusalIsForOneIncarnation(t *testing.T) {
	r, advisor := newPolicyRig(t)
	w := r.addWorker("w", 1000)
	refuse := true
	advisor.allows = func(workers.ID) bool { return !refuse }
	r.submit("a", oneStep(1, 100))
	r.scheduleFor(time.Second)
	if n := advisor.asked("a", "w"); n != 1 {
		t.Fatalf("asked %d times about a worker that was refused", n)
	}
	refuse = false
	for range 2 {
		// The second poll has the raised fencing token.
		r.pollAs(w, laterStartTime, 10)
	}
	r.refreshNodes(r.clock)
	r.scheduleFor(time.Second)
	if r.client.startCount() != 1 {
		t.Error("not started on the next incarnation")
	}
}

// Guards against a task that waits for inactive workers, as all active ones that would take it are refused.
func TestWorkersAreActivatedAfterRefusals(t *testing.T) {
	r, advisor := newPolicyRig(t)
	r.registerWorkers(2000, 32_000)
	r.runFor(100 * time.Millisecond)
	for n := 1960; n < 2000; n++ {
		w := r.workers[workers.ID(fmt.Sprintf("w%04d", n))]
		w.node.Registration.Labels = append(w.node.Registration.Labels, "rare")
	}
	refused := 0
	advisor.allows = func(workers.ID) bool { refused++; return refused > maxActivatedPerLabel }
	step := oneStep(1, 1000)
	step.Requires = "rare"
	r.submit("a", step)
	r.runFor(time.Second)
	if r.client.startCount() == 0 {
		t.Errorf("not started after %d requests for advice", len(advisor.requests))
	}
}

// Guards against a lasting task on a queue with advice for which no capacity is ever held, as there are tickets only for workers
// with free capacity; and against capacity that stays held on a worker that is refused.
func TestCapacityIsHeldBeforeAdvice(t *testing.T) {
	for name, allowed := range map[string]bool{"granted": true, "refused": false} {
		r, advisor := newPolicyRig(t)
		advisor.allows = func(workers.ID) bool { return allowed }
		w := r.addWorker("w", 1000)
		short := oneStep(1, 250)
		w.node.Reserve(&short)
		step := oneStep(1, 900)
		step.LongRunning = true
		r.submit("lasting", step)
		r.advanceClock(holdAfter + time.Millisecond)
		r.scheduleAndCommit()
		if w.node.Held.CPU != 900 {
			t.Fatalf("%s: held: %+v", name, w.node.Held)
		}
		w.node.Release(&short)
		r.scheduleFor(200 * time.Millisecond)
		if started := len(w.attempts) == 1; started != allowed || len(r.holds) != 0 {
			t.Errorf("%s: started %v, %d holds", name, started, len(r.holds))
		}
	}
}

// Guards against capacity that is held for tasks on a queue with advice, and kept from others, while the service does not answer.
func TestNoCapacityIsHeldWhileAdviceIsMissing(t *testing.T) {
	advisor := &delayedAdvisor{fakeAdvisor: fakeAdvisor{allowed: "none"}, release: make(chan struct{})}
	r, w := newAdviceRig(t, advisor)
	t.Cleanup(func() { close(advisor.release) })
	step := oneStep(1, 900)
	step.LongRunning = true
	r.submit("lasting", step)
	r.scheduleFor(300 * time.Millisecond)
	r.advanceClock(holdAfter)
	r.scheduleFor(300 * time.Millisecond)
	if w.node.Held != (jobs.Resources{}) {
		t.Errorf("held: %+v", w.node.Held)
	}
}
