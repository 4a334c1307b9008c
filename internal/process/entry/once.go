package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/jujubegrade/jujubegrade/internal/connection/httpjson"
	"github.com/jujubegrade/jujubegrade/internal/connection/peer"
	"github.com/jujubegrade/jujubegrade/internal/request/service"
	"github.com/jujubegrade/jujubegrade/pkg/caller"
)

type (
	// onceTable holds the requests that may run once at most and that have their home here, by account, service and
	// key. A repetition gets the first one's answer. Its zero value is empty.
	onceTable struct {
		mu      sync.Mutex
		entries map[string]*onceEntry
	}

	onceEntry struct {
		done  chan struct{}
		at    time.Time
		reply peer.Response
	}
)

const (
	// onceTime is how long the answer to a key is kept.
	onceTime = 10 * time.Minute
	// onceLimit bounds the keys that are kept.
	onceLimit = 20000
)

// errOnceFull tells that no more keys can be kept; the request was not run.
var errOnceFull = errors.New("too many idempotency keys are in use")

// join returns the entry of a key, and whether the caller is the first and has to fill it.
func (t *onceTable) join(key string) (entry *onceEntry, first bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if entry := t.entries[key]; entry != nil && time.Since(entry.at) < onceTime {
		return entry, false, nil
	}
	if t.entries == nil {
		t.entries = make(map[string]*onceEntry)
	}
	if len(t.entries) >= onceLimit {
		t.expire()
	}
	if len(t.entries) >= onceLimit {
		return nil, false, errOnceFull
	}
	entry = &onceEntry{done: make(chan struct{}), at: time.Now()}
	t.entries[key] = entry
	return entry, true, nil
}

func (t *onceTable) expire() {
	for key, entry := range t.entries {
		if time.Since(entry.at) >= onceTime {
			delete(t.entries, key)
		}
	}
}

// fill keeps the first request's answer. One that was not run is forgotten, so that the key can be used again.
func (t *onceTable) fill(key string, entry *onceEntry, reply peer.Response) {
	entry.reply = reply
	if caller.Outcome(reply.Outcome) == caller.NotRun {
		t.mu.Lock()
		delete(t.entries, key)
		t.mu.Unlock()
	}
	close(entry.done)
}

// forwardOnce sends a request with an idempotency key by way of the key's home instance.
func (e *Entry) forwardOnce(ctx *fasthttp.RequestCtx, s *service.Service, req *service.Request, key string) {
	in := peer.Request{
		Service: s.ID, Account: req.Account.ID, ID: req.ID, Key: key, Method: string(ctx.Method()),
		Path: string(ctx.Request.RequestURI()), Type: string(ctx.Request.Header.ContentType()),
		Body: ctx.Request.Body(), Left: time.Until(req.Deadline),
	}
	home, found := e.home(string(in.Account) + "\x00" + string(in.Service) + "\x00" + key)
	if !found {
		e.replyRefused(ctx, &httpjson.Fault{Status: fasthttp.StatusServiceUnavailable, Code: codeNotReady, Message: "the key's home instance is not reachable", RetryAfter: 1})
		return
	}
	callCtx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	var reply peer.Response
	var err error
	if home == nil {
		reply, err = e.serveOnce(callCtx, in)
	} else {
		err = home.Call(callCtx, peer.MethodRequest, in, &reply)
	}
	if err != nil {
		e.replyRefused(ctx, faultOf(err))
		return
	}
	ctx.Response.Reset()
	ctx.SetStatusCode(reply.Status)
	ctx.SetContentType(reply.Type)
	ctx.SetBody(reply.Body)
	ctx.Response.Header.Set(caller.HeaderRequest, string(req.ID))
	ctx.Response.Header.Set(caller.HeaderOutcome, reply.Outcome)
	if reply.RetryAfter > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, httpjson.RetryAfterSeconds(reply.RetryAfter.Seconds()))
	}
}

// serveOnce runs a request at its key's home. The first one is sent to a runner, at most once; the others wait for it.
func (e *Entry) serveOnce(ctx context.Context, in peer.Request) (peer.Response, error) {
	key := string(in.Account) + "\x00" + string(in.Service) + "\x00" + in.Key
	entry, first, err := e.once.join(key)
	if err != nil {
		return peer.Response{}, &httpjson.Fault{Status: fasthttp.StatusServiceUnavailable, Code: codeNotReady, Message: err.Error(), RetryAfter: 1}
	}
	if first {
		e.once.fill(key, entry, e.runOnce(in))
	}
	select {
	case <-entry.done:
		return entry.reply, nil
	case <-ctx.Done():
		return peer.Response{}, &httpjson.Fault{Status: fasthttp.StatusGatewayTimeout, Code: codeOutcomeUnknown, Message: "the first request with this key has not ended", RetryAfter: 1}
	}
}

func (e *Entry) runOnce(in peer.Request) peer.Response {
	refused := func(reason string) peer.Response {
		return peer.Response{Status: fasthttp.StatusServiceUnavailable, Outcome: string(caller.NotRun), Body: []byte(reason), RetryAfter: time.Second}
	}
	c := e.compiled()
	s := e.service(in.Service)
	if c == nil || s == nil || c.Accounts[in.Account] == nil {
		return refused("the service or client account is not known here yet")
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(in.Method)
	req.SetRequestURI(in.Path)
	req.SetHost("runner")
	req.Header.SetContentType(in.Type)
	req.SetBodyRaw(in.Body)
	result := s.Serve(&service.Request{
		ID: in.ID, Account: c.Accounts[in.Account], Deadline: time.Now().Add(in.Left), Policy: &c.Policy,
		Settings: c.Service(s.ID), HTTP: req,
	}, resp)
	if result.Outcome != caller.Answered {
		return peer.Response{Status: result.Status, Outcome: string(result.Outcome), Body: []byte(result.Reason), RetryAfter: result.RetryAfter}
	}
	return peer.Response{
		Status: resp.StatusCode(), Outcome: string(result.Outcome),
		Body: append([]byte(nil), resp.Body()...), Type: string(resp.Header.ContentType()),
	}
}
