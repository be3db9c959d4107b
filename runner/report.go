package runner

import (
	"context"
	"slices"
	"strings"

	"bronzehook/api"
	"bronzehook/backend"
	"bronzehook/logging"
)

func (a *attempt) report(id api.WorkerID) AttemptReport {
	return AttemptReport{
		Ref: Ref{Task: a.status.Task, Attempt: a.status.Attempt}, Worker: id, State: a.status.State,
		Checkpoint: a.status.Checkpoint, Progress: a.status.Progress, Reason: a.status.Reason,
		NotStarted: a.notStarted, Evicted: a.evicted,
	}
}

// report returns the state of the worker for the coordinator.
func (w *worker) report() WorkerReport {
	return WorkerReport{Worker: w.info.ID, Reachable: w.unreachableSince.IsZero(), Leaving: w.info.Leaving}
}

// SendFullReports sends a full report of every rack. It is called when the coordinator has changed.
func (r *Runner) SendFullReports() {
	for _, rack := range r.racks {
		rack.lastFullReport = rack.acquiredAt
	}
	r.reportAll()
}

func (r *Runner) reportAll() {
	for _, rack := range r.racks {
		r.report(rack)
	}
}

// report sends the changes of a rack to the coordinator. Terminated attempts are sent again until they are persisted.
func (r *Runner) report(rack *ownedRack) {
	now := r.options.Clock.Now()
	if rack.reportInFlight {
		return
	}
	full := rack.lastFullReport.Equal(rack.acquiredAt) || now.Sub(rack.lastFullReport) >= FullReportInterval
	message := Report{From: r.options.Self, Unit: rack.unit, Epoch: rack.epoch, Full: full, Usage: rack.pendingUsage}
	for id, w := range rack.workers {
		if state := w.report(); full || state != w.lastReport {
			message.Workers = append(message.Workers, state)
		}
		for _, a := range w.attempts {
			if full || a.unreported || a.status.State.Terminal() {
				message.Attempts = append(message.Attempts, a.report(id))
			}
		}
	}
	if !full && len(message.Attempts) == 0 && len(message.Usage) == 0 && len(message.Workers) == 0 {
		return
	}
	rack.reportInFlight = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		reply, err := r.options.Reporter.Report(ctx, message)
		r.options.Loop.Post(func() {
			rack.reportInFlight = false
			if !r.isCurrent(rack) {
				return
			}
			if err != nil {
				r.log.Debug().Str(logging.KeyUnit, rack.unit.Key()).Err(err).Msg("report not delivered")
				return
			}
			if full {
				rack.lastFullReport = now
			}
			rack.pendingUsage = nil
			r.handleReportReply(rack, message, reply)
		})
	}()
}

func (r *Runner) handleReportReply(rack *ownedRack, message Report, reply ReportReply) {
	for _, sent := range message.Workers {
		rack.workers[sent.Worker].lastReport = sent
	}
	for _, sent := range message.Attempts {
		a := rack.workers[sent.Worker].attempts[sent.Task]
		if a != nil && a.status.Attempt == sent.Attempt && a.status.State == sent.State {
			a.unreported = false
		}
	}
	for _, ref := range reply.Persisted {
		for _, w := range rack.workers {
			r.acknowledge(rack, w, ref)
		}
	}
}

// acknowledge discards a terminated attempt that is persisted, here and on the worker.
func (r *Runner) acknowledge(rack *ownedRack, w *worker, ref Ref) {
	a := w.attempts[ref.Task]
	if a == nil || a.status.Attempt != ref.Attempt || !a.status.State.Terminal() {
		return
	}
	if !w.fenced || !w.unreachableSince.IsZero() {
		return
	}
	r.sendAck(rack, w, ref, func() {
		if w.attempts[ref.Task] == a {
			rack.terminated[ref.Task] = max(rack.terminated[ref.Task], ref.Attempt)
			delete(w.attempts, ref.Task)
		}
	})
}

// sendAck tells the worker to discard a terminated attempt and, on success, calls done on the event loop.
func (r *Runner) sendAck(rack *ownedRack, w *worker, ref Ref, done func()) {
	client := w.client
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		err := client.Ack(ctx, backend.TaskRef{Task: ref.Task, Attempt: ref.Attempt, Epoch: rack.epoch})
		r.options.Loop.Post(func() {
			if err == nil && r.isCurrent(rack) {
				done()
			}
		})
	}()
}

func (r *Runner) readAllUsage() {
	for _, rack := range r.racks {
		for _, w := range rack.workers {
			if w.fenced && w.unreachableSince.IsZero() {
				r.readUsage(rack, w)
			}
		}
	}
}

func (r *Runner) readUsage(rack *ownedRack, w *worker) {
	client := w.client
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		usage, err := client.Usage(ctx)
		if err != nil {
			return
		}
		reports := make([]UsageReport, 0, len(usage.Tasks))
		for _, t := range usage.Tasks {
			reports = append(reports, UsageReport{
				Ref: Ref{Task: t.Task, Attempt: t.Attempt}, Worker: w.info.ID, Used: t.Used, Slowdown: t.Slowdown, Age: usage.Age,
			})
		}
		r.options.Loop.Post(func() {
			if r.isCurrent(rack) {
				rack.pendingUsage = append(rack.pendingUsage, reports...)
			}
		})
	}()
}

// refreshEndpoints updates the endpoints and the permits of one worker, and publishes all endpoints if these have
// changed.
func (r *Runner) refreshEndpoints(rack *ownedRack, w *worker) {
	var endpoints []api.Endpoint
	if w.fenced && w.unreachableSince.IsZero() {
		endpoints = r.endpointsOf(rack, w)
		r.permits.update(rack, w, endpoints)
	} else {
		r.permits.remove(w.info.ID)
	}
	if slices.Equal(endpoints, w.endpoints) {
		return
	}
	w.endpoints = endpoints
	r.publishEndpoints()
}

// publishEndpoints publishes the endpoints of the owned racks, sorted by task.
func (r *Runner) publishEndpoints() {
	var endpoints []api.Endpoint
	for _, rack := range r.racks {
		for _, w := range rack.workers {
			endpoints = append(endpoints, w.endpoints...)
		}
	}
	sortEndpoints(endpoints)
	r.options.EndpointsChanged(endpoints)
}

func sortEndpoints(endpoints []api.Endpoint) {
	slices.SortFunc(endpoints, func(a, b api.Endpoint) int { return strings.Compare(string(a.Task), string(b.Task)) })
}

func (r *Runner) endpointsOf(rack *ownedRack, w *worker) []api.Endpoint {
	var endpoints []api.Endpoint
	for task, a := range w.attempts {
		serving := a.status.State == api.SeenRunning || a.status.State == api.SeenThrottled
		if a.status.Kind != api.KindService || !serving || a.status.Addr == "" {
			continue
		}
		endpoints = append(endpoints, api.Endpoint{
			Service: a.status.Work, Task: task, Attempt: a.status.Attempt, Worker: w.info.ID, Addr: a.status.Addr,
			Location: w.info.Location, Owner: r.options.Self, Epoch: rack.epoch,
			Leaving: w.info.Leaving || r.drained[w.info.ID] || a.stopping,
		})
	}
	sortEndpoints(endpoints)
	return endpoints
}
