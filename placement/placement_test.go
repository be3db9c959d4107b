package placement_test

import (
	"math"
	"testing"
	"time"

	"bronzehook/jobs"
	"bronzehook/placement"
	"bronzehook/workers"
)

func node(id string, cpu int) *placement.Node {
	return &placement.Node{Usable: true, Registration: workers.Registration{
		ID: workers.ID(id), Service: "s", Capacity: jobs.Resources{CPU: cpu, MemoryMB: 1000}, Labels: []string{"a", "r-" + id},
		Rack: "r-" + id,
	}}
}

func request(step *jobs.Step) placement.Request {
	return placement.Request{Step: step, Service: "s", OnNode: func(workers.ID) int { return 0 }}
}

func step(cpu int) *jobs.Step {
	return &jobs.Step{Count: 1, Resources: jobs.Resources{CPU: cpu, MemoryMB: 10}}
}

// Guards against placing a task on a worker that must not run it, and against a wrong reason for a refusal.
func TestRefusals(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*placement.Node, *jobs.Step, *placement.Request)
		want   placement.Reason
	}{
		"fits": {func(*placement.Node, *jobs.Step, *placement.Request) {}, placement.ReasonNone},
		"draining or unresponsive worker": {
			func(n *placement.Node, _ *jobs.Step, _ *placement.Request) { n.Usable = false }, placement.ReasonNoWorker,
		},
		"worker of another service": {
			func(n *placement.Node, _ *jobs.Step, _ *placement.Request) { n.Registration.Service = "x" }, placement.ReasonNoWorker,
		},
		"not local to the data while waiting for a local worker": {
			func(_ *placement.Node, s *jobs.Step, r *placement.Request) { s.Affinity, r.LocalOnly = "r-other", true }, placement.ReasonNonLocal,
		},
		"local to the data": {
			func(n *placement.Node, s *jobs.Step, r *placement.Request) {
				s.Affinity, r.LocalOnly = n.Registration.Rack, true
			}, placement.ReasonNone,
		},
		"capacity held for another task": {
			func(n *placement.Node, _ *jobs.Step, _ *placement.Request) {
				n.Hold(step(n.Registration.Capacity.CPU))
			}, placement.ReasonNoCapacity,
		},
		"capacity held, for a long-running task": {
			func(n *placement.Node, s *jobs.Step, _ *placement.Request) {
				s.LongRunning = true
				n.Hold(step(n.Registration.Capacity.CPU))
			}, placement.ReasonNone,
		},
		"label missing": {
			func(_ *placement.Node, s *jobs.Step, _ *placement.Request) { s.Requires = "b" }, placement.ReasonNoLabel,
		},
		"larger than the worker": {
			func(_ *placement.Node, s *jobs.Step, _ *placement.Request) { s.Resources.CPU = 2000 }, placement.ReasonTooLarge,
		},
		"attempts being stopped still count": {
			func(n *placement.Node, _ *jobs.Step, _ *placement.Request) { n.Reserve(step(950)) }, placement.ReasonNoCapacity,
		},
		"not enough memory": {
			func(n *placement.Node, s *jobs.Step, _ *placement.Request) {
				s.Resources.MemoryMB = 1000
				n.Reserve(step(1))
			},
			placement.ReasonNoMemory,
		},
		"limit of the step per worker": {
			func(_ *placement.Node, s *jobs.Step, r *placement.Request) {
				s.AntiAffinity = 1
				r.OnNode = func(workers.ID) int { return 1 }
			}, placement.ReasonSpread,
		},
		"headroom": {
			func(_ *placement.Node, _ *jobs.Step, r *placement.Request) { r.Headroom = 950 }, placement.ReasonHeadroom,
		},
	} {
		t.Run(name, func(t *testing.T) {
			n, s := node("1", 1000), step(100)
			r := request(s)
			c.change(n, s, &r)
			got, reason := placement.Choose([]*placement.Node{n}, r)
			if reason != c.want || (got == nil) != (c.want != placement.ReasonNone) {
				t.Errorf("worker %v, reason %q; want %q", got, reason, c.want)
			}
		})
	}
}

// Guards against a choice that ignores a preference.
func TestPreferences(t *testing.T) {
	for name, c := range map[string]struct {
		change func(a, b *placement.Node, s *jobs.Step, r *placement.Request)
	}{
		"the rack of the data": {func(_, _ *placement.Node, s *jobs.Step, _ *placement.Request) { s.Affinity = "r-b" }},
		"the rack of the step's other tasks": {func(_, _ *placement.Node, s *jobs.Step, r *placement.Request) {
			s.RackSensitive, r.RackInUse = true, "r-b"
		}},
		"a worker without a penalty": {func(a, _ *placement.Node, _ *jobs.Step, _ *placement.Request) { a.Penalty = 1 }},
		"not the worker to avoid":    {func(_, _ *placement.Node, _ *jobs.Step, r *placement.Request) { r.Avoid = "a" }},
		"the most free capacity":     {func(a, _ *placement.Node, _ *jobs.Step, _ *placement.Request) { a.Reserve(step(500)) }},
	} {
		t.Run(name, func(t *testing.T) {
			a, b, s := node("a", 1000), node("b", 1000), step(100)
			r := request(s)
			c.change(a, b, s, &r)
			if got, _ := placement.Choose([]*placement.Node{a, b}, r); got != b {
				t.Errorf("worker %v", got)
			}
		})
	}
}

func latencyCriticalStep() *jobs.Step {
	return &jobs.Step{Count: 1, Resources: jobs.Resources{CPU: 100}, LongRunning: true, Image: "serve", LatencyTarget: 18 * time.Millisecond}
}

func bestEffortStep(image string) *jobs.Step {
	return &jobs.Step{Count: 1, Resources: jobs.Resources{CPU: 300}, BestEffort: true, Image: image}
}

// Guards against admitting an image that is known to interfere, and against keeping out one that does not.
func TestInterferenceIsLearnedByImage(t *testing.T) {
	model := placement.NewInterferenceModel()
	for range 300 {
		model.Learn(placement.Sample{Image: "serve", TailLatency: 8 * time.Millisecond})
		model.Learn(placement.Sample{Image: "serve", TailLatency: 25 * time.Millisecond, BestEffortShares: map[string]float64{"loud": 0.3}})
		model.Learn(placement.Sample{Image: "serve", TailLatency: 8 * time.Millisecond, BestEffortShares: map[string]float64{"quiet": 0.3}})
	}
	n := node("1", 1000)
	n.Reserve(latencyCriticalStep())
	if model.Admits(n, bestEffortStep("loud")) {
		t.Error("the interfering image is admitted")
	}
	if !model.Admits(n, bestEffortStep("quiet")) {
		t.Error("the harmless image is kept out")
	}
	n.LatencyCriticalByImage["serve"].TailLatency = 17 * time.Millisecond
	n.InvalidateAdmissible()
	if model.Admits(n, bestEffortStep("quiet")) {
		t.Error("a best-effort task is admitted beside a task that is near its target")
	}
}

// Guards against keeping out harmless best-effort tasks because the model confuses their effect with the variation of the
// intrinsic load, or with their effect on another image.
func TestEffectIsLearnedByPairUnderVaryingLoad(t *testing.T) {
	const baseline, period, tasks = 4.0, 10.0, 4
	effects := map[string]map[string]float64{"even": {"mixed": 0.15}, "touchy": {"mixed": 2}}
	model := placement.NewInterferenceModel()
	at := 0.0
	for ; at < 30; at += 0.5 {
		intrinsic := 0.42 + 0.21*math.Sin(2*math.Pi*at/period)
		for image, effectOf := range effects {
			shares := map[string]float64{}
			load := intrinsic
			if int(at)%3 == 0 {
				shares["mixed"] = 0.2
				load += effectOf["mixed"] * 0.2
			}
			for range tasks {
				model.Learn(placement.Sample{
					Job: jobs.ID(image), Image: image, TailLatency: tail(baseline, load), BestEffortShares: shares, At: seconds(at),
				})
			}
		}
	}
	for name, c := range map[string]struct {
		image string
		want  bool
	}{"harmless beside one image": {"even", true}, "harmful beside the other": {"touchy", false}} {
		t.Run(name, func(t *testing.T) {
			n := node("1", 1000)
			step := latencyCriticalStep()
			step.Image = c.image
			n.Reserve(step)
			n.LatencyCriticalByImage[c.image].TailLatency = tail(baseline, 0.63)
			n.LatencyCriticalByImage[c.image].IntrinsicLoad = 0.63
			if got := model.Admits(n, bestEffortStep("mixed")); got != c.want {
				t.Errorf("admitted at peak load: %v", got)
			}
		})
	}
}

func tail(baseline, load float64) time.Duration {
	return time.Duration(math.Round(baseline/max(0.05, 1-load))) * time.Millisecond
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Guards against admitting several tasks of a pair of images at once before the pair has been measured.
func TestUnmeasuredPairIsAdmittedOnce(t *testing.T) {
	model := placement.NewInterferenceModel()
	model.Learn(placement.Sample{Job: "a", Image: "serve", TailLatency: 6 * time.Millisecond})
	n := node("1", 1000)
	n.Reserve(latencyCriticalStep())
	n.LatencyCriticalByImage["serve"].TailLatency = 6 * time.Millisecond
	small := bestEffortStep("new")
	small.Resources.CPU = 250
	if !model.Admits(n, small) {
		t.Error("the first task of an unmeasured pair is not admitted")
	}
	n.Reserve(small)
	if model.Admits(n, small) {
		t.Error("a second task is admitted before the first was measured")
	}
}

// Guards against spreading latency-critical images over all workers: then every best-effort task interferes with one of the
// images on any worker.
func TestLatencyCriticalTasksShareWorkersByImage(t *testing.T) {
	other := latencyCriticalStep()
	other.Image = "other"
	same, mixed, empty := node("same", 1000), node("mixed", 1000), node("empty", 1000)
	same.Reserve(latencyCriticalStep())
	for range 5 {
		mixed.Reserve(other)
	}
	full := node("full", 1000)
	full.Reserve(step(950))
	for name, c := range map[string]struct {
		nodes []*placement.Node
		want  *placement.Node
	}{
		"with its own image": {[]*placement.Node{mixed, empty, same}, same},
		"on an empty worker rather than with another image": {[]*placement.Node{mixed, full, empty}, empty},
		"with another image if no other worker fits":        {[]*placement.Node{mixed, full}, mixed},
	} {
		t.Run(name, func(t *testing.T) {
			if got, _ := placement.Choose(c.nodes, request(latencyCriticalStep())); got != c.want {
				t.Errorf("worker %v", got)
			}
		})
	}
}

// Guards against best-effort tasks that reduce the CPU capacity for other tasks.
func TestBestEffortTasksReserveNoCPU(t *testing.T) {
	n := node("1", 1000)
	n.Reserve(bestEffortStep("x"))
	if free := n.Free().CPU; free != 1000 {
		t.Errorf("free CPU: %d", free)
	}
	if left := n.UnusedCPU(); left != 700 {
		t.Errorf("unused CPU for best-effort tasks: %d", left)
	}
	n.Release(bestEffortStep("x"))
	if n.BestEffortTasks != 0 || len(n.BestEffortByImage) != 0 {
		t.Errorf("the account is not empty: %+v", n)
	}
}

// Guards against a recorded refusal that rules out smaller requests or requests of another kind.
func TestFailuresApplyToLargerRequestsOfTheSameKind(t *testing.T) {
	var f placement.Failures
	refused := request(step(500))
	f.Note(&refused, placement.ReasonNoCapacity)
	for name, c := range map[string]struct {
		step *jobs.Step
		want bool
	}{
		"same size":          {step(500), true},
		"larger":             {step(600), true},
		"smaller":            {step(400), false},
		"a best-effort task": {bestEffortStep("x"), false},
	} {
		r := request(c.step)
		if got := f.Infeasible(&r); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}
