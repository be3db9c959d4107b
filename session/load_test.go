package session

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bronzehook/api"
)

const (
	loadCallers = 9
	// keyInterval is the delay of a caller between two keys; nine callers then send about 300 keys a second.
	keyInterval = 10 * time.Millisecond
	// maxAttempts bounds the attempts at one key; with time-outs of 3 s they last longer than a takeover.
	maxAttempts = 6
)

// sendAttempt is one attempt to send the request with a key.
type sendAttempt struct {
	key        string
	number     int
	instance   string
	startedAt  time.Time
	finishedAt time.Time
	callResult
}

// load sends non-idempotent requests with idempotency keys through all instances until it is stopped. After a broken connection
// or an unknown outcome it retries through another instance with the next attempt number, and so it does for half of the keys
// after the outcome not-run.
type load struct {
	f    *fleet
	stop chan struct{}
	once sync.Once
	done sync.WaitGroup
	// excluded is the ID of the instance that the load balancer leaves out, or empty.
	excluded atomic.Value
	mu       sync.Mutex
	attempts []sendAttempt
}

func (f *fleet) startLoad(service string) *load {
	l := &load{f: f, stop: make(chan struct{})}
	l.excluded.Store("")
	for n := range loadCallers {
		l.done.Go(func() { l.runCaller(service, n) })
	}
	f.t.Cleanup(l.finish)
	return l
}

// finish stops the callers and waits for their last responses.
func (l *load) finish() {
	l.once.Do(func() { close(l.stop) })
	l.done.Wait()
}

func (l *load) runCaller(service string, caller int) {
	regions := []string{"cornwall:", "surrey:", ""}
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		case <-time.After(keyInterval):
		}
		key := fmt.Sprintf("%s%d-%d", regions[n%len(regions)], caller, n)
		l.sendKey(service, key, caller+n)
	}
}

// sendKey sends the request with a key until it is answered, at most maxAttempts times. The offset selects the first instance;
// if it is even, the outcome not-run is not retried.
func (l *load) sendKey(service, key string, offset int) {
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		p := l.pickInstance(offset + attempt)
		startedAt := time.Now()
		a := send(p, service, key, attempt)
		l.record(sendAttempt{key: key, number: attempt, instance: p.id, startedAt: startedAt, finishedAt: time.Now(), callResult: a})
		if a.outcome == api.Answered || a.outcome == api.NotRun && offset%2 == 0 {
			return
		}
	}
}

// pickInstance picks an instance, like a load balancer that leaves out an instance that is not ready.
func (l *load) pickInstance(n int) *process {
	instances := l.f.instances
	p := instances[n%len(instances)]
	if p.id == l.excluded.Load() {
		p = instances[(n+1)%len(instances)]
	}
	return p
}

func (l *load) record(s sendAttempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts = append(l.attempts, s)
}

// recorded returns a copy of the attempts so far.
func (l *load) recorded() []sendAttempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]sendAttempt{}, l.attempts...)
}

// startedBetween returns the attempts that started within a period.
func (l *load) startedBetween(from, to time.Time) []sendAttempt {
	var found []sendAttempt
	for _, s := range l.recorded() {
		if s.startedAt.After(from) && s.startedAt.Before(to) {
			found = append(found, s)
		}
	}
	return found
}

// summary counts attempts by instance, outcome and reason.
func summary(attempts []sendAttempt) string {
	counts := map[string]int{}
	for _, s := range attempts {
		reason := s.reason
		if s.broken {
			reason = "broken " + reason[strings.LastIndex(reason, ":")+1:]
		}
		counts[fmt.Sprintf("%s/%s/%s", s.instance, s.outcome, reason)]++
	}
	return fmt.Sprint(counts)
}

// checkAllAnswered fails the test unless every attempt of a period was answered and at least one was sent in each second.
func checkAllAnswered(t *testing.T, l *load, from, to time.Time) {
	t.Helper()
	attempts := l.startedBetween(from, to)
	for _, s := range attempts {
		if s.outcome != api.Answered {
			t.Errorf("not all requests were answered: %s", summary(attempts))
			return
		}
	}
	for second := from; second.Before(to.Add(-time.Second)); second = second.Add(time.Second) {
		if len(l.startedBetween(second, second.Add(time.Second))) == 0 {
			t.Errorf("no request was sent in the second after %s", second.Sub(from))
		}
	}
}

// awaitAnswered waits until all requests of one pass are answered: the pass has enough keys to reach all shards, spread over
// the given instances. It returns the time that this took.
func (f *fleet) awaitAnswered(service string, limit time.Duration, instances ...*process) time.Duration {
	f.t.Helper()
	const keysPerRegion = 64
	startedAt := time.Now()
	var unanswered string
	for pass := 0; ; pass++ {
		unanswered = f.sendPass(service, pass, keysPerRegion, instances)
		if unanswered == "" {
			return time.Since(startedAt)
		}
		if time.Since(startedAt) > limit {
			f.t.Fatalf("requests are not answered again within %s: %s", limit, unanswered)
		}
	}
}

// sendPass sends requests of both regions in parallel and returns a summary of those that were not answered, or an empty string.
func (f *fleet) sendPass(service string, pass, keys int, instances []*process) string {
	var wait sync.WaitGroup
	var mu sync.Mutex
	var failed []sendAttempt
	const maxConcurrent = 16
	semaphore := make(chan struct{}, maxConcurrent)
	for n := range 2 * keys {
		region := []string{"cornwall", "surrey"}[n%2]
		key := fmt.Sprintf("%s:again-%d-%d", region, pass, n)
		p := instances[n/2%len(instances)]
		wait.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			if a := send(p, service, key, 1); a.outcome != api.Answered {
				mu.Lock()
				defer mu.Unlock()
				failed = append(failed, sendAttempt{key: key, instance: p.id, callResult: a})
			}
		})
	}
	wait.Wait()
	if len(failed) == 0 {
		return ""
	}
	return summary(failed)
}
