// Package replay runs recorded traces in virtual time against the decisions about tasks and against a baseline (first fit
// in order of arrival, declared sizes, no reserve, no prediction), and compares tail latency, batch throughput, deadline
// misses, evictions and what urgent work keeps in a flood. It holds a simple model of run time under interference and
// runs requests one by one through package admission, or first in, first out for the baseline, on each worker's slots.
// It is no cluster simulator: there are no messages and no faults of instances.
package replay

import (
	"bufio"
	"bytes"
	"embed"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"bronzehook/api"
	"bronzehook/fault"
)

//go:embed traces/*.jsonl
var recorded embed.FS

// EventKind says what happens in a line of a trace.
type EventKind string

// The kinds of events.
const (
	// EventTeam states a team.
	EventTeam EventKind = "team"
	// EventWork introduces a work with its true behaviour. Tasks of services and watchers become pending with it.
	EventWork EventKind = "work"
	// EventRun makes the parts of one run of a job pending.
	EventRun EventKind = "run"
	// EventRate sets the requests per second of a service.
	EventRate EventKind = "rate"
	// EventCancel cancels one run of a job.
	EventCancel EventKind = "cancel"
	// EventBreak lets a worker fail everything that it starts; EventRepair ends that.
	EventBreak  EventKind = "break"
	EventRepair EventKind = "repair"
)

// Dimensions is the number of shared resources through which tasks disturb each other, for example memory bandwidth.
const Dimensions = 3

// Truth is how a work really behaves, which the decisions see only through reports.
type Truth struct {
	// Use is the real use of one task; for services the processors at Rate 1 per task, in thousandths of a core.
	Use api.Resources `json:"use"`
	// RunSeconds is the real run time of one part of a job without neighbours.
	RunSeconds float64 `json:"runSeconds,omitempty"`
	// ServiceMillis is the execution time of one request without neighbours.
	ServiceMillis float64 `json:"serviceMillis,omitempty"`
	// Pressure is what one task puts on each shared resource; Sensitivity is how much it suffers from pressure there.
	Pressure    [Dimensions]float64 `json:"pressure"`
	Sensitivity [Dimensions]float64 `json:"sensitivity"`
	// FailsEverywhere marks a job whose tasks always fail.
	FailsEverywhere bool `json:"failsEverywhere,omitempty"`
}

// Event is one line of a trace.
type Event struct {
	// At is the time in seconds from the start of the trace.
	At   int       `json:"at"`
	Kind EventKind `json:"kind"`
	// Flood marks events that are left out when the trace is replayed without its flood.
	Flood bool      `json:"flood,omitempty"`
	Work  string    `json:"work,omitempty"`
	Spec  *api.Spec `json:"spec,omitempty"`
	Truth *Truth    `json:"truth,omitempty"`
	Team  *api.Team `json:"team,omitempty"`
	Run   int       `json:"run,omitempty"`
	Parts int       `json:"parts,omitempty"`
	// Deadline is the time in seconds that a run may take.
	Deadline float64 `json:"deadline,omitempty"`
	// Rate is the requests per second of a service, over all its tasks.
	Rate   float64      `json:"rate,omitempty"`
	Worker api.WorkerID `json:"worker,omitempty"`
}

// The traces.
const (
	TraceCalm       = "calm"
	TraceNoisyWaves = "noisy-waves"
	TraceFloodLow   = "flood-least-urgent"
	TraceFloodHigh  = "flood-most-urgent"
	TraceCancel     = "cancellation-waves"
	TraceWrongSizes = "wrong-sizes"
	TraceBadWorkers = "bad-workers"
	TraceNeverRun   = "never-run"
)

// Traces lists the names of the traces in the order of the table.
func Traces() []string {
	return []string{
		TraceCalm, TraceNoisyWaves, TraceFloodLow, TraceFloodHigh, TraceCancel, TraceWrongSizes, TraceBadWorkers, TraceNeverRun,
	}
}

// Load returns the recorded trace of a site.
func Load(site Site, trace string) ([]Event, error) {
	data, err := recorded.ReadFile("traces/" + fileName(site, trace))
	if err != nil {
		return nil, errors.Wrap(fault.New(fault.CodeNotFound, "load trace", "%v", err), "replay")
	}
	return Parse(data)
}

// Parse reads a trace in JSON lines.
func Parse(data []byte) ([]Event, error) {
	var events []Event
	lines := bufio.NewScanner(bytes.NewReader(data))
	for lines.Scan() {
		var e Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, errors.Wrap(fault.New(fault.CodeInvalid, "parse trace", "line %d: %v", len(events)+1, err), "replay")
		}
		events = append(events, e)
	}
	return events, errors.Wrap(lines.Err(), "read trace")
}

// Format writes a trace as JSON lines.
func Format(events []Event) ([]byte, error) {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	for i := range events {
		if err := encoder.Encode(&events[i]); err != nil {
			return nil, errors.Wrap(err, "write trace")
		}
	}
	return out.Bytes(), nil
}

func fileName(site Site, trace string) string { return site.Name + "-" + trace + ".jsonl" }
