package replay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"bronzehook/api"
)

// traceSeconds is the length of a trace. Runs arrive until lastArrival, so that most of them can end.
const (
	traceSeconds = 2400
	lastArrival  = 1800
)

// generator writes a trace for one site.
type generator struct {
	site   Site
	rng    *rand.Rand
	events []Event
	runs   map[string]int
	jobs   []*api.Spec
	truths map[string]*Truth
	// wrong multiplies declared sizes and run times by a factor from 0.2 to 5.
	wrong bool
}

// Generate returns the trace that the generator makes from a seed. The recorded traces are made from seed 1.
func Generate(site Site, trace string, seed uint64) []Event {
	g := &generator{
		site: site, rng: rand.New(rand.NewPCG(seed, uint64(len(site.Name)))),
		runs: map[string]int{}, truths: map[string]*Truth{}, wrong: trace == TraceWrongSizes,
	}
	g.teams()
	g.services()
	g.families()
	g.steadyRuns(g.share(trace))
	switch trace {
	case TraceNoisyWaves:
		g.noisyWaves()
	case TraceFloodLow:
		g.floodLow()
	case TraceFloodHigh:
		g.floodHigh()
	case TraceCancel:
		g.cancelWaves()
	case TraceBadWorkers:
		g.badWorkers()
	case TraceNeverRun:
		g.neverRun()
	}
	sort.SliceStable(g.events, func(i, j int) bool { return g.events[i].At < g.events[j].At })
	return g.events
}

// share is the part of the processors that steady batch work asks for.
func (g *generator) share(trace string) float64 {
	switch trace {
	case TraceCalm:
		return 0.35
	case TraceNoisyWaves:
		return 0.35
	}
	return 0.45
}

func (g *generator) add(e Event) { g.events = append(g.events, e) }

// between draws a number. The conversions of products here and below keep compilers from fusing them with a sum, which some
// architectures do: the same seed gives the same trace on all of them.
func (g *generator) between(low, high float64) float64 {
	return low + float64(g.rng.Float64()*(high-low))
}

func (g *generator) teams() {
	total := g.site.Capacity.MilliCPU * int64(g.site.Workers)
	for i := range 4 {
		team := api.Team{Name: fmt.Sprintf("team%d", i)}
		if i == 3 {
			team.Quota = api.Resources{MilliCPU: total / 4}
		}
		g.add(Event{Kind: EventTeam, Team: &team})
	}
}

// Services: ten, with a daily shift of load that is pressed into the trace.
const (
	serviceCount = 10
	rateInterval = 120
	ratePeriod   = 900
)

func (g *generator) services() {
	urgencies := []api.Urgency{api.Critical, api.High, api.Normal, api.Low, api.High}
	for i := range serviceCount {
		spec := api.Spec{
			Name: fmt.Sprintf("service%d", i), Kind: api.KindService, Team: fmt.Sprintf("team%d", i%3),
			Urgency: urgencies[i%len(urgencies)], Replicas: g.site.Workers / 4,
			Resources: api.Resources{MilliCPU: g.site.Capacity.MilliCPU / 10, MemoryMB: g.site.Capacity.MemoryMB / 20},
		}
		truth := &Truth{
			// One request a second and task costs this much; about 40 a second and task arrive.
			Use:           api.Resources{MilliCPU: spec.Resources.MilliCPU / 90, MemoryMB: spec.Resources.MemoryMB * 6 / 10},
			ServiceMillis: g.between(12, 25),
		}
		for d := range Dimensions {
			truth.Sensitivity[d] = g.between(0.1, 0.4)
			truth.Pressure[d] = g.between(0, 0.03)
		}
		truth.Sensitivity[i%Dimensions] = g.between(0.8, 1.2)
		g.add(Event{Kind: EventWork, Work: spec.Name, Spec: g.declare(&spec, truth), Truth: truth})
		phase := g.between(0, 2*math.Pi)
		for at := 0; at < traceSeconds; at += rateInterval {
			swing := 1 + float64(0.35*math.Sin(phase+2*math.Pi*float64(at)/ratePeriod))
			rate := 40 * float64(spec.Replicas) * swing * g.between(0.95, 1.05)
			g.add(Event{At: at, Kind: EventRate, Work: spec.Name, Rate: math.Round(rate)})
		}
	}
	watcher := api.Spec{
		Name: "watcher", Kind: api.KindWatcher, Team: "team0", Urgency: api.Normal, Replicas: 6,
		Resources: api.Resources{MilliCPU: 500, MemoryMB: 1000},
	}
	g.add(Event{Kind: EventWork, Work: watcher.Name, Spec: &watcher, Truth: &Truth{Use: watcher.Resources}})
}

// declare returns the spec that operators state: the real need with some headroom, or a wrong one.
func (g *generator) declare(spec *api.Spec, truth *Truth) *api.Spec {
	if g.wrong {
		g.wrongly(spec)
	}
	g.truths[spec.Name] = truth
	return spec
}

func (g *generator) wrongly(spec *api.Spec) {
	factor := func() float64 { return math.Exp(g.between(math.Log(0.2), math.Log(5))) }
	scaled := func(amount int64, most int64) int64 {
		return min(most, max(100, int64(float64(amount)*factor())))
	}
	spec.Resources.MilliCPU = scaled(spec.Resources.MilliCPU, g.site.Capacity.MilliCPU/2)
	spec.Resources.MemoryMB = scaled(spec.Resources.MemoryMB, g.site.Capacity.MemoryMB/2)
	spec.RunTime = time.Duration(float64(spec.RunTime) * factor()).Round(time.Second)
}

// Job families: the first noisyFamilies of them put pressure on a shared resource.
const (
	familyCount   = 14
	noisyFamilies = 4
)

func (g *generator) families() {
	for i := range familyCount {
		g.family(fmt.Sprintf("job%02d", i), i < noisyFamilies, api.Urgency(1+i%2))
	}
}

func (g *generator) family(name string, noisy bool, urgency api.Urgency) *api.Spec {
	cores := g.between(0.05, 0.16)
	run := math.Round(g.between(120, 420))
	spec := &api.Spec{
		Name: name, Kind: api.KindJob, Team: fmt.Sprintf("team%d", g.rng.IntN(4)), Urgency: urgency, Replicas: 1,
		Resources: api.Resources{
			MilliCPU: int64(cores * float64(g.site.Capacity.MilliCPU)),
			MemoryMB: int64(g.between(0.03, 0.12) * float64(g.site.Capacity.MemoryMB)),
		},
		RunTime: time.Duration(run) * time.Second,
	}
	truth := &Truth{
		Use: api.Resources{
			MilliCPU: int64(0.85 * float64(spec.Resources.MilliCPU)), MemoryMB: int64(0.8 * float64(spec.Resources.MemoryMB)),
		},
		RunSeconds: run,
	}
	for d := range Dimensions {
		truth.Sensitivity[d] = g.between(0.05, 0.25)
		truth.Pressure[d] = g.between(0, 0.02)
	}
	if noisy {
		truth.Pressure[g.rng.IntN(Dimensions)] = g.between(0.35, 0.6)
	}
	g.add(Event{Kind: EventWork, Work: name, Spec: g.declare(spec, truth), Truth: truth})
	g.jobs = append(g.jobs, spec)
	return spec
}

// run adds a run whose deadline is the given multiple of the real run time.
func (g *generator) run(at int, spec *api.Spec, parts int, slack float64, flood bool) {
	g.runs[spec.Name]++
	deadline := math.Round(g.truths[spec.Name].RunSeconds*slack) + 30
	g.add(Event{
		At: at, Kind: EventRun, Work: spec.Name, Run: g.runs[spec.Name], Parts: parts, Deadline: deadline, Flood: flood,
	})
}

// steadyRuns adds runs that keep the given share of the fleet's processors busy.
func (g *generator) steadyRuns(share float64) {
	budget := share * float64(g.site.Capacity.MilliCPU*int64(g.site.Workers)) * lastArrival
	for budget > 0 {
		spec := g.jobs[g.rng.IntN(familyCount)]
		truth := g.truths[spec.Name]
		parts := 3 + g.rng.IntN(8)
		slack := g.between(1.5, 2.5)
		if g.rng.IntN(2) == 0 {
			slack = g.between(4, 7)
		}
		g.run(g.rng.IntN(lastArrival), spec, parts, slack, false)
		budget -= float64(float64(parts) * float64(truth.Use.MilliCPU) * truth.RunSeconds)
	}
}

// wave adds runs of the families within 20 s that ask for the given share of the fleet.
func (g *generator) wave(at int, families []*api.Spec, share, slack float64, flood bool) {
	budget := share * float64(g.site.Capacity.MilliCPU*int64(g.site.Workers))
	for budget > 0 {
		spec := families[g.rng.IntN(len(families))]
		parts := 4 + g.rng.IntN(6)
		g.run(at+g.rng.IntN(20), spec, parts, slack*g.between(0.9, 1.3), flood)
		budget -= float64(float64(parts) * float64(g.truths[spec.Name].Use.MilliCPU))
	}
}

func (g *generator) noisyWaves() {
	for _, at := range []int{200, 560, 920, 1280, 1640} {
		g.wave(at, g.jobs[:noisyFamilies], 0.35, 4, false)
	}
}

// Floods last from floodStart to floodEnd.
const (
	floodStart  = 600
	floodEnd    = 1200
	floodFactor = 10
)

// floodRates multiplies the requests of services of one urgency during the flood.
func (g *generator) floodRates(urgency api.Urgency) {
	rates := map[string]float64{}
	urgent := map[string]bool{}
	for i := range g.events {
		e := &g.events[i]
		if e.Kind == EventWork && e.Spec != nil && e.Spec.Kind == api.KindService {
			urgent[e.Work] = e.Spec.Urgency == urgency
		}
		if e.Kind != EventRate || !urgent[e.Work] || e.At >= floodEnd {
			continue
		}
		rates[e.Work] = e.Rate
		if e.At >= floodStart {
			g.add(Event{At: e.At, Kind: EventRate, Work: e.Work, Rate: floodFactor * e.Rate, Flood: true})
		}
	}
}

func (g *generator) floodLow() {
	low := []*api.Spec{g.family("flood0", true, api.Low), g.family("flood1", false, api.Low)}
	g.floodRates(api.Low)
	for at := floodStart; at < floodEnd; at += 60 {
		g.wave(at, low, 0.5, 6, true)
	}
}

func (g *generator) floodHigh() {
	high := []*api.Spec{g.family("flood0", true, api.Critical), g.family("flood1", false, api.Critical)}
	g.floodRates(api.Critical)
	for at := floodStart; at < floodEnd; at += 60 {
		g.wave(at, high, 0.3, 6, true)
	}
}

// cancelWaves cancels most of the runs that came in the last minutes, three times.
func (g *generator) cancelWaves() {
	for _, at := range []int{500, 1000, 1500} {
		g.wave(at-120, g.jobs, 0.8, 5, false)
		for _, e := range append([]Event(nil), g.events...) {
			if e.Kind == EventRun && e.At > at-150 && e.At < at && g.rng.IntN(10) < 8 {
				g.add(Event{At: at, Kind: EventCancel, Work: e.Work, Run: e.Run})
			}
		}
	}
}

// badWorkers breaks workers for some time, and adds a job that fails everywhere.
func (g *generator) badWorkers() {
	for i := range 4 {
		worker := api.WorkerID(fmt.Sprintf("w%02d", 3+11*i))
		g.add(Event{At: 240 + 60*i, Kind: EventBreak, Worker: worker})
		g.add(Event{At: 1500, Kind: EventRepair, Worker: worker})
	}
	for i := range 4 {
		spec := g.family(fmt.Sprintf("broken%d", i), false, api.Normal)
		g.truths[spec.Name].FailsEverywhere = true
		g.run(200+200*i, spec, 4, 4, false)
	}
}

// neverRun adds jobs that no worker can hold and jobs above their team's quota.
func (g *generator) neverRun() {
	for i := range 6 {
		spec := g.family(fmt.Sprintf("never%d", i), false, api.High)
		if i%2 == 0 {
			spec.Resources.MilliCPU = g.site.Capacity.MilliCPU * 2
		} else {
			spec.Resources.Accelerators = acceleratorsPerWorker + 1
		}
		g.run(120*(i+1), spec, 6, 4, false)
	}
}
