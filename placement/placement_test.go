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
	return &placement.Node{Usable: true, Entry: workers.Registration{
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

// Guards against each way in which a worker must not get a task, and against a refusal without its reason.
func TestRefusals(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*placement.Node, *jobs.Step, *placement.Request)
		want   placement.Reason
	}{
		"fits": {func(*placement.Node, *jobs.Step, *placement.Request) {}, placement.ReasonNone},
		"draining or silent worker": {
			func(n *placement.Node, _ *jobs.Step, _ *placement.Request) { n.Usable = false }, placement.ReasonNoWorker,
		},
		"worker of another service": {
			func(n *placement.Node, _ *jobs.Step, _ *placement.Request) { n.Entry.Service = "x" }, placement.ReasonNoWorker,
		},
		"far from the data while a near worker may come free": {
			func(_ *placement.Node, s *jobs.Step, r *placement.Request) { s.Affinity, r.NearOnly = "r-other", true }, placement.ReasonFar,
		},
		"near the data": {
			func(n *placement.Node, s *jobs.Step, r *placement.Request) {
				s.Affinity, r.NearOnly = n.Entry.Rack, true
			}, placement.ReasonNone,
		},
		"room that is held for another task": {
			func(n *placement.Node, _ *jobs.Step, _ *placement.Request) {
				n.Hold(step(n.Entry.Capacity.CPU))
			}, placement.ReasonNoRoom,
		},
		"room that is held, for a task that lasts": {
			func(n *placement.Node, s *jobs.Step, _ *placement.Request) {
				s.LongRunning = true
				n.Hold(step(n.Entry.Capacity.CPU))
			}, placement.ReasonNone,
		},
		"label missing": {
			func(_ *placement.Node, s *jobs.Step, _ *placement.Request) { s.Requires = "b" }, placement.ReasonNoLabel,
		},
		"larger than the worker": {
			func(_ *placement.Node, s *jobs.Step, _ *placement.Request) { s.Resources.CPU = 2000 }, placement.ReasonTooLarge,
		},
		"what is being stopped still counts": {
			func(n *placement.Node, _ *jobs.Step, _ *placement.Request) { n.Reserve(step(950)) }, placement.ReasonNoRoom,
		},
		"memory full": {
			func(n *placement.Node, s *jobs.Step, _ *placement.Request) {
				s.Resources.MemoryMB = 1000
				n.Reserve(step(1))
			},
			placement.ReasonNoMemory,
		},
		"bound of the step on a worker": {
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

// Guards against preferences that are not followed.
func TestPreferences(t *testing.T) {
	for name, c := range map[string]struct {
		change func(a, b *placement.Node, s *jobs.Step, r *placement.Request)
	}{
		"the rack of the data": {func(_, _ *placement.Node, s *jobs.Step, _ *placement.Request) { s.Affinity = "r-b" }},
		"the rack of the others": {func(_, _ *placement.Node, s *jobs.Step, r *placement.Request) {
			s.RackSensitive, r.RackInUse = true, "r-b"
		}},
		"a worker without suspicion": {func(a, _ *placement.Node, _ *jobs.Step, _ *placement.Request) { a.Suspect = 1 }},
		"not where the task failed":  {func(_, _ *placement.Node, _ *jobs.Step, r *placement.Request) { r.Avoid = "a" }},
		"the most room":              {func(a, _ *placement.Node, _ *jobs.Step, _ *placement.Request) { a.Reserve(step(500)) }},
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

func serving() *jobs.Step {
	return &jobs.Step{Count: 1, Resources: jobs.Resources{CPU: 100}, LongRunning: true, Image: "serve", LatencyTarget: 18 * time.Millisecond}
}

func filler(image string) *jobs.Step {
	return &jobs.Step{Count: 1, Resources: jobs.Resources{CPU: 300}, BestEffort: true, Image: image}
}

// Guards against a disturbing image that is let in again and again, and a harmless one that is kept out.
func TestDisturbanceIsLearnedByImage(t *testing.T) {
	d := placement.NewInterferenceModel()
	for range 300 {
		d.Learn(placement.Sample{Image: "serve", Tail: 8 * time.Millisecond})
		d.Learn(placement.Sample{Image: "serve", Tail: 25 * time.Millisecond, Fillers: map[string]float64{"loud": 0.3}})
		d.Learn(placement.Sample{Image: "serve", Tail: 8 * time.Millisecond, Fillers: map[string]float64{"quiet": 0.3}})
	}
	n := node("1", 1000)
	n.Reserve(serving())
	if d.Admits(n, filler("loud")) {
		t.Error("the disturbing image is admitted")
	}
	if !d.Admits(n, filler("quiet")) {
		t.Error("the harmless image is kept out")
	}
	n.LatencyCriticalByImage["serve"].Tail = 17 * time.Millisecond
	n.InvalidateAdmissible()
	if d.Admits(n, filler("quiet")) {
		t.Error("a filler is admitted beside a task that is near its target")
	}
}

// Guards against fillers that are kept out because their effect is told apart neither from the swing of the serving
// task's own load nor from their effect on another image.
func TestEffectIsLearnedByPairUnderSwingingLoad(t *testing.T) {
	const floor, period, tasks = 4.0, 10.0, 4
	effects := map[string]map[string]float64{"even": {"mixed": 0.15}, "touchy": {"mixed": 2}}
	d := placement.NewInterferenceModel()
	at := 0.0
	for ; at < 30; at += 0.5 {
		own := 0.42 + 0.21*math.Sin(2*math.Pi*at/period)
		for image, byFiller := range effects {
			fillers := map[string]float64{}
			load := own
			if int(at)%3 == 0 {
				fillers["mixed"] = 0.2
				load += byFiller["mixed"] * 0.2
			}
			for range tasks {
				d.Learn(placement.Sample{
					Job: jobs.ID(image), Image: image, Tail: tail(floor, load), Fillers: fillers, At: seconds(at),
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
			step := serving()
			step.Image = c.image
			n.Reserve(step)
			n.LatencyCriticalByImage[c.image].Tail = tail(floor, 0.63)
			n.LatencyCriticalByImage[c.image].Own = 0.63
			if got := d.Admits(n, filler("mixed")); got != c.want {
				t.Errorf("admitted at the peak of the load: %v", got)
			}
		})
	}
}

func tail(floor, load float64) time.Duration {
	return time.Duration(math.Round(floor/max(0.05, 1-load))) * time.Millisecond
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Guards against a pair of images that nobody has seen together and that many tasks try at once.
func TestAnUnknownPairIsTriedByOneTask(t *testing.T) {
	d := placement.NewInterferenceModel()
	d.Learn(placement.Sample{Job: "a", Image: "serve", Tail: 6 * time.Millisecond})
	n := node("1", 1000)
	n.Reserve(serving())
	n.LatencyCriticalByImage["serve"].Tail = 6 * time.Millisecond
	small := filler("new")
	small.Resources.CPU = 250
	if !d.Admits(n, small) {
		t.Error("nobody tries the pair")
	}
	n.Reserve(small)
	if d.Admits(n, small) {
		t.Error("a second task joins before the first was measured")
	}
}

// Guards against workers whose serving images are so mixed that every filler disturbs one of them.
func TestServingTasksShareWorkersByImage(t *testing.T) {
	other := serving()
	other.Image = "other"
	same, mixed, empty := node("same", 1000), node("mixed", 1000), node("empty", 1000)
	same.Reserve(serving())
	for range 5 {
		mixed.Reserve(other)
	}
	full := node("full", 1000)
	full.Reserve(step(950))
	for name, c := range map[string]struct {
		nodes []*placement.Node
		want  *placement.Node
	}{
		"with its own image":                   {[]*placement.Node{mixed, empty, same}, same},
		"rather alone than with another image": {[]*placement.Node{mixed, full, empty}, empty},
		"with another image where it must":     {[]*placement.Node{mixed, full}, mixed},
	} {
		t.Run(name, func(t *testing.T) {
			if got, _ := placement.Choose(c.nodes, request(serving())); got != c.want {
				t.Errorf("worker %v", got)
			}
		})
	}
}

// Guards against processors that filler tasks take from the capacity.
func TestFillersLeaveTheCapacityAlone(t *testing.T) {
	n := node("1", 1000)
	n.Reserve(filler("x"))
	if free := n.Free().CPU; free != 1000 {
		t.Errorf("free processors: %d", free)
	}
	if left := n.Leftover(); left != 700 {
		t.Errorf("left over for fillers: %d", left)
	}
	n.Release(filler("x"))
	if n.BestEffortTasks != 0 || len(n.BestEffortByImage) != 0 {
		t.Errorf("the account is not empty: %+v", n)
	}
}

// Guards against a refusal that keeps smaller or other tasks from being tried.
func TestFailuresHoldForLargerTasksOfTheKind(t *testing.T) {
	var f placement.Failures
	refused := request(step(500))
	f.Note(&refused, placement.ReasonNoRoom)
	for name, c := range map[string]struct {
		step *jobs.Step
		want bool
	}{
		"same size": {step(500), true},
		"larger":    {step(600), true},
		"smaller":   {step(400), false},
		"a filler":  {filler("x"), false},
	} {
		r := request(c.step)
		if got := f.Infeasible(&r); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}
