package placement

import (
	"fmt"
	"strings"
)

// RejectionCause is the reason why a worker was rejected for a task.
type RejectionCause uint8

// The causes. Leaving to Unreachable exclude a worker for every task except a probe of a quarantined worker.
const (
	// Open means that the worker is not rejected.
	Open RejectionCause = iota
	Leaving
	Drained
	Quarantined
	Unreachable
	OtherRegion
	// RejectedBefore means that the worker refused the task before.
	RejectedBefore
	Processors
	Memory
	Accelerators
	// AcceleratorReserve means that the task would use capacity reserved for tasks that need accelerators.
	AcceleratorReserve
	// UrgentReserve means that a non-urgent batch task would use capacity reserved for urgent work.
	UrgentReserve
	PredictedLoad
	Interference
	// CauseCount is the number of causes.
	CauseCount
)

var causeNames = [CauseCount]string{
	"open", "leaving", "drained", "quarantined", "unreachable", "in another region", "refused this task before",
	"too few processors", "too little memory", "too few accelerators", "reserved for tasks with accelerators",
	"reserved for urgent work", "predicted use too high", "predicted interference too high",
}

// String returns the text of the cause that operators see.
func (c RejectionCause) String() string {
	if c < CauseCount {
		return causeNames[c]
	}
	return fmt.Sprintf("cause(%d)", uint8(c))
}

// Counts holds the number of workers for each cause.
type Counts [CauseCount]int

// String lists the causes with a count above 0, in the order of the constants.
func (c Counts) String() string {
	var parts []string
	for cause, n := range c {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, RejectionCause(cause)))
		}
	}
	return strings.Join(parts, ", ")
}
