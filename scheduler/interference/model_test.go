package interference

import (
	"fmt"
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bronzehook/fault"
)

// train reports that each "noisy" task adds 0.5 to the run time of "victim" at high load, and nothing at low load.
// "quiet" tasks add nothing.
func train(m *Model, reports int) {
	for i := range reports {
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
		{"the aggressor is distinguished from other neighbours", "victim", "noisy", 0.9, 0.5},
		{"a neighbour that causes no interference is predicted to cause none", "victim", "quiet", 0.9, 0},
		{"reports at high load do not change predictions at low load", "victim", "noisy", 0.1, 0},
		{"an unknown victim is predicted from the aggressor's average", "other", "noisy", 0.9, 0.5},
		{"an unknown aggressor is predicted to cause no interference", "victim", "other", 0.9, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m := New(DefaultOptions())
			train(m, 300)
			got := m.ExtraRunTime(m.ID(tc.victim), m.ID(tc.aggressor), tc.load)
			if math.Abs(got-tc.want) > 0.1 {
				t.Errorf("extra = %.3f, want %.3f", got, tc.want)
			}
		})
	}
}

// Guards against memory that grows with every new job name, and against attributing the pairs of a replaced workload to
// the workload that reuses its slot.
func TestMemoryIsBounded(t *testing.T) {
	opts := DefaultOptions()
	opts.MaxPairs, opts.MaxWorkloads = 64, 16
	m := New(opts)
	for i := range 2000 {
		m.Observe(fmt.Sprint("job", i), 3, []Neighbour{{fmt.Sprint("job", i+1), 1}}, 0.9)
	}
	if m.PairCount() > opts.MaxPairs || len(m.workloads) > opts.MaxWorkloads || len(m.slotByName) > opts.MaxWorkloads {
		t.Errorf("%d pairs, %d workloads, %d names", m.PairCount(), len(m.workloads), len(m.slotByName))
	}
	for key, slot := range m.pairs {
		if got := m.pairSlots.get(slot.key); int(got) != key {
			t.Fatalf("pair %d is found in slot %d", key, got)
		}
	}
	if m.pairSlots.occupied != len(m.pairs) {
		t.Errorf("the table holds %d keys for %d pairs", m.pairSlots.occupied, len(m.pairs))
	}
}

func TestExportAndImport(t *testing.T) {
	m := New(DefaultOptions())
	train(m, 100)
	data, err := m.Export()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := Import(data, DefaultOptions())
	if err != nil {
		t.Fatal(err)
	}
	for _, load := range []float64{0.1, 0.5, 0.7, 0.9} {
		want := m.ExtraRunTime(m.ID("victim"), m.ID("noisy"), load)
		if diff := cmp.Diff(want, restored.ExtraRunTime(restored.ID("victim"), restored.ID("noisy"), load)); diff != "" {
			t.Errorf("prediction at load %.1f changed (-want +got):\n%s", load, diff)
		}
	}
	if _, err := Import([]byte("no CBOR"), DefaultOptions()); !fault.Is(err, fault.CodeInvalid) {
		t.Errorf("import of other bytes: %v, want code %s", err, fault.CodeInvalid)
	}
}

// Guards against predictions other than 0 by an untrained or disabled model.
func TestUntrainedModelPredictsNoInterference(t *testing.T) {
	disabled := DefaultOptions()
	disabled.Enabled = false
	for _, m := range []*Model{New(DefaultOptions()), New(disabled)} {
		if got := m.ExtraRunTime(m.ID("a"), m.ID("b"), 1); got != 0 {
			t.Errorf("extra = %f", got)
		}
	}
}
