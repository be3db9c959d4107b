package placement

// maxFeasibleNodes bounds the feasible workers that are compared for a task without preferences, so that the cost of a
// placement does not grow with the number of workers.
const maxFeasibleNodes = 40

// Search chooses workers for the tasks of one step, one after the other. Between two choices capacity may be reserved, but not
// released: a worker that has refused a task of the step then refuses the next ones too, so each worker is examined
// once, and only the feasible ones again. A full fleet, where nearly all workers refuse, costs one pass for the step
// instead of one for each task.
type Search struct {
	nodes []*Node
	// kind is what the refusals so far depend on besides the step.
	kind requestKind
	// offset rotates the order in which the workers are examined; examined of them have been.
	offset, examined int
	// feasible holds the workers that did not refuse when last examined, and reason the most specific refusal.
	feasible []*Node
	reason   Reason
}

// NewSearch returns a search over workers for the tasks of one step.
func NewSearch(nodes []*Node) *Search { return &Search{nodes: nodes, reason: ReasonNoWorker} }

// Choose returns the best worker for a task, or nil and why there is none.
func (s *Search) Choose(request Request) (*Node, Reason) {
	if kind := kindOf(&request); s.examined == 0 || kind != s.kind {
		*s = Search{nodes: s.nodes, kind: kind, offset: request.Offset, feasible: s.feasible[:0], reason: ReasonNoWorker}
	}
	s.recheck(&request)
	s.examineMore(&request)
	var best *Node
	var bestScore float64
	for _, node := range s.feasible {
		if score := scoreNode(node, &request); best == nil || score > bestScore {
			best, bestScore = node, score
		}
	}
	if best == nil {
		return nil, s.reason
	}
	return best, ReasonNone
}

// recheck drops the workers that have ceased to be feasible since the last choice.
func (s *Search) recheck(request *Request) {
	kept := s.feasible[:0]
	for _, node := range s.feasible {
		if s.accepts(node, request) {
			kept = append(kept, node)
		}
	}
	s.feasible = kept
}

// examineMore examines further workers, until enough of them are feasible or all have been examined.
func (s *Search) examineMore(request *Request) {
	enough := maxFeasibleNodes
	if request.needsFullSearch() {
		enough = len(s.nodes)
	}
	for s.examined < len(s.nodes) && len(s.feasible) < enough {
		node := s.nodes[(s.examined+s.offset)%len(s.nodes)]
		s.examined++
		if s.accepts(node, request) {
			s.feasible = append(s.feasible, node)
		}
	}
}

// accepts reports whether a task can be placed on a worker, and notes the reason if it cannot.
func (s *Search) accepts(node *Node, request *Request) bool {
	refusal := check(node, request)
	if refusal == ReasonNone {
		return true
	}
	s.reason = moreSpecific(s.reason, refusal)
	return false
}

// Choose returns the best worker for a single task, or nil and why there is none.
func Choose(nodes []*Node, request Request) (*Node, Reason) { return NewSearch(nodes).Choose(request) }
