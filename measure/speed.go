package measure

import (
	"crypto/sha256"
	"slices"
	"time"
)

// Size of the computation that is timed, and how often it is repeated. The median counts: a try may be interrupted, and a clock
// that was just corrected may tell that no time has passed.
const (
	speedBytes = 32 << 10
	speedTries = 5
)

// A measurement that is shorter than fasterShare of the best one is believed once it was made fasterTimes in a row, within sameShare of
// each other: on a busy machine clocks may stand still for a whole measurement.
const (
	fasterShare = 0.8
	fasterTimes = 3
	sameShare   = 0.9
)

// Speed compares how fast this process computes with the fastest that it has been, to tell a machine that has turned slow from one
// with more work than it can carry. It is used from one goroutine.
type Speed struct {
	block [speedBytes]byte
	clock func() time.Time
	best  time.Duration
	// faster was measured times in a row, and is much shorter than the best.
	faster time.Duration
	times  int
}

// NewSpeed returns a comparison with the present speed.
func NewSpeed() *Speed { return newSpeed(time.Now) }

func newSpeed(clock func() time.Time) *Speed {
	s := &Speed{clock: clock}
	s.Share()
	return s
}

// Share returns the present speed as a share of the greatest that was measured.
func (s *Speed) Share() float64 {
	tries := make([]time.Duration, speedTries)
	for i := range tries {
		tries[i] = s.once()
	}
	slices.Sort(tries)
	median := tries[speedTries/2]
	if median <= 0 {
		return 1
	}
	if s.best == 0 {
		s.best = median
	}
	if float64(median) < fasterShare*float64(s.best) {
		s.noteFaster(median)
		return 1
	}
	s.times = 0
	s.best = min(s.best, median)
	return float64(s.best) / float64(median)
}

// noteFaster takes up a measurement that is much shorter than the best one.
func (s *Speed) noteFaster(took time.Duration) {
	short, long := min(took, s.faster), max(took, s.faster)
	if s.times == 0 || float64(short) < sameShare*float64(long) {
		s.times = 0
	}
	s.faster = took
	if s.times++; s.times == fasterTimes {
		s.best, s.times = took, 0
	}
}

func (s *Speed) once() time.Duration {
	began := s.clock()
	sum := sha256.Sum256(s.block[:])
	s.block[0] = sum[0]
	return s.clock().Sub(began)
}
