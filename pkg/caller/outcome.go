package caller

// Outcome says what became of a request or a submission.
type Outcome string

const (
	// Answered tells that the answer is that of the service.
	Answered Outcome = "answered"
	// Accepted tells that a job is kept and will run or be reported.
	Accepted Outcome = "accepted"
	// NotRun tells that the request was refused and truly did not run.
	NotRun Outcome = "refused-not-run"
	// OutcomeUnknown tells that the request may have run.
	OutcomeUnknown Outcome = "outcome-unknown"
)

// The headers between callers and entry instances.
const (
	// HeaderOutcome carries the Outcome of every answer.
	HeaderOutcome = "Jujubegrade-Outcome"
	// HeaderReason says why a request was refused or its outcome is unknown.
	HeaderReason = "Jujubegrade-Reason"
	// HeaderIdempotent marks a request that may run more than once, by the value true.
	HeaderIdempotent = "Jujubegrade-Idempotent"
	// HeaderDeadline is the time that the caller waits, as a duration such as 1500ms.
	HeaderDeadline = "Jujubegrade-Deadline"
	// HeaderKey is the idempotency key of a request that may run once at most.
	HeaderKey = "Idempotency-Key"
	// HeaderRequest is the request's id.
	HeaderRequest = "Jujubegrade-Request"
)
