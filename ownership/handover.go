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

// notifyTimeout bounds the notification of a successor, which may have to wait for a connection.
const notifyTimeout = time.Second

// HandoverNotice is the message that notifies a successor to read the table.
type HandoverNotice struct {
	Unit  api.Unit  `cbor:"1,keyasint"`
	Epoch api.Epoch `cbor:"2,keyasint"`
}

// HandOver hands over all units with one transaction each, a shard to its backup and other units to the first candidate
// by rendezvous hashing. It returns the first error. Units that could not be handed over are acquired by other
// instances once the lease of this instance has expired.
func (s *Service) HandOver(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	if err := s.commitPending(ctx); err != nil && !fault.Is(err, fault.CodeConflict) {
		return err
	}
	if err := s.refresh(ctx); err != nil {
		return err
	}
	view := s.config.Members.View()
	candidates := s.candidates(view, func(m membership.Member) bool { return m.RowSession == m.Session })
	for _, loc := range s.ownedLocations(view) {
		if err := s.handOverUnit(ctx, loc, candidates); err != nil {
			return err
		}
	}
	return nil
}

// ownedLocations returns the units that this instance owns. The coordinator unit comes last, so that the coordinator
// keeps working while the other units are handed over.
func (s *Service) ownedLocations(view *membership.View) []UnitLocation {
	byUnit := map[api.Unit]UnitLocation{}
	for _, loc := range s.unitLocations(view) {
		byUnit[loc.Unit] = loc
	}
	var locations []UnitLocation
	for unit, row := range s.rows {
		if !s.ownedBySelf(row.Row) {
			continue
		}
		loc, ok := byUnit[unit]
		if !ok {
			loc = UnitLocation{Unit: unit, Location: s.config.Self.Location}
		}
		locations = append(locations, loc)
	}
	slices.SortFunc(locations, func(a, b UnitLocation) int { return -strings.Compare(a.Unit.Key(), b.Unit.Key()) })
	return locations
}

// successorOf returns the backup of a shard, which has the shard's keys, or else the first candidate by rendezvous
// hashing.
func (s *Service) successorOf(loc UnitLocation, candidates []api.Instance) (api.Instance, bool) {
	backup := s.rows[loc.Unit].Backup
	for _, c := range candidates {
		if backup != "" && c.ID == backup {
			return c, true
		}
	}
	ranked := Ranked(loc.Unit, Eligible(loc, candidates))
	if len(ranked) == 0 {
		return api.Instance{}, false
	}
	return ranked[0], true
}

func (s *Service) handOverUnit(ctx context.Context, loc UnitLocation, candidates []api.Instance) error {
	successor, _ := s.successorOf(loc, candidates)
	return s.release(ctx, loc.Unit, successor, candidates)
}

// release writes the successor into the unit row; without a successor the unit has no owner afterwards. Check refuses
// the unit even before the write, because the write may take effect although its reply is lost.
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
		row.Backup = ChooseBackup(unit, successor.ID, candidates)
	}
	err := s.commit(ctx, []change{{unit: unit, row: row}})
	if fault.Is(err, fault.CodeConflict) {
		return s.refresh(ctx)
	}
	if err != nil {
		return err
	}
	s.notifySuccessor(ctx, unit, row.Epoch, successor)
	return nil
}

// notifySuccessor sends a Handover to the successor in the background. A successor that misses the message finds the
// row at its next poll.
func (s *Service) notifySuccessor(ctx context.Context, unit api.Unit, epoch api.Epoch, successor api.Instance) {
	if s.config.Messenger == nil || successor.Addr == "" {
		return
	}
	s.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
		defer cancel()
		message := HandoverNotice{Unit: unit, Epoch: epoch}
		if err := s.config.Messenger.Send(ctx, successor.Addr, peer.KindHandover, message); err != nil {
			s.config.Log.Debug().Err(err).Str("successor", string(successor.ID)).Msg("successor not notified of handover")
		}
	})
}

// rebalance hands over at most one unit to the instance to which it is assigned, once the set of live instances has
// been unchanged for rebalanceDelay.
func (s *Service) rebalance(ctx context.Context) error {
	if !s.ready() || !s.config.Members.Authority().RenewedInPeriod {
		return nil
	}
	view := s.config.Members.View()
	candidates := s.candidates(view, func(m membership.Member) bool {
		return m.StoreReachable && m.RowSession == m.Session
	})
	if !s.liveSetStable(candidates) {
		return nil
	}
	locations := s.unitLocations(view)
	assigned := Assign(locations, candidates)
	slices.SortFunc(locations, func(a, b UnitLocation) int { return strings.Compare(a.Unit.Key(), b.Unit.Key()) })
	for _, loc := range locations {
		owner := assigned[loc.Unit]
		// There is only one coordinator unit, so moving it would not balance the load.
		if loc.Unit == api.Coordinator || owner == s.config.Self.ID || !s.ownedBySelf(s.rows[loc.Unit].Row) {
			continue
		}
		for _, c := range candidates {
			if c.ID == owner {
				return s.release(ctx, loc.Unit, c, candidates)
			}
		}
	}
	return nil
}

func (s *Service) liveSetStable(candidates []api.Instance) bool {
	ids := make([]string, 0, len(candidates))
	for _, c := range candidates {
		ids = append(ids, string(c.ID))
	}
	slices.Sort(ids)
	liveIDs := strings.Join(ids, ",")
	now := s.config.Clock.Now()
	if liveIDs != s.liveIDs {
		s.liveIDs, s.liveIDsSince = liveIDs, now
	}
	return now.Sub(s.liveIDsSince) >= rebalanceDelay
}
