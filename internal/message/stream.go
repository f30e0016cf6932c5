package message

import (
	"bufio"
	"net"
	"sync/atomic"
	"time"

	"portstall/internal/core"
)

// Limits bound the life of an opaque tunnel. None outlives them.
type Limits struct {
	Idle  time.Duration // without a byte either way
	Total time.Duration // from its opening
	Stall time.Duration // without a byte from the server since the client's latest; 0: the protocol may be quiet
	Drain time.Duration // after its server, or the node, was told to drain
}

// Stream is the message of an opaque request: the tunnel itself is what is asked for. It is a core.Body too.
type Stream struct {
	Limits Limits
	spent  atomic.Bool
}

// Spent tells whether bytes of the client went out.
func (s *Stream) Spent() bool { return s.spent.Load() }

// Spend notes that they do from now on.
func (s *Stream) Spend() { s.spent.Store(true) }

// Tunnel is the payload of a served Stream: a connection to a server that was opened and to which nothing was written yet.
type Tunnel interface {
	core.Payload
	// Relay passes bytes both ways until both sides have ended or a limit is reached, and closes the client's connection.
	// What in has read ahead goes first; nothing else may read from either.
	Relay(client net.Conn, in *bufio.Reader)
}
