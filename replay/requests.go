package replay

import (
	"math/rand/v2"
	"time"

	"bronzehook/api"
)

// Every requestSeconds, the requests of each worker are simulated for one requestWindow, as a sample of the whole
// interval. Queues are carried over from one window to the next.
const (
	requestSeconds = 5
	requestWindow  = 100 * time.Millisecond
)

// callerDeadline is the time after which a caller abandons its request.
const callerDeadline = time.Second

// An execution time consists of a fixed part and an exponentially distributed part, as fractions of the mean.
const (
	fixedPart    = 0.8
	variablePart = 1 - fixedPart
)

// requestStream is the stream of requests to one task.
type requestStream struct {
	attempt *attempt
	rate    float64
}

// requestModel simulates the individual requests of a worker in virtual time of its own, which advances only during
// windows.
type requestModel struct {
	admitter   Admitter
	rng        *rand.Rand
	now        time.Time
	running    []*Request
	streams    []requestStream
	rate       float64
	guarantees [api.UrgencyCount]guaranteeAccount
}

// guaranteeAccount compares the service that an urgency received during a flood with a dedicated server that has the
// capacity of the urgency's guaranteed share (floor) and gets the same arrivals. All values are in seconds of execution.
type guaranteeAccount struct {
	// windowOffered is the load of the current window and offered that of all closed windows; backlog is what the
	// dedicated server has queued, guaranteed what it has executed, and received what requests that met
	// their deadline took on the worker.
	windowOffered, offered, backlog, guaranteed, received float64
}

// closeWindow ends a window. The dedicated server executes its backlog, which is capped at the work of callerDeadline,
// as callers wait no longer. Capacity that it leaves unused is not credited to later windows.
func (a *guaranteeAccount) closeWindow(percent float64) {
	const hundredPercent = 100
	server := slotsPerWorker * percent / hundredPercent
	a.backlog += a.windowOffered
	a.offered += a.windowOffered
	a.windowOffered = 0
	executed := min(a.backlog, server*requestWindow.Seconds())
	a.guaranteed += executed
	a.backlog = min(a.backlog-executed, server*callerDeadline.Seconds())
}

func newRequestModel(admitter NewAdmitter, seed, worker uint64) *requestModel {
	m := &requestModel{rng: rand.New(rand.NewPCG(seed, worker)), now: traceStart}
	m.admitter = admitter(slotsPerWorker, m.grant)
	return m
}

func (m *requestModel) grant(r *Request) {
	r.endsAt = m.now.Add(r.executionTime)
	m.running = append(m.running, r)
}

// simulateRequests distributes the requests of each service evenly over its tasks, simulates them on each worker and
// records their latency. Requests to services without a running task count as offered.
func (r *replayer) simulateRequests() {
	if r.now%requestSeconds != 0 {
		return
	}
	for _, w := range r.workers {
		r.simulateWorker(w)
	}
	for _, s := range r.services {
		if s.running == 0 {
			r.countOffered(s, s.rate*requestWindow.Seconds())
		}
	}
}

func (r *replayer) countOffered(s *workload, requests float64) {
	r.counters.offered += requests
	if s.spec.Urgency >= api.High {
		r.counters.urgentOffered += requests
	}
}

func (r *replayer) simulateWorker(w *worker) {
	m := w.requests
	m.streams, m.rate = m.streams[:0], 0
	for _, a := range w.attempts {
		if r.servesRequests(a) {
			m.streams = append(m.streams, requestStream{attempt: a, rate: a.requestRate()})
			m.rate += a.requestRate()
		}
	}
	flooded := r.now >= floodStart && r.now < floodEnd
	r.simulateWindow(m, m.now.Add(requestWindow), flooded)
	if flooded {
		m.closeGuaranteeWindows()
	}
}

// simulateWindow processes arrivals and completions in order of time until the end of a window.
func (r *replayer) simulateWindow(m *requestModel, until time.Time, flooded bool) {
	arrival := m.nextArrival(until)
	for {
		first := m.firstCompletion()
		if first >= 0 && !m.running[first].endsAt.After(arrival) && m.running[first].endsAt.Before(until) {
			r.completeRequest(m, first, flooded)
			continue
		}
		if !arrival.Before(until) {
			break
		}
		m.now = arrival
		request := m.drawRequest()
		r.countOffered(request.workload, 1)
		if flooded {
			m.guarantees[request.Urgency].windowOffered += request.executionTime.Seconds()
		}
		m.admitter.Offer(m.now, request)
		arrival = m.nextArrival(until)
	}
	m.now = until
}

func (m *requestModel) closeGuaranteeWindows() {
	for u, percent := range DefaultFloors() {
		m.guarantees[u].closeWindow(percent)
	}
}

// nextArrival draws the time of the next arrival. Without streams it returns the end of the window.
func (m *requestModel) nextArrival(until time.Time) time.Time {
	if m.rate == 0 {
		return until
	}
	return m.now.Add(time.Duration(m.rng.ExpFloat64() / m.rate * float64(time.Second)))
}

// firstCompletion returns the index of the running request that ends first, or -1 if none is running.
func (m *requestModel) firstCompletion() int {
	first := -1
	for i, request := range m.running {
		if first < 0 || request.endsAt.Before(m.running[first].endsAt) {
			first = i
		}
	}
	return first
}

func (m *requestModel) drawRequest() *Request {
	position := m.rng.Float64() * m.rate
	chosen := &m.streams[len(m.streams)-1]
	for i := range m.streams {
		if position < m.streams[i].rate {
			chosen = &m.streams[i]
			break
		}
		position -= m.streams[i].rate
	}
	a := chosen.attempt
	millis := a.serviceMillis() * (fixedPart + variablePart*m.rng.ExpFloat64())
	return &Request{
		Urgency: a.workload.spec.Urgency, Service: a.Work, Deadline: m.now.Add(callerDeadline),
		workload: a.workload, arrivedAt: m.now, executionTime: time.Duration(millis * float64(time.Millisecond)),
	}
}

// completeRequest ends a running request and records its latency if it met its deadline.
func (r *replayer) completeRequest(m *requestModel, index int, flooded bool) {
	request := m.running[index]
	m.running[index] = m.running[len(m.running)-1]
	m.running = m.running[:len(m.running)-1]
	m.now = request.endsAt
	if !request.endsAt.After(request.Deadline) {
		r.recordLatency(request)
		if flooded {
			m.guarantees[request.Urgency].received += request.executionTime.Seconds()
		}
	}
	m.admitter.Release(m.now, request)
}

func (r *replayer) recordLatency(request *Request) {
	latency := min(request.endsAt.Sub(request.arrivedAt).Microseconds(), maxLatencyMicros)
	r.counters.answered++
	_ = r.counters.serviceLatency.RecordValue(latency)
	if request.Urgency >= api.High {
		r.counters.urgentAnswered++
		_ = r.counters.urgentLatency.RecordValue(latency)
	}
}

func (r *replayer) servesRequests(a *attempt) bool {
	return a.workload.spec.Kind == api.KindService && r.now >= a.runningFrom && a.stopsAt == 0
}

func (a *attempt) requestRate() float64 { return a.workload.rate / float64(max(1, a.workload.running)) }

func (a *attempt) serviceMillis() float64 { return a.workload.truth.ServiceMillis * a.slowdown }

// minGuaranteeKept returns the smallest fraction of its guaranteed share that an urgency below critical received during
// the flood. A surplus on one worker does not make up for a deficit on another.
func (r *replayer) minGuaranteeKept() float64 {
	minimum := 1.0
	for u := range int(api.Critical) {
		received, guaranteed := 0.0, 0.0
		for _, w := range r.workers {
			account := &w.requests.guarantees[u]
			guaranteed += account.guaranteed
			received += min(account.guaranteed, account.received)
		}
		minimum = min(minimum, ratio(received, guaranteed))
	}
	return minimum
}
