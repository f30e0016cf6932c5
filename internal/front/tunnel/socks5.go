package tunnel

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"
)

// Values of the SOCKS5 protocol (RFC 1928; the password's are of RFC 1929).
const (
	replySucceeded               = 0
	replyServerFailure           = 1 // the node is stopping, or is at its limit
	replyNotAllowed              = 2 // by the routes or the contracts
	replyConnectionRefused       = 5 // no web server accepted the connection
	replyCommandNotSupported     = 7
	replyAddressTypeNotSupported = 8

	methodNone           = 0x00
	methodPassword       = 0x02
	methodNoneAcceptable = 0xff

	socksVersion, passwordVersion = 5, 1
)

// Errors of clients. Each has been reported to the client as far as its protocol allows.
var (
	ErrVersion     = errors.New("unsupported SOCKS version")
	ErrAuthMethod  = errors.New("no acceptable authentication method")
	ErrCredentials = errors.New("wrong user or password")
	ErrCommand     = errors.New("only the CONNECT command is supported")
	ErrNoRoute     = errors.New("no route to the requested name")
	ErrMalformed   = errors.New("malformed request")
)

// Request is a client's request for a tunnel, to which nothing has been replied. At most one of Accept and Refuse is
// called.
type Request struct {
	Route Route
	User  string // empty if no password is required
	reply func(status int, after time.Duration, reason string) error
}

// Accept reports to the client that its tunnel is established.
func (r *Request) Accept() error { return r.reply(http.StatusOK, 0, "") }

// Refuse reports to the client that it gets no tunnel, by an HTTP status, the time after which to retry (0: not
// specified) and a machine-readable reason. SOCKS5 maps the status to a reply code and omits the other two.
func (r *Request) Refuse(status int, after time.Duration, reason string) error {
	return r.reply(status, after, reason)
}

// SOCKS5 reads a client's greeting, password and request, and finds its route. It reads nothing beyond the request. An
// error has been reported to the client; the connection is of no further use. The caller bounds the time by the
// connection's deadline.
func SOCKS5(in *bufio.Reader, out io.Writer, t *Table) (*Request, error) {
	var head [2]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return nil, fmt.Errorf("greeting: %w", err)
	}
	if head[0] != socksVersion {
		return nil, ErrVersion // the client would not understand a reply
	}
	methods := make([]byte, head[1])
	if _, err := io.ReadFull(in, methods); err != nil {
		return nil, fmt.Errorf("greeting: %w", err)
	}
	want := byte(methodPassword)
	if t.AllowsAnonymous() {
		want = methodNone
	}
	offered := false
	for _, m := range methods {
		offered = offered || m == want
	}
	if !offered {
		out.Write([]byte{socksVersion, methodNoneAcceptable})
		return nil, ErrAuthMethod
	}
	if _, err := out.Write([]byte{socksVersion, want}); err != nil {
		return nil, err
	}
	request := &Request{}
	if want == methodPassword {
		user, password, err := readPassword(in)
		if err != nil {
			return nil, err
		}
		if !t.Authenticate(user, password) {
			out.Write([]byte{passwordVersion, 1})
			return nil, ErrCredentials
		}
		if _, err := out.Write([]byte{passwordVersion, 0}); err != nil {
			return nil, err
		}
		request.User = user
	}
	reply := func(code byte) error {
		// The address that the node uses towards web servers is not disclosed: all zeros, as is common.
		_, err := out.Write([]byte{socksVersion, code, 0, 1, 0, 0, 0, 0, 0, 0})
		return err
	}
	var req [4]byte
	if _, err := io.ReadFull(in, req[:]); err != nil {
		return nil, fmt.Errorf("request: %w", err)
	}
	if req[0] != socksVersion {
		return nil, ErrVersion
	}
	host, known, err := readHost(in, req[3])
	if err != nil {
		return nil, err
	}
	if !known {
		reply(replyAddressTypeNotSupported)
		return nil, fmt.Errorf("%w: address type %d", ErrMalformed, req[3])
	}
	var port [2]byte
	if _, err := io.ReadFull(in, port[:]); err != nil {
		return nil, fmt.Errorf("request: %w", err)
	}
	if req[1] != 1 { // BIND and UDP ASSOCIATE
		reply(replyCommandNotSupported)
		return nil, fmt.Errorf("%w: command %d", ErrCommand, req[1])
	}
	var ok bool
	if request.Route, ok = t.Find(host, uint16(port[0])<<8|uint16(port[1])); !ok {
		reply(replyNotAllowed)
		return nil, ErrNoRoute
	}
	request.reply = func(status int, _ time.Duration, _ string) error {
		switch status {
		case http.StatusOK:
			return reply(replySucceeded)
		case http.StatusBadGateway:
			return reply(replyConnectionRefused)
		case http.StatusForbidden, http.StatusTooManyRequests:
			return reply(replyNotAllowed)
		}
		return reply(replyServerFailure)
	}
	return request, nil
}

// readPassword reads a user and a password (RFC 1929, 2).
func readPassword(in *bufio.Reader) (user, password string, err error) {
	version, err := in.ReadByte()
	if err != nil {
		return "", "", fmt.Errorf("password: %w", err)
	}
	if version != passwordVersion {
		return "", "", fmt.Errorf("%w: password version %d", ErrMalformed, version)
	}
	for _, s := range []*string{&user, &password} {
		if *s, err = readString(in); err != nil {
			return "", "", fmt.Errorf("password: %w", err)
		}
	}
	return user, password, nil
}

// readString reads a one-byte length and that many bytes.
func readString(in *bufio.Reader) (string, error) {
	n, err := in.ReadByte()
	if err != nil {
		return "", err
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(in, b); err != nil {
		return "", err
	}
	return string(b), nil
}

// readHost reads the requested host. An address is returned as text, which matches no route. Known is false for an
// unknown address type.
func readHost(in *bufio.Reader, addressType byte) (host string, known bool, err error) {
	size := 0
	switch addressType {
	case 1:
		size = net.IPv4len
	case 4:
		size = net.IPv6len
	case 3:
		host, err = readString(in)
		if err != nil {
			err = fmt.Errorf("request: %w", err)
		}
		return host, true, err
	default:
		return "", false, nil
	}
	b := make([]byte, size)
	if _, err := io.ReadFull(in, b); err != nil {
		return "", true, fmt.Errorf("request: %w", err)
	}
	a, _ := netip.AddrFromSlice(b)
	return a.String(), true, nil
}
