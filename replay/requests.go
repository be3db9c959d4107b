package replay

import (
	"math/rand/v2"
	"time"

	"bronzehook/api"
)

// requestSeconds is the period at which the requests of each worker are simulated for requestWindow; each simulated
// request stands for all of a period. Queues are carried over from one window to the next.
const (
	requestSeconds = 5
	requestWindow  = 100 * time.Millisecond
)

// callerDeadline is the time after which callers give up.
const callerDeadline = time.Second

// Execution times are spread by a fifth.
const (
	fixedShare  = 0.8
	spreadShare = 1 - fixedShare
)

// stream is the requests of one task.
type stream struct {
	attempt *attempt
	rate    float64
}

// requestModel simulates the requests of a worker one by one on a clock of its own.
type requestModel struct {
	admitter Admitter
	rng      *rand.Rand
	now      time.Time
	running  []*Request
	streams  []stream
	rate     float64
	floors   [api.UrgencyCount]floorAccount
}

// floorAccount compares what an urgency was given during a flood with what a private server of its floor would have
// done with the same arrivals, all in seconds of execution.
type floorAccount struct {
	// offered is that of the current window, arrived that of all windows.
	offered, arrived, backlog, promised, given float64
}

// close ends a window: the private server works off its backlog, of which callers wait for no more than
// callerDeadline's worth. What it leaves unused is lent and not owed later.
func (f *floorAccount) close(percent float64) {
	const whole = 100
	server := slotsPerWorker * percent / whole
	f.backlog += f.offered
	f.arrived += f.offered
	f.offered = 0
	served := min(f.backlog, server*requestWindow.Seconds())
	f.promised += served
	f.backlog = min(f.backlog-served, server*callerDeadline.Seconds())
}

func newRequestModel(admitter NewAdmitter, seed, worker uint64) *requestModel {
	m := &requestModel{rng: rand.New(rand.NewPCG(seed, worker)), now: epoch}
	m.admitter = admitter(slotsPerWorker, m.grant)
	return m
}

func (m *requestModel) grant(r *Request) {
	r.ends = m.now.Add(r.execution)
	m.running = append(m.running, r)
}

// answerRequests shares the requests of each service evenly over its tasks, simulates them on each worker and records
// their latency.
func (r *replayer) answerRequests() {
	if r.now%requestSeconds != 0 {
		return
	}
	for _, w := range r.workers {
		r.answerOn(w)
	}
	for _, s := range r.services {
		if s.running == 0 {
			r.offer(s, s.rate*requestWindow.Seconds())
		}
	}
}

func (r *replayer) offer(s *workload, requests float64) {
	r.c.offered += requests
	if s.spec.Urgency >= api.High {
		r.c.urgentOffered += requests
	}
}

func (r *replayer) answerOn(w *worker) {
	m := w.requests
	m.streams, m.rate = m.streams[:0], 0
	for _, a := range w.attempts {
		if r.answers(a) {
			m.streams = append(m.streams, stream{attempt: a, rate: a.rate()})
			m.rate += a.rate()
		}
	}
	flooded := r.now >= floodStart && r.now < floodEnd
	r.simulate(m, m.now.Add(requestWindow), flooded)
	if flooded {
		m.closeFloors()
	}
}

// simulate runs arrivals and ends in order of time until the end of a window.
func (r *replayer) simulate(m *requestModel, until time.Time, flooded bool) {
	arrival := m.nextArrival(until)
	for {
		first := m.firstEnd()
		if first >= 0 && !m.running[first].ends.After(arrival) && m.running[first].ends.Before(until) {
			r.complete(m, first, flooded)
			continue
		}
		if !arrival.Before(until) {
			break
		}
		m.now = arrival
		request := m.arrive()
		r.offer(request.work, 1)
		if flooded {
			m.floors[request.Urgency].offered += request.execution.Seconds()
		}
		m.admitter.Offer(m.now, request)
		arrival = m.nextArrival(until)
	}
	m.now = until
}

func (m *requestModel) closeFloors() {
	for u, percent := range DefaultFloors() {
		m.floors[u].close(percent)
	}
}

// nextArrival draws the time of the next arrival; without streams it is the end of the window.
func (m *requestModel) nextArrival(until time.Time) time.Time {
	if m.rate == 0 {
		return until
	}
	return m.now.Add(time.Duration(m.rng.ExpFloat64() / m.rate * float64(time.Second)))
}

// firstEnd returns the index of the running request that ends first, or -1.
func (m *requestModel) firstEnd() int {
	first := -1
	for i, request := range m.running {
		if first < 0 || request.ends.Before(m.running[first].ends) {
			first = i
		}
	}
	return first
}

func (m *requestModel) arrive() *Request {
	at := m.rng.Float64() * m.rate
	chosen := &m.streams[len(m.streams)-1]
	for i := range m.streams {
		if at < m.streams[i].rate {
			chosen = &m.streams[i]
			break
		}
		at -= m.streams[i].rate
	}
	a := chosen.attempt
	millis := a.serviceMillis() * (fixedShare + spreadShare*m.rng.ExpFloat64())
	return &Request{
		Urgency: a.work.spec.Urgency, Service: a.Work, Deadline: m.now.Add(callerDeadline),
		work: a.work, arrived: m.now, execution: time.Duration(millis * float64(time.Millisecond)),
	}
}

// complete ends a running request and records it if its caller still waits.
func (r *replayer) complete(m *requestModel, index int, flooded bool) {
	request := m.running[index]
	m.running[index] = m.running[len(m.running)-1]
	m.running = m.running[:len(m.running)-1]
	m.now = request.ends
	if !request.ends.After(request.Deadline) {
		r.record(request)
		if flooded {
			m.floors[request.Urgency].given += request.execution.Seconds()
		}
	}
	m.admitter.Release(m.now, request)
}

func (r *replayer) record(request *Request) {
	latency := min(request.ends.Sub(request.arrived).Microseconds(), maxLatencyMicros)
	r.c.answered++
	_ = r.c.services.RecordValue(latency)
	if request.Urgency >= api.High {
		r.c.urgentAnswered++
		_ = r.c.urgent.RecordValue(latency)
	}
}

func (r *replayer) answers(a *attempt) bool {
	return a.work.spec.Kind == api.KindService && r.now >= a.runsFrom && a.stopsAt == 0
}

func (a *attempt) rate() float64 { return a.work.rate / float64(max(1, a.work.running)) }

func (a *attempt) serviceMillis() float64 { return a.work.truth.ServiceMillis * a.slowdown }

// floorsKept returns the smallest part of its floor that an urgency below critical was given during the flood. What a
// worker gives beyond the floor does not make up for what another one lacks.
func (r *replayer) floorsKept() float64 {
	kept := 1.0
	for u := range int(api.Critical) {
		given, promised := 0.0, 0.0
		for _, w := range r.workers {
			account := &w.requests.floors[u]
			promised += account.promised
			given += min(account.promised, account.given)
		}
		kept = min(kept, ratioOf(given, promised))
	}
	return kept
}
