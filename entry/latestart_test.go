package entry

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"bronzehook/platform/platformtest"
)

// firstCalls selects the faults of the first calls for one job by their path, over all workers; other calls have none.
type firstCalls struct {
	job    string
	mu     sync.Mutex
	faults map[string][]platformtest.Fault
}

func (f *firstCalls) fault(r *http.Request) platformtest.Fault {
	body, err := io.ReadAll(r.Body)
	f.mu.Lock()
	defer f.mu.Unlock()
	faults := f.faults[r.URL.Path]
	if err != nil || len(faults) == 0 || !bytes.Contains(body, []byte(f.job)) {
		return platformtest.FaultNone
	}
	f.faults[r.URL.Path] = faults[1:]
	return faults[0]
}

// Guards against a task that runs twice at the same time: a worker gives no answer to its start, refuses the repeated one as
// unhealthy, gives no answer to the first stop, and carries the start out seconds later, while the task runs elsewhere.
func TestLateStartDoesNotRunBesideNextAttempt(t *testing.T) {
	const width = 4
	s := newSite(t)
	late := jobID(1)
	s.fleet.Behaviour.Duration = func(task string) time.Duration {
		if strings.HasPrefix(task, late) {
			return 4 * time.Second
		}
		return 50 * time.Millisecond
	}
	s.startInstance()
	faults := &firstCalls{job: late, faults: map[string][]platformtest.Fault{
		"/-/run-start": {platformtest.FaultLate, platformtest.FaultBusy},
		"/-/run-stop":  {platformtest.FaultLate},
	}}
	for _, w := range s.fleet.Workers() {
		w.SetFault(faults.fault)
	}
	submit := func(id string, count int) {
		body := fmt.Appendf(nil, `{"spec":"x","steps":[{"count":%d,"cpu":100,"mem_mb":1}]}`, count)
		if status := s.call(http.MethodPost, id, body); status != http.StatusOK {
			t.Fatalf("job %s: status %d", id, status)
		}
	}
	submit(late, 1)
	next := 2
	s.waitFor("the job succeeds", func() bool {
		// Tasks that end let polls be answered at once.
		submit(jobID(next), width)
		next++
		return s.succeeded(late)
	})
	for _, violation := range s.fleet.Violations() {
		t.Error(violation)
	}
}
