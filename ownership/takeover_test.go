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

// liveNode is an instance with real transport, membership and ownership.
type liveNode struct {
	filter    *peer.FilterConn
	members   *membership.Service
	ownership *Service
	self      api.Instance
}

func startLive(t *testing.T, dev *peer.DevAuthority, i int, table backend.Table, directory backend.Directory) *liveNode {
	t.Helper()
	n := &liveNode{self: api.Instance{ID: api.InstanceID(fmt.Sprint("i", i)), Addr: "127.0.0.1:0", Location: api.Location{Region: "cairo", DataCentre: "cairo-nasr"}}}
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
	n.members = membership.New(membership.Config{Self: n.self, Rule: authority.Rule{Hold: authority.DefaultHold}, Clock: clock,
		Table: table, Directory: directory, Messenger: transport, Log: zerolog.Nop()})
	n.ownership = New(Config{Self: n.self, Clock: clock, Table: table, Members: n.members, Messenger: transport, Log: zerolog.Nop()})
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		// The last instances have no successor or no table; only the transport has to stop cleanly.
		_ = n.ownership.Stop(ctx)
		_ = n.members.Stop(ctx)
		if err := transport.Stop(ctx); err != nil {
			t.Errorf("stop of %s: %v", n.self.ID, err)
		}
	})
	return n
}

// Guards against parts that work with fakes and not together, and against a takeover before authority has ended or much
// later than the page says.
func TestTakeoverFromAnInstanceThatIsCutOff(t *testing.T) {
	dev, err := peer.NewDevAuthority()
	if err != nil {
		t.Fatal(err)
	}
	table, directory := platformfake.NewTable(), &platformfake.Directory{}
	// The instance that is cut off has a switch of its own in front of the shared table.
	gate := &gatedTable{Table: table}
	nodes := []*liveNode{startLive(t, dev, 0, gate, directory), startLive(t, dev, 1, table, directory), startLive(t, dev, 2, table, directory)}
	for _, n := range nodes {
		self := n.self
		directory.Entries = append(directory.Entries, backend.Entry{Kind: backend.EntryInstance, Instance: &self})
	}
	for _, n := range nodes {
		// Instances in the field do not tick in step.
		time.Sleep(time.Duration(rand.Int63n(int64(time.Second))))
		if err := n.members.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		if err := n.ownership.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	shard := waitForShard(t, nodes[0])
	begin := time.Now()
	gate.cut.Store(true)
	nodes[0].filter.CutLink(nodes[1].self.Addr)
	nodes[0].filter.CutLink(nodes[2].self.Addr)
	var ended time.Duration
	for time.Since(begin) < 12*time.Second {
		_, errOld := nodes[0].ownership.Check(shard)
		_, err1 := nodes[1].ownership.Check(shard)
		_, err2 := nodes[2].ownership.Check(shard)
		if errOld != nil && ended == 0 {
			ended = time.Since(begin)
		}
		if err1 == nil || err2 == nil {
			if errOld == nil {
				t.Fatal("two instances may use the shard at once")
			}
			t.Logf("authority ended %s after the cut, takeover %s after it", ended.Round(time.Millisecond), time.Since(begin).Round(time.Millisecond))
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("nobody took the shard over within 12 s")
}

func waitForShard(t *testing.T, n *liveNode) api.Unit {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		for i := range ShardsPerRegion {
			if _, err := n.ownership.Check(ShardUnit("cairo", i)); err == nil && n.ownership.View().Units[ShardUnit("cairo", i)].Deputy != "" {
				return ShardUnit("cairo", i)
			}
		}
	}
	t.Fatalf("%s owns no shard with a deputy: %+v", n.self.ID, n.ownership.View().Units)
	return api.Unit{}
}
