package follow

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"portstall/internal/lab/standin"
	"portstall/internal/resource"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 30 * time.Second

// testClock advances only by advance. The duration of each timer that is set is sent on added.
type testClock struct {
	mu     sync.Mutex
	now    time.Duration
	timers []testTimer
	added  chan time.Duration
}

// testTimer is a timer of a testClock.
type testTimer struct {
	at time.Duration
	f  func()
}

func newTestClock() *testClock {
	return &testClock{now: time.Duration(1_764_640_000) * time.Second, added: make(chan time.Duration, 10_000)}
}

func (c *testClock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *testClock) AfterFunc(d time.Duration, f func()) {
	c.mu.Lock()
	c.timers = append(c.timers, testTimer{c.now + d, f})
	c.mu.Unlock()
	c.added <- d
}

// advance advances the time and fires the timers that are due.
func (c *testClock) advance(d time.Duration) {
	c.mu.Lock()
	c.now += d
	var due []func()
	pending := c.timers[:0]
	for _, t := range c.timers {
		if t.at <= c.now {
			due = append(due, t.f)
		} else {
			pending = append(pending, t)
		}
	}
	c.timers = pending
	c.mu.Unlock()
	for _, f := range due {
		f()
	}
}

// awaitTimer returns once a timer of exactly this duration is set.
func (c *testClock) awaitTimer(t *testing.T, d time.Duration) {
	t.Helper()
	for end := time.After(testTimeout); ; {
		select {
		case got := <-c.added:
			if got == d {
				return
			}
		case <-end:
			t.Fatalf("no timer for %v is set", d)
		}
	}
}

// serveRaw responds to the first request of each connection with what write writes, and closes the connection after that. It returns
// the address.
func serveRaw(t *testing.T, write func(c net.Conn, r *http.Request)) string {
	t.Helper()
	ln, err := standin.Listen()
	if err != nil {
		t.Fatal(err)
	}
	var open sync.WaitGroup
	open.Add(1)
	go func() {
		defer open.Done()
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			open.Add(1)
			go func() {
				defer open.Done()
				defer c.Close()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					write(c, r)
				}
			}()
		}
	}()
	t.Cleanup(func() {
		ln.Close()
		open.Wait()
	})
	return ln.Addr().String()
}

// untilClosed returns once the peer has closed the connection.
func untilClosed(c net.Conn) { io.Copy(io.Discard, c) }

func gzipped(text string) string {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	io.WriteString(w, text)
	w.Close()
	return b.String()
}

// okResponse returns a response with a body and its length.
func okResponse(body string, headers ...string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s\r\n%s", len(body), strings.Join(append(headers, ""), "\r\n"), body)
}

// deltaJSON is a delta with an unknown field.
const deltaJSON = `{"from":"5.1","to":"5.2","sum":"00000000000000ab","later":{"x":[1]},"put":[{"kind":"contract","name":"a","spec":{"rate":1}}],` +
	`"gone":[{"kind":"route","name":"h:1"}]}`

// newClient returns a client and its status.
func newClient(t *testing.T, clock Clock) (*Client, *Status) {
	t.Helper()
	s := &Status{}
	c := NewClient("n0", "node", clock, s)
	t.Cleanup(c.Close)
	return c, s
}

var query = Query{Since: resource.Version{Epoch: 5, Number: 1}, Checksum: 0xff, Wait: 12 * time.Second, Timeout: 14 * time.Second}

// A call sends its query and decodes the response, plain or compressed. Bytes are counted as they are on the wire.
func TestGetSendsQueryAndDecodesResponse(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ name, response string }{
		{"plain", okResponse(deltaJSON)},
		{"gzip", okResponse(gzipped(deltaJSON), "Content-Encoding: gzip")},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(deltaJSON), deltaJSON)},
		{"interim response", "HTTP/1.1 103 Early Hints\r\n\r\n" + okResponse(deltaJSON)},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			requests := make(chan *http.Request, 1)
			addr := serveRaw(t, func(conn net.Conn, r *http.Request) {
				requests <- r
				io.WriteString(conn, c.response)
			})
			client, status := newClient(t, newTestClock())
			q := query
			q.Refused, q.Reason = resource.Version{Epoch: 5, Number: 2}, "contract \"a\": rate: "+strings.Repeat("é", resource.MaxReason)
			d, err := client.Get(t.Context(), addr, &q)
			if err != nil {
				t.Fatal(err)
			}
			want := resource.Delta{From: resource.Version{Epoch: 5, Number: 1}, To: resource.Version{Epoch: 5, Number: 2}, Checksum: 0xab,
				Put:     []resource.Resource{{Key: resource.Key{Kind: resource.Contract, Name: "a"}, Spec: json.RawMessage(`{"rate":1}`)}},
				Removed: []resource.Key{{Kind: resource.Route, Name: "h:1"}}}
			if got, want := fmt.Sprintf("%+v", *d), fmt.Sprintf("%+v", want); got != want {
				t.Errorf("decoded %s, want %s", got, want)
			}
			r := await(t, requests, "the call")
			v := r.URL.Query()
			for name, want := range map[string]string{"since": "5.1", "sum": "00000000000000ff", "timeout_ms": "12000", "name": "n0", "role": "node", "refused": "5.2"} {
				if v.Get(name) != want {
					t.Errorf("called with %s=%q, want %q", name, v.Get(name), want)
				}
			}
			if reason := v.Get("why"); len(reason) > resource.MaxReason || !strings.HasPrefix(reason, `contract "a": rate: é`) || strings.ContainsRune(reason, '\uFFFD') {
				t.Errorf("called with why=%q", reason)
			}
			if r.Method != "GET" || r.URL.Path != "/v1/resources" || r.Header.Get("Accept-Encoding") != "gzip" {
				t.Errorf("called %s %s %v", r.Method, r.URL.Path, r.Header)
			}
			f := status.Read()
			if f.Calls != 1 || f.Responses != 1 || f.BytesIn != int64(len(c.response)) || f.BytesOut < 100 {
				t.Errorf("counted %+v, the response has %d bytes", f, len(c.response))
			}
		})
	}
}

// The first call names no version, which requests a snapshot.
func TestFirstGetNamesNoVersion(t *testing.T) {
	t.Parallel()
	queries := make(chan string, 1)
	addr := serveRaw(t, func(conn net.Conn, r *http.Request) {
		queries <- r.URL.RawQuery
		io.WriteString(conn, okResponse(deltaJSON))
	})
	client, _ := newClient(t, newTestClock())
	if _, err := client.Get(t.Context(), addr, &Query{Timeout: time.Second}); err != nil {
		t.Fatal(err)
	}
	if got := await(t, queries, "the call"); got != "name=n0&role=node" {
		t.Errorf("called with %q", got)
	}
}

// Each kind of invalid response ends the call with its kind of failure. All of these end at once, without waiting for a deadline.
func TestGetReportsFailureKind(t *testing.T) {
	t.Parallel()
	long := `{"from":"5.1","to":"5.2","sum":"00000000000000ab","put":[{"kind":"contract","name":"` + strings.Repeat("a", resource.MaxResponse) + `"}]}`
	many := `{"from":"5.1","to":"5.2","sum":"00000000000000ab","gone":[` + strings.Repeat("{},", resource.MaxResources) + `{}]}`
	for _, c := range []struct {
		name, response string
		kind           FailureKind
		text           string
	}{
		{"closed without a response", "", Unreachable, "EOF"},
		{"behind", "HTTP/1.1 409 Conflict\r\nContent-Length: 5\r\n\r\n5.0\r\n", Behind, "409 Conflict: 5.0"},
		{"full", "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n", Full, "503"},
		{"bad request", "HTTP/1.1 400 Bad Request\r\nContent-Length: 4\r\n\r\nname", OtherStatus, "400 Bad Request: name"},
		{"redirected", "HTTP/1.1 302 Found\r\nLocation: http://127.0.0.1:1/\r\nContent-Length: 0\r\n\r\n", OtherStatus, "302"},
		{"not HTTP", "hello\r\n\r\n", Malformed, "malformed"},
		{"head too long", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("a", 2*maxHead) + "\r\n\r\n", Malformed, "exceeded"},
		{"cut off in the body", okResponse(deltaJSON)[:len(okResponse(deltaJSON))-20], Broken, "unexpected EOF"},
		{"cut off in a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nff\r\n" + deltaJSON[:50], Broken, "unexpected EOF"},
		{"cut off after the JSON", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(deltaJSON)+1, deltaJSON), Broken, "unexpected EOF"},
		{"JSON that ends early", okResponse(deltaJSON[:len(deltaJSON)-30]), Malformed, "unexpected"},
		{"JSON that ends between tokens", okResponse(`{"from":"5.1"`), Malformed, "unexpected EOF"},
		{"not JSON", okResponse("<html>"), Malformed, "invalid character"},
		{"empty body", okResponse(""), Malformed, "EOF"},
		{"null", okResponse("null"), Malformed, `, want "{"`},
		{"a list", okResponse("[]"), Malformed, `, want "{"`},
		{"no from", okResponse(`{"to":"5.2","sum":"0000000000000000"}`), Malformed, "from: missing"},
		{"no to", okResponse(`{"from":"5.2","sum":"0000000000000000"}`), Malformed, "to: missing"},
		{"no sum", okResponse(`{"from":"5.1","to":"5.2"}`), Malformed, "sum: missing"},
		{"a field twice", okResponse(`{"from":"5.1","from":"0.0","to":"5.2","sum":"0000000000000000"}`), Malformed, "from: occurs twice"},
		{"an invalid version", okResponse(`{"from":"5","to":"5.2","sum":"0000000000000000"}`), Malformed, `from: "5" is no version`},
		{"a put of another type", okResponse(`{"from":"5.1","to":"5.2","sum":"0000000000000000","put":{}}`), Malformed, "put: "},
		{"an element of another type", okResponse(`{"from":"5.1","to":"5.2","sum":"0000000000000000","put":[{"kind":1}]}`), Malformed, "put: [0]: "},
		{"trailing data", okResponse(deltaJSON + "{}"), Malformed, "trailing data after the response"},
		{"too many resources", okResponse(many), Malformed, "gone: over 100000 elements"},
		{"too long", okResponse(long), TooLong, "over 16777216 bytes"},
		{"too long after decompression", okResponse(gzipped(long), "Content-Encoding: gzip"), TooLong, "over 16777216 bytes"},
		{"not gzip", okResponse(deltaJSON, "Content-Encoding: gzip"), Malformed, "gzip"},
		{"gzip that ends early", okResponse(gzipped(deltaJSON)[:60], "Content-Encoding: gzip"), Malformed, "unexpected EOF"},
		{"gzip that ends early after the JSON", okResponse(gzipped(deltaJSON)[:len(gzipped(deltaJSON))-4], "Content-Encoding: gzip"), Malformed, "EOF"},
		{"gzip with a wrong checksum", okResponse(gzipped(deltaJSON)[:len(gzipped(deltaJSON))-8]+"12345678", "Content-Encoding: gzip"), Malformed, "checksum"},
		{"gzip with trailing data", okResponse(gzipped(deltaJSON)+"x", "Content-Encoding: gzip"), Malformed, "EOF"},
		{"another encoding", okResponse(deltaJSON, "Content-Encoding: br"), Malformed, `"br" was not requested`},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			addr := serveRaw(t, func(conn net.Conn, _ *http.Request) { io.WriteString(conn, c.response) })
			client, status := newClient(t, newTestClock())
			d, err := client.Get(t.Context(), addr, &query)
			var call *CallError
			if d != nil || !errors.As(err, &call) {
				t.Fatalf("%v, %v", d, err)
			}
			if call.Kind != c.kind || !strings.Contains(err.Error(), c.text) || call.Source != addr || len(err.Error()) > 600 {
				t.Errorf("%v: %v, want %s: %s", call.Kind, err, c.kind, c.text)
			}
			if f := status.Read(); f.Calls != 1 || f.Responses != 0 {
				t.Errorf("counted %+v", f)
			}
		})
	}
	t.Run("no listener", func(t *testing.T) {
		addr, err := standin.FreeAddr()
		if err != nil {
			t.Fatal(err)
		}
		client, _ := newClient(t, newTestClock())
		_, err = client.Get(t.Context(), addr, &query)
		var call *CallError
		if !errors.As(err, &call) || call.Kind != Unreachable {
			t.Errorf("%v", err)
		}
	})
}

// A response that does not begin is given up after the call's timeout, and one that does not end at a time after its first byte. The
// connection is closed then.
func TestGetTimesOut(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		start   string
		timeout time.Duration // the timer that ends it
		kind    FailureKind
	}{
		{"silent", "", query.Timeout, Silent},
		{"a head that does not end", "HTTP/1.1 200 OK\r\nX: ", headTimeout, Broken},
		{"an interim response only", "HTTP/1.1 103 Early Hints\r\n\r\n", headTimeout, Broken},
		{"a body that does not end", okResponse(deltaJSON)[:200], resource.BodyTimeout(int64(len(deltaJSON))), Broken},
		{"chunks that do not end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n", resource.BodyTimeout(-1), Broken},
		{"an error's body that does not end", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 100\r\n\r\nso", resource.BodyTimeout(100), Broken},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			called, closed := make(chan struct{}), make(chan struct{})
			addr := serveRaw(t, func(conn net.Conn, _ *http.Request) {
				defer close(closed)
				close(called)
				io.WriteString(conn, c.start)
				untilClosed(conn)
			})
			clock := newTestClock()
			client, _ := newClient(t, clock)
			got := make(chan error, 1)
			go func() {
				_, err := client.Get(t.Context(), addr, &query)
				got <- err
			}()
			await(t, called, "the call")
			clock.awaitTimer(t, c.timeout)
			clock.advance(c.timeout - 1)
			select {
			case err := <-got:
				t.Fatalf("gave up early: %v", err)
			default:
			}
			clock.advance(1)
			var call *CallError
			if err := await(t, got, "the call's end"); !errors.As(err, &call) || call.Kind != c.kind {
				t.Errorf("%v, want %s", err, c.kind)
			}
			await(t, closed, "the connection's end")
		})
	}
}

// A body that arrives slowly does not extend the timeout, which counts from the head.
func TestGetTimesOutOnSlowBody(t *testing.T) {
	t.Parallel()
	clock := newTestClock()
	addr := serveRaw(t, func(conn net.Conn, _ *http.Request) {
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n")
		clock.awaitTimer(t, resource.BodyTimeout(-1))
		for range 10 {
			if _, err := io.WriteString(conn, "1\r\n \r\n"); err != nil {
				return
			}
			clock.advance(resource.BodyTimeout(-1) / 10)
		}
		untilClosed(conn)
	})
	client, _ := newClient(t, clock)
	_, err := client.Get(t.Context(), addr, &query)
	var call *CallError
	if !errors.As(err, &call) || call.Kind != Broken {
		t.Errorf("%v", err)
	}
}

// Calls share a connection. A call ends with the caller's context.
func TestGetReusesConnectionAndStopsWithContext(t *testing.T) {
	t.Parallel()
	ln, err := standin.Listen()
	if err != nil {
		t.Fatal(err)
	}
	var connections sync.Map
	held := make(chan struct{}, 1)
	srv := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Query().Get("timeout_ms") == "1000" {
				held <- struct{}{}
				<-r.Context().Done()
				return
			}
			io.WriteString(w, deltaJSON)
		}),
		ConnState: func(c net.Conn, s http.ConnState) { connections.Store(c.RemoteAddr().String(), true) },
	}
	go srv.Serve(ln)
	defer srv.Close()
	client, status := newClient(t, newTestClock())
	for range 20 {
		if _, err := client.Get(t.Context(), ln.Addr().String(), &query); err != nil {
			t.Fatal(err)
		}
	}
	n := 0
	connections.Range(func(any, any) bool { n++; return true })
	if n != 1 {
		t.Errorf("%d connections for 20 calls", n)
	}
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-held
		cancel()
	}()
	if _, err := client.Get(ctx, ln.Addr().String(), &Query{Wait: time.Second, Timeout: time.Hour}); !errors.Is(err, context.Canceled) {
		t.Errorf("%v", err)
	}
	t.Logf("%d bytes in and %d out a call", status.Read().BytesIn/20, status.Read().BytesOut/21)
}

// BenchmarkGet measures a call with an immediate response.
func BenchmarkGet(b *testing.B) {
	ln, err := standin.Listen()
	if err != nil {
		b.Fatal(err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, deltaJSON) })}
	go srv.Serve(ln)
	defer srv.Close()
	c := NewClient("n0", "node", SystemClock(), &Status{})
	defer c.Close()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Get(b.Context(), ln.Addr().String(), &query); err != nil {
			b.Fatal(err)
		}
	}
}
