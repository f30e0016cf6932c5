package node

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	fronthttp "portstall/internal/front/http"
	"portstall/internal/message"
)

// Guards against changes to a request or its response on the way, and against connections that are not kept.
func TestForwardsRequestAndResponse(t *testing.T) {
	t.Parallel()
	server := newStubServer(t, func(c net.Conn, r *http.Request, _ int) bool {
		return writeResponse(c, 200, "Content-Type: text/x-quote\r\nX-Load: {\"inflight\":7,\"queue\":2}\r\n", "a\x00b")
	})
	node := newTestNode(t, newStubDiscovery(t), settingsJSON, nil, server.entry("s-1"))
	c := node.dial(t)
	for i := range 5 {
		resp, body := c.roundTrip(save(fmt.Sprint("id-", i)))
		if resp.StatusCode != 200 || body != "a\x00b" || resp.Header.Get("Content-Type") != "text/x-quote" {
			t.Fatalf("response %d: %v with body %q", i, resp, body)
		}
	}
	got := server.requests()[0]
	body, _ := io.ReadAll(got.Body)
	if got.Method != "POST" || got.RequestURI != "/api?key=7f" || string(body) != "a window" ||
		got.Header.Get("X-Request-Id") != "id-0" || got.Header.Get("Idempotency-Key") != "k-id-0" {
		t.Errorf("the web server received %+v with body %q", got, body)
	}
	remaining, err := strconv.Atoi(strings.TrimSuffix(got.Header.Get("X-Deadline"), "u"))
	if err != nil || remaining <= 0 || remaining >= 50_000_000 {
		t.Errorf("the web server received X-Deadline %q, want less than the client's 50 s", got.Header.Get("X-Deadline"))
	}
	// A handshake costs a web server as much as part of a request: the connection must be kept.
	if n := server.connections(); n != 1 {
		t.Errorf("%d connections for 5 requests in a row, want 1", n)
	}
}

// holdFirst responds to all requests, to the first one only after release.
func holdFirst(release chan struct{}) func(net.Conn, *http.Request, int) bool {
	return func(c net.Conn, r *http.Request, nth int) bool {
		if nth == 1 {
			<-release
		}
		return respondOK(c, r, nth)
	}
}

// Guards against two requests with one id: while a request is open, another one with its id is rejected and the first
// goes on. Afterwards the id may be used again.
func TestDuplicateIDOfOpenRequestIsRejected(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	server := newStubServer(t, holdFirst(release))
	node := newTestNode(t, newStubDiscovery(t), settingsJSON, nil, server.entry("s-1"))
	first, second := node.dial(t), node.dial(t)
	first.send(save("twin").text())
	waitFor(t, "the first request at the web server", func() bool { return len(server.requests()) == 1 })
	if resp, _ := second.roundTrip(save("twin")); resp.StatusCode != 409 || !resp.Close {
		t.Errorf("a second request with the id: status %d, close %v; want 409 and a close", resp.StatusCode, resp.Close)
	}
	close(release)
	if resp, body := first.readResponse(); resp.StatusCode != 200 || body != "done twin" {
		t.Errorf("the first request: status %d, body %q", resp.StatusCode, body)
	}
	if n := len(server.requests()); n != 1 {
		t.Errorf("the web server received %d requests, want 1", n)
	}
	waitFor(t, "the end of all open requests", func() bool { return node.openRequests() == 0 })
	if resp, _ := node.dial(t).roundTrip(save("twin")); resp.StatusCode != 200 {
		t.Errorf("the id used again after the end: status %d, want 200", resp.StatusCode)
	}
}

// Guards against malformed requests that are forwarded: each must be answered and its connection closed, and nothing of
// it may reach a web server. A response to it would be lost, and a body could hide a second request.
func TestMalformedRequestsReachNoWebServer(t *testing.T) {
	t.Parallel()
	server := newStubServer(t, respondOK)
	node := newTestNode(t, newStubDiscovery(t), settingsJSON, nil, server.entry("s-1"))
	without := func(change func(*testRequest)) string {
		q := save("x")
		change(&q)
		return q.text()
	}
	with := func(header string) string {
		return strings.Replace(save("x").text(), "\r\nX-Class", "\r\n"+header+"\r\nX-Class", 1)
	}
	hidden := view("hidden").text()
	smuggle := "0\r\n\r\n" + hidden
	for _, c := range []struct {
		name string
		text string
		want int
	}{
		{"no id", without(func(q *testRequest) { q.id = "" }), 400},
		{"an id that is too long", without(func(q *testRequest) { q.id = strings.Repeat("x", 256+1) }), 400},
		{"two ids", with("X-Request-Id: y"), 400},
		{"no class", without(func(q *testRequest) { q.class = "" }), 400},
		{"a class that does not exist", without(func(q *testRequest) { q.class = "sav" }), 400},
		{"no deadline", without(func(q *testRequest) { q.deadline = "" }), 400},
		{"a deadline with no unit", without(func(q *testRequest) { q.deadline = "480" }), 400},
		{"a deadline in an unknown unit", without(func(q *testRequest) { q.deadline = "480s" }), 400},
		{"a deadline that is no number", without(func(q *testRequest) { q.deadline = "NaNm" }), 400},
		{"a deadline of zero", without(func(q *testRequest) { q.deadline = "0m" }), 400},
		{"a negative deadline", without(func(q *testRequest) { q.deadline = "-5m" }), 400},
		{"another method", without(func(q *testRequest) { q.method = "PUT" }), 405},
		{"a GET of a keyed class", without(func(q *testRequest) { q.method, q.body = "GET", "" }), 400},
		{"a POST of a safe class", testRequest{"POST", "view", "x", "", "", "50000m"}.text(), 400},
		{"a keyed class with no key", without(func(q *testRequest) { q.key = "" }), 400},
		{"an unsafe class with a key", without(func(q *testRequest) { q.class = "quote" }), 400},
		{"a GET with a body", strings.Replace(view("x").text(), "\r\n\r\n", "\r\nContent-Length: 3\r\n\r\nabc", 1), 400},
		{"no length", strings.Replace(save("x").text(), "Content-Length: 8\r\n", "", 1), 411},
		{"a negative length", strings.Replace(save("x").text(), "Length: 8", "Length: -8", 1), 400},
		{"a huge length", strings.Replace(save("x").text(), "Length: 8", "Length: 99999999999999999999", 1), 400},
		{"two lengths", with("Content-Length: 7"), 400},
		{"a body too large", strings.Replace(save("x").text(), "Length: 8", fmt.Sprint("Length: ", message.MaxBody+1), 1), 413},
		{"a body too large that is not sent", strings.Replace(save("x").text(), "Length: 8", "Length: 60000000", 1), 413},
		{"truncated", strings.TrimSuffix(save("x").text(), "ow"), 400},
		{"invalid chunks", "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: x\r\nX-Class: quote\r\nX-Deadline: 50000m\r\n" +
			"Transfer-Encoding: chunked\r\n\r\na door", 400},
		{"a length and chunks", fmt.Sprintf("POST /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: x\r\nX-Class: quote\r\n"+
			"X-Deadline: 50000m\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n%s", len(smuggle), smuggle), 400},
		{"chunked with a space before the colon", fmt.Sprintf("POST /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: x\r\nX-Class: quote\r\n"+
			"X-Deadline: 50000m\r\nContent-Length: %d\r\nTransfer-Encoding : chunked\r\n\r\n%s", len(smuggle), smuggle), 400},
		{"an unknown encoding", with("Transfer-Encoding: xchunked"), 400},
		{"another protocol", strings.Replace(save("x").text(), "HTTP/1.1", "HTTP/1.0", 1), 505},
		{"no host", strings.Replace(save("x").text(), "Host: backend.local\r\n", "", 1), 400},
		{"binary noise", "\x16\x03\x01\x02\x00\x01\r\n\r\n", 400},
		{"an endless head", "GET /api HTTP/1.1\r\n" + strings.Repeat("X-A: b\r\n", message.MaxHead), 431},
		{"an expectation", with("Expect: much"), 417},
	} {
		cl := node.dial(t)
		go func() { // the node may respond and close before it has read everything
			if c.name == "truncated" {
				io.WriteString(cl, c.text)
				cl.Conn.(*net.TCPConn).CloseWrite()
			} else {
				io.WriteString(cl, c.text+hidden)
			}
		}()
		if resp, _ := cl.readResponse(); resp.StatusCode != c.want || !resp.Close {
			t.Errorf("%s: status %d, close %v, want %d and a close", c.name, resp.StatusCode, resp.Close, c.want)
		}
		if n, err := cl.Read(make([]byte, 1)); n != 0 || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: %d more bytes, %v, want the connection closed", c.name, n, err)
		}
	}
	large := save("whole")
	large.body = strings.Repeat("x", 1<<20)
	if resp, _ := node.dial(t).roundTrip(large); resp.StatusCode != 200 {
		t.Errorf("a well-formed request with a large body: status %d, want 200", resp.StatusCode)
	}
	if got := server.requests(); len(got) != 1 || got[0].Header.Get("X-Request-Id") != "whole" {
		t.Errorf("the web server received %d requests, want only the well-formed one", len(got))
	}
}

// Guards against clients that hold connections: one that sends half a head, half a body or nothing is answered or
// disconnected within 3 s. A request that waits for its response is not, however long that takes, and neither is a
// connection between requests within 2 s.
func TestSlowClientsTimeOut(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	server := newStubServer(t, func(c net.Conn, r *http.Request, nth int) bool {
		if r.Header.Get("X-Request-Id") == "long" {
			<-release
		}
		return respondOK(c, r, nth)
	})
	node := newTestNode(t, newStubDiscovery(t), settingsJSON, withProductTimeouts, server.entry("s-1"))
	waitingClient, idle := node.dial(t), node.dial(t)
	waitingClient.send(quote("long").text())
	if resp, _ := idle.roundTrip(view("v")); resp.StatusCode != 200 {
		t.Fatalf("the request on the idle connection: status %d, want 200", resp.StatusCode)
	}
	for _, text := range []string{"", "POST /api HTTP/1.1\r\nHost", strings.TrimSuffix(save("x").text(), "w")} {
		c := node.dial(t)
		c.send(text)
		if text != "" {
			if resp, _ := c.readResponse(); resp.StatusCode != 408 {
				t.Errorf("%q: status %d, want 408", text, resp.StatusCode)
			}
		}
		if n, err := c.Read(make([]byte, 1)); n != 0 || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%q: %d bytes, %v, want the connection closed", text, n, err)
		}
	}
	if max(fronthttp.HeadTimeout, fronthttp.BodyStallTimeout) > 2800*time.Millisecond || fronthttp.IdleTimeout < 2*time.Second {
		t.Error("the time-outs of heads and bodies must be below 3 s, that of connections between requests at least 2 s")
	}
	close(release)
	if resp, body := waitingClient.readResponse(); resp.StatusCode != 200 || body != "done long" {
		t.Errorf("the request that waited: status %d, body %q; want 200", resp.StatusCode, body)
	}
}

// Guards against a false promise to the client: only if the attempt's outcome proves that the request did not run, or
// it is safe, may its response ask the client to retry.
func TestAttemptOutcomeDecidesResponse(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		answer func(c net.Conn, r *http.Request, nth int) bool
		unsafe int // status for a request that must not run twice
		safe   int // status for a safe request
	}{
		{"served", respondOK, 200, 200},
		{"an error", func(c net.Conn, _ *http.Request, _ int) bool { return writeResponse(c, 500, "", "") }, 500, 503},
		{"an unknown status", func(c net.Conn, _ *http.Request, _ int) bool { return writeResponse(c, 302, "Location: /x\r\n", "") },
			500, 503},
		{"rejected, not run", func(c net.Conn, _ *http.Request, _ int) bool { return writeResponse(c, 503, "X-Not-Run: 1\r\n", "") }, 503, 503},
		{"expired, not run", func(c net.Conn, _ *http.Request, _ int) bool { return writeResponse(c, 504, "X-Not-Run: 1\r\n", "") }, 503, 503},
		{"503 without X-Not-Run", func(c net.Conn, _ *http.Request, _ int) bool { return writeResponse(c, 503, "", "") }, 500, 503},
		{"504 without X-Not-Run", func(c net.Conn, _ *http.Request, _ int) bool { return writeResponse(c, 504, "", "") }, 500, 503},
		{"a reset after the request", func(net.Conn, *http.Request, int) bool { return false }, 500, 503},
		{"a truncated response", func(c net.Conn, _ *http.Request, _ int) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart")
			return false
		}, 500, 503},
		{"binary noise", func(c net.Conn, _ *http.Request, _ int) bool {
			io.WriteString(c, "\x16\x03\x01\r\n\r\n")
			return true
		}, 500, 503},
		{"two lengths", func(c net.Conn, _ *http.Request, _ int) bool {
			return writeResponse(c, 200, "Content-Length: 3\r\n", "a door")
		},
			500, 503},
		{"a length beyond the body", func(c net.Conn, _ *http.Request, _ int) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart")
			return true // the connection stays open
		}, 500, 503},
		{"no length", func(c net.Conn, _ *http.Request, _ int) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
			return true
		}, 500, 503},
		{"invalid chunks", func(c net.Conn, _ *http.Request, _ int) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na door")
			return true
		}, 500, 503},
		{"an incomplete head", func(c net.Conn, _ *http.Request, _ int) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nX-A: b\r\n")
			return true
		}, 500, 503},
		{"an endless head", func(c net.Conn, _ *http.Request, _ int) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n")
			_, err := io.WriteString(c, strings.Repeat("X-A: b\r\n", 2*message.MaxHead))
			return err == nil
		}, 500, 503},
		{"a huge announced length", func(c net.Conn, _ *http.Request, _ int) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\npart")
			return true
		}, 500, 503},
		{"informational responses first", func(c net.Conn, r *http.Request, n int) bool {
			io.WriteString(c, "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
			return respondOK(c, r, n)
		}, 200, 200},
		{"a malformed load report", func(c net.Conn, r *http.Request, _ int) bool {
			return writeResponse(c, 200, "X-Load: {\"inflight\":NaN\r\n", "")
		}, 200, 200},
		{"chunks", func(c net.Conn, _ *http.Request, _ int) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\na door\r\n0\r\n\r\n")
			return true
		}, 200, 200},
		{"a response that is too large", func(c net.Conn, _ *http.Request, _ int) bool {
			_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\npart", message.MaxBody+1)
			return err == nil
		}, 500, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for _, q := range []struct {
				testRequest
				want int
			}{{quote("q"), c.unsafe}, {view("v"), c.safe}} {
				server := newStubServer(t, c.answer)
				node := newTestNode(t, newStubDiscovery(t), settingsJSON, withProductTimeouts, server.entry("s-1"))
				resp, _ := node.dial(t).roundTrip(q.testRequest)
				if resp.StatusCode != q.want {
					t.Errorf("%s: status %d, want %d", q.class, resp.StatusCode, q.want)
				}
				if after := resp.Header.Get("Retry-After"); (after != "") != (resp.StatusCode == 503) {
					t.Errorf("%s: status %d with Retry-After %q, want it with 503 only", q.class, resp.StatusCode, after)
				} else if s, err := strconv.ParseFloat(after, 64); after != "" && (err != nil || s <= 0 || s > 2) {
					t.Errorf("%s: Retry-After %q, want seconds up to the settings' 2", q.class, after)
				}
				if n := len(server.requests()); n != 1 {
					t.Errorf("%s: the web server received %d requests, want 1", q.class, n)
				}
			}
		})
	}
}

// Guards against refusals passed on to the client: a request that one web server refuses is retried at another, and the
// client receives only that response.
func TestRetryAtSecondServerAfterRefusal(t *testing.T) {
	t.Parallel()
	full := newStubServer(t, func(c net.Conn, _ *http.Request, _ int) bool { return writeResponse(c, 503, "X-Not-Run: 1\r\n", "") })
	other := newStubServer(t, respondOK)
	node := newTestNode(t, newStubDiscovery(t), settingsJSON, nil, full.entry("s-1"), other.entry("s-2"))
	c := node.dial(t)
	for i := 0; i < 50 && len(full.requests()) == 0; i++ {
		if resp, body := c.roundTrip(quote(fmt.Sprint(i))); resp.StatusCode != 200 || body != fmt.Sprint("done ", i) {
			t.Fatalf("request %d: status %d, body %q", i, resp.StatusCode, body)
		}
	}
	if len(full.requests()) == 0 {
		t.Error("no request reached the server that refuses")
	}
}

// Guards against an unsafe request reported as safe to repeat when its web server never responds: it may still run.
func TestSilentServerFailsUnsafeRequest(t *testing.T) {
	t.Parallel()
	server := newStubServer(t, func(c net.Conn, _ *http.Request, _ int) bool {
		io.Copy(io.Discard, c)
		return false
	})
	node := newTestNode(t, newStubDiscovery(t), settingsJSON, nil, server.entry("s-1"))
	for timeout := 300; ; timeout *= 2 {
		q := quote(fmt.Sprint("q", timeout))
		q.deadline = fmt.Sprint(timeout, "m")
		resp, _ := node.dial(t).roundTrip(q)
		if resp.StatusCode == 503 && len(server.requests()) == 0 && timeout < 10_000 {
			continue // its time had passed before it was sent: this machine was too slow
		}
		if resp.StatusCode != 500 {
			t.Errorf("status %d, want 500 as the request may still run", resp.StatusCode)
		}
		return
	}
}

// Guards against work for a client that has disconnected: its attempt is canceled.
func TestClientDisconnectCancelsAttempt(t *testing.T) {
	t.Parallel()
	closed := make(chan struct{})
	server := newStubServer(t, func(c net.Conn, _ *http.Request, _ int) bool {
		io.Copy(io.Discard, c) // until the node closes the connection
		close(closed)
		return false
	})
	node := newTestNode(t, newStubDiscovery(t), settingsJSON, nil, server.entry("s-1"))
	c := node.dial(t)
	c.send(save("x").text())
	waitFor(t, "the request at the web server", func() bool { return len(server.requests()) == 1 })
	c.Close()
	select {
	case <-closed:
	case <-time.After(testTimeout):
		t.Fatal("the attempt was not canceled")
	}
	waitFor(t, "the end of all open requests", func() bool { return node.openRequests() == 0 })
}
