package capacity

import (
	"slices"
	"testing"
	"time"

	"bronzehook/api"
	"bronzehook/backend/httpbackend"
	"bronzehook/operator"
	"bronzehook/ownership"
	"bronzehook/peer"
)

// takeovers is the number of measured takeovers, each in its own fleet.
const takeovers = 5

// BenchmarkTakeover measures how long the units of the active coordinator stay without another owner after all its
// network links are dropped at once, which looks to other instances as if it had been killed. At the same time an
// operator applies an urgent job; start-s is the time until its task is persisted as assigned.
func BenchmarkTakeover(b *testing.B) {
	var allUnitsTimes, coordinatorTimes, startTimes []time.Duration
	for i := range takeovers {
		f := startFleet(b, 9, 72)
		// The ownership of racks becomes stable some seconds after all instances are ready. The additional wait
		// varies the moment of the loss within the longest poll interval.
		time.Sleep(10*time.Second + time.Duration(i)*2*time.Second/takeovers)
		owners := f.owners(b)
		victim := f.node(owners[api.Coordinator.Key()])
		lost := time.Now()
		victim.partition()
		f.nodeExcept(victim).apply(b, []operator.FileEdit{
			{File: "team.yaml", Content: "kind: team\nname: web\n"},
			{File: "urgent.yaml", Content: urgentJob},
		})
		var allUnitsTime, coordinatorTime, startTime time.Duration
		f.await(b, "all units have another owner", func() bool {
			current := f.owners(b)
			elapsed := time.Since(lost)
			if coordinatorTime == 0 && current[api.Coordinator.Key()] != victim.id {
				coordinatorTime = elapsed
			}
			if allUnitsTime == 0 && !slices.Contains(instanceIDs(current), victim.id) {
				allUnitsTime = elapsed
			}
			if startTime == 0 && f.assignedTasks(b) > 0 {
				startTime = elapsed
			}
			return allUnitsTime > 0 && startTime > 0
		})
		allUnitsTimes, coordinatorTimes, startTimes =
			append(allUnitsTimes, allUnitsTime), append(coordinatorTimes, coordinatorTime), append(startTimes, startTime)
		f.stop()
	}
	b.ReportMetric(0, "ns/op")
	reportRange(b, allUnitsTimes, "all-units")
	reportRange(b, coordinatorTimes, "coordinator")
	reportRange(b, startTimes, "start")
}

const urgentJob = "kind: job\nname: urgent\nteam: web\nurgency: critical\ncpu: 500m\nmemory: 1GiB\nrunTime: 1h\ncommand: [\"run\", \"1h\"]\n"

func reportRange(b *testing.B, times []time.Duration, name string) {
	slices.Sort(times)
	b.ReportMetric(times[0].Seconds(), name+"-min-s")
	b.ReportMetric(times[len(times)/2].Seconds(), name+"-p50-s")
	b.ReportMetric(times[len(times)-1].Seconds(), name+"-max-s")
}

func instanceIDs(owners map[string]api.InstanceID) []api.InstanceID {
	var ids []api.InstanceID
	for _, id := range owners {
		ids = append(ids, id)
	}
	return ids
}

// owners returns the owner of each unit by the unit's key, according to the table.
func (f *fleet) owners(tb testing.TB) map[string]api.InstanceID {
	rows, err := httpbackend.New(f.url, f.observer, 0).Table().List(tb.Context(), "unit/")
	if err != nil {
		tb.Fatal(err)
	}
	owners := map[string]api.InstanceID{}
	for _, row := range rows {
		var value ownership.Row
		if err := peer.Decode(row.Value, &value); err != nil {
			tb.Fatal(err)
		}
		owners[row.Key] = value.Owner
	}
	return owners
}

func (f *fleet) node(id api.InstanceID) *node {
	for _, n := range f.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

func (f *fleet) nodeExcept(excluded *node) *node {
	for _, n := range f.nodes {
		if n != excluded {
			return n
		}
	}
	return nil
}

// partition drops all traffic between the instance and the rest of the fleet.
func (n *node) partition() {
	for _, m := range []*meter{&n.table, &n.directory, &n.workers} {
		m.partitioned.Store(true)
	}
	_ = n.socket.Close()
}
