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

// Reply codes of SOCKS5 (RFC 1928, 6).
const (
	replySucceeded                = 0
	replyServerFailure            = 1 // of the server: it leaves, or has no room
	replyNotAllowed               = 2 // by the routes or the contracts
	replyConnectionRefused        = 5 // no server takes the connection
	replyCommandNotSupported      = 7
	replyAddressTypeNotSupported  = 8
	methodNone                    = 0x00
	methodPassword                = 0x02 // RFC 1929
	methodNoneAcceptable          = 0xff
	socksVersion, passwordVersion = 5, 1
)

// Errors of clients. Each has been told to the client as far as its protocol lets that be told.
var (
	ErrVersion     = errors.New("not SOCKS5")
	ErrAuthMethod  = errors.New("no method of authentication that is spoken here")
	ErrCredentials = errors.New("wrong user or password")
	ErrCommand     = errors.New("only CONNECT is done here")
	ErrNoRoute     = errors.New("there is no route to that name")
	ErrLeaving     = errors.New("no tunnel is opened now")
	ErrMalformed   = errors.New("the request can't be read")
)

// Opening is a client that asks for a tunnel and has not been answered.
type Request struct {
	Route Route
	User  string // empty where no password is asked for
	reply func(status int, after time.Duration, reason string) error
}

// Accept tells the client that its tunnel stands.
func (o *Request) Accept() error { return o.reply(http.StatusOK, 0, "") }

// Refuse tells it that none is to be had, by HTTP's status and what goes with it. SOCKS5 has a byte for all of that.
func (o *Request) Refuse(status int, after time.Duration, reason string) error {
	return o.reply(status, after, reason)
}

// SOCKS5 reads a client's greeting, password and request, and finds its route. It reads nothing beyond the request. An
// error has been told to the client; the connection is of no further use. Who calls bounds the time by the connection's
// deadline.
func SOCKS5(in *bufio.Reader, out io.Writer, t *Table) (*Request, error) {
	var head [2]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return nil, fmt.Errorf("greeting: %w", err)
	}
	if head[0] != socksVersion {
		return nil, ErrVersion // a reply would not be understood
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
	o := &Request{}
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
		o.User = user
	}
	reply := func(code byte) error {
		// The address that the node uses towards web servers is nobody's business: all noughts, as is common.
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
	if o.Route, ok = t.Find(host, uint16(port[0])<<8|uint16(port[1])); !ok {
		reply(replyNotAllowed)
		return nil, ErrNoRoute
	}
	o.reply = func(status int, _ time.Duration, _ string) error {
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
	return o, nil
}

// readPassword reads a user and a password (RFC 1929, 2).
func readPassword(in *bufio.Reader) (user, password string, err error) {
	v, err := in.ReadByte()
	if err != nil {
		return "", "", fmt.Errorf("password: %w", err)
	}
	if v != passwordVersion {
		return "", "", fmt.Errorf("%w: version %d of the password", ErrMalformed, v)
	}
	for _, s := range []*string{&user, &password} {
		if *s, err = readString(in); err != nil {
			return "", "", fmt.Errorf("password: %w", err)
		}
	}
	return user, password, nil
}

// readText reads a length and so many bytes.
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

// readHost reads what is asked for; an address is given as text, which no route has.
func readHost(in *bufio.Reader, kind byte) (host string, known bool, err error) {
	size := 0
	switch kind {
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
