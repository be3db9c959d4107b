package ownership

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bronzehook/api"
	"bronzehook/fault"
)

// Guards against units without an owner, two instances that race for a claim, and an uneven spread.
func TestAllUnitsAreClaimedEvenly(t *testing.T) {
	f := newFleet(4, 102)
	f.run(4)
	f.check(t)
	if total := len(f.history); total != 102+ShardsPerRegion+1 {
		t.Errorf("%d units have owners", total)
	}
	for id, count := range f.counts(api.UnitRack) {
		if count > 102/4+2 {
			t.Errorf("%s owns %d racks", id, count)
		}
	}
	reads, commits := f.table.Reads, f.table.Commits
	f.run(pollsPerFullRead)
	t.Logf("steady state, 4 instances, %d polls each: %d reads, %d commits", pollsPerFullRead, f.table.Reads-reads, f.table.Commits-commits)
	if f.table.Commits != commits {
		t.Error("the steady state must not write")
	}
}

// Guards against each failure named by its case ending in a lost unit or two users of it.
func TestFaults(t *testing.T) {
	rack := api.RackUnit("cairo-nasr", "0")
	cases := []struct {
		name string
		run  func(t *testing.T, f *fleet, owner *node)
	}{
		{"a paused owner that wakes up must not use a unit that was taken over", func(t *testing.T, f *fleet, owner *node) {
			f.lapse(owner)
			f.run(2)
			f.regain(owner)
			if _, err := owner.Check(rack); !fault.Is(err, fault.CodeNoAuthority) {
				t.Errorf("check after waking: %v", err)
			}
			f.renew(owner)
			f.syncViews()
			f.run(1)
			if _, err := owner.Check(rack); !fault.Is(err, fault.CodeNotOwner) {
				t.Errorf("check after reading: %v", err)
			}
		}},
		{"a stale verdict must not take a unit from an owner that has renewed", func(t *testing.T, f *fleet, owner *node) {
			f.lapse(owner)
			f.regain(owner)
			f.renew(owner)
			f.run(2)
			if got := f.ownerOf(rack); got.Owner != owner.self.ID {
				t.Errorf("unit was taken by %s", got.Owner)
			}
			if _, err := owner.Check(rack); err != nil {
				t.Errorf("check: %v", err)
			}
		}},
		{"an owner that dies while the store is down must be replaced afterwards and not before", func(t *testing.T, f *fleet, owner *node) {
			f.table.Down = true
			owner.alive = false
			f.lapse(owner)
			f.run(3)
			if got := f.ownerOf(rack); got.Owner != owner.self.ID {
				t.Errorf("unit was taken by %s while the store was down", got.Owner)
			}
			if got := f.nodes[1].View().Units[rack].Instance; got != owner.self.ID {
				t.Errorf("view names %s", got)
			}
			f.table.Down = false
			f.run(2)
			if got := f.ownerOf(rack); got.Owner == owner.self.ID || got.Epoch != 2 {
				t.Errorf("after the outage: %+v", got)
			}
		}},
		{"a lost reply must not cost the claim or claim twice", func(t *testing.T, f *fleet, owner *node) {
			f.lapse(owner)
			f.table.LoseReplies = 3
			f.run(5)
			if got := f.ownerOf(rack); got.Owner == owner.self.ID || got.Epoch != 2 {
				t.Errorf("after lost replies: %+v", got)
			}
			if f.table.Replayed == 0 {
				t.Error("no retry was recognised by its operation")
			}
		}},
		{"the deputy must take over a shard", func(t *testing.T, f *fleet, owner *node) {
			shards := map[api.Unit]api.InstanceID{}
			for n := range ShardsPerRegion {
				if row := f.ownerOf(ShardUnit("cairo", n)); row.Owner == owner.self.ID {
					shards[ShardUnit("cairo", n)] = row.Deputy
				}
			}
			f.lapse(owner)
			f.run(3)
			for unit, backup := range shards {
				if got := f.ownerOf(unit); backup == "" || got.Owner != backup || got.Deputy == "" || got.Deputy == owner.self.ID {
					t.Errorf("%s: %+v, deputy was %q", unit.Key(), got, backup)
				}
			}
		}},
		{"a planned stop must hand everything over", func(t *testing.T, f *fleet, owner *node) {
			if err := owner.HandOver(t.Context()); err != nil {
				t.Fatal(err)
			}
			if _, err := owner.Check(rack); !fault.Is(err, fault.CodeNotOwner) {
				t.Errorf("check after the hand-over: %v", err)
			}
			owner.alive = false
			f.run(1)
			for key, rows := range f.history {
				row := rows[len(rows)-1]
				unit, _ := parseUnitKey(key)
				if row.Owner == owner.self.ID || row.Owner == "" {
					t.Errorf("%s: %+v", key, row)
				}
				for _, n := range f.nodes {
					if _, err := n.Check(unit); n.self.ID == row.Owner && err != nil {
						t.Errorf("successor %s: %v", row.Owner, err)
					}
				}
			}
		}},
		{"a restarted owner must get its racks back with new epochs", func(t *testing.T, f *fleet, owner *node) {
			f.start(owner)
			f.syncViews()
			f.run(2)
			if got := f.ownerOf(rack); got.Session == 1 && got.Owner == owner.self.ID || got.Epoch != 2 {
				t.Errorf("after the restart: %+v", got)
			}
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(3, 6)
			f.run(3)
			f.check(t)
			id := f.ownerOf(rack).Owner
			for i, n := range f.nodes {
				if n.self.ID == id {
					f.nodes[0], f.nodes[i] = f.nodes[i], f.nodes[0]
				}
			}
			tc.run(t, f, f.nodes[0])
			f.check(t)
		})
	}
}

// Guards against a joined instance getting nothing, and against more than one unit of an instance moving at a time.
func TestRebalanceOneAtATime(t *testing.T) {
	f := newFleet(2, 20)
	f.run(3)
	joined := &node{self: api.Instance{ID: "joined", Location: f.nodes[0].self.Location}}
	f.nodes = append(f.nodes, joined)
	f.start(joined)
	f.syncViews()
	for range 60 {
		before := f.counts(api.UnitRack)["joined"] + f.counts(api.UnitShard)["joined"]
		f.run(1)
		if after := f.counts(api.UnitRack)["joined"] + f.counts(api.UnitShard)["joined"]; after > before+2 {
			t.Fatalf("%d units moved in one step of two instances", after-before)
		}
		f.check(t)
	}
	for id, count := range f.counts(api.UnitRack) {
		if count > 20/3+2 {
			t.Errorf("%s owns %d racks", id, count)
		}
	}
	commits := f.table.Commits
	f.run(10)
	if f.table.Commits != commits {
		t.Error("rebalancing does not come to rest")
	}
}

// Guards against any order of faults giving a unit two users or an epoch two owners.
func TestRandomSequences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 4).Draw(t, "instances"), 3)
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			n := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, "who")]
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				f.lapse(n)
			case 1:
				f.regain(n)
			case 2:
				f.renew(n)
			case 3:
				f.syncViews()
			case 4:
				f.table.Down = !f.table.Down
			case 5:
				f.table.LoseReplies = 2
			case 6:
				// A restart is noticed through the session row, which the store has to take.
				if !f.table.Down && f.table.LoseReplies == 0 {
					f.start(n)
				}
			case 7:
				if n.members.own.Valid {
					_ = n.HandOver(context.Background())
				}
			default:
				f.clock.Advance(time.Second)
				if n.members.own.Valid {
					n.Step(context.Background())
				}
			}
			f.check(t)
		}
	})
}
