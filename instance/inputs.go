package instance

import (
	"maps"
	"slices"

	"bronzehook/api"
	"bronzehook/membership"
)

// viewInputs holds what a routing view is built from, except the endpoints, whose changes set viewStale. In most
// seconds none of it changes, and building a view takes milliseconds with thousands of endpoints.
type viewInputs struct {
	members *membership.View
	// workers are those of the platform directory, with the leaving flags of all sources.
	workers []api.Worker
	drained map[api.WorkerID]bool
	work    *api.WorkSet
	// revision is that of work. A view does not depend on it otherwise.
	revision uint64
}

func (v *viewService) inputs() viewInputs {
	members, configuration := v.members.View(), v.rollout.Snapshot()
	return viewInputs{
		members: members, workers: v.leavingWorkers.markLeaving(members.Workers), drained: v.drains.Workers(),
		work: &configuration.Workloads, revision: configuration.Revision,
	}
}

// equal reports whether a view built from other would be the same.
func (in *viewInputs) equal(other *viewInputs) bool {
	return other.members != nil && in.work == other.work && maps.Equal(in.drained, other.drained) &&
		slices.Equal(in.workers, other.workers) &&
		maps.EqualFunc(in.members.Members, other.members.Members, equalForRouting)
}

// equalForRouting compares the fields of a member that a view uses.
func equalForRouting(a, b membership.Member) bool {
	return a.Status == b.Status && a.HeartbeatReceived == b.HeartbeatReceived && a.Instance == b.Instance
}
