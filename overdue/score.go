package overdue

import (
	"math"
	"time"
)

// scoreHalfLife is the time in which a score halves: long enough that a worker with a fault is tried seldom, short enough that
// it is used again soon after the fault.
const scoreHalfLife = 10 * time.Second

// Score counts the starts of a worker that were overdue, of which earlier ones count less.
type Score struct {
	value float64
	at    time.Duration
}

// Note counts an overdue start.
func (s *Score) Note(now time.Duration) {
	s.value = s.At(now) + 1
	s.at = now
}

// At returns the score at a time.
func (s *Score) At(now time.Duration) float64 {
	if s.value == 0 {
		return 0
	}
	return s.value * math.Exp2(-float64(now-s.at)/float64(scoreHalfLife))
}
