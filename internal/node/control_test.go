package node

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"portstall/internal/contract"
	"portstall/internal/control/follow"
	"portstall/internal/endpoints"
	"portstall/internal/resource"
	"portstall/internal/wire"
)

// statusOf sends a request of a tenant and returns the status of its response.
func (c *client) statusOf(id, tenant string) int {
	c.t.Helper()
	c.send(withHeaders(view(id), "X-Tenant: "+tenant))
	resp, _ := c.readResponse()
	return resp.StatusCode
}

// hasContract reports whether a contract in force applies to the tenant's requests. It charges nothing.
func (n *testNode) hasContract(t *testing.T, tenant string) bool {
	t.Helper()
	explanation, err := n.Explain(url.Values{"tenant": {tenant}, "class": {"view"}})
	if err != nil {
		return true // there are no contracts
	}
	return explanation.(Explanation).Contract == tenant
}

// operatorCall sends a request to a management address.
func operatorCall(t *testing.T, method, addr, path string) (status int, text string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+addr+path, nil)
	must(t, err)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	must(t, err)
	return resp.StatusCode, string(body)
}

// fullNode is a node that runs as in its program, with control.
type fullNode struct {
	addr, mgmt string
	reload     chan Change
	leave      context.CancelFunc
	exited     chan error
	cfg        Config
	log        *lockedBuffer
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

func runFullNode(t *testing.T, product string, control string, discovery *stubDiscovery, known ...endpoints.Endpoint) *fullNode {
	t.Helper()
	settings, err := wire.DecodeSettings([]byte(settingsJSON))
	must(t, err)
	running := &fullNode{addr: freeAddr(t), mgmt: freeAddr(t), reload: make(chan Change), exited: make(chan error, 1), log: &lockedBuffer{}}
	running.cfg = Config{Name: "n0", Listen: running.addr, Mgmt: running.mgmt, Discovery: discovery.addr, Seed: 1, Settings: settings, Known: endpoints.List{Version: 1, Full: true, Servers: known}}
	withProductFile(t, product+fmt.Sprintf("control: {addresses: [%q]}\n", control))(&running.cfg)
	ctx, cancel := context.WithCancel(context.Background())
	running.leave = cancel
	go func() {
		running.exited <- Run(ctx, running.cfg, running.reload, slog.New(slog.NewTextHandler(running.log, nil)))
	}()
	t.Cleanup(func() {
		cancel()
		select {
		case err := <-running.exited:
			if err != nil {
				t.Errorf("the node ended with %v", err)
			}
		case <-time.After(testTimeout):
			t.Error("the node did not end")
		}
	})
	return running
}

func (n *fullNode) configuration(t *testing.T) Configuration {
	t.Helper()
	status, text := operatorCall(t, "GET", n.mgmt, "/-/configuration")
	var report Configuration
	if err := json.Unmarshal([]byte(text), &report); status != 200 || err != nil {
		t.Fatalf("the configuration page: %d %s, %v", status, text, err)
	}
	return report
}

// A node whose control has no configuration must accept no client. It reports the reason to its operators, and serves
// as soon as it has a configuration.
func TestNoClientsWithoutConfiguration(t *testing.T) {
	t.Parallel()
	server := newStubServer(t, respondOK)
	control := newStubControl(t)
	running := runFullNode(t, "", control.Addr, newStubDiscovery(t), server.entry("s-1"))
	waitFor(t, "a call to control", func() bool { return control.CallCount() > 0 })
	waitFor(t, "the reason from control", func() bool {
		status, text := operatorCall(t, "GET", running.mgmt, "/-/ready")
		return status == 503 && strings.HasPrefix(text, "no configuration yet: ") && strings.Contains(text, "503")
	})
	for _, path := range []string{"/-/drain", "/-/resume", "/-/web-servers/s-1/disable", "/-/web-servers/s-1/enable"} {
		if status, text := operatorCall(t, "POST", running.mgmt, path); status != 503 || !strings.HasPrefix(text, "no configuration yet: ") {
			t.Errorf("%s: %d %s", path, status, text)
		}
	}
	if c := running.configuration(t); c.Version != "0.0" || c.Since != nil || c.MissingReason == "" || c.LastFailure == "" || c.Sources[0] != control.Addr {
		t.Errorf("the configuration page: %+v", c)
	}
	if c, err := net.Dial("tcp", running.addr); err == nil {
		c.Close()
		t.Error("a client is accepted without a configuration")
	}
	version := control.change([]resource.Resource{tenantContract("app", 100)})
	waitFor(t, "ready", func() bool {
		status, text := operatorCall(t, "GET", running.mgmt, "/-/ready")
		if status == 0 {
			t.Fatalf("operators get no response while the node starts: %s", text)
		}
		return status == 200
	})
	node := &testNode{addr: running.addr}
	if status := node.dial(t).statusOf("a", "app"); status != 200 {
		t.Errorf("a tenant with a contract: %d", status)
	}
	if status := node.dial(t).statusOf("b", "other"); status != 403 {
		t.Errorf("a tenant without one: %d", status)
	}
	page := running.configuration(t)
	if page.Version != version.String() || page.Since == nil || page.MissingReason != "" || page.LastReplyAt == nil || page.Source != control.Addr ||
		page.Resources[resource.Contract] != 1 || page.Changes != 1 || page.Calls.BytesIn == 0 || page.Calls.Calls < 2 {
		t.Errorf("the configuration page: %+v", page)
	}
	_, metrics := operatorCall(t, "GET", running.mgmt, "/-/metrics")
	for _, line := range []string{
		fmt.Sprintf(`portstall_configuration_version{epoch="%d",number="%d"} 1`, version.Epoch, version.Number),
		"portstall_configuration_age_seconds ", "portstall_configuration_refusals_total 0", "portstall_configuration_changes_total 1",
		`portstall_configuration_failures_total{kind="full"} `, `portstall_configuration_resources{kind="contract"} 1`,
	} {
		if !strings.Contains(metrics, line) {
			t.Errorf("the metrics lack %s", line)
		}
	}
}

// A node that waits for its configuration reports why it has none, and stops at once when it is asked to.
func TestStopsWhileWaitingForConfiguration(t *testing.T) {
	t.Parallel()
	until := make(chan struct{})
	defer close(until)
	silent := newStubControl(t)
	silent.RespondOnce(holdResponse(until))
	refused := newStubControl(t, newResource(resource.Service, "s", `{"name":"s","classes":[{"name":"view","effect":"unsafe"}]}`))
	for _, test := range []struct {
		name, control, says string
		nack                *stubControl // the control that must be notified of a refusal; nil: none
	}{
		{"silent", silent.Addr, "control has not replied", nil},
		{"unreachable", freeAddr(t), "unreachable", nil},
		{"refused", refused.Addr, `service "s": classes[0].effect: unsafe, but the node's settings say that view is safe`, refused},
	} {
		t.Run(test.name, func(t *testing.T) {
			running := runFullNode(t, "", test.control, newStubDiscovery(t))
			var text string
			waitFor(t, "the reason", func() bool {
				_, text = operatorCall(t, "GET", running.mgmt, "/-/ready")
				return strings.HasPrefix(text, "no configuration yet") && strings.Contains(text, test.says)
			})
			if test.nack != nil {
				waitFor(t, "control to be notified of the refusal", func() bool { return strings.Contains(test.nack.RefusalReason(test.nack.Version()), test.says) })
			}
			running.leave()
			select {
			case err := <-running.exited:
				must(t, err)
				running.exited <- nil
			case <-time.After(testTimeout):
				t.Fatal("the node does not stop")
			}
			if _, err := net.Dial("tcp", running.mgmt); err == nil {
				t.Error("the management listener is still open")
			}
		})
	}
}

// A file that is read again while the node waits for its configuration is applied: other addresses of control are asked
// at once, and other settings may admit a version that was refused.
func TestReloadWhileWaitingForConfiguration(t *testing.T) {
	t.Parallel()
	server := newStubServer(t, respondOK)
	control := newStubControl(t, newResource(resource.Service, "s", `{"name":"s","classes":[{"name":"quote","effect":"safe"}]}`))
	running := runFullNode(t, "", freeAddr(t), newStubDiscovery(t), server.entry("s-1"))
	waitFor(t, "the management address", func() bool { status, _ := operatorCall(t, "GET", running.mgmt, "/-/ready"); return status == 503 })
	reload := func(cfg Config) error {
		applied := make(chan error, 1)
		select {
		case running.reload <- Change{cfg, applied}:
		case <-time.After(testTimeout):
			t.Fatal("the node accepts no reload while it waits")
		}
		return receive(t, "the end of the reload", applied)
	}
	bad := running.cfg
	withProductFile(t, "contracts: [{name: all}]\n")(&bad)
	if err := reload(bad); err == nil || !strings.Contains(err.Error(), "control: ") {
		t.Errorf("a file without control: %v", err)
	}
	other := running.cfg
	withProductFile(t, fmt.Sprintf("control: {addresses: [%q]}\n", control.Addr))(&other)
	must(t, reload(other))
	waitFor(t, "the refusal", func() bool { return running.configuration(t).LastRefusal != nil })
	var err error
	other.Settings, err = wire.DecodeSettings([]byte(strings.Replace(settingsJSON, `"effect":"single_shot"`, `"effect":"free"`, 1)))
	must(t, err)
	must(t, reload(other))
	waitFor(t, "ready", func() bool { status, _ := operatorCall(t, "GET", running.mgmt, "/-/ready"); return status == 200 })
	node := &testNode{addr: running.addr}
	if resp, _ := node.dial(t).roundTrip(testRequest{"GET", "quote", "a", "", "", "50000m"}); resp.StatusCode != 200 {
		t.Errorf("a class of the settings that were read again: %d", resp.StatusCode)
	}
}

// A change is applied at a node completely (contracts, routes and pinned tenants) and without an operator's call. What
// it does not touch keeps its budgets.
func TestChangeIsApplied(t *testing.T) {
	t.Parallel()
	server := newStubServer(t, respondOK)
	control := newStubControl(t, tenantContract("app", 2), tenantContract("old", 5))
	node := newControlledNode(t, control, newStubDiscovery(t), "cells: {size: 1, seed: 1}\n", nil, server.entry("s-1"))
	c := node.dial(t)
	for i, want := range []int{200, 200, 429} {
		if got := c.statusOf(fmt.Sprint("app", i), "app"); got != want {
			t.Errorf("request %d: %d, want %d", i, got, want)
		}
	}
	version := control.change([]resource.Resource{tenantContract("new", 1), newResource(resource.Tenant, "new", `{"tenant":"new","pods":[7]}`)},
		resource.Key{Kind: resource.Contract, Name: "old"})
	waitFor(t, "the change", func() bool { return node.versionInForce() == version })
	if got := c.statusOf("new0", "new"); got != 503 { // admitted, but its pod has no server
		t.Errorf("a new tenant that is pinned to another pod: %d", got)
	}
	if got := c.statusOf("old0", "old"); got != 403 {
		t.Errorf("a tenant whose contract was removed: %d", got)
	}
	if got := c.statusOf("app3", "app"); got != 429 {
		t.Errorf("an unchanged contract got a second burst: %d", got)
	}
	if snapshots, deltas := control.ResponseCounts(); snapshots != 1 || deltas != 1 {
		t.Errorf("%d full snapshots and %d deltas, want one of each", snapshots, deltas)
	}
}

// An invalid change is refused completely: nothing of it is applied, control is notified of resource and field, and the
// next valid change is accepted.
func TestInvalidChangeIsRefusedCompletely(t *testing.T) {
	t.Parallel()
	server := newStubServer(t, respondOK)
	control := newStubControl(t, tenantContract("app", 100))
	node := newControlledNode(t, control, newStubDiscovery(t), "", nil, server.entry("s-1"))
	before := node.versionInForce()
	bad := control.change([]resource.Resource{tenantContract("good", 100),
		newResource(resource.Contract, "wrong", `{"name":"wrong","match":[{"from":"nowhere"}],"rate":1}`)}, resource.Key{Kind: resource.Contract, Name: "app"})
	waitFor(t, "the refusal", func() bool { return control.RefusalReason(bad) != "" })
	if why := control.RefusalReason(bad); !strings.Contains(why, `contract "wrong"`) || !strings.Contains(why, "match[0].from") {
		t.Errorf("control is notified of %q", why)
	}
	if node.versionInForce() != before || !node.hasContract(t, "app") || node.hasContract(t, "good") {
		t.Error("a part of a refused change is in force")
	}
	c := node.dial(t)
	if got := c.statusOf("a", "app"); got != 200 {
		t.Errorf("by the previous version: %d", got)
	}
	report := node.cfg.follower.report()
	if f := report.LastRefusal; f == nil || f.Version != bad.String() || f.Resource != `contract "wrong"` || f.Field != "match[0].from" || report.Refusals != 1 {
		t.Errorf("the configuration page: %+v", report)
	}
	good := control.change([]resource.Resource{tenantContract("wrong", 100)})
	waitFor(t, "the corrected change", func() bool { return node.versionInForce() == good })
	if !node.hasContract(t, "good") || !node.hasContract(t, "wrong") || node.hasContract(t, "app") {
		t.Error("the deltas of both changes are not in force")
	}
	if snapshots, _ := control.ResponseCounts(); snapshots != 1 {
		t.Errorf("the full snapshot was sent %d times", snapshots)
	}
}

// A node goes on serving by its configuration while control is down. When control is back the node gets the changes
// that it missed, not a full snapshot.
func TestNodeServesWhileControlIsDown(t *testing.T) {
	t.Parallel()
	server := newStubServer(t, respondOK)
	control := newStubControl(t, tenantContract("app", 1000))
	node := newControlledNode(t, control, newStubDiscovery(t), "", nil, server.entry("s-1"))
	c := node.dial(t)
	control.Stop()
	waitFor(t, "failed calls", func() bool { return node.cfg.follower.report().Calls.Failures[follow.Unreachable] >= 2 })
	for i := range 20 {
		if got := c.statusOf(fmt.Sprint("a", i), "app"); got != 200 {
			t.Fatalf("without control: %d", got)
		}
	}
	control.change([]resource.Resource{tenantContract("missed", 10)})
	last := control.change([]resource.Resource{tenantContract("too", 10)})
	must(t, control.Start())
	waitFor(t, "the missed changes", func() bool { return node.versionInForce() == last })
	if got := c.statusOf("m", "missed"); got != 200 {
		t.Errorf("by a missed change: %d", got)
	}
	if snapshots, deltas := control.ResponseCounts(); snapshots != 1 || deltas != 1 {
		t.Errorf("%d full snapshots and %d deltas, want one of each", snapshots, deltas)
	}
}

// However control responds, the node goes on serving by the previous version, and accepts the next valid change.
func TestInvalidControlResponses(t *testing.T) {
	t.Parallel()
	ahead := uint64(time.Now().Add(48 * time.Hour).UnixMilli())
	for _, test := range []struct {
		name     string
		response func(control *stubControl, v resource.Version) http.HandlerFunc
		expires  bool               // the response ends by the limit on its body, which the test lets expire
		kind     follow.FailureKind // the kind of failure that is counted; empty: none
	}{
		{"a response that never ends", func(control *stubControl, v resource.Version) http.HandlerFunc {
			return func(w http.ResponseWriter, r *http.Request) {
				fmt.Fprintf(w, `{"from":%q,"to":"%d.%d","sum":"0000000000000000","put":[`, v, v.Epoch, v.Number+1)
				w.(http.Flusher).Flush()
				<-r.Context().Done()
			}
		}, true, follow.Broken},
		{"a response that is cut off", func(control *stubControl, v resource.Version) http.HandlerFunc {
			return func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Length", "1000")
				fmt.Fprintf(w, `{"from":%q,`, v)
			}
		}, false, follow.Broken},
		{"no JSON", func(*stubControl, resource.Version) http.HandlerFunc {
			return func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "<html>") }
		}, false, follow.Malformed},
		{"an empty object", func(*stubControl, resource.Version) http.HandlerFunc {
			return func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "{}") }
		}, false, follow.Malformed},
		{"a body over the size limit", func(control *stubControl, v resource.Version) http.HandlerFunc {
			return func(w http.ResponseWriter, r *http.Request) {
				// The compressed members are next to empty: the compressed bytes exceed the limit, so that no time goes
				// into decoding JSON.
				w.Header().Set("Content-Encoding", "gzip")
				z := gzip.NewWriter(w)
				fmt.Fprintf(z, `{"from":%q,"to":"%d.%d","sum":"0000000000000000","put":[`, v, v.Epoch, v.Number+1)
				z.Close()
				for extra := make([]byte, 60_000); r.Context().Err() == nil; {
					z.Reset(w)
					z.Extra = extra
					z.Close()
				}
			}
		}, false, follow.TooLong},
		{"a version with an epoch two days ahead", func(control *stubControl, v resource.Version) http.HandlerFunc {
			return respondWithDelta(&resource.Delta{To: resource.Version{Epoch: ahead, Number: 1}})
		}, false, follow.Refused},
		{"a delta from a version that the node does not have", func(control *stubControl, v resource.Version) http.HandlerFunc {
			return respondWithDelta(&resource.Delta{From: resource.Version{Epoch: v.Epoch, Number: v.Number + 6}, To: resource.Version{Epoch: v.Epoch, Number: v.Number + 7}})
		}, false, follow.Unfit},
		{"an older version", func(control *stubControl, v resource.Version) http.HandlerFunc {
			return respondWithDelta(&resource.Delta{To: resource.Version{Epoch: v.Epoch - 1, Number: 99}})
		}, false, ""},
		{"the previous delta again", func(control *stubControl, v resource.Version) http.HandlerFunc {
			return respondWithDelta(&resource.Delta{From: resource.Version{Epoch: v.Epoch, Number: v.Number - 1}, To: v, Checksum: 1, Put: []resource.Resource{tenantContract("forged", 1)}})
		}, false, ""},
		{"a delta with the wrong checksum", func(control *stubControl, v resource.Version) http.HandlerFunc {
			return respondWithDelta(&resource.Delta{From: v, To: resource.Version{Epoch: v.Epoch, Number: v.Number + 1}, Checksum: 1,
				Put: []resource.Resource{tenantContract("forged", 1)}})
		}, false, follow.Unfit},
		{"a resource of an unknown kind", func(control *stubControl, v resource.Version) http.HandlerFunc {
			return respondWithDelta(&resource.Delta{From: v, To: resource.Version{Epoch: v.Epoch, Number: v.Number + 9}, Checksum: 1,
				Put: []resource.Resource{tenantContract("forged", 1), newResource("pipe", "p", "{}")}})
		}, false, follow.Refused},
		{"an unexpected status", func(*stubControl, resource.Version) http.HandlerFunc {
			return func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(http.StatusTeapot) }
		}, false, follow.OtherStatus},
		{"a redirect", func(control *stubControl, _ resource.Version) http.HandlerFunc {
			return func(w http.ResponseWriter, r *http.Request) {
				http.Redirect(w, r, "http://127.0.0.1:1/", http.StatusFound)
			}
		}, false, follow.OtherStatus},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			server := newStubServer(t, respondOK)
			control := newStubControl(t, tenantContract("app", 1000))
			clock := &expiringClock{Clock: follow.SystemClock()}
			node := newControlledNode(t, control, newStubDiscovery(t), "", func(c *Config) { c.adjustFollow = func(o *follow.Options) { o.Clock = clock } }, server.entry("s-1"))
			before, calls := node.versionInForce(), control.CallCount()
			waitFor(t, "the watch", func() bool { return control.CallCount() > calls || control.CallCount() > 1 })
			calls = control.CallCount()
			begun := make(chan struct{})
			respond := test.response(control, before)
			timers := clock.count()
			control.RespondOnce(func(w http.ResponseWriter, r *http.Request) {
				close(begun)
				respond(w, r)
			})
			receive(t, "a call with this response", begun)
			if test.expires {
				waitFor(t, "the limits on the head and on the body", func() bool { return clock.count() > timers+1 })
				clock.expire()
			}
			waitFor(t, "the next call", func() bool { return control.CallCount() > calls })
			if node.versionInForce() != before {
				t.Errorf("%s is in force", node.versionInForce())
			}
			for kind, n := range node.cfg.follower.report().Calls.Failures {
				if want := kind == test.kind; want != (n > 0) {
					t.Errorf("%d calls failed as %s, want failures of kind %q alone", n, kind, test.kind)
				}
			}
			if c := node.dial(t); c.statusOf("a", "app") != 200 || c.statusOf("b", "forged") != 403 {
				t.Error("the node does not serve by the previous version")
			}
			good := control.change([]resource.Resource{tenantContract("next", 10)})
			waitFor(t, "the next valid change", func() bool { return node.versionInForce() == good })
		})
	}
}

// expiringClock is a clock with which a test lets the limits on a response's body expire: the pending timers of two
// seconds and more.
type expiringClock struct {
	follow.Clock
	mu      sync.Mutex
	pending []func()
}

func (c *expiringClock) AfterFunc(d time.Duration, f func()) {
	if d >= 2*time.Second {
		c.mu.Lock()
		c.pending = append(c.pending, f)
		c.mu.Unlock()
	}
	c.Clock.AfterFunc(d, f)
}

// count returns the number of timers that are pending, or were until expire.
func (c *expiringClock) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}

// expire lets the pending timers fire.
func (c *expiringClock) expire() {
	c.mu.Lock()
	all := c.pending
	c.pending = nil
	c.mu.Unlock()
	for _, f := range all {
		f()
	}
}

// quoteSafeSettingsJSON is settings in which the class quote is safe.
var quoteSafeSettingsJSON = strings.Replace(settingsJSON, `"effect":"single_shot"`, `"effect":"free"`, 1)

// A change from control and a SIGHUP are handled one after the other, whichever comes first: the configuration in force
// always fits the settings in force.
func TestChangeDuringReload(t *testing.T) {
	t.Parallel()
	// This service fits settings in which quote is unsafe, and no others.
	unsafe := newResource(resource.Service, "s", `{"name":"s","classes":[{"name":"quote","effect":"unsafe"}]}`)
	reload := func(node *testNode) error {
		set, err := wire.DecodeSettings([]byte(quoteSafeSettingsJSON))
		must(t, err)
		return node.reload(Config{Discovery: node.discovery.client.Addr(), Settings: set, Product: node.cfg.Product})
	}
	t.Run("the change first", func(t *testing.T) {
		t.Parallel()
		control := newStubControl(t, tenantContract("app", 10))
		node := newControlledNode(t, control, newStubDiscovery(t), "", nil)
		version := control.change([]resource.Resource{unsafe})
		waitFor(t, "the change", func() bool { return node.versionInForce() == version })
		err := reload(node)
		if err == nil || !strings.Contains(err.Error(), `service "s": classes[0].effect: unsafe`) {
			t.Errorf("settings that the configuration in force does not fit: %v", err)
		}
		if node.settings.Load().effects["quote"] != node.cfg.Settings.Policy.Classes[2].Effect {
			t.Error("a part of a refused reload is in force")
		}
	})
	t.Run("the reload first", func(t *testing.T) {
		t.Parallel()
		control := newStubControl(t, tenantContract("app", 10))
		node := newControlledNode(t, control, newStubDiscovery(t), "", nil)
		must(t, reload(node))
		version := control.change([]resource.Resource{unsafe})
		waitFor(t, "the refusal", func() bool { return control.RefusalReason(version) != "" })
		if why := control.RefusalReason(version); !strings.Contains(why, `service "s": classes[0].effect: unsafe, but`) {
			t.Errorf("control is notified of %q", why)
		}
	})
	t.Run("the reload while the change is checked and not applied", func(t *testing.T) {
		t.Parallel()
		control := newStubControl(t, tenantContract("app", 10))
		checked, proceed := make(chan struct{}), make(chan struct{})
		first := true
		node := newControlledNode(t, control, newStubDiscovery(t), "", func(c *Config) {
			c.onPrepared = func() {
				if !first {
					close(checked)
					<-proceed
				}
				first = false
			}
		})
		version := control.change([]resource.Resource{unsafe})
		receive(t, "the check of the change", checked)
		done := make(chan error, 1)
		go func() { done <- reload(node) }()
		waitFor(t, "the reload to wait for the lock, or to end", func() bool {
			return len(done) > 0 || someStackContains("created by portstall/internal/node.TestChangeDuringReload", "(*configFollower).lock(")
		})
		if len(done) > 0 {
			t.Error("the reload did not wait for a change that is checked and not applied")
		}
		close(proceed)
		if err := receive(t, "the end of the reload", done); err == nil || !strings.Contains(err.Error(), `service "s"`) {
			t.Errorf("a reload after a change: %v", err)
		}
		if node.versionInForce() != version {
			t.Errorf("%s is in force, want %s", node.versionInForce(), version)
		}
	})
}

// someStackContains reports whether some goroutine's stack contains all of the parts.
func someStackContains(parts ...string) bool {
	text := make([]byte, 8<<20)
	for _, stack := range strings.Split(string(text[:runtime.Stack(text, true)]), "\n\n") {
		if !slices.ContainsFunc(parts, func(p string) bool { return !strings.Contains(stack, p) }) {
			return true
		}
	}
	return false
}

// SIGHUP leaves control's configuration as it is: contracts with their budgets, and pinned tenants.
func TestReloadKeepsControlConfiguration(t *testing.T) {
	t.Parallel()
	server := newStubServer(t, respondOK)
	control := newStubControl(t, tenantContract("app", 1), tenantContract("far", 100), newResource(resource.Tenant, "far", `{"tenant":"far","pods":[7]}`))
	node := newControlledNode(t, control, newStubDiscovery(t), "cells: {size: 1, seed: 1}\n", nil, server.entry("s-1"))
	c := node.dial(t)
	if got := c.statusOf("a", "app"); got != 200 {
		t.Errorf("the first request: %d", got)
	}
	cfg := node.cfg
	withProductFile(t, fmt.Sprintf("parts: even\ncells: {size: 2, seed: 1}\ncontrol: {addresses: [%q]}\n", control.Addr))(&cfg)
	must(t, node.reload(cfg))
	if got := c.statusOf("b", "app"); got != 429 {
		t.Errorf("a reload gave a contract a second burst: %d", got)
	}
	if got := c.statusOf("c", "far"); got != 503 {
		t.Errorf("a reload removed a tenant's pods: %d", got)
	}
	if got := c.statusOf("d", "nobody"); got != 403 {
		t.Errorf("a reload removed the contracts: %d", got)
	}
	without := cfg
	withProductFile(t, "cells: {size: 2, seed: 1}\ncontracts: [{name: all}]\n")(&without)
	if err := node.reload(without); err == nil || !strings.Contains(err.Error(), "control: ") {
		t.Errorf("a reload without control: %v", err)
	}
}

// SIGHUP with other addresses of control applies from the next call on, and the node continues from the version that it
// has.
func TestReloadSwitchesControl(t *testing.T) {
	t.Parallel()
	server := newStubServer(t, respondOK)
	control := newStubControl(t, tenantContract("app", 100))
	node := newControlledNode(t, control, newStubDiscovery(t), "", nil, server.entry("s-1"))
	waitFor(t, "the watch", func() bool { return control.CallCount() > 1 })
	other := newStubControl(t)
	must(t, other.CopyFrom(control.Control))
	cfg := node.cfg
	withProductFile(t, fmt.Sprintf("control: {addresses: [%q]}\n", other.Addr))(&cfg)
	must(t, node.reload(cfg))
	waitFor(t, "a call to the other control", func() bool { return other.CallCount() > 0 })
	version := other.change([]resource.Resource{tenantContract("there", 100)})
	waitFor(t, "the other control's change", func() bool { return node.versionInForce() == version })
	if snapshots, deltas := other.ResponseCounts(); snapshots != 0 || deltas != 1 {
		t.Errorf("the other control sent %d full snapshots and %d deltas", snapshots, deltas)
	}
}

// A request whose service and contract are removed while it is in flight still gets its one response. A contract that
// is put again under its name keeps its debt.
func TestRemovalWithRequestInFlight(t *testing.T) {
	t.Parallel()
	release := make(chan bool)
	server := newSlowServer(t, release)
	service := newResource(resource.Service, "reading", `{"name":"reading","classes":[{"name":"view"}]}`)
	limits := newResource(resource.Contract, "app", `{"name":"app","match":[{"tenant":"app"}],"services":["reading"],"rate":0.001,"burst":2}`)
	control := newStubControl(t, service, limits, tenantContract("other", 100))
	node := newControlledNode(t, control, newStubDiscovery(t), "", nil, server.entry("s-1"))
	slow := node.dial(t)
	slow.send(withHeaders(view("slow"), "X-Tenant: app"))
	waitFor(t, "the request at the web server", func() bool { return len(server.requests()) == 1 })
	version := control.change(nil, service.Key, limits.Key)
	waitFor(t, "the change", func() bool { return node.versionInForce() == version })
	c := node.dial(t)
	if got := c.statusOf("x", "app"); got != 403 {
		t.Errorf("a request after the change: %d", got)
	}
	close(release)
	if resp, body := slow.readResponse(); resp.StatusCode != 200 || body != "done slow" {
		t.Errorf("the request in flight: %d %q", resp.StatusCode, body)
	}
	version = control.change([]resource.Resource{service, limits})
	waitFor(t, "the contract put again", func() bool { return node.versionInForce() == version })
	for i, want := range []int{200, 429} { // one of two was spent before the removal
		if got := c.statusOf(fmt.Sprint("again", i), "app"); got != want {
			t.Errorf("request %d of the contract put again: %d, want %d", i, got, want)
		}
	}
	if n := len(server.requests()); n != 2 {
		t.Errorf("%d requests at the web server", n)
	}
}

// A successor has a configuration of its own before it asks for the clients. A change during a hand-over reaches both
// processes, and the debts of contracts are part of the handed-over state.
func TestChangeDuringHandOver(t *testing.T) {
	t.Parallel()
	release := make(chan bool)
	server := newSlowServer(t, release)
	control := newStubControl(t, tenantContract("app", 2), tenantContract("slow", 100))
	predecessor, handOver := startPredecessor(t, control, newStubDiscovery(t), server)
	c, slow := predecessor.dial(t), predecessor.dial(t)
	if got := c.statusOf("a", "app"); got != 200 {
		t.Fatalf("before the hand-over: %d", got)
	}
	slow.send(withHeaders(view("slow"), "X-Tenant: slow"))
	waitFor(t, "the request at the web server", func() bool { return len(server.requests()) == 2 })
	successor := handOver()
	version := control.change([]resource.Resource{newResource(resource.Contract, "new", `{"name":"new","match":[{"tenant":"new"}]}`)})
	waitFor(t, "the change at both", func() bool { return successor.versionInForce() == version && predecessor.versionInForce() == version })
	next := successor.dial(t)
	if got := next.statusOf("n", "new"); got != 200 {
		t.Errorf("the change at the successor: %d", got)
	}
	if got := [2]int{next.statusOf("b", "app"), next.statusOf("c", "app")}; got != [2]int{200, 429} {
		t.Errorf("a contract with one of two requests spent before the hand-over: %v", got)
	}
	if share := successor.core.Stats(0).ContractShare; share != successorShare {
		t.Errorf("the successor hands out a share of %v next to its predecessor, want %v", share, successorShare)
	}
	close(release)
	if resp, body := slow.readResponse(); resp.StatusCode != 200 || body != "done slow" {
		t.Errorf("the predecessor's request: %d %q", resp.StatusCode, body)
	}
	select {
	case err := <-predecessor.exited:
		must(t, err)
		predecessor.exited <- nil
	case <-time.After(testTimeout):
		t.Error("the predecessor does not end")
	}
}

// The debt of a contract that was removed before a hand-over applies at the successor when the contract is put again
// there.
func TestRemovedContractDebtIsHandedOver(t *testing.T) {
	t.Parallel()
	release := make(chan bool)
	server := newSlowServer(t, release)
	// A request of unknown cost is charged 0.05 server-seconds, which this budget refills in 500 s.
	limits := newResource(resource.Contract, "app", `{"name":"app","match":[{"tenant":"app"}],"work":{"limit":0.0001}}`)
	control := newStubControl(t, limits, tenantContract("other", 100))
	predecessor, handOver := startPredecessor(t, control, newStubDiscovery(t), server)
	slow := predecessor.dial(t)
	slow.send(withHeaders(view("slow"), "X-Tenant: app"))
	waitFor(t, "the request at the web server", func() bool { return len(server.requests()) == 1 })
	version := control.change(nil, limits.Key)
	waitFor(t, "the removal", func() bool { return predecessor.versionInForce() == version })
	successor := handOver()
	version = control.change([]resource.Resource{limits})
	waitFor(t, "the contract put again", func() bool { return successor.versionInForce() == version })
	if got := successor.dial(t).statusOf("a", "app"); got != 429 {
		t.Errorf("the debt of a contract that was removed before the hand-over: %d", got)
	}
	close(release)
	if resp, body := slow.readResponse(); resp.StatusCode != 200 || body != "done slow" {
		t.Errorf("the predecessor's request: %d %q", resp.StatusCode, body)
	}
}

// The first contract of all, put during a hand-over, is shared between the two processes like contracts that were there
// before.
func TestFirstContractDuringHandOver(t *testing.T) {
	t.Parallel()
	release := make(chan bool)
	server := newSlowServer(t, release)
	control := newStubControl(t, newResource(resource.Service, "s", `{"name":"s"}`))
	predecessor, handOver := startPredecessor(t, control, newStubDiscovery(t), server)
	slow := predecessor.dial(t)
	slow.send(view("slow").text())
	waitFor(t, "the request at the web server", func() bool { return len(server.requests()) == 1 })
	successor := handOver()
	if st := successor.core.Stats(1); st.HasContracts {
		t.Error("contracts are in force where control provides none")
	}
	if resp, _ := successor.dial(t).roundTrip(view("a")); resp.StatusCode != 200 {
		t.Errorf("without any contract: %d", resp.StatusCode)
	}
	version := control.change([]resource.Resource{tenantContract("app", 100)})
	waitFor(t, "the change at both", func() bool { return successor.versionInForce() == version && predecessor.versionInForce() == version })
	if gotSuccessor, gotPredecessor := successor.core.Stats(1).ContractShare, predecessor.core.Stats(1).ContractShare; gotSuccessor != successorShare || gotPredecessor != 1-successorShare {
		t.Errorf("the two hand out shares of %v and %v", gotSuccessor, gotPredecessor)
	}
	close(release)
	if resp, _ := slow.readResponse(); resp.StatusCode != 200 {
		t.Errorf("the predecessor's request: %d", resp.StatusCode)
	}
}

// SIGTERM during a change: the change is applied or not, requests get their responses, and the process ends.
func TestTerminationDuringChange(t *testing.T) {
	t.Parallel()
	release := make(chan bool)
	server := newSlowServer(t, release)
	control := newStubControl(t, tenantContract("app", 100))
	checked, proceed := make(chan struct{}), make(chan struct{})
	first := true
	node := newControlledNode(t, control, newStubDiscovery(t), "", func(c *Config) {
		c.onPrepared = func() {
			if !first {
				close(checked)
				<-proceed
			}
			first = false
		}
	}, server.entry("s-1"))
	slow := node.dial(t)
	slow.send(withHeaders(view("slow"), "X-Tenant: app"))
	waitFor(t, "the request at the web server", func() bool { return len(server.requests()) == 1 })
	version := control.change([]resource.Resource{tenantContract("new", 1)})
	receive(t, "the check of the change", checked)
	node.terminate()
	waitFor(t, "leaving", func() bool { return node.lifecycle.current() == leaving })
	closed := make(chan struct{})
	go func() {
		node.cfg.follower.close()
		close(closed)
	}()
	followerClosed := func() bool {
		select {
		case <-closed:
			return true
		default:
			return false
		}
	}
	waitFor(t, "close to wait for the change, or to return", func() bool {
		return followerClosed() || someStackContains("chan receive", "(*configFollower).close(", "created by portstall/internal/node.TestTerminationDuringChange")
	})
	if followerClosed() {
		t.Error("the end of the process did not wait for a change that is checked and not applied")
	}
	close(proceed)
	waitFor(t, "the change", func() bool { return node.versionInForce() == version })
	close(release)
	if resp, body := slow.readResponse(); resp.StatusCode != 200 || body != "done slow" {
		t.Errorf("the request in flight: %d %q", resp.StatusCode, body)
	}
	select {
	case err := <-node.exited:
		must(t, err)
		node.exited <- nil
	case <-time.After(testTimeout):
		t.Error("the node does not end")
	}
	receive(t, "the end of the calls to control", closed)
}

// An opaque tunnel's route is looked up together with its contract: a change between the client's opening and that
// moment is seen completely.
func TestTunnelUsesRouteInForce(t *testing.T) {
	t.Parallel()
	server := newEchoServer(t, nil)
	route := func(class string) resource.Resource {
		return newResource(resource.Route, "lines.example.org:7", fmt.Sprintf(`{"host":"lines.example.org","port":7,"service":"lines","kind":"opaque","class":%q}`, class))
	}
	service := newResource(resource.Service, "lines", `{"name":"lines"}`)
	control := newStubControl(t, service, route("quote"))
	addr := freeAddr(t)
	node := newControlledNode(t, control, newStubDiscovery(t), fmt.Sprintf("tunnels: {connect: %q}\n", addr), nil, endpoints.Endpoint{ID: "s-1", Addr: server.ln.Addr().String(), Zone: "north", Kind: "k", State: "Ready"})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	must(t, node.openTunnelListeners(ctx, node.cfg.Product.Tunnels))
	conn, status := openTunnel(t, addr, echoConnectOpening, 0)
	if status != "200" {
		t.Fatalf("a route from control: %s", status)
	}
	conn.echo("before")
	version := control.change(nil, route("").Key)
	waitFor(t, "the change", func() bool { return node.versionInForce() == version })
	conn.echo("an open tunnel goes on")
	if resp := requestConnect(t, addr); resp.StatusCode != 403 {
		t.Errorf("a removed route: %d", resp.StatusCode)
	}
	version = control.change([]resource.Resource{route("view")})
	waitFor(t, "the route put again", func() bool { return node.versionInForce() == version })
	conn, status = openTunnel(t, addr, echoConnectOpening, 0)
	if status != "200" {
		t.Fatalf("a route put again: %s", status)
	}
	conn.echo("again")
}

// The garbage between two collections stays about the same, and the percentage within its bounds.
func TestGCPercent(t *testing.T) {
	t.Parallel()
	for _, k := range []struct{ resources, want int }{{0, 400}, {100, 391}, {2105, 275}, {21050, 72}, {resource.MaxResources, 50}} {
		if got := gcPercent(k.resources); got != k.want {
			t.Errorf("%d resources: %d%%, want %d%%", k.resources, got, k.want)
		}
	}
}

// No request sees a part of a change. Route, service and contract change together from one class to another and back,
// many times: an opening that saw the route of one configuration and the contract of the other would be refused.
func TestTunnelNeverSeesPartialChange(t *testing.T) {
	t.Parallel()
	server := newEchoServer(t, nil)
	state := func(class string) []resource.Resource {
		return []resource.Resource{
			newResource(resource.Service, "lines", fmt.Sprintf(`{"name":"lines","classes":[{"name":%q}]}`, class)),
			newResource(resource.Contract, "all", `{"name":"all","services":["lines"]}`),
			newResource(resource.Route, "lines.example.org:7", fmt.Sprintf(`{"host":"lines.example.org","port":7,"service":"lines","kind":"opaque","class":%q}`, class)),
		}
	}
	control := newStubControl(t, state("view")...)
	addr := freeAddr(t)
	node := newControlledNode(t, control, newStubDiscovery(t), fmt.Sprintf("tunnels: {connect: %q}\n", addr), nil, endpoints.Endpoint{ID: "s-1", Addr: server.ln.Addr().String(), Zone: "north", Kind: "k", State: "Ready"})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	must(t, node.openTunnelListeners(ctx, node.cfg.Product.Tunnels))
	done := make(chan struct{})
	var clients sync.WaitGroup
	opened := make([]int, 4)
	for i := range opened {
		clients.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				conn, err := net.Dial("tcp", addr)
				if err != nil {
					t.Error(err)
					return
				}
				io.WriteString(conn, echoConnectOpening)
				conn.SetReadDeadline(time.Now().Add(testTimeout))
				resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodConnect})
				conn.Close()
				if err != nil || resp.StatusCode != 200 {
					t.Errorf("an opening during changes: %v %v", resp, err)
					return
				}
				opened[i]++
			}
		})
	}
	for i := range 60 {
		version := control.change(state([]string{"quote", "view"}[i%2]))
		waitFor(t, "the change", func() bool { return node.versionInForce() == version })
		// The race detector's sync.Pool drops a quarter of its items, among them pipes of io.Copy between sockets. Each
		// holds two descriptors until it is collected; without this call thousands accumulate, of the 20,000 that all
		// tests of the process share.
		runtime.GC()
	}
	close(done)
	clients.Wait()
	t.Log(opened, "openings")
}

// A goroutine that waits for the core's lock behind a change gets it only when all of the change is applied: contracts
// and routes are not changed in two holds of the lock. Once a goroutine has waited for a millisecond and was woken in
// vain, the mutex is handed to the waiting goroutines in their order.
func TestChangeIsAppliedUnderOneLock(t *testing.T) {
	control := newStubControl(t, newResource(resource.Service, "lines", `{"name":"lines"}`), tenantContract("app", 100),
		newResource(resource.Route, "lines.example.org:7", `{"host":"lines.example.org","port":7,"service":"lines","kind":"opaque","class":"view"}`))
	addr := freeAddr(t)
	node := newControlledNode(t, control, newStubDiscovery(t), fmt.Sprintf("tunnels: {connect: %q}\n", addr), nil)
	waitFor(t, "the contract to be in force", func() bool { return node.hasContract(t, "app") })
	seen := func() (inForce, route bool) { // the core's lock is held
		_, route = node.tunnelRoutes.Find("lines.example.org", 7)
		return slices.ContainsFunc(node.core.ContractStates(), func(l contract.ContractState) bool { return l.Name == "app" && l.Removed == nil }), route
	}
	node.core.Lock()
	if c, route := seen(); !c || !route {
		node.core.Unlock()
		t.Fatal("not in force at first", c, route)
	}
	version := control.change(nil, resource.Key{Kind: resource.Contract, Name: "app"}, resource.Key{Kind: resource.Route, Name: "lines.example.org:7"})
	waits := func(parts ...string) func() bool {
		return func() bool { return someStackContains(append(parts, "sync.(*Mutex).lockSlow")...) }
	}
	waitUnlocking := func(what string, ok func() bool) {
		for end := time.Now().Add(testTimeout); !ok(); {
			if time.Now().After(end) {
				node.core.Unlock()
				t.Fatalf("%s: did not happen within the test's time-out", what)
			}
		}
	}
	waitUnlocking("the change to wait for the lock", waits("(*configFollower).applyOrQueue("))
	next := make(chan [2]bool, 1)
	go func() {
		node.core.Lock()
		defer node.core.Unlock()
		c, route := seen()
		next <- [2]bool{c, route}
	}()
	nextWaits := waits("created by portstall/internal/node.TestChangeIsAppliedUnderOneLock")
	waitUnlocking("the next goroutine to wait for the lock", nextWaits)
	for range 3 { // a goroutine that is woken and finds the lock taken again gets it in its turn from then on, and so does the one behind it
		node.core.Unlock()
		node.core.Lock()
		if c, route := seen(); !c || !route {
			break // the goroutine got the lock before it was taken again
		}
		waitUnlocking("both to wait for the lock again", func() bool { return waits("(*configFollower).applyOrQueue(")() && nextWaits() })
	}
	node.core.Unlock()
	if got := receive(t, "what the next goroutine saw", next); got != [2]bool{} {
		t.Errorf("after the change: contract %v, route %v in force", got[0], got[1])
	}
	waitFor(t, "the change", func() bool { return node.versionInForce() == version })
}

// Without control a node has no additional goroutine, page, metric or connection.
func TestNodeWithoutControl(t *testing.T) {
	t.Parallel()
	server := newStubServer(t, respondOK)
	node := newTestNode(t, newStubDiscovery(t), settingsJSON, withProductFile(t, teamContractsYAML), server.entry("s-1"))
	if node.cfg.follower != nil || node.tunnelRoutes != nil {
		t.Error("the node follows control")
	}
	for _, p := range node.managementPages() {
		var text bytes.Buffer
		if p.Path == "configuration" {
			t.Error("there is a configuration page")
		}
		if p.Path == "metrics" {
			must(t, p.Write(&text, nil))
			if strings.Contains(text.String(), "configuration") {
				t.Error("there are configuration metrics")
			}
		}
	}
}
