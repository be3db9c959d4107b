package ownership

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"bronzehook/api"
	"bronzehook/authority"
	"bronzehook/backend"
	"bronzehook/membership"
	"bronzehook/membership/platformfake"
	"bronzehook/peer"
)

// realInstance is an instance with the real transport, membership and ownership services.
type realInstance struct {
	filter    *peer.FilterConn
	members   *membership.Service
	ownership *Service
	self      api.Instance
}

func newRealInstance(t *testing.T, dev *peer.DevAuthority, i int, table backend.Table, directory backend.Directory) *realInstance {
	t.Helper()
	n := &realInstance{self: api.Instance{ID: api.InstanceID(fmt.Sprint("i", i)), Addr: "127.0.0.1:0", Location: api.Location{Region: "cairo", DataCentre: "cairo-nasr"}}}
	conf, err := dev.TLS(n.self.ID)
	if err != nil {
		t.Fatal(err)
	}
	transport := peer.New(peer.Config{ID: n.self.ID, Addr: n.self.Addr, Session: uint64(i) + 1, TLS: conf, Log: zerolog.Nop(),
		Listen: func(addr string) (net.PacketConn, error) {
			filter, err := peer.ListenFiltered(addr)
			n.filter = filter
			return filter, err
		}})
	if err := transport.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	n.self.Addr = transport.Addr()
	clock := clockwork.NewRealClock()
	n.members = membership.New(membership.Config{Self: n.self, Rule: authority.Rule{LeaseDuration: authority.DefaultLeaseDuration}, Clock: clock,
		Table: table, Directory: directory, Messenger: transport, Log: zerolog.Nop()})
	n.ownership = New(Config{Self: n.self, Clock: clock, Table: table, Members: n.members, Messenger: transport, Log: zerolog.Nop()})
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		// The instances that stop last have no successor or no table, so only the transport must stop without an error.
		_ = n.ownership.Stop(ctx)
		_ = n.members.Stop(ctx)
		if err := transport.Stop(ctx); err != nil {
			t.Errorf("stop of %s: %v", n.self.ID, err)
		}
	})
	return n
}

// Guards against services that work with fakes but not together, and against a takeover before the instance lease of
// the former owner has expired or much later than documented.
func TestTakeoverFromPartitionedInstance(t *testing.T) {
	dev, err := peer.NewDevAuthority()
	if err != nil {
		t.Fatal(err)
	}
	table, directory := platformfake.NewTable(), &platformfake.Directory{}
	// The instance to be partitioned reaches the shared table through a gate of its own.
	gated := &gatedTable{Table: table}
	instances := []*realInstance{newRealInstance(t, dev, 0, gated, directory), newRealInstance(t, dev, 1, table, directory), newRealInstance(t, dev, 2, table, directory)}
	for _, n := range instances {
		self := n.self
		directory.Entries = append(directory.Entries, backend.Entry{Kind: backend.EntryInstance, Instance: &self})
	}
	for _, n := range instances {
		// In production the timers of instances are not synchronised.
		time.Sleep(time.Duration(rand.Int63n(int64(time.Second))))
		if err := n.members.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		if err := n.ownership.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	shard := waitForShard(t, instances[0])
	partitionedAt := time.Now()
	gated.partitioned.Store(true)
	instances[0].filter.DropLink(instances[1].self.Addr)
	instances[0].filter.DropLink(instances[2].self.Addr)
	var leaseExpiredAfter time.Duration
	for time.Since(partitionedAt) < 12*time.Second {
		_, errFormer := instances[0].ownership.Check(shard)
		_, err1 := instances[1].ownership.Check(shard)
		_, err2 := instances[2].ownership.Check(shard)
		if errFormer != nil && leaseExpiredAfter == 0 {
			leaseExpiredAfter = time.Since(partitionedAt)
		}
		if err1 == nil || err2 == nil {
			if errFormer == nil {
				t.Fatal("two instances may use the shard at once")
			}
			t.Logf("instance lease expired %s after the partition, takeover %s after it", leaseExpiredAfter.Round(time.Millisecond), time.Since(partitionedAt).Round(time.Millisecond))
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("no instance took over the shard within 12 s")
}

func waitForShard(t *testing.T, n *realInstance) api.Unit {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		for i := range ShardsPerRegion {
			if _, err := n.ownership.Check(ShardUnit("cairo", i)); err == nil && n.ownership.View().Units[ShardUnit("cairo", i)].Backup != "" {
				return ShardUnit("cairo", i)
			}
		}
	}
	t.Fatalf("%s owns no shard with a backup: %+v", n.self.ID, n.ownership.View().Units)
	return api.Unit{}
}
