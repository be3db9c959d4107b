package intake_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"bronzehook/fault"
	"bronzehook/intake"
	"bronzehook/jobs"
	"bronzehook/manifest"
	"bronzehook/store"
	"bronzehook/store/memory"
)

type health struct{ down bool }

func (h *health) Down(time.Duration) bool { return h.down }

func newService(table store.Table, h *health) *intake.Service {
	return intake.New(table, h, &manifest.Provider{}, intake.NewMetrics(prometheus.NewRegistry()), zerolog.Nop(), time.Now)
}

func spec(id string) *jobs.Spec {
	return &jobs.Spec{ID: jobs.ID(id), Queue: "q", Steps: []jobs.Step{{Count: 1}}}
}

func withTimeout(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// Guards against a response that refuses a job which may have been stored, and against one that accepts a job which was not
// stored.
func TestSubmitReportsStoreOutcome(t *testing.T) {
	for name, c := range map[string]struct {
		mode   memory.Mode
		down   bool
		code   fault.Code
		stored bool
	}{
		"stored":                          {mode: memory.ModeNormal, stored: true},
		"applied, response lost":          {mode: memory.ModeReplyLost, code: fault.CodeOutcomeUnknown, stored: true},
		"not applied, no response":        {mode: memory.ModeRequestLost, code: fault.CodeOutcomeUnknown},
		"applied after the response":      {mode: memory.ModeDelayed, code: fault.CodeOutcomeUnknown, stored: true},
		"refused by the store":            {mode: memory.ModeBusy, code: fault.CodeStoreUnavailable},
		"store known to be down, no call": {mode: memory.ModeNormal, down: true, code: fault.CodeStoreUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			table := memory.New()
			table.SetMode(c.mode)
			err := newService(table, &health{down: c.down}).Submit(withTimeout(t, 600*time.Millisecond), spec("a"))
			code := fault.Code("")
			if err != nil {
				code = fault.CodeOf(err)
			}
			if code != c.code {
				t.Errorf("fault code %q, want %q", code, c.code)
			}
			table.SetMode(memory.ModeNormal)
			table.DeliverDelayed()
			if stored := table.Value(store.StateKey("a")) != nil; stored != c.stored {
				t.Errorf("stored: %v, want %v", stored, c.stored)
			}
		})
	}
}

// Guards against a caller that is refused only at its deadline although the store refuses every call.
func TestRefusalIsReportedEarly(t *testing.T) {
	table := memory.New()
	table.SetMode(memory.ModeBusy)
	started := time.Now()
	err := newService(table, &health{}).Submit(withTimeout(t, 3*time.Second), spec("a"))
	if took := time.Since(started); err == nil || took > 600*time.Millisecond {
		t.Errorf("refused with %v after %v", err, took)
	}
}

// Guards against a caller's retry that creates a second job or changes the first.
func TestRepeatedSubmitKeepsOneJob(t *testing.T) {
	table := memory.New()
	first := spec("a")
	if err := newService(table, &health{}).Submit(withTimeout(t, time.Second), first); err != nil {
		t.Fatal(err)
	}
	before := table.Value(store.JobKey("a"))
	again := spec("a")
	again.Text = "other"
	if err := newService(table, &health{}).Submit(withTimeout(t, time.Second), again); err != nil {
		t.Fatalf("the retry was refused: %v", err)
	}
	if diff := cmp.Diff(before, table.Value(store.JobKey("a"))); diff != "" {
		t.Errorf("the retry changed the job: %s", diff)
	}
}

// Guards against the code not-found for a job that exists but can't be read during an outage.
func TestUnreadableStateIsNotAnUnknownJob(t *testing.T) {
	s := newService(memory.New(), &health{down: true})
	if _, err := s.State(withTimeout(t, time.Second), "q", "a"); fault.CodeOf(err) == fault.CodeNotFound {
		t.Error("a job was reported as unknown without a read")
	}
	s = newService(memory.New(), &health{})
	if _, err := s.State(withTimeout(t, time.Second), "q", "a"); fault.CodeOf(err) != fault.CodeNotFound {
		t.Errorf("state of an unknown job: %v", err)
	}
}

// Guards against a cancelled job that is reported as running, and against the cancellation of a job in a terminal state.
func TestCancel(t *testing.T) {
	for name, c := range map[string]struct {
		state jobs.State
		want  jobs.State
	}{
		"queued":    {jobs.StateQueued, jobs.StateCancelled},
		"running":   {jobs.StateRunning, jobs.StateCancelled},
		"succeeded": {jobs.StateSucceeded, jobs.StateSucceeded},
	} {
		t.Run(name, func(t *testing.T) {
			table := memory.New()
			putState(t, table, c.state)
			if err := newService(table, &health{}).Cancel(withTimeout(t, time.Second), "q", "a"); err != nil {
				t.Fatal(err)
			}
			got, err := newService(table, &health{}).State(withTimeout(t, time.Second), "q", "a")
			if err != nil || got != c.want {
				t.Errorf("state %q, %v; want %q", got, err, c.want)
			}
			marked := table.Value(store.CancelKey("a")) != nil
			if marked != (c.want == jobs.StateCancelled) {
				t.Errorf("row that makes the leader stop the job is stored: %v", marked)
			}
		})
	}
}

func putState(t *testing.T, table *memory.Table, state jobs.State) {
	t.Helper()
	row := jobs.PublicState{State: state, Queue: "q"}
	_, err := table.Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: store.StateKey("a"), Value: jobs.Encode(&row)}}})
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against a count of pending jobs that leaves out a page of rows or includes another queue.
func TestPendingCountsAllPagesOfOneQueue(t *testing.T) {
	table := memory.New()
	s := newService(table, &health{})
	const count = store.PageSize + 20
	for i := range count {
		if err := s.Submit(withTimeout(t, time.Second), spec(fmt.Sprintf("%04d", i))); err != nil {
			t.Fatal(err)
		}
	}
	other := spec("other")
	other.Queue = "q2"
	if err := s.Submit(withTimeout(t, time.Second), other); err != nil {
		t.Fatal(err)
	}
	if got, err := s.Pending(withTimeout(t, time.Second), "q"); err != nil || got != count {
		t.Errorf("%d pending, %v; want %d", got, err, count)
	}
}

// Guards against the use of outdated counts that a former leader wrote.
func TestPendingPrefersRecentLeaderCounts(t *testing.T) {
	for name, c := range map[string]struct {
		age  time.Duration
		want int
	}{
		"fresh":                        {time.Second, 7},
		"old":                          {time.Minute, 1},
		"written by a clock far ahead": {-time.Minute, 1},
	} {
		t.Run(name, func(t *testing.T) {
			table := memory.New()
			s := newService(table, &health{})
			if err := s.Submit(withTimeout(t, time.Second), spec("a")); err != nil {
				t.Fatal(err)
			}
			counts := jobs.Counts{Written: time.Now().Add(-c.age).UnixMilli(), Pending: map[string]int{"q": 7}}
			if _, err := table.Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: store.CountsKey, Value: jobs.Encode(&counts)}}}); err != nil {
				t.Fatal(err)
			}
			if got, err := s.Pending(withTimeout(t, time.Second), "q"); err != nil || got != c.want {
				t.Errorf("%d pending, %v; want %d", got, err, c.want)
			}
		})
	}
}

// Guards against requests for pending counts that wait while the store is down.
func TestPendingIsRefusedDuringOutage(t *testing.T) {
	if _, err := newService(memory.New(), &health{down: true}).Pending(withTimeout(t, time.Second), "q"); fault.CodeOf(err) != fault.CodeStoreUnavailable {
		t.Errorf("pending in an outage: %v", err)
	}
}

// slowUnknownTable returns an unknown outcome for each commit, after a delay.
type slowUnknownTable struct {
	*memory.Table
	after time.Duration
}

func (s *slowUnknownTable) Commit(context.Context, store.Txn) (uint64, error) {
	time.Sleep(s.after)
	return 0, &store.CallError{Call: "commit", Kind: fault.CodeOutcomeUnknown, Detail: "time-out"}
}

// Guards against a request with unknown outcome that is held until its deadline, so that its caller has no time left to ask another
// instance.
func TestUnknownOutcomeIsReportedEarly(t *testing.T) {
	s := newService(&slowUnknownTable{Table: memory.New(), after: 800 * time.Millisecond}, &health{})
	started := time.Now()
	err := s.Submit(withTimeout(t, 3*time.Second), spec("a"))
	if fault.CodeOf(err) != fault.CodeOutcomeUnknown {
		t.Errorf("submit: %v", err)
	}
	if took := time.Since(started); took > 1300*time.Millisecond {
		t.Errorf("response after %v", took)
	}
}
