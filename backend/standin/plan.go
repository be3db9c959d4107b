package standin

import (
	"slices"
	"time"

	"bronzehook/api"
	"bronzehook/backend"
	"bronzehook/fault"
)

// Programs that a command may name first, each followed by a duration.
const (
	// ProgramRun is a job that runs for the duration; with FlagFail it fails in the end.
	ProgramRun = "run"
	// ProgramServe is a service with the duration as its mean service time; with FlagFixed each request takes exactly
	// that.
	ProgramServe = "serve"
)

// Flags of the programs.
const (
	FlagFail  = "--fail"
	FlagFixed = "--fixed"
)

// plan is what a command asks for.
type plan struct {
	// duration is the run time of a job or the mean service time of a service.
	duration time.Duration
	fails    bool
	fixed    bool
}

// planOf reads the command of an order. A command with another program runs with the defaults, because operators'
// files name programs that the stand-in does not have.
func (c *WorkerConfig) planOf(order backend.StartOrder) (plan, error) {
	p := plan{duration: c.RunTime}
	program := ProgramRun
	if order.Kind == api.KindService {
		p = plan{duration: c.ServiceTime, fixed: c.FixedServiceTime}
		program = ProgramServe
	}
	if order.Kind == api.KindWatcher || len(order.Command) == 0 || order.Command[0] != program {
		return p, nil
	}
	if len(order.Command) < 2 {
		return p, fault.New(fault.CodeInvalid, "command", "%q needs a duration", program)
	}
	duration, err := time.ParseDuration(order.Command[1])
	if err != nil || duration < 0 {
		return p, fault.New(fault.CodeInvalid, "command", "%q is not a duration", order.Command[1])
	}
	p.duration = duration
	p.fails = slices.Contains(order.Command[2:], FlagFail)
	p.fixed = p.fixed || slices.Contains(order.Command[2:], FlagFixed)
	return p, nil
}
