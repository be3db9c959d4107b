package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bronzehook/jobs"
)

// expectedLoad returns the load of a latency-critical image on a node: the larger of the load predicted from its
// intrinsic load and the best-effort tasks there, and the measured load. A measured load counts even if the model cannot
// explain it.
func (m *InterferenceModel) expectedLoad(node *Node, image string, group *LatencyCriticalGroup) float64 {
	expected := group.IntrinsicLoad
	if expected == 0 {
		expected = defaultIntrinsicLoad
	}
	for bestEffort, cpu := range node.BestEffortByImage {
		expected += m.Effect(image, bestEffort) * node.share(cpu)
	}
	if group.TailLatency > 0 {
		expected = max(expected, m.loadFromTail(image, group.TailLatency, group.Target))
	}
	return expected
}

// loadAtTargetShare returns the load at which the tail latency of an image reaches a share of its target.
func (m *InterferenceModel) loadAtTargetShare(image string, target time.Duration, share float64) float64 {
	return m.loadFromTail(image, time.Duration(share*float64(target)), target)
}

// Admits reports whether a best-effort task may be placed beside the latency-critical tasks of a node.
func (m *InterferenceModel) Admits(node *Node, step *jobs.Step) bool {
	admissible, cached := node.admissible[step.Image]
	if !cached {
		admissible = m.admissibleShare(node, step.Image)
		if node.admissible == nil {
			node.admissible = make(map[string]float64)
		}
		node.admissible[step.Image] = admissible
	}
	return node.share(step.Resources.CPU) <= admissible && m.mayTry(node, step.Image)
}

// minDivisorEffect keeps the admissible share finite for images that do not interfere at all.
const minDivisorEffect = 1e-3

// loadMargin is the load that further best-effort tasks may add to the latency-critical tasks of one image on a node.
type loadMargin struct {
	image  string
	margin float64
}

// loadMargins returns the load margins of the latency-critical images on a node. They are the same for best-effort tasks of
// all images, so they are kept until the account or the measurements of the node change.
func (m *InterferenceModel) loadMargins(node *Node) []loadMargin {
	if len(node.margins) == 0 {
		for image, group := range node.LatencyCriticalByImage {
			margin := m.loadAtTargetShare(image, group.Target, admissionTargetShare) - m.expectedLoad(node, image, group)
			node.margins = append(node.margins, loadMargin{image, margin})
		}
		slices.SortFunc(node.margins, func(a, b loadMargin) int { return cmp.Compare(a.image, b.image) })
	}
	return node.margins
}

// loadMarginUsedUp reports whether the load margin of a latency-critical image on the node is known to be used up, so that no
// best-effort task is admitted.
func (n *Node) loadMarginUsedUp() bool {
	return slices.ContainsFunc(n.margins, func(m loadMargin) bool { return m.margin < 0 })
}

// admissibleShare returns the share of a node that further best-effort tasks of an image may use. For a pair of images
// that has not been measured together, the mean of the default estimate replaces its upper bound while no task of the
// image runs on the node, so that one task is admitted and supplies measurements.
func (m *InterferenceModel) admissibleShare(node *Node, image string) float64 {
	admissible := math.Inf(1)
	effects := m.effects[image]
	runsHere := node.BestEffortByImage[image] > 0
	for _, latencyCritical := range m.loadMargins(node) {
		estimated, measured := effects.on(latencyCritical.image)
		effect := estimated.upperBound()
		if !measured && !runsHere {
			effect = defaultPairEffect
		}
		admissible = math.Min(admissible, latencyCritical.margin/math.Max(minDivisorEffect, effect))
	}
	return admissible
}

// InvalidateAdmissible discards the cached shares and load margins, which were derived from earlier measurements of the node.
func (n *Node) InvalidateAdmissible() {
	clear(n.admissible)
	n.margins = n.margins[:0]
}

// WouldInterfere reports whether the best-effort tasks of a node would interfere with a latency-critical task placed there.
func (m *InterferenceModel) WouldInterfere(node *Node, step *jobs.Step) bool {
	group := &LatencyCriticalGroup{Target: step.LatencyTarget}
	return m.expectedLoad(node, step.Image, group) > m.loadAtTargetShare(step.Image, step.LatencyTarget, admissionTargetShare)
}

// Ratios of a measured tail latency to its target. Best-effort tasks are throttled above ThrottleAbove and may use more CPU again
// below UnthrottleBelow. Both adjustments aim at ThrottleTarget.
const (
	ThrottleAbove   = 0.95
	ThrottleTarget  = 0.85
	UnthrottleBelow = 0.75
)

// HighestTargetRatio returns the latency-critical image on a node with the highest ratio of measured tail latency to target.
func (m *InterferenceModel) HighestTargetRatio(node *Node) (image string, ratio float64, known bool) {
	return highestRatio(node, func(string, *LatencyCriticalGroup) float64 { return 1 })
}

// HighestExpectedRatio is HighestTargetRatio with the tail latencies that are expected after the rise of the loads.
func (m *InterferenceModel) HighestExpectedRatio(node *Node) (image string, ratio float64, known bool) {
	return highestRatio(node, func(image string, group *LatencyCriticalGroup) float64 {
		unused := 1 - min(maxLoad, m.loadFromTail(image, group.TailLatency, group.Target))
		return unused / max(1-maxLoad, unused-group.ExpectedRise)
	})
}

// highestRatio returns the latency-critical image with the highest ratio of tail latency, times a factor, to target.
func highestRatio(node *Node, factor func(string, *LatencyCriticalGroup) float64) (image string, ratio float64, known bool) {
	for name, group := range node.LatencyCriticalByImage {
		if group.Target <= 0 || group.TailLatency <= 0 {
			continue
		}
		current := factor(name, group) * group.TailLatency.Seconds() / group.Target.Seconds()
		if !known || current > ratio || (current == ratio && name < image) {
			image, ratio, known = name, current, true
		}
	}
	return image, ratio, known
}

// ExcessLoad returns the difference between the expected load of a latency-critical image on a node and the load at which its
// tail latency is ThrottleTarget of its target. It is negative if more best-effort work is possible.
func (m *InterferenceModel) ExcessLoad(node *Node, image string) float64 {
	group := node.LatencyCriticalByImage[image]
	if group == nil {
		return 0
	}
	return m.loadFromTail(image, group.TailLatency, group.Target) + group.ExpectedRise - m.loadAtTargetShare(image, group.Target, ThrottleTarget)
}
