package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"portstall/internal/endpoints"
	"portstall/internal/flow"
	"portstall/internal/lab/standin"
	"portstall/internal/message"
)

// cuttingConn is a connection to a server whose far end is closed once a part of the first write has arrived there.
type cuttingConn struct {
	*net.TCPConn
	prefix func(whole int) int // how many bytes of the write arrive before the close
	// Closes the far end, after n bytes.
	onPrefix func(n int)
}

// Write sends the part, closes the far end, and then sends the rest.
func (c *cuttingConn) Write(p []byte) (int, error) {
	if c.onPrefix == nil {
		return c.TCPConn.Write(p)
	}
	n, err := c.TCPConn.Write(p[:c.prefix(len(p))])
	if err != nil {
		return n, err
	}
	c.onPrefix(n)
	if c.onPrefix = nil; n == len(p) {
		return n, nil
	}
	m, err := c.TCPConn.Write(p[n:])
	return n + m, err
}

// Guards against requests that are lost or run twice when their server closes the connection: before the first byte, in
// the head, before the last byte, and after it. A reset before the last byte has arrived proves that nothing ran, and
// each class is retried at the other server. A request that was written completely may have run, however the connection
// was closed: only a class that may be repeated is retried. None ever reaches the other server twice.
func TestServerClosesDuringRequest(t *testing.T) {
	t.Parallel()
	for _, q := range []testRequest{view("q"), save("q"), quote("q")} {
		for _, c := range []struct {
			name  string
			at    func(whole int) int
			reset bool // else an orderly close, which does not keep the rest from being received
			never bool // it certainly never ran
		}{
			{"before the first byte", func(int) int { return 0 }, true, true},
			{"in the head", func(int) int { return 20 }, true, true},
			{"before the last byte", func(whole int) int { return whole - 1 }, true, true},
			{"after the last byte", func(whole int) int { return whole }, true, false},
			{"an idle connection, as the request is written", func(int) int { return 0 }, false, false},
		} {
			t.Run(q.class+" "+c.name, func(t *testing.T) {
				t.Parallel()
				ln, err := standin.Listen()
				must(t, err)
				defer ln.Close()
				other := newStubServer(t, respondOK)
				first := endpoints.Endpoint{ID: "s-1", Addr: ln.Addr().String(), Zone: "north", Kind: "k", State: "Ready"}
				node := newTestNode(t, newStubDiscovery(t), settingsJSON, withTestTimeouts, first, other.entry("s-2"))
				must(t, node.Disable(context.Background(), "s-2")) // until the first attempt is under way
				node.setDial("s-1", func(_ context.Context, d *net.Dialer, addr string) (net.Conn, error) {
					conn, err := d.Dial("tcp", addr)
					if err != nil {
						return nil, err
					}
					far, err := ln.Accept()
					if err != nil {
						return nil, err
					}
					return &cuttingConn{TCPConn: conn.(*net.TCPConn), prefix: c.at, onPrefix: func(n int) {
						if _, err := io.ReadFull(far, make([]byte, n)); err != nil {
							t.Error(err)
						}
						if err := node.Enable(context.Background(), "s-2"); err != nil {
							t.Error(err)
						}
						if c.reset {
							far.(*net.TCPConn).SetLinger(0)
						}
						far.Close()
						waitFor(t, "the close to reach the node", func() bool { return flow.PeerClosed(conn) })
					}}, nil
				})
				resp, _ := node.dial(t).roundTrip(q)
				retried := c.never || q.class != "quote"
				if want := map[bool]int{true: http.StatusOK, false: http.StatusInternalServerError}[retried]; resp.StatusCode != want {
					t.Errorf("status %d, want %d", resp.StatusCode, want)
				}
				if n := len(other.requests()); n != map[bool]int{true: 1, false: 0}[retried] {
					t.Errorf("the other server received %d requests, want 1 where the class is retried and else none", n)
				}
			})
		}
	}
}

// Guards against two responses or none when a kept connection is evicted for a new one in the moment between the first
// byte of its next request and the node's record of it. That request gets exactly one response, a refusal, as it is
// then one too many; it reaches no server, and the connection is closed after it.
func TestEvictionCrossesNextRequest(t *testing.T) {
	t.Parallel()
	server := newStubServer(t, respondOK)
	node := newTestNode(t, newStubDiscovery(t), settingsJSON, withTestTimeouts, server.entry("s-1"))
	node.clients.Resize(1)
	evicted := newUnattachedClient(t)
	reads := 0 // number of reads that returned data
	hooked := &hookedConn{TCPConn: evicted.end.(*net.TCPConn), afterRead: func() {
		if reads++; reads != 2 {
			return
		}
		if resp, body := node.dial(t).roundTrip(view("new")); resp.StatusCode != http.StatusOK {
			t.Errorf("the request on the new connection: status %d, body %q; want 200", resp.StatusCode, body)
		}
	}}
	node.clients.AcquireSlot()
	node.clients.Go(func() { node.clients.Serve(hooked, bufio.NewReaderSize(hooked, message.MaxHead), "") })
	if resp, _ := evicted.roundTrip(view("first")); resp.StatusCode != http.StatusOK || resp.Close {
		t.Fatalf("the first request: status %d, close %v; want 200 and no close", resp.StatusCode, resp.Close)
	}
	resp, body := evicted.roundTrip(quote("second"))
	if resp.StatusCode != http.StatusServiceUnavailable || body != "too many connections\n" || !resp.Close || resp.Header.Get("Retry-After") == "" {
		t.Errorf("the second request: status %d, body %q, close %v, Retry-After %q; want 503 for too many connections, a close and Retry-After", resp.StatusCode, body, resp.Close, resp.Header.Get("Retry-After"))
	}
	if n, err := evicted.in.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("after the refusal: %d more bytes, error %v; want the connection closed", n, err)
	}
	if n := len(server.requests()); n != 2 {
		t.Errorf("%d requests reached the server, want the first one and the one on the new connection", n)
	}
}
