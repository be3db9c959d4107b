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

// permitAll is a Racks that owns everything.
type permitAll struct{}

func (permitAll) Permit(api.Endpoint, time.Time) (dispatch.Permit, error) {
	return dispatch.Permit{Epoch: 1, NotAfter: time.Hour}, nil
}

// soleOwner is the authority of the only instance.
type soleOwner struct{}

func (soleOwner) Tenure(dedup.Shard) (dedup.Tenure, bool) {
	return dedup.Tenure{Owner: "i1", Epoch: 1}, true
}
func (soleOwner) Check(dedup.Shard, api.Epoch) error { return nil }

// echo answers as an endpoint does, with the identity of the request.
func echo(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(api.HeaderRequest, r.Header.Get(api.HeaderRequest))
		handler(w, r)
	}
}

func hello(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("hello")) }

type instance struct {
	gateway *Gateway
	slots   *dispatch.SlotTable
	url     string
}

// newInstance starts an instance on loopback with service "s" running at the given addresses, one worker for each.
func newInstance(tb testing.TB, slots int, addrs ...string) instance {
	return newInstanceWith(tb, outlier.DefaultConfig(), slots, addrs...)
}

func newInstanceWith(tb testing.TB, health outlier.Config, slots int, addrs ...string) instance {
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
		table.Offer(w.ID, w.Slots, w.Connections, 0)
	}
	client := dispatch.NewClient(dispatch.DefaultClientConfig())
	tb.Cleanup(client.Close)
	ledger := dedup.NewService(self.ID, dedup.DefaultConfig(), clock, soleOwner{}, nil)
	tb.Cleanup(ledger.Close)
	ledger.SetRegions([]string{"r"})
	for number := range dedup.ShardsPerRegion {
		ledger.Own(dedup.Shard{Region: "r", Number: number}, dedup.Tenure{Owner: self.ID, Epoch: 1}, dedup.Tenure{})
	}
	trackers := routing.NewTrackers(health)
	snapshot := routing.NewSnapshot(in, trackers)
	controller := admission.NewController(clock, admission.DefaultConfig(), max(1, snapshot.RegionSlots()), api.Floors{})
	g := New(DefaultConfig(), Parts{
		Self: self, Clock: clock, Log: zerolog.Nop(), Authenticator: HeaderAuthenticator{DefaultTeam: "t"},
		Admission: controller, Quotas: admission.NewQuotas(),
		Retries: admission.NewRetryBudget(admission.DefaultRetryConfig(), clock.Now()),
		Ledger:  ledger, Trackers: trackers,
		Dispatcher: dispatch.New(self.ID, table, permitAll{}, client, nil),
		Metrics:    NewMetrics(prometheus.NewRegistry(), controller),
	})
	g.SetView(View{Snapshot: snapshot, Specs: map[string]api.Spec{"s": {Name: "s", Kind: api.KindService, Urgency: api.High}}})
	return instance{gateway: g, slots: table, url: "http://" + serve(tb, g.NewServer())}
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
	server := httptest.NewServer(echo(handler))
	tb.Cleanup(server.Close)
	return server.Listener.Addr().String()
}
