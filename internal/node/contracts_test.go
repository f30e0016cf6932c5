package node

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"strings"
	"syscall"
	"testing"
	"time"

	"portstall/internal/config"
	"portstall/internal/lab/standin"
	"portstall/internal/message"
	"portstall/internal/mgmt"
)

// withProductFile sets a node's product file.
func withProductFile(t testing.TB, text string) func(*Config) {
	t.Helper()
	f, err := config.Parse("p.yaml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return func(c *Config) { c.Product = f }
}

// withHeaders returns the text of a call with further headers.
func withHeaders(q testRequest, headers ...string) string {
	return strings.Replace(q.text(), "\r\n\r\n", "\r\n"+strings.Join(headers, "\r\n")+"\r\n\r\n", 1)
}

const teamContractsYAML = `services:
- {name: reading, classes: [{name: view}]}
contracts:
- {name: app, match: [{tenant: app}], rate: 0.001, burst: 2}
- {name: jobs, match: [{header: "X-Team: jobs"}], services: [reading], attempts: {ratio: 0.1, window: 10s}}
- {name: batch, match: [{token_sha256: 2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b}], in_flight: 1}
`

// Each rule's refusal comes at once, with its status, its reason and the time after which to retry, and the request is
// never sent. What is admitted is served.
func TestContractsRefuse(t *testing.T) {
	t.Parallel()
	server := newStubServer(t, respondOK)
	node := newTestNode(t, newStubDiscovery(t), settingsJSON, withProductFile(t, teamContractsYAML), server.entry("s-1"))
	client := node.dial(t)
	seq := 0
	ask := func(q func(string) testRequest, headers ...string) *http.Response {
		t.Helper()
		seq++
		client.send(withHeaders(q(fmt.Sprint("r", seq)), headers...))
		resp, _ := client.readResponse()
		return resp
	}
	for _, test := range []struct {
		q       func(string) testRequest
		headers []string
		status  int
		rule    string
	}{
		{view, []string{"X-Tenant: app"}, 200, ""},
		{save, []string{"X-Tenant: app"}, 200, ""},
		{view, []string{"X-Tenant: app"}, 429, "rule=rate; contract=\"app\"; retry-after-ms="},
		{view, []string{"X-Tenant: nobody"}, 403, "rule=none; contract=\"\""},
		{save, []string{"X-Tenant: app", "X-Team: jobs"}, 403, "rule=service; contract=\"jobs\""},
		{view, []string{"X-Team: jobs"}, 200, ""},
		{view, []string{"X-Team: jobs", "X-Retry: 1"}, 429, "rule=attempts; contract=\"jobs\""},
		{view, []string{"Authorization: Bearer secret"}, 200, ""},
		{view, []string{"Authorization: Bearer wrong"}, 403, "rule=none"},
	} {
		resp := ask(test.q, test.headers...)
		reason := resp.Header.Get(message.RefusalHeader)
		if resp.StatusCode != test.status || !strings.HasPrefix(reason, test.rule) || (reason == "") != (test.rule == "") {
			t.Errorf("%v: %d %q, want %d %q", test.headers, resp.StatusCode, reason, test.status, test.rule)
		}
		if (test.status == 429) != (resp.Header.Get("Retry-After") != "") {
			t.Errorf("%v: %d with Retry-After %q", test.headers, resp.StatusCode, resp.Header.Get("Retry-After"))
		}
	}
	if got := len(server.requests()); got != 4 {
		t.Errorf("%d requests reached the web server, want the 4 that were admitted", got)
	}
	stats := node.core.Stats(10)
	if stats.OpenRequests != 0 {
		t.Errorf("%d requests are still open", stats.OpenRequests)
	}
	for _, level := range stats.ContractStatuses {
		if level.InFlight != 0 {
			t.Errorf("%s has %d requests in flight after all have ended", level.Name, level.InFlight)
		}
	}
}

// With a contract that allows no retries a failure is the final response, at once.
func TestContractsLimitRetries(t *testing.T) {
	t.Parallel()
	server := newStubServer(t, func(c net.Conn, r *http.Request, nth int) bool { return writeResponse(c, 500, "", "") })
	text := "contracts:\n- {name: all, attempts: {ratio: 0, window: 10s}}\n"
	node := newTestNode(t, newStubDiscovery(t), settingsJSON, withProductFile(t, text), server.entry("s-1"), server.entry("s-2"))
	if resp, _ := node.dial(t).roundTrip(view("r1")); resp.StatusCode == 200 {
		t.Errorf("the response is %d", resp.StatusCode)
	}
	if got := len(server.requests()); got != 1 {
		t.Errorf("%d attempts, want one", got)
	}
}

// A reload replaces all contracts. Contracts that stay keep their budgets, requests in flight end as they
// began, and a file with invalid contracts changes nothing.
func TestContractsReload(t *testing.T) {
	t.Parallel()
	hold := make(chan bool)
	server := newSlowServer(t, hold)
	node := newTestNode(t, newStubDiscovery(t), settingsJSON, withProductFile(t, teamContractsYAML), server.entry("s-1"), server.entry("s-2"))
	slow := node.dial(t)
	slow.send(withHeaders(view("slow"), "Authorization: Bearer secret"))
	waitFor(t, "the slow request", func() bool { return len(server.requests()) == 1 })
	client := node.dial(t)
	status := func(id string, headers ...string) int {
		client.send(withHeaders(view(id), headers...))
		resp, _ := client.readResponse()
		return resp.StatusCode
	}
	status("a1", "X-Tenant: app")
	status("a2", "X-Tenant: app")
	cfg := node.cfg
	cfg.Discovery = node.discovery.client.Addr()
	withProductFile(t, "contracts:\n- {name: app, match: [{tenant: app}], rate: 0.001, burst: 2}\n- {name: rest}\n")(&cfg)
	node.reload(cfg)
	if got := status("a3", "X-Tenant: app"); got != 429 {
		t.Errorf("a reload refills the rate: %d", got)
	}
	if got := status("b1", "X-Tenant: nobody"); got != 200 {
		t.Errorf("by the new default contract: %d", got)
	}
	close(hold)
	if resp, _ := slow.readResponse(); resp.StatusCode != 200 {
		t.Errorf("the request whose contract was removed: %d", resp.StatusCode)
	}
	bad := cfg
	bad.Product = &config.File{Contracts: []config.Contract{{Name: "a"}, {Name: "b"}}}
	node.reload(bad)
	if got := status("b2", "X-Tenant: nobody"); got != 200 {
		t.Errorf("after an invalid reload: %d", got)
	}
	cfg.Product = nil
	node.reload(cfg)
	if got := status("a4", "X-Tenant: app"); got != 200 {
		t.Errorf("without contracts: %d", got)
	}
}

// Operators can read which contract a request would fall under, why it would be refused, what is left of it, and the
// metrics.
func TestExplain(t *testing.T) {
	t.Parallel()
	server := newStubServer(t, respondOK)
	node := newTestNode(t, newStubDiscovery(t), settingsJSON, withProductFile(t, teamContractsYAML), server.entry("s-1"))
	client := node.dial(t)
	for i := range 3 {
		client.send(withHeaders(view(fmt.Sprint("v", i)), "X-Tenant: app"))
		client.readResponse()
	}
	ln, err := standin.Listen()
	must(t, err)
	defer mgmt.Serve(ln, node, slog.New(slog.DiscardHandler), node.managementPages()...).Close()
	get := func(path string) (int, string) {
		t.Helper()
		resp, err := http.Get("http://" + ln.Addr().String() + "/-/" + path)
		must(t, err)
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(text)
	}
	for _, test := range []struct {
		path   string
		status int
		want   []string
	}{
		{"explain?tenant=app&class=view", 200, []string{`"contract": "app"`, `"rule": "rate"`, `"admitted": 2`}},
		{"explain?tenant=app&class=view", 200, []string{`"admitted": 2`}}, // asking charges nothing
		{"explain?header=" + url.QueryEscape("x-team: jobs") + "&class=save", 200, []string{`"rule": "service"`}},
		{"explain?token=secret&class=save", 200, []string{`"contract": "batch"`, "would be admitted"}},
		{"explain?tenant=nobody", 200, []string{`"rule": "none"`}},
		{"explain?from=here", 400, []string{"from"}},
		{"contracts", 200, []string{`"name": "app"`, `"rule": "rate"`}},
		{"metrics", 200, []string{`portstall_contract_admitted_total{contract="app"} 2`,
			`portstall_contract_refused_total{contract="app",rule="rate"} 1`, "portstall_pressure", "portstall_work_allowed"}},
		{"nothing", 404, nil},
	} {
		status, text := get(test.path)
		if status != test.status {
			t.Errorf("%s: %d\n%s", test.path, status, text)
		}
		for _, want := range test.want {
			if !strings.Contains(text, want) {
				t.Errorf("%s lacks %q:\n%s", test.path, want, text)
			}
		}
	}
	bare := newTestNode(t, newStubDiscovery(t), settingsJSON, nil, server.entry("s-1"))
	if _, err := bare.Explain(nil); err == nil {
		t.Error("a node without contracts explains")
	}
}

// BenchmarkContracts compares a node without contracts and one with a hundred: a request through each in turn, so that
// both meet the same load of the machine. It reports what the contracts add.
func BenchmarkContracts(b *testing.B) {
	var text strings.Builder
	text.WriteString("contracts:\n")
	for i := range 100 {
		fmt.Fprintf(&text, "- {name: t%d, match: [{tenant: t%d}], rate: 1000000, in_flight: 1000, attempts: {ratio: 0.2}, "+
			"work: {guaranteed: 1, limit: 1000000}}\n", i, i)
	}
	box := newStubServer(b, respondOK)
	nodes := []*client{newTestNode(b, newStubDiscovery(b), settingsJSON, nil, box.entry("s-1")).dial(b),
		newTestNode(b, newStubDiscovery(b), settingsJSON, withProductFile(b, text.String()), box.entry("s-1")).dial(b)}
	var took, spent [2]time.Duration
	n := 0
	for b.Loop() {
		n++
		q := withHeaders(view(fmt.Sprint("r", n)), fmt.Sprint("X-Tenant: t", n%100))
		for k := range nodes {
			i := (k + n) % 2 // each goes first as often
			nodes[i].SetDeadline(time.Now().Add(testTimeout))
			begun, used := time.Now(), cpuTime(b)
			nodes[i].send(q)
			if resp, _ := nodes[i].readResponse(); resp.StatusCode != http.StatusOK {
				b.Fatal(resp.StatusCode)
			}
			took[i] += time.Since(begun)
			spent[i] += cpuTime(b) - used
		}
	}
	b.ReportMetric(float64(took[0].Nanoseconds())/float64(n), "ns/bare")
	b.ReportMetric(float64(took[1].Nanoseconds())/float64(n), "ns/contracts")
	b.ReportMetric(100*(float64(took[1])/float64(took[0])-1), "%more")
	b.ReportMetric(100*(float64(spent[1])/float64(spent[0])-1), "%more-cpu")
}

// cpuTime returns the processor time of the process, which includes the stub clients and servers.
func cpuTime(t testing.TB) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
