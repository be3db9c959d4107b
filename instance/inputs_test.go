package instance

import (
	"fmt"
	"slices"
	"testing"

	"bronzehook/api"
	"bronzehook/membership"
)

func sampleInputs(work *api.WorkSet) viewInputs {
	return viewInputs{
		work:    work,
		drained: map[api.WorkerID]bool{},
		workers: []api.Worker{{ID: "w1", Slots: 8}},
		members: &membership.View{
			Members: map[api.InstanceID]membership.Member{"i2": {Status: membership.StatusLive, HeartbeatReceived: true}},
		},
	}
}

// TestViewInputsDiffer guards against a routing view that is not rebuilt although its inputs have changed.
func TestViewInputsDiffer(t *testing.T) {
	change := func(in viewInputs, id api.InstanceID, f func(*membership.Member)) {
		member := in.members.Members[id]
		f(&member)
		in.members.Members[id] = member
	}
	cases := []struct {
		name   string
		change func(*viewInputs)
		same   bool
	}{
		{"only the ages of heartbeats and rows have changed", func(in *viewInputs) {
			in.members.At++
			change(*in, "i2", func(m *membership.Member) { m.LastHeartbeat++; m.RowVersion++ })
		}, true},
		{"a worker leaves", func(in *viewInputs) { in.workers[0].Leaving = true }, false},
		{"a worker has restarted at another address", func(in *viewInputs) { in.workers[0].Addr = "a" }, false},
		{"a worker is added to the directory", func(in *viewInputs) {
			in.workers = append(in.workers, api.Worker{ID: "w2"})
		}, false},
		{"a worker is drained", func(in *viewInputs) { in.drained["w1"] = true }, false},
		{"an instance is suspect", func(in *viewInputs) {
			change(*in, "i2", func(m *membership.Member) { m.Status = membership.StatusSuspect })
		}, false},
		{"no heartbeat was received from an instance", func(in *viewInputs) {
			change(*in, "i2", func(m *membership.Member) { m.HeartbeatReceived = false })
		}, false},
		{"an instance has moved", func(in *viewInputs) {
			change(*in, "i2", func(m *membership.Member) { m.Instance.Location.Region = "surrey" })
		}, false},
		{"an instance is new", func(in *viewInputs) { in.members.Members["i3"] = membership.Member{} }, false},
		{"another configuration is active", func(in *viewInputs) { in.work = &api.WorkSet{} }, false},
		{"no view has been built", func(in *viewInputs) { in.members = nil }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			work := &api.WorkSet{}
			now, built := sampleInputs(work), sampleInputs(work)
			c.change(&built)
			if now.equal(&built) != c.same {
				t.Errorf("equal is %v", !c.same)
			}
		})
	}
}

// BenchmarkViewInputs measures the comparison that is made once a second, with inputs that have not changed.
func BenchmarkViewInputs(b *testing.B) {
	for _, count := range []int{50, 200, 810} {
		b.Run(fmt.Sprintf("workers=%d", count), func(b *testing.B) {
			in := sampleInputs(&api.WorkSet{})
			in.workers = make([]api.Worker, count)
			for i := range in.workers {
				in.workers[i] = api.Worker{ID: api.WorkerID(fmt.Sprintf("w%04d", i)), Location: api.Location{Rack: "r1"}}
			}
			built := in
			view := *in.members
			built.workers = slices.Clone(in.workers)
			built.members = &view
			for b.Loop() {
				if !in.equal(&built) {
					b.Fatal("the inputs differ")
				}
			}
		})
	}
}
