package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Exceeding a mandatory budget or a bound of the run gives exit code 1, a mistake in the plan gives 2. The results are
// written even then.
func TestLabScaleExitCodes(t *testing.T) {
	bin := buildBinary(t)
	plan := func(name, more string, changes ...string) string {
		path := filepath.Join(t.TempDir(), name)
		text := "name: tiny\nbound: 60s\nmemory_mb: 2048\nprocesses: 4\nsize: {nodes: 3, servers: 3, tenants: 1, zones: 1, regions: 1}\nparts: [1, 2, 3]\n" + more
		text = strings.NewReplacer(changes...).Replace(text)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	out := filepath.Join(t.TempDir(), "out.json")
	for _, c := range []struct {
		args string
		code int
		want string
	}{
		{plan("met.yaml", "budgets: [{row: parts.first, most: 10, must: true}]\n"), 0, "lawful requests refused"},
		{plan("optional.yaml", "budgets: [{row: parts.first, most: 0.1}]\n"), 0, "PASSED"},
		{plan("exceeded.yaml", "budgets: [{row: parts.first, most: 0.1, must: true}]\n") + " --json " + out, 1, "broken: parts.first"},
		{plan("unwritable.yaml", "") + " --json /does/not/exist", 1, "/does/not/exist"},
		{plan("late.yaml", "members: {sizes: [2, 3, 450], for: 10h, limit: 10h}\n", "60s", "300ms"), 1, "the run passes its bound"},
		{plan("mistake.yaml", "parts: [1]\n"), 2, "parts"},
		{"nowhere", 2, "nowhere"},
	} {
		cmd := exec.Command(bin, append([]string{"lab", "scale"}, strings.Fields(c.args)...)...)
		cmd.Env = append(os.Environ(), "TMPDIR="+t.TempDir())
		text, _ := cmd.CombinedOutput()
		if code := cmd.ProcessState.ExitCode(); code != c.code || !strings.Contains(string(text), c.want) {
			t.Errorf("lab scale %s: code %d, want %d with %q:\n%s", c.args, code, c.code, c.want, text)
		}
	}
	text, err := os.ReadFile(out)
	if err != nil || !strings.Contains(string(text), `"id": "parts.first"`) || !strings.Contains(string(text), `"broken": [`) {
		t.Errorf("the file of results: %v: %s", err, text)
	}
}
