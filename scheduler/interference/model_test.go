package interference

import (
	"fmt"
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bronzehook/fault"
)

// teach reports a victim that suffers 0.5 from each "noisy" and nothing from "quiet", at high load only.
func teach(m *Model, rounds int) {
	for i := range rounds {
		noisy, load := i%3, 0.9
		m.Observe("victim", 1+0.5*float64(noisy), []Neighbour{{"noisy", noisy}, {"quiet", 1 + i%2}}, load)
		m.Observe("victim", 1, []Neighbour{{"noisy", noisy}, {"quiet", 1}}, 0.1)
	}
}

func TestExtra(t *testing.T) {
	for _, tc := range []struct {
		name              string
		victim, aggressor string
		load              float64
		want              float64
	}{
		{"the aggressor is told apart from a bystander", "victim", "noisy", 0.9, 0.5},
		{"the bystander is not blamed", "victim", "quiet", 0.9, 0},
		{"what was learned at high load does not hold at low load", "victim", "noisy", 0.1, 0},
		{"an unknown victim is predicted from the aggressor's average", "other", "noisy", 0.9, 0.5},
		{"an unknown aggressor is not feared", "victim", "other", 0.9, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m := New(DefaultOptions())
			teach(m, 300)
			got := m.Extra(m.ID(tc.victim), m.ID(tc.aggressor), tc.load)
			if math.Abs(got-tc.want) > 0.1 {
				t.Errorf("extra = %.3f, want %.3f", got, tc.want)
			}
		})
	}
}

// Guards against memory that grows with every job name ever seen, and against a forgotten name's pairs being taken for
// those of its successor.
func TestMemoryIsBounded(t *testing.T) {
	opts := DefaultOptions()
	opts.MaxPairs, opts.MaxWorks = 64, 16
	m := New(opts)
	for i := range 2000 {
		m.Observe(fmt.Sprint("job", i), 3, []Neighbour{{fmt.Sprint("job", i+1), 1}}, 0.9)
	}
	if m.Pairs() > opts.MaxPairs || len(m.works) > opts.MaxWorks || len(m.ids) > opts.MaxWorks {
		t.Errorf("%d pairs, %d works, %d names", m.Pairs(), len(m.works), len(m.ids))
	}
	for key, slot := range m.pairs {
		if got := m.index.get(slot.key); int(got) != key {
			t.Fatalf("pair %d is found in slot %d", key, got)
		}
	}
	if m.index.used != len(m.pairs) {
		t.Errorf("the table holds %d keys for %d pairs", m.index.used, len(m.pairs))
	}
}

func TestExportAndImport(t *testing.T) {
	m := New(DefaultOptions())
	teach(m, 100)
	data, err := m.Export()
	if err != nil {
		t.Fatal(err)
	}
	back, err := Import(data, DefaultOptions())
	if err != nil {
		t.Fatal(err)
	}
	for _, load := range []float64{0.1, 0.5, 0.7, 0.9} {
		want := m.Extra(m.ID("victim"), m.ID("noisy"), load)
		if diff := cmp.Diff(want, back.Extra(back.ID("victim"), back.ID("noisy"), load)); diff != "" {
			t.Errorf("prediction at load %.1f changed (-want +got):\n%s", load, diff)
		}
	}
	if _, err := Import([]byte("no CBOR"), DefaultOptions()); !fault.Is(err, fault.CodeInvalid) {
		t.Errorf("import of other bytes: %v, want code %s", err, fault.CodeInvalid)
	}
}

// Guards against predictions of a model that is switched off or has learned nothing.
func TestNothingLearnedPredictsNothing(t *testing.T) {
	off := DefaultOptions()
	off.Enabled = false
	for _, m := range []*Model{New(DefaultOptions()), New(off)} {
		if got := m.Extra(m.ID("a"), m.ID("b"), 1); got != 0 {
			t.Errorf("extra = %f", got)
		}
	}
}
