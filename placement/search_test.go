package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"bronzehook/jobs"
	"bronzehook/placement"
)

// Guards against a search that chooses a worker which refuses the task, finds none although one would take it, or examines
// the refusing workers of a full fleet again for each task of a step.
func TestSearchFindsWorkersForAllTasksOfAStep(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for round := range 200 {
		var nodes []*placement.Node
		for i := range 1 + random.IntN(120) {
			n := node(fmt.Sprint("w", i), 1000)
			n.Reserve(step(random.IntN(1000)))
			nodes = append(nodes, n)
		}
		s := step(100 + random.IntN(300))
		s.LongRunning = random.IntN(3) == 0
		search := placement.NewSearch(nodes)
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

// BenchmarkSearchOnFullFleet places the tasks of a best-effort step on a fleet of which few workers have unused CPU.
func BenchmarkSearchOnFullFleet(b *testing.B) {
	var nodes []*placement.Node
	running := jobs.Step{Count: 1, BestEffort: true, Image: "f", Resources: jobs.Resources{CPU: 500, MemoryMB: 10}}
	for i := range 1100 {
		n := node(fmt.Sprint("w", i), 1000)
		n.Reserve(&running)
		if i%20 > 0 {
			n.Reserve(step(400))
		}
		nodes = append(nodes, n)
	}
	waiting := running
	waiting.Resources.CPU = 300
	for b.Loop() {
		search := placement.NewSearch(nodes)
		var placed []*placement.Node
		for range 40 {
			node, _ := search.Choose(request(&waiting))
			if node == nil {
				b.Fatal("no worker")
			}
			node.Reserve(&waiting)
			placed = append(placed, node)
		}
		for _, node := range placed {
			node.Release(&waiting)
		}
	}
}
