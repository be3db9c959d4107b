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

// fakeClock is a boot-time clock that the test advances.
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

func acquire(t *testing.T, c *leadership.Candidate) *leadership.Leader {
	t.Helper()
	leader, err := c.Acquire(context.Background(), observe(t, c))
	if err != nil {
		t.Fatal(err)
	}
	return leader
}

// Guards against two leaders at a time: the leader has to stop sending commands before another instance may take over.
func TestLeaseExpiresBeforeAnotherMayTakeOver(t *testing.T) {
	table := memory.New()
	clock := &fakeClock{now: time.Hour}
	leader := acquire(t, leadership.NewCandidate(table, clock.read, "a", 1))
	other := leadership.NewCandidate(table, clock.read, "b", 2)
	observe(t, other)
	for step := 0; step < 50; step++ {
		clock.now += 100 * time.Millisecond
		claimable := other.Claimable(observe(t, other))
		if claimable && leader.Valid() {
			t.Fatalf("after %v both instances may act as leader", clock.now-time.Hour)
		}
		if claimable {
			return
		}
	}
	t.Fatal("leadership never became claimable")
}

// Guards against a suspended leader that sends commands after it resumes: the clock includes the time of the suspension.
func TestSuspendedLeaderIsNotValid(t *testing.T) {
	clock := &fakeClock{now: time.Hour}
	leader := acquire(t, leadership.NewCandidate(memory.New(), clock.read, "a", 1))
	clock.now += leadership.MaxLeaseDuration
	if leader.Valid() {
		t.Error("a leader that was suspended for the lease duration may act")
	}
}

// Guards against a replaced leader that still changes rows.
func TestReplacedLeaderCommitsNothing(t *testing.T) {
	table := memory.New()
	clock := &fakeClock{now: time.Hour}
	old := acquire(t, leadership.NewCandidate(table, clock.read, "a", 1))
	successor := acquire(t, leadership.NewCandidate(table, clock.read, "b", 2))
	if successor.Epoch() <= old.Epoch() {
		t.Errorf("epoch %d does not exceed %d", successor.Epoch(), old.Epoch())
	}
	key := store.Key{Table: "x", Name: "y"}
	_, err := old.Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: key, Value: []byte("old")}}})
	var lost *leadership.LostError
	if !errors.As(err, &lost) {
		t.Fatalf("commit of a replaced leader: %v", err)
	}
	if old.Valid() {
		t.Error("a replaced leader may still send commands")
	}
	if table.Value(key) != nil {
		t.Error("a replaced leader changed a row")
	}
}

// Guards against a late write: after a commit without a reply the leader continues, and the first commit must not overwrite
// the effect of a later one.
func TestCommitWithoutReplyIsResolved(t *testing.T) {
	for name, c := range map[string]struct{ mode memory.Mode }{
		"applied":      {memory.ModeReplyLost},
		"not applied":  {memory.ModeRequestLost},
		"applied late": {memory.ModeDelayed},
	} {
		t.Run(name, func(t *testing.T) {
			table := memory.New()
			clock := &fakeClock{now: time.Hour}
			leader := acquire(t, leadership.NewCandidate(table, clock.read, "a", 1))
			key := store.Key{Table: "x", Name: "y"}
			commit := func(value string) error {
				_, err := leader.Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: key, Value: []byte(value)}}})
				return err
			}
			table.SetMode(c.mode)
			if err := commit("first"); fault.CodeOf(err) != fault.CodeOutcomeUnknown {
				t.Fatalf("first commit: %v", err)
			}
			table.SetMode(memory.ModeNormal)
			err := commit("second")
			if fault.CodeOf(err) == fault.CodeConflict {
				err = commit("second")
			}
			if err != nil {
				t.Fatalf("second commit: %v", err)
			}
			table.DeliverDelayed()
			if got := string(table.Value(key)); got != "second" {
				t.Errorf("the row holds %q", got)
			}
			if !leader.Valid() {
				t.Error("the leader lost its leadership")
			}
		})
	}
}

// twiceTable applies each commit twice and returns the reply to the second one, as for a call that was repeated.
type twiceTable struct{ *memory.Table }

func (t twiceTable) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	_, _ = t.Table.Commit(ctx, txn)
	return t.Table.Commit(ctx, txn)
}

// Guards against an acquisition or commit that counts as failed, and is repeated, because the reply to a duplicate of it
// arrived; and against one that counts as successful because an earlier one was.
func TestConflictWithItsOwnEffectIsSuccess(t *testing.T) {
	inner := memory.New()
	clock := &fakeClock{now: time.Hour}
	leader := acquire(t, leadership.NewCandidate(twiceTable{inner}, clock.read, "a", 1))
	key := store.Key{Table: "x", Name: "y"}
	commit := func(value string) error {
		_, err := leader.Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: key, Value: []byte(value)}}})
		return err
	}
	clock.now += leadership.MinLeaseDuration / 2
	if err := commit("one"); err != nil || leader.Age() != 0 {
		t.Fatalf("commit that was applied: %v, age %v", err, leader.Age())
	}
	inner.SetMode(memory.ModeReplyLost)
	if err := commit("two"); fault.CodeOf(err) != fault.CodeOutcomeUnknown {
		t.Fatalf("commit without a reply: %v", err)
	}
	inner.SetMode(memory.ModeNormal)
	if err := commit("three"); fault.CodeOf(err) != fault.CodeConflict {
		t.Errorf("commit after one that took effect without a reply: %v", err)
	}
	if got := string(inner.Value(key)); got != "two" {
		t.Errorf("the row holds %q, want \"two\"", got)
	}
}

// Guards against a handover that waits for the lease to expire although the leader has released it.
func TestReleasedLeaseIsClaimableAtOnce(t *testing.T) {
	table := memory.New()
	clock := &fakeClock{now: time.Hour}
	leader := acquire(t, leadership.NewCandidate(table, clock.read, "a", 1))
	if err := leader.Release(context.Background()); err != nil {
		t.Fatal(err)
	}
	if leader.Valid() {
		t.Error("a leader that released its lease may send commands")
	}
	other := leadership.NewCandidate(table, clock.read, "b", 2)
	if !other.Claimable(observe(t, other)) {
		t.Error("a released lease is not claimable")
	}
}

// Guards against a restarted process that waits for the lease of its own earlier incarnation to expire.
func TestOwnEarlierLeaseIsClaimableAtOnce(t *testing.T) {
	table := memory.New()
	clock := &fakeClock{now: time.Hour}
	acquire(t, leadership.NewCandidate(table, clock.read, "a", 1))
	again := leadership.NewCandidate(table, clock.read, "a", 2)
	if !again.Claimable(observe(t, again)) {
		t.Error("the lease of the instance's earlier incarnation is not claimable")
	}
}

// Guards against a data race: commands read the epoch while the lease is renewed. CI runs this with the race detector.
func TestEpochIsReadWhileTheLeaseIsRenewed(t *testing.T) {
	clock := &fakeClock{now: time.Hour}
	leader := acquire(t, leadership.NewCandidate(memory.New(), clock.read, "a", 1))
	renewed := make(chan error, 1)
	go func() {
		for range 100 {
			if _, err := leader.Commit(context.Background(), store.Txn{}); err != nil {
				renewed <- err
				return
			}
		}
		renewed <- nil
	}()
	for range 1000 {
		if leader.Epoch() != 1 {
			t.Fatal("the epoch changed")
		}
	}
	if err := <-renewed; err != nil {
		t.Error(err)
	}
}

// Guards against an upgrade after which the row of an earlier or later version is unreadable, so that no instance can acquire
// leadership.
func TestRowOfAnotherVersionIsRead(t *testing.T) {
	first := []any{"a", int64(5), uint64(9), true, uint64(3)}
	for name, fields := range map[string][]any{
		"the first version":                  first,
		"a version with the time of renewal": append(first[:5:5], int64(7)),
		"a later version with another field": append(first[:5:5], int64(7), int64(900), "later"),
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
			leader := acquire(t, leadership.NewCandidate(table, (&fakeClock{now: time.Hour}).read, "b", 1))
			if leader.Epoch() != 10 {
				t.Errorf("epoch %d", leader.Epoch())
			}
		})
	}
}
