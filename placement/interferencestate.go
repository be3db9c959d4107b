package placement

import (
	"cmp"
	"slices"
	"time"

	"bronzehook/jobs"
)

// maxExportedEffects bounds the pairs of images in the saved state. The pairs with the lowest variance are kept.
const maxExportedEffects = 2000

// Export returns the estimates that are independent of jobs, to be saved for a later leadership term.
func (m *InterferenceModel) Export() *jobs.InterferenceState {
	state := &jobs.InterferenceState{Lowest: make(map[string]int64, len(m.lowestTails))}
	for image, tail := range m.lowestTails {
		state.Lowest[image] = int64(tail)
	}
	for bestEffort, effects := range m.effects {
		for latencyCritical, effect := range effects {
			state.Effects = append(state.Effects, jobs.Effect{
				Serving: latencyCritical, Filler: bestEffort, Mean: effect.mean, Variance: effect.variance,
			})
		}
	}
	slices.SortFunc(state.Effects, func(a, b jobs.Effect) int {
		return cmp.Or(cmp.Compare(a.Variance, b.Variance), cmp.Compare(a.Serving, b.Serving), cmp.Compare(a.Filler, b.Filler))
	})
	state.Effects = state.Effects[:min(maxExportedEffects, len(state.Effects))]
	return state
}

// Restore loads the state that an earlier leadership term saved. Values out of range are ignored.
func (m *InterferenceModel) Restore(state *jobs.InterferenceState) {
	clear(m.compatibleShares)
	for image, tail := range state.Lowest {
		if tail > 0 {
			m.lowestTails[image] = time.Duration(tail)
		}
	}
	for _, effect := range state.Effects {
		inRange := effect.Mean >= 0 && effect.Mean <= maxPairEffect && effect.Variance > 0 && effect.Variance <= maxPairVariance
		if inRange {
			m.setEffect(effect.Serving, effect.Filler, estimate{effect.Mean, effect.Variance})
		}
	}
}
