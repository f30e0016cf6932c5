package scale

import (
	"os"
	"path/filepath"
	"testing"
)

// Load and steal time are read in the kernel's format, and are 0 if the files are missing.
func TestMachine(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{
		"loadavg": "3.50 2.00 1.00 2/300 4242\n",
		"stat":    "cpu  100 0 100 1000 0 0 0 1250 0 0\ncpu0 50 0 50 500 0 0 0 625 0 0\nbtime 1796194000\n",
	} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if m := newMachine(dir); m.load() != 3.5 || m.stolen() != 12.5 {
		t.Errorf("load %v, %v s stolen, want 3.5 and 12.5 s", m.load(), m.stolen())
	}
	for _, dir := range []string{t.TempDir(), filepath.Join(dir, "none")} {
		if m := newMachine(dir); m.load() != 0 || m.stolen() != 0 {
			t.Errorf("%s: load %v, %v s stolen, want 0 and 0", dir, m.load(), m.stolen())
		}
	}
	for _, c := range []struct {
		p    PartRow
		want float64
	}{{PartRow{Took: 10, Steal: 20}, 0.25}, {PartRow{Took: 10}, 0}, {PartRow{Steal: 1}, 0}} {
		if got := c.p.StolenShare(8); got != c.want {
			t.Errorf("%+v: stolen share of 8 cores %v, want %v", c.p, got, c.want)
		}
	}
}
