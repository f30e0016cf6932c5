// Package tunnel is the servers' side of tunnels: connections to web servers by way of a SOCKS5 or CONNECT proxy, and opaque
// tunnels, whose attempt is such a connection and whose bytes are nobody's business here.
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

// Kind is what a proxy speaks.
type Kind uint8

const (
	SOCKS5  Kind = iota // RFC 1928, RFC 1929
	Connect             // RFC 9110, 9.3.6
)

// Proxy is one that stands before web servers.
type Proxy struct {
	Kind     Kind
	Addr     string
	User     string // empty: none is shown
	Password string
}

// ErrProxy is what stands for all that a proxy can do wrong before a tunnel stands. Whatever it was, nothing of a request has
// gone to the server, so that nothing ran.
var ErrProxy = errors.New("the proxy before the web server")

// maxHead bounds the head of a proxy's answer, in bytes.
const maxHead = 8 << 10

// Dial is a back.Dial: a connection to addr through the proxy, to which nothing was sent yet. D's time is for the whole of it.
func (p Proxy) Dial(ctx context.Context, d *net.Dialer, addr string) (net.Conn, error) {
	if d.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d.Timeout)
		defer cancel()
	}
	conn, err := back.Direct(ctx, d, p.Addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrProxy, err)
	}
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	if p.Kind == Connect {
		err = p.connect(conn, addr)
	} else {
		err = p.socks5(ctx, conn, addr)
	}
	if !stop() && err == nil { // its time ran out at the last moment, and with it what the connection may still do
		err = context.Cause(ctx)
	}
	if err != nil {
		conn.Close()
		return nil, fmt.Errorf("%w: %w", ErrProxy, err)
	}
	return conn, nil
}

// connect asks for the tunnel and reads the answer's head, and nothing beyond it: the server may speak first.
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
	resp, err := http.ReadResponse(bufio.NewReader(&byteByByte{io.LimitedReader{R: conn, N: maxHead}}), req)
	if err != nil {
		return fmt.Errorf("its answer: %w", err)
	}
	if resp.StatusCode/100 != 2 { // any 2xx means that the tunnel stands, and that there is no body
		return Refusal{resp.StatusCode}
	}
	return nil
}

// Refusal is a CONNECT proxy's answer that is no success.
type Refusal struct{ Status int }

func (r Refusal) Error() string { return fmt.Sprintf("it answers %d", r.Status) }

// byteByByte reads no more than is asked for, whatever buffer it is asked with.
type byteByByte struct{ io.LimitedReader }

func (r *byteByByte) Read(p []byte) (int, error) { return r.LimitedReader.Read(p[:min(1, len(p))]) }

// socks5 does the whole handshake; its replies that are no success are errors.
func (p Proxy) socks5(ctx context.Context, conn net.Conn, addr string) error {
	var auth *proxy.Auth
	if p.User != "" {
		auth = &proxy.Auth{User: p.User, Password: p.Password}
	}
	d, err := proxy.SOCKS5("tcp", p.Addr, auth, nil)
	if err != nil {
		return err
	}
	// Its own connections hide the socket, which is needed for splice and to see whether it was closed.
	on, ok := d.(interface {
		DialWithConn(context.Context, net.Conn, string, string) (net.Addr, error)
	})
	if !ok {
		return errors.New("the SOCKS5 library takes no connection")
	}
	_, err = on.DialWithConn(ctx, conn, "tcp", addr)
	return err
}
