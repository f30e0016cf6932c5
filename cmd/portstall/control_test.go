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

// folder is a folder of files with this text each.
func folder(t *testing.T, files map[string]string) string {
	t.Helper()
	dir := t.TempDir()
	for name, text := range files {
		edit(t, dir, name, text)
	}
	return dir
}

// edit puts another text in a file's place in one step.
func edit(t *testing.T, dir, name, text string) {
	t.Helper()
	tmp := filepath.Join(dir, name+".new")
	if err := os.WriteFile(tmp, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(tmp, filepath.Join(dir, name)); err != nil {
		t.Fatal(err)
	}
}

// controlProcess is a portstall control that runs.
type controlProcess struct {
	program
	at string
}

func startControl(t *testing.T, bin, addr string, args ...string) *controlProcess {
	t.Helper()
	p := &controlProcess{at: addr}
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

// ended returns once the process has ended, by a signal that was sent before.
func (p *program) ended(t *testing.T) {
	t.Helper()
	select {
	case <-p.exited:
	case <-time.After(patience):
		t.Fatalf("it does not end\n%s", p.log.String())
	}
}

// controlStatus is what is read of GET /v1/status.
type controlStatus struct {
	Version   string `json:"version"`
	Resources int    `json:"resources"`
	Files     struct {
		Error string `json:"error"`
	} `json:"files"`
}

// until returns the status once it is as wanted.
func (p *controlProcess) until(t *testing.T, what string, as func(controlStatus) bool) controlStatus {
	t.Helper()
	var s controlStatus
	for end := time.Now().Add(patience); ; time.Sleep(5 * time.Millisecond) {
		if resp, err := http.Get("http://" + p.at + "/v1/status"); err == nil {
			s = controlStatus{}
			err = json.NewDecoder(resp.Body).Decode(&s)
			resp.Body.Close()
			if err == nil && as(s) {
				return s
			}
		}
		select {
		case err := <-p.exited:
			t.Fatalf("ended: %v\n%s", err, p.log.String())
		default:
		}
		if time.Now().After(end) {
			t.Fatalf("%s: %+v\n%s", what, s, p.log.String())
		}
	}
}

// Three processes as operators run them: a change by SIGHUP, a bad one that shows and changes nothing, the writer killed and started again
// with its peers, and SIGTERM.
func TestControl(t *testing.T) {
	bin := built(t)
	dir := folder(t, map[string]string{"a.yaml": "contracts:\n- {name: a, match: [{tenant: a}]}\n"})
	at := []string{freeAddr(t), freeAddr(t), freeAddr(t)}
	write := func() *controlProcess {
		return startControl(t, bin, at[0], "--files", dir, "--peers", at[1]+","+at[2])
	}
	w := write()
	all := []*controlProcess{w, startControl(t, bin, at[1], "--from", at[0]+","+at[2]), startControl(t, bin, at[2], "--from", at[0]+","+at[1])}
	everywhere := func(what string, resources int) (version string) {
		t.Helper()
		version = all[0].until(t, what, func(s controlStatus) bool { return s.Resources == resources }).Version
		for _, p := range all[1:] {
			p.until(t, what, func(s controlStatus) bool { return s.Version == version && s.Resources == resources })
		}
		return version
	}
	first := everywhere("the first", 1)
	edit(t, dir, "b.yaml", "contracts:\n- {name: b, match: [{tenant: b}]}\n")
	w.cmd.Process.Signal(syscall.SIGHUP)
	if second := everywhere("a change", 2); second == first || !strings.HasPrefix(second, strings.Split(first, ".")[0]) {
		t.Errorf("%s after %s", second, first)
	}
	edit(t, dir, "b.yaml", "contracts:\n- name: b\n  match: [{tenant: a}]\n")
	w.cmd.Process.Signal(syscall.SIGHUP)
	want := `b.yaml:2: contract "b": match[0]: contract "a" is for the same callers`
	w.until(t, "a bad change", func(s controlStatus) bool { return strings.Contains(s.Files.Error, want) && s.Resources == 2 })
	all[1].cmd.Process.Signal(syscall.SIGHUP) // is not for it
	edit(t, dir, "b.yaml", "contracts:\n- {name: b, match: [{tenant: b}]}\n- {name: c, match: [{tenant: c}]}\n")
	w.cmd.Process.Kill()
	w.ended(t)
	w = write()
	all[0] = w
	if third := everywhere("the writer's return", 3); third <= first {
		t.Errorf("%s after %s", third, first)
	}
	for _, p := range all {
		p.leave(t)
	}
}
