package duty

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
	if m.RoundTrip > farRoundTrip {
		fitness *= farFactor
	}
	return fitness
}

// Register writes the row of an instance.
func Register(ctx context.Context, table store.Table, m Member) error {
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

// Place returns how many instances other than the present holder carry the duty better than the named one.
func Place(ctx context.Context, table store.Table, name, holder string) (int, error) {
	rows, err := store.List(ctx, table, store.TableMembers, "", "")
	if err != nil {
		return 0, err
	}
	members := make([]Member, 0, len(rows.Rows))
	for _, row := range rows.Rows {
		var m Member
		if cbor.Unmarshal(row.Value, &m) == nil && (m.Name != holder || m.Name == name) {
			members = append(members, m)
		}
	}
	sort.Slice(members, func(i, j int) bool {
		if a, b := members[i].fitness(), members[j].fitness(); a != b {
			return a > b
		}
		return members[i].Name < members[j].Name
	})
	for i, m := range members {
		if m.Name == name {
			return i, nil
		}
	}
	return len(members), nil
}
