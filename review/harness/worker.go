package harness

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// listedEnds is how many ends a worker returns at once.
const listedEnds = 500

// heartbeat is the interval of a worker's status reports.
const heartbeat = 1500 * time.Millisecond

// Behaviour says how tasks run.
type Behaviour struct {
	// Duration is how long a task runs; 0 means until it is stopped.
	Duration func(task string) time.Duration
	// Advised reports whether the queue of a task has advice, so that a start needs a ticket; nil means that none has.
	Advised func(task string) bool
	// Gang is the number of members of the gang of a task; 0 if it is in none.
	Gang func(task string) int
}

// Start is a task that a worker has begun.
type Start struct {
	Task   string
	Run    int
	Worker string
	At     time.Time
}

// End is the end of a run. Noted is when seen_upto reached it; Lapsed is set if the lease of the worker lapsed between.
type End struct {
	Number int64
	Task   string
	Run    int
	How    string
	Worker string
	At     time.Time
	Noted  time.Time
	Lapsed bool
}

type run struct {
	task   string
	number int
	worker *Worker
	since  time.Time
	length time.Duration
	timer  *time.Timer
}

// Fleet holds the workers and what they have seen.
type Fleet struct {
	Behaviour Behaviour
	CPU       int
	MemoryMB  int

	lab *Lab
	// mu guards everything below and the workers.
	mu      sync.Mutex
	workers []*Worker
	starts  []Start
	ends    []*End
	// gangs holds the runs that wait for the others of their gang, or work with them, by gang and number.
	gangs map[string][]*run
}

func newFleet(l *Lab) *Fleet {
	return &Fleet{lab: l, CPU: 32_000, MemoryMB: 128_000, gangs: make(map[string][]*run)}
}

// Worker is one life of a worker.
type Worker struct {
	ID      string
	Machine string

	fleet   *Fleet
	addr    string
	rack    string
	born    time.Time
	token   uint64
	until   int64
	lapse   *time.Timer
	running map[string]*run
	floor   map[string]int
	ends    []*End
	last    int64
	// changed is closed and replaced whenever a run ends.
	changed chan struct{}
	// failing makes the worker fail all that it starts.
	failing  bool
	sequence int
}

// Add starts workers.
func (f *Fleet) Add(count int) error {
	for range count {
		f.mu.Lock()
		n := len(f.workers)
		w := &Worker{
			ID: fmt.Sprintf("srv-%02d", n), Machine: fmt.Sprintf("box-%02d", n), rack: fmt.Sprintf("r1-%d", n/8), fleet: f,
			born: time.Now(), running: make(map[string]*run), floor: make(map[string]int), changed: make(chan struct{}),
		}
		f.workers = append(f.workers, w)
		f.mu.Unlock()
		addr, err := listen("127.0.0.1", w)
		if err != nil {
			return err
		}
		w.addr = addr
		w.register()
		go func() {
			for {
				time.Sleep(heartbeat)
				w.register()
			}
		}()
	}
	return nil
}

// Workers returns the workers.
func (f *Fleet) Workers() []*Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.workers)
}

// Starts returns what was started so far.
func (f *Fleet) Starts() []Start {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.starts)
}

// Ends returns the ends so far.
func (f *Fleet) Ends() []End {
	f.mu.Lock()
	defer f.mu.Unlock()
	ends := make([]End, 0, len(f.ends))
	for _, e := range f.ends {
		ends = append(ends, *e)
	}
	return ends
}

// Running returns how many tasks run whose name begins with a prefix.
func (f *Fleet) Running(prefix string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, w := range f.workers {
		for task := range w.running {
			if strings.HasPrefix(task, prefix) {
				count++
			}
		}
	}
	return count
}

// SetFailing makes the worker fail all that it starts, or ends that.
func (w *Worker) SetFailing(failing bool) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.failing = failing
	w.fleet.lab.Note("%s fails all that it starts: %t", w.ID, failing)
}

// Busy returns the number of running tasks.
func (w *Worker) Busy() int {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	return len(w.running)
}

func (w *Worker) register() {
	w.fleet.mu.Lock()
	w.sequence++
	row := map[string]any{
		"service": serverPool, "address": w.addr, "zone": frontZone, "version": "1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "sequence": w.sequence, "born": w.born.UnixMilli(), "machine": w.Machine, "clock_ms": w.clock(),
		"capacity": map[string]int{"cpu": w.fleet.CPU, "mem_mb": w.fleet.MemoryMB, "gpu": 0}, "labels": []string{"a", w.rack},
	}
	w.fleet.mu.Unlock()
	w.fleet.lab.Store.Put("servers", w.ID, row)
}

// clock returns the worker's clock in ms. Callers hold the mutex.
func (w *Worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1 }

func (w *Worker) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Until    int64  `json:"until_ms"`
	Token    uint64 `json:"fencing_token"`
	SeenUpto int64  `json:"seen_upto"`
	WaitMS   int64  `json:"wait_ms"`
	Ticket   string `json:"ticket"`
}

func (w *Worker) answer(rw http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"], body["born"] = w.clock(), w.born.UnixMilli()
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

func (w *Worker) refuse(rw http.ResponseWriter, reason string) {
	w.answer(rw, http.StatusConflict, map[string]any{"reason": reason})
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != w.ID {
		w.answer(rw, http.StatusMisdirectedRequest, map[string]any{})
		return
	}
	if o.Token < w.token {
		w.refuse(rw, "fence")
		return
	}
	w.token = o.Token
	switch r.URL.Path {
	case "/-/run-start":
		w.start(rw, &o)
	case "/-/run-stop":
		w.floor[o.Task] = max(w.floor[o.Task], o.Run)
		if current := w.running[o.Task]; current != nil && current.number == o.Run {
			w.fleet.end(current, "stopped")
		}
		w.answer(rw, http.StatusOK, map[string]any{})
	case "/-/hold":
		w.hold(rw, r, &o)
	case "/-/pace":
		w.answer(rw, http.StatusOK, map[string]any{})
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

// extend extends the lease of everything on the worker, at most to holdMaxMS from now. It never shortens it.
func (w *Worker) extend(until int64) {
	until = min(until, w.clock()+holdMaxMS)
	if until <= w.until {
		return
	}
	w.until = until
	if w.lapse != nil {
		w.lapse.Stop()
	}
	w.lapse = time.AfterFunc(time.Duration(until-w.clock())*time.Millisecond, func() {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		if w.clock() < w.until {
			return
		}
		for _, e := range w.ends {
			e.Lapsed = true
		}
		for _, current := range w.running {
			w.fleet.end(current, "lapsed")
		}
	})
}

func (w *Worker) start(rw http.ResponseWriter, o *order) {
	if o.Until <= w.clock() {
		w.refuse(rw, "late")
		return
	}
	w.extend(o.Until)
	if current := w.running[o.Task]; current != nil && current.number == o.Run {
		w.answer(rw, http.StatusOK, map[string]any{})
		return
	}
	if w.running[o.Task] != nil || o.Run <= w.floor[o.Task] {
		w.refuse(rw, "old")
		return
	}
	f := w.fleet
	if f.Behaviour.Advised != nil && f.Behaviour.Advised(o.Task) && !f.lab.Advice.valid(o.Task, w.ID, o.Ticket) {
		f.lab.Note("%s rejects %s run %d: ticket %q", w.ID, o.Task, o.Run, o.Ticket)
		w.refuse(rw, "ticket")
		return
	}
	current := &run{task: o.Task, number: o.Run, worker: w, since: time.Now(), length: f.Behaviour.Duration(o.Task)}
	w.running[o.Task] = current
	f.starts = append(f.starts, Start{Task: o.Task, Run: o.Run, Worker: w.ID, At: current.since})
	f.lab.Note("%s begins %s run %d", w.ID, o.Task, o.Run)
	current.timer = time.AfterFunc(time.Hour, func() {})
	switch gang := f.gangOf(o.Task); {
	case w.failing:
		f.end(current, "failed")
	case gang > 0:
		f.join(current, gang)
	case current.length > 0:
		f.finishAfter(current)
	}
	w.answer(rw, http.StatusOK, map[string]any{})
}

func (f *Fleet) gangOf(task string) int {
	if f.Behaviour.Gang == nil {
		return 0
	}
	return f.Behaviour.Gang(task)
}

// finishAfter lets a run end as done after its length.
func (f *Fleet) finishAfter(r *run) {
	r.timer = time.AfterFunc(r.length, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.end(r, "done")
	})
}

// gangKey names the runs of one gang that work together: ID.K.STEP and the number of the run.
func gangKey(r *run) string {
	return fmt.Sprintf("%s#%d", r.task[:strings.LastIndexByte(r.task, '.')], r.number)
}

// join adds a run to its gang, which works from the moment when all are present. A member that waits too long ends alone.
func (f *Fleet) join(r *run, size int) {
	key := gangKey(r)
	f.gangs[key] = append(f.gangs[key], r)
	if len(f.gangs[key]) < size {
		r.timer = time.AfterFunc(gangTimeout, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.end(r, "alone")
		})
		return
	}
	for _, member := range f.gangs[key] {
		member.timer.Stop()
		member.since = time.Now()
		f.finishAfter(member)
	}
}

// gangTimeout is the bound gang_timeout_ms of the sites.
const gangTimeout = 3 * time.Second

// end ends a run, and with it the other members of its gang that are present. Callers hold the mutex.
func (f *Fleet) end(r *run, how string) {
	w := r.worker
	if w.running[r.task] != r {
		return
	}
	r.timer.Stop()
	delete(w.running, r.task)
	w.floor[r.task] = max(w.floor[r.task], r.number)
	w.last++
	e := &End{Number: w.last, Task: r.task, Run: r.number, How: how, Worker: w.ID, At: time.Now()}
	w.ends, f.ends = append(w.ends, e), append(f.ends, e)
	f.lab.Note("%s: end %d, %s run %d %s", w.ID, e.Number, r.task, r.number, how)
	w.notify()
	if f.gangOf(r.task) == 0 {
		return
	}
	others := f.gangs[gangKey(r)]
	delete(f.gangs, gangKey(r))
	for _, member := range others {
		if how == "done" {
			f.end(member, "done")
			continue
		}
		f.end(member, "broken")
	}
}

func (w *Worker) hold(rw http.ResponseWriter, r *http.Request, o *order) {
	if o.Until > 0 {
		w.extend(o.Until)
	}
	kept := w.ends[:0:0]
	for _, e := range w.ends {
		if e.Number > o.SeenUpto {
			kept = append(kept, e)
			continue
		}
		e.Noted = time.Now()
	}
	w.ends = kept
	deadline := time.NewTimer(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	defer deadline.Stop()
	for waiting := o.WaitMS > 0; waiting && len(w.ends) == 0; {
		changed := w.changed
		w.fleet.mu.Unlock()
		select {
		case <-changed:
		case <-deadline.C:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		w.fleet.mu.Lock()
	}
	w.answer(rw, http.StatusOK, map[string]any{"running": w.runningRows(), "ended": w.endRows()})
}

func (w *Worker) runningRows() [][]any {
	rows := make([][]any, 0, len(w.running))
	for _, current := range w.running {
		percent := 100
		if current.length > 0 {
			percent = int(min(99, 100*time.Since(current.since)/current.length))
		}
		rows = append(rows, []any{current.task, current.number, "", percent, 0})
	}
	return rows
}

// endRows returns the first listedEnds ends that are not forgotten.
func (w *Worker) endRows() [][]any {
	rows := make([][]any, 0, len(w.ends))
	for _, e := range w.ends[:min(listedEnds, len(w.ends))] {
		rows = append(rows, []any{e.Number, e.Task, e.Run, e.How, ""})
	}
	return rows
}
