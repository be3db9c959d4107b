package gateway

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bronzehook/admission"
	"bronzehook/api"
	"bronzehook/dispatch"
	"bronzehook/fault"
)

// maxTeamLabels bounds the teams with a label value of their own. Requests of further teams are counted as teamOther.
const maxTeamLabels = 54

// teamOther is the label value of all other teams. Callers choose the name of their team, so the number of label values
// must be bounded.
const teamOther = "other"

// latencyBuckets are the upper bounds of the latency histogram in seconds.
var latencyBuckets = []float64{
	0.0005, 0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.125, 0.25, 0.5, 1, 2, 4, 8, 16, 32, 64,
}

// hopKind is the reason why a request was sent to another instance.
type hopKind string

const (
	hopRack   hopKind = "rack"
	hopShard  hopKind = "shard"
	hopRegion hopKind = "region"
)

// Metrics holds the gateway's metrics.
type Metrics struct {
	latency  [api.UrgencyCount]prometheus.Observer
	outcomes *prometheus.CounterVec
	answered [api.UrgencyCount]prometheus.Counter
	requests *prometheus.CounterVec
	retries  prometheus.Counter
	hops     *prometheus.CounterVec
	teams    atomic.Pointer[map[string]prometheus.Counter]
}

// NewMetrics registers the gateway's metrics. The queue lengths are read from the controller at each scrape.
func NewMetrics(registry prometheus.Registerer, controller *admission.Controller) *Metrics {
	latency := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "bronzehook_request_seconds",
		Help:    "Time from a request's arrival to the end of its response.",
		Buckets: latencyBuckets,
	}, []string{"urgency"})
	m := &Metrics{
		outcomes: counters("bronzehook_request_outcomes_total", "Requests by outcome and reason.", "urgency", "outcome", "reason"),
		requests: counters("bronzehook_requests_total", "Requests by the caller's team.", "team"),
		hops:     counters("bronzehook_request_hops_total", "Requests handed to another instance.", "kind"),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bronzehook_request_retries_total", Help: "Automatic retries of idempotent requests.",
		}),
	}
	registry.MustRegister(latency, m.outcomes, m.requests, m.hops, m.retries)
	for u := range m.latency {
		name := api.Urgency(u).String()
		m.latency[u] = latency.WithLabelValues(name)
		m.answered[u] = m.outcomes.WithLabelValues(name, string(api.Answered), reasonNone)
		registry.MustRegister(queueGauge(controller, api.Urgency(u)))
	}
	m.setTeams(nil)
	return m
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

func queueGauge(controller *admission.Controller, u api.Urgency) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name:        "bronzehook_request_queue_length",
		Help:        "Requests that wait for admission.",
		ConstLabels: prometheus.Labels{"urgency": u.String()},
	}, func() float64 { return float64(controller.Waiting()[u]) })
}

// setTeams creates a counter for each of the first maxTeamLabels teams in the order of their names.
func (m *Metrics) setTeams(teams map[string]api.Team) {
	names := make([]string, 0, len(teams))
	for name := range teams {
		names = append(names, name)
	}
	slices.Sort(names)
	names = names[:min(len(names), maxTeamLabels)]
	byTeam := map[string]prometheus.Counter{teamOther: m.requests.WithLabelValues(teamOther)}
	for _, name := range names {
		byTeam[name] = m.requests.WithLabelValues(name)
	}
	m.deleteTeams(byTeam)
	m.teams.Store(&byTeam)
}

// deleteTeams deletes the counters of teams that are no longer configured. They would otherwise accumulate over changes
// of the configuration.
func (m *Metrics) deleteTeams(current map[string]prometheus.Counter) {
	previous := m.teams.Load()
	if previous == nil {
		return
	}
	for name := range *previous {
		if current[name] == nil {
			m.requests.DeleteLabelValues(name)
		}
	}
}

// observe records a finished request.
func (m *Metrics) observe(request dispatch.Request, outcome api.Outcome, reason string, duration time.Duration) {
	m.latency[request.Urgency].Observe(duration.Seconds())
	if outcome == api.Answered {
		m.answered[request.Urgency].Inc()
	} else {
		m.outcomes.WithLabelValues(request.Urgency.String(), string(outcome), boundedReason(reason)).Inc()
	}
	teams := *m.teams.Load()
	counter := teams[request.Team]
	if counter == nil {
		counter = teams[teamOther]
	}
	counter.Inc()
}

// boundedReason returns the label value for a reason. Codes that package fault does not define, such as those made
// up by a worker, share one value, so that the number of label values stays bounded.
func boundedReason(reason string) string {
	if slices.Contains(knownReasons, reason) {
		return reason
	}
	return string(fault.CodeInternal)
}

var knownReasons = reasonNames()

func reasonNames() []string {
	codes := fault.Codes()
	names := make([]string, 0, len(codes))
	for _, code := range codes {
		names = append(names, string(code))
	}
	return names
}

// countHop counts a request that is sent to another instance.
func (m *Metrics) countHop(kind hopKind) { m.hops.WithLabelValues(string(kind)).Inc() }
