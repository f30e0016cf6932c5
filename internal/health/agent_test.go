package health

import (
	"errors"
	"strings"
	"testing"
)

// Every word of HAProxy's agent-check, by the configuration manual's section on agent-check: what it says there, and what it
// is taken for.
func TestParseAgent(t *testing.T) {
	silent := func(change func(*Word)) Word {
		w := Silent
		change(&w)
		return w
	}
	weight := func(v float64) Word { return silent(func(w *Word) { w.Weight = v }) }
	state := func(s State, why string) Word {
		return silent(func(w *Word) { w.State, w.Reason = s, why })
	}
	admin := func(a Admin) Word { return silent(func(w *Word) { w.Admin = a }) }
	for _, c := range []struct {
		clause, line string
		want         Word
	}{
		{"a positive integer percentage", "75%\n", weight(0.75)},
		{"relative to the initial weight", "200%\n", weight(2)},
		{"0% is permitted", "0%\n", weight(0)},
		{"maxconn: followed by an integer, no space", "maxconn:30\n", silent(func(w *Word) { w.MaxConn = 30 })},
		{"ready: administrative READY", "ready\n", admin(Ready)},
		{"drain: administrative DRAIN", "drain\n", admin(Drain)},
		{"maint: administrative MAINT", "maint\n", admin(Maint)},
		{"up: operating UP", "up\n", state(Up, "")},
		{"down: operating DOWN", "down\n", state(Down, "down")},
		{"fail: operating DOWN", "fail\n", state(Down, "fail")},
		{"failed, as older manuals have it", "failed\n", state(Down, "failed")},
		{"stopped: operating DOWN", "stopped\n", state(Down, "stopped")},
		{"a description after a sharp", "down #disk is full\n", state(Down, `down "disk is full"`)},
		{"a sharp against the word", "stopped#nightly backup", state(Down, `stopped "nightly backup"`)},
		{"words in any order, parted by spaces, tabs or commas", "up,75%\tready  maxconn:9", Word{State: Up, Admin: Ready, Weight: 0.75, MaxConn: 9}},
		{"the end of line may be CR", "up\rdown", state(Up, "")},
		{"or CR LF", "drain\r\n", admin(Drain)},
		{"or nothing", "drain", admin(Drain)},
		{"only the first line counts", "up\ndown\n", state(Up, "")},
		{"case does not matter", "DoWn #X", state(Down, `down "X"`)},
		{"words that are not known change nothing", "75% purple", weight(0.75)},
		{"the later of two words", "up down", state(Down, "down")},
		{"what stands behind the sharp is no word", "up #drain maint 0%", state(Up, "")},
	} {
		got, _, err := ParseAgent(c.line)
		if err != nil || got != c.want {
			t.Errorf("%s: %q is %+v, %v; want %+v", c.clause, c.line, got, err, c.want)
		}
	}
	for _, line := range []string{"", "\n", "\r\n", " \t,", "dra", "purple green\n", "#down", "u\x00p"} {
		if w, _, err := ParseAgent(line); !errors.Is(err, ErrNoWord) || w != Silent {
			t.Errorf("%q: %+v, %v", line, w, err)
		}
	}
	for _, line := range []string{"-5%", "%", "99999999%", "1.5%", "up maxconn:", "maxconn:-1", "maxconn:99999999999 up"} {
		if w, _, err := ParseAgent(line); err == nil || errors.Is(err, ErrNoWord) || w != Silent {
			t.Errorf("%q: %+v, %v", line, w, err)
		}
	}
	if _, unknown, _ := ParseAgent("up purple " + strings.Repeat("x ", 50)); len(unknown) != 8 || unknown[0] != `"purple"` {
		t.Error(unknown)
	}
}

// Whatever an agent writes, its word makes sense, and a word once read is read the same from its first line alone.
func FuzzParseAgent(f *testing.F) {
	for _, s := range []string{"up ready 75%\n", "down #disk\r\n", "drain", "maxconn:30,0%", "\x00", "fail\rup"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		w, unknown, err := ParseAgent(text)
		if err != nil && w != Silent || err == nil && w == Silent || len(unknown) > 8 {
			t.Fatalf("%+v, %v, %q", w, err, unknown)
		}
		if w.Weight > 700 || w.Weight < 0 && w.Weight != -1 || w.MaxConn < -1 || strings.ContainsAny(w.Reason, "\r\n") {
			t.Fatalf("%+v", w)
		}
		if again, _, _ := ParseAgent(text + "\ndown maint 0%\n"); !strings.ContainsAny(text, "\r\n#") && err == nil && again != w {
			t.Fatalf("%+v became %+v", w, again)
		}
	})
}
