package instance

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"strconv"

	"bronzehook/api"
	"bronzehook/audit"
	"bronzehook/coordinator"
	"bronzehook/dedup"
	"bronzehook/fault"
	"bronzehook/membership"
	"bronzehook/ownership"
	"bronzehook/peer"
)

// newSession returns the incarnation number of this process; it is never 0.
func newSession() uint64 {
	var bytes [8]byte
	// crypto/rand.Read never fails.
	_, _ = rand.Read(bytes[:])
	return binary.LittleEndian.Uint64(bytes[:]) | 1
}

// unitAcquired notifies the runner of an acquired rack, or the coordinator of its acquired role. It is called within an
// ownership step and does not block.
func (i *Instance) unitAcquired(unit api.Unit, epoch api.Epoch, previous api.InstanceID) {
	switch unit.Kind {
	case api.UnitRack:
		i.loop.Post(func() { i.runner.Acquired(unit, epoch) })
	case api.UnitCoordinator:
		i.loop.Post(func() { i.coordinator.Acquired(epoch) })
		go i.announceCoordinator(epoch)
	}
	i.emit(audit.Event{
		Actor: string(i.options.Self.ID), Action: "claim", Subject: unit.Key(), From: string(previous),
		To: string(i.options.Self.ID), Result: audit.ResultOK, Reason: "epoch " + strconv.FormatUint(uint64(epoch), 10),
	})
}

func (i *Instance) unitLost(unit api.Unit) {
	switch unit.Kind {
	case api.UnitRack:
		i.loop.Post(func() { i.runner.Lost(unit) })
	case api.UnitCoordinator:
		i.loop.Post(i.coordinator.Lost)
	}
}

// unitsChanged notifies the deduplication service of shards whose owner, backup or ownership epoch has changed, and the
// runner of a new coordinator.
func (i *Instance) unitsChanged(before, after *ownership.View) {
	for _, shard := range i.shards() {
		previous := shardOwnershipOf(before.Units[shard.Unit()])
		current := shardOwnershipOf(after.Units[shard.Unit()])
		if current == previous {
			continue
		}
		switch {
		case current.Owner == i.options.Self.ID && after.Units[shard.Unit()].Session == i.session:
			i.deduplicator.Acquire(shard, current, previous)
		case previous.Owner == i.options.Self.ID:
			i.deduplicator.Release(shard)
		case previous.Backup == i.options.Self.ID && current.Backup != i.options.Self.ID:
			i.deduplicator.DropBackup(shard)
		}
	}
	if after.Units[api.Coordinator] != before.Units[api.Coordinator] {
		i.loop.Post(i.runner.SendFullReports)
	}
	i.viewStale.Store(true)
}

// unitReleasing completes the backup copy of a shard before the shard is handed over. At this point, Check already
// refuses the unit.
func (i *Instance) unitReleasing(ctx context.Context, unit api.Unit, _ api.Instance) {
	if unit.Kind != api.UnitShard {
		return
	}
	for _, shard := range i.shards() {
		if shard.Unit() != unit {
			continue
		}
		if err := i.deduplicator.Sync(ctx, shard); err != nil {
			i.log.Warn().Str("unit", unit.Key()).Err(err).Msg("request keys not handed over")
		}
		i.deduplicator.Release(shard)
	}
}

func (i *Instance) shards() []dedup.Shard {
	shards := make([]dedup.Shard, 0, len(i.options.Regions)*dedup.ShardsPerRegion)
	for _, region := range i.options.Regions {
		for number := range dedup.ShardsPerRegion {
			shards = append(shards, dedup.Shard{Region: region, Number: number})
		}
	}
	return shards
}

func shardOwnershipOf(owner ownership.Owner) dedup.ShardOwnership {
	return dedup.ShardOwnership{Owner: owner.Instance, Backup: owner.Backup, Epoch: owner.Epoch}
}

// shardAuthority implements dedup.Authority.
type shardAuthority struct{ *Instance }

// Ownership implements dedup.Authority.
func (a shardAuthority) Ownership(shard dedup.Shard) (dedup.ShardOwnership, bool) {
	owner, ok := a.owners.View().Units[shard.Unit()]
	return shardOwnershipOf(owner), ok
}

// Check implements dedup.Authority.
func (a shardAuthority) Check(shard dedup.Shard, epoch api.Epoch) error {
	current, err := a.owners.Check(shard.Unit())
	if err != nil {
		return err
	}
	if current != epoch {
		return &fault.Failure{FailureCode: fault.CodeStaleEpoch, Op: "check shard", Detail: shard.Unit().Key()}
	}
	return nil
}

// UnitOwner implements coordinator.Cluster. A unit counts as unowned once the instance lease of its owner has expired.
func (i *Instance) UnitOwner(unit api.Unit) (coordinator.UnitOwner, bool) {
	owner, ok := i.owners.View().Units[unit]
	if !ok || owner.Instance == "" || i.members.Expired(owner.Instance) {
		return coordinator.UnitOwner{}, false
	}
	return coordinator.UnitOwner{Owner: owner.Instance, Epoch: owner.Epoch}, true
}

// ReportExpected implements coordinator.Cluster.
func (i *Instance) ReportExpected(unit api.Unit) bool {
	owner := i.owners.View().Units[unit].Instance
	if owner == "" || owner == i.options.Self.ID {
		return true
	}
	member, known := i.members.View().Members[owner]
	return known && member.Status != membership.StatusSuspect
}

// announceCoordinator makes the other instances read the units at once instead of at their next poll, so that they
// report to the new coordinator without delay.
func (i *Instance) announceCoordinator(epoch api.Epoch) {
	message := ownership.HandoverNotice{Unit: api.Coordinator, Epoch: epoch}
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	for _, member := range i.livePeers() {
		if err := i.transport.Send(ctx, member.Instance.Addr, peer.KindHandover, message); err != nil {
			i.log.Debug().Str("peer", string(member.Instance.ID)).Err(err).Msg("coordinator not announced")
		}
	}
}

// Check implements coordinator.Cluster.
func (i *Instance) Check(unit api.Unit) (api.Epoch, error) { return i.owners.Check(unit) }

// Workloads implements coordinator.Cluster.
func (i *Instance) Workloads() *api.WorkSet {
	snapshot := i.rollout.Snapshot()
	if snapshot.Revision == 0 {
		return nil
	}
	return &snapshot.Workloads
}

// Workers implements coordinator.Cluster.
func (i *Instance) Workers() ([]api.Worker, map[api.WorkerID]bool) {
	return i.members.View().Workers, i.drains.Workers()
}

// UnitVersion implements coordinator.Cluster.
func (i *Instance) UnitVersion(ctx context.Context, unit api.Unit, epoch api.Epoch) (uint64, error) {
	row, err := i.store.Get(ctx, unit.Key())
	if err != nil {
		return 0, err
	}
	var value ownership.Row
	if err := peer.Decode(row.Value, &value); err != nil {
		return 0, err
	}
	if value.Owner != i.options.Self.ID || value.Session != i.session || value.Epoch != epoch {
		return 0, fault.New(fault.CodeNotOwner, "read unit", "%s is owned by %s at ownership epoch %d", unit.Key(), value.Owner, value.Epoch)
	}
	return row.Version, nil
}

// addrOf returns the address of another instance.
func (i *Instance) addrOf(id api.InstanceID) (string, error) {
	member, ok := i.members.View().Members[id]
	if !ok || member.Instance.Addr == "" {
		return "", fault.NotRun(fault.New(fault.CodeUnreachable, "find instance", "the address of %s is not known", id))
	}
	return member.Instance.Addr, nil
}

// livePeers returns the other instances that are live, in no particular order.
func (i *Instance) livePeers() []membership.Member {
	var live []membership.Member
	for _, member := range i.members.View().Members {
		if member.Status == membership.StatusLive && member.HeartbeatReceived {
			live = append(live, member)
		}
	}
	return live
}

func (i *Instance) auditTask(event coordinator.Event) {
	i.emit(audit.Event{
		Actor: "coordinator", Action: event.Action, Subject: string(event.Task), To: string(event.Worker),
		Result: audit.ResultOK, Reason: event.Reason,
	})
}

// emit records an event in the audit log. It never blocks.
func (i *Instance) emit(event audit.Event) {
	if event.Time.IsZero() {
		event.Time = i.options.Clock.Now()
	}
	event.Instance = i.options.Self.ID
	i.events.emit(event)
}
