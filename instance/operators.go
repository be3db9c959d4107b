package instance

import (
	"context"
	"slices"
	"strings"

	"bronzehook/api"
	"bronzehook/coordinator"
	"bronzehook/drain"
	"bronzehook/fault"
	"bronzehook/operator"
	"bronzehook/peer"
)

// Status implements operator.StatusSource.
func (i *Instance) Status(ctx context.Context) (operator.Status, error) {
	status := operator.Status{
		Instance: i.options.Self.ID, Revision: i.rollout.Snapshot().Revision, Instances: i.instanceStates(),
		Workers: i.workerStates(ctx), Ownership: i.unitStates(), Drains: operatorDrains{i}.list(),
	}
	reason, lastResponse := i.store.health()
	status.Store = operator.StoreState{Healthy: reason == "" && !lastResponse.IsZero(), Reason: reason, LastResponse: lastResponse}
	return status, nil
}

func (i *Instance) instanceStates() []operator.InstanceState {
	self := i.options.Self
	states := []operator.InstanceState{{
		ID: self.ID, Region: self.Location.Region, DataCentre: self.Location.DataCentre,
		Revision: i.rollout.Snapshot().Revision, State: i.selfState(),
	}}
	for _, m := range i.members.View().Members {
		state := string(m.Status)
		if m.Expired {
			state = "lapsed"
		}
		states = append(states, operator.InstanceState{
			ID: m.Instance.ID, Region: m.Instance.Location.Region, DataCentre: m.Instance.Location.DataCentre,
			Revision: m.Revision, State: state,
		})
	}
	slices.SortFunc(states, func(a, b operator.InstanceState) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return states
}

func (i *Instance) selfState() string {
	switch {
	case i.stopping.Load():
		return "leaving"
	case !i.members.Valid():
		return "lapsed"
	}
	return "live"
}

// workerStates combines the directory and the drains with the coordinator's state of the workers. If the coordinator
// does not respond, it returns the former alone and says so in the reason.
func (i *Instance) workerStates(ctx context.Context) []operator.WorkerState {
	drained := i.drains.Workers()
	reply, err := queryCoordinator[workerStatesReply](ctx, i, peer.KindWorkerStates, workerStatesQuery{}, i.localWorkerStates)
	var states []operator.WorkerState
	for _, w := range i.members.View().Workers {
		known, reported := reply.Workers[w.ID]
		state := operator.WorkerState{
			ID: w.ID, Location: w.Location, Capacity: w.Capacity, Tasks: known.Tasks, Used: known.Used, State: "live",
		}
		switch {
		case err != nil:
			state.Reason = "no response from the coordinator"
		case !reported || !known.Reachable:
			state.State = "unreachable"
		case known.Quarantined:
			state.State = "quarantined"
		}
		switch {
		case drained[w.ID]:
			state.State = "drained"
		case w.Leaving:
			state.State = "leaving"
		}
		states = append(states, state)
	}
	return states
}

// workerStatesQuery is the request for the coordinator's state of the workers.
type workerStatesQuery struct{}

type workerStatesReply struct {
	Workers map[api.WorkerID]coordinator.WorkerState `cbor:"1,keyasint,omitempty"`
}

func (i *Instance) localWorkerStates(ctx context.Context) (workerStatesReply, error) {
	var reply workerStatesReply
	isCoordinator := false
	err := i.loop.Do(ctx, func() { reply.Workers, isCoordinator = i.coordinator.WorkerStates() })
	if err == nil && !isCoordinator {
		err = notCoordinatorError("worker states")
	}
	return reply, err
}

func notCoordinatorError(op string) error {
	return fault.New(fault.CodeNotOwner, op, "this instance is not the coordinator")
}

// queryCoordinator sends a query to the coordinator, or calls local if this instance is the coordinator.
func queryCoordinator[Reply, Query any](
	ctx context.Context, i *Instance, kind peer.Kind, query Query, local func(context.Context) (Reply, error),
) (Reply, error) {
	owner := i.owners.View().Units[api.Coordinator].Instance
	switch owner {
	case "":
		var zero Reply
		return zero, fault.New(fault.CodeNotReady, "query coordinator", "there is no coordinator")
	case i.options.Self.ID:
		return local(ctx)
	}
	return call[Reply](ctx, i, owner, kind, query)
}

func (i *Instance) unitStates() []operator.UnitState {
	var states []operator.UnitState
	for unit, owner := range i.owners.View().Units {
		states = append(states, operator.UnitState{Unit: unit, Owner: owner.Instance, Epoch: owner.Epoch, Deputy: owner.Backup})
	}
	slices.SortFunc(states, func(a, b operator.UnitState) int { return strings.Compare(a.Unit.Key(), b.Unit.Key()) })
	return states
}

// explainQuery is the request for the coordinator's explanation of a workload.
type explainQuery struct {
	Work string `cbor:"1,keyasint"`
}

type explainReply struct {
	Tasks []coordinator.Explanation `cbor:"1,keyasint,omitempty"`
}

// Explain implements operator.Explainer. It queries the coordinator, which may be another instance.
func (i *Instance) Explain(ctx context.Context, work string) (operator.Explanation, error) {
	spec, known := i.rollout.Snapshot().Workloads.Specs[work]
	if !known {
		return operator.Explanation{}, fault.New(fault.CodeNotFound, "explain", "no workload is named %s", work)
	}
	local := func(ctx context.Context) (explainReply, error) { return i.explainLocally(ctx, work) }
	reply, err := queryCoordinator(ctx, i, peer.KindExplain, explainQuery{Work: work}, local)
	if err != nil {
		return operator.Explanation{}, err
	}
	return explanationOf(spec, reply), nil
}

func (i *Instance) explainLocally(ctx context.Context, work string) (explainReply, error) {
	var reply explainReply
	isCoordinator := false
	err := i.loop.Do(ctx, func() { reply.Tasks, isCoordinator = i.coordinator.Explain(work) })
	if err == nil && !isCoordinator {
		err = notCoordinatorError("explain")
	}
	return reply, err
}

func explanationOf(spec api.Spec, reply explainReply) operator.Explanation {
	explanation := operator.Explanation{Work: spec.Name, Tasks: []operator.TaskExplanation{}}
	slices.SortFunc(reply.Tasks, func(a, b coordinator.Explanation) int {
		return strings.Compare(string(a.Task.ID), string(b.Task.ID))
	})
	for _, t := range reply.Tasks {
		explanation.Tasks = append(explanation.Tasks, operator.TaskExplanation{
			Task: t.Task.ID, Wanted: t.Task.Wanted, Seen: t.Observed, Worker: t.Task.Worker, Reason: t.Reason,
		})
		if t.Task.Wanted == api.WantedPending && explanation.Waits == "" {
			explanation.Waits = t.Reason
		}
	}
	return explanation
}

// operatorDrains implements operator.Drains.
type operatorDrains struct{ *Instance }

// Drain implements operator.Drains.
func (d operatorDrains) Drain(ctx context.Context, request operator.Drain) error {
	known := slices.ContainsFunc(d.members.View().Workers, func(w api.Worker) bool { return w.ID == request.Worker })
	if !known {
		return fault.New(fault.CodeNotFound, "drain", "no worker is named %s", request.Worker)
	}
	return d.drains.Drain(ctx, drain.Record(request))
}

// Undrain implements operator.Drains.
func (d operatorDrains) Undrain(ctx context.Context, worker api.WorkerID) error {
	return d.drains.Undrain(ctx, worker)
}

func (d operatorDrains) list() []operator.Drain {
	var drains []operator.Drain
	for _, record := range d.drains.Current() {
		drains = append(drains, operator.Drain(record))
	}
	return drains
}
