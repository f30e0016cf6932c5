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

const testTimeout = 20 * time.Second

// shortTimeout is the timeout of a probe that must run into it.
const shortTimeout = 50 * time.Millisecond

// directTarget returns the server at an address, which is connected to without a proxy.
func directTarget(addr string) Target {
	return Target{ID: "s", Addr: addr, Dial: (&net.Dialer{}).DialContext}
}

// probeOnce makes one probe with a timeout.
func probeOnce(t *testing.T, p Prober, target Target, timeout time.Duration) (health.Report, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	return p.Probe(ctx, target)
}

// An agent replies, cuts its reply anywhere, stalls, writes without end, resets the connection, or is not there: only a
// complete, sensible reply gives a report.
func TestAgentCheckReplies(t *testing.T) {
	agent, err := standin.StartAgent("")
	if err != nil {
		t.Fatal(err)
	}
	defer agent.Stop()
	host, port, _ := net.SplitHostPort(agent.Addr())
	var unknown []string
	check := &AgentCheck{OnUnknown: func(_ string, words []string) { unknown = words }, Send: "how are you\n"}
	for _, c := range port {
		check.Port = check.Port*10 + int(c-'0')
	}
	target := directTarget(net.JoinHostPort(host, "1"))
	report, err := probeOnce(t, check, target, testTimeout)
	if err != nil || report.State != health.Up || report.Admin != health.Ready || report.Weight != 1 {
		t.Fatal(report, err)
	}
	agent.Reply("drain purple\n")
	if report, err := probeOnce(t, check, target, testTimeout); err != nil || report.Admin != health.Drain || len(unknown) != 1 {
		t.Error(report, err, unknown)
	}
	for name, misbehave := range map[string]func(){
		"empty reply":       func() { agent.Reply("") },
		"keyword cut off":   func() { agent.Reply("dra") },
		"reply stalls":      func() { agent.Stall("up") },
		"nothing is sent":   func() { agent.Stall("") },
		"endless reply":     agent.WriteEndlessly,
		"connection reset":  func() { agent.ResetAfter("") },
		"malformed keyword": func() { agent.Reply("maxconn:many\n") },
		"line too long":     func() { agent.Reply(strings.Repeat("up ", 1000)) },
	} {
		misbehave()
		timeout := testTimeout
		if strings.Contains(name, "stalls") || strings.Contains(name, "nothing") {
			timeout = shortTimeout
		}
		if report, err := probeOnce(t, check, target, timeout); err == nil || report != health.EmptyReport {
			t.Errorf("%s: no error, or a report: %+v", name, report)
		}
	}
	agent.Stop()
	if _, err := probeOnce(t, check, target, testTimeout); err == nil {
		t.Error("no error though nothing listens")
	}
	if _, err := probeOnce(t, check, directTarget("no address"), testTimeout); err == nil {
		t.Error("no error for an address without a port")
	}
}

// The status ranges and the body text of HTTP checks, and what neither check may take for a server that is up: a response
// that does not come, another protocol, and a port on which nothing listens.
func TestHTTPAndTCPChecks(t *testing.T) {
	page := &standin.CheckedPage{Status: 200, Body: "all is well"}
	server := httptest.NewServer(page)
	defer server.Close()
	addr := server.Listener.Addr().String()
	ranges := []StatusRange{{200, 299}, {404, 404}}
	for _, c := range []struct {
		name string
		page standin.CheckedPage
		body string
		want health.State
	}{
		{"200", standin.CheckedPage{Status: 200}, "", health.Up},
		{"299", standin.CheckedPage{Status: 299}, "", health.Up},
		{"404, in a range", standin.CheckedPage{Status: 404}, "", health.Up},
		{"redirects are not followed", standin.CheckedPage{Status: 302}, "", health.Down},
		{"500", standin.CheckedPage{Status: 500}, "", health.Down},
		{"the body contains the text", standin.CheckedPage{Status: 200, Body: "xx well xx"}, "well", health.Up},
		{"the body does not contain the text", standin.CheckedPage{Status: 200, Body: "ill"}, "well", health.Down},
		{"the text comes after the first 64 KiB", standin.CheckedPage{Status: 200, Body: strings.Repeat(" ", maxBodyRead) + "well"}, "well", health.Down},
	} {
		*page = c.page
		report, err := probeOnce(t, &HTTP{Method: http.MethodGet, Path: "/health", Host: "example.org", Statuses: ranges, Body: c.body}, directTarget(addr), testTimeout)
		if err != nil || report.State != c.want || (report.Reason == "") != (c.want == health.Up) {
			t.Errorf("%s: %+v, %v", c.name, report, err)
		}
	}
	*page = standin.CheckedPage{Status: 200, Delay: time.Hour}
	if _, err := probeOnce(t, &HTTP{Method: http.MethodGet, Path: "/", Statuses: ranges}, directTarget(addr), shortTimeout); err == nil {
		t.Error("no error though the response does not come")
	}
	if report, err := probeOnce(t, &TCP{}, directTarget(addr), testTimeout); err != nil || report.State != health.Up {
		t.Error(report, err)
	}
	agent, err := standin.StartAgent("") // does not speak HTTP
	if err != nil {
		t.Fatal(err)
	}
	defer agent.Stop()
	if _, err := probeOnce(t, &HTTP{Method: http.MethodGet, Path: "/", Statuses: ranges}, directTarget(agent.Addr()), testTimeout); err == nil {
		t.Error("no error though the response is not HTTP")
	}
	free, err := standin.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := probeOnce(t, &TCP{}, directTarget(free), testTimeout); err == nil {
		t.Error("TCP check passes though nothing listens")
	}
}

// Each status of grpc.health.v1 by Check and by Watch. A stream whose server stops gives an error and is opened again
// once the server is back. A server without the service is down, and one without the protocol gives an empty report.
func TestGRPCCheckAndWatch(t *testing.T) {
	server, err := standin.StartHealthServer("")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Stop()
	addr := server.Addr()
	watch := &GRPC{Service: "placement", Watch: true}
	defer watch.Close()
	for _, c := range []struct {
		status healthpb.HealthCheckResponse_ServingStatus
		want   health.State
	}{
		{healthpb.HealthCheckResponse_SERVING, health.Up},
		{healthpb.HealthCheckResponse_NOT_SERVING, health.Down},
		{healthpb.HealthCheckResponse_UNKNOWN, health.StateUnset},
		{healthpb.HealthCheckResponse_SERVICE_UNKNOWN, health.Down},
		{healthpb.HealthCheckResponse_SERVING, health.Up},
	} {
		server.SetServingStatus("placement", c.status)
		if report, err := probeOnce(t, &GRPC{Service: "placement"}, directTarget(addr), testTimeout); err != nil || report.State != c.want {
			t.Errorf("check, %v: %+v, %v", c.status, report, err)
		}
		until := time.Now().Add(testTimeout) // a stream receives the status some time later
		for {
			report, err := probeOnce(t, watch, directTarget(addr), testTimeout)
			if err == nil && report.State == c.want {
				break
			}
			if time.Now().After(until) {
				t.Fatalf("watch, %v: %+v, %v", c.status, report, err)
			}
			time.Sleep(time.Millisecond)
		}
	}
	// An unknown service: Check fails with NOT_FOUND, Watch sends SERVICE_UNKNOWN.
	for _, p := range []*GRPC{{Service: "other"}, {Service: "other", Watch: true}} {
		if report, err := probeOnce(t, p, directTarget(addr), testTimeout); err != nil || report.State != health.Down || !strings.Contains(report.Reason, "not known") {
			t.Errorf("unknown service: %+v, %v", report, err)
		}
		p.Close()
	}
	// The server stops: the stream ends with an error, and a later probe opens one to the next server at the address.
	server.Stop()
	until := time.Now().Add(testTimeout)
	for broken := false; !broken; {
		_, err := probeOnce(t, watch, directTarget(addr), shortTimeout)
		if broken = err != nil; !broken && time.Now().After(until) {
			t.Fatal("no error from a stream whose server has stopped")
		}
	}
	if server, err = standin.StartHealthServer(addr); err != nil {
		t.Fatal(err)
	}
	defer server.Stop()
	server.SetServingStatus("placement", healthpb.HealthCheckResponse_SERVING)
	for {
		if report, err := probeOnce(t, watch, directTarget(addr), testTimeout); err == nil && report.State == health.Up {
			break
		}
		if time.Now().After(until) {
			t.Fatal("the server that is back is not reported up")
		}
	}
	watch.Forget("s")
	watch.Forget("s")
	if len(watch.streams) != 0 {
		t.Error("the stream of a forgotten server is still there")
	}
	// A server that does not implement the protocol gives an empty report by Check and by Watch.
	ln, err := standin.Listen()
	if err != nil {
		t.Fatal(err)
	}
	plain := grpc.NewServer()
	go plain.Serve(ln)
	defer plain.Stop()
	for _, p := range []*GRPC{{}, {Watch: true}} {
		if report, err := probeOnce(t, p, directTarget(ln.Addr().String()), testTimeout); err != nil || report != health.EmptyReport {
			t.Errorf("unimplemented: %+v, %v", report, err)
		}
		p.Close()
		if _, err := probeOnce(t, p, directTarget(addr), testTimeout); p.Watch && err == nil {
			t.Error("no error from a closed prober")
		}
	}
}
