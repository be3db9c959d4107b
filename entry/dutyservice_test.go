package entry

import (
	"context"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"bronzehook/duty"
	"bronzehook/execution"
	"bronzehook/manifest"
	"bronzehook/store"
	"bronzehook/store/memory"
	"bronzehook/workers"
)

// startDuty starts the duty service of an instance with a share of a core.
func startDuty(t *testing.T, table store.Table, name string, share float64) *dutyService {
	t.Helper()
	current := &manifest.Holder{}
	current.Offer((&manifest.Manifest{Version: 1}).Index())
	s := &dutyService{
		noteMembers: func([]duty.Member) {},
		table:       table, roundTrip: func() time.Duration { return time.Millisecond }, name: name, cpuShare: share,
		logger: zerolog.Nop(), askAfter: 100 * time.Millisecond, askedEvery: 100 * time.Millisecond,
		options: execution.Options{
			Table: table, Manifest: current, WorkersTable: "workers", Clock: duty.BootTime, Now: time.Now, Logger: zerolog.Nop(),
			ParseEntry: func(store.Row) (workers.Entry, bool) { return workers.Entry{}, false }, LeaseLength: time.Second,
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
	seen, err := duty.NewCandidate(table, duty.BootTime, "test", 1).Observe(context.Background())
	if err != nil || seen.Row.Released {
		return ""
	}
	return seen.Row.Holder
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
	duty.Sleep(ctx, wait)
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
