package entry

import (
	"strings"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/jujubegrade/jujubegrade/internal/process/inflight"
	"github.com/jujubegrade/jujubegrade/internal/process/settings"
)

const (
	// connectionBuffer is the size of each buffer of a connection, in bytes.
	connectionBuffer = 64 << 10
	// jobCopies, requestCopies and changeCopies are how often the bytes of a job, of a request to a service and of a change of the configuration are held: as received,
	// decoded, and encoded for another instance or the store.
	jobCopies     = 6
	requestCopies = 4
	changeCopies  = 4
	// minPeerMessage is the size of the largest message between instances besides those that carry a request, in bytes.
	minPeerMessage = 1 << 20
	// messageEnvelope is what a message adds to the request that it carries, in bytes.
	messageEnvelope = 64 << 10
	// peerPatience is how long a call of another instance waits for others to end.
	peerPatience = time.Second
)

// limitMemory derives the limits of the listeners from the settings and the process's limit of file descriptors.
func (e *Entry) limitMemory() {
	s := e.Settings
	shares := inflight.Shares{Connections: 0.25, Calls: 0.25, Control: 0.1, Peers: 0.15, MaxConnections: s.MaxConnections, HeaderBytes: inflight.Bytes(s.MaxHeader)}
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		files.Cur = 0
	}
	e.limits = shares.Limits(inflight.Bytes(s.Memory)<<20, int(min(files.Cur, 1<<20)))
	e.calls.SetLimit(e.limits.Calls)
	e.control.SetLimit(e.limits.Control)
	e.peers.SetLimit(e.limits.Peers)
	e.peers.Patience = peerPatience
	e.refusals.Log = e.Log
}

// callCost returns a bound of the memory that a caller's request takes while it is handled.
func callCost(rc *fasthttp.RequestCtx, body []byte) inflight.Bytes {
	if isForwarded(rc) {
		return requestCopies * inflight.Bytes(len(body))
	}
	return inflight.Decoded(body, jobCopies)
}

// isForwarded reports whether a request is for a service, which runs it.
func isForwarded(rc *fasthttp.RequestCtx) bool {
	return strings.HasPrefix(string(rc.Path()), "/service/")
}

// operatorCost returns a bound of the memory that an operator's request takes while it is handled.
func operatorCost(_ *fasthttp.RequestCtx, body []byte) inflight.Bytes {
	return inflight.Decoded(body, changeCopies)
}

// maxPeerMessage returns the size of the largest message between instances: it carries a request whose body takes four bytes for three.
func maxPeerMessage(s *settings.Settings) int {
	return max(minPeerMessage, s.MaxBody*4/3+s.MaxHeader+messageEnvelope)
}
