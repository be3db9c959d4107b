package execution

import (
	"testing"
	"time"

	"bronzehook/jobs"
	"bronzehook/placement"
	"bronzehook/store"
	"bronzehook/store/memory"
)

// Guards against a term that tries every pair of images anew, and against one that fails for want of experience.
func TestNewLeaderRestoresInterferenceState(t *testing.T) {
	table := memory.New()
	first := newRig(t, table)
	for range 200 {
		first.interference.Learn(placement.Sample{Job: "a", Image: "serve", Tail: 8 * time.Millisecond, At: first.clock})
		first.interference.Learn(placement.Sample{
			Job: "a", Image: "serve", Tail: 40 * time.Millisecond, Fillers: map[string]float64{"loud": 0.1}, At: first.clock,
		})
	}
	learned := first.interference.Effect("serve", "loud")
	first.commitAll()

	second := newRig(t, table)
	if _, err := second.load(); err != nil {
		t.Fatal(err)
	}
	if got := second.interference.Effect("serve", "loud"); got != learned {
		t.Errorf("effect %v, want %v", got, learned)
	}

	if _, err := table.Commit(second.ctx, store.Txn{Puts: []store.Put{{Key: store.InterferenceKey, Value: []byte("?")}}}); err != nil {
		t.Fatal(err)
	}
	third := newRig(t, table)
	if _, err := third.load(); err != nil {
		t.Errorf("an unreadable experience stops a term: %v", err)
	}
}

// Guards against stored figures that would keep all fillers out or let all in.
func TestInvalidInterferenceStateIsIgnored(t *testing.T) {
	for name, effect := range map[string]jobs.Effect{
		"negative effect":    {Serving: "s", Filler: "f", Mean: -1, Variance: 0.1},
		"boundless effect":   {Serving: "s", Filler: "f", Mean: 1e9, Variance: 0.1},
		"no variance":        {Serving: "s", Filler: "f", Mean: 1},
		"boundless variance": {Serving: "s", Filler: "f", Mean: 1, Variance: 1e9},
	} {
		t.Run(name, func(t *testing.T) {
			d := placement.NewInterferenceModel()
			unknown := d.Effect("s", "f")
			d.Restore(&jobs.InterferenceState{Lowest: map[string]int64{"s": -1}, Effects: []jobs.Effect{effect}})
			if got := d.Effect("s", "f"); got != unknown {
				t.Errorf("effect %v, want %v", got, unknown)
			}
		})
	}
}
