package tunnel

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"

	"portstall/internal/lab/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startGreetingServer starts a server that sends a greeting first and then echoes its input. It returns the address.
func startGreetingServer(t testing.TB) string {
	t.Helper()
	ln, err := standin.Listen()
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				io.WriteString(c, "220 ready\r\n")
				io.Copy(c, c)
			}()
		}
	}()
	t.Cleanup(func() {
		ln.Close()
		<-done
	})
	return ln.Addr().String()
}

// startProxy starts a stub proxy, whose password is the user's name.
func startProxy(t testing.TB, socks bool, user string) *standin.Proxy {
	t.Helper()
	p := &standin.Proxy{SOCKS5: socks, User: user, Password: user}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	return p
}

func proxyProtocol(socks bool) Protocol {
	if socks {
		return SOCKS5
	}
	return Connect
}

// Through either kind of proxy, with and without a password, the connection carries the server's bytes from the first
// one on. A server's greeting must not be lost in a buffer of the handshake, and the connection must be the socket
// itself, as splice needs it.
func TestDialThroughProxies(t *testing.T) {
	addr := startGreetingServer(t)
	for _, socks := range []bool{true, false} {
		for _, user := range []string{"", "node"} {
			p := startProxy(t, socks, user)
			client := Proxy{Protocol: proxyProtocol(socks), Addr: p.Addr(), User: user, Password: user}
			c, err := client.Dial(context.Background(), &net.Dialer{Timeout: 20 * time.Second}, addr)
			if err != nil {
				t.Fatalf("socks %v, user %q: %v", socks, user, err)
			}
			io.WriteString(c, "hello")
			got := make([]byte, len("220 ready\r\nhello"))
			if _, err := io.ReadFull(c, got); err != nil || string(got) != "220 ready\r\nhello" {
				t.Errorf("socks %v, user %q: read %q with error %v", socks, user, got, err)
			}
			if _, ok := c.(*net.TCPConn); !ok {
				t.Errorf("socks %v: the connection is a %T, want *net.TCPConn", socks, c)
			}
			c.Close()
			if p.DialCount() != 1 {
				t.Errorf("socks %v: the proxy connected to the server %d times, want once", socks, p.DialCount())
			}
		}
	}
}

// Each failure of a proxy, and each rejection by it, is reported as ErrProxy within the dial timeout and leaves no
// connection open.
func TestProxyFailuresAreErrProxy(t *testing.T) {
	addr := startGreetingServer(t)
	for _, socks := range []bool{true, false} {
		for _, c := range []struct {
			name    string
			inject  func(p *standin.Proxy, client *Proxy)
			timeout time.Duration
		}{
			{"down", func(p *standin.Proxy, client *Proxy) { p.Stop() }, 20 * time.Second},
			{"sends a malformed response", func(p *standin.Proxy, client *Proxy) { p.SetFault(standin.MalformedReply, 0) }, 20 * time.Second},
			{"refuses the tunnel", func(p *standin.Proxy, client *Proxy) { p.SetFault(standin.RefuseAll, 0) }, 20 * time.Second},
			{"accepts and sends nothing", func(p *standin.Proxy, client *Proxy) { p.SetFault(standin.NoReply, 0) }, 100 * time.Millisecond},
			{"responds after the timeout", func(p *standin.Proxy, client *Proxy) { p.SetFault(standin.NoFault, 2*time.Second) }, 100 * time.Millisecond},
			{"wrong password", func(p *standin.Proxy, client *Proxy) { client.Password = "guess" }, 20 * time.Second},
			{"no password", func(p *standin.Proxy, client *Proxy) { client.User = "" }, 20 * time.Second},
		} {
			t.Run(fmt.Sprint(c.name, " socks ", socks), func(t *testing.T) {
				p := startProxy(t, socks, "node")
				client := Proxy{Protocol: proxyProtocol(socks), Addr: p.Addr(), User: "node", Password: "node"}
				c.inject(p, &client)
				conn, err := client.Dial(context.Background(), &net.Dialer{Timeout: c.timeout}, addr)
				if !errors.Is(err, ErrProxy) || conn != nil {
					t.Errorf("connection %v, error %v, want ErrProxy alone", conn, err)
				}
			})
		}
		// A server that is down behind the proxy, and a canceled attempt, are errors too; the latter at once.
		p := startProxy(t, socks, "")
		client := Proxy{Protocol: proxyProtocol(socks), Addr: p.Addr()}
		if _, err := client.Dial(context.Background(), &net.Dialer{}, "127.0.0.1:1"); !errors.Is(err, ErrProxy) {
			t.Errorf("socks %v, server down: error %v, want ErrProxy", socks, err)
		}
		p.SetFault(standin.NoReply, 0)
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(20*time.Millisecond, cancel)
		if _, err := client.Dial(ctx, &net.Dialer{}, addr); !errors.Is(err, ErrProxy) {
			t.Errorf("socks %v, attempt canceled: error %v, want ErrProxy", socks, err)
		}
	}
}
