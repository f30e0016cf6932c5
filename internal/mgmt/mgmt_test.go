package mgmt

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"portstall/internal/lab/standin"
)

const testTimeout = 20 * time.Second

// stubNode is a Node with one web server, s-1, that records the calls it gets.
type stubNode struct {
	mu       sync.Mutex
	calls    []string
	readyErr error
}

func (n *stubNode) record(call string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls = append(n.calls, call)
}

func (n *stubNode) recordFor(call, id string) error {
	if id != "s-1" {
		return ErrUnknownServer
	}
	n.record(call + " " + id)
	return nil
}

func (n *stubNode) Ready() error                               { return n.readyErr }
func (n *stubNode) Disable(_ context.Context, id string) error { return n.recordFor("disable", id) }
func (n *stubNode) Enable(_ context.Context, id string) error  { return n.recordFor("enable", id) }
func (n *stubNode) Drain(context.Context) error                { n.record("drain"); return nil }
func (n *stubNode) Resume(context.Context) error               { return errors.New("shutting down") }

func startServer(t *testing.T, node *stubNode) string {
	t.Helper()
	ln, err := standin.Listen()
	if err != nil {
		t.Fatal(err)
	}
	s := Serve(ln, node, slog.New(slog.DiscardHandler))
	t.Cleanup(func() { s.Close() })
	return ln.Addr().String()
}

// callStatus makes one call, checks that the connection is closed after the reply, and returns the status.
func callStatus(t *testing.T, addr, method, path string) int {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
	io.WriteString(c, method+" "+path+" HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
	in := bufio.NewReader(c)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatalf("%s %s: %v", method, path, err)
	}
	io.Copy(io.Discard, resp.Body)
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("%s %s: the connection stays open after the reply", method, path)
	}
	return resp.StatusCode
}

// Each call reaches the node and returns its status; wrong methods, paths and web servers are rejected.
func TestEachCallReturnsItsStatus(t *testing.T) {
	t.Parallel()
	node := &stubNode{}
	addr := startServer(t, node)
	for _, c := range []struct {
		method, path string
		want         int
	}{
		{"GET", "/-/ready", 200},
		{"POST", "/-/web-servers/s-1/disable", 200},
		{"POST", "/-/web-servers/s-1/enable", 200},
		{"POST", "/-/web-servers/s-2/disable", 404},
		{"POST", "/-/web-servers/s-2/enable", 404},
		{"POST", "/-/web-servers//enable", 404},
		{"POST", "/-/drain", 200},
		{"POST", "/-/resume", 503},
		{"POST", "/-/ready", 405},
		{"GET", "/-/drain", 405},
		{"DELETE", "/-/web-servers/s-1/disable", 405},
		{"POST", "/-/web-servers/s-1", 404},
		{"POST", "/-/drain/", 404},
		{"POST", "//-/drain", 404},
		{"GET", "/ready", 404},
		{"GET", "/", 404},
	} {
		if got := callStatus(t, addr, c.method, c.path); got != c.want {
			t.Errorf("%s %s: %d, want %d", c.method, c.path, got, c.want)
		}
	}
	if want := []string{"disable s-1", "enable s-1", "drain"}; !slices.Equal(node.calls, want) {
		t.Errorf("the node got the calls %v, want %v", node.calls, want)
	}
}

// While the node is not ready, /-/ready returns 503.
func TestReadyReturns503WhileNotReady(t *testing.T) {
	t.Parallel()
	if got := callStatus(t, startServer(t, &stubNode{readyErr: errors.New("no server list yet")}), "GET", "/-/ready"); got != 503 {
		t.Errorf("status %d, want 503", got)
	}
}

// Any number of callers that send nothing, or only part of a call, must not block the call of another one.
func TestSilentCallersDoNotBlockOthers(t *testing.T) {
	t.Parallel()
	addr := startServer(t, &stubNode{})
	for i := range 3 * MaxConns {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			io.WriteString(c, "POST /-/drain HTTP/1.1\r\nHo")
		}
	}
	if got := callStatus(t, addr, "GET", "/-/ready"); got != 200 {
		t.Errorf("status %d, want 200", got)
	}
}

// A caller that sends nothing is disconnected, so that it does not hold a descriptor.
func TestSilentCallerIsDisconnected(t *testing.T) {
	t.Parallel()
	c, err := net.Dial("tcp", startServer(t, &stubNode{}))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.Copy(io.Discard, c); err != nil {
		t.Errorf("%v, want the connection closed", err)
	}
}
