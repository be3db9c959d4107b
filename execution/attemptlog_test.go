package execution

import (
	"bytes"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"bronzehook/jobs"
	"bronzehook/logging"
	"bronzehook/logs"
	"bronzehook/store"
	"bronzehook/store/memory"
	"bronzehook/workers"
)

// recordLog lets the term write its log to a buffer from now on.
func (r *rig) recordLog() *bytes.Buffer {
	var out bytes.Buffer
	r.log = logging.New(&out, zerolog.InfoLevel)
	r.detailLog = r.log
	return &out
}

// fieldsOf returns the fields of the only line with a message.
func fieldsOf(t *testing.T, out *bytes.Buffer, message string) map[string]string {
	t.Helper()
	lines, skipped, err := logs.Read("term", bytes.NewReader(out.Bytes()))
	if err != nil || skipped != 0 {
		t.Fatalf("%d lines skipped, error %v", skipped, err)
	}
	var found []logs.Line
	for _, line := range lines {
		if line.Message == message {
			found = append(found, line)
		}
	}
	if len(found) != 1 {
		t.Fatalf("%d lines %q in:\n%s", len(found), message, out)
	}
	return found[0].Fields
}

// checkFields reports fields that differ from those wanted.
func checkFields(t *testing.T, fields, want map[string]string) {
	t.Helper()
	got := make(map[string]string, len(want))
	for key := range want {
		got[key] = fields[key]
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against lines from which it can't be told which incarnation of a worker an attempt was started for.
func TestStartedLineNamesIncarnation(t *testing.T) {
	r := newRig(t, memory.New())
	w := r.addWorker("w", 1000)
	out := r.recordLog()
	r.submit("a", oneStep(1, 100))
	r.scheduleAndCommit()
	checkFields(t, fieldsOf(t, out, "attempt started"), map[string]string{"born": "1", "worker": string(w.id())})
}

// Guards against a lost attempt of which the log does not say whether a start command may still reach its worker.
func TestLostLineNamesPhaseAndStarts(t *testing.T) {
	r, client, w := newDelayedRig(t)
	out := r.recordLog()
	r.submit("a", oneStep(1, 100))
	client.setDelaying(true)
	r.scheduleAndCommit()
	r.pollAs(w, laterStartTime, 10)
	w.leasesExpireAt = r.clock - time.Second
	r.handlePollFailure(w, r.target(w), r.clock, &workers.UnreachableError{Worker: w.id()})
	r.expireAttempts(r.clock)
	checkFields(t, fieldsOf(t, out, "attempt lost"), map[string]string{
		"attempt": "1", "born": strconv.Itoa(laterStartTime), "inherited": "false", "lease_left": "-1000", "open": "1",
		"phase": "ordered", "reason": "its lease has run out", "starts": "1", "task": "a.0.0.0", "worker": "w",
	})
}

// Guards against a take-over of which the log does not say how long it lets inherited leases last, and for which attempts.
func TestLinesOfInheritedAttempt(t *testing.T) {
	r, _ := newInheritingRig(t)
	out := r.recordLog()
	r.advanceClock(time.Second)
	left := r.inheritedLeaseExpiry() - r.clock
	r.logTakenOver(time.Second)
	checkFields(t, fieldsOf(t, out, "duty taken"), map[string]string{
		"inherited": "1", "lease_left": strconv.FormatFloat(float64(left)/float64(time.Millisecond), 'f', -1, 64),
	})
	r.advanceClock(left)
	r.expireAttempts(r.clock)
	checkFields(t, fieldsOf(t, out, "attempt lost"), map[string]string{
		"born": "0", "inherited": "true", "lease_left": "0", "open": "0", "phase": "inherited", "starts": "0",
	})
}

// Guards against a start that another incarnation has answered and that looks like any other in the log.
func TestResponseWithForeignClockIsLogged(t *testing.T) {
	const known = 500_000
	for name, c := range map[string]struct {
		clock  int64
		logged bool
	}{
		"later incarnation":                {10, true},
		"earlier incarnation":              {2 * known, true},
		"same incarnation":                 {known + 30, false},
		"same incarnation, slow clock":     {known - 50, false},
		"same incarnation, overdue answer": {known + 2500, false},
		"no clock":                         {0, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, memory.New())
			w := r.addWorker("w", 1000)
			w.noteClock(known, r.clock)
			r.client.clock = c.clock
			out := r.recordLog()
			r.submit("a", oneStep(1, 100))
			r.scheduleAndCommit()
			const message = "start answered by another clock"
			if !c.logged {
				if bytes.Contains(out.Bytes(), []byte(message)) {
					t.Errorf("logged: %s", out)
				}
				return
			}
			checkFields(t, fieldsOf(t, out, message), map[string]string{
				"attempt": "1", "born": "1", "clock": strconv.FormatInt(c.clock, 10), "estimated_clock": strconv.Itoa(known),
				"level": "warn", "task": "a.0.0.0", "worker": "w",
			})
		})
	}
}

// Guards against an answer to a start of an attempt that was given up, of which the log does not show the other incarnation.
func TestForeignClockOfLostAttemptIsLogged(t *testing.T) {
	r, client, w := newDelayedRig(t)
	w.noteClock(500_000, r.clock)
	out := r.recordLog()
	r.submit("a", oneStep(1, 100))
	client.setDelaying(true)
	r.scheduleAndCommit()
	client.setDelaying(false)
	r.markLost(r.onlyAttempt(w), "test")
	client.fakeWorkers.clock = 10
	client.respond()
	r.handleEvents()
	fieldsOf(t, out, "start answered by another clock")
}

// Guards against a restart of which the log does not say which starts it may concern and how long the leader waits for them.
func TestRestartLineNamesStartsAndLease(t *testing.T) {
	r := newRig(t, memory.New())
	r.opts.WorkerLeaseLimit = 2 * testAttemptLease
	w := r.addWorker("w", 1000)
	r.submit("a", oneStep(1, 100))
	r.scheduleAndCommit()
	r.advanceClock(time.Millisecond)
	listed := []workers.Running{{Task: r.onlyAttempt(w).task.id, Attempt: 1}}
	r.handlePoll(w, r.pollRequest(w, r.clock), r.clock, workers.Inventory{Clock: 1001, StartTime: testStartTime, Running: listed}, nil)
	r.submit("b", oneStep(2, 100))
	r.scheduleAndCommit()
	out := r.recordLog()
	r.pollAs(w, laterStartTime, 10)
	left := strconv.FormatInt((w.leasesExpireAt - r.clock).Milliseconds(), 10)
	checkFields(t, fieldsOf(t, out, "worker started again"), map[string]string{
		"attempts": "3", "born": strconv.Itoa(laterStartTime), "lease_left": left, "starts": "2", "worker": "w",
	})
	if len(w.startsSincePoll) != 0 {
		t.Errorf("%d start commands count again at the next restart", len(w.startsSincePoll))
	}
}

// Guards against a restart that the registration showed first and the log did not.
func TestLaterRegistrationIsLoggedOnce(t *testing.T) {
	r := newRig(t, memory.New())
	w := r.addWorker("w", 1000)
	registration := w.node.Registration
	registration.StartTime = laterStartTime
	r.opts.ParseRegistration = func(store.Row) (workers.Registration, error) { return registration, nil }
	r.submit("a", jobs.Step{Count: 1, Resources: jobs.Resources{CPU: 100, MemoryMB: 10}})
	r.scheduleAndCommit()
	out := r.recordLog()
	for range 2 {
		r.applyRegistration(store.Row{Key: store.Key{Name: "w"}})
	}
	checkFields(t, fieldsOf(t, out, "worker listed with a later start"), map[string]string{
		"answered_born": "1", "attempts": "1", "born": strconv.Itoa(laterStartTime), "starts": "1", "worker": "w",
	})
}
