package ownership

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"bronzehook/api"
	"bronzehook/backend"
	"bronzehook/fault"
	"bronzehook/membership"
	"bronzehook/peer"
)

// maxClaims is the number of units in one transaction.
const maxClaims = 50

// change is a new value for one unit row. If session is set, the change holds only while the session row of that
// instance has the version on which the verdict rests.
type change struct {
	unit           api.Unit
	row            Row
	session        api.InstanceID
	sessionVersion uint64
}

// batch is a transaction without a definite answer. It is repeated with its operation ID.
type batch struct {
	changes []change
	txn     backend.Txn
}

// claimDue claims the free units that are assigned to this instance and renews deputies.
func (s *Service) claimDue(ctx context.Context) error {
	authority := s.config.Members.Authority()
	if !authority.Anchored || authority.Term != s.term || !s.ready() {
		return nil
	}
	changes := s.decide(s.config.Members.View())
	for group := range slices.Chunk(changes, maxClaims) {
		err := s.commit(ctx, group)
		if fault.Is(err, fault.CodeConflict) {
			err = s.commitSingly(ctx, group)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// ready reports whether enough was read to tell a free unit from one whose owner is not known yet.
func (s *Service) ready() bool {
	view := s.config.Members.View()
	return s.read && !s.stale && view.DirectoryRead && view.SessionsRead && s.settle(view)
}

// settle reports whether all listed instances were heard once, or the time for that is over.
func (s *Service) settle(view *membership.View) bool {
	if s.settled || s.config.Clock.Since(s.created) >= settleTime {
		s.settled = true
		return true
	}
	for _, m := range view.Members {
		if m.Listed && !m.Instance.Leaving && !(m.Heard && m.StoreReachable) {
			return false
		}
	}
	s.settled = true
	return true
}

// decide lists the changes that are due. It reads the state and changes nothing.
func (s *Service) decide(view *membership.View) []change {
	claimers := s.candidates(view, func(m membership.Member) bool { return m.StoreReachable })
	deputies := s.candidates(view, func(membership.Member) bool { return true })
	places := s.places(view)
	assigned := Assign(places, claimers)
	var changes []change
	for _, place := range places {
		row, exists := s.rows[place.Unit]
		switch {
		case exists && s.mine(row.Row):
			if c, due := s.deputyChange(place.Unit, row.Row, deputies); due {
				changes = append(changes, c)
			}
		default:
			c, free := s.claimOf(place.Unit, row.Row, exists, view)
			if free && s.claimer(place.Unit, row.Row, assigned, claimers) == s.config.Self.ID {
				c.row.Deputy = s.deputyFor(place.Unit, deputies)
				changes = append(changes, c)
			}
		}
	}
	slices.SortFunc(changes, func(a, b change) int { return strings.Compare(a.unit.Key(), b.unit.Key()) })
	return changes
}

// candidates returns this instance and the live others that are kept.
func (s *Service) candidates(view *membership.View, keep func(membership.Member) bool) []api.Instance {
	var instances []api.Instance
	if !s.leaving {
		instances = append(instances, s.config.Self)
	}
	for _, m := range view.Members {
		if m.Status == membership.StatusLive && m.Heard && keep(m) {
			instances = append(instances, m.Instance)
		}
	}
	return instances
}

// claimOf returns the claim of a unit and whether the unit is free: it has no row or no owner, its owner has lapsed, or
// its owner's session was replaced by a later one of the same instance.
func (s *Service) claimOf(unit api.Unit, row Row, exists bool, view *membership.View) (change, bool) {
	c := change{unit: unit, row: s.ownRow(row)}
	if !exists || row.Owner == "" {
		return c, true
	}
	if row.Owner == s.config.Self.ID {
		return c, row.Session != s.config.Members.Session()
	}
	m, known := view.Members[row.Owner]
	if !known {
		return c, false
	}
	c.session, c.sessionVersion = row.Owner, m.RowVersion
	replaced := m.RowSession != 0 && m.RowSession != row.Session
	lapsed := m.Lapsed || unit == api.Coordinator && m.CoordinatorGone()
	return c, replaced || lapsed
}

func (s *Service) ownRow(previous Row) Row {
	return Row{
		Owner:    s.config.Self.ID,
		Session:  s.config.Members.Session(),
		Epoch:    previous.Epoch + 1,
		Region:   s.config.Self.Location.Region,
		Previous: previous.Owner,
	}
}

// claimer prefers the deputy of a shard, which has its keys.
func (s *Service) claimer(unit api.Unit, row Row, assigned map[api.Unit]api.InstanceID, claimers []api.Instance) api.InstanceID {
	if unit.Kind == api.UnitShard && contains(claimers, row.Deputy) {
		return row.Deputy
	}
	return assigned[unit]
}

func contains(instances []api.Instance, id api.InstanceID) bool {
	return slices.ContainsFunc(instances, func(i api.Instance) bool { return i.ID == id })
}

func (s *Service) deputyFor(unit api.Unit, instances []api.Instance) api.InstanceID {
	if unit.Kind != api.UnitShard {
		return ""
	}
	return Deputy(unit, s.config.Self.ID, instances)
}

// deputyChange replaces a deputy that is no longer live; without a replacement the shard has none, since an owner with a
// deputy that does not confirm refuses all keys. A live deputy stays, because it has the shard's keys. The epoch grows,
// so that a copy of the keys made for the earlier deputy is not taken for one made for the new deputy.
func (s *Service) deputyChange(unit api.Unit, row Row, instances []api.Instance) (change, bool) {
	deputy := s.deputyFor(unit, instances)
	if deputy == row.Deputy || contains(instances, row.Deputy) {
		return change{}, false
	}
	row.Deputy = deputy
	row.Epoch++
	return change{unit: unit, row: row}, true
}

func (s *Service) commitSingly(ctx context.Context, changes []change) error {
	for _, c := range changes {
		err := s.commit(ctx, []change{c})
		if err != nil && !fault.Is(err, fault.CodeConflict) {
			return err
		}
	}
	return nil
}

func (s *Service) commit(ctx context.Context, changes []change) error {
	txn, err := s.transaction(changes)
	if err != nil {
		return err
	}
	s.pending = &batch{changes: changes, txn: txn}
	return s.settlePending(ctx)
}

func (s *Service) transaction(changes []change) (backend.Txn, error) {
	s.ops++
	txn := backend.Txn{OpID: fmt.Sprintf("%s/%x/unit/%d", s.config.Self.ID, s.config.Members.Session(), s.ops)}
	sessions := map[api.InstanceID]bool{}
	for _, c := range changes {
		data, err := peer.Encode(c.row)
		if err != nil {
			return txn, err
		}
		key := c.unit.Key()
		txn.Conditions = append(txn.Conditions, backend.Condition{Key: key, Version: s.rows[c.unit].version})
		txn.Writes = append(txn.Writes, backend.Write{Key: key, Value: data})
		if c.session != "" && !sessions[c.session] {
			sessions[c.session] = true
			condition := backend.Condition{Key: membership.SessionKey(c.session), Version: c.sessionVersion}
			txn.Conditions = append(txn.Conditions, condition)
		}
	}
	txn.Writes = append(txn.Writes, backend.Write{Key: versionKey, Value: []byte(txn.OpID)})
	return txn, nil
}

// settlePending commits the pending transaction, again if its first reply was lost. It stays pending until the table
// gives a definite answer.
func (s *Service) settlePending(ctx context.Context) error {
	if s.pending == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	result, err := s.config.Table.Commit(ctx, s.pending.txn)
	if err != nil && !fault.Is(err, fault.CodeConflict) {
		return err
	}
	changes := s.pending.changes
	s.pending = nil
	if err != nil {
		s.clearReleasing(changes)
		// The rows in memory are out of date, whether or not the version row shows it.
		s.stale = true
		return err
	}
	for _, c := range changes {
		s.rows[c.unit] = versionedRow{Row: c.row, version: result.Versions[c.unit.Key()]}
	}
	s.clearReleasing(changes)
	s.publish()
	return nil
}

func (s *Service) clearReleasing(changes []change) {
	for _, c := range changes {
		delete(s.releasing, c.unit)
	}
}
