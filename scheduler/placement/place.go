package placement

import (
	"math"
	"slices"

	"bronzehook/api"
)

// Request describes a task to be placed.
type Request struct {
	// WorkloadID is the identifier of the workload from Cluster.WorkloadID.
	WorkloadID int32
	// Batch is set for jobs and unset for services (latency-critical) and watchers.
	Batch bool
	// Urgent tasks may use the urgent reserve and are never used as probes of quarantined workers.
	Urgent bool
	// Size is the capacity to reserve; ExpectedUsage is the expected usage.
	Size, ExpectedUsage api.Resources
	// Regions lists the allowed regions; empty allows all.
	Regions []string
	// ExcludedWorkers lists the workers that refused the task.
	ExcludedWorkers []api.WorkerID
}

// Weights of the score. Each term is between about 0 and 1 before it is weighted. The weights follow the priority of
// the goals: spread replicas, protect tail latency, keep accelerators free, pack.
const (
	weightSameWorker   = 6.0
	weightRack         = 2.0
	weightDC           = 3.0
	weightInterference = 4.0
	weightLoad         = 1.0
	weightPack         = 0.5
	weightAccelerators = 1.5
	// weightProbe exceeds all other terms, because a quarantined worker due for a probe might otherwise never be
	// probed.
	weightProbe = 100.0
)

// latencyWeight is the weight of the slowdown of a latency-sensitive task relative to that of a batch task.
const latencyWeight = 4

// Processors and memory that are reserved for each free accelerator, so that a task that needs the accelerator still
// fits on its worker.
const (
	reservedMilliCPUPerAccelerator = 2000
	reservedMemoryMBPerAccelerator = 8192
)

// Place returns the index of the selected worker; ok is false if no worker can run the task. Place does not reserve the
// capacity; Assume does.
func (c *Cluster) Place(r *Request) (index int32, ok bool) {
	candidates := c.visitOrder
	if r.Size.Accelerators > 0 && c.opts.Score {
		candidates = c.withAccelerators
	}
	if len(candidates) == 0 {
		return 0, false
	}
	start := 0
	if c.opts.Score {
		start = c.rng.IntN(len(candidates))
	}
	best, bestScore, scored := int32(-1), math.Inf(-1), 0
	for i := range candidates {
		candidate := candidates[(start+i)%len(candidates)]
		if c.rejectionCause(r, &c.nodes[candidate]) != Open {
			continue
		}
		if !c.opts.Score {
			return candidate, true
		}
		if score, acceptable := c.score(r, &c.nodes[candidate]); acceptable && score > bestScore {
			best, bestScore = candidate, score
		}
		scored++
		if c.opts.SampleSize > 0 && scored >= c.opts.SampleSize && best >= 0 {
			break
		}
	}
	return best, best >= 0
}

// CountRejections counts the workers by the cause for which they are rejected for the task.
func (c *Cluster) CountRejections(r *Request) Counts {
	var counts Counts
	for i := range c.nodes {
		cause := c.rejectionCause(r, &c.nodes[i])
		if cause == Open && c.opts.Score {
			if _, acceptable := c.score(r, &c.nodes[i]); !acceptable {
				cause = Interference
			}
		}
		counts[cause]++
	}
	return counts
}

// rejectionCause returns the cause for which the filter rejects a worker, or Open if the task fits.
func (c *Cluster) rejectionCause(r *Request, n *node) RejectionCause {
	if n.Unschedulable != Open && !(n.Unschedulable == Quarantined && n.Probe && r.Batch && !r.Urgent) {
		return n.Unschedulable
	}
	if cause := checkCapacity(r, n); cause != Open {
		return cause
	}
	if len(r.Regions) > 0 && !slices.Contains(r.Regions, n.Location.Region) {
		return OtherRegion
	}
	if len(r.ExcludedWorkers) > 0 && slices.Contains(r.ExcludedWorkers, n.ID) {
		return RejectedBefore
	}
	if c.opts.ReserveForAccelerators && r.Size.Accelerators == 0 && !leavesAcceleratorReserve(r, n) {
		return AcceleratorReserve
	}
	if !r.Batch {
		return Open
	}
	if c.opts.UrgentReserve > 0 && !r.Urgent && !c.leavesUrgentReserve(r, n) {
		return UrgentReserve
	}
	if c.opts.PredictedLoad && !c.fitsPredictedLoad(r, n) {
		return PredictedLoad
	}
	return Open
}

func checkCapacity(r *Request, n *node) RejectionCause {
	switch {
	case n.Reserved.MilliCPU+r.Size.MilliCPU > n.Capacity.MilliCPU:
		return Processors
	case n.Reserved.MemoryMB+r.Size.MemoryMB > n.Capacity.MemoryMB:
		return Memory
	case n.Reserved.Accelerators+r.Size.Accelerators > n.Capacity.Accelerators:
		return Accelerators
	}
	return Open
}

func leavesAcceleratorReserve(r *Request, n *node) bool {
	free := n.Capacity.Accelerators - n.Reserved.Accelerators
	if free == 0 {
		return true
	}
	left := n.Capacity.Sub(n.Reserved).Sub(r.Size)
	return left.MilliCPU >= free*reservedMilliCPUPerAccelerator && left.MemoryMB >= free*reservedMemoryMBPerAccelerator
}

// leavesUrgentReserve reports whether the reserve for urgent work stays free. A worker without reservations accepts any
// task that fits, so that the reserve does not make a large job infeasible.
func (c *Cluster) leavesUrgentReserve(r *Request, n *node) bool {
	if n.Reserved == (api.Resources{}) {
		return true
	}
	left := n.Capacity.Sub(n.Reserved).Sub(r.Size)
	reserve := c.opts.UrgentReserve
	return float64(left.MilliCPU) >= reserve*float64(n.Capacity.MilliCPU) &&
		float64(left.MemoryMB) >= reserve*float64(n.Capacity.MemoryMB)
}

func (c *Cluster) fitsPredictedLoad(r *Request, n *node) bool {
	if n.Reserved == (api.Resources{}) {
		return true
	}
	return r.ExpectedUsage.MilliCPU <= n.BatchCapacity.MilliCPU && r.ExpectedUsage.MemoryMB <= n.BatchCapacity.MemoryMB
}

// score returns the score of a worker that passed the filter. acceptable is false if a batch task would slow down a
// latency-sensitive task on the worker by more than MaxSlowdown.
func (c *Cluster) score(r *Request, n *node) (score float64, acceptable bool) {
	load := fraction(n.PredictedUsage.MilliCPU+r.ExpectedUsage.MilliCPU, n.Capacity.MilliCPU)
	if c.opts.Interference && c.predictor != nil {
		cost, worst := c.interferenceCost(r, n, load)
		if r.Batch && worst > c.opts.MaxSlowdown {
			return 0, false
		}
		score -= weightInterference * cost
	}
	score -= weightLoad * load * load
	if c.opts.Pack && r.Batch {
		score += weightPack * reservedShareAfter(r, n)
	}
	if c.opts.Spread && !r.Batch {
		score -= c.spreadPenalty(r, n)
	}
	if c.opts.ReserveForAccelerators {
		score -= weightAccelerators * fraction(n.Capacity.Accelerators-n.Reserved.Accelerators, n.Capacity.Accelerators)
	}
	if n.Probe && n.Unschedulable == Quarantined {
		score += weightProbe
	}
	return score, true
}

func reservedShareAfter(r *Request, n *node) float64 {
	after := n.Reserved.Add(r.Size)
	return max(fraction(after.MilliCPU, n.Capacity.MilliCPU), fraction(after.MemoryMB, n.Capacity.MemoryMB))
}

// spreadPenalty returns the weighted share of the workload's tasks that run in the same data centre, in the same rack
// and on the same worker.
func (c *Cluster) spreadPenalty(r *Request, n *node) float64 {
	self := &c.workloads[r.WorkloadID]
	var total, sameWorker int32
	for _, count := range self.perDC {
		total += count
	}
	if total == 0 {
		return 0
	}
	for _, res := range n.residents {
		if res.workload == r.WorkloadID {
			sameWorker = res.count
		}
	}
	totalTasks := float64(total)
	return weightDC*float64(self.perDC[n.dc])/totalTasks + weightRack*float64(self.perRack[n.rack])/totalTasks +
		weightSameWorker*float64(sameWorker)/totalTasks
}

// interferenceCost returns the predicted cost of colocating the task with the residents of a worker, and the largest
// extra run time of a latency-sensitive resident once the task runs there.
func (c *Cluster) interferenceCost(r *Request, n *node, load float64) (cost, worst float64) {
	self := &c.workloads[r.WorkloadID]
	if r.Batch {
		c.computeExtraRunTimes(n)
	}
	for i := range n.residents {
		res := &n.residents[i]
		if res.count <= 0 {
			continue
		}
		other := &c.workloads[res.workload]
		caused := c.predictor.ExtraRunTime(other.predictorID, self.predictorID, load)
		suffered := c.predictor.ExtraRunTime(self.predictorID, other.predictorID, load) * float64(res.count)
		if other.latencySensitive {
			worst = max(worst, caused+float64(res.extraRunTime))
			caused *= latencyWeight
		}
		if self.latencySensitive {
			suffered *= latencyWeight
		}
		cost += caused*float64(res.count) + suffered
	}
	return cost, worst
}

// computeExtraRunTimes computes the predicted extra run times of the latency-sensitive residents of a worker, once per
// scheduling cycle. Assume keeps them up to date.
func (c *Cluster) computeExtraRunTimes(n *node) {
	if n.extraRunTimesComputed {
		return
	}
	n.extraRunTimesComputed = true
	load := fraction(n.PredictedUsage.MilliCPU, n.Capacity.MilliCPU)
	for i := range n.residents {
		victim := &n.residents[i]
		victim.extraRunTime = 0
		if !c.workloads[victim.workload].latencySensitive {
			continue
		}
		for j, other := range n.residents {
			count := other.count
			if i == j {
				count--
			}
			if count > 0 {
				extra := c.predictor.ExtraRunTime(c.workloads[victim.workload].predictorID, c.workloads[other.workload].predictorID, load)
				victim.extraRunTime += float32(extra * float64(count))
			}
		}
	}
}

// addExtraRunTimes adds the extra run time that a new task causes to the latency-sensitive residents. For the first
// task of a workload on the worker it also adds a group with the extra run time that the residents cause to that task.
func (c *Cluster) addExtraRunTimes(n *node, workloadID int32) {
	load := fraction(n.PredictedUsage.MilliCPU, n.Capacity.MilliCPU)
	self := &c.workloads[workloadID]
	suffered := float32(0)
	present := false
	for i := range n.residents {
		res := &n.residents[i]
		other := &c.workloads[res.workload]
		present = present || res.workload == workloadID
		if other.latencySensitive {
			res.extraRunTime += float32(c.predictor.ExtraRunTime(other.predictorID, self.predictorID, load))
		}
		if self.latencySensitive {
			suffered += float32(c.predictor.ExtraRunTime(self.predictorID, other.predictorID, load)) * float32(res.count)
		}
	}
	if !present {
		n.residents = append(n.residents, residentGroup{workload: workloadID, extraRunTime: suffered})
	}
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// FitsAfterPreemption reports whether the worker could run the task if enough of its capacity were freed.
func (c *Cluster) FitsAfterPreemption(r *Request, index int32) bool {
	n := &c.nodes[index]
	switch {
	case n.Unschedulable != Open, !r.Size.Fits(n.Capacity):
		return false
	case len(r.Regions) > 0 && !slices.Contains(r.Regions, n.Location.Region):
		return false
	}
	return !slices.Contains(r.ExcludedWorkers, n.ID)
}

// Hold reserves capacity on a worker for a task that waits until victims have stopped.
func (c *Cluster) Hold(index int32, size api.Resources) {
	c.nodes[index].Reserved = c.nodes[index].Reserved.Add(size)
}
