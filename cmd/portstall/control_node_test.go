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

// startProcess starts the process and does not wait until it is ready.
func (p *process) startProcess(t *testing.T, env ...string) {
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

// operatorGet reads a path of the management address. Status 0 means that there was no response.
func (p *process) operatorGet(t *testing.T, path string) (status int, text string) {
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

// waitUntil returns once ok returns true.
func (p *process) waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timeout waiting for %s\n%s", what, p.log.String())
		}
	}
}

// isReady reports whether the management address says that the node is ready.
func (p *process) isReady(t *testing.T) bool {
	status, _ := p.operatorGet(t, "/-/ready")
	return status == 200
}

// newProductFile writes a product file in YAML that names a control process, with more text appended.
func newProductFile(t *testing.T, control, more string) string {
	t.Helper()
	path := writeConfig(t, fmt.Sprintf("control: {addresses: [%q]}\n%s", control, more))
	yaml := path + ".yaml"
	if err := os.Rename(path, yaml); err != nil {
		t.Fatal(err)
	}
	return yaml
}

// newControl starts a stub control process with these resources.
func newControl(t *testing.T, first ...resource.Resource) *standin.Control {
	t.Helper()
	c, err := standin.NewControl(first...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	return c
}

// changeResources publishes changed resources and returns their version.
func changeResources(t *testing.T, c *standin.Control, put ...resource.Resource) resource.Version {
	t.Helper()
	v, err := c.ApplyChange(put)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// newResource returns a resource with this specification in JSON.
func newResource(kind resource.Kind, name, spec string) resource.Resource {
	return resource.Resource{Key: resource.Key{Kind: kind, Name: name}, Spec: json.RawMessage(spec)}
}

// A node that has no configuration from control yet serves no clients, even on an inherited socket, and its predecessor
// serves until it has one. Changes come into force without a signal, and a rejected one is logged with its resource and
// field. A node without control has no page and no goroutine for it.
func TestNodeFollowsControlWithoutSignals(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, "made for "+r.Header.Get("X-Request-Id"))
	}))
	t.Cleanup(server.Close)
	known := fmt.Sprintf(`{"version":2,"full":true,"servers":[{"id":"s-1","addr":%q,"zone":"n","kind":"k","state":"Ready"}]}`, server.Listener.Addr())
	newProcess := newProcesses(t, known)
	next := func(env ...string) *process {
		p, processEnv := newProcess()
		p.startProcess(t, append(env, processEnv...)...)
		return p
	}
	all := newResource(resource.Contract, "all", `{"name":"all"}`)

	predecessor := next()
	predecessor.waitUntil(t, "ready", func() bool { return predecessor.isReady(t) })
	predecessor.request(t, "without")
	if status, _ := predecessor.operatorGet(t, "/-/configuration"); status != 404 {
		t.Errorf("/-/configuration without control: status %d, want 404", status)
	}

	control := newControl(t)
	successor := next("PORTSTALL_FILE=" + newProductFile(t, control.Addr, ""))
	successor.waitUntil(t, "the reason why it is not ready", func() bool {
		status, text := successor.operatorGet(t, "/-/ready")
		return status == 503 && strings.HasPrefix(text, "no configuration yet: ") && control.CallCount() > 2
	})
	select {
	case <-predecessor.exited:
		t.Fatal("the predecessor exited before its successor had a configuration")
	default:
	}
	predecessor.request(t, "meanwhile")
	changeResources(t, control, all)
	successor.waitUntil(t, "ready", func() bool { return successor.isReady(t) })
	select {
	case err := <-predecessor.exited:
		if err != nil {
			t.Errorf("the predecessor: %v\n%s", err, predecessor.log.String())
		}
	case <-time.After(testTimeout):
		t.Fatal("the predecessor does not exit")
	}
	successor.request(t, "first")

	v := changeResources(t, control, newResource(resource.Contract, "none", `{"name":"none","match":[{"header":"X-None: 1"}],"rate":0.001,"burst":1}`))
	successor.waitUntil(t, "the change to be acknowledged", func() bool { return control.CallerVersion() == v })
	changeResources(t, control, newResource(resource.Contract, "bad", `{"name":"bad","match":[{"from":"nowhere"}]}`))
	successor.waitUntil(t, "the log line on the rejected change", func() bool {
		for _, line := range strings.Split(successor.log.String(), "\n") {
			if strings.Contains(line, "not taken") && strings.Contains(line, `contract \"bad\"`) && strings.Contains(line, "match[0].from") {
				return true
			}
		}
		return false
	})
	control.Stop()
	successor.request(t, "control has gone")
	successor.terminate(t)

	waiting := next("PORTSTALL_FILE=" + newProductFile(t, control.Addr, ""))
	waiting.waitUntil(t, "the reason why it is not ready", func() bool {
		_, text := waiting.operatorGet(t, "/-/ready")
		return strings.Contains(text, "unreachable")
	})
	waiting.terminate(t)

	// The stacks of all goroutines show that a process follows control only if it is configured to.
	if err := control.Start(); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		env  []string
		want bool
	}{{nil, false}, {[]string{"PORTSTALL_FILE=" + newProductFile(t, control.Addr, "")}, true}} {
		if c.want {
			changeResources(t, control, newResource(resource.Contract, "bad", `{"name":"bad","match":[{"tenant":"bad"}]}`))
		}
		p := next(c.env...)
		p.waitUntil(t, "ready", func() bool { return p.isReady(t) })
		p.cmd.Process.Signal(syscall.SIGQUIT)
		p.waitExited(t)
		stacks := p.log.String()
		if !strings.Contains(stacks, "node.(*node).serve") {
			t.Fatalf("the log has no goroutine stacks:\n%s", stacks)
		}
		if got := strings.Contains(stacks, "control/follow") || strings.Contains(stacks, "(*configFollower)"); got != c.want {
			t.Errorf("a goroutine follows control: %v, want %v", got, c.want)
		}
	}
}

// configurationOfSize returns a configuration with a number of contracts, and with routes and services in the proportion
// of the size that portstall is designed for: 17,000 contracts, 3,800 routes, 250 services.
func configurationOfSize(contracts int) []resource.Resource {
	services, routes := max(1, contracts*250/17000), contracts*3800/17000
	var resources []resource.Resource
	for i := range services {
		resources = append(resources, newResource(resource.Service, fmt.Sprintf("service-%03d", i), fmt.Sprintf(`{"name":"service-%03d","classes":[{"name":"a","effect":"safe"}]}`, i)))
	}
	for i := range routes {
		host := fmt.Sprintf("host-%04d.example.org", i)
		resources = append(resources, newResource(resource.Route, host+":443", fmt.Sprintf(
			`{"host":%q,"port":443,"service":"service-%03d","kind":"opaque","class":"a","idle_ns":60000000000}`, host, i%services)))
	}
	for i := range contracts {
		resources = append(resources, contractOfSize(i, services, 5))
	}
	return resources
}

// contractOfSize returns contract i of such a configuration.
func contractOfSize(i, services, rate int) resource.Resource {
	name := fmt.Sprintf("tenant-%05d", i)
	return newResource(resource.Contract, name, fmt.Sprintf(`{"name":%q,"match":[{"tenant":%q}],"services":["service-%03d"],"rate":%d,"burst":10,"in_flight":20,`+
		`"attempts":{"ratio":0.1,"window_ns":10000000000},"work":{"guaranteed":0.1,"limit":2},"criticality":"high"}`, name, name, i%services, rate))
}

// processUsage is the processor time of a process, and its current and peak resident set in bytes.
type processUsage struct {
	cpu       time.Duration
	rss, peak int
}

// readUsage reads the usage of a process from /proc.
func readUsage(t *testing.T, pid int) (u processUsage) {
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

// Measures the cost of configuration in a node process at two sizes: resident set at the start and after 1,000 changes,
// processor time and bytes per change. It is a measurement and runs only if MEASURE_CONFIGURATION is set.
func TestMeasureConfigurationFromStubControl(t *testing.T) {
	if os.Getenv("MEASURE_CONFIGURATION") == "" {
		t.Skip("a measurement: set MEASURE_CONFIGURATION to run it")
	}
	bin := buildBinary(t)
	const changes = 1000
	for _, contracts := range []int{0, 1700, 17000} {
		control := newControl(t, append(configurationOfSize(max(contracts, 1)), newResource(resource.Contract, "rest", `{"name":"rest"}`))...)
		discovery := newStubDiscovery(t, "127.0.0.1:1")
		p := &process{addr: freeAddr(t), config: writeConfig(t, configJSON("")), cmd: exec.Command(bin, "node")}
		file := newProductFile(t, control.Addr, fmt.Sprintf("tunnels: {connect: %q}\n", freeAddr(t)))
		if contracts == 0 {
			file = writeConfig(t, "parts: even\n")
		}
		began := time.Now()
		p.startProcess(t, "GW_LISTEN="+p.addr, "GW_DISCOVERY="+discovery.Listener.Addr().String(), "PORTSTALL_FILE="+file)
		p.waitUntil(t, "ready", func() bool {
			status, _ := p.operatorGet(t, "/-/contracts")
			return status == 200 || contracts == 0 && status == 400
		})
		ready := time.Since(began)
		time.Sleep(2 * time.Second) // lets work left over from the start finish before the measurement
		pid := p.cmd.Process.Pid
		start := readUsage(t, pid)
		t.Logf("%d contracts: ready after %v, peak %.1f MB, resident %.1f MB, processor %v", contracts, ready.Round(time.Millisecond), megabytes(start.peak), megabytes(start.rss), start.cpu)
		if contracts == 0 {
			p.terminate(t)
			continue
		}
		var before, after struct {
			Calls struct {
				In  int64 `json:"bytes_in"`
				Out int64 `json:"bytes_out"`
			} `json:"calls"`
		}
		_, text := p.operatorGet(t, "/-/configuration")
		if err := json.Unmarshal([]byte(text), &before); err != nil {
			t.Fatal(err)
		}
		services := max(1, contracts*250/17000)
		from := readUsage(t, pid)
		begin := time.Now()
		for i := range changes {
			v := changeResources(t, control, contractOfSize(i*7%contracts, services, 6+i))
			for control.CallerVersion() != v { // a node acknowledges a version in its next call
				time.Sleep(100 * time.Microsecond)
			}
		}
		to := readUsage(t, pid)
		_, text = p.operatorGet(t, "/-/configuration")
		if err := json.Unmarshal([]byte(text), &after); err != nil {
			t.Fatal(err)
		}
		t.Logf("%d contracts: %d changes in %v: processor %v per change, %d bytes in and %d out per change, full snapshot %d bytes; peak %.1f MB, resident %.1f MB",
			contracts, changes, time.Since(begin).Round(time.Millisecond), (to.cpu-from.cpu)/changes, (after.Calls.In-before.Calls.In)/changes,
			(after.Calls.Out-before.Calls.Out)/changes, before.Calls.In, megabytes(to.peak), megabytes(to.rss))
		if snapshots, deltas := control.ResponseCounts(); snapshots != 1 || deltas != changes {
			t.Errorf("control sent %d full snapshots and %d deltas, want one snapshot and one delta per change", snapshots, deltas)
		}
		p.terminate(t)
	}
}

// filesOfSize writes the same configuration as files for a writer, with 1,000 contracts each, and returns their folder.
func filesOfSize(t *testing.T, contracts int) string {
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

// Measures the same with a real control process as the writer, whose responses are compressed: the start, 200 changes as
// operators make them (a file and SIGHUP each), and a minute without changes. It is a measurement and runs only if
// MEASURE_CONFIGURATION is set.
func TestMeasureConfigurationFromControlProcess(t *testing.T) {
	if os.Getenv("MEASURE_CONFIGURATION") == "" {
		t.Skip("a measurement: set MEASURE_CONFIGURATION to run it")
	}
	bin := buildBinary(t)
	const changes = 200
	for _, contracts := range []int{1700, 17000} {
		dir, addr := filesOfSize(t, contracts), freeAddr(t)
		writeChange := func(i int) {
			text := fmt.Sprintf("contracts:\n- {name: rest, rate: %d, burst: 10}\n...\n", 5+i)
			if err := os.WriteFile(filepath.Join(dir, ".hot"), []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			if err := os.Rename(filepath.Join(dir, ".hot"), filepath.Join(dir, "hot.yaml")); err != nil {
				t.Fatal(err)
			}
		}
		writeChange(0)
		control := &process{cmd: exec.Command(bin, "control", "--listen", addr, "--files", dir), exited: make(chan error, 1)}
		control.cmd.Stderr = &control.log
		if err := control.cmd.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { control.cmd.Process.Kill() })
		go func() { control.exited <- control.cmd.Wait() }()
		controlStatus := func() (version string, callers int) {
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
		p := &process{addr: freeAddr(t), config: writeConfig(t, configJSON("")), cmd: exec.Command(bin, "node")}
		p.waitUntil(t, "the version of control", func() bool { v, _ := controlStatus(); return v != "" && v != "0.0" })
		discovery := newStubDiscovery(t, "127.0.0.1:1")
		began := time.Now()
		p.startProcess(t, "GW_LISTEN="+p.addr, "GW_DISCOVERY="+discovery.Listener.Addr().String(), "PORTSTALL_FILE="+newProductFile(t, addr, fmt.Sprintf("tunnels: {connect: %q}\n", freeAddr(t))))
		p.waitUntil(t, "ready", func() bool { status, _ := p.operatorGet(t, "/-/contracts"); return status == 200 })
		ready := time.Since(began)
		time.Sleep(2 * time.Second)
		pid := p.cmd.Process.Pid
		start := readUsage(t, pid)
		callTotals := func() (calls, in, out int64) {
			var v struct {
				Calls struct {
					Calls int64 `json:"calls"`
					In    int64 `json:"bytes_in"`
					Out   int64 `json:"bytes_out"`
				} `json:"calls"`
			}
			_, text := p.operatorGet(t, "/-/configuration")
			if err := json.Unmarshal([]byte(text), &v); err != nil {
				t.Fatal(err)
			}
			return v.Calls.Calls, v.Calls.In, v.Calls.Out
		}
		_, snapshotBytes, _ := callTotals()
		t.Logf("%d contracts: ready after %v, peak %.1f MB, resident %.1f MB, processor %v, full snapshot %d bytes", contracts, ready.Round(time.Millisecond),
			megabytes(start.peak), megabytes(start.rss), start.cpu, snapshotBytes)
		from, before := readUsage(t, pid), time.Now()
		_, in0, out0 := callTotals()
		for i := range changes {
			previous, _ := controlStatus()
			writeChange(i + 1)
			control.cmd.Process.Signal(syscall.SIGHUP)
			control.waitUntil(t, "the change at the node", func() bool { v, callers := controlStatus(); return v != previous && callers == 1 })
		}
		to := readUsage(t, pid)
		_, in1, out1 := callTotals()
		t.Logf("%d contracts: %d changes in %v: processor %v per change, %d bytes in and %d out per change; peak %.1f MB, resident %.1f MB", contracts, changes,
			time.Since(before).Round(time.Millisecond), (to.cpu-from.cpu)/changes, (in1-in0)/changes, (out1-out0)/changes, megabytes(to.peak), megabytes(to.rss))
		calls0, in0, out0 := callTotals()
		from, before = readUsage(t, pid), time.Now()
		time.Sleep(time.Minute) // the measured time without changes
		to = readUsage(t, pid)
		calls1, in1, out1 := callTotals()
		took := time.Since(before).Seconds()
		t.Logf("%d contracts: without changes for %.0f s: processor %.3f%% of a core, %d calls, %.0f bytes/s in and %.0f out", contracts, took,
			100*(to.cpu-from.cpu).Seconds()/took, calls1-calls0, float64(in1-in0)/took, float64(out1-out0)/took)
		p.terminate(t)
		control.terminate(t)
	}
}

// megabytes converts bytes to MiB.
func megabytes(bytes int) float64 { return float64(bytes) / (1 << 20) }
