package execution

import (
	"fmt"
	"testing"
	"time"

	"bronzehook/jobs"
	"bronzehook/manifest"
	"bronzehook/store/memory"
)

// maxIdleTime bounds how long a job may have nothing running beside free capacity for twice its task while less than half of the
// service is in use, whatever else there is.
const maxIdleTime = 14 * time.Second

// waitReason gives the task of a job a reason to wait. Before the job is submitted, prepare changes its step and the workers; keep
// renews the reason before each scheduling cycle.
type waitReason struct {
	name    string
	prepare func(*rig, *jobs.Step)
	keep    func(*rig, *job)
}

// waitReasons returns all reasons for which a task waits although there is capacity.
func waitReasons() []waitReason {
	return []waitReason{
		{name: "headroom", keep: func(r *rig, _ *job) { r.topPriorityDemand.peak = 100_000 }},
		{name: "no unused CPU", prepare: func(r *rig, step *jobs.Step) {
			step.BestEffort, step.Image = true, "fill"
			for _, w := range r.active {
				other := *step
				other.Resources.CPU = 990
				w.node.Reserve(&other)
			}
		}},
		{name: "deferred", keep: func(r *rig, j *job) {
			j.standing = standingDeferred
			r.backlogOf(j.spec.Queue).counts[standingKept] = 1
		}},
		{name: "worthless", keep: func(r *rig, j *job) {
			j.standing = standingWorthless
			r.backlogOf(j.spec.Queue).counts[standingKept] = 1
		}},
		{name: "no worker near the data", prepare: func(_ *rig, step *jobs.Step) { step.Affinity = "rack-9" }},
		{name: "full worker near the data", prepare: func(r *rig, step *jobs.Step) {
			other := oneStep(1, 990)
			other.LongRunning = true
			r.active[0].node.Reserve(&other)
			r.active[0].node.Registration.Labels = []string{"rack-0"}
			step.Affinity = "rack-0"
		}},
		{name: "group without a rack for all", prepare: func(_ *rig, step *jobs.Step) { step.Count, step.RackSensitive = 6, true }},
		{name: "capacity held for lasting tasks", keep: func(r *rig, _ *job) {
			for _, w := range r.active {
				w.node.Held = jobs.Resources{CPU: 950, MemoryMB: 99_995}
			}
		}},
		{name: "failed on a worker", keep: func(r *rig, j *job) { j.occurrences[0].steps[0][0].avoidWorker = r.active[1].id() }},
	}
}

// Guards against a job that has nothing running for ever beside free capacity, since a preference, or work that is to come first,
// keeps it waiting and the exception from that is switched off by another rule.
func TestNoReasonKeepsAJobIdleForEver(t *testing.T) {
	reasons := waitReasons()
	for i, first := range reasons {
		for _, second := range reasons[i:] {
			r := newRig(t, memory.New())
			r.opts.RemoteDataFactor = 3
			r.opts.Manifest.Update((&manifest.Manifest{Version: 2, Queues: []manifest.Queue{
				{Name: testQueue, Service: "s", MaxAttempts: 2, Priority: 1, Stretch: 2, LatencyTarget: time.Second},
			}}).Index())
			for k := range 6 {
				r.addWorker(fmt.Sprintf("w%d", k), 1000).node.Registration.Rack = fmt.Sprintf("rack-%d", k)
			}
			r.nodes.version++
			step := oneStep(1, 900)
			step.Estimate = time.Minute
			both := []waitReason{first, second}
			for _, reason := range both {
				if reason.prepare != nil {
					reason.prepare(r, &step)
				}
			}
			j := r.submit("a", step)
			for idle := time.Duration(0); j.liveAttempts == 0; idle += backlogInterval {
				if idle > maxIdleTime {
					t.Errorf("%s and %s: nothing runs after %v", first.name, second.name, maxIdleTime)
					break
				}
				for _, reason := range both {
					if reason.keep != nil {
						reason.keep(r, j)
					}
				}
				for _, w := range r.active {
					w.noteClock(1000, r.clock)
				}
				r.refreshNodes(r.clock)
				r.Term.schedule(r.clock)
				r.advanceClock(backlogInterval)
				r.wallClock = r.wallClock.Add(backlogInterval)
			}
		}
	}
}
