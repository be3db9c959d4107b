package entry

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"bronzehook/platform/platformtest"
)

// Guards against a worker whose tasks never start, or lapse, because each call to it takes long: starts that wait for others had
// little of their time left, and used up the connections.
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
	body := []byte(`{"spec":"x","steps":[{"count":` + strconv.Itoa(tasks) + `,"cpu":100,"mem_mb":1}]}`)
	if status := s.call(http.MethodPost, jobID(2), body); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
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
