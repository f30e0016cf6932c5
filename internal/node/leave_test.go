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
	"testing"
	"time"

	"portstall/internal/flow"
	"portstall/internal/lab/standin"
	"portstall/internal/message"
)

// seen is a connection of a client whose end at the node the test has too.
type seen struct {
	*client
	end net.Conn
}

// bothEnds is a connection: the end that dialled, and the other.
func bothEnds(t *testing.T) (conn, end net.Conn) {
	t.Helper()
	ln, err := standin.Listen()
	must(t, err)
	defer ln.Close()
	conn, err = net.Dial("tcp", ln.Addr().String())
	must(t, err)
	t.Cleanup(func() { conn.Close() })
	end, err = ln.Accept()
	must(t, err)
	return conn, end
}

// connect makes one, and hands its end to the node.
func (r *rig) connect(t *testing.T) seen {
	t.Helper()
	c, end := bothEnds(t)
	c.SetDeadline(time.Now().Add(patience))
	if !r.clients.Take() {
		t.Fatal("no place")
	}
	r.clients.Go(func() { r.clients.Serve(end, bufio.NewReaderSize(end, message.HeadSize), "") })
	return seen{&client{t, c, bufio.NewReader(c)}, end}
}

// A request whose client has left while it waited is not sent on, whatever it waited for, however much stands unread behind it,
// and also where the settings let no attempt be cancelled. The wait ends only once the node's socket knows of the leaving.
func TestWhoHasLeftIsNotSentOn(t *testing.T) {
	t.Parallel()
	surplus := strings.Repeat(view("more").text(), 600) // more than a connection's buffer
	upload := quote("x")
	upload.body = strings.Repeat("x", 4*flow.Keep)
	big := quote("x")
	big.body = strings.Repeat("x", flow.Keep/2)
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
	} {
		for _, cancel := range []string{"true", "false"} {
			t.Run(c.name+" cancel "+cancel, func(t *testing.T) {
				t.Parallel()
				var r *rig
				full := newBox(t, func(c net.Conn, _ *http.Request, _ int) bool {
					must(t, r.Enable(context.Background(), "s-1"))
					return reply(c, 503, "X-Not-Run: 1\r\n", "")
				})
				ln, err := standin.Listen()
				must(t, err)
				defer ln.Close()
				known := []listed{{ID: "s-1", Addr: ln.Addr().String(), Zone: "north", Kind: "k", State: "Ready"}}
				if c.retry {
					known = append(known, full.entry("s-2"))
				}
				r = newRig(t, newRegistry(t), strings.Replace(settingsJSON, `"cancel":true`, `"cancel":`+cancel, 1), unhurried, known...)
				waiting, held := make(chan struct{}), make(chan struct{})
				release := sync.OnceFunc(func() { close(held) })
				t.Cleanup(release) // also of a test that fails: the node's end waits for its attempts
				var once sync.Once
				var sent net.Conn // the server's end
				var mu sync.Mutex
				r.through("s-1", func(_ context.Context, d *net.Dialer, addr string) (net.Conn, error) {
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
					must(t, r.Disable(context.Background(), "s-1")) // until the other one has turned the request away
				}
				cl := r.connect(t)
				if c.room {
					must(t, r.budget.Request(context.Background(), r.cfg.bodyBytes()/2))
				}
				cl.send(c.text)
				if !c.room {
					<-waiting
				}
				cl.Close()
				wait(t, "the end of its sending", func() bool { return flow.Left(cl.end) })
				if c.room {
					r.budget.RequestDone(r.cfg.bodyBytes() / 2)
				}
				release()
				wait(t, "the end of the request", func() bool {
					open, idle := r.pool.Counts()
					return r.openRequests() == 0 && open == idle
				})
				mu.Lock()
				defer mu.Unlock()
				if sent != nil && flow.Pending(sent) == flow.BytesThere {
					t.Error("it is sent on though its client has left")
				}
			})
		}
	}
}

func (n *node) openRequests() int {
	n.core.Lock()
	defer n.core.Unlock()
	return len(n.core.Open())
}

// A client that ends its sending alone has given its request up, and is told so: exactly one final answer, refused where no
// attempt was begun, failed where one may have run.
func TestHalfCloseIsAnswered(t *testing.T) {
	t.Parallel()
	hold := make(chan bool)
	defer close(hold)
	b := newSlowBox(t, hold)
	r := newRig(t, newRegistry(t), settingsJSON, unhurried, b.entry("s-1"))
	c := r.connect(t)
	c.send(quote("slow").text())
	wait(t, "the request at the server", func() bool { return len(b.requests()) == 1 })
	must(t, c.Conn.(*net.TCPConn).CloseWrite())
	if resp, _ := c.answer(); resp.StatusCode == 200 || resp.StatusCode == 503 || resp.StatusCode == 429 || !resp.Close {
		t.Errorf("one that may have run: %d, close %v", resp.StatusCode, resp.Close)
	}
	if n, err := c.in.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("%d more bytes, %v", n, err)
	}
	wait(t, "an empty table", func() bool { return r.openRequests() == 0 })
	c = r.connect(t)
	c.send(view("v").text())
	if resp, body := c.answer(); resp.StatusCode != 200 {
		t.Errorf("the next: %d %s", resp.StatusCode, fmt.Sprint(body))
	}
}

// crossing is a connection on which something happens between a read from the socket and what the reader makes of it.
type crossing struct {
	*net.TCPConn
	between func()
}

func (c *crossing) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if c.between != nil && n > 0 {
		c.between()
	}
	return n, err
}

// The node closes what carries no request in the moment between a request's first byte and the note of it: the request is read
// to its end and answered all the same, and only then its connection is closed. So with a body that is still to come.
func TestIdleCloseCrossesARequest(t *testing.T) {
	t.Parallel()
	b := newBox(t, served)
	for _, text := range []string{view("v").text(), save("s").text()} {
		r := newRig(t, newRegistry(t), settingsJSON, unhurried, b.entry("s-1"))
		conn, end := bothEnds(t)
		r.clients.Take()
		crossed := make(chan struct{})
		x := &crossing{TCPConn: end.(*net.TCPConn), between: sync.OnceFunc(func() {
			r.life.enter(drained)
			r.clients.CloseIdle()
			close(crossed)
		})}
		r.clients.Go(func() { r.clients.Serve(x, bufio.NewReaderSize(x, message.HeadSize), "") })
		c := &client{t, conn, bufio.NewReader(conn)}
		c.SetDeadline(time.Now().Add(patience))
		c.send(text[:30])
		<-crossed
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
func TestLateRequestsEndBeforeTheKill(t *testing.T) {
	t.Parallel()
	b := newBox(t, served)
	r := newRig(t, newRegistry(t), settingsJSON, unhurried, b.entry("s-1"))
	c, half := r.dial(t), r.connect(t)
	text := save("late").text()
	half.send(text[:30])
	wait(t, "the first half", func() bool { return flow.Pending(half.end) == flow.Nothing })
	if resp, _ := c.ask(save("early")); resp.StatusCode != 200 {
		t.Fatalf("before: %d", resp.StatusCode)
	}
	r.leave()
	wait(t, "the end of new connections", func() bool {
		c, err := net.Dial("tcp", r.addr)
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	half.send(text[30:])
	if resp, _ := half.answer(); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("the late one: %d, close %v", resp.StatusCode, resp.Close)
	}
	for _, got := range b.requests() {
		told, err := time.ParseDuration(strings.Replace(got.Header.Get("X-Deadline"), "u", "us", 1))
		must(t, err)
		if late := got.Header.Get("X-Request-Id") == "late"; late != (told < killMost+killAfter) {
			t.Errorf("%s: its server was told of %v", got.Header.Get("X-Request-Id"), told)
		}
	}
}
