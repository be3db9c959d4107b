package scheduler

import (
	"time"

	"bronzehook/api"
	"bronzehook/scheduler/eviction"
	"bronzehook/scheduler/placement"
	"bronzehook/scheduler/queue"
)

// roomSample bounds the workers on which room is looked for, beside those on which room is being made already.
const roomSample = 48

// noDeadlineSlack stands in for the slack of work without a deadline.
const noDeadlineSlack = 365 * 24 * time.Hour

// yielding is what a cycle knows about tasks that may give way, per worker.
type yielding struct {
	// tasks holds the indices of the tasks of each worker.
	tasks map[api.WorkerID][]int
	// coming is what stops that were ordered before will free, without what tasks of this cycle wait for.
	coming map[api.WorkerID]api.Resources
	// busy lists the workers with a victim in progress.
	busy []int32
	// claimed holds tasks that give way in this cycle.
	claimed map[int]bool
}

func (c *cycle) yielding() *yielding {
	if c.yield != nil {
		return c.yield
	}
	y := &yielding{
		tasks:   make(map[api.WorkerID][]int, len(c.s.Workers)),
		coming:  map[api.WorkerID]api.Resources{},
		claimed: map[int]bool{},
	}
	inProgress := map[api.WorkerID]bool{}
	for i := range c.s.Tasks {
		t := &c.s.Tasks[i]
		y.tasks[t.Worker] = append(y.tasks[t.Worker], i)
		switch t.Step {
		case eviction.StepEvict:
			y.coming[t.Worker] = y.coming[t.Worker].Add(t.Resources)
			y.claimed[i] = true
			inProgress[t.Worker] = true
		case eviction.StepCheckpoint:
			inProgress[t.Worker] = true
		}
	}
	for i := range c.s.Workers {
		if id := c.s.Workers[i].ID; inProgress[id] {
			y.busy = append(y.busy, c.cluster.Index(id))
		}
	}
	c.yield = y
	return y
}

// makeRoom orders the cheapest steps that free a worker for an urgent task. The task itself is placed by a later cycle,
// once the victims have stopped.
func (c *cycle) makeRoom(item *queue.Item, r *placement.Request) {
	if !c.opts.Eviction.ForRoom || (r.Batch && !r.Urgent) {
		return
	}
	y := c.yielding()
	var best eviction.VictimSet
	bestAt := int32(-1)
	for _, at := range c.roomCandidates(y) {
		missing, usable := c.missing(r, at)
		if !usable {
			continue
		}
		if missing == (api.Resources{}) {
			c.claim(r, at)
			return
		}
		room, ok := c.opts.Eviction.SelectVictims(missing, item.Spec.Kind, item.Spec.Urgency, c.candidates(at))
		if ok && (bestAt < 0 || cheaper(room, best)) {
			best, bestAt = room, at
		}
	}
	if bestAt >= 0 {
		c.takeRoom(item, best, bestAt, r)
	}
}

func cheaper(a, b eviction.VictimSet) bool {
	if a.Lost != b.Lost {
		return a.Lost < b.Lost
	}
	return a.Victims < b.Victims
}

// roomCandidates returns the workers on which room is being made, and a sample of the others.
func (c *cycle) roomCandidates(y *yielding) []int32 {
	candidates := append([]int32(nil), y.busy...)
	n := len(c.s.Workers)
	start := c.rng.IntN(n)
	for i := range min(n, roomSample) {
		candidates = append(candidates, int32((start+i)%n))
	}
	return candidates
}

// missing returns what a worker lacks for the request beyond what is free and coming free. usable is false if the worker
// cannot take the task whatever is freed.
func (c *cycle) missing(r *placement.Request, at int32) (api.Resources, bool) {
	if !c.cluster.CouldTake(r, at) {
		return api.Resources{}, false
	}
	n := c.cluster.Worker(at)
	free := n.Capacity.Sub(n.Booked).Add(c.yield.coming[n.ID])
	return larger(r.Size.Sub(free), api.Resources{}), true
}

// claim lets the task wait for room that is being made already.
func (c *cycle) claim(r *placement.Request, at int32) {
	n := c.cluster.Worker(at)
	free := larger(n.Capacity.Sub(n.Booked), api.Resources{})
	c.yield.coming[n.ID] = c.yield.coming[n.ID].Sub(larger(r.Size.Sub(free), api.Resources{}))
	// The free part is kept for the task, so that less urgent tasks of this cycle do not take it.
	c.cluster.Hold(at, smaller(r.Size, free))
}

func smaller(a, b api.Resources) api.Resources {
	return api.Resources{
		MilliCPU:     min(a.MilliCPU, b.MilliCPU),
		MemoryMB:     min(a.MemoryMB, b.MemoryMB),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

func (c *cycle) takeRoom(item *queue.Item, room eviction.VictimSet, at int32, r *placement.Request) {
	id := c.cluster.Worker(at).ID
	for _, a := range room.Actions {
		t := &c.s.Tasks[a.Index]
		c.yield.claimed[a.Index] = true
		c.yield.coming[id] = c.yield.coming[id].Add(t.Resources)
		if a.Step != eviction.StepNone {
			c.order(t, a, item.Task.ID, "room for "+string(item.Task.ID))
		}
	}
	c.claim(r, at)
}

// candidates lists the tasks of a worker that have not been chosen to give way.
func (c *cycle) candidates(at int32) []eviction.Candidate {
	var list []eviction.Candidate
	for _, i := range c.yielding().tasks[c.cluster.Worker(at).ID] {
		if !c.yield.claimed[i] {
			list = append(list, c.candidate(i))
		}
	}
	return list
}

func (c *cycle) candidate(i int) eviction.Candidate {
	t := &c.s.Tasks[i]
	spec := &c.work(t.Work).spec
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
	candidate.Lost = c.now.Sub(saved)
	if !t.Due.IsZero() {
		remaining := float64(c.Sizing.RunTime(spec)) * (1 - t.Progress)
		candidate.Slack = t.Due.Sub(c.now) - time.Duration(remaining)
	}
	return candidate
}

// relieve orders the next step on each worker whose latency-critical tasks suffer, and lifts throttles where they no
// longer do.
func (c *cycle) relieve() {
	if !c.opts.Eviction.ForPressure {
		return
	}
	evictions := 0
	for i := range c.s.Workers {
		p := c.s.Workers[i].Pressure
		if !p.Active && !p.Calm {
			continue
		}
		at := c.cluster.Index(c.s.Workers[i].ID)
		candidates := c.candidates(at)
		c.predictRelief(at, candidates)
		for _, a := range c.opts.Eviction.Relieve(p, candidates) {
			if a.Step == eviction.StepEvict {
				evictions++
			}
			if a.Step == eviction.StepNone || evictions > c.opts.Eviction.MaxPerCycle {
				continue
			}
			c.yield.claimed[a.Index] = true
			c.order(&c.s.Tasks[a.Index], a, "", "relief of latency-critical tasks on "+string(c.s.Workers[i].ID))
		}
	}
}

// predictRelief fills in what each job on a worker is predicted to cost its latency-critical neighbours. On a worker
// without spare processors a job also costs them its share of the processors.
func (c *cycle) predictRelief(at int32, candidates []eviction.Candidate) {
	n := c.cluster.Worker(at)
	if n.Capacity.MilliCPU == 0 {
		return
	}
	capacity := float64(n.Capacity.MilliCPU)
	load := float64(n.Load.MilliCPU) / capacity
	for i := range candidates {
		job := &c.s.Tasks[candidates[i].Index]
		aggressor := c.Interference.ID(job.Work)
		for j := range candidates {
			if candidates[j].Kind == api.KindService {
				victim := c.Interference.ID(c.s.Tasks[candidates[j].Index].Work)
				candidates[i].Relief += c.Interference.Extra(victim, aggressor, load)
			}
		}
		if load >= 1 {
			candidates[i].Relief += float64(job.Used.MilliCPU) / capacity
		}
	}
}
