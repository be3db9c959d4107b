// Package admission decides which requests of an instance run, wait or are refused. The decision depends on the urgency
// of the request and on whether it can be answered before its deadline. The package also enforces the request rates of
// teams and the retry budget.
package admission

import (
	"fmt"
	"time"

	"bronzehook/api"
	"bronzehook/fault"
)

// Config holds the bounds of the queues.
type Config struct {
	// MaxWait bounds the time that a request of an urgency waits in the queue, even if its deadline is later.
	MaxWait [api.UrgencyCount]time.Duration
	// MaxQueue bounds the number of requests in each queue.
	MaxQueue int
}

// DefaultConfig returns the bounds used in production.
func DefaultConfig() Config {
	const maxWait = 2 * time.Second
	return Config{MaxWait: [api.UrgencyCount]time.Duration{maxWait, maxWait, maxWait, maxWait}, MaxQueue: 2048}
}

const (
	// minRetryDelay and maxRetryDelay bound the retry delay of a refusal; maxRetryDelay also bounds a predicted wait.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 30 * time.Second
	// rateTimeConstant is the time constant of the exponentially decaying grant rates.
	rateTimeConstant = time.Second
)

// RefusalError reports that admission refused a request.
type RefusalError struct {
	FailureCode fault.Code
	Urgency     api.Urgency
	// Wait is the time in the queue, predicted or already spent, and Service the predicted service time.
	Wait        time.Duration
	ServiceTime time.Duration
	// Retry is the time after which a retry may succeed.
	Retry time.Duration
}

// Error names the code, the urgency and the times behind the refusal.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("admission: %s: urgency %s, queue wait %v, predicted service time %v",
		e.FailureCode, e.Urgency, e.Wait, e.ServiceTime)
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
	stateRefused // refused or cancelled
	stateDone
)

// Ticket represents one request in admission.
type Ticket struct {
	Urgency  api.Urgency
	Service  string
	Deadline time.Time
	// OnDecision, if set, is called once with the decision on a ticket that had to wait; nil means granted. It must not call
	// the core.
	OnDecision func(*RefusalError)

	state   ticketState
	arrived time.Time
	granted time.Time
	// decision receives the decision on a ticket that had to wait if OnDecision is not set; nil means granted.
	decision chan *RefusalError
}

// notify passes the decision on a ticket that had to wait to OnDecision, or else to the decision channel.
func (t *Ticket) notify(refusal *RefusalError) {
	if t.OnDecision != nil {
		t.OnDecision(refusal)
		return
	}
	t.decision <- refusal
}

// Granted reports whether the ticket holds a slot.
func (t *Ticket) Granted() bool { return t.state == stateGranted }

// Core is the state of admission without locks and without a clock. A free slot goes to the most urgent waiting request,
// unless a waiting urgency has credit for at least one request: then the urgency with the most credit goes first. With
// each grant, every urgency accrues its guaranteed share of the granted service time as credit. The credit is capped at
// the service time of the guaranteed number of slots, so that an urgency that was idle regains its guaranteed share as
// slots become free, but no more than that.
type Core struct {
	config           Config
	capacity         int
	guaranteedShares api.Floors
	slotsInUse       int
	queues           [api.UrgencyCount]queue
	credits          [api.UrgencyCount]float64 // seconds of service time
	grantRates       [api.UrgencyCount]movingRate
	times            *serviceTimeEstimator
}

// NewCore returns a core that lets capacity requests run at a time.
func NewCore(config Config, capacity int, shares api.Floors) *Core {
	return &Core{config: config, capacity: capacity, guaranteedShares: shares, times: newServiceTimeEstimator()}
}

// Submit submits a ticket, which is granted, queued or refused. A queued ticket is decided in a later call.
func (c *Core) Submit(now time.Time, t *Ticket) *RefusalError {
	t.arrived = now
	c.decideWaiting(now)
	if c.slotsInUse < c.capacity {
		if refusal := c.checkDeadline(now, t, 0); refusal != nil {
			return refusal
		}
		c.grant(now, t)
		return nil
	}
	if refusal := c.checkQueue(now, t); refusal != nil {
		return refusal
	}
	t.state = stateWaiting
	if t.OnDecision == nil {
		t.decision = make(chan *RefusalError, 1)
	}
	c.queues[t.Urgency].push(t)
	return nil
}

func (c *Core) checkQueue(now time.Time, t *Ticket) *RefusalError {
	wait := c.predictWait(now, t.Urgency)
	if c.queues[t.Urgency].length() >= c.config.MaxQueue || wait > c.config.MaxWait[t.Urgency] {
		return c.refuse(fault.CodeOverloaded, t, wait, wait)
	}
	return c.checkDeadline(now, t, wait)
}

// checkDeadline refuses a ticket that cannot be answered before its deadline. If a slot is free and the estimate of the
// service is older than probeInterval, one request is let through as a probe: without new responses the estimate would
// never recover from a slow period, and the service would be refused for ever.
func (c *Core) checkDeadline(now time.Time, t *Ticket, wait time.Duration) *RefusalError {
	service := c.times.quantileOf(t.Service)
	lateBy := now.Add(wait + service).Sub(t.Deadline)
	if lateBy <= 0 || wait == 0 && t.Deadline.After(now) && c.times.probeDue(t.Service, now) {
		return nil
	}
	return c.refuse(fault.CodeInfeasible, t, wait, lateBy)
}

func (c *Core) refuse(code fault.Code, t *Ticket, wait, retry time.Duration) *RefusalError {
	t.state = stateRefused
	return &RefusalError{
		FailureCode: code,
		Urgency:     t.Urgency,
		Wait:        wait,
		ServiceTime: c.times.quantileOf(t.Service),
		Retry:       min(max(retry, minRetryDelay), maxRetryDelay),
	}
}

// Release ends a granted ticket and grants its slot to a waiting one. answered is false if the duration of the request
// says nothing about the service, for example because no endpoint was reachable.
func (c *Core) Release(now time.Time, t *Ticket, answered bool) {
	if t.state != stateGranted {
		return
	}
	t.state = stateDone
	c.slotsInUse--
	if answered {
		c.times.observe(t.Service, now, now.Sub(t.granted))
	}
	c.decideWaiting(now)
}

// Cancel cancels a ticket whose caller has stopped waiting. It reports false if the ticket was not waiting, for example
// because it had been decided before.
func (c *Core) Cancel(t *Ticket) bool {
	if t.state != stateWaiting {
		return false
	}
	c.queues[t.Urgency].remove(t)
	t.state = stateRefused
	return true
}

// SetCapacity sets the number of requests that may run at a time.
func (c *Core) SetCapacity(now time.Time, capacity int) {
	c.capacity = max(0, capacity)
	c.decideWaiting(now)
}

// SetGuaranteedShares sets the guaranteed shares of the urgencies, in percent.
func (c *Core) SetGuaranteedShares(shares api.Floors) { c.guaranteedShares = shares }

// Waiting returns the queue length of an urgency.
func (c *Core) Waiting(u api.Urgency) int { return c.queues[u].length() }

// InUse returns the number of slots in use: granted requests that were not released yet.
func (c *Core) InUse() int { return c.slotsInUse }

// decideWaiting grants free slots to waiting tickets. Tickets that waited too long or would miss their deadline are
// refused instead.
func (c *Core) decideWaiting(now time.Time) {
	for c.slotsInUse < c.capacity {
		u, ok := c.nextUrgency()
		if !ok {
			return
		}
		t := c.queues[u].pop()
		if refusal := c.checkWaited(now, t); refusal != nil {
			t.notify(refusal)
			continue
		}
		c.grant(now, t)
		t.notify(nil)
	}
}

// checkWaited refuses a ticket that can no longer be answered before its deadline or waited longer than MaxWait.
func (c *Core) checkWaited(now time.Time, t *Ticket) *RefusalError {
	waited := now.Sub(t.arrived)
	service := c.times.quantileOf(t.Service)
	if lateBy := now.Add(service).Sub(t.Deadline); lateBy > 0 {
		return c.refuse(fault.CodeInfeasible, t, waited, lateBy)
	}
	if waited > c.config.MaxWait[t.Urgency] {
		return c.refuse(fault.CodeOverloaded, t, waited, waited)
	}
	return nil
}

// nextUrgency returns the urgency whose first waiting request is granted next: the one with the most credit of those
// with credit for at least one request, or else the most urgent. It reports false if no request waits.
func (c *Core) nextUrgency() (api.Urgency, bool) {
	best, found := api.Low, false
	for u := api.Critical; ; u-- {
		if c.queues[u].length() > 0 {
			if !found || c.hasCredit(u) && (!c.hasCredit(best) || c.credits[u] > c.credits[best]) {
				best, found = u, true
			}
		}
		if u == api.Low {
			return best, found
		}
	}
}

// hasCredit reports whether the urgency has credit for its first waiting request.
func (c *Core) hasCredit(u api.Urgency) bool {
	front := c.queues[u].front()
	return front != nil && c.credits[u] >= c.times.meanOf(front.Service).Seconds()
}

func (c *Core) grant(now time.Time, t *Ticket) {
	cost := c.times.meanOf(t.Service).Seconds()
	for u := range c.credits {
		fraction := c.guaranteedShares[u] / 100
		c.credits[u] = min(c.maxCredit(api.Urgency(u), cost), c.credits[u]+fraction*cost)
	}
	c.credits[t.Urgency] = max(0, c.credits[t.Urgency]-cost)
	c.grantRates[t.Urgency].add(now)
	c.slotsInUse++
	t.state = stateGranted
	t.granted = now
}

// maxCredit returns the upper bound of the credit of an urgency: the service time of its guaranteed number of slots, but
// at least that of two requests. The cost of a request is the larger of grantedCost and the cost of the urgency's first
// waiting request, because credit capped below the cost of that request would never suffice and the urgency would starve.
func (c *Core) maxCredit(u api.Urgency, grantedCost float64) float64 {
	const minRequests = 2
	requestCost := grantedCost
	if front := c.queues[u].front(); front != nil {
		requestCost = max(requestCost, c.times.meanOf(front.Service).Seconds())
	}
	guaranteedCredit := c.guaranteedShares[u] / 100 * float64(c.capacity) * c.times.overallMean().Seconds()
	return max(minRequests*requestCost, guaranteedCredit)
}

// predictWait estimates the time until a new ticket of the urgency would be granted. It divides the number of tickets up
// to and including the new one by the larger of two rates: that of the guaranteed share, and what is left after the
// recent grants of more urgent requests and the guaranteed shares of waiting, less urgent ones.
func (c *Core) predictWait(now time.Time, u api.Urgency) time.Duration {
	totalRate := float64(c.capacity) / max(c.times.overallMean().Seconds(), 1e-6)
	availableRate := totalRate
	for other := range c.queues {
		switch {
		case api.Urgency(other) > u:
			availableRate -= c.grantRates[other].perSecond(now)
		case api.Urgency(other) < u && c.queues[other].length() > 0:
			availableRate -= totalRate * c.guaranteedShares[other] / 100
		}
	}
	rate := max(availableRate, totalRate*c.guaranteedShares[u]/100, 1e-3)
	seconds := float64(c.queues[u].length()+1) / rate
	return time.Duration(min(seconds, maxRetryDelay.Seconds()) * float64(time.Second))
}
