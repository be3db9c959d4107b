package leadership_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"bronzehook/fault"
	"bronzehook/leadership"
	"bronzehook/store"
	"bronzehook/store/memory"
)

// fakeClock is a boot-time clock that the test moves.
type fakeClock struct{ now time.Duration }

func (c *fakeClock) read() time.Duration { return c.now }

func observe(t *testing.T, c *leadership.Candidate) leadership.Observation {
	t.Helper()
	seen, err := c.Observe(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return seen
}

func take(t *testing.T, c *leadership.Candidate) *leadership.Leader {
	t.Helper()
	holder, err := c.Acquire(context.Background(), observe(t, c))
	if err != nil {
		t.Fatal(err)
	}
	return holder
}

// Guards against two holders: a holder stops giving orders before any other instance may take over.
func TestHolderLapsesBeforeAnotherMayTakeOver(t *testing.T) {
	table := memory.New()
	clock := &fakeClock{now: time.Hour}
	holder := take(t, leadership.NewCandidate(table, clock.read, "a", 1))
	other := leadership.NewCandidate(table, clock.read, "b", 2)
	observe(t, other)
	for step := 0; step < 50; step++ {
		clock.now += 100 * time.Millisecond
		vacant := other.Claimable(observe(t, other))
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
	holder := take(t, leadership.NewCandidate(memory.New(), clock.read, "a", 1))
	clock.now += leadership.MaxLeaseDuration
	if holder.Valid() {
		t.Error("a holder that slept through its validity may act")
	}
}

// Guards against a holder that was replaced and still changes rows.
func TestReplacedHolderCommitsNothing(t *testing.T) {
	table := memory.New()
	clock := &fakeClock{now: time.Hour}
	old := take(t, leadership.NewCandidate(table, clock.read, "a", 1))
	successor := take(t, leadership.NewCandidate(table, clock.read, "b", 2))
	if successor.Epoch() <= old.Epoch() {
		t.Errorf("epoch %d does not exceed %d", successor.Epoch(), old.Epoch())
	}
	key := store.Key{Table: "x", Name: "y"}
	_, err := old.Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: key, Value: []byte("old")}}})
	var lost *leadership.LostError
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
			holder := take(t, leadership.NewCandidate(table, clock.read, "a", 1))
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

// twiceTable carries each commit out twice and gives the answer to the second, as for a call that was repeated.
type twiceTable struct{ *memory.Table }

func (t twiceTable) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	_, _ = t.Table.Commit(ctx, txn)
	return t.Table.Commit(ctx, txn)
}

// Guards against a claim or commit that counts as failed, and is written again, because the answer came to a copy of it; and against
// one that counts as done because an earlier one was.
func TestConflictWithItsOwnEffectIsSuccess(t *testing.T) {
	inner := memory.New()
	clock := &fakeClock{now: time.Hour}
	holder := take(t, leadership.NewCandidate(twiceTable{inner}, clock.read, "a", 1))
	key := store.Key{Table: "x", Name: "y"}
	commit := func(value string) error {
		_, err := holder.Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: key, Value: []byte(value)}}})
		return err
	}
	clock.now += leadership.MinLeaseDuration / 2
	if err := commit("one"); err != nil || holder.Age() != 0 {
		t.Fatalf("commit that was carried out: %v, age %v", err, holder.Age())
	}
	inner.SetMode(memory.ModeLost)
	if err := commit("two"); fault.CodeOf(err) != fault.CodeOutcomeUnknown {
		t.Fatalf("commit without an answer: %v", err)
	}
	inner.SetMode(memory.ModeNone)
	if err := commit("three"); fault.CodeOf(err) != fault.CodeConflict {
		t.Errorf("commit after one that took effect without an answer: %v", err)
	}
	if got := string(inner.Value(key)); got != "two" {
		t.Errorf("the row holds %q, want \"two\"", got)
	}
}

// Guards against a hand-over that waits for a lapse although the holder has stopped in an orderly way.
func TestReleasedDutyIsVacantAtOnce(t *testing.T) {
	table := memory.New()
	clock := &fakeClock{now: time.Hour}
	holder := take(t, leadership.NewCandidate(table, clock.read, "a", 1))
	if err := holder.Release(context.Background()); err != nil {
		t.Fatal(err)
	}
	if holder.Valid() {
		t.Error("a holder that released the duty may give orders")
	}
	other := leadership.NewCandidate(table, clock.read, "b", 2)
	if !other.Claimable(observe(t, other)) {
		t.Error("a released duty is not vacant")
	}
}

// Guards against a restarted process that waits for its own earlier life to lapse.
func TestOwnEarlierLifeIsVacantAtOnce(t *testing.T) {
	table := memory.New()
	clock := &fakeClock{now: time.Hour}
	take(t, leadership.NewCandidate(table, clock.read, "a", 1))
	again := leadership.NewCandidate(table, clock.read, "a", 2)
	if !again.Claimable(observe(t, again)) {
		t.Error("the row of the own earlier life is not vacant")
	}
}

// Guards against a duty on the smallest instance while larger ones are there.
func TestPlaceFollowsWhatInstancesCarry(t *testing.T) {
	table := memory.New()
	for _, m := range []leadership.Member{
		{Name: "small", CPUShare: 0.1, RoundTrip: time.Millisecond},
		{Name: "large", CPUShare: 0.8, RoundTrip: time.Millisecond},
		{Name: "largest and far", CPUShare: 1, RoundTrip: 30 * time.Millisecond},
	} {
		if err := leadership.Register(context.Background(), table, m); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		name, holder string
		want         int
	}{
		{"large", "", 0}, {"largest and far", "", 1}, {"small", "", 2}, {"largest and far", "large", 0}, {"unknown", "", 3},
	} {
		standing, err := leadership.ReadRanking(context.Background(), table, c.name, c.holder)
		got := standing.Rank
		if err != nil || got != c.want {
			t.Errorf("%s after %q: place %d, %v; want %d", c.name, c.holder, got, err, c.want)
		}
	}
}

// Guards against hundreds of instances that start at one moment and fill the part of the store in which the duty's row lies, so
// that nobody can take it.
func TestRegisteringAgainWritesNothingThatIsKnown(t *testing.T) {
	table := memory.New()
	key := store.Key{Table: store.TableMembers, Name: "a"}
	version := func(m leadership.Member) uint64 {
		if err := leadership.Register(context.Background(), table, m); err != nil {
			t.Fatal(err)
		}
		rows, err := store.ReadRow(context.Background(), table, key)
		if err != nil || len(rows.Rows) != 1 {
			t.Fatalf("%v, %v", rows, err)
		}
		return rows.Rows[0].Version
	}
	first := version(leadership.Member{Name: "a", CPUShare: 0.2, RoundTrip: 4 * time.Millisecond})
	if again := version(leadership.Member{Name: "a", CPUShare: 0.2, RoundTrip: 9 * time.Millisecond}); again != first {
		t.Error("written again")
	}
	if larger := version(leadership.Member{Name: "a", CPUShare: 0.8, RoundTrip: 9 * time.Millisecond}); larger == first {
		t.Error("a change is not written")
	}
	if far := version(leadership.Member{Name: "a", CPUShare: 0.8, RoundTrip: 40 * time.Millisecond}); far == first {
		t.Error("a change of the region is not written")
	}
}

// Guards against a race: orders read the epoch while the duty is renewed. CI runs this with the race detector.
func TestEpochIsReadWhileTheDutyIsRenewed(t *testing.T) {
	clock := &fakeClock{now: time.Hour}
	holder := take(t, leadership.NewCandidate(memory.New(), clock.read, "a", 1))
	renewed := make(chan error, 1)
	go func() {
		for range 100 {
			if _, err := holder.Commit(context.Background(), store.Txn{}); err != nil {
				renewed <- err
				return
			}
		}
		renewed <- nil
	}()
	for range 1000 {
		if holder.Epoch() != 1 {
			t.Fatal("the epoch changed")
		}
	}
	if err := <-renewed; err != nil {
		t.Error(err)
	}
}

// Guards against hand-overs that gain little, and against a small instance that keeps the duty beside a large one.
func TestDutyIsWorthAHandOverToAMuchBetterInstanceOnly(t *testing.T) {
	for name, c := range map[string]struct {
		own, holder leadership.Member
		want        bool
	}{
		"much larger":        {leadership.Member{Name: "own", CPUShare: 0.8}, leadership.Member{Name: "holder", CPUShare: 0.11}, true},
		"nearer alone":       {leadership.Member{Name: "own", CPUShare: 0.16}, leadership.Member{Name: "holder", CPUShare: 0.16, RoundTrip: time.Second}, false},
		"a little larger":    {leadership.Member{Name: "own", CPUShare: 0.2}, leadership.Member{Name: "holder", CPUShare: 0.16}, false},
		"larger but far":     {leadership.Member{Name: "own", CPUShare: 0.4, RoundTrip: time.Second}, leadership.Member{Name: "holder", CPUShare: 0.11}, false},
		"holder not on list": {leadership.Member{Name: "own", CPUShare: 0.8}, leadership.Member{Name: "another", CPUShare: 0.1}, false},
	} {
		t.Run(name, func(t *testing.T) {
			table := memory.New()
			for _, m := range []leadership.Member{c.own, c.holder} {
				if err := leadership.Register(context.Background(), table, m); err != nil {
					t.Fatal(err)
				}
			}
			standing, err := leadership.ReadRanking(context.Background(), table, "own", "holder")
			if err != nil || standing.WorthHandover() != c.want {
				t.Errorf("%+v, %v", standing, err)
			}
		})
	}
}

// Guards against a holder that gives up a term for a request that was meant for an earlier one.
func TestRequestsForTheDutyNameTheTerm(t *testing.T) {
	ctx := context.Background()
	table := memory.New()
	asked := func(epoch uint64) string {
		t.Helper()
		name, err := leadership.HandoverRequester(ctx, table, epoch)
		if err != nil {
			t.Fatal(err)
		}
		return name
	}
	ask := func(name string, epoch uint64) {
		t.Helper()
		if err := leadership.RequestHandover(ctx, table, name, epoch); err != nil {
			t.Fatal(err)
		}
	}
	if got := asked(1); got != "" {
		t.Errorf("asked by %q before anybody did", got)
	}
	ask("a", 3)
	ask("b", 3)
	ask("c", 2)
	for epoch, want := range map[uint64]string{2: "", 3: "a", 4: ""} {
		if got := asked(epoch); got != want {
			t.Errorf("term %d is asked for by %q, want %q", epoch, got, want)
		}
	}
}

// lateTable is a table that answers late, with a steady clock of its own.
type lateTable struct {
	*memory.Table
	clock *fakeClock
	// before and after are the time that a call and its answer take.
	before, after time.Duration
}

func (l *lateTable) Range(ctx context.Context, table, from, to string, limit int) (store.Changes, error) {
	l.clock.now += l.before
	defer func() { l.clock.now += l.after }()
	return l.Table.Range(ctx, table, from, to, limit)
}

func (l *lateTable) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	l.clock.now += l.before
	defer func() { l.clock.now += l.after }()
	return l.Table.Commit(ctx, txn)
}

// Guards against an outage, or a start, after which the best instances watch a dead holder's row for seconds, and against a
// take-over while the holder may still act.
func TestAgeOfARenewalIsKnownAtTheFirstReading(t *testing.T) {
	for name, delays := range map[string][2]time.Duration{
		"fast":          {time.Millisecond, time.Millisecond},
		"slow there":    {400 * time.Millisecond, time.Millisecond},
		"slow back":     {time.Millisecond, 400 * time.Millisecond},
		"slow each way": {300 * time.Millisecond, 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			clock := &fakeClock{now: time.Hour}
			table := &lateTable{Table: memory.New(), clock: clock, before: delays[0], after: delays[1]}
			table.SetClock(func() time.Duration { return clock.now - 17*time.Minute })
			holder := take(t, leadership.NewCandidate(table, clock.read, "a", 1))
			for range 3 {
				clock.now += 200 * time.Millisecond
				if _, err := holder.Commit(context.Background(), store.Txn{}); err != nil {
					t.Fatal(err)
				}
			}
			for waited := time.Duration(0); ; waited += 50 * time.Millisecond {
				clock.now += 50 * time.Millisecond
				newcomer := leadership.NewCandidate(table, clock.read, "b", 2)
				valid := holder.Valid()
				vacant := newcomer.Claimable(observe(t, newcomer))
				if vacant && valid {
					t.Fatal("taken over while the holder may act")
				}
				if vacant {
					return
				}
				if waited > 10*time.Second {
					t.Fatal("never vacant to an instance that sees the row for the first time")
				}
			}
		})
	}
}

// Guards against an upgrade after which the row of an earlier or later version can't be read, so that nobody takes the duty.
func TestRowOfAnotherVersionIsRead(t *testing.T) {
	first := []any{"a", int64(5), uint64(9), true, uint64(3)}
	for name, fields := range map[string][]any{
		"the first version":          first,
		"with the time of renewal":   append(first[:5:5], int64(7)),
		"a field that is to be made": append(first[:5:5], int64(7), int64(900), "later"),
	} {
		t.Run(name, func(t *testing.T) {
			table := memory.New()
			encoded, err := cbor.Marshal(fields)
			if err != nil {
				t.Fatal(err)
			}
			key := store.Key{Table: store.TableLeadership, Name: "scheduler"}
			if _, err := table.Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: key, Value: encoded}}}); err != nil {
				t.Fatal(err)
			}
			holder := take(t, leadership.NewCandidate(table, (&fakeClock{now: time.Hour}).read, "b", 1))
			if holder.Epoch() != 10 {
				t.Errorf("epoch %d", holder.Epoch())
			}
		})
	}
}

// Guards against a dead holder whose successor waits as long as in a slow store (2.1 s; days with a holder that is cut off, replaced or
// frozen 0.69 to 0.74), and against a live one that is replaced, or pauses, while its renewals take long.
func TestValidityFollowsWhatRenewalsTake(t *testing.T) {
	cases := []struct {
		name       string
		each       time.Duration
		least      time.Duration
		takenAfter time.Duration
	}{
		{name: "quick", each: 5 * time.Millisecond, least: 700 * time.Millisecond, takenAfter: 1300 * time.Millisecond},
		{name: "another region", each: 30 * time.Millisecond, least: 700 * time.Millisecond, takenAfter: 1400 * time.Millisecond},
		{name: "slow", each: 500 * time.Millisecond, least: 900 * time.Millisecond, takenAfter: 3700 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			clock := &fakeClock{now: time.Hour}
			table := &lateTable{Table: memory.New(), clock: clock, before: c.each / 2, after: c.each / 2}
			holder := take(t, leadership.NewCandidate(table, clock.read, "a", 1))
			for range 3 {
				if _, err := holder.Commit(context.Background(), store.Txn{}); err != nil {
					t.Fatal(err)
				}
			}
			renewed := clock.now
			other := leadership.NewCandidate(table, clock.read, "b", 2)
			observe(t, other)
			for {
				clock.now += 20 * time.Millisecond
				valid, waited := holder.Valid(), clock.now-renewed
				if !valid && waited < c.least {
					t.Fatalf("the holder may not act %v after its renewal", waited)
				}
				if !other.Claimable(observe(t, other)) {
					continue
				}
				if valid {
					t.Fatal("taken over while the holder may act")
				}
				if waited > c.takenAfter {
					t.Errorf("vacant after %v, want at most %v", waited, c.takenAfter)
				}
				return
			}
		})
	}
}

// Guards against a holder that goes by a long validity although the row states a short one, since the answer to that renewal was lost.
func TestShorterValidityHoldsFromTheCallOn(t *testing.T) {
	clock := &fakeClock{now: time.Hour}
	table := &lateTable{Table: memory.New(), clock: clock, before: 400 * time.Millisecond}
	holder := take(t, leadership.NewCandidate(table, clock.read, "a", 1))
	table.before = 0
	for holder.Valid() {
		if _, err := holder.Commit(context.Background(), store.Txn{}); err != nil {
			t.Fatal(err)
		}
		table.SetMode(memory.ModeLost)
		if _, err := holder.Commit(context.Background(), store.Txn{}); err == nil {
			t.Fatal("a commit without an answer succeeded")
		}
		table.SetMode(memory.ModeNone)
		other := leadership.NewCandidate(table, clock.read, "b", 2)
		observe(t, other)
		for start := clock.now; clock.now < start+4*time.Second; clock.now += 20 * time.Millisecond {
			if valid := holder.Valid(); other.Claimable(observe(t, other)) && valid {
				t.Fatal("taken over while the holder may act")
			}
		}
	}
}
