package replay

import (
	"math"

	"bronzehook/api"
)

// The latency distribution of each task is sampled at equally likely points every requestSeconds.
const (
	latencySamples = 50
	requestSeconds = 5
)

// tails are the sampled points as negative logarithms of the part of requests that take longer.
var tails = func() (points [latencySamples]float64) {
	for i := range points {
		points[i] = -math.Log(1 - (float64(i)+0.5)/latencySamples)
	}
	return points
}()

// answerRequests shares the requests of each service evenly over its tasks, admits them on each worker and records their
// latency.
func (r *replayer) answerRequests() {
	if r.now%requestSeconds != 0 {
		return
	}
	for _, w := range r.workers {
		r.answerOn(w)
	}
	for _, s := range r.services {
		if s.running == 0 {
			r.offer(s, s.rate)
		}
	}
}

func (r *replayer) offer(s *workload, rate float64) {
	r.c.offered += rate
	if s.spec.Urgency >= api.High {
		r.c.urgentOffered += rate
	}
}

func (r *replayer) answerOn(w *worker) {
	var offered [api.UrgencyCount]float64
	for _, a := range w.attempts {
		if r.answers(a) {
			offered[a.work.spec.Urgency] += a.rate() * a.serviceMillis() / 1000
		}
	}
	admitted := r.policy.Admitter.Admit(slotsPerWorker, offered)
	total := 0.0
	for _, load := range admitted {
		total += load
	}
	model := newLatencyModel(slotsPerWorker, total)
	r.compareFloors(offered, admitted, model)
	for _, a := range w.attempts {
		if r.answers(a) {
			u := a.work.spec.Urgency
			r.record(a, admitted[u]/max(offered[u], 1e-9)/model.overload, model)
		}
	}
}

func (r *replayer) answers(a *attempt) bool {
	return a.work.spec.Kind == api.KindService && r.now >= a.runsFrom && a.stopsAt == 0
}

func (a *attempt) rate() float64 { return a.work.rate / float64(max(1, a.work.running)) }

func (a *attempt) serviceMillis() float64 { return a.work.truth.ServiceMillis * a.slowdown }

func (r *replayer) record(a *attempt, answeredShare float64, model latencyModel) {
	rate := a.rate()
	answered := rate * answeredShare
	r.offer(a.work, rate)
	r.c.answered += answered
	urgent := a.work.spec.Urgency >= api.High
	if urgent {
		r.c.urgentAnswered += answered
	}
	const microsPerMilli = 1000
	weight := int64(answered*microsPerMilli/latencySamples) + 1
	for _, tail := range tails {
		latency := int64(model.latency(a.serviceMillis(), tail) * microsPerMilli)
		latency = min(latency, maxLatencyMicros)
		_ = r.c.services.RecordValues(latency, weight)
		if urgent {
			_ = r.c.urgent.RecordValues(latency, weight)
		}
	}
}

// compareFloors sums, for each urgency during a flood, what its floor promises on a worker and how much of that was
// given. What a worker gives beyond the floor does not make up for what another one lacks.
func (r *replayer) compareFloors(offered, admitted [api.UrgencyCount]float64, model latencyModel) {
	if r.now < floodStart || r.now >= floodEnd {
		return
	}
	const percent = 100
	floors := DefaultFloors()
	for u := range offered {
		promised := min(offered[u], slotsPerWorker*usableShare*floors[u]/percent)
		r.c.floors[u].promised += promised
		r.c.floors[u].given += min(promised, admitted[u]/model.overload)
	}
}
