package node

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"portstall/internal/upgrade"
)

// phase says what a node does with its clients' connections. One lifecycle serves everything that sends clients away:
// an operator's drain, SIGTERM and a successor.
type phase uint8

const (
	serving  phase = iota
	drained        // operators have sent the clients away, and can call them back
	replaced       // a successor serves; if it exits, the phase from before applies again
	leaving        // SIGTERM has arrived; final
)

// lifecycle holds the phase of a node, guarded by mu. While it is not serving, each response tells its client to close,
// and connections without a request are closed; accepted requests are still answered.
type lifecycle struct {
	mu                  sync.Mutex
	phase               phase
	phaseBeforeReplaced phase     // the phase to return to if the successor exits
	terminatedAt        time.Time // when SIGTERM arrived
	// The shortest maximum deadline of settings in force since SIGTERM: SIGKILL comes by those of one of them.
	maxDeadline time.Duration
}

// closingConnections reports whether clients are to close their connections.
func (l *lifecycle) closingConnections() bool { return l.current() != serving }

// current returns the phase.
func (l *lifecycle) current() phase {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.phase
}

// enter changes the phase and reports whether it did. There is no way back from leaving.
func (l *lifecycle) enter(p phase) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.phase == p || l.phase == leaving {
		return false
	}
	if l.phase == replaced && p != leaving { // an operator's order applies to the successor, and here if that one exits
		l.phaseBeforeReplaced = p
		return true
	}
	if p == replaced {
		l.phaseBeforeReplaced = l.phase
	}
	if p == leaving {
		l.terminatedAt = time.Now()
	}
	l.phase = p
	return true
}

// leave enters the phase leaving, with the longest deadline of the settings in force.
func (l *lifecycle) leave(maxDeadline time.Duration) {
	l.enter(leaving)
	l.settingsReplaced(maxDeadline)
}

// settingsReplaced records the longest deadline of settings that are in force from now on.
func (l *lifecycle) settingsReplaced(maxDeadline time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.phase != leaving {
		return
	}
	if l.maxDeadline == 0 || maxDeadline < l.maxDeadline {
		l.maxDeadline = maxDeadline
	}
}

// finalResponseTimeout returns within what time from now a request that arrives now must have its final response. It
// returns false, for no such limit, unless the process leaves and no longer accepts connections. A request that still
// arrives then must have its response before SIGKILL.
func (l *lifecycle) finalResponseTimeout() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	elapsed := time.Since(l.terminatedAt)
	if l.phase != leaving || elapsed < acceptGrace {
		return 0, false
	}
	return min(l.maxDeadline, maxDeadlineBeforeKill) + killGrace - killResponseMargin - elapsed, true
}

// endReplaced returns to the phase from before a successor took over.
func (l *lifecycle) endReplaced() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.phase == replaced {
		l.phase = l.phaseBeforeReplaced
	}
}

// drainedByOperator reports whether operators have sent the clients away, which a successor has to know.
func (l *lifecycle) drainedByOperator() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.phase == drained || l.phase == replaced && l.phaseBeforeReplaced == drained
}

// responseDeadline returns by when, on the core's clock, a request whose last byte arrives now must have its final
// response; 0 means that only its own deadline applies.
func (n *node) responseDeadline() time.Duration {
	timeout, bound := n.lifecycle.finalResponseTimeout()
	if !bound {
		return 0
	}
	return n.core.Now() + timeout
}

var errLeaving = errors.New("this process is leaving")

// Drain sends the clients away. Accepted requests are answered.
func (n *node) Drain(ctx context.Context) error {
	n.drain()
	n.persistNow()
	return n.handover.forwardOrder(ctx, nil, upgrade.Order{Call: upgrade.Drain})
}

func (n *node) drain() {
	if n.lifecycle.enter(drained) {
		n.log.Info("drained by an operator: clients are sent away")
		n.opaque.Drain(nil)
		// The front notices after a while; until then clients use the connections that they have.
		time.AfterFunc(acceptGrace, func() {
			if n.lifecycle.closingConnections() {
				n.clients.CloseIdle()
			}
		})
	}
}

// Resume ends a drain.
func (n *node) Resume(ctx context.Context) error {
	if n.lifecycle.current() == leaving && !n.handover.handingOver() {
		return errLeaving
	}
	n.resume()
	n.persistNow()
	return n.handover.forwardOrder(ctx, nil, upgrade.Order{Call: upgrade.Resume})
}

func (n *node) resume() {
	if n.lifecycle.enter(serving) {
		n.log.Info("resumed by an operator")
	}
}

var errNotReady = errors.New("not ready: the process is starting or leaving, or no web server is listed as ready")

// Ready returns nil if this process serves. A drain does not change that: it concerns the front, which asks GET /ready.
func (n *node) Ready() error {
	n.core.Lock()
	defer n.core.Unlock()
	if !n.anyReady || n.lifecycle.current() == leaving || !n.handover.accepting.Load() {
		return errNotReady
	}
	return nil
}

// readinessStatus returns the status of the response to GET /ready.
func (n *node) readinessStatus() int {
	n.core.Lock()
	defer n.core.Unlock()
	if !n.anyReady || n.lifecycle.closingConnections() && !n.handover.handingOver() { // a successor is ready on behalf of both
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}
