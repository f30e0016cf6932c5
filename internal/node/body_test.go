package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"portstall/internal/flow"
	"portstall/internal/message"
)

// distinctBody returns a body of the given size in which no part equals another.
func distinctBody(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%d,", i)
	}
	return b.String()[:size]
}

// chunked returns text in chunks of different sizes, with an extension and a trailer.
func chunked(text string) string {
	var b strings.Builder
	for size := 1; text != ""; size = size*3%70001 + 1 {
		n := min(size, len(text))
		fmt.Fprintf(&b, "%x;part=x\r\n%s\r\n", n, text[:n])
		text = text[n:]
	}
	return b.String() + "0\r\nX-Sum: 7\r\n\r\n"
}

// waitBudgetReleased waits until everything that bodies held of the budget is released.
func waitBudgetReleased(t *testing.T, node *testNode) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	size := node.cfg.maxBodyBytes()
	if err := node.budget.AcquireResponse(ctx, size); err != nil {
		t.Errorf("part of the body budget is still held: %v", err)
		return
	}
	node.budget.ReleaseResponse(size)
}

// Guards against bodies that are changed or cut on their way, of each size and framing, in both directions.
func TestBodiesPassUnchanged(t *testing.T) {
	t.Parallel()
	for _, size := range []int{0, 1, flow.MaxBuffered - 1, flow.MaxBuffered, flow.MaxBuffered + 1, 3 << 20} {
		text := distinctBody(size)
		for name, answer := range map[string]func(c net.Conn) bool{
			"a length": func(c net.Conn) bool { return writeResponse(c, 200, "", text) },
			"chunks": func(c net.Conn) bool {
				_, err := io.WriteString(c, "HTTP/1.1 200\r\ntransfer-encoding: chunked\r\n\r\n"+chunked(text))
				return err == nil
			},
			"the connection's end": func(c net.Conn) bool {
				io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+text)
				return false
			},
		} {
			t.Run(fmt.Sprint(size, " by ", name), func(t *testing.T) {
				t.Parallel()
				checkPassesUnchanged(t, text, answer, name != "the connection's end")
			})
		}
	}
}

// checkPassesUnchanged sends text with a length and in chunks, in pieces, and expects it at the web server and back.
func checkPassesUnchanged(t *testing.T, text string, answer func(c net.Conn) bool, reuses bool) {
	server := newStubServer(t, func(c net.Conn, r *http.Request, _ int) bool {
		if got, _ := io.ReadAll(r.Body); string(got) != text {
			t.Errorf("the web server received %d bytes that differ", len(got))
		}
		return answer(c)
	})
	node := newTestNode(t, newStubDiscovery(t), settingsJSON, func(c *Config) { c.MemoryMB, c.slack = 32, testTimeout }, server.entry("s-1"))
	c := node.dial(t)
	sized, streamed := save("sized"), save("streamed")
	sized.body = text
	for _, request := range []string{sized.text(), strings.Replace(streamed.text(), "Content-Length: 8\r\n\r\n"+streamed.body,
		"Transfer-Encoding: chunked\r\n\r\n"+chunked(text), 1)} {
		go func() {
			for rest := request; len(rest) > 0; {
				n := min(len(rest), 50_021)
				if _, err := io.WriteString(c, rest[:n]); err != nil {
					t.Error(err)
					return
				}
				rest = rest[n:]
			}
		}()
		if resp, body := c.readResponse(); resp.StatusCode != 200 || body != text || resp.Close {
			t.Errorf("status %d with %d bytes, close %v; want 200 with the same body and no close", resp.StatusCode, len(body), resp.Close)
		}
	}
	if n := server.connections(); reuses && n != 1 {
		t.Errorf("%d connections, want 1 that is reused", n)
	}
	waitBudgetReleased(t, node)
}

// Guards against large responses that are held back or whose truncation is hidden: each part is passed on at once, and
// where the web server breaks off, the client can tell.
func TestLargeResponseIsStreamed(t *testing.T) {
	t.Parallel()
	beginning := distinctBody(100 << 10)
	for name, head := range map[string]string{
		"a length": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 2*len(beginning)),
		"chunks":   fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", 2*len(beginning)),
	} {
		proceed := make(chan struct{})
		server := newStubServer(t, func(c net.Conn, r *http.Request, _ int) bool {
			io.WriteString(c, head+beginning)
			<-proceed
			return false
		})
		node := newTestNode(t, newStubDiscovery(t), settingsJSON, nil, server.entry("s-1"))
		c := node.dial(t)
		c.send(quote("q").text())
		resp, err := http.ReadResponse(c.in, nil)
		must(t, err)
		got := make([]byte, len(beginning))
		if _, err := io.ReadFull(resp.Body, got); err != nil || string(got) != beginning {
			t.Errorf("%s: the part that was sent: %v", name, err)
		}
		close(proceed)
		if _, err := io.Copy(io.Discard, resp.Body); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%s: at the break %v, want the client to see that the body is incomplete", name, err)
		}
		waitBudgetReleased(t, node)
	}
}

// Guards against responses that are read on although their client has disconnected.
func TestClientDisconnectsDuringLargeResponse(t *testing.T) {
	t.Parallel()
	broken := make(chan struct{})
	server := newStubServer(t, func(c net.Conn, r *http.Request, _ int) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", message.MaxBody)
		for range message.MaxBody >> 10 {
			if _, err := io.WriteString(c, strings.Repeat("x", 1<<10)); err != nil {
				close(broken)
				return false
			}
		}
		return true
	})
	node := newTestNode(t, newStubDiscovery(t), settingsJSON, nil, server.entry("s-1"))
	c := node.dial(t)
	c.send(quote("q").text())
	if _, err := c.in.ReadByte(); err != nil {
		t.Fatal(err)
	}
	c.Close()
	select {
	case <-broken:
	case <-time.After(testTimeout):
		t.Error("the web server can go on sending")
	}
	waitBudgetReleased(t, node)
}

// Guards against retries with part of a body: a large body is not held once a part of it was sent, so that its request
// cannot be retried; a small one can.
func TestOnlyBufferedBodyIsRetried(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ size, status, sends int }{{flow.MaxBuffered, 200, 2}, {flow.MaxBuffered + 1, 500, 1}} {
		var sends atomic.Int64
		breaks := func(c net.Conn, r *http.Request, nth int) bool {
			return sends.Add(1) > 1 && respondOK(c, r, nth) // the first send ends without a response
		}
		serverA, serverB := newStubServer(t, breaks), newStubServer(t, breaks)
		node := newTestNode(t, newStubDiscovery(t), settingsJSON, nil, serverA.entry("s-1"), serverB.entry("s-2"))
		q := save("q")
		q.body = strings.Repeat("x", c.size)
		if resp, _ := node.dial(t).roundTrip(q); resp.StatusCode != c.status || int(sends.Load()) != c.sends {
			t.Errorf("a body of %d bytes: status %d after %d sends, want %d after %d", c.size, resp.StatusCode, sends.Load(), c.status, c.sends)
		}
		waitBudgetReleased(t, node)
	}
}

// Guards against refusals that wait for the body: they are sent at once, and the client can send the rest and read the
// response.
func TestRefusalBeforeBodyIsComplete(t *testing.T) {
	t.Parallel()
	node := newTestNode(t, newStubDiscovery(t), settingsJSON, nil)
	q := save("q")
	q.body = strings.Repeat("x", 1<<20)
	c := node.dial(t)
	c.send(q.text()[:1000])
	resp, _ := c.readResponse()
	if resp.StatusCode != 503 || !resp.Close || resp.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, close %v; want 503, a close and Retry-After", resp.StatusCode, resp.Close)
	}
	c.send(q.text()[1000:])
	if _, err := c.in.ReadByte(); err != io.EOF {
		t.Errorf("after the response: %v, want the connection closed", err)
	}
	waitBudgetReleased(t, node)
}

// Guards against a client that waits for 100 Continue in vain, and against one that disconnects during its body and
// leaves its request open.
func TestExpectContinueAndDisconnectDuringBody(t *testing.T) {
	t.Parallel()
	server := newStubServer(t, respondOK)
	node := newTestNode(t, newStubDiscovery(t), settingsJSON, nil, server.entry("s-1"))
	q := save("q")
	q.body = distinctBody(200 << 10)
	head, _, _ := strings.Cut(q.text(), "\r\n\r\n")
	c := node.dial(t)
	c.send("\r\n" + head + "\r\nExpect: 100-continue\r\n\r\n")
	if resp, err := http.ReadResponse(c.in, nil); err != nil || resp.StatusCode != 100 {
		t.Fatalf("%v, %v; want status 100", resp, err)
	}
	c.send(q.body)
	if resp, _ := c.readResponse(); resp.StatusCode != 200 {
		t.Errorf("the request after 100 Continue: status %d, want 200", resp.StatusCode)
	}
	q.id = "left"
	disconnecting := node.dial(t)
	disconnecting.send(q.text()[:100<<10])
	waitFor(t, "the unfinished request to be open", func() bool {
		node.core.Lock()
		defer node.core.Unlock()
		return node.core.OpenRequests()["left"] > 0
	})
	disconnecting.Close()
	waitFor(t, "the end of the unfinished request", func() bool { return node.openRequests() == 0 })
	if n := len(server.requests()); n != 1 {
		t.Errorf("the web server received %d complete requests, want 1", n)
	}
	waitBudgetReleased(t, node)
}
