package placement

import (
	"time"

	"bronzehook/jobs"
)

// Objective returns the time within which a job has to complete to accrue its full value: stretch times its critical path,
// plus a constant.
func Objective(spec *jobs.Spec, stretch float64, target time.Duration) time.Duration {
	all := func(int) bool { return true }
	return time.Duration(stretch*float64(CriticalPath(spec, all))) + target
}

// CriticalPath returns the estimated duration of the critical path through the steps for which counts is true.
func CriticalPath(spec *jobs.Spec, counts func(step int) bool) time.Duration {
	finish := make([]time.Duration, len(spec.Steps))
	var longest time.Duration
	for i := range spec.Steps {
		step := &spec.Steps[i]
		for _, dependency := range step.After {
			finish[i] = max(finish[i], finish[dependency])
		}
		if counts(i) {
			finish[i] += step.Estimate
		}
		longest = max(longest, finish[i])
	}
	return longest
}
