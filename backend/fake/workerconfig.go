package fake

import (
	"time"

	"github.com/jonboulle/clockwork"

	"bronzehook/api"
	"bronzehook/backend"
)

// Defaults of a worker.
const (
	// DefaultSlots and DefaultConnections are the limits of the workers in the design documentation.
	DefaultSlots       = 8
	DefaultConnections = 64
	// DefaultServiceTime is the mean service time of a service whose command does not specify one.
	DefaultServiceTime = 5 * time.Millisecond
	// DefaultRunTime is the run time of a job whose command is not a "run" command.
	DefaultRunTime = time.Second
	// DefaultUsagePeriod is the time between two usage samples.
	DefaultUsagePeriod = time.Second
	// DefaultResponseBytes is the length of the payload in a response.
	DefaultResponseBytes = 64
)

// Load describes the load of one attempt at one time.
type Load struct {
	Work     string
	Kind     api.Kind
	Declared api.Resources
	// Share is the fraction of its declared CPU that the attempt may use.
	Share float64
	// Executing is the number of requests that the attempt is executing.
	Executing int
}

// WorkerConfig configures a fake worker. Only Worker.ID is required.
type WorkerConfig struct {
	// Worker holds the id, the location, the capacity and the limits. NewWorker sets Addr; Slots and Connections of 0
	// mean the defaults.
	Worker api.Worker
	Clock  clockwork.Clock
	// Objects stores the checkpoints. If it is nil, checkpoints fail as if the object store were unavailable.
	Objects backend.Objects
	// EventLog is the event log, which the incarnations of one worker may share.
	EventLog *EventLog
	// Seed makes the service times reproducible.
	Seed uint64
	// ServiceTime is the mean service time of services whose command does not specify one.
	ServiceTime time.Duration
	// FixedServiceTime makes every request take the mean service time. Otherwise service times are exponentially
	// distributed.
	FixedServiceTime bool
	// RunTime is the run time of jobs whose command is not a "run" command.
	RunTime time.Duration
	// ResponseBytes is the length of the payload in a response.
	ResponseBytes int
	// Bounds bounds what the listeners of the worker accept; nil leaves it unbounded.
	Bounds *Bounds
	// Interference returns the factor, at least 1, by which the other attempts on the worker slow subject.
	Interference func(subject Load, neighbours []Load) float64
	// Use returns the resources that an attempt uses. The default is its declared resources, with the CPU limited to its
	// share.
	Use func(Load) api.Resources
	// UsagePeriod is the time between two usage samples, and UsageLag the minimum age of a reported sample.
	UsagePeriod time.Duration
	UsageLag    time.Duration
	// Registered is called with the description of the worker when it starts and when its Leaving flag changes.
	Registered func(api.Worker)
}

func (c WorkerConfig) withDefaults() WorkerConfig {
	if c.Clock == nil {
		c.Clock = clockwork.NewRealClock()
	}
	if c.EventLog == nil {
		c.EventLog = NewEventLog(0)
	}
	if c.Interference == nil {
		c.Interference = func(Load, []Load) float64 { return 1 }
	}
	if c.Use == nil {
		c.Use = useDeclared
	}
	if c.Registered == nil {
		c.Registered = func(api.Worker) {}
	}
	setDefault(&c.Worker.Slots, DefaultSlots)
	setDefault(&c.Worker.Connections, DefaultConnections)
	setDefault(&c.ServiceTime, DefaultServiceTime)
	setDefault(&c.RunTime, DefaultRunTime)
	setDefault(&c.UsagePeriod, DefaultUsagePeriod)
	setDefault(&c.ResponseBytes, DefaultResponseBytes)
	return c
}

func setDefault[T int | time.Duration](value *T, byDefault T) {
	if *value == 0 {
		*value = byDefault
	}
}

// useDeclared is the default of WorkerConfig.Use.
func useDeclared(l Load) api.Resources {
	used := l.Declared
	used.MilliCPU = int64(float64(used.MilliCPU) * l.Share)
	return used
}

// PairInterference returns an interference function that adds to 1 the amount of each neighbour, given by the pair of
// the workload of the subject and that of the neighbour.
func PairInterference(added map[[2]string]float64) func(Load, []Load) float64 {
	return func(subject Load, neighbours []Load) float64 {
		factor := 1.0
		for _, n := range neighbours {
			factor += added[[2]string{subject.Work, n.Work}]
		}
		return factor
	}
}
