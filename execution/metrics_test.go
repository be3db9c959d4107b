package execution

import (
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"bronzehook/store/memory"
	"bronzehook/workers"
)

// recordMetrics gives the term metrics of its own, and returns their registry.
func (r *rig) recordMetrics() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	r.opts.Metrics = NewMetrics(registry)
	return registry
}

// Guards against lost attempts and restarts that no metric counts, and against one series for each reason of a worker.
func TestLossesAreCountedByReason(t *testing.T) {
	r := newRig(t, memory.New())
	registry := r.recordMetrics()
	w := r.addWorker("w", 1000)
	r.submit("a", oneStep(6, 100))
	r.scheduleAndCommit()
	reasons := []string{lostNotListed, lostRestarted, lostLeaseExpired, lostRefused + "late", lostRefused + "ticket", "none of these"}
	for _, a := range w.attempts {
		r.markLost(a, reasons[0])
		reasons = reasons[1:]
	}
	r.pollAs(w, testStartTime, 10)
	r.pollAs(w, laterStartTime, 10)
	const want = `
# HELP bronzehook_attempts_lost_total Attempts that were lost, by reason.
# TYPE bronzehook_attempts_lost_total counter
bronzehook_attempts_lost_total{reason="lease-expired"} 1
bronzehook_attempts_lost_total{reason="not-listed"} 1
bronzehook_attempts_lost_total{reason="other"} 1
bronzehook_attempts_lost_total{reason="refused"} 2
bronzehook_attempts_lost_total{reason="restarted"} 1
# HELP bronzehook_workers_started_again_total Workers that answered as another incarnation under their ID.
# TYPE bronzehook_workers_started_again_total counter
bronzehook_workers_started_again_total 1
`
	if err := testutil.GatherAndCompare(registry, strings.NewReader(want), "bronzehook_attempts_lost_total", "bronzehook_workers_started_again_total"); err != nil {
		t.Error(err)
	}
}

// Guards against a take-over of which the metrics do not show how long the work of earlier terms was in doubt.
func TestTimeOfInheritedAttemptsInDoubt(t *testing.T) {
	for outcome, resolve := range map[string]func(*rig, *worker, *taskAttempt){
		resolvedListed: func(r *rig, _ *worker, a *taskAttempt) {
			running := &workers.Running{Task: a.task.id, Attempt: a.number}
			r.confirmRunning(a, running, r.clock)
			r.confirmRunning(a, running, r.clock)
		},
		resolvedEnded: func(r *rig, w *worker, a *taskAttempt) {
			r.handleTermination(w, workers.Termination{Number: 1, Task: a.task.id, Attempt: a.number, Cause: workers.CauseDone})
		},
		resolvedLost: func(r *rig, _ *worker, a *taskAttempt) { r.markLost(a, lostLeaseExpired) },
	} {
		t.Run(outcome, func(t *testing.T) {
			r, w := newInheritingRig(t)
			registry := r.recordMetrics()
			r.advanceClock(7 * time.Second)
			resolve(r, w, r.onlyAttempt(w))
			families, err := registry.Gather()
			if err != nil {
				t.Fatal(err)
			}
			for _, family := range families {
				if family.GetName() != "bronzehook_inherited_attempt_seconds" {
					continue
				}
				if n := len(family.GetMetric()); n != 1 {
					t.Fatalf("%d series", n)
				}
				metric := family.GetMetric()[0]
				if label, sum := metric.GetLabel()[0].GetValue(), metric.GetHistogram().GetSampleSum(); label != outcome || sum != 7 ||
					metric.GetHistogram().GetSampleCount() != 1 {
					t.Errorf("%d attempts %s after %v s", metric.GetHistogram().GetSampleCount(), label, sum)
				}
				return
			}
			t.Error("not observed")
		})
	}
}

// newInheritingRig returns a rig of a term with an attempt that an earlier one has started, and the worker of that.
func newInheritingRig(t *testing.T) (*rig, *worker) {
	t.Helper()
	table := memory.New()
	before := newRig(t, table)
	before.addWorker("w", 1000)
	before.submit("a", oneStep(1, 100))
	before.scheduleAndCommit()
	r := newRig(t, table)
	if _, err := r.readTables(r.ctx); err != nil {
		t.Fatal(err)
	}
	return r, r.workers["w"]
}
