package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"portstall/internal/back"
	"portstall/internal/endpoints"
	"portstall/internal/mgmt"
	"portstall/policy"
)

// publishList applies a full list to the node.
func (n *testNode) publishList(version int64, servers ...endpoints.Endpoint) {
	n.publish(version, policy.ListFull, servers)
}

// publish applies a list of the given kind to the node.
func (n *testNode) publish(version int64, kind policy.ListKind, servers []endpoints.Endpoint) {
	n.core.Lock()
	defer n.core.Unlock()
	n.applyList(&endpoints.List{Version: version, Full: kind == policy.ListFull, Servers: servers}, kind)
}

// must fails the test at once if there is an error.
func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against requests to a web server that an operator has disabled, whatever discovery lists meanwhile: a new
// list, a restart, a removal, another address. Two calls to disable it need one to enable it again.
func TestDisabledServerGetsNoRequests(t *testing.T) {
	t.Parallel()
	ctx := context.Background()
	serverA, serverB := newStubServer(t, respondOK), newStubServer(t, respondOK)
	node := newTestNode(t, newStubDiscovery(t), settingsJSON, nil, serverA.entry("s-1"), serverB.entry("s-2"))
	c := node.dial(t)
	n := 0
	requestTimes := func(times int) {
		t.Helper()
		for range times {
			n++
			if resp, _ := c.roundTrip(view(fmt.Sprint("v", n))); resp.StatusCode != 200 {
				t.Fatalf("request %d: status %d, want 200", n, resp.StatusCode)
			}
		}
	}
	if err := node.Disable(ctx, "s-9"); !errors.Is(err, mgmt.ErrUnknownServer) {
		t.Errorf("Disable of an unknown id: %v, want ErrUnknownServer", err)
	}
	if err := node.Enable(ctx, "s-9"); !errors.Is(err, mgmt.ErrUnknownServer) {
		t.Errorf("Enable of an unknown id: %v, want ErrUnknownServer", err)
	}
	must(t, node.Disable(ctx, "s-1"))
	must(t, node.Disable(ctx, "s-1"))
	before := len(serverA.requests())
	requestTimes(20)
	node.publishList(2, serverA.entry("s-1"), serverB.entry("s-2"))
	requestTimes(20)
	restarted := serverA.entry("s-1")
	restarted.StartedMS = time.Now().UnixMilli()
	node.publishList(3, restarted, serverB.entry("s-2"))
	requestTimes(20)
	node.publishList(4, serverB.entry("s-2"))
	must(t, node.Disable(ctx, "s-1")) // still known, though no longer listed
	moved := newStubServer(t, respondOK)
	node.publishList(5, moved.entry("s-1"), serverB.entry("s-2"))
	requestTimes(20)
	if got := len(serverA.requests()) - before + len(moved.requests()); got != 0 {
		t.Errorf("a disabled web server has received %d requests", got)
	}
	must(t, node.Enable(ctx, "s-1"))
	must(t, node.Enable(ctx, "s-1"))
	node.publishList(6, moved.entry("s-1"))
	waitFor(t, "a request at the web server that was enabled again", func() bool { // it is cold, and gets few requests
		n++
		c.roundTrip(view(fmt.Sprint("v", n)))
		return len(moved.requests()) > 0
	})
}

// Guards against requests written to a web server after Disable has returned, also those that already had a connection.
func TestDisableStopsPendingWrites(t *testing.T) {
	t.Parallel()
	stub := newStubServer(t, respondOK)
	node := newTestNode(t, newStubDiscovery(t), settingsJSON, nil, stub.entry("s-1"))
	conn, err := net.Dial("tcp", stub.ln.Addr().String())
	must(t, err)
	defer conn.Close()
	node.core.Lock()
	server := node.serversByID["s-1"].Server
	node.core.Unlock()
	must(t, node.Disable(context.Background(), "s-1"))
	if n, err := back.NewGatedConn(conn, server, func() bool { return true }).Write([]byte("GET")); n != 0 || !errors.Is(err, back.ErrNoNewRequests) {
		t.Errorf("wrote %d bytes after Disable, error %v; want none and ErrNoNewRequests", n, err)
	}
}

// Guards against requests lost in a drain: it closes connections without a request, tells the others to close, and
// answers every accepted request. It can be ended.
func TestDrainAndResume(t *testing.T) {
	t.Parallel()
	ctx := context.Background()
	release := make(chan struct{})
	server := newStubServer(t, holdFirst(release))
	node := newTestNode(t, newStubDiscovery(t), settingsJSON, nil, server.entry("s-1"))
	busy, idle := node.dial(t), node.dial(t)
	busy.send(quote("slow").text())
	waitFor(t, "the request at the web server", func() bool { return len(server.requests()) == 1 })
	if resp, _ := idle.roundTrip(view("v")); resp.StatusCode != 200 || resp.Close {
		t.Fatalf("before the drain: status %d, close %v", resp.StatusCode, resp.Close)
	}
	late, waits := node.connectSilent(t)
	receive(t, "the node to wait for the late connection's first byte", waits)
	begun := time.Now()
	must(t, node.Drain(ctx))
	must(t, node.Drain(ctx))
	if s := readyStatus(t, node); s != http.StatusServiceUnavailable {
		t.Errorf("GET /ready in a drain: status %d, want 503", s)
	}
	io.WriteString(late, view("late").text())
	if _, err := late.in.Peek(1); err != nil && time.Since(begun) >= acceptGrace {
		late.client = node.dial(t) // this machine was too slow: the connection was closed with the idle ones, and the client reconnects
		late.send(view("late").text())
	}
	if resp, _ := late.readResponse(); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("a request in a drain: status %d, close %v; want it served and a close", resp.StatusCode, resp.Close)
	}
	if _, err := idle.in.ReadByte(); err != io.EOF {
		t.Errorf("an idle connection in a drain: %v, want it closed", err)
	}
	close(release)
	if resp, body := busy.readResponse(); resp.StatusCode != 200 || body != "done slow" || !resp.Close {
		t.Errorf("the request accepted before the drain: status %d, body %q, close %v; want it served and a close", resp.StatusCode, body, resp.Close)
	}
	must(t, node.Resume(ctx))
	must(t, node.Resume(ctx))
	if s := readyStatus(t, node); s != http.StatusOK {
		t.Errorf("GET /ready after Resume: status %d, want 200", s)
	}
	c := node.dial(t)
	for _, id := range []string{"x", "y"} {
		if resp, _ := c.roundTrip(view(id)); resp.StatusCode != 200 || resp.Close {
			t.Errorf("a request after the drain: status %d, close %v; want 200 and no close", resp.StatusCode, resp.Close)
		}
	}
	node.terminate()
	waitFor(t, "the start of the node's leaving", node.lifecycle.closingConnections)
	if err := node.Resume(ctx); err == nil {
		t.Error("Resume has succeeded on a node that leaves")
	}
}
