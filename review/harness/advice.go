package harness

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of a queue with advice.
const (
	decideMS = 30
	eachMS   = 1
	validMS  = 3000
)

type ticket struct {
	text    string
	expires time.Time
}

// Advice is the service that says which workers may run a step. It allows all.
type Advice struct {
	lab *Lab

	mu sync.Mutex
	// tickets holds the newest ticket of each step and worker.
	tickets map[string]ticket
}

// ServeHTTP implements http.Handler. It handles one call at a time.
func (a *Advice) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil || len(request.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	time.Sleep(time.Duration(decideMS+eachMS*len(request.Workers)) * time.Millisecond)
	good := [][]string{}
	for _, id := range request.Workers {
		text := fmt.Sprintf("t%016x", rand.Uint64())
		a.tickets[request.Step+" "+id] = ticket{text: text, expires: time.Now().Add(validMS * time.Millisecond)}
		good = append(good, []string{id, text})
	}
	a.lab.Note("advice on %s for %d workers: %d good", request.Step, len(request.Workers), len(good))
	respond(w, http.StatusOK, map[string]any{"good": good, "valid_ms": validMS})
}

// valid reports whether a ticket holds for the start of a task on a worker.
func (a *Advice) valid(task, worker, text string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	held, known := a.tickets[task[:strings.LastIndexByte(task, '.')]+" "+worker]
	return known && held.text == text && time.Now().Before(held.expires)
}
