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

	"portstall/internal/lab/standin"
	"portstall/internal/message"
)

// free is an address on which nothing listens.
func free(t testing.TB) string {
	t.Helper()
	addr, err := standin.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// tunnelled is a node with both kinds of listeners; contracts follow the file's other parts.
func newTunnelNode(t *testing.T, contracts string, known ...listed) (node *rig, socks, connect string) {
	t.Helper()
	digest := sha256.Sum256([]byte("secret"))
	socks, connect = free(t), free(t)
	text := fmt.Sprintf(`services:
- {name: placement, classes: [{name: view}, {name: save}]}
tunnels:
  socks5: %s
  connect: %s
  users: [{name: centre, password_sha256: %s}]
  routes: [{host: placement.example.org, port: 80, service: placement}]
`, socks, connect, hex.EncodeToString(digest[:])) + contracts
	node = newRig(t, newRegistry(t), settingsJSON, under(t, text), known...)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	must(t, node.tunnels(ctx, node.cfg.Product.Tunnels))
	return node, socks, connect
}

// through asks for a tunnel and returns what the client is told, with the connection.
func through(t *testing.T, addr, message string, answer int) (*client, string) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	must(t, err)
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	_, err = io.WriteString(c, message)
	must(t, err)
	in := bufio.NewReader(c)
	if answer > 0 {
		told := make([]byte, answer)
		if _, err := io.ReadFull(in, told); err != nil {
			t.Fatalf("no answer to the opening: %v, %q", err, told)
		}
		return &client{t, c, in}, string(told)
	}
	resp, err := http.ReadResponse(in, &http.Request{Method: http.MethodConnect})
	must(t, err)
	return &client{t, c, in}, resp.Status[:3]
}

func socksOpening(password string) string {
	host := "placement.example.org"
	return "\x05\x01\x02\x01\x06centre" + string(rune(len(password))) + password + "\x05\x01\x00\x03" + string(rune(len(host))) + host + "\x00\x50"
}

func connectOpening(password string) string {
	return "CONNECT placement.example.org:80 HTTP/1.1\r\nHost: placement.example.org:80\r\nProxy-Authorization: Basic " +
		base64.StdEncoding.EncodeToString([]byte("centre:"+password)) + "\r\n\r\n"
}

const socksReplyLength = 2 + 2 + 10 // method, password, reply

// What comes through a tunnel goes the way of every request: one final answer each, contracts by the tunnel's user, refusals
// at once, ids that are open refused. A client can't pass itself off as another user.
func TestTunnelledRequests(t *testing.T) {
	t.Parallel()
	server := newBox(t, served)
	_, socks, connect := newTunnelNode(t, "contracts:\n- {name: centre, match: [{header: \"Proxy-User: centre\"}]}\n", server.entry("s-1"))
	for _, k := range []struct {
		name, addr, message, want string
		length                    int
	}{
		{"socks", socks, socksOpening("secret"), "\x05\x02\x01\x00\x05\x00\x00\x01\x00\x00\x00\x00\x00\x00", socksReplyLength},
		{"connect", connect, connectOpening("secret"), "200", 0},
	} {
		c, told := through(t, k.addr, k.message, k.length)
		if told != k.want {
			t.Fatalf("%s: told %q", k.name, told)
		}
		for i := range 5 {
			id := fmt.Sprint(k.name, i)
			if resp, body := c.ask(view(id)); resp.StatusCode != 200 || body != "done "+id {
				t.Errorf("%s: %d %q", id, resp.StatusCode, body)
			}
		}
		if resp, body := c.ask(save(k.name + "-save")); resp.StatusCode != 200 || body != "done "+k.name+"-save" {
			t.Errorf("%s: a body: %d %q", k.name, resp.StatusCode, body)
		}
		c.send("GET / HTTP/1.0\r\n\r\n")
		if resp, _ := c.answer(); resp.StatusCode < 400 {
			t.Errorf("%s: what is no request of ours is answered %d", k.name, resp.StatusCode)
		}
	}
	if got := len(server.requests()); got != 12 {
		t.Errorf("%d attempts, want one for each of the 12 requests", got)
	}
	if _, told := through(t, connect, connectOpening("guess"), 0); told != "407" {
		t.Errorf("a wrong password: %s", told)
	}
}

// Outside a tunnel the user's header is not looked at, and inside one it is the tunnel's, whatever the request says.
func TestTunnelUserCannotBeForged(t *testing.T) {
	t.Parallel()
	server := newBox(t, served)
	node, _, connect := newTunnelNode(t, "contracts:\n- {name: boss, match: [{header: \"Proxy-User: boss\"}]}\n- {name: centre, rate: 0.001, burst: 1, match: [{header: \"Proxy-User: centre\"}]}\n", server.entry("s-1"))
	plain := node.dial(t)
	plain.send(with(view("p"), "Proxy-User: boss"))
	if resp, _ := plain.answer(); resp.StatusCode != 403 {
		t.Errorf("a plain client that says it is boss: %d", resp.StatusCode)
	}
	c, _ := through(t, connect, connectOpening("secret"), 0)
	c.ask(view("a"))
	c.send(with(view("b"), "Proxy-User: boss"))
	if resp, _ := c.answer(); resp.StatusCode != 429 || !strings.Contains(resp.Header.Get(message.RefusalHeader), `"centre"`) {
		t.Errorf("a tunnelled client that says it is boss: %d %q", resp.StatusCode, resp.Header.Get(message.RefusalHeader))
	}
}

// In a drain a tunnel that is asked for is refused in its protocol's words, one that stands gets the answer that is under way
// and is then closed, and one that carries nothing is closed.
func TestTunnelsDuringDrain(t *testing.T) {
	t.Parallel()
	hold := make(chan bool)
	server := newSlowBox(t, hold)
	node, socks, connect := newTunnelNode(t, "", server.entry("s-1"))
	idle, _ := through(t, socks, socksOpening("secret"), socksReplyLength)
	idle.ask(view("first"))
	busy, _ := through(t, connect, connectOpening("secret"), 0)
	busy.send(view("slow").text())
	wait(t, "the slow request", func() bool { return len(server.requests()) == 2 })
	must(t, node.Drain(context.Background()))
	if _, told := through(t, connect, connectOpening("secret"), 0); told != "503" {
		t.Errorf("CONNECT during a drain: %s", told)
	}
	if _, told := through(t, socks, socksOpening("secret"), socksReplyLength); told[socksReplyLength-9] != 1 {
		t.Errorf("SOCKS5 during a drain: %q", told)
	}
	if _, err := idle.in.ReadByte(); err != io.EOF {
		t.Errorf("an idle tunnel during a drain: %v", err)
	}
	close(hold)
	if resp, body := busy.answer(); resp.StatusCode != 200 || body != "done slow" || !resp.Close {
		t.Errorf("the request under way: %d %q, close %v", resp.StatusCode, body, resp.Close)
	}
	if _, err := busy.in.ReadByte(); err != io.EOF {
		t.Errorf("its tunnel afterwards: %v", err)
	}
	must(t, node.Resume(context.Background()))
	again, told := through(t, connect, connectOpening("secret"), 0)
	if told != "200" {
		t.Fatalf("after the drain: %s", told)
	}
	if resp, _ := again.ask(view("again")); resp.StatusCode != 200 {
		t.Errorf("after the drain: %d", resp.StatusCode)
	}
}

// A successor opens its listeners where its predecessor still has the addresses, once that one gives them up.
func TestTunnelListenerWaitsForAddress(t *testing.T) {
	t.Parallel()
	server := newBox(t, served)
	taken, err := standin.Listen()
	must(t, err)
	node := newRig(t, newRegistry(t), settingsJSON, under(t, "services: [{name: s}]\ntunnels:\n  connect: "+taken.Addr().String()+
		"\n  routes: [{host: placement.example.org, port: 80, service: s}]\n"), server.entry("s-1"))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	must(t, node.tunnels(ctx, node.cfg.Product.Tunnels))
	taken.Close()
	wait(t, "the address", func() bool {
		c, err := net.Dial("tcp", taken.Addr().String())
		if err == nil {
			c.Close()
		}
		return err == nil
	})
	c, told := through(t, taken.Addr().String(), "CONNECT placement.example.org:80 HTTP/1.1\r\nHost: x\r\n\r\n", 0)
	if told != "200" {
		t.Fatalf("told %s", told)
	}
	if resp, _ := c.ask(view("r")); resp.StatusCode != 200 {
		t.Errorf("%d", resp.StatusCode)
	}
}
