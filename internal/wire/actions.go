package wire

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"portstall/policy"
)

// AppendAction appends the line of one action of an instance to buf.
func AppendAction(buf []byte, who int64, a *policy.Action) []byte {
	switch a.Kind {
	case policy.ActSend:
		buf = appendString(appendStart(buf, "relay", who), a.ID)
		buf = strconv.AppendUint(append(buf, ','), uint64(a.Server), 10)
		buf = appendSeconds(buf, a.Wait)
	case policy.ActCancel:
		buf = appendString(appendStart(buf, "retract", who), a.ID)
		buf = strconv.AppendInt(append(buf, ','), int64(a.Attempt), 10)
	case policy.ActRefuse:
		buf = appendSeconds(appendString(appendStart(buf, "say_no", who), a.ID), a.Wait)
	case policy.ActFail:
		buf = appendString(appendStart(buf, "report_failure", who), a.ID)
	case policy.ActTimer:
		buf = appendSeconds(appendString(appendStart(buf, "notify_me", who), a.Token), a.At)
	case policy.ActWatch:
		buf = append(appendStart(buf, "stream_changes", who), ",true"...)
	case policy.ActFetch:
		buf = appendStart(buf, "list_all", who)
	case policy.ActLog:
		buf = appendString(appendStart(buf, "say_log", who), a.Text)
	}
	return append(buf, "]\n"...)
}

// AppendFault appends the line that reports a fault of an instance to buf.
func AppendFault(buf []byte, who int64, message string) []byte {
	return append(appendString(appendStart(buf, "give_in", who), message), "]\n"...)
}

// AppendDone appends the line that ends a reply to buf.
func AppendDone(buf []byte, batch int64) []byte {
	return append(appendStart(buf, "done", batch), "]\n"...)
}

// appendStart appends the start of a line: its name and the number of the instance or batch.
func appendStart(buf []byte, name string, n int64) []byte {
	buf = append(append(append(buf, '[', '"'), name...), '"', ',')
	return strconv.AppendInt(buf, n, 10)
}

// appendString appends a string field, and quotes it by JSON's rules only where it needs that.
func appendString(buf []byte, s string) []byte {
	buf = append(buf, ',')
	for i := 0; i < len(s); i++ {
		if c := s[i]; c < 0x20 || c == '"' || c == '\\' || c >= 0x7f {
			quoted, _ := json.Marshal(s) // marshaling a string can't fail
			return append(buf, quoted...)
		}
	}
	return append(append(append(buf, '"'), s...), '"')
}

// appendSeconds appends a time as seconds, rounded up to a microsecond, so that no timer is set too early.
func appendSeconds(buf []byte, t time.Duration) []byte {
	return strconv.AppendFloat(append(buf, ','), math.Ceil(float64(t)/1e3)/1e6, 'f', -1, 64)
}
