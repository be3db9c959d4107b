package replay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"bronzehook/api"
)

// traceSeconds is the length of a trace. Runs arrive only until lastArrival, so that most of them can end within the
// trace.
const (
	traceSeconds = 2400
	lastArrival  = 1800
)

// generator generates a trace for one site.
type generator struct {
	site            Site
	rng             *rand.Rand
	events          []Event
	runCounts       map[string]int
	jobs            []*api.Spec
	truthByWorkload map[string]*Truth
	// wrongSizes means that declared sizes and run times are multiplied by a random factor from 0.2 to 5.
	wrongSizes bool
}

// Generate returns the trace that is generated from a seed. The recorded traces are generated from seed 1.
func Generate(site Site, trace string, seed uint64) []Event {
	g := &generator{
		site: site, rng: rand.New(rand.NewPCG(seed, uint64(len(site.Name)))),
		runCounts: map[string]int{}, truthByWorkload: map[string]*Truth{}, wrongSizes: trace == TraceWrongSizes,
	}
	g.addTeams()
	g.addServices()
	g.addJobs()
	g.addSteadyRuns(g.batchShare(trace))
	switch trace {
	case TraceNoisyWaves:
		g.addNoisyWaves()
	case TraceFloodLow:
		g.addLowUrgencyFlood()
	case TraceFloodHigh:
		g.addHighUrgencyFlood()
	case TraceCancel:
		g.addCancelWaves()
	case TraceBadWorkers:
		g.addBadWorkers()
	case TraceNeverRun:
		g.addInfeasibleJobs()
	}
	sort.SliceStable(g.events, func(i, j int) bool { return g.events[i].At < g.events[j].At })
	return g.events
}

// batchShare returns the share of the fleet's CPU that steady batch work uses.
func (g *generator) batchShare(trace string) float64 {
	switch trace {
	case TraceCalm:
		return 0.35
	case TraceNoisyWaves:
		return 0.35
	}
	return 0.45
}

func (g *generator) addEvent(e Event) { g.events = append(g.events, e) }

// uniform draws a uniformly distributed number. The explicit float64 conversions of products here and below prevent the
// compiler from using fused multiply-add on some architectures, so that a seed gives the same trace on all of them.
func (g *generator) uniform(low, high float64) float64 {
	return low + float64(g.rng.Float64()*(high-low))
}

func (g *generator) addTeams() {
	total := g.site.Capacity.MilliCPU * int64(g.site.Workers)
	for i := range 4 {
		team := api.Team{Name: fmt.Sprintf("team%d", i)}
		if i == 3 {
			team.Quota = api.Resources{MilliCPU: total / 4}
		}
		g.addEvent(Event{Kind: EventTeam, Team: &team})
	}
}

// The request rate of a service changes every rateInterval seconds and follows a sine wave with a period of ratePeriod
// seconds: a daily load pattern, compressed to fit into the trace.
const (
	serviceCount = 10
	rateInterval = 120
	ratePeriod   = 900
)

func (g *generator) addServices() {
	urgencies := []api.Urgency{api.Critical, api.High, api.Normal, api.Low, api.High}
	for i := range serviceCount {
		spec := api.Spec{
			Name: fmt.Sprintf("service%d", i), Kind: api.KindService, Team: fmt.Sprintf("team%d", i%3),
			Urgency: urgencies[i%len(urgencies)], Replicas: g.site.Workers / 4,
			Resources: api.Resources{MilliCPU: g.site.Capacity.MilliCPU / 10, MemoryMB: g.site.Capacity.MemoryMB / 20},
		}
		truth := &Truth{
			// MilliCPU is the cost of one request per second on one task; about 40 per second arrive at each task.
			Use:           api.Resources{MilliCPU: spec.Resources.MilliCPU / 90, MemoryMB: spec.Resources.MemoryMB * 6 / 10},
			ServiceMillis: g.uniform(12, 25),
		}
		for d := range Dimensions {
			truth.Sensitivity[d] = g.uniform(0.1, 0.4)
			truth.Pressure[d] = g.uniform(0, 0.03)
		}
		truth.Sensitivity[i%Dimensions] = g.uniform(0.8, 1.2)
		g.addEvent(Event{Kind: EventWork, Work: spec.Name, Spec: g.declaredSpec(&spec, truth), Truth: truth})
		phase := g.uniform(0, 2*math.Pi)
		for at := 0; at < traceSeconds; at += rateInterval {
			load := 1 + float64(0.35*math.Sin(phase+2*math.Pi*float64(at)/ratePeriod))
			rate := 40 * float64(spec.Replicas) * load * g.uniform(0.95, 1.05)
			g.addEvent(Event{At: at, Kind: EventRate, Work: spec.Name, Rate: math.Round(rate)})
		}
	}
	watcher := api.Spec{
		Name: "watcher", Kind: api.KindWatcher, Team: "team0", Urgency: api.Normal, Replicas: 6,
		Resources: api.Resources{MilliCPU: 500, MemoryMB: 1000},
	}
	g.addEvent(Event{Kind: EventWork, Work: watcher.Name, Spec: &watcher, Truth: &Truth{Use: watcher.Resources}})
}

// declaredSpec returns the spec that operators declare: the actual need with some headroom, or distorted sizes in the
// trace with wrong sizes.
func (g *generator) declaredSpec(spec *api.Spec, truth *Truth) *api.Spec {
	if g.wrongSizes {
		g.distortSizes(spec)
	}
	g.truthByWorkload[spec.Name] = truth
	return spec
}

func (g *generator) distortSizes(spec *api.Spec) {
	factor := func() float64 { return math.Exp(g.uniform(math.Log(0.2), math.Log(5))) }
	scaled := func(amount int64, limit int64) int64 {
		return min(limit, max(100, int64(float64(amount)*factor())))
	}
	spec.Resources.MilliCPU = scaled(spec.Resources.MilliCPU, g.site.Capacity.MilliCPU/2)
	spec.Resources.MemoryMB = scaled(spec.Resources.MemoryMB, g.site.Capacity.MemoryMB/2)
	spec.RunTime = time.Duration(float64(spec.RunTime) * factor()).Round(time.Second)
}

// The first noisyJobCount of the jobs put pressure on a shared resource.
const (
	jobCount      = 14
	noisyJobCount = 4
)

func (g *generator) addJobs() {
	for i := range jobCount {
		g.addJob(fmt.Sprintf("job%02d", i), i < noisyJobCount, api.Urgency(1+i%2))
	}
}

func (g *generator) addJob(name string, noisy bool, urgency api.Urgency) *api.Spec {
	cores := g.uniform(0.05, 0.16)
	runSeconds := math.Round(g.uniform(120, 420))
	spec := &api.Spec{
		Name: name, Kind: api.KindJob, Team: fmt.Sprintf("team%d", g.rng.IntN(4)), Urgency: urgency, Replicas: 1,
		Resources: api.Resources{
			MilliCPU: int64(cores * float64(g.site.Capacity.MilliCPU)),
			MemoryMB: int64(g.uniform(0.03, 0.12) * float64(g.site.Capacity.MemoryMB)),
		},
		RunTime: time.Duration(runSeconds) * time.Second,
	}
	truth := &Truth{
		Use: api.Resources{
			MilliCPU: int64(0.85 * float64(spec.Resources.MilliCPU)), MemoryMB: int64(0.8 * float64(spec.Resources.MemoryMB)),
		},
		RunSeconds: runSeconds,
	}
	for d := range Dimensions {
		truth.Sensitivity[d] = g.uniform(0.05, 0.25)
		truth.Pressure[d] = g.uniform(0, 0.02)
	}
	if noisy {
		truth.Pressure[g.rng.IntN(Dimensions)] = g.uniform(0.35, 0.6)
	}
	g.addEvent(Event{Kind: EventWork, Work: name, Spec: g.declaredSpec(spec, truth), Truth: truth})
	g.jobs = append(g.jobs, spec)
	return spec
}

// addRun adds a run of a job whose deadline is the given multiple of the actual run time, plus 30 s.
func (g *generator) addRun(at int, spec *api.Spec, tasks int, deadlineFactor float64, flood bool) {
	g.runCounts[spec.Name]++
	deadline := math.Round(g.truthByWorkload[spec.Name].RunSeconds*deadlineFactor) + 30
	g.addEvent(Event{
		At: at, Kind: EventRun, Work: spec.Name, Run: g.runCounts[spec.Name], Parts: tasks, Deadline: deadline, Flood: flood,
	})
}

// addSteadyRuns adds runs, spread over the trace, that keep the given share of the fleet's CPU busy.
func (g *generator) addSteadyRuns(share float64) {
	budget := share * float64(g.site.Capacity.MilliCPU*int64(g.site.Workers)) * lastArrival
	for budget > 0 {
		spec := g.jobs[g.rng.IntN(jobCount)]
		truth := g.truthByWorkload[spec.Name]
		tasks := 3 + g.rng.IntN(8)
		deadlineFactor := g.uniform(1.5, 2.5)
		if g.rng.IntN(2) == 0 {
			deadlineFactor = g.uniform(4, 7)
		}
		g.addRun(g.rng.IntN(lastArrival), spec, tasks, deadlineFactor, false)
		budget -= float64(float64(tasks) * float64(truth.Use.MilliCPU) * truth.RunSeconds)
	}
}

// addWave adds runs of the jobs that start within 20 s and together use the given share of the fleet's CPU.
func (g *generator) addWave(at int, jobs []*api.Spec, share, deadlineFactor float64, flood bool) {
	budget := share * float64(g.site.Capacity.MilliCPU*int64(g.site.Workers))
	for budget > 0 {
		spec := jobs[g.rng.IntN(len(jobs))]
		tasks := 4 + g.rng.IntN(6)
		g.addRun(at+g.rng.IntN(20), spec, tasks, deadlineFactor*g.uniform(0.9, 1.3), flood)
		budget -= float64(float64(tasks) * float64(g.truthByWorkload[spec.Name].Use.MilliCPU))
	}
}

func (g *generator) addNoisyWaves() {
	for _, at := range []int{200, 560, 920, 1280, 1640} {
		g.addWave(at, g.jobs[:noisyJobCount], 0.35, 4, false)
	}
}

// A flood lasts from floodStart to floodEnd and multiplies request rates by floodFactor.
const (
	floodStart  = 600
	floodEnd    = 1200
	floodFactor = 10
)

// addFloodRates multiplies the request rates of the services of one urgency during the flood.
func (g *generator) addFloodRates(urgency api.Urgency) {
	rates := map[string]float64{}
	flooded := map[string]bool{}
	for i := range g.events {
		e := &g.events[i]
		if e.Kind == EventWork && e.Spec != nil && e.Spec.Kind == api.KindService {
			flooded[e.Work] = e.Spec.Urgency == urgency
		}
		if e.Kind != EventRate || !flooded[e.Work] || e.At >= floodEnd {
			continue
		}
		rates[e.Work] = e.Rate
		if e.At >= floodStart {
			g.addEvent(Event{At: e.At, Kind: EventRate, Work: e.Work, Rate: floodFactor * e.Rate, Flood: true})
		}
	}
}

func (g *generator) addLowUrgencyFlood() {
	low := []*api.Spec{g.addJob("flood0", true, api.Low), g.addJob("flood1", false, api.Low)}
	g.addFloodRates(api.Low)
	for at := floodStart; at < floodEnd; at += 60 {
		g.addWave(at, low, 0.5, 6, true)
	}
}

func (g *generator) addHighUrgencyFlood() {
	high := []*api.Spec{g.addJob("flood0", true, api.Critical), g.addJob("flood1", false, api.Critical)}
	g.addFloodRates(api.Critical)
	for at := floodStart; at < floodEnd; at += 60 {
		g.addWave(at, high, 0.3, 6, true)
	}
}

// addCancelWaves cancels, three times, 80% of the runs that arrived in the last 150 s.
func (g *generator) addCancelWaves() {
	for _, at := range []int{500, 1000, 1500} {
		g.addWave(at-120, g.jobs, 0.8, 5, false)
		for _, e := range append([]Event(nil), g.events...) {
			if e.Kind == EventRun && e.At > at-150 && e.At < at && g.rng.IntN(10) < 8 {
				g.addEvent(Event{At: at, Kind: EventCancel, Work: e.Work, Run: e.Run})
			}
		}
	}
}

// addBadWorkers breaks four workers until 1,500 s and adds jobs that fail on every worker.
func (g *generator) addBadWorkers() {
	for i := range 4 {
		worker := api.WorkerID(fmt.Sprintf("w%02d", 3+11*i))
		g.addEvent(Event{At: 240 + 60*i, Kind: EventBreak, Worker: worker})
		g.addEvent(Event{At: 1500, Kind: EventRepair, Worker: worker})
	}
	for i := range 4 {
		spec := g.addJob(fmt.Sprintf("broken%d", i), false, api.Normal)
		g.truthByWorkload[spec.Name].FailsEverywhere = true
		g.addRun(200+200*i, spec, 4, 4, false)
	}
}

// addInfeasibleJobs adds jobs that need more CPU or more accelerators than any worker has.
func (g *generator) addInfeasibleJobs() {
	for i := range 6 {
		spec := g.addJob(fmt.Sprintf("never%d", i), false, api.High)
		if i%2 == 0 {
			spec.Resources.MilliCPU = g.site.Capacity.MilliCPU * 2
		} else {
			spec.Resources.Accelerators = acceleratorsPerWorker + 1
		}
		g.addRun(120*(i+1), spec, 6, 4, false)
	}
}
