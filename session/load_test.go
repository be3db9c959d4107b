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
	// loadPause is the pause of a caller between two keys; nine callers then send about 300 keys a second.
	loadPause = 10 * time.Millisecond
	// maxAttempts bounds attempts at one key; with time-outs of 3 s they reach beyond a takeover.
	maxAttempts = 6
)

// sent is one attempt at a key.
type sent struct {
	key     string
	attempt int
	through string
	begun   time.Time
	ended   time.Time
	answer
}

// load sends keyed requests that are not idempotent through all instances until it is stopped. A broken connection or
// an unknown outcome is retried through another instance with the next attempt number, and so is every other not-run.
type load struct {
	f    *fleet
	stop chan struct{}
	once sync.Once
	done sync.WaitGroup
	// avoided names the instance that the balancer leaves out, if any.
	avoided atomic.Value
	mu      sync.Mutex
	sent    []sent
}

func (f *fleet) startLoad(service string) *load {
	l := &load{f: f, stop: make(chan struct{})}
	l.avoided.Store("")
	for n := range loadCallers {
		l.done.Go(func() { l.call(service, n) })
	}
	f.t.Cleanup(l.end)
	return l
}

// end stops the callers and waits for their last answers.
func (l *load) end() {
	l.once.Do(func() { close(l.stop) })
	l.done.Wait()
}

func (l *load) call(service string, caller int) {
	regions := []string{"cornwall:", "surrey:", ""}
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		case <-time.After(loadPause):
		}
		key := fmt.Sprintf("%s%d-%d", regions[n%len(regions)], caller, n)
		l.sendKey(service, key, caller+n)
	}
}

func (l *load) sendKey(service, key string, first int) {
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		p := l.choose(first + attempt)
		begun := time.Now()
		a := send(p, service, key, attempt)
		l.note(sent{key: key, attempt: attempt, through: p.id, begun: begun, ended: time.Now(), answer: a})
		if a.outcome == api.Answered || a.outcome == api.NotRun && first%2 == 0 {
			return
		}
	}
}

// choose picks an instance, as a balancer does that leaves out one that is not ready.
func (l *load) choose(n int) *process {
	instances := l.f.instances
	p := instances[n%len(instances)]
	if p.id == l.avoided.Load() {
		p = instances[(n+1)%len(instances)]
	}
	return p
}

func (l *load) note(s sent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent = append(l.sent, s)
}

// all returns the attempts so far.
func (l *load) all() []sent {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]sent{}, l.sent...)
}

// between returns the attempts that began within a period.
func (l *load) between(from, to time.Time) []sent {
	var found []sent
	for _, s := range l.all() {
		if s.begun.After(from) && s.begun.Before(to) {
			found = append(found, s)
		}
	}
	return found
}

// summary counts outcomes with their reasons.
func summary(attempts []sent) string {
	counts := map[string]int{}
	for _, s := range attempts {
		reason := s.reason
		if s.broken {
			reason = "broken " + reason[strings.LastIndex(reason, ":")+1:]
		}
		counts[fmt.Sprintf("%s/%s/%s", s.through, s.outcome, reason)]++
	}
	return fmt.Sprint(counts)
}

// checkAllAnswered fails the test unless every attempt was answered and there was at least one in each second.
func checkAllAnswered(t *testing.T, l *load, from, to time.Time) {
	t.Helper()
	attempts := l.between(from, to)
	for _, s := range attempts {
		if s.outcome != api.Answered {
			t.Errorf("not all requests were answered: %s", summary(attempts))
			return
		}
	}
	for second := from; second.Before(to.Add(-time.Second)); second = second.Add(time.Second) {
		if len(l.between(second, second.Add(time.Second))) == 0 {
			t.Errorf("no request was sent in the second after %s", second.Sub(from))
		}
	}
}

// awaitAnswers waits until, in one pass, every named instance answers keys of all shards.
func (f *fleet) awaitAnswers(service string, limit time.Duration, instances ...*process) time.Duration {
	f.t.Helper()
	const keysPerRegion = 64
	begun := time.Now()
	var last string
	for pass := 0; ; pass++ {
		last = f.answerPass(service, pass, keysPerRegion, instances)
		if last == "" {
			return time.Since(begun)
		}
		if time.Since(begun) > limit {
			f.t.Fatalf("requests are not answered again within %s: %s", limit, last)
		}
	}
}

// answerPass sends keys at the same time and returns what was not answered.
func (f *fleet) answerPass(service string, pass, keys int, instances []*process) string {
	var wait sync.WaitGroup
	var mu sync.Mutex
	var failed []sent
	const atOnce = 16
	places := make(chan struct{}, atOnce)
	for n := range 2 * keys {
		region := []string{"cornwall", "surrey"}[n%2]
		key := fmt.Sprintf("%s:again-%d-%d", region, pass, n)
		p := instances[n/2%len(instances)]
		wait.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			if a := send(p, service, key, 1); a.outcome != api.Answered {
				mu.Lock()
				defer mu.Unlock()
				failed = append(failed, sent{key: key, through: p.id, answer: a})
			}
		})
	}
	wait.Wait()
	if len(failed) == 0 {
		return ""
	}
	return summary(failed)
}
