package placement

import (
	"cmp"
	"slices"
)

// Advice is what is known of whether a worker may run a step.
type Advice uint8

// The states of advice. AdviceUnknown is that of a worker on which there is no advice, or none that is still valid.
const (
	AdviceGranted Advice = iota
	AdviceUnknown
	AdviceRefused
)

// adviceOn returns the advice on a worker.
func (r *Request) adviceOn(node *Node) Advice {
	if r.Advice == nil {
		return AdviceGranted
	}
	return r.Advice(node.Registration.ID)
}

// Unadvised reports whether the search has met a worker that would have taken a task but for want of advice.
func (s *Search) Unadvised() bool { return s.unadvised }

// Unadvised returns the workers that would take a task if the advice on them, which is unknown, granted it: at most limit, and
// those first that the task would be placed on first.
func Unadvised(nodes []*Node, request Request, limit int) []*Node {
	var candidates []candidate
	for i := range nodes {
		position := (i + request.Offset) % len(nodes)
		if check(nodes[position], &request) == ReasonNoTicket {
			candidates = append(candidates, candidate{position, scoreNode(nodes[position], &request)})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	best := make([]*Node, 0, min(limit, len(candidates)))
	for _, c := range candidates[:min(limit, len(candidates))] {
		best = append(best, nodes[c.position])
	}
	return best
}
