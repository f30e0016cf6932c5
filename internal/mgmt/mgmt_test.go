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

const patience = 20 * time.Second

// fake is a node that knows one web server and notes what it is told.
type fake struct {
	mu    sync.Mutex
	calls []string
	ready error
}

func (f *fake) note(call string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, call)
}

func (f *fake) server(call, id string) error {
	if id != "s-1" {
		return ErrUnknown
	}
	f.note(call + " " + id)
	return nil
}

func (f *fake) Ready() error                               { return f.ready }
func (f *fake) Disable(_ context.Context, id string) error { return f.server("disable", id) }
func (f *fake) Enable(_ context.Context, id string) error  { return f.server("enable", id) }
func (f *fake) Drain(context.Context) error                { f.note("drain"); return nil }
func (f *fake) Resume(context.Context) error               { return errors.New("it leaves") }

func serve(t *testing.T, f *fake) string {
	t.Helper()
	ln, err := standin.Listen()
	if err != nil {
		t.Fatal(err)
	}
	s := Serve(ln, f, slog.New(slog.DiscardHandler))
	t.Cleanup(func() { s.Close() })
	return ln.Addr().String()
}

// call makes one call and wants the connection closed behind the answer.
func call(t *testing.T, addr, method, path string) int {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	io.WriteString(c, method+" "+path+" HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
	in := bufio.NewReader(c)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatalf("%s %s: %v", method, path, err)
	}
	io.Copy(io.Discard, resp.Body)
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("%s %s: the connection stays open", method, path)
	}
	return resp.StatusCode
}

func TestCalls(t *testing.T) {
	t.Parallel()
	f := &fake{}
	addr := serve(t, f)
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
		if got := call(t, addr, c.method, c.path); got != c.want {
			t.Errorf("%s %s: %d, want %d", c.method, c.path, got, c.want)
		}
	}
	if want := []string{"disable s-1", "enable s-1", "drain"}; !slices.Equal(f.calls, want) {
		t.Errorf("the node was told %v, want %v", f.calls, want)
	}
}

func TestNotReady(t *testing.T) {
	t.Parallel()
	if got := call(t, serve(t, &fake{ready: errors.New("no list yet")}), "GET", "/-/ready"); got != 503 {
		t.Errorf("answered %d, want 503", got)
	}
}

// Callers that send nothing, or half a call, hold up nobody, however many there are.
func TestSilentCallersMakeRoom(t *testing.T) {
	t.Parallel()
	addr := serve(t, &fake{})
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
	if got := call(t, addr, "GET", "/-/ready"); got != 200 {
		t.Errorf("answered %d", got)
	}
}

// A silent caller is sent away; it does not keep its descriptor.
func TestSilentCallerIsCut(t *testing.T) {
	t.Parallel()
	c, err := net.Dial("tcp", serve(t, &fake{}))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	if _, err := io.Copy(io.Discard, c); err != nil {
		t.Errorf("%v, want the connection closed", err)
	}
}
