package harness

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// upkeep is the bound upkeep_s of the sites.
const upkeep = 2 * time.Second

// Wave is a wave of upkeep as the operator requests it.
type Wave struct {
	Wave     int      `json:"wave"`
	Machines []string `json:"machines"`
	Duration float64  `json:"duration_s"`
	Cap      int      `json:"cap"`
}

// UpkeepStart is an upkeep that has begun, with the machines of its wave that were down for theirs then.
type UpkeepStart struct {
	Machine string
	Holder  string
	Token   uint64
	At      time.Time
	Down    []string
}

// Machines is the machine service of the platform.
type Machines struct {
	lab *Lab

	mu     sync.Mutex
	wave   Wave
	begun  map[string]bool
	down   map[string]bool
	tokens map[string]uint64
	starts []UpkeepStart
	// late makes the next call for an upkeep get no answer; it is carried out after this time.
	late     time.Duration
	lateSent chan string
}

func newMachines(l *Lab) *Machines {
	return &Machines{lab: l, begun: make(map[string]bool), down: make(map[string]bool), tokens: make(map[string]uint64), lateSent: make(chan string, 1)}
}

// Request requests a wave, as the operator does.
func (m *Machines) Request(wave Wave) {
	m.mu.Lock()
	m.wave = wave
	m.mu.Unlock()
	m.lab.Store.Put("op", "wave/"+strconv.Itoa(wave.Wave), wave)
	m.lab.Note("op/wave/%d: machines %v, cap %d, %.0f s", wave.Wave, wave.Machines, wave.Cap, wave.Duration)
}

// DelayNext lets the next call for an upkeep get no answer and carries it out later. The channel tells its machine.
func (m *Machines) DelayNext(late time.Duration) <-chan string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.late = late
	return m.lateSent
}

// Starts returns the upkeeps that have begun.
func (m *Machines) Starts() []UpkeepStart {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.starts)
}

// ServeHTTP implements http.Handler.
func (m *Machines) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/-/machines":
		m.list(w)
	case "/-/machine-upkeep":
		m.upkeep(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (m *Machines) list(w http.ResponseWriter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rows := []any{}
	for _, worker := range m.lab.Fleet.Workers() {
		state := "up"
		if m.down[worker.Machine] {
			state = "upkeep"
		}
		rows = append(rows, map[string]any{
			"machine": worker.Machine, "pool": serverPool, "state": state, "zone": frontZone, "labels": []string{"a", worker.rack},
			"capacity": map[string]int{"cpu": m.lab.Fleet.CPU, "mem_mb": m.lab.Fleet.MemoryMB, "gpu": 0}, "id": worker.ID,
		})
	}
	respond(w, http.StatusOK, map[string]any{"machines": rows, "next_page_token": ""})
}

func (m *Machines) upkeep(w http.ResponseWriter, r *http.Request) {
	var command struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	if json.NewDecoder(r.Body).Decode(&command) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	holder := r.Header.Get("X-Lease-Holder")
	token, _ := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	m.lab.Note("upkeep of %s asked for by %s, token %d", command.Machine, holder, token)
	m.mu.Lock()
	late := m.late
	m.late = 0
	m.mu.Unlock()
	if late > 0 {
		m.lab.Note("this call gets no answer and is carried out %v later", late)
		time.AfterFunc(late, func() {
			status, reason := m.begin(command.Machine, command.Wave, holder, token)
			m.lab.Note("late upkeep of %s by %s, token %d: %d %s", command.Machine, holder, token, status, reason)
		})
		m.lateSent <- command.Machine
		<-r.Context().Done()
		return
	}
	status, reason := m.begin(command.Machine, command.Wave, holder, token)
	m.lab.Note("upkeep of %s by %s, token %d: %d %s", command.Machine, holder, token, status, reason)
	if status == http.StatusOK {
		respond(w, status, map[string]any{})
		return
	}
	respond(w, status, map[string]any{"reason": reason})
}

// begin carries out a call for an upkeep.
func (m *Machines) begin(machine string, wave int, holder string, token uint64) (status int, reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	index := slices.IndexFunc(m.lab.Fleet.Workers(), func(w *Worker) bool { return w.Machine == machine })
	switch {
	case index < 0:
		return http.StatusBadRequest, ""
	case token < m.tokens[machine]:
		return http.StatusConflict, "fence"
	}
	m.tokens[machine] = token
	switch {
	case wave != m.wave.Wave || !slices.Contains(m.wave.Machines, machine):
		return http.StatusConflict, "wave"
	case m.begun[machine]:
		return http.StatusOK, ""
	case m.down[machine]:
		return http.StatusConflict, "busy"
	}
	var others []string
	for name := range m.down {
		others = append(others, name)
	}
	slices.Sort(others)
	m.starts = append(m.starts, UpkeepStart{Machine: machine, Holder: holder, Token: token, At: time.Now(), Down: others})
	m.lab.Note("upkeep of %s begins, down for theirs: %v", machine, others)
	m.begun[machine], m.down[machine] = true, true
	worker := m.lab.Fleet.Workers()[index]
	worker.takeDown()
	time.AfterFunc(upkeep, func() {
		m.mu.Lock()
		delete(m.down, machine)
		m.mu.Unlock()
		worker.bringUp()
		m.lab.Note("upkeep of %s is over", machine)
	})
	return http.StatusOK, ""
}
