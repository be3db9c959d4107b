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

// fakeMembers is the membership of one instance as the test states it.
type fakeMembers struct {
	session uint64
	own     membership.Authority
	view    *membership.View
	tracked map[api.InstanceID]bool
}

func (f *fakeMembers) View() *membership.View                 { return f.view }
func (f *fakeMembers) Authority() membership.Authority        { return f.own }
func (f *fakeMembers) OnLapse(func(api.InstanceID))           {}
func (f *fakeMembers) Session() uint64                        { return f.session }
func (f *fakeMembers) Track(id api.InstanceID, region string) { f.tracked[id] = true }

type node struct {
	*Service
	members *fakeMembers
	self    api.Instance
	alive   bool
	lapsed  bool
	claimed []api.Unit
	lost    []api.Unit
}

type fleet struct {
	clock   *clockwork.FakeClock
	table   *platformfake.Table
	nodes   []*node
	workers []api.Worker
	history map[string][]Row
	// rowVersions are the versions of the session rows.
	rowVersions map[api.InstanceID]uint64
}

func newFleet(n, racks int) *fleet {
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
	for i := range n {
		location := api.Location{Region: "cairo", DataCentre: "cairo-nasr"}
		nd := &node{self: api.Instance{ID: api.InstanceID(fmt.Sprint("i", i)), Location: location}}
		f.nodes = append(f.nodes, nd)
		f.start(nd)
	}
	f.syncViews()
	return f
}

// start begins a new run of an instance.
func (f *fleet) start(n *node) {
	session := uint64(1)
	if n.members != nil {
		session = n.members.session + 1
	}
	n.members = &fakeMembers{session: session, view: &membership.View{}, tracked: map[api.InstanceID]bool{}}
	n.alive, n.lapsed = true, false
	n.Service = New(Config{
		Self: n.self, Clock: f.clock, Table: f.table, Members: n.members, Log: zerolog.Nop(),
		Claimed: func(unit api.Unit, _ api.Epoch, _ api.InstanceID) { n.claimed = append(n.claimed, unit) },
		Lost:    func(unit api.Unit) { n.lost = append(n.lost, unit) },
	})
	f.regain(n)
	f.renew(n)
}

// regain begins a new term by the word of the majority only.
func (f *fleet) regain(n *node) {
	if !n.members.own.Valid {
		n.members.own = membership.Authority{Valid: true, Term: n.members.own.Term + 1}
	}
}

// renew writes the session row, which anchors the term.
func (f *fleet) renew(n *node) {
	key := membership.SessionKey(n.self.ID)
	txn := backend.Txn{OpID: fmt.Sprint(n.self.ID, n.members.session, f.table.Commits), Writes: []backend.Write{{Key: key}}}
	result, err := f.table.Commit(context.Background(), txn)
	if err != nil {
		return
	}
	f.rowVersions[n.self.ID] = result.Versions[key]
	n.members.own.Anchored = n.members.own.Valid
	n.lapsed = false
}

// syncViews gives every instance the present state; without it views lag.
func (f *fleet) syncViews() {
	for _, n := range f.nodes {
		members := map[api.InstanceID]membership.Member{}
		for _, other := range f.nodes {
			if other == n {
				continue
			}
			m := membership.Member{
				Instance: other.self, Session: other.members.session, Status: membership.StatusLive, Listed: true, Heard: true,
				StoreReachable: true, RowSession: other.members.session, RowVersion: f.rowVersions[other.self.ID],
				Lapsed: other.lapsed, RowLapsed: other.lapsed,
			}
			if !other.alive || !other.members.own.Valid {
				m.Status = membership.StatusSuspect
			}
			members[other.self.ID] = m
		}
		n.members.view = &membership.View{Members: members, Workers: f.workers, DirectoryRead: true, SessionsRead: true}
	}
}

// lapse ends the authority of an instance and lets the others know.
func (f *fleet) lapse(n *node) {
	n.members.own.Valid, n.members.own.Anchored = false, false
	n.lapsed = true
	f.syncViews()
}

func (f *fleet) run(steps int) {
	for range steps {
		f.clock.Advance(pollInterval)
		for _, n := range f.nodes {
			if n.alive && n.members.own.Valid {
				n.Step(context.Background())
			}
		}
	}
}

// check fails if epochs of a unit do not grow with each owner, if an epoch had two owners, or if two instances may use a
// unit at once. Epochs are judged by the committed rows alone.
func (f *fleet) check(t interface{ Fatalf(string, ...any) }) {
	for key, rows := range f.history {
		for i := 1; i < len(rows); i++ {
			before, after := rows[i-1], rows[i]
			// The epoch of a shard also grows with its deputy.
			same := before.Owner == after.Owner && before.Session == after.Session && before.Deputy == after.Deputy
			if same && after.Epoch != before.Epoch || !same && after.Epoch != before.Epoch+1 {
				t.Fatalf("%s: %+v was followed by %+v", key, before, after)
			}
		}
		unit, _ := parseUnitKey(key)
		var users []api.InstanceID
		for _, n := range f.nodes {
			if _, err := n.Check(unit); err == nil && n.alive && unit != api.Coordinator {
				users = append(users, n.self.ID)
			}
		}
		if len(users) > 1 {
			t.Fatalf("%s may be used by %v at once; rows %+v", key, users, rows)
		}
	}
}

func (f *fleet) ownerOf(unit api.Unit) Row {
	rows := f.history[unit.Key()]
	if len(rows) == 0 {
		return Row{}
	}
	return rows[len(rows)-1]
}

func (f *fleet) counts(kind api.UnitKind) map[api.InstanceID]int {
	counts := map[api.InstanceID]int{}
	for key, rows := range f.history {
		if unit, _ := parseUnitKey(key); unit.Kind == kind {
			counts[rows[len(rows)-1].Owner]++
		}
	}
	return counts
}

// gatedTable refuses all calls of one instance while it is cut off.
type gatedTable struct {
	*platformfake.Table
	cut atomic.Bool
}

func (g *gatedTable) refuse() error {
	if g.cut.Load() {
		return fault.New(fault.CodeStoreUnavailable, "gated table", "cut off")
	}
	return nil
}

func (g *gatedTable) Get(ctx context.Context, key string) (backend.Row, error) {
	if err := g.refuse(); err != nil {
		return backend.Row{}, err
	}
	return g.Table.Get(ctx, key)
}

func (g *gatedTable) List(ctx context.Context, prefix string) ([]backend.Row, error) {
	if err := g.refuse(); err != nil {
		return nil, err
	}
	return g.Table.List(ctx, prefix)
}

func (g *gatedTable) Commit(ctx context.Context, txn backend.Txn) (backend.CommitResult, error) {
	if err := g.refuse(); err != nil {
		return backend.CommitResult{}, err
	}
	return g.Table.Commit(ctx, txn)
}
