package replay

import (
	"time"

	"bronzehook/api"
	"bronzehook/scheduler"
	"bronzehook/scheduler/placement"
)

// Policy is a configuration under test: the scheduler options and the admitter of requests.
type Policy struct {
	Name     string
	Options  scheduler.Options
	Admitter NewAdmitter
}

// Decision returns the policy that the scheduler uses in production.
func Decision() Policy {
	return Policy{Name: "decision", Options: scheduler.DefaultOptions(), Admitter: NewCoreAdmitter}
}

// Baseline returns the policy to compare with: first-fit placement in order of arrival, with declared sizes, without
// capacity reserved for latency-critical work and without prediction. It evicts less urgent work at once, without a
// checkpoint, to place more urgent tasks; all of its evictions in the recorded traces are of this kind. It would also
// evict at once where services are slowed down, but first fit keeps services and jobs on different workers. Requests
// are executed in order of arrival.
func Baseline() Policy {
	o := scheduler.DefaultOptions()
	o.Queue.ByUrgency, o.Queue.BySlack, o.Queue.BackOff = false, false, false
	o.Queue.AvoidFor = 0
	o.Feasibility.Enabled = false
	o.Placement = placement.FirstFit()
	o.Interference.Enabled = false
	o.Sizing.CorrectSizes, o.Sizing.CorrectRunTimes = false, false
	o.Eviction.Throttle, o.Eviction.Checkpoint, o.Eviction.Hysteresis = false, false, false
	o.Quarantine.QuarantineWorkers, o.Quarantine.AttributeToWorkloads = false, false
	const unlimitedTries = 1 << 30
	o.Quarantine.MaxFailures = unlimitedTries
	return Policy{Name: "baseline", Options: o, Admitter: NewFIFOAdmitter}
}

// DefaultFloors returns the guaranteed shares (floors) of the urgencies at the replayed sites, in percent.
func DefaultFloors() api.Floors {
	return api.Floors{api.Low: 10, api.Normal: 20, api.High: 30, api.Critical: 30}
}

// Time constants of the simulation, in seconds except for step.
const (
	step = time.Second
	// startSeconds is the time from an assignment until the task runs. Resuming from a checkpoint takes resumeSeconds
	// more.
	startSeconds  = 1
	resumeSeconds = 3
	// checkpointSeconds is the duration of a checkpoint, during which the task makes no progress.
	checkpointSeconds = 2
	// failSeconds is how long an attempt runs on a broken worker before it fails.
	failSeconds = 4
	// readySeconds is how long a service or watcher runs before its start counts as a success of the worker.
	readySeconds = 10
	// reportSeconds is the interval of usage reports; reportLagSeconds is the delay until they are delivered.
	reportSeconds    = 10
	reportLagSeconds = 10
	// cycleSeconds is the interval of scheduling cycles.
	cycleSeconds = 2
	// refreshSeconds is the interval at which pending tasks get updated size and run-time estimates.
	refreshSeconds = 30
)
