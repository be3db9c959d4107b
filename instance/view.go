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
	// viewInterval is the time between two looks at whether the view of routing has to be built anew.
	viewInterval = 100 * time.Millisecond
	// viewMaxAge is the time after which members, workers and drains are compared with those of the last view.
	viewMaxAge = time.Second
)

// viewService keeps what traffic sees up to date: routing, floors, quotas and readiness. It runs on the control
// goroutine.
type viewService struct {
	*Instance
	// built is what the last view was built from, beside the endpoints.
	built viewInputs
}

// Name implements kernel.Service.
func (v *viewService) Name() string { return "view" }

// Requires implements kernel.Service.
func (v *viewService) Requires() []string {
	return []string{"control", "ownership", "rollout", "runner"}
}

// Start builds the first view.
func (v *viewService) Start(ctx context.Context) error {
	v.viewStale.Store(true)
	compared := time.Time{}
	learner := &ownerLearner{Instance: v.Instance}
	refresh := func() {
		learner.refresh()
		v.gate.refresh()
		now := v.options.Clock.Now()
		stale := v.viewStale.Swap(false)
		if !stale && now.Sub(compared) < viewMaxAge {
			return
		}
		compared = now
		v.tellOwners(v.members.View().Workers)
		if inputs := v.inputs(); stale || !inputs.equal(&v.built) {
			v.build(inputs)
			v.built = inputs
		}
	}
	if err := v.loop.Do(ctx, refresh); err != nil {
		return err
	}
	v.loop.Every(viewInterval, refresh)
	return nil
}

// Stop implements kernel.Service; the refreshes end with the control goroutine.
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
		Self: v.options.Self, Endpoints: v.usable(v.endpoints.all(), members), Workers: workers, Costs: routing.DefaultCosts(),
	}, v.trackers)
	work := inputs.work
	v.gateway.SetView(gateway.View{Snapshot: snapshot, Specs: work.Specs, Teams: work.Teams})
	v.admission.SetFloors(work.Floors)
	live := v.live()
	inRegion := 1
	for _, member := range live {
		if member.Instance.Location.Region == v.options.Self.Location.Region {
			inRegion++
		}
	}
	v.admission.SetCapacity(max(1, snapshot.RegionSlots()/inRegion))
	v.quotas.Set(work.Teams, len(live)+1)
}

// usable leaves out endpoints of owners that are not heard, of each task all but the entry of the latest owner, and
// endpoints of owners that leave where a service has others: their racks are about to be handed over.
func (v *viewService) usable(endpoints []api.Endpoint, members *membership.View) []api.Endpoint {
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
	stays := map[string]bool{}
	leaving := func(e api.Endpoint) bool { return members.Members[e.Owner].Status == membership.StatusLeaving }
	for _, e := range endpoints {
		if latest[e.Task] == e {
			kept = append(kept, e)
			stays[e.Service] = stays[e.Service] || !leaving(e) && !e.Leaving
		}
	}
	return slices.DeleteFunc(kept, func(e api.Endpoint) bool { return leaving(e) && stays[e.Service] })
}

// gate keeps new work away while this instance may not take it.
type gate struct {
	*Instance
	// refusal is why new work is refused; nil means that it is taken.
	refusal atomic.Pointer[fault.Failure]
	// term is the term of authority, begun at termAt, that the configuration has to be confirmed in.
	term   uint64
	termAt time.Time
}

func newGate(i *Instance) *gate {
	g := &gate{Instance: i}
	g.refusal.Store(&fault.Failure{FailureCode: fault.CodeNotReady, Op: "take work", Detail: "the instance is starting"})
	return g
}

// refresh decides anew. It is called on the control goroutine.
func (g *gate) refresh() { g.refusal.Store(g.decide()) }

func (g *gate) decide() *fault.Failure {
	refuse := func(code fault.Code, detail string) *fault.Failure {
		return &fault.Failure{FailureCode: code, Op: "take work", Detail: detail, RetryAfter: time.Second}
	}
	held := g.members.Authority()
	if held.Term != g.term {
		g.term = held.Term
		g.termAt = g.options.Clock.Now()
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
	case !held.Valid:
		return refuse(fault.CodeNoAuthority, "neither the store nor a majority of the region confirms this instance")
	case g.rollout.Confirmed().Before(g.termAt):
		return refuse(fault.CodeNotReady, "the configuration has not been confirmed since authority was regained")
	}
	return nil
}

// ready returns why new work is refused, or nil.
func (g *gate) ready() error {
	if g.stopping.Load() {
		return &fault.Failure{FailureCode: fault.CodeStopping, Op: "take work", Detail: "the instance is stopping"}
	}
	if refusal := g.refusal.Load(); refusal != nil {
		return refusal
	}
	return nil
}

// wrap refuses requests of callers while the gate is closed. A stopping instance still serves those that the balancer
// sends until the gateway's own drain begins. It closes each connection after the answer: a request that arrives on an
// idle connection at the moment at which the server closes it would be cut off.
func (g *gate) wrap(next http.Handler) http.Handler {
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
