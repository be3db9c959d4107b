package execution

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"bronzehook/evacuation"
	"bronzehook/fault"
	"bronzehook/overdue"
	"bronzehook/startgate"
	"bronzehook/store"
	"bronzehook/store/memory"
	"bronzehook/workers"
)

// newGateRig returns a rig with one worker, the bounds of a deployment, and knowledge that is as new as its clock.
func newGateRig(t *testing.T) (*rig, *worker) {
	t.Helper()
	r := newRig(t, memory.New())
	r.opts.StartBounds = startgate.Bounds{Evacuate: 5 * time.Second, Drain: 4 * time.Second, Cancel: 4 * time.Second}
	r.opts.Evacuations = &evacuation.Registry{}
	// The knowledge has to be newer than the term.
	r.advanceClock(time.Millisecond)
	r.knowAll()
	return r, r.addWorker("w", 1000)
}

// knowAll notes that reads of all tables were sent now.
func (r *rig) knowAll() {
	r.freshness.registrationsAsOf, r.freshness.intakeAsOf = r.clock, r.clock
	r.opts.Evacuations.Confirm(r.clock)
}

// retryAfter lets time pass and sends the commands that are due by then.
func (r *rig) retryAfter(d time.Duration) {
	r.advanceClock(d)
	r.renewLease()
	r.retryCommands(r.clock)
	r.handleEvents()
}

func (r *rig) renewLease() {
	r.t.Helper()
	if _, err := r.leader.Commit(r.ctx, store.Txn{}); err != nil {
		r.t.Fatal(err)
	}
}

const pastMaxAge = 3200 * time.Millisecond

// Guards, for each kind of start, against a command that is sent by knowledge of a watch that hangs, against a task that stays
// held once the watch is answered, and against one that starts although the answer names its worker as draining.
func TestStartsWaitForFreshKnowledge(t *testing.T) {
	for kind, setUp := range map[string]func(r *rig, w *worker) func() int{
		"first": func(r *rig, _ *worker) func() int {
			r.advanceClock(pastMaxAge)
			r.renewLease()
			r.submit("a", oneStep(1, 100))
			r.scheduleAndCommit()
			return r.client.startCount
		},
		"retried": func(r *rig, w *worker) func() int {
			r.client.err = &workers.UnreachableError{Worker: w.id()}
			r.submit("a", oneStep(1, 100))
			r.scheduleAndCommit()
			r.client.setErr(nil)
			r.retryAfter(pastMaxAge)
			return func() int { return r.client.startCount() - 1 }
		},
		"hedged": func(r *rig, w *worker) func() int {
			// No start of the first call is answered: it stays open.
			r.submit("a", oneStep(1, 100))
			r.Term.schedule(r.clock)
			a := r.onlyAttempt(w)
			a.phase, a.startsSent, a.startsPending, a.hedgeAt = phaseSent, 1, 1, r.clock
			r.unconfirmed[a] = struct{}{}
			r.retryAfter(pastMaxAge)
			return r.client.startCount
		},
		"gang": func(r *rig, _ *worker) func() int {
			r.advanceClock(pastMaxAge)
			r.renewLease()
			gang := oneStep(2, 100)
			gang.Gang = true
			r.submit("a", gang)
			r.scheduleAndCommit()
			return r.client.startCount
		},
		"carried": func(r *rig, w *worker) func() int {
			carriers := &fakeCarriers{names: []string{"c"}, assigned: make(map[string]int)}
			r.opts.Carriers = carriers
			w.carrier = "c"
			r.advanceClock(pastMaxAge)
			r.renewLease()
			r.submit("a", oneStep(1, 100))
			r.scheduleAndCommit()
			return func() int { return len(carriers.starts) }
		},
	} {
		for _, draining := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, draining %v", kind, draining), func(t *testing.T) {
				r, w := newGateRig(t)
				sent := setUp(r, w)
				r.retryAfter(heldStartInterval)
				if n := sent(); n != 0 || len(w.attempts) == 0 {
					t.Fatalf("%d starts sent by stale knowledge, %d attempts", n, len(w.attempts))
				}
				w.node.Registration.Draining = draining
				r.knowAll()
				r.retryAfter(heldStartInterval)
				if n := sent(); (n > 0) == draining {
					t.Errorf("%d starts sent once the knowledge was fresh", n)
				}
			})
		}
	}
}

// Guards against half a gang that starts: if one member may not start, none does.
func TestGangIsTakenBackAsAWhole(t *testing.T) {
	r, w := newGateRig(t)
	other := r.addWorker("v", 1000)
	w.node.Registration.Zone, other.node.Registration.Zone = "east", "west"
	gang := oneStep(2, 900)
	gang.Gang = true
	r.submit("a", gang)
	r.Term.schedule(r.clock)
	if len(w.attempts) != 1 || len(other.attempts) != 1 {
		t.Fatalf("%d and %d attempts placed", len(w.attempts), len(other.attempts))
	}
	r.opts.Evacuations.Put("west", 1, r.clock)
	for range maxCommitsPerChange {
		r.commitAll()
	}
	if n := r.client.startCount(); n != 0 || len(w.attempts) != 0 || len(other.attempts) != 0 {
		t.Errorf("%d starts, %d and %d attempts left", n, len(w.attempts), len(other.attempts))
	}
}

// Guards against a command that is written although its time has passed, its attempt was stopped or its worker began to drain
// while it waited for a connection, and against a task that is not placed again at once after that.
func TestLastCheckBeforeTheWrite(t *testing.T) {
	for name, c := range map[string]struct {
		change func(r *rig, w *worker, a *taskAttempt)
		want   startgate.Reason
	}{
		"nothing changed": {func(*rig, *worker, *taskAttempt) {}, ""},
		"too late":        {func(r *rig, _ *worker, _ *taskAttempt) { r.advanceClock(3750 * time.Millisecond); r.renewLease() }, startgate.ReasonTooLate},
		"stopped":         {func(r *rig, _ *worker, a *taskAttempt) { r.stop(a, "cancelled") }, startgate.ReasonCancelled},
		"draining":        {func(r *rig, w *worker, _ *taskAttempt) { r.deregister(w) }, startgate.ReasonDraining},
		"evacuated":       {func(r *rig, _ *worker, _ *taskAttempt) { r.opts.Evacuations.Put("", 1, r.clock) }, startgate.ReasonEvacuated},
		"not leading":     {func(r *rig, _ *worker, _ *taskAttempt) { r.leader.Invalidate() }, startgate.ReasonNotLeading},
	} {
		t.Run(name, func(t *testing.T) {
			r, w := newGateRig(t)
			r.submit("a", oneStep(1, 100))
			r.scheduleAndCommit()
			a := r.onlyAttempt(w)
			c.change(r, w, a)
			got := startgate.ReasonOf(r.client.starts[0].MayLeave())
			if got != c.want {
				t.Fatalf("reason %q, want %q", got, c.want)
			}
			if got == "" {
				return
			}
			a.phase, a.startsPending = phaseSent, 1
			r.handleStart(a, r.target(w), r.clock, 0, &workers.NotSentError{Worker: w.id(), Withheld: got})
			if len(w.attempts) != 0 || r.client.startCount() != 1 {
				t.Errorf("%d attempts left, %d starts", len(w.attempts), r.client.startCount())
			}
		})
	}
}

// Guards against tasks that are placed in a data centre again and again although a carrier knows that it is being evacuated.
func TestEvacuationReportedByCarrierCountsUntilTheTableIsRead(t *testing.T) {
	r, w := newGateRig(t)
	w.node.Registration.Zone = "east"
	r.submit("a", oneStep(1, 100))
	r.scheduleAndCommit()
	a := r.onlyAttempt(w)
	a.phase, a.startsPending = phaseSent, 1
	r.handleStart(a, r.target(w), r.clock, 0, &workers.NotSentError{Worker: w.id(), Withheld: startgate.ReasonEvacuated})
	r.refreshNodes(r.clock)
	if w.node.Usable {
		t.Error("usable although a carrier has reported the evacuation")
	}
	r.advanceClock(time.Millisecond)
	r.knowAll()
	r.refreshNodes(r.clock)
	if !w.node.Usable {
		t.Error("not usable although the operator's table has no evacuation")
	}
}

// scriptedTable answers the watches of a table by a script; other calls go to the memory table.
type scriptedTable struct {
	*memory.Table
	watches atomic.Int64
	watch   func(number int64, after uint64) (store.Changes, error)
	full    []store.Changes
}

func (s *scriptedTable) Watch(ctx context.Context, _ string, after uint64, _ time.Duration) (store.Changes, error) {
	changes, err := s.watch(s.watches.Add(1), after)
	if changes.Version == 0 && err == nil {
		<-ctx.Done()
		return changes, ctx.Err()
	}
	return changes, err
}

func (s *scriptedTable) Range(context.Context, string, string, string, int) (store.Changes, error) {
	next := s.full[0]
	s.full = s.full[1:]
	return next, nil
}

// Guards against a start on a draining worker whose change the watch delivers late: the age of the registrations counts from the
// sending of the last watch that was answered, not from its answer.
func TestRegistrationsAgeWhileTheirWatchHangs(t *testing.T) {
	r, w := newGateRig(t)
	sentAt := r.clock
	table := &scriptedTable{Table: r.table, watch: func(number int64, _ uint64) (store.Changes, error) {
		if number > 1 {
			return store.Changes{}, nil
		}
		r.advanceClock(time.Second)
		return store.Changes{Version: 5}, nil
	}}
	r.opts.Table = table
	go r.watchWorkers(1)
	r.handleEvents()
	if r.freshness.registrationsAsOf != sentAt {
		t.Fatalf("registrations as of %v after the sending of the watch", r.freshness.registrationsAsOf-sentAt)
	}
	r.advanceClock(startgate.MaxAge(r.opts.StartBounds.Drain))
	r.renewLease()
	r.freshness.intakeAsOf = r.clock
	r.opts.Evacuations.Confirm(r.clock)
	r.submit("a", oneStep(1, 100))
	r.scheduleAndCommit()
	if n := r.client.startCount(); n != 0 || len(w.attempts) != 1 {
		t.Errorf("%d starts by registrations that are %v old, %d attempts", n, r.clock-sentAt, len(w.attempts))
	}
}

// Guards against a full read of an older snapshot that undoes the draining of a worker: no later watch would report it again.
func TestOlderSnapshotDoesNotReplaceNewerRegistrations(t *testing.T) {
	r, _ := newGateRig(t)
	r.opts.Table = &scriptedTable{Table: r.table,
		full: []store.Changes{{Version: 6}, {Version: 9}},
		watch: func(_ int64, after uint64) (store.Changes, error) {
			if after >= 9 {
				return store.Changes{}, nil
			}
			return store.Changes{}, &store.CallError{Kind: fault.CodeExpired}
		}}
	var applied []int
	go r.watchTable("servers", 8, time.Second, 0, func(rows []store.Row, read tableRead) { applied = append(applied, len(rows)) })
	time.Sleep(2 * watchRetryDelay)
	r.handleEvents()
	if len(applied) != 1 {
		t.Errorf("%d full reads applied, want the one that is newer than what was known", len(applied))
	}
}

// Guards against starts that are held back because a large manifest delays the watch of the operator's table.
func TestOldEvacuationsAreReadApart(t *testing.T) {
	r, _ := newGateRig(t)
	r.opts.RefreshEvacuations = func(context.Context) error {
		r.opts.Evacuations.Confirm(r.opts.Clock())
		return nil
	}
	for _, age := range []time.Duration{2 * time.Second, 3 * time.Second} {
		r.knowAll()
		before := r.clock
		r.advanceClock(age)
		r.refreshOldEvacuations(r.clock)
		r.handleEvents()
		if refreshed := r.opts.Evacuations.ConfirmedAt() > before; refreshed != (age > 2*time.Second) {
			t.Errorf("at an age of %v: read %v", age, refreshed)
		}
	}
}

// Guards against a start that is held back while an earlier one is overdue, and that uses up the budget of all hedged calls and
// is counted as overdue each time it is checked.
func TestHeldStartCountsOnceAsOverdue(t *testing.T) {
	r, w := newGateRig(t)
	r.submit("a", oneStep(1, 100))
	r.Term.schedule(r.clock)
	a := r.onlyAttempt(w)
	a.phase, a.startsSent, a.startsPending, a.hedgeAt = phaseSent, 1, 1, r.clock
	r.unconfirmed[a] = struct{}{}
	r.advanceClock(pastMaxAge)
	r.renewLease()
	for range 10 {
		r.retryAfter(heldStartInterval)
	}
	counted := testutil.ToFloat64(r.opts.Metrics.overdueStarts.WithLabelValues(overdue.ActionRepeat.String()))
	if !a.held || counted != 1 || r.hedges.Taken() > 1 {
		t.Errorf("held %v, counted as overdue %v times, %d hedged calls", a.held, counted, r.hedges.Taken())
	}
	r.knowAll()
	r.retryAfter(heldStartInterval)
	if n := r.client.startCount(); n != 1 {
		t.Errorf("%d starts sent once the knowledge was fresh", n)
	}
}
