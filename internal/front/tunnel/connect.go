package tunnel

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"portstall/internal/message"
)

// maxConnectHead bounds the head of a CONNECT request, in bytes.
const maxConnectHead = 8 << 10

// Connect reads a client's CONNECT request and finds its route. It reads nothing beyond the request's head. On an error
// the client has received a status, and the connection is of no further use. The caller bounds the time by the
// connection's deadline. The buffer of in must have at least 8 KiB.
func Connect(in *bufio.Reader, out io.Writer, t *Table) (*Request, error) {
	respond := func(status int, headers string) error {
		_, err := fmt.Fprintf(out, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status), headers)
		return err
	}
	if err := awaitHead(in); err != nil {
		respond(http.StatusBadRequest, "")
		return nil, err
	}
	req, err := http.ReadRequest(in)
	if err != nil {
		respond(http.StatusBadRequest, "")
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	if req.Method != http.MethodConnect {
		respond(http.StatusMethodNotAllowed, "Allow: CONNECT\r\n")
		return nil, fmt.Errorf("%w: %s", ErrCommand, req.Method)
	}
	// CONNECT has no content (RFC 9110, 9.3.6): what follows would be read as the tunnel's data.
	if req.ContentLength > 0 || len(req.TransferEncoding) > 0 {
		respond(http.StatusBadRequest, "")
		return nil, fmt.Errorf("%w: CONNECT has content", ErrMalformed)
	}
	request := &Request{}
	if !t.AllowsAnonymous() {
		user, password, ok := parseBasic(req.Header.Get("Proxy-Authorization"))
		if !ok || !t.Authenticate(user, password) {
			respond(http.StatusProxyAuthRequired, "Proxy-Authenticate: Basic realm=\"portstall\"\r\n")
			return nil, ErrCredentials
		}
		request.User = user
	}
	host, portText, err := net.SplitHostPort(req.Host)
	port, portErr := strconv.ParseUint(portText, 10, 16)
	if err != nil || portErr != nil {
		respond(http.StatusBadRequest, "")
		return nil, fmt.Errorf("%w: %q is not host:port", ErrMalformed, req.Host)
	}
	var ok bool
	if request.Route, ok = t.Find(host, uint16(port)); !ok {
		respond(http.StatusForbidden, "")
		return nil, ErrNoRoute
	}
	request.reply = func(status int, after time.Duration, reason string) error {
		if status == http.StatusOK {
			_, err := io.WriteString(out, "HTTP/1.1 200 Connection established\r\n\r\n")
			return err
		}
		headers := ""
		if after > 0 {
			headers = fmt.Sprintf("Retry-After: %.3f\r\n", after.Seconds())
		}
		if reason != "" {
			headers += message.RefusalHeader + ": " + reason + "\r\n"
		}
		return respond(status, headers)
	}
	return request, nil
}

// awaitHead waits until a head is in the buffer, so that one without an end takes no more memory than the buffer.
func awaitHead(in *bufio.Reader) error {
	for n := 1; ; n = in.Buffered() + 1 {
		if n > maxConnectHead {
			return fmt.Errorf("%w: head exceeds %d bytes", ErrMalformed, maxConnectHead)
		}
		if _, err := in.Peek(n); err != nil {
			return fmt.Errorf("request: %w", err)
		}
		text, _ := in.Peek(in.Buffered())
		if s := string(text); strings.Contains(s, "\r\n\r\n") || strings.Contains(s, "\n\n") {
			return nil
		}
	}
}

// parseBasic parses a Basic credential (RFC 7617).
func parseBasic(header string) (user, password string, ok bool) {
	scheme, text, ok := strings.Cut(header, " ")
	if !ok || !strings.EqualFold(scheme, "Basic") {
		return "", "", false
	}
	plain, err := base64.StdEncoding.DecodeString(strings.TrimSpace(text))
	if err != nil {
		return "", "", false
	}
	return strings.Cut(string(plain), ":")
}
