package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	"bronzehook/api"
	"bronzehook/runner"
)

// Guards against a new coordinator that places all tasks of a service on the rack that reports first, and against one
// that never places anything because a worker in the directory is never reported.
func TestNewCoordinatorWaitsForReportsOfAllRacks(t *testing.T) {
	for name, reported := range map[string]bool{"all racks report": true, "a worker is never reported": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				other := api.Worker{ID: "w2", Location: api.Location{Region: "surrey", DataCentre: "kingston", Rack: "r1"}}
				h.mu.Lock()
				h.unreportedWorkers = []api.Worker{other}
				h.mu.Unlock()
				h.setReplicas(2)
				h.do(t, h.Lost)
				h.startTerm(t)
				if got := len(h.assignments()); got != 1 {
					t.Fatalf("%d assignments before all racks were reported, want only the one of the first coordinator term",
						got)
				}
				if reported {
					report := runner.Report{From: "i3", Unit: api.RackUnit("kingston", "r1"), Epoch: 5, Full: true,
						Workers: []runner.WorkerReport{{Worker: other.ID, Reachable: true}}}
					h.do(t, func() { h.HandleReport(report) })
					// One cycle decides and writes, and the next one sends. Half of maxInitialReportWait leaves time
					// for both, yet the assignment cannot be due to the end of the wait.
					time.Sleep(maxInitialReportWait / 2)
				} else {
					time.Sleep(maxInitialReportWait)
				}
				if got := len(h.assignments()); got != 2 {
					t.Errorf("%d assignments, want one of the new task as well", got)
				}
			})
		})
	}
}
