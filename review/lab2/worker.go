package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

// Timing of workers.
const (
	heartbeat    = 1100 * time.Millisecond
	entryExpiry  = 3 * heartbeat
	holdMax      = 10_000
	maxListed    = 500
	stopDuration = 50 * time.Millisecond
)

// effect is how a worker deals with one call.
type effect struct {
	// unhealthy answers 503 and does nothing.
	unhealthy bool
	// late, if positive, gives no answer and carries the call out after that time.
	late time.Duration
}

// command is the body of a call to a worker.
type command struct {
	Task    string `json:"task"`
	Run     int    `json:"run"`
	Spec    string `json:"spec"`
	Until   int64  `json:"until_ms"`
	Token   uint64 `json:"fencing_token"`
	Seen    int64  `json:"seen_upto"`
	Wait    int64  `json:"wait_ms"`
	Percent *int   `json:"percent"`
}

// taskSpec is the content of the text that a job hands to its tasks.
type taskSpec struct {
	// Millis is how long a task runs; 0 means that it lasts.
	Millis int `json:"ms"`
}

type listedEnd struct {
	number int64
	task   string
	run    int
	how    string
}

// Worker is a stand-in of one worker.
type Worker struct {
	ID, Machine, Kind, Rack string
	addr                    string
	store                   *Store
	ledger                  *Ledger
	record                  *Record
	// onCall decides how a call is dealt with; nil means as usual.
	onCall func(path string, c *command) effect

	mu      sync.Mutex
	changed *sync.Cond
	// life numbers the incarnations; a connection belongs to the life in which it was opened.
	life     int
	up       bool
	born     time.Time
	token    uint64
	until    int64
	lapse    *time.Timer
	running  map[string]*run
	highest  map[string]int
	ends     []listedEnd
	lastEnd  int64
	sequence int
	cut      bool
	lastBeat time.Time
}

type lifeKey struct{}

// StartWorker starts a worker on a loopback address and keeps its entry in the store up to date.
func (l *Lab) StartWorker(id, kind, rack string) *Worker {
	w := &Worker{
		ID: id, Machine: "m-" + id, Kind: kind, Rack: rack, store: l.store, ledger: l.ledger, record: l.record,
	}
	w.changed = sync.NewCond(&w.mu)
	listener, err := net.Listen("tcp", l.host(200)+":0")
	l.must(err)
	w.addr = listener.Addr().String()
	w.begin()
	server := &http.Server{Handler: w, ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		w.mu.Lock()
		defer w.mu.Unlock()
		life := w.life
		if !w.up {
			life = -1
		}
		return context.WithValue(ctx, lifeKey{}, life)
	}}
	go func() { _ = server.Serve(listener) }()
	go w.beat()
	l.workers = append(l.workers, w)
	return w
}

// begin starts a life of the worker, which knows nothing of earlier ones.
func (w *Worker) begin() {
	w.mu.Lock()
	w.life++
	w.up, w.born, w.token, w.until, w.lastEnd, w.sequence = true, time.Now(), 0, 0, 0, 0
	w.running, w.highest, w.ends = make(map[string]*run), make(map[string]int), nil
	w.mu.Unlock()
	w.register()
}

// Crash ends everything on the worker. Its connections stay silent, as those to a machine without power.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.up = false
	if w.lapse != nil {
		w.lapse.Stop()
	}
	for _, r := range w.running {
		w.ledger.End(r, "crash", 0)
	}
	w.running = nil
	w.record.Note("worker %s crashes", w.ID)
}

// Reborn starts the worker again under its id, at its address.
func (w *Worker) Reborn() {
	w.record.Note("worker %s starts again under its id", w.ID)
	w.begin()
}

// SetCut cuts the worker off from the store, or ends that.
func (w *Worker) SetCut(cut bool) {
	w.mu.Lock()
	w.cut = cut
	w.mu.Unlock()
	w.record.Note("worker %s: path to the store cut: %v", w.ID, cut)
	w.register()
}

// beat writes the worker's entry at each heartbeat. The store removes an entry after three intervals of silence.
func (w *Worker) beat() {
	for range time.Tick(heartbeat / 4) {
		w.mu.Lock()
		due := time.Since(w.lastBeat) >= heartbeat
		expired := time.Since(w.lastBeat) >= entryExpiry
		w.mu.Unlock()
		if expired {
			w.store.Remove("servers", w.ID)
		}
		if due {
			w.register()
		}
	}
}

// register writes the worker's entry, unless the worker is down or cut off from the store.
func (w *Worker) register() {
	w.mu.Lock()
	if !w.up || w.cut {
		w.mu.Unlock()
		return
	}
	w.lastBeat = time.Now()
	w.sequence++
	entry := map[string]any{
		"service": serviceName, "address": w.addr, "zone": "z1", "version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "sequence": w.sequence, "born": w.born.UnixMilli(), "machine": w.Machine,
		"capacity": map[string]int{"cpu": workerCPU, "mem_mb": workerMemMB, "gpu": 0}, "labels": []string{w.Kind, w.Rack},
		"clock_ms": w.clock(),
	}
	w.mu.Unlock()
	w.store.Put("servers", w.ID, entry)
}

// clock is the worker's own steady clock in ms, which starts with its life.
func (w *Worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1 }

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var c command
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	life, _ := r.Context().Value(lifeKey{}).(int)
	w.mu.Lock()
	current, up, onCall := w.life, w.up, w.onCall
	w.mu.Unlock()
	switch {
	case !up:
		<-r.Context().Done()
		return
	case life != current:
		// The machine knows nothing of a connection of an earlier life, and resets it.
		reset(rw)
		return
	}
	var e effect
	if onCall != nil {
		e = onCall(r.URL.Path, &c)
	}
	switch {
	case e.unhealthy:
		w.record.Note("worker %s: %s run %d of %s: answered 503, nothing done", w.ID, r.URL.Path, c.Run, c.Task)
		rw.WriteHeader(http.StatusServiceUnavailable)
	case e.late > 0:
		w.record.Note("worker %s: %s run %d of %s: not answered, carried out %s later", w.ID, r.URL.Path, c.Run, c.Task, e.late)
		time.AfterFunc(e.late, func() { w.carryOut(r, &c) })
		<-r.Context().Done()
	default:
		status, body := w.carryOut(r, &c)
		w.mu.Lock()
		answers := w.up && w.life == current
		w.mu.Unlock()
		if !answers {
			<-r.Context().Done()
			return
		}
		w.note(r.URL.Path, &c, status, body)
		respond(rw, status, body)
	}
}

// note records a call and its answer.
func (w *Worker) note(path string, c *command, status int, body map[string]any) {
	if path == "/-/hold" {
		running, _ := body["running"].([][]any)
		w.record.Note("worker %s: hold token %d seen_upto %d wait %d: %d, %d running, ended %v",
			w.ID, c.Token, c.Seen, c.Wait, status, len(running), body["ended"])
		return
	}
	w.record.Note("worker %s: %s run %d of %s token %d: %d %v", w.ID, path, c.Run, c.Task, c.Token, status, body["reason"])
}

// reset closes a connection with a reset.
func reset(rw http.ResponseWriter) {
	hijacker, ok := rw.(http.Hijacker)
	if !ok {
		return
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// carryOut carries out a call and returns the status and the body of the answer.
func (w *Worker) carryOut(r *http.Request, c *command) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return 0, nil
	}
	if r.Header.Get("X-Expected-Instance") != w.ID {
		return http.StatusMisdirectedRequest, w.body("")
	}
	if c.Token < w.token {
		return http.StatusConflict, w.body("fence")
	}
	w.token = c.Token
	switch r.URL.Path {
	case "/-/run-start":
		return w.start(c)
	case "/-/run-stop":
		w.stop(c)
		return http.StatusOK, w.body("")
	case "/-/hold":
		return http.StatusOK, w.hold(r, c)
	case "/-/pace":
		return http.StatusOK, w.body("")
	}
	return http.StatusNotFound, w.body("")
}

func (w *Worker) body(reason string) map[string]any {
	body := map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()}
	if reason != "" {
		body["reason"] = reason
	}
	return body
}

// extend extends the lease of everything that runs on the worker.
func (w *Worker) extend(until int64) {
	until = min(until, w.clock()+holdMax)
	if until <= w.until {
		return
	}
	w.until = until
	if w.lapse != nil {
		w.lapse.Stop()
	}
	life := w.life
	w.lapse = time.AfterFunc(time.Duration(until-w.clock()+1)*time.Millisecond, func() { w.expire(life) })
}

// expire ends everything whose lease has expired.
func (w *Worker) expire(life int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.life != life || !w.up || w.clock() < w.until {
		return
	}
	w.ledger.Lapse(w)
	for _, r := range w.running {
		w.end(r, "lapsed")
	}
}

func (w *Worker) start(c *command) (int, map[string]any) {
	if c.Until <= w.clock() {
		return http.StatusConflict, w.body("late")
	}
	w.extend(c.Until)
	if r := w.running[c.Task]; r != nil && r.number == c.Run {
		return http.StatusOK, w.body("")
	}
	if c.Run <= w.highest[c.Task] {
		return http.StatusConflict, w.body("old")
	}
	var spec taskSpec
	if json.Unmarshal([]byte(c.Spec), &spec) != nil {
		return http.StatusBadRequest, w.body("")
	}
	takes := time.Duration(spec.Millis) * time.Millisecond
	r := w.ledger.Start(w, c.Task, c.Run, takes)
	w.running[c.Task] = r
	if takes > 0 {
		time.AfterFunc(takes, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.end(r, "done")
		})
	}
	return http.StatusOK, w.body("")
}

// end ends a run that is still running, and lists its end.
func (w *Worker) end(r *run, how string) {
	if !w.up || w.running[r.task] != r {
		return
	}
	delete(w.running, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.lastEnd++
	w.ends = append(w.ends, listedEnd{w.lastEnd, r.task, r.number, how})
	w.ledger.End(r, how, w.lastEnd)
	w.changed.Broadcast()
}

func (w *Worker) stop(c *command) {
	w.highest[c.Task] = max(w.highest[c.Task], c.Run)
	if r := w.running[c.Task]; r != nil && r.number <= c.Run {
		time.AfterFunc(stopDuration, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.end(r, "stopped")
		})
	}
}

// hold extends the leases, forgets the ends that were taken note of, and lists what runs and what has ended.
func (w *Worker) hold(r *http.Request, c *command) map[string]any {
	if c.Until > 0 {
		w.extend(c.Until)
	}
	w.ledger.Seen(w, c.Seen)
	kept := w.ends[:0]
	for _, e := range w.ends {
		if e.number > c.Seen {
			kept = append(kept, e)
		}
	}
	w.ends = kept
	deadline, life := time.Now().Add(time.Duration(c.Wait)*time.Millisecond), w.life
	wake := time.AfterFunc(time.Until(deadline), w.changed.Broadcast)
	defer wake.Stop()
	for len(w.ends) == 0 && time.Now().Before(deadline) && r.Context().Err() == nil && w.up && w.life == life {
		w.changed.Wait()
	}
	return w.inventory()
}

func (w *Worker) inventory() map[string]any {
	running, ended := make([][]any, 0, len(w.running)), make([][]any, 0, len(w.ends))
	for _, r := range w.running {
		running = append(running, []any{r.task, r.number, "", r.percent(), 1000})
	}
	sort.Slice(running, func(i, j int) bool { return running[i][0].(string) < running[j][0].(string) })
	for _, e := range w.ends[:min(len(w.ends), maxListed)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	body := w.body("")
	body["running"], body["ended"] = running, ended
	return body
}
