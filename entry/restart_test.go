package entry

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against done tasks that run again: their worker had started again under its ID and address, and discarded their
// terminations because a repeated poll acknowledged terminations of its earlier incarnation, whose numbers were the same.
func TestRestartedWorkerKeepsItsTerminations(t *testing.T) {
	s := newSite(t)
	lasting := jobID(2)
	s.fleet.Behaviour.Duration = func(task string) time.Duration {
		if strings.HasPrefix(task, lasting) {
			return 0
		}
		return 50 * time.Millisecond
	}
	worker := s.fleet.Workers()[0]
	s.fleet.Workers()[1].Deregister()
	s.startInstance()
	submit := func(id, step string) {
		body := []byte(`{"spec":"x","steps":[{"cpu":100,"mem_mb":1,` + step + `}]}`)
		if status := s.call(http.MethodPost, id, body); status != http.StatusOK {
			t.Fatalf("job %s: status %d", id, status)
		}
	}
	submit(jobID(1), `"count":5`)
	s.waitFor("the job succeeds", func() bool { return s.succeeded(jobID(1)) })
	submit(lasting, `"count":1,"long_running":true`)
	s.waitFor("the lasting task runs", func() bool { return worker.Running() == 1 })
	// By now the worker delays its response to a long poll.
	time.Sleep(300 * time.Millisecond)
	worker.RestartUnregistered()
	submit(jobID(3), `"count":5`)
	// Tasks are placed by the registration of the present incarnation only.
	worker.Register()
	s.waitFor("the job succeeds", func() bool { return s.succeeded(jobID(3)) })
	for _, violation := range s.fleet.Violations() {
		t.Error(violation)
	}
}
