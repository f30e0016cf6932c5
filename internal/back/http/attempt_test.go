package http

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	stdhttp "net/http"
	"strings"
	"testing"
	"time"

	"portstall/internal/back"
	"portstall/internal/core"
	"portstall/internal/flow"
	"portstall/internal/lab/standin"
	"portstall/internal/message"
	"portstall/policy"
)

// testTimeout is how long an attempt or a stub server waits for what must happen.
const testTimeout = 20 * time.Second

// testBudget is how many bytes all bodies of a test may hold.
const testBudget = 1 << 20

// systemClock is a core.Clock.
type systemClock struct{}

func (systemClock) Now() time.Duration                  { return time.Duration(time.Now().UnixNano()) }
func (systemClock) AfterFunc(d time.Duration, f func()) { time.AfterFunc(d, f) }

// newTestCore returns a core without web servers.
func newTestCore(t *testing.T, o core.Options) *core.Core {
	t.Helper()
	c, err := core.New(policy.Settings{Nodes: 1, MaxAttempts: 1, Classes: []policy.Class{{Name: "view", Deadline: time.Second, Value: 1}},
		ColdFor: time.Second, ColdShare: 0.5, FallFor: time.Second, FallFactor: 4}, 1, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// newTestSender returns a Sender with room for a few large responses, and a web server on which respond answers each
// request; without respond nothing listens at its address.
func newTestSender(t *testing.T, respond func(c net.Conn, r *stdhttp.Request)) (*Sender, *back.Server) {
	t.Helper()
	c := newTestCore(t, core.Options{Clock: systemClock{}})
	pool := back.NewPool(10, testTimeout, 0)
	t.Cleanup(pool.Stop)
	s := &Sender{Core: c, Pool: pool, Budget: flow.NewBudget(testBudget), LoadReports: func() bool { return false },
		Log: slog.New(slog.DiscardHandler)}
	if respond == nil {
		return s, &back.Server{ID: "w1", Gate: back.NewGate(false)}
	}
	ln, err := standin.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				in := bufio.NewReader(conn)
				for {
					r, err := stdhttp.ReadRequest(in)
					if err != nil {
						return
					}
					io.Copy(io.Discard, r.Body)
					respond(conn, r)
				}
			}()
		}
	}()
	return s, &back.Server{ID: "w1", Addr: ln.Addr().String(), Gate: back.NewGate(false)}
}

// newPipedSender returns a Sender whose server is the far end of a pipe, for tests in virtual time. The pipe carries one
// attempt.
func newPipedSender(t *testing.T) (s *Sender, server *back.Server, near, far net.Conn) {
	t.Helper()
	s, server = newTestSender(t, nil)
	near, far = net.Pipe()
	server.Dial = func(context.Context, *net.Dialer, string) (net.Conn, error) { return near, nil }
	return s, server, near, far
}

// attempt sends a request with the given method and id.
func attempt(t *testing.T, s *Sender, server *back.Server, method, id string, timeout time.Duration) core.Result {
	t.Helper()
	return attemptUpload(t, s, server, method, id, newUpload(t, strings.NewReader(""), 0), timeout)
}

// attemptUpload sends a request with a body.
func attemptUpload(t *testing.T, s *Sender, server *back.Server, method, id string, body *flow.Upload, timeout time.Duration) core.Result {
	t.Helper()
	r, err := stdhttp.NewRequest(method, "http://backend.local/api", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Class", "view")
	request := &core.Request{ID: id, Class: "view", Message: r, Body: body}
	return s.Attempt(context.Background(), &core.Attempt{Request: request, Server: server, Timeout: timeout})
}

// newUpload returns the body of a request, whose rest Pump reads. A negative length means that it is not announced.
func newUpload(t *testing.T, body io.Reader, length int64) *flow.Upload {
	t.Helper()
	upload, err := flow.NewUpload(body, length)
	if err != nil {
		t.Fatal(err)
	}
	return upload
}

// A second copy of a rejection that crosses the next attempt on its connection does not prove that this attempt never
// ran. Requests that may run twice without harm keep the rejection.
func TestSecondCopyOfRejectionProvesNothing(t *testing.T) {
	const rejection = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	for _, c := range []struct {
		method string
		want   policy.Outcome
	}{{stdhttp.MethodPost, policy.Failed}, {stdhttp.MethodGet, policy.QueueFull}} {
		s, server := newTestSender(t, func(conn net.Conn, r *stdhttp.Request) { io.WriteString(conn, rejection) })
		first := attempt(t, s, server, c.method, "first", testTimeout)
		if open, idle := s.Pool.Counts(); first.Outcome != policy.QueueFull || open != 1 || idle != 1 {
			t.Errorf("%s: outcome %d, %d connections of which %d are idle; want %d, and one that is idle", c.method, first.Outcome, open, idle, policy.QueueFull)
		}
		if second := attempt(t, s, server, c.method, "second", testTimeout); second.Outcome != c.want {
			t.Errorf("%s: outcome %d behind a rejection, want %d", c.method, second.Outcome, c.want)
		}
	}
}

// The request's own response may come long after a second copy, the first one too: the attempt waits for it instead of
// serving the copy or sending the request again.
func TestOwnResponseIsAwaitedBehindSecondCopy(t *testing.T) {
	for _, before := range []int{1, minDistinct} {
		t.Run(fmt.Sprint(before, " before"), func(t *testing.T) { checkOwnResponseIsAwaited(t, before) })
	}
}

// checkOwnResponseIsAwaited sends requests, and then one that meets a second copy.
func checkOwnResponseIsAwaited(t *testing.T, before int) {
	t.Helper()
	respond := func(conn net.Conn, id string) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
	}
	previous := ""
	s, server := newTestSender(t, func(conn net.Conn, r *stdhttp.Request) {
		id := r.Header.Get("X-Request-Id")
		if id == "last" {
			respond(conn, previous)
			time.Sleep(4 * minSecondWait)
		}
		respond(conn, id)
		previous = id
	})
	for i := range before {
		attempt(t, s, server, stdhttp.MethodPost, fmt.Sprint("r", i), testTimeout)
	}
	res := attempt(t, s, server, stdhttp.MethodPost, "last", testTimeout)
	if payload, ok := res.Payload.(*message.Response); !ok || string(payload.Body) != "last" {
		t.Errorf("outcome %d, %+v; want the request's own response", res.Outcome, res.Payload)
	}
}
