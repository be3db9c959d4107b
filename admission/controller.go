package admission

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"bronzehook/api"
	"bronzehook/fault"
)

// Controller is a Core that is safe for concurrent use, with a clock and waiting.
type Controller struct {
	clock clockwork.Clock
	mu    sync.Mutex
	core  *Core
}

// NewController returns a controller with the given share of request capacity.
func NewController(clock clockwork.Clock, config Config, capacity int, floors api.Floors) *Controller {
	return &Controller{clock: clock, core: NewCore(config, capacity, floors)}
}

// Request is what admission needs to know of a request.
type Request struct {
	Urgency api.Urgency
	Service string
}

// Grant is the right to run one request. Done must be called exactly once when the request has ended.
type Grant struct {
	controller *Controller
	ticket     Ticket
}

// Admit waits until the request may run, at most until ctx ends. ctx must have a deadline. The failure is not-run.
func (c *Controller) Admit(ctx context.Context, r Request) (*Grant, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil, fault.NotRun(&fault.Failure{FailureCode: fault.CodeInternal, Op: "admit", Detail: "no deadline"})
	}
	g := &Grant{controller: c, ticket: Ticket{Urgency: r.Urgency, Service: r.Service, Deadline: deadline}}
	c.mu.Lock()
	refusal := c.core.Offer(c.clock.Now(), &g.ticket)
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
	case refusal := <-g.ticket.settled:
		return refusal
	case <-ctx.Done():
	case <-timer.Chan():
	}
	c.mu.Lock()
	withdrawn := c.core.Withdraw(&g.ticket)
	c.mu.Unlock()
	if !withdrawn {
		return <-g.ticket.settled
	}
	waited := c.clock.Since(g.ticket.arrived)
	return &RefusalError{FailureCode: fault.CodeOverloaded, Urgency: g.ticket.Urgency, Wait: waited, Retry: max(waited, minRetryDelay)}
}

// Done frees the slot. answered is false if the request's duration says nothing about its service.
func (g *Grant) Done(answered bool) {
	g.controller.mu.Lock()
	defer g.controller.mu.Unlock()
	g.controller.core.Release(g.controller.clock.Now(), &g.ticket, answered)
}

// Waited returns the time that the request spent in the queue.
func (g *Grant) Waited() time.Duration { return g.ticket.granted.Sub(g.ticket.arrived) }

// SetCapacity changes the number of requests that run at one time: this instance's share of the region's slots.
func (c *Controller) SetCapacity(capacity int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.SetCapacity(c.clock.Now(), capacity)
}

// SetFloors changes the floors of the urgencies.
func (c *Controller) SetFloors(floors api.Floors) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core.SetFloors(floors)
}

// Waiting returns the lengths of the queues.
func (c *Controller) Waiting() [api.UrgencyCount]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	var lengths [api.UrgencyCount]int
	for u := range lengths {
		lengths[u] = c.core.Waiting(api.Urgency(u))
	}
	return lengths
}
