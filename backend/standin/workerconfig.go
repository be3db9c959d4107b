package standin

import (
	"time"

	"github.com/jonboulle/clockwork"

	"bronzehook/api"
	"bronzehook/backend"
)

// Defaults of a worker.
const (
	// DefaultSlots and DefaultConnections are those of the workers on the design page.
	DefaultSlots       = 8
	DefaultConnections = 64
	// DefaultServiceTime is the mean service time of a service whose command states none.
	DefaultServiceTime = 5 * time.Millisecond
	// DefaultRunTime is the run time of a job whose command is not a "run" command.
	DefaultRunTime = time.Second
	// DefaultUsagePeriod is the time between two measurements of use.
	DefaultUsagePeriod = time.Second
	// DefaultAnswerBytes is the length of the payload in an answer.
	DefaultAnswerBytes = 64
)

// Load describes what one attempt does at a moment.
type Load struct {
	Work     string
	Kind     api.Kind
	Declared api.Resources
	// Share is the part of its processors that the attempt may use.
	Share float64
	// Executing is the number of requests that the attempt executes.
	Executing int
}

// WorkerConfig describes a stand-in of one worker. Only Worker.ID has to be set.
type WorkerConfig struct {
	// Worker holds the id, the location, the capacity and the limits. Addr is set by NewWorker; Slots and Connections
	// of 0 stand for the defaults.
	Worker api.Worker
	Clock  clockwork.Clock
	// Objects is where checkpoints go. Without it, checkpoints fail as if the store were down.
	Objects backend.Objects
	// Journal may be shared by the boots of one worker.
	Journal *Journal
	// Seed makes service times repeatable.
	Seed uint64
	// ServiceTime is the mean service time of services whose command states none.
	ServiceTime time.Duration
	// FixedServiceTime makes every request take its mean; otherwise service times are distributed exponentially.
	FixedServiceTime bool
	// RunTime is the run time of jobs whose command is not a "run" command.
	RunTime time.Duration
	// AnswerBytes is the length of the payload in an answer.
	AnswerBytes int
	// Interference returns the factor, at least 1, by which its neighbours on the worker slow an attempt.
	Interference func(subject Load, neighbours []Load) float64
	// Use returns what an attempt uses; by default its declared resources, with processors limited to its share.
	Use func(Load) api.Resources
	// UsagePeriod is the time between two measurements, and UsageLag the least age of a reported one.
	UsagePeriod time.Duration
	UsageLag    time.Duration
	// Registered is told of the worker's description when it starts and when its Leaving flag changes.
	Registered func(api.Worker)
}

func (c WorkerConfig) withDefaults() WorkerConfig {
	if c.Clock == nil {
		c.Clock = clockwork.NewRealClock()
	}
	if c.Journal == nil {
		c.Journal = NewJournal(0)
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
	setDefault(&c.AnswerBytes, DefaultAnswerBytes)
	return c
}

func setDefault[T int | time.Duration](value *T, byDefault T) {
	if *value == 0 {
		*value = byDefault
	}
}

func useDeclared(l Load) api.Resources {
	used := l.Declared
	used.MilliCPU = int64(float64(used.MilliCPU) * l.Share)
	return used
}

// PairInterference returns an interference by pairs of works: each neighbour adds its amount to the factor of 1.
func PairInterference(added map[[2]string]float64) func(Load, []Load) float64 {
	return func(subject Load, neighbours []Load) float64 {
		factor := 1.0
		for _, n := range neighbours {
			factor += added[[2]string{subject.Work, n.Work}]
		}
		return factor
	}
}
