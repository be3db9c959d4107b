package fake

import (
	"maps"
	"slices"
	"sync"
	"time"

	"bronzehook/api"
	"bronzehook/fault"
)

// defaultEventLogLimit is the number of entries of each kind that bounds the memory of an event log under --dev. Checks
// that need every entry verify that Dropped is 0.
const defaultEventLogLimit = 200_000

// Execution is the event log entry of one request that a worker executed or is executing.
type Execution struct {
	Request string       `json:"request"`
	Key     string       `json:"key,omitempty"`
	Worker  api.WorkerID `json:"worker"`
	Work    string       `json:"work"`
	Task    api.TaskID   `json:"task"`
	Attempt uint64       `json:"attempt"`
	Epoch   api.Epoch    `json:"epoch"`
	// Planned is the random service time, including the slowdown by interference and throttling.
	Planned time.Duration `json:"planned"`
	Start   time.Time     `json:"start"`
	// End is zero while the request is executing.
	End time.Time `json:"end"`
	// Aborted is set if the attempt terminated before the request completed.
	Aborted bool `json:"aborted,omitempty"`
}

// AttemptRecord is the event log entry of one attempt that a worker started.
type AttemptRecord struct {
	Worker    api.WorkerID  `json:"worker"`
	Work      string        `json:"work"`
	Kind      api.Kind      `json:"kind"`
	Task      api.TaskID    `json:"task"`
	Attempt   uint64        `json:"attempt"`
	Epoch     api.Epoch     `json:"epoch"`
	Resources api.Resources `json:"resources"`
	Start     time.Time     `json:"start"`
	// End is zero until the attempt terminates. For an expired attempt lease it is the time of expiry.
	End time.Time `json:"end"`
	// State is the terminal state, empty until the attempt terminates.
	State api.ObservedState `json:"state,omitempty"`
	// ResumedFrom names the checkpoint that the attempt started from. From and To are its progress at Start and End.
	ResumedFrom string  `json:"resumedFrom,omitempty"`
	From        float64 `json:"from"`
	To          float64 `json:"to"`
	Reason      string  `json:"reason,omitempty"`
}

// Refusal is the event log entry of one request that a worker refused without executing any part of it.
type Refusal struct {
	Request string     `json:"request"`
	Task    api.TaskID `json:"task"`
	Code    fault.Code `json:"code"`
	At      time.Time  `json:"at"`
}

// Peaks holds the largest values that a worker ever reached. They are exact even if entries were dropped.
type Peaks struct {
	Executing       int                `json:"executing"`
	ExecutingByTask map[api.TaskID]int `json:"executingByTask"`
	// Open is the number of requests executing or waiting.
	Open int `json:"open"`
	// Reserved holds the largest value of each resource, which need not have occurred at the same time.
	Reserved api.Resources `json:"reserved"`
}

// EventLog is the event log of a fake worker over all of its incarnations: the attempts and requests that it executed and
// the requests that it refused. Once added, an entry is only completed, never changed otherwise.
type EventLog struct {
	mu              sync.Mutex
	executions      boundedLog[Execution]
	attempts        boundedLog[AttemptRecord]
	refusals        boundedLog[Refusal]
	executingByTask map[api.TaskID]int
	executing       int
	peaks           Peaks
}

// NewEventLog returns an empty event log that keeps at most limit entries of each kind and drops the oldest first. A
// limit of 0 means 200,000.
func NewEventLog(limit int) *EventLog {
	if limit <= 0 {
		limit = defaultEventLogLimit
	}
	return &EventLog{
		executions:      boundedLog[Execution]{limit: limit},
		attempts:        boundedLog[AttemptRecord]{limit: limit},
		refusals:        boundedLog[Refusal]{limit: limit},
		executingByTask: map[api.TaskID]int{},
		peaks:           Peaks{ExecutingByTask: map[api.TaskID]int{}},
	}
}

// Executions returns the executed requests in the order of their start.
func (j *EventLog) Executions() []Execution {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.executions.entries)
}

// Attempts returns the started attempts in the order of their start.
func (j *EventLog) Attempts() []AttemptRecord {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.attempts.entries)
}

// Refusals returns the refused requests in order of refusal.
func (j *EventLog) Refusals() []Refusal {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.refusals.entries)
}

// Dropped returns the number of entries that were dropped because the event log was full.
func (j *EventLog) Dropped() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.executions.dropped + j.attempts.dropped + j.refusals.dropped
}

// Peaks returns a copy of the largest values so far.
func (j *EventLog) Peaks() Peaks {
	j.mu.Lock()
	defer j.mu.Unlock()
	peaks := j.peaks
	peaks.ExecutingByTask = maps.Clone(peaks.ExecutingByTask)
	return peaks
}

func (j *EventLog) startExecution(e Execution) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.executing++
	j.executingByTask[e.Task]++
	j.peaks.Executing = max(j.peaks.Executing, j.executing)
	j.peaks.ExecutingByTask[e.Task] = max(j.peaks.ExecutingByTask[e.Task], j.executingByTask[e.Task])
	return j.executions.add(e)
}

func (j *EventLog) finishExecution(number int, task api.TaskID, end time.Time, aborted bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.executing--
	j.executingByTask[task]--
	if e := j.executions.entry(number); e != nil {
		e.End = end
		e.Aborted = aborted
	}
}

func (j *EventLog) startAttempt(r AttemptRecord, reserved api.Resources) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	p := &j.peaks.Reserved
	p.MilliCPU = max(p.MilliCPU, reserved.MilliCPU)
	p.MemoryMB = max(p.MemoryMB, reserved.MemoryMB)
	p.Accelerators = max(p.Accelerators, reserved.Accelerators)
	return j.attempts.add(r)
}

func (j *EventLog) updateAttempt(number int, update func(*AttemptRecord)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if r := j.attempts.entry(number); r != nil {
		update(r)
	}
}

func (j *EventLog) addRefusal(r Refusal) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.refusals.add(r)
}

func (j *EventLog) recordOpenRequests(open int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.peaks.Open = max(j.peaks.Open, open)
}

// boundedLog is a bounded list of entries. The number of an entry does not change when older ones are dropped.
type boundedLog[T any] struct {
	limit   int
	dropped int
	entries []T
}

// add appends an entry and returns its number. It drops the older half of the entries if the log is full.
func (e *boundedLog[T]) add(entry T) int {
	if len(e.entries) >= e.limit {
		e.entries = slices.Clone(e.entries[1+e.limit/2:])
		e.dropped += 1 + e.limit/2
	}
	e.entries = append(e.entries, entry)
	return e.dropped + len(e.entries) - 1
}

// entry returns the entry with the number, or nil if it was dropped.
func (e *boundedLog[T]) entry(number int) *T {
	if number < e.dropped {
		return nil
	}
	return &e.entries[number-e.dropped]
}
