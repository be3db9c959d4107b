package execution

import (
	"github.com/prometheus/client_golang/prometheus"

	"bronzehook/locality"
)

// Kinds of the decisions on near places: for a task that is to run near its data, and for a group that is to run on one rack.
const (
	nearData  = "data"
	nearGroup = "group"
)

// localityMetrics holds the metrics of decisions on near places.
type localityMetrics struct{ decisions *prometheus.CounterVec }

func newLocalityMetrics(registry prometheus.Registerer) localityMetrics {
	m := localityMetrics{decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "locality_decisions_total",
		Help: "Decisions whether a task or group waits for a near place, by kind and outcome; repeated ones count once.",
	}, []string{"kind", "outcome"})}
	for _, outcome := range locality.Outcomes {
		for _, kind := range []string{nearData, nearGroup} {
			m.decisions.WithLabelValues(kind, outcome.String())
		}
	}
	registry.MustRegister(m.decisions)
	return m
}
