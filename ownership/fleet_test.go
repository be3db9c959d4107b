package ownership

import (
	"context"
	"fmt"
	"sync/atomic"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"bronzehook/api"
	"bronzehook/backend"
	"bronzehook/fault"
	"bronzehook/membership"
	"bronzehook/membership/platformfake"
	"bronzehook/peer"
)

// fakeMembers is a Members whose state the test sets.
type fakeMembers struct {
	session uint64
	lease   membership.Authority
	view    *membership.View
	tracked map[api.InstanceID]bool
}

func (f *fakeMembers) View() *membership.View                 { return f.view }
func (f *fakeMembers) Authority() membership.Authority        { return f.lease }
func (f *fakeMembers) OnExpiry(func(api.InstanceID))          {}
func (f *fakeMembers) Session() uint64                        { return f.session }
func (f *fakeMembers) Track(id api.InstanceID, region string) { f.tracked[id] = true }

type testInstance struct {
	*Service
	members       *fakeMembers
	self          api.Instance
	running       bool
	leaseExpired  bool
	acquiredUnits []api.Unit
	lostUnits     []api.Unit
}

type fleet struct {
	clock     *clockwork.FakeClock
	table     *platformfake.Table
	instances []*testInstance
	workers   []api.Worker
	history   map[string][]Row
	// rowVersions are the versions of the session rows.
	rowVersions map[api.InstanceID]uint64
}

func newFleet(count, racks int) *fleet {
	f := &fleet{clock: clockwork.NewFakeClock(), table: platformfake.NewTable(), history: map[string][]Row{}, rowVersions: map[api.InstanceID]uint64{}}
	f.table.OnWrite = func(row backend.Row) {
		var value Row
		if _, ok := parseUnitKey(row.Key); ok && peer.Decode(row.Value, &value) == nil {
			f.history[row.Key] = append(f.history[row.Key], value)
		}
	}
	for i := range racks {
		f.workers = append(f.workers, api.Worker{Location: api.Location{Region: "cairo", DataCentre: "cairo-nasr", Rack: fmt.Sprint(i)}})
	}
	for i := range count {
		location := api.Location{Region: "cairo", DataCentre: "cairo-nasr"}
		n := &testInstance{self: api.Instance{ID: api.InstanceID(fmt.Sprint("i", i)), Location: location}}
		f.instances = append(f.instances, n)
		f.start(n)
	}
	f.syncViews()
	return f
}

// start starts a new incarnation of an instance.
func (f *fleet) start(n *testInstance) {
	session := uint64(1)
	if n.members != nil {
		session = n.members.session + 1
	}
	n.members = &fakeMembers{session: session, view: &membership.View{}, tracked: map[api.InstanceID]bool{}}
	n.running, n.leaseExpired = true, false
	n.Service = New(Config{
		Self: n.self, Clock: f.clock, Table: f.table, Members: n.members, Log: zerolog.Nop(),
		Acquired: func(unit api.Unit, _ api.Epoch, _ api.InstanceID) { n.acquiredUnits = append(n.acquiredUnits, unit) },
		Lost:     func(unit api.Unit) { n.lostUnits = append(n.lostUnits, unit) },
	})
	f.regainLease(n)
	f.renewSessionRow(n)
}

// regainLease starts a new lease period, as after a confirmation by a majority; the session row is not renewed yet.
func (f *fleet) regainLease(n *testInstance) {
	if !n.members.lease.Valid {
		n.members.lease = membership.Authority{Valid: true, Period: n.members.lease.Period + 1}
	}
}

// renewSessionRow renews the session row in the current lease period.
func (f *fleet) renewSessionRow(n *testInstance) {
	key := membership.SessionKey(n.self.ID)
	txn := backend.Txn{OpID: fmt.Sprint(n.self.ID, n.members.session, f.table.Commits), Writes: []backend.Write{{Key: key}}}
	result, err := f.table.Commit(context.Background(), txn)
	if err != nil {
		return
	}
	f.rowVersions[n.self.ID] = result.Versions[key]
	n.members.lease.RenewedInPeriod = n.members.lease.Valid
	n.leaseExpired = false
}

// syncViews gives every instance a view of the current state; until the next call the views are out of date.
func (f *fleet) syncViews() {
	for _, n := range f.instances {
		members := map[api.InstanceID]membership.Member{}
		for _, other := range f.instances {
			if other == n {
				continue
			}
			m := membership.Member{
				Instance: other.self, Session: other.members.session, Status: membership.StatusLive, Listed: true, HeartbeatReceived: true,
				StoreReachable: true, RowSession: other.members.session, RowVersion: f.rowVersions[other.self.ID],
				Expired: other.leaseExpired, RowExpired: other.leaseExpired,
			}
			if !other.running || !other.members.lease.Valid {
				m.Status = membership.StatusSuspect
			}
			members[other.self.ID] = m
		}
		n.members.view = &membership.View{Members: members, Workers: f.workers, DirectoryRead: true, SessionsRead: true}
	}
}

// expireLease lets the instance lease of an instance expire and updates the views of all instances.
func (f *fleet) expireLease(n *testInstance) {
	n.members.lease.Valid, n.members.lease.RenewedInPeriod = false, false
	n.leaseExpired = true
	f.syncViews()
}

func (f *fleet) poll(steps int) {
	for range steps {
		f.clock.Advance(pollInterval)
		for _, n := range f.instances {
			if n.running && n.members.lease.Valid {
				n.Step(context.Background())
			}
		}
	}
}

// checkInvariants fails if the ownership epoch of a unit was not raised with each change of owner, if an ownership
// epoch had two owners, or if two instances may use a unit at once. Ownership epochs are taken from the committed rows
// only.
func (f *fleet) checkInvariants(t interface{ Fatalf(string, ...any) }) {
	for key, rows := range f.history {
		for i := 1; i < len(rows); i++ {
			before, after := rows[i-1], rows[i]
			// The ownership epoch of a shard is also raised when its backup changes.
			same := before.Owner == after.Owner && before.Session == after.Session && before.Backup == after.Backup
			if same && after.Epoch != before.Epoch || !same && after.Epoch != before.Epoch+1 {
				t.Fatalf("%s: %+v was followed by %+v", key, before, after)
			}
		}
		unit, _ := parseUnitKey(key)
		var usableBy []api.InstanceID
		for _, n := range f.instances {
			if _, err := n.Check(unit); err == nil && n.running && unit != api.Coordinator {
				usableBy = append(usableBy, n.self.ID)
			}
		}
		if len(usableBy) > 1 {
			t.Fatalf("%s may be used by %v at once; rows %+v", key, usableBy, rows)
		}
	}
}

func (f *fleet) currentRow(unit api.Unit) Row {
	rows := f.history[unit.Key()]
	if len(rows) == 0 {
		return Row{}
	}
	return rows[len(rows)-1]
}

func (f *fleet) ownedCounts(kind api.UnitKind) map[api.InstanceID]int {
	counts := map[api.InstanceID]int{}
	for key, rows := range f.history {
		if unit, _ := parseUnitKey(key); unit.Kind == kind {
			counts[rows[len(rows)-1].Owner]++
		}
	}
	return counts
}

// gatedTable fails all calls of one instance while that instance is partitioned from the table.
type gatedTable struct {
	*platformfake.Table
	partitioned atomic.Bool
}

func (g *gatedTable) checkPartition() error {
	if g.partitioned.Load() {
		return fault.New(fault.CodeStoreUnavailable, "gated table", "network partition")
	}
	return nil
}

func (g *gatedTable) Get(ctx context.Context, key string) (backend.Row, error) {
	if err := g.checkPartition(); err != nil {
		return backend.Row{}, err
	}
	return g.Table.Get(ctx, key)
}

func (g *gatedTable) List(ctx context.Context, prefix string) ([]backend.Row, error) {
	if err := g.checkPartition(); err != nil {
		return nil, err
	}
	return g.Table.List(ctx, prefix)
}

func (g *gatedTable) Commit(ctx context.Context, txn backend.Txn) (backend.CommitResult, error) {
	if err := g.checkPartition(); err != nil {
		return backend.CommitResult{}, err
	}
	return g.Table.Commit(ctx, txn)
}
