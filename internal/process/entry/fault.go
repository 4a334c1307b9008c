package entry

import (
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/jujubegrade/jujubegrade/internal/connection/httpjson"
	"github.com/jujubegrade/jujubegrade/internal/connection/peer"
	"github.com/jujubegrade/jujubegrade/internal/connection/store"
	"github.com/jujubegrade/jujubegrade/internal/process/configuration"
	"github.com/jujubegrade/jujubegrade/internal/process/owner"
	"github.com/jujubegrade/jujubegrade/internal/process/placement"
	"github.com/jujubegrade/jujubegrade/pkg/caller"
)

// Fault codes, which clients may depend on.
const (
	codeNeverFits      = "NeverFits"
	codeQueueFull      = "QueueFull"
	codeEvacuated      = "Evacuated"
	codeNoOwner        = "NoOwner"
	codeStoreOut       = "StoreOut"
	codeOutcomeUnknown = "OutcomeUnknown"
	codeNoJob          = "NoJob"
	codeConflict       = "Conflict"
	codeInvalid        = "Invalid"
	codeNotReady       = "NotReady"
	codeInternal       = "Internal"
)

// evacuatedRetrySeconds is the Retry-After of a job whose data centre is being evacuated. Nobody knows when the operators
// withdraw the evacuation; it is that of a full queue, which also clears in minutes rather than seconds.
const evacuatedRetrySeconds = 30

// faultOf maps an error to the fault that callers, operators and peers receive.
func faultOf(err error) *httpjson.Fault {
	var fault *httpjson.Fault
	if errors.As(err, &fault) {
		return fault
	}
	var infeasible *placement.InfeasibleError
	if errors.As(err, &infeasible) {
		return &httpjson.Fault{Status: fasthttp.StatusUnprocessableEntity, Code: codeNeverFits, Message: infeasible.Reason}
	}
	for _, known := range []struct {
		err          error
		status       int
		code         string
		retrySeconds float64
	}{
		{placement.ErrEvacuated, fasthttp.StatusServiceUnavailable, codeEvacuated, evacuatedRetrySeconds},
		{placement.ErrQueueFull, fasthttp.StatusTooManyRequests, codeQueueFull, 30},
		{owner.ErrNotOwner, fasthttp.StatusServiceUnavailable, codeNoOwner, 2},
		{owner.ErrStoreUnavailable, fasthttp.StatusServiceUnavailable, codeStoreOut, 5},
		{configuration.ErrStoreUnavailable, fasthttp.StatusServiceUnavailable, codeStoreOut, 5},
		{configuration.ErrNoQuorum, fasthttp.StatusServiceUnavailable, codeNotReady, 5},
		{owner.ErrOutcomeUnknown, fasthttp.StatusGatewayTimeout, codeOutcomeUnknown, 2},
		{configuration.ErrOutcomeUnknown, fasthttp.StatusGatewayTimeout, codeOutcomeUnknown, 2},
		{peer.ErrUnreachable, fasthttp.StatusServiceUnavailable, codeNoOwner, 2},
		{peer.ErrUnknown, fasthttp.StatusGatewayTimeout, codeOutcomeUnknown, 2},
		{owner.ErrNoJob, fasthttp.StatusNotFound, codeNoJob, 0},
		{configuration.ErrConflict, fasthttp.StatusConflict, codeConflict, 0},
		{configuration.ErrInvalid, fasthttp.StatusUnprocessableEntity, codeInvalid, 0},
		{store.ErrUnknown, fasthttp.StatusServiceUnavailable, codeStoreOut, 5},
		{store.ErrRefused, fasthttp.StatusServiceUnavailable, codeStoreOut, 5},
	} {
		if errors.Is(err, known.err) {
			return &httpjson.Fault{Status: known.status, Code: known.code, Message: err.Error(), RetryAfter: known.retrySeconds}
		}
	}
	return &httpjson.Fault{Status: fasthttp.StatusInternalServerError, Code: codeInternal, Message: err.Error()}
}

// outcomeOf returns the outcome of a failed submission. It is NotRun only for faults that are known to occur before the
// job's record is written.
func outcomeOf(fault *httpjson.Fault) caller.Outcome {
	switch fault.Code {
	case codeNeverFits, codeQueueFull, codeEvacuated, codeNoOwner, codeStoreOut, codeInvalid, codeNotReady, peer.CodeExpired:
		return caller.NotRun
	}
	return caller.OutcomeUnknown
}

func replyError(ctx *fasthttp.RequestCtx, err error) {
	httpjson.ReplyFault(ctx, faultOf(err))
}
