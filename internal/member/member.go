package member

import (
	"cmp"
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Settings are how a member behaves; the same at all of them.
type Settings struct {
	ProbeInterval     time.Duration // between two probes by a member in good health
	ProbeTimeout      time.Duration // of a direct probe; an indirect one has the rest of the interval
	IndirectProbes    int           // members that are asked to probe one that did not answer
	Quorum            int           // accusers that it takes to give up a member, where there are that many
	MaxBytesPerSecond int           // a second that a member sends at most
	SyncInterval      time.Duration // between two exchanges of all that is known, with one member
}

// Usual are the settings of a local network.
func Usual() Settings {
	return Settings{ProbeInterval: time.Second, ProbeTimeout: 300 * time.Millisecond, IndirectProbes: 3, Quorum: 3, MaxBytesPerSecond: 16 << 10, SyncInterval: 30 * time.Second}
}

// State is how a member stands with another.
type State uint8

const (
	Alive State = iota
	Suspect
	Dead
	Left
)

var stateNames = [...]string{"alive", "suspect", "dead", "left"}

func (s State) String() string { return stateNames[s] }

const (
	maxSlowness        = 8   // worst health of one's own: everything takes up to this many times longer, and once
	maxQueued          = 512 // facts that wait to be passed on
	maxPeers           = 2000
	minSuspicionFactor = 4 // times log10 of the number of members, in intervals: how long a suspicion lasts with all accusers
	maxSuspicionFactor = 6 // times that: with one
	retransmitFactor   = 4 // times log10 of the number of members: how often a fact is passed on
	earlyProbers       = 6 // members that hear of a suspicion probe its subject at once
	deadProbePeriod    = 8 // each so many-eth probe goes to one that was given up: a cut heals
)

// Out is a packet to be sent. Large ones go over TCP.
type Out struct {
	Addr string
	Data []byte
	TCP  bool
}

// Peer is another member as this one knows it.
type Peer struct {
	Name          string
	Addr          string
	State         State
	Inc           uint64
	Since         time.Duration // when its state last changed
	Accusers      []string
	lastFact      signed            // its latest alive or left
	accusationsBy map[string]signed // accusations of this incarnation, by their accusers
	seenInc       uint64            // of its packets,
	seenSeq       uint64            // the latest of them,
	seenBits      uint64            // and which of the 64 before it were taken
}

// probe is one that is under way.
type probe struct {
	target       string
	nonce        uint64
	sentAt       time.Duration
	helpers      []string // for an indirect one
	nacks        int
	indirectSent bool
}

// relay is a probe for somebody else.
type relay struct {
	requester string
	nonce     uint64 // theirs
	expires   time.Duration
}

// waiting is a fact that is still to be passed on.
type queuedFact struct {
	topic     string // what it is about, so that later news takes its place
	fact      signed
	timesSent int
	queuedAt  time.Duration
	priority  int // more of it goes first
}

// Member is one instance's part in the protocol. Whoever owns it hands in packets and the time, and sends what comes out;
// not safe for concurrent use. Times are on any clock that does not step back.
type Member struct {
	name, addr    string
	settings      Settings
	keys          Keys
	rng           *rand.Rand
	inc, seq      uint64
	ownFact       signed // its own alive
	stopped       bool   // it has left, or another instance has its name
	Conflict      bool   // it is so: another has its name, and this one gave way
	nameConflicts int    // how often another answered back
	peers         map[string]*Peer
	probeOrder    []string // whom to probe, in random order
	probeIndex    int
	seeds         []string
	probe         *probe
	relays        map[uint64]relay
	queue         []*queuedFact
	slowness      int
	nextProbe     time.Duration
	nextSync      time.Duration
	probeCount    int
	tokens        float64
	refilledAt    time.Duration
	out           []Out
	verified      map[string]bool // facts whose signature held, by their signature
	serverReports map[reportKey]ServerReport
	// Refused counts what was not taken, by why.
	Refused map[error]int
}

// New makes a member that joins through the seeds. Inc is its first incarnation: the Unix time in milliseconds does, also
// where the clock is off: the others tell a member that comes back with a lower one.
func New(now time.Duration, name, addr string, inc uint64, set Settings, keys Keys, rng *rand.Rand, seeds ...string) *Member {
	m := &Member{name: name, addr: addr, settings: set, keys: keys, rng: rng, inc: inc, peers: map[string]*Peer{}, relays: map[uint64]relay{},
		seeds: seeds, refilledAt: now, nextProbe: now, nextSync: now + set.SyncInterval, verified: map[string]bool{}, Refused: map[error]int{}, tokens: float64(set.MaxBytesPerSecond),
		serverReports: map[reportKey]ServerReport{}}
	m.announce(now)
	return m
}

// announce signs that it is there, with its present incarnation.
func (m *Member) announce(now time.Duration) {
	m.ownFact = signFact(&Fact{Kind: factAlive, By: m.name, Inc: m.inc, Addr: m.addr}, m.keys.Sign)
	m.enqueue(now, m.name, m.ownFact, 2)
}

// Rekey signs by other keys from now on: those that it had no more, and those of members that are not on them any more, are
// no longer taken.
func (m *Member) Rekey(now time.Duration, keys Keys) {
	m.keys = keys
	clear(m.verified)
	for name, p := range m.peers {
		if _, err := verifyFact(p.lastFact, keys); err != nil {
			delete(m.peers, name) // it will be heard of again by its new key, if it may
			continue
		}
		for by, a := range p.accusationsBy {
			if _, err := verifyFact(a, keys); err != nil {
				delete(p.accusationsBy, by)
			}
		}
	}
	m.inc++
	m.announce(now)
}

// size is how many members there are by what is known, this one included.
func (m *Member) size() int {
	n := 1
	for _, p := range m.peers {
		if p.State <= Suspect {
			n++
		}
	}
	return n
}

func (m *Member) logSize() float64 { return max(1, math.Log10(float64(m.size()))) }

// pass puts a fact among those that go with the next packets. One about the same takes its place.
func (m *Member) enqueue(now time.Duration, about string, f signed, worth int) {
	w := &queuedFact{topic: about, fact: f, queuedAt: now, priority: worth}
	if i := slices.IndexFunc(m.queue, func(o *queuedFact) bool { return o.topic == about }); i >= 0 {
		m.queue[i] = w
		return
	}
	if len(m.queue) >= maxQueued { // the least worth, of those the oldest
		i := 0
		for k, o := range m.queue {
			if o.priority < m.queue[i].priority || o.priority == m.queue[i].priority && o.queuedAt < m.queue[i].queuedAt {
				i = k
			}
		}
		m.queue = slices.Delete(m.queue, i, i+1)
	}
	m.queue = append(m.queue, w)
}

// facts takes those that have been sent least, as many as fit.
func (m *Member) takeFacts(room int) []signed {
	slices.SortStableFunc(m.queue, func(a, b *queuedFact) int {
		return cmp.Or(cmp.Compare(a.timesSent, b.timesSent), cmp.Compare(b.priority, a.priority))
	})
	most := int(math.Ceil(retransmitFactor * m.logSize()))
	var all []signed
	kept := m.queue[:0]
	for _, w := range m.queue {
		if n := len(w.fact.Fact) + len(w.fact.Sig) + 6; n <= room {
			room -= n
			all = append(all, w.fact)
			w.timesSent++
		}
		if w.timesSent < most {
			kept = append(kept, w)
		}
	}
	clear(m.queue[len(kept):])
	m.queue = kept
	return all
}

// refill adds to the budget of bytes what has come since.
func (m *Member) refill(now time.Duration) {
	m.tokens = min(float64(m.settings.MaxBytesPerSecond), m.tokens+(now-m.refilledAt).Seconds()*float64(m.settings.MaxBytesPerSecond))
	m.refilledAt = max(m.refilledAt, now)
}

// send seals a packet and lets it out, if the budget of bytes allows. False: it does not.
func (m *Member) send(now time.Duration, to, addr string, p packet) bool {
	m.refill(now)
	p.V, p.From, p.To, p.Inc = version, m.name, to, m.inc
	m.seq++
	p.Seq = m.seq
	if p.Kind < exchange {
		room := min(MaxPacketBytes, int(m.tokens)) - 220 // for the packet itself and its signature
		if room < 0 {
			return false
		}
		p.Facts = m.takeFacts(room)
	}
	data := seal(&p, m.keys.Sign)
	if float64(len(data)) > m.tokens || len(data) > MaxSyncBytes {
		return false
	}
	m.tokens -= float64(len(data))
	m.out = append(m.out, Out{addr, data, p.Sure || len(data) > MaxPacketBytes})
	return true
}

// Tick does what is due by now, and tells when it wants to be called again.
func (m *Member) Tick(now time.Duration) (out []Out, next time.Duration) {
	m.out = nil
	if m.stopped {
		return nil, now + m.settings.SyncInterval
	}
	if now > m.nextProbe+5*m.settings.ProbeInterval { // it was stopped: what it waited for may have come and gone
		m.probe = nil
		m.slowness = min(maxSlowness, m.slowness+2)
		for _, p := range m.peers {
			if p.State == Suspect {
				p.Since = now
			}
		}
	}
	m.expireSuspicions(now)
	if p := m.probe; p != nil && now >= p.sentAt+m.timeout() && !p.indirectSent {
		p.indirectSent = true
		m.startIndirectProbe(now, p)
	}
	if now >= m.nextProbe {
		m.endFailedProbe(now)
		m.startProbe(now)
		m.nextProbe = now + m.settings.ProbeInterval*time.Duration(1+m.slowness)
	}
	for nonce, r := range m.relays {
		if now >= r.expires {
			delete(m.relays, nonce)
			if p := m.peers[r.requester]; p != nil {
				m.send(now, p.Name, p.Addr, packet{Kind: nack, Nonce: r.nonce})
			}
		}
	}
	if now >= m.nextSync {
		m.nextSync = now + m.settings.SyncInterval/2 + time.Duration(m.rng.Int64N(int64(m.settings.SyncInterval)))
		if p := m.randomPeer(func(p *Peer) bool { return p.State == Alive }); p != nil {
			m.send(now, p.Name, p.Addr, packet{Kind: exchange, Facts: m.knownFacts(now)})
		}
	}
	next = m.nextProbe
	if p := m.probe; p != nil && !p.indirectSent {
		next = min(next, p.sentAt+m.timeout())
	}
	for _, r := range m.relays {
		next = min(next, r.expires)
	}
	return m.out, max(next, now+time.Millisecond)
}

func (m *Member) timeout() time.Duration {
	return m.settings.ProbeTimeout * time.Duration(1+m.slowness)
}

// begin probes the next in turn, and now and then one that was given up, or a seed.
func (m *Member) startProbe(now time.Duration) {
	m.probeCount++
	var target *Peer
	if m.probeCount%deadProbePeriod == 0 {
		if p := m.randomPeer(func(p *Peer) bool { return p.State >= Dead }); p != nil {
			m.send(now, p.Name, p.Addr, packet{Kind: ping, Nonce: m.rng.Uint64()})
		}
	}
	if m.size() == 1 || m.probeCount%(4*deadProbePeriod) == 0 {
		for _, addr := range m.seeds {
			if addr != m.addr {
				m.send(now, "", addr, packet{Kind: exchange, Facts: m.knownFacts(now)})
			}
		}
	}
	for range len(m.probeOrder) + 1 {
		if m.probeIndex >= len(m.probeOrder) {
			m.probeOrder, m.probeIndex = m.selectNames(func(p *Peer) bool { return p.State <= Suspect }), 0
			m.shuffle(m.probeOrder)
			if len(m.probeOrder) == 0 {
				return
			}
		}
		p := m.peers[m.probeOrder[m.probeIndex]]
		m.probeIndex++
		if p != nil && p.State <= Suspect {
			target = p
			break
		}
	}
	if target != nil {
		m.sendProbe(now, target)
	}
}

func (m *Member) sendProbe(now time.Duration, p *Peer) {
	nonce := m.rng.Uint64()
	m.probe = &probe{target: p.Name, nonce: nonce, sentAt: now}
	if !m.send(now, p.Name, p.Addr, packet{Kind: ping, Nonce: nonce}) {
		m.probe = nil // nothing was asked: nobody has failed
	}
}

// indirect asks others to probe one that does not answer, and tries it over TCP: packets may be what is lost.
func (m *Member) startIndirectProbe(now time.Duration, pr *probe) {
	if t := m.peers[pr.target]; t != nil {
		m.send(now, t.Name, t.Addr, packet{Kind: ping, Nonce: pr.nonce, Sure: true})
	}
	others := m.selectNames(func(p *Peer) bool { return p.State == Alive && p.Name != pr.target })
	m.shuffle(others)
	for _, name := range others[:min(m.settings.IndirectProbes, len(others))] {
		if m.send(now, name, m.peers[name].Addr, packet{Kind: pingReq, Nonce: pr.nonce, Target: pr.target}) {
			pr.helpers = append(pr.helpers, name)
		}
	}
}

// failed ends a probe that had no answer: an accusation, unless those who were asked are silent too. Then it may be this
// member that hears nothing.
func (m *Member) endFailedProbe(now time.Duration) {
	pr := m.probe
	m.probe = nil
	if pr == nil {
		return
	}
	if missing := len(pr.helpers) - pr.nacks; missing > 0 {
		m.slowness = min(maxSlowness, m.slowness+missing)
		if len(pr.helpers) > 1 && pr.nacks == 0 {
			return
		}
	} else {
		m.slowness = min(maxSlowness, m.slowness+1)
	}
	if p := m.peers[pr.target]; p != nil && p.State <= Suspect {
		f := &Fact{Kind: factSuspect, By: m.name, About: p.Name, Inc: p.Inc, Seq: m.seq}
		m.addAccusation(now, p, m.name, signFact(f, m.keys.Sign))
	}
}

// accuse books an accusation of a member's present incarnation, and passes it on while it may make a difference.
func (m *Member) addAccusation(now time.Duration, p *Peer, by string, f signed) {
	if _, known := p.accusationsBy[by]; known || len(p.accusationsBy) >= 2*m.settings.Quorum {
		return
	}
	if p.accusationsBy == nil {
		p.accusationsBy = map[string]signed{}
	}
	p.accusationsBy[by] = f
	if p.State == Alive {
		p.State, p.Since = Suspect, now
	}
	m.enqueue(now, "suspect "+p.Name+" "+by, f, 3)
}

// quorum is how many accusers it takes to give one up.
func (m *Member) quorum() int { return max(1, min(m.settings.Quorum, m.size()-2)) }

// lasts is how long a suspicion lasts with so many accusers (Lifeguard, section IV-B).
func (m *Member) suspicionTimeout(accusers int) time.Duration {
	least := float64(m.settings.ProbeInterval) * minSuspicionFactor * m.logSize()
	most := maxSuspicionFactor * least
	if q := m.quorum(); accusers < q {
		return time.Duration(most - (most-least)*math.Log(float64(accusers))/math.Log(float64(q)))
	} else if q == 1 {
		return time.Duration(2 * least) // one alone says so
	}
	return time.Duration(least)
}

// judge gives up whoever is accused by enough for long enough, and forgets accusations that nobody joined.
func (m *Member) expireSuspicions(now time.Duration) {
	for _, p := range m.peers {
		if p.State != Suspect {
			continue
		}
		switch n := len(p.accusationsBy); {
		case n >= m.quorum() && now >= p.Since+m.suspicionTimeout(n):
			p.State, p.Since = Dead, now
			p.Accusers = sortedKeys(p.accusationsBy)
		case now >= p.Since+2*m.suspicionTimeout(1):
			p.State, p.Since, p.accusationsBy = Alive, now, nil
		}
	}
}

// known are the names of the peers that are wanted, in their order: what is drawn from them is the same on every run.
func (m *Member) selectNames(want func(*Peer) bool) []string {
	return slices.DeleteFunc(m.peerNames(), func(name string) bool { return !want(m.peers[name]) })
}

func (m *Member) shuffle(names []string) {
	m.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
}

// random is one of the peers that are wanted; nil: there is none.
func (m *Member) randomPeer(want func(*Peer) bool) *Peer {
	of := m.selectNames(want)
	if len(of) == 0 {
		return nil
	}
	return m.peers[of[m.rng.IntN(len(of))]]
}

// all is what is known of everybody, as it was signed; where that is too much at once, as much as half the budget takes,
// from somewhere on.
func (m *Member) knownFacts(now time.Duration) []signed {
	m.refill(now)
	room := min(int(m.tokens), MaxSyncBytes) / 2
	all := []signed{m.ownFact}
	names := m.peerNames()
	from := m.rng.IntN(len(names) + 1)
	for i := range names {
		p := m.peers[names[(from+i)%len(names)]]
		if room -= len(p.lastFact.Fact) + len(p.lastFact.Sig) + 6; room < 0 {
			break
		}
		all = append(all, p.lastFact)
		if p.State == Suspect || p.State == Dead { // so that whoever missed some comes to the same
			all = append(all, p.accusations()...)
		}
	}
	return all
}

// accusations are those of a peer, in the order of their accusers.
func (p *Peer) accusations() (all []signed) {
	for _, by := range sortedKeys(p.accusationsBy) {
		all = append(all, p.accusationsBy[by])
	}
	return all
}

func (m *Member) peerNames() []string { return sortedKeys(m.peers) }

func sortedKeys[V any](all map[string]V) []string {
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Receive takes in a packet from an address, and tells why where it does not. What comes out is to be sent.
func (m *Member) Receive(now time.Duration, from string, data []byte) (out []Out, err error) {
	m.out = nil
	if m.stopped {
		return nil, nil
	}
	if err := m.receive(now, from, data); err != nil {
		for _, known := range []error{ErrMalformed, ErrVersion, ErrSignature, ErrReplay, ErrStranger, ErrWrongRecipient} {
			if errors.Is(err, known) {
				m.Refused[known]++
			}
		}
		return m.out, err
	}
	return m.out, nil
}

func (m *Member) receive(now time.Duration, from string, data []byte) error {
	if len(data) > MaxSyncBytes {
		return ErrMalformed
	}
	p, err := unseal(data, m.keys)
	if err != nil {
		return err
	}
	if p.To != m.name && !(p.To == "" && p.Kind == exchange) {
		return ErrWrongRecipient
	}
	sender := m.peers[p.From]
	if sender != nil && p.Inc < sender.Inc {
		m.sendPeerFacts(now, sender.Name, from, sender) // it may have come back with an older clock, or be another of the same name
		return ErrReplay
	}
	if sender != nil && !sender.markSeen(p) {
		return ErrReplay
	}
	before := len(m.peers)
	for _, f := range p.Facts {
		m.handleFact(now, f)
	}
	if p.Kind == exchanged && len(m.peers) > before { // there may be more that it does not know
		m.nextSync = min(m.nextSync, now+m.settings.ProbeInterval)
	}
	if m.stopped {
		return nil
	}
	if sender = m.peers[p.From]; sender == nil { // not before it has said where it is: it is asked
		if p.Kind == ping || p.Kind == exchange {
			m.send(now, p.From, from, packet{Kind: exchange, Facts: m.knownFacts(now)})
		}
		return nil
	}
	if sender.seenInc == 0 {
		sender.markSeen(p)
	}
	if sender.State == Dead && p.Inc == sender.Inc {
		m.sendPeerFacts(now, sender.Name, sender.Addr, sender) // that it was given up: it refutes that, by another incarnation
	}
	switch p.Kind {
	case ping:
		m.send(now, sender.Name, sender.Addr, packet{Kind: ack, Nonce: p.Nonce, Sure: p.Sure})
	case ack:
		m.handleAck(now, p)
	case nack:
		if m.probe != nil && m.probe.nonce == p.Nonce && slices.Contains(m.probe.helpers, p.From) {
			m.probe.nacks++
		}
	case pingReq:
		if t := m.peers[p.Target]; t != nil && len(m.relays) < maxQueued {
			nonce := m.rng.Uint64()
			if m.send(now, t.Name, t.Addr, packet{Kind: ping, Nonce: nonce}) {
				m.relays[nonce] = relay{p.From, p.Nonce, now + m.settings.ProbeTimeout}
			}
		}
	case exchange:
		m.send(now, sender.Name, sender.Addr, packet{Kind: exchanged, Facts: m.knownFacts(now)})
	}
	return nil
}

// fresh tells whether a packet of a peer was not taken before, and books it. Packets may come in another order than they were
// sent in.
func (p *Peer) markSeen(k *packet) bool {
	switch {
	case k.Inc > p.seenInc:
		p.seenInc, p.seenSeq, p.seenBits = k.Inc, k.Seq, 0
		return true
	case k.Inc < p.seenInc || k.Seq+64 <= p.seenSeq:
		return false
	case k.Seq > p.seenSeq:
		p.seenBits = p.seenBits<<(k.Seq-p.seenSeq) | 1<<(k.Seq-p.seenSeq-1)
		p.seenSeq = k.Seq
		return true
	case k.Seq == p.seenSeq || p.seenBits>>(p.seenSeq-k.Seq-1)&1 == 1:
		return false
	}
	p.seenBits |= 1 << (p.seenSeq - k.Seq - 1)
	return true
}

// late answers an accusation of one that was given up already: whoever makes it has not heard of the others.
func (m *Member) shareAccusations(now time.Duration, f *Fact, s signed) {
	about, by := m.peers[f.About], m.peers[f.By]
	if f.Kind != factSuspect || about == nil || by == nil || about.State != Dead || by.State != Alive || f.Inc != about.Inc {
		return
	}
	if _, known := about.accusationsBy[f.By]; !known && len(about.accusationsBy) > 0 && m.signedBy(s) {
		about.accusationsBy[f.By] = s
		m.sendPeerFacts(now, by.Name, by.Addr, about)
	}
}

// tellOf sends one member what is said of another.
func (m *Member) sendPeerFacts(now time.Duration, to, addr string, p *Peer) {
	m.send(now, to, addr, packet{Kind: exchanged, Facts: append([]signed{p.lastFact}, p.accusations()...)})
}

// acked takes in that a member has answered: of this one's probe, or of one for somebody else.
func (m *Member) handleAck(now time.Duration, p *packet) {
	if r, ok := m.relays[p.Nonce]; ok {
		delete(m.relays, p.Nonce)
		if asker := m.peers[r.requester]; asker != nil {
			m.send(now, asker.Name, asker.Addr, packet{Kind: ack, Nonce: r.nonce, Target: p.From})
		}
		return
	}
	pr := m.probe
	if pr == nil || pr.nonce != p.Nonce || p.From != pr.target && !slices.Contains(pr.helpers, p.From) {
		return
	}
	m.probe = nil
	m.slowness = max(0, m.slowness-1)
	if t := m.peers[pr.target]; t != nil {
		delete(t.accusationsBy, m.name) // its own eyes have seen it since
	}
}

// fact takes in what somebody has said, if it is news and signed by whom it says.
func (m *Member) handleFact(now time.Duration, s signed) {
	f, err := readFact(s.Fact)
	if err != nil {
		m.Refused[ErrMalformed]++
		return
	}
	if !m.isNew(&f) {
		m.shareAccusations(now, &f, s)
		return
	}
	if !m.signedBy(s) {
		return
	}
	switch f.Kind {
	case factAlive, factLeft:
		m.handleAlive(now, &f, s)
	case factSuspect:
		m.handleSuspicion(now, &f, s)
	case factServerReport:
		m.handleServerReport(now, &f, s)
	}
}

// signedBy tells whether a fact is signed by whom it says. What was found once is remembered.
func (m *Member) signedBy(s signed) bool {
	id := string(s.Fact) + string(s.Sig)
	if m.verified[id] {
		return true
	}
	if _, err := verifyFact(s, m.keys); err != nil {
		m.Refused[ErrSignature]++
		return false
	}
	if len(m.verified) >= maxFacts {
		clear(m.verified)
	}
	m.verified[id] = true
	return true
}

// news tells whether a fact can change anything, before its signature is looked at.
func (m *Member) isNew(f *Fact) bool {
	switch p := m.peers[f.By]; f.Kind {
	case factAlive, factLeft:
		if f.By == m.name {
			return f.Inc >= m.inc && (f.Inc > m.inc || f.Kind == factLeft || f.Addr != m.addr)
		}
		return p == nil || f.Inc > p.Inc || f.Inc == p.Inc && f.Kind == factLeft && p.State != Left
	case factSuspect:
		if f.About == m.name {
			return f.Inc >= m.inc
		}
		about := m.peers[f.About]
		if p == nil || p.State > Suspect || about == nil || about.State > Suspect || f.Inc != about.Inc {
			return false
		}
		_, known := about.accusationsBy[f.By]
		return !known
	case factServerReport:
		old, known := m.serverReports[reportKey{f.By, f.About}]
		return p != nil && p.State <= Suspect && f.Inc == p.Inc && (!known || f.Seq > old.seq || f.Inc > old.inc)
	}
	return false
}

// heard takes in that a member is there, or leaves.
func (m *Member) handleAlive(now time.Duration, f *Fact, s signed) {
	if f.By == m.name {
		if f.Kind == factAlive && f.Addr != m.addr {
			// By the same key, and not by this instance: one that it was before, or one that is there too and answers back.
			// Then one of the two gives way, the same by what both know.
			if m.nameConflicts++; m.nameConflicts > 3 && m.addr > f.Addr {
				m.Conflict, m.stopped = true, true
				return
			}
		}
		m.inc = f.Inc + 1 // it has come back with an older clock
		m.announce(now)
		return
	}
	p := m.peers[f.By]
	if p == nil {
		if len(m.peers) >= maxPeers {
			return
		}
		p = &Peer{Name: f.By, State: Dead, Since: now}
		m.peers[f.By] = p
	}
	p.Inc, p.lastFact, p.accusationsBy, p.Accusers = f.Inc, s, nil, nil
	to := Alive
	if f.Kind == factLeft {
		to = Left
	} else {
		p.Addr = f.Addr
	}
	if p.State != to {
		if p.State >= Dead && to == Alive && len(m.probeOrder) > 0 { // it is probed in this round already
			at := m.probeIndex + m.rng.IntN(len(m.probeOrder)-m.probeIndex+1)
			m.probeOrder = slices.Insert(m.probeOrder, at, p.Name)
		}
		p.State, p.Since = to, now
	}
	m.enqueue(now, f.By, s, 2)
}

// suspected takes in that one member accuses another, and looks sooner itself.
func (m *Member) handleSuspicion(now time.Duration, f *Fact, s signed) {
	if f.About == m.name { // it is there, and says so
		m.inc = max(m.inc, f.Inc) + 1
		m.slowness = min(maxSlowness, m.slowness+1)
		m.announce(now)
		return
	}
	p := m.peers[f.About]
	first := len(p.accusationsBy) == 0
	m.addAccusation(now, p, f.By, s)
	if first && m.rng.IntN(max(1, m.size())) < earlyProbers {
		m.probeOrder = slices.Insert(m.probeOrder, min(m.probeIndex, len(m.probeOrder)), f.About)
	}
}

// Leave says good-bye. What comes out is to be sent; after it nothing more does.
func (m *Member) Leave(now time.Duration) []Out {
	m.out = nil
	if m.stopped {
		return nil
	}
	m.inc++
	f := signFact(&Fact{Kind: factLeft, By: m.name, Inc: m.inc}, m.keys.Sign)
	m.queue = nil
	m.enqueue(now, m.name, f, 4)
	for range 3 {
		if p := m.randomPeer(func(p *Peer) bool { return p.State == Alive }); p != nil {
			m.send(now, p.Name, p.Addr, packet{Kind: ping, Nonce: m.rng.Uint64()})
		}
	}
	m.stopped = true
	return m.out
}

// Peers are the others, in the order of their names. Accusers are those of now, or those by whom one was given up.
func (m *Member) Peers() []Peer {
	var all []Peer
	for _, name := range m.peerNames() {
		p := *m.peers[name]
		if p.State == Suspect {
			p.Accusers = sortedKeys(p.accusationsBy)
		}
		all = append(all, p)
	}
	return all
}

// Alive is how many members there are, this one included, by what it knows.
func (m *Member) Alive() int { return m.size() }

// Inc is its present incarnation.
func (m *Member) Inc() uint64 { return m.inc }

// Slowness is how slow it takes itself to be: everything takes it one time longer for each.
func (m *Member) Slowness() int { return m.slowness }
