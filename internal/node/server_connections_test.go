package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"portstall/internal/core"
	"portstall/internal/endpoints"
	"portstall/internal/flow"
	"portstall/internal/lab/standin"
	"portstall/policy"
)

// Guards against bytes after a response that are taken for the response to the next request on that connection: a
// second copy would go to the wrong client.
func TestBytesAfterResponseAreDiscarded(t *testing.T) {
	t.Parallel()
	for _, surplus := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong", "\x16\x03 noise"} {
		for _, separate := range []bool{false, true} {
			written := make(chan struct{}, 10)
			server := newStubServer(t, func(c net.Conn, r *http.Request, _ int) bool {
				var text strings.Builder
				fmt.Fprintf(&text, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
				if !separate {
					text.WriteString(surplus)
				}
				io.WriteString(c, text.String())
				if separate {
					io.WriteString(c, surplus)
				}
				written <- struct{}{}
				return true
			})
			node := newTestNode(t, newStubDiscovery(t), settingsJSON, nil, server.entry("s-1"))
			c := node.dial(t)
			for i := range 3 {
				if resp, body := c.roundTrip(quote(fmt.Sprint(i))); resp.StatusCode != 200 || body != "done" {
					t.Errorf("surplus written separately %v, request %d: status %d, body %q", separate, i, resp.StatusCode, body)
				}
				receive(t, "the end of the response at the web server", written)
			}
			if n := server.connections(); n != 3 {
				t.Errorf("surplus written separately %v: 3 requests on %d connections, want each on its own", separate, n)
			}
		}
	}
}

// Guards against the same with many concurrent requests: net/http's transport offers a connection for reuse before it
// has looked past the response, and gave 2 to 10 of 4,800 requests another one's response here.
func TestBytesAfterResponseAreDiscardedUnderLoad(t *testing.T) {
	t.Parallel()
	server := newStubServer(t, func(c net.Conn, r *http.Request, nth int) bool {
		id := r.Header.Get("X-Request-Id")
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
		if nth%10 == 0 {
			text += text
		}
		_, err := io.WriteString(c, text)
		return err == nil
	})
	node := newTestNode(t, newStubDiscovery(t), settingsJSON, nil, server.entry("s-1"))
	var wrong atomic.Int64
	var wg sync.WaitGroup
	for k := range 16 {
		c := node.dial(t)
		wg.Go(func() {
			for i := range 300 {
				id := fmt.Sprint("id-", k, "-", i)
				c.SetDeadline(time.Now().Add(testTimeout))
				io.WriteString(c, quote(id).text())
				resp, err := http.ReadResponse(c.in, nil)
				if err != nil {
					t.Errorf("%s: %v", id, err)
					return
				}
				if body, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode == 200 && string(body) != id {
					wrong.Add(1)
				}
			}
		})
	}
	wg.Wait()
	if n := wrong.Load(); n > 0 {
		t.Errorf("%d requests received the response of another one", n)
	}
}

// Guards against requests written to an idle connection that its web server has closed: the close is noticed before the
// write, and the request goes out on another connection.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	t.Parallel()
	server := newStubServer(t, func(c net.Conn, r *http.Request, n int) bool {
		respondOK(c, r, n)
		return false
	})
	node := newTestNode(t, newStubDiscovery(t), settingsJSON, nil, server.entry("s-1"))
	c := node.dial(t)
	for i := range 3 {
		if resp, _ := c.roundTrip(quote(fmt.Sprint(i))); resp.StatusCode != 200 {
			t.Errorf("request %d: status %d, want 200", i, resp.StatusCode)
		}
		waitFor(t, "the close of the connection", func() bool {
			return server.closed.Load() == int64(i+1)
		})
	}
	if n := len(server.requests()); n != 3 {
		t.Errorf("the web server received %d requests, want 3", n)
	}
}

// Guards against a failed connection counted as a possible run: where nothing listens on the port, nothing can have
// run.
func TestConnectFailureIsRefusedWithRetry(t *testing.T) {
	t.Parallel()
	ln, err := standin.Listen()
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	node := newTestNode(t, newStubDiscovery(t), settingsJSON, nil, endpoints.Endpoint{ID: "s-1", Addr: ln.Addr().String(), State: "Ready"})
	if resp, _ := node.dial(t).roundTrip(quote("q")); resp.StatusCode != 503 {
		t.Errorf("status %d, want 503", resp.StatusCode)
	}
}

// Guards against resends by a transport, which repeats on its own what it considers safe when a kept connection breaks.
// The policy would not know of that attempt: the web server must receive the request once.
func TestTransportDoesNotResend(t *testing.T) {
	t.Parallel()
	for _, q := range []testRequest{view("again"), save("again"), quote("again"),
		{"POST", "save", "again", "k", "", "50000m"}} {
		server := newStubServer(t, func(c net.Conn, r *http.Request, nth int) bool {
			return nth == 1 && respondOK(c, r, nth) // the second request on the connection meets its close
		})
		node := newTestNode(t, newStubDiscovery(t), settingsJSON, nil, server.entry("s-1"))
		c := node.dial(t)
		first := view("first")
		if resp, _ := c.roundTrip(first); resp.StatusCode != 200 {
			t.Fatalf("the first request: status %d, want 200", resp.StatusCode)
		}
		resp, _ := c.roundTrip(q)
		if resp.StatusCode == 200 {
			t.Errorf("%s %s: status 200, though the web server did not respond", q.method, q.class)
		}
		if n := len(server.requests()); n != 2 || server.connections() != 1 {
			t.Errorf("%s %s: the web server received %d requests on %d connections, want 2 on 1", q.method, q.class, n, server.connections())
		}
	}
}

// Guards against connections to a machine that was cut off: they look intact, and each one that is kept swallows a
// request.
func TestConnectionsOfSilentServerAreClosed(t *testing.T) {
	t.Parallel()
	const kept = 8
	var silent atomic.Bool
	allConnected := make(chan struct{})
	server := newStubServer(t, func(c net.Conn, r *http.Request, nth int) bool {
		if silent.Load() {
			io.Copy(io.Discard, c)
			return false
		}
		if nth == kept {
			close(allConnected)
		}
		<-allConnected // so that each of the first requests has a connection of its own
		return respondOK(c, r, nth)
	})
	node := newTestNode(t, newStubDiscovery(t), settingsJSON, nil, server.entry("s-1"))
	node.core.Lock()
	listedServer := node.serversByID["s-1"]
	node.core.Unlock()
	run := func(wait time.Duration) core.Result {
		in, _ := http.NewRequest("POST", "http://x/api", nil)
		up, _ := flow.NewUpload(strings.NewReader("a door"), 6)
		a := &core.Attempt{Request: &core.Request{Message: in, Body: up}, Server: listedServer.Server, Timeout: wait}
		return node.Attempt(context.Background(), a)
	}
	var wg sync.WaitGroup
	for range kept {
		wg.Go(func() {
			if res := run(testTimeout); res.Outcome != policy.OK {
				t.Errorf("outcome %d before the silence, want OK", res.Outcome)
			}
		})
	}
	wg.Wait()
	silent.Store(true)
	for wait := 200 * time.Millisecond; ; wait *= 2 {
		res := run(wait)
		if (res.Outcome == policy.NeverSent || res.Outcome == policy.ConnectFailed) && len(server.requests()) == kept && wait < 10*time.Second {
			continue // its time had passed before it was sent: this machine was too slow
		}
		if res.Outcome != policy.TimedOut {
			t.Fatalf("outcome %d of an attempt at a silent web server, want TimedOut", res.Outcome)
		}
		break
	}
	for range kept - 1 { // the connection of the attempt is closed in any case
		select {
		case <-server.closedByNode:
		case <-time.After(testTimeout):
			t.Fatal("connections from before the silence are still open")
		}
	}
	silent.Store(false)
	if res := run(testTimeout); res.Outcome != policy.OK {
		t.Errorf("outcome %d on a new connection, want OK", res.Outcome)
	}
}

// Guards against needless closes: one connection that is reset at once says nothing about the others to that web
// server. Closed with it, each costs another handshake.
func TestResetClosesOnlyOneConnection(t *testing.T) {
	t.Parallel()
	both := make(chan struct{})
	server := newStubServer(t, func(c net.Conn, r *http.Request, nth int) bool {
		if nth == 2 {
			close(both)
		}
		<-both // so that each of the first two requests has a connection of its own
		return r.Header.Get("X-Request-Id") != "reset" && respondOK(c, r, nth)
	})
	node := newTestNode(t, newStubDiscovery(t), settingsJSON, nil, server.entry("s-1"))
	one, two := node.dial(t), node.dial(t)
	one.send(quote("one").text())
	two.send(quote("two").text())
	for _, c := range []*client{one, two} {
		if resp, _ := c.readResponse(); resp.StatusCode != 200 {
			t.Fatalf("a request before the reset: status %d, want 200", resp.StatusCode)
		}
	}
	if resp, _ := one.roundTrip(quote("reset")); resp.StatusCode != 500 {
		t.Errorf("a request that was reset: status %d, want 500", resp.StatusCode)
	}
	if resp, _ := one.roundTrip(quote("next")); resp.StatusCode != 200 || server.connections() != 2 {
		t.Errorf("the next request: status %d on connection %d, want 200 on one of the first two", resp.StatusCode, server.connections())
	}
}

// Guards against a connect that waits as long as the client. A machine that is cut off does not reply when it is
// dialed: the settings limit that wait, far below the client's, and nothing can have run.
func TestConnectTimeoutIsRefusedWithRetry(t *testing.T) {
	t.Parallel()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(fd)
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprint("127.0.0.1:", name.(*syscall.SockaddrInet4).Port)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	waitFor(t, "a full backlog, after which the kernel no longer accepts", func() bool {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			t.Fatal(err)
		}
		return info.Unacked > info.Sacked // of a listener: how many connections wait, and how many may
	})
	node := newTestNode(t, newStubDiscovery(t), strings.Replace(settingsJSON, `"connect_timeout_s":5`, `"connect_timeout_s":0.2`, 1), nil,
		endpoints.Endpoint{ID: "s-1", Addr: addr, State: "Ready"})
	if resp, _ := node.dial(t).roundTrip(quote("q")); resp.StatusCode != 503 {
		t.Errorf("status %d, want 503", resp.StatusCode)
	}
}

// Guards against local failures held against a web server: with no descriptor left, or once the attempt was canceled,
// an attempt without a connection is no failure to connect.
func TestLocalFailureIsNotCountedAgainstServer(t *testing.T) {
	t.Parallel()
	server := newStubServer(t, respondOK)
	node := newTestNode(t, newStubDiscovery(t), settingsJSON, nil, server.entry("s-1"))
	a := node.newAttempt("s-1", testTimeout)
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	node.pool.Resize(0)
	if res := node.Attempt(ctx, a); res.Outcome != policy.NeverSent {
		t.Errorf("with no descriptor: outcome %d, want NeverSent", res.Outcome)
	}
	node.pool.Resize(100)
	cancel(core.ErrCanceled)
	if res := node.Attempt(ctx, a); res.Outcome != policy.Canceled {
		t.Errorf("canceled before it was sent: outcome %d, want Canceled", res.Outcome)
	}
	if n := len(server.requests()); n != 0 {
		t.Errorf("the web server received %d requests, want none", n)
	}
}

// Guards against requests that end in a reset because they are written to a connection that its web server is just
// closing as idle: the node closes idle connections first.
func TestIdleConnectionsAreClosedInTime(t *testing.T) {
	t.Parallel()
	server := newStubServer(t, respondOK)
	node := newTestNode(t, newStubDiscovery(t), strings.Replace(settingsJSON, `"conn_idle_s":60`, `"conn_idle_s":0.3`, 1), nil, server.entry("s-1"))
	if resp, _ := node.dial(t).roundTrip(view("x")); resp.StatusCode != 200 {
		t.Fatalf("status %d, want 200", resp.StatusCode)
	}
	select {
	case <-server.closedByNode:
	case <-time.After(testTimeout):
		t.Error("the node keeps an idle connection longer than its settings allow")
	}
}
