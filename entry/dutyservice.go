package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"bronzehook/duty"
	"bronzehook/execution"
	"bronzehook/fault"
	"bronzehook/logging"
	"bronzehook/store"
)

// Preference for instances that carry the duty better: each of them is given a head start.
const (
	headStart    = 200 * time.Millisecond
	maxHeadStart = 900 * time.Millisecond
	// firstWait lets all instances register before the duty is taken for the first time.
	firstWait = 700 * time.Millisecond
	// unknownPlace is assumed by instances with less than smallShare of a core that can't read how others carry the duty.
	unknownPlace = 3
	smallShare   = 0.5
)

// Instances behind the firstFew that carry the duty best look rareFactor times less often whether it is vacant. What an
// instance knows of its place is read again after about placeValid.
const (
	firstFew   = 3
	rareFactor = 3
	placeValid = 15 * time.Second
)

// releaseTimeout bounds the hand-over of the duty during a planned stop.
const releaseTimeout = time.Second

// dutyService waits for the scheduling duty and serves its terms.
type dutyService struct {
	table     store.Table
	roundTrip func() time.Duration
	name      string
	cpuShare  float64
	options   execution.Options
	logger    zerolog.Logger

	// place counts the instances that carry the duty better, as read before placeUntil.
	place      int
	placeUntil time.Time

	loop background
	// deregister makes a second Stop harmless.
	deregister sync.Once
}

// Name implements kernel.Service.
func (*dutyService) Name() string { return "duty" }

// Requires implements kernel.Service.
func (*dutyService) Requires() []string { return []string{"manifest"} }

// Start implements kernel.Service.
func (s *dutyService) Start(context.Context) error {
	s.loop.start(s.run)
	return nil
}

// Stop implements kernel.Service. The duty is released, so that another instance takes it over at once.
func (s *dutyService) Stop(context.Context) error {
	s.loop.stop()
	s.deregister.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		if err := duty.Deregister(ctx, s.table, s.name); err != nil {
			s.logger.Warn().AnErr("error", err).Msg("instance not deregistered")
		}
	})
	return nil
}

func (s *dutyService) run(ctx context.Context) {
	candidate := duty.NewCandidate(s.table, s.options.Clock, s.name, time.Now().UnixNano())
	registered := false
	for ctx.Err() == nil {
		seen, err := candidate.Observe(ctx)
		if err == nil && !registered {
			registered = s.register(ctx)
		}
		if err == nil && candidate.Vacant(seen) && s.mayTake(ctx, candidate, &seen) {
			s.take(ctx, candidate, seen)
			continue
		}
		sleep(ctx, s.pollPause(ctx, seen.Row.Holder))
	}
}

// pollPause returns the pause before the next look at the duty's row. Instances that others would precede look less often.
func (s *dutyService) pollPause(ctx context.Context, holder string) time.Duration {
	if now := time.Now(); now.After(s.placeUntil) {
		place, err := duty.Place(ctx, s.table, s.name, holder)
		if err != nil {
			place = 0
		}
		s.place, s.placeUntil = place, now.Add(placeValid/2+rand.N(placeValid))
	}
	if s.place >= firstFew {
		return rareFactor * duty.PollEvery
	}
	return duty.PollEvery
}

func (s *dutyService) register(ctx context.Context) bool {
	err := duty.Register(ctx, s.table, duty.Member{Name: s.name, CPUShare: s.cpuShare, RoundTrip: s.roundTrip()})
	if err != nil {
		s.logger.Warn().AnErr("error", err).Msg("instance not registered")
	}
	return err == nil
}

// mayTake waits for instances that carry the duty better and reports whether it is still vacant after that.
func (s *dutyService) mayTake(ctx context.Context, candidate *duty.Candidate, seen *duty.Observation) bool {
	if seen.Row.Holder == s.name {
		return true
	}
	if seen.Version == 0 {
		sleep(ctx, firstWait)
	}
	place, err := duty.Place(ctx, s.table, s.name, seen.Row.Holder)
	if err != nil && s.cpuShare < smallShare {
		place = unknownPlace
	}
	if place == 0 {
		return true
	}
	sleep(ctx, min(maxHeadStart, time.Duration(place)*headStart))
	again, err := candidate.Observe(ctx)
	if err != nil || again.Version != seen.Version {
		return false
	}
	*seen = again
	return true
}

func (s *dutyService) take(ctx context.Context, candidate *duty.Candidate, seen duty.Observation) {
	if s.options.Manifest.Current() == nil {
		sleep(ctx, duty.PollEvery/4)
		return
	}
	holder, err := candidate.Take(ctx, seen)
	if err != nil {
		s.logger.Info().Str(logging.KeyReason, string(fault.CodeOf(err))).Msg("duty not taken")
		sleep(ctx, duty.PollEvery/2)
		return
	}
	s.logger.Info().Uint64(logging.KeyEpoch, holder.Epoch()).Str("from", seen.Row.Holder).
		Bool("released", seen.Row.Released).Dur("unchanged", seen.Unchanged).Msg("duty claimed")
	err = s.serve(ctx, holder)
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
