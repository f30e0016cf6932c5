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

// testProcess is a control process that runs within the test process.
type testProcess struct {
	*server
	addr         string
	heldCalls    chan struct{} // an element each time that a call is held
	reloadSignal chan struct{}
	stop         func() error // ends the process as SIGTERM does, and waits for that
}

// startProcess starts a control process, which listens at addr or, where that is empty, at a free port. The change
// functions are applied before it runs.
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
	done := make(chan error, 1)
	go func() { done <- p.run(ctx) }()
	p.stop = sync.OnceValue(func() error {
		cancel()
		select {
		case err := <-done:
			return err
		case <-time.After(testTimeout):
			t.Error("the control process did not end in time")
			return nil
		}
	})
	t.Cleanup(func() { p.stop() })
	return p
}

// listen opens a listener at addr or, where that is empty, at a free port.
func listen(addr string) (net.Listener, error) {
	if addr == "" {
		return standin.Listen()
	}
	return net.Listen("tcp", addr)
}

// waitForVersion waits for a version later than the given one and returns it.
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
			t.Fatalf("no version later than %v in time", later)
		}
	}
}

// waitForHeldCall waits until a call is held, once for each element of heldCalls.
func (p *testProcess) waitForHeldCall(t testing.TB) {
	t.Helper()
	select {
	case <-p.heldCalls:
	case <-time.After(testTimeout):
		t.Fatal("no call was held in time")
	}
}

// httpClient uses a new connection for each call and does not decompress.
var httpClient = func() *http.Client {
	return &http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
}()

// httpResponse is a response that was read to its end.
type httpResponse struct {
	status int
	header http.Header
	body   string
}

// delta decodes the body, which is not compressed; the status has to be 200.
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

// call makes a call that has to get a response.
func call(t testing.TB, method, addr, path string) *httpResponse {
	t.Helper()
	r, err := fetch(method, addr, path)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// fetch makes a call and reads the response.
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

// callAsync makes a GET call in a goroutine of its own. A failure is a response with status 0 and the error as its body.
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

// receive returns the next element of a channel; the test fails if that takes too long.
func receive[T any](t testing.TB, what string, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatalf("%s did not come in time", what)
		panic("")
	}
}

// sinceQuery returns the path and query of node n0's call after it has applied a delta.
func sinceQuery(d *resource.Delta, more string) string {
	sum, _ := d.Checksum.MarshalText()
	return fmt.Sprintf("/v1/resources?name=n0&role=node&since=%v&sum=%s%s", d.To, sum, more)
}

// editAndReload writes a file of the writer's folder and calls for a reload.
func (p *testProcess) editAndReload(t testing.TB, file, text string) *httpResponse {
	t.Helper()
	writeFile(t, filepath.Join(p.Files, file), text)
	return call(t, "POST", p.addr, "/v1/reload")
}

// Node n0's call without a version, and the query parameter of a call that may be held.
const (
	snapshotQuery = "/v1/resources?name=n0&role=node"
	waitParameter = "&timeout_ms=30000"
)

// A held call receives a change as a delta, a caller that is behind gets a delta at once, one without a version or
// behind the history a snapshot, and a call whose wait ends an empty delta. Invalid calls are rejected.
func TestWatchOverHTTP(t *testing.T) {
	t.Parallel()
	p := startProcess(t, "", ServeOptions{Files: writeFolder(t, map[string]string{"a.yaml": contractText("a", "b"), "b.yaml": contractText("c")}),
		Limits: Limits{History: resource.HistoryLimits{Deltas: 2}}})
	v0 := p.waitForVersion(t, resource.Version{})
	if r := call(t, "GET", p.addr, "/-/ready"); r.status != 200 {
		t.Errorf("GET /-/ready failed: %s", r.body)
	}
	first := call(t, "GET", p.addr, snapshotQuery).delta(t)
	if !first.IsSnapshot() || first.To != v0 || resourceNames(first.Put) != "contract a, contract b, contract c" {
		t.Fatalf("unexpected delta: %+v", first)
	}
	held := callAsync(t, p.addr, sinceQuery(first, waitParameter))
	p.waitForHeldCall(t)
	if r := p.editAndReload(t, "b.yaml", contractText("d")); r.status != 200 || !strings.Contains(r.body, `"put":1,"gone":1,"changed":true`) {
		t.Fatalf("status %d, body %s", r.status, r.body)
	}
	d := receive(t, "the held call's response", held).delta(t)
	if d.From != first.To || d.To.Compare(first.To) <= 0 || resourceNames(d.Put) != "contract d" || len(d.Removed) != 1 || d.Removed[0].Name != "c" {
		t.Fatalf("unexpected delta: %+v", d)
	}
	if r := call(t, "GET", p.addr, sinceQuery(first, waitParameter)).delta(t); r.From != first.To || r.To != d.To { // behind: no wait
		t.Errorf("unexpected delta: %+v", r)
	}
	if r := call(t, "GET", p.addr, sinceQuery(d, "&timeout_ms=1")).delta(t); r.From != d.To || r.To != d.To || len(r.Put)+len(r.Removed) > 0 {
		t.Errorf("unexpected delta: %+v", r)
	}
	if r := call(t, "GET", p.addr, sinceQuery(d, "")).delta(t); r.To != d.To {
		t.Errorf("unexpected delta: %+v", r)
	}
	if r := p.editAndReload(t, "b.yaml", contractText("d")); r.status != 200 || !strings.Contains(r.body, `"changed":false`) {
		t.Errorf("status %d, body %s", r.status, r.body)
	}
	// A reload by ServeOptions.Reload, as on SIGHUP. Then a caller at the oldest version of the history, and one before
	// it.
	writeFile(t, filepath.Join(p.Files, "b.yaml"), contractText("e"))
	p.reloadSignal <- struct{}{}
	v := p.waitForVersion(t, d.To)
	if r := call(t, "GET", p.addr, sinceQuery(first, "")).delta(t); r.From != first.To || r.To != v || resourceNames(r.Put) != "contract e" {
		t.Errorf("two versions behind, with two deltas retained: %+v", r)
	}
	p.editAndReload(t, "b.yaml", contractText("f"))
	if r := call(t, "GET", p.addr, sinceQuery(first, "")).delta(t); !r.IsSnapshot() || resourceNames(r.Put) != "contract a, contract b, contract f" {
		t.Errorf("three versions behind, with two deltas retained: %+v", r)
	}
	// A version later than the store's, and invalid calls.
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
		{snapshotQuery + "&timeout_ms=soon", 400, `timeout_ms: "soon" is not a number`},
		{snapshotQuery + "&timeout_ms=-1", 400, `timeout_ms: "-1" is not a number`},
		{"/v1/resources?name=n0&role=king", 400, "role "},
		{snapshotQuery + "&refused=1.1&why=" + strings.Repeat("y", resource.MaxReason+1), 400, "why: "},
		{"/v1/nothing", 404, ""},
	} {
		if r := call(t, "GET", p.addr, c.query); r.status != c.status || !strings.Contains(r.body, c.says) {
			t.Errorf("%.80s: status %d, body %s; want %d, %s", c.query, r.status, r.body, c.status, c.says)
		}
	}
	if r := call(t, "POST", p.addr, "/v1/resources"); r.status != 405 {
		t.Errorf("unexpected status %d", r.status)
	}
	// A header over the limit. The server reads all of it: unread bytes would make it reset the connection and lose the
	// response.
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	start := "GET " + snapshotQuery + "&x="
	io.WriteString(c, start+strings.Repeat("y", maxHeaderBytes+4096-len(start)))
	line := make([]byte, len("HTTP/1.1 431"))
	c.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := io.ReadFull(c, line); err != nil || string(line) != "HTTP/1.1 431" {
		t.Errorf("response to a long header: %q, error %v; want status 431", line, err)
	}
}

// Callers of one version share one encoded body in each coding; with gzip accepted the body is compressed and has the
// same content.
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
				t.Errorf("unexpected gzip response: error %v, %d bytes for a body of %d, header %v", err, resp.ContentLength, len(plain.body), resp.Header)
			}
		})
	}
	group.Wait()
	if p.responses.encodedCount != 2 {
		t.Errorf("%d bodies encoded, want one plain and one compressed", p.responses.encodedCount)
	}
	p.editAndReload(t, "b.yaml", contractText("x"))
	for range 3 {
		if r := call(t, "GET", p.addr, sinceQuery(d, "")).delta(t); resourceNames(r.Put) != "contract x" {
			t.Errorf("unexpected delta: %+v", r)
		}
	}
	if p.responses.encodedCount != 3 {
		t.Errorf("%d bodies encoded, want one more", p.responses.encodedCount)
	}
}

// numberedNames returns n names with a prefix and five digits.
func numberedNames(prefix string, n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprintf("%s%05d", prefix, i))
	}
	return out
}

// An invalid change is rejected with file, line, resource and field. Nothing of it is in force, and status and metrics
// show the error until the files are valid again.
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
			t.Errorf("status %d, body %s; want 422 and %s", r.status, r.body, c.want)
		}
		var st statusReport
		text := call(t, "GET", p.addr, "/v1/status").body
		if err := json.Unmarshal([]byte(text), &st); err != nil || st.Files == nil || st.Files.Error != strings.TrimSpace(r.body) || st.Version != v {
			t.Errorf("unexpected status report, error %v: %s", err, text)
		}
		if m := call(t, "GET", p.addr, "/metrics").body; !strings.Contains(m, "portstall_control_files_bad 1\n") {
			t.Errorf("unexpected metrics:\n%s", m)
		}
	}
	if got := call(t, "GET", p.addr, snapshotQuery).delta(t); got.To != v || resourceNames(got.Put) != "contract a, contract b" {
		t.Errorf("unexpected delta: %+v", got)
	}
	// The file is restored: the content of the version in force is no change.
	if r := p.editAndReload(t, "b.yaml", contractText("b")); r.status != 200 || !strings.Contains(r.body, `"changed":false`) {
		t.Errorf("status %d, body %s", r.status, r.body)
	}
	if text := call(t, "GET", p.addr, "/metrics").body; !strings.Contains(text, "portstall_control_files_bad 0\n") ||
		!strings.Contains(text, `portstall_control_reloads_total{result="bad"} 5`) {
		t.Errorf("unexpected metrics:\n%s", text)
	}
}

// Calls for a reload wait for each other. Past maxConcurrentReloads a call gets 503 with Retry-After at once, while the
// files are still being read.
func TestConcurrentReloadLimit(t *testing.T) {
	t.Parallel()
	var armed atomic.Bool
	resume := make(chan struct{})
	p := startProcess(t, "", ServeOptions{Files: writeFolder(t, map[string]string{"a.yaml": contractText("a")})}, func(s *server) {
		s.writer.loader.onRead = func(string) {
			if armed.Load() {
				<-resume
			}
		}
	})
	p.waitForVersion(t, resource.Version{})
	armed.Store(true)
	writeFile(t, filepath.Join(p.Files, "a.yaml"), contractText("a", "b"))
	done := make(chan *httpResponse, maxConcurrentReloads+1)
	for range maxConcurrentReloads + 1 {
		go func() {
			r, err := fetch("POST", p.addr, "/v1/reload")
			if err != nil {
				r = &httpResponse{body: err.Error()}
			}
			done <- r
		}()
	}
	first := receive(t, "a response while the files are being read", done)
	close(resume)
	if first.status != 503 || first.header.Get("Retry-After") != "1" || !strings.Contains(first.body, "being read for others") {
		t.Errorf("the call past %d got status %d, header %v, body %s", maxConcurrentReloads, first.status, first.header, first.body)
	}
	changed := 0
	for range maxConcurrentReloads {
		r := receive(t, "a response to a reload", done)
		if r.status != 200 {
			t.Errorf("status %d, body %s", r.status, r.body)
		}
		if strings.Contains(r.body, `"changed":true`) {
			changed++
		}
	}
	if changed != 1 {
		t.Errorf("%d reloads report a new version, want 1", changed)
	}
}

// A connection whose request header does not end is closed, and the wait of a watch is at most maxWatchWait.
func TestCallTimeouts(t *testing.T) {
	t.Parallel()
	p := startProcess(t, "", ServeOptions{Files: writeFolder(t, map[string]string{"a.yaml": contractText("a")})})
	p.waitForVersion(t, resource.Version{})
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, "GET "+snapshotQuery+" HTTP/1.1\r\nHost: x\r\n") // the header does not end
	c.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := io.Copy(io.Discard, c); err != nil {
		t.Errorf("request header without an end: %v, want the connection closed", err)
	}
	for text, want := range map[string]time.Duration{"0": 0, "1": time.Millisecond, "60000": maxWatchWait, "60001": maxWatchWait, fmt.Sprint(int64(math.MaxInt64)): maxWatchWait} {
		if q, err := parseQuery("name=n0&timeout_ms=" + text); err != nil || q.MaxWait != want {
			t.Errorf("timeout_ms=%s: %v %v, want %v", text, q.MaxWait, err, want)
		}
	}
}

// The bodies in the cache are bounded in bytes: past that they are dropped and encoded again.
func TestResponseCacheIsBounded(t *testing.T) {
	t.Parallel()
	cache, store := newResponseCache(), newStartedStore(t, Limits{}, contracts(100))
	first, second := store.Set().Snapshot(), mustChange(t, store, startTime, oneContract("c0001", 9))
	encode := func(d *resource.Delta) {
		t.Helper()
		if body, _, err := cache.body(d, false); err != nil || len(body) == 0 {
			t.Fatal(len(body), err)
		}
	}
	encode(first)
	if cache.bytes < 1000 {
		t.Fatalf("a snapshot of 100 resources takes %d bytes in the cache, want at least 1000", cache.bytes)
	}
	cache.bytes = maxCachedBytes // as if other bodies filled the cache
	encode(first)
	encode(second)
	if len(cache.responses) != 2 || cache.encodedCount != 2 {
		t.Fatalf("at the limit the cache has %d deltas, and %d bodies were encoded; want 2 and 2", len(cache.responses), cache.encodedCount)
	}
	encode(&resource.Delta{From: second.From, To: second.To, Put: second.Put}) // the cache is past the limit by now
	if len(cache.responses) != 1 || cache.bytes > 1000 {
		t.Errorf("past the limit the cache has %d deltas, %d bytes", len(cache.responses), cache.bytes)
	}
	if encode(first); cache.encodedCount != 4 {
		t.Errorf("%d bodies were encoded, want 4", cache.encodedCount)
	}
}

// A node's refusal is reported with node, version, resource and field, and the refused version is not sent to it again.
func TestRefusalIsReported(t *testing.T) {
	t.Parallel()
	p := startProcess(t, "", ServeOptions{Files: writeFolder(t, map[string]string{"a.yaml": contractText("a")})})
	p.waitForVersion(t, resource.Version{})
	set := resource.NewSet(false)
	refused := make(chan *resource.Delta, 10)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	var status follow.Status
	go func() {
		done <- follow.Run(ctx, follow.Options{Name: "n7", Role: "node", Sources: []string{p.addr}, Set: set, Status: &status, Apply: func(d *resource.Delta) error {
			if len(d.Put) == 1 && d.Put[0].Name == "odd" {
				refused <- d
				return &resource.Refusal{Key: d.Put[0].Key, Field: "match[0].from", Reason: "not here"}
			}
			return set.Apply(d)
		}})
	}()
	p.waitForHeldCall(t)
	if r := p.editAndReload(t, "b.yaml", contractText("odd")); r.status != 200 {
		t.Fatal(r.body)
	}
	bad := receive(t, "the change", refused)
	p.waitForHeldCall(t) // the call that reports the refusal
	var st statusReport
	if err := json.Unmarshal([]byte(call(t, "GET", p.addr, "/v1/status").body), &st); err != nil || len(st.Refusals) != 1 {
		t.Fatalf("error %v, status %+v; want one refusal", err, st)
	}
	if r := st.Refusals[0]; r.Name != "n7" || r.Refused != bad.To || r.Version != bad.From || r.Why != `contract "odd": match[0].from: not here` {
		t.Errorf("unexpected refusal: %+v", r)
	}
	if f := status.Read(); f.Refused != bad.To || f.Failures[follow.Refused] != 1 || f.Version != bad.From {
		t.Errorf("unexpected status: %+v", f)
	}
	// The next version includes the refused change and one more.
	if r := p.editAndReload(t, "b.yaml", contractText("even")); r.status != 200 {
		t.Fatal(r.body)
	}
	p.waitForHeldCall(t)
	cancel()
	if err := receive(t, "the end of the follow loop", done); err != nil || !set.Has(resource.Key{Kind: resource.Contract, Name: "even"}) || set.Has(bad.Put[0].Key) || len(refused) > 0 {
		t.Errorf("error %v, resources %v; want the later change without the refused one", err, set)
	}
}

// Past the limit on watches a call gets 503 with Retry-After; a call that needs no wait still gets its response.
func TestWatchLimitOverHTTP(t *testing.T) {
	t.Parallel()
	p := startProcess(t, "", ServeOptions{Files: writeFolder(t, map[string]string{"a.yaml": contractText("a")}), Limits: Limits{MaxWatches: 2}})
	p.waitForVersion(t, resource.Version{})
	first := call(t, "GET", p.addr, snapshotQuery).delta(t)
	var held []<-chan *httpResponse
	for i := range 2 {
		held = append(held, callAsync(t, p.addr, strings.Replace(sinceQuery(first, waitParameter), "n0", fmt.Sprint("w", i), 1)))
		p.waitForHeldCall(t)
	}
	if r := call(t, "GET", p.addr, sinceQuery(first, waitParameter)); r.status != 503 || r.header.Get("Retry-After") != "2" {
		t.Errorf("status %d, header %v, body %s", r.status, r.header, r.body)
	}
	if r := call(t, "GET", p.addr, snapshotQuery); r.status != 200 {
		t.Errorf("status %d, body %s", r.status, r.body)
	}
	// A second call of one process replaces its first.
	again := callAsync(t, p.addr, strings.Replace(sinceQuery(first, waitParameter), "n0", "w1", 1))
	p.waitForHeldCall(t)
	if r := receive(t, "the response to the replaced call", held[1]).delta(t); r.To != first.To {
		t.Errorf("unexpected delta: %+v", r)
	}
	p.editAndReload(t, "a.yaml", contractText("a", "b"))
	for _, c := range []<-chan *httpResponse{held[0], again} {
		if r := receive(t, "the held call's response", c).delta(t); resourceNames(r.Put) != "contract b" {
			t.Errorf("unexpected delta: %+v", r)
		}
	}
	if len(p.replacedWatches) > 0 {
		t.Errorf("%d calls are still registered as held", len(p.replacedWatches))
	}
}

// On shutdown a control process responds to held calls, closes the listener and leaves no goroutine behind.
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
		if r := receive(t, "the held call's response", c); r.status != 503 || r.header.Get("Retry-After") != "1" || !strings.Contains(r.body, "shutting down") {
			t.Errorf("status %d, header %v, body %s", r.status, r.header, r.body)
		}
	}
	if c, err := net.Dial("tcp", p.addr); err == nil {
		c.Close()
		t.Error("the listener is still open")
	}
}

// While a writer reads its files for the first time it responds 503. Where they are invalid it ends with a *FilesError.
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
		reading, resume := make(chan struct{}), make(chan struct{})
		s.writer.loader.onRead = func(string) {
			close(reading)
			<-resume
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- s.run(ctx) }()
		receive(t, "the read of a file", reading)
		for _, path := range []string{"/-/ready", snapshotQuery} {
			if r := call(t, "GET", ln.Addr().String(), path); r.status != 503 {
				t.Errorf("%s: status %d, want 503", path, r.status)
			}
		}
		close(resume)
		var bad *FilesError
		if strings.Contains(text, "rats") {
			if err := receive(t, "the end of the process", done); !errors.As(err, &bad) || !strings.Contains(err.Error(), `a.yaml:3: unknown field "rats"`) {
				t.Error(err)
			}
		} else {
			(&testProcess{server: s}).waitForVersion(t, resource.Version{})
			cancel()
			if err := receive(t, "the end of the process", done); err != nil {
				t.Error(err)
			}
		}
		cancel()
	}
}

// A follower responds 503 until it has a version, then serves the writer's versions and passes its changes on to held
// calls.
func TestFollowerServesTheWritersVersions(t *testing.T) {
	t.Parallel()
	addr, err := standin.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	f := startProcess(t, "", ServeOptions{Upstreams: []string{addr}})
	if r := call(t, "GET", f.addr, "/-/ready"); r.status != 503 {
		t.Errorf("GET /-/ready without a version: %d", r.status)
	}
	if r := call(t, "GET", f.addr, snapshotQuery); r.status != 503 || r.header.Get("Retry-After") == "" {
		t.Errorf("status %d, header %v", r.status, r.header)
	}
	if r := call(t, "POST", f.addr, "/v1/reload"); r.status != 409 {
		t.Errorf("status %d, body %s", r.status, r.body)
	}
	p := startProcess(t, addr, ServeOptions{Files: writeFolder(t, map[string]string{"a.yaml": contractText("a")})})
	v := f.waitForVersion(t, resource.Version{})
	if r := call(t, "GET", f.addr, "/-/ready"); r.status != 200 {
		t.Errorf("unexpected status %d", r.status)
	}
	first := call(t, "GET", f.addr, snapshotQuery).delta(t)
	if first.To != v || resourceNames(first.Put) != "contract a" {
		t.Errorf("unexpected delta: %+v", first)
	}
	held := callAsync(t, f.addr, sinceQuery(first, waitParameter))
	f.waitForHeldCall(t)
	p.editAndReload(t, "a.yaml", contractText("a", "b"))
	if d := receive(t, "the held call's response", held).delta(t); d.From != v || resourceNames(d.Put) != "contract b" {
		t.Errorf("unexpected delta: %+v", d)
	}
	// The status of its own following is updated after the version, at the latest with its next call.
	var st statusReport
	for st.Follows == nil || st.Follows.Version.Compare(v) <= 0 {
		p.waitForHeldCall(t)
		st = statusReport{}
		if err := json.Unmarshal([]byte(call(t, "GET", f.addr, "/v1/status").body), &st); err != nil || st.Role != "follower" || st.Follows == nil {
			t.Fatalf("error %v, unexpected status: %+v", err, st)
		}
	}
	if st.Follows.Source != addr || st.Version != st.Follows.Version {
		t.Errorf("unexpected status: %+v", st)
	}
	if m := call(t, "GET", f.addr, "/metrics").body; !strings.Contains(m, `portstall_control_follow_failures_total{kind="unreachable"}`) {
		t.Error(m)
	}
}

// A writer that was killed after a change of its files and before it announced a version begins an epoch past all that
// its peers have, with the files' content. Callers at the earlier version receive the difference as a delta.
func TestRestartedWriterBeginsPastItsPeers(t *testing.T) {
	t.Parallel()
	dir := writeFolder(t, map[string]string{"a.yaml": contractText("a")})
	p := startProcess(t, "", ServeOptions{Files: dir})
	f := startProcess(t, "", ServeOptions{Upstreams: []string{p.addr}})
	v := f.waitForVersion(t, resource.Version{})
	first := call(t, "GET", f.addr, snapshotQuery).delta(t)
	if err := p.stop(); err != nil {
		t.Error(err)
	}
	writeFile(t, filepath.Join(dir, "a.yaml"), contractText("a", "unannounced"))
	held := callAsync(t, f.addr, sinceQuery(first, waitParameter))
	f.waitForHeldCall(t)
	p2 := startProcess(t, p.addr, ServeOptions{Files: dir, Peers: []string{f.addr, p.addr}})
	d := receive(t, "the held call's response", held).delta(t)
	if d.To.Epoch <= v.Epoch || resourceNames(d.Put) != "contract unannounced" || d.From != v {
		t.Errorf("unexpected delta: %+v", d)
	}
	if r := call(t, "GET", p2.addr, sinceQuery(first, "")).delta(t); r.From != v || r.To != d.To {
		t.Errorf("the writer responded %+v", r)
	}
}

// frozenClock is a clock whose time does not advance, so that the clock alone makes no later epoch.
type frozenClock struct {
	follow.Clock
	now time.Duration
}

func (c frozenClock) Now() time.Duration { return c.now }

// A writer sends a change to a single node and is killed. It restarts within the same millisecond, with a peer that
// does not know of the change, and with other content in the files. Its versions must be later than the node's all the
// same, also where the peer does not reply, and the node must get the files' content.
func TestWriterKilledAfterOnlyOneNodeReceivedAChange(t *testing.T) {
	t.Parallel()
	for _, peerReplies := range []bool{true, false} {
		t.Run(fmt.Sprint("peer replies: ", peerReplies), func(t *testing.T) {
			t.Parallel()
			clock := frozenClock{follow.SystemClock(), time.Duration(time.Now().UnixNano())}
			dir := writeFolder(t, map[string]string{"a.yaml": contractText("a")})
			o := ServeOptions{Files: dir, Clock: clock}
			p := startProcess(t, "", o)
			p.waitForVersion(t, resource.Version{})
			before := call(t, "GET", p.addr, snapshotQuery)
			peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if !peerReplies {
					w.WriteHeader(http.StatusServiceUnavailable)
				}
				io.WriteString(w, before.body)
			}))
			defer peer.Close()
			if r := p.editAndReload(t, "a.yaml", contractText("a", "sent")); r.status != 200 {
				t.Fatal(r.body)
			}
			node := call(t, "GET", p.addr, sinceQuery(before.delta(t), "")).delta(t)
			if resourceNames(node.Put) != "contract sent" {
				t.Fatalf("unexpected delta: %+v", node)
			}
			if err := p.stop(); err != nil {
				t.Error(err)
			}
			writeFile(t, filepath.Join(dir, "a.yaml"), contractText("a", "other"))
			o.Peers = []string{peer.Listener.Addr().String()}
			p = startProcess(t, p.addr, o, func(s *server) { s.epochInterval = 0 })
			v := p.waitForVersion(t, resource.Version{})
			r := call(t, "GET", p.addr, sinceQuery(node, ""))
			if !peerReplies {
				// The writer is in the epoch of before, and learns from the call that the node has a later version.
				if r.status != 409 {
					t.Fatalf("status %d, body %s", r.status, r.body)
				}
				p.waitForVersion(t, v)
				r = call(t, "GET", p.addr, sinceQuery(node, ""))
			}
			d := r.delta(t)
			if d.To.Compare(node.To) <= 0 || d.To.Epoch == node.To.Epoch || resourceNames(d.Put) != "contract a, contract other" || !d.IsSnapshot() {
				t.Errorf("unexpected delta %+v after the node's version %v", d, node.To)
			}
		})
	}
}

// A writer that knows no later version begins its epoch by the clock, and another one when a caller has a later version.
func TestWriterBeginsEpochPastCallersVersion(t *testing.T) {
	t.Parallel()
	p := startProcess(t, "", ServeOptions{Files: writeFolder(t, map[string]string{"a.yaml": contractText("a")})}, func(s *server) { s.epochInterval = 0 })
	v := p.waitForVersion(t, resource.Version{})
	ahead := resource.Version{Epoch: v.Epoch + 3_600_000, Number: 7}
	if r := call(t, "GET", p.addr, snapshotQuery+fmt.Sprintf("&since=%v&sum=0000000000000000", ahead)); r.status != 409 {
		t.Errorf("status %d, body %s", r.status, r.body)
	}
	if v2 := p.waitForVersion(t, v); v2.Epoch != ahead.Epoch+1 {
		t.Errorf("epoch of version %v does not follow that of %v", v2, ahead)
	}
}

// Control is killed in the middle of a response: the follower applies nothing of it, and gets a snapshot once control
// is back.
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
	applied := make(chan *resource.Delta, 1)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	var status follow.Status
	go func() {
		done <- follow.Run(ctx, follow.Options{Name: "n0", Role: "node", Sources: []string{addr}, Set: set, Status: &status, Apply: func(d *resource.Delta) error {
			applied <- d
			return set.Apply(d)
		}})
	}()
	receive(t, "the first call", cut)
	startProcess(t, addr, ServeOptions{Files: writeFolder(t, map[string]string{"a.yaml": contractText("a")})})
	d := receive(t, "the change", applied)
	cancel()
	if err := receive(t, "the end of the follow loop", done); err != nil || resourceNames(d.Put) != "contract a" || status.Read().Failures[follow.Broken] != 1 {
		t.Errorf("error %v, delta %+v, follow status %+v", err, d, status.Read())
	}
}

// smallBufferListener accepts connections with a small send buffer, so that writes block soon on a caller that does not
// read.
type smallBufferListener struct{ net.Listener }

func (l smallBufferListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		err = c.(*net.TCPConn).SetWriteBuffer(4096)
	}
	return c, err
}

// A caller that does not read its response is disconnected at the write timeout, and others are served meanwhile.
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
			return 100 * time.Millisecond // short is safe: bytes that are not read are not sent, however long that takes
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
		t.Errorf("unexpected status %d", r.status)
	}
	for range 2 { // the responses of both calls
		select {
		case err := <-sent:
			if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Error(err)
			}
			if err != nil {
				return
			}
		case <-time.After(testTimeout):
			t.Fatal("the caller was not disconnected in time")
		}
	}
	t.Error("the whole response was written to a caller that does not read")
}

// Past the limit on connections the longest idle ones are closed, so that new calls are still served.
func TestConnectionLimitClosesOldestIdle(t *testing.T) {
	t.Parallel()
	p := startProcess(t, "", ServeOptions{Files: writeFolder(t, map[string]string{"a.yaml": contractText("a")}), Limits: Limits{MaxWatches: 1}})
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
		t.Errorf("unexpected status %d", r.status)
	}
	open[0].SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := open[0].Read(make([]byte, 1)); err == nil || os.IsTimeout(err) {
		t.Errorf("the oldest idle connection is still open: %v", err)
	}
	if _, closed := p.connections.stats(); closed < 50 {
		t.Errorf("%d connections were closed, want at least 50", closed)
	}
	p.editAndReload(t, "a.yaml", contractText("a", "b"))
	if d := receive(t, "the held call's response", held).delta(t); resourceNames(d.Put) != "contract b" {
		t.Errorf("unexpected delta: %+v", d)
	}
}
