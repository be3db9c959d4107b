package scheduler

import (
	"time"

	"bronzehook/api"
	"bronzehook/scheduler/eviction"
	"bronzehook/scheduler/placement"
	"bronzehook/scheduler/queue"
)

// maxPreemptionSample bounds the workers that are searched for victims, in addition to those where preemption is
// already in progress.
const maxPreemptionSample = 48

// noDeadlineSlack is the slack assumed for tasks without a deadline.
const noDeadlineSlack = 365 * 24 * time.Hour

// preemptionState is the per-worker state that a cycle needs to choose victims.
type preemptionState struct {
	// tasksByWorker holds the snapshot indices of the tasks of each worker.
	tasksByWorker map[api.WorkerID][]int
	// pendingRelease is what stopping victims will free on each worker, minus what is set aside for tasks of this cycle.
	pendingRelease map[api.WorkerID]api.Resources
	// preempting lists the workers with a victim that was asked for a checkpoint or is stopping.
	preempting []int32
	// victims holds the snapshot indices of the tasks that are stopping or were chosen as victims in this cycle.
	victims map[int]bool
}

// ensurePreemption returns the cycle's preemption state, which is built on first use.
func (c *cycle) ensurePreemption() *preemptionState {
	if c.preemption != nil {
		return c.preemption
	}
	state := &preemptionState{
		tasksByWorker:  make(map[api.WorkerID][]int, len(c.snapshot.Workers)),
		pendingRelease: map[api.WorkerID]api.Resources{},
		victims:        map[int]bool{},
	}
	inProgress := map[api.WorkerID]bool{}
	for i := range c.snapshot.Tasks {
		t := &c.snapshot.Tasks[i]
		state.tasksByWorker[t.Worker] = append(state.tasksByWorker[t.Worker], i)
		switch t.Step {
		case eviction.StepEvict:
			state.pendingRelease[t.Worker] = state.pendingRelease[t.Worker].Add(t.Resources)
			state.victims[i] = true
			inProgress[t.Worker] = true
		case eviction.StepCheckpoint:
			inProgress[t.Worker] = true
		}
	}
	for i := range c.snapshot.Workers {
		if id := c.snapshot.Workers[i].ID; inProgress[id] {
			state.preempting = append(state.preempting, c.cluster.Index(id))
		}
	}
	c.preemption = state
	return state
}

// preempt orders the steps that free resources for a service, a watcher or an urgent job on the worker where the
// victims lose the least work. The task itself is placed by a later cycle, once the victims have stopped.
func (c *cycle) preempt(item *queue.Item, r *placement.Request) {
	if !c.opts.Eviction.Preemption || (r.Batch && !r.Urgent) {
		return
	}
	state := c.ensurePreemption()
	var best eviction.VictimSet
	bestIndex := int32(-1)
	for _, workerIndex := range c.preemptionCandidates(state) {
		shortfall, feasible := c.shortfall(r, workerIndex)
		if !feasible {
			continue
		}
		if shortfall == (api.Resources{}) {
			c.awaitRelease(r, workerIndex)
			return
		}
		victims, ok := c.opts.Eviction.SelectVictims(
			shortfall, item.Spec.Kind, item.Spec.Urgency, c.victimCandidates(workerIndex))
		if ok && (bestIndex < 0 || cheaper(victims, best)) {
			best, bestIndex = victims, workerIndex
		}
	}
	if bestIndex >= 0 {
		c.addVictims(item, best, bestIndex, r)
	}
}

// cheaper orders victim sets by the work lost, then by the number of victims.
func cheaper(a, b eviction.VictimSet) bool {
	if a.LostWork != b.LostWork {
		return a.LostWork < b.LostWork
	}
	return a.Count < b.Count
}

// preemptionCandidates returns the workers where preemption is in progress, and a sample of all workers.
func (c *cycle) preemptionCandidates(state *preemptionState) []int32 {
	candidates := append([]int32(nil), state.preempting...)
	n := len(c.snapshot.Workers)
	start := c.rng.IntN(n)
	for i := range min(n, maxPreemptionSample) {
		candidates = append(candidates, int32((start+i)%n))
	}
	return candidates
}

// shortfall returns the resources that the request needs beyond what is free or pending release on the worker. It
// reports false if the worker could not take the task even if it were empty.
func (c *cycle) shortfall(r *placement.Request, workerIndex int32) (api.Resources, bool) {
	if !c.cluster.FitsAfterPreemption(r, workerIndex) {
		return api.Resources{}, false
	}
	n := c.cluster.Worker(workerIndex)
	free := n.Capacity.Sub(n.Reserved).Add(c.preemption.pendingRelease[n.ID])
	return maxResources(r.Size.Sub(free), api.Resources{}), true
}

// awaitRelease sets resources of the worker aside for a task that waits for victims to stop: part of the pending
// release, and what is free already.
func (c *cycle) awaitRelease(r *placement.Request, workerIndex int32) {
	n := c.cluster.Worker(workerIndex)
	free := maxResources(n.Capacity.Sub(n.Reserved), api.Resources{})
	c.preemption.pendingRelease[n.ID] = c.preemption.pendingRelease[n.ID].Sub(
		maxResources(r.Size.Sub(free), api.Resources{}))
	// Hold the free part, so that less urgent tasks of this cycle do not take it.
	c.cluster.Hold(workerIndex, minResources(r.Size, free))
}

// minResources returns the component-wise minimum.
func minResources(a, b api.Resources) api.Resources {
	return api.Resources{
		MilliCPU:     min(a.MilliCPU, b.MilliCPU),
		MemoryMB:     min(a.MemoryMB, b.MemoryMB),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

// addVictims adds the next step for each victim to the plan and lets the task wait for their resources.
func (c *cycle) addVictims(item *queue.Item, set eviction.VictimSet, workerIndex int32, r *placement.Request) {
	id := c.cluster.Worker(workerIndex).ID
	for _, a := range set.Actions {
		t := &c.snapshot.Tasks[a.Index]
		c.preemption.victims[a.Index] = true
		c.preemption.pendingRelease[id] = c.preemption.pendingRelease[id].Add(t.Resources)
		if a.Step != eviction.StepNone {
			c.addEviction(t, a, item.Task.ID, "preemption for "+string(item.Task.ID))
		}
	}
	c.awaitRelease(r, workerIndex)
}

// victimCandidates lists the tasks of a worker that are not victims yet.
func (c *cycle) victimCandidates(workerIndex int32) []eviction.Candidate {
	var list []eviction.Candidate
	for _, i := range c.ensurePreemption().tasksByWorker[c.cluster.Worker(workerIndex).ID] {
		if !c.preemption.victims[i] {
			list = append(list, c.victimCandidate(i))
		}
	}
	return list
}

func (c *cycle) victimCandidate(i int) eviction.Candidate {
	t := &c.snapshot.Tasks[i]
	spec := &c.workload(t.Work).spec
	candidate := eviction.Candidate{
		Index: i, Kind: spec.Kind, Urgency: spec.Urgency, Size: t.Resources, Evictions: t.Evictions,
		Slack: noDeadlineSlack, Throttled: t.throttled(), LastStep: t.Step, SinceStep: c.now.Sub(t.StepAt),
		CheckpointAge: -1,
	}
	if spec.Kind != api.KindJob {
		return candidate
	}
	saved := t.Started
	if !t.CheckpointAt.IsZero() {
		candidate.CheckpointAge = c.now.Sub(t.CheckpointAt)
	}
	if t.CheckpointAt.After(saved) {
		saved = t.CheckpointAt
	}
	candidate.LostWork = c.now.Sub(saved)
	if !t.Due.IsZero() {
		remaining := float64(c.Sizing.RunTime(spec)) * (1 - t.Progress)
		candidate.Slack = t.Due.Sub(c.now) - time.Duration(remaining)
	}
	return candidate
}

// relievePressure orders the next step on each worker whose latency-critical tasks are slowed down, and lifts throttles
// once they no longer are.
func (c *cycle) relievePressure() {
	if !c.opts.Eviction.PressureRelief {
		return
	}
	evictions := 0
	for i := range c.snapshot.Workers {
		p := c.snapshot.Workers[i].Pressure
		if !p.Active && !p.MayLiftThrottles {
			continue
		}
		workerIndex := c.cluster.Index(c.snapshot.Workers[i].ID)
		candidates := c.victimCandidates(workerIndex)
		c.predictRelief(workerIndex, candidates)
		for _, a := range c.opts.Eviction.Relieve(p, candidates) {
			if a.Step == eviction.StepEvict {
				evictions++
			}
			if a.Step == eviction.StepNone || evictions > c.opts.Eviction.MaxEvictionsPerCycle {
				continue
			}
			c.preemption.victims[a.Index] = true
			c.addEviction(&c.snapshot.Tasks[a.Index], a, "",
				"pressure control for latency-critical tasks on "+string(c.snapshot.Workers[i].ID))
		}
	}
}

// predictRelief sets the CausedSlowdown of each candidate: the slowdown of the worker's latency-critical tasks that the
// interference model attributes to it. On a worker without spare CPU, the candidate's own share of the CPU is added.
func (c *cycle) predictRelief(workerIndex int32, candidates []eviction.Candidate) {
	n := c.cluster.Worker(workerIndex)
	if n.Capacity.MilliCPU == 0 {
		return
	}
	capacity := float64(n.Capacity.MilliCPU)
	load := float64(n.PredictedUsage.MilliCPU) / capacity
	for i := range candidates {
		task := &c.snapshot.Tasks[candidates[i].Index]
		aggressor := c.Interference.ID(task.Work)
		for j := range candidates {
			if candidates[j].Kind == api.KindService {
				victim := c.Interference.ID(c.snapshot.Tasks[candidates[j].Index].Work)
				candidates[i].CausedSlowdown += c.Interference.ExtraRunTime(victim, aggressor, load)
			}
		}
		if load >= 1 {
			candidates[i].CausedSlowdown += float64(task.Used.MilliCPU) / capacity
		}
	}
}
