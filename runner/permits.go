package runner

import (
	"sync"
	"time"

	"bronzehook/api"
	"bronzehook/dispatch"
	"bronzehook/fault"
)

// Permits issues permits to send requests to the endpoints of owned racks. Request goroutines use it without waiting
// for the event loop. It implements dispatch.Permitter.
type Permits struct {
	now           func() time.Time
	ownership     Ownership
	instanceLease time.Duration
	workers       sync.Map // api.WorkerID to *workerPermit
}

// workerPermit is the permit state of one worker. It is immutable; an update replaces it.
type workerPermit struct {
	unit    api.Unit
	epoch   api.Epoch
	clock   time.Duration
	clockAt time.Time
	// attempts holds the attempts whose endpoints accept new requests, by task.
	attempts map[api.TaskID]uint64
}

// Permit implements dispatch.Permitter. NotAfter is the earlier of the caller's deadline and the time for which this
// instance's lease may still be valid, as a reading of the worker's clock.
func (p *Permits) Permit(endpoint api.Endpoint, deadline time.Time) (dispatch.Permit, error) {
	found, ok := p.workers.Load(endpoint.Worker)
	if !ok {
		return dispatch.Permit{}, permitError(fault.CodeNotOwner, endpoint)
	}
	w := found.(*workerPermit)
	if w.epoch != endpoint.Epoch {
		return dispatch.Permit{}, permitError(fault.CodeStaleEpoch, endpoint)
	}
	if w.attempts[endpoint.Task] != endpoint.Attempt {
		return dispatch.Permit{}, permitError(fault.CodeNoEndpoint, endpoint)
	}
	epoch, err := p.ownership.Check(w.unit)
	if err != nil {
		return dispatch.Permit{}, err
	}
	if epoch != w.epoch {
		return dispatch.Permit{}, permitError(fault.CodeStaleEpoch, endpoint)
	}
	now := p.now()
	validity := min(deadline.Sub(now), p.instanceLease)
	return dispatch.Permit{Epoch: w.epoch, NotAfter: w.clock + now.Sub(w.clockAt) + validity}, nil
}

func permitError(code fault.Code, endpoint api.Endpoint) error {
	return &fault.Failure{FailureCode: code, Op: "permit", Detail: "endpoint " + string(endpoint.Task)}
}

// update replaces the permit state of a worker.
func (p *Permits) update(rack *ownedRack, w *worker, endpoints []api.Endpoint) {
	attempts := make(map[api.TaskID]uint64, len(endpoints))
	for _, e := range endpoints {
		if !e.Leaving {
			attempts[e.Task] = e.Attempt
		}
	}
	p.workers.Store(w.info.ID, &workerPermit{
		unit: rack.unit, epoch: rack.epoch, clock: w.clock, clockAt: w.clockAt, attempts: attempts,
	})
}

func (p *Permits) remove(id api.WorkerID) { p.workers.Delete(id) }
