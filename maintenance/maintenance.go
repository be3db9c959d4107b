// Package maintenance decides how a wave of maintenance passes over the machines on which workers run: which machine is
// emptied next, when what still runs there is stopped, and when the maintenance may begin. Nothing here does I/O.
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

// Wave asks for the maintenance of machines.
type Wave struct {
	Number   int
	Machines []string
	// Duration is the time in which the maintenance of all machines has to begin.
	Duration time.Duration
	// Cap is the number of machines of the wave that may be down at one time.
	Cap int
}

// State is what the platform says of a machine.
type State string

// The states of a machine.
const (
	StateUp          State = "up"
	StateMoving      State = "moving"
	StateMaintenance State = "maintenance"
	StateDown        State = "down"
)

// Machine is one machine as the platform lists it.
type Machine struct {
	Name string
	// Pool is the service whose tasks its worker runs.
	Pool   string
	State  State
	Worker workers.ID
}

// Order asks for the maintenance of one machine. Everything that runs there ends at once.
type Order struct {
	Machine string
	Wave    int
	// Leader and Epoch fence orders of earlier holders of the duty.
	Leader string
	Epoch  uint64
}

// Client speaks to the service that looks after the machines. Failures are *RefusedError if the order had no effect, else
// *UnreachableError, after which it may have been or may yet be carried out.
type Client interface {
	List(ctx context.Context) ([]Machine, error)
	// Begin has no further effect on a machine whose maintenance in this wave has begun already.
	Begin(ctx context.Context, order Order) error
}

// Reason says why an order was refused.
type Reason string

// The reasons of a refusal.
const (
	// ReasonEpoch means that a later holder of the duty has given orders for the machine.
	ReasonEpoch Reason = "epoch"
	// ReasonBusy means that the machine is not up, or leaves.
	ReasonBusy Reason = "busy"
	// ReasonNotAsked means that the machine is not in the wave.
	ReasonNotAsked Reason = "not-in-wave"
	// ReasonUnknown means that there is no such machine.
	ReasonUnknown Reason = "unknown-machine"
	// ReasonThrottled means that there were too many calls.
	ReasonThrottled Reason = "throttled"
)

// RefusedError reports an order that had no effect.
type RefusedError struct {
	Machine string
	Reason  Reason
}

// Error names the machine and the reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("maintenance of %s refused: %s", e.Machine, e.Reason)
}

// Code implements fault.Coded.
func (e *RefusedError) Code() fault.Code {
	if e.Reason == ReasonEpoch {
		return fault.CodeStaleEpoch
	}
	return fault.CodeConflict
}

// UnreachableError reports a call without an answer.
type UnreachableError struct{ Detail string }

// Error says what went wrong.
func (e *UnreachableError) Error() string { return "machines' service: " + e.Detail }

// Code implements fault.Coded.
func (*UnreachableError) Code() fault.Code { return fault.CodeUnreachable }

// Due is a wave and when this instance first saw it.
type Due struct {
	Wave
	Since time.Duration
}

// Registry holds the waves that the operator asks for. It is safe for concurrent use.
type Registry struct {
	mu    sync.Mutex
	waves map[int]Due
}

// Offer puts a wave on the board, or replaces what it asks for.
func (b *Registry) Offer(wave Wave, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waves == nil {
		b.waves = make(map[int]Due)
	}
	since := now
	if known, ok := b.waves[wave.Number]; ok {
		since = known.Since
	}
	b.waves[wave.Number] = Due{Wave: wave, Since: since}
}

// Withdraw takes a wave off the board.
func (b *Registry) Withdraw(number int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.waves, number)
}

// Waves returns the waves by their numbers.
func (b *Registry) Waves() []Due {
	b.mu.Lock()
	defer b.mu.Unlock()
	waves := make([]Due, 0, len(b.waves))
	for _, due := range b.waves {
		waves = append(waves, due)
	}
	sort.Slice(waves, func(i, j int) bool { return waves[i].Number < waves[j].Number })
	return waves
}
