package instance

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"bronzehook/api"
	"bronzehook/fault"
	"bronzehook/gateway"
	"bronzehook/membership"
	"bronzehook/routing"
)

const (
	// viewCheckInterval is the time between two checks whether the routing view has to be rebuilt.
	viewCheckInterval = 100 * time.Millisecond
	// viewCompareInterval is the time after which members, workers and drains are compared with those of the last view.
	viewCompareInterval = time.Second
)

// viewService keeps the state that request goroutines read up to date: routing, guaranteed shares, quotas and
// readiness. It runs on the event loop.
type viewService struct {
	*Instance
	fetcher *ownerFetcher
	// started is set once the services that a view is built from have been started.
	started bool
	// lastInputs is what the last view was built from, except the endpoints; comparedAt is when it was last compared.
	lastInputs viewInputs
	comparedAt time.Time
}

// Name implements kernel.Service.
func (v *viewService) Name() string { return "view" }

// Requires implements kernel.Service.
func (v *viewService) Requires() []string {
	return []string{"control", "ownership", "rollout", "runner"}
}

// Start builds the first view and refreshes it periodically.
func (v *viewService) Start(ctx context.Context) error {
	v.viewStale.Store(true)
	v.fetcher = &ownerFetcher{Instance: v.Instance}
	begin := func() {
		v.started = true
		v.refresh()
	}
	if err := v.loop.Do(ctx, begin); err != nil {
		return err
	}
	v.loop.Every(viewCheckInterval, v.refresh)
	return nil
}

// refresh rebuilds the view if what it is built from has changed.
func (v *viewService) refresh() {
	if !v.started {
		return
	}
	v.fetcher.refresh()
	v.gate.refresh()
	now := v.options.Clock.Now()
	stale := v.viewStale.Swap(false)
	if !stale && now.Sub(v.comparedAt) < viewCompareInterval {
		return
	}
	v.comparedAt = now
	v.notifyRackOwners(v.members.View().Workers)
	inputs := v.inputs()
	if stale || !inputs.equal(&v.lastInputs) {
		v.build(inputs)
		v.lastInputs = inputs
	}
	if v.servedRevision.Swap(inputs.revision) != inputs.revision {
		v.members.Announce()
	}
}

// Stop implements kernel.Service. The refreshes end with the event loop.
func (v *viewService) Stop(context.Context) error { return nil }

func (v *viewService) build(inputs viewInputs) {
	members := inputs.members
	v.runner.SetWorkers(inputs.workers, inputs.drained)
	v.endpoints.retain(func(id api.InstanceID) bool { _, ok := members.Members[id]; return ok })
	workers := make(map[api.WorkerID]api.Worker, len(inputs.workers))
	for _, w := range inputs.workers {
		workers[w.ID] = w
	}
	snapshot := routing.NewSnapshot(routing.Input{
		Self: v.options.Self, Endpoints: v.selectEndpoints(v.endpoints.all(), members), Workers: workers, Costs: routing.DefaultCosts(),
	}, v.trackers)
	work := inputs.work
	v.gateway.SetView(gateway.View{Snapshot: snapshot, Specs: work.Specs, Teams: work.Teams})
	v.admission.SetGuaranteedShares(work.Floors)
	live := v.livePeers()
	inRegion := 1
	for _, member := range live {
		if member.Instance.Location.Region == v.options.Self.Location.Region {
			inRegion++
		}
	}
	v.admission.SetCapacity(max(1, snapshot.RegionSlots()/inRegion))
	v.quotas.Set(work.Teams, len(live)+1)
}

// selectEndpoints drops endpoints of unresponsive owners and, for each task, all but the endpoint with the latest
// attempt and ownership epoch. It also drops endpoints of leaving owners if the service has others, because the racks
// of these owners are about to be handed over.
func (v *viewService) selectEndpoints(endpoints []api.Endpoint, members *membership.View) []api.Endpoint {
	latest := make(map[api.TaskID]api.Endpoint, len(endpoints))
	for _, e := range endpoints {
		if e.Owner != v.options.Self.ID && members.Members[e.Owner].Status == membership.StatusSuspect {
			continue
		}
		if known, ok := latest[e.Task]; !ok || e.Attempt > known.Attempt || e.Attempt == known.Attempt && e.Epoch > known.Epoch {
			latest[e.Task] = e
		}
	}
	kept := make([]api.Endpoint, 0, len(latest))
	hasStaying := map[string]bool{}
	leaving := func(e api.Endpoint) bool { return members.Members[e.Owner].Status == membership.StatusLeaving }
	for _, e := range endpoints {
		if latest[e.Task] == e {
			kept = append(kept, e)
			hasStaying[e.Service] = hasStaying[e.Service] || !leaving(e) && !e.Leaving
		}
	}
	return slices.DeleteFunc(kept, func(e api.Endpoint) bool { return leaving(e) && hasStaying[e.Service] })
}

// readinessGate refuses new requests while this instance may not accept them.
type readinessGate struct {
	*Instance
	// refusal is why new requests are refused; nil means that they are accepted.
	refusal atomic.Pointer[fault.Failure]
	// leasePeriod is the current lease period. The configuration has to be confirmed after its start, leasePeriodStart.
	leasePeriod      uint64
	leasePeriodStart time.Time
}

func newReadinessGate(i *Instance) *readinessGate {
	g := &readinessGate{Instance: i}
	g.refusal.Store(&fault.Failure{FailureCode: fault.CodeNotReady, Op: "accept request", Detail: "the instance is starting"})
	return g
}

// refresh updates the refusal. It is called on the event loop.
func (g *readinessGate) refresh() { g.refusal.Store(g.decide()) }

func (g *readinessGate) decide() *fault.Failure {
	refuse := func(code fault.Code, detail string) *fault.Failure {
		return &fault.Failure{FailureCode: code, Op: "accept request", Detail: detail, RetryAfter: time.Second}
	}
	lease := g.members.Authority()
	if lease.Period != g.leasePeriod {
		g.leasePeriod = lease.Period
		g.leasePeriodStart = g.options.Clock.Now()
	}
	switch {
	case g.stopping.Load():
		return refuse(fault.CodeStopping, "the instance is stopping")
	case !g.members.View().DirectoryRead:
		return refuse(fault.CodeNotReady, "the directory has not been read")
	case g.rollout.Ready() != nil:
		return refuse(fault.CodeNotReady, "no configuration has been read")
	case len(g.owners.View().Units) == 0:
		return refuse(fault.CodeNotReady, "the owners of units are not known")
	case !lease.Valid:
		return refuse(fault.CodeNoAuthority, "neither the store nor a majority of the region has confirmed the instance lease")
	case g.rollout.LastConfirmed().Before(g.leasePeriodStart):
		return refuse(fault.CodeNotReady, "the configuration has not been confirmed since the instance lease became valid again")
	}
	return nil
}

// ready returns why new requests are refused, or nil.
func (g *readinessGate) ready() error {
	if g.stopping.Load() {
		return &fault.Failure{FailureCode: fault.CodeStopping, Op: "accept request", Detail: "the instance is stopping"}
	}
	if refusal := g.refusal.Load(); refusal != nil {
		return refusal
	}
	return nil
}

// wrap refuses requests of callers while there is a refusal. A stopping instance still serves those that the load
// balancer sends until the gateway itself starts to drain. It closes each connection after the response: a request that
// arrives on an idle connection at the moment at which the server closes it would be cut off.
func (g *readinessGate) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		refusal := g.refusal.Load()
		if g.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		if refusal == nil || refusal.FailureCode == fault.CodeStopping {
			next.ServeHTTP(w, r)
			return
		}
		g.gateway.Refuse(w, r, refusal)
	})
}
