package entry

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"bronzehook/execution"
	"bronzehook/leadership"
	"bronzehook/manifest"
	"bronzehook/store"
	"bronzehook/store/memory"
	"bronzehook/workers"
)

// startDuty starts the duty service of an instance with a share of a core.
func startDuty(t *testing.T, table store.Table, name string, share float64) *leadershipService {
	t.Helper()
	current := &manifest.Provider{}
	current.Offer((&manifest.Manifest{Version: 1}).Index())
	s := &leadershipService{
		onMembers: func([]leadership.Member) {},
		table:     table, roundTrip: func() time.Duration { return time.Millisecond }, name: name, cpuShare: share,
		speed: func() float64 { return 1 }, logger: zerolog.Nop(), handoverRequestAfter: 100 * time.Millisecond, handoverCheckInterval: 100 * time.Millisecond,
		options: execution.Options{
			Table: table, Manifest: current, WorkersTable: "workers", Clock: leadership.BootTime, Now: time.Now, Logger: zerolog.Nop(),
			ParseEntry: func(store.Row) (workers.Registration, bool) { return workers.Registration{}, false }, AttemptLeaseDuration: time.Second,
			Metrics: execution.NewMetrics(prometheus.NewRegistry()),
		},
	}
	if err := s.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Stop(context.Background()) })
	return s
}

// holderOf returns who holds the duty.
func holderOf(t *testing.T, table store.Table) string {
	t.Helper()
	seen, err := leadership.NewCandidate(table, leadership.BootTime, "test", 1).Observe(context.Background())
	if err != nil || seen.Lease.Released {
		return ""
	}
	return seen.Lease.Holder
}

func waitForHolder(t *testing.T, table store.Table, want string) {
	t.Helper()
	const limit = 15 * time.Second
	for end := time.Now().Add(limit); holderOf(t, table) != want; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%q holds the duty after %v, want %q", holderOf(t, table), limit, want)
		}
	}
}

// pausedTable waits in watches, so that a term does not use the processor for them.
type pausedTable struct{ *memory.Table }

func (p *pausedTable) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (store.Changes, error) {
	leadership.Sleep(ctx, wait)
	return p.Table.Watch(ctx, table, after, wait)
}

// Guards against a small instance that keeps the duty, which it got while the large ones were away, and is too slow for it.
func TestSmallHolderGivesTheDutyToALargeInstance(t *testing.T) {
	table := &pausedTable{memory.New()}
	startDuty(t, table, "small", 0.11)
	waitForHolder(t, table, "small")
	startDuty(t, table, "large", 0.8)
	waitForHolder(t, table, "large")
}

// Guards against a holder that keeps the duty while its processor is too slow for it.
func TestOverloadedHolderGivesTheDutyToAnotherInstance(t *testing.T) {
	cases := []struct {
		name    string
		changes int
		speed   float64
		other   float64
		want    bool
	}{
		{name: "another instance is as large", speed: 0.2, other: 0.16, want: true},
		{name: "the machine is as fast as ever", speed: 0.9, other: 0.16, want: false},
		{name: "the only other one is much smaller", speed: 0.2, other: 0.05, want: false},
		{name: "the duty has changed often of late", speed: 0.2, other: 0.16, changes: 5, want: false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := memory.New()
			s := &leadershipService{table: table, name: "late", cpuShare: 0.16, speed: func() float64 { return c.speed }, logger: zerolog.Nop()}
			for name, share := range map[string]float64{"late": 0.16, "other": c.other} {
				if err := leadership.Register(context.Background(), table, leadership.Member{Name: name, CPUShare: share}); err != nil {
					t.Fatal(err)
				}
			}
			for epoch := range c.changes {
				s.takeovers.observe(uint64(epoch+1), time.Now())
			}
			given := make(chan struct{})
			overloaded := s.resignIfOverloaded(context.Background(), sync.OnceFunc(func() { close(given) }), 1)
			got := false
			for end := time.Now().Add(2500 * time.Millisecond); !got && time.Now().Before(end); {
				overloaded(200 * time.Millisecond)
				select {
				case <-given:
					got = true
				case <-time.After(50 * time.Millisecond):
				}
			}
			if got != c.want {
				t.Errorf("given up: %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a duty that is passed round where all instances are short of processor time.
func TestPatienceGrowsWithChanges(t *testing.T) {
	var c takeoverHistory
	now := time.Now()
	var got []time.Duration
	for epoch := range uint64(7) {
		c.observe(epoch+1, now)
		c.observe(epoch+1, now)
		got = append(got, c.minTermDuration())
	}
	c.observe(9, now.Add(takeoverWindow+time.Second))
	got = append(got, c.minTermDuration())
	want := []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 16 * time.Second, 16 * time.Second,
		16 * time.Second, time.Second}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("patience after each change (-want +got):\n%s", diff)
	}
}
