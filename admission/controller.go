package admission

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"bronzehook/api"
	"bronzehook/fault"
)

// Controller is a Core that is safe for concurrent use, has a clock and lets callers wait for a decision.
type Controller struct {
	clock clockwork.Clock
	mu    sync.Mutex
	core  *Core
}

// NewController returns a controller that lets capacity requests run at a time; shares are the guaranteed shares of the
// urgencies.
func NewController(clock clockwork.Clock, config Config, capacity int, shares api.Floors) *Controller {
	return &Controller{clock: clock, core: NewCore(config, capacity, shares)}
}

// Request holds the properties of a request that admission depends on.
type Request struct {
	Urgency api.Urgency
	Service string
}

// Grant is the right to run one request. Done must be called exactly once, when the request has ended.
type Grant struct {
	controller *Controller
	ticket     Ticket
}

// Admit waits until the request may run, at most until ctx ends. ctx must have a deadline. Errors have the outcome
// not-run.
func (c *Controller) Admit(ctx context.Context, r Request) (*Grant, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil, fault.NotRun(&fault.Failure{FailureCode: fault.CodeInternal, Op: "admit", Detail: "context has no deadline"})
	}
	g := &Grant{controller: c, ticket: Ticket{Urgency: r.Urgency, Service: r.Service, Deadline: deadline}}
	c.mu.Lock()
	refusal := c.core.Submit(c.clock.Now(), &g.ticket)
	waiting := g.ticket.state == stateWaiting
	c.mu.Unlock()
	if refusal == nil && waiting {
		refusal = c.wait(ctx, g)
	}
	if refusal != nil {
		return nil, fault.NotRun(refusal)
	}
	return g, nil
}

func (c *Controller) wait(ctx context.Context, g *Grant) *RefusalError {
	timer := c.clock.NewTimer(c.core.config.MaxWait[g.ticket.Urgency])
	defer timer.Stop()
	select {
	case refusal := <-g.ticket.decision:
		return refusal
	case <-ctx.Done():
	case <-timer.Chan():
	}
	c.mu.Lock()
	cancelled := c.core.Cancel(&g.ticket)
	c.mu.Unlock()
	if !cancelled {
		return <-g.ticket.decision
	}
	waited := c.clock.Since(g.ticket.arrived)
	return &RefusalError{FailureCode: fault.CodeOverloaded, Urgency: g.ticket.Urgency, Wait: waited, Retry: max(waited, minRetryDelay)}
}

// Done releases the slot. answered is false if the duration of the request says nothing about its service.
func (g *Grant) Done(answered bool) {
	g.controller.mu.Lock()
	defer g.controller.mu.Unlock()
	g.controller.core.Release(g.controller.clock.Now(), &g.ticket, answered)
}

// Waited returns the time that the request spent in the queue.
func (g *Grant) Waited() time.Duration { return g.ticket.granted.Sub(g.ticket.arrived) }

// SetCapacity sets the number of requests that may run at a time: this instance's share of the region's slots.
func (c *Controller) SetCapacity(capacity int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.SetCapacity(c.clock.Now(), capacity)
}

// SetGuaranteedShares sets the guaranteed shares of the urgencies.
func (c *Controller) SetGuaranteedShares(shares api.Floors) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.SetGuaranteedShares(shares)
}

// Waiting returns the queue length of each urgency.
func (c *Controller) Waiting() [api.UrgencyCount]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	var lengths [api.UrgencyCount]int
	for u := range lengths {
		lengths[u] = c.core.Waiting(api.Urgency(u))
	}
	return lengths
}
