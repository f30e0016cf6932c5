package back

import (
	"errors"
	"testing"
	"time"
)

// The end of a drain's grace period is measured on the node's own clock, so that setting the system clock back does not
// extend it.
func TestDrainGraceEndsOnNodeClock(t *testing.T) {
	var now time.Duration
	s := &Server{Gate: NewGate(false), Now: func() time.Duration { return now }}
	send := func() error { return s.Pass(func() error { return nil }) }
	s.StopAt.Store(int64(time.Second))
	for _, c := range []struct {
		at   time.Duration
		want error
	}{{0, nil}, {time.Second - 1, nil}, {time.Second, ErrNoNewRequests}, {time.Hour, ErrNoNewRequests}} {
		if now = c.at; !errors.Is(send(), c.want) {
			t.Errorf("at %v: %v, want %v", c.at, send(), c.want)
		}
	}
	s.Gate.SetClosed(true)
	if s.StopAt.Store(0); !errors.Is(send(), ErrNoNewRequests) {
		t.Error("a closed gate admits a send")
	}
}
