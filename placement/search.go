package placement

import (
	"math"
	"slices"

	"bronzehook/workers"
)

// maxFeasibleNodes bounds the feasible workers that are compared for a task without preferences, so that the cost of a
// placement does not grow with the number of workers.
const maxFeasibleNodes = 40

// Index holds the free capacity of the workers in one block of memory, for the searches of one scheduling cycle. On a full fleet
// nearly all workers refuse a task for want of capacity, and the index shows this without a read of their accounts. It may
// overstate free capacity, because accounts change after a Refresh.
type Index struct {
	nodes []*Node
	free  []freeCapacity
}

// freeCapacity is the free capacity of a worker.
type freeCapacity struct {
	// cpu and memoryMB are available to tasks that may use held capacity, which may use withheld CPU as well, batchCPU and
	// batchMemoryMB to others.
	cpu, memoryMB           int
	batchCPU, batchMemoryMB int
	// unusedCPU is the CPU that best-effort tasks find unused: enough for any on a worker that runs none, and none on one whose
	// load margin is used up.
	unusedCPU int
}

func freeCapacityOf(node *Node) freeCapacity {
	free := node.Free()
	c := freeCapacity{
		cpu: free.CPU, memoryMB: free.MemoryMB, batchCPU: free.CPU - node.Held.CPU - node.withheld(), batchMemoryMB: free.MemoryMB - node.Held.MemoryMB,
		unusedCPU: math.MaxInt,
	}
	switch {
	case node.loadMarginUsedUp():
		c.unusedCPU = math.MinInt
	case node.BestEffortTasks > 0:
		c.unusedCPU = node.UnusedCPU()
	}
	return c
}

// demand is the capacity that a worker needs to have for a request.
type demand struct {
	cpu, memoryMB, unusedCPU int
	useHeld                  bool
}

func demandOf(request *Request) demand {
	step := request.Step
	reserved := step.Reserved()
	d := demand{cpu: reserved.CPU, memoryMB: reserved.MemoryMB, unusedCPU: math.MinInt, useHeld: request.mayUseHeld()}
	switch {
	case !step.BestEffort:
		d.cpu += request.Headroom
	case !request.AllowStarved:
		d.unusedCPU = step.Resources.CPU / bestEffortOvercommit
	}
	return d
}

// covers reports whether the free capacity may be enough for a demand.
func (c *freeCapacity) covers(d *demand) bool {
	if d.useHeld {
		return c.cpu >= d.cpu && c.memoryMB >= d.memoryMB && c.unusedCPU >= d.unusedCPU
	}
	return c.batchCPU >= d.cpu && c.batchMemoryMB >= d.memoryMB && c.unusedCPU >= d.unusedCPU
}

// Refresh brings the index up to date with the accounts of the workers.
func (x *Index) Refresh(nodes []*Node) {
	x.nodes, x.free = nodes, x.free[:0]
	for _, node := range nodes {
		x.free = append(x.free, freeCapacityOf(node))
	}
}

// Search chooses workers for the tasks of one step, one after the other. Between two choices the caller reserves capacity on the
// worker chosen last and changes no other account. A worker that has refused a task of the step then refuses the next ones
// too, and one that has not is as good as before, so that only the worker chosen last is examined again. Best-effort tasks are an
// exception: a pair of images that is tried out on one worker may not be tried on others, so that this is
// checked again when a worker is chosen.
type Search struct {
	index *Index
	// kind is what the refusals so far depend on besides the step.
	kind   requestKind
	demand demand
	// avoid and rackInUse are what the scores depend on besides the step.
	avoid     workers.ID
	rackInUse string
	// offset rotates the order in which the workers are examined; examined of them have been.
	offset, examined int
	// candidates holds the workers that did not refuse, chosen the position among them of the one chosen last, -1 if there is
	// none, and reason the most specific refusal.
	candidates []candidate
	chosen     int
	reason     Reason
	// unadvised is set once a worker was refused for want of advice alone.
	unadvised bool
}

// candidate is a worker that can take a task.
type candidate struct {
	// position is that of the worker in the index.
	position int
	score    float64
}

// NewSearch returns a search for the tasks of one step.
func (x *Index) NewSearch() *Search { return &Search{index: x, chosen: -1, reason: ReasonNoWorker} }

// Choose returns the best worker for a task, or nil and why there is none.
func (s *Search) Choose(request Request) (*Node, Reason) {
	if kind := kindOf(&request); s.examined == 0 || kind != s.kind {
		s.restart(&request, kind)
	}
	s.refreshChosen(&request)
	if request.Avoid != s.avoid || request.RackInUse != s.rackInUse {
		s.rescore(&request)
	}
	s.examineMore(&request)
	s.choose()
	for s.chosen >= 0 && !s.mayStillTry(&request) {
		s.reason = moreSpecific(s.reason, ReasonInterference)
		s.candidates = slices.Delete(s.candidates, s.chosen, s.chosen+1)
		s.choose()
	}
	if s.chosen < 0 {
		return nil, s.reason
	}
	return s.index.nodes[s.candidates[s.chosen].position], ReasonNone
}

// choose sets chosen to the first of the best candidates.
func (s *Search) choose() {
	s.chosen = -1
	for i := range s.candidates {
		if s.chosen < 0 || s.candidates[i].score > s.candidates[s.chosen].score {
			s.chosen = i
		}
	}
}

// mayStillTry reports whether the chosen worker may try out the unknown pairs of images that a best-effort task brings.
func (s *Search) mayStillTry(request *Request) bool {
	step := request.Step
	if !step.BestEffort || request.AllowStarved || request.Interference == nil {
		return true
	}
	return request.Interference.mayTry(s.index.nodes[s.candidates[s.chosen].position], step.Image)
}

// restart begins to examine the workers anew, for a request to which the refusals so far do not apply.
func (s *Search) restart(request *Request, kind requestKind) {
	*s = Search{
		index: s.index, kind: kind, demand: demandOf(request), avoid: request.Avoid, rackInUse: request.RackInUse,
		offset: request.Offset, candidates: s.candidates[:0], chosen: -1, reason: ReasonNoWorker,
	}
}

// refreshChosen checks and scores the worker chosen last again.
func (s *Search) refreshChosen(request *Request) {
	if s.chosen < 0 {
		return
	}
	c := &s.candidates[s.chosen]
	if s.accepts(c.position, request) {
		c.score = scoreNode(s.index.nodes[c.position], request)
		return
	}
	// The order is kept, since the first of equal candidates is chosen.
	s.candidates = slices.Delete(s.candidates, s.chosen, s.chosen+1)
}

// rescore scores all candidates again, for a request with other preferences.
func (s *Search) rescore(request *Request) {
	s.avoid, s.rackInUse = request.Avoid, request.RackInUse
	for i := range s.candidates {
		s.candidates[i].score = scoreNode(s.index.nodes[s.candidates[i].position], request)
	}
}

// examineMore examines further workers, until enough of them are candidates or all have been examined.
func (s *Search) examineMore(request *Request) {
	enough := maxFeasibleNodes
	if request.needsFullSearch() {
		enough = len(s.index.nodes)
	}
	for s.examined < len(s.index.nodes) && len(s.candidates) < enough {
		i := (s.examined + s.offset) % len(s.index.nodes)
		s.examined++
		// Once the reason is a shortage, no other refusal replaces it, so that none has to be determined.
		if s.reason.isShortage() && !s.index.free[i].covers(&s.demand) {
			continue
		}
		if s.accepts(i, request) {
			s.candidates = append(s.candidates, candidate{i, scoreNode(s.index.nodes[i], request)})
		}
	}
}

// accepts reports whether a task can be placed on the worker at a position, and notes the reason if it cannot.
func (s *Search) accepts(i int, request *Request) bool {
	node := s.index.nodes[i]
	refusal := check(node, request)
	if refusal == ReasonNone {
		return true
	}
	s.reason = moreSpecific(s.reason, refusal)
	s.unadvised = s.unadvised || refusal == ReasonNoTicket
	if refusal.isShortage() || refusal == ReasonInterference {
		s.index.free[i] = freeCapacityOf(node)
	}
	return false
}

// Choose returns the best worker for a single task, or nil and why there is none.
func Choose(nodes []*Node, request Request) (*Node, Reason) {
	var index Index
	index.Refresh(nodes)
	return index.NewSearch().Choose(request)
}
