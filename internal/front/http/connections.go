package http

import (
	"bufio"
	"net"
	"time"

	"portstall/internal/flow"
)

const (
	// arrivalTime is the time from a request's first byte within which most of its other bytes arrive.
	arrivalTime = 50 * time.Millisecond
	// NewConnGrace is how long a new connection may be silent before it becomes the first to be evicted. Its request
	// usually follows at once.
	NewConnGrace = 200 * time.Millisecond
	// IdleTimeout is how long a connection without a request stays open. Some clients never close theirs.
	IdleTimeout = 5 * time.Second
)

// conn is one client connection. The fields up to served belong to the goroutine that serves it.
type conn struct {
	net.Conn
	accepted time.Time
	reader   *bufio.Reader
	// closeAfterNext is set when the connection exceeds the limit or cannot carry another request. The next response is
	// then the last one, and a request that has not begun is rejected.
	closeAfterNext bool
	inputDiscarded bool            // input sent ahead of a response was discarded, and more may arrive
	clientLeft     <-chan struct{} // closed once the client is seen to disconnect; nil: not watched
	stopWatch      func() bool     // ends that watch and reports whether input was discarded
	user           string          // the user that the tunnel was opened for; empty: no tunnel, or one without a user
	pacer          pacer           // limits how fast requests are read
	served         bool            // the latest request was served by a web server

	// Guarded by Front.mu.
	requestStart  time.Time // when the first byte of the latest request was seen
	reading       bool      // a request has been received in part
	busy          bool      // a request is being responded to
	streaming     bool      // a large request or response body is being transferred
	servedRequest bool      // a request has been read
	lastChange    time.Time // when the connection was accepted, or busy was last set
	closing       bool      // the connection was evicted, or the node is stopping
}

// Resize sets the maximum number of connections. While there are more, each new connection evicts an idle one.
func (f *Front) Resize(limit int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Limit = limit
}

// AcquireSlot reserves a slot for one more connection, if one is free. Serve releases it, or ReleaseSlot.
func (f *Front) AcquireSlot() bool {
	select {
	case f.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

// ReleaseSlot releases a slot that AcquireSlot reserved.
func (f *Front) ReleaseSlot() { <-f.slots }

// evictIdle closes a connection that carries no request, and reports whether there was one. In order of preference: one
// that has sent nothing within NewConnGrace, one that a client keeps open after a request, a new one; among equals the
// one unchanged for longest. A new connection whose request is waiting to be read, or is being read, is not closed.
// f.mu is held.
func (f *Front) evictIdle() bool {
	var candidate *conn
	bestRank := 3
	for c := range f.conns {
		rank := 1
		if !c.servedRequest {
			if rank = 0; time.Since(c.accepted) < NewConnGrace+f.Slack {
				rank = 2
			}
		}
		if c.busy || rank > bestRank || rank == bestRank && !c.lastChange.Before(candidate.lastChange) {
			continue
		}
		if c.servedRequest && !c.reading || time.Since(c.requestStart) > arrivalTime && flow.PeekInput(c.Conn) == flow.NoInput {
			candidate, bestRank = c, rank
		}
	}
	if candidate != nil {
		f.evict(candidate)
	}
	return candidate != nil
}

// evict removes a connection from those that are counted and ends its reading, so that it closes. A request that has
// just been read is still responded to. f.mu is held.
func (f *Front) evict(c *conn) {
	if !c.closing {
		c.closing = true
		delete(f.conns, c)
		c.SetReadDeadline(time.Unix(1, 0))
	}
}

// setReadDeadline bounds the next reads from a connection, unless it is closing. A request that has begun is read
// completely even then.
func (f *Front) setReadDeadline(c *conn, t time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !c.closing || c.reading || c.busy {
		c.SetReadDeadline(t)
	}
}

// Abort closes connections at once: those without a large body in transfer, or all. It returns how many of them carried a
// request.
func (f *Front) Abort(all bool) (requests int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if !all && c.streaming {
			continue
		}
		if c.busy {
			requests++
		}
		c.Close()
	}
	return requests
}

// CloseIdle closes the connections that carry no request.
func (f *Front) CloseIdle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if !c.busy && !c.reading && flow.PeekInput(c.Conn) == flow.NoInput {
			f.evict(c) // a request that is arriving is still responded to
		}
	}
}

// setBusy records that a request was read (busy) or responded to, and reports whether the connection stays open.
func (f *Front) setBusy(c *conn, busy bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.busy, c.servedRequest, c.reading, c.streaming, c.lastChange = busy, true, false, false, time.Now()
	return !c.closing && (busy || !f.Draining())
}

// markStreaming records that a large body is being transferred.
func (f *Front) markStreaming(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.streaming = true
}
