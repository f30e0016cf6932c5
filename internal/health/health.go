// Package health weighs what is said of web servers: by their agents, by active checks, and by what becomes of real
// requests. None is believed alone; the rules stand in Book, and docs/health.md has them as a table. The package has no
// I/O and no clock: probes are in its subpackages, times are handed in, on any clock that does not step back.
package health

import (
	"time"

	"portstall/policy"
)

// Admin is what an agent says that operators want of its server.
type Admin uint8

const (
	Unsaid Admin = iota
	Ready
	Drain
	Maint
)

var admins = [...]string{"", "ready", "drain", "maint"}

func (a Admin) String() string { return admins[a] }

// State is how an agent or a check finds its server.
type State uint8

const (
	Untold State = iota
	Up
	Down
)

// Word is one answer of an agent or outcome of a check. What it does not say stays as it was.
type Word struct {
	Admin   Admin
	State   State
	Weight  float64 // as a part of the usual; negative: not told
	MaxConn int     // requests that it wants to hold at most; negative: not told, 0: no bound
	Reason  string
}

// Silent is a word that says nothing.
var Silent = Word{Weight: -1, MaxConn: -1}

// Rules are what the sources may do. The zero value is not usable: see Usual.
type Rules struct {
	Panic    float64       // where more than this part of the fleet would be out by what is said, the sayers are suspected
	Suspect  time.Duration // and for so long after it was so: sayers that lied once may do so again
	Fresh    time.Duration // a real answer counts against what is said for so long
	AgentFor time.Duration // an agent's up, down, weight and maxconn are good for so long,
	AdminFor time.Duration // its drain and maint for so long after the agent was last heard
	CheckFor time.Duration // and a check's outcome for so long
	Rise     int           // so many good words in a row bring a server back
	Fall     int           // so many failed checks in a row count as down
	Hold     time.Duration // a server that was taken out stays out this long at first, doubled each time
	HoldMost time.Duration // up to this; all is forgiven after as long without
	Doubted  float64       // weight of a server that is said to be down and answers
}

// Usual are rules for checks at an interval.
func Usual(interval time.Duration) Rules {
	return Rules{Panic: 0.5, Suspect: 30 * time.Second, Fresh: 2 * time.Second, AgentFor: 3*interval + time.Second, AdminFor: max(time.Minute, 3*interval+time.Second), CheckFor: 3*interval + time.Second,
		Rise: 2, Fall: 3, Hold: time.Second, HoldMost: time.Minute, Doubted: 0.5}
}

// Verdict is what the rules make of all that is said of a server.
type Verdict struct {
	Out     bool    // nothing new goes to it
	Drain   bool    // and what stands is to end as in a drain
	Weight  float64 // of what it would get otherwise; 0 where it is out
	MaxConn int     // 0: no bound
	Why     string  // which rule, in words; empty where nothing is said
	Against string  // a contradiction that the rules have settled; empty: none
}

// fine is the verdict on a server of which nothing bad is known.
var fine = Verdict{Weight: 1}

// server is what is known of one.
type server struct {
	agent          time.Duration // when the agent was last heard
	word           Word          // of the agent, each part as last said
	check          time.Duration
	fails          int // checks failed in a row
	failed         string
	good           int // good words of agent or check in a row
	lastOK, lastKO time.Duration
	others         time.Duration // when other instances were last heard to see it fail
	heard          bool          // a word ever came
	real           bool          // a real outcome ever came
	verdict        Verdict
	since          time.Duration // of the latest change between in and out
	hold           time.Duration
	wants          bool // to be out, before the panic bound
}

// Book weighs what is said of a fleet. Its owner tells it all and asks for changes; not safe for concurrent use.
type Book struct {
	rules   Rules
	servers map[uint32]*server
	wanted  int           // that want to be out
	panic   time.Duration // until when the sayers are suspected
	panics  bool          // as of the latest verdict
}

// NewBook opens a book.
func NewBook(r Rules) *Book { return &Book{rules: r, servers: map[uint32]*server{}} }

// Add enters a server of which nothing is known, or forgets all that was: it has started anew.
func (b *Book) Add(id uint32) {
	b.Remove(id)
	b.servers[id] = &server{verdict: fine}
}

// Remove strikes one off.
func (b *Book) Remove(id uint32) {
	if s := b.servers[id]; s != nil {
		b.want(s, false)
		delete(b.servers, id)
	}
}

func (b *Book) want(s *server, out bool) {
	if s.wants != out {
		s.wants = out
		if out {
			b.wanted++
		} else {
			b.wanted--
		}
	}
}

// Agent takes in what an agent has said. Later news of an earlier answer (a watch that broke) is refused: false.
func (b *Book) Agent(now time.Duration, id uint32, w Word) bool {
	s := b.servers[id]
	if s == nil || s.heard && now < s.agent {
		return false
	}
	if s.heard && now > s.agent+b.rules.AgentFor { // what it said before is no longer good, but for its admin word
		s.word = Word{Admin: s.word.Admin, Weight: -1, MaxConn: -1, Reason: s.word.Reason}
	}
	if !s.heard {
		s.word = Silent
	}
	s.agent, s.heard = now, true
	if w.Admin != Unsaid {
		s.word.Admin, s.word.Reason = w.Admin, w.Reason
	}
	if w.State != Untold {
		s.word.State, s.word.Reason = w.State, w.Reason
	}
	if w.Weight >= 0 {
		s.word.Weight = w.Weight
	}
	if w.MaxConn >= 0 {
		s.word.MaxConn = w.MaxConn
	}
	b.count(s, s.word.State != Down && s.word.Admin != Drain && s.word.Admin != Maint && s.word.Weight != 0)
	return true
}

// Check takes in the outcome of an active check.
func (b *Book) Check(now time.Duration, id uint32, ok bool, reason string) {
	s := b.servers[id]
	if s == nil {
		return
	}
	s.check = now
	if ok {
		s.fails, s.failed = 0, ""
	} else {
		s.fails++
		s.failed = reason
	}
	b.count(s, ok)
}

func (b *Book) count(s *server, good bool) {
	s.good++
	if !good {
		s.good = 0
	}
}

// Real takes in what became of a real request: answered, or failed in a way that tells of the server.
func (b *Book) Real(now time.Duration, id uint32, ok bool) {
	if s := b.servers[id]; s != nil {
		s.real = true
		if ok {
			s.lastOK = now
		} else {
			s.lastKO = now
		}
	}
}

// Others takes in that other instances see a server fail: enough to look sooner and send it less, never to take it out.
func (b *Book) Others(now time.Duration, id uint32) {
	if s := b.servers[id]; s != nil {
		s.others = now
	}
}

// Spoken tells whether real requests tell enough of a server, so that probes may be seldom.
func (b *Book) Spoken(now time.Duration, id uint32) bool {
	s := b.servers[id]
	return s != nil && !s.verdict.Out && b.answers(now, s)
}

// answers tells whether a server answers real requests lately, the latest one included.
func (b *Book) answers(now time.Duration, s *server) bool {
	return s.real && s.lastOK > 0 && now < s.lastOK+b.rules.Fresh && s.lastOK >= s.lastKO
}

// failing tells whether the latest real request failed, lately.
func (b *Book) failing(now time.Duration, s *server) bool {
	return s.real && s.lastKO > 0 && now < s.lastKO+b.rules.Fresh && s.lastKO > s.lastOK
}

// said is the verdict on a server by its own evidence alone.
func (b *Book) said(now time.Duration, s *server) Verdict {
	v := fine
	r := &b.rules
	live := s.heard && now <= s.agent+r.AgentFor // what the agent says of its state is still good
	adminGood := s.heard && now <= s.agent+r.AdminFor
	checked := s.check > 0 && now <= s.check+r.CheckFor && s.fails >= r.Fall
	if live && s.word.MaxConn > 0 {
		v.MaxConn = s.word.MaxConn
	}
	if live && s.word.Weight > 0 {
		v.Weight = min(1, s.word.Weight)
	}
	down := ""
	switch {
	case live && s.word.State == Down:
		down = reasoned("its agent says down", s.word.Reason)
	case checked:
		down = reasoned("its checks fail", s.failed)
	}
	switch {
	case adminGood && (s.word.Admin == Drain || s.word.Admin == Maint): // operators' will, whatever requests show
		return Verdict{Out: true, Drain: true, Why: reasoned("its agent says "+s.word.Admin.String(), s.word.Reason)}
	case down != "" && b.answers(now, s):
		v.Weight *= r.Doubted
		v.Why, v.Against = "answers real requests: only its weight falls", down+", but it answers real requests"
	case down != "":
		return Verdict{Out: true, Why: down}
	case live && s.word.Weight == 0:
		return Verdict{Out: true, Why: "its agent gives it weight 0"}
	case live && (s.word.State == Up || s.word.Admin == Ready) && b.failing(now, s):
		v.Against = "its agent says up, but real requests fail" // the module ejects it by those; no word brings it back
	case s.check > 0 && now <= s.check+r.CheckFor && s.fails == 0 && b.failing(now, s):
		v.Against = "its checks pass, but real requests fail"
	}
	if s.others > 0 && now <= s.others+r.Fresh && !b.answers(now, s) {
		v.Weight *= r.Doubted
		v.Why = "other instances see it fail"
	}
	if v.Why == "" && v.Weight < 1 {
		v.Why = "its agent lowers its weight"
	}
	return v
}

func reasoned(what, why string) string {
	if why == "" {
		return what
	}
	return what + ": " + why
}

// Weigh works out a server's verdict now, and tells whether it differs from the one before. Whoever tells the book
// something of a server asks for its verdict; and a few times a second for all servers', since words fade.
func (b *Book) Weigh(now time.Duration, id uint32) (v Verdict, changed bool) {
	s := b.servers[id]
	if s == nil {
		return fine, false
	}
	v = b.said(now, s)
	b.want(s, v.Out)
	if float64(b.wanted) > b.rules.Panic*float64(len(b.servers)) {
		b.panic = now + b.rules.Suspect
	}
	b.panics = now < b.panic
	if v.Out && b.panics && !b.failing(now, s) {
		// Most of a fleet does not fail at once; what says so may.
		v = Verdict{Weight: b.rules.Doubted, MaxConn: v.MaxConn, Why: "most of the fleet is said to be bad: the sayers are suspected", Against: v.Why}
	}
	before := s.verdict
	if before.Out && !v.Out && !b.panics {
		// It comes back by good words in a row, and not before its time.
		quiet := !s.heard && s.check == 0 || now > max(s.agent+b.rules.AgentFor, s.check+b.rules.CheckFor) // nobody says anything any more
		if s.good < b.rules.Rise && !quiet || now < s.since+s.hold {
			v = before
		}
	}
	if v.Out != before.Out {
		if v.Out {
			if s.hold == 0 || now > s.since+max(b.rules.HoldMost, s.hold) {
				s.hold = b.rules.Hold
			} else {
				s.hold = min(2*s.hold, b.rules.HoldMost)
			}
		}
		s.since = now
	}
	s.verdict = v
	return v, v != before
}

// Verdict is the latest.
func (b *Book) Verdict(id uint32) Verdict {
	if s := b.servers[id]; s != nil {
		return s.verdict
	}
	return fine
}

// Panic tells whether so many are said to be bad that the sayers are suspected.
func (b *Book) Panic() bool { return b.panics }

// Tells is whether an attempt's outcome tells of its server: not that nothing was sent, nobody waited, or it had no room.
func Tells(o policy.Outcome) bool {
	return o != policy.Full && o != policy.Canceled && o != policy.Moot
}

// Steps are the events by which the policy comes from one verdict on a server to another. While operators have it out that
// stays, whatever is said.
func Steps(server uint32, old, v Verdict, byHand bool) []policy.Event {
	var steps []policy.Event
	if v.Out != old.Out && !byHand {
		kind := policy.EvEnable
		if v.Out {
			kind = policy.EvDisable
		}
		steps = append(steps, policy.Event{Kind: kind, Server: server})
	}
	if !v.Out && (v.Weight != old.Weight || v.MaxConn != old.MaxConn) {
		steps = append(steps, policy.Event{Kind: policy.EvWeigh, Server: server, Weight: v.Weight, Most: v.MaxConn})
	}
	return steps
}
