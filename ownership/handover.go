package ownership

import (
	"context"
	"slices"
	"strings"
	"time"

	"bronzehook/api"
	"bronzehook/fault"
	"bronzehook/membership"
	"bronzehook/peer"
)

// announceTimeout bounds the wait for a connection to a successor.
const announceTimeout = time.Second

// Handover tells a successor to read the table.
type Handover struct {
	Unit  api.Unit  `cbor:"1,keyasint"`
	Epoch api.Epoch `cbor:"2,keyasint"`
}

// HandOver gives all units away, each to the next choice of the rendezvous hash, with one transaction each. It returns
// the first failure; units that could not be handed over are taken by others once this instance has lapsed.
func (s *Service) HandOver(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	if err := s.settlePending(ctx); err != nil && !fault.Is(err, fault.CodeConflict) {
		return err
	}
	if err := s.refresh(ctx); err != nil {
		return err
	}
	view := s.config.Members.View()
	candidates := s.candidates(view, func(m membership.Member) bool { return m.RowSession == m.Session })
	for _, place := range s.ownPlaces(view) {
		if err := s.handOverUnit(ctx, place, candidates); err != nil {
			return err
		}
	}
	return nil
}

// ownPlaces lists the units that this instance owns, the coordinator last because it goes on working for the others.
func (s *Service) ownPlaces(view *membership.View) []Place {
	located := map[api.Unit]Place{}
	for _, place := range s.places(view) {
		located[place.Unit] = place
	}
	var places []Place
	for unit, row := range s.rows {
		if !s.mine(row.Row) {
			continue
		}
		place, ok := located[unit]
		if !ok {
			place = Place{Unit: unit, Location: s.config.Self.Location}
		}
		places = append(places, place)
	}
	slices.SortFunc(places, func(a, b Place) int { return -strings.Compare(a.Unit.Key(), b.Unit.Key()) })
	return places
}

// successorOf prefers the deputy of a shard, which has its keys.
func (s *Service) successorOf(place Place, candidates []api.Instance) (api.Instance, bool) {
	deputy := s.rows[place.Unit].Deputy
	for _, c := range candidates {
		if deputy != "" && c.ID == deputy {
			return c, true
		}
	}
	ranked := Ranked(place.Unit, Eligible(place, candidates))
	if len(ranked) == 0 {
		return api.Instance{}, false
	}
	return ranked[0], true
}

func (s *Service) handOverUnit(ctx context.Context, place Place, candidates []api.Instance) error {
	successor, _ := s.successorOf(place, candidates)
	return s.release(ctx, place.Unit, successor, candidates)
}

// release writes a successor into the row; without one the unit becomes free. Check refuses the unit from before the
// write on, since the write may take effect without a reply.
func (s *Service) release(ctx context.Context, unit api.Unit, successor api.Instance, candidates []api.Instance) error {
	s.releasing[unit] = true
	s.publish()
	if s.config.Releasing != nil && successor.ID != "" {
		s.config.Releasing(ctx, unit, successor)
	}
	row := Row{
		Owner:    successor.ID,
		Session:  s.config.Members.View().Members[successor.ID].Session,
		Epoch:    s.rows[unit].Epoch + 1,
		Region:   successor.Location.Region,
		Previous: s.config.Self.ID,
	}
	if unit.Kind == api.UnitShard && successor.ID != "" {
		row.Deputy = Deputy(unit, successor.ID, candidates)
	}
	err := s.commit(ctx, []change{{unit: unit, row: row}})
	if fault.Is(err, fault.CodeConflict) {
		return s.refresh(ctx)
	}
	if err != nil {
		return err
	}
	s.announce(ctx, unit, row.Epoch, successor)
	return nil
}

// announce is a hint only and is not waited for: a successor that misses it finds the row at its next poll.
func (s *Service) announce(ctx context.Context, unit api.Unit, epoch api.Epoch, successor api.Instance) {
	if s.config.Messenger == nil || successor.Addr == "" {
		return
	}
	s.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, announceTimeout)
		defer cancel()
		message := Handover{Unit: unit, Epoch: epoch}
		if err := s.config.Messenger.Send(ctx, successor.Addr, peer.KindHandover, message); err != nil {
			s.config.Log.Debug().Err(err).Str("successor", string(successor.ID)).Msg("hand-over not announced")
		}
	})
}

// rebalance hands one unit to the instance that it is assigned to, once the set of live instances has been stable.
func (s *Service) rebalance(ctx context.Context) error {
	if !s.ready() || !s.config.Members.Authority().Anchored {
		return nil
	}
	view := s.config.Members.View()
	candidates := s.candidates(view, func(m membership.Member) bool {
		return m.StoreReachable && m.RowSession == m.Session
	})
	if !s.stable(candidates) {
		return nil
	}
	places := s.places(view)
	assigned := Assign(places, candidates)
	slices.SortFunc(places, func(a, b Place) int { return strings.Compare(a.Unit.Key(), b.Unit.Key()) })
	for _, place := range places {
		owner := assigned[place.Unit]
		// The coordinator is a single unit; moving it evens out nothing.
		if place.Unit == api.Coordinator || owner == s.config.Self.ID || !s.mine(s.rows[place.Unit].Row) {
			continue
		}
		for _, c := range candidates {
			if c.ID == owner {
				return s.release(ctx, place.Unit, c, candidates)
			}
		}
	}
	return nil
}

func (s *Service) stable(candidates []api.Instance) bool {
	ids := make([]string, 0, len(candidates))
	for _, c := range candidates {
		ids = append(ids, string(c.ID))
	}
	slices.Sort(ids)
	live := strings.Join(ids, ",")
	now := s.config.Clock.Now()
	if live != s.live {
		s.live, s.liveSince = live, now
	}
	return now.Sub(s.liveSince) >= rebalanceDelay
}
