package node

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"portstall/internal/flow"
)

// uploadText returns a request with a large body as text: with its length, or in chunks.
func uploadText(id string, chunked bool) string {
	q := save(id)
	q.body = strings.Repeat("x", 4*flow.MaxBuffered)
	if !chunked {
		return q.text()
	}
	head, body, _ := strings.Cut(q.text(), "\r\n\r\n")
	head = strings.Replace(head, fmt.Sprintf("Content-Length: %d", len(body)), "Transfer-Encoding: chunked", 1)
	return fmt.Sprintf("%s\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
}

// beginUpload sends the first half of a large request, and returns once an attempt has begun. finish sends the rest.
func (n *testNode) beginUpload(t *testing.T, send func(string), chunked bool) (finish func()) {
	t.Helper()
	text := uploadText("late", chunked)
	send(text[:len(text)/2])
	waitFor(t, "the attempt", func() bool {
		open, idle := n.pool.Counts()
		return open > idle
	})
	return func() { send(text[len(text)/2:]) }
}

// terminateAndStopAccepting does what SIGTERM does, and returns once the node accepts no more connections: the responses to
// requests that are complete from then on have a latest time.
func (n *testNode) terminateAndStopAccepting(t *testing.T) {
	t.Helper()
	n.terminate()
	waitFor(t, "the end of accepting", func() bool {
		_, bound := n.lifecycle.finalResponseTimeout()
		return bound
	})
}

// Guards against large requests that SIGKILL leaves without a response. One whose head came before SIGTERM, and whose
// last byte comes only once no new connections are accepted, gets its response before SIGKILL: the web server's where
// that responds in time, else a final one of the node's. One that is still incomplete then is refused at once, and
// nothing waits for its client's deadline.
func TestLateUploadsAreAnsweredBeforeSIGKILL(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name      string
		newServer func(*testing.T) *stubServer
		completed bool // the last byte comes
		settings  string
		status    int
	}{
		{"served in time", newPromptServer, true, settingsJSON, http.StatusOK},
		{"server hangs", newHangingServer, true, shortSettings(), http.StatusInternalServerError},
		{"incomplete", newPromptServer, false, shortSettings(), http.StatusServiceUnavailable},
	} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, chunked %v", c.name, chunked), func(t *testing.T) {
				t.Parallel()
				server := c.newServer(t)
				node := newTestNode(t, newStubDiscovery(t), c.settings, withTestTimeouts, server.entry("w1"))
				cl := node.connectClient(t)
				finish := node.beginUpload(t, cl.send, chunked)
				node.terminateAndStopAccepting(t)
				if c.completed {
					finish()
				}
				resp, _ := cl.readResponse()
				if c.status == http.StatusOK && node.core.MustRespond() {
					c.status = resp.StatusCode // this machine was too slow for a response in time
				}
				if resp.StatusCode != c.status || !resp.Close {
					t.Errorf("status %d, close %v; want %d and a close", resp.StatusCode, resp.Close, c.status)
				}
				if retryAfter := resp.Header.Get("Retry-After"); (retryAfter != "") != (c.status == http.StatusServiceUnavailable) {
					t.Errorf("Retry-After %q in a response with status %d", retryAfter, c.status)
				}
			})
		}
	}
}

// A request that waits for the body budget once no new connections are accepted is refused before SIGKILL.
func TestWaitForBodyBudgetEndsBeforeSIGKILL(t *testing.T) {
	t.Parallel()
	server := newStubServer(t, respondOK)
	node := newTestNode(t, newStubDiscovery(t), shortSettings(), withTestTimeouts, server.entry("w1"))
	defer node.fillBodyBudget(t)()
	cl := node.connectClient(t)
	q := save("waits")
	q.body = strings.Repeat("x", flow.MaxBuffered/2)
	text := q.text()
	cl.send(text[:30])
	waitFor(t, "the node to read the first part", func() bool { return flow.PeekInput(cl.end) == flow.NoInput })
	node.terminateAndStopAccepting(t)
	cl.send(text[30:])
	if resp, _ := cl.readResponse(); resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q; want 503 and a time", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
}

// A late large request goes by the settings in force at SIGTERM: shorter deadlines of a reload before it leave less time,
// longer ones leave more.
func TestLateUploadGoesBySettingsAtSIGTERM(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name, before, atSIGTERM string
		status                  int
	}{
		{"shorter", settingsJSON, shortSettings(), http.StatusInternalServerError},
		{"longer", shortSettings(), settingsJSON, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			released := make(chan struct{})
			release := sync.OnceFunc(func() { close(released) })
			defer release()
			server := newStubServer(t, func(conn net.Conn, r *http.Request, nth int) bool {
				<-released
				return respondOK(conn, r, nth)
			})
			node := newTestNode(t, newStubDiscovery(t), c.before, withTestTimeouts, server.entry("w1"))
			cl := node.connectClient(t)
			finish := node.beginUpload(t, cl.send, false)
			node.reloadSettings(t, c.atSIGTERM)
			terminated := time.Now()
			node.terminateAndStopAccepting(t)
			finish()
			if c.status == http.StatusOK {
				waitFor(t, "the request", func() bool { return len(server.requests()) == 1 })
				waitFor(t, "the time that shorter deadlines leave to pass", func() bool {
					return time.Since(terminated) > shortDeadline+killGrace
				})
				release()
			}
			resp, _ := cl.readResponse()
			if c.status == http.StatusOK && node.core.MustRespond() {
				c.status = resp.StatusCode // this machine was too slow for a response in time
			}
			if resp.StatusCode != c.status {
				t.Errorf("status %d, want %d", resp.StatusCode, c.status)
			}
		})
	}
}

// A process whose successor serves already, and that gets SIGTERM while a client still sends it a large request, answers
// before SIGKILL too.
func TestLateUploadIsAnsweredAfterHandover(t *testing.T) {
	t.Parallel()
	server := newHangingServer(t)
	discovery := newStubDiscovery(t)
	node := newTestNode(t, discovery, shortSettings(), withTestTimeouts, server.entry("w1"))
	cl := node.connectClient(t)
	finish := node.beginUpload(t, cl.send, false)
	startSuccessor(t, node.requestHandover(t), discovery, shortSettings())
	waitFor(t, "the hand-over", func() bool { return node.lifecycle.current() == replaced })
	node.terminateAndStopAccepting(t)
	finish()
	if resp, _ := cl.readResponse(); resp.StatusCode != http.StatusInternalServerError || !resp.Close {
		t.Errorf("status %d, close %v; want 500 and a close", resp.StatusCode, resp.Close)
	}
}

// A large request that comes through a tunnel is answered before SIGKILL as any other.
func TestLateUploadThroughTunnelIsAnswered(t *testing.T) {
	t.Parallel()
	server := newHangingServer(t)
	node, socks, _ := newTunnelNode(t, "", server.entry("w1"))
	cl, _ := openTunnel(t, socks, socksOpening("secret"), socksReplyLength)
	finish := node.beginUpload(t, cl.send, true)
	node.terminateAndStopAccepting(t)
	finish()
	if resp, _ := cl.readResponse(); resp.StatusCode != http.StatusInternalServerError || !resp.Close {
		t.Errorf("status %d, close %v; want 500 and a close", resp.StatusCode, resp.Close)
	}
}
