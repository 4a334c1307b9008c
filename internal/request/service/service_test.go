package service

import (
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/jujubegrade/jujubegrade/internal/connection/runner"
	"github.com/jujubegrade/jujubegrade/internal/standin/runnerservice"
	"github.com/jujubegrade/jujubegrade/internal/version/config"
	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

type fixture struct {
	t       *testing.T
	service *Service
	runners []*runnerservice.Service
	account *config.Account
	policy  *config.Policy
}

func newFixture(t *testing.T, runners, slots int) *fixture {
	b := &fixture{
		t: t, service: &Service{ID: "s"}, account: &config.Account{ID: "a", RequestShare: 1, QueuedRequests: 100},
		policy: &config.Policy{RetryBudget: 1},
	}
	var list []*runner.Runner
	for i := range runners {
		r := &runnerservice.Service{Slots: slots}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		server := &fasthttp.Server{Handler: r.Handler()}
		go func() { _ = server.Serve(listener) }()
		t.Cleanup(func() { _ = listener.Close() })
		b.runners = append(b.runners, r)
		list = append(list, &runner.Runner{ID: ids.InstanceID(rune('a' + i)), Address: listener.Addr().String(), Slots: slots})
	}
	b.service.SetRunners(list, 1)
	return b
}

// send sends one request and returns its result and the response body.
func (b *fixture) send(body string, idempotent bool, timeout time.Duration) (Result, string) {
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.Header.SetMethod("POST")
	req.SetRequestURI("/x")
	req.SetHost("runner")
	req.SetBodyString(body)
	result := b.service.Serve(&Request{
		ID: NewRequestID(), Account: b.account, Idempotent: idempotent, Deadline: time.Now().Add(timeout), Policy: b.policy,
		Settings: config.Service{Timeout: timeout, AttemptTimeout: 200 * time.Millisecond, MaxBody: 1 << 20}, HTTP: req,
	}, resp)
	return result, string(resp.Body())
}

func (b *fixture) runCount(body string) int {
	sum := 0
	for _, r := range b.runners {
		sum += r.Runs(body)
	}
	return sum
}

// TestRunnerFaults sends requests while one of two runners is faulty.
func TestRunnerFaults(t *testing.T) {
	const requests = 30
	cases := map[string]struct {
		faults     runnerservice.Faults
		idempotent bool
		allowed    []caller.Outcome
	}{
		"refused requests are retried elsewhere, even if not idempotent":       {runnerservice.Faults{Refuse: true}, false, []caller.Outcome{caller.Answered}},
		"swapped responses never reach another caller":                         {runnerservice.Faults{CrossAnswers: true}, true, []caller.Outcome{caller.Answered}},
		"swapped responses to non-idempotent requests have an unknown outcome": {runnerservice.Faults{CrossAnswers: true}, false, []caller.Outcome{caller.Answered, caller.OutcomeUnknown}},
		"truncated responses are retried elsewhere":                            {runnerservice.Faults{Truncate: true}, true, []caller.Outcome{caller.Answered}},
		"truncated responses to non-idempotent requests are not returned":      {runnerservice.Faults{Truncate: true}, false, []caller.Outcome{caller.Answered, caller.OutcomeUnknown}},
		"late responses are retried elsewhere":                                 {runnerservice.Faults{Slow: 500 * time.Millisecond}, true, []caller.Outcome{caller.Answered}},
		"an error response of the service is passed through":                   {runnerservice.Faults{Fail: true}, false, []caller.Outcome{caller.Answered}},
		"a draining runner still answers":                                      {runnerservice.Faults{Leaving: true}, true, []caller.Outcome{caller.Answered}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, 2, 8)
			b.runners[0].SetFaults(c.faults)
			for i := range requests {
				body := strings.Repeat("x", i+1)
				result, responseBody := b.send(body, c.idempotent, 3*time.Second)
				require.Contains(t, c.allowed, result.Outcome, result.Reason)
				if result.Outcome == caller.Answered {
					require.Equal(t, "answer to /x "+body, responseBody, "each caller gets its own complete response")
				} else {
					require.Positive(t, result.RetryAfter)
				}
				if !c.idempotent {
					require.LessOrEqual(t, b.runCount(body), 1)
				}
			}
		})
	}
}

// TestSilentConnections stops responses on all open connections, while new connections work.
func TestSilentConnections(t *testing.T) {
	b := newFixture(t, 2, 8)
	for range 20 {
		result, _ := b.send("before", true, time.Second)
		require.Equal(t, caller.Answered, result.Outcome)
	}
	for _, r := range b.runners {
		r.SetFaults(runnerservice.Faults{Silent: true})
	}
	for range 20 {
		result, _ := b.send("after", true, 3*time.Second)
		require.Equal(t, caller.Answered, result.Outcome, result.Reason)
	}
	require.Less(t, b.service.Counters.Attempts.Load(), int64(50), "one timeout closes all idle connections to its runner")
}

// TestLeavingRunnerGetsNoNewRequests counts the requests that a runner gets after it announced in a response that it is
// draining.
func TestLeavingRunnerGetsNoNewRequests(t *testing.T) {
	b := newFixture(t, 2, 8)
	b.runners[0].SetFaults(runnerservice.Faults{Leaving: true})
	for range 50 {
		result, _ := b.send("leaving", true, time.Second)
		require.Equal(t, caller.Answered, result.Outcome)
	}
	require.LessOrEqual(t, b.runners[0].Runs("leaving"), 1)
}

// TestOverloadIsAnsweredAtOnce fills the capacity and checks that a further request is refused well before its deadline.
func TestOverloadIsAnsweredAtOnce(t *testing.T) {
	b := newFixture(t, 1, 2)
	b.account.QueuedRequests = 4
	b.runners[0].SetFaults(runnerservice.Faults{Slow: 300 * time.Millisecond})
	var wait sync.WaitGroup
	for range 6 {
		wait.Go(func() { b.send("busy", true, 10*time.Second) })
	}
	require.Eventually(t, func() bool { return b.service.Admission().Waiting() == 4 }, 2*time.Second, time.Millisecond)
	const deadline = 30 * time.Second
	started := time.Now()
	result, _ := b.send("refused", false, deadline)
	require.Equal(t, caller.NotRun, result.Outcome)
	require.Equal(t, fasthttp.StatusTooManyRequests, result.Status)
	require.Positive(t, result.RetryAfter)
	require.Less(t, time.Since(started), deadline/2, "a refused request is answered immediately")
	wait.Wait()
	require.Zero(t, b.runCount("refused"))
}

// An instance list without instances leaves the whole capacity to this one.
func TestRunnersWithoutInstances(t *testing.T) {
	b := newFixture(t, 1, 1)
	b.service.SetRunners(b.service.currentRunners(), 0)
	result, _ := b.send("x", true, time.Second)
	require.Equal(t, caller.Answered, result.Outcome, result.Reason)
}

// An idempotent request that crashes each runner that runs it was tried on up to four of them. Two must be the limit, and the caller learns that it may have run.
func TestRequestThatCrashesRunners(t *testing.T) {
	for name, test := range map[string]struct {
		faults runnerservice.Faults
		want   int
	}{
		"connections are lost": {runnerservice.Faults{Drop: true}, 2},
		"responses are late":   {runnerservice.Faults{Slow: 300 * time.Millisecond}, 4},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, 6, 8)
			// Pays for the retries.
			for range 20 {
				b.send("sound", true, 3*time.Second)
			}
			for _, r := range b.runners {
				r.SetFaults(test.faults)
			}
			result, _ := b.send("deadly", true, 3*time.Second)
			require.Equal(t, caller.OutcomeUnknown, result.Outcome)
			require.Positive(t, result.RetryAfter)
			require.Equal(t, test.want, b.runCount("deadly"))
		})
	}
}
