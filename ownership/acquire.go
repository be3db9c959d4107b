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

// maxChangesPerTxn bounds the number of unit rows that one transaction changes.
const maxChangesPerTxn = 50

// change is a new value for one unit row. If sessionInstance is set, the change is conditional on the session row of
// that instance: it must still have the version on which the expiry decision was based.
type change struct {
	unit            api.Unit
	row             Row
	sessionInstance api.InstanceID
	sessionVersion  uint64
}

// pendingTxn is a transaction of unknown outcome. It is repeated with the same operation ID.
type pendingTxn struct {
	changes []change
	txn     backend.Txn
}

// acquireDue acquires the units that have no valid owner and are assigned to this instance, and replaces backups that
// are no longer live.
func (s *Service) acquireDue(ctx context.Context) error {
	authority := s.config.Members.Authority()
	if !authority.RenewedInPeriod || authority.Period != s.leasePeriod || !s.ready() {
		return nil
	}
	changes := s.dueChanges(s.config.Members.View())
	for group := range slices.Chunk(changes, maxChangesPerTxn) {
		err := s.commit(ctx, group)
		if fault.Is(err, fault.CodeConflict) {
			err = s.commitOneByOne(ctx, group)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// ready reports whether enough state was read to tell a unit without a valid owner from one whose owner is not known
// yet.
func (s *Service) ready() bool {
	view := s.config.Members.View()
	return s.rowsRead && !s.stale && view.DirectoryRead && view.SessionsRead && s.startupWaitOver(view)
}

// startupWaitOver reports whether each listed instance that is not leaving has sent a heartbeat and can reach the
// store, or maxStartupWait has passed.
func (s *Service) startupWaitOver(view *membership.View) bool {
	if s.startupWaitDone || s.config.Clock.Since(s.createdAt) >= maxStartupWait {
		s.startupWaitDone = true
		return true
	}
	for _, m := range view.Members {
		if m.Listed && !m.Instance.Leaving && !(m.HeartbeatReceived && m.StoreReachable) {
			return false
		}
	}
	s.startupWaitDone = true
	return true
}

// dueChanges returns the changes that are due. It does not modify the state.
func (s *Service) dueChanges(view *membership.View) []change {
	ownerCandidates := s.candidates(view, func(m membership.Member) bool { return m.StoreReachable })
	backupCandidates := s.candidates(view, func(membership.Member) bool { return true })
	locations := s.unitLocations(view)
	assigned := Assign(locations, ownerCandidates)
	var changes []change
	for _, loc := range locations {
		row, exists := s.rows[loc.Unit]
		switch {
		case exists && s.ownedBySelf(row.Row):
			if c, due := s.backupChange(loc.Unit, row.Row, backupCandidates); due {
				changes = append(changes, c)
			}
		default:
			c, acquirable := s.acquireChange(loc.Unit, row.Row, exists, view)
			if acquirable && s.preferredOwner(loc.Unit, row.Row, assigned, ownerCandidates) == s.config.Self.ID {
				c.row.Backup = s.backupFor(loc.Unit, backupCandidates)
				changes = append(changes, c)
			}
		}
	}
	slices.SortFunc(changes, func(a, b change) int { return strings.Compare(a.unit.Key(), b.unit.Key()) })
	return changes
}

// candidates returns this instance, unless it is leaving, and the other live instances that the filter keeps.
func (s *Service) candidates(view *membership.View, keep func(membership.Member) bool) []api.Instance {
	var instances []api.Instance
	if !s.leaving {
		instances = append(instances, s.config.Self)
	}
	for _, m := range view.Members {
		if m.Status == membership.StatusLive && m.HeartbeatReceived && keep(m) {
			instances = append(instances, m.Instance)
		}
	}
	return instances
}

// acquireChange returns the change by which this instance acquires a unit, and whether the unit may be acquired. It may
// if it has no row or no owner, if the instance lease of its owner has expired, or if the incarnation that owns it was
// replaced by a later one of the same instance. The coordinator unit may also be acquired from a replaceable
// coordinator.
func (s *Service) acquireChange(unit api.Unit, row Row, exists bool, view *membership.View) (change, bool) {
	c := change{unit: unit, row: s.newOwnedRow(row)}
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
	c.sessionInstance, c.sessionVersion = row.Owner, m.RowVersion
	replaced := m.RowSession != 0 && m.RowSession != row.Session
	expired := m.Expired || unit == api.Coordinator && m.CoordinatorReplaceable()
	return c, replaced || expired
}

func (s *Service) newOwnedRow(previous Row) Row {
	return Row{
		Owner:    s.config.Self.ID,
		Session:  s.config.Members.Session(),
		Epoch:    previous.Epoch + 1,
		Region:   s.config.Self.Location.Region,
		Previous: previous.Owner,
	}
}

// preferredOwner returns the instance that should acquire a unit: for a shard its backup, which has the shard's keys,
// else the assigned instance.
func (s *Service) preferredOwner(unit api.Unit, row Row, assigned map[api.Unit]api.InstanceID, ownerCandidates []api.Instance) api.InstanceID {
	if unit.Kind == api.UnitShard && contains(ownerCandidates, row.Backup) {
		return row.Backup
	}
	return assigned[unit]
}

func contains(instances []api.Instance, id api.InstanceID) bool {
	return slices.ContainsFunc(instances, func(i api.Instance) bool { return i.ID == id })
}

func (s *Service) backupFor(unit api.Unit, instances []api.Instance) api.InstanceID {
	if unit.Kind != api.UnitShard {
		return ""
	}
	return ChooseBackup(unit, s.config.Self.ID, instances)
}

// backupChange replaces a backup that is no longer live. If there is no replacement, the shard is left without a
// backup, because an owner refuses all keys while its backup does not confirm them. A live backup stays, because it has
// the shard's keys. The ownership epoch is raised so that a copy of the keys made for the earlier backup is not taken
// for one made for the new backup.
func (s *Service) backupChange(unit api.Unit, row Row, instances []api.Instance) (change, bool) {
	backup := s.backupFor(unit, instances)
	if backup == row.Backup || contains(instances, row.Backup) {
		return change{}, false
	}
	row.Backup = backup
	row.Epoch++
	return change{unit: unit, row: row}, true
}

func (s *Service) commitOneByOne(ctx context.Context, changes []change) error {
	for _, c := range changes {
		err := s.commit(ctx, []change{c})
		if err != nil && !fault.Is(err, fault.CodeConflict) {
			return err
		}
	}
	return nil
}

func (s *Service) commit(ctx context.Context, changes []change) error {
	txn, err := s.buildTxn(changes)
	if err != nil {
		return err
	}
	s.pending = &pendingTxn{changes: changes, txn: txn}
	return s.commitPending(ctx)
}

func (s *Service) buildTxn(changes []change) (backend.Txn, error) {
	s.txnCount++
	txn := backend.Txn{OpID: fmt.Sprintf("%s/%x/unit/%d", s.config.Self.ID, s.config.Members.Session(), s.txnCount)}
	sessions := map[api.InstanceID]bool{}
	for _, c := range changes {
		data, err := peer.Encode(c.row)
		if err != nil {
			return txn, err
		}
		key := c.unit.Key()
		txn.Conditions = append(txn.Conditions, backend.Condition{Key: key, Version: s.rows[c.unit].version})
		txn.Writes = append(txn.Writes, backend.Write{Key: key, Value: data})
		if c.sessionInstance != "" && !sessions[c.sessionInstance] {
			sessions[c.sessionInstance] = true
			condition := backend.Condition{Key: membership.SessionKey(c.sessionInstance), Version: c.sessionVersion}
			txn.Conditions = append(txn.Conditions, condition)
		}
	}
	txn.Writes = append(txn.Writes, backend.Write{Key: versionRowKey, Value: []byte(txn.OpID)})
	return txn, nil
}

// commitPending commits the pending transaction, or repeats it if the first reply was lost. The transaction stays
// pending until the table returns a definite result.
func (s *Service) commitPending(ctx context.Context) error {
	if s.pending == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
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
