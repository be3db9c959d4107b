// Package backlog decides which jobs of a backlog get capacity first while there is more work than can end in time. If jobs
// were served in the order of their deadlines alone, a backlog that cannot be served would make nearly all of them late.
// The package answers that load; it does no I/O.
package backlog

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Job is a job with work that waits for capacity.
type Job struct {
	// Waiting is the work that has no capacity yet, Remaining all that is left, in core-seconds.
	Waiting, Remaining float64
	// Worth is what the caller loses if the job ends late, in any unit that is the same for all jobs of a backlog.
	Worth float64
	// Slack is the time within which the waiting work has to get capacity.
	Slack time.Duration
	// Protected jobs are deferred only if no other ones can be.
	Protected bool
}

const (
	// LateWorth is the worth of a job that ends after its deadline and by its late deadline; in time it is worth 1.
	LateWorth = 0.15
	// pathMargin is the part of a job's critical path by which its work is to get capacity earlier than need be. In the model of
	// overload_test.go, at a load of 1.5 times the capacity, 0.83 to 0.86 of the accepted jobs end in time without a margin,
	// 0.90 to 0.91 with this one, and 0.85 to 0.87 with 1.
	pathMargin = 0.25
)

// Weigh returns the worth and the slack of a job with a critical path, for the times until its deadline and its late deadline. It
// reports false if the job can earn nothing any more.
func Weigh(path, untilDeadline, untilLate time.Duration) (worth float64, slack time.Duration, earns bool) {
	margin := time.Duration(pathMargin * float64(path))
	if untilDeadline >= path {
		return 1, untilDeadline - path - margin, true
	}
	return LateWorth, untilLate - path - margin, untilLate >= path
}

// Defer returns the jobs to be deferred, by their index, so that the others end in time if capacity becomes free at a rate, in
// core-seconds per second: in the order of the slacks, whenever a job would be late, the one of those kept so far is deferred that
// is worth least for its remaining work. No job is deferred if the rate is not positive, that is, unknown.
func Defer(jobs []Job, rate float64) []int {
	if rate <= 0 {
		return nil
	}
	order := make([]int, len(jobs))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(jobs[a].Slack, jobs[b].Slack) })
	kept := &leastWorthFirst{jobs: jobs}
	work := 0.0
	var deferred []int
	for _, i := range order {
		work += jobs[i].Waiting
		if jobs[i].Waiting <= 0 {
			continue
		}
		heap.Push(kept, i)
		for work > rate*jobs[i].Slack.Seconds() && kept.Len() > 0 {
			least := heap.Pop(kept).(int)
			work -= jobs[least].Waiting
			deferred = append(deferred, least)
		}
	}
	return deferred
}

// leastWorthFirst is a heap of jobs: unprotected ones before protected ones, then the one that is worth least for its remaining
// work first.
type leastWorthFirst struct {
	jobs    []Job
	indices []int
}

// Len implements heap.Interface.
func (h *leastWorthFirst) Len() int { return len(h.indices) }

// Less implements heap.Interface.
func (h *leastWorthFirst) Less(a, b int) bool {
	first, second := &h.jobs[h.indices[a]], &h.jobs[h.indices[b]]
	if first.Protected != second.Protected {
		return second.Protected
	}
	return first.Worth*second.Remaining < second.Worth*first.Remaining
}

// Swap implements heap.Interface.
func (h *leastWorthFirst) Swap(a, b int) { h.indices[a], h.indices[b] = h.indices[b], h.indices[a] }

// Push implements heap.Interface.
func (h *leastWorthFirst) Push(i any) { h.indices = append(h.indices, i.(int)) }

// Pop implements heap.Interface.
func (h *leastWorthFirst) Pop() any {
	last := h.indices[len(h.indices)-1]
	h.indices = h.indices[:len(h.indices)-1]
	return last
}
