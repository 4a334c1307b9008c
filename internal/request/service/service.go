// Package service proxies callers' requests to the runners of a service, with admission control and retries.
package service

import (
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/jujubegrade/jujubegrade/internal/connection/runner"
	"github.com/jujubegrade/jujubegrade/internal/request/admission"
	"github.com/jujubegrade/jujubegrade/internal/version/config"
	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type (
	// Service proxies the requests of one service. ID must be set; SetRunners sets the runners.
	Service struct {
		ID ids.ServiceID

		admission admission.Controller
		// runners is replaced as a whole, so that requests can read it without a lock.
		runners atomic.Pointer[[]*runner.Runner]
		budget  retryBudget

		// Counters holds the request counters for the metrics.
		Counters Counters
	}

	// Counters count requests by outcome, and upstream attempts.
	Counters struct {
		Requests, Attempts, Refused, Unknown, Answered atomic.Int64
	}

	// Request is one request to be proxied to a runner.
	Request struct {
		ID         ids.RequestID
		Account    *config.Account
		Idempotent bool
		Deadline   time.Time
		// Policy and Settings come from the configuration version under which the request was accepted.
		Policy   *config.Policy
		Settings config.Service
		HTTP     *fasthttp.Request
	}

	// Result is the outcome of a request.
	Result struct {
		Outcome caller.Outcome
		// Reason says why a request was refused or its outcome is unknown.
		Reason     string
		RetryAfter time.Duration
		// Status is the HTTP status to return if no runner answered.
		Status int
		Runner ids.InstanceID
	}
)

const (
	// maxAttempts bounds the upstream attempts per request.
	maxAttempts = 4
	// maxConnectionsLost is the number of attempts with a lost connection after which a request is not tried again: it may be what crashes the runners.
	maxConnectionsLost = 2
)

// SetRunners replaces the runners; unchanged ones keep their connections. The admission capacity becomes an equal share
// of all slots, where instances is the number of entry instances that share the runners.
func (s *Service) SetRunners(list []*runner.Runner, instances int) {
	known := make(map[ids.InstanceID]*runner.Runner)
	for _, r := range s.currentRunners() {
		known[r.ID] = r
	}
	next := make([]*runner.Runner, 0, len(list))
	slots := 0
	for _, r := range list {
		slots += r.Slots
		if old := known[r.ID]; old != nil && old.Address == r.Address && old.Slots == r.Slots {
			r = old
			delete(known, r.ID)
		}
		next = append(next, r)
	}
	s.runners.Store(&next)
	for _, removed := range known {
		removed.Close()
	}
	instances = max(1, instances)
	s.admission.SetCapacity((slots + instances - 1) / instances)
}

func (s *Service) currentRunners() []*runner.Runner {
	if list := s.runners.Load(); list != nil {
		return *list
	}
	return nil
}

// Admission returns the service's admission controller, for metrics.
func (s *Service) Admission() *admission.Controller { return &s.admission }

// Serve admits a request and proxies it to a runner. resp holds the response if the outcome is Answered.
func (s *Service) Serve(req *Request, resp *fasthttp.Response) Result {
	s.Counters.Requests.Add(1)
	if len(s.currentRunners()) == 0 {
		s.Counters.Refused.Add(1)
		return Result{Outcome: caller.NotRun, Status: fasthttp.StatusServiceUnavailable, Reason: "no runner of " + string(s.ID) + " is known", RetryAfter: time.Second}
	}
	share := admission.Share{Guaranteed: req.Account.RequestShare, QueueLimit: req.Account.QueuedRequests}
	release, refusal := s.admission.Acquire(req.Account.ID, share, req.Deadline)
	if refusal != nil {
		s.Counters.Refused.Add(1)
		status := fasthttp.StatusServiceUnavailable
		if refusal.QueueFull {
			status = fasthttp.StatusTooManyRequests
		}
		return Result{Outcome: caller.NotRun, Status: status, Reason: refusal.Reason, RetryAfter: refusal.RetryAfter}
	}
	defer release()
	s.budget.deposit(req.Policy.RetryBudget)
	result := s.send(req, resp)
	switch result.Outcome {
	case caller.Answered:
		s.Counters.Answered.Add(1)
	case caller.NotRun:
		s.Counters.Refused.Add(1)
	case caller.OutcomeUnknown:
		s.Counters.Unknown.Add(1)
	}
	return result
}

// send tries runners until one answers. A request that may have run is retried only if it is idempotent.
func (s *Service) send(req *Request, resp *fasthttp.Response) Result {
	var last *runner.Runner
	mayHaveRun, connectionsLost := false, 0
	reason := "no runner of " + string(s.ID) + " accepts requests now"
	for attempt := range maxAttempts {
		if time.Now().After(req.Deadline) || (attempt > 0 && !s.budget.withdraw()) {
			break
		}
		r := s.pickRunner(last)
		if r == nil {
			break
		}
		last = r
		s.Counters.Attempts.Add(1)
		resp.Reset()
		err := r.Do(req.HTTP, resp, req.ID, s.attemptDeadline(req), req.Settings.MaxBody, connectionsLost > 0)
		r.Release()
		if err == nil {
			return Result{Outcome: caller.Answered, Runner: r.ID}
		}
		reason = err.Error()
		if errors.Is(err, runner.ErrNotSent) || errors.Is(err, runner.ErrNotRun) {
			continue
		}
		mayHaveRun = true
		if errors.Is(err, runner.ErrConnectionLost) {
			connectionsLost++
		}
		if !req.Idempotent || errors.Is(err, runner.ErrTooLarge) || connectionsLost == maxConnectionsLost {
			break
		}
	}
	return s.failedResult(mayHaveRun, reason)
}

func (s *Service) failedResult(mayHaveRun bool, reason string) Result {
	const retryAfter = 500 * time.Millisecond
	if mayHaveRun {
		return Result{Outcome: caller.OutcomeUnknown, Status: fasthttp.StatusBadGateway, Reason: reason, RetryAfter: retryAfter}
	}
	return Result{Outcome: caller.NotRun, Status: fasthttp.StatusServiceUnavailable, Reason: reason, RetryAfter: retryAfter}
}

// attemptDeadline limits an attempt of an idempotent request, so that time remains to retry on another runner.
func (s *Service) attemptDeadline(req *Request) time.Time {
	if !req.Idempotent {
		return req.Deadline
	}
	if deadline := time.Now().Add(req.Settings.AttemptTimeout); deadline.Before(req.Deadline) {
		return deadline
	}
	return req.Deadline
}

// pickRunner acquires a slot of the less loaded of two random runners that have a free slot. It skips runners that are
// backed off and, if there are others, the runner of the last failed attempt. It returns nil if no such runner has a
// free slot.
func (s *Service) pickRunner(last *runner.Runner) *runner.Runner {
	list := s.currentRunners()
	now := time.Now()
	var first *runner.Runner
	offset := rand.IntN(max(1, len(list)))
	step := coprimeStep(len(list))
	for i := range list {
		r := list[(offset+i*step)%len(list)]
		if r.BackedOff(now) || (r == last && len(list) > 1) || !r.TryAcquire() {
			continue
		}
		if first == nil {
			first = r
			continue
		}
		if r.Load()*int64(first.Slots) < first.Load()*int64(r.Slots) {
			first, r = r, first
		}
		r.Release()
		return first
	}
	return first
}

// coprimeStep returns a random step that is coprime to n, so that stepping modulo n visits every index.
func coprimeStep(n int) int {
	if n < 3 {
		return 1
	}
	for {
		step := 1 + rand.IntN(n-1)
		if gcd(step, n) == 1 {
			return step
		}
	}
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// NewRequestID returns a unique ID made of 128 random bits.
func NewRequestID() ids.RequestID {
	const base = 36
	return ids.RequestID(strconv.FormatUint(rand.Uint64(), base) + strconv.FormatUint(rand.Uint64(), base))
}
