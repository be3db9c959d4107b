package placement

import (
	"maps"
	"math"
	"slices"
	"time"

	"bronzehook/jobs"
)

// The model takes the tail latency of a latency-critical task to be baseline / (1 - load). The load is the sum of the
// task's intrinsic load, which varies with its users, and the interference load of the best-effort tasks beside it: the
// share of the worker that these use, times an effect that is estimated for each pair of images. Most pairs interfere
// hardly at all and some a lot, so each pair is learned separately. Loads and effects are estimates with a variance, as
// in a Kalman filter: a sample corrects the most uncertain ones most.
const (
	// baselinePerLowestTail is the ratio of an image's baseline, its tail latency without any load, to the lowest tail
	// latency measured for it.
	baselinePerLowestTail = 0.8
	// baselinePerTarget is the ratio of the baseline to the latency target for an image without measurements.
	baselinePerTarget = 0.22
	// defaultIntrinsicLoad and maxIntrinsicLoadVariance are assumed for a job without measurements. The variance does not
	// grow beyond that.
	defaultIntrinsicLoad     = 0.45
	maxIntrinsicLoadVariance = 0.04
	// intrinsicLoadDriftPerSecond is the growth of the variance of a job's intrinsic load in one second.
	intrinsicLoadDriftPerSecond = 0.01
	// defaultPairEffect and maxPairVariance are assumed for a pair of images that has not been measured together.
	defaultPairEffect = 0.7
	maxPairVariance   = 0.5
	// minPairVariance is a lower bound, so that the estimate of an effect can still change after many samples.
	minPairVariance = 0.004
	maxPairEffect   = 8.0
	// sampleVariance is the variance of a measured load. roundingErrorNanos adds the error that comes from the rounding
	// of tail latencies to whole milliseconds.
	sampleVariance     = 0.003
	roundingErrorNanos = 0.3 * float64(time.Millisecond)
	// maxLoad bounds measured and predicted loads: above it, tail latency is a poor measure of load.
	maxLoad = 0.92
	// loadRetention is how long the load of a job is kept after its last measurement.
	loadRetention = time.Minute
	// admissionTargetShare is the share of the latency target up to which the predicted tail latency allows more
	// best-effort tasks.
	admissionTargetShare = 0.8
	// latencyCriticalUtilisation is the share of their requested CPU that latency-critical tasks use on average.
	latencyCriticalUtilisation = 0.45
)

// estimate is the mean and the variance of a quantity that is not known exactly.
type estimate struct{ mean, variance float64 }

// upperBound returns the mean plus one standard deviation, which the true value is unlikely to exceed.
func (e estimate) upperBound() float64 { return e.mean + math.Sqrt(e.variance) }

// jobLoad is the intrinsic load of the latency-critical tasks of one job. The tasks share their users, and so their load.
type jobLoad struct {
	estimate
	updatedAt time.Duration
	// reference is the mean at referenceAt, and slope its growth per second from the one before.
	reference, slope float64
	referenceAt      time.Duration
}

// effectsOf holds the effects of the best-effort tasks of one image, by the latency-critical image.
type effectsOf map[string]estimate

// InterferenceModel learns how much best-effort tasks raise the tail latency of latency-critical tasks on the same worker.
// It is not safe for concurrent use.
type InterferenceModel struct {
	// effects holds the pairs of images that have been measured together, by the best-effort image.
	effects map[string]effectsOf
	loads   map[jobs.ID]*jobLoad
	// lowestTails holds the lowest tail latency measured for each latency-critical image.
	lowestTails map[string]time.Duration
	// compatibleShares caches CompatibleShare until the next sample.
	compatibleShares map[string]float64
}

// NewInterferenceModel returns a model without measurements.
func NewInterferenceModel() *InterferenceModel {
	return &InterferenceModel{
		effects: make(map[string]effectsOf), loads: make(map[jobs.ID]*jobLoad), lowestTails: make(map[string]time.Duration),
		compatibleShares: make(map[string]float64),
	}
}

// Effect returns the estimated interference load on a latency-critical image from best-effort tasks of an image that use
// a whole worker.
func (m *InterferenceModel) Effect(latencyCritical, bestEffort string) float64 {
	return m.effect(latencyCritical, bestEffort).mean
}

func (m *InterferenceModel) effect(latencyCritical, bestEffort string) estimate {
	effect, _ := m.effects[bestEffort].on(latencyCritical)
	return effect
}

// on returns the effect on a latency-critical image, and whether the two images have been measured together.
func (e effectsOf) on(latencyCritical string) (effect estimate, measured bool) {
	if known, ok := e[latencyCritical]; ok {
		return known, true
	}
	return estimate{defaultPairEffect, maxPairVariance}, false
}

func (m *InterferenceModel) setEffect(latencyCritical, bestEffort string, effect estimate) {
	effects := m.effects[bestEffort]
	if effects == nil {
		effects = make(effectsOf)
		m.effects[bestEffort] = effects
	}
	effects[latencyCritical] = effect
}

// maxNegligibleEffect is the effect up to which interference counts as negligible.
const maxNegligibleEffect = 0.45

// CompatibleShare returns the share of the latency-critical images with which best-effort tasks of an image are known to interfere
// only negligibly.
func (m *InterferenceModel) CompatibleShare(bestEffort string) float64 {
	if share, cached := m.compatibleShares[bestEffort]; cached {
		return share
	}
	negligible := 0
	effects := m.effects[bestEffort]
	for latencyCritical := range m.lowestTails {
		if effect, _ := effects.on(latencyCritical); effect.upperBound() < maxNegligibleEffect {
			negligible++
		}
	}
	share := float64(negligible) / float64(max(1, len(m.lowestTails)))
	m.compatibleShares[bestEffort] = share
	return share
}

// loadFromTail returns the load that a tail latency of a latency-critical image implies.
func (m *InterferenceModel) loadFromTail(image string, tail, target time.Duration) float64 {
	return 1 - float64(m.baseline(image, target))/float64(max(1, tail))
}

// baseline returns the tail latency of an image without any load.
func (m *InterferenceModel) baseline(image string, target time.Duration) time.Duration {
	if lowest, ok := m.lowestTails[image]; ok {
		return time.Duration(baselinePerLowestTail * float64(lowest))
	}
	return time.Duration(baselinePerTarget * float64(target))
}

// Sample is one measurement of a latency-critical task.
type Sample struct {
	Job   jobs.ID
	Image string
	// TailLatency is the measured tail latency.
	TailLatency time.Duration
	// BestEffortShares holds the share of the worker that best-effort tasks of each image use, 0 to 1.
	BestEffortShares map[string]float64
	At               time.Duration
}

// Learn updates the estimates with a sample and returns the intrinsic load of the task.
func (m *InterferenceModel) Learn(s Sample) float64 {
	clear(m.compatibleShares)
	if lowest, ok := m.lowestTails[s.Image]; !ok || s.TailLatency < lowest {
		m.lowestTails[s.Image] = s.TailLatency
	}
	intrinsic := m.intrinsicLoad(s.Job, s.At)
	predicted, totalVariance := intrinsic.mean, intrinsic.variance+m.measurementVariance(s)
	bestEffort := slices.Sorted(maps.Keys(s.BestEffortShares))
	for _, image := range bestEffort {
		share := s.BestEffortShares[image]
		effect := m.effect(s.Image, image)
		predicted += effect.mean * share
		totalVariance += effect.variance * share * share
	}
	residual := min(maxLoad, m.loadFromTail(s.Image, s.TailLatency, 0)) - min(maxLoad, predicted)
	for image, share := range s.BestEffortShares {
		effect := m.effect(s.Image, image)
		gain := effect.variance * share / totalVariance
		effect.mean = clamp(effect.mean+gain*residual, 0, maxPairEffect)
		effect.variance = max(minPairVariance, effect.variance*(1-gain*share))
		m.setEffect(s.Image, image, effect)
	}
	gain := intrinsic.variance / totalVariance
	intrinsic.mean = clamp(intrinsic.mean+gain*residual, 0, maxLoad)
	intrinsic.variance *= 1 - gain
	intrinsic.updateSlope(s.At)
	return intrinsic.mean
}

// SlowdownRatio returns the ratio of a measured tail latency to the one predicted from the task's intrinsic load and the
// best-effort tasks on the same worker. It is 0 for an image without measurements.
func (m *InterferenceModel) SlowdownRatio(s Sample) float64 {
	if _, known := m.lowestTails[s.Image]; !known {
		return 0
	}
	load := defaultIntrinsicLoad
	if intrinsic := m.loads[s.Job]; intrinsic != nil {
		load = intrinsic.mean
	}
	for image, share := range s.BestEffortShares {
		load += m.Effect(s.Image, image) * share
	}
	predicted := float64(m.baseline(s.Image, 0)) / (1 - min(load, maxLoad))
	return float64(s.TailLatency) / max(1, predicted)
}

// intrinsicLoad returns the intrinsic load of a job's tasks. Its variance has grown with the time since the last update.
func (m *InterferenceModel) intrinsicLoad(id jobs.ID, now time.Duration) *jobLoad {
	intrinsic := m.loads[id]
	if intrinsic == nil {
		m.dropStaleLoads(now)
		intrinsic = &jobLoad{
			estimate: estimate{defaultIntrinsicLoad, maxIntrinsicLoadVariance}, updatedAt: now,
			reference: defaultIntrinsicLoad, referenceAt: now,
		}
		m.loads[id] = intrinsic
	}
	elapsed := max(0, now-intrinsic.updatedAt).Seconds()
	intrinsic.updatedAt = now
	intrinsic.variance = min(maxIntrinsicLoadVariance, intrinsic.variance+intrinsicLoadDriftPerSecond*elapsed)
	return intrinsic
}

// dropStaleLoads discards the loads of jobs that have not been measured within loadRetention.
func (m *InterferenceModel) dropStaleLoads(now time.Duration) {
	for id, intrinsic := range m.loads {
		if now-intrinsic.updatedAt > loadRetention {
			delete(m.loads, id)
		}
	}
}

// measurementVariance returns the variance of the load that a sample implies.
func (m *InterferenceModel) measurementVariance(s Sample) float64 {
	roundingError := float64(m.baseline(s.Image, 0)) / float64(s.TailLatency) / float64(s.TailLatency) * roundingErrorNanos
	return sampleVariance + roundingError*roundingError
}

func clamp(x, low, high float64) float64 { return math.Max(low, math.Min(high, x)) }
