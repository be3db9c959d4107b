package placement

import "time"

// A pair of images is tried out on few workers at a time until its effect is known: otherwise all workers would try the same
// unknown pairs at once, each with a task of its own.
const (
	// maxTryingWorkers bounds the workers that run an unknown pair. In the model of package mitigation, with 60 workers, two
	// instead of one lose two thirds of the gain.
	maxTryingWorkers = 1
	// triedPairVariance is the variance up to which an effect counts as known. The first sample of a small task lowers it by
	// a few percent only. In the model, 0.1 and 0.05 serve a percent less.
	triedPairVariance = 0.2
	// maxTrialTime is the time from the first trial of a pair after which the bound ends. Latency-critical tasks that report no
	// latencies never make their pairs known.
	maxTrialTime = 10 * time.Second
)

// pair is a latency-critical and a best-effort image.
type pair struct{ latencyCritical, bestEffort string }

// colocation is the state of a pair.
type colocation struct {
	// workers counts the workers on which tasks of both images run; they have run together since firstAt.
	workers int
	firstAt time.Duration
}

// Colocations counts, for each pair of images, the workers on which tasks of both run. The accounts of a fleet's workers share
// one and keep it up to date. It is not safe for concurrent use.
type Colocations struct {
	clock func() time.Duration
	pairs map[pair]*colocation
}

// NewColocations returns an empty count.
func NewColocations(clock func() time.Duration) *Colocations {
	return &Colocations{clock: clock, pairs: make(map[pair]*colocation)}
}

// add adds workers for a pair, or removes some if the count is negative.
func (c *Colocations) add(latencyCritical, bestEffort string, count int) {
	if c == nil {
		return
	}
	p := pair{latencyCritical, bestEffort}
	state := c.pairs[p]
	if state == nil {
		state = &colocation{firstAt: c.clock()}
		c.pairs[p] = state
	}
	state.workers += count
}

// mayTry reports whether an unknown pair may be tried out on one more worker.
func (c *Colocations) mayTry(latencyCritical, bestEffort string) bool {
	state := c.pairs[pair{latencyCritical, bestEffort}]
	return state == nil || state.workers < maxTryingWorkers || c.clock()-state.firstAt > maxTrialTime
}

// mayTry reports whether a best-effort image may be placed beside the latency-critical images of a node, as far as pairs are
// concerned whose effect is not known yet. A pair that runs on the node already is bounded by its load margins alone.
func (m *InterferenceModel) mayTry(node *Node, image string) bool {
	if node.Colocations == nil || node.BestEffortByImage[image] > 0 {
		return true
	}
	effects := m.effects[image]
	for latencyCritical := range node.LatencyCriticalByImage {
		effect, _ := effects.on(latencyCritical)
		if effect.variance > triedPairVariance && !node.Colocations.mayTry(latencyCritical, image) {
			return false
		}
	}
	return true
}
