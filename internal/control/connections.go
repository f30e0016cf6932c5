package control

import (
	"container/list"
	"net"
	"net/http"
	"strings"
	"sync"
)

// connectionLimiter bounds the number of open connections. Past the bound the connection that has been idle for the
// longest, without a call under way, is closed; where no other is idle, the new one is closed. The zero value with
// maxOpen set is ready for use, and it is safe for concurrent use.
type connectionLimiter struct {
	maxOpen int

	mu           sync.Mutex
	open         int
	idle         list.List // net.Conn without a call under way; the longest idle first
	idleElements map[net.Conn]*list.Element
	closing      map[net.Conn]bool // closed by the limiter and no longer counted as open; StateClosed is still to come
	closedCount  int64             // connections that the limiter closed
}

// track is the callback for http.Server.ConnState.
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
			oldest := c.idle.Front().Value.(net.Conn) // the new one, where no other is idle
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

// removeIdle removes a connection from the idle ones, if it is among them.
func (c *connectionLimiter) removeIdle(conn net.Conn) {
	if e := c.idleElements[conn]; e != nil {
		c.idle.Remove(e)
		delete(c.idleElements, conn)
	}
}

// stats returns the number of open connections and how many the limiter has closed.
func (c *connectionLimiter) stats() (open int, closed int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open, c.closedCount
}

// acceptsGzip reports whether a caller accepts gzip. Of quality values only q=0, written so, is recognized.
func acceptsGzip(r *http.Request) bool {
	for _, v := range r.Header.Values("Accept-Encoding") {
		for coding := range strings.SplitSeq(v, ",") {
			if name, weight, _ := strings.Cut(strings.TrimSpace(coding), ";"); strings.TrimSpace(name) == "gzip" &&
				strings.TrimSpace(weight) != "q=0" {
				return true
			}
		}
	}
	return false
}
