package message

import (
	"bufio"
	"net"
	"sync/atomic"
	"time"

	"portstall/internal/core"
)

// TunnelLimits limit the lifetime of an opaque tunnel. A tunnel is closed once it reaches any of them.
type TunnelLimits struct {
	Idle  time.Duration // time without a byte in either direction
	Total time.Duration // time since it was opened
	Stall time.Duration // time without a byte from the server since the client's latest; 0: no limit, for silent protocols
	Drain time.Duration // time since its server or the node started to drain
}

// Stream is the message of an opaque request, which asks for the tunnel itself. It is also a core.Body and is safe for
// concurrent use.
type Stream struct {
	Limits TunnelLimits
	spent  atomic.Bool
}

// Spent reports whether bytes of the client may have been sent, so that no other server can get them.
func (s *Stream) Spent() bool { return s.spent.Load() }

// MarkSpent records that bytes of the client are sent from now on.
func (s *Stream) MarkSpent() { s.spent.Store(true) }

// Tunnel is the payload of a served Stream: an open connection to a server to which nothing has been written yet.
type Tunnel interface {
	core.Payload
	// Relay copies bytes in both directions until both sides have ended or a limit is reached, and closes the client's
	// connection. It sends what in has read ahead first; nothing else may read from in or client.
	Relay(client net.Conn, in *bufio.Reader)
}
