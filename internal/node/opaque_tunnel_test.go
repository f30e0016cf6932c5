package node

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/net/proxy"

	backtunnel "portstall/internal/back/tunnel"
	"portstall/internal/core"
	"portstall/internal/endpoints"
	"portstall/internal/lab/standin"
	"portstall/internal/message"
	"portstall/policy"
)

// echoServer is a server of a protocol that is not HTTP: it sends back what it receives. It counts its connections.
type echoServer struct {
	ln     net.Listener
	serve  func(c net.Conn) // replaces the echo
	opened atomic.Int64
	open   atomic.Int64
	latest atomic.Int64 // Unix nanoseconds of the latest connection
}

// newEchoServer starts a server; serve replaces the echo where it is not nil.
func newEchoServer(t testing.TB, serve func(c net.Conn)) *echoServer {
	t.Helper()
	ln, err := standin.Listen()
	if err != nil {
		t.Fatal(err)
	}
	s := &echoServer{ln: ln, serve: serve}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.opened.Add(1)
			s.open.Add(1)
			s.latest.Store(time.Now().UnixNano())
			wg.Go(func() {
				defer s.open.Add(-1)
				defer c.Close()
				if s.serve != nil {
					s.serve(c)
					return
				}
				if _, err := io.Copy(c, c); err == nil {
					c.(*net.TCPConn).CloseWrite()
				}
			})
		}
	})
	t.Cleanup(func() {
		ln.Close()
		wg.Wait()
	})
	return s
}

// entry returns the server's entry in a server list, as ready.
func (s *echoServer) entry(id string) endpoints.Endpoint {
	return endpoints.Endpoint{ID: id, Addr: s.ln.Addr().String(), Zone: "north", Kind: "k", State: "Ready"}
}

// newOpaqueNode starts a node with an opaque route; limits are further fields of the route, more is the rest of the
// section tunnels and of the file.
func newOpaqueNode(t testing.TB, limits, more string, known ...endpoints.Endpoint) (node *testNode, socks, connect string) {
	t.Helper()
	socks, connect = freeAddr(t), freeAddr(t)
	product := withProductFile(t, fmt.Sprintf(`services: [{name: lines}]
tunnels:
  socks5: %s
  connect: %s
  routes: [{host: lines.example.org, port: 7, service: lines, kind: opaque, class: quote%s}]
%s`, socks, connect, limits, more))
	node = newTestNode(t, newStubDiscovery(t), settingsJSON, func(c *Config) {
		product(c)
		c.Sockets = 16000
	}, known...)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	if err := node.openTunnelListeners(ctx, node.cfg.Product.Tunnels); err != nil {
		t.Fatal(err)
	}
	return node, socks, connect
}

const (
	echoSOCKSOpening     = "\x05\x01\x00\x05\x01\x00\x03\x11lines.example.org\x00\x07"
	echoConnectOpening   = "CONNECT lines.example.org:7 HTTP/1.1\r\nHost: lines.example.org:7\r\n\r\n"
	echoSOCKSReplyLength = 2 + 10
)

// echo sends text and expects it back.
func (c *client) echo(text string) {
	c.t.Helper()
	c.send(text)
	got := make([]byte, len(text))
	if _, err := io.ReadFull(c.in, got); err != nil || string(got) != text {
		c.t.Errorf("sent %d bytes, received %.40q, %v", len(text), got, err)
	}
}

// requestConnect asks for a tunnel by CONNECT and returns the response.
func requestConnect(t *testing.T, addr string) *http.Response {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	must(t, err)
	defer conn.Close()
	io.WriteString(conn, echoConnectOpening)
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodConnect})
	must(t, err)
	return resp
}

// waitTunnelsEnded waits until so many tunnels have ended for a cause.
func (n *testNode) waitTunnelsEnded(t testing.TB, cause backtunnel.Cause, times uint64) {
	t.Helper()
	waitFor(t, fmt.Sprintf("the end of %d tunnels for cause %q", times, cause), func() bool { return n.opaque.Stats().Ended[cause] >= times })
}

// Guards against wrong or missing replies and leaks when opaque tunnels are opened, over each way in and out and with
// each failure of the opening: there is one attempt that reaches a server if one is reachable, else none, the reply is
// final and in the protocol's terms, and nothing is left open.
func TestOpaqueTunnels(t *testing.T) {
	for _, via := range []string{"", "socks5", "connect"} {
		for _, trouble := range []string{"", "server down", "one of two down", "proxy down", "proxy malformed", "proxy refuses", "data sent ahead"} {
			if via == "" && strings.HasPrefix(trouble, "proxy") {
				continue
			}
			t.Run(fmt.Sprintf("via %s %s", via, trouble), func(t *testing.T) {
				t.Parallel()
				target := newEchoServer(t, nil)
				p := &standin.Proxy{SOCKS5: via == "socks5"}
				if err := p.Start(); err != nil {
					t.Fatal(err)
				}
				t.Cleanup(p.Stop)
				more := ""
				if via != "" {
					more = fmt.Sprintf("  proxies: [{servers: \"s-*\", %s: %q}]\n", via, p.Addr())
				}
				down := target.entry("s-2")
				down.Addr = freeAddr(t)
				known := []endpoints.Endpoint{target.entry("s-1")}
				reachable := true
				switch trouble {
				case "server down":
					known, reachable = []endpoints.Endpoint{down}, false
				case "one of two down":
					known = append(known, down)
				case "proxy down":
					p.Stop()
					reachable = false
				case "proxy malformed":
					p.SetFault(standin.MalformedReply, 0)
					reachable = false
				case "proxy refuses":
					p.SetFault(standin.RefuseAll, 0)
					reachable = false
				}
				node, socks, connect := newOpaqueNode(t, "", more, known...)
				ahead := ""
				if trouble == "data sent ahead" {
					ahead = distinctBody(20 << 10)
				}
				for i := range 4 {
					addr, opening, length := socks, echoSOCKSOpening, echoSOCKSReplyLength
					if i%2 == 1 {
						addr, opening, length = connect, echoConnectOpening, 0
					}
					c, reply := openTunnel(t, addr, opening+ahead, length)
					if ok := reply == "200" || reply == "\x05\x00\x05\x00\x00\x01\x00\x00\x00\x00\x00\x00"; ok != reachable {
						t.Fatalf("tunnel %d: reply %q to the opening", i, reply)
					}
					if !reachable {
						if reply != "503" && reply != "502" && reply[min(3, len(reply)-1)] == 0 {
							t.Errorf("tunnel %d: reply %q, want a refusal", i, reply)
						}
						if _, err := c.in.ReadByte(); err == nil {
							t.Errorf("tunnel %d stays open after a refusal", i)
						}
						continue
					}
					if ahead != "" {
						got := make([]byte, len(ahead))
						if _, err := io.ReadFull(c.in, got); err != nil || string(got) != ahead {
							t.Errorf("data sent ahead was echoed as %.40q, %v", got, err)
						}
					}
					c.echo("hello")
					c.echo(distinctBody(1 << 20))
					// After the client's half-close it still receives what the server has to send, and then the
					// server's end.
					c.send("last words")
					c.Conn.(*net.TCPConn).CloseWrite()
					if rest, err := io.ReadAll(c.in); err != nil || string(rest) != "last words" {
						t.Errorf("after its half-close a client received %q, %v; want its last words", rest, err)
					}
				}
				if reachable {
					node.waitTunnelsEnded(t, backtunnel.CauseDone, 4)
					if n := target.opened.Load(); n != 4 {
						t.Errorf("%d connections for 4 tunnels, want 4", n)
					}
				}
				waitFor(t, "the end of all requests", func() bool { return node.core.Stats(0).OpenRequests == 0 })
				if stats := node.opaque.Stats(); stats.Open != 0 {
					t.Errorf("open tunnels remain: %+v", stats)
				}
				waitFor(t, "the end of the server's connections", func() bool { return target.open.Load() == 0 })
			})
		}
	}
}

// Guards against limits that do not end a tunnel, or end it for another cause. Where data has to arrive within a limit
// first, that limit is of seconds.
func TestOpaqueLimits(t *testing.T) {
	for _, c := range []struct {
		name, limits string
		serve        func(net.Conn)
		talk         func(c *client)
		cause        backtunnel.Cause
	}{
		{"a client that sends nothing", ", idle: 100ms", nil, func(c *client) {}, backtunnel.CauseIdle},
		{"total, however busy", ", total: 300ms, idle: 10s", nil, func(c *client) {
			for {
				if _, err := c.Write([]byte("x")); err != nil {
					return
				}
				if _, err := c.in.ReadByte(); err != nil {
					return
				}
			}
		}, backtunnel.CauseTotal},
		{"a server that never replies", ", stall: 100ms", func(c net.Conn) { io.Copy(io.Discard, c) },
			func(c *client) { c.send("anybody there?") }, backtunnel.CauseStall},
		{"a server that goes silent", ", stall: 3s", func(c net.Conn) {
			io.CopyN(c, c, 5)
			io.Copy(io.Discard, c)
		}, func(c *client) {
			c.echo("hello")
			c.send("again")
		}, backtunnel.CauseStall},
		{"a protocol without replies", ", idle: 2s", func(c net.Conn) { io.Copy(io.Discard, c) },
			func(c *client) { c.send("a log line") }, backtunnel.CauseIdle},
		{"a server that breaks the connection", "", func(c net.Conn) {
			io.CopyN(c, c, 5)
			c.(*net.TCPConn).SetLinger(0)
		}, func(c *client) { c.echo("hello") }, backtunnel.CauseServer},
		{"a client that breaks the connection", "", nil, func(c *client) {
			c.echo("hello")
			c.Conn.(*net.TCPConn).SetLinger(0)
			c.Close()
		}, backtunnel.CauseClient},
		{"a client that reads nothing of 10 MB", ", idle: 300ms", func(c net.Conn) {
			c.Write(make([]byte, 10<<20))
			io.Copy(io.Discard, c)
		}, func(c *client) {}, backtunnel.CauseIdle},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			target := newEchoServer(t, c.serve)
			node, _, connect := newOpaqueNode(t, c.limits, "", target.entry("s-1"))
			cl, reply := openTunnel(t, connect, echoConnectOpening, 0)
			if reply != "200" {
				t.Fatalf("CONNECT: status %q, want 200", reply)
			}
			c.talk(cl)
			node.waitTunnelsEnded(t, c.cause, 1)
			waitFor(t, "the end of the server's connections", func() bool { return target.open.Load() == 0 })
			if st := node.opaque.Stats(); len(st.Ended) != 1 || st.Open != 0 {
				t.Errorf("want one tunnel ended and none open: %+v", st)
			}
		})
	}
}

// Guards against opaque tunnels that bypass contracts: who may have one, how many, and at what bandwidth.
func TestOpaqueContracts(t *testing.T) {
	t.Parallel()
	target := newEchoServer(t, nil)
	node, socks, connect := newOpaqueNode(t, "", "contracts: [{name: all, in_flight: 1, bandwidth: 4000000}]\n", target.entry("s-1"))
	c, _ := openTunnel(t, connect, echoConnectOpening, 0)
	begun := time.Now()
	text := distinctBody(3 << 20)
	go c.send(text)
	got := make([]byte, len(text))
	if _, err := io.ReadFull(c.in, got); err != nil || string(got) != text {
		t.Errorf("%d bytes were echoed differently, %v", len(text), err)
	}
	// 6 MB both ways at 4 MB/s, of which a second's worth may pass at once, take half a second, less the last chunk of
	// either way, whose wait comes after it.
	if took := time.Since(begun); took < 400*time.Millisecond {
		t.Errorf("6 MB passed in %v, want at least 400 ms", took)
	}
	resp := requestConnect(t, connect)
	if resp.StatusCode != 429 || !strings.HasPrefix(resp.Header.Get("Portstall-Refusal"), "rule=in-flight") || resp.Header.Get("Retry-After") == "" {
		t.Errorf("a second tunnel: status %d, headers %v; want 429 by the in-flight limit", resp.StatusCode, resp.Header)
	}
	if _, reply := openTunnel(t, socks, echoSOCKSOpening, echoSOCKSReplyLength); reply[3] != 2 {
		t.Errorf("a second tunnel by SOCKS5: reply %q, want it refused by the rules", reply)
	}
	c.Close()
	waitFor(t, "the end of the first tunnel", func() bool { return node.core.Stats(0).OpenRequests == 0 })
	if _, reply := openTunnel(t, connect, echoConnectOpening, 0); reply != "200" {
		t.Errorf("a tunnel after the first has ended: status %s, want 200", reply)
	}
}

// delayedCopyConn is a client's connection on which a copy returns only when it is released, as on a machine that runs
// something else first.
type delayedCopyConn struct {
	*net.TCPConn
	release chan struct{}
}

// ReadFrom copies, and returns once it is released.
func (c delayedCopyConn) ReadFrom(r io.Reader) (int64, error) {
	n, err := c.TCPConn.ReadFrom(r)
	<-c.release
	return n, err
}

// Guards against a stall that is missed when a client replies to the server's bytes before the node has recorded that
// it passed them on: the server's silence to that reply is detected all the same.
func TestStallIsDetectedAfterDelayedCopy(t *testing.T) {
	t.Parallel()
	secondReceived := make(chan struct{})
	target := newEchoServer(t, func(c net.Conn) {
		io.CopyN(c, c, 5)
		io.CopyN(io.Discard, c, 5)
		close(secondReceived)
		io.Copy(io.Discard, c)
	})
	node, _, _ := newOpaqueNode(t, "", "", target.entry("s-1"))
	stream := &message.Stream{Limits: message.TunnelLimits{Idle: time.Minute, Total: time.Minute, Stall: 3 * time.Second}}
	req := &core.Request{ID: "late", Class: "quote", Message: stream, Body: stream, Arrived: node.core.Now(), Timeout: testTimeout}
	if !node.core.Begin(req) {
		t.Fatal("the request was not accepted")
	}
	response := receive(t, "the response", req.Response())
	if response.Kind != core.Served {
		t.Fatalf("response %+v, want Served", response)
	}
	conn, end := connPair(t)
	late := delayedCopyConn{end.(*net.TCPConn), make(chan struct{})}
	go response.Payload.(message.Tunnel).Relay(late, bufio.NewReader(end))
	c := &client{t, conn, bufio.NewReader(conn)}
	c.SetDeadline(time.Now().Add(testTimeout))
	c.echo("hello")
	c.send("again")
	receive(t, "the client's second message at the server", secondReceived)
	time.Sleep(20 * time.Millisecond) // for the node to record that, too
	close(late.release)
	node.waitTunnelsEnded(t, backtunnel.CauseStall, 1)
}

// Guards against tunnels to a server that drains or is disabled between its selection and the connection: the tunnel is
// not opened, and that proves that nothing ran.
func TestOpaqueServerLeavesBeforeConnection(t *testing.T) {
	t.Parallel()
	target := newEchoServer(t, nil)
	node, _, _ := newOpaqueNode(t, "", "", target.entry("s-1"))
	node.core.Lock()
	server := node.serversByID["s-1"].Server
	node.core.Unlock()
	stream := &message.Stream{Limits: message.TunnelLimits{Idle: time.Minute, Total: time.Minute}}
	a := &core.Attempt{Request: &core.Request{Message: stream, Body: stream}, Server: server, Timeout: testTimeout}
	server.StopAt.Store(time.Now().Add(-time.Millisecond).UnixNano())
	if res := node.opaque.Attempt(context.Background(), a); res.Outcome != policy.NeverSent {
		t.Errorf("after the drain grace: outcome %d, want NeverSent", res.Outcome)
	}
	server.StopAt.Store(0)
	server.Gate.SetClosed(true)
	if res := node.opaque.Attempt(context.Background(), a); res.Outcome != policy.NeverSent {
		t.Errorf("for a disabled server: outcome %d, want NeverSent", res.Outcome)
	}
	node.pool.Resize(0)
	if res := node.opaque.Attempt(context.Background(), a); res.Outcome != policy.NeverSent {
		t.Errorf("with no descriptor: outcome %d, want NeverSent", res.Outcome)
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	node.pool.Resize(10)
	cancel(core.ErrCanceled)
	if res := node.opaque.Attempt(ctx, a); res.Outcome != policy.Canceled {
		t.Errorf("canceled: outcome %d, want Canceled", res.Outcome)
	}
	if stream.Spent() {
		t.Error("bytes of the client count as sent, though no connection was open")
	}
}

// Guards against tunnels that outlive their server's drain, with a thousand of them open: shortly afterwards no new one
// is opened to it, open ones end within their limit, and new ones go to another server. The same holds for a server
// that an operator disables.
func TestOpaqueTunnelsEndWithDrainedServer(t *testing.T) {
	if testing.Short() {
		t.Skip("a thousand tunnels")
	}
	for _, disabled := range []bool{false, true} {
		one, two := newEchoServer(t, nil), newEchoServer(t, nil)
		var fleet, draining []endpoints.Endpoint // one process under many ids, as the policy lets each hold about a hundred before it knows more
		for i := range 14 {
			e := one.entry(fmt.Sprint("s-", i))
			fleet = append(fleet, e)
			e.State = "Terminating"
			draining = append(draining, e)
		}
		node, _, connect := newOpaqueNode(t, ", drain: 300ms", "", fleet...)
		var tunnels []*client
		for range 1000 {
			c, reply := openTunnel(t, connect, echoConnectOpening, 0)
			if reply != "200" {
				t.Fatalf("tunnel %d: status %s, want 200", len(tunnels), reply)
			}
			tunnels = append(tunnels, c)
		}
		notified := time.Now()
		if disabled {
			node.publishList(2, append(fleet, two.entry("t-1"))...)
			for _, e := range fleet {
				must(t, node.Disable(context.Background(), e.ID))
			}
		} else {
			node.publishList(2, append(draining, two.entry("t-1"))...)
		}
		for range 200 {
			if c, reply := openTunnel(t, connect, echoConnectOpening, 0); reply != "200" {
				t.Fatalf("a tunnel during the drain: status %s, want 200", reply)
			} else {
				c.echo("hello")
				c.Close()
			}
		}
		node.waitTunnelsEnded(t, backtunnel.CauseDraining, 1000)
		if delay := time.Unix(0, one.latest.Load()).Sub(notified); delay > 2*time.Second { // the grace period in these settings
			t.Errorf("disabled by an operator %v: a new connection %v after the order", disabled, delay)
		}
		if disabled && one.opened.Load() != 1000 {
			t.Errorf("%d new connections to a disabled server", one.opened.Load()-1000)
		}
		for _, c := range tunnels {
			c.SetDeadline(time.Now().Add(testTimeout))
			if _, err := c.in.ReadByte(); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
				t.Fatalf("a tunnel is still open after the drain: %v", err)
			}
			c.Close()
		}
	}
}

// Guards against tunnels that hold up a drain of the node: new ones are refused at once, open ones end within their
// limit. The same holds when the node leaves.
func TestOpaqueTunnelsEndWithDrainedNode(t *testing.T) {
	t.Parallel()
	target := newEchoServer(t, nil)
	node, _, connect := newOpaqueNode(t, ", drain: 200ms", "", target.entry("s-1"))
	c, _ := openTunnel(t, connect, echoConnectOpening, 0)
	c.echo("hello")
	must(t, node.Drain(context.Background()))
	resp := requestConnect(t, connect)
	if resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
		t.Errorf("CONNECT during a drain: status %d, Retry-After %q; want 503 with Retry-After", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	node.waitTunnelsEnded(t, backtunnel.CauseDraining, 1)
	must(t, node.Resume(context.Background()))
	c, reply := openTunnel(t, connect, echoConnectOpening, 0)
	if reply != "200" {
		t.Fatalf("CONNECT after the drain: status %s, want 200", reply)
	}
	c.echo("hello")
	node.terminate()
	node.waitTunnelsEnded(t, backtunnel.CauseDraining, 2)
}

// Guards against deviations that standard clients do not accept: golang.org/x/net/proxy by SOCKS5, and net/http with a
// proxy's URL, with TLS to the server inside the tunnel.
func TestStandardProxyClients(t *testing.T) {
	t.Parallel()
	web := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "hello "+r.Host) }))
	defer web.Close()
	_, socks, connect := newOpaqueNode(t, "", "", endpoints.Endpoint{ID: "s-1", Addr: web.Listener.Addr().String(), Zone: "north", Kind: "k", State: "Ready"})
	for _, proxyURL := range []string{"http://" + connect, "socks5://" + socks} {
		u, err := url.Parse(proxyURL)
		must(t, err)
		httpClient := &http.Client{Transport: &http.Transport{Proxy: http.ProxyURL(u), TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
		resp, err := httpClient.Get("https://lines.example.org:7/")
		if err != nil {
			t.Fatalf("%s: %v", proxyURL, err)
		}
		text, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if string(text) != "hello lines.example.org:7" {
			t.Errorf("%s: body %q", proxyURL, text)
		}
		httpClient.CloseIdleConnections()
	}
	dialer, err := proxy.SOCKS5("tcp", socks, nil, nil)
	must(t, err)
	c, err := dialer.Dial("tcp", "lines.example.org:7")
	must(t, err)
	c.Close()
	for _, to := range []string{"127.0.0.1:7", "localhost:7", "other.example.org:7", "lines.example.org:8"} {
		if c, err := dialer.Dial("tcp", to); err == nil {
			c.Close()
			t.Errorf("a tunnel to %s was opened, though no route leads there", to)
		}
	}
}

// Guards against a request smuggled by two framings inside an HTTP tunnel: it is refused, and reaches no server.
func TestSmuggledRequestInTunnelIsRejected(t *testing.T) {
	t.Parallel()
	server := newStubServer(t, respondOK)
	_, _, connect := newTunnelNode(t, "", server.entry("s-1"))
	c, _ := openTunnel(t, connect, connectOpening("secret"), 0)
	smuggling := strings.Replace(save("outer").text(), "Content-Length: ", "Transfer-Encoding: chunked\r\nContent-Length: ", 1)
	c.send(smuggling + "0\r\n\r\n" + view("inner").text())
	if resp, _ := c.readResponse(); resp.StatusCode != 400 || !resp.Close {
		t.Errorf("a request with two framings: status %d, close %v; want 400 and a close", resp.StatusCode, resp.Close)
	}
	if _, err := c.in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the tunnel after it: %v, want it closed", err)
	}
	if n := len(server.requests()); n != 0 {
		t.Errorf("%d requests reached the server, want none", n)
	}
}

// bareRelay starts what a tunnel is compared with: a relay of two copies and nothing else.
func bareRelay(b *testing.B, to string) string {
	ln, err := standin.Listen()
	if err != nil {
		b.Fatal(err)
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				s, err := net.Dial("tcp", to)
				if err != nil {
					return
				}
				defer s.Close()
				go func() {
					io.Copy(s, c)
					s.(*net.TCPConn).CloseWrite()
				}()
				io.Copy(c, s)
			}()
		}
	}()
	b.Cleanup(func() { ln.Close() })
	return ln.Addr().String()
}

// BenchmarkTunnel sends 16 MB through an open tunnel and through a bare relay in turn, and opens short ones in turn.
func BenchmarkTunnel(b *testing.B) {
	target := newEchoServer(b, func(c net.Conn) { io.Copy(io.Discard, c) })
	echo := newEchoServer(b, nil)
	_, _, connect := newOpaqueNode(b, "", "", target.entry("s-1"))
	_, _, shortTunnels := newOpaqueNode(b, "", "", echo.entry("s-1"))
	bare, bareShort := bareRelay(b, target.ln.Addr().String()), bareRelay(b, echo.ln.Addr().String())
	open := func(addr string, tunnel bool) net.Conn {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			b.Fatal(err)
		}
		if tunnel {
			io.WriteString(c, echoConnectOpening)
			resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodConnect})
			if err != nil || resp.StatusCode != 200 {
				b.Fatal(resp, err)
			}
		}
		return c
	}
	conns := []net.Conn{open(bare, false), open(connect, true)}
	text := make([]byte, 256<<10)
	var long, short [2]time.Duration
	n := 0
	for b.Loop() {
		n++
		for k := range 2 {
			i := (k + n) % 2
			begun := time.Now()
			for range 64 {
				if _, err := conns[i].Write(text); err != nil {
					b.Fatal(err)
				}
			}
			long[i] += time.Since(begun)
			begun = time.Now()
			for range 4 {
				c := open([]string{bareShort, shortTunnels}[i], i == 1)
				c.Write(text[:1000])
				io.ReadFull(c, text[:1000])
				c.Close()
			}
			short[i] += time.Since(begun)
		}
	}
	b.ReportMetric(float64(long[0])/float64(long[1]), "of-bare-standing")
	b.ReportMetric(float64(short[0])/float64(short[1]), "of-bare-short")
	b.ReportMetric(float64(n)*16/long[1].Seconds(), "MB/s")
	for _, c := range conns {
		c.Close()
	}
}

// BenchmarkIdleTunnels opens tunnels and reports how much of this process's heap and stacks each one holds, the test's
// own ends included. 4,000 of them take 16,000 of the 20,000 descriptors that a process has here.
func BenchmarkIdleTunnels(b *testing.B) {
	for _, count := range []int{400, 4000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			target := newEchoServer(b, func(c net.Conn) {
				var one [1]byte
				c.Read(one[:])
			})
			var servers []endpoints.Endpoint
			for i := range 60 {
				servers = append(servers, target.entry(fmt.Sprint("s-", i)))
			}
			_, _, connect := newOpaqueNode(b, ", idle: 10m", "", servers...)
			held := func() float64 {
				runtime.GC()
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				return float64(m.HeapInuse + m.StackInuse)
			}
			before := held()
			var conns []net.Conn
			reply := make([]byte, len("HTTP/1.1 200 Connection established\r\n\r\n"))
			for range count {
				c, err := net.Dial("tcp", connect)
				if err != nil {
					b.Fatal(err)
				}
				io.WriteString(c, echoConnectOpening)
				if _, err := io.ReadFull(c, reply); err != nil {
					b.Fatalf("tunnel %d: %q %v", len(conns), reply, err)
				}
				conns = append(conns, c)
			}
			b.ReportMetric((held()-before)/float64(count)/1024, "kB/tunnel")
			b.ReportMetric(float64(runtime.NumGoroutine())/float64(count), "goroutines/tunnel")
			for b.Loop() { // nothing is timed: what an idle tunnel costs is measured above
			}
			for _, c := range conns {
				c.Close()
			}
		})
	}
}
