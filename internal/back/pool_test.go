package back

import (
	"context"
	"net"
	"testing"
	"time"

	"portstall/internal/flow"
	"portstall/internal/lab/standin"
)

// Where surplus was seen lately a connection is looked at only once a late second copy has come: it comes here in the moment
// between the shorter rest and the longer one. After a while without surplus the shorter rest is enough again.
func TestLateSurplusIsWaitedFor(t *testing.T) {
	ln, err := standin.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	now := time.Unix(1e9, 0)
	p := NewPool(10, time.Minute, time.Hour)
	defer p.Stop()
	p.now = func() time.Time { return now }
	s := &Server{Addr: ln.Addr().String(), Gate: NewGate(false)}
	open := func() (*Conn, net.Conn) {
		t.Helper()
		c, err := p.Open(context.Background(), s)
		if err != nil {
			t.Fatal(err)
		}
		end, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return c, end
	}
	c, end := open()
	defer end.Close()
	waits := 0
	p.sleep = func(_ context.Context, d time.Duration) {
		waits++
		if now = now.Add(d); now.Sub(c.since) < 10*time.Millisecond {
			return // the copy is not there yet
		}
		if _, err := end.Write([]byte("HTTP/1.1 200 OK\r\n")); err != nil {
			t.Error(err)
		}
		if _, err := flow.Readable(c.Conn); err != nil { // once it has come through loopback
			t.Error(err)
		}
	}
	p.Surplus()
	p.Put(c)
	now = now.Add(restTime)
	got, err := p.Get(context.Background(), s)
	if err != nil || got == c || waits != 1 {
		t.Fatalf("%v, the same one %v, %d waits: the copy would pass for the next answer", err, got == c, waits)
	}
	next, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	now = now.Add(surplusFor)
	p.Put(got)
	now = now.Add(restTime)
	if again, err := p.Get(context.Background(), s); again != got || waits != 1 {
		t.Errorf("%v, another one %v, %d waits: nothing was seen for a while", err, again != got, waits)
	}
	p.Close(got)
}
