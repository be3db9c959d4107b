package entry

import (
	"context"
	"sync/atomic"
	"time"

	"bronzehook/leadership"
	"bronzehook/logging"
)

// Hand-over to an instance that carries the duty much better. Such an instance asks once a term has gone on for askAfter; a holder
// with less than smallShare of a core looks every askedEvery whether one does, and takes no duty for yieldFor after it has
// given one up.
const (
	askAfter   = 4 * time.Second
	askStep    = time.Second
	askedEvery = 2 * time.Second
	yieldFor   = 5 * time.Second
	// yieldHeadStart lets the instance that has asked see that the duty was released.
	yieldHeadStart = 1500 * time.Millisecond
)

// A holder that is short of processor time because its machine has turned slow, to less than slowSpeed of what it was, gives the duty
// to an instance that would carry it at least substituteShare times as well. A holder with too much work keeps it: others would
// have no less. A term has to have gone on for firstTerm by then, and for twice as long with each change of the duty within
// changesSpan: where many machines are slow, the duty must not be passed round.
const (
	slowSpeed       = 0.5
	substituteShare = 0.6
	firstTerm       = 500 * time.Millisecond
	changesSpan     = 30 * time.Second
	maxDoublings    = 5
	// substituteTimeout bounds the reading of the registered instances.
	substituteTimeout = time.Second
)

// changes remembers when the duty was seen to change hands.
type changes struct {
	epoch uint64
	at    []time.Time
}

// note takes up the epoch that was seen at a time.
func (c *changes) note(epoch uint64, now time.Time) {
	if epoch == c.epoch {
		return
	}
	c.epoch = epoch
	kept := c.at[:0]
	for _, at := range c.at {
		if now.Sub(at) < changesSpan {
			kept = append(kept, at)
		}
	}
	c.at = append(kept, now)
}

// patience is how long a term that began with the newest change goes on before its holder may give it up for want of processor time.
func (c *changes) patience() time.Duration { return firstTerm << min(len(c.at), maxDoublings) }

// giveIfOverloaded returns what a term is to tell that it is short of processor time. It gives the duty up if another instance may
// carry it better.
func (s *dutyService) giveIfOverloaded(ctx context.Context, give func(), epoch uint64) func(delay time.Duration) {
	notBefore, recent := time.Now().Add(s.changes.patience()), len(s.changes.at)
	var asking atomic.Bool
	return func(delay time.Duration) {
		if time.Now().Before(notBefore) {
			return
		}
		speed := s.speed()
		if speed >= slowSpeed || !asking.CompareAndSwap(false, true) {
			return
		}
		notBefore = time.Now().Add(firstTerm)
		go func() {
			defer asking.Store(false)
			ctx, cancel := context.WithTimeout(ctx, substituteTimeout)
			defer cancel()
			members, err := leadership.Members(ctx, s.table)
			if err != nil || !leadership.HasSuccessor(members, s.name, substituteShare) {
				return
			}
			s.logger.Warn().Uint64(logging.KeyEpoch, epoch).Dur("run_delay", delay).Float64("speed", speed).Int("changes", recent).Int("members", len(members)).
				Msg("duty given up, this instance is too slow for it")
			give()
		}()
	}
}

// askFor asks the holder for the duty if this instance carries it much better. The best of them asks first.
func (s *dutyService) askFor(ctx context.Context, row *leadership.Lease) {
	if row.Epoch != s.term {
		s.term, s.termSeen = row.Epoch, time.Now()
	}
	wait := s.askAfter + time.Duration(s.standing.Rank)*askStep
	mayAsk := row.Holder != s.name && row.Holder == s.standingOf && s.standing.WorthHandover() && s.standing.Rank < firstFew
	if !mayAsk || time.Since(s.termSeen) < wait {
		return
	}
	s.termSeen = time.Now()
	err := leadership.RequestHandover(ctx, s.table, s.name, row.Epoch)
	s.logger.Info().Uint64(logging.KeyEpoch, row.Epoch).Str("holder", row.Holder).Float64("own", s.standing.Own).
		Float64("holders", s.standing.Leader).AnErr("error", err).Msg("duty asked for")
}

// giveIfAsked ends a term that an instance asks for which carries the duty much better.
func (s *dutyService) giveIfAsked(ctx context.Context, give func(), epoch uint64) {
	for ctx.Err() == nil {
		leadership.Sleep(ctx, s.askedEvery)
		name, err := leadership.HandoverRequester(ctx, s.table, epoch)
		if err != nil || name == "" {
			continue
		}
		s.logger.Info().Uint64(logging.KeyEpoch, epoch).Str("to", name).Msg("duty given up for a better instance")
		give()
		return
	}
}
