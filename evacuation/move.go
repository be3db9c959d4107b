package evacuation

import (
	"slices"
	"time"
)

// Kind is the kind of a task. Lower kinds leave an evacuated data centre first.
type Kind uint8

// The kinds.
const (
	KindLatencyCritical Kind = iota
	KindLongRunning
	KindBatch
	KindBestEffort
)

// Kinds holds all kinds in the order in which they are moved.
var Kinds = []Kind{KindLatencyCritical, KindLongRunning, KindBatch, KindBestEffort}

var kindNames = [...]string{
	KindLatencyCritical: "latency-critical", KindLongRunning: "long-running", KindBatch: "batch", KindBestEffort: "best-effort",
}

// String returns the name of the kind in logs, metrics and reports.
func (k Kind) String() string { return kindNames[k] }

// Reason says why a task is still in an evacuated data centre. It may also be the reason for which no other worker takes it.
type Reason string

// The reasons.
const (
	ReasonUnconfirmed Reason = "not-confirmed-by-its-worker"
	ReasonStopping    Reason = "being-stopped"
	ReasonEnds        Reason = "ends-there"
	ReasonGang        Reason = "member-of-a-gang"
	ReasonPaced       Reason = "waits-for-other-moves"
	ReasonUnavailable Reason = "others-of-its-step-unavailable"
)

// Candidate is a task that runs in an evacuated data centre.
type Candidate struct {
	Kind Kind
	// Confirmed is set if the worker has confirmed the attempt, Stopping if it is being stopped.
	Confirmed, Stopping bool
	// Gang is set for a member of a gang. Stopping one member stops all, so that a gang is not moved.
	Gang bool
	// Available is set for a long-running task that is fully started.
	Available bool
	// Progress is in percent, -1 if unknown. Ran is for how long the attempt has run, 0 if unknown.
	Progress int
	Ran      time.Duration
	// Estimate is the estimated run time of the task, KeepsWork is set if the next attempt continues from a checkpoint.
	Estimate  time.Duration
	KeepsWork bool
}

// moveCost is the assumed time that a move costs a batch task besides the work that it repeats: a stop, a commit and a start.
const moveCost = 1500 * time.Millisecond

// minJudgedProgress is the progress in percent below which the remaining time of a batch task is not extrapolated.
const minJudgedProgress = 5

// Stays returns the reason for which a task is not to be moved now, empty if it may be moved.
func (c *Candidate) Stays() Reason {
	switch {
	case c.Stopping:
		return ReasonStopping
	case !c.Confirmed:
		return ReasonUnconfirmed
	case c.Gang && c.Kind > KindLongRunning:
		return ReasonEnds
	case c.Gang:
		return ReasonGang
	case c.Kind > KindLongRunning && !c.endsSoonerElsewhere():
		return ReasonEnds
	}
	return ""
}

// endsSoonerElsewhere reports whether a batch task ends sooner if it is moved, by the rate at which it has progressed. It
// may be slow because the workers of the data centre are.
func (c *Candidate) endsSoonerElsewhere() bool {
	if c.Progress < minJudgedProgress || c.Ran <= 0 || c.Estimate <= 0 {
		return false
	}
	staying := c.Ran * time.Duration(100-c.Progress) / time.Duration(c.Progress)
	moving := c.Estimate
	if c.KeepsWork {
		moving = c.Estimate * time.Duration(100-c.Progress) / 100
	}
	return moving+moveCost < staying
}

// Order returns the indices of the candidates in the order in which they are to be moved: by kind, and within a kind those
// first that lose nothing, because they are not available.
func Order(candidates []Candidate) []int {
	order := make([]int, len(candidates))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		if byKind := int(candidates[a].Kind) - int(candidates[b].Kind); byKind != 0 {
			return byKind
		}
		return unavailableFirst(candidates[a].Available) - unavailableFirst(candidates[b].Available)
	})
	return order
}

func unavailableFirst(available bool) int {
	if available {
		return 1
	}
	return 0
}

// Limits of the moves in flight, from the stop of a task until it runs again. A move loads the leader and a destination.
const (
	maxMoves        = 6
	maxMovesLoaded  = 2
	loadedShare     = 0.02
	overloadedShare = 0.1
)

// MaxMoves returns how many moves may be in flight, given the share of the other workers with latency-critical tasks on
// which such a task is over its target.
func MaxMoves(overTarget, latencyCritical int) int {
	share := float64(overTarget) / float64(max(1, latencyCritical))
	switch {
	case share > overloadedShare:
		return 1
	case share > loadedShare:
		return maxMovesLoaded
	}
	return maxMoves
}
