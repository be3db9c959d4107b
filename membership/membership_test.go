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

var testRule = authority.Rule{Hold: authority.DefaultHold}

// fakeNet delivers heartbeats at once, except over cut links.
type fakeNet struct {
	handlers map[string]peer.Handler
	cut      map[string]bool
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
	if handler == nil || f.net.cut[f.self.Addr] || f.net.cut[addr] {
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
		net:       &fakeNet{handlers: map[string]peer.Handler{}, cut: map[string]bool{}},
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

// run lets seconds pass; every instance does in each what its loops do.
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
			s.beat(context.Background(), maxPeersPerTick)
			s.tasks.Wait()
		}
	}
}

func (f *fleet) kill(i int) {
	delete(f.services, instance(i).ID)
	f.net.cut[instance(i).Addr] = true
}

func (f *fleet) at(i int) *Service { return f.services[instance(i).ID] }

// Guards against authority or verdicts that do not survive the faults of the page.
func TestAuthorityUnderFaults(t *testing.T) {
	cases := []struct {
		name   string
		fault  func(f *fleet)
		valid0 bool
		lapsed bool
	}{
		{"nothing fails", func(*fleet) {}, true, false},
		{"the store being down must not end authority", func(f *fleet) { f.table.Down = true }, true, false},
		{"a cut link must not end the authority of an instance that the store hears", func(f *fleet) { f.net.cut[instance(0).Addr] = true }, true, false},
		{"an instance cut off from peers and store must lose authority and not lapse while rows cannot be read", func(f *fleet) {
			f.table.Down = true
			f.net.cut[instance(0).Addr] = true
		}, false, false},
		{"a paused instance must lapse", func(f *fleet) { f.paused[instance(0).ID] = true }, false, true},
		{"a directory that omits a live instance must not end its authority", func(f *fleet) {
			f.directory.Entries = f.directory.Entries[1:]
		}, true, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(3)
			f.run(10)
			tc.fault(f)
			f.run(10)
			if got := f.at(0).Valid(); got != tc.valid0 {
				t.Errorf("valid = %v, want %v", got, tc.valid0)
			}
			if got := f.at(1).Lapsed(instance(0).ID); got != tc.lapsed {
				t.Errorf("lapsed = %v, want %v", got, tc.lapsed)
			}
		})
	}
}

// Guards against a woken or restarted instance going on in its old term, and against a term that never anchors again.
func TestPausedInstanceBeginsNewTerm(t *testing.T) {
	f := newFleet(3)
	f.run(5)
	before := f.at(0).Authority()
	if !before.Valid || !before.Anchored {
		t.Fatalf("authority before the pause: %+v", before)
	}
	f.paused[instance(0).ID] = true
	f.run(8)
	if f.at(0).Valid() {
		t.Error("an instance must not hold authority right after it woke up")
	}
	f.paused[instance(0).ID] = false
	f.run(3)
	after := f.at(0).Authority()
	if !after.Anchored || after.Term <= before.Term || f.at(1).Lapsed(instance(0).ID) {
		t.Errorf("authority after the pause: %+v, before: %+v", after, before)
	}
}

// Guards against a dead instance that stays live because the directory still lists it, a live one that is unknown because
// the directory omits it, and a leaving one that still counts as live.
func TestStatuses(t *testing.T) {
	f := newFleet(3)
	f.directory.Entries = f.directory.Entries[:2]
	f.run(5)
	if m := f.at(0).View().Members[instance(2).ID]; m.Status != StatusLive || m.Listed || m.Instance.Location.Region != "cornwall" {
		t.Errorf("unlisted live instance: %+v", m)
	}
	f.kill(1)
	f.at(2).SetLeaving()
	f.at(2).tasks.Wait()
	if m := f.at(0).View().Members[instance(2).ID]; m.Status != StatusLeaving {
		t.Errorf("leaving instance has status %s at once", m.Status)
	}
	f.run(4)
	if m := f.at(0).View().Members[instance(1).ID]; m.Status != StatusSuspect || !m.Listed {
		t.Errorf("dead listed instance: %+v", m)
	}
}

// Guards against a lost reply that stops the renewals, a restart that cannot take its row over, and a second process of
// the same ID that keeps authority.
func TestSessionRow(t *testing.T) {
	f := newFleet(1)
	f.run(3)
	f.table.LoseReplies = 1
	f.run(3)
	if got := f.at(0).Authority(); !got.Anchored || got.Term != 1 {
		t.Errorf("after a lost reply: %+v", got)
	}
	old := f.at(0)
	f.start(instance(0), 2)
	f.run(3)
	if !f.at(0).Valid() {
		t.Error("a restarted instance must take its row over")
	}
	old.renew(t.Context())
	old.renew(t.Context())
	if old.Valid() {
		t.Error("a superseded process must not hold authority")
	}
}

// Guards against heartbeats that outgrow 200 bytes at 9 instances, and steady control traffic above 3 KB/s.
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
			t.Errorf("instance %d holds no authority", i)
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
