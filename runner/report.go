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

// report returns what the coordinator has to know of the worker.
func (w *worker) report() WorkerReport {
	return WorkerReport{Worker: w.info.ID, Reachable: w.unreachableSince.IsZero(), Leaving: w.info.Leaving}
}

// ReportFully sends a full report of every rack. It is called when the coordinator has changed.
func (r *Runner) ReportFully() {
	for _, owned := range r.racks {
		owned.fullReport = owned.claimedAt
	}
	r.reportAll()
}

func (r *Runner) reportAll() {
	for _, owned := range r.racks {
		r.report(owned)
	}
}

// report sends what has changed in a rack. Ended attempts are sent again until they are recorded.
func (r *Runner) report(owned *rack) {
	now := r.options.Clock.Now()
	if owned.reporting {
		return
	}
	full := owned.fullReport.Equal(owned.claimedAt) || now.Sub(owned.fullReport) >= FullReportInterval
	message := Report{From: r.options.Self, Unit: owned.unit, Epoch: owned.epoch, Full: full, Usage: owned.pendingUse}
	for id, w := range owned.workers {
		if state := w.report(); full || state != w.reported {
			message.Workers = append(message.Workers, state)
		}
		for _, a := range w.attempts {
			if full || a.changed || a.status.State.Ended() {
				message.Attempts = append(message.Attempts, a.report(id))
			}
		}
	}
	if !full && len(message.Attempts) == 0 && len(message.Usage) == 0 && len(message.Workers) == 0 {
		return
	}
	owned.reporting = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		reply, err := r.options.Reporter.Report(ctx, message)
		r.options.Loop.Post(func() {
			owned.reporting = false
			if !r.holds(owned) {
				return
			}
			if err != nil {
				r.log.Debug().Str(logging.KeyUnit, owned.unit.Key()).Err(err).Msg("report not delivered")
				return
			}
			if full {
				owned.fullReport = now
			}
			owned.pendingUse = nil
			r.reported(owned, message, reply)
		})
	}()
}

func (r *Runner) reported(owned *rack, message Report, reply ReportReply) {
	for _, sent := range message.Workers {
		owned.workers[sent.Worker].reported = sent
	}
	for _, sent := range message.Attempts {
		a := owned.workers[sent.Worker].attempts[sent.Task]
		if a != nil && a.status.Attempt == sent.Attempt && a.status.State == sent.State {
			a.changed = false
		}
	}
	for _, ref := range reply.Recorded {
		for _, w := range owned.workers {
			r.forget(owned, w, ref)
		}
	}
}

// forget drops an ended attempt that is recorded, here and on the worker.
func (r *Runner) forget(owned *rack, w *worker, ref Ref) {
	a := w.attempts[ref.Task]
	if a == nil || a.status.Attempt != ref.Attempt || !a.status.State.Ended() {
		return
	}
	if !w.fenced || !w.unreachableSince.IsZero() {
		return
	}
	r.ackOnWorker(owned, w, ref, func() {
		if w.attempts[ref.Task] == a {
			owned.refused[ref.Task] = max(owned.refused[ref.Task], ref.Attempt)
			delete(w.attempts, ref.Task)
		}
	})
}

// ackOnWorker lets the worker forget an ended attempt and then calls done on the control goroutine.
func (r *Runner) ackOnWorker(owned *rack, w *worker, ref Ref, done func()) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		err := w.client.Ack(ctx, backend.TaskRef{Task: ref.Task, Attempt: ref.Attempt, Epoch: owned.epoch})
		r.options.Loop.Post(func() {
			if err == nil && r.holds(owned) {
				done()
			}
		})
	}()
}

func (r *Runner) usageAll() {
	for _, owned := range r.racks {
		for _, w := range owned.workers {
			if w.fenced && w.unreachableSince.IsZero() {
				r.readUsage(owned, w)
			}
		}
	}
}

func (r *Runner) readUsage(owned *rack, w *worker) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		usage, err := w.client.Usage(ctx)
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
			if r.holds(owned) {
				owned.pendingUse = append(owned.pendingUse, reports...)
			}
		})
	}()
}

// refreshEndpoints brings the endpoints of one worker up to date and publishes all of them if these have changed.
func (r *Runner) refreshEndpoints(owned *rack, w *worker) {
	var own []api.Endpoint
	if w.fenced && w.unreachableSince.IsZero() {
		own = r.endpointsOf(owned, w)
		r.permits.set(owned, w, own)
	} else {
		r.permits.remove(w.info.ID)
	}
	if slices.Equal(own, w.endpoints) {
		return
	}
	w.endpoints = own
	r.publishEndpoints()
}

// publishEndpoints hands out the endpoints of the owned racks, in a fixed order.
func (r *Runner) publishEndpoints() {
	var endpoints []api.Endpoint
	for _, owned := range r.racks {
		for _, w := range owned.workers {
			endpoints = append(endpoints, w.endpoints...)
		}
	}
	sortEndpoints(endpoints)
	r.options.EndpointsChanged(endpoints)
}

func sortEndpoints(endpoints []api.Endpoint) {
	slices.SortFunc(endpoints, func(a, b api.Endpoint) int { return strings.Compare(string(a.Task), string(b.Task)) })
}

func (r *Runner) endpointsOf(owned *rack, w *worker) []api.Endpoint {
	var endpoints []api.Endpoint
	for task, a := range w.attempts {
		serves := a.status.State == api.SeenRunning || a.status.State == api.SeenThrottled
		if a.status.Kind != api.KindService || !serves || a.status.Addr == "" {
			continue
		}
		endpoints = append(endpoints, api.Endpoint{
			Service: a.status.Work, Task: task, Attempt: a.status.Attempt, Worker: w.info.ID, Addr: a.status.Addr,
			Location: w.info.Location, Owner: r.options.Self, Epoch: owned.epoch,
			Leaving: w.info.Leaving || r.drained[w.info.ID] || a.stopping,
		})
	}
	sortEndpoints(endpoints)
	return endpoints
}
