package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["late"] = playLate }

// Timing of the case: a start and a stop get no answer and are carried out 2 to 12 s later.
const (
	lateStart = 2500 * time.Millisecond
	lateStop  = 6 * time.Second
	// streamTaskMs is how long the tasks of the other jobs on the workers take.
	streamTaskMs = 400
)

// playLate lets the first start of a task get no answer and be carried out late, while the worker refuses the repeated start
// as unhealthy, and the stop gets no answer either.
func playLate(l *Lab) []string {
	startFleet(l, 2, 8)
	l.StartWorker("w9", "b", "r1-2")
	l.StartWorker("w10", "b", "r1-2")
	l.ready()
	first := l.instances[0]
	stopStream := l.stream(first)
	defer stopStream()
	time.Sleep(2 * time.Second)

	id := newIDHook(l)
	first.submitAs(queuePrefix, id, 6000, step{Count: 1, CPU: 1000, MemMB: 100, Requires: "b"})
	l.settles(30*time.Second, first, queuePrefix, id)
	return l.ledger.Twice()
}

// stream hands in jobs of short tasks for the workers of kind b all the time, until the returned function is called.
func (l *Lab) stream(at *Instance) (stop func()) {
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(100 * time.Millisecond):
				at.call(http.MethodPost, queuePrefix+newID(), map[string]any{
					"spec": fmt.Sprintf(`{"ms":%d}`, streamTaskMs), "steps": []step{{Count: 6, CPU: 500, MemMB: 50, Requires: "b"}},
				})
			}
		}
	}()
	return func() { close(done) }
}

// newIDHook returns the id of a job whose first run meets the disruption on whichever worker it is sent to.
func newIDHook(l *Lab) string {
	id := newID()
	if !l.trouble {
		return id
	}
	var mu sync.Mutex
	starts, stops := 0, 0
	for _, w := range l.workers {
		w.mu.Lock()
		w.onCall = func(path string, c *command) effect {
			mu.Lock()
			defer mu.Unlock()
			switch {
			case !strings.HasPrefix(c.Task, id) || c.Run != 1:
			case path == "/-/run-start":
				starts++
				if starts == 1 {
					return effect{late: lateStart}
				}
				return effect{unhealthy: true}
			case path == "/-/run-stop":
				stops++
				if stops == 1 {
					return effect{late: lateStop}
				}
			}
			return effect{}
		}
		w.mu.Unlock()
	}
	return id
}
