package http

import (
	"time"

	"portstall/internal/flow"
)

// watch begins to look for the client's leaving, unless it is looked for already. The request is whole. Until unwatch nothing else
// reads from the connection.
func (c *conn) watchClient() {
	if c.clientLeft == nil {
		c.SetReadDeadline(time.Time{}) // no bound on waiting, also where the connection is to close behind this answer
		c.clientLeft, c.stopWatch = flow.Watch(c.Conn, c.reader, true)
	}
}

// unwatch ends the watch, if there is one.
func (c *conn) stopWatching() {
	if c.clientLeft != nil {
		c.noteDiscarded(c.stopWatch())
		c.clientLeft, c.stopWatch = nil, nil
	}
}

// gone tells of a client whose window may have been shut while its request waited for room, so that it may have left long ago, whether
// it has. What it sent ahead is thrown away. The request is whole, and nobody watches.
func (c *conn) discardAndCheckLeft() bool {
	spilt, ended := flow.Spill(c.Conn, c.reader)
	c.noteDiscarded(spilt)
	return ended
}

// lost notes that a part of what the client sent ahead is: it is to ask for that anew, on another connection.
func (c *conn) noteDiscarded(spilt bool) {
	if spilt {
		c.inputDiscarded, c.closeAfterNext = true, true
	}
}
