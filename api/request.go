package api

// Outcome is the result of a request that the system reports to the caller. Every request has one of three outcomes.
type Outcome string

// The outcomes.
const (
	// Answered means that the complete response of the endpoint was delivered.
	Answered Outcome = "answered"
	// NotRun means that the request provably never started to execute.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have been executed.
	Unknown Outcome = "unknown"
)

// HTTP headers between callers, instances, workers and endpoints.
const (
	// HeaderOutcome is set on every response to a caller.
	HeaderOutcome = "Bronzehook-Outcome"
	// HeaderReason carries the fault code that led to an outcome other than answered.
	HeaderReason = "Bronzehook-Reason"
	// HeaderKey carries the idempotency key of a non-idempotent request, as <region>:<text>. The caller repeats it in
	// its retries.
	HeaderKey = "Bronzehook-Key"
	// HeaderAttempt numbers the caller's attempts with the same idempotency key, from 1.
	HeaderAttempt = "Bronzehook-Attempt"
	// HeaderIdempotent set to "true" declares that the request may safely be executed more than once.
	HeaderIdempotent = "Bronzehook-Idempotent"
	// HeaderTimeout carries the caller's time-out in milliseconds.
	HeaderTimeout = "Bronzehook-Timeout-Ms"
	// HeaderUrgency lowers the urgency of the request below that of the service. It cannot raise it.
	HeaderUrgency = "Bronzehook-Urgency"
	// HeaderTeam names the caller's team if no authenticator supplies it.
	HeaderTeam = "Bronzehook-Team"
	// HeaderRequest carries the ID of a request to an endpoint; the endpoint repeats it in its response.
	HeaderRequest = "Bronzehook-Request"
	// HeaderEpoch carries the ownership epoch of the rack in a request to a worker.
	HeaderEpoch = "Bronzehook-Epoch"
	// HeaderNotAfter carries the latest start time of the request, in milliseconds of the worker's clock. The worker
	// refuses a request that it would start later.
	HeaderNotAfter = "Bronzehook-Not-After"
	// HeaderTask and HeaderTaskAttempt name the task and the attempt that a request is addressed to.
	HeaderTask        = "Bronzehook-Task"
	HeaderTaskAttempt = "Bronzehook-Task-Attempt"
	// HeaderRefused is set by a worker that refused a request and provably did not start it; its value is a fault code.
	HeaderRefused = "Bronzehook-Refused"
)
