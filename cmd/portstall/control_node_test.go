package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"portstall/internal/lab/standin"
	"portstall/internal/resource"
)

// launch starts the program and does not wait until it is ready.
func (p *program) launch(t *testing.T, env ...string) {
	t.Helper()
	p.mgmt, p.exited = freeAddr(t), make(chan error, 1)
	p.cmd.Stderr = &p.log
	p.cmd.Env = append(os.Environ(), "GW_NAME=n0", "GW_CONFIG="+p.config, "GW_MGMT="+p.mgmt)
	p.cmd.Env = append(p.cmd.Env, env...)
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.cmd.Process.Kill() })
	go func() { p.exited <- p.cmd.Wait() }()
}

// get is what operators read; status 0: there is no answer.
func (p *program) get(t *testing.T, path string) (status int, text string) {
	t.Helper()
	resp, err := http.Get("http://" + p.mgmt + path)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(body)
}

// until returns once ok does.
func (p *program) until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: did not come\n%s", what, p.log.String())
		}
	}
}

func (p *program) isReady(t *testing.T) bool {
	status, _ := p.get(t, "/-/ready")
	return status == 200
}

// productFile writes a product's file that names control.
func productFile(t *testing.T, control, more string) string {
	t.Helper()
	path := write(t, fmt.Sprintf("control: {addresses: [%q]}\n%s", control, more))
	yaml := path + ".yaml"
	if err := os.Rename(path, yaml); err != nil {
		t.Fatal(err)
	}
	return yaml
}

func newControl(t *testing.T, first ...resource.Resource) *standin.Control {
	t.Helper()
	c, err := standin.NewControl(first...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	return c
}

func changed(t *testing.T, c *standin.Control, put ...resource.Resource) resource.Version {
	t.Helper()
	v, err := c.Change(put)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func resourceOf(kind resource.Kind, name, spec string) resource.Resource {
	return resource.Resource{Key: resource.Key{Kind: kind, Name: name}, Spec: json.RawMessage(spec)}
}

// A process without a configuration takes no client, also on a socket that is handed to it; its predecessor serves on until it has one.
// A change is in force without a signal, and one that is refused is logged with resource and field. Without control there is no trace of
// all that.
func TestNodeFollowsControl(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, "made for "+r.Header.Get("X-Request-Id"))
	}))
	t.Cleanup(backend.Close)
	known := fmt.Sprintf(`{"version":2,"full":true,"servers":[{"id":"s-1","addr":%q,"zone":"n","kind":"k","state":"Ready"}]}`, backend.Listener.Addr())
	more := processes(t, known)
	next := func(env ...string) *program {
		p, its := more()
		p.launch(t, append(env, its...)...)
		return p
	}
	all := resourceOf(resource.Contract, "all", `{"name":"all"}`)

	old := next()
	old.until(t, "ready", func() bool { return old.isReady(t) })
	old.ask(t, "without")
	if status, _ := old.get(t, "/-/configuration"); status != 404 {
		t.Errorf("without control there is a page for it: %d", status)
	}

	control := newControl(t)
	young := next("PORTSTALL_FILE=" + productFile(t, control.Addr, ""))
	young.until(t, "its reason", func() bool {
		status, text := young.get(t, "/-/ready")
		return status == 503 && strings.HasPrefix(text, "no configuration yet: ") && control.Calls() > 2
	})
	select {
	case <-old.exited:
		t.Fatal("the predecessor has ended before its successor had a configuration")
	default:
	}
	old.ask(t, "meanwhile")
	changed(t, control, all)
	young.until(t, "ready", func() bool { return young.isReady(t) })
	select {
	case err := <-old.exited:
		if err != nil {
			t.Errorf("the old process: %v\n%s", err, old.log.String())
		}
	case <-time.After(patience):
		t.Fatal("the old process does not end")
	}
	young.ask(t, "first")

	v := changed(t, control, resourceOf(resource.Contract, "none", `{"name":"none","match":[{"header":"X-None: 1"}],"rate":0.001,"burst":1}`))
	young.until(t, "the change", func() bool { return control.Acked() == v })
	changed(t, control, resourceOf(resource.Contract, "bad", `{"name":"bad","match":[{"from":"nowhere"}]}`))
	young.until(t, "the refusal's line", func() bool {
		for _, line := range strings.Split(young.log.String(), "\n") {
			if strings.Contains(line, "not taken") && strings.Contains(line, `contract \"bad\"`) && strings.Contains(line, "match[0].from") {
				return true
			}
		}
		return false
	})
	control.Stop()
	young.ask(t, "control has gone")
	young.leave(t)

	waits := next("PORTSTALL_FILE=" + productFile(t, control.Addr, ""))
	waits.until(t, "its reason", func() bool {
		_, text := waits.get(t, "/-/ready")
		return strings.Contains(text, "unreachable")
	})
	waits.leave(t)

	// All goroutines of a process without control, and of one with it: nothing follows in the first.
	if err := control.Start(); err != nil {
		t.Fatal(err)
	}
	for _, k := range []struct {
		env  []string
		want bool
	}{{nil, false}, {[]string{"PORTSTALL_FILE=" + productFile(t, control.Addr, "")}, true}} {
		if k.want {
			changed(t, control, resourceOf(resource.Contract, "bad", `{"name":"bad","match":[{"tenant":"bad"}]}`))
		}
		p := next(k.env...)
		p.until(t, "ready", func() bool { return p.isReady(t) })
		p.cmd.Process.Signal(syscall.SIGQUIT)
		p.ended(t)
		stacks := p.log.String()
		if !strings.Contains(stacks, "node.(*node).serve") {
			t.Fatalf("no stacks:\n%s", stacks)
		}
		if got := strings.Contains(stacks, "control/follow") || strings.Contains(stacks, "(*followed)"); got != k.want {
			t.Errorf("something follows: %v, want %v", got, k.want)
		}
	}
}

// sized is a configuration of so many contracts, with routes and services in the proportion of the size that the design is for.
func sized(contracts int) []resource.Resource {
	services, routes := max(1, contracts*250/17000), contracts*3800/17000
	var all []resource.Resource
	for i := range services {
		all = append(all, resourceOf(resource.Service, fmt.Sprintf("service-%03d", i), fmt.Sprintf(`{"name":"service-%03d","classes":[{"name":"a","effect":"safe"}]}`, i)))
	}
	for i := range routes {
		host := fmt.Sprintf("host-%04d.example.org", i)
		all = append(all, resourceOf(resource.Route, host+":443", fmt.Sprintf(
			`{"host":%q,"port":443,"service":"service-%03d","kind":"opaque","class":"a","idle_ns":60000000000}`, host, i%services)))
	}
	for i := range contracts {
		all = append(all, sizedContract(i, services, 5))
	}
	return all
}

func sizedContract(i, services, rate int) resource.Resource {
	name := fmt.Sprintf("tenant-%05d", i)
	return resourceOf(resource.Contract, name, fmt.Sprintf(`{"name":%q,"match":[{"tenant":%q}],"services":["service-%03d"],"rate":%d,"burst":10,"in_flight":20,`+
		`"attempts":{"ratio":0.1,"window_ns":10000000000},"work":{"guaranteed":0.1,"limit":2},"criticality":"high"}`, name, name, i%services, rate))
}

// usage is what a process has used: processor time, and its resident set now and at its peak, in bytes.
type usage struct {
	cpu       time.Duration
	rss, peak int
}

func used(t *testing.T, pid int) (u usage) {
	t.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	for _, f := range fields[11:13] { // utime and stime, in hundredths of a second
		n, err := strconv.Atoi(f)
		if err != nil {
			t.Fatal(err)
		}
		u.cpu += time.Duration(n) * 10 * time.Millisecond
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(string(status), "\n") {
		for name, to := range map[string]*int{"VmHWM:": &u.peak, "VmRSS:": &u.rss} {
			if text, ok := strings.CutPrefix(line, name); ok {
				fmt.Sscan(text, to)
				*to <<= 10
			}
		}
	}
	return u
}

// What configuration costs a real process at two sizes: its resident set at the start and after 1,000 changes, processor time and bytes
// a change. It is a measurement, and runs where MEASURE_CONFIGURATION is set.
func TestConfigurationAtSize(t *testing.T) {
	if os.Getenv("MEASURE_CONFIGURATION") == "" {
		t.Skip("a measurement: set MEASURE_CONFIGURATION to run it")
	}
	bin := built(t)
	const changes = 1000
	for _, contracts := range []int{0, 1700, 17000} {
		control := newControl(t, append(sized(max(contracts, 1)), resourceOf(resource.Contract, "rest", `{"name":"rest"}`))...)
		discovery := newDiscovery(t, "127.0.0.1:1")
		p := &program{addr: freeAddr(t), config: write(t, config("")), cmd: exec.Command(bin, "node")}
		file := productFile(t, control.Addr, fmt.Sprintf("tunnels: {connect: %q}\n", freeAddr(t)))
		if contracts == 0 {
			file = write(t, "parts: even\n")
		}
		began := time.Now()
		p.launch(t, "GW_LISTEN="+p.addr, "GW_DISCOVERY="+discovery.Listener.Addr().String(), "PORTSTALL_FILE="+file)
		p.until(t, "ready", func() bool {
			status, _ := p.get(t, "/-/contracts")
			return status == 200 || contracts == 0 && status == 400
		})
		ready := time.Since(began)
		time.Sleep(2 * time.Second) // a measurement's pause: what the start left is done
		pid := p.cmd.Process.Pid
		start := used(t, pid)
		t.Logf("%d contracts: ready after %v, peak %.1f MB, resident %.1f MB, processor %v", contracts, ready.Round(time.Millisecond), mb(start.peak), mb(start.rss), start.cpu)
		if contracts == 0 {
			p.leave(t)
			continue
		}
		var before, after struct {
			Calls struct {
				In  int64 `json:"bytes_in"`
				Out int64 `json:"bytes_out"`
			} `json:"calls"`
		}
		_, text := p.get(t, "/-/configuration")
		if err := json.Unmarshal([]byte(text), &before); err != nil {
			t.Fatal(err)
		}
		services := max(1, contracts*250/17000)
		from := used(t, pid)
		begin := time.Now()
		for i := range changes {
			v := changed(t, control, sizedContract(i*7%contracts, services, 6+i))
			for control.Acked() != v { // a node says so in its next call
				time.Sleep(100 * time.Microsecond)
			}
		}
		to := used(t, pid)
		_, text = p.get(t, "/-/configuration")
		if err := json.Unmarshal([]byte(text), &after); err != nil {
			t.Fatal(err)
		}
		t.Logf("%d contracts: %d changes in %v: processor %v a change, %d bytes in and %d out a change, the whole %d bytes; peak %.1f MB, resident %.1f MB",
			contracts, changes, time.Since(begin).Round(time.Millisecond), (to.cpu-from.cpu)/changes, (after.Calls.In-before.Calls.In)/changes,
			(after.Calls.Out-before.Calls.Out)/changes, before.Calls.In, mb(to.peak), mb(to.rss))
		if wholes, deltas := control.Counts(); wholes != 1 || deltas != changes {
			t.Errorf("the whole was told %d times, and %d deltas", wholes, deltas)
		}
		p.leave(t)
	}
}

// sizedFiles writes the same configuration as files for a writer, of 1,000 contracts each, and returns their folder.
func sizedFiles(t *testing.T, contracts int) string {
	t.Helper()
	dir := t.TempDir()
	put := func(name, text string) {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text+"...\n"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	services, routes := max(1, contracts*250/17000), contracts*3800/17000
	var b strings.Builder
	b.WriteString("services:\n")
	for i := range services {
		fmt.Fprintf(&b, "- {name: service-%03d, classes: [{name: a, effect: safe}]}\n", i)
	}
	b.WriteString("tunnels:\n  routes:\n")
	for i := range routes {
		fmt.Fprintf(&b, "  - {host: host-%04d.example.org, port: 443, service: service-%03d, kind: opaque, class: a, idle: 1m}\n", i, i%services)
	}
	put("services.yaml", b.String())
	for from := 0; from < contracts; from += 1000 {
		b.Reset()
		b.WriteString("contracts:\n")
		for i := from; i < min(from+1000, contracts); i++ {
			fmt.Fprintf(&b, "- {name: tenant-%05d, match: [{tenant: tenant-%05d}], services: [service-%03d], rate: 5, burst: 10, in_flight: 20, "+
				"attempts: {ratio: 0.1, window: 10s}, work: {guaranteed: 0.1, limit: 2}, criticality: high}\n", i, i, i%services)
		}
		put(fmt.Sprintf("contracts-%05d.yaml", from), b.String())
	}
	return dir
}

// The same with a real control process that writes, whose answers are compressed: the start, 200 changes as operators make them (a file
// and SIGHUP each), and a minute without any. It is a measurement, and runs where MEASURE_CONFIGURATION is set.
func TestConfigurationAtSizeByControl(t *testing.T) {
	if os.Getenv("MEASURE_CONFIGURATION") == "" {
		t.Skip("a measurement: set MEASURE_CONFIGURATION to run it")
	}
	bin := built(t)
	const changes = 200
	for _, contracts := range []int{1700, 17000} {
		dir, addr := sizedFiles(t, contracts), freeAddr(t)
		hot := func(i int) {
			text := fmt.Sprintf("contracts:\n- {name: rest, rate: %d, burst: 10}\n...\n", 5+i)
			if err := os.WriteFile(filepath.Join(dir, ".hot"), []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			if err := os.Rename(filepath.Join(dir, ".hot"), filepath.Join(dir, "hot.yaml")); err != nil {
				t.Fatal(err)
			}
		}
		hot(0)
		control := &program{cmd: exec.Command(bin, "control", "--listen", addr, "--files", dir), exited: make(chan error, 1)}
		control.cmd.Stderr = &control.log
		if err := control.cmd.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { control.cmd.Process.Kill() })
		go func() { control.exited <- control.cmd.Wait() }()
		at := func() (version string, callers int) {
			var v struct {
				Version string `json:"version"`
				By      []struct {
					Version string `json:"version"`
					Callers int    `json:"callers"`
				} `json:"callers_by_version"`
			}
			resp, err := http.Get("http://" + addr + "/v1/status")
			if err != nil {
				return "", 0
			}
			defer resp.Body.Close()
			if err := json.NewDecoder(resp.Body).Decode(&v); err != nil {
				return "", 0
			}
			for _, b := range v.By {
				if b.Version == v.Version {
					callers = b.Callers
				}
			}
			return v.Version, callers
		}
		p := &program{addr: freeAddr(t), config: write(t, config("")), cmd: exec.Command(bin, "node")}
		p.until(t, "control's version", func() bool { v, _ := at(); return v != "" && v != "0.0" })
		discovery := newDiscovery(t, "127.0.0.1:1")
		began := time.Now()
		p.launch(t, "GW_LISTEN="+p.addr, "GW_DISCOVERY="+discovery.Listener.Addr().String(), "PORTSTALL_FILE="+productFile(t, addr, fmt.Sprintf("tunnels: {connect: %q}\n", freeAddr(t))))
		p.until(t, "ready", func() bool { status, _ := p.get(t, "/-/contracts"); return status == 200 })
		ready := time.Since(began)
		time.Sleep(2 * time.Second)
		pid := p.cmd.Process.Pid
		start := used(t, pid)
		page := func() (calls, in, out int64) {
			var v struct {
				Calls struct {
					Calls int64 `json:"calls"`
					In    int64 `json:"bytes_in"`
					Out   int64 `json:"bytes_out"`
				} `json:"calls"`
			}
			_, text := p.get(t, "/-/configuration")
			if err := json.Unmarshal([]byte(text), &v); err != nil {
				t.Fatal(err)
			}
			return v.Calls.Calls, v.Calls.In, v.Calls.Out
		}
		_, whole, _ := page()
		t.Logf("%d contracts: ready after %v, peak %.1f MB, resident %.1f MB, processor %v, the whole %d bytes", contracts, ready.Round(time.Millisecond),
			mb(start.peak), mb(start.rss), start.cpu, whole)
		from, before := used(t, pid), time.Now()
		_, in0, out0 := page()
		for i := range changes {
			was, _ := at()
			hot(i + 1)
			control.cmd.Process.Signal(syscall.SIGHUP)
			control.until(t, "the change at the node", func() bool { v, callers := at(); return v != was && callers == 1 })
		}
		to := used(t, pid)
		_, in1, out1 := page()
		t.Logf("%d contracts: %d changes in %v: processor %v a change, %d bytes in and %d out a change; peak %.1f MB, resident %.1f MB", contracts, changes,
			time.Since(before).Round(time.Millisecond), (to.cpu-from.cpu)/changes, (in1-in0)/changes, (out1-out0)/changes, mb(to.peak), mb(to.rss))
		calls0, in0, out0 := page()
		from, before = used(t, pid), time.Now()
		time.Sleep(time.Minute) // a measurement's minute
		to = used(t, pid)
		calls1, in1, out1 := page()
		took := time.Since(before).Seconds()
		t.Logf("%d contracts: at rest for %.0f s: processor %.3f%% of a core, %d calls, %.0f bytes/s in and %.0f out", contracts, took,
			100*(to.cpu-from.cpu).Seconds()/took, calls1-calls0, float64(in1-in0)/took, float64(out1-out0)/took)
		p.leave(t)
		control.leave(t)
	}
}

func mb(bytes int) float64 { return float64(bytes) / (1 << 20) }
