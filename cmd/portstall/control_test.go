package main

import (
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// newFolder creates a folder of files with the given texts.
func newFolder(t *testing.T, files map[string]string) string {
	t.Helper()
	dir := t.TempDir()
	for name, text := range files {
		replaceFile(t, dir, name, text)
	}
	return dir
}

// replaceFile creates or replaces a file atomically.
func replaceFile(t *testing.T, dir, name, text string) {
	t.Helper()
	tmp := filepath.Join(dir, name+".new")
	if err := os.WriteFile(tmp, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(tmp, filepath.Join(dir, name)); err != nil {
		t.Fatal(err)
	}
}

// controlProcess is a running `portstall control`.
type controlProcess struct {
	process
	listenAddr string
}

// startControl starts a control process and does not wait until it serves.
func startControl(t *testing.T, bin, addr string, args ...string) *controlProcess {
	t.Helper()
	p := &controlProcess{listenAddr: addr}
	p.exited = make(chan error, 1)
	p.cmd = exec.Command(bin, append([]string{"control", "--listen", addr}, args...)...)
	p.cmd.Stderr = &p.log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.cmd.Process.Kill() })
	go func() { p.exited <- p.cmd.Wait() }()
	return p
}

// waitExited returns once the process has exited, after a signal that was sent before.
func (p *process) waitExited(t *testing.T) {
	t.Helper()
	select {
	case <-p.exited:
	case <-time.After(testTimeout):
		t.Fatalf("the process does not exit\n%s", p.log.String())
	}
}

// controlStatus is the part of GET /v1/status that the tests read.
type controlStatus struct {
	Version   string `json:"version"`
	Resources int    `json:"resources"`
	Files     struct {
		Error string `json:"error"`
	} `json:"files"`
}

// waitForStatus polls the status until ok holds for it, and returns it.
func (p *controlProcess) waitForStatus(t *testing.T, what string, ok func(controlStatus) bool) controlStatus {
	t.Helper()
	var s controlStatus
	for end := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		if resp, err := http.Get("http://" + p.listenAddr + "/v1/status"); err == nil {
			s = controlStatus{}
			err = json.NewDecoder(resp.Body).Decode(&s)
			resp.Body.Close()
			if err == nil && ok(s) {
				return s
			}
		}
		select {
		case err := <-p.exited:
			t.Fatalf("the process has exited: %v\n%s", err, p.log.String())
		default:
		}
		if time.Now().After(end) {
			t.Fatalf("timeout waiting for %s: %+v\n%s", what, s, p.log.String())
		}
	}
}

// A writer and two followers: a change by SIGHUP reaches all, an invalid one is reported in the status and changes
// nothing, a writer that was killed and started again continues from its peers' version, and SIGTERM ends each process
// well.
func TestControlReloadsAndWriterRestarts(t *testing.T) {
	bin := buildBinary(t)
	dir := newFolder(t, map[string]string{"a.yaml": "contracts:\n- {name: a, match: [{tenant: a}]}\n"})
	addrs := []string{freeAddr(t), freeAddr(t), freeAddr(t)}
	startWriter := func() *controlProcess {
		return startControl(t, bin, addrs[0], "--files", dir, "--peers", addrs[1]+","+addrs[2])
	}
	writer := startWriter()
	all := []*controlProcess{writer, startControl(t, bin, addrs[1], "--from", addrs[0]+","+addrs[2]), startControl(t, bin, addrs[2], "--from", addrs[0]+","+addrs[1])}
	everywhere := func(what string, resources int) (version string) {
		t.Helper()
		version = all[0].waitForStatus(t, what, func(s controlStatus) bool { return s.Resources == resources }).Version
		for _, p := range all[1:] {
			p.waitForStatus(t, what, func(s controlStatus) bool { return s.Version == version && s.Resources == resources })
		}
		return version
	}
	first := everywhere("the first version", 1)
	replaceFile(t, dir, "b.yaml", "contracts:\n- {name: b, match: [{tenant: b}]}\n")
	writer.cmd.Process.Signal(syscall.SIGHUP)
	if second := everywhere("the change", 2); second == first || !strings.HasPrefix(second, strings.Split(first, ".")[0]) {
		t.Errorf("version %s after %s, want a later one of the same epoch", second, first)
	}
	replaceFile(t, dir, "b.yaml", "contracts:\n- name: b\n  match: [{tenant: a}]\n")
	writer.cmd.Process.Signal(syscall.SIGHUP)
	want := `b.yaml:2: contract "b": match[0]: contract "a" is for the same callers`
	writer.waitForStatus(t, "the error of the invalid change", func(s controlStatus) bool { return strings.Contains(s.Files.Error, want) && s.Resources == 2 })
	all[1].cmd.Process.Signal(syscall.SIGHUP) // a follower ignores it
	replaceFile(t, dir, "b.yaml", "contracts:\n- {name: b, match: [{tenant: b}]}\n- {name: c, match: [{tenant: c}]}\n")
	writer.cmd.Process.Kill()
	writer.waitExited(t)
	writer = startWriter()
	all[0] = writer
	if third := everywhere("the version of the restarted writer", 3); third <= first {
		t.Errorf("version %s after %s, want a later one", third, first)
	}
	for _, p := range all {
		p.terminate(t)
	}
}
