package fake

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"bronzehook/fault"
)

// StoreFaults configures the injected faults of the table or the object store. The zero value injects none.
type StoreFaults struct {
	// Down makes every call fail before it takes effect.
	Down bool `json:"down,omitempty"`
	// Delay is how long a call waits before it takes effect. Writes over HTTP take effect even if the client no longer
	// waits.
	Delay time.Duration `json:"delay,omitempty"`
	// LoseReplies is the number of next writes that take effect but whose replies are lost.
	LoseReplies int `json:"loseReplies,omitempty"`
	// LoseProbability is the probability, from 0 to 1, that the reply to any further write is lost after the write took
	// effect.
	LoseProbability float64 `json:"loseProbability,omitempty"`
	// Seed makes the choice of lost replies reproducible.
	Seed uint64 `json:"seed,omitempty"`
}

// LostReplyError reports a write that took effect but whose reply is lost. Over HTTP the connection is aborted instead.
type LostReplyError struct{ Op string }

// Error implements error.
func (e *LostReplyError) Error() string { return e.Op + ": the reply was lost" }

// Code implements fault.Coded.
func (e *LostReplyError) Code() fault.Code { return fault.CodeStoreUnavailable }

// faultInjector applies the faults of one store.
type faultInjector struct {
	clock  clockwork.Clock
	mu     sync.Mutex
	faults StoreFaults
	random *rand.Rand
}

func newFaultInjector(clock clockwork.Clock) *faultInjector {
	i := &faultInjector{clock: clock}
	i.set(StoreFaults{})
	return i
}

// set replaces the faults and restarts the random sequence from their seed.
func (i *faultInjector) set(f StoreFaults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
	i.random = rand.New(rand.NewPCG(f.Seed, f.Seed))
}

func (i *faultInjector) current() StoreFaults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

// beforeCall applies the faults that delay a call or prevent it from taking effect.
func (i *faultInjector) beforeCall(ctx context.Context, op string) error {
	if delay := i.current().Delay; delay > 0 {
		timer := i.clock.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.Chan():
		case <-ctx.Done():
			return errors.WithSecondaryError(
				fault.New(fault.CodeStoreUnavailable, op, "the caller stopped waiting"), ctx.Err())
		}
	}
	if i.current().Down {
		return fault.New(fault.CodeStoreUnavailable, op, "the store is down")
	}
	return nil
}

// afterWrite returns a LostReplyError if the reply to a write that took effect is to be lost.
func (i *faultInjector) afterWrite(op string) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.faults.LoseReplies > 0 {
		i.faults.LoseReplies--
		return errors.WithStack(&LostReplyError{Op: op})
	}
	if i.faults.LoseProbability > 0 && i.random.Float64() < i.faults.LoseProbability {
		return errors.WithStack(&LostReplyError{Op: op})
	}
	return nil
}
