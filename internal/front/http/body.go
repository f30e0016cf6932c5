package http

import (
	"context"
	"errors"
	"fmt"
	"io"
	stdhttp "net/http"
	"os"
	"time"

	"portstall/internal/flow"
	"portstall/internal/message"
)

const (
	// BodyStallTimeout is how long a client may pause within a body.
	BodyStallTimeout = 2 * time.Second
	// bodyTimeout is the time for a complete body, in addition to its size divided by minBodyRate.
	bodyTimeout = 3 * time.Second
	// minBodyRate is the slowest accepted transfer of a body, in bytes per second.
	minBodyRate = 32 << 10
	// budgetTimeout is how long a request may wait for its share of the bytes that bodies may hold.
	budgetTimeout = time.Second
	// maxUncheckedWait is the longest wait for budget after which the client is not checked. A client that disconnected
	// during such a wait has done so only just now.
	maxUncheckedWait = 50 * time.Millisecond
	// lateBodyTimeout is the time for the remainder of a request that has been responded to already: the largest body at
	// minBodyRate. A client that pauses or is slower ends earlier, as before its response.
	lateBodyTimeout = bodyTimeout + message.MaxBody/minBodyRate*time.Second
)

// awaitBody lets a client finish its request before the connection is closed: closing a connection with unread input
// resets it, and the client loses the response that it has not read.
func (f *Front) awaitBody(c *conn, pumped <-chan struct{}) {
	select {
	case <-pumped:
	case <-time.After(lateBodyTimeout):
		c.Close()
	}
}

// readBody reads the body of a request if it is small. A large one is passed on as it arrives.
func (f *Front) readBody(c *conn, r *request) *rejection {
	req := r.httpRequest
	held := flow.BudgetFor(req.ContentLength)
	begun := f.Core.Now()
	wait := budgetTimeout + f.Slack
	if r.Request != nil {
		wait = f.Core.LimitTimeout(min(wait, r.Timeout)) // its client may have sent all of it, and waits no longer
	}
	ctx, cancel := context.WithTimeout(f.Core.Context(), wait)
	defer cancel()
	if f.Budget.AcquireRequest(ctx, held) != nil {
		return &rejection{status: stdhttp.StatusServiceUnavailable, text: "too many bodies are on their way", retryAfter: budgetTimeout}
	}
	// How long the complete request waited here. Its client's deadline was running meanwhile.
	var waitedComplete time.Duration
	if waited := f.Core.Now() - begun; waited > maxUncheckedWait {
		r.windowMayBeClosed = flow.WindowMayBeClosed(c.Conn)
		// Whether a chunked body has arrived completely is not known: it counts as complete.
		if req.ContentLength < 0 || int64(c.reader.Buffered()+flow.UnreadBytes(c.Conn)) >= req.ContentLength {
			waitedComplete = waited
		}
	}
	if req.ContentLength != 0 && req.Header.Get("Expect") != "" {
		c.SetWriteDeadline(time.Now().Add(BodyStallTimeout))
		io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n") // an error shows up when the body is read
	}
	upload, err := flow.NewUpload(f.timedReader(c, req.Body), req.ContentLength)
	if err != nil {
		f.Budget.ReleaseRequest(held)
		return bodyRejection(err)
	}
	upload.Budget = f.Budget
	upload.Source = flow.Source{Buffered: c.reader.Buffered, Unread: func() int { return flow.UnreadBytes(c.Conn) }}
	if upload.HeldBytes() < held {
		f.Budget.ReleaseRequest(held - upload.HeldBytes())
	}
	if r.body = upload; r.Request != nil {
		r.Body, r.Arrived = upload, f.Core.Now()
		if upload.Complete() {
			r.Arrived -= waitedComplete
		}
	}
	return nil
}

// bodyRejection returns the rejection for a body that could not be read.
func bodyRejection(err error) *rejection {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &rejection{status: stdhttp.StatusRequestTimeout, text: "the body did not come in time"}
	case errors.Is(err, message.ErrBodyTooLarge):
		return &rejection{status: stdhttp.StatusRequestEntityTooLarge, text: fmt.Sprintf("body: over %d bytes", message.MaxBody)}
	}
	// Truncated or malformed: the client did not send what it announced.
	return &rejection{status: stdhttp.StatusBadRequest, text: "body: " + err.Error()}
}

// timedReader returns a reader of a request's body that fails once the client stalls or is too slow.
func (f *Front) timedReader(c *conn, body io.Reader) io.Reader {
	return &timedBody{front: f, conn: c, body: body}
}

// timedBody reads the body of a request within BodyStallTimeout, bodyTimeout and minBodyRate. It is used by one
// goroutine at a time.
type timedBody struct {
	front    *Front
	conn     *conn
	body     io.Reader
	waited   time.Duration // total time spent waiting for the client
	received int64         // bytes
}

func (b *timedBody) Read(p []byte) (int, error) {
	begun := time.Now()
	left := bodyTimeout + b.front.Slack + time.Duration(b.received)*time.Second/minBodyRate - b.waited
	b.front.setReadDeadline(b.conn, begun.Add(min(BodyStallTimeout+b.front.Slack, left)))
	n, err := b.body.Read(p)
	b.waited += time.Since(begun)
	if b.received += int64(n); b.received > message.MaxBody {
		return n, message.ErrBodyTooLarge
	}
	return n, err
}
