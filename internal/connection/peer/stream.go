package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/jujubegrade/jujubegrade/internal/process/inflight"
)

// stream reads and writes messages, each after its size. It limits the time in which a message arrives and in which one is taken, and the memory of the messages read.
type stream struct {
	conn   net.Conn
	reader *bufio.Reader
	// maxSize is the size of the largest message that is read; zero means no limit.
	maxSize uint64
	// budget is the memory that the calls in flight may take; nil means no limit.
	budget *inflight.Budget
	// onClose is called when the stream is closed, and onRefuse for a message that is not read; nil ignores them.
	onClose  func()
	onRefuse func(cause inflight.Cause)

	// hold is the part of the budget that the message read last takes.
	hold *inflight.Hold

	writing sync.Mutex
	writer  *bufio.Writer
}

// timedWriter limits the time in which the other end takes each part of what is written.
type timedWriter struct{ net.Conn }

const (
	// messageTimeout limits the time in which a message arrives once it has begun.
	messageTimeout = 10 * time.Second
	// writeTimeout limits the time in which the other end takes writePart bytes. It is longer than any call between instances takes.
	writeTimeout = 2 * time.Second
	writePart    = 64 << 10
	// firstRead is the size of the buffer for the beginning of a message.
	firstRead = 4 << 10
	// callBytes is what a call takes besides its message: a goroutine and its answer.
	callBytes inflight.Bytes = 8 << 10
	// callCopies is how often the bytes of a message are held: as read, as parameters, and decoded, where an invalid byte takes three.
	callCopies = 5
)

var (
	// errTooLarge means that a message exceeds the limit; the connection is closed.
	errTooLarge = errors.New("the message is too large")
	// errNoMemory means that a message does not fit beside the other calls in flight; the connection is closed.
	errNoMemory = errors.New("the calls in flight take all memory meant for them")
)

func newStream(conn net.Conn) *stream {
	return &stream{conn: conn, reader: bufio.NewReader(conn), writer: bufio.NewWriter(timedWriter{conn})}
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *stream) WriteObject(v any) error {
	s.writing.Lock()
	defer s.writing.Unlock()
	if err := (jsonrpc2.VarintObjectCodec{}).WriteObject(s.writer, v); err != nil {
		return err
	}
	return s.writer.Flush()
}

// Write implements io.Writer.
func (w timedWriter) Write(p []byte) (written int, err error) {
	for len(p) > 0 && err == nil {
		part := p[:min(len(p), writePart)]
		if err := w.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return written, err
		}
		var n int
		n, err = w.Conn.Write(part)
		written, p = written+n, p[n:]
	}
	return written, err
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *stream) ReadObject(v any) (err error) {
	// The message before may have been none that is handled.
	s.take().Close()
	defer func() {
		if err != nil {
			s.take().Close()
		}
	}()
	if _, err := s.reader.Peek(1); err != nil {
		return err
	}
	hasDeadline := false
	// await sets the deadline unless the next n bytes were received.
	await := func(n uint64) error {
		if hasDeadline || uint64(s.reader.Buffered()) >= n {
			return nil
		}
		hasDeadline = true
		return s.conn.SetReadDeadline(time.Now().Add(messageTimeout))
	}
	if err := await(binary.MaxVarintLen64); err != nil {
		return err
	}
	size, err := binary.ReadUvarint(s.reader)
	if err != nil {
		return err
	}
	if s.maxSize > 0 && size > s.maxSize {
		return s.refuse(errTooLarge, inflight.TooLarge)
	}
	if err := await(size); err != nil {
		return err
	}
	text, err := s.read(size)
	if err != nil {
		return err
	}
	if hasDeadline {
		if err := s.conn.SetReadDeadline(time.Time{}); err != nil {
			return err
		}
	}
	return json.Unmarshal(text, v)
}

// read reads a message of a size, and reserves the memory that its call takes as the bytes come.
func (s *stream) read(size uint64) ([]byte, error) {
	hold := s.budget.Open(func() { _ = s.conn.SetReadDeadline(time.Unix(1, 0)) }) // the read that waits fails at once
	s.hold = hold
	var text []byte
	for uint64(len(text)) < size {
		grown := int(min(size, max(firstRead, 2*uint64(len(text)))))
		if !hold.Grow(inflight.Bytes(grown - len(text))) {
			return nil, s.refuse(errNoMemory, inflight.NoMemory)
		}
		begun := len(text)
		text = append(make([]byte, 0, grown), text...)[:grown]
		if _, err := io.ReadFull(s.reader, text[begun:]); err != nil {
			if hold.IsInterrupted() {
				err = s.refuse(errNoMemory, inflight.NoMemory)
			}
			return nil, err
		}
	}
	if !hold.Grow(callBytes+inflight.Decoded(text, callCopies)) || !hold.Received() {
		return nil, s.refuse(errNoMemory, inflight.NoMemory)
	}
	return text, nil
}

func (s *stream) refuse(err error, cause inflight.Cause) error {
	if s.onRefuse != nil {
		s.onRefuse(cause)
	}
	return err
}

// take returns the part of the budget that the message read last takes, which whoever handles it gives back.
func (s *stream) take() *inflight.Hold {
	hold := s.hold
	s.hold = nil
	return hold
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error {
	if s.onClose != nil {
		s.onClose()
	}
	return s.conn.Close()
}
