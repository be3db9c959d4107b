package placement

// Reason says why a task was not placed. Later reasons are more specific than earlier ones, or as specific.
type Reason uint8

// The reasons.
const (
	ReasonNone Reason = iota
	ReasonNoWorker
	// ReasonNotAllowed means that the advice refused the worker, ReasonNoTicket that the worker would take the task if the advice
	// on it, which is unknown, granted it.
	ReasonNotAllowed
	ReasonNoTicket
	ReasonNoLabel
	ReasonTooLarge
	ReasonNonLocal
	ReasonDegraded
	ReasonSpread
	ReasonInterference
	ReasonHeadroom
	ReasonNoCapacity
	ReasonNoMemory
	ReasonNoUnusedCPU
)

var reasonNames = [...]string{
	ReasonNone: "", ReasonNoWorker: "no-worker", ReasonNotAllowed: "not-allowed-by-advice", ReasonNoTicket: "no-ticket", ReasonNoLabel: "no-worker-with-label",
	ReasonTooLarge: "larger-than-any-worker", ReasonNonLocal: "far-from-its-data", ReasonDegraded: "troubled-worker",
	ReasonSpread: "spread-over-workers", ReasonInterference: "kept-apart-from-serving-tasks",
	ReasonHeadroom: "headroom-for-more-urgent-tasks", ReasonNoCapacity: "no-room", ReasonNoMemory: "no-memory",
	ReasonNoUnusedCPU: "no-processors-left-over",
}

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string { return reasonNames[r] }

// MarshalText implements encoding.TextMarshaler.
func (r Reason) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// specificity ranks the reasons: of those that the workers give, the most specific one is reported.
var specificity = [...]uint8{
	ReasonNoWorker: 0, ReasonNoLabel: 1, ReasonNotAllowed: 2, ReasonNoTicket: 3, ReasonTooLarge: 2, ReasonNonLocal: 2, ReasonDegraded: 2, ReasonSpread: 3,
	ReasonInterference: 4, ReasonHeadroom: 5, ReasonNoCapacity: 6, ReasonNoMemory: 6, ReasonNoUnusedCPU: 6,
}

// isShortage reports whether a task was refused for want of capacity. No reason is more specific.
func (r Reason) isShortage() bool { return specificity[r] == specificity[ReasonNoCapacity] }

// moreSpecific returns b if it is more specific than a, else a.
func moreSpecific(a, b Reason) Reason {
	if specificity[b] > specificity[a] {
		return b
	}
	return a
}
