package control

import (
	"container/list"
	"net"
	"net/http"
	"strings"
	"sync"
)

// conns keeps the number of connections bounded. Past the bound the one makes room on which no call has been under way for the longest;
// where there is none, the new one is closed.
type connectionLimiter struct {
	maxOpen int

	mu           sync.Mutex
	open         int
	idle         list.List // net.Conn, without a call under way; the longest first
	idleElements map[net.Conn]*list.Element
	closing      map[net.Conn]bool // closed for the bound, and not counted as open any more; their end is still to be told
	closedCount  int64             // for the bound
}

// track is for http.Server.ConnState.
func (c *connectionLimiter) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleElements == nil {
		c.idleElements, c.closing = map[net.Conn]*list.Element{}, map[net.Conn]bool{}
	}
	c.removeIdle(conn)
	switch state {
	case http.StateNew:
		c.idleElements[conn] = c.idle.PushBack(conn)
		if c.open++; c.open > c.maxOpen {
			oldest := c.idle.Front().Value.(net.Conn) // the new one, where there is no other
			c.removeIdle(oldest)
			c.closing[oldest] = true
			c.open--
			c.closedCount++
			oldest.Close()
		}
	case http.StateIdle:
		if !c.closing[conn] {
			c.idleElements[conn] = c.idle.PushBack(conn)
		}
	case http.StateClosed, http.StateHijacked:
		if c.closing[conn] {
			delete(c.closing, conn)
		} else {
			c.open--
		}
	}
}

// leave takes a connection out of those that rest.
func (c *connectionLimiter) removeIdle(conn net.Conn) {
	if e := c.idleElements[conn]; e != nil {
		c.idle.Remove(e)
		delete(c.idleElements, conn)
	}
}

func (c *connectionLimiter) stats() (open int, closed int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open, c.closedCount
}

// acceptsGzip tells whether a caller takes gzip. One that says q=0 is not worth the reading.
func acceptsGzip(r *http.Request) bool {
	for _, v := range r.Header.Values("Accept-Encoding") {
		for coding := range strings.SplitSeq(v, ",") {
			if name, weight, _ := strings.Cut(strings.TrimSpace(coding), ";"); strings.TrimSpace(name) == "gzip" && strings.TrimSpace(weight) != "q=0" {
				return true
			}
		}
	}
	return false
}
