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

// singleInstance is the Authority of one instance that owns all shards without a backup.
type singleInstance struct{ denied error }

func (a *singleInstance) Ownership(Shard) (ShardOwnership, bool) {
	return ShardOwnership{Owner: "i", Epoch: 1}, true
}
func (a *singleInstance) Check(Shard, api.Epoch) error { return a.denied }

func newSingleInstance(t *testing.T, limits Limits) (*Service, *clockwork.FakeClock, *singleInstance) {
	clock := clockwork.NewFakeClock()
	authority := &singleInstance{}
	config := DefaultConfig()
	config.Limits = limits
	s := NewService("i", config, clock, authority, nil)
	t.Cleanup(s.Close)
	s.SetRegions(testRegions)
	for number := range ShardsPerRegion {
		s.Acquire(Shard{Region: "r", Number: number}, ShardOwnership{Owner: "i", Epoch: 1}, ShardOwnership{})
	}
	return s, clock, authority
}

func respondWith(size int) ExecuteFunc {
	return func(context.Context) (Response, error) { return Response{Status: 200, Body: make([]byte, size)}, nil }
}

func failIfExecuted(t *testing.T) ExecuteFunc {
	return func(context.Context) (Response, error) {
		t.Error("the request was sent")
		return Response{}, nil
	}
}

func TestRetryOfKnownKey(t *testing.T) {
	unreachable := func(context.Context) (Response, error) {
		return Response{}, fault.NotRun(&fault.Failure{FailureCode: fault.CodeUnreachable})
	}
	cases := []struct {
		name    string
		first   ExecuteFunc
		second  func(*testing.T) ExecuteFunc
		outcome api.Outcome
		size    int
	}{
		{"a stored response must be returned again", respondWith(10), failIfExecuted, api.Answered, 10},
		{"a response that is too large to store must not cause a second execution", respondWith(65 << 10), failIfExecuted, api.Unknown, 0},
		{"an execution that did not start may be repeated", unreachable, func(*testing.T) ExecuteFunc { return respondWith(3) }, api.Answered, 3},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s, _, _ := newSingleInstance(t, DefaultLimits())
			_, _ = s.Do(t.Context(), Call{Key: "r:k", Attempt: 1}, tc.first)
			response, err := s.Do(t.Context(), Call{Key: "r:k", Attempt: 2}, tc.second(t))
			if fault.OutcomeOf(err) != tc.outcome || len(response.Body) != tc.size {
				t.Errorf("outcome %s with %d bytes, want %s with %d", fault.OutcomeOf(err), len(response.Body), tc.outcome, tc.size)
			}
		})
	}
}

// Guards against sending a request from an instance whose instance lease expired while it waited for the backup.
func TestNotSentWithoutAuthority(t *testing.T) {
	s, _, authority := newSingleInstance(t, DefaultLimits())
	authority.denied = &fault.Failure{FailureCode: fault.CodeNoAuthority}
	_, err := s.Do(t.Context(), Call{Key: "r:k", Attempt: 1}, failIfExecuted(t))
	if fault.OutcomeOf(err) != api.NotRun || !fault.Is(err, fault.CodeNoAuthority) {
		t.Errorf("failure %v, want not-run without authority", err)
	}
}

// Guards against a full table that evicts a key within its retention. It must refuse new keys until old ones expire.
func TestFullTableRefusesNewKeys(t *testing.T) {
	limits := DefaultLimits()
	limits.MaxKeys = 1
	s, clock, _ := newSingleInstance(t, limits)
	first := Call{Key: "r:0", Attempt: 1}
	second := Call{Key: "r:0", Attempt: 1}
	for i := 1; second.Key == first.Key || s.ShardOf(second.Key) != s.ShardOf(first.Key); i++ {
		second.Key = "r:" + string(rune('0'+i))
	}
	if _, err := s.Do(t.Context(), first, respondWith(1)); err != nil {
		t.Fatal(err)
	}
	_, err := s.Do(t.Context(), second, failIfExecuted(t))
	var overload *OverloadError
	if !errors.As(err, &overload) || fault.OutcomeOf(err) != api.NotRun || fault.Describe(err).RetryAfter != limits.Retention {
		t.Errorf("failure %v, want an overload that is not-run", err)
	}
	if _, err := s.Do(t.Context(), first, failIfExecuted(t)); err != nil {
		t.Errorf("the key within its retention was lost: %v", err)
	}
	clock.Advance(limits.Retention)
	if _, err := s.Do(t.Context(), second, respondWith(1)); err != nil {
		t.Errorf("new key refused after the retention of the old one: %v", err)
	}
}

// Guards against concurrent attempts at one key that execute it twice, or that fail while the first one is executing.
func TestConcurrentAttemptsExecuteOnce(t *testing.T) {
	s, _, _ := newSingleInstance(t, DefaultLimits())
	var executions atomic.Int32
	var wait sync.WaitGroup
	for i := range 50 {
		wait.Go(func() {
			_, err := s.Do(t.Context(), Call{Key: "r:k", Attempt: i + 1}, func(context.Context) (Response, error) {
				executions.Add(1)
				time.Sleep(5 * time.Millisecond)
				return Response{Status: 200}, nil
			})
			if err != nil {
				t.Error(err)
			}
		})
	}
	wait.Wait()
	if executions.Load() != 1 {
		t.Errorf("%d executions, want 1", executions.Load())
	}
}

// Guards against instances that disagree on the shard of a key, and against a shard outside the region that the key
// names.
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
