package fake

import (
	"slices"
	"time"

	"bronzehook/api"
	"bronzehook/backend"
	"bronzehook/fault"
)

// Programs that a command may start with. Each takes a duration as its first argument.
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

// behaviour is how an attempt behaves according to its command.
type behaviour struct {
	// duration is the run time of a job or the mean service time of a service.
	duration         time.Duration
	failsAtEnd       bool
	fixedServiceTime bool
}

// parseCommand returns the behaviour that the command of a start request selects. A command with any other program gets
// the defaults, because the configuration of operators names programs that the fake does not implement.
func (c *WorkerConfig) parseCommand(request backend.StartRequest) (behaviour, error) {
	p := behaviour{duration: c.RunTime}
	program := ProgramRun
	if request.Kind == api.KindService {
		p = behaviour{duration: c.ServiceTime, fixedServiceTime: c.FixedServiceTime}
		program = ProgramServe
	}
	if request.Kind == api.KindWatcher || len(request.Command) == 0 || request.Command[0] != program {
		return p, nil
	}
	if len(request.Command) < 2 {
		return p, fault.New(fault.CodeInvalid, "command", "%q requires a duration", program)
	}
	duration, err := time.ParseDuration(request.Command[1])
	if err != nil || duration < 0 {
		return p, fault.New(fault.CodeInvalid, "command", "%q is not a valid duration", request.Command[1])
	}
	p.duration = duration
	p.failsAtEnd = slices.Contains(request.Command[2:], FlagFail)
	p.fixedServiceTime = p.fixedServiceTime || slices.Contains(request.Command[2:], FlagFixed)
	return p, nil
}
