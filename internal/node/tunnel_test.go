package node

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"portstall/internal/endpoints"
	"portstall/internal/lab/standin"
	"portstall/internal/message"
)

// freeAddr returns an address on which nothing listens.
func freeAddr(t testing.TB) string {
	t.Helper()
	addr, err := standin.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// newTunnelNode starts a node with both kinds of tunnel listeners; contracts is appended to its file.
func newTunnelNode(t *testing.T, contracts string, known ...endpoints.Endpoint) (node *testNode, socks, connect string) {
	t.Helper()
	digest := sha256.Sum256([]byte("secret"))
	socks, connect = freeAddr(t), freeAddr(t)
	text := fmt.Sprintf(`services:
- {name: placement, classes: [{name: view}, {name: save}]}
tunnels:
  socks5: %s
  connect: %s
  users: [{name: centre, password_sha256: %s}]
  routes: [{host: placement.example.org, port: 80, service: placement}]
`, socks, connect, hex.EncodeToString(digest[:])) + contracts
	node = newTestNode(t, newStubDiscovery(t), settingsJSON, withProductFile(t, text), known...)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	must(t, node.openTunnelListeners(ctx, node.cfg.Product.Tunnels))
	return node, socks, connect
}

// openTunnel asks for a tunnel and returns the connection and the reply: replyLength bytes, or, where that is 0, the
// status of an HTTP response.
func openTunnel(t *testing.T, addr, opening string, replyLength int) (*client, string) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	must(t, err)
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	_, err = io.WriteString(c, opening)
	must(t, err)
	in := bufio.NewReader(c)
	if replyLength > 0 {
		reply := make([]byte, replyLength)
		if _, err := io.ReadFull(in, reply); err != nil {
			t.Fatalf("no complete reply to the opening: %v, %q", err, reply)
		}
		return &client{t, c, in}, string(reply)
	}
	resp, err := http.ReadResponse(in, &http.Request{Method: http.MethodConnect})
	must(t, err)
	return &client{t, c, in}, resp.Status[:3]
}

// socksOpening returns what a SOCKS5 client sends to open a tunnel.
func socksOpening(password string) string {
	host := "placement.example.org"
	return "\x05\x01\x02\x01\x06centre" + string(rune(len(password))) + password + "\x05\x01\x00\x03" + string(rune(len(host))) + host + "\x00\x50"
}

// connectOpening returns the CONNECT request that opens a tunnel.
func connectOpening(password string) string {
	return "CONNECT placement.example.org:80 HTTP/1.1\r\nHost: placement.example.org:80\r\nProxy-Authorization: Basic " +
		base64.StdEncoding.EncodeToString([]byte("centre:"+password)) + "\r\n\r\n"
}

const socksReplyLength = 2 + 2 + 10 // bytes of method, password and connect replies

// Guards against requests in a tunnel that are treated differently from others: each gets one final response, the
// contract of the tunnel's user applies, and malformed ones are refused. A wrong password opens no tunnel.
func TestTunnelledRequests(t *testing.T) {
	t.Parallel()
	server := newStubServer(t, respondOK)
	_, socks, connect := newTunnelNode(t, "contracts:\n- {name: centre, match: [{header: \"Proxy-User: centre\"}]}\n", server.entry("s-1"))
	for _, k := range []struct {
		name, addr, message, want string
		length                    int
	}{
		{"socks", socks, socksOpening("secret"), "\x05\x02\x01\x00\x05\x00\x00\x01\x00\x00\x00\x00\x00\x00", socksReplyLength},
		{"connect", connect, connectOpening("secret"), "200", 0},
	} {
		c, reply := openTunnel(t, k.addr, k.message, k.length)
		if reply != k.want {
			t.Fatalf("%s: reply %q to the opening", k.name, reply)
		}
		for i := range 5 {
			id := fmt.Sprint(k.name, i)
			if resp, body := c.roundTrip(view(id)); resp.StatusCode != 200 || body != "done "+id {
				t.Errorf("%s: status %d, body %q", id, resp.StatusCode, body)
			}
		}
		if resp, body := c.roundTrip(save(k.name + "-save")); resp.StatusCode != 200 || body != "done "+k.name+"-save" {
			t.Errorf("%s: a request with a body: status %d, body %q", k.name, resp.StatusCode, body)
		}
		c.send("GET / HTTP/1.0\r\n\r\n")
		if resp, _ := c.readResponse(); resp.StatusCode < 400 {
			t.Errorf("%s: a request in HTTP/1.0: status %d, want a refusal", k.name, resp.StatusCode)
		}
	}
	if got := len(server.requests()); got != 12 {
		t.Errorf("the web server received %d requests, want one for each of the 12", got)
	}
	if _, reply := openTunnel(t, connect, connectOpening("guess"), 0); reply != "407" {
		t.Errorf("CONNECT with a wrong password: status %s, want 407", reply)
	}
}

// Guards against clients that pass as another user: outside a tunnel the header Proxy-User is ignored, and inside one
// it is that of the tunnel, whatever the request says.
func TestTunnelUserCannotBeForged(t *testing.T) {
	t.Parallel()
	server := newStubServer(t, respondOK)
	node, _, connect := newTunnelNode(t, "contracts:\n- {name: boss, match: [{header: \"Proxy-User: boss\"}]}\n- {name: centre, rate: 0.001, burst: 1, match: [{header: \"Proxy-User: centre\"}]}\n", server.entry("s-1"))
	plain := node.dial(t)
	plain.send(withHeaders(view("p"), "Proxy-User: boss"))
	if resp, _ := plain.readResponse(); resp.StatusCode != 403 {
		t.Errorf("a client without a tunnel that claims to be boss: status %d, want 403", resp.StatusCode)
	}
	c, _ := openTunnel(t, connect, connectOpening("secret"), 0)
	c.roundTrip(view("a"))
	c.send(withHeaders(view("b"), "Proxy-User: boss"))
	if resp, _ := c.readResponse(); resp.StatusCode != 429 || !strings.Contains(resp.Header.Get(message.RefusalHeader), `"centre"`) {
		t.Errorf("a client in a tunnel that claims to be boss: status %d, refusal %q; want 429 by the contract of centre", resp.StatusCode, resp.Header.Get(message.RefusalHeader))
	}
}

// Guards against tunnels that hold up a drain or are cut off by it: a new tunnel is refused in its protocol's terms, an
// open one gets the response that is due and is then closed, and one without a request is closed.
func TestTunnelsDuringDrain(t *testing.T) {
	t.Parallel()
	hold := make(chan bool)
	server := newSlowServer(t, hold)
	node, socks, connect := newTunnelNode(t, "", server.entry("s-1"))
	idle, _ := openTunnel(t, socks, socksOpening("secret"), socksReplyLength)
	idle.roundTrip(view("first"))
	busy, _ := openTunnel(t, connect, connectOpening("secret"), 0)
	busy.send(view("slow").text())
	waitFor(t, "the slow request at the web server", func() bool { return len(server.requests()) == 2 })
	must(t, node.Drain(context.Background()))
	if _, reply := openTunnel(t, connect, connectOpening("secret"), 0); reply != "503" {
		t.Errorf("CONNECT during a drain: status %s, want 503", reply)
	}
	if _, reply := openTunnel(t, socks, socksOpening("secret"), socksReplyLength); reply[socksReplyLength-9] != 1 {
		t.Errorf("SOCKS5 during a drain: reply %q, want a general failure", reply)
	}
	if _, err := idle.in.ReadByte(); err != io.EOF {
		t.Errorf("an idle tunnel during a drain: %v, want it closed", err)
	}
	close(hold)
	if resp, body := busy.readResponse(); resp.StatusCode != 200 || body != "done slow" || !resp.Close {
		t.Errorf("the request that was open: status %d, body %q, close %v; want it served and a close", resp.StatusCode, body, resp.Close)
	}
	if _, err := busy.in.ReadByte(); err != io.EOF {
		t.Errorf("the tunnel of that request afterwards: %v, want it closed", err)
	}
	must(t, node.Resume(context.Background()))
	again, reply := openTunnel(t, connect, connectOpening("secret"), 0)
	if reply != "200" {
		t.Fatalf("CONNECT after the drain: status %s, want 200", reply)
	}
	if resp, _ := again.roundTrip(view("again")); resp.StatusCode != 200 {
		t.Errorf("a request after the drain: status %d, want 200", resp.StatusCode)
	}
}

// Guards against a successor without tunnels: it opens its listeners at addresses that its predecessor still has, once
// that one gives them up.
func TestTunnelListenerWaitsForAddress(t *testing.T) {
	t.Parallel()
	server := newStubServer(t, respondOK)
	taken, err := standin.Listen()
	must(t, err)
	node := newTestNode(t, newStubDiscovery(t), settingsJSON, withProductFile(t, "services: [{name: s}]\ntunnels:\n  connect: "+taken.Addr().String()+
		"\n  routes: [{host: placement.example.org, port: 80, service: s}]\n"), server.entry("s-1"))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	must(t, node.openTunnelListeners(ctx, node.cfg.Product.Tunnels))
	taken.Close()
	waitFor(t, "the listener at the address", func() bool {
		c, err := net.Dial("tcp", taken.Addr().String())
		if err == nil {
			c.Close()
		}
		return err == nil
	})
	c, reply := openTunnel(t, taken.Addr().String(), "CONNECT placement.example.org:80 HTTP/1.1\r\nHost: x\r\n\r\n", 0)
	if reply != "200" {
		t.Fatalf("CONNECT: status %s, want 200", reply)
	}
	if resp, _ := c.roundTrip(view("r")); resp.StatusCode != 200 {
		t.Errorf("a request in the tunnel: status %d, want 200", resp.StatusCode)
	}
}
