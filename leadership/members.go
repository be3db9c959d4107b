package leadership

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"bronzehook/store"
)

// Member is the registration of an instance, from which the instance best suited as leader is determined.
type Member struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// CPUShare is the share of a core that the instance may use.
	CPUShare float64
	// RoundTrip is the round-trip time of a short call to the store.
	RoundTrip time.Duration
	// Addr is the address for requests that other instances relay; empty if the instance accepts none.
	Addr string
	// Region is the region of the instance; empty if unknown.
	Region string
}

// memberWithoutRegion and earlierMember are the rows that earlier versions of the program write.
type memberWithoutRegion struct {
	_         struct{} `cbor:",toarray"`
	Name      string
	CPUShare  float64
	RoundTrip time.Duration
	Addr      string
}

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
	var previous memberWithoutRegion
	if cbor.Unmarshal(encoded, &previous) == nil {
		*m = Member{Name: previous.Name, CPUShare: previous.CPUShare, RoundTrip: previous.RoundTrip, Addr: previous.Addr}
		return nil
	}
	var earlier earlierMember
	if cbor.Unmarshal(encoded, &earlier) != nil {
		return err
	}
	*m = Member{Name: earlier.Name, CPUShare: earlier.CPUShare, RoundTrip: earlier.RoundTrip}
	return nil
}

// A store with a round trip above maxLocalRoundTrip is in another region. Each commit takes that much longer, so that the
// fitness of the instance is multiplied by remoteStoreFactor. A leader cannot use more than maxUsefulCPUShare of a core.
const (
	maxLocalRoundTrip = 15 * time.Millisecond
	remoteStoreFactor = 0.5
	maxUsefulCPUShare = 1.0
)

// fitness returns how well the instance is suited as leader; more is better.
func (m *Member) fitness() float64 {
	fitness := min(m.CPUShare, maxUsefulCPUShare)
	if m.StoreIsRemote() {
		fitness *= remoteStoreFactor
	}
	return fitness
}

// CompareFitness orders members by their fitness, the best first, and then by their names.
func CompareFitness(a, b *Member) int {
	return cmp.Or(cmp.Compare(b.fitness(), a.fitness()), cmp.Compare(a.Name, b.Name))
}

// StoreIsRemote reports whether the store is in another region.
func (m *Member) StoreIsRemote() bool { return m.RoundTrip > maxLocalRoundTrip }

// Register writes the row of an instance, unless an earlier incarnation left an equivalent one. Otherwise many instances that
// start at the same time would overload the partition of the store that contains the leadership row.
func Register(ctx context.Context, table store.Table, m Member) error {
	rows, err := store.ReadRow(ctx, table, store.Key{Table: store.TableMembers, Name: m.Name})
	if err != nil {
		return err
	}
	if len(rows.Rows) > 0 {
		var existing Member
		same := existing.decode(rows.Rows[0].Value) == nil && existing.CPUShare == m.CPUShare && existing.StoreIsRemote() == m.StoreIsRemote() && existing.Addr == m.Addr && existing.Region == m.Region
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

// Ranking is the rank of an instance among the candidates for leadership.
type Ranking struct {
	// Rank is the number of instances, other than the current leader, that are better suited.
	Rank int
	// OwnFitness and LeaderFitness are the fitness of this instance and of the current leader; 0 if unknown.
	OwnFitness, LeaderFitness float64
}

// handoverFitnessFactor is the ratio to the leader's fitness above which an instance requests a handover. Proximity to the
// store alone does not reach it.
const handoverFitnessFactor = 2.5

// WorthHandover reports whether this instance is so much better suited than the leader that a handover is worth its cost.
func (r Ranking) WorthHandover() bool {
	return r.LeaderFitness > 0 && r.OwnFitness > handoverFitnessFactor*r.LeaderFitness
}

// Members returns the registered instances. Rows that cannot be decoded are left out.
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

// ReadRanking reads the registered instances and returns the ranking of the named one.
func ReadRanking(ctx context.Context, table store.Table, name, leader string) (Ranking, error) {
	all, err := Members(ctx, table)
	if err != nil {
		return Ranking{}, err
	}
	return RankingOf(all, name, leader), nil
}

// RankingOf returns the ranking of the named instance among the registered ones.
func RankingOf(all []Member, name, leader string) Ranking {
	var ranking Ranking
	members := make([]Member, 0, len(all))
	for _, m := range all {
		if m.Name == leader {
			ranking.LeaderFitness = m.fitness()
		}
		if m.Name == name {
			ranking.OwnFitness = m.fitness()
		}
		if m.Name != leader || m.Name == name {
			members = append(members, m)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return CompareFitness(&a, &b) })
	ranking.Rank = len(members)
	for i, m := range members {
		if m.Name == name {
			ranking.Rank = i
			break
		}
	}
	return ranking
}

// HasSuccessor reports whether the fitness of another registered instance is at least share times that of the named one.
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

// handoverRequest is the row by which an instance requests a handover from the leader of a term.
type handoverRequest struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Epoch uint64
}

var handoverRequestKey = store.Key{Table: store.TableLeadership, Name: "request"}

// readHandoverRequest returns the newest request and its version; the epoch is 0 if there is none or it is unreadable.
func readHandoverRequest(ctx context.Context, table store.Table) (handoverRequest, uint64, error) {
	rows, err := store.ReadRow(ctx, table, handoverRequestKey)
	if err != nil || len(rows.Rows) == 0 {
		return handoverRequest{}, 0, err
	}
	var request handoverRequest
	if cbor.Unmarshal(rows.Rows[0].Value, &request) != nil {
		request = handoverRequest{}
	}
	return request, rows.Rows[0].Version, nil
}

// RequestHandover requests a handover from the leader of a term, unless another instance has already done so.
func RequestHandover(ctx context.Context, table store.Table, name string, epoch uint64) error {
	request, version, err := readHandoverRequest(ctx, table)
	if err != nil || request.Epoch >= epoch {
		return err
	}
	encoded, err := cbor.Marshal(&handoverRequest{Name: name, Epoch: epoch})
	if err != nil {
		return errors.NewAssertionErrorWithWrappedErrf(err, "encoding a handover request")
	}
	_, err = table.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: handoverRequestKey, Version: version}}, Puts: []store.Put{{Key: handoverRequestKey, Value: encoded}},
	})
	return err
}

// HandoverRequester returns the instance that requested a handover from the leader of a term; empty if there is none.
func HandoverRequester(ctx context.Context, table store.Table, epoch uint64) (string, error) {
	request, _, err := readHandoverRequest(ctx, table)
	if err != nil || request.Epoch != epoch {
		return "", err
	}
	return request.Name, nil
}
