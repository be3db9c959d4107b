package execution

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// interferenceMetrics holds the metrics of best-effort tasks beside latency-critical tasks.
type interferenceMetrics struct {
	pairs  *prometheus.GaugeVec
	limits *prometheus.CounterVec
	moves  prometheus.Counter
}

func newInterferenceMetrics(registry prometheus.Registerer) interferenceMetrics {
	m := interferenceMetrics{
		pairs: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "interference_pairs", Help: "Pairs of images whose interference is known, or is being tried out; on the leader.",
		}, []string{"state"}),
		limits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "cpu_limits_total", Help: "Changes of the CPU limit of a best-effort task, by kind.",
		}, []string{"kind"}),
		moves: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "interference_moves_total", Help: "Best-effort tasks moved away from latency-critical tasks.",
		}),
	}
	registry.MustRegister(m.pairs, m.limits, m.moves)
	return m
}

// limitChanged counts a change of a CPU limit.
func (m *interferenceMetrics) limitChanged(before, after int) {
	kind := "limit"
	switch {
	case after == 0:
		kind = "suspend"
	case after > before:
		kind = "relax"
	}
	m.limits.WithLabelValues(kind).Inc()
}

// interferenceReportInterval is the time between two reports for operators.
const interferenceReportInterval = 2 * time.Second

// reportInterference publishes what has been learned of the interference of images.
func (t *Term) reportInterference(now time.Duration) {
	if now < t.interferenceReportAt {
		return
	}
	t.interferenceReportAt = now + interferenceReportInterval
	pairs := t.interference.Report(t.colocations)
	known, tried := 0, 0
	for i := range pairs {
		switch {
		case pairs[i].Known:
			known++
		case pairs[i].Workers > 0:
			tried++
		}
	}
	t.opts.Metrics.interference.pairs.WithLabelValues("known").Set(float64(known))
	t.opts.Metrics.interference.pairs.WithLabelValues("tried").Set(float64(tried))
	t.opts.InterferenceBoard.Publish(pairs, now)
}

// endInterferenceReports removes the report when the term ends.
func (t *Term) endInterferenceReports() {
	t.opts.InterferenceBoard.Clear()
	t.opts.Metrics.interference.pairs.Reset()
}
