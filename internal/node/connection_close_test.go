package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"portstall/internal/flow"
	"portstall/internal/lab/standin"
	"portstall/internal/message"
)

// cutting is a connection to a server on which the server's end goes once a part of the first write has come there.
type cuttingConn struct {
	*net.TCPConn
	prefix   func(whole int) int // how much of it
	onPrefix func(n int)
}

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

// A server closes a connection while a request is written to it: before its first byte, in its head, before its last byte, and
// behind it. A reset that came before the last byte was taken proves that nothing ran, and each class goes to the other server. What
// was written whole may have run, whatever closed: only a class that may be repeated goes there. None is ever there twice.
func TestServerClosesDuringRequest(t *testing.T) {
	t.Parallel()
	for _, q := range []call{view("q"), save("q"), quote("q")} {
		for _, c := range []struct {
			name  string
			at    func(whole int) int
			reset bool // else it closes in good order, which does not keep the rest from being taken
			never bool // it surely never ran
		}{
			{"before the first byte", func(int) int { return 0 }, true, true},
			{"in the head", func(int) int { return 20 }, true, true},
			{"before the last byte", func(whole int) int { return whole - 1 }, true, true},
			{"behind the last byte", func(whole int) int { return whole }, true, false},
			{"an idle one, as it is written", func(int) int { return 0 }, false, false},
		} {
			t.Run(q.class+" "+c.name, func(t *testing.T) {
				t.Parallel()
				ln, err := standin.Listen()
				must(t, err)
				defer ln.Close()
				other := newBox(t, served)
				first := listed{ID: "s-1", Addr: ln.Addr().String(), Zone: "north", Kind: "k", State: "Ready"}
				node := newRig(t, newRegistry(t), settingsJSON, unhurried, first, other.entry("s-2"))
				must(t, node.Disable(context.Background(), "s-2")) // until the first attempt is under way
				node.setDial("s-1", func(_ context.Context, d *net.Dialer, addr string) (net.Conn, error) {
					conn, err := d.Dial("tcp", addr)
					if err != nil {
						return nil, err
					}
					end, err := ln.Accept()
					if err != nil {
						return nil, err
					}
					return &cuttingConn{TCPConn: conn.(*net.TCPConn), prefix: c.at, onPrefix: func(n int) {
						if _, err := io.ReadFull(end, make([]byte, n)); err != nil {
							t.Error(err)
						}
						if err := node.Enable(context.Background(), "s-2"); err != nil {
							t.Error(err)
						}
						if c.reset {
							end.(*net.TCPConn).SetLinger(0)
						}
						end.Close()
						wait(t, "the close at the node", func() bool { return flow.Left(conn) })
					}}, nil
				})
				resp, _ := node.dial(t).ask(q)
				again := c.never || q.class != "quote"
				if want := map[bool]int{true: http.StatusOK, false: http.StatusInternalServerError}[again]; resp.StatusCode != want {
					t.Errorf("answered %d, want %d", resp.StatusCode, want)
				}
				if n := len(other.requests()); n != map[bool]int{true: 1, false: 0}[again] {
					t.Errorf("the other server got %d requests", n)
				}
			})
		}
	}
}

// A connection that a client keeps makes room for a new one in the moment between the first byte of its next request and the note of
// it. That request has its one answer, a refusal, as it is one too many then; it reaches no server, and the connection closes behind it.
func TestEvictionCrossesNextRequest(t *testing.T) {
	t.Parallel()
	server := newBox(t, served)
	node := newRig(t, newRegistry(t), settingsJSON, unhurried, server.entry("s-1"))
	node.clients.Resize(1)
	kept := newUnattachedClient(t)
	reads := 0 // that brought something
	x := &hookedConn{TCPConn: kept.end.(*net.TCPConn), afterRead: func() {
		if reads++; reads != 2 {
			return
		}
		if resp, body := node.dial(t).ask(view("new")); resp.StatusCode != http.StatusOK {
			t.Errorf("the new one: %d %q", resp.StatusCode, body)
		}
	}}
	node.clients.Take()
	node.clients.Go(func() { node.clients.Serve(x, bufio.NewReaderSize(x, message.HeadSize), "") })
	if resp, _ := kept.ask(view("first")); resp.StatusCode != http.StatusOK || resp.Close {
		t.Fatalf("the first: %d, close %v", resp.StatusCode, resp.Close)
	}
	resp, body := kept.ask(quote("second"))
	if resp.StatusCode != http.StatusServiceUnavailable || body != "too many connections\n" || !resp.Close || resp.Header.Get("Retry-After") == "" {
		t.Errorf("the second: %d %q, close %v, come back in %q", resp.StatusCode, body, resp.Close, resp.Header.Get("Retry-After"))
	}
	if n, err := kept.in.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("behind it: %d more bytes, %v", n, err)
	}
	if n := len(server.requests()); n != 2 {
		t.Errorf("%d requests reached the server, want the first and the new one", n)
	}
}
