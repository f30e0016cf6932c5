package http

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	stdhttp "net/http"
	"strconv"
	"strings"
	"time"

	"portstall/internal/core"
	"portstall/internal/flow"
	"portstall/internal/message"
)

const (
	// maxRequestIDLength is the longest X-Request-Id, in bytes.
	maxRequestIDLength = 256
	// maxHeadLines is how many lines a head may have. Each field takes some hundred bytes of memory, however short it is, for
	// as long as its request is open.
	maxHeadLines = 128
	// HeadTimeout is the time for a request's head to arrive: for the first request from the start of the connection,
	// for later ones from their first byte. A client must receive an error or a close within 3 s of connecting,
	// whatever it sends.
	HeadTimeout = 2500 * time.Millisecond
)

// readRequest reads the next request, and its body if that is small. Both results are nil if no byte of a request
// arrives.
func (f *Front) readRequest(c *conn) (*request, *rejection) {
	end, arrived := f.awaitFirstByte(c)
	if !arrived {
		return nil, nil
	}
	req, rejected := c.readHead(end)
	if rejected != nil {
		return nil, rejected
	}
	r := &request{httpRequest: req}
	if rejected := f.checkHead(r, c); rejected != nil {
		return nil, rejected
	}
	return r, f.readBody(c, r)
}

// awaitFirstByte waits for the first byte of the next request, and returns by when the request's head must have arrived;
// false if no byte arrives.
func (f *Front) awaitFirstByte(c *conn) (end time.Time, arrived bool) {
	end = c.accepted.Add(HeadTimeout + f.Slack)
	if c.servedRequest {
		f.setReadDeadline(c, time.Now().Add(IdleTimeout+f.Slack))
	} else {
		f.setReadDeadline(c, end)
	}
	if _, err := c.reader.Peek(1); err != nil {
		return end, false
	}
	begun := time.Now()
	if c.servedRequest {
		end = begun.Add(HeadTimeout + f.Slack)
	}
	f.mu.Lock()
	c.reading, c.requestStart = true, begun
	f.mu.Unlock()
	f.setReadDeadline(c, end) // also if it was evicted as idle right after its first byte
	return end, true
}

// readHead reads the head of a request, which must have arrived by end.
func (c *conn) readHead(end time.Time) (*stdhttp.Request, *rejection) {
	head, err := c.peekHead()
	switch {
	case err != nil && !time.Now().Before(end):
		return nil, &rejection{status: stdhttp.StatusRequestTimeout, text: "the head did not come in time"}
	case errors.Is(err, errEmptyLines):
		return nil, &rejection{status: stdhttp.StatusBadRequest, text: err.Error()}
	case errors.Is(err, bufio.ErrBufferFull):
		return nil, &rejection{status: stdhttp.StatusRequestHeaderFieldsTooLarge, text: "the head is too large"}
	case err != nil:
		return nil, &rejection{status: stdhttp.StatusBadRequest, text: err.Error()}
	case bytes.Count(head, []byte("\n")) > maxHeadLines:
		return nil, &rejection{status: stdhttp.StatusRequestHeaderFieldsTooLarge, text: "the head has too many fields"}
	case hasTwoFramings(head):
		// net/http ignores a Content-Length next to Transfer-Encoding. Readers that disagree about the framing allow
		// request smuggling.
		return nil, &rejection{status: stdhttp.StatusBadRequest, text: "Content-Length beside Transfer-Encoding"}
	}
	req, err := stdhttp.ReadRequest(c.reader)
	if err != nil {
		return nil, &rejection{status: stdhttp.StatusBadRequest, text: err.Error()}
	}
	return req, nil
}

// errEmptyLines reports a client that sends nothing but empty lines.
var errEmptyLines = errors.New("too many empty lines before a request")

// peekHead waits until the head of the next request is in the buffer, and returns it as it was sent. Empty lines before
// it are skipped.
func (c *conn) peekHead() ([]byte, error) {
	seen, empty := 0, 0
	for {
		text, _ := c.reader.Peek(c.reader.Buffered())
		if n := len(text) - len(bytes.TrimLeft(text, "\r\n")); n > 0 && seen == 0 {
			if empty += n; empty > maxEmptyBytes {
				return nil, errEmptyLines
			}
			c.reader.Discard(n)
			continue
		}
		if n := headLength(text, max(0, seen-3)); n > 0 {
			return text[:n], nil
		}
		seen = len(text)
		if _, err := c.reader.Peek(seen + 1); err != nil {
			return nil, err
		}
	}
}

// headLength returns the length of the head in text, or 0 if its end has not arrived. The search for the end starts at
// from.
func headLength(text []byte, from int) int {
	for i := from; ; i++ {
		n := bytes.IndexByte(text[i:], '\n')
		if n < 0 {
			return 0
		}
		i += n
		if rest := text[i+1:]; bytes.HasPrefix(rest, []byte("\n")) {
			return i + 2
		} else if bytes.HasPrefix(rest, []byte("\r\n")) {
			return i + 3
		}
	}
}

// hasTwoFramings reports whether a head specifies the end of its request in two ways.
func hasTwoFramings(head []byte) bool {
	var length, encoding bool
	for line := range bytes.Lines(head) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		name = bytes.TrimSpace(name)
		length = length || bytes.EqualFold(name, []byte("Content-Length"))
		encoding = encoding || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	}
	return length && encoding
}

// rejectf returns a rejection with a formatted text.
func rejectf(status int, format string, args ...any) *rejection {
	return &rejection{status: status, text: fmt.Sprintf(format, args...)}
}

// checkHead returns the rejection of a request whose head is invalid, or nil. It sets core.Request, except for GET
// /ready.
func (f *Front) checkHead(r *request, c *conn) *rejection {
	req := r.httpRequest
	if rejected := checkProtocol(req); rejected != nil || req.URL.Path == "/ready" {
		return rejected
	}
	for _, name := range message.ForwardedHeaders {
		if len(req.Header[name]) > 1 {
			return rejectf(stdhttp.StatusBadRequest, "%s: more than one", name)
		}
	}
	r.Request = newCoreRequest(req, c)
	if r.ID == "" || len(r.ID) > maxRequestIDLength {
		return rejectf(stdhttp.StatusBadRequest, "X-Request-Id: missing or too long")
	}
	var err error
	if r.Timeout, err = parseDeadline(req.Header.Get("X-Deadline")); err != nil {
		return rejectf(stdhttp.StatusBadRequest, "X-Deadline: %v", err)
	}
	if err := f.CheckRequest(req); err != nil {
		return rejectf(stdhttp.StatusBadRequest, "%v", err)
	}
	return nil
}

// checkProtocol returns the rejection of a request that is not HTTP as it is spoken here, or nil.
func checkProtocol(req *stdhttp.Request) *rejection {
	switch expect := req.Header.Get("Expect"); {
	case !req.ProtoAtLeast(1, 1):
		return rejectf(stdhttp.StatusHTTPVersionNotSupported, "only HTTP/1.1 is spoken here")
	case req.Host == "":
		return rejectf(stdhttp.StatusBadRequest, "Host: missing")
	case expect != "" && !strings.EqualFold(expect, "100-continue"):
		return rejectf(stdhttp.StatusExpectationFailed, "Expect: %q is not known", expect)
	case req.Method != stdhttp.MethodGet && req.Method != stdhttp.MethodPost:
		return rejectf(stdhttp.StatusMethodNotAllowed, "a request is a GET or a POST")
	case req.ContentLength > message.MaxBody:
		return rejectf(stdhttp.StatusRequestEntityTooLarge, "Content-Length: over %d", message.MaxBody)
	case req.Method == stdhttp.MethodGet && req.ContentLength != 0:
		return rejectf(stdhttp.StatusBadRequest, "Content-Length: a GET has no body")
	case req.Method == stdhttp.MethodPost && req.ContentLength >= 0 && req.Header.Get("Content-Length") == "":
		return rejectf(stdhttp.StatusLengthRequired, "Content-Length: missing")
	}
	for name := range req.Header {
		// net/http accepts a name with a space, and does not treat "Transfer-Encoding :" as Transfer-Encoding.
		if strings.Contains(name, " ") {
			return rejectf(stdhttp.StatusBadRequest, "%q is no name of a header", name)
		}
	}
	return nil
}

// newCoreRequest returns the core's request for a head, without what is checked or read later.
func newCoreRequest(req *stdhttp.Request, c *conn) *core.Request {
	h := req.Header
	return &core.Request{
		ID:             h.Get("X-Request-Id"),
		Class:          h.Get("X-Class"),
		Tenant:         h.Get("X-Tenant"),
		IdempotencyKey: h.Get("Idempotency-Key"),
		Repeat:         h.Get("X-Retry") == "1",
		CostHint:       costHint(h),
		Caller:         Caller(h, RemoteAddr(c.Conn), c.user),
		Message:        req,
		ClientLeft:     func() bool { return flow.PeerClosed(c.Conn) },
	}
}

// parseDeadline parses a number with its unit: m for milliseconds or u for microseconds.
func parseDeadline(s string) (time.Duration, error) {
	unit := time.Millisecond
	digits, ok := strings.CutSuffix(s, "m")
	if !ok {
		unit = time.Microsecond
		if digits, ok = strings.CutSuffix(s, "u"); !ok {
			return 0, fmt.Errorf("%q has no unit m or u", s)
		}
	}
	f, err := strconv.ParseFloat(digits, 64)
	if err != nil || !(f > 0 && f <= 1e12) {
		return 0, fmt.Errorf("%q is no time", s)
	}
	return time.Duration(f * float64(unit)), nil
}
