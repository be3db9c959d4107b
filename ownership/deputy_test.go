package ownership

import "testing"

// Guards against shards that refuse every key because their deputy, the only other instance of the region, has ended.
func TestShardsOfTheLastInstanceHaveNoDeputy(t *testing.T) {
	f := newFleet(2, 1)
	f.run(5)
	f.nodes[1].alive = false
	f.lapse(f.nodes[1])
	f.run(5)
	for n := range ShardsPerRegion {
		row := f.ownerOf(ShardUnit("cairo", n))
		if row.Owner != f.nodes[0].self.ID || row.Deputy != "" {
			t.Errorf("shard %d: %+v", n, row)
		}
	}
	f.check(t)

	f.start(f.nodes[1])
	f.syncViews()
	f.run(1)
	for n := range ShardsPerRegion {
		if row := f.ownerOf(ShardUnit("cairo", n)); row.Deputy != f.nodes[1].self.ID && row.Owner != f.nodes[1].self.ID {
			t.Errorf("shard %d has no deputy though another instance is back: %+v", n, row)
		}
	}
	f.check(t)
}
