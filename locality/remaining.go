package locality

import "time"

// Run describes a running attempt.
type Run struct {
	// Estimate is the estimated run time on its worker.
	Estimate time.Duration
	// Ran is for how long it has run, 0 if unknown. It had run for RanAtProgress when it reported Progress, in percent.
	Ran, RanAtProgress time.Duration
	Progress           int
	// Resumed is set if it continues from a checkpoint, so that its progress says nothing about its speed.
	Resumed bool
}

// minJudgedProgress is the progress in percent below which the run time is not extrapolated: tasks are slower while they start.
const minJudgedProgress = 20

// overdueShare is the least remaining time of an attempt that has run for longer than expected, as a share of what was expected.
const overdueShare = 0.1

// Remaining returns for how long an attempt is expected to run. One that has run for longer than expected is expected to run for
// as long again as it is overdue: how wrong the estimate is shows only from how long it has been wrong. Without an estimate the
// result is Never.
func (r *Run) Remaining() time.Duration {
	expected := r.Estimate
	if r.Progress >= minJudgedProgress && r.Progress <= 100 && r.RanAtProgress > 0 && !r.Resumed {
		expected = r.RanAtProgress * 100 / time.Duration(r.Progress)
	}
	if expected <= 0 {
		return Never
	}
	if left := expected - r.Ran; left > 0 {
		return left
	}
	return max(r.Ran-expected, time.Duration(overdueShare*float64(expected)))
}
