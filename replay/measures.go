package replay

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"text/tabwriter"

	"golang.org/x/sync/errgroup"

	"bronzehook/api"
)

// Measures is the result of a replay.
type Measures struct {
	// ServiceP50, ServiceP99 and UrgentP99 are latencies of answered requests in milliseconds; urgent are those of high
	// and critical services.
	ServiceP50, ServiceP99, UrgentP99 float64
	// Answered is the answered share of the requests; UrgentAnswered that of the urgent ones.
	Answered, UrgentAnswered float64
	// BatchHours is the batch work done, in task hours at full speed.
	BatchHours float64
	// Runs counts the runs of jobs that were due in the trace, were not canceled and can run; Missed those that ended late
	// or not at all.
	Runs, Missed int
	// Evictions counts ordered stops; Kills tasks that a machine ended for lack of memory.
	Evictions, Kills int
	// LostHours is the work that evictions, kills and failures lost, in task hours.
	LostHours float64
	// Throttles and Checkpoints count the steps before evictions.
	Throttles, Checkpoints int
	// UrgentStart is the longest time in seconds from an urgent service task becoming pending until it ran.
	UrgentStart int
	// FailedTries counts attempts that failed, Quarantines the workers taken out of use, Reported the tasks reported as
	// unable ever to run.
	FailedTries, Quarantines, Reported int
	// FloodThroughput and FloodP99 are the urgent throughput and p99 with the flood over those without it; 0 if the trace
	// has no flood.
	FloodThroughput, FloodP99 float64
	// FloorKept is the smallest share of its floor that an urgency below critical was given during the flood.
	FloorKept float64
}

// Run replays a recorded trace with a policy.
func Run(ctx context.Context, site Site, trace string, seed uint64, policy Policy) (Measures, error) {
	events, err := Load(site, trace)
	if err != nil {
		return Measures{}, err
	}
	return Replay(ctx, site, events, seed, policy)
}

// Replay replays events with a policy until ctx ends. A trace with a flood is replayed without it as well, at the same
// time.
func Replay(ctx context.Context, site Site, events []Event, seed uint64, policy Policy) (Measures, error) {
	r, calm := newReplayer(site, policy, seed), newReplayer(site, policy, seed)
	flooded := slices.ContainsFunc(events, func(e Event) bool { return e.Flood })
	var group errgroup.Group
	if flooded {
		group.Go(func() error { return calm.replay(ctx, events, false) })
	}
	group.Go(func() error { return r.replay(ctx, events, true) })
	if err := group.Wait(); err != nil {
		return Measures{}, err
	}
	m := r.measures()
	if flooded {
		m.FloodThroughput = ratioOf(r.c.urgentAnswered, calm.c.urgentAnswered)
		m.FloodP99 = ratioOf(m.UrgentP99, calm.measures().UrgentP99)
		m.FloorKept = r.floorsKept()
	}
	return m, nil
}

func ratioOf(a, b float64) float64 {
	if b == 0 {
		return 1
	}
	return a / b
}

func (r *replayer) measures() Measures {
	const (
		microsPerMilli = 1000.0
		secondsPerHour = 3600
	)
	c := &r.c
	m := Measures{
		ServiceP50:     float64(c.services.ValueAtQuantile(50)) / microsPerMilli,
		ServiceP99:     float64(c.services.ValueAtQuantile(99)) / microsPerMilli,
		UrgentP99:      float64(c.urgent.ValueAtQuantile(99)) / microsPerMilli,
		Answered:       ratioOf(c.answered, c.offered),
		UrgentAnswered: ratioOf(c.urgentAnswered, c.urgentOffered),
		BatchHours:     c.batchSeconds / secondsPerHour,
		Evictions:      c.evictions, Kills: c.kills, LostHours: c.lostSeconds / secondsPerHour,
		Throttles: c.throttles, Checkpoints: c.checkpoints, UrgentStart: c.urgentWait,
		FailedTries: c.failedTries, Quarantines: c.quarantines, Reported: len(c.reported),
	}
	for _, p := range r.pending {
		if p.work.spec.Urgency >= api.High && p.work.spec.Kind == api.KindService {
			m.UrgentStart = max(m.UrgentStart, r.now-p.since)
		}
	}
	for _, name := range r.runNames {
		r.countRun(&m, name)
	}
	return m
}

// countRun counts a run that was due in the trace. Runs of jobs that can never succeed are left out for both policies.
func (r *replayer) countRun(m *Measures, name string) {
	run := r.runs[name]
	work := r.works[strings.SplitN(name, "/", 2)[0]]
	if run.canceled || run.due >= traceSeconds || work.truth.FailsEverywhere || r.neverFits(&work.spec) {
		return
	}
	m.Runs++
	if run.ended < run.parts || run.finishedAt > run.due {
		m.Missed++
	}
}

func (r *replayer) neverFits(spec *api.Spec) bool {
	largest := r.site.Capacity
	largest.Accelerators = acceleratorsPerWorker
	return !spec.Resources.Fits(largest)
}

// Comparison holds the measures of one trace on one site.
type Comparison struct {
	Site, Trace        string
	Decision, Baseline Measures
}

// Compare replays the traces of the sites with the decision and with the baseline, as many at one time as Go may use
// processors; each replay is independent of the others.
func Compare(ctx context.Context, sites []Site, traces []string, seed uint64) ([]Comparison, error) {
	results := make([]Comparison, len(sites)*len(traces))
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i := range results {
		site, trace := sites[i/len(traces)], traces[i%len(traces)]
		results[i].Site, results[i].Trace = site.Name, trace
		replayInto := func(m *Measures, policy Policy) {
			group.Go(func() (err error) {
				*m, err = Run(ctx, site, trace, seed, policy)
				return err
			})
		}
		replayInto(&results[i].Decision, Decision())
		replayInto(&results[i].Baseline, Baseline())
	}
	return results, group.Wait()
}

// Table replays the traces of the sites and returns the measures of the decision against those of the baseline as text.
// The same seed gives the same table.
func Table(ctx context.Context, sites []Site, traces []string, seed uint64) (string, error) {
	comparisons, err := Compare(ctx, sites, traces, seed)
	if err != nil {
		return "", err
	}
	return Render(comparisons, seed), nil
}

// Render returns comparisons as text.
func Render(comparisons []Comparison, seed uint64) string {
	var out strings.Builder
	for i := range comparisons {
		c := &comparisons[i]
		fmt.Fprintf(&out, "%s, %s, seed %d\n", c.Site, c.Trace, seed)
		w := tabwriter.NewWriter(&out, 0, 0, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintln(w, "measure\tdecision\tbaseline\t")
		d, b := c.Decision.rows(), c.Baseline.rows()
		for row := range d {
			fmt.Fprintf(w, "%s\t%s\t%s\t\n", d[row][0], d[row][1], b[row][1])
		}
		// A strings.Builder reports no errors.
		_ = w.Flush()
		out.WriteByte('\n')
	}
	return out.String()
}

func (m *Measures) rows() [][2]string {
	number := func(format string, value any) string { return fmt.Sprintf(format, value) }
	rows := [][2]string{
		{"service p50 (ms)", number("%.1f", m.ServiceP50)},
		{"service p99 (ms)", number("%.1f", m.ServiceP99)},
		{"urgent p99 (ms)", number("%.1f", m.UrgentP99)},
		{"requests answered", number("%.4f", m.Answered)},
		{"urgent requests answered", number("%.4f", m.UrgentAnswered)},
		{"batch work (task h)", number("%.1f", m.BatchHours)},
		{"runs due", number("%d", m.Runs)},
		{"runs late", number("%d", m.Missed)},
		{"evictions", number("%d", m.Evictions)},
		{"kills for memory", number("%d", m.Kills)},
		{"lost work (task h)", number("%.2f", m.LostHours)},
		{"throttles", number("%d", m.Throttles)},
		{"checkpoints", number("%d", m.Checkpoints)},
		{"longest urgent start (s)", number("%d", m.UrgentStart)},
		{"failed attempts", number("%d", m.FailedTries)},
		{"workers quarantined", number("%d", m.Quarantines)},
		{"tasks reported as never able to run", number("%d", m.Reported)},
	}
	if m.FloodThroughput > 0 {
		rows = append(rows, m.floodRows()...)
	}
	return rows
}
