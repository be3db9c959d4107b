// Package maintenance decides in which order the machines of a maintenance wave are handled: which machine is drained
// next, when the tasks that still run there are stopped, and when its maintenance may begin. The package does no I/O.
package maintenance

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"bronzehook/fault"
	"bronzehook/workers"
)

// Wave is a maintenance wave: a request for the maintenance of some machines.
type Wave struct {
	Number   int
	Machines []string
	// Duration is the time within which the maintenance of all machines has to begin.
	Duration time.Duration
	// MaxDown is the number of machines of the wave that may be down at the same time.
	MaxDown int
}

// State is the state of a machine as the platform reports it.
type State string

// The states of a machine.
const (
	StateUp          State = "up"
	StateMoving      State = "moving"
	StateMaintenance State = "maintenance"
	StateDown        State = "down"
)

// Machine is one machine as the platform reports it.
type Machine struct {
	Name string
	// Pool is the service whose tasks its worker runs.
	Pool   string
	State  State
	Worker workers.ID
}

// Order is the command to begin the maintenance of one machine. Everything that runs on the machine ends as soon as
// the command is carried out.
type Order struct {
	Machine string
	Wave    int
	// Leader and Epoch identify the leadership term, so that the service can refuse commands of earlier leaders.
	Leader string
	Epoch  uint64
}

// Client calls the platform's machine service. Errors are *RefusedError if the command had no effect, else
// *UnreachableError, after which the command may have been carried out or may still be.
type Client interface {
	List(ctx context.Context) ([]Machine, error)
	// Begin begins the maintenance of a machine. It has no effect if its maintenance in this wave has already begun.
	Begin(ctx context.Context, command Order) error
}

// Reason says why a command was refused.
type Reason string

// The reasons of a refusal.
const (
	// ReasonStaleEpoch means that a later leader has sent a command for the machine.
	ReasonStaleEpoch Reason = "epoch"
	// ReasonBusy means that the machine is not up, or is shutting down.
	ReasonBusy Reason = "busy"
	// ReasonNotInWave means that the machine is not in the wave.
	ReasonNotInWave Reason = "not-in-wave"
	// ReasonUnknown means that there is no such machine.
	ReasonUnknown Reason = "unknown-machine"
	// ReasonThrottled means that there were too many calls.
	ReasonThrottled Reason = "throttled"
)

// RefusedError reports a command that had no effect.
type RefusedError struct {
	Machine string
	Reason  Reason
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("maintenance of %s refused: %s", e.Machine, e.Reason)
}

// Code implements fault.Coded.
func (e *RefusedError) Code() fault.Code {
	if e.Reason == ReasonStaleEpoch {
		return fault.CodeStaleEpoch
	}
	return fault.CodeConflict
}

// UnreachableError reports a call that got no usable response.
type UnreachableError struct{ Detail string }

// Error implements error.
func (e *UnreachableError) Error() string { return "call to the machine service failed: " + e.Detail }

// Code implements fault.Coded.
func (*UnreachableError) Code() fault.Code { return fault.CodeUnreachable }

// SeenWave is a wave with the time at which this instance first saw it.
type SeenWave struct {
	Wave
	Since time.Duration
}

// Registry holds the maintenance waves that the operator requests. It is safe for concurrent use.
type Registry struct {
	mu    sync.Mutex
	waves map[int]SeenWave
}

// Put adds a wave, or replaces the request of a known one. A known wave keeps the time at which it was first seen.
func (r *Registry) Put(wave Wave, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.waves == nil {
		r.waves = make(map[int]SeenWave)
	}
	since := now
	if known, ok := r.waves[wave.Number]; ok {
		since = known.Since
	}
	r.waves[wave.Number] = SeenWave{Wave: wave, Since: since}
}

// Remove removes a wave.
func (r *Registry) Remove(number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.waves, number)
}

// Waves returns the waves in ascending order of their numbers.
func (r *Registry) Waves() []SeenWave {
	r.mu.Lock()
	defer r.mu.Unlock()
	waves := make([]SeenWave, 0, len(r.waves))
	for _, wave := range r.waves {
		waves = append(waves, wave)
	}
	sort.Slice(waves, func(i, j int) bool { return waves[i].Number < waves[j].Number })
	return waves
}
