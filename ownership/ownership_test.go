package ownership

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bronzehook/api"
	"bronzehook/fault"
)

// Guards against units without an owner, conflicts between instances that acquire the same unit, and an uneven
// distribution.
func TestAllUnitsAreAcquiredEvenly(t *testing.T) {
	f := newFleet(4, 102)
	f.poll(4)
	f.checkInvariants(t)
	if total := len(f.history); total != 102+ShardsPerRegion+1 {
		t.Errorf("%d units have owners", total)
	}
	for id, count := range f.ownedCounts(api.UnitRack) {
		if count > 102/4+2 {
			t.Errorf("%s owns %d racks", id, count)
		}
	}
	reads, commits := f.table.Reads, f.table.Commits
	f.poll(pollsPerFullRead)
	t.Logf("steady state, 4 instances, %d polls each: %d reads, %d commits", pollsPerFullRead, f.table.Reads-reads, f.table.Commits-commits)
	if f.table.Commits != commits {
		t.Error("the steady state must not write")
	}
}

// Guards against a unit that stays without an owner, or that two instances may use, after the fault that each case
// names.
func TestOwnershipUnderFaults(t *testing.T) {
	rack := api.RackUnit("cairo-nasr", "0")
	cases := []struct {
		name string
		run  func(t *testing.T, f *fleet, owner *testInstance)
	}{
		{"a paused owner that resumes must not use a unit that was taken over", func(t *testing.T, f *fleet, owner *testInstance) {
			f.expireLease(owner)
			f.poll(2)
			f.regainLease(owner)
			if _, err := owner.Check(rack); !fault.Is(err, fault.CodeNoAuthority) {
				t.Errorf("check after the pause: %v", err)
			}
			f.renewSessionRow(owner)
			f.syncViews()
			f.poll(1)
			if _, err := owner.Check(rack); !fault.Is(err, fault.CodeNotOwner) {
				t.Errorf("check after reading: %v", err)
			}
		}},
		{"a stale expiry decision must not take a unit from an owner that has renewed its lease", func(t *testing.T, f *fleet, owner *testInstance) {
			f.expireLease(owner)
			f.regainLease(owner)
			f.renewSessionRow(owner)
			f.poll(2)
			if got := f.currentRow(rack); got.Owner != owner.self.ID {
				t.Errorf("unit was taken by %s", got.Owner)
			}
			if _, err := owner.Check(rack); err != nil {
				t.Errorf("check: %v", err)
			}
		}},
		{"an owner that crashes while the store is down must be replaced afterwards and not before", func(t *testing.T, f *fleet, owner *testInstance) {
			f.table.Down = true
			owner.running = false
			f.expireLease(owner)
			f.poll(3)
			if got := f.currentRow(rack); got.Owner != owner.self.ID {
				t.Errorf("unit was taken by %s while the store was down", got.Owner)
			}
			if got := f.instances[1].View().Units[rack].Instance; got != owner.self.ID {
				t.Errorf("view names %s", got)
			}
			f.table.Down = false
			f.poll(2)
			if got := f.currentRow(rack); got.Owner == owner.self.ID || got.Epoch != 2 {
				t.Errorf("after the outage: %+v", got)
			}
		}},
		{"a lost reply must neither prevent an acquisition nor repeat it", func(t *testing.T, f *fleet, owner *testInstance) {
			f.expireLease(owner)
			f.table.LoseReplies = 3
			f.poll(5)
			if got := f.currentRow(rack); got.Owner == owner.self.ID || got.Epoch != 2 {
				t.Errorf("after lost replies: %+v", got)
			}
			if f.table.Replayed == 0 {
				t.Error("no retry was recognised by its operation ID")
			}
		}},
		{"the backup must take over a shard", func(t *testing.T, f *fleet, owner *testInstance) {
			shards := map[api.Unit]api.InstanceID{}
			for n := range ShardsPerRegion {
				if row := f.currentRow(ShardUnit("cairo", n)); row.Owner == owner.self.ID {
					shards[ShardUnit("cairo", n)] = row.Backup
				}
			}
			f.expireLease(owner)
			f.poll(3)
			for unit, backup := range shards {
				if got := f.currentRow(unit); backup == "" || got.Owner != backup || got.Backup == "" || got.Backup == owner.self.ID {
					t.Errorf("%s: %+v, backup was %q", unit.Key(), got, backup)
				}
			}
		}},
		{"a planned stop must hand over all units", func(t *testing.T, f *fleet, owner *testInstance) {
			if err := owner.HandOver(t.Context()); err != nil {
				t.Fatal(err)
			}
			if _, err := owner.Check(rack); !fault.Is(err, fault.CodeNotOwner) {
				t.Errorf("check after the handover: %v", err)
			}
			owner.running = false
			f.poll(1)
			for key, rows := range f.history {
				row := rows[len(rows)-1]
				unit, _ := parseUnitKey(key)
				if row.Owner == owner.self.ID || row.Owner == "" {
					t.Errorf("%s: %+v", key, row)
				}
				for _, n := range f.instances {
					if _, err := n.Check(unit); n.self.ID == row.Owner && err != nil {
						t.Errorf("successor %s: %v", row.Owner, err)
					}
				}
			}
		}},
		{"a restarted owner must get its racks back with new ownership epochs", func(t *testing.T, f *fleet, owner *testInstance) {
			f.start(owner)
			f.syncViews()
			f.poll(2)
			if got := f.currentRow(rack); got.Session == 1 && got.Owner == owner.self.ID || got.Epoch != 2 {
				t.Errorf("after the restart: %+v", got)
			}
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(3, 6)
			f.poll(3)
			f.checkInvariants(t)
			id := f.currentRow(rack).Owner
			for i, n := range f.instances {
				if n.self.ID == id {
					f.instances[0], f.instances[i] = f.instances[i], f.instances[0]
				}
			}
			tc.run(t, f, f.instances[0])
			f.checkInvariants(t)
		})
	}
}

// Guards against an instance that joins and gets no units, and against moving more than one unit of an instance at a
// time.
func TestRebalanceOneAtATime(t *testing.T) {
	f := newFleet(2, 20)
	f.poll(3)
	joined := &testInstance{self: api.Instance{ID: "joined", Location: f.instances[0].self.Location}}
	f.instances = append(f.instances, joined)
	f.start(joined)
	f.syncViews()
	for range 60 {
		before := f.ownedCounts(api.UnitRack)["joined"] + f.ownedCounts(api.UnitShard)["joined"]
		f.poll(1)
		if after := f.ownedCounts(api.UnitRack)["joined"] + f.ownedCounts(api.UnitShard)["joined"]; after > before+2 {
			t.Fatalf("%d units moved in one step of two instances", after-before)
		}
		f.checkInvariants(t)
	}
	for id, count := range f.ownedCounts(api.UnitRack) {
		if count > 20/3+2 {
			t.Errorf("%s owns %d racks", id, count)
		}
	}
	commits := f.table.Commits
	f.poll(10)
	if f.table.Commits != commits {
		t.Error("rebalancing does not converge")
	}
}

// Guards against any sequence of faults after which two instances may use a unit or an ownership epoch has two owners.
func TestNoUnitHasTwoOwnersUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 4).Draw(t, "instances"), 3)
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			n := f.instances[rapid.IntRange(0, len(f.instances)-1).Draw(t, "who")]
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				f.expireLease(n)
			case 1:
				f.regainLease(n)
			case 2:
				f.renewSessionRow(n)
			case 3:
				f.syncViews()
			case 4:
				f.table.Down = !f.table.Down
			case 5:
				f.table.LoseReplies = 2
			case 6:
				// Other instances notice a restart through the session row, so the store must accept its write.
				if !f.table.Down && f.table.LoseReplies == 0 {
					f.start(n)
				}
			case 7:
				if n.members.lease.Valid {
					_ = n.HandOver(context.Background())
				}
			default:
				f.clock.Advance(time.Second)
				if n.members.lease.Valid {
					n.Step(context.Background())
				}
			}
			f.checkInvariants(t)
		}
	})
}
