package membership

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"bronzehook/api"
	"bronzehook/authority"
	"bronzehook/backend"
	"bronzehook/fault"
	"bronzehook/membership/platformfake"
	"bronzehook/peer"
)

var testRule = authority.Rule{LeaseDuration: authority.DefaultLeaseDuration}

// fakeNet delivers heartbeats synchronously. It drops those from and to partitioned addresses.
type fakeNet struct {
	handlers    map[string]peer.Handler
	partitioned map[string]bool
}

type fakeMessenger struct {
	net     *fakeNet
	self    api.Instance
	session uint64
}

func (f *fakeMessenger) Session() uint64 { return f.session }

func (f *fakeMessenger) Handle(_ peer.Kind, handler peer.Handler) {
	f.net.handlers[f.self.Addr] = handler
}

func (f *fakeMessenger) Send(ctx context.Context, addr string, _ peer.Kind, message any) error {
	handler := f.net.handlers[addr]
	if handler == nil || f.net.partitioned[f.self.Addr] || f.net.partitioned[addr] {
		return fault.New(fault.CodeUnreachable, "fake net", "%s", addr)
	}
	payload, err := peer.Encode(message)
	if err != nil {
		return err
	}
	_, err = handler(ctx, peer.Sender{ID: f.self.ID, Addr: f.self.Addr, Session: f.session}, payload)
	return err
}

type fleet struct {
	clock     *clockwork.FakeClock
	net       *fakeNet
	table     *platformfake.Table
	directory *platformfake.Directory
	services  map[api.InstanceID]*Service
	paused    map[api.InstanceID]bool
}

func instance(i int) api.Instance {
	id := api.InstanceID(fmt.Sprintf("entry-%d", i))
	return api.Instance{ID: id, Addr: fmt.Sprintf("127.0.0.1:%d", 9000+i), Location: api.Location{Region: "cornwall", DataCentre: "montego"}}
}

func newFleet(n int) *fleet {
	f := &fleet{
		clock:     clockwork.NewFakeClock(),
		net:       &fakeNet{handlers: map[string]peer.Handler{}, partitioned: map[string]bool{}},
		table:     platformfake.NewTable(),
		directory: &platformfake.Directory{},
		services:  map[api.InstanceID]*Service{},
		paused:    map[api.InstanceID]bool{},
	}
	for i := range n {
		self := instance(i)
		f.directory.Entries = append(f.directory.Entries, backend.Entry{Kind: backend.EntryInstance, Instance: &self})
		f.start(self, 1)
	}
	return f
}

func (f *fleet) start(self api.Instance, session uint64) {
	f.services[self.ID] = New(Config{
		Self: self, Rule: testRule, Clock: f.clock, Table: f.table, Directory: f.directory,
		Messenger: &fakeMessenger{net: f.net, self: self, session: session}, Log: zerolog.Nop(),
	})
}

// run advances the clock by a number of seconds. After each second, the periodic work of all instances that are not
// paused is done.
func (f *fleet) run(seconds int) {
	for range seconds {
		f.clock.Advance(time.Second)
		for id, s := range f.services {
			if f.paused[id] {
				continue
			}
			s.pollDirectory(context.Background())
			s.renew(context.Background())
			s.pollSessions(context.Background())
			s.sendHeartbeats(context.Background(), maxPeersPerTick)
			s.goroutines.Wait()
		}
	}
}

// crash removes an instance without a shutdown.
func (f *fleet) crash(i int) {
	delete(f.services, instance(i).ID)
	f.net.partitioned[instance(i).Addr] = true
}

func (f *fleet) service(i int) *Service { return f.services[instance(i).ID] }

// Guards against a wrong validity of the own lease, or a wrong expiry decision on another one, under single faults and
// the loss of both store and peers.
func TestInstanceLeaseUnderFaults(t *testing.T) {
	cases := []struct {
		name        string
		fault       func(f *fleet)
		wantValid   bool
		wantExpired bool
	}{
		{"nothing fails", func(*fleet) {}, true, false},
		{"the lease must stay valid while the store is down", func(f *fleet) { f.table.Down = true }, true, false},
		{"the lease of a partitioned instance must stay valid while it can renew its session row", func(f *fleet) {
			f.net.partitioned[instance(0).Addr] = true
		}, true, false},
		{"a lease must expire without peers and store, but not for others while rows cannot be read", func(f *fleet) {
			f.table.Down = true
			f.net.partitioned[instance(0).Addr] = true
		}, false, false},
		{"the lease of a paused instance must expire", func(f *fleet) { f.paused[instance(0).ID] = true }, false, true},
		{"the lease of a live instance must stay valid if the directory omits it", func(f *fleet) {
			f.directory.Entries = f.directory.Entries[1:]
		}, true, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(3)
			f.run(10)
			tc.fault(f)
			f.run(10)
			if got := f.service(0).Valid(); got != tc.wantValid {
				t.Errorf("valid = %v, want %v", got, tc.wantValid)
			}
			if got := f.service(1).Expired(instance(0).ID); got != tc.wantExpired {
				t.Errorf("expired = %v, want %v", got, tc.wantExpired)
			}
		})
	}
}

// Guards against an instance that continues its old lease period after a pause, and against a new period in which the
// session row never counts as renewed.
func TestPausedInstanceStartsNewLeasePeriod(t *testing.T) {
	f := newFleet(3)
	f.run(5)
	before := f.service(0).Authority()
	if !before.Valid || !before.RenewedInPeriod {
		t.Fatalf("lease before the pause: %+v", before)
	}
	f.paused[instance(0).ID] = true
	f.run(8)
	if f.service(0).Valid() {
		t.Error("an instance must not hold a valid lease right after a pause")
	}
	f.paused[instance(0).ID] = false
	f.run(3)
	after := f.service(0).Authority()
	if !after.RenewedInPeriod || after.Period <= before.Period || f.service(1).Expired(instance(0).ID) {
		t.Errorf("lease after the pause: %+v, before: %+v", after, before)
	}
}

// Guards against a crashed instance that counts as live because the directory still lists it, a live one that is unknown
// because the directory omits it, and a leaving one that counts as live.
func TestMemberStatus(t *testing.T) {
	f := newFleet(3)
	f.directory.Entries = f.directory.Entries[:2]
	f.run(5)
	if m := f.service(0).View().Members[instance(2).ID]; m.Status != StatusLive || m.Listed || m.Instance.Location.Region != "cornwall" {
		t.Errorf("unlisted live instance: %+v", m)
	}
	f.crash(1)
	f.service(2).SetLeaving()
	f.service(2).goroutines.Wait()
	if m := f.service(0).View().Members[instance(2).ID]; m.Status != StatusLeaving {
		t.Errorf("leaving instance has status %s right after the announcement", m.Status)
	}
	f.run(4)
	if m := f.service(0).View().Members[instance(1).ID]; m.Status != StatusSuspect || !m.Listed {
		t.Errorf("crashed listed instance: %+v", m)
	}
}

// Guards against a lost response that stops the renewals, a restarted instance that cannot take over its session row, and
// a second process with the same ID that keeps a valid lease.
func TestSessionRow(t *testing.T) {
	f := newFleet(1)
	f.run(3)
	f.table.LoseReplies = 1
	f.run(3)
	if got := f.service(0).Authority(); !got.RenewedInPeriod || got.Period != 1 {
		t.Errorf("after a lost response: %+v", got)
	}
	old := f.service(0)
	f.start(instance(0), 2)
	f.run(3)
	if !f.service(0).Valid() {
		t.Error("a restarted instance must take over its session row")
	}
	old.renew(t.Context())
	old.renew(t.Context())
	if old.Valid() {
		t.Error("a superseded process must not hold a valid lease")
	}
}

// Guards against heartbeats above 200 bytes and steady control traffic above 3 KB/s per instance, in a fleet of 9.
func TestHeartbeatTraffic(t *testing.T) {
	const instances, warmUp, window, limit = 9, 3 * time.Second, 10 * time.Second, 3000
	dev, err := peer.NewDevAuthority()
	if err != nil {
		t.Fatal(err)
	}
	directory := &platformfake.Directory{}
	var filters []*peer.FilterConn
	var services []*Service
	for i := range instances {
		self := instance(i)
		self.Addr = "127.0.0.1:0"
		tlsConf, err := dev.TLS(self.ID)
		if err != nil {
			t.Fatal(err)
		}
		transport := peer.New(peer.Config{ID: self.ID, Addr: self.Addr, Session: 1<<63 + uint64(i), TLS: tlsConf, Log: zerolog.Nop(),
			Listen: func(addr string) (net.PacketConn, error) {
				filter, err := peer.ListenFiltered(addr)
				filters = append(filters, filter)
				return filter, err
			}})
		if err := transport.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		self.Addr = transport.Addr()
		s := New(Config{Self: self, Rule: testRule, Clock: clockwork.NewRealClock(), Table: platformfake.NewTable(), Directory: directory,
			Messenger: transport, Revision: func() uint64 { return 1 << 20 }, EndpointVersion: func() uint64 { return 1 << 20 }, Log: zerolog.Nop()})
		directory.Entries = append(directory.Entries, backend.Entry{Kind: backend.EntryInstance, Instance: &self})
		services = append(services, s)
		t.Cleanup(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_ = s.Stop(ctx)
			_ = transport.Stop(ctx)
		})
	}
	for _, s := range services {
		if err := s.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(warmUp)
	before := make([]uint64, instances)
	for i, f := range filters {
		sent, received := f.Bytes()
		before[i] = sent + received
	}
	time.Sleep(window)
	for i, f := range filters {
		sent, received := f.Bytes()
		perSecond := (sent + received - before[i]) / uint64(window/time.Second)
		t.Logf("instance %d: %d UDP payload bytes a second, both directions", i, perSecond)
		if perSecond > limit {
			t.Errorf("instance %d: %d bytes a second, limit %d", i, perSecond, limit)
		}
		if !services[i].Valid() {
			t.Errorf("instance %d holds no valid lease", i)
		}
	}
	services[0].mu.Lock()
	defer services[0].mu.Unlock()
	for id, p := range services[0].peers {
		data, err := peer.Encode(services[0].heartbeatFor(id, p, services[0].Now()))
		if err != nil || len(data) > 200 {
			t.Errorf("heartbeat of %d bytes (%v)", len(data), err)
		}
		t.Logf("heartbeat to %s: %d bytes", id, len(data))
	}
}
