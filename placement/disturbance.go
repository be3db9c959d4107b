package placement

import (
	"math"
	"time"

	"bronzehook/jobs"
)

// Parameters of the learning of disturbance.
const (
	// priorSlope is assumed for a pair of images that was never seen together: the growth of the logarithm of the
	// response times when the filler uses a whole worker.
	priorSlope = 1.2
	maxSlope   = 30.0
	// learningRate weighs one sample; baseRate one sample of an image's undisturbed response times.
	learningRate = 0.15
	baseRate     = 0.02
	// regularisation keeps samples with little filler work from changing much.
	regularisation = 0.02
	// admitBelow is the share of the latency target up to which a prediction lets more filler work in.
	admitBelow = 0.62
	// defaultBase is the share of the target that an unknown image is taken to need undisturbed.
	defaultBase = 0.5
	// servingUse is the share of their processors that serving tasks use on average.
	servingUse = 0.45
)

// Disturbance learns how much filler tasks slow the answers of serving tasks beside them, by pairs of images. It is not
// safe for concurrent use.
type Disturbance struct {
	slopes map[pair]float64
	shared map[string]float64
	base   map[string]float64
}

type pair struct{ serving, filler string }

// NewDisturbance returns a model that knows nothing.
func NewDisturbance() *Disturbance {
	return &Disturbance{
		slopes: make(map[pair]float64), shared: make(map[string]float64), base: make(map[string]float64),
	}
}

// Slope is the learned growth of the logarithm of the serving image's response times per worker of filler work.
func (d *Disturbance) Slope(serving, filler string) float64 {
	shared, ok := d.shared[filler]
	if !ok {
		shared = priorSlope
	}
	return math.Max(0, shared+d.slopes[pair{serving, filler}])
}

// mildSlope is the slope up to which fillers of an image hardly disturb.
const mildSlope = 0.6

// Mild reports whether fillers of an image are known to disturb hardly any serving task.
func (d *Disturbance) Mild(filler string) bool {
	shared, ok := d.shared[filler]
	return ok && shared < mildSlope
}

// Sample is one measurement of a serving task.
type Sample struct {
	Image string
	// Tail is the measured tail of the response times.
	Tail time.Duration
	// Fillers holds the share of the worker that fillers of each image use, 0 to 1.
	Fillers map[string]float64
}

// Learn takes up a sample.
func (d *Disturbance) Learn(s Sample) {
	if s.Tail <= 0 {
		return
	}
	observed := math.Log(s.Tail.Seconds())
	base, known := d.base[s.Image]
	if !known {
		base = observed
	}
	predicted, norm := base, regularisation
	for filler, share := range s.Fillers {
		predicted += d.Slope(s.Image, filler) * share
		norm += share * share
	}
	miss := observed - predicted
	d.base[s.Image] = base + baseRate*miss
	for filler, share := range s.Fillers {
		step := learningRate * miss * share / norm
		shared, ok := d.shared[filler]
		if !ok {
			shared = priorSlope
		}
		d.shared[filler] = clamp(shared+step/2, 0, maxSlope)
		p := pair{s.Image, filler}
		d.slopes[p] = clamp(d.slopes[p]+step/2, -maxSlope, maxSlope)
	}
}

func clamp(x, low, high float64) float64 { return math.Max(low, math.Min(high, x)) }

// level returns the logarithm of the share of its target that a serving image's tail takes on a node, as predicted from
// its fillers or as measured, whichever is larger: what is measured counts even if the model does not know why.
func (d *Disturbance) level(node *Node, image string, serving *Serving) float64 {
	target := math.Log(serving.Target.Seconds())
	level, known := d.base[image]
	if !known {
		level = target + math.Log(defaultBase)
	}
	for filler, cpu := range node.FillerByImage {
		level += d.Slope(image, filler) * node.share(cpu)
	}
	if serving.Tail > 0 {
		level = math.Max(level, math.Log(serving.Tail.Seconds()))
	}
	return level - target
}

// Admits reports whether a filler task may join the serving tasks of a node.
func (d *Disturbance) Admits(node *Node, step *jobs.Step) bool {
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

// minSlope keeps the room for images that disturb nobody finite.
const minSlope = 1e-3

// room is the share of a node that further filler work of an image may use.
func (d *Disturbance) room(node *Node, image string) float64 {
	room := math.Inf(1)
	for name, serving := range node.ServingByImage {
		left := math.Log(admitBelow) - d.level(node, name, serving)
		room = math.Min(room, left/math.Max(minSlope, d.Slope(name, image)))
	}
	return room
}

// Measured voids what was derived from earlier measurements of a node.
func (n *Node) Measured() { clear(n.admissible) }

// Stress is the largest predicted share of a target on a node if a serving task joined its fillers.
func (d *Disturbance) Stress(node *Node, step *jobs.Step) float64 {
	return math.Exp(d.level(node, step.Image, &Serving{Target: step.LatencyTarget}))
}

// Levels are logarithms of the share of its target that a tail takes.
var (
	// LevelPressed is where fillers are slowed down, LevelAimed what this aims at, LevelRelaxed where they may speed up.
	LevelPressed = math.Log(0.88)
	LevelAimed   = math.Log(0.75)
	LevelRelaxed = math.Log(0.62)
)

// Worst returns the serving image on a node whose measured tail is the nearest to its target or the furthest above it.
func (d *Disturbance) Worst(node *Node) (image string, level float64, known bool) {
	for name, serving := range node.ServingByImage {
		if serving.Target <= 0 || serving.Tail <= 0 {
			continue
		}
		here := math.Log(serving.Tail.Seconds() / serving.Target.Seconds())
		if !known || here > level {
			image, level, known = name, here, true
		}
	}
	return image, level, known
}
