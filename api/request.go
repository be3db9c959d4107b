package api

// Outcome is what the system tells a caller about a request. There is no fourth.
type Outcome string

// The outcomes.
const (
	// Answered means that the whole answer of the endpoint was delivered.
	Answered Outcome = "answered"
	// NotRun means that the request provably never started.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Headers between callers, instances and endpoints.
const (
	// HeaderOutcome is set on every response to a caller.
	HeaderOutcome = "Bronzehook-Outcome"
	// HeaderReason names the failure code behind an outcome other than answered.
	HeaderReason = "Bronzehook-Reason"
	// HeaderKey identifies a non-idempotent request across the caller's retries, as <region>:<text>.
	HeaderKey = "Bronzehook-Key"
	// HeaderAttempt numbers the caller's attempts at one key from 1.
	HeaderAttempt = "Bronzehook-Attempt"
	// HeaderIdempotent set to "true" declares that running the request twice does no harm.
	HeaderIdempotent = "Bronzehook-Idempotent"
	// HeaderTimeout is the time in milliseconds after which the caller gives up.
	HeaderTimeout = "Bronzehook-Timeout-Ms"
	// HeaderUrgency overrides the service's urgency downwards only.
	HeaderUrgency = "Bronzehook-Urgency"
	// HeaderTeam names the caller's team where no authenticator supplies it.
	HeaderTeam = "Bronzehook-Team"
	// HeaderRequest identifies a request towards an endpoint; the endpoint repeats it in its response.
	HeaderRequest = "Bronzehook-Request"
	// HeaderEpoch carries the epoch of the rack towards a worker.
	HeaderEpoch = "Bronzehook-Epoch"
	// HeaderNotAfter is a reading of the worker's clock in milliseconds; a worker refuses a request that it would begin
	// later.
	HeaderNotAfter = "Bronzehook-Not-After"
	// HeaderTask and HeaderTaskAttempt name the task that a request is meant for.
	HeaderTask        = "Bronzehook-Task"
	HeaderTaskAttempt = "Bronzehook-Task-Attempt"
	// HeaderRefused is set by a worker that provably did not start a request; its value is a fault code.
	HeaderRefused = "Bronzehook-Refused"
)
