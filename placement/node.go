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
	// WithheldCPU is the CPU, in thousandths of a core, that is not used for now because the data centre is filled gradually.
	WithheldCPU int
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

	// Colocations counts the pairs of images on the workers of the fleet; nil if they are not counted.
	Colocations *Colocations

	// Penalty is the placement penalty of a worker that failed, stalled or refused; larger is worse.
	Penalty int
	// OverdueStarts is the number of recent starts whose response was overdue; older ones count less.
	OverdueStarts float64
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
	// ExpectedRise is by how much the load is expected to have risen since the measurement.
	ExpectedRise float64
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
	free := n.Free()
	if !request.UseWithheld {
		free.CPU -= n.withheld()
	}
	if request.mayUseHeld() {
		return free
	}
	return free.Sub(n.Held)
}

// FreeForBatch returns the capacity that batch tasks may use now.
func (n *Node) FreeForBatch() jobs.Resources {
	free := n.Free().Sub(n.Held)
	free.CPU -= n.withheld()
	return free
}

// withheld returns the CPU that is withheld. A worker that runs nothing withholds none, so that it can take a task that needs
// more than the share that may be used.
func (n *Node) withheld() int {
	if n.Used == (jobs.Resources{}) {
		return 0
	}
	return n.WithheldCPU
}

// UnusedCPU returns the CPU that further best-effort tasks would find unused, in thousandths of a core.
func (n *Node) UnusedCPU() int {
	idle := int((1 - latencyCriticalUtilisation) * float64(n.LatencyCriticalCPU))
	return n.Registration.Capacity.CPU - n.Used.CPU + idle - n.BestEffortCPU - n.withheld()
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
	before := n.BestEffortByImage[step.Image]
	after := before + sign*step.Resources.CPU
	n.BestEffortByImage[step.Image] = after
	if after <= 0 {
		delete(n.BestEffortByImage, step.Image)
	}
	if (before > 0) != (after > 0) {
		for latencyCritical := range n.LatencyCriticalByImage {
			n.Colocations.add(latencyCritical, step.Image, sign)
		}
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
		n.addColocations(step.Image, 1)
	}
	group.Count += sign
	group.Target = min(group.Target, step.LatencyTarget)
	if group.Count <= 0 {
		delete(n.LatencyCriticalByImage, step.Image)
		n.addColocations(step.Image, -1)
	}
}

// addColocations counts the worker for the pairs of a latency-critical image that it gets, or loses if the sign is negative.
func (n *Node) addColocations(latencyCritical string, sign int) {
	for bestEffort := range n.BestEffortByImage {
		n.Colocations.add(latencyCritical, bestEffort, sign)
	}
}
