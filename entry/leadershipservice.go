package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"bronzehook/execution"
	"bronzehook/fault"
	"bronzehook/leadership"
	"bronzehook/logging"
	"bronzehook/measure"
	"bronzehook/recovery"
	"bronzehook/store"
)

// Leadership goes preferably to instances that are better suited: an instance waits rankDelay for each of them, and maxRankDelay at
// most, before it acquires claimable leadership.
const (
	rankDelay    = 200 * time.Millisecond
	maxRankDelay = 900 * time.Millisecond
	// firstAcquireDelay lets all instances register before leadership is acquired for the first time.
	firstAcquireDelay = 700 * time.Millisecond
	// slowRank is the rank that an instance assumes at least while its machine is slow.
	slowRank = 3
	// unknownRank is assumed by an instance with less than smallCPUShare of a core that can't read its ranking.
	unknownRank   = 3
	smallCPUShare = 0.5
)

// Load that instances put on the store while they observe the leadership lease and read their ranking.
const (
	// Instances of rank topRanks and beyond observe the lease middleObserveFactor times less often, those of rank middleRanks
	// and beyond lowObserveFactor times less often.
	topRanks            = 3
	middleObserveFactor = 3
	middleRanks         = 12
	lowObserveFactor    = 9
	// rankingRefresh is the mean time after which an instance reads its ranking again. From rank middleRanks on the ranking
	// hardly matters and is read lowRefreshFactor times less often.
	rankingRefresh   = 15 * time.Second
	lowRefreshFactor = 4
	// firstRankingJitter spreads the first reads of instances that start at the same time.
	firstRankingJitter = time.Second
	// smallFleetSize is the number of registered instances up to which more are expected to register.
	smallFleetSize = 3
)

// releaseTimeout bounds the release of leadership at the end of a term, and the deregistration during a planned stop.
const releaseTimeout = time.Second

// leadershipService waits until this instance can acquire leadership, and runs its leadership terms.
type leadershipService struct {
	table     store.Table
	roundTrip func() time.Duration
	name      string
	cpuShare  float64
	// speed returns the present speed of this process as a share of the best measured one.
	speed    func() float64
	peerAddr string
	region   string
	options  execution.Options
	// leading is set while this instance leads a term.
	leading atomic.Bool
	// onMembers is called with the registered instances each time they were read.
	onMembers func([]leadership.Member)
	logger    zerolog.Logger

	// ranking is that of this instance while rankingLeader leads. It is read again after rankingValidUntil.
	ranking           leadership.Ranking
	rankingLeader     string
	rankingValidUntil time.Time

	// Timing of handovers: the constants of the same names, except in tests.
	handoverRequestAfter, handoverCheckInterval time.Duration
	// observedEpoch is the newest epoch of the observed lease, epochObservedAt when it was first observed or when this instance
	// last requested a handover in it.
	observedEpoch   uint64
	epochObservedAt time.Time
	// takeovers holds the takeovers that this instance has recently observed.
	takeovers takeoverHistory
	// holdOffUntil is until when this instance lets others acquire leadership first, after it has resigned.
	holdOffUntil time.Time

	loop backgroundLoop
	// deregister lets Stop be called twice: at the start of a shutdown and by the kernel.
	deregister sync.Once
}

// Name implements kernel.Service.
func (*leadershipService) Name() string { return "duty" }

// Requires implements kernel.Service.
func (*leadershipService) Requires() []string { return []string{"manifest"} }

// Start implements kernel.Service.
func (s *leadershipService) Start(context.Context) error {
	s.loop.start(s.options.Guard, "leadership", s.run)
	return nil
}

// Stop implements kernel.Service. It releases leadership, so that another instance can acquire it at once.
func (s *leadershipService) Stop(context.Context) error {
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

func (s *leadershipService) run(ctx context.Context) {
	candidate := leadership.NewCandidate(s.table, s.options.Clock, s.name, time.Now().UnixNano())
	registered := false
	for ctx.Err() == nil {
		seen, err := candidate.Observe(ctx)
		if err == nil {
			s.takeovers.observe(seen.Lease.Epoch, time.Now())
		}
		if err == nil && !registered {
			registered = s.register(ctx)
		}
		if err == nil && candidate.Claimable(seen) && s.waitForHigherRanks(ctx, candidate, &seen) {
			s.acquire(ctx, candidate, seen)
			continue
		}
		if err == nil {
			s.requestHandover(ctx, &seen.Lease)
		}
		leadership.Sleep(ctx, s.observeInterval(ctx, seen.Lease.Holder))
	}
}

// observeInterval returns the time until the next observation of the leadership lease. Instances with many better-suited ones ahead
// of them observe less often.
func (s *leadershipService) observeInterval(ctx context.Context, leader string) time.Duration {
	now := time.Now()
	if s.rankingValidUntil.IsZero() {
		s.rankingValidUntil = now.Add(rand.N(firstRankingJitter))
		s.rankingLeader = leader
	}
	leaderChanged := s.rankingLeader != leader && s.ranking.Rank < middleRanks
	if leaderChanged || now.After(s.rankingValidUntil) {
		s.refreshRanking(ctx, now, leader)
	}
	switch {
	case s.ranking.Rank >= middleRanks:
		return lowObserveFactor * leadership.ObserveInterval
	case s.ranking.Rank >= topRanks:
		return middleObserveFactor * leadership.ObserveInterval
	}
	return leadership.ObserveInterval
}

// refreshRanking reads the ranking of this instance beside the leader.
func (s *leadershipService) refreshRanking(ctx context.Context, now time.Time, leader string) {
	members, err := leadership.Members(ctx, s.table)
	s.ranking, s.rankingLeader = leadership.Ranking{}, leader
	if err == nil {
		s.ranking = leadership.RankingOf(members, s.name, leader)
		s.onMembers(members)
	}
	refreshAfter := rankingRefresh/2 + rand.N(rankingRefresh)
	switch {
	case len(members) <= smallFleetSize:
		// Others may be about to register.
		refreshAfter = rankingRefresh / 4
	case s.ranking.Rank >= middleRanks:
		refreshAfter *= lowRefreshFactor
	}
	s.rankingValidUntil = now.Add(refreshAfter)
}

func (s *leadershipService) register(ctx context.Context) bool {
	err := leadership.Register(ctx, s.table, leadership.Member{Name: s.name, CPUShare: s.cpuShare, RoundTrip: s.roundTrip(), Addr: s.peerAddr, Region: s.region})
	if err != nil {
		s.logger.Warn().AnErr("error", err).Msg("instance not registered")
	}
	return err == nil
}

// waitForHigherRanks gives better-suited instances time to acquire leadership. It reports whether the lease is still the same after
// that, and updates the observation.
func (s *leadershipService) waitForHigherRanks(ctx context.Context, candidate *leadership.Candidate, seen *leadership.Observation) bool {
	holdingOff := time.Now().Before(s.holdOffUntil)
	if seen.Lease.Holder == s.name && !holdingOff {
		return true
	}
	if seen.Version == 0 {
		leadership.Sleep(ctx, firstAcquireDelay)
	}
	ranking, err := leadership.ReadRanking(ctx, s.table, s.name, seen.Lease.Holder)
	rank := ranking.Rank
	if err != nil && s.cpuShare < smallCPUShare {
		rank = unknownRank
	}
	if s.speed() < slowSpeedRatio {
		rank = max(rank, slowRank)
	}
	if rank == 0 && !holdingOff {
		return true
	}
	wait := min(maxRankDelay, time.Duration(rank)*rankDelay)
	if holdingOff {
		wait = holdOffWait
	}
	leadership.Sleep(ctx, wait)
	latest, err := candidate.Observe(ctx)
	if err != nil || latest.Version != seen.Version {
		return false
	}
	*seen = latest
	return true
}

func (s *leadershipService) acquire(ctx context.Context, candidate *leadership.Candidate, seen leadership.Observation) {
	if s.options.Manifest.Current() == nil {
		leadership.Sleep(ctx, leadership.ObserveInterval/4)
		return
	}
	leader, err := candidate.Acquire(ctx, seen)
	if err != nil {
		s.logger.Info().Str(logging.KeyReason, string(fault.CodeOf(err))).Msg("leadership not acquired")
		leadership.Sleep(ctx, leadership.ObserveInterval/2)
		return
	}
	s.logger.Info().Uint64(logging.KeyEpoch, leader.Epoch()).Str("from", seen.Lease.Holder).
		Bool("released", seen.Lease.Released).Dur("unchanged", seen.Unchanged).Msg("duty claimed")
	s.takeovers.observe(leader.Epoch(), time.Now())
	err = s.lead(ctx, leader)
	s.logger.Warn().Uint64(logging.KeyEpoch, leader.Epoch()).AnErr("error", err).Msg("duty ended")
}

// lead runs a leadership term. If the term ends because this instance stops or resigns, or by a panic, leadership is
// released and this instance lets others go first.
func (s *leadershipService) lead(ctx context.Context, leader *leadership.Leader) error {
	s.leading.Store(true)
	defer s.leading.Store(false)
	termCtx, resign := context.WithCancel(ctx)
	defer resign()
	if s.cpuShare < smallCPUShare {
		go s.options.Guard.Do("handover requests", func() { s.resignOnRequest(termCtx, resign, leader.Epoch()) })
	}
	options := s.options
	options.RunDelay = measure.NewRunDelay().Mean
	options.Overloaded = s.resignIfOverloaded(termCtx, resign, leader.Epoch())
	err := execution.NewTerm(options, leader).Run(termCtx)
	var panicked *recovery.PanicError
	if termCtx.Err() == nil && !errors.As(err, &panicked) {
		return err
	}
	s.holdOffUntil = time.Now().Add(resignHoldOff)
	releaseCtx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if releaseErr := leader.Release(releaseCtx); releaseErr != nil || panicked == nil {
		return releaseErr
	}
	return err
}
