// Package tunnel is the server side of tunnels. It connects to web servers through a SOCKS5 or CONNECT proxy, and opens
// opaque tunnels: connections to a web server, direct or through a proxy, whose bytes are copied both ways without
// being interpreted.
package tunnel

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"golang.org/x/net/proxy"

	"portstall/internal/back"
)

// Protocol is the protocol of a proxy.
type Protocol uint8

const (
	SOCKS5  Protocol = iota // SOCKS5, RFC 1928, with passwords by RFC 1929
	Connect                 // HTTP CONNECT, RFC 9110, section 9.3.6
)

// Proxy is a proxy through which web servers are reached.
type Proxy struct {
	Protocol Protocol
	Addr     string
	User     string // empty: no credentials are sent
	Password string
}

// ErrProxy wraps each failure to open a tunnel through a proxy. No byte of a request has been sent to the server then,
// so that the request never ran.
var ErrProxy = errors.New("connecting through the proxy failed")

// maxHeadBytes limits the head of a proxy's response.
const maxHeadBytes = 8 << 10

// Dial is a back.Dial: it returns a connection to addr through the proxy, on which no byte has been sent to addr yet.
// The timeout of d covers both the connection to the proxy and the handshake with it.
func (p Proxy) Dial(ctx context.Context, d *net.Dialer, addr string) (net.Conn, error) {
	if d.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d.Timeout)
		defer cancel()
	}
	conn, err := back.DialDirect(ctx, d, p.Addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrProxy, err)
	}
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	if p.Protocol == Connect {
		err = p.connect(conn, addr)
	} else {
		err = p.socks5(ctx, conn, addr)
	}
	if !stop() && err == nil { // ctx ended just after the handshake, and the connection's deadline has passed
		err = context.Cause(ctx)
	}
	if err != nil {
		conn.Close()
		return nil, fmt.Errorf("%w: %w", ErrProxy, err)
	}
	return conn, nil
}

// connect requests a tunnel to addr by CONNECT. It reads the head of the response and not one byte more, as what
// follows is the server's: a server may send first.
func (p Proxy) connect(conn net.Conn, addr string) error {
	req := &http.Request{Method: http.MethodConnect, Host: addr, URL: &url.URL{Host: addr}, Header: http.Header{"User-Agent": nil}}
	if p.User != "" {
		req.SetBasicAuth(p.User, p.Password)
		req.Header["Proxy-Authorization"] = req.Header["Authorization"]
		req.Header.Del("Authorization")
	}
	if err := req.Write(conn); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(&singleByteReader{io.LimitedReader{R: conn, N: maxHeadBytes}}), req)
	if err != nil {
		return fmt.Errorf("reading the CONNECT response: %w", err)
	}
	if resp.StatusCode/100 != 2 { // any 2xx means that the tunnel is open and that there is no body
		return ConnectStatusError{resp.StatusCode}
	}
	return nil
}

// ConnectStatusError reports a CONNECT response with a status other than 2xx.
type ConnectStatusError struct{ Status int }

func (r ConnectStatusError) Error() string {
	return fmt.Sprintf("CONNECT response has status %d", r.Status)
}

// singleByteReader reads one byte at a time, so that a bufio.Reader on top of it reads no further than its caller does.
type singleByteReader struct{ io.LimitedReader }

func (r *singleByteReader) Read(p []byte) (int, error) {
	return r.LimitedReader.Read(p[:min(1, len(p))])
}

// socks5 performs the SOCKS5 handshake. Any reply other than success is an error.
func (p Proxy) socks5(ctx context.Context, conn net.Conn, addr string) error {
	var auth *proxy.Auth
	if p.User != "" {
		auth = &proxy.Auth{User: p.User, Password: p.Password}
	}
	d, err := proxy.SOCKS5("tcp", p.Addr, auth, nil)
	if err != nil {
		return err
	}
	// Connections that the library opens itself hide the socket, which is needed for splice and to see whether it was
	// closed.
	dialer, ok := d.(interface {
		DialWithConn(context.Context, net.Conn, string, string) (net.Addr, error)
	})
	if !ok {
		return errors.New("the SOCKS5 library does not accept an open connection")
	}
	_, err = dialer.DialWithConn(ctx, conn, "tcp", addr)
	return err
}
