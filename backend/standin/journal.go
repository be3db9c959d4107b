package standin

import (
	"maps"
	"slices"
	"sync"
	"time"

	"bronzehook/api"
	"bronzehook/fault"
)

// defaultJournalLimit bounds the memory of a journal under --dev. Checks that need every entry verify that Dropped
// is 0.
const defaultJournalLimit = 200_000

// Execution is one request that began to run.
type Execution struct {
	Request string       `json:"request"`
	Key     string       `json:"key,omitempty"`
	Worker  api.WorkerID `json:"worker"`
	Work    string       `json:"work"`
	Task    api.TaskID   `json:"task"`
	Attempt uint64       `json:"attempt"`
	Epoch   api.Epoch    `json:"epoch"`
	// Planned is the service time that was drawn, with the slowdown by neighbours and throttle.
	Planned time.Duration `json:"planned"`
	Start   time.Time     `json:"start"`
	// End is zero while the request runs.
	End time.Time `json:"end"`
	// Aborted is set if the attempt ended before the request was done.
	Aborted bool `json:"aborted,omitempty"`
}

// Run is one attempt of a task that began to run.
type Run struct {
	Worker    api.WorkerID  `json:"worker"`
	Work      string        `json:"work"`
	Kind      api.Kind      `json:"kind"`
	Task      api.TaskID    `json:"task"`
	Attempt   uint64        `json:"attempt"`
	Epoch     api.Epoch     `json:"epoch"`
	Resources api.Resources `json:"resources"`
	Start     time.Time     `json:"start"`
	// End is zero while the attempt runs. An attempt whose lease ran out ends at the end of the lease.
	End time.Time `json:"end"`
	// State is the final state, empty while the attempt runs.
	State api.SeenState `json:"state,omitempty"`
	// ResumedFrom names the checkpoint that the attempt began with, and From and To are its progress at both ends.
	ResumedFrom string  `json:"resumedFrom,omitempty"`
	From        float64 `json:"from"`
	To          float64 `json:"to"`
	Reason      string  `json:"reason,omitempty"`
}

// Refusal is one request that a worker refused; nothing of it ran.
type Refusal struct {
	Request string     `json:"request"`
	Task    api.TaskID `json:"task"`
	Code    fault.Code `json:"code"`
	At      time.Time  `json:"at"`
}

// Peaks are the largest values that a worker ever reached. They are exact even if entries were dropped.
type Peaks struct {
	Executing       int                `json:"executing"`
	ExecutingByTask map[api.TaskID]int `json:"executingByTask"`
	// Open counts requests that execute or wait.
	Open int `json:"open"`
	// Reserved holds the largest value of each component.
	Reserved api.Resources `json:"reserved"`
}

// Journal records all that ran on a worker, over all of its boots. Entries are added and completed, never changed
// otherwise.
type Journal struct {
	mu         sync.Mutex
	executions entries[Execution]
	runs       entries[Run]
	refusals   entries[Refusal]
	executing  map[api.TaskID]int
	total      int
	peaks      Peaks
}

// NewJournal returns an empty journal that keeps at most limit entries of each kind; the oldest are dropped first. A
// limit of 0 stands for 200,000.
func NewJournal(limit int) *Journal {
	if limit <= 0 {
		limit = defaultJournalLimit
	}
	return &Journal{
		executions: entries[Execution]{limit: limit},
		runs:       entries[Run]{limit: limit},
		refusals:   entries[Refusal]{limit: limit},
		executing:  map[api.TaskID]int{},
		peaks:      Peaks{ExecutingByTask: map[api.TaskID]int{}},
	}
}

// Executions returns the requests that began to run, in the order of their starts.
func (j *Journal) Executions() []Execution {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.executions.kept)
}

// Runs returns the attempts that began to run, in the order of their starts.
func (j *Journal) Runs() []Run {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.runs.kept)
}

// Refusals returns the refused requests in the order of their refusal.
func (j *Journal) Refusals() []Refusal {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.refusals.kept)
}

// Dropped returns the number of entries that were dropped because the journal was full.
func (j *Journal) Dropped() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.executions.dropped + j.runs.dropped + j.refusals.dropped
}

// Peaks returns the largest values so far.
func (j *Journal) Peaks() Peaks {
	j.mu.Lock()
	defer j.mu.Unlock()
	peaks := j.peaks
	peaks.ExecutingByTask = maps.Clone(peaks.ExecutingByTask)
	return peaks
}

func (j *Journal) beginExecution(e Execution) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.total++
	j.executing[e.Task]++
	j.peaks.Executing = max(j.peaks.Executing, j.total)
	j.peaks.ExecutingByTask[e.Task] = max(j.peaks.ExecutingByTask[e.Task], j.executing[e.Task])
	return j.executions.add(e)
}

func (j *Journal) endExecution(number int, task api.TaskID, end time.Time, aborted bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.total--
	j.executing[task]--
	if e := j.executions.at(number); e != nil {
		e.End = end
		e.Aborted = aborted
	}
}

func (j *Journal) beginRun(r Run, reserved api.Resources) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	p := &j.peaks.Reserved
	p.MilliCPU = max(p.MilliCPU, reserved.MilliCPU)
	p.MemoryMB = max(p.MemoryMB, reserved.MemoryMB)
	p.Accelerators = max(p.Accelerators, reserved.Accelerators)
	return j.runs.add(r)
}

func (j *Journal) updateRun(number int, update func(*Run)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if r := j.runs.at(number); r != nil {
		update(r)
	}
}

func (j *Journal) refuse(r Refusal) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.refusals.add(r)
}

func (j *Journal) noteOpen(open int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.peaks.Open = max(j.peaks.Open, open)
}

// entries is a bounded sequence whose members keep their numbers.
type entries[T any] struct {
	limit   int
	dropped int
	kept    []T
}

func (e *entries[T]) add(entry T) int {
	if len(e.kept) >= e.limit {
		e.kept = slices.Clone(e.kept[1+e.limit/2:])
		e.dropped += 1 + e.limit/2
	}
	e.kept = append(e.kept, entry)
	return e.dropped + len(e.kept) - 1
}

// at returns the numbered entry, or nil if it was dropped.
func (e *entries[T]) at(number int) *T {
	if number < e.dropped {
		return nil
	}
	return &e.kept[number-e.dropped]
}
