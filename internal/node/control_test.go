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
	"portstall/internal/resource"
	"portstall/internal/wire"
)

// statusOf is how a request of a tenant is answered.
func (c *client) statusOf(id, tenant string) int {
	c.t.Helper()
	c.send(with(view(id), "X-Tenant: "+tenant))
	resp, _ := c.answer()
	return resp.StatusCode
}

// admits tells whether a contract is in force that lets the tenant in; it charges nothing.
func (r *rig) admits(t *testing.T, tenant string) bool {
	t.Helper()
	v, err := r.Explain(url.Values{"tenant": {tenant}, "class": {"view"}})
	if err != nil {
		return true // there are none
	}
	return v.(Explanation).Contract == tenant
}

// ctxCall is a call to an operators' address.
func opsCall(t *testing.T, method, addr, path string) (status int, text string) {
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

// whole runs a node as its program does, with control.
type wholeNode struct {
	addr, mgmt string
	reload     chan Change
	leave      context.CancelFunc
	exited     chan error
	cfg        Config
	log        *lockedBuffer
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func runWhole(t *testing.T, product string, control string, g *registry, known ...listed) *wholeNode {
	t.Helper()
	set, err := wire.DecodeSettings([]byte(settingsJSON))
	must(t, err)
	w := &wholeNode{addr: free(t), mgmt: free(t), reload: make(chan Change), exited: make(chan error, 1), log: &lockedBuffer{}}
	w.cfg = Config{Name: "n0", Listen: w.addr, Mgmt: w.mgmt, Discovery: g.addr, Seed: 1, Settings: set, Known: list{Version: 1, Full: true, Servers: known}}
	under(t, product+fmt.Sprintf("control: {addresses: [%q]}\n", control))(&w.cfg)
	ctx, cancel := context.WithCancel(context.Background())
	w.leave = cancel
	go func() { w.exited <- Run(ctx, w.cfg, w.reload, slog.New(slog.NewTextHandler(w.log, nil))) }()
	t.Cleanup(func() {
		cancel()
		select {
		case err := <-w.exited:
			if err != nil {
				t.Errorf("the node ended with %v", err)
			}
		case <-time.After(patience):
			t.Error("the node did not end")
		}
	})
	return w
}

func (w *wholeNode) page(t *testing.T) Configuration {
	t.Helper()
	status, text := opsCall(t, "GET", w.mgmt, "/-/configuration")
	var c Configuration
	if err := json.Unmarshal([]byte(text), &c); status != 200 || err != nil {
		t.Fatalf("the page: %d %s, %v", status, text, err)
	}
	return c
}

// A node whose control has no configuration takes no client, says why to its operators, and serves as soon as it has one.
func TestNoConfigurationNoClients(t *testing.T) {
	t.Parallel()
	b := newBox(t, served)
	d := newDirector(t)
	w := runWhole(t, "", d.Addr, newRegistry(t), b.entry("s-1"))
	wait(t, "a call to control", func() bool { return d.Calls() > 0 })
	wait(t, "what control said", func() bool {
		status, text := opsCall(t, "GET", w.mgmt, "/-/ready")
		return status == 503 && strings.HasPrefix(text, "no configuration yet: ") && strings.Contains(text, "503")
	})
	for _, path := range []string{"/-/drain", "/-/resume", "/-/web-servers/s-1/disable", "/-/web-servers/s-1/enable"} {
		if status, text := opsCall(t, "POST", w.mgmt, path); status != 503 || !strings.HasPrefix(text, "no configuration yet: ") {
			t.Errorf("%s: %d %s", path, status, text)
		}
	}
	if c := w.page(t); c.Version != "0.0" || c.Since != nil || c.Missing == "" || c.LastFailure == "" || c.Sources[0] != d.Addr {
		t.Errorf("the page: %+v", c)
	}
	if c, err := net.Dial("tcp", w.addr); err == nil {
		c.Close()
		t.Error("a client is taken without a configuration")
	}
	v := d.change([]resource.Resource{contractOf("app", 100)})
	wait(t, "ready", func() bool {
		status, text := opsCall(t, "GET", w.mgmt, "/-/ready")
		if status == 0 {
			t.Fatalf("operators are not answered while the node comes up: %s", text)
		}
		return status == 200
	})
	r := &rig{addr: w.addr}
	if status := r.dial(t).statusOf("a", "app"); status != 200 {
		t.Errorf("a tenant with a contract: %d", status)
	}
	if status := r.dial(t).statusOf("b", "other"); status != 403 {
		t.Errorf("a tenant without one: %d", status)
	}
	page := w.page(t)
	if page.Version != v.String() || page.Since == nil || page.Missing != "" || page.LastGood == nil || page.Source != d.Addr ||
		page.Resources[resource.Contract] != 1 || page.Changes != 1 || page.Calls.BytesIn == 0 || page.Calls.Calls < 2 {
		t.Errorf("the page: %+v", page)
	}
	_, metrics := opsCall(t, "GET", w.mgmt, "/-/metrics")
	for _, line := range []string{
		fmt.Sprintf(`portstall_configuration_version{epoch="%d",number="%d"} 1`, v.Epoch, v.Number),
		"portstall_configuration_age_seconds ", "portstall_configuration_refusals_total 0", "portstall_configuration_changes_total 1",
		`portstall_configuration_failures_total{kind="full"} `, `portstall_configuration_resources{kind="contract"} 1`,
	} {
		if !strings.Contains(metrics, line) {
			t.Errorf("no %s in the metrics", line)
		}
	}
}

// What keeps a configuration away is said as it is, and a node that waits ends at once when it is told to.
func TestEndsWhileItWaits(t *testing.T) {
	t.Parallel()
	until := make(chan struct{})
	defer close(until)
	silent := newDirector(t)
	silent.Say(holds(until))
	refused := newDirector(t, res(resource.Service, "s", `{"name":"s","classes":[{"name":"view","effect":"unsafe"}]}`))
	for _, k := range []struct {
		name, control, says string
		nack                *director // is to be told of a refusal
	}{
		{"silent", silent.Addr, "control has not answered", nil},
		{"unreachable", free(t), "unreachable", nil},
		{"refused", refused.Addr, `service "s": classes[0].effect: unsafe, but the node's settings say that view is safe`, refused},
	} {
		t.Run(k.name, func(t *testing.T) {
			w := runWhole(t, "", k.control, newRegistry(t))
			var text string
			wait(t, "its reason", func() bool {
				_, text = opsCall(t, "GET", w.mgmt, "/-/ready")
				return strings.HasPrefix(text, "no configuration yet") && strings.Contains(text, k.says)
			})
			if k.nack != nil {
				wait(t, "the refusal to be told", func() bool { return strings.Contains(k.nack.Why(k.nack.Version()), k.says) })
			}
			w.leave()
			select {
			case err := <-w.exited:
				must(t, err)
				w.exited <- nil
			case <-time.After(patience):
				t.Fatal("it does not end")
			}
			if _, err := net.Dial("tcp", w.mgmt); err == nil {
				t.Error("the operators' listener is still open")
			}
		})
	}
}

// While it waits, a file that is read again counts: other addresses of control are asked at once, and other settings may let in what
// was refused.
func TestReloadWhileItWaits(t *testing.T) {
	t.Parallel()
	b := newBox(t, served)
	d := newDirector(t, res(resource.Service, "s", `{"name":"s","classes":[{"name":"quote","effect":"safe"}]}`))
	w := runWhole(t, "", free(t), newRegistry(t), b.entry("s-1"))
	wait(t, "its operators' address", func() bool { status, _ := opsCall(t, "GET", w.mgmt, "/-/ready"); return status == 503 })
	reload := func(cfg Config) error {
		taken := make(chan error, 1)
		select {
		case w.reload <- Change{cfg, taken}:
		case <-time.After(patience):
			t.Fatal("the node takes no reload while it waits")
		}
		return receive(t, "the reload's end", taken)
	}
	bad := w.cfg
	under(t, "contracts: [{name: all}]\n")(&bad)
	if err := reload(bad); err == nil || !strings.Contains(err.Error(), "control: ") {
		t.Errorf("a file without control: %v", err)
	}
	other := w.cfg
	under(t, fmt.Sprintf("control: {addresses: [%q]}\n", d.Addr))(&other)
	must(t, reload(other))
	wait(t, "the refusal", func() bool { return w.page(t).LastRefusal != nil })
	var err error
	other.Settings, err = wire.DecodeSettings([]byte(strings.Replace(settingsJSON, `"effect":"single_shot"`, `"effect":"free"`, 1)))
	must(t, err)
	must(t, reload(other))
	wait(t, "ready", func() bool { status, _ := opsCall(t, "GET", w.mgmt, "/-/ready"); return status == 200 })
	r := &rig{addr: w.addr}
	if resp, _ := r.dial(t).ask(call{"GET", "quote", "a", "", "", "50000m"}); resp.StatusCode != 200 {
		t.Errorf("a class by the settings that were read again: %d", resp.StatusCode)
	}
}

// A change is in force at a node without a word from its operators, whole: contracts, routes and pinned tenants; and what it does
// not touch keeps what it has spent.
func TestChangeInForce(t *testing.T) {
	t.Parallel()
	b := newBox(t, served)
	d := newDirector(t, contractOf("app", 2), contractOf("old", 5))
	r := directed(t, d, newRegistry(t), "cells: {size: 1, seed: 1}\n", nil, b.entry("s-1"))
	c := r.dial(t)
	for i, want := range []int{200, 200, 429} {
		if got := c.statusOf(fmt.Sprint("app", i), "app"); got != want {
			t.Errorf("request %d: %d, want %d", i, got, want)
		}
	}
	v := d.change([]resource.Resource{contractOf("new", 1), res(resource.Tenant, "new", `{"tenant":"new","pods":[7]}`)},
		resource.Key{Kind: resource.Contract, Name: "old"})
	wait(t, "the change", func() bool { return r.inForce() == v })
	if got := c.statusOf("new0", "new"); got != 503 { // let in, and its pod has no server
		t.Errorf("a new tenant that is pinned to another pod: %d", got)
	}
	if got := c.statusOf("old0", "old"); got != 403 {
		t.Errorf("a tenant whose contract has gone: %d", got)
	}
	if got := c.statusOf("app3", "app"); got != 429 {
		t.Errorf("a contract that did not change has a second burst: %d", got)
	}
	if wholes, deltas := d.Counts(); wholes != 1 || deltas != 1 {
		t.Errorf("%d times the whole and %d deltas", wholes, deltas)
	}
}

// A bad change is refused whole: nothing of it is in force, control is told what is wrong and where, and the next good one is taken.
func TestBadChangeIsRefusedWhole(t *testing.T) {
	t.Parallel()
	b := newBox(t, served)
	d := newDirector(t, contractOf("app", 100))
	r := directed(t, d, newRegistry(t), "", nil, b.entry("s-1"))
	before := r.inForce()
	bad := d.change([]resource.Resource{contractOf("good", 100),
		res(resource.Contract, "wrong", `{"name":"wrong","match":[{"from":"nowhere"}],"rate":1}`)}, resource.Key{Kind: resource.Contract, Name: "app"})
	wait(t, "the refusal", func() bool { return d.Why(bad) != "" })
	if why := d.Why(bad); !strings.Contains(why, `contract "wrong"`) || !strings.Contains(why, "match[0].from") {
		t.Errorf("control is told %q", why)
	}
	if r.inForce() != before || !r.admits(t, "app") || r.admits(t, "good") {
		t.Error("a part of a change that was refused is in force")
	}
	c := r.dial(t)
	if got := c.statusOf("a", "app"); got != 200 {
		t.Errorf("by the version before: %d", got)
	}
	rep := r.cfg.followed.report()
	if f := rep.LastRefusal; f == nil || f.Version != bad.String() || f.Resource != `contract "wrong"` || f.Field != "match[0].from" || rep.Refusals != 1 {
		t.Errorf("the page: %+v", rep)
	}
	good := d.change([]resource.Resource{contractOf("wrong", 100)})
	wait(t, "the mended one", func() bool { return r.inForce() == good })
	if !r.admits(t, "good") || !r.admits(t, "wrong") || r.admits(t, "app") {
		t.Error("the deltas of both are not in force")
	}
	if wholes, _ := d.Counts(); wholes != 1 {
		t.Errorf("the whole was told %d times", wholes)
	}
}

// A node whose control has gone serves on with what it has, and takes what it missed, not the whole, when that is back.
func TestControlGoneAndBack(t *testing.T) {
	t.Parallel()
	b := newBox(t, served)
	d := newDirector(t, contractOf("app", 1000))
	r := directed(t, d, newRegistry(t), "", nil, b.entry("s-1"))
	c := r.dial(t)
	d.Stop()
	wait(t, "its failures", func() bool { return r.cfg.followed.report().Calls.Failures[follow.Unreachable] >= 2 })
	for i := range 20 {
		if got := c.statusOf(fmt.Sprint("a", i), "app"); got != 200 {
			t.Fatalf("without control: %d", got)
		}
	}
	d.change([]resource.Resource{contractOf("missed", 10)})
	last := d.change([]resource.Resource{contractOf("too", 10)})
	must(t, d.Start())
	wait(t, "what it missed", func() bool { return r.inForce() == last })
	if got := c.statusOf("m", "missed"); got != 200 {
		t.Errorf("by what it missed: %d", got)
	}
	if wholes, deltas := d.Counts(); wholes != 1 || deltas != 1 {
		t.Errorf("the whole was told %d times, and %d deltas; want one of each", wholes, deltas)
	}
}

// Whatever control answers, the node serves on by the version before, and takes the next good change.
func TestControlsBadAnswers(t *testing.T) {
	t.Parallel()
	ahead := uint64(time.Now().Add(48 * time.Hour).UnixMilli())
	for _, k := range []struct {
		name string
		say  func(d *director, v resource.Version) http.HandlerFunc
		ends bool        // by the limit on its body, which the test lets pass
		kind follow.Kind // as which it is counted; empty: it is none that failed
	}{
		{"an answer that never ends", func(d *director, v resource.Version) http.HandlerFunc {
			return func(w http.ResponseWriter, r *http.Request) {
				fmt.Fprintf(w, `{"from":%q,"to":"%d.%d","sum":"0000000000000000","put":[`, v, v.Epoch, v.Number+1)
				w.(http.Flusher).Flush()
				<-r.Context().Done()
			}
		}, true, follow.Broken},
		{"an answer cut off", func(d *director, v resource.Version) http.HandlerFunc {
			return func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Length", "1000")
				fmt.Fprintf(w, `{"from":%q,`, v)
			}
		}, false, follow.Broken},
		{"no JSON", func(*director, resource.Version) http.HandlerFunc {
			return func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "<html>") }
		}, false, follow.Malformed},
		{"an empty object", func(*director, resource.Version) http.HandlerFunc {
			return func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "{}") }
		}, false, follow.Malformed},
		{"a body over the bound", func(d *director, v resource.Version) http.HandlerFunc {
			return func(w http.ResponseWriter, r *http.Request) {
				// Compressed parts in which there is next to nothing: what is over the bound is what comes, so that no time goes into its JSON.
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
		{"a version that jumps: an epoch of the day after tomorrow", func(d *director, v resource.Version) http.HandlerFunc {
			return told(&resource.Delta{To: resource.Version{Epoch: ahead, Number: 1}})
		}, false, follow.Refused},
		{"a version that jumps: from one that the node has not", func(d *director, v resource.Version) http.HandlerFunc {
			return told(&resource.Delta{From: resource.Version{Epoch: v.Epoch, Number: v.Number + 6}, To: resource.Version{Epoch: v.Epoch, Number: v.Number + 7}})
		}, false, follow.Unfit},
		{"an older version", func(d *director, v resource.Version) http.HandlerFunc {
			return told(&resource.Delta{To: resource.Version{Epoch: v.Epoch - 1, Number: 99}})
		}, false, ""},
		{"the delta before, once more", func(d *director, v resource.Version) http.HandlerFunc {
			return told(&resource.Delta{From: resource.Version{Epoch: v.Epoch, Number: v.Number - 1}, To: v, Sum: 1, Put: []resource.Resource{contractOf("forged", 1)}})
		}, false, ""},
		{"another content", func(d *director, v resource.Version) http.HandlerFunc {
			return told(&resource.Delta{From: v, To: resource.Version{Epoch: v.Epoch, Number: v.Number + 1}, Sum: 1,
				Put: []resource.Resource{contractOf("forged", 1)}})
		}, false, follow.Unfit},
		{"a resource of a kind that is not known", func(d *director, v resource.Version) http.HandlerFunc {
			return told(&resource.Delta{From: v, To: resource.Version{Epoch: v.Epoch, Number: v.Number + 9}, Sum: 1,
				Put: []resource.Resource{contractOf("forged", 1), res("pipe", "p", "{}")}})
		}, false, follow.Refused},
		{"a status that makes no sense", func(*director, resource.Version) http.HandlerFunc {
			return func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(http.StatusTeapot) }
		}, false, follow.OtherStatus},
		{"a way elsewhere", func(d *director, _ resource.Version) http.HandlerFunc {
			return func(w http.ResponseWriter, r *http.Request) {
				http.Redirect(w, r, "http://127.0.0.1:1/", http.StatusFound)
			}
		}, false, follow.OtherStatus},
	} {
		t.Run(k.name, func(t *testing.T) {
			t.Parallel()
			b := newBox(t, served)
			d := newDirector(t, contractOf("app", 1000))
			hasty := &pressed{Clock: follow.SystemClock()}
			r := directed(t, d, newRegistry(t), "", func(c *Config) { c.follow = func(o *follow.Options) { o.Clock = hasty } }, b.entry("s-1"))
			before, calls := r.inForce(), d.Calls()
			wait(t, "its watch", func() bool { return d.Calls() > calls || d.Calls() > 1 })
			calls = d.Calls()
			begun := make(chan struct{})
			h := k.say(d, before)
			timers := hasty.count()
			d.Say(func(w http.ResponseWriter, r *http.Request) {
				close(begun)
				h(w, r)
			})
			receive(t, "a call that is answered so", begun)
			if k.ends {
				wait(t, "the answer's beginning", func() bool { return hasty.count() > timers })
				hasty.press()
			}
			wait(t, "its next call", func() bool { return d.Calls() > calls })
			if r.inForce() != before {
				t.Errorf("%s is in force", r.inForce())
			}
			for kind, n := range r.cfg.followed.report().Calls.Failures {
				if want := kind == k.kind; want != (n > 0) {
					t.Errorf("%d calls failed as %s, want some of kind %q alone", n, kind, k.kind)
				}
			}
			if c := r.dial(t); c.statusOf("a", "app") != 200 || c.statusOf("b", "forged") != 403 {
				t.Error("it does not serve by the version before")
			}
			good := d.change([]resource.Resource{contractOf("next", 10)})
			wait(t, "the next good change", func() bool { return r.inForce() == good })
		})
	}
}

// pressed is a clock of which a test lets the limits on an answer's body pass: timers of two seconds and more that are pending.
type pressed struct {
	follow.Clock
	mu      sync.Mutex
	pending []func()
}

func (p *pressed) AfterFunc(d time.Duration, f func()) {
	if d >= 2*time.Second {
		p.mu.Lock()
		p.pending = append(p.pending, f)
		p.mu.Unlock()
	}
	p.Clock.AfterFunc(d, f)
}

// count is how many are pending, or were.
func (p *pressed) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.pending)
}

// press lets them pass.
func (p *pressed) press() {
	p.mu.Lock()
	all := p.pending
	p.pending = nil
	p.mu.Unlock()
	for _, f := range all {
		f()
	}
}

// quoteSafe are settings by which the class quote is safe.
var quoteSafe = strings.Replace(settingsJSON, `"effect":"single_shot"`, `"effect":"free"`, 1)

// A change and a SIGHUP come one after the other, whichever is first: what is in force fits the settings that are.
func TestChangeAmidReload(t *testing.T) {
	t.Parallel()
	// It fits settings by which quote is unsafe, and no others.
	unsafe := res(resource.Service, "s", `{"name":"s","classes":[{"name":"quote","effect":"unsafe"}]}`)
	reload := func(r *rig) error {
		set, err := wire.DecodeSettings([]byte(quoteSafe))
		must(t, err)
		return r.reload(Config{Discovery: r.disc.addr, Settings: set, Product: r.cfg.Product})
	}
	t.Run("the change first", func(t *testing.T) {
		t.Parallel()
		d := newDirector(t, contractOf("app", 10))
		r := directed(t, d, newRegistry(t), "", nil)
		v := d.change([]resource.Resource{unsafe})
		wait(t, "the change", func() bool { return r.inForce() == v })
		err := reload(r)
		if err == nil || !strings.Contains(err.Error(), `service "s": classes[0].effect: unsafe`) {
			t.Errorf("settings that what is in force does not fit: %v", err)
		}
		if r.set.Load().effects["quote"] != r.cfg.Settings.Policy.Classes[2].Effect {
			t.Error("a part of a reload that was refused is in force")
		}
	})
	t.Run("the reload first", func(t *testing.T) {
		t.Parallel()
		d := newDirector(t, contractOf("app", 10))
		r := directed(t, d, newRegistry(t), "", nil)
		must(t, reload(r))
		v := d.change([]resource.Resource{unsafe})
		wait(t, "the refusal", func() bool { return d.Why(v) != "" })
		if why := d.Why(v); !strings.Contains(why, `service "s": classes[0].effect: unsafe, but`) {
			t.Errorf("control is told %q", why)
		}
	})
	t.Run("the reload while the change is checked and not in force", func(t *testing.T) {
		t.Parallel()
		d := newDirector(t, contractOf("app", 10))
		checked, goOn := make(chan struct{}), make(chan struct{})
		first := true
		r := directed(t, d, newRegistry(t), "", func(c *Config) {
			c.prepared = func() {
				if !first {
					close(checked)
					<-goOn
				}
				first = false
			}
		})
		v := d.change([]resource.Resource{unsafe})
		receive(t, "the check of the change", checked)
		done := make(chan error, 1)
		go func() { done <- reload(r) }()
		wait(t, "the reload at the lock, or over", func() bool {
			return len(done) > 0 || stands("created by portstall/internal/node.TestChangeAmidReload", "(*followed).lock(")
		})
		if len(done) > 0 {
			t.Error("the reload did not wait for a change that is checked and not in force")
		}
		close(goOn)
		if err := receive(t, "the reload's end", done); err == nil || !strings.Contains(err.Error(), `service "s"`) {
			t.Errorf("a reload that a change went before: %v", err)
		}
		if r.inForce() != v {
			t.Errorf("%s is in force, want %s", r.inForce(), v)
		}
	})
}

// stands tells whether some goroutine's stack has all of these in it.
func stands(parts ...string) bool {
	text := make([]byte, 8<<20)
	for _, stack := range strings.Split(string(text[:runtime.Stack(text, true)]), "\n\n") {
		if !slices.ContainsFunc(parts, func(p string) bool { return !strings.Contains(stack, p) }) {
			return true
		}
	}
	return false
}

// SIGHUP leaves what control told as it is: contracts with what they have spent, and pinned tenants.
func TestReloadKeepsWhatControlTold(t *testing.T) {
	t.Parallel()
	b := newBox(t, served)
	d := newDirector(t, contractOf("app", 1), contractOf("far", 100), res(resource.Tenant, "far", `{"tenant":"far","pods":[7]}`))
	r := directed(t, d, newRegistry(t), "cells: {size: 1, seed: 1}\n", nil, b.entry("s-1"))
	c := r.dial(t)
	if got := c.statusOf("a", "app"); got != 200 {
		t.Errorf("the first: %d", got)
	}
	cfg := r.cfg
	under(t, fmt.Sprintf("parts: even\ncells: {size: 2, seed: 1}\ncontrol: {addresses: [%q]}\n", d.Addr))(&cfg)
	must(t, r.reload(cfg))
	if got := c.statusOf("b", "app"); got != 429 {
		t.Errorf("a reload gave a contract a second burst: %d", got)
	}
	if got := c.statusOf("c", "far"); got != 503 {
		t.Errorf("a reload took a tenant's pods away: %d", got)
	}
	if got := c.statusOf("d", "nobody"); got != 403 {
		t.Errorf("a reload took the contracts away: %d", got)
	}
	without := cfg
	under(t, "cells: {size: 2, seed: 1}\ncontracts: [{name: all}]\n")(&without)
	if err := r.reload(without); err == nil || !strings.Contains(err.Error(), "control: ") {
		t.Errorf("a reload without control: %v", err)
	}
}

// SIGHUP with other addresses of control counts from the next call on, and the node goes on from the version that it has.
func TestReloadNamesAnotherControl(t *testing.T) {
	t.Parallel()
	b := newBox(t, served)
	d := newDirector(t, contractOf("app", 100))
	r := directed(t, d, newRegistry(t), "", nil, b.entry("s-1"))
	wait(t, "its watch", func() bool { return d.Calls() > 1 })
	other := newDirector(t)
	must(t, other.Become(d.Control))
	cfg := r.cfg
	under(t, fmt.Sprintf("control: {addresses: [%q]}\n", other.Addr))(&cfg)
	must(t, r.reload(cfg))
	wait(t, "a call elsewhere", func() bool { return other.Calls() > 0 })
	v := other.change([]resource.Resource{contractOf("there", 100)})
	wait(t, "its change", func() bool { return r.inForce() == v })
	if wholes, deltas := other.Counts(); wholes != 0 || deltas != 1 {
		t.Errorf("the other told the whole %d times and %d deltas", wholes, deltas)
	}
}

// A service and a contract that go while a request of theirs is in flight: it gets its one answer. A contract that is made again
// under its name pays what it owes.
func TestGoneWithARequestInFlight(t *testing.T) {
	t.Parallel()
	release := make(chan bool)
	b := newSlowBox(t, release)
	service := res(resource.Service, "reading", `{"name":"reading","classes":[{"name":"view"}]}`)
	terms := res(resource.Contract, "app", `{"name":"app","match":[{"tenant":"app"}],"services":["reading"],"rate":0.001,"burst":2}`)
	d := newDirector(t, service, terms, contractOf("other", 100))
	r := directed(t, d, newRegistry(t), "", nil, b.entry("s-1"))
	slow := r.dial(t)
	slow.send(with(view("slow"), "X-Tenant: app"))
	wait(t, "the request at the web server", func() bool { return len(b.requests()) == 1 })
	v := d.change(nil, service.Key, terms.Key)
	wait(t, "the change", func() bool { return r.inForce() == v })
	c := r.dial(t)
	if got := c.statusOf("x", "app"); got != 403 {
		t.Errorf("a request behind the change: %d", got)
	}
	close(release)
	if resp, body := slow.answer(); resp.StatusCode != 200 || body != "done slow" {
		t.Errorf("the request in flight: %d %q", resp.StatusCode, body)
	}
	v = d.change([]resource.Resource{service, terms})
	wait(t, "the contract made again", func() bool { return r.inForce() == v })
	for i, want := range []int{200, 429} { // one of two was spent before
		if got := c.statusOf(fmt.Sprint("again", i), "app"); got != want {
			t.Errorf("request %d of the contract made again: %d, want %d", i, got, want)
		}
	}
	if n := len(b.requests()); n != 2 {
		t.Errorf("%d requests at the web server", n)
	}
}

// A successor has a configuration of its own before it asks for the clients; a change amid a hand-over reaches both, and the debts of
// contracts come with the predecessor's state.
func TestChangeAmidHandOver(t *testing.T) {
	t.Parallel()
	release := make(chan bool)
	b := newSlowBox(t, release)
	d := newDirector(t, contractOf("app", 2), contractOf("slow", 100))
	old, succeeds := predecessor(t, d, newRegistry(t), b)
	c, slow := old.dial(t), old.dial(t)
	if got := c.statusOf("a", "app"); got != 200 {
		t.Fatalf("before: %d", got)
	}
	slow.send(with(view("slow"), "X-Tenant: slow"))
	wait(t, "the request at the web server", func() bool { return len(b.requests()) == 2 })
	young := succeeds()
	v := d.change([]resource.Resource{res(resource.Contract, "new", `{"name":"new","match":[{"tenant":"new"}]}`)})
	wait(t, "the change at both", func() bool { return young.inForce() == v && old.inForce() == v })
	next := young.dial(t)
	if got := next.statusOf("n", "new"); got != 200 {
		t.Errorf("the change at the successor: %d", got)
	}
	if got := [2]int{next.statusOf("b", "app"), next.statusOf("c", "app")}; got != [2]int{200, 429} {
		t.Errorf("a contract of which one of two was spent before the hand-over: %v", got)
	}
	if part := young.core.Stats(0).Part; part != heirPortion {
		t.Errorf("the successor hands out %v of the contracts beside its predecessor, want %v", part, heirPortion)
	}
	close(release)
	if resp, body := slow.answer(); resp.StatusCode != 200 || body != "done slow" {
		t.Errorf("the request of the predecessor: %d %q", resp.StatusCode, body)
	}
	select {
	case err := <-old.exited:
		must(t, err)
		old.exited <- nil
	case <-time.After(patience):
		t.Error("the predecessor does not end")
	}
}

// What a contract owed that was removed before a hand-over is owed at the successor, where it is made again.
func TestDebtOfARemovedContractIsHandedOver(t *testing.T) {
	t.Parallel()
	release := make(chan bool)
	b := newSlowBox(t, release)
	// A request of unknown cost is charged 0.05 server-seconds: 500 s of this budget.
	terms := res(resource.Contract, "app", `{"name":"app","match":[{"tenant":"app"}],"work":{"limit":0.0001}}`)
	d := newDirector(t, terms, contractOf("other", 100))
	old, succeeds := predecessor(t, d, newRegistry(t), b)
	slow := old.dial(t)
	slow.send(with(view("slow"), "X-Tenant: app"))
	wait(t, "the request at the web server", func() bool { return len(b.requests()) == 1 })
	v := d.change(nil, terms.Key)
	wait(t, "its end", func() bool { return old.inForce() == v })
	young := succeeds()
	v = d.change([]resource.Resource{terms})
	wait(t, "the contract made again", func() bool { return young.inForce() == v })
	if got := young.dial(t).statusOf("a", "app"); got != 429 {
		t.Errorf("the debt of a contract that was removed before the hand-over: %d", got)
	}
	close(release)
	if resp, body := slow.answer(); resp.StatusCode != 200 || body != "done slow" {
		t.Errorf("the request of the predecessor: %d %q", resp.StatusCode, body)
	}
}

// The first contract of all that is put amid a hand-over is handed out in parts, as those are that were there before.
func TestFirstContractAmidHandOver(t *testing.T) {
	t.Parallel()
	release := make(chan bool)
	b := newSlowBox(t, release)
	d := newDirector(t, res(resource.Service, "s", `{"name":"s"}`))
	old, succeeds := predecessor(t, d, newRegistry(t), b)
	slow := old.dial(t)
	slow.send(view("slow").text())
	wait(t, "the request at the web server", func() bool { return len(b.requests()) == 1 })
	young := succeeds()
	if st := young.core.Stats(1); st.Contracts {
		t.Error("contracts are in force where control told none")
	}
	if resp, _ := young.dial(t).ask(view("a")); resp.StatusCode != 200 {
		t.Errorf("without any contract: %d", resp.StatusCode)
	}
	v := d.change([]resource.Resource{contractOf("app", 100)})
	wait(t, "the change at both", func() bool { return young.inForce() == v && old.inForce() == v })
	if a, b := young.core.Stats(1).Part, old.core.Stats(1).Part; a != heirPortion || b != 1-heirPortion {
		t.Errorf("the two hand out %v and %v", a, b)
	}
	close(release)
	if resp, _ := slow.answer(); resp.StatusCode != 200 {
		t.Errorf("the request of the predecessor: %d", resp.StatusCode)
	}
}

// SIGTERM amid a change: it is in force or not, requests are answered, and the process ends.
func TestTermAmidChange(t *testing.T) {
	t.Parallel()
	release := make(chan bool)
	b := newSlowBox(t, release)
	d := newDirector(t, contractOf("app", 100))
	checked, goOn := make(chan struct{}), make(chan struct{})
	first := true
	r := directed(t, d, newRegistry(t), "", func(c *Config) {
		c.prepared = func() {
			if !first {
				close(checked)
				<-goOn
			}
			first = false
		}
	}, b.entry("s-1"))
	slow := r.dial(t)
	slow.send(with(view("slow"), "X-Tenant: app"))
	wait(t, "the request at the web server", func() bool { return len(b.requests()) == 1 })
	v := d.change([]resource.Resource{contractOf("new", 1)})
	receive(t, "the check of the change", checked)
	r.leave()
	wait(t, "leaving", func() bool { return r.life.now() == leaving })
	closed := make(chan struct{})
	go func() {
		r.cfg.followed.close()
		close(closed)
	}()
	over := func() bool {
		select {
		case <-closed:
			return true
		default:
			return false
		}
	}
	wait(t, "the end of the calls to be waited for, or over", func() bool {
		return over() || stands("chan receive", "(*followed).close(", "created by portstall/internal/node.TestTermAmidChange")
	})
	if over() {
		t.Error("the process's end did not wait for a change that is checked and not in force")
	}
	close(goOn)
	wait(t, "the change", func() bool { return r.inForce() == v })
	close(release)
	if resp, body := slow.answer(); resp.StatusCode != 200 || body != "done slow" {
		t.Errorf("the request in flight: %d %q", resp.StatusCode, body)
	}
	select {
	case err := <-r.exited:
		must(t, err)
		r.exited <- nil
	case <-time.After(patience):
		t.Error("it does not end")
	}
	receive(t, "the end of the calls to control", closed)
}

// An opaque tunnel's route is that of the moment in which its contract is looked up: a change between the client's opening and that
// moment is seen whole.
func TestRouteChangesUnderAnOpening(t *testing.T) {
	t.Parallel()
	server := newLines(t, nil)
	route := func(class string) resource.Resource {
		return res(resource.Route, "lines.example.org:7", fmt.Sprintf(`{"host":"lines.example.org","port":7,"service":"lines","kind":"opaque","class":%q}`, class))
	}
	service := res(resource.Service, "lines", `{"name":"lines"}`)
	d := newDirector(t, service, route("quote"))
	addr := free(t)
	r := directed(t, d, newRegistry(t), fmt.Sprintf("tunnels: {connect: %q}\n", addr), nil, listed{ID: "s-1", Addr: server.ln.Addr().String(), Zone: "north", Kind: "k", State: "Ready"})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	must(t, r.tunnels(ctx, r.cfg.Product.Tunnels))
	c, said := through(t, addr, linesConnect, 0)
	if said != "200" {
		t.Fatalf("a route of control's: %s", said)
	}
	c.echo("before")
	v := d.change(nil, route("").Key)
	wait(t, "the change", func() bool { return r.inForce() == v })
	c.echo("a tunnel that stands goes on")
	if resp := connects(t, addr); resp.StatusCode != 403 {
		t.Errorf("a route that has gone: %d", resp.StatusCode)
	}
	v = d.change([]resource.Resource{route("view")})
	wait(t, "the route again", func() bool { return r.inForce() == v })
	c, said = through(t, addr, linesConnect, 0)
	if said != "200" {
		t.Fatalf("a route made again: %s", said)
	}
	c.echo("again")
}

// The garbage between two collections stays about alike, and the percentage within its bounds.
func TestGCPercent(t *testing.T) {
	t.Parallel()
	for _, k := range []struct{ resources, want int }{{0, 400}, {100, 391}, {2105, 275}, {21050, 72}, {resource.MaxResources, 50}} {
		if got := gcPercent(k.resources); got != k.want {
			t.Errorf("%d resources: %d%%, want %d%%", k.resources, got, k.want)
		}
	}
}

// No request sees half of a change: while route, service and contract pass together from one class to the other and back, again and
// again, no opening meets the route of one configuration and the contract of the other, which refuses it.
func TestNoOpeningSeesHalfOfAChange(t *testing.T) {
	t.Parallel()
	server := newLines(t, nil)
	state := func(class string) []resource.Resource {
		return []resource.Resource{
			res(resource.Service, "lines", fmt.Sprintf(`{"name":"lines","classes":[{"name":%q}]}`, class)),
			res(resource.Contract, "all", `{"name":"all","services":["lines"]}`),
			res(resource.Route, "lines.example.org:7", fmt.Sprintf(`{"host":"lines.example.org","port":7,"service":"lines","kind":"opaque","class":%q}`, class)),
		}
	}
	d := newDirector(t, state("view")...)
	addr := free(t)
	r := directed(t, d, newRegistry(t), fmt.Sprintf("tunnels: {connect: %q}\n", addr), nil, listed{ID: "s-1", Addr: server.ln.Addr().String(), Zone: "north", Kind: "k", State: "Ready"})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	must(t, r.tunnels(ctx, r.cfg.Product.Tunnels))
	over := make(chan struct{})
	var clients sync.WaitGroup
	opened := make([]int, 4)
	for i := range opened {
		clients.Go(func() {
			for {
				select {
				case <-over:
					return
				default:
				}
				conn, err := net.Dial("tcp", addr)
				if err != nil {
					t.Error(err)
					return
				}
				io.WriteString(conn, linesConnect)
				conn.SetReadDeadline(time.Now().Add(patience))
				resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodConnect})
				conn.Close()
				if err != nil || resp.StatusCode != 200 {
					t.Errorf("an opening amid changes: %v %v", resp, err)
					return
				}
				opened[i]++
			}
		})
	}
	for i := range 60 {
		v := d.change(state([]string{"quote", "view"}[i%2]))
		wait(t, "the change", func() bool { return r.inForce() == v })
		// The race detector's sync.Pool drops a quarter of what it is given, among it pipes of io.Copy between sockets. Each holds two
		// descriptors until it is collected, and without this thousands stood at once, of the 20,000 that all tests of the process have.
		runtime.GC()
	}
	close(over)
	clients.Wait()
	t.Log(opened, "openings")
}

// Who stands at the core's lock behind a change gets it when all of the change is in force: contracts and routes are not changed in two
// holds. Once one who has waited for a millisecond is woken in vain, the lock goes to those who wait for it in their order.
func TestAChangeIsInForceInOneHold(t *testing.T) {
	d := newDirector(t, res(resource.Service, "lines", `{"name":"lines"}`), contractOf("app", 100),
		res(resource.Route, "lines.example.org:7", `{"host":"lines.example.org","port":7,"service":"lines","kind":"opaque","class":"view"}`))
	addr := free(t)
	r := directed(t, d, newRegistry(t), fmt.Sprintf("tunnels: {connect: %q}\n", addr), nil)
	wait(t, "the contract's use", func() bool { return r.admits(t, "app") })
	seen := func() (inForce, route bool) { // the core's lock is held
		_, route = r.routes.Find("lines.example.org", 7)
		return slices.ContainsFunc(r.core.Left(), func(l contract.Left) bool { return l.Name == "app" && l.Gone == nil }), route
	}
	r.core.Lock()
	if c, route := seen(); !c || !route {
		r.core.Unlock()
		t.Fatal("not in force at first", c, route)
	}
	v := d.change(nil, resource.Key{Kind: resource.Contract, Name: "app"}, resource.Key{Kind: resource.Route, Name: "lines.example.org:7"})
	waits := func(parts ...string) func() bool {
		return func() bool { return stands(append(parts, "sync.(*Mutex).lockSlow")...) }
	}
	stood := func(what string, ok func() bool) {
		for end := time.Now().Add(patience); !ok(); {
			if time.Now().After(end) {
				r.core.Unlock()
				t.Fatalf("%s: did not come", what)
			}
		}
	}
	stood("the change at the lock", waits("(*followed).enforce("))
	next := make(chan [2]bool, 1)
	go func() {
		r.core.Lock()
		defer r.core.Unlock()
		c, route := seen()
		next <- [2]bool{c, route}
	}()
	behind := waits("created by portstall/internal/node.TestAChangeIsInForceInOneHold")
	stood("the next one at the lock", behind)
	for range 3 { // whoever is woken and finds the lock taken again has it in his turn from then on, and so has the one behind him
		r.core.Unlock()
		r.core.Lock()
		if c, route := seen(); !c || !route {
			break // he had it before it was taken again
		}
		stood("both at the lock again", func() bool { return waits("(*followed).enforce(")() && behind() })
	}
	r.core.Unlock()
	if got := receive(t, "the next one's look", next); got != [2]bool{} {
		t.Errorf("behind the change: contract %v, route %v in force", got[0], got[1])
	}
	wait(t, "the change", func() bool { return r.inForce() == v })
}

// With no control named a node has no goroutine, page, metric or connection more than before.
func TestNoControlIsOff(t *testing.T) {
	t.Parallel()
	b := newBox(t, served)
	r := newRig(t, newRegistry(t), settingsJSON, under(t, teams), b.entry("s-1"))
	if r.cfg.followed != nil || r.routes != nil {
		t.Error("something is followed")
	}
	for _, p := range r.pages() {
		var text bytes.Buffer
		if p.Path == "configuration" {
			t.Error("there is a page for it")
		}
		if p.Path == "metrics" {
			must(t, p.Write(&text, nil))
			if strings.Contains(text.String(), "configuration") {
				t.Error("there are metrics for it")
			}
		}
	}
}
