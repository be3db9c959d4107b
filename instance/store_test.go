package instance

import (
	"testing"
	"time"

	"bronzehook/api"
	"bronzehook/ownership"
)

// storeDownSpan is longer than Hold with its margin and than the task lease.
const storeDownSpan = 8 * time.Second

// Guards against a store outage that takes units away from their owners, lets authority or leases lapse, cuts requests,
// or lets an instance that starts meanwhile take requests that it cannot route.
func TestStoreDownForAll(t *testing.T) {
	f := newFleet(t)
	revision := f.startWork()
	endSamples := f.watchRevisions()
	units := f.nodes[montego].owners.View().Units
	l := f.startLoad("shop", ownRegion)
	downAt := time.Now()
	f.storeDown(true)
	late := f.add("montego-2", testLocations[montego])
	late.table.Down.Store(true)
	f.start(late)
	f.during(storeDownSpan, "instances stay ready, units keep their owners, leases are renewed", func() bool {
		return f.nodes[montego].Ready() == nil && f.nodes[savanna].Ready() == nil && f.nodes[kingston].Ready() == nil &&
			sameOwners(units, f.nodes[savanna].owners.View().Units) && f.runningOf("shop") == 6 && f.runningOf("feed") == 2
	})
	f.checkLateStart(late, revision)
	l.end()
	upAt := time.Now()
	f.storeDown(false)
	f.within(readyWithin, "all is one fleet again", func() bool { return f.allReady() && f.allLive() })
	endSamples()
	for kind, replies := range map[string][]reply{"idempotent": l.idempotent, "keyed": l.keyed} {
		total, failures := unanswered(replies, downAt, upAt)
		if total == 0 || len(failures) > 0 {
			t.Errorf("%s requests while the store was down: %d sent, without answer: %v", kind, total, failures)
		}
	}
	f.check()
}

// checkLateStart verifies that an instance that started without the store has learned the configuration and the owners
// from its peers and serves requests of both kinds.
func (f *fleet) checkLateStart(n *node, revision uint64) {
	f.t.Helper()
	if err := n.Ready(); err != nil {
		f.t.Errorf("%s has not learned what it needs from its peers: %v", n.self.ID, err)
		return
	}
	if got := n.rollout.Snapshot().Revision; got != revision {
		f.t.Errorf("%s is ready with revision %d, its peers have %d", n.self.ID, got, revision)
	}
	for number := range 20 {
		if r := f.get(n, "shop"); r.outcome != api.Answered {
			f.t.Errorf("%s is ready; an idempotent request got %s %s", n.self.ID, r.outcome, r.reason)
		}
		key := ownRegion(n) + "late-" + string(rune('a'+number))
		if r := f.post(n, "shop", key, 1); r.outcome != api.Answered {
			f.t.Errorf("%s is ready; a keyed request got %s %s", n.self.ID, r.outcome, r.reason)
		}
	}
}

func sameOwners(before, after map[api.Unit]ownership.Owner) bool {
	for unit, owner := range before {
		if after[unit].Instance != owner.Instance || after[unit].Epoch != owner.Epoch {
			return false
		}
	}
	return true
}

// Guards against an instance that lost the store and all links and still takes work or renews leases, and against one
// that uses units of an earlier term after the cut.
func TestIsolatedInstance(t *testing.T) {
	f := newFleet(t)
	f.startWork()
	alone := f.nodes[savanna]
	l := f.startLoad("shop", ownRegion)
	time.Sleep(time.Second)
	cutAt := time.Now()
	f.cut(alone, f.nodes[montego])
	f.cut(alone, f.nodes[kingston])
	alone.table.Down.Store(true)
	took := f.within(testHold+testMargin, "the isolated instance takes no new work", func() bool { return alone.Ready() != nil })
	t.Logf("refuses new work after %v", took)
	f.during(6*time.Second, "an isolated instance refuses as not-run", func() bool {
		return f.get(alone, "shop").outcome == api.NotRun
	})
	f.within(readyWithin, "its rack has a new owner", func() bool {
		return f.nodes[montego].owners.View().Units[api.RackUnit("savanna", "r0")].Instance == "montego-1"
	})
	f.restore(alone, f.nodes[montego])
	f.restore(alone, f.nodes[kingston])
	alone.table.Down.Store(false)
	f.within(readyWithin, "all is one fleet again", func() bool { return f.allReady() && f.allLive() })
	f.within(readyWithin, "all replicas run again", func() bool { return f.runningOf("shop") == 6 })
	l.end()
	f.reportLoad(l, cutAt, time.Now(), "isolation and return")
	f.check()
}

// Guards against a restarted instance that falls back to an older revision, which only a peer that was cut off still has.
func TestRestartDoesNotGoBack(t *testing.T) {
	f := newFleet(t)
	f.startWork()
	f.cutRegion()
	change := map[string]string{"50-team.yaml": "kind: team\nname: late\n"}
	second := f.apply(f.nodes[montego], change)
	f.within(acceptWithin, "savanna has the change", func() bool { return f.nodes[savanna].rollout.Snapshot().Revision == second })
	f.storeDown(true)
	old := f.nodes[savanna]
	f.stop(old)
	f.cut(f.nodes[montego], f.nodes[kingston])
	again := f.restart(savanna)
	f.cut(again, f.nodes[montego])
	f.restore(again, f.nodes[kingston])
	f.during(8*time.Second, "no older revision is in force after the restart", func() bool {
		revision := again.rollout.Snapshot().Revision
		return revision == 0 || revision >= second
	})
	if again.Ready() == nil && again.rollout.Snapshot().Revision < second {
		t.Errorf("ready with revision %d, %d had been in force", again.rollout.Snapshot().Revision, second)
	}
	f.restore(again, f.nodes[montego])
	f.within(readyWithin, "the restarted instance gets the latest revision from its peer", func() bool {
		return again.rollout.Snapshot().Revision == second
	})
	f.restoreRegion()
	f.storeDown(false)
	f.within(readyWithin, "all is one fleet again", func() bool { return f.allReady() && f.allLive() })
	f.check()
}
