package member

import (
	"cmp"
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Settings hold the parameters of the protocol. All members must use the same values.
type Settings struct {
	ProbeInterval     time.Duration // between two probes by a member that is not slow
	ProbeTimeout      time.Duration // of a direct probe; an indirect one has the rest of the interval
	IndirectProbes    int           // number of members asked to probe one that did not reply
	Quorum            int           // number of accusers needed to declare a member dead, where there are that many members
	MaxBytesPerSecond int           // upper bound of what one member sends
	SyncInterval      time.Duration // mean time between two full exchanges with a random member
}

// DefaultSettings returns settings for a local network.
func DefaultSettings() Settings {
	return Settings{ProbeInterval: time.Second, ProbeTimeout: 300 * time.Millisecond, IndirectProbes: 3, Quorum: 3, MaxBytesPerSecond: 16 << 10, SyncInterval: 30 * time.Second}
}

// State is the state of a peer as seen by one member.
type State uint8

// The states of a peer, in the order that comparisons such as State <= Suspect rely on.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

var stateNames = [...]string{"alive", "suspect", "dead", "left"}

// String returns the name of the state as operators see it.
func (s State) String() string { return stateNames[s] }

const (
	// maxSlowness bounds a member's slowness: its probe interval and timeout grow to at most 1+maxSlowness times the
	// setting.
	maxSlowness = 8
	// maxQueued bounds the facts in the gossip queue, and separately the probes relayed for other members.
	maxQueued = 512
	// maxPeers bounds the peers that a member knows.
	maxPeers = 2000
	// minSuspicionFactor times log10 of the number of members, in probe intervals, is the duration of a suspicion with a
	// full quorum of accusers.
	minSuspicionFactor = 4
	// maxSuspicionFactor times the shortest duration is the duration of a suspicion with one accuser.
	maxSuspicionFactor = 6
	// retransmitFactor times log10 of the number of members is how many times a member sends a fact.
	retransmitFactor = 4
	// earlyProbers is the expected number of members that probe a newly suspected member ahead of its turn.
	earlyProbers = 6
	// deadProbePeriod is the number of probes after which a dead or departed member is pinged as well, so that a healed
	// partition is noticed.
	deadProbePeriod = 8
)

// Outgoing is a packet to be sent.
type Outgoing struct {
	Addr string
	Data []byte
	TCP  bool // the packet exceeds MaxPacketBytes, or must not be lost
}

// Peer is another member as this one knows it. The Member owns it; Peers returns copies.
type Peer struct {
	Name          string
	Addr          string
	State         State
	Inc           uint64            // latest known incarnation
	Since         time.Duration     // time of the last change of State
	Accusers      []string          // of a suspect, or those by which a peer was declared dead
	lastFact      signed            // its latest alive or left
	accusationsBy map[string]signed // accusations of this incarnation, by accuser
	seenInc       uint64            // incarnation of its latest packet
	seenSeq       uint64            // highest sequence number received in that incarnation
	seenBits      uint64            // bitmap of the 64 sequence numbers below seenSeq that were received
}

// probe is the probe in progress.
type probe struct {
	target       string
	nonce        uint64
	sentAt       time.Duration
	helpers      []string // members asked for an indirect probe
	nacks        int      // helpers that replied that the target did not
	indirectSent bool
}

// relay is an indirect probe made on behalf of another member.
type relay struct {
	requester string
	nonce     uint64 // of the requester's own probe
	expires   time.Duration
}

// queuedFact is a fact in the gossip queue.
type queuedFact struct {
	topic     string // a later fact with the same topic replaces this one
	fact      signed
	timesSent int
	queuedAt  time.Duration
	priority  int // of facts sent equally often, those of higher priority go first
}

// Member is the protocol state machine of one instance. Its owner passes in packets and the time and sends the packets
// that are returned. It is not safe for concurrent use. Times are on any clock that does not step back.
type Member struct {
	name, addr    string
	settings      Settings
	keys          Keys
	rng           *rand.Rand
	inc, seq      uint64
	ownFact       signed // this member's latest alive
	stopped       bool   // the member has left, or given way to another instance with the same name
	Conflict      bool   // another instance has the same name, and this one has given way
	nameConflicts int    // alive facts in this member's name, with another address, that it received
	peers         map[string]*Peer
	probeOrder    []string // names of the peers to probe in this round, in random order
	probeIndex    int      // next entry of probeOrder
	seeds         []string
	probe         *probe           // nil: none in progress
	relays        map[uint64]relay // by the nonce of the relayed ping
	queue         []*queuedFact
	slowness      int // from 0 to maxSlowness, see Slowness
	nextProbe     time.Duration
	nextSync      time.Duration
	probeCount    int
	tokens        float64 // bytes that may be sent now
	refilledAt    time.Duration
	out           []Outgoing
	verified      map[string]bool // facts with a valid signature, by fact and signature
	serverReports map[reportKey]ServerReport
	// Refused counts rejected packets and facts, by reason.
	Refused map[error]int
}

// New returns a member that joins through the seeds. Inc is its first incarnation. The Unix time in milliseconds will
// do even with a wrong clock: the other members tell a member that comes back with a lower incarnation than before.
func New(now time.Duration, name, addr string, inc uint64, settings Settings, keys Keys, rng *rand.Rand, seeds ...string) *Member {
	m := &Member{name: name, addr: addr, settings: settings, keys: keys, rng: rng, inc: inc, peers: map[string]*Peer{}, relays: map[uint64]relay{},
		seeds: seeds, refilledAt: now, nextProbe: now, nextSync: now + settings.SyncInterval, verified: map[string]bool{}, Refused: map[error]int{}, tokens: float64(settings.MaxBytesPerSecond),
		serverReports: map[reportKey]ServerReport{}}
	m.announce(now)
	return m
}

// announce signs an alive fact of the current incarnation and queues it.
func (m *Member) announce(now time.Duration) {
	m.ownFact = signFact(&Fact{Kind: factAlive, By: m.name, Inc: m.inc, Addr: m.addr}, m.keys.Sign)
	m.enqueue(now, m.name, m.ownFact, 2)
}

// SetKeys replaces the keys. Facts and packets signed by a removed key, or by a member that is no longer listed, are
// rejected from then on.
func (m *Member) SetKeys(now time.Duration, keys Keys) {
	m.keys = keys
	clear(m.verified)
	for name, p := range m.peers {
		if _, err := verifyFact(p.lastFact, keys); err != nil {
			delete(m.peers, name) // it is added again when it announces itself by its new key, if it is still allowed
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

// size returns the number of members that are not known to be dead or to have left, this one included.
func (m *Member) size() int {
	n := 1
	for _, p := range m.peers {
		if p.State <= Suspect {
			n++
		}
	}
	return n
}

// logSize returns log10 of the number of members, at least 1.
func (m *Member) logSize() float64 { return max(1, math.Log10(float64(m.size()))) }

// enqueue adds a fact to the gossip queue, from which it goes out with the next packets. It replaces a queued fact with
// the same topic.
func (m *Member) enqueue(now time.Duration, topic string, f signed, priority int) {
	added := &queuedFact{topic: topic, fact: f, queuedAt: now, priority: priority}
	if i := slices.IndexFunc(m.queue, func(o *queuedFact) bool { return o.topic == topic }); i >= 0 {
		m.queue[i] = added
		return
	}
	if len(m.queue) >= maxQueued { // drops the oldest fact of the lowest priority
		i := 0
		for k, o := range m.queue {
			if o.priority < m.queue[i].priority || o.priority == m.queue[i].priority && o.queuedAt < m.queue[i].queuedAt {
				i = k
			}
		}
		m.queue = slices.Delete(m.queue, i, i+1)
	}
	m.queue = append(m.queue, added)
}

// takeFacts returns the facts that have been sent least often, as many as fit into capacity bytes, and removes from the
// queue those that have been sent often enough.
func (m *Member) takeFacts(capacity int) []signed {
	slices.SortStableFunc(m.queue, func(a, b *queuedFact) int {
		return cmp.Or(cmp.Compare(a.timesSent, b.timesSent), cmp.Compare(b.priority, a.priority))
	})
	maxSends := int(math.Ceil(retransmitFactor * m.logSize()))
	var all []signed
	remaining := m.queue[:0]
	for _, q := range m.queue {
		if n := len(q.fact.Body) + len(q.fact.Signature) + 6; n <= capacity {
			capacity -= n
			all = append(all, q.fact)
			q.timesSent++
		}
		if q.timesSent < maxSends {
			remaining = append(remaining, q)
		}
	}
	clear(m.queue[len(remaining):])
	m.queue = remaining
	return all
}

// refill adds to the byte budget what has accrued since the last call, up to one second's worth.
func (m *Member) refill(now time.Duration) {
	m.tokens = min(float64(m.settings.MaxBytesPerSecond), m.tokens+(now-m.refilledAt).Seconds()*float64(m.settings.MaxBytesPerSecond))
	m.refilledAt = max(m.refilledAt, now)
}

// send completes a packet, signs it and adds it to the output. It returns false, and sends nothing, where the byte
// budget does not allow it.
func (m *Member) send(now time.Duration, to, addr string, p packet) bool {
	m.refill(now)
	p.Version, p.From, p.To, p.Inc = version, m.name, to, m.inc
	m.seq++
	p.Seq = m.seq
	if p.Kind < exchange {
		capacity := min(MaxPacketBytes, int(m.tokens)) - 220 // the packet without facts, and its signature
		if capacity < 0 {
			return false
		}
		p.Facts = m.takeFacts(capacity)
	}
	data := seal(&p, m.keys.Sign)
	if float64(len(data)) > m.tokens || len(data) > MaxSyncBytes {
		return false
	}
	m.tokens -= float64(len(data))
	m.out = append(m.out, Outgoing{addr, data, p.OverTCP || len(data) > MaxPacketBytes})
	return true
}

// Tick does what is due by now. It returns the packets to send and the time of the next call.
func (m *Member) Tick(now time.Duration) (out []Outgoing, next time.Duration) {
	m.out = nil
	if m.stopped {
		return nil, now + m.settings.SyncInterval
	}
	if now > m.nextProbe+5*m.settings.ProbeInterval { // the process was suspended: replies may have been missed
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

// timeout returns the timeout of a direct probe, longer the slower this member is.
func (m *Member) timeout() time.Duration {
	return m.settings.ProbeTimeout * time.Duration(1+m.slowness)
}

// startProbe probes the next peer in turn. Each deadProbePeriod-th call also pings a dead or departed peer; a member
// that is alone, and each fourth such call, exchanges facts with the seeds.
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

// sendProbe starts a direct probe of a peer.
func (m *Member) sendProbe(now time.Duration, p *Peer) {
	nonce := m.rng.Uint64()
	m.probe = &probe{target: p.Name, nonce: nonce, sentAt: now}
	if !m.send(now, p.Name, p.Addr, packet{Kind: ping, Nonce: nonce}) {
		m.probe = nil // nothing was sent, so a missing reply would prove nothing
	}
}

// startIndirectProbe asks other members to probe a target that does not reply, and pings it over TCP itself, in case
// only UDP packets are lost.
func (m *Member) startIndirectProbe(now time.Duration, pr *probe) {
	if t := m.peers[pr.target]; t != nil {
		m.send(now, t.Name, t.Addr, packet{Kind: ping, Nonce: pr.nonce, OverTCP: true})
	}
	others := m.selectNames(func(p *Peer) bool { return p.State == Alive && p.Name != pr.target })
	m.shuffle(others)
	for _, name := range others[:min(m.settings.IndirectProbes, len(others))] {
		if m.send(now, name, m.peers[name].Addr, packet{Kind: pingReq, Nonce: pr.nonce, Target: pr.target}) {
			pr.helpers = append(pr.helpers, name)
		}
	}
}

// endFailedProbe ends a probe that had no reply and accuses its target. It accuses nobody where several helpers were
// asked and none of them replied: then this member itself may be cut off.
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

// addAccusation records an accusation of a peer's current incarnation and queues it for gossip. It ignores accusations
// beyond twice the quorum, which make no difference.
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

// quorum returns the number of accusers needed to declare a member dead.
func (m *Member) quorum() int { return max(1, min(m.settings.Quorum, m.size()-2)) }

// suspicionTimeout returns the duration of a suspicion with the given number of accusers (Lifeguard, section IV-B).
func (m *Member) suspicionTimeout(accusers int) time.Duration {
	shortest := float64(m.settings.ProbeInterval) * minSuspicionFactor * m.logSize()
	longest := maxSuspicionFactor * shortest
	if q := m.quorum(); accusers < q {
		return time.Duration(longest - (longest-shortest)*math.Log(float64(accusers))/math.Log(float64(q)))
	} else if q == 1 {
		return time.Duration(2 * shortest) // a single accuser decides, so it waits longer
	}
	return time.Duration(shortest)
}

// expireSuspicions declares dead each peer that a quorum has accused for long enough, and drops suspicions that no
// quorum joined in time.
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

// selectNames returns the sorted names of the peers for which want is true. The order makes random selections from them
// reproducible.
func (m *Member) selectNames(want func(*Peer) bool) []string {
	return slices.DeleteFunc(m.peerNames(), func(name string) bool { return !want(m.peers[name]) })
}

func (m *Member) shuffle(names []string) {
	m.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
}

// randomPeer returns a random peer for which want is true, nil if there is none.
func (m *Member) randomPeer(want func(*Peer) bool) *Peer {
	names := m.selectNames(want)
	if len(names) == 0 {
		return nil
	}
	return m.peers[names[m.rng.IntN(len(names))]]
}

// knownFacts returns the latest signed facts about all members. Where they exceed half the byte budget it returns as
// many as fit, starting at a random peer.
func (m *Member) knownFacts(now time.Duration) []signed {
	m.refill(now)
	capacity := min(int(m.tokens), MaxSyncBytes) / 2
	all := []signed{m.ownFact}
	names := m.peerNames()
	from := m.rng.IntN(len(names) + 1)
	for i := range names {
		p := m.peers[names[(from+i)%len(names)]]
		if capacity -= len(p.lastFact.Body) + len(p.lastFact.Signature) + 6; capacity < 0 {
			break
		}
		all = append(all, p.lastFact)
		if p.State == Suspect || p.State == Dead { // so that a member that missed some comes to the same verdict
			all = append(all, p.accusations()...)
		}
	}
	return all
}

// accusations returns the accusations of a peer in the order of the accusers' names.
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

// Receive processes a packet from an address. It returns the packets to send and, where the packet is rejected, the
// reason, which it also counts in Refused.
func (m *Member) Receive(now time.Duration, from string, data []byte) (out []Outgoing, err error) {
	m.out = nil
	if m.stopped {
		return nil, nil
	}
	if err := m.receive(now, from, data); err != nil {
		for _, reason := range []error{ErrMalformed, ErrVersion, ErrSignature, ErrReplay, ErrUnknownMember, ErrWrongRecipient} {
			if errors.Is(err, reason) {
				m.Refused[reason]++
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
		// The sender may have come back with an older clock, or be another instance with the same name.
		m.sendPeerFacts(now, sender.Name, from, sender)
		return ErrReplay
	}
	if sender != nil && !sender.markSeen(p) {
		return ErrReplay
	}
	before := len(m.peers)
	for _, f := range p.Facts {
		m.handleFact(now, f)
	}
	if p.Kind == exchanged && len(m.peers) > before { // there may be more members that this one does not know
		m.nextSync = min(m.nextSync, now+m.settings.ProbeInterval)
	}
	if m.stopped {
		return nil
	}
	if sender = m.peers[p.From]; sender == nil { // its address is not known before it has announced itself, so ask for that
		if p.Kind == ping || p.Kind == exchange {
			m.send(now, p.From, from, packet{Kind: exchange, Facts: m.knownFacts(now)})
		}
		return nil
	}
	if sender.seenInc == 0 {
		sender.markSeen(p)
	}
	if sender.State == Dead && p.Inc == sender.Inc {
		// The sender does not know that it was declared dead. It refutes that by a higher incarnation.
		m.sendPeerFacts(now, sender.Name, sender.Addr, sender)
	}
	switch p.Kind {
	case ping:
		m.send(now, sender.Name, sender.Addr, packet{Kind: ack, Nonce: p.Nonce, OverTCP: p.OverTCP})
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

// markSeen reports whether a packet of the peer is received for the first time, and records it as received. Packets may
// arrive out of order; those that are 64 or more behind the latest count as seen.
func (p *Peer) markSeen(received *packet) bool {
	switch {
	case received.Inc > p.seenInc:
		p.seenInc, p.seenSeq, p.seenBits = received.Inc, received.Seq, 0
		return true
	case received.Inc < p.seenInc || received.Seq+64 <= p.seenSeq:
		return false
	case received.Seq > p.seenSeq:
		p.seenBits = p.seenBits<<(received.Seq-p.seenSeq) | 1<<(received.Seq-p.seenSeq-1)
		p.seenSeq = received.Seq
		return true
	case received.Seq == p.seenSeq || p.seenBits>>(p.seenSeq-received.Seq-1)&1 == 1:
		return false
	}
	p.seenBits |= 1 << (p.seenSeq - received.Seq - 1)
	return true
}

// shareAccusations handles an accusation of a peer that is already dead: the accuser has not received the other
// accusations, so they are sent to it.
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

// sendPeerFacts sends one member the latest fact and all accusations of another.
func (m *Member) sendPeerFacts(now time.Duration, to, addr string, p *Peer) {
	m.send(now, to, addr, packet{Kind: exchanged, Facts: append([]signed{p.lastFact}, p.accusations()...)})
}

// handleAck processes a reply to a relayed ping, or to this member's own probe.
func (m *Member) handleAck(now time.Duration, p *packet) {
	if r, ok := m.relays[p.Nonce]; ok {
		delete(m.relays, p.Nonce)
		if requester := m.peers[r.requester]; requester != nil {
			m.send(now, requester.Name, requester.Addr, packet{Kind: ack, Nonce: r.nonce, Target: p.From})
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
		delete(t.accusationsBy, m.name) // this member has reached the target since
	}
}

// handleFact applies a fact if it is new and validly signed.
func (m *Member) handleFact(now time.Duration, s signed) {
	f, err := readFact(s.Body)
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
		m.handlePresence(now, &f, s)
	case factSuspect:
		m.handleSuspicion(now, &f, s)
	case factServerReport:
		m.handleServerReport(now, &f, s)
	}
}

// signedBy reports whether a fact has a valid signature of the member that it names. Valid ones are cached.
func (m *Member) signedBy(s signed) bool {
	id := string(s.Body) + string(s.Signature)
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

// isNew reports whether a fact could change anything. It is called before the costlier check of the signature.
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

// handlePresence applies the announcement of a member that it is alive or leaves.
func (m *Member) handlePresence(now time.Duration, f *Fact, s signed) {
	if f.By == m.name {
		if f.Kind == factAlive && f.Addr != m.addr {
			// The fact is signed by the same key, but not by this instance: it is from an earlier run at another
			// address, or from another running instance, which will announce itself again. Then the instance with the
			// greater address gives way, which both can decide from what they know.
			if m.nameConflicts++; m.nameConflicts > 3 && m.addr > f.Addr {
				m.Conflict, m.stopped = true, true
				return
			}
		}
		m.inc = f.Inc + 1 // this member has come back with an older clock
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
		if p.State >= Dead && to == Alive && len(m.probeOrder) > 0 { // probe it in this round already
			at := m.probeIndex + m.rng.IntN(len(m.probeOrder)-m.probeIndex+1)
			m.probeOrder = slices.Insert(m.probeOrder, at, p.Name)
		}
		p.State, p.Since = to, now
	}
	m.enqueue(now, f.By, s, 2)
}

// handleSuspicion applies the accusation of a member by another. Some members then probe the accused ahead of its turn;
// a member that is accused itself announces a higher incarnation.
func (m *Member) handleSuspicion(now time.Duration, f *Fact, s signed) {
	if f.About == m.name { // this member is alive: refute the accusation
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

// Leave announces that the member leaves. It returns the packets to send; the member sends nothing afterwards.
func (m *Member) Leave(now time.Duration) []Outgoing {
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

// Peers returns copies of all peers in the order of their names. Accusers are the current ones of a suspect, or those
// by which a peer was declared dead.
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

// AliveCount returns the number of members that are not known to be dead or to have left, this one included.
func (m *Member) AliveCount() int { return m.size() }

// Inc returns the member's current incarnation.
func (m *Member) Inc() uint64 { return m.inc }

// Slowness returns how slow the member judges itself to be, from 0 (not slow) to 8. Its probe interval and timeout are
// 1+Slowness times the settings.
func (m *Member) Slowness() int { return m.slowness }
