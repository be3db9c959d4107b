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

// takeovers is the number of instances that are lost, one in each of as many fleets.
const takeovers = 5

// BenchmarkTakeover measures how long the units of an instance stay without an owner after it is cut off from everything
// at once, as others see an instance that was killed. The one that holds the coordinator duty is lost. At the same
// moment an operator records urgent work; start-s is when its task is recorded as assigned.
func BenchmarkTakeover(b *testing.B) {
	var racks, duty, start []time.Duration
	for i := range takeovers {
		f := startFleet(b, 9, 72)
		// Claims of racks settle some seconds after all instances are ready. The losses are spread over the longest period of
		// the polls.
		time.Sleep(10*time.Second + time.Duration(i)*2*time.Second/takeovers)
		owners := f.owners(b)
		victim := f.node(owners[api.Coordinator.Key()])
		lost := time.Now()
		victim.cut()
		f.other(victim).apply(b, []operator.FileEdit{
			{File: "team.yaml", Content: "kind: team\nname: web\n"},
			{File: "urgent.yaml", Content: urgentWork},
		})
		var rackTime, dutyTime, startTime time.Duration
		f.await(b, "all units have another owner", func() bool {
			now := f.owners(b)
			elapsed := time.Since(lost)
			if dutyTime == 0 && now[api.Coordinator.Key()] != victim.id {
				dutyTime = elapsed
			}
			if rackTime == 0 && !slices.Contains(values(now), victim.id) {
				rackTime = elapsed
			}
			if startTime == 0 && f.running(b) > 0 {
				startTime = elapsed
			}
			return rackTime > 0 && startTime > 0
		})
		racks, duty, start = append(racks, rackTime), append(duty, dutyTime), append(start, startTime)
		f.stop()
	}
	b.ReportMetric(0, "ns/op")
	reportRange(b, racks, "all-units")
	reportRange(b, duty, "coordinator")
	reportRange(b, start, "start")
}

const urgentWork = "kind: job\nname: urgent\nteam: web\nurgency: critical\ncpu: 500m\nmemory: 1GiB\nrunTime: 1h\ncommand: [\"run\", \"1h\"]\n"

func reportRange(b *testing.B, times []time.Duration, name string) {
	slices.Sort(times)
	b.ReportMetric(times[0].Seconds(), name+"-min-s")
	b.ReportMetric(times[len(times)/2].Seconds(), name+"-p50-s")
	b.ReportMetric(times[len(times)-1].Seconds(), name+"-max-s")
}

func values(owners map[string]api.InstanceID) []api.InstanceID {
	var ids []api.InstanceID
	for _, id := range owners {
		ids = append(ids, id)
	}
	return ids
}

// owners returns the owner of each unit by its key, as the table holds them.
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

func (f *fleet) other(than *node) *node {
	for _, n := range f.nodes {
		if n != than {
			return n
		}
	}
	return nil
}

// cut ends all traffic between the instance and everything else.
func (n *node) cut() {
	for _, m := range []*meter{&n.table, &n.directory, &n.workers} {
		m.cut.Store(true)
	}
	_ = n.socket.Close()
}
