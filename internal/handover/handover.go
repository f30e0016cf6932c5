// Package handover decides which of a node's processes serves its clients while one replaces another. It is a state
// machine without I/O or clock: events are passed to it, and its effects go to an Env. Its messages are carried by
// internal/upgrade. Its test explores all interleavings of the messages, with a crash at each step.
//
// One process at a time holds the token, and only that one accepts clients. The kernel releases the token of a process
// that exits, however it exits, so that a process which obtains it knows that no other one serves. A predecessor that
// has released the token keeps its listener open until it exits, and adopts the clients again if its successor exits,
// before or after confirming.
//
// The token has a number, which its holder raises when it takes the token and when it releases it for a successor. A
// successor takes the token only with the number that it received. Otherwise one that reads an outdated Transfer late,
// when its predecessor has retaken the token and released it again, would serve without knowing what happened in
// between.
package handover

// Peer identifies another process to a Machine; 0: none.
type Peer int

// Message is a message between two processes of a node. Its values are sent to processes of other builds: their order
// stays.
type Message uint8

const (
	// State goes to a successor: all that it needs to initialize.
	State Message = iota
	// NotServing goes to a successor: this process does not hand over now; search again for the one that serves.
	NotServing
	// Ready goes to a predecessor: the successor is initialized and requests the clients.
	Ready
	// Transfer goes to a successor: this process begins no more requests on its own. It carries what has changed since
	// State.
	Transfer
	// Serving goes to a predecessor: the successor holds the token and accepts clients.
	Serving
)

// Phase is the state of a process in a hand-over.
type Phase uint8

const (
	// Starting: the process has its predecessor's state, or has no predecessor, and initializes.
	Starting Phase = iota
	// Searching: it searches for the process that serves.
	Searching
	// Requesting: it has notified its predecessor that it is ready.
	Requesting
	// Active: it holds the token and accepts clients.
	Active
	// Transferring: its successor has been given the clients and has not confirmed.
	Transferring
	// Finishing: its successor serves, and it finishes the requests that it has accepted.
	Finishing
)

func (p Phase) String() string {
	return [...]string{"starting", "searching", "requesting", "active", "transferring", "finishing"}[p]
}

// transferTicks is how many ticks a successor has from Transfer to Serving before its predecessor tries to retake the
// token. A successor that holds the token keeps it.
const transferTicks = 20

// Env carries out the effects of a Machine. None of its methods may wait for another process.
type Env interface {
	// LockToken takes the token and returns its number, unless another process holds it.
	LockToken() (number uint64, held bool)
	// SetTokenNumber writes a number to the token, which is held.
	SetTokenNumber(number uint64)
	// UnlockToken releases the token.
	UnlockToken()
	// SetAccepting starts or stops accepting clients. A process that starts becomes the one that successors find. The
	// listener stays open in both cases.
	SetAccepting(on bool)
	// TransferTo begins to ask that process before each new request, and sends it Transfer with the number and all that
	// it needs.
	TransferTo(to Peer, number uint64)
	// FinishRequests begins to close the clients' connections and to finish the requests that were accepted.
	FinishRequests()
	// Resume ends what TransferTo and FinishRequests began: the process decides alone again and keeps its clients.
	Resume()
	// Send sends a message without waiting.
	Send(to Peer, m Message)
	// Search looks for a process that serves, or that has served and has not exited. Its State or NotServing is passed
	// to Machine.Received; if there is none, Machine.NoneFound is called. A process that has unfinished requests but no
	// clients any more must be found too: the ids of the requests are still in use.
	Search()
}

// Machine is the hand-over state of one process. Its owner guards it with a lock. The zero value is a process without a
// predecessor.
type Machine struct {
	Phase        Phase
	Predecessor  Peer   // 0: none, or it has exited
	Successor    Peer   // the successor, in the phases Transferring and Finishing; 0 once it has exited
	Initialized  bool   // the process can serve
	Stopping     bool   // the process was asked to stop: it accepts no clients again
	TokenNumber  uint64 // of the token, when this process last held or released it
	ticksInPhase int
}

// enter changes the phase.
func (m *Machine) enter(p Phase) { m.Phase, m.ticksInPhase = p, 0 }

// ReadyToServe records that the process is initialized and can serve. In the phase Starting it requests the clients.
func (m *Machine) ReadyToServe(env Env) {
	m.Initialized = true
	if m.Phase == Starting {
		m.requestClients(env)
	}
}

// ServeAlone is ReadyToServe for a node without other processes: it accepts clients at once.
func (m *Machine) ServeAlone(env Env) {
	m.Initialized = true
	m.enter(Active)
	env.SetAccepting(true)
}

// requestClients asks the predecessor for the clients. Without a predecessor it searches once more for a process that
// serves, and accepts clients if there is none.
func (m *Machine) requestClients(env Env) {
	if m.Predecessor == 0 {
		m.enter(Searching)
		env.Search()
		return
	}
	m.enter(Requesting)
	env.Send(m.Predecessor, Ready)
}

// setTokenNumber records the token's number and writes it to the token.
func (m *Machine) setTokenNumber(env Env, n uint64) {
	m.TokenNumber = n
	env.SetTokenNumber(n)
}

// takeToken accepts clients if the token is free and has the number that the predecessor sent; 0: none was sent.
func (m *Machine) takeToken(env Env, number uint64) {
	n, held := env.LockToken()
	if held && number != 0 && n != number { // the predecessor retook and released it again: for this process or another
		env.UnlockToken()
		held = false
	}
	switch {
	case held:
		m.setTokenNumber(env, n+1)
		m.enter(Active)
		env.SetAccepting(true)
		if m.Predecessor != 0 {
			env.Send(m.Predecessor, Serving)
		}
	case m.Predecessor != 0:
		m.enter(Requesting) // the predecessor retook the token: it is asked again
	default:
		m.enter(Searching)
	}
}

// StateRequested handles another process's request for the state.
func (m *Machine) StateRequested(env Env, from Peer) {
	if m.Phase == Active {
		env.Send(from, State)
	} else {
		env.Send(from, NotServing)
	}
}

// NoneFound handles the end of a search that found no process.
func (m *Machine) NoneFound(env Env) {
	if m.Phase == Searching {
		m.Predecessor = 0
		m.takeToken(env, 0)
	}
}

// Received handles a message. The number is that of Transfer.
func (m *Machine) Received(env Env, from Peer, what Message, number uint64) {
	switch what {
	case State:
		if m.Phase == Searching || m.Phase == Starting && m.Predecessor == 0 {
			m.Predecessor = from
			m.enter(Starting)
			if m.Initialized {
				m.requestClients(env)
			}
		}
	case NotServing:
		if m.Phase == Requesting && from == m.Predecessor || m.Phase == Searching {
			m.Predecessor = 0
			m.enter(Searching)
		}
	case Ready:
		if m.Phase != Active {
			env.Send(from, NotServing)
			return
		}
		m.enter(Transferring)
		m.Successor = from
		env.SetAccepting(false)
		m.setTokenNumber(env, m.TokenNumber+1)
		env.UnlockToken() // before the successor is notified: it must find the token free
		env.TransferTo(from, m.TokenNumber)
	case Transfer:
		if m.Phase == Requesting && from == m.Predecessor {
			m.takeToken(env, number)
		}
	case Serving:
		if m.Phase == Transferring && from == m.Successor {
			m.enter(Finishing)
			env.FinishRequests()
		}
	}
}

// PeerExited handles the exit of another process.
func (m *Machine) PeerExited(env Env, who Peer) {
	if who == m.Predecessor {
		m.Predecessor = 0
		if m.Phase == Requesting { // its state may be outdated: another process may have accepted requests meanwhile
			m.enter(Searching)
			env.Search()
		}
	}
	if who == m.Successor && m.Successor != 0 {
		m.Successor, m.ticksInPhase = 0, 0
		m.retakeToken(env)
	}
}

// retakeToken serves again after the successor has exited or never took the token. A token that another process holds
// stays there.
func (m *Machine) retakeToken(env Env) {
	if m.Phase != Transferring && m.Phase != Finishing {
		return
	}
	n, held := env.LockToken()
	if !held {
		return
	}
	// The successor raised the number by one when it took the token, and by one more if it released it for a third
	// process. The third process may take it, unless it exits too.
	if n > m.TokenNumber+1 && m.ticksInPhase < 2*transferTicks {
		env.UnlockToken()
		return
	}
	m.Successor = 0
	m.setTokenNumber(env, n+1) // outdates the number that the successor received, even if this process exits
	m.enter(Active)
	env.Resume()
	if !m.Stopping { // else the process is only found by the next successor
		env.SetAccepting(true)
	}
}

// Tick retries what has not succeeded. It is called a few times a second while NeedsTick.
func (m *Machine) Tick(env Env) {
	m.ticksInPhase++
	switch m.Phase {
	case Searching:
		env.Search()
	case Requesting:
		if m.ticksInPhase%transferTicks == 0 { // also after a Transfer that came too late for the token
			env.Send(m.Predecessor, Ready)
		}
	case Transferring:
		if m.Successor == 0 || m.ticksInPhase >= transferTicks {
			m.retakeToken(env)
		}
	case Finishing:
		if m.Successor == 0 {
			m.retakeToken(env)
		}
	}
}

// NeedsTick reports whether Tick must be called.
func (m *Machine) NeedsTick() bool {
	return m.Phase == Searching || m.Phase == Requesting || m.Phase == Transferring || m.Phase == Finishing && m.Successor == 0
}

// RetakeTimedOut reports, for a process whose successor has exited, whether it has tried to retake the token for long
// enough: another process serves.
func (m *Machine) RetakeTimedOut() bool { return m.ticksInPhase > 3*transferTicks }

// Stop records that the process was asked to stop.
func (m *Machine) Stop() { m.Stopping = true }
