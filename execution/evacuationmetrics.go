package execution

import (
	"github.com/prometheus/client_golang/prometheus"

	"bronzehook/evacuation"
)

// evacuationMetrics holds the metrics of evacuations.
type evacuationMetrics struct {
	left        *prometheus.GaugeVec
	moves       *prometheus.CounterVec
	placesLost  prometheus.Counter
	unplaceable prometheus.Counter
}

func newEvacuationMetrics(registry prometheus.Registerer) evacuationMetrics {
	m := evacuationMetrics{
		left: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "evacuation_tasks", Help: "Tasks in evacuated data centres, by data centre and kind; on the leader.",
		}, []string{"data_centre", "kind"}),
		moves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "evacuation_moves_total", Help: "Tasks stopped to be moved out of an evacuated data centre, by kind.",
		}, []string{"kind"}),
		placesLost: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "evacuation_places_lost_total", Help: "Places held for moved tasks that could not be used.",
		}),
		unplaceable: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "evacuation_unplaceable_total", Help: "Tasks that were found to be able to run in evacuated data centres only.",
		}),
	}
	registry.MustRegister(m.left, m.moves, m.placesLost, m.unplaceable)
	return m
}

// setLeft sets the number of tasks that are left in a data centre.
func (m *evacuationMetrics) setLeft(report *evacuation.DataCentreReport) {
	for _, kind := range evacuation.Kinds {
		m.left.WithLabelValues(report.DataCentre, kind.String()).Set(float64(report.Tasks[kind.String()]))
	}
}

// forget removes the values of a data centre that is not evacuated any more.
func (m *evacuationMetrics) forget(dataCentre string) {
	m.left.DeletePartialMatch(prometheus.Labels{"data_centre": dataCentre})
}
