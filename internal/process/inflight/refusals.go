package inflight

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

type (
	// Cause is why a call or a connection was refused.
	Cause string

	// Refusals counts the calls and connections that the listeners of a process refuse. It logs one line for each listener and cause in an interval. The zero value counts only.
	Refusals struct {
		Log *zap.Logger

		mu     sync.Mutex
		counts map[refusal]*refusalCount
	}

	// refusal is what is counted together.
	refusal struct {
		listener string
		cause    Cause
	}

	refusalCount struct {
		total, logged int64
		loggedAt      time.Time
	}
)

// The causes of refusals.
const (
	// TooLarge means that a body, a header or a message exceeds its limit, or would once it is decoded.
	TooLarge Cause = "TooLarge"
	// NoMemory means that the calls in flight take all memory meant for them.
	NoMemory Cause = "NoMemory"
	// TooSlow means that a request did not arrive in time.
	TooSlow Cause = "TooSlow"
	// Malformed means that the client does not speak the protocol, or left before the end of its request.
	Malformed Cause = "Malformed"
	// Unauthorized means that the client has no credential, so that the body of its request was not read.
	Unauthorized Cause = "Unauthorized"
	// NoConnection means that there were too many connections.
	NoConnection Cause = "NoConnection"
	// Replaced means that the connection was closed in favour of another, since its client kept the server waiting.
	Replaced Cause = "Replaced"
)

// refusalInterval is the time between two log lines for one listener and cause.
const refusalInterval = 10 * time.Second

// Add counts a refusal.
func (r *Refusals) Add(listener string, cause Cause) {
	now := time.Now()
	key := refusal{listener: listener, cause: cause}
	r.mu.Lock()
	if r.counts == nil {
		r.counts = make(map[refusal]*refusalCount)
	}
	count := r.counts[key]
	if count == nil {
		count = &refusalCount{}
		r.counts[key] = count
	}
	count.total++
	isDue := r.Log != nil && (count.loggedAt.IsZero() || now.Sub(count.loggedAt) >= refusalInterval)
	since := count.total - count.logged
	if isDue {
		count.logged, count.loggedAt = count.total, now
	}
	r.mu.Unlock()
	if isDue {
		r.Log.Warn("clients: refused", zap.String("listener", listener), zap.String("cause", string(cause)), zap.Int64("count", since))
	}
}

// Counts returns the number of refusals by listener and cause.
func (r *Refusals) Counts() map[string]map[Cause]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make(map[string]map[Cause]int64)
	for key, count := range r.counts {
		if all[key.listener] == nil {
			all[key.listener] = make(map[Cause]int64)
		}
		all[key.listener][key.cause] = count.total
	}
	return all
}
