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

	"portstall/internal/flow"
)

// A successor holds to what its predecessor was told, and while both run what one is told the other does.
func TestSuccessorKeepsStateAndSharesOrders(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	release := make(chan struct{})
	serverA, serverB := newBox(t, holdFirst(release)), newBox(t, served)
	discoveryStub := newRegistry(t)
	old := newRig(t, discoveryStub, settingsJSON, nil, serverA.entry("s-1"))
	busy, idle := old.dial(t), old.dial(t)
	busy.send(quote("open").text())
	wait(t, "the request at the backend", func() bool { return len(serverA.requests()) == 1 })
	idle.ask(view("v"))
	old.lists(7, serverA.entry("s-1"), serverB.entry("s-2"), listed{ID: "s-3", Addr: "127.0.0.1:1", State: "Terminating"})
	must(t, old.Disable(ctx, "s-1"))
	must(t, old.Disable(ctx, "s-2"))
	must(t, old.Enable(ctx, "s-2"))

	young := startSuccessor(t, old.meet(t), discoveryStub, settingsJSON)

	young.core.Lock()
	if young.version != 7 || len(young.names) != 3 || young.names["s-3"].Stop.Load() == 0 {
		t.Errorf("list %d with %d web servers, want 7 with 3 of which one drains", young.version, len(young.names))
	}
	if young.hand.returned["s-2"] != old.hand.returned["s-2"] || young.hand.returned["s-2"] == 0 {
		t.Error("a web server that is cold by hand is not any more")
	}
	young.core.Unlock()
	if resp, _ := young.dial(t).ask(quote("open")); resp.StatusCode != 409 {
		t.Errorf("the id of a request that the predecessor has open: %d", resp.StatusCode)
	}
	if resp, _ := young.dial(t).ask(view("w")); resp.StatusCode != 200 && resp.StatusCode != 503 {
		t.Errorf("a request at the successor: %d", resp.StatusCode)
	}
	if n := len(serverA.requests()); n != 2 {
		t.Errorf("%d requests at a web server that is out, want the 2 from before", n)
	}

	disabled := func(node *rig, id string) bool {
		node.core.Lock()
		defer node.core.Unlock()
		return node.hand.disabled[id] && node.names[id].Gate.Shut()
	}
	must(t, young.Disable(ctx, "s-2"))
	must(t, old.Disable(ctx, "s-3"))
	if !disabled(old, "s-2") || !disabled(young, "s-3") {
		t.Error("an order did not reach the other process")
	}
	// The old process has stopped accepting. It closes what is idle and ends once all it took is answered.
	if old.pair.accepting.Load() {
		t.Error("the old process still accepts")
	}
	if _, err := idle.in.ReadByte(); err != io.EOF {
		t.Errorf("an idle connection: %v, want it closed", err)
	}
	close(release)
	if resp, body := busy.answer(); resp.StatusCode != 200 || body != "done open" || !resp.Close {
		t.Errorf("the request taken before: %d %q, close %v", resp.StatusCode, body, resp.Close)
	}
	select {
	case err := <-old.exited:
		must(t, err)
		old.exited <- err
	case <-time.After(patience):
		t.Error("the old process does not end")
	}
}

// A large answer goes on when the node leaves, also past the last deadline.
func TestLargeResponseContinuesAfterSIGTERM(t *testing.T) {
	t.Parallel()
	text := distinctBody(200 << 10)
	goOn := make(chan struct{})
	server := newBox(t, func(c net.Conn, r *http.Request, _ int) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text[:100<<10])
		<-goOn
		io.WriteString(c, text[100<<10:])
		return true
	})
	short := strings.ReplaceAll(settingsJSON, `"deadline_s":60`, `"deadline_s":0.1`)
	node := newRig(t, newRegistry(t), short, nil, server.entry("s-1"))
	c := node.dial(t)
	c.in = bufio.NewReaderSize(c, 16)
	c.send(quote("q").text())
	wait(t, "the answer's beginning", func() bool { return flow.Pending(c.Conn) == flow.BytesThere })
	half := node.connectClient(t) // is cut off behind the last deadline
	half.send(view("half").text()[:30])
	wait(t, "the node's reading of it", func() bool { return flow.Pending(half.end) == flow.Nothing })
	node.leave()
	wait(t, "the last deadline", half.closed)
	close(goOn)
	if resp, body := c.answer(); resp.StatusCode != 200 || body != text {
		t.Errorf("%d with %d bytes", resp.StatusCode, len(body))
	}
}
