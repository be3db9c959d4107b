package placement

import (
	"fmt"
	"strings"
)

// Cause says why a worker did not take a task.
type Cause uint8

// The causes.
const (
	// Open is no cause: the worker takes tasks.
	Open Cause = iota
	Leaving
	Drained
	Quarantined
	Unreachable
	OtherRegion
	Refused
	Processors
	Memory
	Accelerators
	AcceleratorsKept
	UrgentReserve
	PredictedLoad
	Interference
	// CauseCount is the number of causes.
	CauseCount
)

var causeNames = [CauseCount]string{
	"open", "leaving", "drained", "quarantined", "unreachable", "in another region", "refused this task before",
	"too few processors", "too little memory", "too few accelerators", "kept for tasks with accelerators",
	"kept for urgent work", "predicted use too high", "predicted interference too high",
}

// String returns the cause as operators see it.
func (c Cause) String() string {
	if c < CauseCount {
		return causeNames[c]
	}
	return fmt.Sprintf("cause(%d)", uint8(c))
}

// Counts is the number of workers per cause.
type Counts [CauseCount]int

// String lists the causes that occurred, in their fixed order.
func (c Counts) String() string {
	var parts []string
	for cause, n := range c {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, Cause(cause)))
		}
	}
	return strings.Join(parts, ", ")
}
