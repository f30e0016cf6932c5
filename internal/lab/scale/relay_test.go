package scale

import (
	"io"
	"net"
	"testing"
	"time"

	"portstall/internal/lab/standin"
)

// startEcho starts a server that sends each byte back, and reports each byte received on the channel.
func startEcho(t *testing.T) (addr string, came chan byte) {
	t.Helper()
	ln, err := standin.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	came = make(chan byte, 10)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				var b [1]byte
				for {
					if _, err := io.ReadFull(c, b[:]); err != nil {
						return
					}
					came <- b[0]
					c.Write(b[:])
				}
			}()
		}
	}()
	return ln.Addr().String(), came
}

// While a relay is cut, nothing that is sent arrives, then or later, and connections that sent something are closed at
// its end. A connection that was idle during the cut goes on.
func TestRelayCut(t *testing.T) {
	addr, came := startEcho(t)
	r, err := StartRelay(addr)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Stop()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", r.Addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	var b [1]byte
	say := func(c net.Conn, what byte) error {
		if _, err := c.Write([]byte{what}); err != nil {
			return err
		}
		_, err := io.ReadFull(c, b[:])
		return err
	}
	used, quiet := dial(), dial()
	if err := say(used, 1); err != nil || b[0] != 1 || <-came != 1 {
		t.Fatalf("before the cut: %v", err)
	}
	if err := say(quiet, 2); err != nil || <-came != 2 {
		t.Fatalf("before the cut: %v", err)
	}
	r.Cut(true)
	late := dial()
	for _, c := range []net.Conn{used, late} {
		if _, err := c.Write([]byte{3}); err != nil {
			t.Fatal(err)
		}
	}
	// The network is restored only after the relay has read what was sent during the cut.
	for ends := time.Now().Add(time.Minute); ; time.Sleep(time.Millisecond) {
		r.mu.Lock()
		lost := 0
		for _, l := range r.conns {
			if l {
				lost++
			}
		}
		r.mu.Unlock()
		if lost >= 2 {
			break
		}
		if time.Now().After(ends) {
			t.Fatal("the relay did not read what was sent during the cut")
		}
	}
	r.Cut(false)
	for name, c := range map[string]net.Conn{"used": used, "late": late} {
		if _, err := io.ReadFull(c, b[:]); err == nil {
			t.Errorf("%s: a byte sent during the cut was sent back", name)
		}
	}
	if err := say(quiet, 4); err != nil || <-came != 4 {
		t.Errorf("a connection that lost nothing failed: %v", err)
	}
	if err := say(dial(), 5); err != nil || <-came != 5 {
		t.Errorf("after the cut: %v", err)
	}
	select {
	case b := <-came:
		t.Errorf("byte %d came through the cut", b)
	default:
	}
}
