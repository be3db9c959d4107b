package kernel

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
)

type recorder struct{ events []string }

type fakeService struct {
	name     string
	requires []string
	fail     error
	log      *recorder
}

func (s *fakeService) Name() string       { return s.name }
func (s *fakeService) Requires() []string { return s.requires }
func (s *fakeService) Start(context.Context) error {
	s.log.events = append(s.log.events, "start "+s.name)
	return s.fail
}
func (s *fakeService) Stop(context.Context) error {
	s.log.events = append(s.log.events, "stop "+s.name)
	return nil
}

var errStart = errors.New("no address")

func TestStartAndStopOrder(t *testing.T) {
	cases := []struct {
		name     string
		services []fakeService
		want     []string
		wantErr  bool
	}{
		{
			name:     "a service must not start before what it requires, nor stop after it",
			services: []fakeService{{name: "a", requires: []string{"c"}}, {name: "b"}, {name: "c", requires: []string{"b"}}},
			want:     []string{"start b", "start c", "start a", "stop a", "stop c", "stop b"},
		},
		{
			name:     "a failed start must not leave earlier services running",
			services: []fakeService{{name: "a"}, {name: "b", requires: []string{"a"}, fail: errStart}},
			want:     []string{"start a", "start b", "stop a"},
			wantErr:  true,
		},
		{
			name:     "a cycle must be reported instead of hanging the start",
			services: []fakeService{{name: "a", requires: []string{"b"}}, {name: "b", requires: []string{"a"}}},
			wantErr:  true,
		},
		{
			name:     "a missing requirement must be reported",
			services: []fakeService{{name: "a", requires: []string{"missing"}}},
			wantErr:  true,
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			log := &recorder{}
			k := New(NewBus())
			for i := range tc.services {
				tc.services[i].log = log
				k.Register(&tc.services[i])
			}
			err := k.Start(t.Context())
			if (err != nil) != tc.wantErr {
				t.Fatalf("start: %v, want an error: %v", err, tc.wantErr)
			}
			if err := k.Stop(t.Context()); err != nil {
				t.Fatalf("stop: %v", err)
			}
			if diff := cmp.Diff(tc.want, log.events); diff != "" {
				t.Errorf("events (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against events of the audit log that are lost or reordered on the bus.
func TestBusKeepsOrder(t *testing.T) {
	bus := NewBus()
	const count = 100
	got := make(chan int, count)
	if err := Subscribe(t.Context(), bus, "numbers", func(n int) { got <- n }); err != nil {
		t.Fatal(err)
	}
	for i := range count {
		if err := Publish(bus, "numbers", i); err != nil {
			t.Fatal(err)
		}
	}
	for i := range count {
		select {
		case n := <-got:
			if n != i {
				t.Fatalf("event %d arrived at position %d", n, i)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("event %d did not arrive", i)
		}
	}
}
