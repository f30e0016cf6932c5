package back

import (
	"context"
	"net"
	"testing"
	"time"

	"portstall/internal/flow"
	"portstall/internal/lab/standin"
)

// A second copy of a response may arrive later than reuseDelay and would then be mistaken for the response to the next
// request. While surplus has been seen recently, a connection is checked only after surplusReuseDelay: here the copy
// arrives between the two delays and must be detected. After surplusWindow without surplus the shorter delay applies
// again.
func TestLateSurplusIsDetectedBeforeReuse(t *testing.T) {
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
		serverEnd, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return c, serverEnd
	}
	c, serverEnd := open()
	defer serverEnd.Close()
	waits := 0
	p.sleep = func(_ context.Context, d time.Duration) {
		waits++
		if now = now.Add(d); now.Sub(c.idleSince) < 10*time.Millisecond {
			return // the copy has not arrived yet
		}
		if _, err := serverEnd.Write([]byte("HTTP/1.1 200 OK\r\n")); err != nil {
			t.Error(err)
		}
		if _, err := flow.WaitReadable(c.Conn); err != nil { // wait until it has passed the loopback interface
			t.Error(err)
		}
	}
	p.ReportSurplus()
	p.Put(c)
	now = now.Add(reuseDelay)
	got, err := p.Get(context.Background(), s)
	if err != nil || got == c || waits != 1 {
		t.Fatalf("Get after surplus: error %v, same connection %v, %d waits; want another connection after 1 wait", err, got == c, waits)
	}
	next, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	now = now.Add(surplusWindow)
	p.Put(got)
	now = now.Add(reuseDelay)
	if again, err := p.Get(context.Background(), s); again != got || waits != 1 {
		t.Errorf("Get after surplusWindow: error %v, another connection %v, %d waits; want the same connection, no new wait", err, again != got, waits)
	}
	p.Close(got)
}
