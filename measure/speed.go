package measure

import (
	"crypto/sha256"
	"slices"
	"time"
)

// A measurement hashes hashedBytes samplesPerMeasurement times and takes the median duration: a sample may be
// interrupted, and a clock that was just corrected may show that no time has passed.
const (
	hashedBytes           = 32 << 10
	samplesPerMeasurement = 5
)

// A measurement shorter than muchFasterFactor times the best one only becomes the new best after minConsecutive of them
// in a row, where the shorter of two successive ones has to be at least agreementFactor times the longer one: on a busy
// machine the clock may stand still for a whole measurement.
const (
	muchFasterFactor = 0.8
	minConsecutive   = 3
	agreementFactor  = 0.9
)

// Speed compares the computing speed of this process with the highest speed that it has measured, to distinguish a
// machine that has become slow from one that is overloaded with work. It is not safe for concurrent use.
type Speed struct {
	block [hashedBytes]byte
	clock func() time.Time
	best  time.Duration
	// candidate is the latest duration that is much shorter than best; candidateCount is how many such were measured in
	// a row.
	candidate      time.Duration
	candidateCount int
}

// NewSpeed returns a Speed that starts with the current speed as the highest.
func NewSpeed() *Speed { return newSpeed(time.Now) }

func newSpeed(clock func() time.Time) *Speed {
	s := &Speed{clock: clock}
	s.Relative()
	return s
}

// Relative measures the current speed and returns it as a fraction of the highest one. It returns 1 if the measurement
// took no time or was much faster than the best one.
func (s *Speed) Relative() float64 {
	samples := make([]time.Duration, samplesPerMeasurement)
	for i := range samples {
		samples[i] = s.measureOnce()
	}
	slices.Sort(samples)
	median := samples[samplesPerMeasurement/2]
	if median <= 0 {
		return 1
	}
	if s.best == 0 {
		s.best = median
	}
	if float64(median) < muchFasterFactor*float64(s.best) {
		s.considerFaster(median)
		return 1
	}
	s.candidateCount = 0
	s.best = min(s.best, median)
	return float64(s.best) / float64(median)
}

// considerFaster handles a measurement that is much shorter than the best one, and makes it the best once it is
// confirmed.
func (s *Speed) considerFaster(took time.Duration) {
	short, long := min(took, s.candidate), max(took, s.candidate)
	if s.candidateCount == 0 || float64(short) < agreementFactor*float64(long) {
		s.candidateCount = 0
	}
	s.candidate = took
	if s.candidateCount++; s.candidateCount == minConsecutive {
		s.best, s.candidateCount = took, 0
	}
}

func (s *Speed) measureOnce() time.Duration {
	startedAt := s.clock()
	sum := sha256.Sum256(s.block[:])
	s.block[0] = sum[0]
	return s.clock().Sub(startedAt)
}
