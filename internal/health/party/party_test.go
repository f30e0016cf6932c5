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

const patience = 20 * time.Second

// stage is a node whose status the test sets.
type stage struct {
	mu     sync.Mutex
	status Status
	hangs  chan struct{} // nil: it does not
}

func (s *stage) set(to Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = to
}

func (s *stage) look() Status {
	s.mu.Lock()
	status, hangs := s.status, s.hangs
	s.mu.Unlock()
	if hangs != nil {
		<-hangs
	}
	return status
}

// What each protocol says of each state, by its public specification.
func TestWords(t *testing.T) {
	for _, c := range []struct {
		name   string
		status Status
		word   string
		page   string
		code   int
		header string
	}{
		{"at ease", Status{Headroom: 1}, "up ready 100%\n", "pass", 200, ""},
		{"half used", Status{Headroom: 0.5}, "up ready 50%\n", "pass", 200, ""},
		{"nearly full: degraded, and still up", Status{Headroom: 0.004, Reason: "crowded"}, "up ready 1%\n", "warn", 200, "X-Envoy-Degraded"},
		{"draining", Status{State: Draining, Headroom: 1}, "up drain 0%\n", "fail", 503, "X-Envoy-Immediate-Health-Check-Fail"},
		{"down", Status{State: Down, Reason: "no server\nis ready"}, "down #no server?is ready\n", "fail", 503, ""},
	} {
		h := http.Header{}
		pg, code := c.status.answer(h)
		if got := c.status.Word(); got != c.word || pg.Status != c.page || code != c.code || c.header != "" && h.Get(c.header) != "true" {
			t.Errorf("%s: %q, %+v, %d, %v", c.name, got, pg, code, h)
		}
		// What we say is what we understand.
		w, unknown, err := health.ParseAgent(c.status.Word())
		if err != nil || unknown != nil || (w.State == health.Down) != (c.status.State == Down) || (w.Admin == health.Drain) != (c.status.State == Draining) {
			t.Errorf("%s: read as %+v, %v, %v", c.name, w, unknown, err)
		}
	}
}

// All three over sockets, through a drain and back, while the node hangs, and at the end.
func TestListeners(t *testing.T) {
	var addrs [3]string
	for i := range addrs {
		a, err := standin.FreeAddr()
		if err != nil {
			t.Fatal(err)
		}
		addrs[i] = a
	}
	s := &stage{status: Status{Headroom: 0.75}}
	p, err := Listen(t.Context(), Options{Agent: addrs[0], HTTP: addrs[1], GRPC: addrs[2], Services: []string{"placement"}, Look: s.look, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { p.Close() }()
	agent := func() string {
		c, err := net.Dial("tcp", addrs[0])
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(patience))
		io.WriteString(c, "name of the server\n") // agent-send
		line, err := bufio.NewReader(c).ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		return line
	}
	page := func() (status string, code int, why string) {
		resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Get("http://" + addrs[1] + "/health")
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		var pg page
		if err := json.NewDecoder(resp.Body).Decode(&pg); err != nil {
			t.Fatal(err)
		}
		return pg.Status, resp.StatusCode, pg.Output
	}
	conn, err := grpc.NewClient("passthrough:///"+addrs[2], grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	stream, err := healthpb.NewHealthClient(conn).Watch(ctx, &healthpb.HealthCheckRequest{Service: "placement"})
	if err != nil {
		t.Fatal(err)
	}
	told := func(want healthpb.HealthCheckResponse_ServingStatus) {
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
	until := func(what string, ok func() bool) {
		t.Helper()
		for end := time.Now().Add(patience); !ok(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: did not come", what)
			}
		}
	}
	// A word that is wrong fails at once. One that the node hangs is asked for again: this machine had no time to look at it for a second.
	const hangs = "the node does not answer"
	at := func(word, pass string, status int) {
		t.Helper()
		until("another word than that the node hangs", func() bool {
			got := agent()
			if strings.Contains(got, hangs) {
				return false
			}
			if got != word {
				t.Errorf("%q, want %q", got, word)
			}
			return true
		})
		until("another page than that the node hangs", func() bool {
			got, code, why := page()
			if why == hangs {
				return false
			}
			if got != pass || code != status {
				t.Errorf("%s %d, want %s %d", got, code, pass, status)
			}
			return true
		})
	}
	at("up ready 75%\n", "pass", 200)
	told(healthpb.HealthCheckResponse_SERVING)
	s.set(Status{State: Draining})
	told(healthpb.HealthCheckResponse_NOT_SERVING)
	until("a drain", func() bool { return strings.Contains(agent(), "drain") })
	at("up drain 0%\n", "fail", 503)
	s.set(Status{Headroom: 1})
	told(healthpb.HealthCheckResponse_SERVING)
	until("the way back", func() bool { return agent() == "up ready 100%\n" })
	// The node hangs: it is told to be down, by a listener that does not wait for it.
	goOn := make(chan struct{})
	s.mu.Lock()
	s.hangs = goOn
	s.mu.Unlock()
	until("a node that hangs", func() bool { return strings.HasPrefix(agent(), "down #"+hangs) })
	s.mu.Lock()
	s.hangs = nil
	s.mu.Unlock()
	close(goOn)
	until("a node that goes on", func() bool { return agent() == "up ready 100%\n" })
	// Those that connect and say nothing are cut, and do not keep others out for good.
	var idle []net.Conn
	for range connMost {
		c, err := net.Dial("tcp", addrs[0])
		if err != nil {
			t.Fatal(err)
		}
		idle = append(idle, c)
	}
	at("up ready 100%\n", "pass", 200)
	for _, c := range idle {
		c.Close()
	}
	if _, err := Listen(t.Context(), Options{HTTP: addrs[1], Look: s.look, Log: slog.New(slog.DiscardHandler)}); err == nil || !strings.Contains(err.Error(), "health.answer.http") {
		t.Errorf("an address that is taken: %v", err)
	}
}
