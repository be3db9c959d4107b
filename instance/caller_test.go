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

// callerTimeout is the time after which a test caller gives up.
const callerTimeout = 2 * time.Second

// reply is what a caller got. A broken connection has the outcome "" and the error.
type reply struct {
	at      time.Time
	node    api.InstanceID
	key     string
	status  int
	outcome api.Outcome
	reason  string
	body    string
	err     error
}

// get sends an idempotent request.
func (f *fleet) get(n *node, service string) reply {
	return f.send(n, http.MethodGet, service, "", 1)
}

// post sends a non-idempotent request under a key.
func (f *fleet) post(n *node, service, key string, attempt int) reply {
	return f.send(n, http.MethodPost, service, key, attempt)
}

func (f *fleet) send(n *node, method, service, key string, attempt int) reply {
	r := reply{at: time.Now(), node: n.self.ID, key: key}
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
	// idempotent and keyed hold the replies to first attempts; retried those to attempts 2 at another instance.
	idempotent []reply
	keyed      []reply
	retried    []reply
}

// callerPause lies between two rounds of one caller.
const callerPause = 25 * time.Millisecond

// startLoad starts one caller at each instance. A keyed request without an answer is sent again to the next instance as
// attempt 2.
func (f *fleet) startLoad(service string, keyPrefix func(*node) string) *load {
	l := &load{stop: make(chan struct{})}
	for index, n := range f.nodes {
		next := f.nodes[(index+1)%len(f.nodes)]
		l.all.Go(func() {
			for round := 0; ; round++ {
				select {
				case <-l.stop:
					return
				case <-time.After(callerPause):
				}
				l.add(&l.idempotent, f.get(n, service))
				key := fmt.Sprintf("%s%s-%d", keyPrefix(n), n.self.ID, round)
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

func ownRegion(n *node) string { return n.self.Location.Region + ":" }
func anyRegion(*node) string   { return "" }

func (l *load) add(to *[]reply, r reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*to = append(*to, r)
}

// end stops the callers and waits for their last replies.
func (l *load) end() {
	close(l.stop)
	l.all.Wait()
}

// unanswered counts the replies sent in a span, and those without an answer by instance, outcome and reason.
func unanswered(replies []reply, from, to time.Time) (total int, failures map[string]int) {
	failures = map[string]int{}
	for _, r := range replies {
		if r.at.Before(from) || r.at.After(to) {
			continue
		}
		total++
		if r.outcome != api.Answered {
			text := fmt.Sprintf("%s: %s %s", r.node, r.outcome, r.reason)
			if r.err != nil {
				text = fmt.Sprintf("%s: %v", r.node, r.err)
			}
			failures[text]++
		}
	}
	return total, failures
}
