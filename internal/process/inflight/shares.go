package inflight

type (
	// Shares divides the memory and the file descriptors of a process among its listeners.
	Shares struct {
		// Connections, Calls, Control and Peers are parts of the memory limit: for connections of clients, for their calls in flight, for listeners that
		// clients don't use, and for calls of other instances. Their sum with that of accepted jobs leaves room for everything else.
		Connections, Calls, Control, Peers float64
		// MaxConnections limits the connections of clients, whatever memory there is; zero means DefaultMaxConnections.
		MaxConnections int
		// HeaderBytes is the size of the largest header of a request, for which each connection has a buffer.
		HeaderBytes Bytes
	}

	// Limits are the limits of a process's listeners.
	Limits struct {
		// Connections, ControlConnections and PeerConnections limit the open connections of clients, of each listener that clients don't use, and of other instances.
		Connections, ControlConnections, PeerConnections int
		// Calls, Control and Peers limit the memory of their calls in flight; zero means no limit.
		Calls, Control, Peers Bytes
	}
)

const (
	// DefaultMaxConnections limits the connections of clients of a process without a memory limit.
	DefaultMaxConnections = 64 << 10
	// connectionBytes is the memory of an open connection besides the buffer of its header: the fields of a header, a buffer for answers and the stack of its goroutine.
	connectionBytes Bytes = 24 << 10
	// minConnections is the least limit of connections of clients, which a process with little memory has.
	minConnections = 64
	// maxControlConnections limits the connections of each listener that clients don't use, and maxPeerConnections those of other instances.
	maxControlConnections = 256
	maxPeerConnections    = 256
	// clientDescriptors, controlDescriptors and peerDescriptors divide the file descriptors: a half for clients, a sixteenth for each listener that they
	// don't use, an eighth for other instances. The rest is left for connections to workers, the store and files.
	clientDescriptors  = 2
	controlDescriptors = 16
	peerDescriptors    = 8
)

// ConnectionBytes returns the memory of an open connection of a client.
func (s Shares) ConnectionBytes() Bytes { return connectionBytes + s.HeaderBytes }

// Limits returns the limits under a memory limit and a limit of file descriptors; zero means that there is none.
func (s Shares) Limits(memory Bytes, descriptors int) Limits {
	l := Limits{Connections: s.MaxConnections, ControlConnections: maxControlConnections, PeerConnections: maxPeerConnections}
	if l.Connections == 0 {
		l.Connections = DefaultMaxConnections
	}
	if memory > 0 {
		part := func(share float64) Bytes { return Bytes(share * float64(memory)) }
		l.Connections = min(l.Connections, max(minConnections, int(part(s.Connections)/s.ConnectionBytes())))
		l.Calls, l.Control, l.Peers = part(s.Calls), part(s.Control), part(s.Peers)
	}
	if descriptors > 0 {
		l.Connections = max(1, min(l.Connections, descriptors/clientDescriptors))
		l.ControlConnections = max(1, min(l.ControlConnections, descriptors/controlDescriptors))
		l.PeerConnections = max(1, min(l.PeerConnections, descriptors/peerDescriptors))
	}
	return l
}
