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
	replyOK             = 0
	replyFailure        = 1 // of the server: it leaves, or has no room
	replyNotAllowed     = 2 // by the routes or the contracts
	replyRefused        = 5 // no server takes the connection
	replyNoCommand      = 7
	replyNoAddressType  = 8
	methodNone          = 0x00
	methodPassword      = 0x02 // RFC 1929
	methodUnacceptable  = 0xff
	version, passwordV1 = 5, 1
)

// Errors of clients. Each has been told to the client as far as its protocol lets that be told.
var (
	ErrVersion  = errors.New("not SOCKS5")
	ErrMethod   = errors.New("no method of authentication that is spoken here")
	ErrPassword = errors.New("wrong user or password")
	ErrCommand  = errors.New("only CONNECT is done here")
	ErrRoute    = errors.New("there is no route to that name")
	ErrLeaving  = errors.New("no tunnel is opened now")
	ErrRequest  = errors.New("the request can't be read")
)

// Opening is a client that asks for a tunnel and has not been answered.
type Opening struct {
	Route Route
	User  string // empty where no password is asked for
	reply func(status int, after time.Duration, reason string) error
}

// Accept tells the client that its tunnel stands.
func (o *Opening) Accept() error { return o.reply(http.StatusOK, 0, "") }

// Refuse tells it that none is to be had, by HTTP's status and what goes with it. SOCKS5 has a byte for all of that.
func (o *Opening) Refuse(status int, after time.Duration, reason string) error {
	return o.reply(status, after, reason)
}

// SOCKS5 reads a client's greeting, password and request, and finds its route. It reads nothing beyond the request. An
// error has been told to the client; the connection is of no further use. Who calls bounds the time by the connection's
// deadline.
func SOCKS5(in *bufio.Reader, out io.Writer, t *Table) (*Opening, error) {
	var head [2]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return nil, fmt.Errorf("greeting: %w", err)
	}
	if head[0] != version {
		return nil, ErrVersion // a reply would not be understood
	}
	methods := make([]byte, head[1])
	if _, err := io.ReadFull(in, methods); err != nil {
		return nil, fmt.Errorf("greeting: %w", err)
	}
	want := byte(methodPassword)
	if t.Open() {
		want = methodNone
	}
	offered := false
	for _, m := range methods {
		offered = offered || m == want
	}
	if !offered {
		out.Write([]byte{version, methodUnacceptable})
		return nil, ErrMethod
	}
	if _, err := out.Write([]byte{version, want}); err != nil {
		return nil, err
	}
	o := &Opening{}
	if want == methodPassword {
		user, password, err := readPassword(in)
		if err != nil {
			return nil, err
		}
		if !t.Knows(user, password) {
			out.Write([]byte{passwordV1, 1})
			return nil, ErrPassword
		}
		if _, err := out.Write([]byte{passwordV1, 0}); err != nil {
			return nil, err
		}
		o.User = user
	}
	reply := func(code byte) error {
		// The address that the node uses towards web servers is nobody's business: all noughts, as is common.
		_, err := out.Write([]byte{version, code, 0, 1, 0, 0, 0, 0, 0, 0})
		return err
	}
	var req [4]byte
	if _, err := io.ReadFull(in, req[:]); err != nil {
		return nil, fmt.Errorf("request: %w", err)
	}
	if req[0] != version {
		return nil, ErrVersion
	}
	host, known, err := readHost(in, req[3])
	if err != nil {
		return nil, err
	}
	if !known {
		reply(replyNoAddressType)
		return nil, fmt.Errorf("%w: address type %d", ErrRequest, req[3])
	}
	var port [2]byte
	if _, err := io.ReadFull(in, port[:]); err != nil {
		return nil, fmt.Errorf("request: %w", err)
	}
	if req[1] != 1 { // BIND and UDP ASSOCIATE
		reply(replyNoCommand)
		return nil, fmt.Errorf("%w: command %d", ErrCommand, req[1])
	}
	var ok bool
	if o.Route, ok = t.Find(host, uint16(port[0])<<8|uint16(port[1])); !ok {
		reply(replyNotAllowed)
		return nil, ErrRoute
	}
	o.reply = func(status int, _ time.Duration, _ string) error {
		switch status {
		case http.StatusOK:
			return reply(replyOK)
		case http.StatusBadGateway:
			return reply(replyRefused)
		case http.StatusForbidden, http.StatusTooManyRequests:
			return reply(replyNotAllowed)
		}
		return reply(replyFailure)
	}
	return o, nil
}

// readPassword reads a user and a password (RFC 1929, 2).
func readPassword(in *bufio.Reader) (user, password string, err error) {
	v, err := in.ReadByte()
	if err != nil {
		return "", "", fmt.Errorf("password: %w", err)
	}
	if v != passwordV1 {
		return "", "", fmt.Errorf("%w: version %d of the password", ErrRequest, v)
	}
	for _, s := range []*string{&user, &password} {
		if *s, err = readText(in); err != nil {
			return "", "", fmt.Errorf("password: %w", err)
		}
	}
	return user, password, nil
}

// readText reads a length and so many bytes.
func readText(in *bufio.Reader) (string, error) {
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
		host, err = readText(in)
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
