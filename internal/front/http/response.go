package http

import (
	"bytes"
	"io"
	stdhttp "net/http"
	"strconv"
	"time"

	"portstall/internal/core"
	"portstall/internal/flow"
	"portstall/internal/message"
)

// response is what a client receives for one request. Its holder calls release once.
type response struct {
	message.Response
	status     int
	retryAfter time.Duration
	refusal    string // reason of a rejection, for programs: the value of message.RefusalHeader; empty: none
}

// release returns what the response holds.
func (r *response) release() { r.Release() }

// toResponse translates a final response of the core into HTTP.
func toResponse(final core.Response) response {
	if final.Kind == core.Served {
		return response{status: stdhttp.StatusOK, Response: *final.Payload.(*message.Response)}
	}
	out := response{}
	if out.status, out.retryAfter, out.refusal = message.Refusal(final); out.refusal != "" {
		out.Body = []byte("refused: " + final.Rule.Why() + "\n")
	}
	return out
}

// writeResponse sends a response; last: it announces the end of the connection. An error means that the client has
// disconnected or does not read, or that a large response was interrupted, which the client notices once its connection
// is closed.
func (c *conn) writeResponse(req *stdhttp.Request, r response, last bool) error {
	h := stdhttp.Header{"Date": {time.Now().UTC().Format(stdhttp.TimeFormat)}}
	if r.ContentType != "" {
		h.Set("Content-Type", r.ContentType)
	}
	if r.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64))
	}
	if r.refusal != "" {
		h.Set(message.RefusalHeader, r.refusal)
	}
	resp := stdhttp.Response{StatusCode: r.status, ProtoMajor: 1, ProtoMinor: 1, Header: h, Request: req, Close: last}
	if r.Stream != nil {
		resp.ContentLength = r.Length
		if resp.ContentLength < 0 {
			resp.TransferEncoding = []string{"chunked"}
		}
		stream := &watchedStream{Reader: r.Stream, client: c.Conn, interrupt: r.Interrupt}
		out, body := flow.NewFlushingWriter(flow.WriteTimeoutConn{Conn: c.Conn, Timeout: flow.WriteStallTimeout}, stream)
		resp.Body = io.NopCloser(body)
		if err := resp.Write(flow.WriteOnly{Writer: out}); err != nil {
			return err
		}
		return out.Flush()
	}
	resp.ContentLength, resp.Body = int64(len(r.Body)), io.NopCloser(bytes.NewReader(r.Body))
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	if err := resp.Write(&b); err != nil {
		return err
	}
	_, err := flow.WriteTimeoutConn{Conn: c.Conn, Timeout: flow.WriteStallTimeout}.Write(b.Bytes())
	return err
}
