package instance

import (
	"testing"
	"time"

	"bronzehook/api"
	"bronzehook/ownership"
)

// storeOutageDuration is longer than the instance lease with its clock drift margin, and than the attempt lease.
const storeOutageDuration = 8 * time.Second

// Guards against a store outage that takes units away from their owners, lets instance leases or attempt leases expire,
// fails requests, or lets an instance that starts meanwhile accept requests that it cannot route.
func TestStoreOutageForAllInstances(t *testing.T) {
	f := newFleet(t)
	revision := f.startWorkloads()
	endSamples := f.watchForRevisionDecrease()
	units := f.instances[montego].owners.View().Units
	l := f.startLoad("shop", homeRegionPrefix)
	downAt := time.Now()
	f.storeDown(true)
	late := f.add("montego-2", testLocations[montego])
	late.table.Down.Store(true)
	f.start(late)
	f.throughout(storeOutageDuration, "instances stay ready, units keep their owners, leases are renewed", func() bool {
		return f.instances[montego].Ready() == nil && f.instances[savanna].Ready() == nil && f.instances[kingston].Ready() == nil &&
			sameOwners(units, f.instances[savanna].owners.View().Units) && f.runningAttempts("shop") == 6 && f.runningAttempts("feed") == 2
	})
	f.checkLateStart(late, revision)
	l.finish()
	upAt := time.Now()
	f.storeDown(false)
	f.eventually(readyTimeout, "all instances are ready and live again", func() bool { return f.allReady() && f.allLive() })
	endSamples()
	for kind, replies := range map[string][]reply{"idempotent": l.idempotent, "keyed": l.keyed} {
		total, failures := unanswered(replies, downAt, upAt)
		if total == 0 || len(failures) > 0 {
			t.Errorf("%s requests while the store was down: %d sent, without response: %v", kind, total, failures)
		}
	}
	f.checkInvariants()
}

// checkLateStart verifies that an instance that started without the store has fetched the configuration and the owners
// from its peers and serves requests of both kinds.
func (f *fleet) checkLateStart(n *testInstance, revision uint64) {
	f.t.Helper()
	if err := n.Ready(); err != nil {
		f.t.Errorf("%s has not fetched what it needs from its peers: %v", n.self.ID, err)
		return
	}
	if got := n.rollout.Snapshot().Revision; got != revision {
		f.t.Errorf("%s is ready with revision %d, its peers have %d", n.self.ID, got, revision)
	}
	for number := range 20 {
		if r := f.get(n, "shop"); r.outcome != api.Answered {
			f.t.Errorf("%s is ready; an idempotent request got %s %s", n.self.ID, r.outcome, r.reason)
		}
		key := homeRegionPrefix(n) + "late-" + string(rune('a'+number))
		if r := f.post(n, "shop", key, 1); r.outcome != api.Answered {
			f.t.Errorf("%s is ready; a request with an idempotency key got %s %s", n.self.ID, r.outcome, r.reason)
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

// Guards against an instance that lost the store and all links and still accepts requests or renews attempt leases, and
// against one that uses units of an earlier lease period after the partition.
func TestIsolatedInstance(t *testing.T) {
	f := newFleet(t)
	f.startWorkloads()
	isolated := f.instances[savanna]
	l := f.startLoad("shop", homeRegionPrefix)
	time.Sleep(time.Second)
	isolatedAt := time.Now()
	f.dropLinks(isolated, f.instances[montego])
	f.dropLinks(isolated, f.instances[kingston])
	isolated.table.Down.Store(true)
	took := f.eventually(testInstanceLease+testDriftMargin, "the isolated instance accepts no new requests", func() bool { return isolated.Ready() != nil })
	t.Logf("refuses new requests after %v", took)
	f.throughout(6*time.Second, "an isolated instance refuses as not-run", func() bool {
		return f.get(isolated, "shop").outcome == api.NotRun
	})
	f.eventually(readyTimeout, "its rack has a new owner", func() bool {
		return f.instances[montego].owners.View().Units[api.RackUnit("savanna", "r0")].Instance == "montego-1"
	})
	f.restoreLinks(isolated, f.instances[montego])
	f.restoreLinks(isolated, f.instances[kingston])
	isolated.table.Down.Store(false)
	f.eventually(readyTimeout, "all instances are ready and live again", func() bool { return f.allReady() && f.allLive() })
	f.eventually(readyTimeout, "all replicas run again", func() bool { return f.runningAttempts("shop") == 6 })
	l.finish()
	f.reportLoad(l, isolatedAt, time.Now(), "isolation and recovery")
	f.checkInvariants()
}

// Guards against a restarted instance that goes back to an older revision, which only a peer that was partitioned while
// the newer one was recorded still has.
func TestRestartKeepsRevision(t *testing.T) {
	f := newFleet(t)
	f.startWorkloads()
	f.partitionRegion()
	change := map[string]string{"50-team.yaml": "kind: team\nname: late\n"}
	second := f.apply(f.instances[montego], change)
	f.eventually(acceptanceTimeout, "savanna has the change", func() bool { return f.instances[savanna].rollout.Snapshot().Revision == second })
	f.storeDown(true)
	old := f.instances[savanna]
	f.stop(old)
	f.dropLinks(f.instances[montego], f.instances[kingston])
	restarted := f.restart(savanna)
	f.dropLinks(restarted, f.instances[montego])
	f.restoreLinks(restarted, f.instances[kingston])
	f.throughout(8*time.Second, "no older revision is active after the restart", func() bool {
		revision := restarted.rollout.Snapshot().Revision
		return revision == 0 || revision >= second
	})
	if restarted.Ready() == nil && restarted.rollout.Snapshot().Revision < second {
		t.Errorf("ready with revision %d, %d had been active", restarted.rollout.Snapshot().Revision, second)
	}
	f.restoreLinks(restarted, f.instances[montego])
	f.eventually(readyTimeout, "the restarted instance gets the latest revision from its peer", func() bool {
		return restarted.rollout.Snapshot().Revision == second
	})
	f.restoreRegion()
	f.storeDown(false)
	f.eventually(readyTimeout, "all instances are ready and live again", func() bool { return f.allReady() && f.allLive() })
	f.checkInvariants()
}
