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
	// idempotencyTable holds the requests with an idempotency key whose home instance is this one, by account, service and
	// key. Each runs at most once; a repeated request gets the answer to the first one. The zero value is empty.
	idempotencyTable struct {
		mu      sync.Mutex
		entries map[string]*idempotencyEntry
	}

	idempotencyEntry struct {
		done      chan struct{}
		claimedAt time.Time
		reply     peer.Response
	}
)

const (
	// idempotencyTTL is how long a key is kept, counted from its first request.
	idempotencyTTL = 10 * time.Minute
	// maxIdempotencyKeys bounds the number of keys kept.
	maxIdempotencyKeys = 20000
)

// errTooManyKeys means that the table is full; the request was not run.
var errTooManyKeys = errors.New("too many idempotency keys are in use")

// claim returns the entry of a key, and whether the caller is the first to use the key and must complete the entry.
func (t *idempotencyTable) claim(key string) (entry *idempotencyEntry, first bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if entry := t.entries[key]; entry != nil && time.Since(entry.claimedAt) < idempotencyTTL {
		return entry, false, nil
	}
	if t.entries == nil {
		t.entries = make(map[string]*idempotencyEntry)
	}
	if len(t.entries) >= maxIdempotencyKeys {
		t.removeExpired()
	}
	if len(t.entries) >= maxIdempotencyKeys {
		return nil, false, errTooManyKeys
	}
	entry = &idempotencyEntry{done: make(chan struct{}), claimedAt: time.Now()}
	t.entries[key] = entry
	return entry, true, nil
}

func (t *idempotencyTable) removeExpired() {
	for key, entry := range t.entries {
		if time.Since(entry.claimedAt) >= idempotencyTTL {
			delete(t.entries, key)
		}
	}
}

// complete stores the answer to the first request. If that request was not run, its key is removed and can be used again.
func (t *idempotencyTable) complete(key string, entry *idempotencyEntry, reply peer.Response) {
	entry.reply = reply
	if caller.Outcome(reply.Outcome) == caller.NotRun {
		t.mu.Lock()
		delete(t.entries, key)
		t.mu.Unlock()
	}
	close(entry.done)
}

// forwardWithKey sends a request with an idempotency key through the key's home instance.
func (e *Entry) forwardWithKey(ctx *fasthttp.RequestCtx, s *service.Service, req *service.Request, key string) {
	in := peer.Request{
		Service: s.ID, Account: req.Account.ID, ID: req.ID, Key: key, Method: string(ctx.Method()),
		Path: string(ctx.Request.RequestURI()), Type: string(ctx.Request.Header.ContentType()),
		Body: ctx.Request.Body(), Left: time.Until(req.Deadline),
	}
	home, found := e.homeInstance(string(in.Account) + "\x00" + string(in.Service) + "\x00" + key)
	if !found {
		e.replyFault(ctx, &httpjson.Fault{Status: fasthttp.StatusServiceUnavailable, Code: codeNotReady, Message: "the key's home instance is not reachable", RetryAfter: 1})
		return
	}
	callCtx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	var reply peer.Response
	var err error
	if home == nil {
		reply, err = e.serveWithKey(callCtx, in)
	} else {
		err = home.Call(callCtx, peer.MethodRequest, in, &reply)
	}
	if err != nil {
		e.replyFault(ctx, faultOf(err))
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

// serveWithKey serves a request on its key's home instance. The first request is sent to a runner, at most once; later ones
// wait for its answer.
func (e *Entry) serveWithKey(ctx context.Context, in peer.Request) (peer.Response, error) {
	key := string(in.Account) + "\x00" + string(in.Service) + "\x00" + in.Key
	entry, first, err := e.idempotency.claim(key)
	if err != nil {
		return peer.Response{}, &httpjson.Fault{Status: fasthttp.StatusServiceUnavailable, Code: codeNotReady, Message: err.Error(), RetryAfter: 1}
	}
	if first {
		e.idempotency.complete(key, entry, e.sendToRunner(in))
	}
	select {
	case <-entry.done:
		return entry.reply, nil
	case <-ctx.Done():
		return peer.Response{}, &httpjson.Fault{Status: fasthttp.StatusGatewayTimeout, Code: codeOutcomeUnknown, Message: "the first request with this key is still running", RetryAfter: 1}
	}
}

func (e *Entry) sendToRunner(in peer.Request) peer.Response {
	refused := func(reason string) peer.Response {
		return peer.Response{Status: fasthttp.StatusServiceUnavailable, Outcome: string(caller.NotRun), Body: []byte(reason), RetryAfter: time.Second}
	}
	c := e.currentConfig()
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
