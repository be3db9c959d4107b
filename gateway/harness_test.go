package gateway

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"bronzehook/admission"
	"bronzehook/api"
	"bronzehook/dedup"
	"bronzehook/dispatch"
	"bronzehook/routing"
	"bronzehook/routing/outlier"
)

// permitAll implements dispatch.Permitter and permits every request.
type permitAll struct{}

func (permitAll) Permit(api.Endpoint, time.Time) (dispatch.Permit, error) {
	return dispatch.Permit{Epoch: 1, NotAfter: time.Hour}, nil
}

// singleOwner implements dedup.Authority for a single instance, which owns every shard.
type singleOwner struct{}

func (singleOwner) Ownership(dedup.Shard) (dedup.ShardOwnership, bool) {
	return dedup.ShardOwnership{Owner: "i1", Epoch: 1}, true
}
func (singleOwner) Check(dedup.Shard, api.Epoch) error { return nil }

// withRequestID adds the request ID to the response of handler, as endpoints do.
func withRequestID(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(api.HeaderRequest, r.Header.Get(api.HeaderRequest))
		handler(w, r)
	}
}

func hello(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("hello")) }

type testInstance struct {
	gateway *Gateway
	slots   *dispatch.SlotTable
	url     string
}

// newInstance starts an instance on loopback. Service "s" has an endpoint at each address, each on a worker of its own.
func newInstance(tb testing.TB, slots int, addrs ...string) testInstance {
	return newInstanceWith(tb, outlier.DefaultConfig(), slots, addrs...)
}

func newInstanceWith(tb testing.TB, health outlier.Config, slots int, addrs ...string) testInstance {
	self := api.Instance{ID: "i1", Location: api.Location{Region: "r", DataCentre: "d"}}
	clock := clockwork.NewRealClock()
	in := routing.Input{Self: self, Workers: map[api.WorkerID]api.Worker{}, Costs: routing.DefaultCosts()}
	var workers []api.Worker
	for i, addr := range addrs {
		w := api.Worker{ID: api.WorkerID(addr), Slots: slots, Connections: 64}
		workers = append(workers, w)
		in.Workers[w.ID] = w
		in.Endpoints = append(in.Endpoints, api.Endpoint{
			Service: "s", Task: api.NewTaskID("s", i), Attempt: 1, Worker: w.ID, Addr: addr, Owner: self.ID,
			Location: api.Location{Region: "r", DataCentre: "d"},
		})
	}
	table := dispatch.NewSlotTable()
	for _, w := range workers {
		table.SetCapacity(w.ID, w.Slots, w.Connections, 0)
	}
	client := dispatch.NewClient(dispatch.DefaultClientConfig())
	tb.Cleanup(client.Close)
	deduplicator := dedup.NewService(self.ID, dedup.DefaultConfig(), clock, singleOwner{}, nil)
	tb.Cleanup(deduplicator.Close)
	deduplicator.SetRegions([]string{"r"})
	for number := range dedup.ShardsPerRegion {
		deduplicator.Acquire(dedup.Shard{Region: "r", Number: number}, dedup.ShardOwnership{Owner: self.ID, Epoch: 1}, dedup.ShardOwnership{})
	}
	trackers := routing.NewTrackers(health)
	snapshot := routing.NewSnapshot(in, trackers)
	controller := admission.NewController(clock, admission.DefaultConfig(), max(1, snapshot.RegionSlots()), api.Floors{})
	g := New(DefaultConfig(), Dependencies{
		Self: self, Clock: clock, Log: zerolog.Nop(), Authenticator: HeaderAuthenticator{DefaultTeam: "t"},
		Admission: controller, Quotas: admission.NewQuotas(),
		Retries:      admission.NewRetryBudget(admission.DefaultRetryConfig(), clock.Now()),
		Deduplicator: deduplicator, Trackers: trackers,
		Dispatcher: dispatch.New(self.ID, table, permitAll{}, client, nil),
		Metrics:    NewMetrics(prometheus.NewRegistry(), controller),
	})
	g.SetView(View{Snapshot: snapshot, Specs: map[string]api.Spec{"s": {Name: "s", Kind: api.KindService, Urgency: api.High}}})
	return testInstance{gateway: g, slots: table, url: "http://" + serve(tb, g.NewServer())}
}

func serve(tb testing.TB, server *http.Server) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	tb.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func endpoint(tb testing.TB, handler http.HandlerFunc) string {
	server := httptest.NewServer(withRequestID(handler))
	tb.Cleanup(server.Close)
	return server.Listener.Addr().String()
}
