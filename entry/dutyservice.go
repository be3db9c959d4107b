package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"bronzehook/duty"
	"bronzehook/execution"
	"bronzehook/fault"
	"bronzehook/logging"
	"bronzehook/store"
)

// Preference for instances that are near the store: others wait longer before they take the duty over.
const (
	nearRoundTrip = 15 * time.Millisecond
	farPenalty    = 900 * time.Millisecond
	// coldPenalty lets instances near the store take a duty that nobody has held yet or that was released.
	coldPenalty = 350 * time.Millisecond
)

// releaseTimeout bounds the hand-over of the duty during a planned stop.
const releaseTimeout = time.Second

// dutyService waits for the scheduling duty and serves its terms.
type dutyService struct {
	table     store.Table
	roundTrip func() time.Duration
	name      string
	options   execution.Options
	logger    zerolog.Logger

	cancel  context.CancelFunc
	done    sync.WaitGroup
	holding atomic.Bool
}

// Name implements kernel.Service.
func (*dutyService) Name() string { return "duty" }

// Requires implements kernel.Service.
func (*dutyService) Requires() []string { return []string{"manifest"} }

// Start implements kernel.Service.
func (s *dutyService) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		s.run(ctx)
	}()
	return nil
}

// Stop implements kernel.Service. The duty is released, so that another instance takes it over at once.
func (s *dutyService) Stop(context.Context) error {
	s.cancel()
	s.done.Wait()
	return nil
}

func (s *dutyService) run(ctx context.Context) {
	candidate := duty.NewCandidate(s.table, s.options.Clock, s.name, time.Now().UnixNano())
	for ctx.Err() == nil {
		seen, err := candidate.Observe(ctx)
		if err == nil && candidate.Vacant(seen, duty.Patience+s.penalty(farPenalty)) {
			s.take(ctx, candidate, seen)
			continue
		}
		sleep(ctx, duty.PollEvery)
	}
}

func (s *dutyService) penalty(far time.Duration) time.Duration {
	if s.roundTrip() > nearRoundTrip {
		return far
	}
	return 0
}

func (s *dutyService) take(ctx context.Context, candidate *duty.Candidate, seen duty.Observation) {
	if s.options.Manifest.Current() == nil {
		sleep(ctx, duty.PollEvery/4)
		return
	}
	if seen.Row.Holder != s.name {
		sleep(ctx, s.penalty(coldPenalty))
	}
	holder, err := candidate.Take(ctx, seen)
	if err != nil {
		s.logger.Info().Str(logging.KeyReason, string(fault.CodeOf(err))).Msg("duty not taken")
		sleep(ctx, duty.PollEvery/2)
		return
	}
	s.logger.Info().Uint64(logging.KeyEpoch, holder.Epoch()).Str("from", seen.Row.Holder).
		Bool("released", seen.Row.Released).Dur("unchanged", seen.Unchanged).Msg("duty claimed")
	s.holding.Store(true)
	err = s.serve(ctx, holder)
	s.holding.Store(false)
	s.logger.Warn().Uint64(logging.KeyEpoch, holder.Epoch()).AnErr("error", err).Msg("duty ended")
}

// serve runs a term. If it ends because this instance stops, the duty is released.
func (s *dutyService) serve(ctx context.Context, holder *duty.Holder) error {
	err := execution.NewTerm(s.options, holder).Run(ctx)
	if ctx.Err() == nil {
		return err
	}
	released, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	return holder.Release(released)
}
