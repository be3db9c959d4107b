package scheduler

import (
	"fmt"
	"math/rand/v2"
	"time"

	"bronzehook/api"
	"bronzehook/scheduler/eviction"
	"bronzehook/scheduler/feasibility"
	"bronzehook/scheduler/placement"
	"bronzehook/scheduler/queue"
)

// cycle is the state of one scheduling cycle.
type cycle struct {
	*Engine
	snapshot  *Snapshot
	now       time.Time
	rng       *rand.Rand
	cluster   *placement.Cluster
	fleet     *feasibility.Fleet
	teamUse   map[string]api.Resources
	workloads map[string]*workloadInfo
	// refusalByShape holds the refusal of each shape, so that a cycle searches for a worker only once per shape.
	refusalByShape map[shape]Refusal
	// running holds the pending tasks whose last attempt has not ended, and the tasks assigned in this cycle.
	running    map[api.TaskID]bool
	preemption *preemptionState
	plan       Plan
}

// workloadInfo is the per-cycle state of a workload, shared by all of its tasks.
type workloadInfo struct {
	spec api.Spec
	// expected is the use of one task that the size model predicts.
	expected api.Resources
	// reserved is the sum of the reservations of the running tasks.
	reserved api.Resources
	// workerIndices holds the worker index of each running task, in the order of the snapshot.
	workerIndices []int32
	// hasRunning is set once a running task of the workload has been seen.
	hasRunning bool
}

// shape identifies tasks that are interchangeable for placement: same workload, same size.
type shape struct {
	workload string
	size     api.Resources
}

// Cycle implements Planner.
func (e *Engine) Cycle(s *Snapshot, pending []queue.Item, now time.Time) Plan {
	c := e.newCycle(s, pending, now)
	for i := range pending {
		c.schedule(&pending[i])
	}
	c.relievePressure()
	return c.plan
}

func (e *Engine) newCycle(s *Snapshot, pending []queue.Item, now time.Time) *cycle {
	c := &cycle{
		Engine: e, snapshot: s, now: now,
		rng:            rand.New(rand.NewPCG(e.seed, s.Revision)),
		fleet:          feasibility.NewFleet(e.opts.Feasibility),
		teamUse:        make(map[string]api.Resources, len(s.Teams)),
		workloads:      make(map[string]*workloadInfo, len(s.Specs)),
		refusalByShape: map[shape]Refusal{},
		running:        make(map[api.TaskID]bool, len(pending)),
	}
	c.buildCluster()
	c.markRunning(pending)
	return c
}

// buildCluster builds the placement cluster with the reservations and the predicted use of each worker's tasks.
func (c *cycle) buildCluster() {
	indexByID := make(map[api.WorkerID]int, len(c.snapshot.Workers))
	nodes := make([]placement.Node, len(c.snapshot.Workers))
	for i := range c.snapshot.Workers {
		w := &c.snapshot.Workers[i]
		indexByID[w.ID] = i
		nodes[i] = placement.Node{
			ID: w.ID, Location: w.Location, Capacity: w.Capacity,
			Unschedulable: unschedulableCause(w), Probe: w.Quarantine.Probe,
		}
		if !w.Leaving {
			c.fleet.Add(w.Location.Region, w.Capacity)
		}
	}
	var names []string
	for i := range c.snapshot.Tasks {
		t := &c.snapshot.Tasks[i]
		info := c.workload(t.Work)
		if !info.hasRunning {
			info.hasRunning = true
			names = append(names, t.Work)
		}
		info.reserved = info.reserved.Add(t.Resources)
		workerIndex, ok := indexByID[t.Worker]
		if !ok {
			continue
		}
		nodes[workerIndex].Reserved = nodes[workerIndex].Reserved.Add(t.Resources)
		nodes[workerIndex].PredictedUsage = nodes[workerIndex].PredictedUsage.Add(info.predictedUse(t))
		info.workerIndices = append(info.workerIndices, int32(workerIndex))
	}
	for i := range nodes {
		nodes[i].Reserved = maxResources(nodes[i].Reserved, c.snapshot.Workers[i].Reserved)
		nodes[i].BatchCapacity = c.opts.Sizing.Reclaimable(nodes[i].Capacity, nodes[i].PredictedUsage)
	}
	c.cluster = placement.NewCluster(nodes, c.opts.Placement, c.Interference, c.rng)
	for _, name := range names {
		c.addResidents(name, c.workloads[name])
	}
}

// addResidents counts the running tasks of a workload on their workers and their reservations against the team's quota.
func (c *cycle) addResidents(name string, info *workloadInfo) {
	c.teamUse[info.spec.Team] = c.teamUse[info.spec.Team].Add(info.reserved)
	workID := c.cluster.WorkloadID(name, info.spec.Kind != api.KindJob)
	for _, workerIndex := range info.workerIndices {
		c.cluster.AddResident(workerIndex, workID)
	}
}

// markRunning marks the pending tasks whose last attempt has not ended.
func (c *cycle) markRunning(pending []queue.Item) {
	isPending := make(map[api.TaskID]bool, len(pending))
	for i := range pending {
		isPending[pending[i].Task.ID] = true
	}
	for i := range c.snapshot.Tasks {
		if id := c.snapshot.Tasks[i].ID; isPending[id] {
			c.running[id] = true
		}
	}
}

func (c *cycle) workload(name string) *workloadInfo {
	info := c.workloads[name]
	if info == nil {
		info = &workloadInfo{spec: c.snapshot.Specs[name]}
		info.expected = c.Sizing.ExpectedUsage(&info.spec)
		c.workloads[name] = info
	}
	return info
}

func unschedulableCause(w *Worker) placement.RejectionCause {
	switch {
	case w.Leaving:
		return placement.Leaving
	case w.Unreachable:
		return placement.Unreachable
	case w.Drained:
		return placement.Drained
	case w.Quarantine.Quarantined:
		return placement.Quarantined
	}
	return placement.Open
}

// predictedUse returns the predicted use of a running task: the measured use, or the workload's expected use if
// the attempt started after the last report. Memory, and the CPU of services and watchers, count at least as expected.
func (w *workloadInfo) predictedUse(t *Task) api.Resources {
	if !t.Measured {
		return w.expected
	}
	use := maxResources(t.Used, w.expected)
	if w.spec.Kind == api.KindJob {
		use.MilliCPU = t.Used.MilliCPU
	}
	return use
}

// schedule assigns, refuses or fails one pending task.
func (c *cycle) schedule(item *queue.Item) {
	id := item.Task.ID
	if c.running[id] {
		c.refuse(Refusal{Task: id, Cause: queue.CauseRunning, Reason: "the previous attempt of the task has not ended"})
		return
	}
	if reason, giveUp := c.Quarantine.GiveUp(&item.Task); giveUp && item.Spec.Kind == api.KindJob {
		c.plan.Failures = append(c.plan.Failures, Failure{Task: id, Reason: reason})
		return
	}
	key := shape{workload: item.Task.Work, size: item.Size}
	if cached, ok := c.refusalByShape[key]; ok && len(item.Avoid) == 0 {
		cached.Task = id
		c.refuse(cached)
		return
	}
	refusal, ok := c.tryPlace(item)
	if ok {
		c.running[id] = true
		return
	}
	if len(item.Avoid) == 0 {
		c.refusalByShape[key] = refusal
	}
	c.refuse(refusal)
}

func (c *cycle) refuse(r Refusal) { c.plan.Refusals = append(c.plan.Refusals, r) }

// tryPlace assigns one task to a worker. If none can take it, tryPlace returns the refusal and starts preemption where
// the task may preempt others.
func (c *cycle) tryPlace(item *queue.Item) (Refusal, bool) {
	spec := item.Spec
	refusal := Refusal{Task: item.Task.ID}
	quota := c.snapshot.Teams[spec.Team].Quota
	size, infeasible := c.feasibleSize(item, quota)
	if infeasible != nil {
		refusal.Cause, refusal.Reason = queue.CauseInfeasible, infeasible.Reason
		return refusal, false
	}
	if use := c.teamUse[spec.Team].Add(size); feasibility.ExceedsQuota(use, quota) {
		refusal.Cause = queue.CauseQuota
		refusal.Reason = fmt.Sprintf("team %s would use %s, which exceeds its quota of %s", spec.Team, use, quota)
		return refusal, false
	}
	request := c.request(item, size)
	if workerIndex, ok := c.cluster.Place(request); ok {
		c.assign(item, request, workerIndex)
		return refusal, true
	}
	refusal.Cause = queue.CauseCapacity
	refusal.Workers = c.cluster.CountRejections(request)
	refusal.Reason = "no worker can take the task: " + refusal.Workers.String()
	c.preempt(item, request)
	return refusal, false
}

// feasibleSize returns the size to reserve. If the corrected size is infeasible, it falls back to the declared size,
// because a correction must not make a feasible workload infeasible.
func (c *cycle) feasibleSize(item *queue.Item, quota api.Resources) (api.Resources, *feasibility.Infeasible) {
	infeasible := c.fleet.Check(item.Spec, item.Size, quota)
	if infeasible == nil || item.Size == item.Spec.Resources {
		return item.Size, infeasible
	}
	return item.Spec.Resources, c.fleet.Check(item.Spec, item.Spec.Resources, quota)
}

func (c *cycle) request(item *queue.Item, size api.Resources) *placement.Request {
	spec := item.Spec
	return &placement.Request{
		WorkloadID: c.cluster.WorkloadID(spec.Name, spec.Kind != api.KindJob),
		Batch:      spec.Kind == api.KindJob,
		Urgent:     spec.Urgency >= api.High,
		Size:       size, ExpectedUsage: c.Sizing.ExpectedUsage(spec),
		Regions: spec.Regions, ExcludedWorkers: item.Avoid,
	}
}

func (c *cycle) assign(item *queue.Item, r *placement.Request, workerIndex int32) {
	worker := c.cluster.Worker(workerIndex)
	c.cluster.Assume(workerIndex, r.WorkloadID, r.Size, r.ExpectedUsage)
	c.teamUse[item.Spec.Team] = c.teamUse[item.Spec.Team].Add(r.Size)
	c.plan.Assignments = append(c.plan.Assignments, Assignment{
		Task: item.Task.ID, Attempt: item.Task.Attempt + 1, Worker: worker.ID,
		Resources: r.Size, Checkpoint: item.Task.Checkpoint,
		Probe: worker.Unschedulable == placement.Quarantined,
	})
}

// addEviction adds a step against a running task to the plan. preemptor is the task that needs the resources; empty if
// the step relieves pressure on the worker.
func (c *cycle) addEviction(t *Task, action eviction.Action, preemptor api.TaskID, reason string) {
	c.plan.Actions = append(c.plan.Actions, TaskAction{
		Task: t.ID, Attempt: t.Attempt, Worker: t.Worker,
		Step: action.Step, Share: action.Share, Preemptor: preemptor, Reason: reason,
	})
}
