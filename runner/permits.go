package runner

import (
	"sync"
	"time"

	"bronzehook/api"
	"bronzehook/dispatch"
	"bronzehook/fault"
)

// Permits allows traffic goroutines to send to the endpoints of owned racks, without waiting for the control goroutine.
// It implements dispatch.Racks.
type Permits struct {
	now       func() time.Time
	ownership Ownership
	hold      time.Duration
	workers   sync.Map // api.WorkerID to *workerPermit
}

// workerPermit is immutable; a change replaces it.
type workerPermit struct {
	unit    api.Unit
	epoch   api.Epoch
	clock   time.Duration
	clockAt time.Time
	// attempts holds the endpoints that take new requests.
	attempts map[api.TaskID]uint64
}

// Permit implements dispatch.Racks. The not-after time is the caller's deadline or the time for which this instance may
// hold authority, whichever is earlier, as a reading of the worker's clock.
func (p *Permits) Permit(endpoint api.Endpoint, deadline time.Time) (dispatch.Permit, error) {
	found, ok := p.workers.Load(endpoint.Worker)
	if !ok {
		return dispatch.Permit{}, refusePermit(fault.CodeNotOwner, endpoint)
	}
	w := found.(*workerPermit)
	if w.epoch != endpoint.Epoch {
		return dispatch.Permit{}, refusePermit(fault.CodeStaleEpoch, endpoint)
	}
	if w.attempts[endpoint.Task] != endpoint.Attempt {
		return dispatch.Permit{}, refusePermit(fault.CodeNoEndpoint, endpoint)
	}
	epoch, err := p.ownership.Check(w.unit)
	if err != nil {
		return dispatch.Permit{}, err
	}
	if epoch != w.epoch {
		return dispatch.Permit{}, refusePermit(fault.CodeStaleEpoch, endpoint)
	}
	now := p.now()
	validity := min(deadline.Sub(now), p.hold)
	return dispatch.Permit{Epoch: w.epoch, NotAfter: w.clock + now.Sub(w.clockAt) + validity}, nil
}

func refusePermit(code fault.Code, endpoint api.Endpoint) error {
	return &fault.Failure{FailureCode: code, Op: "permit", Detail: "endpoint " + string(endpoint.Task)}
}

// set replaces what is known of a worker.
func (p *Permits) set(owned *rack, w *worker, endpoints []api.Endpoint) {
	attempts := make(map[api.TaskID]uint64, len(endpoints))
	for _, e := range endpoints {
		if !e.Leaving {
			attempts[e.Task] = e.Attempt
		}
	}
	p.workers.Store(w.info.ID, &workerPermit{
		unit: owned.unit, epoch: owned.epoch, clock: w.clock, clockAt: w.clockAt, attempts: attempts,
	})
}

func (p *Permits) remove(id api.WorkerID) { p.workers.Delete(id) }
