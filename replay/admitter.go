package replay

import (
	"time"

	"bronzehook/admission"
	"bronzehook/api"
)

// Request is one simulated request on a worker.
type Request struct {
	Urgency  api.Urgency
	Service  string
	Deadline time.Time

	workload      *workload
	arrivedAt     time.Time
	executionTime time.Duration
	endsAt        time.Time
	ticket        admission.Ticket
}

// Admitter decides which requests of a worker are executed, queued or refused.
type Admitter interface {
	// Offer grants, queues or refuses a request.
	Offer(now time.Time, r *Request)
	// Release frees the slot of a granted request that has ended.
	Release(now time.Time, r *Request)
}

// NewAdmitter returns the admitter of a worker. The admitter calls grant for each request that starts to execute.
type NewAdmitter func(slots int, grant func(*Request)) Admitter

// coreAdmitter runs the core of package admission on virtual time.
type coreAdmitter struct {
	core  *admission.Core
	grant func(*Request)
}

// NewCoreAdmitter returns an admitter that runs package admission with its production limits.
func NewCoreAdmitter(slots int, grant func(*Request)) Admitter {
	core := admission.NewCore(admission.DefaultConfig(), slots, DefaultFloors())
	return &coreAdmitter{core: core, grant: grant}
}

// Offer implements Admitter.
func (c *coreAdmitter) Offer(now time.Time, r *Request) {
	r.ticket = admission.Ticket{Urgency: r.Urgency, Service: r.Service, Deadline: r.Deadline, OnDecision: func(refusal *admission.RefusalError) {
		if refusal == nil {
			c.grant(r)
		}
	}}
	if c.core.Submit(now, &r.ticket) == nil && r.ticket.Granted() {
		c.grant(r)
	}
}

// Release implements Admitter.
func (c *coreAdmitter) Release(now time.Time, r *Request) { c.core.Release(now, &r.ticket, true) }

// fifoAdmitter executes requests in order of arrival without predicting whether they meet their deadline. It refuses a
// request only if the worker has no free connection.
type fifoAdmitter struct {
	slots, inUse int
	waiting      []*Request
	grant        func(*Request)
}

// NewFIFOAdmitter returns the admitter of the baseline policy.
func NewFIFOAdmitter(slots int, grant func(*Request)) Admitter {
	return &fifoAdmitter{slots: slots, grant: grant}
}

// Offer implements Admitter.
func (f *fifoAdmitter) Offer(_ time.Time, r *Request) {
	switch {
	case f.inUse < f.slots:
		f.inUse++
		f.grant(r)
	case f.inUse+len(f.waiting) < connectionsPerWorker:
		f.waiting = append(f.waiting, r)
	}
}

// Release implements Admitter.
func (f *fifoAdmitter) Release(time.Time, *Request) {
	if len(f.waiting) == 0 {
		f.inUse--
		return
	}
	next := f.waiting[0]
	f.waiting = f.waiting[1:]
	f.grant(next)
}
