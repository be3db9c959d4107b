package intake

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"bronzehook/fault"
	"bronzehook/jobs"
	"bronzehook/logging"
	"bronzehook/store"
)

// UnknownJobError reports a job that was never accepted, or whose state was deleted after the retention period.
type UnknownJobError struct{ Job jobs.ID }

// Error returns a text with the job's ID.
func (e *UnknownJobError) Error() string { return "unknown job " + string(e.Job) }

// Code implements fault.Coded.
func (*UnknownJobError) Code() fault.Code { return fault.CodeNotFound }

// State returns the state of a job.
func (s *Service) State(ctx context.Context, queue string, id jobs.ID) (jobs.State, error) {
	if state, ok := s.cachedState(id); ok {
		return state.State, nil
	}
	started := time.Now()
	state, _, err := s.readState(ctx, id)
	s.metrics.observe("state", started, err)
	if err != nil {
		s.logger.Warn().Str(logging.KeyRequest, string(id)).Str("queue", queue).
			Str(logging.KeyReason, string(fault.CodeOf(err))).Msg("job state not read")
		return "", err
	}
	return state.State, nil
}

func (s *Service) cachedState(id jobs.ID) (jobs.PublicState, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, ok := s.terminalStates[id]
	return state, ok
}

// cacheState keeps a terminal state, which does not change any more. A full cache is emptied.
func (s *Service) cacheState(id jobs.ID, state jobs.PublicState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.terminalStates) >= maxTerminalStates {
		clear(s.terminalStates)
	}
	s.terminalStates[id] = state
}

// readState reads the state of a job and the version of its row.
func (s *Service) readState(ctx context.Context, id jobs.ID) (jobs.PublicState, uint64, error) {
	if s.health.Down(outageThreshold) {
		return jobs.PublicState{}, 0, errors.WithStack(&OutageError{})
	}
	started := time.Now()
	for {
		rows, err := store.ReadRow(ctx, s.table, store.StateKey(string(id)))
		if err == nil {
			return s.decodeState(id, rows)
		}
		if !s.waitForRetry(ctx, started, false) {
			return jobs.PublicState{}, 0, err
		}
	}
}

func (s *Service) decodeState(id jobs.ID, rows store.Changes) (jobs.PublicState, uint64, error) {
	if len(rows.Rows) == 0 {
		return jobs.PublicState{}, 0, errors.WithStack(&UnknownJobError{Job: id})
	}
	state, err := jobs.Decode[jobs.PublicState]("state", rows.Rows[0].Value)
	if err != nil {
		return jobs.PublicState{}, 0, err
	}
	if state.State.Terminal() {
		s.cacheState(id, *state)
	}
	return *state, rows.Rows[0].Version, nil
}
