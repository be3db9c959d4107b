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
	open                     int
	latency                  time.Duration
	leaving                  bool
	failed                   bool
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
		t.inFlight.Store(int64(f.open))
		if f.failed {
			t.health.Record(now, outlier.ConnectionFailed)
		}
	}
	return s, trackers
}

func TestChoose(t *testing.T) {
	own := fixture{name: "own", region: "cornwall", dataCentre: "montego", owner: "i1", latency: 10 * time.Millisecond}
	near := fixture{name: "near", region: "cornwall", dataCentre: "montego", owner: "i2", latency: 10 * time.Millisecond}
	region := fixture{name: "region", region: "cornwall", dataCentre: "savanna", owner: "i3", latency: 10 * time.Millisecond}
	remote := fixture{name: "remote", region: "surrey", dataCentre: "kingston", owner: "i4", latency: 10 * time.Millisecond}
	busy := func(f fixture, open int) fixture { f.open = open; return f }
	slow := func(f fixture) fixture { f.latency = time.Second; return f }
	failed := func(f fixture) fixture { f.failed = true; return f }
	cases := []struct {
		name    string
		in      []fixture
		bytes   int
		exclude api.TaskID
		want    api.TaskID
		code    fault.Code
	}{
		{name: "a hop must not be paid while an own rack is free", in: []fixture{remote, region, near, own}, want: "own"},
		{name: "the nearest data centre comes before the region", in: []fixture{remote, region, near}, want: "near"},
		{name: "a full endpoint must not be chosen", in: []fixture{busy(own, 8), near}, want: "near"},
		{name: "the link is not used to save little waiting", in: []fixture{busy(own, 8), remote}, code: fault.CodeNoCapacity},
		{name: "the link is used to save much waiting", in: []fixture{busy(slow(own), 8), remote}, want: "remote"},
		{name: "many bytes make the link too dear", in: []fixture{busy(slow(own), 8), remote}, bytes: 1 << 20, code: fault.CodeNoCapacity},
		{name: "a service of the other region only is still served", in: []fixture{remote}, want: "remote"},
		{name: "a leaving endpoint gets nothing new", in: []fixture{{name: "l", leaving: true}}, code: fault.CodeNoEndpoint},
		{name: "an ejected endpoint gets nothing", in: []fixture{failed(own), near}, want: "near"},
		{name: "an endpoint that failed this request is passed over", in: []fixture{own, near}, exclude: "own", want: "near"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s, _ := snapshotOf(tc.in)
			q := Query{Service: "s", Bytes: tc.bytes, Now: now, Exclude: []api.TaskID{tc.exclude}}
			choice, err := s.Choose(q, rand.New(rand.NewPCG(1, 2)))
			if choice.Endpoint.Task != tc.want {
				t.Errorf("chose %q, want %q", choice.Endpoint.Task, tc.want)
			}
			if tc.code != "" && !fault.Is(err, tc.code) {
				t.Errorf("failure %v, want code %s", err, tc.code)
			}
		})
	}
}

// Guards against all instances sending to one endpoint: of two sampled the less loaded is taken, and with equal load
// the choice spreads.
func TestLessLoadedOfTwo(t *testing.T) {
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
	for _, c := range s.services["s"].tiers[tierOwn] {
		if open := c.load().InFlight; open < 2 || open > 6 {
			t.Errorf("endpoint %s has %d of 40 requests, want about 4", c.endpoint.Task, open)
		}
	}
}

// Guards against a herd on a returning endpoint: while its probe runs it gets nothing, and afterwards less than others.
func TestReturningEndpointGetsLittle(t *testing.T) {
	var in []fixture
	for i := range 4 {
		in = append(in, fixture{name: fmt.Sprint(i), region: "cornwall", dataCentre: "montego", owner: "i1", failed: i == 0})
	}
	s, trackers := snapshotOf(in)
	back := now.Add(2 * time.Second)
	probe := trackers.Lookup(EndpointKey{Task: "0"})
	if !probe.Begin(back) || probe.Begin(back) {
		t.Fatal("want exactly one probe")
	}
	probe.End(back, time.Millisecond, outlier.Success)
	random := rand.New(rand.NewPCG(1, 2))
	got := 0
	for range 1000 {
		choice, err := s.Choose(Query{Service: "s", Now: back}, random)
		if err != nil {
			t.Fatal(err)
		}
		if choice.Endpoint.Task == "0" {
			got++
		}
	}
	if got > 100 {
		t.Errorf("returning endpoint got %d of 1000 requests, a full share is 250 and 10%% of it is 25", got)
	}
}

// Guards against a failure without a retry delay reaching the caller.
func TestSaturationNamesRetryDelay(t *testing.T) {
	s, _ := snapshotOf([]fixture{{name: "a", region: "cornwall", owner: "i1", open: 8, latency: 80 * time.Millisecond}})
	_, err := s.Choose(Query{Service: "s", Now: now}, rand.New(rand.NewPCG(1, 2)))
	var none *NoEndpointError
	if !errors.As(err, &none) || none.Retry != 10*time.Millisecond {
		t.Errorf("failure %v, want a retry delay of 10ms", err)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, workers := range []int{50, 810} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			var in []fixture
			for i := range workers {
				in = append(in, fixture{name: fmt.Sprint(i), region: "cornwall", dataCentre: fmt.Sprint(i % 2), owner: "i1", open: i % 8})
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
