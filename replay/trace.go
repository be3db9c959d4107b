// Package replay replays recorded traces in virtual time with the scheduler's decisions and with a baseline policy
// (first fit in order of arrival, declared sizes, no reserved capacity, no prediction). It compares tail latency, batch
// throughput, missed deadlines, evictions and the service that urgent work receives during a flood. Run times follow a
// simple interference model. Requests are simulated individually on each worker's slots, admitted by package admission
// or, for the baseline, first in, first out. Messages between instances and instance failures are not simulated.
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

// EventKind is the kind of an event of a trace.
type EventKind string

// The kinds of events.
const (
	// EventTeam declares a team.
	EventTeam EventKind = "team"
	// EventWork declares a workload and its actual behaviour. The tasks of services and watchers become pending at once.
	EventWork EventKind = "work"
	// EventRun makes the tasks of one run of a job pending.
	EventRun EventKind = "run"
	// EventRate sets the requests per second of a service.
	EventRate EventKind = "rate"
	// EventCancel cancels one run of a job.
	EventCancel EventKind = "cancel"
	// EventBreak makes every attempt on a worker fail; EventRepair ends that.
	EventBreak  EventKind = "break"
	EventRepair EventKind = "repair"
)

// Dimensions is the number of shared resources through which tasks interfere with each other, for example memory
// bandwidth.
const Dimensions = 3

// Truth is the actual behaviour of a workload. The policies observe it only through usage reports.
type Truth struct {
	// Use is the actual resource usage of one task. For services, its MilliCPU is the usage at one request per second.
	Use api.Resources `json:"use"`
	// RunSeconds is the actual run time of one task of a job without interference.
	RunSeconds float64 `json:"runSeconds,omitempty"`
	// ServiceMillis is the mean execution time of a request without interference.
	ServiceMillis float64 `json:"serviceMillis,omitempty"`
	// Pressure is the load that one task puts on each shared resource; Sensitivity is the slowdown per unit of pressure
	// that other tasks put on it.
	Pressure    [Dimensions]float64 `json:"pressure"`
	Sensitivity [Dimensions]float64 `json:"sensitivity"`
	// FailsEverywhere marks a job whose tasks fail on every worker.
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
	// Run is the number of a run of a job; Parts is the number of its tasks.
	Run   int `json:"run,omitempty"`
	Parts int `json:"parts,omitempty"`
	// Deadline is the time in seconds from the start of a run until it is due.
	Deadline float64 `json:"deadline,omitempty"`
	// Rate is the request rate per second of a service, over all its tasks.
	Rate   float64      `json:"rate,omitempty"`
	Worker api.WorkerID `json:"worker,omitempty"`
}

// The names of the traces.
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

// Parse decodes a trace in JSON lines.
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

// Format encodes a trace as JSON lines.
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
