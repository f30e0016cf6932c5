package http

import (
	"context"
	"errors"
	"sync"
)

// errTimeout is the cause of a context that ended because the attempt's time was up.
var errTimeout = errors.New("attempt timed out")

// expiry decides what happens once an attempt's time is up: the attempt is canceled, unless the beginning of a response
// is held back at that moment, which is passed on then. It is safe for concurrent use.
type expiry struct {
	cancel context.CancelCauseFunc

	mu     sync.Mutex
	passOn chan struct{} // closed to pass the response on; nil: none is held back
	passed bool          // a response was passed on: the attempt has no time limit any more
}

// expire is called once the attempt's time is up. Later calls have no effect after a response was passed on.
func (e *expiry) expire() {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.passed:
	case e.passOn != nil:
		e.passed = true
		close(e.passOn)
	default:
		e.cancel(errTimeout)
	}
}

// holdBack begins to hold a response back. The returned channel is closed if it is to be passed on; release ends the
// holding.
func (e *expiry) holdBack() (passOn <-chan struct{}, release func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := make(chan struct{})
	e.passOn = held
	return held, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.passOn = nil
	}
}
