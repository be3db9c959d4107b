// Package placement chooses workers for tasks. The choice is a pure function of the resource accounts of the workers; the
// caller reserves the resources on the chosen worker.
package placement

import (
	"time"

	"bronzehook/jobs"
	"bronzehook/workers"
)

// Node is the resource account of one worker: its capacity and what attempts on it may be using.
type Node struct {
	Registration workers.Registration
	// Usable is false while the worker is draining, unreachable or not yet known.
	Usable bool
	// Used is the capacity reserved for attempts that may be running, including those that are being stopped.
	Used jobs.Resources
	// LongRunning is the part of Used that is reserved for long-running tasks.
	LongRunning jobs.Resources
	// Held is the capacity held for tasks that wait for free capacity on this worker.
	Held jobs.Resources
	// BestEffortCPU and LatencyCriticalCPU are the CPU requests of best-effort and latency-critical tasks, in thousandths
	// of a core.
	BestEffortCPU      int
	LatencyCriticalCPU int
	// LatencyCriticalTasks and BestEffortTasks count the tasks of these classes.
	LatencyCriticalTasks int
	BestEffortTasks      int
	// BestEffortByImage splits BestEffortCPU by image; LatencyCriticalByImage sums up the latency-critical tasks.
	BestEffortByImage      map[string]int
	LatencyCriticalByImage map[string]*LatencyCriticalGroup
	// admissible caches the share of the worker that further best-effort tasks of an image may use. It is cleared when the
	// account changes.
	admissible map[string]float64
	// margins caches the load margins of the latency-critical images, likewise; empty if they are to be computed.
	margins []loadMargin

	// Penalty is the placement penalty of a worker that failed, stalled or refused; larger is worse.
	Penalty int
	// Degraded is set while the worker fails the attempts that it starts, or while all tasks on it take many times as long
	// as on other workers.
	Degraded bool
}

// LatencyCriticalGroup sums up the latency-critical tasks of one image on a worker.
type LatencyCriticalGroup struct {
	Count  int
	Target time.Duration
	// TailLatency is the highest tail latency at the last measurement, IntrinsicLoad the highest intrinsic load; 0 if unknown.
	TailLatency   time.Duration
	IntrinsicLoad float64
}

// share returns an amount of CPU as a share of the worker's capacity.
func (n *Node) share(cpu int) float64 {
	return float64(cpu) / float64(max(1, n.Registration.Capacity.CPU))
}

// Free returns the capacity that is not reserved. Best-effort tasks reserve no CPU.
func (n *Node) Free() jobs.Resources { return n.Registration.Capacity.Sub(n.Used) }

// FreeWithoutBatch returns the capacity that is free or will become free when the batch tasks end.
func (n *Node) FreeWithoutBatch() jobs.Resources { return n.Registration.Capacity.Sub(n.LongRunning) }

// Hold holds capacity for a waiting task of a step.
func (n *Node) Hold(step *jobs.Step) { n.Held = n.Held.Add(step.Reserved()) }

// Unhold undoes Hold.
func (n *Node) Unhold(step *jobs.Step) { n.Held = n.Held.Sub(step.Reserved()) }

// availableTo returns the capacity that a request may use. Held capacity is withheld from batch tasks only: a long-running
// task that fits now need not wait for another one that does not.
func (n *Node) availableTo(request *Request) jobs.Resources {
	if request.Step.LongRunning {
		return n.Free()
	}
	return n.Free().Sub(n.Held)
}

// UnusedCPU returns the CPU that further best-effort tasks would find unused, in thousandths of a core.
func (n *Node) UnusedCPU() int {
	idle := int((1 - latencyCriticalUtilisation) * float64(n.LatencyCriticalCPU))
	return n.Registration.Capacity.CPU - n.Used.CPU + idle - n.BestEffortCPU
}

// Reserve adds a task of a step to the account.
func (n *Node) Reserve(step *jobs.Step) { n.account(step, 1) }

// Release undoes Reserve.
func (n *Node) Release(step *jobs.Step) { n.account(step, -1) }

func (n *Node) account(step *jobs.Step, sign int) {
	n.InvalidateAdmissible()
	r := step.Reserved()
	n.Used.CPU += sign * r.CPU
	n.Used.MemoryMB += sign * r.MemoryMB
	n.Used.GPU += sign * r.GPU
	if step.LongRunning {
		n.LongRunning.CPU += sign * r.CPU
		n.LongRunning.MemoryMB += sign * r.MemoryMB
		n.LongRunning.GPU += sign * r.GPU
	}
	if step.BestEffort {
		n.accountBestEffort(step, sign)
	}
	if step.LatencyCritical() {
		n.accountLatencyCritical(step, sign)
	}
}

func (n *Node) accountBestEffort(step *jobs.Step, sign int) {
	n.BestEffortCPU += sign * step.Resources.CPU
	n.BestEffortTasks += sign
	if n.BestEffortByImage == nil {
		n.BestEffortByImage = make(map[string]int)
	}
	n.BestEffortByImage[step.Image] += sign * step.Resources.CPU
	if n.BestEffortByImage[step.Image] <= 0 {
		delete(n.BestEffortByImage, step.Image)
	}
}

func (n *Node) accountLatencyCritical(step *jobs.Step, sign int) {
	n.LatencyCriticalCPU += sign * step.Resources.CPU
	n.LatencyCriticalTasks += sign
	if n.LatencyCriticalByImage == nil {
		n.LatencyCriticalByImage = make(map[string]*LatencyCriticalGroup)
	}
	group := n.LatencyCriticalByImage[step.Image]
	if group == nil {
		group = &LatencyCriticalGroup{Target: step.LatencyTarget}
		n.LatencyCriticalByImage[step.Image] = group
	}
	group.Count += sign
	group.Target = min(group.Target, step.LatencyTarget)
	if group.Count <= 0 {
		delete(n.LatencyCriticalByImage, step.Image)
	}
}

// Request asks for a worker for one task.
type Request struct {
	Step    *jobs.Step
	Service string
	// OnNode returns the number of tasks of the same step and occurrence on a worker.
	OnNode func(workers.ID) int
	// Allowed reports whether a worker may run the step; nil allows all.
	Allowed func(workers.ID) bool
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
	// LocalOnly rules out workers that are not local to the task's data.
	LocalOnly bool
	// AllowStarved lets a best-effort task start where too little CPU is unused, or where it may interfere with latency-critical
	// tasks.
	AllowStarved bool
}

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

// isTransient reports whether the reason for a refusal will cease to apply when other work ends.
func isTransient(reason Reason) bool {
	switch reason {
	case ReasonNone, ReasonNoCapacity, ReasonNoMemory, ReasonHeadroom:
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
	case request.Allowed != nil && !request.Allowed(node.Registration.ID):
		return ReasonNotAllowed
	case step.Requires != "" && !node.Registration.HasLabel(step.Requires):
		return ReasonNoLabel
	case request.LocalOnly && !node.Registration.HasLabel(step.Affinity):
		return ReasonNonLocal
	case !reserved.Fits(node.Registration.Capacity):
		return ReasonTooLarge
	case !reserved.Fits(node.availableTo(request)):
		return shortage(reserved, node.availableTo(request))
	case !step.BestEffort && node.Free().CPU-step.Resources.CPU < request.Headroom:
		return ReasonHeadroom
	case step.AntiAffinity > 0 && request.OnNode(node.Registration.ID) >= step.AntiAffinity:
		return ReasonSpread
	}
	if step.BestEffort {
		return checkBestEffort(node, request)
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

// Weights of the terms of a node's score. Non-local data multiplies a task's duration, so that affinity outweighs
// everything except the placement penalty of a worker and a worker to avoid.
const (
	weightPenalty           = 1000.0
	weightAvoid             = 500.0
	weightAffinity          = 100.0
	weightRack              = 50.0
	weightImageMix          = 20.0
	weightNoLatencyCritical = 6.0
	weightInterference      = 10.0
	weightCompatibility     = 5.0
)

// scoreNode returns the score of a feasible worker for a task; the highest score wins.
func scoreNode(node *Node, request *Request) float64 {
	step := request.Step
	score := -weightPenalty * float64(node.Penalty)
	if node.Registration.ID == request.Avoid {
		score -= weightAvoid
	}
	if step.Affinity != "" && node.Registration.HasLabel(step.Affinity) {
		score += weightAffinity
	}
	if step.RackSensitive && request.RackInUse != "" && node.Registration.Rack == request.RackInUse {
		score += weightRack
	}
	capacity := float64(max(1, node.Registration.Capacity.CPU))
	free := float64(node.Free().CPU) / capacity
	switch {
	case step.BestEffort:
		return score + scoreBestEffort(node, request) + float64(node.UnusedCPU())/capacity
	case step.LatencyCritical():
		return score + scoreLatencyCritical(node, request) - free
	}
	return score + free
}

// scoreLatencyCritical prefers workers whose latency-critical tasks are of the same image: a worker can only take
// best-effort tasks that interfere with none of its latency-critical images. A worker without latency-critical tasks can
// take all best-effort tasks, and is kept free for these unless the task would otherwise share a worker with other images.
func scoreLatencyCritical(node *Node, request *Request) float64 {
	step := request.Step
	score := -weightNoLatencyCritical
	if node.LatencyCriticalTasks > 0 {
		score = -weightImageMix * (1 - node.imageShare(step.Image))
	}
	if request.Interference != nil && node.BestEffortTasks > 0 && request.Interference.WouldInterfere(node, step) {
		score -= weightInterference
	}
	return score
}

// scoreBestEffort scores the interference of a best-effort task with the latency-critical images of a worker. Workers
// without latency-critical tasks score lower for a task that interferes with few images, so that they are left for tasks
// that interfere with many.
func scoreBestEffort(node *Node, request *Request) float64 {
	if request.Interference == nil {
		return 0
	}
	image := request.Step.Image
	if node.LatencyCriticalTasks == 0 {
		return -weightCompatibility * request.Interference.CompatibleShare(image)
	}
	score := 0.0
	for latencyCritical := range node.LatencyCriticalByImage {
		score -= request.Interference.Effect(latencyCritical, image)
	}
	return score
}

// imageShare returns the share of a node's latency-critical tasks that are of an image.
func (n *Node) imageShare(image string) float64 {
	group := n.LatencyCriticalByImage[image]
	if group == nil {
		return 0
	}
	return float64(group.Count) / float64(n.LatencyCriticalTasks)
}

// Objective returns the time within which a job has to complete to accrue its full value: stretch times its critical path,
// plus a constant.
func Objective(spec *jobs.Spec, stretch float64, target time.Duration) time.Duration {
	all := func(int) bool { return true }
	return time.Duration(stretch*float64(CriticalPath(spec, all))) + target
}

// CriticalPath returns the estimated duration of the critical path through the steps for which counts is true.
func CriticalPath(spec *jobs.Spec, counts func(step int) bool) time.Duration {
	finish := make([]time.Duration, len(spec.Steps))
	var longest time.Duration
	for i := range spec.Steps {
		step := &spec.Steps[i]
		for _, dependency := range step.After {
			finish[i] = max(finish[i], finish[dependency])
		}
		if counts(i) {
			finish[i] += step.Estimate
		}
		longest = max(longest, finish[i])
	}
	return longest
}

// Failures records the requests that could not be placed in a scheduling cycle, so that larger requests of the same kind
// are not tried again in it.
type Failures struct {
	smallest map[requestKind]jobs.Resources
}

// requestKind groups the requests that the same workers can take, apart from their resources.
type requestKind struct {
	service, requires, image              string
	bestEffort, longRunning, allowStarved bool
	headroom                              int
	// localTo is the affinity label that the worker must have, while the task waits for a local worker.
	localTo string
}

func kindOf(request *Request) requestKind {
	step := request.Step
	k := requestKind{
		service: request.Service, requires: step.Requires, bestEffort: step.BestEffort, longRunning: step.LongRunning,
		allowStarved: request.AllowStarved}
	k.headroom = request.Headroom
	if step.BestEffort {
		k.image = step.Image
	}
	if request.LocalOnly {
		k.localTo = step.Affinity
	}
	return k
}

// Infeasible reports whether a request of the same kind that needs no more resources was refused before.
func (f *Failures) Infeasible(request *Request) bool {
	smallest, ok := f.smallest[kindOf(request)]
	return ok && smallest.Fits(request.Step.Resources)
}

// Note records a refusal. Refusals that depend on the placement of the step's other tasks, or on the workers that the
// step is allowed to use, are not recorded, because they do not apply to other steps.
func (f *Failures) Note(request *Request, reason Reason) {
	if reason == ReasonSpread || request.Step.AntiAffinity > 0 || request.Allowed != nil {
		return
	}
	if f.smallest == nil {
		f.smallest = make(map[requestKind]jobs.Resources)
	}
	k := kindOf(request)
	if smallest, ok := f.smallest[k]; !ok || request.Step.Resources.Fits(smallest) {
		f.smallest[k] = request.Step.Resources
	}
}
