package node

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"portstall/internal/upgrade"
)

// phase says what a node does with the clients' connections. One lifecycle serves all that sends clients away: an
// operator's drain, SIGTERM and a successor.
type phase uint8

const (
	serving  phase = iota
	drained        // operators sent the clients away; they can call them back
	relieved       // a successor serves; if it ends, what was before is again
	leaving        // SIGTERM has come: no way back
)

// lifecycle holds the phase. While it is not serving each answer tells its client to close, and connections that
// carry no request are closed; what was taken is answered all the same.
type lifecycle struct {
	mu           sync.Mutex
	phase        phase
	beforeRelief phase     // what a successor relieved
	closingSince time.Time // when clients were first sent away
	terminatedAt time.Time // when SIGTERM came
}

// sendsAway tells whether clients are to close their connections.
func (l *lifecycle) sendsAway() bool { return l.now() != serving }

func (l *lifecycle) now() phase {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.phase
}

// enter goes to another phase and tells whether that was a step: there is none back from leaving.
func (l *lifecycle) enter(p phase) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.phase == p || l.phase == leaving {
		return false
	}
	if l.phase == relieved && p != leaving { // what operators say is for the successor, and for here if that ends
		l.beforeRelief = p
		return true
	}
	if p == relieved {
		l.beforeRelief = l.phase
	}
	if l.phase == serving {
		l.closingSince = time.Now()
	}
	if p == leaving {
		l.terminatedAt = time.Now()
	}
	l.phase = p
	return true
}

// lastAnswer is how long from now a request that comes now may take: all the time, false, unless the process leaves and new
// connections have ceased. One that still comes then must have its answer before SIGKILL finds it without.
func (l *lifecycle) finalResponseTimeout(longest time.Duration) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	gone := time.Since(l.terminatedAt)
	if l.phase != leaving || gone < acceptGrace {
		return 0, false
	}
	return min(longest, maxDeadlineBeforeKill) + killGrace - killResponseMargin - gone, true
}

// recall ends what a successor has relieved.
func (l *lifecycle) endRelief() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.phase == relieved {
		l.phase = l.beforeRelief
	}
}

// forHeir is what a successor is to know: whether operators have sent the clients away.
func (l *lifecycle) drainedByOperator() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.phase == drained || l.phase == relieved && l.beforeRelief == drained
}

// until is when a request that comes now is to have its answer, on the core's clock; 0: in its own time.
func (n *node) responseDeadline() time.Duration {
	left, bound := n.life.finalResponseTimeout(n.set.Load().longest())
	if !bound {
		return 0
	}
	return n.core.Now() + left
}

var errLeaving = errors.New("this process is leaving")

// Drain sends the clients away. What was taken is answered.
func (n *node) Drain(ctx context.Context) error {
	n.drain()
	n.saved()
	return n.pair.tell(ctx, nil, upgrade.Order{Call: upgrade.Drain})
}

func (n *node) drain() {
	if n.life.enter(drained) {
		n.log.Info("drained by hand: clients are sent away")
		n.opaque.Drain(nil)
		// The front notices after a while; until then clients use the connections that they have.
		time.AfterFunc(acceptGrace, func() {
			if n.life.sendsAway() {
				n.clients.CloseIdle()
			}
		})
	}
}

// Resume ends a drain.
func (n *node) Resume(ctx context.Context) error {
	if n.life.now() == leaving && !n.pair.yielding() {
		return errLeaving
	}
	n.resume()
	n.saved()
	return n.pair.tell(ctx, nil, upgrade.Order{Call: upgrade.Resume})
}

func (n *node) resume() {
	if n.life.enter(serving) {
		n.log.Info("resumed by hand")
	}
}

var errNotReady = errors.New("it starts, knows no web server that is ready, or leaves")

// Ready tells whether this process serves. A drain does not change that: it is for the front, which asks GET /ready.
func (n *node) Ready() error {
	n.core.Lock()
	defer n.core.Unlock()
	if !n.ready || n.life.now() == leaving || !n.pair.accepting.Load() {
		return errNotReady
	}
	return nil
}

// readiness is the answer to GET /ready.
func (n *node) readinessStatus() int {
	n.core.Lock()
	defer n.core.Unlock()
	if !n.ready || n.life.sendsAway() && !n.pair.yielding() { // a successor is ready for both
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}
