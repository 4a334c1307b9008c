package httpserver

import (
	"io"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/jujubegrade/jujubegrade/internal/connection/httpjson"
	"github.com/jujubegrade/jujubegrade/internal/process/inflight"
)

// firstRead is the size of the buffer for the beginning of a body. It holds an ordinary body.
const firstRead = 4 << 10

var (
	// errNoMemory means that a body does not fit beside the other calls in flight, and errTooLarge that it exceeds its limit.
	errNoMemory = errors.New("the calls in flight take all memory meant for them")
	errTooLarge = errors.New("the request is too large")
	// errFields means that a header has too many fields.
	errFields = errors.New("the header has too many fields")
)

// receive reads the body of a call and handles it. The memory that it takes is reserved as the bytes come, and given back once the answer is written.
func (s *Server) receive(rc *fasthttp.RequestCtx) {
	c, _ := rc.Conn().(*conn)
	if c == nil {
		s.Handler(rc)
		return
	}
	if rc.Request.Header.Peek(fieldsExceeded) != nil {
		s.replyError(rc, errFields)
		return
	}
	hold := c.beginCall()
	// A request without a body can't be refused for its size, so that readiness and status are answered whatever others send.
	hasBody := rc.Request.IsBodyStream() && rc.Request.Header.ContentLength() != 0
	if hasBody {
		if s.Admit != nil && !s.Admit(rc) {
			s.refused(inflight.Unauthorized)
			rc.SetConnectionClose()
			c.lingers.Store(true)
			return
		}
		body, err := s.read(rc, hold)
		if err != nil {
			s.rejectBody(rc, hold, err)
			return
		}
		rc.Request.SetBodyRaw(body)
	}
	if !hold.Received() {
		s.rejectBody(rc, hold, errNoMemory)
		return
	}
	c.setState(handling)
	defer c.setState(idle)
	s.Handler(rc)
	s.holdAnswer(rc, hold)
}

// holdAnswer reserves the memory of an answer until it is written, in the place of that of its request.
func (s *Server) holdAnswer(rc *fasthttp.RequestCtx, hold *inflight.Hold) {
	if rc.Response.IsBodyStream() {
		return
	}
	size := inflight.Bytes(len(rc.Response.Body()))
	if hold.Resize(size) {
		return
	}
	if s.MayRefuseAnswer == nil || !s.MayRefuseAnswer(rc) {
		hold.Replace(size)
		return
	}
	rc.Response.Reset()
	fault, cause := faultOf(errNoMemory, false)
	s.reject(rc, fault, cause)
}

// read reads a body and reserves the memory that the call takes.
func (s *Server) read(rc *fasthttp.RequestCtx, hold *inflight.Hold) ([]byte, error) {
	length := rc.Request.Header.ContentLength()
	if length > s.MaxBody {
		return nil, errTooLarge
	}
	body, err := s.readBody(rc.RequestBodyStream(), length, hold)
	if err != nil {
		return nil, err
	}
	if len(rc.Request.Header.PeekTrailerKeys()) > 0 {
		dropTrailer(&rc.Request.Header)
	}
	if s.Cost == nil {
		return body, nil
	}
	cost := s.Cost(rc, body)
	if limit := s.Budget.Limit(); limit > 0 && inflight.Bytes(cap(body))+cost > limit {
		return nil, errTooLarge
	}
	if !hold.Grow(cost) {
		return nil, errNoMemory
	}
	return body, nil
}

// readBody reads a body of a length, which is negative if the client has not announced it. The buffer grows as bytes come.
func (s *Server) readBody(stream io.Reader, length int, hold *inflight.Hold) (body []byte, err error) {
	limit := s.MaxBody
	if length >= 0 {
		limit = length
	}
	for err == nil {
		if len(body) == limit {
			return body, requireEnd(stream)
		}
		if len(body) == cap(body) {
			size := min(limit, max(firstRead, 2*cap(body)))
			if !hold.Grow(inflight.Bytes(size - cap(body))) {
				return nil, errNoMemory
			}
			grown := make([]byte, len(body), size)
			copy(grown, body)
			body = grown
		}
		var n int
		n, err = stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
	}
	if err == io.EOF && len(body) < length {
		err = io.ErrUnexpectedEOF
	}
	if err != io.EOF {
		return nil, err
	}
	return body, nil
}

// requireEnd returns an error if a body goes on.
func requireEnd(stream io.Reader) error {
	var next [1]byte
	switch n, err := io.ReadFull(stream, next[:]); {
	case n > 0:
		return errTooLarge
	case err != io.EOF:
		return err
	}
	return nil
}

// dropTrailer drops the fields of the trailer, of which any number may have come and which no handler reads, so that the connection doesn't keep them.
func dropTrailer(h *fasthttp.RequestHeader) {
	var kept fasthttp.RequestHeader
	kept.SetMethodBytes(h.Method())
	kept.SetRequestURIBytes(h.RequestURI())
	kept.SetProtocolBytes(h.Protocol())
	for key, value := range h.All() {
		if string(key) != fasthttp.HeaderTrailer {
			kept.AddBytesKV(key, value)
		}
	}
	*h = fasthttp.RequestHeader{}
	kept.CopyTo(h)
}

// rejectBody answers a call whose body can't be read. It was not handled, so that it never runs.
func (s *Server) rejectBody(rc *fasthttp.RequestCtx, hold *inflight.Hold, err error) {
	fault, cause := faultOf(err, hold.IsInterrupted())
	s.reject(rc, fault, cause)
	hold.Close()
}

// faultOf returns the answer to a call that can't be read, or not any more since it gave way to another.
func faultOf(err error, isInterrupted bool) (*httpjson.Fault, inflight.Cause) {
	var netErr net.Error
	var small *fasthttp.ErrSmallBuffer
	switch {
	case isInterrupted, errors.Is(err, errNoMemory):
		return &httpjson.Fault{Status: fasthttp.StatusServiceUnavailable, Code: string(inflight.NoMemory), Message: errNoMemory.Error(), RetryAfter: retryAfter}, inflight.NoMemory
	case errors.Is(err, errTooLarge):
		return &httpjson.Fault{Status: fasthttp.StatusRequestEntityTooLarge, Code: string(inflight.TooLarge), Message: err.Error()}, inflight.TooLarge
	case errors.Is(err, errFields), errors.As(err, &small):
		return &httpjson.Fault{Status: fasthttp.StatusRequestHeaderFieldsTooLarge, Code: string(inflight.TooLarge), Message: "the header is too large"}, inflight.TooLarge
	case errors.As(err, &netErr) && netErr.Timeout():
		return &httpjson.Fault{Status: fasthttp.StatusRequestTimeout, Code: string(inflight.TooSlow), Message: "the request did not arrive in time"}, inflight.TooSlow
	}
	return &httpjson.Fault{Status: fasthttp.StatusBadRequest, Code: string(inflight.Malformed), Message: "the request is malformed"}, inflight.Malformed
}

// replyError answers a request that the HTTP library can't read.
func (s *Server) replyError(rc *fasthttp.RequestCtx, err error) {
	if rc.Request.Header.Peek(fieldsExceeded) != nil {
		err = errFields
	}
	fault, cause := faultOf(err, false)
	s.reject(rc, fault, cause)
}

// reject answers a call and closes its connection once its client had time to read the answer.
func (s *Server) reject(rc *fasthttp.RequestCtx, fault *httpjson.Fault, cause inflight.Cause) {
	s.refused(cause)
	if c, ok := rc.Conn().(*conn); ok {
		c.lingers.Store(true)
	}
	if s.Refuse == nil {
		httpjson.ReplyFault(rc, fault)
	} else {
		s.Refuse(rc, fault)
	}
	rc.SetConnectionClose()
}
