package placement

import (
	"cmp"
	"slices"
	"time"

	"bronzehook/jobs"
)

// maxEffects bounds the pairs of images that are handed on, the best known ones first.
const maxEffects = 2000

// Export returns what is known about images, to be handed on to a later term.
func (d *InterferenceModel) Export() *jobs.InterferenceState {
	experience := &jobs.InterferenceState{Lowest: make(map[string]int64, len(d.lowest))}
	for image, tail := range d.lowest {
		experience.Lowest[image] = int64(tail)
	}
	for p, effect := range d.effects {
		experience.Effects = append(experience.Effects, jobs.Effect{
			Serving: p.serving, Filler: p.filler, Mean: effect.mean, Variance: effect.variance,
		})
	}
	slices.SortFunc(experience.Effects, func(a, b jobs.Effect) int {
		return cmp.Or(cmp.Compare(a.Variance, b.Variance), cmp.Compare(a.Serving, b.Serving), cmp.Compare(a.Filler, b.Filler))
	})
	experience.Effects = experience.Effects[:min(maxEffects, len(experience.Effects))]
	return experience
}

// Restore takes up what an earlier term knew. Figures that make no sense are left out.
func (d *InterferenceModel) Restore(experience *jobs.InterferenceState) {
	for image, tail := range experience.Lowest {
		if tail > 0 {
			d.lowest[image] = time.Duration(tail)
		}
	}
	for _, effect := range experience.Effects {
		sensible := effect.Mean >= 0 && effect.Mean <= maxPairEffect && effect.Variance > 0 && effect.Variance <= pairVariance
		if sensible {
			d.effects[pair{effect.Serving, effect.Filler}] = estimate{effect.Mean, effect.Variance}
		}
	}
}
