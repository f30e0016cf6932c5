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
type conns struct {
	most int

	mu      sync.Mutex
	open    int
	resting list.List // net.Conn, without a call under way; the longest first
	at      map[net.Conn]*list.Element
	going   map[net.Conn]bool // closed for the bound, and not counted as open any more; their end is still to be told
	closed  int64             // for the bound
}

// track is for http.Server.ConnState.
func (c *conns) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.at == nil {
		c.at, c.going = map[net.Conn]*list.Element{}, map[net.Conn]bool{}
	}
	c.leave(conn)
	switch state {
	case http.StateNew:
		c.at[conn] = c.resting.PushBack(conn)
		if c.open++; c.open > c.most {
			oldest := c.resting.Front().Value.(net.Conn) // the new one, where there is no other
			c.leave(oldest)
			c.going[oldest] = true
			c.open--
			c.closed++
			oldest.Close()
		}
	case http.StateIdle:
		if !c.going[conn] {
			c.at[conn] = c.resting.PushBack(conn)
		}
	case http.StateClosed, http.StateHijacked:
		if c.going[conn] {
			delete(c.going, conn)
		} else {
			c.open--
		}
	}
}

// leave takes a connection out of those that rest.
func (c *conns) leave(conn net.Conn) {
	if e := c.at[conn]; e != nil {
		c.resting.Remove(e)
		delete(c.at, conn)
	}
}

func (c *conns) read() (open int, closed int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open, c.closed
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
