package instance

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"bronzehook/api"
)

// callerTimeout is the time after which a test caller abandons a request.
const callerTimeout = 2 * time.Second

// reply is the response that a caller received. A broken connection has the outcome "" and the error.
type reply struct {
	at       time.Time
	instance api.InstanceID
	key      string
	status   int
	outcome  api.Outcome
	reason   string
	body     string
	err      error
}

// get sends an idempotent request.
func (f *fleet) get(n *testInstance, service string) reply {
	return f.send(n, http.MethodGet, service, "", 1)
}

// post sends a non-idempotent request with an idempotency key.
func (f *fleet) post(n *testInstance, service, key string, attempt int) reply {
	return f.send(n, http.MethodPost, service, key, attempt)
}

func (f *fleet) send(n *testInstance, method, service, key string, attempt int) reply {
	r := reply{at: time.Now(), instance: n.self.ID, key: key}
	request, err := http.NewRequest(method, "http://"+n.CallerAddr()+"/"+service+"/x", nil)
	if err != nil {
		r.err = err
		return r
	}
	request.Header.Set(api.HeaderTimeout, strconv.FormatInt(callerTimeout.Milliseconds(), 10))
	if key != "" {
		request.Header.Set(api.HeaderKey, key)
		request.Header.Set(api.HeaderAttempt, strconv.Itoa(attempt))
	}
	response, err := f.client.Do(request)
	if err != nil {
		r.err = err
		return r
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	r.err, r.body, r.status = err, string(body), response.StatusCode
	r.outcome = api.Outcome(response.Header.Get(api.HeaderOutcome))
	r.reason = response.Header.Get(api.HeaderReason)
	return r
}

// load is a set of callers that send requests until they are stopped.
type load struct {
	stop chan struct{}
	all  sync.WaitGroup
	mu   sync.Mutex
	// idempotent and keyed hold the replies to first attempts, keyed those with an idempotency key; retried holds the
	// replies to second attempts at another instance.
	idempotent []reply
	keyed      []reply
	retried    []reply
}

// callerInterval is the time between two iterations of one caller.
const callerInterval = 25 * time.Millisecond

// startLoad starts one caller at each instance. A request with an idempotency key that gets no response is sent again
// to the next instance as attempt 2.
func (f *fleet) startLoad(service string, keyPrefix func(*testInstance) string) *load {
	l := &load{stop: make(chan struct{})}
	for index, n := range f.instances {
		next := f.instances[(index+1)%len(f.instances)]
		l.all.Go(func() {
			for iteration := 0; ; iteration++ {
				select {
				case <-l.stop:
					return
				case <-time.After(callerInterval):
				}
				l.add(&l.idempotent, f.get(n, service))
				key := fmt.Sprintf("%s%s-%d", keyPrefix(n), n.self.ID, iteration)
				first := f.post(n, service, key, 1)
				l.add(&l.keyed, first)
				if first.outcome != api.Answered {
					l.add(&l.retried, f.post(next, service, key, 2))
				}
			}
		})
	}
	return l
}

func homeRegionPrefix(n *testInstance) string { return n.self.Location.Region + ":" }
func noKeyPrefix(*testInstance) string        { return "" }

func (l *load) add(to *[]reply, r reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*to = append(*to, r)
}

// finish stops the callers and waits for their last replies.
func (l *load) finish() {
	close(l.stop)
	l.all.Wait()
}

// unanswered counts the requests sent between two times, and those without a response by instance, outcome and reason.
func unanswered(replies []reply, from, to time.Time) (total int, failures map[string]int) {
	failures = map[string]int{}
	for _, r := range replies {
		if r.at.Before(from) || r.at.After(to) {
			continue
		}
		total++
		if r.outcome != api.Answered {
			text := fmt.Sprintf("%s: %s %s", r.instance, r.outcome, r.reason)
			if r.err != nil {
				text = fmt.Sprintf("%s: %v", r.instance, r.err)
			}
			failures[text]++
		}
	}
	return total, failures
}
