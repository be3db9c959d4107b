// Package admission decides which requests run, wait or are refused. It works per instance by urgency and by whether
// the request can be answered before its caller gives up; it also holds the teams' rates and the retry budget.
package admission

import (
	"fmt"
	"time"

	"bronzehook/api"
	"bronzehook/fault"
)

// Config holds the bounds of the queues.
type Config struct {
	// MaxWait bounds the time in the queue of an urgency, however late the caller's deadline is.
	MaxWait [api.UrgencyCount]time.Duration
	// MaxQueue bounds the length of each queue.
	MaxQueue int
}

// DefaultConfig returns the bounds used in production.
func DefaultConfig() Config {
	const maxWait = 2 * time.Second
	return Config{MaxWait: [api.UrgencyCount]time.Duration{maxWait, maxWait, maxWait, maxWait}, MaxQueue: 2048}
}

const (
	// minRetryDelay and maxRetryDelay bound the delay named in a refusal.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 30 * time.Second
	// rateWindow is the time constant of the moving rates of grants.
	rateWindow = time.Second
)

// RefusalError reports a request that admission did not let run.
type RefusalError struct {
	FailureCode fault.Code
	Urgency     api.Urgency
	// Wait and Service are the predicted times behind the refusal.
	Wait    time.Duration
	Service time.Duration
	// Retry is the time after which a retry may succeed.
	Retry time.Duration
}

// Error names the code and the predictions.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("admission: %s: urgency %s, predicted wait %v and service %v",
		e.FailureCode, e.Urgency, e.Wait, e.Service)
}

// Code implements fault.Coded.
func (e *RefusalError) Code() fault.Code { return e.FailureCode }

// RetryDelay returns the time after which a retry may succeed.
func (e *RefusalError) RetryDelay() time.Duration { return e.Retry }

type ticketState uint8

const (
	stateNew ticketState = iota
	stateWaiting
	stateGranted
	stateRefused
	stateDone
)

// Ticket is one request in admission.
type Ticket struct {
	Urgency  api.Urgency
	Service  string
	Deadline time.Time
	// Settled, if set, is called once with the decision on a ticket that waited; nil is a grant. It must not call the core.
	Settled func(*RefusalError)

	state   ticketState
	arrived time.Time
	granted time.Time
	// settled receives the decision on a ticket that waited and has no Settled; nil is a grant.
	settled chan *RefusalError
}

// settle tells the owner of a ticket that waited of the decision.
func (t *Ticket) settle(refusal *RefusalError) {
	if t.Settled != nil {
		t.Settled(refusal)
		return
	}
	t.settled <- refusal
}

// Granted reports whether the ticket holds a slot.
func (t *Ticket) Granted() bool { return t.state == stateGranted }

// Core is the state of admission without locks and without a clock. Its share of slots is given out as follows: a free
// slot goes to the most urgent waiting request, unless a waiting urgency is owed part of its floor. Each urgency
// accrues its floor's share of the service time given out; the account is capped at the floor's own number of slots, so
// that an urgency that was idle gets its floor back as slots free up and can not hoard more.
type Core struct {
	config   Config
	capacity int
	floors   api.Floors
	inUse    int
	queues   [api.UrgencyCount]queue
	owed     [api.UrgencyCount]float64
	rates    [api.UrgencyCount]movingRate
	times    *serviceTimes
}

// NewCore returns a core that grants capacity requests at one time.
func NewCore(config Config, capacity int, floors api.Floors) *Core {
	return &Core{config: config, capacity: capacity, floors: floors, times: newServiceTimes()}
}

// Offer grants, queues or refuses a ticket. A queued ticket is settled by a later call.
func (c *Core) Offer(now time.Time, t *Ticket) *RefusalError {
	t.arrived = now
	c.settle(now)
	if c.inUse < c.capacity {
		if refusal := c.feasible(now, t, 0); refusal != nil {
			return refusal
		}
		c.grant(now, t)
		return nil
	}
	if refusal := c.queueable(now, t); refusal != nil {
		return refusal
	}
	t.state = stateWaiting
	if t.Settled == nil {
		t.settled = make(chan *RefusalError, 1)
	}
	c.queues[t.Urgency].push(t)
	return nil
}

func (c *Core) queueable(now time.Time, t *Ticket) *RefusalError {
	wait := c.predictWait(now, t.Urgency)
	if c.queues[t.Urgency].length() >= c.config.MaxQueue || wait > c.config.MaxWait[t.Urgency] {
		return c.refusal(fault.CodeOverloaded, t, wait, wait)
	}
	return c.feasible(now, t, wait)
}

// feasible refuses a ticket that can not be answered before its deadline. A service whose estimate has not been
// refreshed gets a request through from time to time, or it would be refused for ever after one slow spell.
func (c *Core) feasible(now time.Time, t *Ticket, wait time.Duration) *RefusalError {
	service := c.times.quantileOf(t.Service)
	late := now.Add(wait + service).Sub(t.Deadline)
	if late <= 0 || wait == 0 && t.Deadline.After(now) && c.times.probeDue(t.Service, now) {
		return nil
	}
	return c.refusal(fault.CodeInfeasible, t, wait, late)
}

func (c *Core) refusal(code fault.Code, t *Ticket, wait, retry time.Duration) *RefusalError {
	t.state = stateRefused
	return &RefusalError{
		FailureCode: code,
		Urgency:     t.Urgency,
		Wait:        wait,
		Service:     c.times.quantileOf(t.Service),
		Retry:       min(max(retry, minRetryDelay), maxRetryDelay),
	}
}

// Release ends a granted ticket and gives its slot to a waiting one. answered is false if the request's duration says
// nothing about the service, for example because no endpoint was reachable.
func (c *Core) Release(now time.Time, t *Ticket, answered bool) {
	if t.state != stateGranted {
		return
	}
	t.state = stateDone
	c.inUse--
	if answered {
		c.times.observe(t.Service, now, now.Sub(t.granted))
	}
	c.settle(now)
}

// Withdraw takes a ticket out whose caller no longer waits. It reports false if the ticket was settled before.
func (c *Core) Withdraw(t *Ticket) bool {
	if t.state != stateWaiting {
		return false
	}
	c.queues[t.Urgency].remove(t)
	t.state = stateRefused
	return true
}

// SetCapacity changes the number of requests granted at one time.
func (c *Core) SetCapacity(now time.Time, capacity int) {
	c.capacity = max(0, capacity)
	c.settle(now)
}

// SetFloors changes the floors.
func (c *Core) SetFloors(floors api.Floors) { c.floors = floors }

// Waiting returns the length of the queue of an urgency.
func (c *Core) Waiting(u api.Urgency) int { return c.queues[u].length() }

// InUse returns the number of granted requests that were not released.
func (c *Core) InUse() int { return c.inUse }

// settle grants free slots to waiting tickets and refuses those that waited too long.
func (c *Core) settle(now time.Time) {
	for c.inUse < c.capacity {
		u, ok := c.next()
		if !ok {
			return
		}
		t := c.queues[u].pop()
		if refusal := c.stale(now, t); refusal != nil {
			t.settle(refusal)
			continue
		}
		c.grant(now, t)
		t.settle(nil)
	}
}

// stale refuses a ticket that can no longer be answered in time.
func (c *Core) stale(now time.Time, t *Ticket) *RefusalError {
	waited := now.Sub(t.arrived)
	service := c.times.quantileOf(t.Service)
	if late := now.Add(service).Sub(t.Deadline); late > 0 {
		return c.refusal(fault.CodeInfeasible, t, waited, late)
	}
	if waited > c.config.MaxWait[t.Urgency] {
		return c.refusal(fault.CodeOverloaded, t, waited, waited)
	}
	return nil
}

// next returns the urgency whose request is granted next: the one with the largest account of at least one request, or
// else the most urgent.
func (c *Core) next() (api.Urgency, bool) {
	best, found := api.Low, false
	for u := api.Critical; ; u-- {
		if c.queues[u].length() > 0 {
			if !found || c.isOwed(u) && (!c.isOwed(best) || c.owed[u] > c.owed[best]) {
				best, found = u, true
			}
		}
		if u == api.Low {
			return best, found
		}
	}
}

func (c *Core) isOwed(u api.Urgency) bool {
	front := c.queues[u].front()
	return front != nil && c.owed[u] >= c.times.meanOf(front.Service).Seconds()
}

func (c *Core) grant(now time.Time, t *Ticket) {
	cost := c.times.meanOf(t.Service).Seconds()
	for u := range c.owed {
		share := c.floors[u] / 100
		c.owed[u] = min(c.ceiling(api.Urgency(u), cost), c.owed[u]+share*cost)
	}
	c.owed[t.Urgency] = max(0, c.owed[t.Urgency]-cost)
	c.rates[t.Urgency].add(now)
	c.inUse++
	t.state = stateGranted
	t.granted = now
}

// ceiling bounds the account of an urgency: its floor's own number of slots, but at least two requests. Those are counted
// at the cost of the waiting request if it is higher than that of the granted one; an account that is capped below the
// cost of its first request would never be owed it, and the urgency would starve.
func (c *Core) ceiling(u api.Urgency, granted float64) float64 {
	const minRequests = 2
	request := granted
	if front := c.queues[u].front(); front != nil {
		request = max(request, c.times.meanOf(front.Service).Seconds())
	}
	ownSlots := c.floors[u] / 100 * float64(c.capacity) * c.times.overallMean().Seconds()
	return max(minRequests*request, ownSlots)
}

// predictWait estimates the time until a new ticket of the urgency would be granted: the tickets before it over the
// larger of its floor's rate and the rate that more urgent requests leave.
func (c *Core) predictWait(now time.Time, u api.Urgency) time.Duration {
	total := float64(c.capacity) / max(c.times.overallMean().Seconds(), 1e-6)
	left := total
	for other := range c.queues {
		switch {
		case api.Urgency(other) > u:
			left -= c.rates[other].perSecond(now)
		case api.Urgency(other) < u && c.queues[other].length() > 0:
			left -= total * c.floors[other] / 100
		}
	}
	rate := max(left, total*c.floors[u]/100, 1e-3)
	seconds := float64(c.queues[u].length()+1) / rate
	return time.Duration(min(seconds, maxRetryDelay.Seconds()) * float64(time.Second))
}
