package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"portstall/internal/back"
	"portstall/internal/core"
	"portstall/internal/flow"
	"portstall/internal/lab/standin"
	"portstall/internal/message"
	"portstall/policy"
)

// seen is a connection of a client whose end at the node the test has too.
type observedClient struct {
	*client
	end net.Conn
}

// bothEnds is a connection: the end that dialled, and the other.
func connPair(t *testing.T) (conn, end net.Conn) {
	t.Helper()
	far, near, err := standin.Pair()
	must(t, err)
	t.Cleanup(func() { far.Close() })
	return far, near
}

// apart is one that the node does not know of yet.
func newUnattachedClient(t *testing.T) observedClient {
	t.Helper()
	c, end := connPair(t)
	c.SetDeadline(time.Now().Add(patience))
	return observedClient{&client{t, c, bufio.NewReader(c)}, end}
}

// noRoom takes the room that bodies of requests have, but for a small one's: whoever needs more waits, and others behind it. It is given
// back by what is returned.
func (n *rig) fillBodyBudget(t *testing.T) (makeRoom func()) {
	t.Helper()
	taken := n.cfg.bodyBytes()/2 - flow.Small
	must(t, n.budget.Request(context.Background(), taken))
	return func() { n.budget.RequestDone(taken) }
}

// waitsForRoom returns once a body waits for room.
func (n *rig) waitForBodyWaiter(t *testing.T) {
	t.Helper()
	wait(t, "the wait for room", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		if n.budget.Request(ctx, 1) != nil {
			return true
		}
		n.budget.RequestDone(1)
		return false
	})
}

// take hands one's end to the node.
func (n *rig) attach(t *testing.T, c observedClient) {
	t.Helper()
	if !n.clients.Take() {
		t.Fatal("no place")
	}
	n.clients.Go(func() { n.clients.Serve(c.end, bufio.NewReaderSize(c.end, message.HeadSize), "") })
}

// connect makes one, and hands its end to the node.
func (n *rig) connectClient(t *testing.T) observedClient {
	t.Helper()
	c := newUnattachedClient(t)
	n.attach(t, c)
	return c
}

// A request whose client has left while it waited is not sent on, whatever it waited for, however much stands unread behind it,
// and also where the settings let no attempt be cancelled. The wait ends only once the node's socket knows of the leaving.
func TestDisconnectedClientsRequestIsNotForwarded(t *testing.T) {
	t.Parallel()
	surplus := strings.Repeat(view("more").text(), 600) // more than a connection's buffer
	upload := quote("x")
	upload.body = strings.Repeat("x", 4*flow.Keep)
	big := quote("x")
	big.body = strings.Repeat("x", flow.Keep/2)
	flood := strings.Repeat(view("more").text(), 200<<10) // more than both kernels take: what they don't is never sent
	for _, c := range []struct {
		name, text string
		room       bool // it waits for its body's room, else for a connection
		retry      bool // to a second server, behind one that turned it away
	}{
		{"a connection", view("x").text(), false, false},
		{"a connection, unsafe", quote("x").text(), false, false},
		{"a connection, with requests behind it", view("x").text() + surplus[:3000], false, false},
		{"a connection, with a full buffer behind it", view("x").text() + surplus, false, false},
		{"a retry", save("x").text(), false, true},
		{"a connection, amid an upload", upload.text()[:flow.Keep/2], false, false},
		{"room for its body", big.text(), true, false},
		{"a connection, with more behind it than the kernel takes", view("x").text() + flood, false, false},
		{"a retry, with more behind it than the kernel takes", save("x").text() + flood, false, true},
		{"room for its body, with more behind it than the kernel takes", big.text() + flood, true, false},
	} {
		for _, cancel := range []string{"true", "false"} {
			t.Run(c.name+" cancel "+cancel, func(t *testing.T) {
				t.Parallel()
				var node *rig
				full := newBox(t, func(c net.Conn, _ *http.Request, _ int) bool {
					must(t, node.Enable(context.Background(), "s-1"))
					return reply(c, 503, "X-Not-Run: 1\r\n", "")
				})
				ln, err := standin.Listen()
				must(t, err)
				defer ln.Close()
				known := []listed{{ID: "s-1", Addr: ln.Addr().String(), Zone: "north", Kind: "k", State: "Ready"}}
				if c.retry {
					known = append(known, full.entry("s-2"))
				}
				node = newRig(t, newRegistry(t), strings.Replace(settingsJSON, `"cancel":true`, `"cancel":`+cancel, 1), unhurried, known...)
				waiting, held := make(chan struct{}), make(chan struct{})
				release := sync.OnceFunc(func() { close(held) })
				t.Cleanup(release) // also of a test that fails: the node's end waits for its attempts
				var once sync.Once
				var sent net.Conn // the server's end
				var mu sync.Mutex
				node.setDial("s-1", func(_ context.Context, d *net.Dialer, addr string) (net.Conn, error) {
					once.Do(func() { close(waiting) })
					<-held
					conn, err := d.Dial("tcp", addr) // it comes up, though nobody waits for it any more
					if err == nil {
						mu.Lock()
						defer mu.Unlock()
						sent, err = ln.Accept()
					}
					return conn, err
				})
				if c.retry {
					must(t, node.Disable(context.Background(), "s-1")) // until the other one has turned the request away
				}
				cl := newUnattachedClient(t)
				makeRoom := func() {}
				if c.room {
					makeRoom = node.fillBodyBudget(t)
				}
				// It is all sent before the node reads any of it: what it threw away meanwhile would make room for more.
				if n := cl.fill(t, c.text); strings.HasSuffix(c.text, flood) != (n < len(c.text)) || n > flow.SpillMost {
					t.Fatalf("the kernels took %d bytes of %d", n, len(c.text))
				}
				node.attach(t, cl)
				if !c.room {
					receive(t, "the wait for a connection", waiting)
				} else {
					node.waitForBodyWaiter(t)
				}
				cl.Close()
				late := c.room && strings.HasSuffix(c.text, flood) // its end comes once its body is read
				if !late {
					wait(t, "the end of its sending", func() bool { return flow.Left(cl.end) })
				} else if flow.Left(cl.end) {
					t.Fatal("its end is there: the window is not shut")
				}
				makeRoom()
				if !late {
					release()
				}
				wait(t, "the close of its connection", cl.closed)
				wait(t, "the end of the request", func() bool {
					open, idle := node.pool.Counts()
					return node.openRequests() == 0 && open == idle
				})
				mu.Lock()
				defer mu.Unlock()
				select {
				case <-waiting:
					if late {
						t.Error("an attempt was begun")
					}
				default:
				}
				if sent != nil && flow.Pending(sent) == flow.BytesThere {
					t.Error("it is sent on though its client has left")
				}
			})
		}
	}
}

// closed tells whether the node has closed its end.
func (c observedClient) closed() bool {
	raw, err := c.end.(*net.TCPConn).SyscallConn()
	return err != nil || raw.Control(func(uintptr) {}) != nil
}

// pour sends as much of a text as the two kernels take at once, and tells how much that is.
func (c observedClient) fill(t *testing.T, text string) (sent int) {
	t.Helper()
	sent, err := standin.Pour(c.Conn.(*net.TCPConn), text, 64<<10)
	must(t, err)
	return sent
}

// A client that leaves while its first attempt is out has no further one, whatever that one comes to: of each effect, and also
// where no attempt can be cancelled. Both orders of its end and the attempt's are forced: the core learns of the leaving first, or
// of the failure, with a retry, while the leaving is only to be seen on the socket.
func TestDisconnectedClientGetsNoRetry(t *testing.T) {
	t.Parallel()
	refuses := func(context.Context, *net.Dialer, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	for _, fails := range []struct {
		name   string
		answer func(c net.Conn) bool // of the server; nil: it can't be reached
	}{
		{"turned away", func(c net.Conn) bool { return reply(c, 503, "X-Not-Run: 1\r\n", "") }},
		{"failed", func(c net.Conn) bool { return reply(c, 500, "", "") }},
		{"reset", func(c net.Conn) bool {
			c.(*net.TCPConn).SetLinger(0)
			return false
		}},
		{"not reached", nil},
	} {
		for _, q := range []call{view("x"), save("x"), quote("x")} {
			for _, cancel := range []string{"true", "false"} {
				for _, told := range []bool{true, false} {
					t.Run(fmt.Sprintf("%s %s cancel %s told %v", fails.name, q.class, cancel, told), func(t *testing.T) {
						t.Parallel()
						first, held := make(chan struct{}), make(chan struct{})
						release := sync.OnceFunc(func() { close(held) })
						t.Cleanup(release)
						var mu sync.Mutex
						begun := 0 // attempts: dials where none is reached, else requests
						begins := func() bool {
							mu.Lock()
							defer mu.Unlock()
							if begun++; begun == 1 {
								close(first)
							}
							return begun == 1
						}
						server := func() *box {
							return newBox(t, func(c net.Conn, r *http.Request, nth int) bool {
								if !begins() {
									return served(c, r, nth)
								}
								<-held
								return fails.answer(c)
							})
						}
						a, b := server(), server()
						node := newRig(t, newRegistry(t), strings.Replace(settingsJSON, `"cancel":true`, `"cancel":`+cancel, 1), unhurried,
							a.entry("s-1"), b.entry("s-2"))
						if fails.answer == nil {
							dial := func(ctx context.Context, d *net.Dialer, addr string) (net.Conn, error) {
								mu.Lock()
								again := begun > 0
								mu.Unlock()
								if again {
									return back.Direct(ctx, d, addr) // the servers' count tells whether anything is sent
								}
								begins()
								<-held
								return refuses(ctx, d, addr)
							}
							node.setDial("s-1", dial)
							node.setDial("s-2", dial)
						}
						cl := node.connectClient(t)
						cl.send(q.text())
						receive(t, "the first attempt", first)
						unlock := func() {}
						if !told {
							// The failure stands before the core, and the leaving behind it.
							node.core.Lock()
							unlock = sync.OnceFunc(node.core.Unlock)
							t.Cleanup(unlock)
							release()
							time.Sleep(20 * time.Millisecond) // no verdict hangs on it: too short a time forces less
						}
						cl.Close()
						wait(t, "the end of its sending", func() bool { return flow.Left(cl.end) })
						if told {
							wait(t, "the close of its connection, which follows the core's word", cl.closed)
							release()
						}
						unlock()
						wait(t, "the end of the request", func() bool {
							open, idle := node.pool.Counts()
							return node.openRequests() == 0 && open == idle
						})
						if n, want := len(a.requests())+len(b.requests()), 1; fails.answer == nil && n != 0 || fails.answer != nil && n != want {
							t.Errorf("%d attempts were sent on", n)
						}
					})
				}
			}
		}
	}
}

// A client that stands, with more behind its request than the kernel takes, has its answer whole; the connection closes behind it, as
// what followed is lost, and nothing of that reaches a server. It sends no more than the node throws away before it gives a client up:
// one that goes on as long as it is read would get there on a slow machine.
func TestPipelinedExcessStillGetsResponse(t *testing.T) {
	t.Parallel()
	surplus := strings.Repeat(view("more").text(), 200<<10)
	for _, c := range []struct {
		name  string
		ahead bool // of the node's first look: the window is shut for sure; else while the request is at its server
	}{{"ahead of the first look", true}, {"while it waits", false}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			hold := make(chan bool)
			release := sync.OnceFunc(func() { close(hold) })
			server := newSlowBox(t, hold)
			t.Cleanup(release)
			node := newRig(t, newRegistry(t), settingsJSON, unhurried, server.entry("s-1"))
			cl := newUnattachedClient(t)
			cl.send(quote("slow").text())
			if c.ahead {
				if n := cl.fill(t, surplus); n < 200<<10 || n > flow.SpillMost/2+flow.SpillMost/4 || n == len(surplus) {
					t.Fatalf("the kernels took %d bytes of %d: the window is not shut, or too much is sent", n, len(surplus))
				}
			}
			node.attach(t, cl)
			wait(t, "the request at the server", func() bool { return len(server.requests()) == 1 })
			if !c.ahead {
				if n := cl.fill(t, surplus[:flow.SpillMost/2]); n < 200<<10 {
					t.Fatalf("the kernels took %d bytes: the window is not shut", n)
				}
			}
			wait(t, "the end of what stands unread", func() bool { return flow.Pending(cl.end) == flow.Nothing })
			release()
			if resp, body := cl.answer(); resp.StatusCode != 200 || body != "done slow" || !resp.Close {
				t.Errorf("%d %q, close %v", resp.StatusCode, body, resp.Close)
			}
			if n, err := cl.in.Read(make([]byte, 1)); n != 0 || err != io.EOF {
				t.Errorf("%d more bytes, %v", n, err)
			}
			if n := len(server.requests()); n != 1 {
				t.Errorf("%d requests reached the server", n)
			}
		})
	}
}

// An opaque attempt is a connection to its server: for a client that has left none is opened.
func TestDisconnectedClientGetsNoTunnel(t *testing.T) {
	t.Parallel()
	target := newLines(t, nil)
	node, _, _ := newOpaqueNode(t, "", "", target.entry("s-1"))
	stream := &message.Stream{Limits: message.Limits{Idle: time.Minute, Total: time.Minute}}
	a := &core.Attempt{Request: &core.Request{Message: stream, Body: stream, Left: func() bool { return true }}, Server: node.backendOf("s-1").Server,
		Wait: patience}
	if res := node.opaque.Attempt(t.Context(), a); res.Outcome != policy.Moot {
		t.Errorf("it ended as %v, want Moot", res.Outcome)
	}
	if open, _ := node.pool.Counts(); open != 0 {
		t.Errorf("%d connections stay", open)
	}
	must(t, target.ln.Close())
	if n := target.opened.Load(); n != 0 {
		t.Errorf("%d connections were opened", n)
	}
}

func (n *node) openRequests() int {
	n.core.Lock()
	defer n.core.Unlock()
	return len(n.core.Open())
}

// A client that ends its sending alone has given its request up, and is told so: exactly one final answer, refused where no
// attempt was begun, failed where one may have run.
func TestHalfCloseGetsFinalResponse(t *testing.T) {
	t.Parallel()
	hold := make(chan bool)
	defer close(hold)
	server := newSlowBox(t, hold)
	node := newRig(t, newRegistry(t), settingsJSON, unhurried, server.entry("s-1"))
	c := node.connectClient(t)
	c.send(quote("slow").text())
	wait(t, "the request at the server", func() bool { return len(server.requests()) == 1 })
	must(t, c.Conn.(*net.TCPConn).CloseWrite())
	if resp, _ := c.answer(); resp.StatusCode == 200 || resp.StatusCode == 503 || resp.StatusCode == 429 || !resp.Close {
		t.Errorf("one that may have run: %d, close %v", resp.StatusCode, resp.Close)
	}
	if n, err := c.in.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("%d more bytes, %v", n, err)
	}
	wait(t, "an empty table", func() bool { return node.openRequests() == 0 })
	c = node.connectClient(t)
	c.send(view("v").text())
	if resp, body := c.answer(); resp.StatusCode != 200 {
		t.Errorf("the next: %d %s", resp.StatusCode, fmt.Sprint(body))
	}
}

// crossing is a connection on which something happens between a read from the socket and what the reader makes of it.
type hookedConn struct {
	*net.TCPConn
	afterRead func()
}

func (c *hookedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if c.afterRead != nil && n > 0 {
		c.afterRead()
	}
	return n, err
}

// The node closes what carries no request in the moment between a request's first byte and the note of it: the request is read
// to its end and answered all the same, and only then its connection is closed. So with a body that is still to come.
func TestIdleCloseCrossesRequest(t *testing.T) {
	t.Parallel()
	server := newBox(t, served)
	for _, text := range []string{view("v").text(), save("s").text()} {
		node := newRig(t, newRegistry(t), settingsJSON, unhurried, server.entry("s-1"))
		conn, end := connPair(t)
		node.clients.Take()
		crossed := make(chan struct{})
		x := &hookedConn{TCPConn: end.(*net.TCPConn), afterRead: sync.OnceFunc(func() {
			node.life.enter(drained)
			node.clients.CloseIdle()
			close(crossed)
		})}
		node.clients.Go(func() { node.clients.Serve(x, bufio.NewReaderSize(x, message.HeadSize), "") })
		c := &client{t, conn, bufio.NewReader(conn)}
		c.SetDeadline(time.Now().Add(patience))
		c.send(text[:30])
		receive(t, "the close", crossed)
		c.send(text[30 : len(text)-4])
		c.send(text[len(text)-4:])
		if resp, body := c.answer(); resp.StatusCode != 200 {
			t.Errorf("%.9q: %d %q, want it served", text, resp.StatusCode, body)
		}
		if n, err := c.in.Read(make([]byte, 1)); n != 0 || err != io.EOF {
			t.Errorf("%.9q: %d more bytes, %v, want a close", text, n, err)
		}
	}
}

// A request whose end comes once new connections have ceased behind SIGTERM has its answer before SIGKILL: its server is told of no
// more time than that. One that came before has its own.
func TestLateRequestsEndBeforeSIGKILL(t *testing.T) {
	t.Parallel()
	server := newBox(t, served)
	node := newRig(t, newRegistry(t), settingsJSON, unhurried, server.entry("s-1"))
	c, half := node.dial(t), node.connectClient(t)
	text := save("late").text()
	half.send(text[:30])
	wait(t, "the first half", func() bool { return flow.Pending(half.end) == flow.Nothing })
	if resp, _ := c.ask(save("early")); resp.StatusCode != 200 {
		t.Fatalf("before: %d", resp.StatusCode)
	}
	node.leave()
	wait(t, "the end of new connections", func() bool {
		c, err := net.Dial("tcp", node.addr)
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	half.send(text[30:])
	if resp, _ := half.answer(); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("the late one: %d, close %v", resp.StatusCode, resp.Close)
	}
	for _, got := range server.requests() {
		told, err := time.ParseDuration(strings.Replace(got.Header.Get("X-Deadline"), "u", "us", 1))
		must(t, err)
		if late := got.Header.Get("X-Request-Id") == "late"; late != (told < maxDeadlineBeforeKill+killGrace) {
			t.Errorf("%s: its server was told of %v", got.Header.Get("X-Request-Id"), told)
		}
	}
}
