package control

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"portstall/internal/control/follow"
	"portstall/internal/lab/standin"
	"portstall/internal/resource"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 30 * time.Second

// process is a control process in this one.
type testProcess struct {
	*server
	addr         string
	heldCalls    chan struct{} // one each time that a call is held
	reloadSignal chan struct{}
	stop         func() error // SIGTERM, and its end
}

// begin starts a control process; it listens at addr where that is not empty. What a test changes in it is changed before.
func startProcess(t testing.TB, addr string, o ServeOptions, change ...func(*server)) *testProcess {
	t.Helper()
	ln, err := listen(addr)
	if err != nil {
		t.Fatal(err)
	}
	p := &testProcess{addr: ln.Addr().String(), heldCalls: make(chan struct{}, 100_000), reloadSignal: make(chan struct{})}
	o.Listener, o.Reload = ln, p.reloadSignal
	if o.Name == "" {
		o.Name = "control@" + p.addr
	}
	if p.server, err = newServer(o); err != nil {
		t.Fatal(err)
	}
	p.onHold = func() { p.heldCalls <- struct{}{} }
	for _, f := range change {
		f(p.server)
	}
	ctx, cancel := context.WithCancel(context.Background())
	over := make(chan error, 1)
	go func() { over <- p.run(ctx) }()
	p.stop = sync.OnceValue(func() error {
		cancel()
		select {
		case err := <-over:
			return err
		case <-time.After(testTimeout):
			t.Error("the control process does not end")
			return nil
		}
	})
	t.Cleanup(func() { p.stop() })
	return p
}

func listen(addr string) (net.Listener, error) {
	if addr == "" {
		return standin.Listen()
	}
	return net.Listen("tcp", addr)
}

// version returns once a version is in force here that is later than one, and that one.
func (p *testProcess) waitForVersion(t testing.TB, later resource.Version) resource.Version {
	t.Helper()
	for end := time.After(testTimeout); ; {
		p.mu.Lock()
		v, changed := p.store.Set().Version(), p.changed
		p.mu.Unlock()
		if v.Compare(later) > 0 {
			return v
		}
		select {
		case <-changed:
		case <-end:
			t.Fatalf("nothing later than %v comes", later)
		}
	}
}

func (p *testProcess) waitForHeldCall(t testing.TB) {
	t.Helper()
	select {
	case <-p.heldCalls:
	case <-time.After(testTimeout):
		t.Fatal("no call is held")
	}
}

// client makes calls of its own, on connections of its own.
var httpClient = func() *http.Client {
	return &http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
}()

type httpResponse struct {
	status int
	header http.Header
	body   string
}

// delta is the answer as one; it is not compressed.
func (r *httpResponse) delta(t testing.TB) *resource.Delta {
	t.Helper()
	if r.status != 200 {
		t.Fatalf("%d: %s", r.status, r.body)
	}
	d, err := resource.Decode([]byte(r.body))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func call(t testing.TB, method, addr, path string) *httpResponse {
	t.Helper()
	r, err := fetch(method, addr, path)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func fetch(method, addr, path string) (*httpResponse, error) {
	req, err := http.NewRequest(method, "http://"+addr+path, nil)
	if err != nil {
		return nil, err
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	return &httpResponse{resp.StatusCode, resp.Header, string(text)}, nil
}

// later makes a call in a goroutine of its own.
func callAsync(t testing.TB, addr, path string) <-chan *httpResponse {
	c := make(chan *httpResponse, 1)
	go func() {
		r, err := fetch("GET", addr, path)
		if err != nil {
			r = &httpResponse{body: err.Error()}
		}
		c <- r
	}()
	return c
}

// await is what comes on a channel; the test fails if that takes too long.
func receive[T any](t testing.TB, what string, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatalf("%s does not come", what)
		panic("")
	}
}

func sinceQuery(d *resource.Delta, more string) string {
	sum, _ := d.Sum.MarshalText()
	return fmt.Sprintf("/v1/resources?name=n0&role=node&since=%v&sum=%s%s", d.To, sum, more)
}

func (p *testProcess) editAndReload(t testing.TB, file, text string) *httpResponse {
	t.Helper()
	writeFile(t, filepath.Join(p.Files, file), text)
	return call(t, "POST", p.addr, "/v1/reload")
}

const (
	snapshotQuery = "/v1/resources?name=n0&role=node"
	waitParameter = "&timeout_ms=30000"
)

// A change is told to who waits, a delta to who fell behind, the whole to who has nothing or what is not kept, and nothing at the end of
// a wait.
func TestWatchOverHTTP(t *testing.T) {
	t.Parallel()
	p := startProcess(t, "", ServeOptions{Files: writeFolder(t, map[string]string{"a.yaml": contractText("a", "b"), "b.yaml": contractText("c")}),
		Limits: Limits{History: resource.HistoryLimits{Deltas: 2}}})
	v0 := p.waitForVersion(t, resource.Version{})
	if r := call(t, "GET", p.addr, "/-/ready"); r.status != 200 {
		t.Errorf("not ready: %s", r.body)
	}
	first := call(t, "GET", p.addr, snapshotQuery).delta(t)
	if !first.Whole() || first.To != v0 || resourceNames(first.Put) != "contract a, contract b, contract c" {
		t.Fatalf("%+v", first)
	}
	held := callAsync(t, p.addr, sinceQuery(first, waitParameter))
	p.waitForHeldCall(t)
	if r := p.editAndReload(t, "b.yaml", contractText("d")); r.status != 200 || !strings.Contains(r.body, `"put":1,"gone":1,"changed":true`) {
		t.Fatalf("%d %s", r.status, r.body)
	}
	d := receive(t, "the held call's answer", held).delta(t)
	if d.From != first.To || d.To.Compare(first.To) <= 0 || resourceNames(d.Put) != "contract d" || len(d.Gone) != 1 || d.Gone[0].Name != "c" {
		t.Fatalf("%+v", d)
	}
	if r := call(t, "GET", p.addr, sinceQuery(first, waitParameter)).delta(t); r.From != first.To || r.To != d.To { // behind: at once
		t.Errorf("%+v", r)
	}
	if r := call(t, "GET", p.addr, sinceQuery(d, "&timeout_ms=1")).delta(t); r.From != d.To || r.To != d.To || len(r.Put)+len(r.Gone) > 0 {
		t.Errorf("%+v", r)
	}
	if r := call(t, "GET", p.addr, sinceQuery(d, "")).delta(t); r.To != d.To {
		t.Errorf("%+v", r)
	}
	if r := p.editAndReload(t, "b.yaml", contractText("d")); r.status != 200 || !strings.Contains(r.body, `"changed":false`) {
		t.Errorf("%d %s", r.status, r.body)
	}
	// SIGHUP. At the edge of what is kept, and past it.
	writeFile(t, filepath.Join(p.Files, "b.yaml"), contractText("e"))
	p.reloadSignal <- struct{}{}
	v := p.waitForVersion(t, d.To)
	if r := call(t, "GET", p.addr, sinceQuery(first, "")).delta(t); r.From != first.To || r.To != v || resourceNames(r.Put) != "contract e" {
		t.Errorf("two behind, of two kept: %+v", r)
	}
	p.editAndReload(t, "b.yaml", contractText("f"))
	if r := call(t, "GET", p.addr, sinceQuery(first, "")).delta(t); !r.Whole() || resourceNames(r.Put) != "contract a, contract b, contract f" {
		t.Errorf("three behind, of two kept: %+v", r)
	}
	// A newer version than ours, the same with another content, and calls that make no sense.
	for _, c := range []struct {
		query  string
		status int
		says   string
	}{
		{snapshotQuery + fmt.Sprintf("&since=%d.1&sum=0000000000000000", v.Epoch+1000), 409, "behind"},
		{"/v1/resources?role=node", 400, "name: "},
		{"/v1/resources?name=" + strings.Repeat("n", resource.MaxName+1), 400, "name: "},
		{snapshotQuery + "&since=now", 400, `since: "now" is no version`},
		{snapshotQuery + "&sum=1", 400, `sum: "1" is no sum`},
		{snapshotQuery + "&refused=1", 400, `refused: "1" is no version`},
		{snapshotQuery + "&timeout_ms=soon", 400, `timeout_ms: "soon" is no number`},
		{snapshotQuery + "&timeout_ms=-1", 400, `timeout_ms: "-1" is no number`},
		{"/v1/resources?name=n0&role=king", 400, "role "},
		{snapshotQuery + "&refused=1.1&why=" + strings.Repeat("y", resource.MaxWhy+1), 400, "why: "},
		{"/v1/nothing", 404, ""},
	} {
		if r := call(t, "GET", p.addr, c.query); r.status != c.status || !strings.Contains(r.body, c.says) {
			t.Errorf("%.80s: %d %s, want %d %s", c.query, r.status, r.body, c.status, c.says)
		}
	}
	if r := call(t, "POST", p.addr, "/v1/resources"); r.status != 405 {
		t.Errorf("%d", r.status)
	}
	// A head over the bound, of which nothing is left unread: a reset would take the answer with it.
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	begin := "GET " + snapshotQuery + "&x="
	io.WriteString(c, begin+strings.Repeat("y", maxHeaderBytes+4096-len(begin)))
	line := make([]byte, len("HTTP/1.1 431"))
	c.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := io.ReadFull(c, line); err != nil || string(line) != "HTTP/1.1 431" {
		t.Errorf("%q, %v", line, err)
	}
}

// Many that wait at one version share one text; who takes gzip has it, and what comes out of it is the same.
func TestWatchesShareOneEncodedBody(t *testing.T) {
	t.Parallel()
	p := startProcess(t, "", ServeOptions{Files: writeFolder(t, map[string]string{"a.yaml": contractText(numberedNames("c", 200)...)})})
	p.waitForVersion(t, resource.Version{})
	plain := call(t, "GET", p.addr, snapshotQuery)
	d := plain.delta(t)
	var group sync.WaitGroup
	for i := range 20 {
		group.Go(func() {
			req, _ := http.NewRequest("GET", fmt.Sprintf("http://%s/v1/resources?name=n%d", p.addr, i), nil)
			req.Header.Set("Accept-Encoding", "br, gzip;q=1.0")
			resp, err := httpClient.Do(req)
			if err != nil {
				t.Error(err)
				return
			}
			defer resp.Body.Close()
			z, err := gzip.NewReader(resp.Body)
			if err != nil {
				t.Error(err)
				return
			}
			text, err := io.ReadAll(z)
			if err != nil || string(text) != plain.body || resp.Header.Get("Content-Encoding") != "gzip" || resp.ContentLength >= int64(len(text)) {
				t.Errorf("%v, %d bytes of %d, %v", err, resp.ContentLength, len(plain.body), resp.Header)
			}
		})
	}
	group.Wait()
	if p.responses.encodedCount != 2 {
		t.Errorf("%d texts made, want one plain and one compressed", p.responses.encodedCount)
	}
	p.editAndReload(t, "b.yaml", contractText("x"))
	for range 3 {
		if r := call(t, "GET", p.addr, sinceQuery(d, "")).delta(t); resourceNames(r.Put) != "contract x" {
			t.Errorf("%+v", r)
		}
	}
	if p.responses.encodedCount != 3 {
		t.Errorf("%d texts made, want one more", p.responses.encodedCount)
	}
}

func numberedNames(prefix string, n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprintf("%s%05d", prefix, i))
	}
	return out
}

// A change that does not fit is refused by file, line, resource and field; nothing of it is in force, and it shows until it is mended.
func TestInvalidChangeIsRejectedAndReported(t *testing.T) {
	t.Parallel()
	p := startProcess(t, "", ServeOptions{Files: writeFolder(t, map[string]string{"a.yaml": contractText("a"), "b.yaml": contractText("b")})})
	v := p.waitForVersion(t, resource.Version{})
	for _, c := range []struct{ text, want string }{
		{"contracts:\n  - name: b\n    match: [{tenant: b}]\n    services: [shop]\n", `b.yaml:2: contract "b": services[0]: "shop" is no service here`},
		{"contracts:\n  - name: b\n    match: [{tenant: a}]\n", `b.yaml:2: contract "b": match[0]: contract "a" is for the same callers`},
		{contractText("a"), `b.yaml:2: contract "a" is in ` + filepath.Join(p.Files, "a.yaml") + ":2 already"},
		{"contracts:\n  - name: b\n    rats: 1\n", `b.yaml:3: unknown field "rats"`},
		{"cont", "b.yaml"},
	} {
		r := p.editAndReload(t, "b.yaml", c.text)
		if r.status != 422 || !strings.Contains(r.body, c.want) {
			t.Errorf("%d %s, want %s", r.status, r.body, c.want)
		}
		var st statusReport
		text := call(t, "GET", p.addr, "/v1/status").body
		if err := json.Unmarshal([]byte(text), &st); err != nil || st.Files == nil || st.Files.Error != strings.TrimSpace(r.body) || st.Version != v {
			t.Errorf("%v: %s", err, text)
		}
		if m := call(t, "GET", p.addr, "/metrics").body; !strings.Contains(m, "portstall_control_files_bad 1\n") {
			t.Errorf("metrics say\n%s", m)
		}
	}
	if got := call(t, "GET", p.addr, snapshotQuery).delta(t); got.To != v || resourceNames(got.Put) != "contract a, contract b" {
		t.Errorf("%+v", got)
	}
	// Taken back: the text of the version in force is no change.
	if r := p.editAndReload(t, "b.yaml", contractText("b")); r.status != 200 || !strings.Contains(r.body, `"changed":false`) {
		t.Errorf("%d %s", r.status, r.body)
	}
	if text := call(t, "GET", p.addr, "/metrics").body; !strings.Contains(text, "portstall_control_files_bad 0\n") ||
		!strings.Contains(text, `portstall_control_reloads_total{result="bad"} 5`) {
		t.Errorf("metrics say\n%s", text)
	}
}

// Calls for a reload wait for each other, but no more than so many: the next one is told when to come back, while the files are being read.
func TestConcurrentReloadLimit(t *testing.T) {
	t.Parallel()
	var armed atomic.Bool
	goOn := make(chan struct{})
	p := startProcess(t, "", ServeOptions{Files: writeFolder(t, map[string]string{"a.yaml": contractText("a")})}, func(s *server) {
		s.writer.loader.onRead = func(string) {
			if armed.Load() {
				<-goOn
			}
		}
	})
	p.waitForVersion(t, resource.Version{})
	armed.Store(true)
	writeFile(t, filepath.Join(p.Files, "a.yaml"), contractText("a", "b"))
	over := make(chan *httpResponse, maxConcurrentReloads+1)
	for range maxConcurrentReloads + 1 {
		go func() {
			r, err := fetch("POST", p.addr, "/v1/reload")
			if err != nil {
				r = &httpResponse{body: err.Error()}
			}
			over <- r
		}()
	}
	first := receive(t, "an answer while the files are being read", over)
	close(goOn)
	if first.status != 503 || first.header.Get("Retry-After") != "1" || !strings.Contains(first.body, "being read for others") {
		t.Errorf("one more than %d: %d %v %s", maxConcurrentReloads, first.status, first.header, first.body)
	}
	changed := 0
	for range maxConcurrentReloads {
		r := receive(t, "an answer to a reload", over)
		if r.status != 200 {
			t.Errorf("%d %s", r.status, r.body)
		}
		if strings.Contains(r.body, `"changed":true`) {
			changed++
		}
	}
	if changed != 1 {
		t.Errorf("%d readings say that they made a version", changed)
	}
}

// A call's head has its time, and a watch its longest wait.
func TestCallTimeouts(t *testing.T) {
	t.Parallel()
	p := startProcess(t, "", ServeOptions{Files: writeFolder(t, map[string]string{"a.yaml": contractText("a")})})
	p.waitForVersion(t, resource.Version{})
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, "GET "+snapshotQuery+" HTTP/1.1\r\nHost: x\r\n") // and no end of it
	c.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := io.Copy(io.Discard, c); err != nil {
		t.Errorf("a head without an end: %v, want the connection closed", err)
	}
	for text, want := range map[string]time.Duration{"0": 0, "1": time.Millisecond, "60000": maxWatchWait, "60001": maxWatchWait, fmt.Sprint(int64(math.MaxInt64)): maxWatchWait} {
		if q, err := parseQuery("name=n0&timeout_ms=" + text); err != nil || q.MaxWait != want {
			t.Errorf("timeout_ms=%s: %v %v, want %v", text, q.MaxWait, err, want)
		}
	}
}

// Texts that are kept to be told again are bounded in bytes: past that they are made again.
func TestResponseCacheIsBounded(t *testing.T) {
	t.Parallel()
	a, b := newResponseCache(), newStartedStore(t, Limits{}, contracts(100))
	first, second := b.Set().Snapshot(), mustChange(t, b, startTime, oneContract("c0001", 9))
	of := func(d *resource.Delta) {
		t.Helper()
		if body, _, err := a.body(d, false); err != nil || len(body) == 0 {
			t.Fatal(len(body), err)
		}
	}
	of(first)
	if a.bytes < 1000 {
		t.Fatalf("%d bytes of a snapshot of 100", a.bytes)
	}
	a.bytes = maxCachedBytes // as if there were more
	of(first)
	of(second)
	if len(a.responses) != 2 || a.encodedCount != 2 {
		t.Fatalf("at the bound %d are kept, %d were made", len(a.responses), a.encodedCount)
	}
	of(&resource.Delta{From: second.From, To: second.To, Put: second.Put}) // past it by now
	if len(a.responses) != 1 || a.bytes > 1000 {
		t.Errorf("past the bound %d are kept, %d bytes", len(a.responses), a.bytes)
	}
	if of(first); a.encodedCount != 4 {
		t.Errorf("%d were made", a.encodedCount)
	}
}

// A node's refusal shows with node, version, resource and field, and no watch of it brings that version again.
func TestRefusalIsReported(t *testing.T) {
	t.Parallel()
	p := startProcess(t, "", ServeOptions{Files: writeFolder(t, map[string]string{"a.yaml": contractText("a")})})
	p.waitForVersion(t, resource.Version{})
	set := resource.NewSet(false)
	refused := make(chan *resource.Delta, 10)
	ctx, cancel := context.WithCancel(t.Context())
	over := make(chan error, 1)
	var status follow.Status
	go func() {
		over <- follow.Run(ctx, follow.Options{Name: "n7", Role: "node", Sources: []string{p.addr}, Set: set, Status: &status, Take: func(d *resource.Delta) error {
			if len(d.Put) == 1 && d.Put[0].Name == "odd" {
				refused <- d
				return &resource.Refusal{Key: d.Put[0].Key, Field: "match[0].from", Why: "not here"}
			}
			return set.Apply(d)
		}})
	}()
	p.waitForHeldCall(t)
	if r := p.editAndReload(t, "b.yaml", contractText("odd")); r.status != 200 {
		t.Fatal(r.body)
	}
	bad := receive(t, "the change", refused)
	p.waitForHeldCall(t) // with the refusal
	var st statusReport
	if err := json.Unmarshal([]byte(call(t, "GET", p.addr, "/v1/status").body), &st); err != nil || len(st.Refusals) != 1 {
		t.Fatalf("%v, %+v", err, st)
	}
	if r := st.Refusals[0]; r.Name != "n7" || r.Refused != bad.To || r.Version != bad.From || r.Why != `contract "odd": match[0].from: not here` {
		t.Errorf("%+v", r)
	}
	if f := status.Read(); f.Refused != bad.To || f.Failures[follow.Refused] != 1 || f.Version != bad.From {
		t.Errorf("%+v", f)
	}
	// The next version comes with it.
	if r := p.editAndReload(t, "b.yaml", contractText("even")); r.status != 200 {
		t.Fatal(r.body)
	}
	p.waitForHeldCall(t)
	cancel()
	if err := receive(t, "the end", over); err != nil || !set.Has(resource.Key{Kind: resource.Contract, Name: "even"}) || set.Has(bad.Put[0].Key) || len(refused) > 0 {
		t.Errorf("%v, %v", err, set)
	}
}

// Past the bound on watches a call is told when to come back; one that is answered at once still is.
func TestWatchLimitOverHTTP(t *testing.T) {
	t.Parallel()
	p := startProcess(t, "", ServeOptions{Files: writeFolder(t, map[string]string{"a.yaml": contractText("a")}), Limits: Limits{Watches: 2}})
	p.waitForVersion(t, resource.Version{})
	first := call(t, "GET", p.addr, snapshotQuery).delta(t)
	var held []<-chan *httpResponse
	for i := range 2 {
		held = append(held, callAsync(t, p.addr, strings.Replace(sinceQuery(first, waitParameter), "n0", fmt.Sprint("w", i), 1)))
		p.waitForHeldCall(t)
	}
	if r := call(t, "GET", p.addr, sinceQuery(first, waitParameter)); r.status != 503 || r.header.Get("Retry-After") != "2" {
		t.Errorf("%d %v %s", r.status, r.header, r.body)
	}
	if r := call(t, "GET", p.addr, snapshotQuery); r.status != 200 {
		t.Errorf("%d %s", r.status, r.body)
	}
	// A second call of one name takes the place of its first.
	again := callAsync(t, p.addr, strings.Replace(sinceQuery(first, waitParameter), "n0", "w1", 1))
	p.waitForHeldCall(t)
	if r := receive(t, "the answer to the call that was replaced", held[1]).delta(t); r.To != first.To {
		t.Errorf("%+v", r)
	}
	p.editAndReload(t, "a.yaml", contractText("a", "b"))
	for _, c := range []<-chan *httpResponse{held[0], again} {
		if r := receive(t, "the held call's answer", c).delta(t); resourceNames(r.Put) != "contract b" {
			t.Errorf("%+v", r)
		}
	}
	if len(p.replacedWatches) > 0 {
		t.Errorf("%d calls are still known as held", len(p.replacedWatches))
	}
}

// At its end a control process answers who waits, closes the listener and leaves nothing behind.
func TestShutdownAnswersHeldCalls(t *testing.T) {
	t.Parallel()
	p := startProcess(t, "", ServeOptions{Files: writeFolder(t, map[string]string{"a.yaml": contractText("a")})})
	p.waitForVersion(t, resource.Version{})
	first := call(t, "GET", p.addr, snapshotQuery).delta(t)
	var held []<-chan *httpResponse
	for i := range 20 {
		held = append(held, callAsync(t, p.addr, strings.Replace(sinceQuery(first, waitParameter), "n0", fmt.Sprint("w", i), 1)))
		p.waitForHeldCall(t)
	}
	silent, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	io.WriteString(silent, "GET /v1/res")
	if err := p.stop(); err != nil {
		t.Error(err)
	}
	for _, c := range held {
		if r := receive(t, "the held call's answer", c); r.status != 503 || r.header.Get("Retry-After") != "1" || !strings.Contains(r.body, "ends") {
			t.Errorf("%d %v %s", r.status, r.header, r.body)
		}
	}
	if c, err := net.Dial("tcp", p.addr); err == nil {
		c.Close()
		t.Error("it still listens")
	}
}

// While a writer reads its files it answers that it has nothing yet; where they are wrong it ends with that, and answers nobody any more.
func TestWriterRespondsWhileItReadsFiles(t *testing.T) {
	t.Parallel()
	for _, text := range []string{contractText("a"), "contracts:\n- name: a\n  rats: 1\n"} {
		ln, err := standin.Listen()
		if err != nil {
			t.Fatal(err)
		}
		dir := writeFolder(t, map[string]string{"a.yaml": text})
		s, err := newServer(ServeOptions{Listener: ln, Files: dir})
		if err != nil {
			t.Fatal(err)
		}
		reading, on := make(chan struct{}), make(chan struct{})
		s.writer.loader.onRead = func(string) {
			close(reading)
			<-on
		}
		ctx, cancel := context.WithCancel(t.Context())
		over := make(chan error, 1)
		go func() { over <- s.run(ctx) }()
		receive(t, "the reading", reading)
		for _, path := range []string{"/-/ready", snapshotQuery} {
			if r := call(t, "GET", ln.Addr().String(), path); r.status != 503 {
				t.Errorf("%s: %d", path, r.status)
			}
		}
		close(on)
		var bad *FilesError
		if strings.Contains(text, "rats") {
			if err := receive(t, "the end", over); !errors.As(err, &bad) || !strings.Contains(err.Error(), `a.yaml:3: unknown field "rats"`) {
				t.Error(err)
			}
		} else {
			(&testProcess{server: s}).waitForVersion(t, resource.Version{})
			cancel()
			if err := receive(t, "the end", over); err != nil {
				t.Error(err)
			}
		}
		cancel()
	}
}

// A follower tells what the writer has, waits with it, and takes part in a change. While it has nothing it says so.
func TestFollowerServesTheWritersVersions(t *testing.T) {
	t.Parallel()
	addr, err := standin.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	f := startProcess(t, "", ServeOptions{From: []string{addr}})
	if r := call(t, "GET", f.addr, "/-/ready"); r.status != 503 {
		t.Errorf("ready with nothing: %d", r.status)
	}
	if r := call(t, "GET", f.addr, snapshotQuery); r.status != 503 || r.header.Get("Retry-After") == "" {
		t.Errorf("%d %v", r.status, r.header)
	}
	if r := call(t, "POST", f.addr, "/v1/reload"); r.status != 409 {
		t.Errorf("%d %s", r.status, r.body)
	}
	p := startProcess(t, addr, ServeOptions{Files: writeFolder(t, map[string]string{"a.yaml": contractText("a")})})
	v := f.waitForVersion(t, resource.Version{})
	if r := call(t, "GET", f.addr, "/-/ready"); r.status != 200 {
		t.Errorf("%d", r.status)
	}
	first := call(t, "GET", f.addr, snapshotQuery).delta(t)
	if first.To != v || resourceNames(first.Put) != "contract a" {
		t.Errorf("%+v", first)
	}
	held := callAsync(t, f.addr, sinceQuery(first, waitParameter))
	f.waitForHeldCall(t)
	p.editAndReload(t, "a.yaml", contractText("a", "b"))
	if d := receive(t, "the held call's answer", held).delta(t); d.From != v || resourceNames(d.Put) != "contract b" {
		t.Errorf("%+v", d)
	}
	// What it tells of its own following comes behind the version: with its next call, at the latest.
	var st statusReport
	for st.Follows == nil || st.Follows.Version.Compare(v) <= 0 {
		p.waitForHeldCall(t)
		st = statusReport{}
		if err := json.Unmarshal([]byte(call(t, "GET", f.addr, "/v1/status").body), &st); err != nil || st.Role != "follower" || st.Follows == nil {
			t.Fatalf("%v %+v", err, st)
		}
	}
	if st.Follows.Source != addr || st.Version != st.Follows.Version {
		t.Errorf("%+v", st)
	}
	if m := call(t, "GET", f.addr, "/metrics").body; !strings.Contains(m, `portstall_control_follow_failures_total{kind="unreachable"}`) {
		t.Error(m)
	}
}

// A writer that was killed between taking a change and telling it begins anew past all that the others have, and never numbers a version
// twice. What it had taken is in its files. One that has lost the others' latest is told so by its callers, and goes past it.
func TestRestartedWriterBeginsPastItsPeers(t *testing.T) {
	t.Parallel()
	dir := writeFolder(t, map[string]string{"a.yaml": contractText("a")})
	p := startProcess(t, "", ServeOptions{Files: dir})
	f := startProcess(t, "", ServeOptions{From: []string{p.addr}})
	v := f.waitForVersion(t, resource.Version{})
	first := call(t, "GET", f.addr, snapshotQuery).delta(t)
	if err := p.stop(); err != nil {
		t.Error(err)
	}
	writeFile(t, filepath.Join(dir, "a.yaml"), contractText("a", "untold"))
	held := callAsync(t, f.addr, sinceQuery(first, waitParameter))
	f.waitForHeldCall(t)
	p2 := startProcess(t, p.addr, ServeOptions{Files: dir, Peers: []string{f.addr, p.addr}})
	d := receive(t, "the held call's answer", held).delta(t)
	if d.To.Epoch <= v.Epoch || resourceNames(d.Put) != "contract untold" || d.From != v {
		t.Errorf("%+v", d)
	}
	if r := call(t, "GET", p2.addr, sinceQuery(first, "")).delta(t); r.From != v || r.To != d.To {
		t.Errorf("the writer tells %+v", r)
	}
}

// frozen is a clock that stands: the start of an epoch gets no later by it.
type frozenClock struct {
	follow.Clock
	now time.Duration
}

func (c frozenClock) Now() time.Duration { return c.now }

// A writer takes a change, tells it to one node alone and is killed; it comes back within the same millisecond, with peers that do not know
// of the change, and with files that say something else by then. Its versions are later than the node's all the same, also where no peer
// answers, and the node has what the files say.
func TestWriterKilledAfterOnlyOneNodeReceivedAChange(t *testing.T) {
	t.Parallel()
	for _, reached := range []bool{true, false} {
		t.Run(fmt.Sprint("peers answer: ", reached), func(t *testing.T) {
			t.Parallel()
			clock := frozenClock{follow.SystemClock(), time.Duration(time.Now().UnixNano())}
			dir := writeFolder(t, map[string]string{"a.yaml": contractText("a")})
			o := ServeOptions{Files: dir, Clock: clock}
			p := startProcess(t, "", o)
			p.waitForVersion(t, resource.Version{})
			before := call(t, "GET", p.addr, snapshotQuery)
			peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if !reached {
					w.WriteHeader(http.StatusServiceUnavailable)
				}
				io.WriteString(w, before.body)
			}))
			defer peer.Close()
			if r := p.editAndReload(t, "a.yaml", contractText("a", "told")); r.status != 200 {
				t.Fatal(r.body)
			}
			node := call(t, "GET", p.addr, sinceQuery(before.delta(t), "")).delta(t)
			if resourceNames(node.Put) != "contract told" {
				t.Fatalf("%+v", node)
			}
			if err := p.stop(); err != nil {
				t.Error(err)
			}
			writeFile(t, filepath.Join(dir, "a.yaml"), contractText("a", "other"))
			o.Peers = []string{peer.Listener.Addr().String()}
			p = startProcess(t, p.addr, o, func(s *server) { s.epochInterval = 0 })
			v := p.waitForVersion(t, resource.Version{})
			r := call(t, "GET", p.addr, sinceQuery(node, ""))
			if !reached { // it bears a version of before: who has more shows it
				if r.status != 409 {
					t.Fatalf("%d %s", r.status, r.body)
				}
				p.waitForVersion(t, v)
				r = call(t, "GET", p.addr, sinceQuery(node, ""))
			}
			d := r.delta(t)
			if d.To.Compare(node.To) <= 0 || d.To.Epoch == node.To.Epoch || resourceNames(d.Put) != "contract a, contract other" || !d.Whole() {
				t.Errorf("%+v after %v", d, node.To)
			}
		})
	}
}

// A writer whose peers did not answer begins by its clock, and again when a caller shows that it has something later.
func TestWriterBeginsEpochPastCallersVersion(t *testing.T) {
	t.Parallel()
	p := startProcess(t, "", ServeOptions{Files: writeFolder(t, map[string]string{"a.yaml": contractText("a")})}, func(s *server) { s.epochInterval = 0 })
	v := p.waitForVersion(t, resource.Version{})
	ahead := resource.Version{Epoch: v.Epoch + 3_600_000, Number: 7}
	if r := call(t, "GET", p.addr, snapshotQuery+fmt.Sprintf("&since=%v&sum=0000000000000000", ahead)); r.status != 409 {
		t.Errorf("%d %s", r.status, r.body)
	}
	if v2 := p.waitForVersion(t, v); v2.Epoch != ahead.Epoch+1 {
		t.Errorf("%v after %v", v2, ahead)
	}
}

// Control killed in the middle of an answer: nothing of it is taken, and the whole comes from it once it is back.
func TestControlKilledInTheMiddleOfAResponse(t *testing.T) {
	t.Parallel()
	ln, err := standin.Listen()
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	cut := make(chan struct{})
	go func() {
		defer close(cut)
		c, err := ln.Accept()
		if err != nil {
			return
		}
		c.Read(make([]byte, 4096))
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"from\":\"0.0\",\"to\":\"9.9\",\"sum\":\"0000000000000000\"}")
		c.Close()
		ln.Close()
	}()
	set := resource.NewSet(false)
	taken := make(chan *resource.Delta, 1)
	ctx, cancel := context.WithCancel(t.Context())
	over := make(chan error, 1)
	var status follow.Status
	go func() {
		over <- follow.Run(ctx, follow.Options{Name: "n0", Role: "node", Sources: []string{addr}, Set: set, Status: &status, Take: func(d *resource.Delta) error {
			taken <- d
			return set.Apply(d)
		}})
	}()
	receive(t, "the call", cut)
	startProcess(t, addr, ServeOptions{Files: writeFolder(t, map[string]string{"a.yaml": contractText("a")})})
	d := receive(t, "the change", taken)
	cancel()
	if err := receive(t, "the end", over); err != nil || resourceNames(d.Put) != "contract a" || status.Read().Failures[follow.Broken] != 1 {
		t.Errorf("%v, %+v, %+v", err, d, status.Read())
	}
}

// narrow is a listener whose connections take few bytes that are not read.
type smallBufferListener struct{ net.Listener }

func (l smallBufferListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		err = c.(*net.TCPConn).SetWriteBuffer(4096)
	}
	return c, err
}

// A caller that does not read its answer is cut off, and others are served meanwhile.
func TestCallerThatDoesNotReadIsDisconnected(t *testing.T) {
	t.Parallel()
	sent := make(chan error, 100)
	p := startProcess(t, "", ServeOptions{Files: writeFolder(t, map[string]string{"a.yaml": contractText(numberedNames(strings.Repeat("long", 60), 1500)...)})}, func(s *server) {
		s.onSent = func(err error) { sent <- err }
		s.Listener = smallBufferListener{s.Listener}
		s.writeTimeout = func(n int) time.Duration {
			if n < 100_000 {
				return testTimeout
			}
			return 100 * time.Millisecond // for nobody in a hurry: what it does not read does not go out however long it takes
		}
	})
	p.waitForVersion(t, resource.Version{})
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	c, err := dialer.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, "GET "+snapshotQuery+" HTTP/1.1\r\nHost: x\r\n\r\n")
	if r := call(t, "GET", p.addr, "/-/ready"); r.status != 200 {
		t.Errorf("%d", r.status)
	}
	for range 2 { // of both calls
		select {
		case err := <-sent:
			if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Error(err)
			}
			if err != nil {
				return
			}
		case <-time.After(testTimeout):
			t.Fatal("it is not cut off")
		}
	}
	t.Error("all was written to a caller that does not read")
}

// Connections without a call make room for new ones past the bound.
func TestConnectionLimitClosesOldestIdle(t *testing.T) {
	t.Parallel()
	p := startProcess(t, "", ServeOptions{Files: writeFolder(t, map[string]string{"a.yaml": contractText("a")}), Limits: Limits{Watches: 1}})
	p.waitForVersion(t, resource.Version{})
	first := call(t, "GET", p.addr, snapshotQuery).delta(t)
	held := callAsync(t, p.addr, sinceQuery(first, waitParameter))
	p.waitForHeldCall(t)
	var open []net.Conn
	for range p.connections.maxOpen + 50 {
		c, err := net.Dial("tcp", p.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		open = append(open, c)
	}
	if r := call(t, "GET", p.addr, "/-/ready"); r.status != 200 {
		t.Errorf("%d", r.status)
	}
	open[0].SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := open[0].Read(make([]byte, 1)); err == nil || os.IsTimeout(err) {
		t.Errorf("the oldest connection without a call stays: %v", err)
	}
	if _, closed := p.connections.stats(); closed < 50 {
		t.Errorf("%d were closed", closed)
	}
	p.editAndReload(t, "a.yaml", contractText("a", "b"))
	if d := receive(t, "the held call's answer", held).delta(t); resourceNames(d.Put) != "contract b" {
		t.Errorf("%+v", d)
	}
}
