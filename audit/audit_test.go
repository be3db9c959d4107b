package audit

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"bronzehook/api"
	"bronzehook/config/rollout/tabletest"
	"bronzehook/fault"
	"bronzehook/kernel"
)

const testWait = 5 * time.Second

func newTrail(id string, table *tabletest.Table, change func(*Options)) *Trail {
	options := Options{Self: api.InstanceID(id), Table: table, Bus: kernel.NewBus(), Logger: zerolog.Nop(), WriteInterval: 2 * time.Millisecond}
	if change != nil {
		change(&options)
	}
	return New(options)
}

func start(t *testing.T, trail *Trail) *Trail {
	t.Helper()
	if err := trail.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	return trail
}

func stop(t *testing.T, trail *Trail) {
	t.Helper()
	if err := trail.Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
}

func recordN(trail *Trail, from, to int) {
	for i := from; i < to; i++ {
		trail.Record(Event{Actor: "ann", Action: "test", Subject: fmt.Sprint(i), Result: ResultOK, Time: time.Unix(int64(i), 0)})
	}
}

func subjects(t *testing.T, trail *Trail) []string {
	t.Helper()
	events, err := trail.List(t.Context(), Query{Limit: 10_000})
	if err != nil {
		t.Fatal(err)
	}
	got := []string{}
	for _, e := range events {
		got = append(got, e.Subject)
	}
	return got
}

func numbers(from, to int) []string {
	want := []string{}
	for i := from; i < to; i++ {
		want = append(want, fmt.Sprint(i))
	}
	return want
}

// Guards against events that are lost, duplicated or reordered by an outage of the table, a lost reply or a restart.
func TestEventsAreWrittenOnceInOrder(t *testing.T) {
	table := tabletest.New()
	trail := start(t, newTrail("a", table, nil))
	recordN(trail, 0, 150)
	table.SetFaults(tabletest.Faults{Down: true})
	recordN(trail, 150, 300)
	time.Sleep(20 * time.Millisecond)
	table.SetFaults(tabletest.Faults{LostReplies: 2})
	recordN(trail, 300, 330)
	stop(t, trail)
	restarted := start(t, newTrail("a", table, nil))
	recordN(restarted, 330, 340)
	stop(t, restarted)
	if diff := cmp.Diff(numbers(0, 340), subjects(t, restarted)); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
}

// Guards against a batch that is written twice after a lost reply, if the table no longer knows the operation ID and
// only the row itself shows that the batch was written.
func TestLostReplyIsDetectedFromTheRow(t *testing.T) {
	table := tabletest.New()
	trail := newTrail("a", table, nil)
	table.SetFaults(tabletest.Faults{LostReplies: 1})
	b := batch{Events: []Event{{Subject: "0"}}}
	if err := trail.writer.write(t.Context(), b); !fault.Is(err, fault.CodeStoreUnavailable) {
		t.Fatalf("write: %v, want a lost reply", err)
	}
	table.DiscardResults()
	if err := trail.writer.write(t.Context(), b); err != nil {
		t.Fatalf("second write: %v", err)
	}
	if err := trail.writer.write(t.Context(), batch{Events: []Event{{Subject: "1"}}}); err != nil {
		t.Fatalf("next batch: %v", err)
	}
	if diff := cmp.Diff([]string{"0", "1"}, subjects(t, trail)); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
}

// Guards against unbounded memory use and blocked callers while the table is down.
func TestOverflowIsCountedAndNeverBlocks(t *testing.T) {
	table := tabletest.New()
	table.SetFaults(tabletest.Faults{Down: true})
	trail := newTrail("a", table, func(o *Options) { o.Buffer = 10 })
	begin := time.Now()
	recordN(trail, 0, 25)
	if took := time.Since(begin); took > time.Second {
		t.Errorf("recording took %s", took)
	}
	if trail.Pending() != 10 || trail.Dropped() != 15 {
		t.Errorf("pending %d, dropped %d, want 10 and 15", trail.Pending(), trail.Dropped())
	}
}

// Guards against an unbounded number of rows in the table, and against deleting rows of other instances.
func TestOldRowsAreDeleted(t *testing.T) {
	table := tabletest.New()
	other := newTrail("ab", table, nil)
	if err := other.writer.write(t.Context(), batch{Events: []Event{{Subject: "other"}}}); err != nil {
		t.Fatal(err)
	}
	for incarnation := range 2 {
		trail := newTrail("a", table, func(o *Options) { o.KeepRows = 3 })
		for i := range 4 {
			if err := trail.writer.write(t.Context(), batch{Events: []Event{{Subject: fmt.Sprint(incarnation*4 + i), Time: time.Unix(int64(incarnation*4+i), 0)}}}); err != nil {
				t.Fatal(err)
			}
		}
	}
	if diff := cmp.Diff([]string{"other", "5", "6", "7"}, subjects(t, other)); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
}

// Guards against writes that follow each other faster than the write interval, and against rows of more than 100 events.
func TestWriteRate(t *testing.T) {
	table := tabletest.New()
	const interval = 50 * time.Millisecond
	trail := start(t, newTrail("a", table, func(o *Options) { o.WriteInterval = interval }))
	begin := time.Now()
	recordN(trail, 0, 350)
	stop(t, trail)
	_, commits := table.Counts()
	if most := int(time.Since(begin)/interval) + 1; commits > most || commits < 4 {
		t.Errorf("%d writes of 350 events, want 4 to %d", commits, most)
	}
}

// Guards against events that are published on the bus but do not reach the table, and against a list that does not sort
// the events of several instances by time.
func TestBusAndMerge(t *testing.T) {
	table := tabletest.New()
	a, b := start(t, newTrail("a", table, nil)), start(t, newTrail("b", table, nil))
	for i := range 20 {
		trail := a
		if i%2 == 1 {
			trail = b
		}
		if err := Publish(trail.options.Bus, Event{Time: time.Unix(int64(i), 0), Subject: fmt.Sprint(i)}); err != nil {
			t.Fatal(err)
		}
	}
	for end := time.Now().Add(testWait); len(subjects(t, a)) < 20 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if diff := cmp.Diff(numbers(0, 20), subjects(t, a)); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
	stop(t, a)
	stop(t, b)
}

// Guards against a Stop that blocks while the table is down.
func TestStopWithTableDown(t *testing.T) {
	table := tabletest.New()
	table.SetFaults(tabletest.Faults{Down: true})
	trail := start(t, newTrail("a", table, nil))
	recordN(trail, 0, 1)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := trail.Stop(ctx); !fault.Is(err, fault.CodeTimeout) {
		t.Errorf("stop: %v, want a time-out that reports unwritten events", err)
	}
}
