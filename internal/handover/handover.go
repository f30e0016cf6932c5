// Package handover decides which of a node's processes serves its clients while one replaces another. It is a state machine
// without I/O or clock: what happens is told to it, what it wants goes to an Env. Its messages are carried by
// internal/upgrade, and all their interleavings, with a crash at each step, are played in its test.
//
// One process at a time holds the token, and only that one takes clients. The kernel takes the token from a process that ends,
// however it ends, so that a process which can have it knows that no other serves. A predecessor that has let the token go keeps
// its listener until its own end, and takes the node back when its successor ends before or after it has confirmed.
//
// The token bears a number, which whoever has it raises when it takes it and when it lets it go for a successor. A successor takes
// it only with the number that it was told: one that reads an old Yours late, when its predecessor has taken the node back and let it go again, would
// else serve without knowing what came between.
package handover

// Peer names another process at a Machine; 0: none.
type Peer int

// Message is what the processes tell each other.
type Message uint8

const (
	State   Message = iota // to a successor: all that it needs to build up
	Later                  // to a successor: not from this process now; look again who is there
	Ready                  // to a predecessor: built up, let me have the clients
	Yours                  // to a successor: nothing more is taken here on its own; here is what has changed since
	Serving                // to a predecessor: the token is had, clients are taken
)

// Phase is how a process stands.
type Phase uint8

const (
	Starting Phase = iota // it has its predecessor's state, or has none, and builds up
	Seeking               // it looks who serves
	Asking                // it has said that it is ready
	Serves                // it has the token, and takes clients
	Yielding              // its successor was told that clients are its own, and has not confirmed
	Relieved              // its successor serves; what was taken is finished
)

func (p Phase) String() string {
	return [...]string{"warm", "seeking", "asking", "serves", "yielding", "relieved"}[p]
}

// yieldTicks is how many ticks a successor has from Yours to Serving before its predecessor tries to take the token back. One
// that has it keeps it.
const transferTicks = 20

// Env is what a Machine makes happen. None of it may wait for another process.
type Env interface {
	Lock() (number uint64, had bool) // takes the token, unless another process has it
	Mark(number uint64)              // writes that number on the token, which is had
	Unlock()                         // lets it go
	Accept(on bool)                  // takes new clients, and is the one that successors find; or takes no more. The listener stays open
	Yield(to Peer, number uint64)    // from now on asks that process before each new request, and tells it Yours, the number and all that it needs
	Relieve()                        // sends clients away and finishes what was taken
	Resume()                         // is alone again: asks nobody, sends no client away
	Tell(to Peer, m Message)
	// Seek looks for a process that serves, or has served and is not yet over: its State or Later comes by Heard, that there is
	// none by NoOne. One that is done with its clients but not with their requests must be found: those are still in flight.
	Seek()
}

// Machine is the part of one process. Its owner guards it; the zero value is a process without a predecessor.
type Machine struct {
	Phase        Phase
	Before       Peer // the predecessor
	Heir         Peer // the successor of one that yields or is relieved; 0 once it has gone
	Initialized  bool
	Ends         bool   // it was told to end: it takes no clients again
	Number       uint64 // of the token, when it was last had or let go here
	ticksInPhase int    // ticks in the phase
}

func (m *Machine) enter(p Phase) { m.Phase, m.ticksInPhase = p, 0 }

// Ready tells that the process has built up and can serve. Before that nobody is sought.
func (m *Machine) Ready(env Env) {
	m.Initialized = true
	if m.Phase == Starting {
		m.requestClients(env)
	}
}

// Alone is Ready where no other process of the node can be: it takes the clients.
func (m *Machine) Alone(env Env) {
	m.Initialized = true
	m.enter(Serves)
	env.Accept(true)
}

// ask asks the predecessor for the clients. Without one it looks once more who is there, and takes them if nobody is.
func (m *Machine) requestClients(env Env) {
	if m.Before == 0 {
		m.enter(Seeking)
		env.Seek()
		return
	}
	m.enter(Asking)
	env.Tell(m.Before, Ready)
}

func (m *Machine) setTokenNumber(env Env, n uint64) {
	m.Number = n
	env.Mark(n)
}

// take serves if the token can be had, with the number that the predecessor told; 0: none did.
func (m *Machine) takeToken(env Env, number uint64) {
	n, had := env.Lock()
	if had && number != 0 && n != number { // it was taken back, and let go anew: for this process or another
		env.Unlock()
		had = false
	}
	switch {
	case had:
		m.setTokenNumber(env, n+1)
		m.enter(Serves)
		env.Accept(true)
		if m.Before != 0 {
			env.Tell(m.Before, Serving)
		}
	case m.Before != 0:
		m.enter(Asking) // the predecessor took it back: it is asked again
	default:
		m.enter(Seeking)
	}
}

// Hello takes in that another process asks for the state.
func (m *Machine) Hello(env Env, from Peer) {
	if m.Phase == Serves {
		env.Tell(from, State)
	} else {
		env.Tell(from, Later)
	}
}

// NoOne takes in that nobody was found who serves.
func (m *Machine) NoOne(env Env) {
	if m.Phase == Seeking {
		m.Before = 0
		m.takeToken(env, 0)
	}
}

// Heard takes in a message; the number is of Yours.
func (m *Machine) Heard(env Env, from Peer, what Message, number uint64) {
	switch what {
	case State:
		if m.Phase == Seeking || m.Phase == Starting && m.Before == 0 {
			m.Before = from
			m.enter(Starting)
			if m.Initialized {
				m.requestClients(env)
			}
		}
	case Later:
		if m.Phase == Asking && from == m.Before || m.Phase == Seeking {
			m.Before = 0
			m.enter(Seeking)
		}
	case Ready:
		if m.Phase != Serves {
			env.Tell(from, Later)
			return
		}
		m.enter(Yielding)
		m.Heir = from
		env.Accept(false)
		m.setTokenNumber(env, m.Number+1)
		env.Unlock() // before the successor is told: it is to have the token at once
		env.Yield(from, m.Number)
	case Yours:
		if m.Phase == Asking && from == m.Before {
			m.takeToken(env, number)
		}
	case Serving:
		if m.Phase == Yielding && from == m.Heir {
			m.enter(Relieved)
			env.Relieve()
		}
	}
}

// Gone takes in that another process is gone.
func (m *Machine) Gone(env Env, who Peer) {
	if who == m.Before {
		m.Before = 0
		if m.Phase == Asking { // its state may be old by now: another process can have taken requests meanwhile
			m.enter(Seeking)
			env.Seek()
		}
	}
	if who == m.Heir && m.Heir != 0 {
		m.Heir, m.ticksInPhase = 0, 0
		m.retakeToken(env)
	}
}

// takeBack serves again where the successor has ended or never took the token. One that another process took stays there.
func (m *Machine) retakeToken(env Env) {
	if m.Phase != Yielding && m.Phase != Relieved {
		return
	}
	n, had := env.Lock()
	if !had {
		return
	}
	// The successor has raised the number by one when it took the token, and by one more if it let it go for a third process, which
	// is to have it unless it ends too.
	if n > m.Number+1 && m.ticksInPhase < 2*transferTicks {
		env.Unlock()
		return
	}
	m.Heir = 0
	m.setTokenNumber(env, n+1) // what the successor was told of is old from now on, whatever becomes of this process
	m.enter(Serves)
	env.Resume()
	if !m.Ends { // else it is there for the next successor alone
		env.Accept(true)
	}
}

// Tick is called a few times a second for as long as Unsettled: what did not work is tried again.
func (m *Machine) Tick(env Env) {
	m.ticksInPhase++
	switch m.Phase {
	case Seeking:
		env.Seek()
	case Asking:
		if m.ticksInPhase%transferTicks == 0 { // also where a Yours came too late for the token
			env.Tell(m.Before, Ready)
		}
	case Yielding:
		if m.Heir == 0 || m.ticksInPhase >= transferTicks {
			m.retakeToken(env)
		}
	case Relieved:
		if m.Heir == 0 {
			m.retakeToken(env)
		}
	}
}

// Unsettled tells whether Tick is wanted.
func (m *Machine) Unsettled() bool {
	return m.Phase == Seeking || m.Phase == Asking || m.Phase == Yielding || m.Phase == Relieved && m.Heir == 0
}

// Settled tells of a process without successor that it has tried for long enough to take the node back: another one serves.
func (m *Machine) Settled() bool { return m.ticksInPhase > 3*transferTicks }

// End takes in that the process was told to end.
func (m *Machine) End() { m.Ends = true }
