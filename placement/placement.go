// Package placement chooses workers for tasks. Choices are pure functions over the accounts of the workers; the caller
// reserves what was chosen.
package placement

import (
	"time"

	"bronzehook/jobs"
	"bronzehook/workers"
)

// Node is the account of one worker: what it has and what attempts on it may be using.
type Node struct {
	Entry workers.Registration
	// Usable is false while the worker is draining, unreachable or not yet known.
	Usable bool
	// Used counts every attempt that may be running, including those that are being stopped.
	Used jobs.Resources
	// LongRunning is the part of Used that tasks take which do not end by themselves.
	LongRunning jobs.Resources
	// Held is kept for tasks that wait for room here.
	Held jobs.Resources
	// BestEffortCPU and ServingCPU are the processors that filler and serving tasks ask for, in thousandths of a core.
	BestEffortCPU      int
	LatencyCriticalCPU int
	// LatencyCriticalTasks and Fillers count tasks with a latency target and filler tasks.
	LatencyCriticalTasks int
	BestEffortTasks      int
	// BestEffortByImage splits FillerCPU; ServingByImage holds the serving tasks.
	BestEffortByImage      map[string]int
	LatencyCriticalByImage map[string]*LatencyCriticalGroup
	// admissible caches how much filler work of an image may join; it is void once the account changes.
	admissible map[string]float64

	// Suspect delays placement on a worker that failed, stalled or refused; larger is worse.
	Suspect int
	// Degraded is set while the worker fails what it starts, or everything there takes many times as long as elsewhere.
	Degraded bool
}

// LatencyCriticalGroup sums up the serving tasks of one image on a worker.
type LatencyCriticalGroup struct {
	Count  int
	Target time.Duration
	// Tail is the worst tail at the last measurement, Own the highest load without that of fillers; 0 if not known.
	Tail time.Duration
	Own  float64
}

func (n *Node) share(cpu int) float64 { return float64(cpu) / float64(max(1, n.Entry.Capacity.CPU)) }

// Free is what is left for tasks that count against the capacity.
func (n *Node) Free() jobs.Resources { return n.Entry.Capacity.Sub(n.Used) }

// Transient is what is free, and what would be if the work ended that ends by itself.
func (n *Node) Transient() jobs.Resources { return n.Entry.Capacity.Sub(n.LongRunning) }

// Hold keeps room for a task of a step that waits; Unhold gives it up.
func (n *Node) Hold(step *jobs.Step) { n.Held = n.Held.Add(step.Reserved()) }

// Unhold undoes Hold.
func (n *Node) Unhold(step *jobs.Step) { n.Held = n.Held.Sub(step.Reserved()) }

// roomFor is what a request may take. What is held is kept from work that ends by itself; among tasks that last, one that fits now
// need not wait for another that doesn't.
func (n *Node) roomFor(request *Request) jobs.Resources {
	if request.Step.LongRunning {
		return n.Free()
	}
	return n.Free().Sub(n.Held)
}

// Leftover is the processor time that further filler tasks would find unused, in thousandths of a core.
func (n *Node) Leftover() int {
	idle := int((1 - servingUse) * float64(n.LatencyCriticalCPU))
	return n.Entry.Capacity.CPU - n.Used.CPU + idle - n.BestEffortCPU
}

// Reserve counts a task of a step.
func (n *Node) Reserve(step *jobs.Step) { n.account(step, 1) }

// Release undoes Reserve.
func (n *Node) Release(step *jobs.Step) { n.account(step, -1) }

func (n *Node) account(step *jobs.Step, sign int) {
	clear(n.admissible)
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
		n.accountFiller(step, sign)
	}
	if step.LatencyCritical() {
		n.accountServing(step, sign)
	}
}

func (n *Node) accountFiller(step *jobs.Step, sign int) {
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

func (n *Node) accountServing(step *jobs.Step, sign int) {
	n.LatencyCriticalCPU += sign * step.Resources.CPU
	n.LatencyCriticalTasks += sign
	if n.LatencyCriticalByImage == nil {
		n.LatencyCriticalByImage = make(map[string]*LatencyCriticalGroup)
	}
	serving := n.LatencyCriticalByImage[step.Image]
	if serving == nil {
		serving = &LatencyCriticalGroup{Target: step.LatencyTarget}
		n.LatencyCriticalByImage[step.Image] = serving
	}
	serving.Count += sign
	serving.Target = min(serving.Target, step.LatencyTarget)
	if serving.Count <= 0 {
		delete(n.LatencyCriticalByImage, step.Image)
	}
}

// Reason says why a task was not placed.
type Reason string

// The reasons, from the least to the most specific.
const (
	ReasonNone       Reason = ""
	ReasonNoWorker   Reason = "no-worker"
	ReasonNotAllowed Reason = "not-allowed-by-advice"
	ReasonNoLabel    Reason = "no-worker-with-label"
	ReasonTooLarge   Reason = "larger-than-any-worker"
	ReasonNoRoom     Reason = "no-room"
	ReasonNoMemory   Reason = "no-memory"
	ReasonNoLeftover Reason = "no-processors-left-over"
	ReasonSpread     Reason = "spread-over-workers"
	ReasonSeparated  Reason = "kept-apart-from-serving-tasks"
	ReasonHeadroom   Reason = "headroom-for-more-urgent-tasks"
	ReasonFar        Reason = "far-from-its-data"
	ReasonDegraded   Reason = "troubled-worker"
)

// Request asks for a worker for one task.
type Request struct {
	Step    *jobs.Step
	Service string
	// OnNode counts the tasks of the same step and occurrence on a worker.
	OnNode func(workers.ID) int
	// Allowed reports whether a worker may run the step; nil allows all.
	Allowed func(workers.ID) bool
	// RackInUse is the rack of the other tasks of a rack-sensitive step; empty if there are none.
	RackInUse string
	// Avoid names a worker on which the task did not get on; empty if there is none.
	Avoid workers.ID
	// Interference predicts the effect of fillers on serving tasks.
	Interference *InterferenceModel
	// Offset rotates the order in which workers are looked at, so that no worker is preferred among equals.
	Offset int
	// Headroom is kept free on each worker for more urgent tasks, in thousandths of a core.
	Headroom int
	// NearOnly rules out workers far from the task's data.
	NearOnly bool
	// Forced lets a filler start where few processors are left over, or beside serving tasks that it may disturb.
	Forced bool
}

// enough is the number of workers that fit after which a task without special wishes goes to the best of them, so that
// one placement does not grow with every worker.
const enough = 40

// Choose returns the best worker, or nil and why there is none.
func Choose(nodes []*Node, request Request) (*Node, Reason) {
	var best *Node
	var bestScore float64
	reason := ReasonNoWorker
	fitting := 0
	for i := range nodes {
		node := nodes[(i+request.Offset)%len(nodes)]
		refused := check(node, &request)
		if refused != ReasonNone {
			reason = moreSpecific(reason, refused)
			continue
		}
		if score := rank(node, &request); best == nil || score > bestScore {
			best, bestScore = node, score
		}
		if fitting++; fitting >= enough && !request.choosy() {
			break
		}
	}
	if best != nil {
		return best, ReasonNone
	}
	return nil, reason
}

// ChooseHold returns the worker on which to hold room for a task that no worker can take now: the one with the most room
// among those that could take it once the work there has ended that ends by itself. It returns nil if there is none.
func ChooseHold(nodes []*Node, request Request) *Node {
	var best *Node
	for _, node := range nodes {
		if !passes(check(node, &request)) {
			continue
		}
		if request.Step.AntiAffinity > 0 && request.OnNode(node.Entry.ID) >= request.Step.AntiAffinity {
			continue
		}
		if node.Entry.ID == request.Avoid || node.Suspect > 0 || !request.Step.Reserved().Fits(node.Transient().Sub(node.Held)) {
			continue
		}
		if best == nil || node.roomFor(&request).CPU > best.roomFor(&request).CPU {
			best = node
		}
	}
	return best
}

// passes reports whether what a refusal is for passes by itself as other work ends.
func passes(reason Reason) bool {
	switch reason {
	case ReasonNone, ReasonNoRoom, ReasonNoMemory, ReasonHeadroom:
		return true
	}
	return false
}

// Explain counts the workers by the reason for which each of them cannot take a task; ReasonNone counts those that can.
func Explain(nodes []*Node, request Request) map[Reason]int {
	counts := make(map[Reason]int)
	for _, node := range nodes {
		counts[check(node, &request)]++
	}
	return counts
}

// choosy reports whether a task is better off where few workers are.
func (r *Request) choosy() bool {
	return r.Step.LatencyCritical() || r.Step.Affinity != "" || r.Step.RackSensitive
}

var specificity = map[Reason]int{
	ReasonNoWorker: 0, ReasonNotAllowed: 1, ReasonNoLabel: 1, ReasonTooLarge: 2, ReasonFar: 2, ReasonDegraded: 2, ReasonSpread: 3, ReasonSeparated: 4, ReasonHeadroom: 5, ReasonNoRoom: 6, ReasonNoMemory: 6, ReasonNoLeftover: 6,
}

func moreSpecific(a, b Reason) Reason {
	if specificity[b] > specificity[a] {
		return b
	}
	return a
}

// check reports why a worker cannot take a task; ReasonNone means that it can.
func check(node *Node, request *Request) Reason {
	step := request.Step
	switch {
	case !node.Usable || node.Entry.Service != request.Service:
		return ReasonNoWorker
	case node.Degraded && !step.LongRunning:
		// What ends by itself does so sooner elsewhere, even after a wait. A task that lasts has to run wherever there is room.
		return ReasonDegraded
	case request.Allowed != nil && !request.Allowed(node.Entry.ID):
		return ReasonNotAllowed
	case step.Requires != "" && !node.Entry.HasLabel(step.Requires):
		return ReasonNoLabel
	case request.NearOnly && !node.Entry.HasLabel(step.Affinity):
		return ReasonFar
	case !step.Reserved().Fits(node.Entry.Capacity):
		return ReasonTooLarge
	case !step.Reserved().Fits(node.roomFor(request)):
		return shortage(step.Reserved(), node.roomFor(request))
	case !step.BestEffort && node.Free().CPU-step.Resources.CPU < request.Headroom:
		return ReasonHeadroom
	case step.AntiAffinity > 0 && request.OnNode(node.Entry.ID) >= step.AntiAffinity:
		return ReasonSpread
	}
	if step.BestEffort {
		return checkFiller(node, request)
	}
	return ReasonNone
}

// shortage tells what a task lacks that does not fit.
func shortage(need, room jobs.Resources) Reason {
	need.MemoryMB = 0
	room.MemoryMB = max(0, room.MemoryMB)
	if need.Fits(room) {
		return ReasonNoMemory
	}
	return ReasonNoRoom
}

// fillerFit divides what a filler asks for to get what has to be left over for it. Fillers share what there is; if all of it
// had to be free, large ones would wait while small ones take every remainder.
const fillerFit = 2

// checkFiller keeps filler tasks away from serving tasks whose response times they would spoil, and starts no more than
// the leftover processors can carry.
func checkFiller(node *Node, request *Request) Reason {
	if request.Forced {
		return ReasonNone
	}
	step := request.Step
	if node.Leftover() < step.Resources.CPU/fillerFit && node.BestEffortTasks > 0 {
		return ReasonNoLeftover
	}
	if node.LatencyCriticalTasks > 0 && (request.Interference == nil || !request.Interference.Admits(node, step)) {
		return ReasonSeparated
	}
	return ReasonNone
}

// Weights of the ranking. Data far away multiplies a task's duration and outweighs all but a suspicion.
const (
	weightSuspect  = 1000.0
	weightAvoid    = 500.0
	weightAffinity = 100.0
	weightRack     = 50.0
	weightUnmixed  = 20.0
	weightEmpty    = 6.0
	weightCrowded  = 10.0
	weightMild     = 5.0
)

func rank(node *Node, request *Request) float64 {
	step := request.Step
	score := -weightSuspect * float64(node.Suspect)
	if node.Entry.ID == request.Avoid {
		score -= weightAvoid
	}
	if step.Affinity != "" && node.Entry.HasLabel(step.Affinity) {
		score += weightAffinity
	}
	if step.RackSensitive && request.RackInUse != "" && node.Entry.Rack == request.RackInUse {
		score += weightRack
	}
	capacity := float64(max(1, node.Entry.Capacity.CPU))
	free := float64(node.Free().CPU) / capacity
	switch {
	case step.BestEffort:
		return score + rankFiller(node, request) + float64(node.Leftover())/capacity
	case step.LatencyCritical():
		return score + rankServing(node, request) - free
	}
	return score + free
}

// rankServing puts serving tasks of one image together: the fillers that a worker can take are those that disturb none of its
// serving images. A worker without serving tasks can take all fillers, and is spared for that unless the task would
// otherwise join other images.
func rankServing(node *Node, request *Request) float64 {
	step := request.Step
	score := -weightEmpty
	if node.LatencyCriticalTasks > 0 {
		score = -weightUnmixed * (1 - node.imageShare(step.Image))
	}
	if request.Interference != nil && node.BestEffortTasks > 0 && request.Interference.WouldInterfere(node, step) {
		score -= weightCrowded
	}
	return score
}

// rankFiller weighs what a filler disturbs. The more it disturbs, the more a worker without serving tasks is worth to it;
// one that hardly disturbs leaves such workers to others.
func rankFiller(node *Node, request *Request) float64 {
	if request.Interference == nil {
		return 0
	}
	image := request.Step.Image
	if node.LatencyCriticalTasks == 0 {
		return -weightMild * request.Interference.Breadth(image)
	}
	score := 0.0
	for serving := range node.LatencyCriticalByImage {
		score -= request.Interference.Effect(serving, image)
	}
	return score
}

// imageShare is the share of a node's serving tasks that are of an image.
func (n *Node) imageShare(image string) float64 {
	serving := n.LatencyCriticalByImage[image]
	if serving == nil {
		return 0
	}
	return float64(serving.Count) / float64(n.LatencyCriticalTasks)
}

// Objective returns how long a job may take to earn its full worth: stretch times its longest chain, plus a constant.
func Objective(spec *jobs.Spec, stretch float64, target time.Duration) time.Duration {
	all := func(int) bool { return true }
	return time.Duration(stretch*float64(Chain(spec, all))) + target
}

// Chain returns the estimated duration of the longest chain of the steps for which counts is true.
func Chain(spec *jobs.Spec, counts func(step int) bool) time.Duration {
	lengths := make([]time.Duration, len(spec.Steps))
	var longest time.Duration
	for i := range spec.Steps {
		step := &spec.Steps[i]
		for _, earlier := range step.After {
			lengths[i] = max(lengths[i], lengths[earlier])
		}
		if counts(i) {
			lengths[i] += step.Estimate
		}
		longest = max(longest, lengths[i])
	}
	return longest
}

// Failures remembers within one pass what could not be placed, so that no larger task of the same kind is tried again.
type Failures struct{ smallest map[kind]jobs.Resources }

type kind struct {
	service, requires, image string
	filler, lasting, forced  bool
	headroom                 int
	// near is the label to which a task is bound for now.
	near string
}

func kindOf(request *Request) kind {
	step := request.Step
	k := kind{service: request.Service, requires: step.Requires, filler: step.BestEffort, lasting: step.LongRunning, forced: request.Forced}
	k.headroom = request.Headroom
	if step.BestEffort {
		k.image = step.Image
	}
	if request.NearOnly {
		k.near = step.Affinity
	}
	return k
}

// Infeasible reports whether a task of the same kind that needs no more was refused before.
func (f *Failures) Infeasible(request *Request) bool {
	smallest, ok := f.smallest[kindOf(request)]
	return ok && smallest.Fits(request.Step.Resources)
}

// Note remembers a refusal. Refusals that come from where the step's other tasks are say nothing of other steps.
func (f *Failures) Note(request *Request, reason Reason) {
	if reason == ReasonSpread || request.Step.AntiAffinity > 0 || request.Allowed != nil {
		return
	}
	if f.smallest == nil {
		f.smallest = make(map[kind]jobs.Resources)
	}
	k := kindOf(request)
	if smallest, ok := f.smallest[k]; !ok || request.Step.Resources.Fits(smallest) {
		f.smallest[k] = request.Step.Resources
	}
}
