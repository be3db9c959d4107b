package execution

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"bronzehook/jobs"
	"bronzehook/recovery"
	"bronzehook/store"
	"bronzehook/store/memory"
	"bronzehook/workers"
)

// Guards against an unexpected error in the control goroutine or in a call that ends the whole process instead of one term.
func TestPanicEndsTheTermOnly(t *testing.T) {
	for name, inject := range map[string]func(*Term){
		"an event":    func(*Term) { panic("odd") },
		"a goroutine": func(term *Term) { term.spawn("test", func() { panic("odd") }) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, memory.New())
			r.Term.events <- func() { inject(r.Term) }
			ended := make(chan error, 1)
			go func() { ended <- r.Term.Run(t.Context()) }()
			select {
			case err := <-ended:
				var panicked *recovery.PanicError
				if !errors.As(err, &panicked) {
					t.Errorf("the term ended with %v", err)
				}
			case <-time.After(10 * time.Second):
				t.Fatal("the term goes on")
			}
			if r.leader.Valid() {
				t.Error("the leader may still act")
			}
		})
	}
}

// Guards against a row that panics and takes the rows after it with it.
func TestRowsAfterAPanicAreApplied(t *testing.T) {
	r := newRig(t, memory.New())
	inner := r.opts.ParseRegistration
	r.opts.ParseRegistration = func(row store.Row) (workers.Registration, error) {
		if row.Name == "odd" {
			panic("odd")
		}
		if row.Name == "good" {
			return workers.Registration{ID: "good", Service: "s", Addr: "good:1"}, nil
		}
		return inner(row)
	}
	for _, name := range []string{"odd", "bad", "good"} {
		r.guardRow("registration", store.Row{Key: store.Key{Table: "servers", Name: name}, Version: 1}, r.applyRegistration)
	}
	if w := r.workers["good"]; w == nil || !w.registered {
		t.Error("the row after the odd one was not applied")
	}
}

// Guards against a job that is set aside and yet placed, stored or read again; and against its progress being deleted.
func TestJobSetAsideIsLeftAlone(t *testing.T) {
	r := newRig(t, memory.New())
	w := r.addWorker("w", 32_000)
	j := r.submit("a", oneStep(2, 100))
	r.scheduleAndCommit()
	if len(w.attempts) != 2 {
		t.Fatalf("%d attempts", len(w.attempts))
	}
	spec := j.spec
	r.setJobAside(j, "test")
	for _, a := range w.attempts {
		if !a.stopping {
			t.Error("an attempt goes on")
		}
	}
	row := store.Row{Key: store.JobKey("a"), Value: jobs.Encode(spec), Version: 9}
	r.applyIntake(row)
	r.applyRecord(store.Row{Key: store.ProgressKey("a"), Value: []byte("?"), Version: 9})
	r.scheduleAndCommit()
	if r.jobs["a"] != nil || len(w.attempts) != 2 || len(r.obsoleteRecords) != 0 {
		t.Errorf("job known: %v, %d attempts, %d rows to delete", r.jobs["a"] != nil, len(w.attempts), len(r.obsoleteRecords))
	}
}

// Guards against a job that is set aside and holds up the acknowledgements of its workers for the rest of the term, and against tasks
// of it that the next term starts again although they were reported as done.
func TestEndsOfAJobSetAsideAreRecorded(t *testing.T) {
	r := newRig(t, memory.New())
	w := r.addWorker("w", 32_000)
	j := r.submit("a", oneStep(2, 100))
	r.submit("b", oneStep(1, 100))
	r.scheduleAndCommit()
	r.reportTerminations(w, doneTermination(1, "a", 0))
	r.setJobAside(j, "test")
	r.reportTerminations(w, doneTermination(1, "a", 0), doneTermination(2, "a", 1), doneTermination(3, "b", 0))
	r.commitAll()
	if w.storedUpTo != 3 {
		t.Errorf("terminations acknowledged up to %d", w.storedUpTo)
	}
	next, w := r.takeOver("w", 32_000)
	next.reportTerminations(w)
	next.scheduleAndCommit()
	if n := next.client.startCount(); n != 0 {
		t.Errorf("%d starts by the next term", n)
	}
}

// Guards against a progress record that is replaced by the part of it that was read before the job was set aside.
func TestRecordOfAJobSetAsideWhileReadingIsKept(t *testing.T) {
	r := newRig(t, memory.New())
	w := r.addWorker("w", 32_000)
	j := r.submit("a", oneStep(2, 100))
	r.scheduleAndCommit()
	before := string(r.table.Value(store.ProgressKey("a")))
	r.loading = true
	r.setJobAside(j, "test")
	r.loading = false
	for _, a := range w.attempts {
		r.markLost(a, lostNotListed)
	}
	r.commitAll()
	if after := string(r.table.Value(store.ProgressKey("a"))); after != before {
		t.Errorf("record %q replaced by %q", before, after)
	}
}

// Guards against a progress record that cannot be read and is replaced by one that lacks what it holds.
func TestUnreadableRecordIsNotReplaced(t *testing.T) {
	r := newRig(t, memory.New())
	r.addWorker("w", 32_000)
	r.submit("a", oneStep(1, 100))
	r.scheduleAndCommit()
	if _, err := r.table.Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: store.ProgressKey("a"), Value: []byte("?")}}}); err != nil {
		t.Fatal(err)
	}
	next, w := r.takeOver("w", 32_000)
	next.reportTerminations(w, doneTermination(1, "a", 0))
	next.commitAll()
	if got := string(r.table.Value(store.ProgressKey("a"))); got != "?" {
		t.Errorf("the record is now %q", got)
	}
	if w.storedUpTo != 1 {
		t.Errorf("terminations acknowledged up to %d", w.storedUpTo)
	}
}
