// Package placement selects a worker for a task. A filter removes workers without enough free capacity, drained workers
// and workers that refused the task; a score then ranks the rest by spread, predicted interference, load, packing and
// scarcity of accelerators. In a large cluster only a sample of the workers is scored. An assumed placement counts at
// once in later placements of the same scheduling cycle.
package placement

import (
	"math/rand/v2"

	"bronzehook/api"
)

// Options enables the parts of the filter and the score; each can be disabled independently. With all of them disabled,
// Place returns the first worker that fits.
type Options struct {
	// Score ranks the workers that fit; without it Place returns the first that fits, in the order passed to
	// NewCluster.
	Score bool
	// SampleSize is the number of fitting workers that are scored; 0 scores all of them.
	SampleSize int
	// Spread distributes the tasks of one service or watcher over workers, racks and data centres (anti-affinity).
	Spread bool
	// Interference avoids colocating tasks that are predicted to slow each other down.
	Interference bool
	// Pack prefers workers with a large share of reserved capacity for batch tasks, so that others keep enough free
	// capacity for large tasks.
	Pack bool
	// ReserveForAccelerators reserves processors and memory on workers with free accelerators for tasks that need
	// accelerators.
	ReserveForAccelerators bool
	// PredictedLoad rejects workers for batch tasks if their predicted usage leaves too little capacity, even if enough
	// is unreserved.
	PredictedLoad bool
	// UrgentReserve is the share of a worker's processors and memory that non-urgent batch tasks leave free for
	// latency-critical and urgent work.
	UrgentReserve float64
	// MaxSlowdown is the predicted extra run time of a latency-critical task, as a share of its run time alone, above
	// which its worker is rejected for a batch task.
	MaxSlowdown float64
}

// DefaultOptions returns the options for production.
func DefaultOptions() Options {
	return Options{
		Score: true, SampleSize: 16, Spread: true, Interference: true, Pack: true, ReserveForAccelerators: true,
		PredictedLoad: true, UrgentReserve: 0.05, MaxSlowdown: 0.5,
	}
}

// FirstFit returns the options of the first-fit baseline, with all parts disabled.
func FirstFit() Options { return Options{} }

// Predictor estimates the interference between two workloads. The identifiers passed to ExtraRunTime come from ID.
type Predictor interface {
	// ID returns the predictor's identifier of a workload, negative if it is unknown.
	ID(work string) int32
	// ExtraRunTime returns the predicted extra run time of the victim, as a share of its run time alone, that one task of the
	// aggressor causes on a worker whose processors are used to the share given by load.
	ExtraRunTime(victim, aggressor int32, load float64) float64
}

// Node is the state of a worker that placement uses.
type Node struct {
	ID       api.WorkerID
	Location api.Location
	Capacity api.Resources
	// Reserved is the reserved capacity.
	Reserved api.Resources
	// PredictedUsage is the predicted usage: the last usage report plus the estimated usage of tasks placed since.
	PredictedUsage api.Resources
	// BatchCapacity is the capacity that batch tasks may still use according to the predicted usage.
	BatchCapacity api.Resources
	// Unschedulable is the cause for which the worker accepts no tasks; Open if it accepts tasks.
	Unschedulable RejectionCause
	// Probe allows one job to start on a quarantined worker to find out whether the worker has recovered.
	Probe bool
}

// residentGroup represents the tasks of one workload on a worker.
type residentGroup struct {
	workload int32
	count    int32
	// extraRunTime is the predicted extra run time that colocated tasks cause to each task of the group, as a share of
	// its run time alone. It is computed for latency-sensitive workloads only.
	extraRunTime float32
}

type node struct {
	Node
	region, dc, rack int32
	residents        []residentGroup
	// extraRunTimesComputed is set once the extraRunTime fields of the residents are computed.
	extraRunTimesComputed bool
}

// workload is a workload that was registered by WorkloadID.
type workload struct {
	predictorID      int32
	latencySensitive bool
	perDC            []int32
	perRack          []int32
}

// Cluster is the state of all workers during one scheduling cycle. It must be used by one goroutine only.
type Cluster struct {
	opts      Options
	predictor Predictor
	rng       *rand.Rand
	nodes     []node
	// visitOrder holds the indices of the workers so that adjacent ones are in different data centres and racks.
	visitOrder       []int32
	withAccelerators []int32
	byID             map[api.WorkerID]int32
	workloads        []workload
	workloadIDs      map[string]int32
	regions          nameIndex
	dcs              nameIndex
	racks            nameIndex
}

// nameIndex maps names to consecutive identifiers from 0.
type nameIndex map[string]int32

func (n nameIndex) id(s string) int32 {
	id, ok := n[s]
	if !ok {
		id = int32(len(n))
		n[s] = id
	}
	return id
}

// NewCluster returns a cluster of the given workers without running tasks. The predictor may be nil.
func NewCluster(nodes []Node, opts Options, predictor Predictor, rng *rand.Rand) *Cluster {
	c := &Cluster{
		opts: opts, predictor: predictor, rng: rng,
		nodes:       make([]node, len(nodes)),
		byID:        make(map[api.WorkerID]int32, len(nodes)),
		workloadIDs: map[string]int32{},
		regions:     nameIndex{}, dcs: nameIndex{}, racks: nameIndex{},
	}
	for i, n := range nodes {
		c.nodes[i] = node{
			Node:   n,
			region: c.regions.id(n.Location.Region),
			dc:     c.dcs.id(n.Location.DataCentre),
			rack:   c.racks.id(n.Location.DataCentre + "/" + n.Location.Rack),
		}
		c.byID[n.ID] = int32(i)
		if n.Capacity.Accelerators > 0 {
			c.withAccelerators = append(c.withAccelerators, int32(i))
		}
	}
	c.visitOrder = c.interleaveRacks()
	return c
}

// interleaveRacks returns the workers in round-robin order over the racks, with the racks in round-robin order over the
// data centres. Without scoring it returns the workers in their given order.
func (c *Cluster) interleaveRacks() []int32 {
	order := make([]int32, 0, len(c.nodes))
	if !c.opts.Score {
		for i := range c.nodes {
			order = append(order, int32(i))
		}
		return order
	}
	racks := make([][]int32, len(c.racks))
	for i := range c.nodes {
		racks[c.nodes[i].rack] = append(racks[c.nodes[i].rack], int32(i))
	}
	sequence := c.interleaveDataCentres(racks)
	for position := 0; len(order) < len(c.nodes); position++ {
		for _, rack := range sequence {
			if position < len(racks[rack]) {
				order = append(order, racks[rack][position])
			}
		}
	}
	return order
}

// interleaveDataCentres returns the racks in round-robin order over the data centres.
func (c *Cluster) interleaveDataCentres(racks [][]int32) []int32 {
	perDC := make([][]int32, len(c.dcs))
	for rack, nodes := range racks {
		dc := c.nodes[nodes[0]].dc
		perDC[dc] = append(perDC[dc], int32(rack))
	}
	var sequence []int32
	for position := 0; len(sequence) < len(racks); position++ {
		for _, dcRacks := range perDC {
			if position < len(dcRacks) {
				sequence = append(sequence, dcRacks[position])
			}
		}
	}
	return sequence
}

// Index returns the index of a worker, or -1 if it is not in the cluster.
func (c *Cluster) Index(id api.WorkerID) int32 {
	if i, ok := c.byID[id]; ok {
		return i
	}
	return -1
}

// Worker returns the current state of the worker at an index, including all assumed placements.
func (c *Cluster) Worker(index int32) Node { return c.nodes[index].Node }

// WorkloadID returns the identifier of a workload and registers the workload on first use. latencySensitive is set for
// services and watchers; their tasks are spread and weigh more in the interference cost.
func (c *Cluster) WorkloadID(name string, latencySensitive bool) int32 {
	if id, ok := c.workloadIDs[name]; ok {
		return id
	}
	w := workload{predictorID: -1, latencySensitive: latencySensitive}
	if c.predictor != nil {
		w.predictorID = c.predictor.ID(name)
	}
	if latencySensitive {
		w.perDC = make([]int32, len(c.dcs))
		w.perRack = make([]int32, len(c.racks))
	}
	id := int32(len(c.workloads))
	c.workloads = append(c.workloads, w)
	c.workloadIDs[name] = id
	return id
}

// AddResident counts a task that runs on a worker. Its size must already be included in Node.Booked.
func (c *Cluster) AddResident(index, workloadID int32) {
	c.changeResidents(index, workloadID, 1)
}

// Assume counts a placement before the task starts: its size as reserved and its expected usage as load.
func (c *Cluster) Assume(index, workloadID int32, size, use api.Resources) {
	n := &c.nodes[index]
	n.Reserved = n.Reserved.Add(size)
	n.PredictedUsage = n.PredictedUsage.Add(use)
	n.BatchCapacity = n.BatchCapacity.Sub(use)
	n.Probe = false
	if n.extraRunTimesComputed {
		c.addExtraRunTimes(n, workloadID)
	}
	c.changeResidents(index, workloadID, 1)
}

func (c *Cluster) changeResidents(index, workloadID, delta int32) {
	n := &c.nodes[index]
	w := &c.workloads[workloadID]
	if w.latencySensitive {
		w.perDC[n.dc] += delta
		w.perRack[n.rack] += delta
	}
	for i := range n.residents {
		if n.residents[i].workload == workloadID {
			n.residents[i].count += delta
			return
		}
	}
	n.residents = append(n.residents, residentGroup{workload: workloadID, count: delta})
}
