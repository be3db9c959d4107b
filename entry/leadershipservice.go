package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"bronzehook/execution"
	"bronzehook/fault"
	"bronzehook/leadership"
	"bronzehook/logging"
	"bronzehook/measure"
	"bronzehook/store"
)

// Preference for instances that carry the duty better: each of them is given a head start.
const (
	headStart    = 200 * time.Millisecond
	maxHeadStart = 900 * time.Millisecond
	// firstWait lets all instances register before the duty is taken for the first time.
	firstWait = 700 * time.Millisecond
	// slowPlace is that of an instance whose machine is slow at the moment.
	slowPlace = 3
	// unknownPlace is assumed by instances with less than smallShare of a core that can't read how others carry the duty.
	unknownPlace = 3
	smallShare   = 0.5
)

// Instances behind the firstFew that carry the duty best look rareFactor times less often whether it is vacant, those behind the
// firstMany rarestFactor times. What an instance knows of its place is read again after about placeValid; behind the firstMany it
// hardly matters, and is read farFactor times less often. Instances that start at one moment read it spread over firstPlace.
const (
	firstFew     = 3
	rareFactor   = 3
	firstMany    = 12
	rarestFactor = 9
	placeValid   = 15 * time.Second
	farFactor    = 4
	firstPlace   = time.Second
	fewMembers   = 3
)

// releaseTimeout bounds the hand-over of the duty during a planned stop.
const releaseTimeout = time.Second

// dutyService waits for the scheduling duty and serves its terms.
type dutyService struct {
	table     store.Table
	roundTrip func() time.Duration
	name      string
	cpuShare  float64
	// speed returns how fast this process computes as a share of the fastest that it has been.
	speed    func() float64
	peerAddr string
	options  execution.Options
	// noteMembers is told of the registered instances.
	noteMembers func([]leadership.Member)
	logger      zerolog.Logger

	// standing is where this instance stands beside the holder that it names, as read before standingUntil.
	standing      leadership.Ranking
	standingOf    string
	standingUntil time.Time

	// timing of hand-overs, askAfter and askedEvery but in tests.
	askAfter, askedEvery time.Duration
	// term and termSeen are the newest epoch of another holder and when it was first seen.
	term     uint64
	termSeen time.Time
	// changes counts the changes of the duty that this instance has seen of late.
	changes changes
	// yieldUntil is until when other instances go first, after this one has given the duty up.
	yieldUntil time.Time

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
		if err := leadership.Deregister(ctx, s.table, s.name); err != nil {
			s.logger.Warn().AnErr("error", err).Msg("instance not deregistered")
		}
	})
	return nil
}

func (s *dutyService) run(ctx context.Context) {
	candidate := leadership.NewCandidate(s.table, s.options.Clock, s.name, time.Now().UnixNano())
	registered := false
	for ctx.Err() == nil {
		seen, err := candidate.Observe(ctx)
		if err == nil {
			s.changes.note(seen.Lease.Epoch, time.Now())
		}
		if err == nil && !registered {
			registered = s.register(ctx)
		}
		if err == nil && candidate.Claimable(seen) && s.mayTake(ctx, candidate, &seen) {
			s.take(ctx, candidate, seen)
			continue
		}
		if err == nil {
			s.askFor(ctx, &seen.Lease)
		}
		leadership.Sleep(ctx, s.pollPause(ctx, seen.Lease.Holder))
	}
}

// pollPause returns the pause before the next look at the duty's row. Instances that others would precede look less often.
func (s *dutyService) pollPause(ctx context.Context, holder string) time.Duration {
	now := time.Now()
	if s.standingUntil.IsZero() {
		s.standingUntil = now.Add(rand.N(firstPlace))
		s.standingOf = holder
	}
	changed := s.standingOf != holder && s.standing.Rank < firstMany
	if changed || now.After(s.standingUntil) {
		s.learnPlace(ctx, now, holder)
	}
	switch {
	case s.standing.Rank >= firstMany:
		return rarestFactor * leadership.ObserveEvery
	case s.standing.Rank >= firstFew:
		return rareFactor * leadership.ObserveEvery
	}
	return leadership.ObserveEvery
}

// learnPlace reads where this instance stands beside the holder.
func (s *dutyService) learnPlace(ctx context.Context, now time.Time, holder string) {
	members, err := leadership.Members(ctx, s.table)
	s.standing, s.standingOf = leadership.Ranking{}, holder
	if err == nil {
		s.standing = leadership.RankingOf(members, s.name, holder)
		s.noteMembers(members)
	}
	valid := placeValid/2 + rand.N(placeValid)
	switch {
	case len(members) <= fewMembers:
		// Others may be about to register.
		valid = placeValid / 4
	case s.standing.Rank >= firstMany:
		valid *= farFactor
	}
	s.standingUntil = now.Add(valid)
}

func (s *dutyService) register(ctx context.Context) bool {
	err := leadership.Register(ctx, s.table, leadership.Member{Name: s.name, CPUShare: s.cpuShare, RoundTrip: s.roundTrip(), Addr: s.peerAddr})
	if err != nil {
		s.logger.Warn().AnErr("error", err).Msg("instance not registered")
	}
	return err == nil
}

// mayTake waits for instances that carry the duty better and reports whether it is still vacant after that.
func (s *dutyService) mayTake(ctx context.Context, candidate *leadership.Candidate, seen *leadership.Observation) bool {
	yielding := time.Now().Before(s.yieldUntil)
	if seen.Lease.Holder == s.name && !yielding {
		return true
	}
	if seen.Version == 0 {
		leadership.Sleep(ctx, firstWait)
	}
	standing, err := leadership.ReadRanking(ctx, s.table, s.name, seen.Lease.Holder)
	place := standing.Rank
	if err != nil && s.cpuShare < smallShare {
		place = unknownPlace
	}
	if s.speed() < slowSpeed {
		place = max(place, slowPlace)
	}
	if place == 0 && !yielding {
		return true
	}
	wait := min(maxHeadStart, time.Duration(place)*headStart)
	if yielding {
		wait = yieldHeadStart
	}
	leadership.Sleep(ctx, wait)
	again, err := candidate.Observe(ctx)
	if err != nil || again.Version != seen.Version {
		return false
	}
	*seen = again
	return true
}

func (s *dutyService) take(ctx context.Context, candidate *leadership.Candidate, seen leadership.Observation) {
	if s.options.Manifest.Current() == nil {
		leadership.Sleep(ctx, leadership.ObserveEvery/4)
		return
	}
	holder, err := candidate.Acquire(ctx, seen)
	if err != nil {
		s.logger.Info().Str(logging.KeyReason, string(fault.CodeOf(err))).Msg("duty not taken")
		leadership.Sleep(ctx, leadership.ObserveEvery/2)
		return
	}
	s.logger.Info().Uint64(logging.KeyEpoch, holder.Epoch()).Str("from", seen.Lease.Holder).
		Bool("released", seen.Lease.Released).Dur("unchanged", seen.Unchanged).Msg("duty claimed")
	s.changes.note(holder.Epoch(), time.Now())
	err = s.serve(ctx, holder)
	s.logger.Warn().Uint64(logging.KeyEpoch, holder.Epoch()).AnErr("error", err).Msg("duty ended")
}

// serve runs a term. If it ends because this instance stops, or because another one carries the duty better, the duty is
// released.
func (s *dutyService) serve(ctx context.Context, holder *leadership.Leader) error {
	term, give := context.WithCancel(ctx)
	defer give()
	if s.cpuShare < smallShare {
		go s.giveIfAsked(term, give, holder.Epoch())
	}
	options := s.options
	options.RunDelay = measure.NewRunDelay().Mean
	options.Overloaded = s.giveIfOverloaded(term, give, holder.Epoch())
	err := execution.NewTerm(options, holder).Run(term)
	if term.Err() == nil {
		return err
	}
	s.yieldUntil = time.Now().Add(yieldFor)
	released, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	return holder.Release(released)
}
