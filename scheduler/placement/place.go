package placement

import (
	"math"
	"slices"

	"bronzehook/api"
)

// Request is a task for which a worker is wanted.
type Request struct {
	// Work comes from Cluster.WorkID.
	Work int32
	// Batch marks jobs; other tasks are latency-critical or watchers.
	Batch bool
	// Urgent tasks are never used as probes of quarantined workers.
	Urgent bool
	// Size is reserved; Use is the expected use.
	Size, Use api.Resources
	// Regions limits the choice; empty means any.
	Regions []string
	// Avoid lists workers that refused the task.
	Avoid []api.WorkerID
}

// Weights of the score. Each term is about 0 to 1 before it is weighted; the order of the weights is the order in which
// the aims matter: keep copies apart, keep tail latency, keep accelerators, pack.
const (
	weightSameWorker   = 6.0
	weightRack         = 2.0
	weightDC           = 3.0
	weightInterference = 4.0
	weightLoad         = 1.0
	weightPack         = 0.5
	weightAccelerators = 1.5
	// weightProbe prefers a quarantined worker that is due for a probe, since otherwise it might never be tried.
	weightProbe = 100.0
)

// latencyWeight is how much more the slowdown of a latency-critical task counts than that of a batch task.
const latencyWeight = 4

// Processors and memory that are held back beside each free accelerator, so that a task that needs the device still
// finds room on its worker.
const (
	keptMilliCPUPerAccelerator = 2000
	keptMemoryMBPerAccelerator = 8192
)

// Place returns the index of the worker for a task; ok is false if none takes it. It does not count the placement.
func (c *Cluster) Place(r *Request) (index int32, ok bool) {
	candidates := c.order
	if r.Size.Accelerators > 0 && c.opts.Score {
		candidates = c.accelerated
	}
	if len(candidates) == 0 {
		return 0, false
	}
	start := 0
	if c.opts.Score {
		start = c.rng.IntN(len(candidates))
	}
	best, bestScore, compared := int32(-1), math.Inf(-1), 0
	for i := range candidates {
		at := candidates[(start+i)%len(candidates)]
		if c.check(r, &c.nodes[at]) != Open {
			continue
		}
		if !c.opts.Score {
			return at, true
		}
		if score, fits := c.score(r, &c.nodes[at]); fits && score > bestScore {
			best, bestScore = at, score
		}
		compared++
		if c.opts.SampleSize > 0 && compared >= c.opts.SampleSize && best >= 0 {
			break
		}
	}
	return best, best >= 0
}

// Explain counts over all workers why they do not take the task.
func (c *Cluster) Explain(r *Request) Counts {
	var counts Counts
	for i := range c.nodes {
		cause := c.check(r, &c.nodes[i])
		if cause == Open && c.opts.Score {
			if _, fits := c.score(r, &c.nodes[i]); !fits {
				cause = Interference
			}
		}
		counts[cause]++
	}
	return counts
}

// check returns why a worker cannot take the task, or Open.
func (c *Cluster) check(r *Request, n *node) Cause {
	if n.Closed != Open && !(n.Closed == Quarantined && n.Probe && r.Batch && !r.Urgent) {
		return n.Closed
	}
	if cause := roomFor(r, n); cause != Open {
		return cause
	}
	if len(r.Regions) > 0 && !slices.Contains(r.Regions, n.Location.Region) {
		return OtherRegion
	}
	if len(r.Avoid) > 0 && slices.Contains(r.Avoid, n.ID) {
		return Refused
	}
	if c.opts.KeepAccelerators && r.Size.Accelerators == 0 && !leavesAcceleratorRoom(r, n) {
		return AcceleratorsKept
	}
	if !r.Batch {
		return Open
	}
	if c.opts.UrgentReserve > 0 && !r.Urgent && !c.leavesUrgentRoom(r, n) {
		return UrgentReserve
	}
	if c.opts.PredictedLoad && !c.withinLoad(r, n) {
		return PredictedLoad
	}
	return Open
}

func roomFor(r *Request, n *node) Cause {
	switch {
	case n.Booked.MilliCPU+r.Size.MilliCPU > n.Capacity.MilliCPU:
		return Processors
	case n.Booked.MemoryMB+r.Size.MemoryMB > n.Capacity.MemoryMB:
		return Memory
	case n.Booked.Accelerators+r.Size.Accelerators > n.Capacity.Accelerators:
		return Accelerators
	}
	return Open
}

func leavesAcceleratorRoom(r *Request, n *node) bool {
	free := n.Capacity.Accelerators - n.Booked.Accelerators
	if free == 0 {
		return true
	}
	left := n.Capacity.Sub(n.Booked).Sub(r.Size)
	return left.MilliCPU >= free*keptMilliCPUPerAccelerator && left.MemoryMB >= free*keptMemoryMBPerAccelerator
}

// leavesUrgentRoom reports whether the reserve for urgent work stays free. An empty worker takes any task that fits, so
// that the reserve makes no job impossible to run.
func (c *Cluster) leavesUrgentRoom(r *Request, n *node) bool {
	if n.Booked == (api.Resources{}) {
		return true
	}
	left := n.Capacity.Sub(n.Booked).Sub(r.Size)
	share := c.opts.UrgentReserve
	return float64(left.MilliCPU) >= share*float64(n.Capacity.MilliCPU) &&
		float64(left.MemoryMB) >= share*float64(n.Capacity.MemoryMB)
}

func (c *Cluster) withinLoad(r *Request, n *node) bool {
	if n.Booked == (api.Resources{}) {
		return true
	}
	return r.Use.MilliCPU <= n.BatchRoom.MilliCPU && r.Use.MemoryMB <= n.BatchRoom.MemoryMB
}

// score rates a worker that passed the check; fits is false if a latency-critical neighbour would suffer too much.
func (c *Cluster) score(r *Request, n *node) (score float64, fits bool) {
	load := share(n.Load.MilliCPU+r.Use.MilliCPU, n.Capacity.MilliCPU)
	if c.opts.Interference && c.predictor != nil {
		cost, worst := c.interference(r, n, load)
		if r.Batch && worst > c.opts.MaxSlowdown {
			return 0, false
		}
		score -= weightInterference * cost
	}
	score -= weightLoad * load * load
	if c.opts.Pack && r.Batch {
		score += weightPack * fullness(r, n)
	}
	if c.opts.Spread && !r.Batch {
		score -= c.crowding(r, n)
	}
	if c.opts.KeepAccelerators {
		score -= weightAccelerators * share(n.Capacity.Accelerators-n.Booked.Accelerators, n.Capacity.Accelerators)
	}
	if n.Probe && n.Closed == Quarantined {
		score += weightProbe
	}
	return score, true
}

func fullness(r *Request, n *node) float64 {
	after := n.Booked.Add(r.Size)
	return max(share(after.MilliCPU, n.Capacity.MilliCPU), share(after.MemoryMB, n.Capacity.MemoryMB))
}

// crowding rates how close the task would be to others of its work: worker, rack and data centre.
func (c *Cluster) crowding(r *Request, n *node) float64 {
	w := &c.works[r.Work]
	var total, sameWorker int32
	for _, count := range w.perDC {
		total += count
	}
	if total == 0 {
		return 0
	}
	for _, res := range n.residents {
		if res.work == r.Work {
			sameWorker = res.count
		}
	}
	all := float64(total)
	return weightDC*float64(w.perDC[n.dc])/all + weightRack*float64(w.perRack[n.rack])/all +
		weightSameWorker*float64(sameWorker)/all
}

// interference returns the predicted cost of the neighbourhood and the worst extra run time of a latency-critical
// neighbour with the task among its neighbours.
func (c *Cluster) interference(r *Request, n *node, load float64) (cost, worst float64) {
	self := &c.works[r.Work]
	if r.Batch {
		c.sumSuffered(n)
	}
	for i := range n.residents {
		res := &n.residents[i]
		if res.count <= 0 {
			continue
		}
		other := &c.works[res.work]
		caused := c.predictor.Extra(other.predictorID, self.predictorID, load)
		suffered := c.predictor.Extra(self.predictorID, other.predictorID, load) * float64(res.count)
		if other.latency {
			worst = max(worst, caused+float64(res.suffered))
			caused *= latencyWeight
		}
		if self.latency {
			suffered *= latencyWeight
		}
		cost += caused*float64(res.count) + suffered
	}
	return cost, worst
}

// sumSuffered computes what the latency-critical residents of a worker are predicted to suffer from the others. Assume
// keeps the sums up to date.
func (c *Cluster) sumSuffered(n *node) {
	if n.summed {
		return
	}
	n.summed = true
	load := share(n.Load.MilliCPU, n.Capacity.MilliCPU)
	for i := range n.residents {
		victim := &n.residents[i]
		victim.suffered = 0
		if !c.works[victim.work].latency {
			continue
		}
		for j, other := range n.residents {
			count := other.count
			if i == j {
				count--
			}
			if count > 0 {
				extra := c.predictor.Extra(c.works[victim.work].predictorID, c.works[other.work].predictorID, load)
				victim.suffered += float32(extra * float64(count))
			}
		}
	}
}

// addSuffered adds what a new task causes to the latency-critical residents, and for the first of its workload what it
// suffers itself.
func (c *Cluster) addSuffered(n *node, workID int32) {
	load := share(n.Load.MilliCPU, n.Capacity.MilliCPU)
	self := &c.works[workID]
	suffered := float32(0)
	known := false
	for i := range n.residents {
		res := &n.residents[i]
		other := &c.works[res.work]
		known = known || res.work == workID
		if other.latency {
			res.suffered += float32(c.predictor.Extra(other.predictorID, self.predictorID, load))
		}
		if self.latency {
			suffered += float32(c.predictor.Extra(self.predictorID, other.predictorID, load)) * float32(res.count)
		}
	}
	if !known {
		n.residents = append(n.residents, resident{work: workID, suffered: suffered})
	}
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// CouldTake reports whether the worker could take the task if enough room were freed on it.
func (c *Cluster) CouldTake(r *Request, index int32) bool {
	n := &c.nodes[index]
	switch {
	case n.Closed != Open, !r.Size.Fits(n.Capacity):
		return false
	case len(r.Regions) > 0 && !slices.Contains(r.Regions, n.Location.Region):
		return false
	}
	return !slices.Contains(r.Avoid, n.ID)
}

// Hold keeps room on a worker for a task that waits for victims to stop.
func (c *Cluster) Hold(index int32, size api.Resources) {
	c.nodes[index].Booked = c.nodes[index].Booked.Add(size)
}
