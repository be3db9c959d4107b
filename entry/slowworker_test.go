package entry

import (
	"net/http"
	"testing"
	"time"

	"bronzehook/platform/platformtest"
)

// Guards against tasks of a slow worker that never start or lapse because queued starts time out and use up connections.
func TestSlowWorkerStartsAndKeepsItsTasks(t *testing.T) {
	t.Parallel()
	const (
		tasks       = 20
		answerDelay = 500 * time.Millisecond
	)
	s := newSite(t)
	s.fleet.MaxLease = longLease
	s.fleet.Behaviour.Duration = func(string) time.Duration { return 2 * time.Second }
	worker := s.fleet.Workers()[0]
	s.fleet.Workers()[1].Deregister()
	s.startInstance(leaseArgument(longLease))
	s.submitTask(jobID(1))
	s.waitFor("the job succeeds", func() bool { return s.succeeded(jobID(1)) })
	worker.SetFault(func(*http.Request) platformtest.Fault {
		time.Sleep(answerDelay)
		return platformtest.FaultNone
	})
	s.submitTasks(jobID(2), tasks)
	s.waitAtMost(2*longLease, "the job succeeds", func() bool { return s.succeeded(jobID(2)) })
	for _, finish := range s.fleet.Finishes() {
		if finish.Cause == "lapsed" {
			t.Errorf("attempt %d of %s has lapsed", finish.Attempt, finish.Task)
		}
	}
	for _, violation := range s.fleet.Violations() {
		t.Error(violation)
	}
}
