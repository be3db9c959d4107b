package placement

import (
	"time"

	"bronzehook/jobs"
)

// The load of latency-critical tasks swings, and a measurement shows it late: it covers the last half second and is up to
// 0.6 s old, and a CPU limit takes effect 0.1 s later. So the mitigation acts on the load that is expected by then.
const (
	// slopeInterval is the least time over which the growth of a load is measured; over less, sample noise dominates.
	slopeInterval = 500 * time.Millisecond
	// slopeValidity is how long a measured growth is assumed to go on.
	slopeValidity = 2 * time.Second
	// measurementLag is the time for which a load is extrapolated. In the model of package mitigation, 0.2 s leave a third
	// more time over target, and 0.4 s need a fifth more throttle commands.
	measurementLag = 300 * time.Millisecond
	// maxExpectedRise bounds what is added to a load.
	maxExpectedRise = 0.15
)

// updateSlope measures the growth of the load.
func (l *jobLoad) updateSlope(at time.Duration) {
	elapsed := at - l.referenceAt
	if elapsed < slopeInterval {
		return
	}
	l.slope = (l.mean - l.reference) / elapsed.Seconds()
	l.reference, l.referenceAt = l.mean, at
}

// ExpectedRise returns by how much the intrinsic load of a job has risen since it was measured, as far as its growth went on; 0
// if it falls.
func (m *InterferenceModel) ExpectedRise(id jobs.ID, now time.Duration) float64 {
	load := m.loads[id]
	if load == nil || now-load.referenceAt > slopeValidity {
		return 0
	}
	return clamp(load.slope*measurementLag.Seconds(), 0, maxExpectedRise)
}
