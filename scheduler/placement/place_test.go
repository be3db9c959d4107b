package placement

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bronzehook/api"
)

// predictor predicts interference for one pair of workloads: "noisy" doubles the run time of "victim".
type predictor struct{}

func (predictor) ID(work string) int32 {
	return map[string]int32{"victim": 1, "noisy": 2}[work]
}

func (predictor) ExtraRunTime(victim, aggressor int32, _ float64) float64 {
	if victim == 1 && aggressor == 2 {
		return 1
	}
	return 0
}

// fleet returns n workers without reservations, in two data centres, with two workers in each rack.
func fleet(n int, change func(i int, node *Node)) []Node {
	nodes := make([]Node, n)
	for i := range nodes {
		nodes[i] = Node{
			ID:       api.WorkerID(fmt.Sprint("w", i)),
			Location: api.Location{Region: "r", DataCentre: fmt.Sprint("d", i%2), Rack: fmt.Sprint(i / 4)},
			Capacity: api.Resources{MilliCPU: 10000, MemoryMB: 10000},
		}
		nodes[i].BatchCapacity = nodes[i].Capacity
		if change != nil {
			change(i, &nodes[i])
		}
	}
	return nodes
}

func newCluster(nodes []Node, opts Options) *Cluster {
	return NewCluster(nodes, opts, predictor{}, rand.New(rand.NewPCG(1, 1)))
}

func size(cpu int64) api.Resources { return api.Resources{MilliCPU: cpu, MemoryMB: cpu} }

func TestPlaceSelectsWorker(t *testing.T) {
	reserve := func(cpu int64) func(int, *Node) {
		return func(i int, n *Node) {
			if i == 1 {
				n.Reserved = size(cpu)
			}
		}
	}
	accelerated := func(i int, n *Node) {
		if i == 1 {
			n.Capacity.Accelerators = 2
		}
	}
	markClosed := func(cause RejectionCause, probe bool) func(int, *Node) {
		return func(i int, n *Node) {
			if i == 1 {
				n.Unschedulable, n.Probe = cause, probe
			}
		}
	}
	for _, tc := range []struct {
		name   string
		nodes  []Node
		batch  bool
		size   api.Resources
		avoid  []api.WorkerID
		want   string
		refuse bool
	}{
		{"a batch task is packed onto the worker with reservations", fleet(2, reserve(4000)), true, size(1000), nil, "w1", false},
		{"non-urgent batch keeps the reserve free", fleet(1, func(_ int, n *Node) { n.Reserved = size(9000) }), true, size(900), nil, "", true},
		{"a service uses the urgent reserve", fleet(1, func(_ int, n *Node) { n.Reserved = size(9000) }), false, size(900), nil, "w0", false},
		{"a batch task is rejected because of predicted usage although capacity is unreserved",
			fleet(1, func(_ int, n *Node) { n.Reserved, n.BatchCapacity = size(100), size(500) }), true, size(900), nil, "", true},
		{"a task without accelerators avoids a worker with accelerators", fleet(2, accelerated), true, size(1000), nil, "w0", false},
		{"a task without accelerators leaves capacity for free accelerators", fleet(2, accelerated)[1:], true, size(7000), nil, "", true},
		{"a task with accelerators is placed on a worker with accelerators", fleet(2, accelerated), true,
			api.Resources{MilliCPU: 1000, MemoryMB: 1000, Accelerators: 1}, nil, "w1", false},
		{"a worker that refused the task is not tried again", fleet(2, nil), false, size(1000), []api.WorkerID{"w0"}, "w1", false},
		{"a quarantined worker accepts no task", fleet(2, markClosed(Quarantined, false))[1:], true, size(100), nil, "", true},
		{"a quarantined worker due for a probe accepts a job", fleet(2, markClosed(Quarantined, true)), true, size(100), nil, "w1", false},
		{"a service is never used as a probe", fleet(2, markClosed(Quarantined, true)), false, size(100), nil, "w0", false},
		{"a drained worker accepts no task", fleet(2, markClosed(Drained, false))[1:], true, size(100), nil, "", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(tc.nodes, DefaultOptions())
			r := &Request{WorkloadID: c.WorkloadID("x", !tc.batch), Batch: tc.batch, Size: tc.size, ExpectedUsage: tc.size, ExcludedWorkers: tc.avoid}
			at, ok := c.Place(r)
			got := ""
			if ok {
				got = string(c.Worker(at).ID)
			}
			if got != tc.want || ok == tc.refuse {
				t.Errorf("placed on %q (%t), want %q; %s", got, ok, tc.want, c.CountRejections(r))
			}
		})
	}
}

// Guards against a service that becomes unavailable when a single rack or data centre fails.
func TestServiceIsSpread(t *testing.T) {
	c := newCluster(fleet(16, nil), DefaultOptions())
	perDC, perRack := map[string]int{}, map[string]int{}
	for range 8 {
		r := &Request{WorkloadID: c.WorkloadID("s", true), Size: size(1000), ExpectedUsage: size(1000)}
		at, ok := c.Place(r)
		if !ok {
			t.Fatal("not placed")
		}
		c.Assume(at, r.WorkloadID, r.Size, r.ExpectedUsage)
		where := c.Worker(at).Location
		perDC[where.DataCentre]++
		perRack[where.DataCentre+"/"+where.Rack]++
	}
	if diff := cmp.Diff(map[string]int{"d0": 4, "d1": 4}, perDC); diff != "" {
		t.Errorf("per data centre (-want +got):\n%s", diff)
	}
	for rack, n := range perRack {
		if n != 1 {
			t.Errorf("%d of 8 tasks are in rack %s of 8 racks", n, rack)
		}
	}
}

// Guards against colocating a noisy job with a service that it slows down, also if the service was placed in the same
// scheduling cycle.
func TestInterferenceSeparatesVictimAndAggressor(t *testing.T) {
	for _, tc := range []struct {
		name    string
		enabled bool
		apart   bool
	}{
		{"with prediction the job is placed on another worker", true, true},
		{"without prediction packing colocates the job", false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			opts := DefaultOptions()
			opts.Interference = tc.enabled
			c := newCluster(fleet(2, nil), opts)
			victim := c.WorkloadID("victim", true)
			c.Assume(0, victim, size(3000), size(500))
			r := &Request{WorkloadID: c.WorkloadID("noisy", false), Batch: true, Size: size(1000), ExpectedUsage: size(1000)}
			at, ok := c.Place(r)
			if !ok || (at != 0) != tc.apart {
				t.Errorf("placed on %d (%t)", at, ok)
			}
		})
	}
}

// Guards against an explanation that does not tell an operator why a task is pending.
func TestExplainCountsEachWorkerOnce(t *testing.T) {
	nodes := fleet(10, func(i int, n *Node) {
		switch {
		case i < 3:
			n.Unschedulable = Drained
		case i < 7:
			n.Reserved = api.Resources{MilliCPU: 9500}
		default:
			n.Location.Region = "elsewhere"
		}
	})
	c := newCluster(nodes, DefaultOptions())
	counts := c.CountRejections(&Request{WorkloadID: c.WorkloadID("x", true), Size: size(1000), Regions: []string{"r"}})
	want := Counts{Drained: 3, Processors: 4, OtherRegion: 3}
	if diff := cmp.Diff(want, counts); diff != "" {
		t.Errorf("counts (-want +got):\n%s", diff)
	}
	if text := counts.String(); !strings.Contains(text, "3 drained") || !strings.Contains(text, "4 too few processors") {
		t.Errorf("text %q", text)
	}
}
