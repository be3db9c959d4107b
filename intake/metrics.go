package intake

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bronzehook/fault"
)

// Metrics holds the metrics of callers' requests.
type Metrics struct {
	requests *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	// decisions counts the decisions on the admission of jobs.
	decisions *prometheus.CounterVec
}

// NewMetrics returns metrics that are registered with the registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "bronzehook", Name: "requests_total", Help: "Callers' requests, by call and outcome.",
		}, []string{"call", "outcome"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "bronzehook", Name: "request_seconds", Help: "Duration of callers' requests, by call.",
			Buckets: []float64{.002, .005, .01, .02, .05, .1, .2, .5, 1, 3},
		}, []string{"call"}),
	}
	m.decisions = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "bronzehook", Name: "admission_decisions_total", Help: "Decisions on the admission of jobs, by outcome and reason.",
	}, []string{"outcome", "reason"})
	registry.MustRegister(m.requests, m.seconds, m.decisions)
	return m
}

// outcomeGood is the outcome label of a successful request; others have the fault code as label.
const outcomeGood = "good"

// observe counts a finished request and its duration.
func (m *Metrics) observe(call string, started time.Time, err error) {
	outcome := outcomeGood
	if err != nil {
		outcome = string(fault.CodeOf(err))
	}
	m.requests.WithLabelValues(call, outcome).Inc()
	m.seconds.WithLabelValues(call).Observe(time.Since(started).Seconds())
}

// Labels of a decision on the admission of a job. Further reasons are those of package jobadmission.
const (
	outcomeAccepted = "accepted"
	outcomeRefused  = "refused"
	// These reasons mean that a job which would have been refused is stored already, may be stored, or may yet be stored by an
	// earlier submission.
	reasonStored     = "stored"
	reasonUnreadable = "unreadable"
	reasonUncertain  = "uncertain"
)

// decided counts a decision on the admission of a job.
func (m *Metrics) decided(outcome, reason string) { m.decisions.WithLabelValues(outcome, reason).Inc() }
