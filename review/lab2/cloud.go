package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// upkeepTime is how long a machine is down for its upkeep (upkeep_s).
const upkeepTime = 2 * time.Second

// wave is a request of the operator for the upkeep of machines.
type wave struct {
	Number   int      `json:"wave"`
	Machines []string `json:"machines"`
	Duration int      `json:"duration_s"`
	Cap      int      `json:"cap"`
}

// upkeepOrder is the body of an order.
type upkeepOrder struct {
	Machine string `json:"machine"`
	Wave    int    `json:"wave"`
}

// Cloud is a stand-in of the platform's machine service.
type Cloud struct {
	lab  *Lab
	wave wave
	// late, if set, decides for each order whether it gets no answer and is carried out once the channel is closed.
	late func(order upkeepOrder) <-chan struct{}

	mu       sync.Mutex
	tokens   map[string]uint64
	begun    map[string]bool
	down     map[string]bool
	breaches []string
	// begins is told each machine whose upkeep begins.
	begins chan string
}

// StartCloud starts the machine service.
func (l *Lab) StartCloud() *Cloud {
	c := &Cloud{
		lab: l, tokens: make(map[string]uint64), begun: make(map[string]bool), down: make(map[string]bool), begins: make(chan string, 16),
	}
	l.cloudAddr = l.serve(l.host(251), c)
	return c
}

// Request asks for a wave, as the operator does.
func (c *Cloud) Request(w wave) {
	c.mu.Lock()
	c.wave = w
	c.mu.Unlock()
	c.lab.record.Note("operator asks for wave %d of %v, cap %d", w.Number, w.Machines, w.Cap)
	c.lab.store.Put("op", "wave/"+strconv.Itoa(w.Number), w)
}

// ServeHTTP implements http.Handler.
func (c *Cloud) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/-/machines" {
		c.list(rw)
		return
	}
	var order upkeepOrder
	if r.URL.Path != "/-/machine-upkeep" || json.NewDecoder(r.Body).Decode(&order) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	holder := r.Header.Get("X-Lease-Holder")
	token, _ := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	c.lab.record.Note("cloud: upkeep of %s ordered by %s with token %d", order.Machine, holder, token)
	if c.late != nil {
		if due := c.late(order); due != nil {
			arrived := time.Now()
			go func() {
				<-due
				status, reason := c.carryOut(order, token)
				c.lab.record.Note("cloud: unanswered order for %s with token %d carried out %.1f s after it came: %d %s",
					order.Machine, token, time.Since(arrived).Seconds(), status, reason)
			}()
			<-r.Context().Done()
			return
		}
	}
	status, reason := c.carryOut(order, token)
	c.lab.record.Note("cloud: order for %s with token %d answered %d %s", order.Machine, token, status, reason)
	respond(rw, status, map[string]any{"reason": reason})
}

func (c *Cloud) list(rw http.ResponseWriter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	machines := make([]map[string]any, 0, len(c.lab.workers))
	for _, w := range c.lab.workers {
		state := "up"
		if c.down[w.Machine] {
			state = "upkeep"
		}
		machines = append(machines, map[string]any{
			"machine": w.Machine, "pool": serviceName, "state": state, "zone": "z1", "labels": []string{w.Kind, w.Rack},
			"capacity": map[string]int{"cpu": workerCPU, "mem_mb": workerMemMB}, "id": w.ID,
		})
	}
	respond(rw, http.StatusOK, map[string]any{"machines": machines})
}

// carryOut carries out an order and returns the status and the reason of the answer.
func (c *Cloud) carryOut(order upkeepOrder, token uint64) (status int, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	index := slices.IndexFunc(c.lab.workers, func(w *Worker) bool { return w.Machine == order.Machine })
	switch {
	case index < 0:
		return http.StatusBadRequest, ""
	case token < c.tokens[order.Machine]:
		return http.StatusConflict, "fence"
	}
	c.tokens[order.Machine] = token
	switch {
	case order.Wave != c.wave.Number || !slices.Contains(c.wave.Machines, order.Machine):
		return http.StatusConflict, "wave"
	case c.begun[order.Machine]:
		return http.StatusOK, ""
	}
	c.begin(c.lab.workers[index])
	return http.StatusOK, ""
}

// begin takes a machine down. A worker joins again after upkeepTime.
func (c *Cloud) begin(w *Worker) {
	down := 0
	for _, name := range c.wave.Machines {
		if c.down[name] {
			down++
		}
	}
	c.lab.record.Note("cloud: upkeep of %s begins while %d machines of the wave are down, cap %d", w.Machine, down, c.wave.Cap)
	if down >= c.wave.Cap {
		c.breaches = append(c.breaches, fmt.Sprintf("LIMIT: the upkeep of %s begins while %d machines of wave %d are down for theirs, cap %d",
			w.Machine, down, c.wave.Number, c.wave.Cap))
	}
	c.begun[w.Machine], c.down[w.Machine] = true, true
	w.Crash()
	c.lab.store.Remove("servers", w.ID)
	c.begins <- w.Machine
	time.AfterFunc(upkeepTime, func() {
		c.mu.Lock()
		c.down[w.Machine] = false
		c.mu.Unlock()
		w.Reborn()
	})
}

// status returns the state of the wave that the system has written.
func (c *Cloud) status() string {
	var shown struct{ State string }
	_ = json.Unmarshal(c.lab.store.Value("status", "wave/"+strconv.Itoa(c.wave.Number)), &shown)
	return shown.State
}
