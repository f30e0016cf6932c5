package health

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// ErrNoWord says that an agent's answer holds no word that is known.
var ErrNoWord = errors.New("no word that is known")

// ParseAgent reads an answer of HAProxy's agent-check (configuration manual, "agent-check"): words in any order, parted by
// spaces, tabs or commas, up to the end of the line. Case does not matter. A percentage is the weight as a part of the
// usual, maxconn:N a bound; ready, drain and maint are what operators want; up, down, fail(ed) and stopped are the state, of
// which all but up may be followed by # and a reason to the end of the line. Words that are not known change nothing; they
// come back in unknown. An error is ErrNoWord, or names the word that makes no sense.
func ParseAgent(line string) (w Word, unknown []string, err error) {
	w = Silent
	if i := strings.IndexAny(line, "\r\n"); i >= 0 {
		line = line[:i]
	}
	line, reason, _ := strings.Cut(line, "#")
	for _, word := range strings.FieldsFunc(line, func(r rune) bool { return r == ' ' || r == '\t' || r == ',' }) {
		lower := strings.ToLower(word)
		switch {
		case lower == "ready":
			w.Admin = Ready
		case lower == "drain":
			w.Admin = Drain
		case lower == "maint":
			w.Admin = Maint
		case lower == "up":
			w.State = Up
		case lower == "down" || lower == "fail" || lower == "failed" || lower == "stopped":
			w.State = Down
			w.Reason = lower
			if r := strings.TrimSpace(reason); r != "" {
				w.Reason = lower + " " + strconv.QuoteToASCII(r)
			}
		case strings.HasSuffix(lower, "%"):
			n, err := strconv.ParseUint(strings.TrimSuffix(lower, "%"), 10, 16)
			if err != nil {
				return Silent, nil, fmt.Errorf("%.40q is no percentage", word)
			}
			w.Weight = float64(n) / 100
		case strings.HasPrefix(lower, "maxconn:"):
			n, err := strconv.ParseUint(strings.TrimPrefix(lower, "maxconn:"), 10, 31)
			if err != nil {
				return Silent, nil, fmt.Errorf("%.40q is no number of connections", word)
			}
			w.MaxConn = int(n)
		default:
			if len(unknown) < 8 {
				unknown = append(unknown, fmt.Sprintf("%.40q", word))
			}
		}
	}
	if w == Silent {
		return w, unknown, ErrNoWord
	}
	return w, unknown, nil
}
