package main

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// The exit code of each command line and a text in its output: mistakes end with 2 and name what is wrong, failures
// with 1.
func TestExitCodesAndMessages(t *testing.T) {
	bin := buildBinary(t)
	goodText := `{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":` + settingsJSON + `}`
	good := writeConfig(t, goodText)
	optional := writeConfig(t, strings.Replace(goodText, `"gain":1`, `"gain":1,"aim_stretch":2`, 1))
	incomplete := writeConfig(t, strings.Replace(goodText, `"gain":1,`, ``, 1))
	yaml := func(text string) string {
		path := filepath.Join(t.TempDir(), "day.yaml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	out := filepath.Join(t.TempDir(), "results.jsonl")
	key := filepath.Join(t.TempDir(), "key")
	for _, c := range []struct {
		args string
		code int
		want string // text in the output
	}{
		{"version", 0, "portstall"},
		{"--help", 0, "node"},
		{"", 2, "expected"},
		{"nodes", 2, "nodes"},
		{"--log=xml version", 2, "--log"},
		{"config check " + good, 0, "good"},
		{"config check /does/not/exist", 2, "/does/not/exist"},
		{"config check " + writeConfig(t, "{\n\"listen\": 7}"), 2, ":2: GW_CONFIG: json: cannot unmarshal number into Go struct field .listen"},
		{"config check " + writeConfig(t, "{\n\n,"), 2, ":3: "},
		{"config check " + writeConfig(t, `{"listen":"127.0.0.1:1","discovery":"x","settings":{}}`), 2, "discovery"},
		{"config check --replaces " + good + " " + good, 0, "good"},
		{"config check --replaces " + good + " " + optional, 0, "good"},
		{"config check --replaces " + optional + " " + good, 0, "good"},
		{"config check --replaces " + good + " " + incomplete, 2, "settings.grades[0].gain: missing"},
		{"config check --replaces " + good + " " + writeConfig(t, "{\n\n,"), 2, ":3: "},
		{"config check --replaces " + writeConfig(t, "{\n\n,") + " " + good, 2, "the configuration to replace: "},
		{"config check --replaces " + good + " /does/not/exist", 2, "/does/not/exist"},
		{"config check " + yaml("name: x\nnodes: 0\n"), 2, "day.yaml:2: nodes: 0 is outside"},
		{"config check " + yaml("name: x\n"), 0, "good"},
		{"config check ../../deploy/lab/experiments/peers.yaml", 0, "good"},
		{"config check ../../deploy/portstall.yaml", 0, "good"},
		{"config check " + yaml("cells: {size: 0}\n"), 2, "cells.size: 0"},
		{"config check " + newFolder(t, map[string]string{"a.yaml": "services: [{name: shop}]\n", "b.yaml": "contracts: [{name: a, services: [shop]}]\n"}), 0, "good"},
		{"config check " + newFolder(t, map[string]string{"a.yaml": "contracts:\n- name: a\n  services: [shop]\n"}), 2, `a.yaml:2: contract "a": services[0]: "shop" is no service here`},
		{"config check " + newFolder(t, map[string]string{"a.yaml": "contracts: [{name: a}]\n", "b.yaml": "contracts: [{name: a}]\n"}), 2, `contract "a" is in`},
		{"config check " + newFolder(t, nil), 2, "no *.yaml files found"},
		{"control", 2, "--listen"},
		{"control --listen 127.0.0.1:0", 2, "one of --files and --from"},
		{"control --listen here --from 127.0.0.1:1", 2, `--listen: "here" is not host:port`},
		{"control --listen 127.0.0.1:0 --from 127.0.0.1:1,there", 2, `--from: "there" is not host:port`},
		{"control --listen 127.0.0.1:0 --from 127.0.0.1:1 --files .", 2, "can't be used together"},
		{"control --listen 127.0.0.1:0 --from 127.0.0.1:1 --peers 127.0.0.1:2", 2, "--peers"},
		{"control --listen 127.0.0.1:0 --from 127.0.0.1:1 --keep 0s", 2, "--keep"},
		{"control --listen 127.0.0.1:0 --from 127.0.0.1:1 --most-watches 0", 2, "--most-watches"},
		{"control --listen 127.0.0.1:0 --files /does/not/exist", 2, "--files: stat /does/not/exist"},
		{"control --listen 127.0.0.1:0 --files " + newFolder(t, map[string]string{"a.yaml": "contracts:\n- name: a\n  rats: 5\n"}), 2, `a.yaml:3: unknown field "rats"`},
		{"lab list", 0, "metastable"},
		{"lab faults", 0, "roster_down"},
		{"lab run smoke --seeds 1-2 --quiet", 0, "| smoke | portstall | 2 |"},
		{"lab run smoke --seeds 2-1", 2, "seeds"},
		{"lab run nowhere", 2, "nowhere"},
		{"lab run smoke --policy best", 2, "best"},
		{"lab run smoke --policy random --engine rig", 2, "random"},
		{"lab run " + yaml("name: x\nscenarios: [smoke]\nbounds:\n- {measure: share, at_least: 1}\n"), 1, "broken: smoke, portstall, seed 1: share is"},
		{"lab run smoke --draw 1-3 --quiet --json " + out, 0, "| 3 |"},
		{"lab compare " + out + " " + out, 0, "3 pairs"},
		{"lab compare p2c portstall --seeds 1-2", 0, "2 pairs"},
		{"lab compare p2c nothing", 2, "nothing"},
		{"lab replay smoke --seed 3", 0, "all rules are kept"},
		{"lab replay gray --policy naive --shrink", 1, "of 5 faults are enough"},
		{"lab load smoke --addr 192.0.2.1:80 --for 1s", 2, "no loopback address"},
		{"demo nowhere", 2, "nowhere"},
		{"keys make " + key, 0, "="},
		{"keys make " + key, 1, "exists"},
		{"keys show " + key, 0, "="},
		{"keys roll " + key, 1, "no such file"},
		{"keys next " + key, 0, "="},
		{"keys roll " + key, 0, "="},
		{"keys show /does/not/exist", 1, "/does/not/exist"},
		{"members --mgmt 127.0.0.1:1", 1, "refused"},
		{"members", 2, "--mgmt"},
	} {
		cmd := exec.Command(bin, strings.Fields(c.args)...)
		var output bytes.Buffer
		cmd.Stdout, cmd.Stderr = &output, &output
		cmd.Run()
		if code := cmd.ProcessState.ExitCode(); code != c.code || !strings.Contains(output.String(), c.want) {
			t.Errorf("%s: exit code %d, want %d, and %q in\n%s", c.args, code, c.code, c.want, output.String())
		}
	}
}

// The demo runs without input, prints its faults, ends by itself and reports that all rules were kept. The scenario is
// short to keep the test quick.
func TestDemoRunsAndEndsByItself(t *testing.T) {
	scenario := filepath.Join(t.TempDir(), "day.yaml")
	if err := os.WriteFile(scenario, []byte("name: day\nduration: 4s\nwarmup: 0s\nservers: {count: 4}\nclients: {load: 0.3}\n"+
		"rules: {answer_slack: 2s, drain_grace: 3s}\nfaults: [{kind: crash, at: 1s, for: 1s, share: 0.25}]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	text, err := exec.Command(buildBinary(t), "demo", scenario).CombinedOutput()
	for _, want := range []string{"<- crash", "crash is over", "All rules were kept", "class search"} {
		if err != nil || !strings.Contains(string(text), want) {
			t.Fatalf("%v, want %q in\n%s", err, want, text)
		}
	}
}

// The load generator counts the responses of a node: with a working web server all requests are served in time.
func TestLabLoadCountsResponses(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, "made for "+r.Header.Get("X-Request-Id"))
	}))
	defer server.Close()
	p := startNode(t, newStubDiscovery(t, server.Listener.Addr().String()).Listener.Addr().String(), "")
	scenario := filepath.Join(t.TempDir(), "day.yaml")
	os.WriteFile(scenario, []byte("name: day\nclients: {impatient: 0}\nclasses: [{name: a, share: 1, work: 1ms, aim: 20s, deadline: 20s, worth: 1, effect: safe}]\n"), 0o600)
	text, err := exec.Command(buildBinary(t), "lab", "load", scenario, "--addr", p.addr, "--rate", "50", "--for", "1s").CombinedOutput()
	if err != nil || !strings.Contains(string(text), "100.0% of the value") {
		t.Errorf("%v\n%s", err, text)
	}
	p.terminate(t)
}
