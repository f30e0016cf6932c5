// Package standin holds stand-ins for external systems (proxies, health agents, control processes) that both the rig
// and the tests use. Each is written from the public specification of its protocol.
package standin

import (
	"bufio"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// Proxy is a SOCKS5 (RFC 1928, RFC 1929) or CONNECT (RFC 9110, 9.3.6) proxy on loopback with injectable faults. Its
// exported fields are set before Start; mu guards the rest. It is safe for concurrent use.
type Proxy struct {
	SOCKS5   bool   // SOCKS5 if true, else CONNECT
	User     string // empty: clients need no authentication
	Password string

	lifecycle sync.Mutex // held for the duration of Start and Stop, which therefore never overlap

	mu       sync.Mutex
	addr     string
	listener net.Listener
	wg       sync.WaitGroup
	conns    map[net.Conn]struct{}
	fault    ProxyFault
	delay    time.Duration
	dials    int
}

// ProxyFault is a fault of a proxy.
type ProxyFault uint8

const (
	NoFault        ProxyFault = iota // works
	MalformedReply                   // replies with text of no proxy protocol
	RefuseAll                        // refuses every server, as its protocol does
	NoReply                          // accepts connections and never replies
)

// Start opens the listener, at the same address each time. It does nothing while the proxy runs.
func (p *Proxy) Start() error {
	p.lifecycle.Lock()
	defer p.lifecycle.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		return nil
	}
	ln, err := listenAt(p.addr)
	if err != nil {
		return err
	}
	p.addr, p.listener, p.conns = ln.Addr().String(), ln, map[net.Conn]struct{}{}
	p.wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if !p.track(c) {
				return
			}
			p.wg.Go(func() {
				defer p.untrack(c)
				p.serve(c)
			})
		}
	})
	return nil
}

// Addr returns the address at which it listens, or listened before Stop.
func (p *Proxy) Addr() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addr
}

// Stop closes the listener and resets all connections, as the death of its process would, and waits for its goroutines.
func (p *Proxy) Stop() {
	p.lifecycle.Lock()
	defer p.lifecycle.Unlock()
	p.mu.Lock()
	if p.listener != nil {
		p.listener.Close()
		p.listener = nil
	}
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

// SetFault sets the fault, and the delay before each tunnel is opened, for connections accepted from now on.
func (p *Proxy) SetFault(fault ProxyFault, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault, p.delay = fault, delay
}

// DialCount returns the number of connections opened to servers.
func (p *Proxy) DialCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// track registers a connection, or closes it and returns false if the proxy is stopped.
func (p *Proxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener == nil {
		c.Close()
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

// untrack closes a connection and forgets it.
func (p *Proxy) untrack(c net.Conn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// serve handles one client connection: it reads the request, dials the server and copies data in both directions.
func (p *Proxy) serve(c net.Conn) {
	p.mu.Lock()
	fault, delay := p.fault, p.delay
	p.mu.Unlock()
	in := bufio.NewReader(c)
	readRequest, refuse := p.readConnect, "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n"
	established := "HTTP/1.1 200 OK\r\nServer: stand-in\r\n\r\n"
	if p.SOCKS5 {
		readRequest, refuse, established = p.readSOCKS5, "\x05\x05\x00\x01\x00\x00\x00\x00\x00\x00",
			"\x05\x00\x00\x01\x7f\x00\x00\x01\x00\x01"
	}
	if fault == MalformedReply {
		io.WriteString(c, "220 what would you like to send?\r\n\r\n")
		return
	}
	if fault == NoReply {
		in.ReadByte()
		io.Copy(io.Discard, in)
		return
	}
	addr, err := readRequest(in, c)
	if err != nil {
		return
	}
	time.Sleep(delay)
	if fault == RefuseAll {
		io.WriteString(c, refuse)
		return
	}
	server, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		io.WriteString(c, refuse)
		return
	}
	if !p.track(server) {
		return
	}
	defer p.untrack(server)
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	if _, err := io.WriteString(c, established); err != nil {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { copyHalf(server, in, server) })
	copyHalf(c, server, c)
	wg.Wait()
}

// copyHalf copies one direction until its end. An error closes both, so that the other direction ends too.
func copyHalf(dst net.Conn, src io.Reader, both net.Conn) {
	if _, err := io.Copy(dst, src); err != nil {
		both.Close()
	}
	if t, ok := dst.(*net.TCPConn); ok {
		t.CloseWrite()
	}
}

var errBadRequest = errors.New("malformed or unauthorized proxy request")

// readConnect reads a CONNECT request and returns the address of its server. It replies to requests that it rejects.
func (p *Proxy) readConnect(in *bufio.Reader, out io.Writer) (string, error) {
	req, err := http.ReadRequest(in)
	if err != nil || req.Method != http.MethodConnect {
		io.WriteString(out, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
		return "", errBadRequest
	}
	want := "Basic " + base64.StdEncoding.EncodeToString([]byte(p.User+":"+p.Password))
	if p.User != "" && req.Header.Get("Proxy-Authorization") != want {
		io.WriteString(out, "HTTP/1.1 407 Proxy Authentication Required\r\nContent-Length: 0\r\n\r\n")
		return "", errBadRequest
	}
	return req.Host, nil
}

// readSOCKS5 reads a SOCKS5 handshake and returns the address of the requested server. It replies where it rejects the
// authentication.
func (p *Proxy) readSOCKS5(in *bufio.Reader, out io.Writer) (string, error) {
	read := func(n int) []byte {
		b := make([]byte, n)
		if _, err := io.ReadFull(in, b); err != nil {
			return make([]byte, n) // zeros: no valid protocol version
		}
		return b
	}
	head := read(2)
	methods := string(read(int(head[1])))
	method := byte(0)
	if p.User != "" {
		method = 2
	}
	if head[0] != 5 || !strings.ContainsRune(methods, rune(method)) {
		out.Write([]byte{5, 0xff})
		return "", errBadRequest
	}
	out.Write([]byte{5, method})
	if method == 2 {
		read(1)
		user := string(read(int(read(1)[0])))
		password := string(read(int(read(1)[0])))
		if user != p.User || password != p.Password {
			out.Write([]byte{1, 1})
			return "", errBadRequest
		}
		out.Write([]byte{1, 0})
	}
	req := read(4)
	host := ""
	switch req[3] {
	case 1, 4:
		a, _ := netip.AddrFromSlice(read(int(req[3]) * 4))
		host = a.String()
	case 3:
		host = string(read(int(read(1)[0])))
	}
	port := binary.BigEndian.Uint16(read(2))
	if req[0] != 5 || req[1] != 1 || host == "" {
		return "", errBadRequest
	}
	return net.JoinHostPort(host, fmt.Sprint(port)), nil
}
