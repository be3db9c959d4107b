// Package placement chooses workers for tasks. The choice is a pure function of the resource accounts of the workers; the
// caller reserves the resources on the chosen worker.
package placement

import (
	"bronzehook/jobs"
	"bronzehook/workers"
)

// Request asks for a worker for one task.
type Request struct {
	Step    *jobs.Step
	Service string
	// OnNode returns the number of tasks of the same step and occurrence on a worker.
	OnNode func(workers.ID) int
	// Advice returns what is known of whether a worker may run the step; nil grants all.
	Advice func(workers.ID) Advice
	// RackInUse is the rack on which the other tasks of a rack-sensitive step run; empty if there are none.
	RackInUse string
	// Avoid names a worker that is avoided because the task failed or was slow there; empty if there is none.
	Avoid workers.ID
	// Interference predicts the interference of best-effort tasks with latency-critical tasks.
	Interference *InterferenceModel
	// Offset rotates the order in which workers are examined, so that no worker is preferred among equals.
	Offset int
	// Headroom is the CPU kept free on each worker for more urgent tasks, in thousandths of a core.
	Headroom int
	// SlotCPU is the CPU that a typical batch task reserves, in thousandths of a core; 0 if unknown. MaxLostSlots bounds the slots
	// of that size that a long-running task may take on its worker; it has no meaning without SlotCPU.
	SlotCPU, MaxLostSlots int
	// LocalOnly rules out workers that are not local to the task's data.
	LocalOnly bool
	// RackOnly rules out workers that are not on RackInUse.
	RackOnly bool
	// AllowStarved lets a best-effort task start where too little CPU is unused, or where it may interfere with latency-critical
	// tasks.
	AllowStarved bool
	// UseWithheld lets a task use capacity that is withheld while a data centre is filled gradually, UseHeld capacity that is held
	// for long-running tasks.
	UseWithheld, UseHeld bool
}

// Accepts reports whether a task can be placed on a worker.
func Accepts(node *Node, request Request) bool { return check(node, &request) == ReasonNone }

// ChooseHold returns the worker on which to hold capacity for a task that fits on no worker now: the one with the most
// free CPU among those on which the task will fit when the batch tasks there have ended. It returns nil if there is none.
func ChooseHold(nodes []*Node, request Request) *Node {
	var best *Node
	for _, node := range nodes {
		if !isTransient(check(node, &request)) {
			continue
		}
		if request.Step.AntiAffinity > 0 && request.OnNode(node.Registration.ID) >= request.Step.AntiAffinity {
			continue
		}
		if node.Registration.ID == request.Avoid || node.Penalty > 0 || !request.Step.Reserved().Fits(node.FreeWithoutBatch().Sub(node.Held)) {
			continue
		}
		if best == nil || node.availableTo(&request).CPU > best.availableTo(&request).CPU {
			best = node
		}
	}
	return best
}

// isTransient reports whether the reason for a refusal may cease to apply when other work ends.
func isTransient(reason Reason) bool {
	switch reason {
	case ReasonNone, ReasonNoTicket, ReasonNoCapacity, ReasonNoMemory, ReasonHeadroom:
		return true
	}
	return false
}

// Explain counts the workers by their reason for refusing a task. ReasonNone counts the feasible ones.
func Explain(nodes []*Node, request Request) map[Reason]int {
	counts := make(map[Reason]int)
	for _, node := range nodes {
		counts[check(node, &request)]++
	}
	return counts
}

// mayUseHeld reports whether a task may use held capacity.
func (r *Request) mayUseHeld() bool { return r.Step.LongRunning || r.UseHeld }

// needsFullSearch reports whether a task has preferences that only few workers meet, so that all workers are compared.
func (r *Request) needsFullSearch() bool {
	return r.Step.LatencyCritical() || r.Step.Affinity != "" || r.Step.RackSensitive
}

// check returns the reason for which a task cannot be placed on a worker; ReasonNone means that it can.
func check(node *Node, request *Request) Reason {
	step, reserved := request.Step, request.Step.Reserved()
	switch {
	case !node.Usable || node.Registration.Service != request.Service:
		return ReasonNoWorker
	case node.Degraded && !step.LongRunning:
		// A batch task ends sooner on another worker, even after a wait. A long-running task has to run wherever it fits.
		return ReasonDegraded
	case step.Requires != "" && !node.Registration.HasLabel(step.Requires):
		return ReasonNoLabel
	}
	advice := request.adviceOn(node)
	switch {
	case advice == AdviceRefused:
		return ReasonNotAllowed
	case request.LocalOnly && !node.Registration.HasLabel(step.Affinity):
		return ReasonNonLocal
	case request.RackOnly && node.Registration.Rack != request.RackInUse:
		return ReasonNonLocal
	case !reserved.Fits(node.Registration.Capacity):
		return ReasonTooLarge
	case !reserved.Fits(node.availableTo(request)):
		return shortage(reserved, node.availableTo(request))
	case !step.BestEffort && node.Free().CPU-step.Resources.CPU < request.Headroom:
		return ReasonHeadroom
	case step.LongRunning && node.lostSlots(request) > request.MaxLostSlots:
		return ReasonHeadroom
	case step.AntiAffinity > 0 && request.OnNode(node.Registration.ID) >= step.AntiAffinity:
		return ReasonSpread
	}
	if step.BestEffort {
		if reason := checkBestEffort(node, request); reason != ReasonNone {
			return reason
		}
	}
	// Advice is requested for the workers that would take the task, so this comes after all other reasons.
	if advice == AdviceUnknown {
		return ReasonNoTicket
	}
	return ReasonNone
}

// shortage returns the reason for a task that does not fit: ReasonNoMemory if only memory is short, else ReasonNoCapacity.
func shortage(required, available jobs.Resources) Reason {
	required.MemoryMB = 0
	available.MemoryMB = max(0, available.MemoryMB)
	if required.Fits(available) {
		return ReasonNoMemory
	}
	return ReasonNoCapacity
}

// bestEffortOvercommit is the ratio of the CPU that a best-effort task requests to the unused CPU that it needs to start.
// Best-effort tasks share the unused CPU. If all of the request had to be unused, large tasks would wait while small ones
// take every remainder.
const bestEffortOvercommit = 2

// checkBestEffort keeps best-effort tasks away from latency-critical tasks with which they would interfere, and starts no
// more of them than the unused CPU allows.
func checkBestEffort(node *Node, request *Request) Reason {
	if request.AllowStarved {
		return ReasonNone
	}
	step := request.Step
	if node.UnusedCPU() < step.Resources.CPU/bestEffortOvercommit && node.BestEffortTasks > 0 {
		return ReasonNoUnusedCPU
	}
	if node.LatencyCriticalTasks > 0 && (request.Interference == nil || !request.Interference.Admits(node, step)) {
		return ReasonInterference
	}
	return ReasonNone
}
