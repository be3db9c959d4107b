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

// cycle is the state of one cycle.
type cycle struct {
	*Engine
	s       *Snapshot
	now     time.Time
	rng     *rand.Rand
	cluster *placement.Cluster
	fleet   *feasibility.Fleet
	teams   map[string]api.Resources
	works   map[string]*workInfo
	// refused keeps the refusal of each shape, so that equal tasks are searched for once a cycle.
	refused map[shape]Refusal
	seen    map[api.TaskID]bool
	yield   *yielding
	plan    Plan
}

// workInfo is what a cycle knows about a work. It is looked up once for each task.
type workInfo struct {
	spec api.Spec
	// expected is the predicted use of one task.
	expected api.Resources
	// booked is what the running tasks reserve.
	booked api.Resources
	// onWorkers holds the index of the worker of each running task, in the order of the snapshot.
	onWorkers []int32
	// listed is set once the work is in the list of those that run.
	listed bool
}

// shape identifies tasks that are interchangeable for placement.
type shape struct {
	work string
	size api.Resources
}

// Cycle implements Planner.
func (e *Engine) Cycle(s *Snapshot, pending []queue.Item, now time.Time) Plan {
	c := e.begin(s, pending, now)
	for i := range pending {
		c.decide(&pending[i])
	}
	c.relieve()
	return c.plan
}

func (e *Engine) begin(s *Snapshot, pending []queue.Item, now time.Time) *cycle {
	c := &cycle{
		Engine: e, s: s, now: now,
		rng:     rand.New(rand.NewPCG(e.seed, s.Revision)),
		fleet:   feasibility.NewFleet(e.opts.Feasibility),
		teams:   make(map[string]api.Resources, len(s.Teams)),
		works:   make(map[string]*workInfo, len(s.Specs)),
		refused: map[shape]Refusal{},
		seen:    make(map[api.TaskID]bool, len(pending)),
	}
	c.buildCluster()
	c.markRunning(pending)
	return c
}

// buildCluster sums reservations and predicted use over the tasks of each worker.
func (c *cycle) buildCluster() {
	index := make(map[api.WorkerID]int, len(c.s.Workers))
	nodes := make([]placement.Node, len(c.s.Workers))
	for i := range c.s.Workers {
		w := &c.s.Workers[i]
		index[w.ID] = i
		nodes[i] = placement.Node{
			ID: w.ID, Location: w.Location, Capacity: w.Capacity,
			Closed: closedBy(w), Probe: w.Quarantine.Probe,
		}
		if !w.Leaving {
			c.fleet.Add(w.Location.Region, w.Capacity)
		}
	}
	var names []string
	for i := range c.s.Tasks {
		t := &c.s.Tasks[i]
		info := c.work(t.Work)
		if !info.listed {
			info.listed = true
			names = append(names, t.Work)
		}
		info.booked = info.booked.Add(t.Resources)
		at, ok := index[t.Worker]
		if !ok {
			continue
		}
		nodes[at].Booked = nodes[at].Booked.Add(t.Resources)
		nodes[at].Load = nodes[at].Load.Add(info.useOf(t))
		info.onWorkers = append(info.onWorkers, int32(at))
	}
	for i := range nodes {
		nodes[i].Booked = larger(nodes[i].Booked, c.s.Workers[i].Reserved)
		nodes[i].BatchRoom = c.opts.Sizing.Reclaimable(nodes[i].Capacity, nodes[i].Load)
	}
	c.cluster = placement.NewCluster(nodes, c.opts.Placement, c.Interference, c.rng)
	for _, name := range names {
		c.addResidents(name, c.works[name])
	}
}

// addResidents counts the running tasks of a work on their workers and for their team.
func (c *cycle) addResidents(name string, info *workInfo) {
	c.teams[info.spec.Team] = c.teams[info.spec.Team].Add(info.booked)
	id := c.cluster.WorkID(name, info.spec.Kind != api.KindJob)
	for _, at := range info.onWorkers {
		c.cluster.AddResident(at, id)
	}
}

// markRunning marks the pending tasks of which an attempt has not ended.
func (c *cycle) markRunning(pending []queue.Item) {
	asked := make(map[api.TaskID]bool, len(pending))
	for i := range pending {
		asked[pending[i].Task.ID] = true
	}
	for i := range c.s.Tasks {
		if id := c.s.Tasks[i].ID; asked[id] {
			c.seen[id] = true
		}
	}
}

func (c *cycle) work(name string) *workInfo {
	info := c.works[name]
	if info == nil {
		info = &workInfo{spec: c.s.Specs[name]}
		info.expected = c.Sizing.ExpectedUse(&info.spec)
		c.works[name] = info
	}
	return info
}

func closedBy(w *Worker) placement.Cause {
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

// useOf returns what a running task is predicted to use: what was measured, or its estimate if it started after the
// last report. Memory, and the processors of latency-critical tasks, count at least at their estimate.
func (w *workInfo) useOf(t *Task) api.Resources {
	if !t.Measured {
		return w.expected
	}
	use := larger(t.Used, w.expected)
	if w.spec.Kind == api.KindJob {
		use.MilliCPU = t.Used.MilliCPU
	}
	return use
}

// decide assigns, refuses or fails one pending task.
func (c *cycle) decide(item *queue.Item) {
	id := item.Task.ID
	if c.seen[id] {
		c.refuse(Refusal{Task: id, Cause: queue.CauseRunning, Reason: "an attempt of the task has not ended"})
		return
	}
	if reason, giveUp := c.Quarantine.GiveUp(&item.Task); giveUp && item.Spec.Kind == api.KindJob {
		c.plan.Failures = append(c.plan.Failures, Failure{Task: id, Reason: reason})
		return
	}
	key := shape{work: item.Task.Work, size: item.Size}
	if known, ok := c.refused[key]; ok && len(item.Avoid) == 0 {
		known.Task = id
		c.refuse(known)
		return
	}
	refusal, ok := c.try(item)
	if ok {
		c.seen[id] = true
		return
	}
	if len(item.Avoid) == 0 {
		c.refused[key] = refusal
	}
	c.refuse(refusal)
}

func (c *cycle) refuse(r Refusal) { c.plan.Refusals = append(c.plan.Refusals, r) }

// try places one task. Otherwise it returns why it could not, and asks for room if the task is urgent.
func (c *cycle) try(item *queue.Item) (Refusal, bool) {
	spec := item.Spec
	refusal := Refusal{Task: item.Task.ID}
	quota := c.s.Teams[spec.Team].Quota
	size, infeasible := c.feasibleSize(item, quota)
	if infeasible != nil {
		refusal.Cause, refusal.Reason = queue.CauseInfeasible, infeasible.Reason
		return refusal, false
	}
	if use := c.teams[spec.Team].Add(size); feasibility.ExceedsQuota(use, quota) {
		refusal.Cause = queue.CauseQuota
		refusal.Reason = fmt.Sprintf("team %s would use %s of its quota %s", spec.Team, use, quota)
		return refusal, false
	}
	request := c.request(item, size)
	if at, ok := c.cluster.Place(request); ok {
		c.assign(item, request, at)
		return refusal, true
	}
	refusal.Cause = queue.CauseCapacity
	refusal.Workers = c.cluster.Explain(request)
	refusal.Reason = "no worker takes it: " + refusal.Workers.String()
	c.makeRoom(item, request)
	return refusal, false
}

// feasibleSize returns the size to reserve. A corrected size that could never run gives way to the declared one, because
// a correction must not make work impossible.
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
		Work:   c.cluster.WorkID(spec.Name, spec.Kind != api.KindJob),
		Batch:  spec.Kind == api.KindJob,
		Urgent: spec.Urgency >= api.High,
		Size:   size, Use: c.Sizing.ExpectedUse(spec),
		Regions: spec.Regions, Avoid: item.Avoid,
	}
}

func (c *cycle) assign(item *queue.Item, r *placement.Request, at int32) {
	worker := c.cluster.Worker(at)
	c.cluster.Assume(at, r.Work, r.Size, r.Use)
	c.teams[item.Spec.Team] = c.teams[item.Spec.Team].Add(r.Size)
	c.plan.Assignments = append(c.plan.Assignments, Assignment{
		Task: item.Task.ID, Attempt: item.Task.Attempt + 1, Worker: worker.ID,
		Resources: r.Size, Checkpoint: item.Task.Checkpoint,
		Probe: worker.Closed == placement.Quarantined,
	})
}

// order adds a step about a running task to the plan.
func (c *cycle) order(t *Task, a eviction.Action, needs api.TaskID, reason string) {
	c.plan.Evictions = append(c.plan.Evictions, Eviction{
		Task: t.ID, Attempt: t.Attempt, Worker: t.Worker, Step: a.Step, Share: a.Share, For: needs, Reason: reason,
	})
}
