package standin

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"bronzehook/fault"
)

// StoreFaults says how the table or the object store fails. The zero value is a store without faults.
type StoreFaults struct {
	// Down refuses every call before it takes effect.
	Down bool `json:"down,omitempty"`
	// Delay passes before a call takes effect, also when its caller no longer waits.
	Delay time.Duration `json:"delay,omitempty"`
	// LoseReplies is the number of writes that take effect next and whose replies are lost.
	LoseReplies int `json:"loseReplies,omitempty"`
	// LoseProbability is the part of further writes, from 0 to 1, whose replies are lost after they took effect.
	LoseProbability float64 `json:"loseProbability,omitempty"`
	// Seed makes the choice of lost replies repeatable.
	Seed uint64 `json:"seed,omitempty"`
}

// LostReplyError reports a write that took effect and whose reply is withheld. Over HTTP the connection is cut.
type LostReplyError struct{ Op string }

// Error names the operation.
func (e *LostReplyError) Error() string { return e.Op + ": the reply was lost" }

// Code implements fault.Coded.
func (e *LostReplyError) Code() fault.Code { return fault.CodeStoreUnavailable }

// gate applies the faults of one store.
type gate struct {
	clock  clockwork.Clock
	mu     sync.Mutex
	faults StoreFaults
	random *rand.Rand
}

func newGate(clock clockwork.Clock) *gate {
	g := &gate{clock: clock}
	g.set(StoreFaults{})
	return g
}

func (g *gate) set(f StoreFaults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = f
	g.random = rand.New(rand.NewPCG(f.Seed, f.Seed))
}

func (g *gate) current() StoreFaults {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.faults
}

// enter is passed before a call takes effect.
func (g *gate) enter(ctx context.Context, op string) error {
	if delay := g.current().Delay; delay > 0 {
		timer := g.clock.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.Chan():
		case <-ctx.Done():
			return errors.WithSecondaryError(
				fault.New(fault.CodeStoreUnavailable, op, "the caller stopped waiting"), ctx.Err())
		}
	}
	if g.current().Down {
		return fault.New(fault.CodeStoreUnavailable, op, "the store is down")
	}
	return nil
}

// reply is passed after a write took effect.
func (g *gate) reply(op string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.faults.LoseReplies > 0 {
		g.faults.LoseReplies--
		return errors.WithStack(&LostReplyError{Op: op})
	}
	if g.faults.LoseProbability > 0 && g.random.Float64() < g.faults.LoseProbability {
		return errors.WithStack(&LostReplyError{Op: op})
	}
	return nil
}
