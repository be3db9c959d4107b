package placement

import (
	"cmp"
	"math"
	"slices"
)

// PairReport is what is known of a pair of images.
type PairReport struct {
	LatencyCritical string `json:"latency_critical"`
	BestEffort      string `json:"best_effort"`
	// Effect is the estimated load that best-effort tasks of the image add if they use a whole worker, Deviation its standard
	// deviation.
	Effect    float64 `json:"effect"`
	Deviation float64 `json:"deviation"`
	// Known is set once the effect is known well enough for the pair to run on any number of workers.
	Known bool `json:"known"`
	// Workers counts the workers on which both run.
	Workers int `json:"workers"`
}

// Report returns the pairs of images that have been measured together or run together now, those with the largest effects first.
func (m *InterferenceModel) Report(c *Colocations) []PairReport {
	var pairs []PairReport
	add := func(p pair, effect estimate) {
		report := PairReport{
			LatencyCritical: p.latencyCritical, BestEffort: p.bestEffort, Effect: effect.mean,
			Deviation: math.Sqrt(effect.variance), Known: effect.variance <= triedPairVariance,
		}
		if state := c.pairs[p]; state != nil {
			report.Workers = state.workers
		}
		pairs = append(pairs, report)
	}
	for bestEffort, effects := range m.effects {
		for latencyCritical, effect := range effects {
			add(pair{latencyCritical, bestEffort}, effect)
		}
	}
	for p, state := range c.pairs {
		if effect, measured := m.effects[p.bestEffort].on(p.latencyCritical); !measured && state.workers > 0 {
			add(p, effect)
		}
	}
	slices.SortFunc(pairs, func(a, b PairReport) int {
		return cmp.Or(cmp.Compare(b.Effect, a.Effect), cmp.Compare(a.LatencyCritical, b.LatencyCritical), cmp.Compare(a.BestEffort, b.BestEffort))
	})
	return pairs
}
