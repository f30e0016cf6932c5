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

// answer is what a client is told.
type response struct {
	message.Answer
	status     int
	retryAfter time.Duration
	refusal    string // of a refusal, for programs
}

// release gives back what the answer holds.
func (a *response) release() {
	if a.Budget != nil {
		a.Release()
	}
}

// worded puts a final answer into HTTP's words.
func toResponse(a core.Answer) response {
	if a.Kind == core.Served {
		return response{status: stdhttp.StatusOK, Answer: *a.Payload.(*message.Answer)}
	}
	out := response{}
	if out.status, out.retryAfter, out.refusal = message.Refusal(a); out.refusal != "" {
		out.Body = []byte("refused: " + a.Rule.Why() + "\n")
	}
	return out
}

// write sends an answer; an error means that the client has left or does not read, or that a large answer broke off,
// which the client can tell once its connection is closed.
func (c *conn) writeResponse(in *stdhttp.Request, a response, last bool) error {
	h := stdhttp.Header{"Date": {time.Now().UTC().Format(stdhttp.TimeFormat)}}
	if a.Type != "" {
		h.Set("Content-Type", a.Type)
	}
	if a.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
	}
	if a.refusal != "" {
		h.Set(message.RefusalHeader, a.refusal)
	}
	resp := stdhttp.Response{StatusCode: a.status, ProtoMajor: 1, ProtoMinor: 1, Header: h, Request: in, Close: last}
	if a.Stream != nil {
		resp.ContentLength = a.Length
		if resp.ContentLength < 0 {
			resp.TransferEncoding = []string{"chunked"}
		}
		out, body := flow.Writer(flow.Paced{Conn: c.Conn, Stall: flow.WriteStall}, a.Stream)
		resp.Body = io.NopCloser(body)
		if err := resp.Write(flow.Plain{Writer: out}); err != nil {
			return err
		}
		return out.Flush()
	}
	resp.ContentLength, resp.Body = int64(len(a.Body)), io.NopCloser(bytes.NewReader(a.Body))
	var b bytes.Buffer
	b.Grow(512 + len(a.Body))
	if err := resp.Write(&b); err != nil {
		return err
	}
	_, err := flow.Paced{Conn: c.Conn, Stall: flow.WriteStall}.Write(b.Bytes())
	return err
}
