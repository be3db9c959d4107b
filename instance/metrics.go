package instance

import (
	"github.com/prometheus/client_golang/prometheus"

	"bronzehook/api"
)

func (i *Instance) registerMetrics() {
	i.gauge("bronzehook_config_revision", "Configuration revision in force.", func() float64 {
		return float64(i.rollout.Snapshot().Revision)
	})
	i.gauge("bronzehook_authority", "1 while this instance holds authority.", func() float64 {
		return boolValue(i.members.Valid())
	})
	i.gauge("bronzehook_ready", "1 while this instance takes new work.", func() float64 {
		return boolValue(i.gate.ready() == nil)
	})
	i.gauge("bronzehook_units_owned", "Units that this instance owns.", func() float64 {
		owned := 0
		for _, owner := range i.owners.View().Units {
			if owner.Instance == i.options.Self.ID {
				owned++
			}
		}
		return float64(owned)
	})
	i.gauge("bronzehook_workers_reachable", "Workers of owned racks that answered their last inventory.", func() float64 {
		return float64(i.runner.Reachable())
	})
	i.gauge("bronzehook_coordinator", "1 while this instance owns the coordinator duty.", func() float64 {
		return boolValue(i.owners.View().Units[api.Coordinator].Instance == i.options.Self.ID)
	})
	i.gauge("bronzehook_audit_pending", "Audit events that the table does not hold yet.", func() float64 {
		return float64(i.trail.Pending())
	})
	i.gauge("bronzehook_audit_dropped", "Audit events lost because the memory for them was full.", func() float64 {
		return float64(i.trail.Dropped())
	})
	i.gauge("bronzehook_requests_in_flight", "Requests in flight on this instance.", func() float64 {
		return float64(i.gateway.InFlight())
	})
	i.registry.MustRegister(trafficCollector{i})
}

func (i *Instance) gauge(name, help string, value func() float64) {
	i.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

var trafficDesc = prometheus.NewDesc("bronzehook_peer_bytes_total",
	"Bytes to and from other instances, by their region, purpose and direction.", []string{"region", "purpose", "direction"}, nil)

// trafficCollector exports the byte counts of the transport.
type trafficCollector struct{ *Instance }

// Describe implements prometheus.Collector.
func (c trafficCollector) Describe(out chan<- *prometheus.Desc) { out <- trafficDesc }

// Collect implements prometheus.Collector.
func (c trafficCollector) Collect(out chan<- prometheus.Metric) {
	for _, t := range c.transport.Traffic() {
		for direction, bytes := range map[string]uint64{"in": t.In, "out": t.Out} {
			out <- prometheus.MustNewConstMetric(trafficDesc, prometheus.CounterValue, float64(bytes),
				t.Region, t.Class.String(), direction)
		}
	}
}
