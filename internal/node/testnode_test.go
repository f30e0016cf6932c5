package node

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"portstall/internal/endpoints"
	"portstall/internal/lab/standin"
	"portstall/internal/upgrade"
	"portstall/internal/wire"
)

// TestMain lets more tests than cores run in parallel, as they mostly wait.
func TestMain(m *testing.M) {
	flag.Set("test.parallel", "12")
	os.Exit(m.Run())
}

// testTimeout is how long a test waits for what must happen: far longer than it takes on a busy machine.
const testTimeout = 20 * time.Second

// settingsJSON are settings with one class of each effect.
const settingsJSON = `{"balancers":1,"zone":"north","discovery":"push","grades":[
 {"name":"view","aim_s":30,"deadline_s":60,"gain":1,"effect":"free","group":"all"},
 {"name":"save","aim_s":30,"deadline_s":60,"gain":10,"effect":"guarded","group":"zone","repeat_window_s":30},
 {"name":"quote","aim_s":30,"deadline_s":60,"gain":2,"effect":"single_shot","group":"all"}],
 "policy_limits":{"cancel":true,"max_attempts":3,"retry_after":true,"max_retry_after_s":2,"conn_idle_s":60,
  "connect_timeout_s":5},
 "report":{"how":"piggyback","names":["concurrent","depth"]},
 "invariants":{"drain_grace_s":2,"cold_s":8,"cold_share":0.3,"fall_s":1.5,"overload_factor":4,"must_ask_in_s":10}}`

// stubServer is a web server whose responses a test decides. It records each request whose last byte has arrived.
type stubServer struct {
	ln net.Listener
	// Writes the response to the nth request; false closes the connection.
	respond func(c net.Conn, r *http.Request, nth int) bool

	closed atomic.Int64 // connections that the server closed

	mu           sync.Mutex
	received     []*http.Request
	conns        []net.Conn
	closedByNode chan struct{} // one value for each connection that the node closed
}

// newStubServer starts a web server that responds by the given function.
func newStubServer(t testing.TB, answer func(c net.Conn, r *http.Request, nth int) bool) *stubServer {
	t.Helper()
	ln, err := standin.Listen()
	if err != nil {
		t.Fatal(err)
	}
	s := &stubServer{ln: ln, respond: answer, closedByNode: make(chan struct{}, 1000)}
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, c)
			s.mu.Unlock()
			wg.Add(1)
			go func() {
				defer wg.Done()
				s.serveConn(c)
			}()
		}
	}()
	t.Cleanup(func() {
		ln.Close()
		s.mu.Lock()
		for _, c := range s.conns {
			c.Close()
		}
		s.mu.Unlock()
		done := make(chan struct{})
		go func() {
			wg.Wait()
			close(done)
		}()
		// A handler that waits for its test, which has failed before it released the handler, must not hide the
		// failure.
		select {
		case <-done:
		case <-time.After(testTimeout):
			t.Error("a handler of a stub server still waits for its test")
		}
	})
	return s
}

// serveConn serves the requests of one connection.
func (s *stubServer) serveConn(c net.Conn) {
	defer func() {
		c.Close()
		s.closed.Add(1)
	}()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			s.closedByNode <- struct{}{}
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		s.mu.Lock()
		s.received = append(s.received, r)
		nth := len(s.received)
		s.mu.Unlock()
		if !s.respond(c, r, nth) {
			return
		}
	}
}

// requests returns the requests received so far.
func (s *stubServer) requests() []*http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*http.Request(nil), s.received...)
}

// connections returns the number of connections accepted so far.
func (s *stubServer) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// entry returns the server's entry in a server list, as ready.
func (s *stubServer) entry(id string) endpoints.Endpoint {
	return endpoints.Endpoint{ID: id, Addr: s.ln.Addr().String(), Zone: "north", Kind: "k", State: "Ready"}
}

// writeResponse writes a response; headers are lines that end in \r\n.
func writeResponse(c net.Conn, status int, headers, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), headers,
		len(body), body)
	return err == nil
}

// respondOK responds to any request with 200 and a body made from its id.
func respondOK(c net.Conn, r *http.Request, _ int) bool {
	return writeResponse(c, 200, "", "done "+r.Header.Get("X-Request-Id"))
}

// newPromptServer returns a web server that responds to everything at once.
func newPromptServer(t *testing.T) *stubServer { return newStubServer(t, respondOK) }

// newHangingServer returns a web server that responds to nothing until the test ends.
func newHangingServer(t *testing.T) *stubServer {
	t.Helper()
	release := make(chan struct{})
	server := newStubServer(t, func(net.Conn, *http.Request, int) bool {
		<-release
		return false
	})
	t.Cleanup(func() { close(release) })
	return server
}

// newSlowServer returns a web server that responds to everything at once except the request "slow", which waits until
// hold is closed.
func newSlowServer(t testing.TB, hold <-chan bool) *stubServer {
	t.Helper()
	return newStubServer(t, func(c net.Conn, r *http.Request, nth int) bool {
		if r.Header.Get("X-Request-Id") == "slow" {
			<-hold
		}
		return respondOK(c, r, nth)
	})
}

// stubDiscovery is a discovery whose responses a test supplies one by one.
type stubDiscovery struct {
	addr      string
	mu        sync.Mutex
	urls      []string
	responses chan discoveryResponse
	abandoned chan struct{} // one value for each call that the node gave up
}

// discoveryResponse is one response of a stubDiscovery.
type discoveryResponse struct {
	status int
	list   endpoints.List
}

// newStubDiscovery starts a discovery that holds each call until a test supplies its response.
func newStubDiscovery(t testing.TB) *stubDiscovery {
	t.Helper()
	ln, err := standin.Listen()
	if err != nil {
		t.Fatal(err)
	}
	d := &stubDiscovery{addr: ln.Addr().String(), responses: make(chan discoveryResponse, 100), abandoned: make(chan struct{}, 100)}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		d.urls = append(d.urls, r.URL.String())
		d.mu.Unlock()
		select {
		case response := <-d.responses:
			w.WriteHeader(response.status)
			json.NewEncoder(w).Encode(response.list)
		case <-r.Context().Done():
			d.abandoned <- struct{}{}
		}
	})}
	done := make(chan struct{})
	go func() {
		defer close(done)
		server.Serve(ln)
	}()
	t.Cleanup(func() {
		server.Close()
		<-done
	})
	return d
}

// waitAbandoned waits until the node has given up an open call.
func (d *stubDiscovery) waitAbandoned(t testing.TB) {
	t.Helper()
	select {
	case <-d.abandoned:
	case <-time.After(testTimeout):
		t.Fatal("the node did not give up its call to discovery")
	}
}

// calls returns the URLs of all calls so far.
func (d *stubDiscovery) calls() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.urls...)
}

// testNode is a node that serves on loopback.
type testNode struct {
	*node
	addr      string
	terminate context.CancelFunc // does what SIGTERM does
	exited    chan error
}

// newTestNode starts a node. Its limits on waiting are those of withTestTimeouts unless change sets others.
func newTestNode(t testing.TB, discoveryStub *stubDiscovery, settings string, change func(*Config), known ...endpoints.Endpoint) *testNode {
	t.Helper()
	return newSuccessorNode(t, nil, discoveryStub, settings, change, known...)
}

// newSuccessorNode starts a node with the state of a predecessor; old may be nil.
func newSuccessorNode(t testing.TB, old *handedState, discoveryStub *stubDiscovery, settings string, change func(*Config), known ...endpoints.Endpoint) *testNode {
	t.Helper()
	set, err := wire.DecodeSettings([]byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	cfg := Config{Name: "n0", Discovery: discoveryStub.addr, Seed: 1, Settings: set, Known: endpoints.List{Version: 1, Full: true, Servers: known}, slack: testTimeout}
	if change != nil {
		change(&cfg)
	}
	ln, err := standin.Listen()
	if err != nil {
		t.Fatal(err)
	}
	n, stop, err := start(cfg, old, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, leave := context.WithCancel(context.Background())
	result := &testNode{node: n, addr: ln.Addr().String(), terminate: leave, exited: make(chan error, 1)}
	go func() { result.exited <- n.serve(ctx, ln) }()
	t.Cleanup(func() {
		leave()
		select {
		case <-result.exited:
		case <-time.After(testTimeout):
			t.Error("the node did not stop after SIGTERM")
		}
		stopped := make(chan struct{})
		go func() {
			stop()
			close(stopped)
		}()
		receive(t, "the end of the node's background work", stopped)
	})
	return result
}

// handoverOffer is a predecessor's state, and the path of the socket where the processes of its node meet.
type handoverOffer struct {
	*handedState
	path string
}

// newSocketPath returns a path for the socket where processes of one node meet. It is short, as a socket's path must
// be.
func newSocketPath(t testing.TB) string {
	t.Helper()
	dir, err := os.MkdirTemp("", "ps")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	return filepath.Join(dir, "s")
}

// requestHandover does what a successor does first: it asks for the state, and is one node with n from then on.
func (n *testNode) requestHandover(t testing.TB) handoverOffer {
	t.Helper()
	path := socketPath(n.cfg)
	if path == "" {
		path = newSocketPath(t)
		l, err := upgrade.Listen(path, n, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		n.handover.mu.Lock()
		n.handover.token, err = upgrade.OpenToken(path + "-token")
		if err != nil {
			t.Fatal(err)
		}
		n.handover.LockToken()
		n.handover.mu.Unlock()
		go n.retryHandover() // as acquireClients does: a token that is released shortly after the notice of its holder's end is acquired by a later retry
	}
	waitFor(t, "the predecessor to be ready", func() bool { return n.Ready() == nil })
	old, _ := findPredecessor(path, slog.New(slog.DiscardHandler))
	if old == nil {
		t.Fatal("no process hands over its state")
	}
	return handoverOffer{old, path}
}

// startSuccessor starts the node that takes over with the given state, and returns once it serves.
func startSuccessor(t testing.TB, offer handoverOffer, discoveryStub *stubDiscovery, settings string) *testNode {
	t.Helper()
	node := newSuccessorNode(t, offer.handedState, discoveryStub, settings, func(c *Config) {
		withTestTimeouts(c)
		c.upgradeSocket = offer.path
	})
	waitFor(t, "the successor to be ready", func() bool { return node.Ready() == nil })
	return node
}

// withTestTimeouts gives a node's clients, servers and other processes as much time as a test has. newTestNode does so
// where a test sets nothing else; tests that depend on it name it.
func withTestTimeouts(c *Config) { c.slack = testTimeout }

// withProductTimeouts keeps the product's own limits, for tests of those limits.
func withProductTimeouts(c *Config) { c.slack = 0 }

// longPollLimits lets a call to discovery wait as long as a test does, however short the product's own limit is: for
// tests that count calls.
func longPollLimits(wait, _ time.Duration) (time.Duration, time.Duration) { return wait, testTimeout }

// testRequest is a request of a client. The fields are the values of its headers, and its body.
type testRequest struct {
	method, class, id, key, body, deadline string
}

// text returns the request as it is sent.
func (r testRequest) text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s /api?key=7f HTTP/1.1\r\nHost: backend.local\r\n", r.method)
	for _, h := range []struct{ name, value string }{{"X-Request-Id", r.id}, {"X-Class", r.class}, {"X-Deadline", r.deadline},
		{"Idempotency-Key", r.key}} {
		if h.value != "" {
			fmt.Fprintf(&text, "%s: %s\r\n", h.name, h.value)
		}
	}
	if r.method != "GET" {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(r.body))
	}
	return text.String() + "\r\n" + r.body
}

// view, save and quote return requests of the settings' classes: safe, keyed and unsafe.
func view(id string) testRequest { return testRequest{"GET", "view", id, "", "", "50000m"} }
func save(id string) testRequest {
	return testRequest{"POST", "save", id, "k-" + id, "a window", "50000m"}
}
func quote(id string) testRequest {
	return testRequest{"POST", "quote", id, "", "a door", "50000m"}
}

// client is one client's connection to a node.
type client struct {
	t testing.TB
	net.Conn
	in *bufio.Reader
}

// dial opens a client's connection to the node.
func (n *testNode) dial(t testing.TB) *client {
	t.Helper()
	c, err := net.Dial("tcp", n.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return &client{t, c, bufio.NewReader(c)}
}

// send sends text. send and readResponse have testTimeout each, however long ago the connection was made.
func (c *client) send(text string) {
	c.t.Helper()
	c.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

// readResponse reads one response with its body.
func (c *client) readResponse() (*http.Response, string) {
	c.t.Helper()
	c.SetDeadline(time.Now().Add(testTimeout))
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.t.Fatalf("no response: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatalf("the response's body broke off: %v", err)
	}
	return resp, string(body)
}

// roundTrip sends a request and reads its response.
func (c *client) roundTrip(q testRequest) (*http.Response, string) {
	c.t.Helper()
	c.send(q.text())
	return c.readResponse()
}

// receive returns the next value of a channel, or the zero value if it is closed; the test fails if that takes too
// long.
func receive[T any](t testing.TB, what string, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatalf("%s: did not happen within the test's time-out", what)
		panic("")
	}
}

// waitFor returns once ok does, and fails the test if that takes too long.
func waitFor(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: did not happen within the test's time-out", what)
		}
	}
}
