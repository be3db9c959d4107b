package dedup

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"bronzehook/api"
	"bronzehook/fault"
)

// alone is the authority of one instance without a deputy.
type alone struct{ denied error }

func (a *alone) Tenure(Shard) (Tenure, bool)  { return Tenure{Owner: "i", Epoch: 1}, true }
func (a *alone) Check(Shard, api.Epoch) error { return a.denied }

func newAlone(t *testing.T, limits Limits) (*Service, *clockwork.FakeClock, *alone) {
	clock := clockwork.NewFakeClock()
	authority := &alone{}
	config := DefaultConfig()
	config.Limits = limits
	s := NewService("i", config, clock, authority, nil)
	t.Cleanup(s.Close)
	s.SetRegions(testRegions)
	for number := range ShardsPerRegion {
		s.Own(Shard{Region: "r", Number: number}, Tenure{Owner: "i", Epoch: 1}, Tenure{})
	}
	return s, clock, authority
}

func answerOf(size int) Run {
	return func(context.Context) (Answer, error) { return Answer{Status: 200, Body: make([]byte, size)}, nil }
}

func mustNotRun(t *testing.T) Run {
	return func(context.Context) (Answer, error) {
		t.Error("the request was sent")
		return Answer{}, nil
	}
}

func TestRetryOfKnownKey(t *testing.T) {
	unreachable := func(context.Context) (Answer, error) {
		return Answer{}, fault.NotRun(&fault.Failure{FailureCode: fault.CodeUnreachable})
	}
	cases := []struct {
		name    string
		first   Run
		second  func(*testing.T) Run
		outcome api.Outcome
		size    int
	}{
		{"a kept answer must be given again", answerOf(10), mustNotRun, api.Answered, 10},
		{"an answer that is too large to keep must not become a second run", answerOf(65 << 10), mustNotRun, api.Unknown, 0},
		{"a run that did not start may be run again", unreachable, func(*testing.T) Run { return answerOf(3) }, api.Answered, 3},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s, _, _ := newAlone(t, DefaultLimits())
			_, _ = s.Do(t.Context(), Call{Key: "r:k", Attempt: 1}, tc.first)
			answer, err := s.Do(t.Context(), Call{Key: "r:k", Attempt: 2}, tc.second(t))
			if fault.OutcomeOf(err) != tc.outcome || len(answer.Body) != tc.size {
				t.Errorf("outcome %s with %d bytes, want %s with %d", fault.OutcomeOf(err), len(answer.Body), tc.outcome, tc.size)
			}
		})
	}
}

// Guards against a request going out from an instance that lost its authority while it waited for the deputy.
func TestNoSendingWithoutAuthority(t *testing.T) {
	s, _, authority := newAlone(t, DefaultLimits())
	authority.denied = &fault.Failure{FailureCode: fault.CodeNoAuthority}
	_, err := s.Do(t.Context(), Call{Key: "r:k", Attempt: 1}, mustNotRun(t))
	if fault.OutcomeOf(err) != api.NotRun || !fault.Is(err, fault.CodeNoAuthority) {
		t.Errorf("failure %v, want not-run without authority", err)
	}
}

// Guards against a full ledger dropping a live key: it refuses new keys until the retention of old ones is over.
func TestFullLedgerRefuses(t *testing.T) {
	limits := DefaultLimits()
	limits.MaxKeys = 1
	s, clock, _ := newAlone(t, limits)
	first := Call{Key: "r:0", Attempt: 1}
	second := Call{Key: "r:0", Attempt: 1}
	for i := 1; second.Key == first.Key || s.ShardOf(second.Key) != s.ShardOf(first.Key); i++ {
		second.Key = "r:" + string(rune('0'+i))
	}
	if _, err := s.Do(t.Context(), first, answerOf(1)); err != nil {
		t.Fatal(err)
	}
	_, err := s.Do(t.Context(), second, mustNotRun(t))
	var overload *OverloadError
	if !errors.As(err, &overload) || fault.OutcomeOf(err) != api.NotRun || fault.Describe(err).RetryAfter != limits.Retention {
		t.Errorf("failure %v, want an overload that is not-run", err)
	}
	if _, err := s.Do(t.Context(), first, mustNotRun(t)); err != nil {
		t.Errorf("the live key was lost: %v", err)
	}
	clock.Advance(limits.Retention)
	if _, err := s.Do(t.Context(), second, answerOf(1)); err != nil {
		t.Errorf("no room after the retention: %v", err)
	}
}

// Guards against concurrent attempts at one key running it twice or failing while the first still runs.
func TestConcurrentAttemptsRunOnce(t *testing.T) {
	s, _, _ := newAlone(t, DefaultLimits())
	var runs atomic.Int32
	var wait sync.WaitGroup
	for i := range 50 {
		wait.Go(func() {
			_, err := s.Do(t.Context(), Call{Key: "r:k", Attempt: i + 1}, func(context.Context) (Answer, error) {
				runs.Add(1)
				time.Sleep(5 * time.Millisecond)
				return Answer{Status: 200}, nil
			})
			if err != nil {
				t.Error(err)
			}
		})
	}
	wait.Wait()
	if runs.Load() != 1 {
		t.Errorf("%d runs, want 1", runs.Load())
	}
}

// Guards against instances that disagree on the shard of a key, and against a key with a region leaving it.
func TestShardOf(t *testing.T) {
	if a, b := ShardOf("k", []string{"x", "y"}), ShardOf("k", []string{"y", "x"}); a != b {
		t.Errorf("shards %v and %v differ with the order of the regions", a, b)
	}
	if shard := ShardOf("y:k", []string{"x", "y"}); shard.Region != "y" {
		t.Errorf("key of region y is in shard %v", shard)
	}
	seen := map[Shard]bool{}
	for i := range 2000 {
		seen[ShardOf(string(rune(i+1000)), []string{"x", "y"})] = true
	}
	if len(seen) != 2*ShardsPerRegion {
		t.Errorf("keys without a region reach %d shards, want %d", len(seen), 2*ShardsPerRegion)
	}
}
