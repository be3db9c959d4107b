package instance

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"bronzehook/api"
)

// baseConfig has a service with endpoints on both sides of the partition, and watchers and jobs that run on one side.
func baseConfig() map[string]string {
	const head = "team: web\ncpu: 500m\nmemory: 256MiB\n"
	return map[string]string{
		"10-team.yaml":  "kind: team\nname: web\n",
		"20-shop.yaml":  "kind: service\nname: shop\nurgency: critical\nreplicas: 6\ncommand: [serve, 2ms]\n" + head,
		"30-feed.yaml":  "kind: watcher\nname: feed\nurgency: high\nreplicas: 2\nregions: [surrey]\n" + head,
		"31-feedc.yaml": "kind: watcher\nname: feedc\nurgency: high\nreplicas: 2\nregions: [cornwall]\n" + head,
		"40-index.yaml": "kind: job\nname: index\nurgency: low\nreplicas: 2\nregions: [surrey]\nrunTime: 8s\ncommand: [run, 8s]\n" + head,
	}
}

// startWorkloads waits until the fleet is ready, applies baseConfig, waits until all of its workloads run, and returns
// the revision.
func (f *fleet) startWorkloads() uint64 {
	f.t.Helper()
	f.eventually(readyTimeout, "all instances are ready", f.allReady)
	revision := f.apply(f.instances[montego], baseConfig())
	defer f.explainIfFailed("shop", "feed", "feedc", "index")
	f.eventually(readyTimeout, "all tasks run", func() bool {
		return f.startedTasks("shop") == 6 && f.startedTasks("feed") == 2 && f.startedTasks("feedc") == 2 && f.startedTasks("index") == 2
	})
	f.eventually(readyTimeout, "all instances serve requests", func() bool {
		for _, n := range f.instances {
			if f.get(n, "shop").outcome != api.Answered {
				return false
			}
		}
		return true
	})
	return revision
}

// explainIfFailed logs why tasks wait if the test has failed.
func (f *fleet) explainIfFailed(works ...string) {
	if !f.t.Failed() {
		return
	}
	for _, work := range works {
		explanation, err := f.instances[montego].Explain(context.Background(), work)
		f.t.Logf("%s: %d started, %+v, %v", work, f.startedTasks(work), explanation.Tasks, err)
	}
	for unit, owner := range f.instances[montego].owners.View().Units {
		if unit.Kind != api.UnitShard {
			f.t.Logf("%s: owner %s, epoch %d", unit.Key(), owner.Instance, owner.Epoch)
		}
	}
}

// watchForRevisionDecrease samples the revision of every instance and fails the test if one decreases.
func (f *fleet) watchForRevisionDecrease() (end func()) {
	var stopped atomic.Bool
	done := make(chan struct{})
	instances := f.instances
	go func() {
		defer close(done)
		highest := make([]uint64, len(instances))
		for ; !stopped.Load(); time.Sleep(pollInterval) {
			for index, n := range instances {
				revision := n.rollout.Snapshot().Revision
				if revision < highest[index] {
					f.t.Errorf("%s went from revision %d to %d", n.self.ID, highest[index], revision)
				}
				highest[index] = max(highest[index], revision)
			}
		}
	}()
	return func() { stopped.Store(true); <-done }
}

// The region partition lasts long enough for attempt leases and instance leases to expire and for instances to become
// suspect.
const (
	partitionDuration = 10 * time.Second
	// suspectTimeout covers three missed heartbeats and the rebuild of the routing view.
	suspectTimeout    = 4500 * time.Millisecond
	acceptanceTimeout = 9 * time.Second
)

// Guards against a side of a region partition that stops responding, idempotency keys and tasks that are executed on
// both sides, a change that is accepted while a region cannot receive it, and a revision that decreases.
func TestRegionPartition(t *testing.T) {
	f := newFleet(t)
	first := f.startWorkloads()
	endSamples := f.watchForRevisionDecrease()
	l := f.startLoad("shop", homeRegionPrefix)
	time.Sleep(time.Second)
	partitionedAt := time.Now()
	f.partitionRegion()
	change := map[string]string{"50-extra.yaml": "kind: watcher\nname: extra\nteam: web\nurgency: normal\nregions: [cornwall]\ncpu: 250m\nmemory: 64MiB\n"}
	second := f.apply(f.instances[montego], change)
	f.eventually(acceptanceTimeout, "the change is active on the reachable side", func() bool {
		return f.instances[montego].rollout.Snapshot().Revision == second && f.instances[savanna].rollout.Snapshot().Revision == second
	})
	f.eventually(acceptanceTimeout, "the new watcher runs on the reachable side", func() bool { return f.runningAttempts("extra") == 1 })
	f.throughout(time.Until(partitionedAt.Add(partitionDuration)), "the change is not accepted and the partitioned side keeps its workloads", func() bool {
		return !f.accepted(f.instances[montego], second) && f.instances[kingston].rollout.Snapshot().Revision == first && f.runningAttempts("feed") == 2
	})
	if status := f.callOperator(f.instances[kingston], http.MethodPost, "/v1/apply", addTeamRequest("60-x.yaml"), nil); status == http.StatusOK {
		t.Error("the side without the store accepted a change")
	}
	restoredAt := time.Now()
	f.restoreRegion()
	took := f.eventually(acceptanceTimeout, "the change is accepted after the partition", func() bool {
		return f.accepted(f.instances[montego], second) && f.instances[kingston].rollout.Snapshot().Revision == second
	})
	f.eventually(readyTimeout, "all instances are ready and live again", func() bool { return f.allReady() && f.allLive() })
	t.Logf("accepted %v after the partition", took)
	time.Sleep(2 * time.Second)
	l.finish()
	endSamples()
	f.reportLoad(l, partitionedAt, partitionedAt.Add(suspectTimeout), "first seconds of the partition")
	total, failures := unanswered(l.idempotent, partitionedAt.Add(suspectTimeout), restoredAt)
	if total == 0 || len(failures) > 0 {
		t.Errorf("idempotent requests during the partition: %d sent, without response: %v", total, failures)
	}
	total, failures = unanswered(l.keyed, partitionedAt.Add(suspectTimeout), restoredAt)
	if total == 0 || len(failures) > 0 {
		t.Errorf("requests with an idempotency key of each side's own region during the partition: %d sent, without response: %v", total, failures)
	}
	f.checkInvariants()
}

// Guards against a request that is executed on both sides of a region partition when its caller retries on the other
// side.
func TestRegionPartitionRetriesOnOtherSide(t *testing.T) {
	f := newFleet(t)
	f.startWorkloads()
	l := f.startLoad("shop", noKeyPrefix)
	time.Sleep(time.Second)
	partitionedAt := time.Now()
	f.partitionRegion()
	time.Sleep(6 * time.Second)
	f.restoreRegion()
	f.eventually(readyTimeout, "all instances are ready and live again", func() bool { return f.allReady() && f.allLive() })
	l.finish()
	f.reportLoad(l, partitionedAt, time.Now(), "partition and recovery")
	if len(l.retried) == 0 {
		t.Error("no idempotency key was retried: the test does not exercise what it is for")
	}
	f.checkInvariants()
}

func (f *fleet) allLive() bool {
	for _, n := range f.instances {
		if len(n.livePeers()) != len(f.instances)-1 {
			return false
		}
	}
	return true
}

func (f *fleet) reportLoad(l *load, from, to time.Time, span string) {
	f.t.Helper()
	for name, replies := range map[string][]reply{"idempotent": l.idempotent, "keyed": l.keyed, "retried": l.retried} {
		total, failures := unanswered(replies, from, to)
		f.t.Logf("%s, %s: %d sent, without response: %v", span, name, total, failures)
	}
}
