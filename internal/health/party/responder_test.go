package party

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"

	"portstall/internal/health"
	"portstall/internal/lab/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 20 * time.Second

// fakeNode is a node whose status the test sets.
type fakeNode struct {
	mu      sync.Mutex
	status  Status
	blocked chan struct{} // not nil: polling the status blocks until it is closed
}

func (n *fakeNode) set(to Status) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.status = to
}

func (n *fakeNode) currentStatus() Status {
	n.mu.Lock()
	status, blocked := n.status, n.blocked
	n.mu.Unlock()
	if blocked != nil {
		<-blocked
	}
	return status
}

// The reply of each protocol in each state, by the protocol's public specification. Agent lines must also be parsed back by
// ParseAgent to the same state.
func TestResponsesOfEachState(t *testing.T) {
	for _, c := range []struct {
		name       string
		status     Status
		agentLine  string
		httpStatus string
		code       int
		header     string
	}{
		{"no load", Status{Headroom: 1}, "up ready 100%\n", "pass", 200, ""},
		{"half loaded", Status{Headroom: 0.5}, "up ready 50%\n", "pass", 200, ""},
		{"nearly full: degraded, but up", Status{Headroom: 0.004, Reason: "crowded"}, "up ready 1%\n", "warn", 200, "X-Envoy-Degraded"},
		{"draining", Status{State: Draining, Headroom: 1}, "up drain 0%\n", "fail", 503, "X-Envoy-Immediate-Health-Check-Fail"},
		{"down", Status{State: Down, Reason: "no server\nis ready"}, "down #no server?is ready\n", "fail", 503, ""},
	} {
		h := http.Header{}
		body, code := c.status.httpResponse(h)
		if got := c.status.AgentLine(); got != c.agentLine || body.Status != c.httpStatus || code != c.code || c.header != "" && h.Get(c.header) != "true" {
			t.Errorf("%s: %q, %+v, %d, %v", c.name, got, body, code, h)
		}
		// A node that probes another must understand its line.
		report, unknown, err := health.ParseAgent(c.status.AgentLine())
		if err != nil || unknown != nil || (report.State == health.Down) != (c.status.State == Down) || (report.Admin == health.Drain) != (c.status.State == Draining) {
			t.Errorf("%s: the agent line is parsed as %+v, %v, %v", c.name, report, unknown, err)
		}
	}
}

// All three protocols over sockets: through a drain and back, while the node hangs, with idle connections that fill the
// agent's listener, and on an address that is in use.
func TestListenersThroughDrainHangAndClose(t *testing.T) {
	var addrs [3]string
	for i := range addrs {
		a, err := standin.FreeAddr()
		if err != nil {
			t.Fatal(err)
		}
		addrs[i] = a
	}
	node := &fakeNode{status: Status{Headroom: 0.75}}
	p, err := Listen(t.Context(), Options{Agent: addrs[0], HTTP: addrs[1], GRPC: addrs[2], Services: []string{"placement"}, CurrentStatus: node.currentStatus, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { p.Close() }()
	agentLine := func() string {
		c, err := net.Dial("tcp", addrs[0])
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(testTimeout))
		io.WriteString(c, "name of the server\n") // agent-send
		line, err := bufio.NewReader(c).ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		return line
	}
	httpCheck := func() (status string, code int, output string) {
		resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Get("http://" + addrs[1] + "/health")
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		var body healthBody
		if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
			t.Fatal(err)
		}
		return body.Status, resp.StatusCode, body.Output
	}
	conn, err := grpc.NewClient("passthrough:///"+addrs[2], grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	stream, err := healthpb.NewHealthClient(conn).Watch(ctx, &healthpb.HealthCheckRequest{Service: "placement"})
	if err != nil {
		t.Fatal(err)
	}
	waitForStatus := func(want healthpb.HealthCheckResponse_ServingStatus) {
		t.Helper()
		for {
			resp, err := stream.Recv()
			if err != nil {
				t.Fatal(err)
			}
			if resp.Status == want {
				return
			}
		}
	}
	waitUntil := func(what string, ok func() bool) {
		t.Helper()
		for end := time.Now().Add(testTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("timeout waiting for %s", what)
			}
		}
	}
	// A wrong reply fails at once. A reply that the node hangs is asked for again: on a slow machine the status may not
	// have been polled for a second.
	const hangs = "the node does not answer"
	expect := func(line, status string, code int) {
		t.Helper()
		waitUntil("an agent line other than that the node hangs", func() bool {
			got := agentLine()
			if strings.Contains(got, hangs) {
				return false
			}
			if got != line {
				t.Errorf("agent line %q, want %q", got, line)
			}
			return true
		})
		waitUntil("an HTTP response other than that the node hangs", func() bool {
			gotStatus, gotCode, output := httpCheck()
			if output == hangs {
				return false
			}
			if gotStatus != status || gotCode != code {
				t.Errorf("HTTP check: %s %d, want %s %d", gotStatus, gotCode, status, code)
			}
			return true
		})
	}
	expect("up ready 75%\n", "pass", 200)
	waitForStatus(healthpb.HealthCheckResponse_SERVING)
	node.set(Status{State: Draining})
	waitForStatus(healthpb.HealthCheckResponse_NOT_SERVING)
	waitUntil("an agent line with drain", func() bool { return strings.Contains(agentLine(), "drain") })
	expect("up drain 0%\n", "fail", 503)
	node.set(Status{Headroom: 1})
	waitForStatus(healthpb.HealthCheckResponse_SERVING)
	waitUntil("an agent line after the drain", func() bool { return agentLine() == "up ready 100%\n" })
	// The node hangs: the listeners do not wait for it and report it down.
	resume := make(chan struct{})
	node.mu.Lock()
	node.blocked = resume
	node.mu.Unlock()
	waitUntil("an agent line that the node hangs", func() bool { return strings.HasPrefix(agentLine(), "down #"+hangs) })
	node.mu.Lock()
	node.blocked = nil
	node.mu.Unlock()
	close(resume)
	waitUntil("an agent line after the node hung", func() bool { return agentLine() == "up ready 100%\n" })
	// Idle connections are closed by a timeout, so that they do not block other checkers forever.
	var idle []net.Conn
	for range maxConnections {
		c, err := net.Dial("tcp", addrs[0])
		if err != nil {
			t.Fatal(err)
		}
		idle = append(idle, c)
	}
	expect("up ready 100%\n", "pass", 200)
	for _, c := range idle {
		c.Close()
	}
	if _, err := Listen(t.Context(), Options{HTTP: addrs[1], CurrentStatus: node.currentStatus, Log: slog.New(slog.DiscardHandler)}); err == nil || !strings.Contains(err.Error(), "health.answer.http") {
		t.Errorf("an address in use: %v, want an error that names the setting", err)
	}
}
