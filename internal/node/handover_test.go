package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"portstall/internal/endpoints"
	"portstall/internal/flow"
)

// Guards against a successor that drops state or orders. A successor keeps the list and the operators' orders that its
// predecessor received, and while both run, an order given to one reaches the other.
func TestSuccessorKeepsStateAndSharesOrders(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	release := make(chan struct{})
	serverA, serverB := newStubServer(t, holdFirst(release)), newStubServer(t, respondOK)
	discoveryStub := newStubDiscovery(t)
	old := newTestNode(t, discoveryStub, settingsJSON, nil, serverA.entry("s-1"))
	busy, idle := old.dial(t), old.dial(t)
	busy.send(quote("open").text())
	waitFor(t, "the request at the web server", func() bool { return len(serverA.requests()) == 1 })
	idle.roundTrip(view("v"))
	old.publishList(7, serverA.entry("s-1"), serverB.entry("s-2"), endpoints.Endpoint{ID: "s-3", Addr: "127.0.0.1:1", State: "Terminating"})
	must(t, old.Disable(ctx, "s-1"))
	must(t, old.Disable(ctx, "s-2"))
	must(t, old.Enable(ctx, "s-2"))

	successor := startSuccessor(t, old.requestHandover(t), discoveryStub, settingsJSON)

	successor.core.Lock()
	if successor.listVersion != 7 || len(successor.serversByID) != 3 || successor.serversByID["s-3"].StopAt.Load() == 0 {
		t.Errorf("the successor has list version %d with %d web servers, want version 7 with 3, of which one is draining", successor.listVersion, len(successor.serversByID))
	}
	if successor.overrides.enabledAt["s-2"] != old.overrides.enabledAt["s-2"] || successor.overrides.enabledAt["s-2"] == 0 {
		t.Error("the successor has lost the time at which an operator enabled a web server again, so that it does not count as cold")
	}
	successor.core.Unlock()
	if resp, _ := successor.dial(t).roundTrip(quote("open")); resp.StatusCode != 409 {
		t.Errorf("a request with the id of one that is open at the predecessor: status %d, want 409", resp.StatusCode)
	}
	if resp, _ := successor.dial(t).roundTrip(view("w")); resp.StatusCode != 200 && resp.StatusCode != 503 {
		t.Errorf("a request at the successor: status %d, want 200 or 503", resp.StatusCode)
	}
	if n := len(serverA.requests()); n != 2 {
		t.Errorf("a disabled web server has received %d requests, want only the 2 from before it was disabled", n)
	}

	disabled := func(node *testNode, id string) bool {
		node.core.Lock()
		defer node.core.Unlock()
		return node.overrides.disabled[id] && node.serversByID[id].Gate.Closed()
	}
	must(t, successor.Disable(ctx, "s-2"))
	must(t, old.Disable(ctx, "s-3"))
	if !disabled(old, "s-2") || !disabled(successor, "s-3") {
		t.Error("an operator's order did not reach the other process")
	}
	// The old process has stopped accepting. It closes idle connections and ends once all accepted requests are
	// answered.
	if old.handover.accepting.Load() {
		t.Error("the predecessor still accepts connections")
	}
	if _, err := idle.in.ReadByte(); err != io.EOF {
		t.Errorf("an idle connection at the predecessor: %v, want it closed", err)
	}
	close(release)
	if resp, body := busy.readResponse(); resp.StatusCode != 200 || body != "done open" || !resp.Close {
		t.Errorf("the request accepted before the hand-over: status %d, body %q, close %v; want 200, done open and a close", resp.StatusCode, body, resp.Close)
	}
	select {
	case err := <-old.exited:
		must(t, err)
		old.exited <- err
	case <-time.After(testTimeout):
		t.Error("the predecessor does not end after its last response")
	}
}

// Guards against large responses that are cut off when the node leaves: they continue after the last deadline. A
// request that has only half arrived by then is cut off.
func TestLargeResponseContinuesAfterSIGTERM(t *testing.T) {
	t.Parallel()
	text := distinctBody(200 << 10)
	proceed := make(chan struct{})
	server := newStubServer(t, func(c net.Conn, r *http.Request, _ int) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text[:100<<10])
		<-proceed
		io.WriteString(c, text[100<<10:])
		return true
	})
	short := strings.ReplaceAll(settingsJSON, `"deadline_s":60`, `"deadline_s":0.1`)
	node := newTestNode(t, newStubDiscovery(t), short, nil, server.entry("s-1"))
	c := node.dial(t)
	c.in = bufio.NewReaderSize(c, 16)
	c.send(quote("q").text())
	waitFor(t, "the beginning of the response", func() bool { return flow.PeekInput(c.Conn) == flow.InputAvailable })
	partial := node.connectClient(t) // is cut off after the last deadline
	partial.send(view("half").text()[:30])
	waitFor(t, "the node to read the partial request", func() bool { return flow.PeekInput(partial.end) == flow.NoInput })
	node.terminate()
	waitFor(t, "the close of the partial request's connection after the last deadline", partial.closed)
	close(proceed)
	if resp, body := c.readResponse(); resp.StatusCode != 200 || body != text {
		t.Errorf("the large response: status %d with %d bytes, want 200 with all of them", resp.StatusCode, len(body))
	}
}
