package instance

import (
	"context"

	"bronzehook/api"
	"bronzehook/config/rollout"
	"bronzehook/dedup"
	"bronzehook/dispatch"
	"bronzehook/fault"
	"bronzehook/membership"
	"bronzehook/peer"
	"bronzehook/runner"
)

// empty is a response without content.
type empty struct{}

// bundlePull is the request for the configuration of an instance.
type bundlePull struct{}

// commandsReply is the response to commands of the coordinator.
type commandsReply struct {
	Reports []runner.AttemptReport `cbor:"1,keyasint,omitempty"`
}

func (i *Instance) registerMessages() {
	t := i.transport
	handleEndpointQuery(t, i.endpoints)
	peer.HandleTyped(t, peer.KindConfigPull, func(context.Context, peer.Sender, bundlePull) (rollout.Bundle, error) {
		return i.rollout.Bundle()
	})
	peer.HandleTyped(t, peer.KindOwnersPull, func(context.Context, peer.Sender, ownersPull) (ownersReply, error) {
		return i.knownOwners(), nil
	})
	peer.HandleTyped(t, peer.KindWorkersLeaving, func(_ context.Context, _ peer.Sender, m workersLeaving) (empty, error) {
		i.leavingWorkers.record(m.Workers)
		return empty{}, nil
	})
	peer.HandleTyped(t, peer.KindTaskReport, func(ctx context.Context, _ peer.Sender, r runner.Report) (runner.ReportReply, error) {
		return i.handleReport(ctx, r)
	})
	peer.HandleTyped(t, peer.KindAssignTask, func(ctx context.Context, _ peer.Sender, o runner.Orders) (commandsReply, error) {
		reports, err := i.applyCommands(ctx, o)
		return commandsReply{Reports: reports}, err
	})
	peer.HandleTyped(t, peer.KindWorkerStates, func(ctx context.Context, _ peer.Sender, _ workerStatesQuery) (workerStatesReply, error) {
		return i.localWorkerStates(ctx)
	})
	peer.HandleTyped(t, peer.KindExplain, func(ctx context.Context, _ peer.Sender, q explainQuery) (explainReply, error) {
		return i.explainLocally(ctx, q.Work)
	})
	peer.HandleTyped(t, peer.KindForward, func(ctx context.Context, _ peer.Sender, m dispatch.ForwardRequest) (dispatch.Reply, error) {
		return i.gateway.ServeForward(ctx, m), nil
	})
	peer.HandleTyped(t, peer.KindForwardKeyed, func(ctx context.Context, _ peer.Sender, m dispatch.KeyedRequest) (dispatch.Reply, error) {
		return i.gateway.ServeKeyed(ctx, m), nil
	})
	peer.HandleTyped(t, peer.KindDedupRecord, func(_ context.Context, _ peer.Sender, m dedup.RecordMessage) (empty, error) {
		return empty{}, i.deduplicator.ApplyRecord(m)
	})
	peer.HandleTyped(t, peer.KindDedupTransfer, func(_ context.Context, _ peer.Sender, m dedup.TransferMessage) (empty, error) {
		return empty{}, i.deduplicator.ApplyTransfer(m)
	})
}

// call sends a request to another instance.
func call[Response, Request any](ctx context.Context, i *Instance, to api.InstanceID, kind peer.Kind, request Request) (Response, error) {
	addr, err := i.addrOf(to)
	if err != nil {
		var zero Response
		return zero, err
	}
	return peer.Call[Request, Response](ctx, i.transport, addr, kind, request)
}

// fetchEndpoints fetches the endpoints that another instance publishes.
func (i *Instance) fetchEndpoints(ctx context.Context, from api.InstanceID) (endpointSet, error) {
	return call[endpointSet](ctx, i, from, peer.KindEndpointPull, endpointQuery{})
}

// Forward implements dispatch.Forwarder.
func (i *Instance) Forward(ctx context.Context, owner api.InstanceID, m dispatch.ForwardRequest) (dispatch.Reply, error) {
	if err := i.rejectIfSuspect(owner); err != nil {
		return dispatch.Reply{}, err
	}
	return call[dispatch.Reply](ctx, i, owner, peer.KindForward, m)
}

// ForwardKeyed implements gateway.Peers.
func (i *Instance) ForwardKeyed(ctx context.Context, owner api.InstanceID, m dispatch.KeyedRequest) (dispatch.Reply, error) {
	if err := i.rejectIfSuspect(owner); err != nil {
		return dispatch.Reply{}, err
	}
	return call[dispatch.Reply](ctx, i, owner, peer.KindForwardKeyed, m)
}

// rejectIfSuspect refuses to forward a request to an unresponsive instance. The request would wait for a response until
// its deadline and then have an unknown outcome, although another instance might still serve it.
func (i *Instance) rejectIfSuspect(owner api.InstanceID) error {
	if i.members.View().Members[owner].Status != membership.StatusSuspect {
		return nil
	}
	return fault.NotRun(&fault.Failure{FailureCode: fault.CodeUnreachable, Op: "forward request", Detail: "instance " + string(owner) + " is unresponsive"})
}

// replicator implements dedup.Replicator.
type replicator struct{ *Instance }

// Replicate implements dedup.Replicator.
func (r replicator) Replicate(ctx context.Context, to api.InstanceID, m dedup.RecordMessage) error {
	_, err := call[empty](ctx, r.Instance, to, peer.KindDedupRecord, m)
	return err
}

// Transfer implements dedup.Replicator.
func (r replicator) Transfer(ctx context.Context, to api.InstanceID, m dedup.TransferMessage) error {
	_, err := call[empty](ctx, r.Instance, to, peer.KindDedupTransfer, m)
	return err
}

// Report implements runner.Reporter: it delivers a report to the coordinator, which may be this instance.
func (i *Instance) Report(ctx context.Context, report runner.Report) (runner.ReportReply, error) {
	owner, ok := i.owners.View().Units[api.Coordinator]
	switch {
	case !ok || owner.Instance == "":
		return runner.ReportReply{}, fault.New(fault.CodeNotOwner, "report", "there is no coordinator")
	case owner.Instance == i.options.Self.ID:
		return i.handleReport(ctx, report)
	}
	return call[runner.ReportReply](ctx, i, owner.Instance, peer.KindTaskReport, report)
}

func (i *Instance) handleReport(ctx context.Context, report runner.Report) (runner.ReportReply, error) {
	var reply runner.ReportReply
	isCoordinator := false
	err := i.loop.Do(ctx, func() { reply, isCoordinator = i.coordinator.HandleReport(report) })
	if err == nil && !isCoordinator {
		err = notCoordinatorError("report")
	}
	return reply, err
}

// SendCommands implements coordinator.Sender.
func (i *Instance) SendCommands(ctx context.Context, to api.InstanceID, orders runner.Orders) ([]runner.AttemptReport, error) {
	if to == i.options.Self.ID {
		return i.applyCommands(ctx, orders)
	}
	reply, err := call[commandsReply](ctx, i, to, peer.KindAssignTask, orders)
	return reply.Reports, err
}

func (i *Instance) applyCommands(ctx context.Context, orders runner.Orders) ([]runner.AttemptReport, error) {
	var reports []runner.AttemptReport
	err := i.loop.Do(ctx, func() { reports = i.runner.Apply(orders) })
	return reports, err
}

// bundleSource implements rollout.PeerSource.
type bundleSource struct{ *Instance }

// Fetch implements rollout.PeerSource: it queries live instances until one has the revision. Before this instance has
// read its first configuration, it queries all instances.
func (s bundleSource) Fetch(ctx context.Context, revision uint64) (rollout.Bundle, error) {
	if s.rollout.Ready() != nil {
		return s.fetchInitial(ctx, revision)
	}
	for _, member := range s.livePeers() {
		if member.Expired || member.Revision < revision {
			continue
		}
		bundle, err := call[rollout.Bundle](ctx, s.Instance, member.Instance.ID, peer.KindConfigPull, bundlePull{})
		if err == nil && bundle.Revision >= revision {
			return bundle, nil
		}
	}
	return rollout.Bundle{}, fault.New(fault.CodeNotFound, "fetch configuration", "no peer has revision %d", revision)
}

// fetchInitial returns the bundle with the highest revision of all instances in the directory. It fails while one of
// them is unresponsive: before a restart, this instance may have had a revision active that only the unresponsive one
// still has.
func (s bundleSource) fetchInitial(ctx context.Context, revision uint64) (rollout.Bundle, error) {
	const op = "fetch initial configuration"
	view := s.members.View()
	if !view.DirectoryRead {
		return rollout.Bundle{}, fault.New(fault.CodeNotReady, op, "the directory has not been read")
	}
	var best rollout.Bundle
	found := false
	for id, member := range view.Members {
		if member.Instance.Leaving {
			continue
		}
		if !member.HeartbeatReceived && member.Listed {
			return best, fault.New(fault.CodeNotReady, op, "no heartbeat received from %s, which is in the directory", id)
		}
		bundle, err := call[rollout.Bundle](ctx, s.Instance, id, peer.KindConfigPull, bundlePull{})
		if err != nil && member.Listed && !fault.Is(err, fault.CodeNotReady) {
			return best, err
		}
		if err == nil && bundle.Revision >= revision && (!found || bundle.Revision > best.Revision) {
			best, found = bundle, true
		}
	}
	if !found {
		return best, fault.New(fault.CodeNotFound, op, "no peer has revision %d", revision)
	}
	return best, nil
}

// instanceStatuses implements rollout.Instances.
type instanceStatuses struct{ *Instance }

// Instances implements rollout.Instances.
func (s instanceStatuses) Instances() []rollout.InstanceStatus {
	self := s.options.Self
	statuses := []rollout.InstanceStatus{{
		ID: self.ID, Region: self.Location.Region, Revision: s.rollout.Snapshot().Revision,
	}}
	for _, member := range s.members.View().Members {
		statuses = append(statuses, rollout.InstanceStatus{
			ID: member.Instance.ID, Region: member.Instance.Location.Region, Revision: member.Revision, Expired: member.Expired,
		})
	}
	return statuses
}
