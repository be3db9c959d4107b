package entry

import (
	"context"
	"sync/atomic"
	"time"

	"bronzehook/leadership"
	"bronzehook/logging"
)

// Timing of a handover to an instance that is much better suited as leader. A leader with less than smallCPUShare of a core checks
// for handover requests.
const (
	// handoverRequestAfter is the age of a term from which the best-suited instance requests a handover. Other instances wait
	// handoverRequestStep longer for each rank below it.
	handoverRequestAfter = 4 * time.Second
	handoverRequestStep  = time.Second
	// unfitHandoverAfter replaces handoverRequestAfter if the leader's fitness is less than this instance's by unfitFactor: such a
	// leader has less processor time than its fleet needs, and nothing starts until it has handed over.
	unfitHandoverAfter = time.Second
	unfitFactor        = 6
	// handoverCheckInterval is the time between two checks for a handover request.
	handoverCheckInterval = time.Second
	// resignHoldOff is how long an instance lets others acquire leadership first after it has resigned.
	resignHoldOff = 5 * time.Second
	// holdOffWait is how long an instance in hold-off waits before it acquires claimable leadership itself. In this time the
	// requester sees the release.
	holdOffWait = 1500 * time.Millisecond
)

// A leader that is short of processor time because its machine has become slow resigns if there is a suitable successor. A leader
// on a machine of normal speed keeps leadership, since a successor would have as much work.
const (
	// slowSpeedRatio is the share of the best measured speed below which a machine counts as slow.
	slowSpeedRatio = 0.5
	// successorFitnessRatio is the fitness that a successor needs, as a share of the leader's.
	successorFitnessRatio = 0.6
	// minTerm is how long a term lasts at least before its leader resigns for lack of processor time. It doubles with each
	// takeover within takeoverWindow, up to maxTermDoublings times, so that leadership does not keep moving where many
	// machines are slow. It is also the time between two checks for a successor.
	minTerm          = 500 * time.Millisecond
	takeoverWindow   = 30 * time.Second
	maxTermDoublings = 5
	// membersReadTimeout bounds the read of the registered instances.
	membersReadTimeout = time.Second
)

// takeoverHistory holds the newest observed epoch and the times of recent takeovers.
type takeoverHistory struct {
	epoch uint64
	at    []time.Time
}

// observe records a takeover if the epoch differs from the one observed before, and drops those older than takeoverWindow.
func (h *takeoverHistory) observe(epoch uint64, now time.Time) {
	if epoch == h.epoch {
		return
	}
	h.epoch = epoch
	kept := h.at[:0]
	for _, at := range h.at {
		if now.Sub(at) < takeoverWindow {
			kept = append(kept, at)
		}
	}
	h.at = append(kept, now)
}

// minTermDuration returns how long a term that began with the newest takeover lasts before its leader may resign for lack of
// processor time.
func (h *takeoverHistory) minTermDuration() time.Duration {
	return minTerm << min(len(h.at), maxTermDoublings)
}

// resignIfOverloaded returns the callback by which a term reports that it is short of processor time. The callback resigns if the
// machine is slow and there is a suitable successor.
func (s *leadershipService) resignIfOverloaded(ctx context.Context, resign func(), epoch uint64) func(delay time.Duration) {
	earliest, takeovers := time.Now().Add(s.takeovers.minTermDuration()), len(s.takeovers.at)
	var checking atomic.Bool
	return func(delay time.Duration) {
		if time.Now().Before(earliest) {
			return
		}
		speed := s.speed()
		if speed >= slowSpeedRatio || !checking.CompareAndSwap(false, true) {
			return
		}
		earliest = time.Now().Add(minTerm)
		go s.options.Guard.Do("overload check", func() {
			defer checking.Store(false)
			ctx, cancel := context.WithTimeout(ctx, membersReadTimeout)
			defer cancel()
			members, err := leadership.Members(ctx, s.table)
			if err != nil || !leadership.HasSuccessor(members, s.name, successorFitnessRatio) {
				return
			}
			s.logger.Warn().Uint64(logging.KeyEpoch, epoch).Dur("run_delay", delay).Float64("speed", speed).Int("changes", takeovers).Int("members", len(members)).
				Msg("duty given up, this instance is too slow for it")
			resign()
		})
	}
}

// requestHandover requests a handover from the leader if this instance is much better suited. The best-suited instance does so
// first.
func (s *leadershipService) requestHandover(ctx context.Context, lease *leadership.Lease) {
	if lease.Epoch != s.observedEpoch {
		s.observedEpoch, s.epochObservedAt = lease.Epoch, time.Now()
	}
	wait := s.handoverWait() + time.Duration(s.ranking.Rank)*handoverRequestStep
	eligible := lease.Holder != s.name && lease.Holder == s.rankingLeader && s.ranking.WorthHandover() && s.ranking.Rank < topRanks
	if !eligible || time.Since(s.epochObservedAt) < wait {
		return
	}
	s.epochObservedAt = time.Now()
	err := leadership.RequestHandover(ctx, s.table, s.name, lease.Epoch)
	s.logger.Info().Uint64(logging.KeyEpoch, lease.Epoch).Str("holder", lease.Holder).Float64("own", s.ranking.OwnFitness).
		Float64("holders", s.ranking.LeaderFitness).AnErr("error", err).Msg("duty asked for")
}

// handoverWait returns the age of a term from which the best-suited instance requests a handover.
func (s *leadershipService) handoverWait() time.Duration {
	if s.ranking.OwnFitness > unfitFactor*s.ranking.LeaderFitness {
		return min(s.handoverRequestAfter, unfitHandoverAfter)
	}
	return s.handoverRequestAfter
}

// resignOnRequest resigns once an instance that is much better suited as leader has requested a handover.
func (s *leadershipService) resignOnRequest(ctx context.Context, resign func(), epoch uint64) {
	for ctx.Err() == nil {
		leadership.Sleep(ctx, s.handoverCheckInterval)
		requester, err := leadership.HandoverRequester(ctx, s.table, epoch)
		if err != nil || requester == "" {
			continue
		}
		s.logger.Info().Uint64(logging.KeyEpoch, epoch).Str("to", requester).Msg("duty given up for a better instance")
		resign()
		return
	}
}
