package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	"bronzehook/api"
	"bronzehook/runner"
)

// Guards against a new coordinator that puts all tasks of a service on the rack that reports first, and against one that
// never places anything because a listed worker stays silent.
func TestNewCoordinatorWaitsForReportsOfAllRacks(t *testing.T) {
	for name, reported := range map[string]bool{"all racks report": true, "a worker stays silent": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				other := api.Worker{ID: "w2", Location: api.Location{Region: "surrey", DataCentre: "kingston", Rack: "r1"}}
				h.mu.Lock()
				h.silent = []api.Worker{other}
				h.mu.Unlock()
				h.setReplicas(2)
				h.do(t, h.Lost)
				h.begin(t)
				if got := len(h.assignments()); got != 1 {
					t.Fatalf("%d assignments before all racks were reported, want only the one of the first term", got)
				}
				if reported {
					report := runner.Report{From: "i3", Unit: api.RackUnit("kingston", "r1"), Epoch: 5, Full: true,
						Workers: []runner.WorkerReport{{Worker: other.ID, Reachable: true}}}
					h.do(t, func() { h.HandleReport(report) })
					// One cycle decides and writes, the next one sends; half of settleTime still tells the report from the
					// end of the wait.
					time.Sleep(settleTime / 2)
				} else {
					time.Sleep(settleTime)
				}
				if got := len(h.assignments()); got != 2 {
					t.Errorf("%d assignments, want that of the new task too", got)
				}
			})
		})
	}
}
