package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"bronzehook/jobs"
	"bronzehook/placement"
	"bronzehook/workers"
)

func bestEffort(cpu int) *jobs.Step {
	return &jobs.Step{Count: 1, BestEffort: true, Image: "f", Resources: jobs.Resources{CPU: cpu, MemoryMB: 10}}
}

// Guards against a search that chooses a worker which refuses the task, finds none although one would take it, or examines
// the refusing workers of a full fleet again for each task of a step.
func TestSearchFindsWorkersForAllTasksOfAStep(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for round := range 200 {
		var nodes []*placement.Node
		for i := range 1 + random.IntN(120) {
			n := node(fmt.Sprint("w", i), 1000)
			n.Reserve(step(random.IntN(1000)))
			if random.IntN(2) == 0 {
				n.Reserve(bestEffort(random.IntN(600)))
			}
			if random.IntN(5) == 0 {
				n.Hold(step(random.IntN(300)))
			}
			nodes = append(nodes, n)
		}
		s := step(100 + random.IntN(300))
		switch random.IntN(3) {
		case 0:
			s.LongRunning = true
		case 1:
			s = bestEffort(random.IntN(500))
		}
		var index placement.Index
		index.Refresh(nodes)
		search := index.NewSearch()
		for range 60 {
			r := request(s)
			r.Offset = random.IntN(500)
			if s.LongRunning {
				r.Headroom = 100 * random.IntN(3)
			}
			possible := placement.Explain(nodes, r)[placement.ReasonNone]
			chosen, reason := search.Choose(r)
			if (chosen != nil) != (possible > 0) || (chosen == nil) != (reason != placement.ReasonNone) {
				t.Fatalf("round %d: %d workers can take the task, chosen %v, reason %v", round, possible, chosen, reason)
			}
			if chosen == nil {
				continue
			}
			if placement.Explain([]*placement.Node{chosen}, r)[placement.ReasonNone] != 1 {
				t.Fatalf("round %d: the chosen worker refuses the task", round)
			}
			chosen.Reserve(s)
		}
	}
}

// Guards against a scheduling cycle that costs many times as much for each task on a full fleet as on an empty one: urgent
// work then waits for seconds, since the leader is short of processor time.
func TestFullFleetIsExaminedOncePerStep(t *testing.T) {
	const (
		fleet, withRoom = 1100, 50
		tasks           = 40
	)
	for name, s := range map[string]*jobs.Step{"batch": step(300), "best-effort": bestEffort(300)} {
		var nodes []*placement.Node
		for i := range fleet {
			n := node(fmt.Sprint("w", i), 1000)
			n.Reserve(bestEffort(10))
			if i%(fleet/withRoom) != 1 {
				n.Reserve(step(900))
				n.Reserve(bestEffort(500))
			}
			nodes = append(nodes, n)
		}
		examined := 0
		r := request(s)
		r.Advice = func(workers.ID) placement.Advice {
			examined++
			return placement.AdviceGranted
		}
		var index placement.Index
		index.Refresh(nodes)
		search := index.NewSearch()
		for range tasks {
			chosen, reason := search.Choose(r)
			if chosen == nil {
				t.Fatalf("%s: no worker: %v", name, reason)
			}
			chosen.Reserve(s)
		}
		// Each worker with free capacity, the first one without, and for each task the worker that was chosen before.
		if most := withRoom + 1 + tasks; examined > most {
			t.Errorf("%s: %d workers examined for %d tasks, at most %d are needed", name, examined, tasks, most)
		}
	}
}

// BenchmarkSearchOnFullFleet places the tasks of a best-effort step on a fleet of which few workers have unused CPU.
func BenchmarkSearchOnFullFleet(b *testing.B) {
	var nodes []*placement.Node
	running, waiting := bestEffort(500), bestEffort(300)
	for i := range 1100 {
		n := node(fmt.Sprint("w", i), 1000)
		n.Reserve(running)
		if i%20 > 0 {
			n.Reserve(step(400))
		}
		nodes = append(nodes, n)
	}
	var index placement.Index
	for b.Loop() {
		index.Refresh(nodes)
		search := index.NewSearch()
		var placed []*placement.Node
		for range 40 {
			node, _ := search.Choose(request(waiting))
			if node == nil {
				b.Fatal("no worker")
			}
			node.Reserve(waiting)
			placed = append(placed, node)
		}
		for _, node := range placed {
			node.Release(waiting)
		}
	}
}
