package probe

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"google.golang.org/grpc"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"

	"portstall/internal/health"
	"portstall/internal/lab/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const patience = 20 * time.Second

// brief is how long a probe waits that is to wait in vain.
const brief = 50 * time.Millisecond

func direct(addr string) Target {
	return Target{ID: "s", Addr: addr, Dial: (&net.Dialer{}).DialContext}
}

func ask(t *testing.T, p Prober, at Target, wait time.Duration) (health.Word, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), wait)
	defer cancel()
	return p.Probe(ctx, at)
}

// An agent that answers, cuts its answer anywhere, stalls, rambles, resets, or is not there.
func TestAgent(t *testing.T) {
	a, err := standin.StartAgent("")
	if err != nil {
		t.Fatal(err)
	}
	defer a.Stop()
	host, port, _ := net.SplitHostPort(a.Addr())
	var unknown []string
	check := &AgentCheck{Unknown: func(_ string, words []string) { unknown = words }, Send: "how are you\n"}
	for _, c := range port {
		check.Port = check.Port*10 + int(c-'0')
	}
	at := direct(net.JoinHostPort(host, "1"))
	w, err := ask(t, check, at, patience)
	if err != nil || w.State != health.Up || w.Admin != health.Ready || w.Weight != 1 {
		t.Fatal(w, err)
	}
	a.Says("drain purple\n")
	if w, err := ask(t, check, at, patience); err != nil || w.Admin != health.Drain || len(unknown) != 1 {
		t.Error(w, err, unknown)
	}
	for name, does := range map[string]func(){
		"empty":             func() { a.Says("") },
		"a word cut":        func() { a.Says("dra") },
		"an answer stalls":  func() { a.Stalls("up") },
		"nothing comes":     func() { a.Stalls("") },
		"an endless answer": a.Rambles,
		"a break":           func() { a.Resets("") },
		"nonsense":          func() { a.Says("maxconn:many\n") },
		"an over-long line": func() { a.Says(strings.Repeat("up ", 1000)) },
	} {
		does()
		wait := patience
		if strings.Contains(name, "stalls") || strings.Contains(name, "nothing") {
			wait = brief
		}
		if w, err := ask(t, check, at, wait); err == nil || w != health.Silent {
			t.Errorf("%s: %+v", name, w)
		}
	}
	a.Stop()
	if _, err := ask(t, check, at, patience); err == nil {
		t.Error("nobody is there, and it says something")
	}
	if _, err := ask(t, check, direct("no address"), patience); err == nil {
		t.Error("an address without a port is asked")
	}
}

func TestHTTPAndTCP(t *testing.T) {
	page := &standin.Page{Status: 200, Body: "all is well"}
	s := httptest.NewServer(page)
	defer s.Close()
	addr := s.Listener.Addr().String()
	ranges := []Range{{200, 299}, {404, 404}}
	for _, c := range []struct {
		name string
		page standin.Page
		body string
		up   health.State
	}{
		{"200", standin.Page{Status: 200}, "", health.Up},
		{"299", standin.Page{Status: 299}, "", health.Up},
		{"404, which is in a range", standin.Page{Status: 404}, "", health.Up},
		{"300 is not followed", standin.Page{Status: 302}, "", health.Down},
		{"500", standin.Page{Status: 500}, "", health.Down},
		{"the text is there", standin.Page{Status: 200, Body: "xx well xx"}, "well", health.Up},
		{"it is not", standin.Page{Status: 200, Body: "ill"}, "well", health.Down},
		{"it comes too late in a long answer", standin.Page{Status: 200, Body: strings.Repeat(" ", bodyMost) + "well"}, "well", health.Down},
	} {
		*page = c.page
		w, err := ask(t, &HTTP{Method: http.MethodGet, Path: "/health", Host: "example.org", Statuses: ranges, Body: c.body}, direct(addr), patience)
		if err != nil || w.State != c.up || (w.Reason == "") != (c.up == health.Up) {
			t.Errorf("%s: %+v, %v", c.name, w, err)
		}
	}
	*page = standin.Page{Status: 200, After: time.Hour}
	if _, err := ask(t, &HTTP{Method: http.MethodGet, Path: "/", Statuses: ranges}, direct(addr), brief); err == nil {
		t.Error("an answer that does not come is one")
	}
	if w, err := ask(t, &TCP{}, direct(addr), patience); err != nil || w.State != health.Up {
		t.Error(w, err)
	}
	a, err := standin.StartAgent("") // speaks no HTTP
	if err != nil {
		t.Fatal(err)
	}
	defer a.Stop()
	if _, err := ask(t, &HTTP{Method: http.MethodGet, Path: "/", Statuses: ranges}, direct(a.Addr()), patience); err == nil {
		t.Error("what is no HTTP is an answer")
	}
	free, err := standin.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := ask(t, &TCP{}, direct(free), patience); err == nil {
		t.Error("nobody is there, and it is up")
	}
}

// Each status of grpc.health.v1 by Check and by Watch; a watch that breaks, a server that comes back, one without the service.
func TestGRPC(t *testing.T) {
	h, err := standin.StartHealth("")
	if err != nil {
		t.Fatal(err)
	}
	defer h.Stop()
	addr := h.Addr()
	watch := &GRPC{Service: "placement", Watch: true}
	defer watch.Close()
	for _, c := range []struct {
		status healthpb.HealthCheckResponse_ServingStatus
		want   health.State
	}{
		{healthpb.HealthCheckResponse_SERVING, health.Up},
		{healthpb.HealthCheckResponse_NOT_SERVING, health.Down},
		{healthpb.HealthCheckResponse_UNKNOWN, health.Untold},
		{healthpb.HealthCheckResponse_SERVICE_UNKNOWN, health.Down},
		{healthpb.HealthCheckResponse_SERVING, health.Up},
	} {
		h.SetServingStatus("placement", c.status)
		if w, err := ask(t, &GRPC{Service: "placement"}, direct(addr), patience); err != nil || w.State != c.want {
			t.Errorf("check, %v: %+v, %v", c.status, w, err)
		}
		until := time.Now().Add(patience) // a watch hears of it in its own time
		for {
			w, err := ask(t, watch, direct(addr), patience)
			if err == nil && w.State == c.want {
				break
			}
			if time.Now().After(until) {
				t.Fatalf("watch, %v: %+v, %v", c.status, w, err)
			}
			time.Sleep(time.Millisecond)
		}
	}
	// A service that is not known: Check fails by NOT_FOUND, Watch says SERVICE_UNKNOWN.
	for _, p := range []*GRPC{{Service: "other"}, {Service: "other", Watch: true}} {
		if w, err := ask(t, p, direct(addr), patience); err != nil || w.State != health.Down || !strings.Contains(w.Reason, "not known") {
			t.Errorf("%+v, %v", w, err)
		}
		p.Close()
	}
	// The server goes: the watch breaks and says so, and finds the next server by itself.
	h.Stop()
	until := time.Now().Add(patience)
	for broken := false; !broken; {
		_, err := ask(t, watch, direct(addr), brief)
		if broken = err != nil; !broken && time.Now().After(until) {
			t.Fatal("a watch goes on without its server")
		}
	}
	if h, err = standin.StartHealth(addr); err != nil {
		t.Fatal(err)
	}
	defer h.Stop()
	h.SetServingStatus("placement", healthpb.HealthCheckResponse_SERVING)
	for {
		if w, err := ask(t, watch, direct(addr), patience); err == nil && w.State == health.Up {
			break
		}
		if time.Now().After(until) {
			t.Fatal("it does not find the server that came back")
		}
	}
	watch.Forget("s")
	watch.Forget("s")
	if len(watch.watches) != 0 {
		t.Error("a stream is kept of a server that is gone")
	}
	// One that does not implement the protocol says nothing by either.
	ln, err := standin.Listen()
	if err != nil {
		t.Fatal(err)
	}
	bare := grpc.NewServer()
	go bare.Serve(ln)
	defer bare.Stop()
	for _, p := range []*GRPC{{}, {Watch: true}} {
		if w, err := ask(t, p, direct(ln.Addr().String()), patience); err != nil || w != health.Silent {
			t.Errorf("unimplemented: %+v, %v", w, err)
		}
		p.Close()
		if _, err := ask(t, p, direct(addr), patience); p.Watch && err == nil {
			t.Error("a closed prober probes")
		}
	}
}
