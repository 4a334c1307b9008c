package caller

// Outcome is the outcome of a request or a submission.
type Outcome string

const (
	// Answered means that the response is the service's own.
	Answered Outcome = "answered"
	// Accepted means that the job is stored: it will run, or its status will say why it did not.
	Accepted Outcome = "accepted"
	// NotRun means that the request was refused and is certain not to have run.
	NotRun Outcome = "refused-not-run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "outcome-unknown"
)

// HTTP headers between callers and entry instances.
const (
	// HeaderOutcome carries the Outcome in every response.
	HeaderOutcome = "Jujubegrade-Outcome"
	// HeaderReason says why a request was refused or its outcome is unknown.
	HeaderReason = "Jujubegrade-Reason"
	// HeaderIdempotent marks a request that may run more than once, with the value true.
	HeaderIdempotent = "Jujubegrade-Idempotent"
	// HeaderDeadline is the caller's timeout, as a duration such as 1500ms.
	HeaderDeadline = "Jujubegrade-Deadline"
	// HeaderKey is the idempotency key of a request that must run at most once.
	HeaderKey = "Idempotency-Key"
	// HeaderRequest is the request id.
	HeaderRequest = "Jujubegrade-Request"
)
