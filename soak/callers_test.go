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

// callers submits jobs and remembers what they were told.
type callers struct {
	site   *site
	client *http.Client

	mu       sync.Mutex
	accepted []string
	refused  map[string]bool
	unsure   map[string]bool
	state    map[string]string
	// cancelled holds when the cancellation of a job was acknowledged.
	cancelled map[string]time.Time
	next      int
}

func newCallers(s *site) *callers {
	return &callers{
		site: s, client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 32}},
		cancelled: make(map[string]time.Time),
		refused:   make(map[string]bool), unsure: make(map[string]bool), state: make(map[string]string),
	}
}

var jobBody = fmt.Sprintf(`{"spec":"soak","steps":[{"count":3,"cpu":%d,"mem_mb":500,"estimated_ms":500,"checkpointing":true},`+
	`{"count":2,"cpu":%d,"mem_mb":500,"estimated_ms":500,"after":[0]}]}`, firstCPU, secondCPU)

var lastingBody = fmt.Sprintf(
	`{"spec":"soak","steps":[{"count":2,"cpu":%d,"mem_mb":300,"estimated_ms":500,"long_running":true}]}`, lastingCPU)

func bodyOf(id string) string {
	if lasts(id) {
		return lastingBody
	}
	return jobBody
}

func (c *callers) call(n int, method, id, body string) (int, string, error) {
	i := c.site.instances[n%len(c.site.instances)]
	request, err := http.NewRequest(method, "http://"+i.addr+"/q/"+id, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	request.Host = "h.example"
	request.Header.Set("X-Deadline-Ms", "2500")
	sent := time.Now()
	response, err := c.client.Do(request)
	if err != nil {
		c.site.noteCall(method, id, sent, err)
		return 0, "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		c.site.noteCall(method, id, sent, err)
	}
	return response.StatusCode, string(content), err
}

func (c *callers) submitUntil(stop chan struct{}) {
	var all sync.WaitGroup
	defer all.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(c.site.size.jobEvery):
		}
		c.next++
		id, n := fmt.Sprintf("%016x", c.next), c.next
		all.Add(1)
		go func() { defer all.Done(); c.submit(id, n) }()
	}
}

// submit hands a job in, at up to three instances.
func (c *callers) submit(id string, n int) {
	sure := true
	for try := range 3 {
		status, _, err := c.call(n+try, http.MethodPost, id, bodyOf(id))
		switch {
		case err == nil && status == http.StatusOK:
			c.mu.Lock()
			c.accepted = append(c.accepted, id)
			c.mu.Unlock()
			if cancels(id) {
				time.Sleep(time.Duration(hash(1, id)%1500) * time.Millisecond)
				c.cancel(id, n)
			}
			return
		case err == nil && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
		case err != nil && strings.Contains(err.Error(), "connection refused"):
		default:
			sure = false
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if sure {
		c.refused[id] = true
	} else {
		c.unsure[id] = true
	}
}

// cancel takes a job back, at several instances if need be. A job that has ended stays as it is.
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

// askUntil asks for jobs at random.
func (c *callers) askUntil(stop chan struct{}) {
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
			c.ask(random.Intn(len(c.site.instances)), known[random.Intn(len(known))])
		}
	}
}

// ask notes the state of an accepted job. It may not be unknown, nor leave an end.
func (c *callers) ask(n int, id string) string {
	status, body, err := c.call(n, http.MethodGet, id, "")
	if err != nil {
		return ""
	}
	if status == http.StatusGone || status == http.StatusNotFound {
		c.site.t.Errorf("lost: accepted job %s is answered %d", id, status)
		return ""
	}
	if status != http.StatusOK {
		return ""
	}
	var answer struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal([]byte(body), &answer); err != nil {
		c.site.t.Errorf("state of %s: %q", id, body)
		return ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.state[id]
	if (before == "succeeded" || before == "failed" || before == "cancelled") && answer.State != before {
		c.site.t.Errorf("mixed: %s went from %s to %s", id, before, answer.State)
	}
	c.state[id] = answer.State
	return answer.State
}

// settle waits until all accepted jobs have ended.
func (c *callers) settle(limit time.Duration) {
	end := time.Now().Add(limit)
	for _, id := range c.accepted {
		for n := 0; ; n++ {
			state := c.ask(n, id)
			if state == "succeeded" || state == "failed" || state == "cancelled" || (lasts(id) && state == "running") {
				break
			}
			if time.Now().After(end) {
				c.site.t.Errorf("lost: accepted job %s has not ended", id)
				return
			}
			time.Sleep(40 * time.Millisecond)
		}
	}
}

const (
	tasksPerJob  = 5
	lastingTasks = 2
)

func (c *callers) check(started map[string]bool, done map[string]map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.accepted) == 0 {
		c.site.t.Error("no job was accepted")
	}
	for id := range c.refused {
		if started[id] {
			c.site.t.Errorf("refused: job %s was refused by all and ran", id)
		}
	}
	for _, id := range c.accepted {
		switch c.state[id] {
		case "cancelled":
			if !cancels(id) {
				c.site.t.Errorf("lost: %s is shown as cancelled, and nobody has cancelled it", id)
			}
		case "succeeded":
			if len(done[id]) != tasksPerJob {
				c.site.t.Errorf("mixed: %s is shown as succeeded with %d of %d tasks done", id, len(done[id]), tasksPerJob)
			}
		case "failed":
			c.site.t.Errorf("lost: %s is shown as failed without cause", id)
		}
	}
	c.site.t.Logf("accepted %d, refused %d, unsure %d", len(c.accepted), len(c.refused), len(c.unsure))
}
