package node

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	fronthttp "portstall/internal/front/http"
	"portstall/internal/message"
)

// Guards against a descriptor limit that blocks new connections: with every descriptor for web servers held by idle
// connections, one to another server is closed.
func TestIdleConnectionIsClosedAtDescriptorLimit(t *testing.T) {
	t.Parallel()
	one, two := newStubServer(t, respondOK), newStubServer(t, respondOK)
	node := newTestNode(t, newStubDiscovery(t), settingsJSON, nil, one.entry("s-1"), two.entry("s-2"))
	node.pool.Resize(1)
	c := node.dial(t)
	for i := range 40 {
		if resp, _ := c.roundTrip(view(fmt.Sprint(i))); resp.StatusCode != 200 {
			t.Fatalf("request %d: status %d, want 200", i, resp.StatusCode)
		}
	}
	if len(one.requests()) == 0 || len(two.requests()) == 0 {
		t.Error("one of the web servers received no request")
	}
	if open, idle := node.pool.Counts(); open != 1 || idle > 1 {
		t.Errorf("%d connections count as open and %d as idle, want one open and at most one idle", open, idle)
	}
}

// Guards against idle connections that block new ones at the descriptor limit: idle ones are closed, and where none is
// idle, new ones are refused; none is left waiting in accept.
func TestIdleConnectionsAreClosedAtLimit(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	server := newStubServer(t, func(c net.Conn, r *http.Request, nth int) bool {
		if strings.HasPrefix(r.Header.Get("X-Request-Id"), "slow") {
			<-release
		}
		return respondOK(c, r, nth)
	})
	node := newTestNode(t, newStubDiscovery(t), settingsJSON, func(c *Config) { c.Sockets = 64 + reservedSockets }, server.entry("s-1"))
	idle := node.dial(t)
	if resp, _ := idle.roundTrip(view("x")); resp.StatusCode != 200 {
		t.Fatalf("the first request: status %d, want 200", resp.StatusCode)
	}
	for range 100 {
		node.dial(t) // sends nothing
	}
	if resp, _ := node.dial(t).roundTrip(view("y")); resp.StatusCode != 200 {
		t.Errorf("a request after a hundred idle connections: status %d, want 200", resp.StatusCode)
	}
	var busy []*client
	for i := range 24 { // as many as there are descriptors for web servers
		c := node.dial(t)
		c.send(quote(fmt.Sprint("slow-", i)).text())
		busy = append(busy, c)
	}
	waitFor(t, "the requests at the web server", func() bool { return len(server.requests()) >= 2+len(busy)-1 })
	for i := range 8 {
		c := node.dial(t)
		c.send(quote(fmt.Sprint("slower-", i)).text()) // no descriptor is left for these: refused, as they never ran
		busy = append(busy, c)
	}
	close(release)
	for _, c := range busy {
		if resp, _ := c.readResponse(); resp.StatusCode != 200 && resp.StatusCode != 503 {
			t.Errorf("a request at the limit: status %d, want 200 or 503", resp.StatusCode)
		}
	}
}

// Guards against a new connection that hangs or ends another one: with a request open on every connection, a new one's
// request is refused with a close, as it never ran.
func TestConnectionBeyondLimitIsRefused(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	server := newStubServer(t, func(c net.Conn, r *http.Request, nth int) bool {
		<-release
		return respondOK(c, r, nth)
	})
	node := newTestNode(t, newStubDiscovery(t), settingsJSON, func(c *Config) { c.Sockets = 64 }, server.entry("s-1"))
	node.pool.Resize(100)
	var open []*client
	for i := range (64 - reservedSockets) / 2 {
		c := node.dial(t)
		c.send(quote(fmt.Sprint("slow-", i)).text())
		open = append(open, c)
	}
	waitFor(t, "the requests at the web server", func() bool { return len(server.requests()) == len(open) })
	if resp, _ := node.dial(t).roundTrip(quote("more")); resp.StatusCode != 503 || !resp.Close {
		t.Errorf("a request on one connection more: status %d, close %v; want 503 and a close", resp.StatusCode, resp.Close)
	}
	close(release)
	for _, c := range open {
		if resp, _ := c.readResponse(); resp.StatusCode != 200 {
			t.Errorf("a request accepted before: status %d, want 200", resp.StatusCode)
		}
	}
}

// Guards against new connections that evict one another at the limit: one whose request is on its way stays when the
// next one arrives. It used to be closed before connections that clients had used and kept, so that no new client was
// served.
func TestNewConnectionIsNotEvictedByNext(t *testing.T) {
	t.Parallel()
	server := newStubServer(t, respondOK)
	node := newTestNode(t, newStubDiscovery(t), settingsJSON, func(c *Config) {
		withTestTimeouts(c) // the connections count as new however long they take
		c.Sockets = 64 + reservedSockets
	}, server.entry("s-1"))
	for i := range 32 {
		if resp, _ := node.dial(t).roundTrip(view(fmt.Sprint("kept-", i))); resp.StatusCode != 200 {
			t.Fatalf("a request on a kept connection: status %d, want 200", resp.StatusCode)
		}
	}
	var fresh []*client
	for range 8 {
		fresh = append(fresh, node.dial(t))
	}
	for i, c := range fresh {
		if resp, _ := c.roundTrip(view(fmt.Sprint("new-", i))); resp.StatusCode != 200 {
			t.Errorf("a request on new connection %d: status %d, want 200", i, resp.StatusCode)
		}
	}
}

// connectSilent makes a connection that sends nothing. The channel is closed once the node waits for its first byte.
func (n *testNode) connectSilent(t *testing.T) (observedClient, <-chan struct{}) {
	t.Helper()
	c := newUnattachedClient(t)
	waits := make(chan struct{})
	notifying := &readNotifyConn{TCPConn: c.end.(*net.TCPConn), read: sync.OnceFunc(func() { close(waits) })}
	waitFor(t, "capacity for the connection", n.clients.AcquireSlot)
	n.clients.Go(func() { n.clients.Serve(notifying, bufio.NewReaderSize(notifying, message.MaxHead), "") })
	return c, waits
}

// readNotifyConn is a connection that reports when it is first read from.
type readNotifyConn struct {
	*net.TCPConn
	read func()
}

// Read reports the call, then reads.
func (c *readNotifyConn) Read(p []byte) (int, error) {
	c.read()
	return c.TCPConn.Read(p)
}

// Guards against silent connections, arriving by hundreds, that evict those in use: they are evicted first, and a
// connection that a client has used and will use again stays.
func TestSilentConnectionsAreEvictedFirst(t *testing.T) {
	t.Parallel()
	server := newStubServer(t, respondOK)
	node := newTestNode(t, newStubDiscovery(t), settingsJSON, func(c *Config) {
		withProductTimeouts(c)
		c.Sockets = 64 + reservedSockets
	}, server.entry("s-1"))
	used := node.dial(t)
	for i := range 5 {
		if resp, _ := used.roundTrip(view(fmt.Sprint("u-", i))); resp.StatusCode != 200 {
			t.Fatalf("a request on the used connection: status %d, want 200", resp.StatusCode)
		}
		var all []<-chan struct{}
		for range 20 {
			_, waits := node.connectSilent(t)
			all = append(all, waits)
		}
		for _, waits := range all {
			receive(t, "the node to wait for a first byte", waits)
		}
		time.Sleep(2 * fronthttp.NewConnGrace) // counted from when the node has accepted the last one; waiting longer does no harm
		if resp, _ := node.dial(t).roundTrip(view(fmt.Sprint("n-", i))); resp.StatusCode != 200 {
			t.Errorf("a request on a new connection among silent ones: status %d, want 200", resp.StatusCode)
		}
	}
}
