package measure

import (
	"testing"
	"time"
)

// Operations before the warm-up count in the series only, those beyond the series in the totals only.
func TestRecorder(t *testing.T) {
	r := NewRecorder(time.Second, 10*time.Second)
	r.RecordOperation(500*time.Millisecond, "a", "x", Served, true, time.Millisecond, 5) // before the end of the warm-up
	for i := range 100 {
		r.RecordTry(2 * time.Second)
		r.RecordAttempt(2 * time.Second)
		r.RecordOperation(2*time.Second, "a", "x", Served, i < 60, time.Duration(i+1)*time.Millisecond, 1)
	}
	r.RecordAttempt(2 * time.Second)
	r.RecordCause(2*time.Second, "full")
	r.RecordOperation(3*time.Second, "b", "", Refused, false, 0, 100)
	r.RecordOperation(time.Hour, "b", "", Lost, false, 0, 0) // beyond the series
	result := r.Result()
	if result.All.Asked != 102 || result.All.Served != 100 || result.All.InTime != 60 ||
		result.All.Offered != 200 || result.All.Earned != 60 {
		t.Errorf("totals: %+v", result.All)
	}
	if result.Classes["a"].EarnedShare() != 0.6 || result.WorstClassShare() != 0 || result.Endings[Lost] != 1 || result.Causes["full"] != 1 {
		t.Errorf("results by class, ending and cause: %+v", result)
	}
	if result.Latency.P50 < 49 || result.Latency.P50 > 51 || result.Latency.P99 < 98 || result.Latency.Max < 99.9 {
		t.Errorf("latency quantiles: %+v", result.Latency)
	}
	if s := result.Series[0]; s.Asked != 1 || s.Earned != 5 {
		t.Errorf("first second of the series: %+v", s)
	}
	if got := result.AttemptsPerOperation(); got != 101.0/102 {
		t.Errorf("%v attempts an operation, want 101/102", got)
	}
	if (&Result{}).AttemptsPerOperation() != 0 || (&Tally{}).EarnedShare() != 1 {
		t.Error("without operations: want 0 attempts an operation and a share of 1")
	}
}

// Recovery is the first second from which goodput holds; a single good second between bad ones does not count.
func TestRecoveryTime(t *testing.T) {
	runOf := func(shares ...float64) *Result {
		r := &Result{}
		for _, s := range shares {
			r.Series = append(r.Series, Second{Asked: 1, Offered: 1, Earned: s})
		}
		return r
	}
	for _, c := range []struct {
		run  *Result
		want time.Duration
		ok   bool
	}{
		{runOf(1, 1, 0, 0, 1, 1, 1), 0, true},
		{runOf(1, 1, 0, 0, 0.2, 0.9, 0.3, 0.95, 1, 1), 3 * time.Second, true},
		{runOf(1, 1, 0, 0, 0, 0, 0), 0, false},
		{runOf(1, 1, 0, 0, 1), 0, false}, // the run ends before it has held for two seconds
		{runOf(0.5, 0.5, 0, 0, 0.5, 0.5), 0, true},
	} {
		got, ok := c.run.RecoveryTime(2*time.Second, 4*time.Second, 0.9, 2)
		if got != c.want || ok != c.ok {
			t.Errorf("%+v: %v %v, want %v %v", c.run.Series, got, ok, c.want, c.ok)
		}
	}
	if _, ok := runOf(1, 1).RecoveryTime(0, 1, 0.9, 1); ok {
		t.Error("recovered, although nothing is known of the time before the fault")
	}
}

// A fleet that never recovers counts with the rest of the run.
func TestRecoverySeconds(t *testing.T) {
	r := &Result{Trigger: [2]float64{2, 4}}
	for i := range 20 {
		s := Second{Asked: 1, Offered: 1, Earned: 1}
		if i >= 2 && i < 7 {
			s.Earned = 0.2
		}
		r.Series = append(r.Series, s)
	}
	if took, ok := r.RecoverySeconds(); !ok || took != 3 {
		t.Errorf("%v %v, want a recovery after 3 s", took, ok)
	}
	for i := 7; i < 20; i++ {
		r.Series[i].Earned = 0.2
	}
	if took, ok := r.RecoverySeconds(); ok || took != 16 {
		t.Errorf("%v %v, want no recovery, and the 16 s that remain of the run", took, ok)
	}
}
