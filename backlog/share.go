package backlog

import "math"

// priorityWeight is the factor by which the weight of a queue falls with each step of its priority: a queue of the first
// priority may use four times as much as one of the second before it yields.
const priorityWeight = 4

// Usage is what a queue uses of a service, in any unit of CPU.
type Usage struct {
	Priority int
	// InUse is the CPU of the queue's running tasks, Waiting that of its tasks that wait for capacity.
	InUse, Waiting float64
}

// Shares returns the guaranteed share of each queue: the weights of the queues with demand, by their priorities, add up to 1.
func Shares(queues []Usage) []float64 {
	shares, total := make([]float64, len(queues)), 0.0
	for i, q := range queues {
		if q.InUse+q.Waiting > 0 {
			shares[i] = math.Pow(priorityWeight, -float64(max(0, q.Priority)))
			total += shares[i]
		}
	}
	for i := range shares {
		if total > 0 {
			shares[i] /= total
		}
	}
	return shares
}

// overShareMargin is the factor by which a queue has to exceed its share before it yields, so that queues near their shares do not
// change places in each cycle.
const overShareMargin = 1.1

// Yielding reports for each queue whether it is ranked behind others regardless of its priority: it uses more than its share of a
// capacity, while another one that uses less than its own waits. What the others leave it may still use.
func Yielding(queues []Usage, capacity float64) []bool {
	yielding := make([]bool, len(queues))
	shares := Shares(queues)
	under := false
	for i, q := range queues {
		under = under || (q.Waiting > 0 && q.InUse < shares[i]*capacity)
	}
	for i, q := range queues {
		yielding[i] = under && q.InUse > overShareMargin*shares[i]*capacity
	}
	return yielding
}
