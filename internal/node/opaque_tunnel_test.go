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
	"portstall/internal/lab/standin"
	"portstall/internal/message"
	"portstall/policy"
)

// lines is a server of some protocol of its own: it greets, then says again what it is told. It counts its connections.
type echoServer struct {
	ln      net.Listener
	greets  bool
	serve   func(c net.Conn) // in place of the echo
	opened  atomic.Int64
	open    atomic.Int64
	latest  atomic.Int64 // Unix nanoseconds of the latest connection
	accepts atomic.Bool
}

func newLines(t testing.TB, serve func(c net.Conn)) *echoServer {
	t.Helper()
	ln, err := standin.Listen()
	if err != nil {
		t.Fatal(err)
	}
	l := &echoServer{ln: ln, serve: serve}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			l.opened.Add(1)
			l.open.Add(1)
			l.latest.Store(time.Now().UnixNano())
			wg.Go(func() {
				defer l.open.Add(-1)
				defer c.Close()
				if l.serve != nil {
					l.serve(c)
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
	return l
}

func (l *echoServer) entry(id string) listed {
	return listed{ID: id, Addr: l.ln.Addr().String(), Zone: "north", Kind: "k", State: "Ready"}
}

// opaqueNode is a node with an opaque route; limits are fields of the route, more is the rest of the tunnels or the file.
func newOpaqueNode(t testing.TB, limits, more string, known ...listed) (node *rig, socks, connect string) {
	t.Helper()
	socks, connect = free(t), free(t)
	product := under(t, fmt.Sprintf(`services: [{name: lines}]
tunnels:
  socks5: %s
  connect: %s
  routes: [{host: lines.example.org, port: 7, service: lines, kind: opaque, class: quote%s}]
%s`, socks, connect, limits, more))
	node = newRig(t, newRegistry(t), settingsJSON, func(c *Config) {
		product(c)
		c.Sockets = 16000
	}, known...)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	if err := node.tunnels(ctx, node.cfg.Product.Tunnels); err != nil {
		t.Fatal(err)
	}
	return node, socks, connect
}

const (
	echoSOCKSOpening     = "\x05\x01\x00\x05\x01\x00\x03\x11lines.example.org\x00\x07"
	linesConnect         = "CONNECT lines.example.org:7 HTTP/1.1\r\nHost: lines.example.org:7\r\n\r\n"
	echoSOCKSReplyLength = 2 + 10
)

// echo says something and wants it back.
func (c *client) echo(text string) {
	c.t.Helper()
	c.send(text)
	got := make([]byte, len(text))
	if _, err := io.ReadFull(c.in, got); err != nil || string(got) != text {
		c.t.Errorf("sent %d bytes, got back %.40q, %v", len(text), got, err)
	}
}

// connects asks for a tunnel by CONNECT, and is told something else than the way there.
func connects(t *testing.T, addr string) *http.Response {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	must(t, err)
	defer conn.Close()
	io.WriteString(conn, linesConnect)
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodConnect})
	must(t, err)
	return resp
}

// ended waits until the tunnels have ended for a cause so often.
func (n *rig) waitTunnelsEnded(t testing.TB, cause backtunnel.Cause, times uint64) {
	t.Helper()
	wait(t, fmt.Sprintf("the end of %d tunnels by %q", times, cause), func() bool { return n.opaque.Stats().Ended[cause] >= times })
}

// Each way in to each way out, with what can go wrong at the opening: one attempt that reaches a server at most where one is
// there, else none; the reply is the final answer, in the protocol's words; and nothing is left over.
func TestOpaqueTunnels(t *testing.T) {
	for _, via := range []string{"", "socks5", "connect"} {
		for _, trouble := range []string{"", "server down", "one of two down", "proxy down", "proxy nonsense", "proxy refuses", "ahead"} {
			if via == "" && strings.HasPrefix(trouble, "proxy") {
				continue
			}
			t.Run(fmt.Sprintf("via %s %s", via, trouble), func(t *testing.T) {
				t.Parallel()
				target := newLines(t, nil)
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
				down.Addr = free(t)
				known := []listed{target.entry("s-1")}
				stands := true
				switch trouble {
				case "server down":
					known, stands = []listed{down}, false
				case "one of two down":
					known = append(known, down)
				case "proxy down":
					p.Stop()
					stands = false
				case "proxy nonsense":
					p.Trouble(standin.Nonsense, 0)
					stands = false
				case "proxy refuses":
					p.Trouble(standin.Refuses, 0)
					stands = false
				}
				node, socks, connect := newOpaqueNode(t, "", more, known...)
				ahead := ""
				if trouble == "ahead" {
					ahead = distinctBody(20 << 10)
				}
				for i := range 4 {
					addr, message, length := socks, echoSOCKSOpening, echoSOCKSReplyLength
					if i%2 == 1 {
						addr, message, length = connect, linesConnect, 0
					}
					c, told := through(t, addr, message+ahead, length)
					if ok := told == "200" || told == "\x05\x00\x05\x00\x00\x01\x00\x00\x00\x00\x00\x00"; ok != stands {
						t.Fatalf("tunnel %d: told %q", i, told)
					}
					if !stands {
						if told != "503" && told != "502" && told[min(3, len(told)-1)] == 0 {
							t.Errorf("tunnel %d: told %q", i, told)
						}
						if _, err := c.in.ReadByte(); err == nil {
							t.Errorf("tunnel %d goes on", i)
						}
						continue
					}
					if ahead != "" {
						got := make([]byte, len(ahead))
						if _, err := io.ReadFull(c.in, got); err != nil || string(got) != ahead {
							t.Errorf("what was sent ahead came back as %.40q, %v", got, err)
						}
					}
					c.echo("hello")
					c.echo(distinctBody(1 << 20))
					// Half-closed by the client, it still gets what the server has to say, and then the server's end.
					c.send("last words")
					c.Conn.(*net.TCPConn).CloseWrite()
					if rest, err := io.ReadAll(c.in); err != nil || string(rest) != "last words" {
						t.Errorf("behind its own end a client read %q, %v", rest, err)
					}
				}
				if stands {
					node.waitTunnelsEnded(t, backtunnel.Done, 4)
					if n := target.opened.Load(); n != 4 {
						t.Errorf("%d connections for 4 tunnels", n)
					}
				}
				wait(t, "the end of all requests", func() bool { return node.core.Stats(0).Open == 0 })
				if st := node.opaque.Stats(); st.Open != 0 {
					t.Errorf("%+v", st)
				}
				wait(t, "the server's end", func() bool { return target.open.Load() == 0 })
			})
		}
	}
}

// Each limit ends a tunnel, and no other does it. Where something has to come within a limit first, that has seconds.
func TestOpaqueLimits(t *testing.T) {
	for _, c := range []struct {
		name, limits string
		serve        func(net.Conn)
		talk         func(c *client)
		cause        backtunnel.Cause
	}{
		{"a client that opens and says nothing", ", idle: 100ms", nil, func(c *client) {}, backtunnel.Idle},
		{"total, however busy", ", total: 300ms, idle: 10s", nil, func(c *client) {
			for {
				if _, err := c.Write([]byte("x")); err != nil {
					return
				}
				if _, err := c.in.ReadByte(); err != nil {
					return
				}
			}
		}, backtunnel.Total},
		{"a server that accepts and never replies", ", stall: 100ms", func(c net.Conn) { io.Copy(io.Discard, c) },
			func(c *client) { c.send("anybody there?") }, backtunnel.Stall},
		{"a server silent mid-stream", ", stall: 3s", func(c net.Conn) {
			io.CopyN(c, c, 5)
			io.Copy(io.Discard, c)
		}, func(c *client) {
			c.echo("hello")
			c.send("again")
		}, backtunnel.Stall},
		{"a protocol that is quiet by nature", ", idle: 2s", func(c net.Conn) { io.Copy(io.Discard, c) },
			func(c *client) { c.send("a log line") }, backtunnel.Idle},
		{"a server that breaks the connection", "", func(c net.Conn) {
			io.CopyN(c, c, 5)
			c.(*net.TCPConn).SetLinger(0)
		}, func(c *client) { c.echo("hello") }, backtunnel.Server},
		{"a client that breaks it", "", nil, func(c *client) {
			c.echo("hello")
			c.Conn.(*net.TCPConn).SetLinger(0)
			c.Close()
		}, backtunnel.Client},
		{"a reader that takes nothing of 10 MB", ", idle: 300ms", func(c net.Conn) {
			c.Write(make([]byte, 10<<20))
			io.Copy(io.Discard, c)
		}, func(c *client) {}, backtunnel.Idle},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			target := newLines(t, c.serve)
			node, _, connect := newOpaqueNode(t, c.limits, "", target.entry("s-1"))
			cl, told := through(t, connect, linesConnect, 0)
			if told != "200" {
				t.Fatalf("told %q", told)
			}
			c.talk(cl)
			node.waitTunnelsEnded(t, c.cause, 1)
			wait(t, "the server's end", func() bool { return target.open.Load() == 0 })
			if st := node.opaque.Stats(); len(st.Ended) != 1 || st.Open != 0 {
				t.Errorf("%+v", st)
			}
		})
	}
}

// What a contract says holds for an opaque tunnel as for any request: who may have one, how many, and how fast.
func TestOpaqueContracts(t *testing.T) {
	t.Parallel()
	target := newLines(t, nil)
	node, socks, connect := newOpaqueNode(t, "", "contracts: [{name: all, in_flight: 1, bandwidth: 4000000}]\n", target.entry("s-1"))
	c, _ := through(t, connect, linesConnect, 0)
	begun := time.Now()
	text := distinctBody(3 << 20)
	go c.send(text)
	got := make([]byte, len(text))
	if _, err := io.ReadFull(c.in, got); err != nil || string(got) != text {
		t.Errorf("%d bytes came back otherwise, %v", len(text), err)
	}
	// 6 MB both ways at 4 MB/s, of which a second's worth may pass at once: half a second, but for the last chunk of
	// either way, which is waited for behind it.
	if took := time.Since(begun); took < 400*time.Millisecond {
		t.Errorf("6 MB passed in %v", took)
	}
	resp := connects(t, connect)
	if resp.StatusCode != 429 || !strings.HasPrefix(resp.Header.Get("Portstall-Refusal"), "rule=in-flight") || resp.Header.Get("Retry-After") == "" {
		t.Errorf("a second one: %d %v", resp.StatusCode, resp.Header)
	}
	if _, told := through(t, socks, echoSOCKSOpening, echoSOCKSReplyLength); told[3] != 2 {
		t.Errorf("a second one by SOCKS5: %q", told)
	}
	c.Close()
	wait(t, "its end", func() bool { return node.core.Stats(0).Open == 0 })
	if _, told := through(t, connect, linesConnect, 0); told != "200" {
		t.Errorf("once the first has ended: %s", told)
	}
}

// lateCopy is a client's connection of which a copy returns only when it may, as on a machine that runs something else first.
type delayedCopyConn struct {
	*net.TCPConn
	release chan struct{}
}

func (c delayedCopyConn) ReadFrom(r io.Reader) (int64, error) {
	n, err := c.TCPConn.ReadFrom(r)
	<-c.release
	return n, err
}

// A client answers the server's bytes before the node comes to book that it has passed them on: the server's silence to that
// answer is seen all the same.
func TestStallIsDetectedAfterDelayedCopy(t *testing.T) {
	t.Parallel()
	again := make(chan struct{})
	target := newLines(t, func(c net.Conn) {
		io.CopyN(c, c, 5)
		io.CopyN(io.Discard, c, 5)
		close(again)
		io.Copy(io.Discard, c)
	})
	node, _, _ := newOpaqueNode(t, "", "", target.entry("s-1"))
	stream := &message.Stream{Limits: message.Limits{Idle: time.Minute, Total: time.Minute, Stall: 3 * time.Second}}
	req := &core.Request{ID: "late", Class: "quote", Message: stream, Body: stream, Arrived: node.core.Now(), Patience: patience}
	if !node.core.Begin(req) {
		t.Fatal("not taken")
	}
	answer := receive(t, "its answer", req.Answer())
	if answer.Kind != core.Served {
		t.Fatalf("%+v", answer)
	}
	conn, there := connPair(t)
	late := delayedCopyConn{there.(*net.TCPConn), make(chan struct{})}
	go answer.Payload.(message.Tunnel).Relay(late, bufio.NewReader(there))
	c := &client{t, conn, bufio.NewReader(conn)}
	c.SetDeadline(time.Now().Add(patience))
	c.echo("hello")
	c.send("again")
	receive(t, "the client's answer at the server", again)
	time.Sleep(20 * time.Millisecond) // for the node to book that, too
	close(late.release)
	node.waitTunnelsEnded(t, backtunnel.Stall, 1)
}

// Between the pick and the connection its server is told to drain, or is taken out: the tunnel does not come to stand there,
// and that proves that nothing ran.
func TestOpaqueServerLeavesBeforeConnection(t *testing.T) {
	t.Parallel()
	target := newLines(t, nil)
	node, _, _ := newOpaqueNode(t, "", "", target.entry("s-1"))
	node.core.Lock()
	server := node.names["s-1"].Server
	node.core.Unlock()
	stream := &message.Stream{Limits: message.Limits{Idle: time.Minute, Total: time.Minute}}
	a := &core.Attempt{Request: &core.Request{Message: stream, Body: stream}, Server: server, Wait: patience}
	server.Stop.Store(time.Now().Add(-time.Millisecond).UnixNano())
	if res := node.opaque.Attempt(context.Background(), a); res.Outcome != policy.Moot {
		t.Errorf("behind its grace: outcome %d", res.Outcome)
	}
	server.Stop.Store(0)
	server.Gate.Set(true)
	if res := node.opaque.Attempt(context.Background(), a); res.Outcome != policy.Moot {
		t.Errorf("out by hand: outcome %d", res.Outcome)
	}
	node.pool.Resize(0)
	if res := node.opaque.Attempt(context.Background(), a); res.Outcome != policy.Moot {
		t.Errorf("with no descriptor: outcome %d", res.Outcome)
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	node.pool.Resize(10)
	cancel(core.ErrCanceled)
	if res := node.opaque.Attempt(ctx, a); res.Outcome != policy.Canceled {
		t.Errorf("given up: outcome %d", res.Outcome)
	}
	if stream.Spent() {
		t.Error("bytes of the client count as gone")
	}
}

// A thousand tunnels stand when their server is told to drain: nothing new comes to it from a second later on, those that
// stand end within their limit, and new ones go elsewhere. The same where it is taken out by hand.
func TestOpaqueTunnelsEndWithDrainedServer(t *testing.T) {
	if testing.Short() {
		t.Skip("a thousand tunnels")
	}
	for _, byHand := range []bool{false, true} {
		one, two := newLines(t, nil), newLines(t, nil)
		var fleet, draining []listed // one process under many ids: the module lets each hold a hundred or so before it knows more
		for i := range 14 {
			e := one.entry(fmt.Sprint("s-", i))
			fleet = append(fleet, e)
			e.State = "Terminating"
			draining = append(draining, e)
		}
		node, _, connect := newOpaqueNode(t, ", drain: 300ms", "", fleet...)
		var all []*client
		for range 1000 {
			c, told := through(t, connect, linesConnect, 0)
			if told != "200" {
				t.Fatalf("tunnel %d: told %s", len(all), told)
			}
			all = append(all, c)
		}
		told := time.Now()
		if byHand {
			node.lists(2, append(fleet, two.entry("t-1"))...)
			for _, e := range fleet {
				must(t, node.Disable(context.Background(), e.ID))
			}
		} else {
			node.lists(2, append(draining, two.entry("t-1"))...)
		}
		for range 200 {
			if c, told := through(t, connect, linesConnect, 0); told != "200" {
				t.Fatalf("during the drain: told %s", told)
			} else {
				c.echo("hello")
				c.Close()
			}
		}
		node.waitTunnelsEnded(t, backtunnel.Draining, 1000)
		if late := time.Unix(0, one.latest.Load()).Sub(told); late > 2*time.Second { // the grace in these settings
			t.Errorf("by hand %v: a new connection %v after the word", byHand, late)
		}
		if byHand && one.opened.Load() != 1000 {
			t.Errorf("%d connections to a server that is out by hand", one.opened.Load()-1000)
		}
		for _, c := range all {
			c.SetDeadline(time.Now().Add(patience))
			if _, err := c.in.ReadByte(); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
				t.Fatalf("a tunnel outlives the drain: %v", err)
			}
			c.Close()
		}
	}
}

// In a drain of the node a tunnel that is asked for is refused at once, one that stands ends within its limit; the same
// when the node leaves.
func TestOpaqueTunnelsEndWithDrainedNode(t *testing.T) {
	t.Parallel()
	target := newLines(t, nil)
	node, _, connect := newOpaqueNode(t, ", drain: 200ms", "", target.entry("s-1"))
	c, _ := through(t, connect, linesConnect, 0)
	c.echo("hello")
	must(t, node.Drain(context.Background()))
	resp := connects(t, connect)
	if resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
		t.Errorf("CONNECT during a drain: %d, come back in %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	node.waitTunnelsEnded(t, backtunnel.Draining, 1)
	must(t, node.Resume(context.Background()))
	c, told := through(t, connect, linesConnect, 0)
	if told != "200" {
		t.Fatalf("after the drain: %s", told)
	}
	c.echo("hello")
	node.leave()
	node.waitTunnelsEnded(t, backtunnel.Draining, 2)
}

// Standard clients speak to it: golang.org/x/net/proxy by SOCKS5, and net/http with a proxy's URL, with TLS to the server
// inside the tunnel.
func TestStandardProxyClients(t *testing.T) {
	t.Parallel()
	web := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "hello "+r.Host) }))
	defer web.Close()
	_, socks, connect := newOpaqueNode(t, "", "", listed{ID: "s-1", Addr: web.Listener.Addr().String(), Zone: "north", Kind: "k", State: "Ready"})
	for _, p := range []string{"http://" + connect, "socks5://" + socks} {
		u, err := url.Parse(p)
		must(t, err)
		h := &http.Client{Transport: &http.Transport{Proxy: http.ProxyURL(u), TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
		resp, err := h.Get("https://lines.example.org:7/")
		if err != nil {
			t.Fatalf("%s: %v", p, err)
		}
		text, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if string(text) != "hello lines.example.org:7" {
			t.Errorf("%s: %q", p, text)
		}
		h.CloseIdleConnections()
	}
	d, err := proxy.SOCKS5("tcp", socks, nil, nil)
	must(t, err)
	c, err := d.Dial("tcp", "lines.example.org:7")
	must(t, err)
	c.Close()
	for _, to := range []string{"127.0.0.1:7", "localhost:7", "other.example.org:7", "lines.example.org:8"} {
		if c, err := d.Dial("tcp", to); err == nil {
			c.Close()
			t.Errorf("there is a way to %s", to)
		}
	}
}

// A request smuggled by two framings inside a tunnel of HTTP is refused, and reaches no server.
func TestSmuggledRequestInTunnelIsRejected(t *testing.T) {
	t.Parallel()
	server := newBox(t, served)
	_, _, connect := newTunnelNode(t, "", server.entry("s-1"))
	c, _ := through(t, connect, connectOpening("secret"), 0)
	q := strings.Replace(save("outer").text(), "Content-Length: ", "Transfer-Encoding: chunked\r\nContent-Length: ", 1)
	c.send(q + "0\r\n\r\n" + view("inner").text())
	if resp, _ := c.answer(); resp.StatusCode != 400 || !resp.Close {
		t.Errorf("two framings: %d, close %v", resp.StatusCode, resp.Close)
	}
	if _, err := c.in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the tunnel goes on: %v", err)
	}
	if n := len(server.requests()); n != 0 {
		t.Errorf("%d requests reached the server", n)
	}
}

// relay is what a tunnel is held against: two copies and nothing else.
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

// BenchmarkTunnel sends through a standing tunnel and a bare relay in turn, 16 MB each, and opens short ones in turn.
func BenchmarkTunnel(b *testing.B) {
	target := newLines(b, func(c net.Conn) { io.Copy(io.Discard, c) })
	echo := newLines(b, nil)
	_, _, connect := newOpaqueNode(b, "", "", target.entry("s-1"))
	_, _, shorts := newOpaqueNode(b, "", "", echo.entry("s-1"))
	bare, bareShorts := bareRelay(b, target.ln.Addr().String()), bareRelay(b, echo.ln.Addr().String())
	open := func(addr string, tunnel bool) net.Conn {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			b.Fatal(err)
		}
		if tunnel {
			io.WriteString(c, linesConnect)
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
				c := open([]string{bareShorts, shorts}[i], i == 1)
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

// BenchmarkIdleTunnels opens tunnels and tells what one holds of this process's heap and stacks, the test's own ends of it
// included. At 4,000 they take 16,000 of the 20,000 descriptors that a process has here.
func BenchmarkIdleTunnels(b *testing.B) {
	for _, most := range []int{400, 4000} {
		b.Run(fmt.Sprint(most), func(b *testing.B) {
			target := newLines(b, func(c net.Conn) {
				var one [1]byte
				c.Read(one[:])
			})
			var many []listed
			for i := range 60 {
				many = append(many, target.entry(fmt.Sprint("s-", i)))
			}
			_, _, connect := newOpaqueNode(b, ", idle: 10m", "", many...)
			held := func() float64 {
				runtime.GC()
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				return float64(m.HeapInuse + m.StackInuse)
			}
			before := held()
			var all []net.Conn
			told := make([]byte, len("HTTP/1.1 200 Connection established\r\n\r\n"))
			for range most {
				c, err := net.Dial("tcp", connect)
				if err != nil {
					b.Fatal(err)
				}
				io.WriteString(c, linesConnect)
				if _, err := io.ReadFull(c, told); err != nil {
					b.Fatalf("tunnel %d: %q %v", len(all), told, err)
				}
				all = append(all, c)
			}
			b.ReportMetric((held()-before)/float64(most)/1024, "kB/tunnel")
			b.ReportMetric(float64(runtime.NumGoroutine())/float64(most), "goroutines/tunnel")
			for b.Loop() { // what they cost standing is nothing but that
			}
			for _, c := range all {
				c.Close()
			}
		})
	}
}
