// Package httpjson implements typed calls as JSON over HTTP, for clients and servers.
package httpjson

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

type (
	// Fault is the typed error of a call and the body of its response.
	Fault struct {
		// Status is the HTTP status.
		Status int `json:"-"`
		// Code identifies the kind of error; it is stable.
		Code string
		// Message is a human-readable description.
		Message string
		// RetryAfter is the delay before a retry, in seconds; zero means unspecified.
		RetryAfter float64 `json:",omitempty"`
	}

	// Client is an HTTP client for one address, with its connection pool.
	Client struct {
		// Address is IP:port.
		Address string
		// Token is the bearer token sent with each call; no token is sent if it is empty.
		Token string
		// Timeout limits a call whose context has no deadline.
		Timeout time.Duration

		client fasthttp.HostClient
	}

	// Response is the response to one request.
	Response struct {
		Status int
		Body   []byte
	}
)

const (
	defaultTimeout = 5 * time.Second
	maxIdleTime    = 20 * time.Second
)

var (
	// ErrNotSent means that no byte of the request was delivered.
	ErrNotSent = errors.New("the HTTP request was not sent")
	// ErrNoResponse means that no complete response was received.
	ErrNoResponse = errors.New("no HTTP response was received")
	// ErrClosed means that the connection was closed or reset before a complete response.
	ErrClosed = errors.New("the connection was closed before the HTTP response")
)

// Error returns the fault's message.
func (f *Fault) Error() string {
	return f.Message
}

// NewClient returns a client for an address.
func NewClient(address string) *Client {
	return &Client{Address: address, client: fasthttp.HostClient{
		Addr:                address,
		MaxConns:            512,
		MaxIdleConnDuration: maxIdleTime,
		// A request that was sent may have taken effect, so the transport never retries.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial:                      dial,
		MaxResponseBodySize:       64 << 20,
	}}
}

func dial(address string) (net.Conn, error) {
	const dialTimeout = time.Second
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	return conn, nil
}

// Call sends in to a path and decodes the response into out; either may be nil.
// A response with status 400 or above is returned as a *Fault.
func (c *Client) Call(ctx context.Context, method, path string, in, out any) error {
	response, err := c.Exchange(ctx, method, path, in)
	if err != nil {
		return err
	}
	return response.decode(out)
}

// Exchange sends in to a path, with header fields as pairs of name and value, and returns the response of any status.
func (c *Client) Exchange(ctx context.Context, method, path string, in any, header ...string) (Response, error) {
	// The transport only knows the deadline. Without this check, a call that was cancelled before it began would be sent.
	if err := ctx.Err(); err != nil {
		return Response{}, errors.Mark(errors.Wrapf(err, "%s %s", method, path), ErrNotSent)
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.Address + path)
	if c.Token != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.Token)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return Response{}, errors.Mark(err, ErrNotSent)
		}
		req.SetBodyRaw(body)
		req.Header.SetContentType("application/json")
	}
	if err := c.client.DoDeadline(req, resp, c.deadline(ctx)); err != nil {
		if errors.Is(err, ErrNotSent) || errors.Is(err, fasthttp.ErrNoFreeConns) || errors.Is(err, fasthttp.ErrDialTimeout) {
			return Response{}, errors.Mark(err, ErrNotSent)
		}
		if errors.Is(err, fasthttp.ErrTimeout) {
			// All connections may have gone silent at once; the next call opens a new one.
			c.client.CloseIdleConnections()
		}
		if errors.IsAny(err, fasthttp.ErrConnectionClosed, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE) {
			err = errors.Mark(err, ErrClosed)
		}
		return Response{}, errors.Mark(errors.Wrapf(err, "%s %s", method, path), ErrNoResponse)
	}
	return Response{Status: resp.StatusCode(), Body: bytes.Clone(resp.Body())}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.client.CloseIdleConnections() }

func (c *Client) deadline(ctx context.Context) time.Time {
	if deadline, found := ctx.Deadline(); found {
		return deadline
	}
	if c.Timeout > 0 {
		return time.Now().Add(c.Timeout)
	}
	return time.Now().Add(defaultTimeout)
}

// Decode decodes the response body into out, regardless of the status.
func (a Response) Decode(out any) error {
	if err := json.Unmarshal(a.Body, out); err != nil {
		return errors.Mark(errors.Wrap(err, "malformed response"), ErrNoResponse)
	}
	return nil
}

func (a Response) decode(out any) error {
	if a.Status >= fasthttp.StatusBadRequest {
		fault := &Fault{Status: a.Status}
		if err := json.Unmarshal(a.Body, fault); err != nil || fault.Code == "" {
			fault.Code = "Unexpected"
			fault.Message = "unexpected response with status " + strconv.Itoa(a.Status)
		}
		return fault
	}
	if out == nil || len(a.Body) == 0 {
		return nil
	}
	return a.Decode(out)
}

// Reply writes a value as the response.
func Reply(ctx *fasthttp.RequestCtx, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ReplyFault(ctx, &Fault{Status: fasthttp.StatusInternalServerError, Code: "Internal", Message: err.Error()})
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// ReplyFault writes a fault as the response, with a Retry-After header in whole seconds.
func ReplyFault(ctx *fasthttp.RequestCtx, fault *Fault) {
	Reply(ctx, fault.Status, fault)
	if fault.RetryAfter > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, RetryAfterSeconds(fault.RetryAfter))
	}
}

// RetryAfterSeconds formats a delay for the Retry-After header: whole seconds, at least one.
func RetryAfterSeconds(seconds float64) string {
	return strconv.Itoa(max(1, int(seconds+0.999)))
}

// Recover returns a handler that replies with a fault if run panics, so that a panic fails one request and not the process.
// onPanic is called with its cause.
func Recover(run fasthttp.RequestHandler, fault Fault, onPanic func(cause any)) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		defer func() {
			if cause := recover(); cause != nil {
				onPanic(cause)
				ctx.Response.Reset()
				ReplyFault(ctx, &fault)
			}
		}()
		run(ctx)
	}
}

// Handle returns a handler that decodes the request body, calls run and writes its result.
// Errors that are not a *Fault are converted by the fault function.
func Handle[In, Out any](run func(context.Context, In) (Out, error), fault func(error) *Fault) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		var in In
		if body := ctx.PostBody(); len(body) > 0 {
			if err := json.Unmarshal(body, &in); err != nil {
				ReplyFault(ctx, &Fault{Status: fasthttp.StatusBadRequest, Code: "Malformed", Message: err.Error()})
				return
			}
		}
		out, err := run(ctx, in)
		if err == nil {
			Reply(ctx, fasthttp.StatusOK, out)
			return
		}
		var typed *Fault
		if !errors.As(err, &typed) {
			typed = fault(err)
		}
		ReplyFault(ctx, typed)
	}
}
