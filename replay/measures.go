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
	// ServiceP50, ServiceP99 and UrgentP99 are latency percentiles of the answered requests in milliseconds. Urgent
	// requests are those to services of high or critical urgency.
	ServiceP50, ServiceP99, UrgentP99 float64
	// Answered is the share of requests that were answered before their deadline; UrgentAnswered is the same share of the
	// urgent requests.
	Answered, UrgentAnswered float64
	// BatchHours is the completed batch work, in task hours at full speed.
	BatchHours float64
	// Runs counts the job runs that were due within the trace, were not cancelled and can succeed. Missed counts those
	// of them that missed their deadline.
	Runs, Missed int
	// Evictions counts attempts that the policy evicted; Kills counts attempts that a worker killed because it ran out
	// of memory.
	Evictions, Kills int
	// LostHours is the work lost to evictions, kills and failures, in task hours.
	LostHours float64
	// Throttles and Checkpoints count the task actions that precede evictions.
	Throttles, Checkpoints int
	// UrgentStart is the longest time in seconds that an urgent service task was pending before it started.
	UrgentStart int
	// FailedTries counts failed attempts, Quarantines counts quarantined workers, and Reported counts tasks that were
	// reported as infeasible.
	FailedTries, Quarantines, Reported int
	// FloodThroughput and FloodP99 are the throughput and p99 latency of urgent requests, relative to a replay without
	// the flood; 0 if the trace has no flood.
	FloodThroughput, FloodP99 float64
	// FloorKept is the fraction of its guaranteed share (floor) that an urgency below critical received during the
	// flood; the smallest of these fractions.
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

// Replay replays events with a policy and stops early when ctx ends. A trace with a flood is also replayed without the
// flood, concurrently, for comparison.
func Replay(ctx context.Context, site Site, events []Event, seed uint64, policy Policy) (Measures, error) {
	r, withoutFlood := newReplayer(site, policy, seed), newReplayer(site, policy, seed)
	flooded := slices.ContainsFunc(events, func(e Event) bool { return e.Flood })
	var group errgroup.Group
	if flooded {
		group.Go(func() error { return withoutFlood.replay(ctx, events, false) })
	}
	group.Go(func() error { return r.replay(ctx, events, true) })
	if err := group.Wait(); err != nil {
		return Measures{}, err
	}
	m := r.measures()
	if flooded {
		m.FloodThroughput = ratio(r.counters.urgentAnswered, withoutFlood.counters.urgentAnswered)
		m.FloodP99 = ratio(m.UrgentP99, withoutFlood.measures().UrgentP99)
		m.FloorKept = r.minGuaranteeKept()
	}
	return m, nil
}

func ratio(a, b float64) float64 {
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
	c := &r.counters
	m := Measures{
		ServiceP50:     float64(c.serviceLatency.ValueAtQuantile(50)) / microsPerMilli,
		ServiceP99:     float64(c.serviceLatency.ValueAtQuantile(99)) / microsPerMilli,
		UrgentP99:      float64(c.urgentLatency.ValueAtQuantile(99)) / microsPerMilli,
		Answered:       ratio(c.answered, c.offered),
		UrgentAnswered: ratio(c.urgentAnswered, c.urgentOffered),
		BatchHours:     c.batchSeconds / secondsPerHour,
		Evictions:      c.evictions, Kills: c.kills, LostHours: c.lostSeconds / secondsPerHour,
		Throttles: c.throttles, Checkpoints: c.checkpoints, UrgentStart: c.longestUrgentStart,
		FailedTries: c.failedAttempts, Quarantines: c.quarantines, Reported: len(c.reportedInfeasible),
	}
	for _, p := range r.pending {
		if p.workload.spec.Urgency >= api.High && p.workload.spec.Kind == api.KindService {
			m.UrgentStart = max(m.UrgentStart, r.now-p.pendingSince)
		}
	}
	for _, name := range r.runNames {
		r.countRun(&m, name)
	}
	return m
}

// countRun counts a run that was due within the trace. Runs of jobs that can never succeed are left out for both
// policies.
func (r *replayer) countRun(m *Measures, name string) {
	run := r.runs[name]
	job := r.workloads[strings.SplitN(name, "/", 2)[0]]
	if run.canceled || run.dueAt >= traceSeconds || job.truth.FailsEverywhere || r.neverFits(&job.spec) {
		return
	}
	m.Runs++
	if run.succeeded < run.tasks || run.finishedAt > run.dueAt {
		m.Missed++
	}
}

func (r *replayer) neverFits(spec *api.Spec) bool {
	largest := r.site.Capacity
	largest.Accelerators = acceleratorsPerWorker
	return !spec.Resources.Fits(largest)
}

// Comparison holds the measures of both policies for one trace on one site.
type Comparison struct {
	Site, Trace        string
	Decision, Baseline Measures
}

// Compare replays the traces of the sites with the decision policy and with the baseline policy. It runs up to
// GOMAXPROCS replays concurrently; each replay is independent of the others.
func Compare(ctx context.Context, sites []Site, traces []string, seed uint64) ([]Comparison, error) {
	results := make([]Comparison, len(sites)*len(traces))
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i := range results {
		site, trace := sites[i/len(traces)], traces[i%len(traces)]
		results[i].Site, results[i].Trace = site.Name, trace
		startReplay := func(m *Measures, policy Policy) {
			group.Go(func() (err error) {
				*m, err = Run(ctx, site, trace, seed, policy)
				return err
			})
		}
		startReplay(&results[i].Decision, Decision())
		startReplay(&results[i].Baseline, Baseline())
	}
	return results, group.Wait()
}

// Table replays the traces of the sites and returns the measures of both policies as a text table. The same seed gives
// the same table.
func Table(ctx context.Context, sites []Site, traces []string, seed uint64) (string, error) {
	comparisons, err := Compare(ctx, sites, traces, seed)
	if err != nil {
		return "", err
	}
	return Render(comparisons, seed), nil
}

// Render returns comparisons as a text table.
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
		// Writing to a strings.Builder never fails.
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
