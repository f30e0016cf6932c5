package http

import (
	"time"

	"portstall/internal/flow"
)

// watchClient starts to watch for the client disconnecting, unless that is being watched already. The request has been
// read completely. Until stopWatching is called nothing else reads from the connection.
func (c *conn) watchClient() {
	if c.clientLeft == nil {
		c.SetReadDeadline(time.Time{}) // the wait is unbounded, even if this response is the connection's last
		c.clientLeft, c.stopWatch = flow.WatchPeer(c.Conn, c.reader, true)
	}
}

// stopWatching ends the watch, if there is one.
func (c *conn) stopWatching() {
	if c.clientLeft != nil {
		c.noteDiscarded(c.stopWatch())
		c.clientLeft, c.stopWatch = nil, nil
	}
}

// discardAndCheckDisconnected discards what the client sent ahead and reports whether it has disconnected. It is for a
// client whose receive window may have been closed while its request waited for budget: it may have disconnected long
// ago without that being visible. The request has been read completely, and nothing watches the client.
func (c *conn) discardAndCheckDisconnected() bool {
	discarded, ended := flow.DiscardInput(c.Conn, c.reader)
	c.noteDiscarded(discarded)
	return ended
}

// noteDiscarded records whether input that the client sent ahead was discarded. The connection is closed then: the
// client has to send that input again, on another connection.
func (c *conn) noteDiscarded(discarded bool) {
	if discarded {
		c.inputDiscarded, c.closeAfterNext = true, true
	}
}
