// Package placement chooses a worker for a task: a filter by room, drains and refusals, then a score by spread, predicted
// interference, load, packing and scarcity of accelerators. At size it scores a sample of the workers. A placement that
// was chosen counts at once for the next choice.
package placement

import (
	"math/rand/v2"

	"bronzehook/api"
)

// Options switches the parts of the choice; each can be off alone. With all of them off the first worker that fits is
// taken.
type Options struct {
	// Score compares candidates; without it the first that fits is taken, in the order of the workers.
	Score bool
	// SampleSize is the number of fitting workers that are compared; 0 compares all of them.
	SampleSize int
	// Spread keeps the tasks of one service or watcher apart.
	Spread bool
	// Interference avoids neighbours that are predicted to slow each other down.
	Interference bool
	// Pack puts batch work on workers that are already full, so that large tasks still find room.
	Pack bool
	// KeepAccelerators holds back processors and memory beside free accelerators for tasks that need them.
	KeepAccelerators bool
	// PredictedLoad refuses batch work on workers whose predicted use leaves no room, whatever is reserved.
	PredictedLoad bool
	// UrgentReserve is the share of a worker's processors and memory that batch work leaves to latency-critical work.
	UrgentReserve float64
	// MaxSlowdown refuses batch work where a latency-critical neighbour's predicted extra run time would exceed it.
	MaxSlowdown float64
}

// DefaultOptions returns the options of a production site.
func DefaultOptions() Options {
	return Options{
		Score: true, SampleSize: 16, Spread: true, Interference: true, Pack: true, KeepAccelerators: true,
		PredictedLoad: true, UrgentReserve: 0.05, MaxSlowdown: 0.5,
	}
}

// FirstFit returns the options of the baseline: the first worker on which the task fits.
func FirstFit() Options { return Options{} }

// Predictor estimates the interference between two workloads. Identifiers come from ID.
type Predictor interface {
	// ID returns the predictor's identifier of a workload, negative if it is unknown.
	ID(work string) int32
	// Extra returns the predicted extra run time of the victim, as a share of its run time alone, that one task of the
	// aggressor causes on a worker whose processors are used to the given share.
	Extra(victim, aggressor int32, load float64) float64
}

// Node is a worker as the choice sees it.
type Node struct {
	ID       api.WorkerID
	Location api.Location
	Capacity api.Resources
	// Booked is what is reserved on the worker.
	Booked api.Resources
	// Load is the predicted use: the last report, and the estimate of what was placed since.
	Load api.Resources
	// BatchRoom is what batch work may still use by prediction.
	BatchRoom api.Resources
	// Closed says why the worker takes no tasks; Open if it does.
	Closed Cause
	// Probe lets one job start on a quarantined worker to find out whether it has recovered.
	Probe bool
}

// resident is a group of equal tasks on a worker.
type resident struct {
	work  int32
	count int32
	// suffered is the predicted extra run time that the neighbours cause to each task of the group.
	suffered float32
}

type node struct {
	Node
	region, dc, rack int32
	residents        []resident
	// summed is set once the residents' suffered fields are computed.
	summed bool
}

// work is a workload that the cluster knows.
type work struct {
	predictorID int32
	latency     bool
	perDC       []int32
	perRack     []int32
}

// Cluster is the state of all workers during one cycle. It is owned by one goroutine.
type Cluster struct {
	opts      Options
	predictor Predictor
	rng       *rand.Rand
	nodes     []node
	// order visits the workers so that neighbours in it are in different data centres and racks.
	order       []int32
	accelerated []int32
	byID        map[api.WorkerID]int32
	works       []work
	workIDs     map[string]int32
	regions     names
	dcs         names
	racks       names
}

// names numbers strings from 0.
type names map[string]int32

func (n names) id(s string) int32 {
	id, ok := n[s]
	if !ok {
		id = int32(len(n))
		n[s] = id
	}
	return id
}

// NewCluster returns a cluster of the workers without tasks. The predictor may be nil.
func NewCluster(nodes []Node, opts Options, predictor Predictor, rng *rand.Rand) *Cluster {
	c := &Cluster{
		opts: opts, predictor: predictor, rng: rng,
		nodes:   make([]node, len(nodes)),
		byID:    make(map[api.WorkerID]int32, len(nodes)),
		workIDs: map[string]int32{},
		regions: names{}, dcs: names{}, racks: names{},
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
			c.accelerated = append(c.accelerated, int32(i))
		}
	}
	c.order = c.interleave()
	return c
}

// interleave orders the workers round robin over racks, and the racks round robin over data centres.
func (c *Cluster) interleave() []int32 {
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
	sequence := c.rackOrder(racks)
	for depth := 0; len(order) < len(c.nodes); depth++ {
		for _, rack := range sequence {
			if depth < len(racks[rack]) {
				order = append(order, racks[rack][depth])
			}
		}
	}
	return order
}

// rackOrder visits the racks so that neighbours are in different data centres.
func (c *Cluster) rackOrder(racks [][]int32) []int32 {
	perDC := make([][]int32, len(c.dcs))
	for rack, nodes := range racks {
		dc := c.nodes[nodes[0]].dc
		perDC[dc] = append(perDC[dc], int32(rack))
	}
	var sequence []int32
	for depth := 0; len(sequence) < len(racks); depth++ {
		for _, list := range perDC {
			if depth < len(list) {
				sequence = append(sequence, list[depth])
			}
		}
	}
	return sequence
}

// Index returns the index of a worker, or -1.
func (c *Cluster) Index(id api.WorkerID) int32 {
	if i, ok := c.byID[id]; ok {
		return i
	}
	return -1
}

// Worker returns the worker at an index as the cluster sees it now, with all assumed placements.
func (c *Cluster) Worker(index int32) Node { return c.nodes[index].Node }

// WorkID numbers a workload. Latency says that the work is latency-critical or a watcher, which is kept apart.
func (c *Cluster) WorkID(name string, latency bool) int32 {
	if id, ok := c.workIDs[name]; ok {
		return id
	}
	w := work{predictorID: -1, latency: latency}
	if c.predictor != nil {
		w.predictorID = c.predictor.ID(name)
	}
	if latency {
		w.perDC = make([]int32, len(c.dcs))
		w.perRack = make([]int32, len(c.racks))
	}
	id := int32(len(c.works))
	c.works = append(c.works, w)
	c.workIDs[name] = id
	return id
}

// AddResident counts a task that runs on a worker. Its size has to be part of Booked already.
func (c *Cluster) AddResident(index, workID int32) {
	c.changeResidents(index, workID, 1)
}

// Assume counts a placement at once: its size as booked and its expected use as load.
func (c *Cluster) Assume(index, workID int32, size, use api.Resources) {
	n := &c.nodes[index]
	n.Booked = n.Booked.Add(size)
	n.Load = n.Load.Add(use)
	n.BatchRoom = n.BatchRoom.Sub(use)
	n.Probe = false
	if n.summed {
		c.addSuffered(n, workID)
	}
	c.changeResidents(index, workID, 1)
}

func (c *Cluster) changeResidents(index, workID, by int32) {
	n := &c.nodes[index]
	w := &c.works[workID]
	if w.latency {
		w.perDC[n.dc] += by
		w.perRack[n.rack] += by
	}
	for i := range n.residents {
		if n.residents[i].work == workID {
			n.residents[i].count += by
			return
		}
	}
	n.residents = append(n.residents, resident{work: workID, count: by})
}
