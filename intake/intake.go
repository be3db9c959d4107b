// Package intake serves callers: it accepts and cancels jobs and returns their state. A positive response is sent only after the
// row behind it has been committed, so that any instance can serve any caller.
package intake

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"bronzehook/fault"
	"bronzehook/jobs"
	"bronzehook/logging"
	"bronzehook/manifest"
	"bronzehook/store"
)

// Limits of calls to the store on behalf of a caller.
const (
	// retryDelay is the mean delay before a call is retried.
	retryDelay = 40 * time.Millisecond
	// refusedRetryBudget bounds the retries of a call that the store refuses, so that the caller is refused early.
	refusedRetryBudget = 150 * time.Millisecond
	// unknownRetryBudget bounds the retries of a call with unknown outcome. The caller then gets that outcome at once and has time
	// left to ask another instance, which it would not have if the request was held until its deadline.
	unknownRetryBudget = 600 * time.Millisecond
	// responseLatencyAllowance is the part of a caller's deadline that is reserved for the network latency of the response.
	responseLatencyAllowance = 150 * time.Millisecond
	// maxPendingCountAge bounds the age of a cached count of pending jobs, and of cached counts of the leader.
	maxPendingCountAge = 700 * time.Millisecond
	// maxLeaderCountsAge bounds the difference between the wall-clock time and the time at which the leader wrote its counts. The
	// wall clocks of instances may differ.
	maxLeaderCountsAge = 2500 * time.Millisecond
	// outageThreshold is the time without a successful call to the store after which requests are refused without a call.
	outageThreshold = 700 * time.Millisecond
	// maxTerminalStates bounds the number of cached terminal job states.
	maxTerminalStates = 20_000
)

// Health reports whether the store has answered recently.
type Health interface {
	// Down reports whether the latest calls failed and none has succeeded for at least the given time.
	Down(atLeast time.Duration) bool
}

// Service implements the callers' operations.
type Service struct {
	table    store.Table
	health   Health
	manifest *manifest.Provider
	metrics  *Metrics
	logger   zerolog.Logger
	now      func() time.Time

	mu             sync.Mutex
	pending        map[string]*pendingCount
	leaderCounts   leaderCounts
	admission      admission
	terminalStates map[jobs.ID]jobs.PublicState
}

// New returns a service. The parameter now reads the wall clock, which may jump.
func New(
	table store.Table, health Health, provider *manifest.Provider, metrics *Metrics, logger zerolog.Logger, now func() time.Time,
) *Service {
	return &Service{
		table: table, health: health, manifest: provider, metrics: metrics, logger: logger, now: now,
		pending: make(map[string]*pendingCount), terminalStates: make(map[jobs.ID]jobs.PublicState),
	}
}

// Manifest returns the current manifest, or nil if none has been read yet.
func (s *Service) Manifest() *manifest.Manifest { return s.manifest.Current() }

// OutageError refuses a request because the store has not answered for outageThreshold. The request has no effect.
type OutageError struct{}

// Error implements error.
func (*OutageError) Error() string { return "the store does not answer" }

// Code implements fault.Coded.
func (*OutageError) Code() fault.Code { return fault.CodeStoreUnavailable }

// Submit stores a job. A job that is already stored is accepted again without a change, so that callers may retry.
func (s *Service) Submit(ctx context.Context, spec *jobs.Spec) error {
	started := time.Now()
	spec.Submitted = s.now().UnixMilli()
	stored, err := s.admitAndSubmit(ctx, spec)
	s.metrics.observe("submit", started, err)
	event := s.logger.Info()
	if err != nil {
		event = s.logger.Warn().Str(logging.KeyReason, string(fault.CodeOf(err))).AnErr("error", err)
	}
	event.Str(logging.KeyRequest, string(spec.ID)).Str("queue", spec.Queue).Uint64(logging.KeyRevision, s.revision()).
		Bool("known", stored).Dur("took", time.Since(started)).Msg(outcomeText(err, "job accepted", "job refused"))
	return err
}

// outcomeText returns the log message for the outcome of a request.
func outcomeText(err error, success, failure string) string {
	switch {
	case err == nil:
		return success
	case fault.CodeOf(err) == fault.CodeOutcomeUnknown:
		return "outcome unknown"
	}
	return failure
}

// revision returns the version of the current manifest, or 0 if there is none.
func (s *Service) revision() uint64 { return s.manifest.Version() }

// submit reports whether the job was already stored.
func (s *Service) submit(ctx context.Context, spec *jobs.Spec) (stored bool, err error) {
	defer s.admission.beginStoring(spec.ID)()
	id := string(spec.ID)
	state := jobs.PublicState{State: jobs.StateQueued, Queue: spec.Queue, Changed: spec.Submitted}
	txn := store.Txn{
		Conditions: []store.Condition{{Key: store.StateKey(id)}},
		Puts: []store.Put{
			{Key: store.StateKey(id), Value: jobs.Encode(&state)},
			{Key: store.JobKey(id), Value: jobs.Encode(spec)},
		},
	}
	if !spec.Scheduled() {
		txn.Puts = append(txn.Puts, store.Put{Key: store.PendingKey(spec.Queue, id), Value: store.PresenceValue})
	}
	err = s.commit(ctx, txn)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return true, nil
	}
	return false, err
}

// commit applies a transaction, which must have conditions that make it safe to send twice. Once a try has had an unknown outcome,
// only success or a conflict makes the outcome known. Before that, a refusal means that the transaction had no effect.
func (s *Service) commit(ctx context.Context, txn store.Txn) error {
	if s.health.Down(outageThreshold) {
		return errors.WithStack(&OutageError{})
	}
	started := time.Now()
	outcomeUnknown := false
	for {
		_, err := s.table.Commit(ctx, txn)
		if err == nil || fault.CodeOf(err) == fault.CodeConflict {
			return err
		}
		if fault.CodeOf(err) == fault.CodeOutcomeUnknown {
			outcomeUnknown = true
			s.admission.noteUnknown(time.Now())
		}
		if !s.waitForRetry(ctx, started, outcomeUnknown) {
			if outcomeUnknown {
				return errors.WithStack(&store.CallError{Call: "commit", Kind: fault.CodeOutcomeUnknown, Detail: err.Error()})
			}
			return err
		}
	}
}

// waitForRetry waits for the retry delay and reports whether to retry. It returns false at once if the retry budget is used up or the
// deadline is too near.
func (s *Service) waitForRetry(ctx context.Context, started time.Time, outcomeUnknown bool) bool {
	budget := refusedRetryBudget
	if outcomeUnknown {
		budget = unknownRetryBudget
	}
	if time.Since(started) > budget {
		return false
	}
	deadline, ok := ctx.Deadline()
	if ok && time.Until(deadline) < responseLatencyAllowance+retryDelay {
		return false
	}
	timer := time.NewTimer(retryDelay/2 + rand.N(retryDelay))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Cancel stores that a job is cancelled. A job in a terminal state stays as it is.
func (s *Service) Cancel(ctx context.Context, queue string, id jobs.ID) error {
	started := time.Now()
	state, err := s.cancel(ctx, id)
	s.metrics.observe("cancel", started, err)
	event := s.logger.Info()
	if err != nil {
		event = s.logger.Warn().Str(logging.KeyReason, string(fault.CodeOf(err)))
	}
	event.Str(logging.KeyRequest, string(id)).Str("queue", queue).Str("state", string(state)).
		Msg(outcomeText(err, "job cancelled", "job cancellation refused"))
	return err
}

func (s *Service) cancel(ctx context.Context, id jobs.ID) (jobs.State, error) {
	for {
		state, version, err := s.readState(ctx, id)
		if err != nil || state.State.Terminal() {
			return state.State, err
		}
		cancelled := state
		cancelled.State, cancelled.Changed = jobs.StateCancelled, s.now().UnixMilli()
		err = s.commit(ctx, store.Txn{
			Conditions: []store.Condition{{Key: store.StateKey(string(id)), Version: version}},
			Puts: []store.Put{
				{Key: store.StateKey(string(id)), Value: jobs.Encode(&cancelled)},
				{Key: store.CancelKey(string(id)), Value: store.PresenceValue},
			},
			Deletes: []store.Key{store.PendingKey(state.Queue, string(id))},
		})
		if err == nil {
			s.cacheState(id, cancelled)
			return cancelled.State, nil
		}
		if fault.CodeOf(err) != fault.CodeConflict {
			return state.State, err
		}
	}
}
