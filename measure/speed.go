package measure

import (
	"crypto/sha256"
	"time"
)

// Size of the computation that is timed, and how often it is repeated: the shortest time is the least disturbed.
const (
	speedBytes = 32 << 10
	speedTries = 3
)

// Speed compares how fast this process computes with the fastest that it has been, to tell a machine that has turned slow from one
// with more work than it can carry. It is used from one goroutine.
type Speed struct {
	block [speedBytes]byte
	clock func() time.Time
	best  time.Duration
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
	shortest := s.once()
	for range speedTries - 1 {
		shortest = min(shortest, s.once())
	}
	shortest = max(shortest, time.Nanosecond)
	if s.best == 0 || shortest < s.best {
		s.best = shortest
	}
	return float64(s.best) / float64(shortest)
}

func (s *Speed) once() time.Duration {
	began := s.clock()
	sum := sha256.Sum256(s.block[:])
	s.block[0] = sum[0]
	return s.clock().Sub(began)
}
