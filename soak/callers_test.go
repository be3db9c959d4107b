package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"time"
)

// callers submits, queries and cancels jobs over HTTP and records the responses.
type callers struct {
	scenario *scenario
	client   *http.Client

	mu       sync.Mutex
	accepted []string
	// refused holds the jobs that every instance tried has refused, unknown those whose submission may have arrived.
	refused map[string]bool
	unknown map[string]bool
	// state is the state of each job in its latest response.
	state map[string]string
	// cancelled holds the time at which the cancellation of each job was acknowledged.
	cancelled map[string]time.Time
	// submitted counts the jobs; the ID of a job is its number in hexadecimal digits.
	submitted int
}

func newCallers(s *scenario) *callers {
	return &callers{
		scenario: s, client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 32}},
		cancelled: make(map[string]time.Time),
		refused:   make(map[string]bool), unknown: make(map[string]bool), state: make(map[string]string),
	}
}

var batchBody = fmt.Sprintf(`{"spec":"soak","steps":[{"count":3,"cpu":%d,"mem_mb":500,"estimated_ms":500,"checkpointing":true},`+
	`{"count":2,"cpu":%d,"mem_mb":500,"estimated_ms":500,"after":[0]}]}`, firstStepCPU, secondStepCPU)

var longRunningBody = fmt.Sprintf(
	`{"spec":"soak","steps":[{"count":2,"cpu":%d,"mem_mb":300,"estimated_ms":500,"long_running":true}]}`, longRunningCPU)

// submissionBody returns the body of the request that submits a job.
func submissionBody(id string) string {
	if isLongRunning(id) {
		return longRunningBody
	}
	return batchBody
}

// call sends a request for a job to the n-th instance and returns the status and the body of the response.
func (c *callers) call(n int, method, id, body string) (int, string, error) {
	i := c.scenario.instances[n%len(c.scenario.instances)]
	request, err := http.NewRequest(method, "http://"+i.callerAddr+"/q/"+id, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	request.Host = "h.example"
	request.Header.Set("X-Deadline-Ms", "2500")
	sent := time.Now()
	response, err := c.client.Do(request)
	if err != nil {
		c.scenario.checkFailedCall(method, id, sent, err)
		return 0, "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		c.scenario.checkFailedCall(method, id, sent, err)
	}
	return response.StatusCode, string(content), err
}

// submitUntil submits jobs at a fixed interval, without waiting for the responses, until stop is closed.
func (c *callers) submitUntil(stop chan struct{}) {
	var all sync.WaitGroup
	defer all.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(c.scenario.size.submitInterval):
		}
		c.submitted++
		id, n := fmt.Sprintf("%016x", c.submitted), c.submitted
		all.Add(1)
		go func() { defer all.Done(); c.submit(id, n) }()
	}
}

// submit submits a job, trying up to three instances. The job counts as refused only if each of them refused it or was
// unreachable; after any other failure its outcome is unknown.
func (c *callers) submit(id string, n int) {
	refusedByAll := true
	for try := range 3 {
		status, _, err := c.call(n+try, http.MethodPost, id, submissionBody(id))
		switch {
		case err == nil && status == http.StatusOK:
			c.mu.Lock()
			c.accepted = append(c.accepted, id)
			c.mu.Unlock()
			if willCancel(id) {
				time.Sleep(time.Duration(hash(1, id)%1500) * time.Millisecond)
				c.cancel(id, n)
			}
			return
		case err == nil && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
		case err != nil && strings.Contains(err.Error(), "connection refused"):
		default:
			refusedByAll = false
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if refusedByAll {
		c.refused[id] = true
	} else {
		c.unknown[id] = true
	}
}

// cancel cancels a job, trying the instances in turn until one acknowledges. A job that has ended keeps its state.
func (c *callers) cancel(id string, n int) {
	for try := range 20 {
		status, _, err := c.call(n+try, http.MethodDelete, id, "")
		if err == nil && status == http.StatusOK {
			c.mu.Lock()
			c.cancelled[id] = time.Now()
			c.mu.Unlock()
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// queryUntil queries randomly chosen accepted jobs until stop is closed.
func (c *callers) queryUntil(stop chan struct{}) {
	random := rand.New(rand.NewSource(99))
	for {
		select {
		case <-stop:
			return
		case <-time.After(30 * time.Millisecond):
		}
		c.mu.Lock()
		known := append([]string(nil), c.accepted...)
		c.mu.Unlock()
		if len(known) > 0 {
			c.query(random.Intn(len(c.scenario.instances)), known[random.Intn(len(known))])
		}
	}
}

// query queries and records the state of an accepted job. The test fails if the job is unknown or has left a terminal state.
// The result is empty if no state was returned.
func (c *callers) query(n int, id string) string {
	status, body, err := c.call(n, http.MethodGet, id, "")
	if err != nil {
		return ""
	}
	if status == http.StatusGone || status == http.StatusNotFound {
		c.scenario.t.Errorf("lost: query of accepted job %s returned status %d", id, status)
		return ""
	}
	if status != http.StatusOK {
		return ""
	}
	var response struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal([]byte(body), &response); err != nil {
		c.scenario.t.Errorf("invalid state of job %s in the response: %q", id, body)
		return ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.state[id]
	if (before == "succeeded" || before == "failed" || before == "cancelled") && response.State != before {
		c.scenario.t.Errorf("mixed: %s went from %s to %s", id, before, response.State)
	}
	c.state[id] = response.State
	return response.State
}

// awaitTerminal waits until all accepted batch jobs have ended and all accepted long-running jobs run or have ended. The test fails
// if that takes longer than limit, not counting the time in which the workers are busy, or longer than busyLimit in all.
func (c *callers) awaitTerminal(limit, busyLimit time.Duration) {
	const interval = 40 * time.Millisecond
	begun := time.Now()
	last, busy := begun, time.Duration(0)
	defer func() {
		c.scenario.t.Logf("accepted jobs took %v to end, the workers were busy for %v of it", time.Since(begun), busy)
	}()
	for _, id := range c.accepted {
		for n := 0; ; n++ {
			state := c.query(n, id)
			if state == "succeeded" || state == "failed" || state == "cancelled" || (isLongRunning(id) && state == "running") {
				break
			}
			now := time.Now()
			if c.scenario.fleetIsBusy() {
				busy += now.Sub(last)
			}
			last = now
			if now.Sub(begun)-busy > limit || now.Sub(begun) > busyLimit {
				c.scenario.t.Errorf("lost: accepted job %s has not ended", id)
				return
			}
			time.Sleep(interval)
		}
	}
}

const (
	tasksPerBatchJob       = 5
	tasksPerLongRunningJob = 2
)

// check compares the responses to callers with the tasks that the workers started and completed, by job.
func (c *callers) check(started map[string]bool, done map[string]map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.accepted) == 0 {
		c.scenario.t.Error("no job was accepted")
	}
	for id := range c.refused {
		if started[id] {
			c.scenario.t.Errorf("refused: job %s was refused by all instances tried, but ran", id)
		}
	}
	for _, id := range c.accepted {
		switch c.state[id] {
		case "cancelled":
			if !willCancel(id) {
				c.scenario.t.Errorf("lost: %s has state cancelled, but no caller has cancelled it", id)
			}
		case "succeeded":
			if len(done[id]) != tasksPerBatchJob {
				c.scenario.t.Errorf("mixed: %s has state succeeded with %d of %d tasks done", id, len(done[id]), tasksPerBatchJob)
			}
		case "failed":
			c.scenario.t.Errorf("lost: %s has state failed without cause", id)
		}
	}
	c.scenario.t.Logf("accepted %d, refused %d, outcome unknown %d", len(c.accepted), len(c.refused), len(c.unknown))
}
