package instance

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"bronzehook/api"
)

// baseFolder has a service with endpoints on both sides, and watchers and jobs that run on one side.
func baseFolder() map[string]string {
	const head = "team: web\ncpu: 500m\nmemory: 256MiB\n"
	return map[string]string{
		"10-team.yaml":  "kind: team\nname: web\n",
		"20-shop.yaml":  "kind: service\nname: shop\nurgency: critical\nreplicas: 6\ncommand: [serve, 2ms]\n" + head,
		"30-feed.yaml":  "kind: watcher\nname: feed\nurgency: high\nreplicas: 2\nregions: [surrey]\n" + head,
		"31-feedc.yaml": "kind: watcher\nname: feedc\nurgency: high\nreplicas: 2\nregions: [cornwall]\n" + head,
		"40-index.yaml": "kind: job\nname: index\nurgency: low\nreplicas: 2\nregions: [surrey]\nrunTime: 8s\ncommand: [run, 8s]\n" + head,
	}
}

// startWork brings the fleet up with baseFolder in force and all of it running, and returns the revision.
func (f *fleet) startWork() uint64 {
	f.t.Helper()
	f.within(readyWithin, "all instances are ready", f.allReady)
	revision := f.apply(f.nodes[montego], baseFolder())
	defer f.explainIfFailed("shop", "feed", "feedc", "index")
	f.within(readyWithin, "all tasks run", func() bool {
		return f.startedOf("shop") == 6 && f.startedOf("feed") == 2 && f.startedOf("feedc") == 2 && f.startedOf("index") == 2
	})
	f.within(readyWithin, "all instances answer", func() bool {
		for _, n := range f.nodes {
			if f.get(n, "shop").outcome != api.Answered {
				return false
			}
		}
		return true
	})
	return revision
}

// explainIfFailed logs why work waits after a failure.
func (f *fleet) explainIfFailed(works ...string) {
	if !f.t.Failed() {
		return
	}
	for _, work := range works {
		explanation, err := f.nodes[montego].Explain(context.Background(), work)
		f.t.Logf("%s: %d started, %+v, %v", work, f.startedOf(work), explanation.Tasks, err)
	}
	for unit, owner := range f.nodes[montego].owners.View().Units {
		if unit.Kind != api.UnitShard {
			f.t.Logf("%s: owner %s, epoch %d", unit.Key(), owner.Instance, owner.Epoch)
		}
	}
}

// watchRevisions samples the revision of every instance and fails the test if one goes down.
func (f *fleet) watchRevisions() (end func()) {
	var stopped atomic.Bool
	done := make(chan struct{})
	nodes := f.nodes
	go func() {
		defer close(done)
		highest := make([]uint64, len(nodes))
		for ; !stopped.Load(); time.Sleep(pollEvery) {
			for index, n := range nodes {
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

// The region cut lasts long enough for leases, authority and suspicion to run out.
const (
	cutSpan = 10 * time.Second
	// suspectWithin is three missed heartbeats and the rebuild of the view of routing.
	suspectWithin = 4500 * time.Millisecond
	acceptWithin  = 9 * time.Second
)

// Guards against a side of a region cut that stops answering, keys and tasks that run on both sides, an acceptance while
// a region cannot have the change, and a revision that goes down.
func TestRegionCut(t *testing.T) {
	f := newFleet(t)
	first := f.startWork()
	endSamples := f.watchRevisions()
	l := f.startLoad("shop", ownRegion)
	time.Sleep(time.Second)
	cutAt := time.Now()
	f.cutRegion()
	change := map[string]string{"50-extra.yaml": "kind: watcher\nname: extra\nteam: web\nurgency: normal\nregions: [cornwall]\ncpu: 250m\nmemory: 64MiB\n"}
	second := f.apply(f.nodes[montego], change)
	f.within(acceptWithin, "the change is in force on the reachable side", func() bool {
		return f.nodes[montego].rollout.Snapshot().Revision == second && f.nodes[savanna].rollout.Snapshot().Revision == second
	})
	f.within(acceptWithin, "the new watcher runs on the reachable side", func() bool { return f.runningOf("extra") == 1 })
	f.during(time.Until(cutAt.Add(cutSpan)), "the change is not accepted and the cut side keeps its work", func() bool {
		return !f.accepted(f.nodes[montego], second) && f.nodes[kingston].rollout.Snapshot().Revision == first && f.runningOf("feed") == 2
	})
	if status := f.operate(f.nodes[kingston], http.MethodPost, "/v1/apply", applyOf("60-x.yaml"), nil); status == http.StatusOK {
		t.Error("the side without the store accepted a change")
	}
	restoredAt := time.Now()
	f.restoreRegion()
	took := f.within(acceptWithin, "the change is accepted after the cut", func() bool {
		return f.accepted(f.nodes[montego], second) && f.nodes[kingston].rollout.Snapshot().Revision == second
	})
	f.within(readyWithin, "all is one fleet again", func() bool { return f.allReady() && f.allLive() })
	t.Logf("accepted %v after the cut", took)
	time.Sleep(2 * time.Second)
	l.end()
	endSamples()
	f.reportLoad(l, cutAt, cutAt.Add(suspectWithin), "first seconds of the cut")
	total, failures := unanswered(l.idempotent, cutAt.Add(suspectWithin), restoredAt)
	if total == 0 || len(failures) > 0 {
		t.Errorf("idempotent requests during the cut: %d sent, without answer: %v", total, failures)
	}
	total, failures = unanswered(l.keyed, cutAt.Add(suspectWithin), restoredAt)
	if total == 0 || len(failures) > 0 {
		t.Errorf("keyed requests of each side's own region during the cut: %d sent, without answer: %v", total, failures)
	}
	f.check()
}

// Guards against a key that runs on both sides of a region cut when its caller retries on the other side.
func TestRegionCutRetriesOnTheOtherSide(t *testing.T) {
	f := newFleet(t)
	f.startWork()
	l := f.startLoad("shop", anyRegion)
	time.Sleep(time.Second)
	cutAt := time.Now()
	f.cutRegion()
	time.Sleep(6 * time.Second)
	f.restoreRegion()
	f.within(readyWithin, "all is one fleet again", func() bool { return f.allReady() && f.allLive() })
	l.end()
	f.reportLoad(l, cutAt, time.Now(), "cut and return")
	if len(l.retried) == 0 {
		t.Error("no key was sent again: the session does not show what it is for")
	}
	f.check()
}

func (f *fleet) allLive() bool {
	for _, n := range f.nodes {
		if len(n.live()) != len(f.nodes)-1 {
			return false
		}
	}
	return true
}

func (f *fleet) reportLoad(l *load, from, to time.Time, span string) {
	f.t.Helper()
	for name, replies := range map[string][]reply{"idempotent": l.idempotent, "keyed": l.keyed, "retried": l.retried} {
		total, failures := unanswered(replies, from, to)
		f.t.Logf("%s, %s: %d sent, without answer: %v", span, name, total, failures)
	}
}
