package ownership

import "testing"

// Guards against shards that refuse all keys after their backup, the only other instance of the region, has crashed.
func TestShardsOfTheLastInstanceHaveNoBackup(t *testing.T) {
	f := newFleet(2, 1)
	f.poll(5)
	f.instances[1].running = false
	f.expireLease(f.instances[1])
	f.poll(5)
	for n := range ShardsPerRegion {
		row := f.currentRow(ShardUnit("cairo", n))
		if row.Owner != f.instances[0].self.ID || row.Backup != "" {
			t.Errorf("shard %d: %+v", n, row)
		}
	}
	f.checkInvariants(t)

	f.start(f.instances[1])
	f.syncViews()
	f.poll(1)
	for n := range ShardsPerRegion {
		if row := f.currentRow(ShardUnit("cairo", n)); row.Backup != f.instances[1].self.ID && row.Owner != f.instances[1].self.ID {
			t.Errorf("shard %d has no backup though the other instance is back: %+v", n, row)
		}
	}
	f.checkInvariants(t)
}
