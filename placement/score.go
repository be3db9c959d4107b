package placement

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
	// weightLostSlot decides among workers of the same images: a mix of images costs more than a slot.
	weightLostSlot = 2.0
	// weightOverdueStarts makes one overdue start outweigh the free capacity, which is at most 1, for two half-lives of its
	// score. Nearness to data or to the group outweighs maxOverdueStarts.
	weightOverdueStarts = 4.0
	maxOverdueStarts    = 5.0
)

// scoreNode returns the score of a feasible worker for a task; the highest score is chosen.
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
	return score + free - weightOverdueStarts*min(node.OverdueStarts, maxOverdueStarts)
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
	return score - weightLostSlot*float64(node.lostSlots(request))
}

// scoreBestEffort scores the interference of a best-effort task with the latency-critical images of a worker, and the load
// margins that these have. In the model of package mitigation, the least margin in place of the sum serves 0.4% less. Workers
// without latency-critical tasks score lower for a task that interferes with few images, so that they are left for tasks that
// interfere with many.
func scoreBestEffort(node *Node, request *Request) float64 {
	if request.Interference == nil {
		return 0
	}
	image := request.Step.Image
	if node.LatencyCriticalTasks == 0 {
		return -weightCompatibility * request.Interference.CompatibleShare(image)
	}
	score := 0.0
	for _, latencyCritical := range request.Interference.loadMargins(node) {
		score += latencyCritical.margin - request.Interference.Effect(latencyCritical.image, image)
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
