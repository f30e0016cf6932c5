package health

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// ErrNoKeyword reports that the reply of an agent contains no known keyword.
var ErrNoKeyword = errors.New("no known keyword")

// ParseAgent parses a reply of HAProxy's agent-check (configuration manual, "agent-check"): keywords in any order,
// separated by spaces, tabs or commas, up to the end of the line, case-insensitive. A percentage is the weight relative
// to the configured one; maxconn:N limits the connections; ready, drain and maint are the administrative state; up,
// down, fail, failed and stopped are the operational state, of which all but up may be followed by # and a reason to
// the end of the line. Unknown keywords are ignored; up to 8 of them are returned in unknown. The error is ErrNoKeyword
// or names the malformed keyword.
func ParseAgent(line string) (report Report, unknown []string, err error) {
	report = EmptyReport
	if i := strings.IndexAny(line, "\r\n"); i >= 0 {
		line = line[:i]
	}
	line, reason, _ := strings.Cut(line, "#")
	for _, word := range strings.FieldsFunc(line, func(r rune) bool { return r == ' ' || r == '\t' || r == ',' }) {
		lower := strings.ToLower(word)
		switch {
		case lower == "ready":
			report.Admin = Ready
		case lower == "drain":
			report.Admin = Drain
		case lower == "maint":
			report.Admin = Maint
		case lower == "up":
			report.State = Up
		case lower == "down" || lower == "fail" || lower == "failed" || lower == "stopped":
			report.State = Down
			report.Reason = lower
			if r := strings.TrimSpace(reason); r != "" {
				report.Reason = lower + " " + strconv.QuoteToASCII(r)
			}
		case strings.HasSuffix(lower, "%"):
			n, err := strconv.ParseUint(strings.TrimSuffix(lower, "%"), 10, 16)
			if err != nil {
				return EmptyReport, nil, fmt.Errorf("%.40q is not a percentage", word)
			}
			report.Weight = float64(n) / 100
		case strings.HasPrefix(lower, "maxconn:"):
			n, err := strconv.ParseUint(strings.TrimPrefix(lower, "maxconn:"), 10, 31)
			if err != nil {
				return EmptyReport, nil, fmt.Errorf("%.40q is not a number of connections", word)
			}
			report.MaxConn = int(n)
		default:
			if len(unknown) < 8 {
				unknown = append(unknown, fmt.Sprintf("%.40q", word))
			}
		}
	}
	if report == EmptyReport {
		return report, unknown, ErrNoKeyword
	}
	return report, unknown, nil
}
