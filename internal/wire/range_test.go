package wire

import (
	"strings"
	"testing"
	"time"
)

// Settings with a time that does not fit a duration must be rejected, with the field named. Such a time would wrap
// around, possibly to 0: a cold server would count as warm, and the grace of a drain would be over at once.
func TestSettingsTimesOutOfRangeAreRejected(t *testing.T) {
	const good = `{"grades":[{"name":"a","effect":"free","aim_s":1,"deadline_s":2,"repeat_window_s":3}],` +
		`"policy_limits":{"max_retry_after_s":4,"conn_idle_s":5,"connect_timeout_s":6},` +
		`"invariants":{"cold_s":7,"drain_grace_s":8,"fall_s":9,"must_ask_in_s":10}}`
	if s, err := DecodeSettings([]byte(good)); err != nil || s.Policy.ColdFor != 7*time.Second {
		t.Fatalf("settings in range: %+v, error %v", s, err)
	}
	for old, field := range map[string]string{`"aim_s":1`: "aim_s", `"deadline_s":2`: "deadline_s", `"repeat_window_s":3`: "repeat_window_s",
		`_after_s":4`: "max_retry_after_s", `"conn_idle_s":5`: "conn_idle_s", `"connect_timeout_s":6`: "connect_timeout_s",
		`"cold_s":7`: "cold_s", `"drain_grace_s":8`: "drain_grace_s", `"fall_s":9`: "fall_s", `"must_ask_in_s":10`: "must_ask_in_s"} {
		for _, value := range []string{"1e10", "1e19", "1e300", "-1e300"} {
			name, _, _ := strings.Cut(old, ":")
			text := strings.Replace(good, old, name+":"+value, 1)
			if _, err := DecodeSettings([]byte(text)); err == nil || !strings.Contains(err.Error(), field) {
				t.Errorf("%s of %s: error %v, want one that names the field", field, value, err)
			}
		}
	}
}
