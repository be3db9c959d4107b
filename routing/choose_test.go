package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"bronzehook/api"
	"bronzehook/fault"
	"bronzehook/routing/outlier"
)

var (
	now  = time.Unix(1000, 0)
	self = api.Instance{ID: "i1", Location: api.Location{Region: "cornwall", DataCentre: "montego"}}
)

type fixture struct {
	name, region, dataCentre string
	owner                    api.InstanceID
	inFlight                 int
	latency                  time.Duration
	leaving                  bool
	ejected                  bool
}

func snapshotOf(fixtures []fixture) (*Snapshot, *Trackers) {
	in := Input{Self: self, Workers: map[api.WorkerID]api.Worker{}, Costs: DefaultCosts()}
	for _, f := range fixtures {
		w := api.Worker{ID: api.WorkerID(f.name), Slots: 8, Connections: 64}
		in.Workers[w.ID] = w
		in.Endpoints = append(in.Endpoints, api.Endpoint{
			Service: "s", Task: api.TaskID(f.name), Worker: w.ID, Owner: f.owner, Leaving: f.leaving,
			Location: api.Location{Region: f.region, DataCentre: f.dataCentre},
		})
	}
	trackers := NewTrackers(outlier.DefaultConfig())
	s := NewSnapshot(in, trackers)
	for i, f := range fixtures {
		if f.leaving {
			continue
		}
		t := trackers.Lookup(KeyOf(in.Endpoints[i]))
		t.latency.Store(int64(f.latency))
		t.inFlight.Store(int64(f.inFlight))
		if f.ejected {
			t.health.Record(now, outlier.ConnectionFailed)
		}
	}
	return s, trackers
}

func TestChoose(t *testing.T) {
	local := fixture{name: "own", region: "cornwall", dataCentre: "montego", owner: "i1", latency: 10 * time.Millisecond}
	sameDataCentre := fixture{name: "near", region: "cornwall", dataCentre: "montego", owner: "i2", latency: 10 * time.Millisecond}
	sameRegion := fixture{name: "region", region: "cornwall", dataCentre: "savanna", owner: "i3", latency: 10 * time.Millisecond}
	remote := fixture{name: "remote", region: "surrey", dataCentre: "kingston", owner: "i4", latency: 10 * time.Millisecond}
	busy := func(f fixture, inFlight int) fixture { f.inFlight = inFlight; return f }
	slow := func(f fixture) fixture { f.latency = time.Second; return f }
	ejected := func(f fixture) fixture { f.ejected = true; return f }
	cases := []struct {
		name    string
		in      []fixture
		bytes   int
		exclude api.TaskID
		want    api.TaskID
		code    fault.Code
	}{
		{name: "no hop while an endpoint in an owned rack is free", in: []fixture{remote, sameRegion, sameDataCentre, local}, want: "own"},
		{name: "the own data centre comes before the rest of the region", in: []fixture{remote, sameRegion, sameDataCentre}, want: "near"},
		{name: "an endpoint at its limit must not be chosen", in: []fixture{busy(local, 8), sameDataCentre}, want: "near"},
		{name: "another region is not used to save little waiting time", in: []fixture{busy(local, 8), remote}, code: fault.CodeNoCapacity},
		{name: "another region is used to save much waiting time", in: []fixture{busy(slow(local), 8), remote}, want: "remote"},
		{name: "another region is too expensive for a large request", in: []fixture{busy(slow(local), 8), remote}, bytes: 1 << 20, code: fault.CodeNoCapacity},
		{name: "a service with endpoints only in another region is still served", in: []fixture{remote}, want: "remote"},
		{name: "a leaving endpoint gets no new requests", in: []fixture{{name: "l", leaving: true}}, code: fault.CodeNoEndpoint},
		{name: "an ejected endpoint gets no requests", in: []fixture{ejected(local), sameDataCentre}, want: "near"},
		{name: "an endpoint that already failed this request is skipped", in: []fixture{local, sameDataCentre}, exclude: "own", want: "near"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s, _ := snapshotOf(tc.in)
			q := Query{Service: "s", Bytes: tc.bytes, Now: now, Exclude: []api.TaskID{tc.exclude}}
			choice, err := s.Choose(q, rand.New(rand.NewPCG(1, 2)))
			if choice.Endpoint.Task != tc.want {
				t.Errorf("chosen endpoint %q, want %q", choice.Endpoint.Task, tc.want)
			}
			if tc.code != "" && !fault.Is(err, tc.code) {
				t.Errorf("error %v, want code %s", err, tc.code)
			}
		})
	}
}

// Guards against all requests going to one endpoint: the less loaded of two sampled endpoints must be chosen, so that
// requests are distributed evenly.
func TestLessLoadedOfTwoIsChosen(t *testing.T) {
	var in []fixture
	for i := range 10 {
		in = append(in, fixture{name: fmt.Sprint(i), region: "cornwall", dataCentre: "montego", owner: "i1", latency: time.Millisecond})
	}
	s, _ := snapshotOf(in)
	random := rand.New(rand.NewPCG(1, 2))
	for range 40 {
		choice, err := s.Choose(Query{Service: "s", Now: now}, random)
		if err != nil {
			t.Fatal(err)
		}
		choice.Tracker.Begin(now)
	}
	for _, c := range s.services["s"].tiers[tierLocal] {
		if inFlight := c.load().InFlight; inFlight < 2 || inFlight > 6 {
			t.Errorf("endpoint %s has %d of 40 requests, want about 4", c.endpoint.Task, inFlight)
		}
	}
}

// Guards against a burst of requests to an endpoint that returns after an ejection: it gets only one probe at first, and
// fewer requests than the others after the probe succeeded.
func TestReturningEndpointGetsFewRequests(t *testing.T) {
	var in []fixture
	for i := range 4 {
		in = append(in, fixture{name: fmt.Sprint(i), region: "cornwall", dataCentre: "montego", owner: "i1", ejected: i == 0})
	}
	s, trackers := snapshotOf(in)
	ejectionEnd := now.Add(2 * time.Second)
	returning := trackers.Lookup(EndpointKey{Task: "0"})
	if !returning.Begin(ejectionEnd) || returning.Begin(ejectionEnd) {
		t.Fatal("want exactly one probe")
	}
	returning.End(ejectionEnd, time.Millisecond, outlier.Success)
	random := rand.New(rand.NewPCG(1, 2))
	chosen := 0
	for range 1000 {
		choice, err := s.Choose(Query{Service: "s", Now: ejectionEnd}, random)
		if err != nil {
			t.Fatal(err)
		}
		if choice.Endpoint.Task == "0" {
			chosen++
		}
	}
	if chosen > 100 {
		t.Errorf("returning endpoint got %d of 1000 requests, a full share is 250 and 10%% of it is 25", chosen)
	}
}

// Guards against an error without a retry delay when all endpoints are at their limits.
func TestSaturationErrorHasRetryDelay(t *testing.T) {
	s, _ := snapshotOf([]fixture{{name: "a", region: "cornwall", owner: "i1", inFlight: 8, latency: 80 * time.Millisecond}})
	_, err := s.Choose(Query{Service: "s", Now: now}, rand.New(rand.NewPCG(1, 2)))
	var noEndpoint *NoEndpointError
	if !errors.As(err, &noEndpoint) || noEndpoint.Retry != 10*time.Millisecond {
		t.Errorf("error %v, want a retry delay of 10ms", err)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, workers := range []int{50, 810} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			var in []fixture
			for i := range workers {
				in = append(in, fixture{name: fmt.Sprint(i), region: "cornwall", dataCentre: fmt.Sprint(i % 2), owner: "i1", inFlight: i % 8})
			}
			s, _ := snapshotOf(in)
			random := rand.New(rand.NewPCG(1, 2))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := s.Choose(Query{Service: "s", Now: now}, random); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
