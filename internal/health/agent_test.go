package health

import (
	"errors"
	"strings"
	"testing"
)

// Each keyword of HAProxy's agent-check, with what the configuration manual's section on agent-check says of it and the
// report that it must be parsed to.
func TestParseAgent(t *testing.T) {
	reportWith := func(change func(*Report)) Report {
		report := EmptyReport
		change(&report)
		return report
	}
	weight := func(v float64) Report { return reportWith(func(report *Report) { report.Weight = v }) }
	state := func(s State, why string) Report {
		return reportWith(func(report *Report) { report.State, report.Reason = s, why })
	}
	admin := func(a Admin) Report { return reportWith(func(report *Report) { report.Admin = a }) }
	for _, c := range []struct {
		clause, line string
		want         Report
	}{
		{"a positive integer percentage", "75%\n", weight(0.75)},
		{"relative to the initial weight", "200%\n", weight(2)},
		{"0% is permitted", "0%\n", weight(0)},
		{"maxconn: followed by an integer, no space", "maxconn:30\n", reportWith(func(report *Report) { report.MaxConn = 30 })},
		{"ready: administrative READY", "ready\n", admin(Ready)},
		{"drain: administrative DRAIN", "drain\n", admin(Drain)},
		{"maint: administrative MAINT", "maint\n", admin(Maint)},
		{"up: operating UP", "up\n", state(Up, "")},
		{"down: operating DOWN", "down\n", state(Down, "down")},
		{"fail: operating DOWN", "fail\n", state(Down, "fail")},
		{"failed, as older manuals have it", "failed\n", state(Down, "failed")},
		{"stopped: operating DOWN", "stopped\n", state(Down, "stopped")},
		{"a description after #", "down #disk is full\n", state(Down, `down "disk is full"`)},
		{"# directly after the keyword", "stopped#nightly backup", state(Down, `stopped "nightly backup"`)},
		{"keywords in any order, separated by spaces, tabs or commas", "up,75%\tready  maxconn:9", Report{State: Up, Admin: Ready, Weight: 0.75, MaxConn: 9}},
		{"the line may end in CR", "up\rdown", state(Up, "")},
		{"the line may end in CR LF", "drain\r\n", admin(Drain)},
		{"the line may have no end", "drain", admin(Drain)},
		{"only the first line counts", "up\ndown\n", state(Up, "")},
		{"case does not matter", "DoWn #X", state(Down, `down "X"`)},
		{"unknown keywords are ignored", "75% purple", weight(0.75)},
		{"the later of two contradicting keywords counts", "up down", state(Down, "down")},
		{"text after # is not parsed as keywords", "up #drain maint 0%", state(Up, "")},
	} {
		got, _, err := ParseAgent(c.line)
		if err != nil || got != c.want {
			t.Errorf("%s: %q is parsed to %+v, %v; want %+v", c.clause, c.line, got, err, c.want)
		}
	}
	for _, line := range []string{"", "\n", "\r\n", " \t,", "dra", "purple green\n", "#down", "u\x00p"} {
		if report, _, err := ParseAgent(line); !errors.Is(err, ErrNoKeyword) || report != EmptyReport {
			t.Errorf("%q without a known keyword: %+v, %v", line, report, err)
		}
	}
	for _, line := range []string{"-5%", "%", "99999999%", "1.5%", "up maxconn:", "maxconn:-1", "maxconn:99999999999 up"} {
		if report, _, err := ParseAgent(line); err == nil || errors.Is(err, ErrNoKeyword) || report != EmptyReport {
			t.Errorf("%q with a malformed keyword: %+v, %v", line, report, err)
		}
	}
	if _, unknown, _ := ParseAgent("up purple " + strings.Repeat("x ", 50)); len(unknown) != 8 || unknown[0] != `"purple"` {
		t.Error(unknown)
	}
}

// Any text gives either an error or a report with valid values, and lines after the first change nothing.
func FuzzParseAgent(f *testing.F) {
	for _, s := range []string{"up ready 75%\n", "down #disk\r\n", "drain", "maxconn:30,0%", "\x00", "fail\rup"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		report, unknown, err := ParseAgent(text)
		if err != nil && report != EmptyReport || err == nil && report == EmptyReport || len(unknown) > 8 {
			t.Fatalf("report %+v with error %v, unknown keywords %q", report, err, unknown)
		}
		if report.Weight > 700 || report.Weight < 0 && report.Weight != -1 || report.MaxConn < -1 || strings.ContainsAny(report.Reason, "\r\n") {
			t.Fatalf("invalid report %+v", report)
		}
		if again, _, _ := ParseAgent(text + "\ndown maint 0%\n"); !strings.ContainsAny(text, "\r\n#") && err == nil && again != report {
			t.Fatalf("%+v became %+v with a second line", report, again)
		}
	})
}
