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

// pattern is a body of the given size in which no part looks like another.
func distinctBody(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%d,", i)
	}
	return b.String()[:size]
}

// chunked is text in chunks of unlike sizes, with an extension and a trailer.
func chunked(text string) string {
	var b strings.Builder
	for size := 1; text != ""; size = size*3%70001 + 1 {
		n := min(size, len(text))
		fmt.Fprintf(&b, "%x;part=x\r\n%s\r\n", n, text[:n])
		text = text[n:]
	}
	return b.String() + "0\r\nX-Sum: 7\r\n\r\n"
}

// allBack waits until everything that bodies held is given back.
func waitBudgetReleased(t *testing.T, node *rig) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	size := node.cfg.bodyBytes()
	if err := node.budget.Answer(ctx, size); err != nil {
		t.Errorf("bytes of bodies are still held: %v", err)
		return
	}
	node.budget.AnswerDone(size)
}

// Bodies of every size pass unchanged both ways, however they are framed and cut.
func TestBodiesPassUnchanged(t *testing.T) {
	t.Parallel()
	for _, size := range []int{0, 1, flow.Keep - 1, flow.Keep, flow.Keep + 1, 3 << 20} {
		text := distinctBody(size)
		for name, answer := range map[string]func(c net.Conn) bool{
			"a length": func(c net.Conn) bool { return reply(c, 200, "", text) },
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

// passUnchanged sends text with its length told and in chunks, in pieces, and wants it at the backend and back.
func checkPassesUnchanged(t *testing.T, text string, answer func(c net.Conn) bool, keeps bool) {
	server := newBox(t, func(c net.Conn, r *http.Request, _ int) bool {
		if got, _ := io.ReadAll(r.Body); string(got) != text {
			t.Errorf("the backend got %d other bytes", len(got))
		}
		return answer(c)
	})
	node := newRig(t, newRegistry(t), settingsJSON, func(c *Config) { c.MemoryMB, c.slack = 32, patience }, server.entry("s-1"))
	c := node.dial(t)
	told, untold := save("told"), save("untold")
	told.body = text
	for _, whole := range []string{told.text(), strings.Replace(untold.text(), "Content-Length: 8\r\n\r\n"+untold.body,
		"Transfer-Encoding: chunked\r\n\r\n"+chunked(text), 1)} {
		go func() {
			for rest := whole; len(rest) > 0; {
				n := min(len(rest), 50_021)
				if _, err := io.WriteString(c, rest[:n]); err != nil {
					t.Error(err)
					return
				}
				rest = rest[n:]
			}
		}()
		if resp, body := c.answer(); resp.StatusCode != 200 || body != text || resp.Close {
			t.Errorf("%d with %d bytes, close %v", resp.StatusCode, len(body), resp.Close)
		}
	}
	if n := server.connections(); keeps && n != 1 {
		t.Errorf("%d connections, want the first kept", n)
	}
	waitBudgetReleased(t, node)
}

// What a backend has given of a large answer is passed on at once; where it then breaks off, the client can tell.
func TestLargeResponseIsStreamed(t *testing.T) {
	t.Parallel()
	part := distinctBody(100 << 10)
	for name, head := range map[string]string{
		"a length": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 2*len(part)),
		"chunks":   fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", 2*len(part)),
	} {
		goOn := make(chan struct{})
		server := newBox(t, func(c net.Conn, r *http.Request, _ int) bool {
			io.WriteString(c, head+part)
			<-goOn
			return false
		})
		node := newRig(t, newRegistry(t), settingsJSON, nil, server.entry("s-1"))
		c := node.dial(t)
		c.send(quote("q").text())
		resp, err := http.ReadResponse(c.in, nil)
		must(t, err)
		got := make([]byte, len(part))
		if _, err := io.ReadFull(resp.Body, got); err != nil || string(got) != part {
			t.Errorf("%s: the part that has come: %v", name, err)
		}
		close(goOn)
		if _, err := io.Copy(io.Discard, resp.Body); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%s: at the break %v, want the client to see that it is not whole", name, err)
		}
		waitBudgetReleased(t, node)
	}
}

// Nobody asks for the rest of an answer once the client has left.
func TestClientDisconnectsDuringLargeResponse(t *testing.T) {
	t.Parallel()
	broken := make(chan struct{})
	server := newBox(t, func(c net.Conn, r *http.Request, _ int) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", message.Max)
		for range message.Max >> 10 {
			if _, err := io.WriteString(c, strings.Repeat("x", 1<<10)); err != nil {
				close(broken)
				return false
			}
		}
		return true
	})
	node := newRig(t, newRegistry(t), settingsJSON, nil, server.entry("s-1"))
	c := node.dial(t)
	c.send(quote("q").text())
	if _, err := c.in.ReadByte(); err != nil {
		t.Fatal(err)
	}
	c.Close()
	select {
	case <-broken:
	case <-time.After(patience):
		t.Error("the backend goes on sending")
	}
	waitBudgetReleased(t, node)
}

// A large body is gone once a part of it was sent: the request can't be tried again. A small one can.
func TestOnlyBufferedBodyIsRetried(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ size, status, sends int }{{flow.Keep, 200, 2}, {flow.Keep + 1, 500, 1}} {
		var sends atomic.Int64
		breaks := func(c net.Conn, r *http.Request, nth int) bool {
			return sends.Add(1) > 1 && served(c, r, nth) // the first send breaks off
		}
		serverA, serverB := newBox(t, breaks), newBox(t, breaks)
		node := newRig(t, newRegistry(t), settingsJSON, nil, serverA.entry("s-1"), serverB.entry("s-2"))
		q := save("q")
		q.body = strings.Repeat("x", c.size)
		if resp, _ := node.dial(t).ask(q); resp.StatusCode != c.status || int(sends.Load()) != c.sends {
			t.Errorf("%d bytes: %d after %d sends, want %d after %d", c.size, resp.StatusCode, sends.Load(), c.status, c.sends)
		}
		waitBudgetReleased(t, node)
	}
}

// A request that is given up has its answer at once, though its body is still to come; the client can send the rest
// and read it.
func TestRefusalBeforeBodyIsComplete(t *testing.T) {
	t.Parallel()
	node := newRig(t, newRegistry(t), settingsJSON, nil)
	q := save("q")
	q.body = strings.Repeat("x", 1<<20)
	c := node.dial(t)
	c.send(q.text()[:1000])
	resp, _ := c.answer()
	if resp.StatusCode != 503 || !resp.Close || resp.Header.Get("Retry-After") == "" {
		t.Errorf("answered %d, close %v", resp.StatusCode, resp.Close)
	}
	c.send(q.text()[1000:])
	if _, err := c.in.ReadByte(); err != io.EOF {
		t.Errorf("behind the answer: %v, want the connection closed", err)
	}
	waitBudgetReleased(t, node)
}

// A client that waits to be told to go on is told so; one that leaves amid its body harms nobody.
func TestExpectContinueAndDisconnectDuringBody(t *testing.T) {
	t.Parallel()
	server := newBox(t, served)
	node := newRig(t, newRegistry(t), settingsJSON, nil, server.entry("s-1"))
	q := save("q")
	q.body = distinctBody(200 << 10)
	head, _, _ := strings.Cut(q.text(), "\r\n\r\n")
	c := node.dial(t)
	c.send("\r\n" + head + "\r\nExpect: 100-continue\r\n\r\n")
	if resp, err := http.ReadResponse(c.in, nil); err != nil || resp.StatusCode != 100 {
		t.Fatalf("%v, %v; want to be told to go on", resp, err)
	}
	c.send(q.body)
	if resp, _ := c.answer(); resp.StatusCode != 200 {
		t.Errorf("answered %d", resp.StatusCode)
	}
	q.id = "left"
	leaver := node.dial(t)
	leaver.send(q.text()[:100<<10])
	wait(t, "the request", func() bool {
		node.core.Lock()
		defer node.core.Unlock()
		return node.core.Open()["left"] > 0
	})
	leaver.Close()
	wait(t, "its end", func() bool {
		node.core.Lock()
		defer node.core.Unlock()
		return len(node.core.Open()) == 0
	})
	if n := len(server.requests()); n != 1 {
		t.Errorf("the backend got %d whole requests, want 1", n)
	}
	waitBudgetReleased(t, node)
}
