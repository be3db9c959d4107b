package leadership

import (
	"context"
	"sort"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"bronzehook/store"
)

// Member is what an instance says of itself, so that the duty goes to the one that carries it best.
type Member struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// CPUShare is the share of a core that the instance may use.
	CPUShare float64
	// RoundTrip is the duration of a short call to the store.
	RoundTrip time.Duration
	// Addr is where the instance takes requests that other instances pass on; empty if it takes none.
	Addr string
}

// earlierMember is the row as earlier versions of this program write it.
type earlierMember struct {
	_         struct{} `cbor:",toarray"`
	Name      string
	CPUShare  float64
	RoundTrip time.Duration
}

func (m *Member) decode(encoded []byte) error {
	err := cbor.Unmarshal(encoded, m)
	if err == nil {
		return nil
	}
	var earlier earlierMember
	if cbor.Unmarshal(encoded, &earlier) != nil {
		return err
	}
	*m = Member{Name: earlier.Name, CPUShare: earlier.CPUShare, RoundTrip: earlier.RoundTrip}
	return nil
}

// farRoundTrip is the round trip from which the store is in another region, farFactor what a share is worth there: each
// commit takes that much longer.
const (
	farRoundTrip = 15 * time.Millisecond
	farFactor    = 0.5
	maxUsedShare = 1.0
)

// fitness is larger for an instance that carries the duty better.
func (m *Member) fitness() float64 {
	fitness := min(m.CPUShare, maxUsedShare)
	if m.far() {
		fitness *= farFactor
	}
	return fitness
}

// far reports whether the store is in another region.
func (m *Member) far() bool { return m.RoundTrip > farRoundTrip }

// Register writes the row of an instance, unless an earlier life has left one that says the same: many instances that start at one
// moment would else fill the part of the store in which the duty's row lies.
func Register(ctx context.Context, table store.Table, m Member) error {
	rows, err := store.ReadRow(ctx, table, store.Key{Table: store.TableMembers, Name: m.Name})
	if err != nil {
		return err
	}
	if len(rows.Rows) > 0 {
		var left Member
		same := left.decode(rows.Rows[0].Value) == nil && left.CPUShare == m.CPUShare && left.far() == m.far() && left.Addr == m.Addr
		if same {
			return nil
		}
	}
	encoded, err := cbor.Marshal(&m)
	if err != nil {
		return errors.NewAssertionErrorWithWrappedErrf(err, "encoding a member")
	}
	_, err = table.Commit(ctx, store.Txn{Puts: []store.Put{
		{Key: store.Key{Table: store.TableMembers, Name: m.Name}, Value: encoded},
	}})
	return err
}

// Deregister removes the row of an instance.
func Deregister(ctx context.Context, table store.Table, name string) error {
	_, err := table.Commit(ctx, store.Txn{Deletes: []store.Key{{Table: store.TableMembers, Name: name}}})
	return err
}

// Ranking is where an instance stands among those that may take the duty.
type Ranking struct {
	// Rank counts the instances other than the present holder that carry the duty better.
	Rank int
	// Own and Leader say how well this instance and the present holder carry it; 0 if that isn't known.
	Own, Leader float64
}

// muchBetter is how many times as well an instance has to carry the duty to ask its holder for it. Nearness to the store alone
// does not suffice.
const muchBetter = 2.5

// WorthHandover reports whether the duty is worth a hand-over to this instance.
func (s Ranking) WorthHandover() bool { return s.Leader > 0 && s.Own > muchBetter*s.Leader }

// Members returns the registered instances. Rows that can't be read are left out.
func Members(ctx context.Context, table store.Table) ([]Member, error) {
	rows, err := store.List(ctx, table, store.TableMembers, "", "")
	if err != nil {
		return nil, err
	}
	members := make([]Member, 0, len(rows.Rows))
	for _, row := range rows.Rows {
		var m Member
		if m.decode(row.Value) == nil {
			members = append(members, m)
		}
	}
	return members, nil
}

// ReadRanking reads where the named instance stands.
func ReadRanking(ctx context.Context, table store.Table, name, holder string) (Ranking, error) {
	all, err := Members(ctx, table)
	if err != nil {
		return Ranking{}, err
	}
	return RankingOf(all, name, holder), nil
}

// RankingOf tells where the named instance stands among the registered ones.
func RankingOf(all []Member, name, holder string) Ranking {
	var standing Ranking
	members := make([]Member, 0, len(all))
	for _, m := range all {
		if m.Name == holder {
			standing.Leader = m.fitness()
		}
		if m.Name == name {
			standing.Own = m.fitness()
		}
		if m.Name != holder || m.Name == name {
			members = append(members, m)
		}
	}
	sort.Slice(members, func(i, j int) bool {
		if a, b := members[i].fitness(), members[j].fitness(); a != b {
			return a > b
		}
		return members[i].Name < members[j].Name
	})
	standing.Rank = len(members)
	for i, m := range members {
		if m.Name == name {
			standing.Rank = i
			break
		}
	}
	return standing
}

// HasSuccessor reports whether another of the registered instances carries the duty at least share times as well as the named one.
func HasSuccessor(members []Member, name string, share float64) bool {
	own := 0.0
	for _, m := range members {
		if m.Name == name {
			own = m.fitness()
		}
	}
	for _, m := range members {
		if m.Name != name && m.fitness() >= share*own {
			return true
		}
	}
	return false
}

// request is the row by which an instance asks the holder of a term for the duty.
type request struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Epoch uint64
}

var requestKey = store.Key{Table: store.TableLeadership, Name: "request"}

// readRequest returns the newest request; its epoch is 0 if there is none that can be read.
func readRequest(ctx context.Context, table store.Table) (request, uint64, error) {
	rows, err := store.ReadRow(ctx, table, requestKey)
	if err != nil || len(rows.Rows) == 0 {
		return request{}, 0, err
	}
	var r request
	if cbor.Unmarshal(rows.Rows[0].Value, &r) != nil {
		r = request{}
	}
	return r, rows.Rows[0].Version, nil
}

// RequestHandover asks the holder of a term for the duty, unless another instance has done so.
func RequestHandover(ctx context.Context, table store.Table, name string, epoch uint64) error {
	asked, version, err := readRequest(ctx, table)
	if err != nil || asked.Epoch >= epoch {
		return err
	}
	encoded, err := cbor.Marshal(&request{Name: name, Epoch: epoch})
	if err != nil {
		return errors.NewAssertionErrorWithWrappedErrf(err, "encoding a request for the duty")
	}
	_, err = table.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: requestKey, Version: version}}, Puts: []store.Put{{Key: requestKey, Value: encoded}},
	})
	return err
}

// HandoverRequester returns which instance asks the holder of a term for the duty; it is empty if none does.
func HandoverRequester(ctx context.Context, table store.Table, epoch uint64) (string, error) {
	asked, _, err := readRequest(ctx, table)
	if err != nil || asked.Epoch != epoch {
		return "", err
	}
	return asked.Name, nil
}
