package duty_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"bronzehook/duty"
	"bronzehook/fault"
	"bronzehook/store"
	"bronzehook/store/memory"
)

// fakeClock is a boot-time clock that the test moves.
type fakeClock struct{ now time.Duration }

func (c *fakeClock) read() time.Duration { return c.now }

func observe(t *testing.T, c *duty.Candidate) duty.Observation {
	t.Helper()
	seen, err := c.Observe(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return seen
}

func take(t *testing.T, c *duty.Candidate) *duty.Holder {
	t.Helper()
	holder, err := c.Take(context.Background(), observe(t, c))
	if err != nil {
		t.Fatal(err)
	}
	return holder
}

// Guards against two holders: a holder stops giving orders before any other instance may take over.
func TestHolderLapsesBeforeAnotherMayTakeOver(t *testing.T) {
	table := memory.New()
	clock := &fakeClock{now: time.Hour}
	holder := take(t, duty.NewCandidate(table, clock.read, "a", 1))
	other := duty.NewCandidate(table, clock.read, "b", 2)
	observe(t, other)
	for step := 0; step < 50; step++ {
		clock.now += 100 * time.Millisecond
		vacant := other.Vacant(observe(t, other))
		if vacant && holder.Valid() {
			t.Fatalf("after %v both may act", clock.now-time.Hour)
		}
		if vacant {
			return
		}
	}
	t.Fatal("the duty never became vacant")
}

// Guards against a suspended holder that acts on waking: the clock counts the time that the machine stood still.
func TestSuspendedHolderIsNotValid(t *testing.T) {
	clock := &fakeClock{now: time.Hour}
	holder := take(t, duty.NewCandidate(memory.New(), clock.read, "a", 1))
	clock.now += duty.Validity
	if holder.Valid() {
		t.Error("a holder that slept through its validity may act")
	}
}

// Guards against a holder that was replaced and still changes rows.
func TestReplacedHolderCommitsNothing(t *testing.T) {
	table := memory.New()
	clock := &fakeClock{now: time.Hour}
	old := take(t, duty.NewCandidate(table, clock.read, "a", 1))
	successor := take(t, duty.NewCandidate(table, clock.read, "b", 2))
	if successor.Epoch() <= old.Epoch() {
		t.Errorf("epoch %d does not exceed %d", successor.Epoch(), old.Epoch())
	}
	key := store.Key{Table: "x", Name: "y"}
	_, err := old.Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: key, Value: []byte("old")}}})
	var lost *duty.LostError
	if !errors.As(err, &lost) {
		t.Fatalf("commit of a replaced holder: %v", err)
	}
	if old.Valid() {
		t.Error("a replaced holder may still give orders")
	}
	if table.Value(key) != nil {
		t.Error("a replaced holder changed a row")
	}
}

// Guards against a late write: after a commit without an answer the holder goes on, and what it sent first can't undo
// what it sent later.
func TestCommitWithoutAnswerIsResolved(t *testing.T) {
	for name, c := range map[string]struct{ mode memory.Mode }{
		"carried out":      {memory.ModeLost},
		"not carried out":  {memory.ModeDropped},
		"carried out late": {memory.ModeLate},
	} {
		t.Run(name, func(t *testing.T) {
			table := memory.New()
			clock := &fakeClock{now: time.Hour}
			holder := take(t, duty.NewCandidate(table, clock.read, "a", 1))
			key := store.Key{Table: "x", Name: "y"}
			commit := func(value string) error {
				_, err := holder.Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: key, Value: []byte(value)}}})
				return err
			}
			table.SetMode(c.mode)
			if err := commit("first"); fault.CodeOf(err) != fault.CodeOutcomeUnknown {
				t.Fatalf("first commit: %v", err)
			}
			table.SetMode(memory.ModeNone)
			err := commit("second")
			if fault.CodeOf(err) == fault.CodeConflict {
				err = commit("second")
			}
			if err != nil {
				t.Fatalf("second commit: %v", err)
			}
			table.DeliverLate()
			if got := string(table.Value(key)); got != "second" {
				t.Errorf("the row holds %q", got)
			}
			if !holder.Valid() {
				t.Error("the holder lost its duty")
			}
		})
	}
}

// Guards against a hand-over that waits for a lapse although the holder has stopped in an orderly way.
func TestReleasedDutyIsVacantAtOnce(t *testing.T) {
	table := memory.New()
	clock := &fakeClock{now: time.Hour}
	holder := take(t, duty.NewCandidate(table, clock.read, "a", 1))
	if err := holder.Release(context.Background()); err != nil {
		t.Fatal(err)
	}
	if holder.Valid() {
		t.Error("a holder that released the duty may give orders")
	}
	other := duty.NewCandidate(table, clock.read, "b", 2)
	if !other.Vacant(observe(t, other)) {
		t.Error("a released duty is not vacant")
	}
}

// Guards against a restarted process that waits for its own earlier life to lapse.
func TestOwnEarlierLifeIsVacantAtOnce(t *testing.T) {
	table := memory.New()
	clock := &fakeClock{now: time.Hour}
	take(t, duty.NewCandidate(table, clock.read, "a", 1))
	again := duty.NewCandidate(table, clock.read, "a", 2)
	if !again.Vacant(observe(t, again)) {
		t.Error("the row of the own earlier life is not vacant")
	}
}

// Guards against a duty on the smallest instance while larger ones are there.
func TestPlaceFollowsWhatInstancesCarry(t *testing.T) {
	table := memory.New()
	for _, m := range []duty.Member{
		{Name: "small", CPUShare: 0.1, RoundTrip: time.Millisecond},
		{Name: "large", CPUShare: 0.8, RoundTrip: time.Millisecond},
		{Name: "largest and far", CPUShare: 1, RoundTrip: 30 * time.Millisecond},
	} {
		if err := duty.Register(context.Background(), table, m); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		name, holder string
		want         int
	}{
		{"large", "", 0}, {"largest and far", "", 1}, {"small", "", 2}, {"largest and far", "large", 0}, {"unknown", "", 3},
	} {
		got, err := duty.Place(context.Background(), table, c.name, c.holder)
		if err != nil || got != c.want {
			t.Errorf("%s after %q: place %d, %v; want %d", c.name, c.holder, got, err, c.want)
		}
	}
}
