package execution

import "github.com/prometheus/client_golang/prometheus"

// backlogMetrics holds the metrics of the backlogs of queues.
type backlogMetrics struct {
	work *prometheus.GaugeVec
	rate *prometheus.GaugeVec
}

// Values of the label standing.
const (
	standingLabelInTime   = "in-time"
	standingLabelDeferred = "deferred"
)

func newBacklogMetrics(registry prometheus.Registerer) backlogMetrics {
	m := backlogMetrics{
		work: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "backlog_core_seconds", Help: "Waiting work of queues with a backlog, by queue and standing.",
		}, []string{"queue", "standing"}),
		rate: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "backlog_rate_cores", Help: "Rate at which the work of queues with a backlog ends, by queue.",
		}, []string{"queue"}),
	}
	registry.MustRegister(m.work, m.rate)
	return m
}

// observe sets the metrics of a queue, or removes them if it has no backlog.
func (m *backlogMetrics) observe(queue string, b *queueBacklog) {
	if b.forecast == nil {
		m.work.DeletePartialMatch(prometheus.Labels{"queue": queue})
		m.rate.DeleteLabelValues(queue)
		return
	}
	m.work.WithLabelValues(queue, standingLabelInTime).Set(b.forecast.InTime)
	m.work.WithLabelValues(queue, standingLabelDeferred).Set(b.forecast.Deferred)
	m.rate.WithLabelValues(queue).Set(b.forecast.Rate)
}
