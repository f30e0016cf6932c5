package http

import (
	"time"

	"portstall/internal/flow"
)

// watch begins to look for the client's leaving, unless it is looked for already. The request is whole. Until unwatch nothing else
// reads from the connection.
func (c *conn) watch() {
	if c.end == nil {
		c.SetReadDeadline(time.Time{}) // no bound on waiting, also where the connection is to close behind this answer
		c.end, c.stop = flow.Watch(c.Conn, c.in, true)
	}
}

// unwatch ends the watch, if there is one.
func (c *conn) unwatch() {
	if c.end != nil {
		c.lost(c.stop())
		c.end, c.stop = nil, nil
	}
}

// gone tells of a client whose window may have been shut while its request waited for room, so that it may have left long ago, whether
// it has. What it sent ahead is thrown away. The request is whole, and nobody watches.
func (c *conn) gone() bool {
	spilt, ended := flow.Spill(c.Conn, c.in)
	c.lost(spilt)
	return ended
}

// lost notes that a part of what the client sent ahead is: it is to ask for that anew, on another connection.
func (c *conn) lost(spilt bool) {
	if spilt {
		c.spilt, c.over = true, true
	}
}
