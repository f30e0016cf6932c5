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

	"portstall/internal/lab/standin"
	"portstall/internal/upgrade"
	"portstall/internal/wire"
)

// TestMain lets more tests than cores run side by side, as they mostly wait.
func TestMain(m *testing.M) {
	flag.Set("test.parallel", "12")
	os.Exit(m.Run())
}

// patience is how long a test waits for what must come: far longer than it takes on a busy machine.
const patience = 20 * time.Second

const settingsJSON = `{"balancers":1,"zone":"north","discovery":"push","grades":[
 {"name":"view","aim_s":30,"deadline_s":60,"gain":1,"effect":"free","group":"all"},
 {"name":"save","aim_s":30,"deadline_s":60,"gain":10,"effect":"guarded","group":"zone","repeat_window_s":30},
 {"name":"quote","aim_s":30,"deadline_s":60,"gain":2,"effect":"single_shot","group":"all"}],
 "policy_limits":{"cancel":true,"max_attempts":3,"retry_after":true,"max_retry_after_s":2,"conn_idle_s":60,
  "connect_timeout_s":5},
 "report":{"how":"piggyback","names":["concurrent","depth"]},
 "invariants":{"drain_grace_s":2,"cold_s":8,"cold_share":0.3,"fall_s":1.5,"overload_factor":4,"must_ask_in_s":10}}`

// box is a backend whose behaviour a test decides. It records each request whose last byte has come.
type box struct {
	ln      net.Listener
	respond func(c net.Conn, r *http.Request, nth int) bool // false: close the connection

	closed atomic.Int64 // connections that it closed

	mu           sync.Mutex
	got          []*http.Request
	conns        []net.Conn
	closedByNode chan struct{} // one for each connection that the node closed
}

func newBox(t testing.TB, answer func(c net.Conn, r *http.Request, nth int) bool) *box {
	t.Helper()
	ln, err := standin.Listen()
	if err != nil {
		t.Fatal(err)
	}
	s := &box{ln: ln, respond: answer, closedByNode: make(chan struct{}, 1000)}
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
		over := make(chan struct{})
		go func() {
			wg.Wait()
			close(over)
		}()
		// One that waits for its test, which has failed before it let go, must not keep the failure back.
		select {
		case <-over:
		case <-time.After(patience):
			t.Error("a web server still waits for its test")
		}
	})
	return s
}

func (s *box) serveConn(c net.Conn) {
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
		s.got = append(s.got, r)
		nth := len(s.got)
		s.mu.Unlock()
		if !s.respond(c, r, nth) {
			return
		}
	}
}

func (s *box) requests() []*http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*http.Request(nil), s.got...)
}

func (s *box) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *box) entry(id string) listed {
	return listed{ID: id, Addr: s.ln.Addr().String(), Zone: "north", Kind: "k", State: "Ready"}
}

// reply writes an answer; headers are lines that end in \r\n.
func reply(c net.Conn, status int, headers, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), headers,
		len(body), body)
	return err == nil
}

func served(c net.Conn, r *http.Request, _ int) bool {
	return reply(c, 200, "", "done "+r.Header.Get("X-Request-Id"))
}

// newSlowBox is a backend that serves all at once but the request "slow", which waits until hold is closed.
func newSlowBox(t testing.TB, hold <-chan bool) *box {
	t.Helper()
	return newBox(t, func(c net.Conn, r *http.Request, nth int) bool {
		if r.Header.Get("X-Request-Id") == "slow" {
			<-hold
		}
		return served(c, r, nth)
	})
}

// registry is a discovery whose lists a test hands out one by one.
type registry struct {
	addr      string
	mu        sync.Mutex
	urls      []string
	next      chan registryAnswer
	abandoned chan struct{} // one for each call that the node gave up
}

type registryAnswer struct {
	status int
	list   list
}

func newRegistry(t testing.TB) *registry {
	t.Helper()
	ln, err := standin.Listen()
	if err != nil {
		t.Fatal(err)
	}
	d := &registry{addr: ln.Addr().String(), next: make(chan registryAnswer, 100), abandoned: make(chan struct{}, 100)}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		d.urls = append(d.urls, r.URL.String())
		d.mu.Unlock()
		select {
		case a := <-d.next:
			w.WriteHeader(a.status)
			json.NewEncoder(w).Encode(a.list)
		case <-r.Context().Done():
			d.abandoned <- struct{}{}
		}
	})}
	done := make(chan struct{})
	go func() {
		defer close(done)
		srv.Serve(ln)
	}()
	t.Cleanup(func() {
		srv.Close()
		<-done
	})
	return d
}

// leaves waits until the node has given up a call that was open.
func (d *registry) leaves(t testing.TB) {
	t.Helper()
	select {
	case <-d.abandoned:
	case <-time.After(patience):
		t.Fatal("no call to discovery was given up")
	}
}

func (d *registry) calls() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.urls...)
}

// rig is a node that serves on loopback.
type rig struct {
	*node
	addr   string
	leave  context.CancelFunc // what SIGTERM does
	exited chan error
}

func newRig(t testing.TB, discoveryStub *registry, settings string, change func(*Config), known ...listed) *rig {
	t.Helper()
	return newHeir(t, nil, discoveryStub, settings, change, known...)
}

// newHeir is a node that takes over from another one.
func newHeir(t testing.TB, old *estate, discoveryStub *registry, settings string, change func(*Config), known ...listed) *rig {
	t.Helper()
	set, err := wire.DecodeSettings([]byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	cfg := Config{Name: "n0", Discovery: discoveryStub.addr, Seed: 1, Settings: set, Known: list{Version: 1, Full: true, Servers: known}, slack: patience}
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
	result := &rig{node: n, addr: ln.Addr().String(), leave: leave, exited: make(chan error, 1)}
	go func() { result.exited <- n.serve(ctx, ln) }()
	t.Cleanup(func() {
		leave()
		select {
		case <-result.exited:
		case <-time.After(patience):
			t.Error("the node did not end")
		}
		stopped := make(chan struct{})
		go func() {
			stop()
			close(stopped)
		}()
		receive(t, "the end of what the node has under way", stopped)
	})
	return result
}

// meeting is a predecessor's estate, and where the processes of its node meet.
type handoverOffer struct {
	*estate
	path string
}

// meetAt makes a place for processes of one node to meet. Its path is short, as a socket's must be.
func meetAt(t testing.TB) string {
	t.Helper()
	dir, err := os.MkdirTemp("", "ps")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	return filepath.Join(dir, "s")
}

// meet is what a successor does first: it asks for the state, and is one node with r from then on.
func (n *rig) meet(t testing.TB) handoverOffer {
	t.Helper()
	path := socketPath(n.cfg)
	if path == "" {
		path = meetAt(t)
		l, err := upgrade.Listen(path, n, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		n.pair.mu.Lock()
		n.pair.token, err = upgrade.OpenToken(path + "-token")
		if err != nil {
			t.Fatal(err)
		}
		n.pair.Lock()
		n.pair.mu.Unlock()
		go n.retryHandover() // as takeOver has it: a token that is let go a moment behind the notice of its holder's end is had later
	}
	wait(t, "the predecessor", func() bool { return n.Ready() == nil })
	est, _ := findPredecessor(path, slog.New(slog.DiscardHandler))
	if est == nil {
		t.Fatal("nothing is handed over")
	}
	return handoverOffer{est, path}
}

// succeed starts the node that takes over from whom the state is of, and returns once it serves.
func startSuccessor(t testing.TB, m handoverOffer, discoveryStub *registry, settings string) *rig {
	t.Helper()
	node := newHeir(t, m.estate, discoveryStub, settings, func(c *Config) {
		unhurried(c)
		c.meet = m.path
	})
	wait(t, "the successor", func() bool { return node.Ready() == nil })
	return node
}

// unhurried gives a node's clients, servers and other processes as much time as a test has. It is what newRig gives where a test does not
// say otherwise; those that hang on it name it.
func unhurried(c *Config) { c.slack = patience }

// hurried takes that back: for tests of the product's own limits.
func hurried(c *Config) { c.slack = 0 }

// longWatch lets a call to discovery wait for as long as a test does, however short the product's own limit is: for tests that count calls.
func longWatch(wait, _ time.Duration) (time.Duration, time.Duration) { return wait, patience }

type call struct {
	method, class, id, key, body, deadline string
}

func (c call) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s /api?key=7f HTTP/1.1\r\nHost: backend.local\r\n", c.method)
	for _, h := range []struct{ name, value string }{{"X-Request-Id", c.id}, {"X-Class", c.class}, {"X-Deadline", c.deadline},
		{"Idempotency-Key", c.key}} {
		if h.value != "" {
			fmt.Fprintf(&b, "%s: %s\r\n", h.name, h.value)
		}
	}
	if c.method != "GET" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.body))
	}
	return b.String() + "\r\n" + c.body
}

func view(id string) call { return call{"GET", "view", id, "", "", "50000m"} }
func save(id string) call { return call{"POST", "save", id, "k-" + id, "a window", "50000m"} }
func quote(id string) call {
	return call{"POST", "quote", id, "", "a door", "50000m"}
}

// client is one connection to a node.
type client struct {
	t testing.TB
	net.Conn
	in *bufio.Reader
}

func (n *rig) dial(t testing.TB) *client {
	t.Helper()
	c, err := net.Dial("tcp", n.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	return &client{t, c, bufio.NewReader(c)}
}

// send and answer have a test's patience each, however long ago the connection was made.
func (c *client) send(text string) {
	c.t.Helper()
	c.SetDeadline(time.Now().Add(patience))
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

func (c *client) answer() (*http.Response, string) {
	c.t.Helper()
	c.SetDeadline(time.Now().Add(patience))
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.t.Fatalf("no answer: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatalf("a broken answer: %v", err)
	}
	return resp, string(body)
}

func (c *client) ask(q call) (*http.Response, string) {
	c.t.Helper()
	c.send(q.text())
	return c.answer()
}

// receive is what comes on a channel, or its end; the test fails if that takes too long.
func receive[T any](t testing.TB, what string, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(patience):
		t.Fatalf("%s: did not come", what)
		panic("")
	}
}

// wait returns once ok does, and fails the test if that takes too long.
func wait(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: did not come", what)
		}
	}
}
