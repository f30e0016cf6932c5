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

// connect makes one, and hands its end to the node.
func (r *rig) connect(t *testing.T) seen {
	t.Helper()
	ln, err := standin.Listen()
	must(t, err)
	defer ln.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	must(t, err)
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	end, err := ln.Accept()
	must(t, err)
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
				waiting, release := make(chan struct{}), make(chan struct{})
				var once sync.Once
				var sent net.Conn // the server's end
				var mu sync.Mutex
				r.through("s-1", func(_ context.Context, d *net.Dialer, addr string) (net.Conn, error) {
					once.Do(func() { close(waiting) })
					<-release
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
				close(release)
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
