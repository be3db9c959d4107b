package leadership_test

import (
	"context"
	"testing"
	"time"

	"bronzehook/leadership"
	"bronzehook/store"
	"bronzehook/store/memory"
)

// lateTable is a table with slow calls and a monotonic clock of its own.
type lateTable struct {
	*memory.Table
	clock *fakeClock
	// before and after are the delays of a call and of its reply.
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

// Guards against instances that observe a dead leader's lease for seconds after an outage or a start, and against a takeover
// while the leader may still act.
func TestAgeOfARenewalIsKnownAtTheFirstObservation(t *testing.T) {
	for name, delays := range map[string][2]time.Duration{
		"fast":                {time.Millisecond, time.Millisecond},
		"slow call":           {400 * time.Millisecond, time.Millisecond},
		"slow reply":          {time.Millisecond, 400 * time.Millisecond},
		"slow call and reply": {300 * time.Millisecond, 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			clock := &fakeClock{now: time.Hour}
			table := &lateTable{Table: memory.New(), clock: clock, before: delays[0], after: delays[1]}
			table.SetClock(func() time.Duration { return clock.now - 17*time.Minute })
			leader := acquire(t, leadership.NewCandidate(table, clock.read, "a", 1))
			for range 3 {
				clock.now += 200 * time.Millisecond
				if _, err := leader.Commit(context.Background(), store.Txn{}); err != nil {
					t.Fatal(err)
				}
			}
			for waited := time.Duration(0); ; waited += 50 * time.Millisecond {
				clock.now += 50 * time.Millisecond
				newcomer := leadership.NewCandidate(table, clock.read, "b", 2)
				valid := leader.Valid()
				claimable := newcomer.Claimable(observe(t, newcomer))
				if claimable && valid {
					t.Fatal("taken over while the leader may act")
				}
				if claimable {
					return
				}
				if waited > 10*time.Second {
					t.Fatal("never claimable for an instance that observes the lease for the first time")
				}
			}
		})
	}
}

// Guards against a fixed lease duration, with which the successor of a dead leader waits as long as with a slow store: 2.1 s.
// Also guards against a live leader that is replaced, or pauses, while its renewals are slow.
func TestLeaseDurationFollowsRenewalLatency(t *testing.T) {
	cases := []struct {
		name          string
		latency       time.Duration
		minDuration   time.Duration
		acquiredAfter time.Duration
	}{
		{name: "quick", latency: 5 * time.Millisecond, minDuration: 700 * time.Millisecond, acquiredAfter: 1300 * time.Millisecond},
		{name: "another region", latency: 30 * time.Millisecond, minDuration: 700 * time.Millisecond, acquiredAfter: 1400 * time.Millisecond},
		{name: "slow", latency: 500 * time.Millisecond, minDuration: 900 * time.Millisecond, acquiredAfter: 3700 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			clock := &fakeClock{now: time.Hour}
			table := &lateTable{Table: memory.New(), clock: clock, before: c.latency / 2, after: c.latency / 2}
			leader := acquire(t, leadership.NewCandidate(table, clock.read, "a", 1))
			for range 3 {
				if _, err := leader.Commit(context.Background(), store.Txn{}); err != nil {
					t.Fatal(err)
				}
			}
			renewed := clock.now
			other := leadership.NewCandidate(table, clock.read, "b", 2)
			observe(t, other)
			for {
				clock.now += 20 * time.Millisecond
				valid, waited := leader.Valid(), clock.now-renewed
				if !valid && waited < c.minDuration {
					t.Fatalf("the leader may not act %v after its renewal", waited)
				}
				if !other.Claimable(observe(t, other)) {
					continue
				}
				if valid {
					t.Fatal("taken over while the leader may act")
				}
				if waited > c.acquiredAfter {
					t.Errorf("claimable after %v, want at most %v", waited, c.acquiredAfter)
				}
				return
			}
		})
	}
}

// Guards against a leader that applies a long lease duration although the row states a shorter one, because the reply to
// that renewal was lost.
func TestShorterLeaseDurationAppliesFromTheCallOn(t *testing.T) {
	clock := &fakeClock{now: time.Hour}
	table := &lateTable{Table: memory.New(), clock: clock, before: 400 * time.Millisecond}
	leader := acquire(t, leadership.NewCandidate(table, clock.read, "a", 1))
	table.before = 0
	for leader.Valid() {
		if _, err := leader.Commit(context.Background(), store.Txn{}); err != nil {
			t.Fatal(err)
		}
		table.SetMode(memory.ModeReplyLost)
		if _, err := leader.Commit(context.Background(), store.Txn{}); err == nil {
			t.Fatal("a commit without a reply succeeded")
		}
		table.SetMode(memory.ModeNormal)
		other := leadership.NewCandidate(table, clock.read, "b", 2)
		observe(t, other)
		for start := clock.now; clock.now < start+4*time.Second; clock.now += 20 * time.Millisecond {
			if valid := leader.Valid(); other.Claimable(observe(t, other)) && valid {
				t.Fatal("taken over while the leader may act")
			}
		}
	}
}
