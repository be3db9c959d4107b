package bodylimit

import "github.com/prometheus/client_golang/prometheus"

// Metrics are the metrics of the budgets and listeners of a process.
type Metrics struct {
	registry    prometheus.Registerer
	refused     *prometheus.CounterVec
	connections *prometheus.GaugeVec
	closed      *prometheus.CounterVec
}

// NewMetrics registers the metrics.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		registry: registry,
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bronzehook_bodies_refused_total", Help: "Request bodies that were refused, by reason.",
		}, []string{"bodies", "reason"}),
		connections: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "bronzehook_connections", Help: "Open connections by listener.",
		}, []string{"listener"}),
		closed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bronzehook_connections_closed_total", Help: "Connections closed to make room for others, by listener.",
		}, []string{"listener"}),
	}
	registry.MustRegister(m.refused, m.connections, m.closed)
	return m
}

// budgetStats counts the refused bodies of one budget.
type budgetStats struct {
	refused *prometheus.CounterVec
	name    string
}

func (m *Metrics) budget(name string, b *Budget) *budgetStats {
	if m == nil {
		return nil
	}
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "bronzehook_body_bytes", Help: "Memory claimed for request bodies, in bytes.",
		ConstLabels: prometheus.Labels{"bodies": name},
	}, func() float64 { return float64(b.Bytes()) }))
	return &budgetStats{refused: m.refused, name: name}
}

func (s *budgetStats) countRefused(reason Reason) {
	if s != nil {
		s.refused.WithLabelValues(s.name, string(reason)).Inc()
	}
}
