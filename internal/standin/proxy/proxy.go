// Package proxy is a stand-in for a network link: a TCP proxy on loopback that injects faults into the connections through it.
package proxy

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

type (
	// Fault is a fault of a link. Its fields can be combined; the zero value is no fault.
	Fault struct {
		// Delay is added to all data.
		Delay time.Duration
		// BytesPerSecond limits each direction of a connection; zero means no limit.
		BytesPerSecond int
		// HoldRequests and HoldResponses hold back what is sent to the target, or by it, until the fault ends. Both make the link silent.
		HoldRequests, HoldResponses bool
		// Reset resets all connections, and new ones once they are accepted.
		Reset bool
		// Refuse resets all connections and refuses new ones.
		Refuse bool
		// HalfOpen accepts new connections, and delivers nothing on any connection that was open during the fault, even after it.
		HalfOpen bool
	}

	// Proxy forwards connections to a target. Its zero value forwards nothing until Listen is called.
	Proxy struct {
		// Target is the address to which connections are forwarded.
		Target string

		mu       sync.Mutex
		address  string
		listener net.Listener
		closed   bool
		faults   map[*Fault]bool
		conns    map[*conn]bool
		// changed is closed and replaced when the faults change.
		changed chan struct{}
	}

	// conn is a connection of a client and the one to the target.
	conn struct {
		proxy *Proxy
		// client and server are guarded by the proxy's lock; server is nil until the target has accepted.
		client, server net.Conn
		// dead means that nothing is delivered any more.
		dead bool
		// closed is closed with the connection.
		closed chan struct{}
	}
)

const (
	dialTimeout = time.Second
	// listenTimeout bounds the attempts to listen again after connections were refused.
	listenTimeout = 5 * time.Second
	bufferSize    = 16 << 10
)

// Random returns a random fault.
func Random(r *rand.Rand) Fault {
	return []Fault{
		{Delay: time.Duration(1+r.IntN(400)) * time.Millisecond},
		{BytesPerSecond: 200 << r.IntN(6)},
		{HoldRequests: true},
		{HoldResponses: true},
		{HoldRequests: true, HoldResponses: true},
		{Reset: true},
		{Reset: true},
		{Refuse: true},
		{Refuse: true},
		{HalfOpen: true},
	}[r.IntN(10)]
}

// String returns the fault's fields that are set.
func (f Fault) String() string {
	text := ""
	for _, field := range []struct {
		name string
		set  bool
	}{
		{fmt.Sprintf("Delay %v", f.Delay), f.Delay > 0},
		{fmt.Sprintf("BytesPerSecond %d", f.BytesPerSecond), f.BytesPerSecond > 0},
		{"HoldRequests", f.HoldRequests},
		{"HoldResponses", f.HoldResponses},
		{"Reset", f.Reset},
		{"Refuse", f.Refuse},
		{"HalfOpen", f.HalfOpen},
	} {
		if field.set && text != "" {
			text += ", "
		}
		if field.set {
			text += field.name
		}
	}
	return text
}

// Listen listens at an address and forwards connections until Close is called.
func (p *Proxy) Listen(address string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns, p.faults, p.changed = make(map[*conn]bool), make(map[*Fault]bool), make(chan struct{})
	return p.listen(address)
}

func (p *Proxy) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	p.listener, p.address = l, l.Addr().String()
	go p.accept(l)
	return nil
}

// Address returns the address at which the proxy listens.
func (p *Proxy) Address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// Close closes all connections and stops listening.
func (p *Proxy) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.listener != nil {
		_ = p.listener.Close()
	}
	for c := range p.conns {
		c.close()
	}
}

// Begin injects a fault, beside those in progress, until end is called.
func (p *Proxy) Begin(f Fault) (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := &f
	p.faults[key] = true
	p.apply()
	return sync.OnceFunc(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.faults, key)
		p.apply()
	})
}

// current returns the combination of the faults in progress.
func (p *Proxy) current() Fault {
	var sum Fault
	for f := range p.faults {
		sum.Delay += f.Delay
		if f.BytesPerSecond > 0 && (sum.BytesPerSecond == 0 || f.BytesPerSecond < sum.BytesPerSecond) {
			sum.BytesPerSecond = f.BytesPerSecond
		}
		sum.HoldRequests = sum.HoldRequests || f.HoldRequests
		sum.HoldResponses = sum.HoldResponses || f.HoldResponses
		sum.Reset = sum.Reset || f.Reset
		sum.Refuse = sum.Refuse || f.Refuse
		sum.HalfOpen = sum.HalfOpen || f.HalfOpen
	}
	return sum
}

// apply brings the listener and the connections in line with the faults.
func (p *Proxy) apply() {
	close(p.changed)
	p.changed = make(chan struct{})
	f := p.current()
	for c := range p.conns {
		c.dead = c.dead || f.HalfOpen
		if f.Reset || f.Refuse {
			c.reset()
		}
	}
	switch {
	case p.closed:
	case f.Refuse && p.listener != nil:
		_ = p.listener.Close()
		p.listener = nil
	case !f.Refuse && p.listener == nil:
		go p.listenAgain()
	}
}

// listenAgain listens again after connections were refused.
func (p *Proxy) listenAgain() {
	for end := time.Now().Add(listenTimeout); ; time.Sleep(10 * time.Millisecond) {
		p.mu.Lock()
		if p.closed || p.listener != nil || p.current().Refuse {
			p.mu.Unlock()
			return
		}
		err := p.listen(p.address)
		p.mu.Unlock()
		if err == nil {
			return
		}
		if time.Now().After(end) {
			panic(err) // another process has taken the port
		}
	}
}

func (p *Proxy) accept(l net.Listener) {
	for {
		client, err := l.Accept()
		if err != nil {
			return
		}
		c := &conn{proxy: p, client: client, closed: make(chan struct{})}
		p.mu.Lock()
		p.conns[c] = true
		f := p.current()
		c.dead = f.HalfOpen
		if p.closed || f.Reset || f.Refuse {
			c.reset()
		}
		p.mu.Unlock()
		go c.forward()
	}
}

// forward forwards a connection in both directions until it is closed.
func (c *conn) forward() {
	server, err := net.DialTimeout("tcp", c.proxy.Target, dialTimeout)
	c.proxy.mu.Lock()
	select {
	case <-c.closed:
		if err == nil {
			_ = server.Close()
		}
		c.proxy.mu.Unlock()
		return
	default:
	}
	if err != nil {
		c.reset()
		c.proxy.mu.Unlock()
		return
	}
	c.server = server
	c.proxy.mu.Unlock()
	go c.pipe(c.client, server, false)
	c.pipe(server, c.client, true)
}

// pipe forwards one direction.
func (c *conn) pipe(dst, src net.Conn, requests bool) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := src.Read(buffer)
		if !c.wait(n, requests) {
			// The peers learn of nothing any more, not even of each other's end.
			_, _ = io.Copy(io.Discard, src)
			_ = src.Close()
			return
		}
		if n > 0 {
			if _, writeErr := dst.Write(buffer[:n]); writeErr != nil && err == nil {
				err = writeErr
			}
		}
		if err == nil {
			continue
		}
		c.proxy.mu.Lock()
		defer c.proxy.mu.Unlock()
		if errors.IsAny(err, syscall.ECONNRESET, syscall.EPIPE) {
			c.reset()
		} else {
			c.close()
		}
		return
	}
}

// wait waits until n bytes may be delivered; it returns false if they never may.
func (c *conn) wait(n int, requests bool) bool {
	for waited := false; ; {
		c.proxy.mu.Lock()
		f, changed, dead := c.proxy.current(), c.proxy.changed, c.dead
		c.proxy.mu.Unlock()
		var pause <-chan time.Time
		switch {
		case dead:
			return false
		case requests && f.HoldRequests, !requests && f.HoldResponses:
		case waited || f.Delay == 0 && f.BytesPerSecond == 0:
			return true
		default:
			waited = true
			d := f.Delay
			if f.BytesPerSecond > 0 {
				d += time.Duration(n) * time.Second / time.Duration(f.BytesPerSecond)
			}
			pause, changed = time.After(d), nil
		}
		select {
		case <-changed:
		case <-pause:
		case <-c.closed:
			return true
		}
	}
}

// reset closes both connections with a reset.
func (c *conn) reset() {
	for _, nc := range []net.Conn{c.client, c.server} {
		if tcp, ok := nc.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	c.close()
}

// close closes both connections.
func (c *conn) close() {
	if !c.proxy.conns[c] {
		return
	}
	delete(c.proxy.conns, c)
	close(c.closed)
	_ = c.client.Close()
	if c.server != nil {
		_ = c.server.Close()
	}
}
