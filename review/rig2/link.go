package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// retransmissions are the times after the first sending at which TCP sends data again: the timeout of 200 ms doubles each time.
var retransmissions = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond, 3000 * time.Millisecond, 6200 * time.Millisecond}

// roundTrip is the time that data takes between two zones and back. After a loss TCP sends on, also the end of the connection, once the data sent again is
// acknowledged.
const roundTrip = 3 * time.Millisecond

// link is the network link to an instance: a proxy that cuts it for a while. What is sent during the cut arrives as TCP delivers it: with the first
// retransmission after the cut. A connection that is opened during the cut is open once the cut has ended.
type link struct {
	rec           *record
	name, address string
	target        string

	mu     sync.Mutex
	cutTo  time.Time
	isCut  bool
	healed chan struct{}
}

func newLink(rec *record, name, target string) *link {
	l, err := net.Listen("tcp", loopback(202)+":0")
	if err != nil {
		cannotRun(err.Error())
	}
	k := &link{rec: rec, name: name, address: l.Addr().String(), target: target, healed: make(chan struct{})}
	close(k.healed)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go k.forward(conn)
		}
	}()
	return k
}

// cut cuts the link for a time.
func (k *link) cut(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.rec.log("the link to %s is cut for %v", k.name, d)
	k.cutTo, k.isCut, k.healed = time.Now().Add(d), true, make(chan struct{})
	time.AfterFunc(d, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.isCut = false
		close(k.healed)
		k.rec.log("the link to %s works again", k.name)
	})
}

func (k *link) state() (cut bool, to time.Time, healed chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.isCut, k.cutTo, k.healed
}

// forward forwards one connection.
func (k *link) forward(client net.Conn) {
	_, _, healed := k.state()
	<-healed
	server, err := net.Dial("tcp", k.target)
	if err != nil {
		if c, ok := client.(*net.TCPConn); ok {
			_ = c.SetLinger(0)
		}
		_ = client.Close()
		return
	}
	go k.copy(client, server)
	k.copy(server, client)
}

// copy forwards one direction in order.
func (k *link) copy(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	var heldUntil time.Time
	for {
		n, err := from.Read(buffer)
		sent := time.Now()
		if cut, until, _ := k.state(); cut {
			for _, after := range retransmissions {
				if at := sent.Add(after); at.After(until) {
					if at.After(heldUntil) {
						heldUntil = at
					}
					break
				}
			}
		}
		if held := time.Until(heldUntil); held > 0 {
			time.Sleep(held)
			k.rec.log("link to %s: %d bytes from %s arrive that were sent %v ago (%v)", k.name, n, from.RemoteAddr(), time.Since(sent).Round(time.Millisecond), err)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err == io.EOF {
			if !heldUntil.IsZero() {
				time.Sleep(time.Until(heldUntil.Add(roundTrip)))
			}
			if c, ok := to.(*net.TCPConn); ok {
				_ = c.CloseWrite()
			}
			return
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}
