package placement

import "bronzehook/jobs"

// Failures records the requests that could not be placed in a scheduling cycle, so that larger requests of the same kind
// are not tried again in it.
type Failures struct {
	smallest map[requestKind]jobs.Resources
}

// requestKind groups the requests that the same workers can take, apart from their resources.
type requestKind struct {
	service, requires, image              string
	bestEffort, longRunning, allowStarved bool
	useWithheld, useHeld                  bool
	headroom, slotCPU, maxLostSlots       int
	// localTo is the affinity label that the worker must have, while the task waits for a local worker.
	localTo string
	// onRack is the rack on which the worker must be, while a group waits for capacity on one rack.
	onRack string
}

func kindOf(request *Request) requestKind {
	step := request.Step
	k := requestKind{
		service: request.Service, requires: step.Requires, bestEffort: step.BestEffort, longRunning: step.LongRunning,
		allowStarved: request.AllowStarved, useWithheld: request.UseWithheld, useHeld: request.UseHeld}
	k.headroom = request.Headroom
	if step.LongRunning {
		k.slotCPU, k.maxLostSlots = request.SlotCPU, request.MaxLostSlots
	}
	if step.BestEffort {
		k.image = step.Image
	}
	if request.LocalOnly {
		k.localTo = step.Affinity
	}
	if request.RackOnly {
		k.onRack = request.RackInUse
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
	if reason == ReasonSpread || request.Step.AntiAffinity > 0 || request.Advice != nil {
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
