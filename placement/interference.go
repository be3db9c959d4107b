package placement

import (
	"math"
	"time"

	"bronzehook/jobs"
)

// Serving tasks answer the slower the busier their worker is for them: a tail is taken to be floor / (1 - load). The load
// is the task's own, which swings with its users, plus what fillers add: the share of the worker that they use, times
// a figure for each pair of images. Most pairs add hardly anything and some a lot, so each pair is learned by itself. Loads
// and figures are estimates with a variance; a sample corrects the uncertain ones most.
const (
	// floorShare times the lowest tail that an image has shown is what it needs without any load.
	floorShare = 0.8
	// defaultFloor is the floor of an image that was never measured, as a share of its target.
	defaultFloor = 0.22
	// ownLoad and ownLoadVariance are assumed for a job that was never measured.
	ownLoad         = 0.45
	ownLoadVariance = 0.04
	// ownLoadDrift is how much the variance of a job's own load grows in a second.
	ownLoadDrift = 0.01
	// pairEffect and pairVariance are assumed for a pair of images that was never seen together.
	pairEffect   = 0.7
	pairVariance = 0.5
	// pairVarianceLeft stays, so that a figure can change.
	pairVarianceLeft = 0.004
	maxPairEffect    = 8.0
	// sampleVariance is that of a measured load, beside the rounding of tails to whole milliseconds.
	sampleVariance = 0.003
	rounding       = 0.3 * float64(time.Millisecond)
	// maxLoad bounds measured loads: above it tails say little.
	maxLoad = 0.92
	// forgetAfter is how long the load of a job is remembered that is not measured any more.
	forgetAfter = time.Minute
	// admitBelow is the share of the latency target up to which a prediction lets more filler work in.
	admitBelow = 0.8
	// servingUse is the share of their processors that serving tasks use on average.
	servingUse = 0.45
)

// estimate is a figure that is not known exactly.
type estimate struct{ mean, variance float64 }

// careful is a figure that the true one is unlikely to exceed.
func (e estimate) careful() float64 { return e.mean + math.Sqrt(e.variance) }

// jobLoad is the own load of the serving tasks of one job, which share their users.
type jobLoad struct {
	estimate
	at time.Duration
}

type pair struct{ serving, filler string }

// InterferenceModel learns how much filler tasks slow the answers of serving tasks beside them. It is not safe for concurrent
// use.
type InterferenceModel struct {
	// effects holds the pairs that were seen together.
	effects map[pair]estimate
	loads   map[jobs.ID]*jobLoad
	lowest  map[string]time.Duration
}

// NewInterferenceModel returns a model that knows nothing.
func NewInterferenceModel() *InterferenceModel {
	return &InterferenceModel{
		effects: make(map[pair]estimate), loads: make(map[jobs.ID]*jobLoad), lowest: make(map[string]time.Duration),
	}
}

// Effect is the load that fillers of an image add to a serving image's if they use a whole worker, as far as known.
func (d *InterferenceModel) Effect(serving, filler string) float64 {
	return d.effect(serving, filler).mean
}

func (d *InterferenceModel) effect(serving, filler string) estimate {
	if known, ok := d.effects[pair{serving, filler}]; ok {
		return known
	}
	return estimate{pairEffect, pairVariance}
}

// mildEffect is the effect up to which fillers of an image hardly disturb.
const mildEffect = 0.45

// Breadth is the share of the serving images that fillers of an image are known to disturb hardly at all.
func (d *InterferenceModel) Breadth(filler string) float64 {
	mild := 0
	for serving := range d.lowest {
		if d.effect(serving, filler).careful() < mildEffect {
			mild++
		}
	}
	return float64(mild) / float64(max(1, len(d.lowest)))
}

// load is what a tail of a serving image says about its load.
func (d *InterferenceModel) load(image string, tail, target time.Duration) float64 {
	return 1 - float64(d.floor(image, target))/float64(max(1, tail))
}

func (d *InterferenceModel) floor(image string, target time.Duration) time.Duration {
	if lowest, ok := d.lowest[image]; ok {
		return time.Duration(floorShare * float64(lowest))
	}
	return time.Duration(defaultFloor * float64(target))
}

// Sample is one measurement of a serving task.
type Sample struct {
	Job   jobs.ID
	Image string
	// Tail is the measured tail of the response times.
	Tail time.Duration
	// Fillers holds the share of the worker that fillers of each image use, 0 to 1.
	Fillers map[string]float64
	At      time.Duration
}

// Learn takes up a sample and returns the own load of the task.
func (d *InterferenceModel) Learn(s Sample) float64 {
	if lowest, ok := d.lowest[s.Image]; !ok || s.Tail < lowest {
		d.lowest[s.Image] = s.Tail
	}
	own := d.own(s.Job, s.At)
	predicted, norm := own.mean, own.variance+d.noise(s)
	for filler, share := range s.Fillers {
		effect := d.effect(s.Image, filler)
		predicted += effect.mean * share
		norm += effect.variance * share * share
	}
	miss := min(maxLoad, d.load(s.Image, s.Tail, 0)) - min(maxLoad, predicted)
	for filler, share := range s.Fillers {
		effect := d.effect(s.Image, filler)
		gain := effect.variance * share / norm
		effect.mean = clamp(effect.mean+gain*miss, 0, maxPairEffect)
		effect.variance = max(pairVarianceLeft, effect.variance*(1-gain*share))
		d.effects[pair{s.Image, filler}] = effect
	}
	gain := own.variance / norm
	own.mean = clamp(own.mean+gain*miss, 0, maxLoad)
	own.variance *= 1 - gain
	return own.mean
}

// Slowness is how many times as long a measured tail is as foreseen from the task's own load and the fillers beside it. It is 0
// for an image that was never measured.
func (d *InterferenceModel) Slowness(s Sample) float64 {
	if _, known := d.lowest[s.Image]; !known {
		return 0
	}
	load := ownLoad
	if own := d.loads[s.Job]; own != nil {
		load = own.mean
	}
	for filler, share := range s.Fillers {
		load += d.Effect(s.Image, filler) * share
	}
	foreseen := float64(d.floor(s.Image, 0)) / (1 - min(load, maxLoad))
	return float64(s.Tail) / max(1, foreseen)
}

// own returns the load of a job's tasks, with the variance that it has by now.
func (d *InterferenceModel) own(id jobs.ID, now time.Duration) *jobLoad {
	own := d.loads[id]
	if own == nil {
		d.forget(now)
		own = &jobLoad{estimate: estimate{ownLoad, ownLoadVariance}, at: now}
		d.loads[id] = own
	}
	elapsed := max(0, now-own.at).Seconds()
	own.at = now
	own.variance = min(ownLoadVariance, own.variance+ownLoadDrift*elapsed)
	return own
}

func (d *InterferenceModel) forget(now time.Duration) {
	for id, own := range d.loads {
		if now-own.at > forgetAfter {
			delete(d.loads, id)
		}
	}
}

// noise is the variance of the load that a sample shows.
func (d *InterferenceModel) noise(s Sample) float64 {
	rounded := float64(d.floor(s.Image, 0)) / float64(s.Tail) / float64(s.Tail) * rounding
	return sampleVariance + rounded*rounded
}

func clamp(x, low, high float64) float64 { return math.Max(low, math.Min(high, x)) }

// expected returns the load to expect of a serving image on a node, from its own load and its fillers or as measured,
// whichever is larger: what is measured counts even if the model does not know why.
func (d *InterferenceModel) expected(node *Node, image string, serving *LatencyCriticalGroup) float64 {
	expected := serving.Own
	if expected == 0 {
		expected = ownLoad
	}
	for filler, cpu := range node.BestEffortByImage {
		expected += d.Effect(image, filler) * node.share(cpu)
	}
	if serving.Tail > 0 {
		expected = max(expected, d.load(image, serving.Tail, serving.Target))
	}
	return expected
}

// allowed is the load at which a serving image's tail takes a share of its target.
func (d *InterferenceModel) allowed(image string, target time.Duration, share float64) float64 {
	return d.load(image, time.Duration(share*float64(target)), target)
}

// Admits reports whether a filler task may join the serving tasks of a node.
func (d *InterferenceModel) Admits(node *Node, step *jobs.Step) bool {
	room, cached := node.admissible[step.Image]
	if !cached {
		room = d.room(node, step.Image)
		if node.admissible == nil {
			node.admissible = make(map[string]float64)
		}
		node.admissible[step.Image] = room
	}
	return node.share(step.Resources.CPU) <= room
}

// minEffect keeps the room for images that disturb nobody finite.
const minEffect = 1e-3

// room is the share of a node that further filler work of an image may use. A pair of images that was never seen
// together is tried by one task.
func (d *InterferenceModel) room(node *Node, image string) float64 {
	room := math.Inf(1)
	for name, serving := range node.LatencyCriticalByImage {
		left := d.allowed(name, serving.Target, admitBelow) - d.expected(node, name, serving)
		effect := d.effect(name, image).careful()
		if _, seen := d.effects[pair{name, image}]; !seen && node.BestEffortByImage[image] == 0 {
			effect = pairEffect
		}
		room = math.Min(room, left/math.Max(minEffect, effect))
	}
	return room
}

// InvalidateAdmissible voids what was derived from earlier measurements of a node.
func (n *Node) InvalidateAdmissible() { clear(n.admissible) }

// WouldInterfere reports whether the fillers of a node would disturb a serving task that joined them.
func (d *InterferenceModel) WouldInterfere(node *Node, step *jobs.Step) bool {
	joined := &LatencyCriticalGroup{Target: step.LatencyTarget}
	return d.expected(node, step.Image, joined) > d.allowed(step.Image, step.LatencyTarget, admitBelow)
}

// Shares of its target that a tail takes: above Pressed fillers are slowed down, below Relaxed they may speed up, and both
// aim at Aimed.
const (
	Pressed = 0.95
	Aimed   = 0.85
	Relaxed = 0.75
)

// Worst returns the serving image on a node whose measured tail takes the largest share of its target.
func (d *InterferenceModel) Worst(node *Node) (image string, share float64, known bool) {
	for name, serving := range node.LatencyCriticalByImage {
		if serving.Target <= 0 || serving.Tail <= 0 {
			continue
		}
		here := serving.Tail.Seconds() / serving.Target.Seconds()
		if !known || here > share {
			image, share, known = name, here, true
		}
	}
	return image, share, known
}

// Excess is the load by which the measured tail of a serving image on a node is above the aim; it is negative where there
// is room.
func (d *InterferenceModel) Excess(node *Node, image string) float64 {
	serving := node.LatencyCriticalByImage[image]
	if serving == nil {
		return 0
	}
	return d.load(image, serving.Tail, serving.Target) - d.allowed(image, serving.Target, Aimed)
}
