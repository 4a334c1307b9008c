package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/jujubegrade/jujubegrade/internal/standin/platform"
	"github.com/jujubegrade/jujubegrade/internal/standin/storeservice"
	"github.com/jujubegrade/jujubegrade/internal/standin/workerservice"
	"github.com/jujubegrade/jujubegrade/pkg/caller"
	"github.com/jujubegrade/jujubegrade/pkg/ids"
)

// send sends one request and returns the response.
func send(t *testing.T, address, method, path, token, body string, headers map[string]string) *fasthttp.Response {
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI("http://" + address + path)
	req.Header.SetMethod(method)
	req.Header.Set("Authorization", "Bearer "+token)
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	req.SetBodyString(body)
	require.NoError(t, fasthttp.DoTimeout(req, resp, 10*time.Second))
	return resp
}

func TestCallersInterface(t *testing.T) {
	p, entries := startFleet(t, 2, 8)
	address := entries[0].Settings.Callers
	job := func(key, shape string) string {
		s, err := ids.ParseShape(shape)
		require.NoError(t, err)
		payload, err := json.Marshal(workerservice.Payload{RunTime: time.Minute})
		require.NoError(t, err)
		body, err := json.Marshal(caller.Job{Key: key, Shape: s, Payload: payload})
		require.NoError(t, err)
		return string(body)
	}
	submitted := send(t, address, "POST", "/v1/jobs", "secret-a", job("own", "1x1"), nil)
	require.Equal(t, fasthttp.StatusAccepted, submitted.StatusCode(), string(submitted.Body()))
	var status caller.JobStatus
	require.NoError(t, json.Unmarshal(submitted.Body(), &status))

	cases := map[string]struct {
		method, path, token, body string
		headers                   map[string]string
		status                    int
		outcome                   caller.Outcome
	}{
		"no token":                 {"GET", "/v1/jobs", "", "", nil, 401, ""},
		"own job":                  {"GET", "/v1/jobs/" + string(status.ID), "secret-a", "", nil, 200, ""},
		"another account's job":    {"GET", "/v1/jobs/" + string(status.ID), "secret-b", "", nil, 404, ""},
		"cancel of another's job":  {"DELETE", "/v1/jobs/" + string(status.ID), "secret-b", "", nil, 404, ""},
		"unknown job":              {"GET", "/v1/jobs/none", "secret-a", "", nil, 404, ""},
		"the same key again":       {"POST", "/v1/jobs", "secret-a", job("own", "1x1"), nil, 202, caller.Accepted},
		"a job that can never run": {"POST", "/v1/jobs", "secret-a", job("never", "1x64"), nil, 422, caller.NotRun},
		"a job without a key":      {"POST", "/v1/jobs", "secret-a", job("", "1x1"), nil, 422, caller.NotRun},
		"malformed job":            {"POST", "/v1/jobs", "secret-a", "{", nil, 400, caller.NotRun},
		"body too large":           {"POST", "/v1/jobs", "secret-a", strings.Repeat("x", 65<<10), nil, 413, caller.NotRun},
		"header too large":         {"GET", "/v1/jobs", "secret-a", "", map[string]string{"X": strings.Repeat("x", 20<<10)}, 431, caller.NotRun},
		"unknown service":          {"GET", "/service/none/x", "secret-a", "", nil, 404, caller.NotRun},
		"malformed deadline":       {"GET", "/service/catalogue/x", "secret-a", "", map[string]string{caller.HeaderDeadline: "soon"}, 400, caller.NotRun},
		"request":                  {"GET", "/service/catalogue/x", "secret-a", "", nil, 200, caller.Answered},
		"operators' path":          {"GET", "/v1/config", "secret-a", "", nil, 404, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			resp := send(t, address, c.method, c.path, c.token, c.body, c.headers)
			require.Equal(t, c.status, resp.StatusCode(), string(resp.Body()))
			require.Equal(t, string(c.outcome), string(resp.Header.Peek(caller.HeaderOutcome)))
		})
	}
	forbidden := send(t, entries[0].Settings.Operators, "GET", "/v1/config", "secret-a", "", nil)
	require.Equal(t, fasthttp.StatusForbidden, forbidden.StatusCode())

	t.Run("a request with a key runs once across all instances", func(t *testing.T) {
		var wait sync.WaitGroup
		answers := make([]string, 8)
		for i := range answers {
			wait.Go(func() {
				resp := send(t, entries[i%2].Settings.Callers, "POST", "/service/catalogue/pay", "secret-a", fmt.Sprint("crate ", i), map[string]string{caller.HeaderKey: "order-1"})
				answers[i] = string(resp.Body())
			})
		}
		wait.Wait()
		for _, answer := range answers {
			require.Equal(t, answers[0], answer, "a repeated request gets the first answer")
		}
	})

	t.Run("a store outage refuses a job as not run, with a retry delay", func(t *testing.T) {
		p.Store.SetFaults(storeservice.Faults{Outage: true})
		defer p.Store.SetFaults(storeservice.Faults{})
		c := caller.NewClient(address, platform.OperatorToken)
		require.Eventually(t, func() bool {
			_, err := c.Submit(context.Background(), "a", caller.Job{Key: "outage", Shape: ids.Shape{Tasks: 1, Each: ids.Resources{Accelerators: 1}}})
			var fault *caller.Fault
			return errors.As(err, &fault) && fault.Code == "StoreOut" && fault.RetryAfter > 0
		}, 10*time.Second, 50*time.Millisecond)
	})
}
