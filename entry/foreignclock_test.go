package entry

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bronzehook/platform/platformtest"
)

const (
	// longLease exceeds the attempt lease that leaders grant.
	longLease = 10 * time.Second
	// unnoticedRestart is how long no poll is answered after a worker has started again.
	unnoticedRestart = 500 * time.Millisecond
	// heldCallTime is within which a worker that has started again carries out the calls that were on their way there.
	heldCallTime = time.Second
)

// restartedSite is a site in which a worker starts again while the start of a task, or the question before it, is on its way
// there. None of its polls is answered for a while after that, nor while a task runs there.
type restartedSite struct {
	*site
	first, other *platformtest.Worker
	leader       *process
	// callsReached counts the calls that have reached the worker since it started again.
	callsReached atomic.Int64
}

func newRestartedSite(t *testing.T) *restartedSite {
	t.Helper()
	s := newSite(t)
	s.fleet.MaxLease = longLease
	lasting := jobID(1000)
	s.fleet.Behaviour.Duration = func(task string) time.Duration {
		if strings.HasPrefix(task, lasting) {
			return time.Minute
		}
		return 50 * time.Millisecond
	}
	r := &restartedSite{site: s, first: s.fleet.Workers()[0], other: s.fleet.Workers()[1]}
	r.other.Deregister()
	r.first.SetClockAge(time.Hour)
	r.leader = s.startInstance(leaseArgument(longLease))
	// The leader then has the clock of the first incarnation and one connection for commands, so that it needs another one for
	// a start that is overdue.
	s.submitTask(jobID(1))
	s.waitFor("the job succeeds", func() bool { return s.succeeded(jobID(1)) })
	r.first.Crash()
	s.submitTask(lasting)
	s.waitFor("a call is on its way", func() bool { return r.first.CallsHeld("/-/run-start")+r.first.CallsHeld("/-/hold") > 0 })
	startedAgain := time.Now()
	r.first.SetFault(func(call *http.Request) platformtest.Fault {
		r.callsReached.Add(1)
		if call.URL.Path == "/-/hold" && (r.first.Running() > 0 || time.Since(startedAgain) < unnoticedRestart) {
			return platformtest.FaultRequestLost
		}
		return platformtest.FaultNone
	})
	r.first.RestartUnregistered()
	for time.Since(startedAgain) < heldCallTime && r.first.Running() == 0 {
		time.Sleep(pollInterval)
	}
	if r.callsReached.Load() == 0 {
		t.Fatal("no call has reached the worker that has started again")
	}
	return r
}

// submitTask submits a job of one task.
func (s *site) submitTask(id string) {
	s.t.Helper()
	s.submitTasks(id, 1)
}

// submitTasks submits a job of one step with a number of tasks.
func (s *site) submitTasks(id string, count int) {
	s.t.Helper()
	body := fmt.Appendf(nil, `{"spec":"x","steps":[{"count":%d,"cpu":100,"mem_mb":1}]}`, count)
	if status := s.call(http.MethodPost, id, body); status != http.StatusOK {
		s.t.Fatalf("job %s: status %d", id, status)
	}
}

// checkNextAttempt waits until the task starts on the other worker, and checks that the first attempt has ended by then.
func (r *restartedSite) checkNextAttempt() {
	r.t.Helper()
	r.other.Register()
	r.waitAtMost(2*longLease, "the task starts elsewhere", func() bool { return r.other.Running() == 1 })
	for _, violation := range r.fleet.Violations() {
		r.t.Error(violation)
	}
}

// Guards against two running attempts: a lease by an earlier incarnation's clock outlasts what the next leader assumes.
func TestForeignClockLeaseDoesNotOutliveTakeover(t *testing.T) {
	t.Parallel()
	r := newRestartedSite(t)
	r.startNamed("n1", leaseArgument(longLease))
	r.first.CutOff()
	if err := r.leader.kernel.Stop(context.Background()); err != nil {
		t.Error(err)
	}
	r.checkNextAttempt()
}

// Guards against two running attempts: a lease by another clock on a worker cut off before its restart is noticed.
func TestForeignClockLeaseDoesNotOutliveCutOff(t *testing.T) {
	t.Parallel()
	r := newRestartedSite(t)
	r.first.CutOff()
	r.checkNextAttempt()
}
