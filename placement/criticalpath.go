package placement

import (
	"time"

	"bronzehook/jobs"
)

// LateFactor times the objective of a job is the time from its submission to its late deadline, until which it still accrues a
// part of its value.
const LateFactor = 3

// Objective returns the time within which a job has to complete to accrue its full value: stretch times its critical path,
// plus a constant.
func Objective(spec *jobs.Spec, stretch float64, target time.Duration) time.Duration {
	all := func(int) bool { return true }
	return time.Duration(stretch*float64(CriticalPath(spec, all))) + target
}

// CriticalPath returns the estimated duration of the critical path through the steps for which counts is true.
func CriticalPath(spec *jobs.Spec, counts func(step int) bool) time.Duration {
	return LongestPath(spec, func(step int) time.Duration {
		if !counts(step) {
			return 0
		}
		return spec.Steps[step].Estimate
	})
}

// LongestPath returns the duration of the longest path through the steps, each of which takes what duration returns for it.
func LongestPath(spec *jobs.Spec, duration func(step int) time.Duration) time.Duration {
	finish := make([]time.Duration, len(spec.Steps))
	var longest time.Duration
	for i := range spec.Steps {
		for _, dependency := range spec.Steps[i].After {
			finish[i] = max(finish[i], finish[dependency])
		}
		finish[i] += duration(i)
		longest = max(longest, finish[i])
	}
	return longest
}
