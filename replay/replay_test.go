package replay

import (
	"context"
	"flag"
	"math"
	"os"
	"runtime/debug"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bronzehook/api"
	"bronzehook/fault"
)

// gcPercent makes garbage collections rarer, because replays allocate a lot but keep little memory alive.
const gcPercent = 400

func TestMain(m *testing.M) {
	debug.SetGCPercent(gcPercent)
	os.Exit(m.Run())
}

var update = flag.Bool("update", false, "overwrite the recorded traces and the golden table")

// recordedSeed is the seed from which the recorded traces were generated.
const recordedSeed = 1

// Guards against recorded traces that the generator cannot reproduce.
func TestRecordedTracesComeFromTheGenerator(t *testing.T) {
	for _, site := range Sites() {
		for _, trace := range Traces() {
			want, err := Format(Generate(site, trace, recordedSeed))
			if err != nil {
				t.Fatal(err)
			}
			path := "traces/" + fileName(site, trace)
			if *update {
				if err := os.WriteFile(path, want, 0o644); err != nil {
					t.Fatal(err)
				}
			}
			got, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(string(want), string(got)); diff != "" {
				t.Errorf("%s differs from the generated trace", path)
			}
		}
	}
}

const tableSeed = 1

// sharedComparisons replays all traces once; the tests share the result.
var sharedComparisons = sync.OnceValues(func() ([]Comparison, error) { return Compare(context.Background(), Sites(), Traces(), tableSeed) })

// Guards against unnoticed changes of scheduling decisions: the same seed must give the same table.
func TestTable(t *testing.T) {
	comparisons, err := sharedComparisons()
	if err != nil {
		t.Fatal(err)
	}
	got := Render(comparisons, tableSeed)
	const path = "testdata/table.golden"
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Errorf("table (-want +got):\n%s", diff)
	}
}

// The bounds are the targets of the design document.
const (
	maxBaselineFraction   = 0.5
	minFloodThroughput    = 0.95
	maxFloodP99           = 1.5
	minFloorKept          = 0.98
	maxUrgentStartSeconds = 8
	minUrgentAnswered     = 0.99
)

func TestAims(t *testing.T) {
	for _, tc := range []struct {
		name  string
		trace string
		holds func(d, b *Measures) bool
	}{
		{"noisy waves make at most half as many runs late as the baseline", TraceNoisyWaves,
			func(d, b *Measures) bool { return float64(d.Missed) <= maxBaselineFraction*float64(b.Missed) }},
		{"noisy waves cause at most half of the baseline's evictions", TraceNoisyWaves,
			func(d, b *Measures) bool { return float64(d.Evictions) <= maxBaselineFraction*float64(b.Evictions) }},
		{"noisy waves leave the p99 of services no worse than the baseline", TraceNoisyWaves,
			func(d, b *Measures) bool { return d.ServiceP99 <= b.ServiceP99 }},
		{"a flood of the least urgent leaves urgent work its throughput", TraceFloodLow,
			func(d, _ *Measures) bool { return d.FloodThroughput >= minFloodThroughput }},
		{"a flood of the least urgent leaves urgent work its p99", TraceFloodLow,
			func(d, _ *Measures) bool { return d.FloodP99 <= maxFloodP99 }},
		{"a flood of the most urgent leaves the others their guaranteed shares", TraceFloodHigh,
			func(d, _ *Measures) bool { return d.FloorKept >= minFloorKept }},
		{"wrong sizes make no more runs late than the baseline", TraceWrongSizes,
			func(d, b *Measures) bool { return d.Missed <= b.Missed && d.Kills <= b.Kills }},
		{"cancellation waves make no more runs late than the baseline", TraceCancel,
			func(d, b *Measures) bool { return d.Missed <= b.Missed }},
		{"exactly the broken workers are quarantined, and jobs that fail everywhere end", TraceBadWorkers,
			func(d, b *Measures) bool { return d.Quarantines == 4 && d.FailedTries < b.FailedTries/10 }},
		{"every infeasible task is reported", TraceNeverRun,
			func(d, _ *Measures) bool { return d.Reported == 36 }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			comparisons, err := sharedComparisons()
			if err != nil {
				t.Fatal(err)
			}
			for i := range comparisons {
				c := &comparisons[i]
				if c.Trace == tc.trace && !tc.holds(&c.Decision, &c.Baseline) {
					t.Errorf("%s: decision %+v, baseline %+v", c.Site, c.Decision, c.Baseline)
				}
			}
		})
	}
}

// Guards against meeting the target for late runs only because the baseline loses work by evicting it: the target also
// has to hold against a baseline that evicts nothing to place urgent tasks.
func TestLateRunsAgainstBaselineWithoutDisplacement(t *testing.T) {
	comparisons, err := sharedComparisons()
	if err != nil {
		t.Fatal(err)
	}
	withoutDisplacement := Baseline()
	withoutDisplacement.Options.Eviction.Preemption = false
	for i, site := range Sites() {
		t.Run(site.Name, func(t *testing.T) {
			t.Parallel()
			baseline, err := Run(t.Context(), site, TraceNoisyWaves, tableSeed, withoutDisplacement)
			if err != nil {
				t.Fatal(err)
			}
			for _, c := range comparisons[i*len(Traces()) : (i+1)*len(Traces())] {
				if c.Trace == TraceNoisyWaves && float64(c.Decision.Missed) > maxBaselineFraction*float64(baseline.Missed) {
					t.Errorf("%d runs late, baseline %d", c.Decision.Missed, baseline.Missed)
				}
			}
		})
	}
}

// Guards against urgent services that start late or leave requests unanswered although the fleet has enough capacity.
func TestUrgentServicesAreServedInEveryTrace(t *testing.T) {
	comparisons, err := sharedComparisons()
	if err != nil {
		t.Fatal(err)
	}
	for i := range comparisons {
		c := &comparisons[i]
		if c.Decision.UrgentStart > maxUrgentStartSeconds {
			t.Errorf("%s, %s: an urgent service task started after %d s", c.Site, c.Trace, c.Decision.UrgentStart)
		}
		if c.Trace != TraceFloodHigh && c.Decision.UrgentAnswered < minUrgentAnswered {
			t.Errorf("%s, %s: %.4f of the urgent requests answered", c.Site, c.Trace, c.Decision.UrgentAnswered)
		}
	}
}

// Guards against replaying an unknown trace or a corrupt file as an empty trace.
func TestInvalidTracesAreRejected(t *testing.T) {
	if _, err := Run(t.Context(), Tentpole(), "no-such-trace", 1, Decision()); !fault.Is(err, fault.CodeNotFound) {
		t.Errorf("unknown trace: %v", err)
	}
	if _, err := Parse([]byte("{\"at\":1}\n{")); !fault.Is(err, fault.CodeInvalid) {
		t.Errorf("corrupt line: %v", err)
	}
}

// Guards against an admitter that refuses requests without need, lets a flood displace other urgencies, or does not
// honour their guaranteed shares. Loads are in slots and are measured on one worker for the duration of the flood.
func TestCoreAdmitterSharesSlots(t *testing.T) {
	const tolerance = 0.02 * slotsPerWorker
	for _, tc := range []struct {
		name    string
		offered [api.UrgencyCount]float64
		want    [api.UrgencyCount]float64
	}{
		{"without a flood everything is admitted", [api.UrgencyCount]float64{1, 1, 1, 1}, [api.UrgencyCount]float64{1, 1, 1, 1}},
		{"a flood of the least urgent gets only the capacity that others leave", [api.UrgencyCount]float64{80, 1, 1, 1},
			[api.UrgencyCount]float64{slotsPerWorker - 3, 1, 1, 1}},
		{"a flood of the most urgent leaves the others their guaranteed shares", [api.UrgencyCount]float64{4, 4, 4, 80},
			[api.UrgencyCount]float64{0.1 * slotsPerWorker, 0.2 * slotsPerWorker, 0.3 * slotsPerWorker, 0.4 * slotsPerWorker}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			offered, given := measureLoad(tc.offered)
			for u := range given {
				want := tc.want[u]
				if tc.offered[u] == want {
					// All of the load that really arrived has to be served; random arrivals make it differ from the
					// rate.
					want = offered[u]
				}
				if math.Abs(given[u]-want) > tolerance {
					t.Errorf("%s got %.3f slots, want %.3f", api.Urgency(u), given[u], want)
				}
			}
		})
	}
}

// measureLoad simulates one worker with one service for each urgency and returns the arrived and the served load in
// slots.
func measureLoad(offered [api.UrgencyCount]float64) (arrived, served [api.UrgencyCount]float64) {
	const executionMillis = 20.0
	r := newReplayer(Tentpole(), Decision(), tableSeed)
	w := r.workers[0]
	for u, load := range offered {
		a := &attempt{
			workload: &workload{truth: &Truth{ServiceMillis: executionMillis}, rate: load * 1000 / executionMillis, running: 1},
			slowdown: 1,
		}
		a.workload.spec.Kind, a.workload.spec.Urgency = api.KindService, api.Urgency(u)
		a.Work = api.Urgency(u).String()
		w.attempts = append(w.attempts, a)
	}
	windows := 0
	for r.now = floodStart; r.now < floodEnd; r.now += requestSeconds {
		r.simulateWorker(w)
		windows++
	}
	length := requestWindow.Seconds() * float64(windows)
	for u := range served {
		account := &w.requests.guarantees[u]
		arrived[u], served[u] = account.offered/length, account.received/length
	}
	return arrived, served
}
